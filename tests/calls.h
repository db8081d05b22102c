/** @file
 * Requests of callers to the gateways of a cluster, and what came back.
 */
#ifndef TESTS_CALLS_H
#define TESTS_CALLS_H

#include "standins/cluster.h"

enum {
	CALL_MS = 5000,
	CALL_REQUEST_BYTES = 32,
	NO_SERVER = -1,
};

/** What a caller got. */
struct answer {
	char request[CALL_REQUEST_BYTES]; /**< id */
	int status;
	bool complete;
	bool leaving;       /**< it says that the server leaves */
	double retry_after; /**< seconds; negative: not said */
	int server;         /**< number of the server, or NO_SERVER */
};

/** Sends a request of a program with a new id, which is copied to request, on a
 * new connection. previous_turn may be NULL. */
struct http_caller
call_start(const struct cluster *cluster, int gateway, const char *target,
    const char *previous_turn, char request[CALL_REQUEST_BYTES]);
/** Reads the response and closes the connection. */
struct answer call_finish(struct http_caller *caller);
/** Sends a request and reads the response. */
struct answer call_once(const struct cluster *cluster, int gateway,
    const char *target, const char *previous_turn);

#endif
