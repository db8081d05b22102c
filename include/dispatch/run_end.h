/** @file
 * What the end of an attempt at a server shows about the request. A server in
 * trouble responds with errors of its own, responds too early, or breaks off,
 * and none of that shows that it has run the request. No I/O.
 */
#ifndef DISPATCH_RUN_END_H
#define DISPATCH_RUN_END_H

#include <stdbool.h>

enum run_end {
	RUN_END_NOT_RUN,   /**< the server tells that it has not run it */
	RUN_END_COMPLETED, /**< it ran to its end, and did not crash the server
			    */
	/** The server turned it down, at whichever moment. Nothing follows. */
	RUN_END_REJECTED,
	/** The server may have ended, or may end at once: nothing shows that
	 * the request has run to its end. */
	RUN_END_UNFINISHED,
};

/** How the attempt ended. */
struct run_outcome {
	bool whole; /**< the response ended in order */
	/** Its end is marked by a length or by the last chunk, and not by the
	 * end of the connection, which also comes when the server ends. */
	bool delimited;
	bool from_server; /**< it names the request and has a signature */
	bool not_executed;
	int status;
};

enum run_end run_end_of(const struct run_outcome *outcome);

#endif
