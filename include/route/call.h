/** @file
 * A model call that waits or runs.
 */
#ifndef ROUTE_CALL_H
#define ROUTE_CALL_H

#include <uthash.h>

#include "common/list.h"
#include "route/server.h"

struct route_call {
	struct sched_request request;
	struct list queue_link;             /**< in the queue, while it waits */
	struct list attempt_link;           /**< in its server, while it runs */
	struct route_server *server;        /**< NULL while it waits */
	struct route_server *failed_server; /**< of the last failed attempt */
	uint32_t attempts;
	int64_t submitted_us;
	int64_t not_before_us;
	int64_t sent_us;
	int64_t first_token_us;
	int64_t prefill_tokens; /**< expected, of the attempt under way */
	uint32_t priority;
	double start_tag; /**< of its workspace's share; lower first */
	UT_hash_handle hh;
};

#endif
