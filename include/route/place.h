/** @file
 * Choice of the server that a call is sent to.
 */
#ifndef ROUTE_PLACE_H
#define ROUTE_PLACE_H

#include "route/call.h"
#include "route/program.h"

/** What a choice is made from. */
struct place_context {
	const struct route_servers *servers;
	const struct sched_policy *policy;
	const struct config_limits *limits;
	const char *region;
	const char *failure_domain;
	struct rng *rng;
	size_t *round_robin_index; /**< of round robin */
	int64_t now_us;
};

struct place_choice {
	struct route_server *server; /**< NULL: none can take it now */
	uint64_t cached_tokens;      /**< expected */
};

/** Chooses; program may be NULL when nothing is known of it. */
struct place_choice place_call(const struct place_context *context,
    const struct route_call *call, const struct route_program *program);

#endif
