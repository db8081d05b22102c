/** @file
 * A model call that waits in the queue or runs on a backend server.
 */
#ifndef ROUTE_CALL_H
#define ROUTE_CALL_H

#include <uthash.h>

#include "common/list.h"
#include "route/server.h"

/** A call and its current attempt. */
struct route_call {
	struct sched_request request;
	struct list queue_link; /**< link in the queue while the call waits */
	/** link in route_server.attempts while it runs */
	struct list attempt_link;
	/** server that runs the call; NULL while it waits */
	struct route_server *server;
	/** server of the last failed attempt */
	struct route_server *failed_server;
	uint32_t attempts; /**< number of attempts sent so far */
	int64_t submitted_us;
	int64_t not_before_us;  /**< earliest time of the next attempt */
	int64_t sent_us;        /**< start of the current attempt */
	int64_t first_token_us; /**< of the current attempt; 0: none yet */
	int64_t prefill_tokens; /**< expected prefill of the current attempt */
	uint32_t priority;      /**< lower runs first */
	double start_tag; /**< start tag in fair queueing; lower runs first */
	UT_hash_handle hh;
};

#endif
