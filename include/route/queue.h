/** @file
 * Queue of waiting calls, sorted in the order of dispatch.
 */
#ifndef ROUTE_QUEUE_H
#define ROUTE_QUEUE_H

#include "common/clock.h"
#include "route/call.h"

enum {
	/** Wait after which a call gets the highest priority. */
	QUEUE_STARVATION_US = 30 * US_PER_S,
};

/** Queue of waiting calls. */
struct route_queue {
	struct list calls; /**< next call to dispatch first */
	size_t count;
	size_t program_start_count; /**< calls that would start a program, see
				       queue_starts_program() */
	/** time of the last check for starving calls */
	int64_t last_promotion_us;
};

void queue_init(struct route_queue *queue);
/** Returns the priority of a call in this queue and in the engine; lower runs
 * first. */
uint32_t queue_priority(
    const struct sched_policy *policy, const struct sched_request *call);
/** Returns whether a call would start a program that admission control may hold
 * back. Urgent programs and sub-agents are never held back. */
bool queue_starts_program(const struct route_call *call);
/** Inserts a call by priority, then by its start tag. */
void queue_insert(struct route_queue *queue, struct route_call *call);
void queue_remove(struct route_queue *queue, struct route_call *call);
/** Raises calls that have waited for QUEUE_STARVATION_US to the highest
 * priority. */
void queue_promote(struct route_queue *queue, int64_t now_us);
/** Returns the longest wait of a call that would start a program, in
 * microseconds; 0 if none waits. */
int64_t queue_start_wait_us(const struct route_queue *queue, int64_t now_us);

#endif
