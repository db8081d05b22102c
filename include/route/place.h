/** @file
 * Choice of the backend server that a call is sent to.
 */
#ifndef ROUTE_PLACE_H
#define ROUTE_PLACE_H

#include "route/call.h"
#include "route/program.h"

/** Inputs of a placement decision. */
struct place_context {
	const struct route_servers *servers;
	const struct sched_policy *policy;
	const struct config_limits *limits;
	const char *region;         /**< of this VM */
	const char *failure_domain; /**< of this VM */
	struct rng *rng;
	/** next server for SCHED_ROUTE_ROUND_ROBIN */
	size_t *round_robin_index;
	int64_t now_us;
};

/** Result of a placement decision. */
struct place_choice {
	/** NULL: no server can take the call now */
	struct route_server *server;
	uint64_t cached_tokens; /**< history tokens expected in its KV cache */
};

/** Chooses a server for a call by the policy. program is NULL if the call's
 * program has no routing state. */
struct place_choice place_call(const struct place_context *context,
    const struct route_call *call, const struct route_program *program);

#endif
