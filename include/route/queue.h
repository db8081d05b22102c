/** @file
 * Waiting calls in the order in which they are to be sent.
 */
#ifndef ROUTE_QUEUE_H
#define ROUTE_QUEUE_H

#include "common/clock.h"
#include "route/call.h"

enum {
	/** A call that waited this long goes before all others. */
	QUEUE_STARVATION_US = 30 * US_PER_S,
};

struct route_queue {
	struct list calls; /**< first to be sent first */
	size_t count;
	size_t program_start_count; /**< calls that would begin a program */
	int64_t promoted_us;
};

void queue_init(struct route_queue *queue);
/** Returns the call's priority for here and for the engine; lower first. */
uint32_t queue_priority(
    const struct sched_policy *policy, const struct sched_request *call);
/** Returns whether a call would begin a program that may be held back. */
bool queue_starts_program(const struct route_call *call);
/** Inserts by priority, then by the tag of its workspace's share. */
void queue_insert(struct route_queue *queue, struct route_call *call);
void queue_remove(struct route_queue *queue, struct route_call *call);
/** Moves calls that have waited too long to the front. */
void queue_promote(struct route_queue *queue, int64_t now_us);
/** Returns how long the oldest new program has waited; 0: none waits. */
int64_t queue_start_wait_us(const struct route_queue *queue, int64_t now_us);

#endif
