/** @file
 * State of the scheduler, private to the source files in route/.
 */
#ifndef ROUTE_INTERNAL_H
#define ROUTE_INTERNAL_H

#include "route/call.h"
#include "route/pause.h"
#include "route/program.h"
#include "route/queue.h"
#include "route/retry.h"
#include "route/server.h"
#include "route/share.h"

enum {
	SCHED_MODELS_MAX = 64,
	/** interval of the checks for KV cache to release */
	SCHED_RELEASE_CHECK_US = 200 * US_PER_MS,
};

/** State of a scheduler. */
struct sched {
	char region[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	struct counters *counters;
	struct sched_policy policy;
	struct rng rng;
	struct config_limits limits;
	char models[SCHED_MODELS_MAX][NAME_BYTES];
	size_t model_count;
	struct route_servers servers;
	struct route_programs programs;
	struct pauses pauses;
	struct route_queue queue;
	struct shares shares;
	struct route_call *calls; /**< uthash by call handle */
	struct retry_budget retry_budget;
	/** next server for SCHED_ROUTE_ROUND_ROBIN */
	size_t round_robin_index;
	/** last time that no queued call could be sent */
	int64_t last_poll_us;
	int64_t last_release_check_us; /**< time of the last check for KV cache
					  to release */
};

/** Returns the waiting or running call with a handle, or NULL. */
struct route_call *sched_find_call(const struct sched *sched, uint64_t handle);
/** Removes a call from the table of calls and frees it. The call must be
 * neither queued nor attached to a server. */
void sched_free_call(struct sched *sched, struct route_call *call);

#endif
