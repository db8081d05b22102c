/** @file
 * State of the scheduler, shared by its own source files only.
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
	SCHED_RELEASE_US = 200 * US_PER_MS, /**< between checks of pauses */
};

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
	size_t round_robin_index;      /**< of round robin */
	int64_t polled_us;             /**< when no call could be sent */
	int64_t last_release_check_us; /**< last check of pauses */
};

/** Returns a call that waits or runs, or NULL. */
struct route_call *sched_find_call(const struct sched *sched, uint64_t handle);
/** Frees a call that is in no list. */
void sched_free_call(struct sched *sched, struct route_call *call);

#endif
