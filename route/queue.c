#include "route/queue.h"

enum {
	/** highest priority, of urgent and starving calls */
	QUEUE_PRIORITY_URGENT = 0,
	QUEUE_FIRST_LEVEL_TOKENS = 4096, /**< processed tokens up to which a
					    program is on the first level */
	QUEUE_LEVELS = 16,
	/** interval of the checks for starving calls */
	QUEUE_PROMOTE_INTERVAL_US = 100 * US_PER_MS,
};

void
queue_init(struct route_queue *queue)
{
	*queue = (struct route_queue){0};
	list_init(&queue->calls);
}

/* Returns the level of a program in least-attained-service scheduling, from 1.
 * Each doubling of the tokens processed for it moves it one level down. */
static uint32_t
queue_level(uint64_t served_tokens)
{
	uint64_t left = served_tokens / QUEUE_FIRST_LEVEL_TOKENS;
	uint32_t level = 1;

	while (left > 0 && level < QUEUE_LEVELS) {
		left >>= 1;
		level++;
	}
	return level;
}

uint32_t
queue_priority(
    const struct sched_policy *policy, const struct sched_request *call)
{
	if (policy->order == SCHED_ORDER_FCFS)
		return QUEUE_PRIORITY_URGENT;
	if (call->urgent)
		return QUEUE_PRIORITY_URGENT;
	return queue_level(call->program_served_tokens);
}

bool
queue_starts_program(const struct route_call *call)
{
	const struct sched_request *request = &call->request;

	return request->turn <= 1 && !request->urgent && !request->sub_agent;
}

void
queue_insert(struct route_queue *queue, struct route_call *call)
{
	struct list *position = queue->calls.prev;

	while (position != &queue->calls) {
		const struct route_call *other =
		    list_entry(position, struct route_call, queue_link);

		if (other->priority < call->priority)
			break;
		if (other->priority == call->priority &&
		    other->start_tag <= call->start_tag)
			break;
		position = position->prev;
	}
	list_insert(position, &call->queue_link);
	queue->count++;
	queue->program_start_count += queue_starts_program(call);
}

void
queue_remove(struct route_queue *queue, struct route_call *call)
{
	list_remove(&call->queue_link);
	queue->count--;
	queue->program_start_count -= queue_starts_program(call);
}

void
queue_promote(struct route_queue *queue, int64_t now_us)
{
	if (now_us < queue->last_promotion_us + QUEUE_PROMOTE_INTERVAL_US)
		return;
	queue->last_promotion_us = now_us;
	list_for_each_safe (
	    call, tmp, &queue->calls, struct route_call, queue_link) {
		if (call->priority == QUEUE_PRIORITY_URGENT ||
		    now_us - call->submitted_us < QUEUE_STARVATION_US)
			continue;
		queue_remove(queue, call);
		call->priority = QUEUE_PRIORITY_URGENT;
		queue_insert(queue, call);
	}
}

int64_t
queue_start_wait_us(const struct route_queue *queue, int64_t now_us)
{
	int64_t longest = 0;

	if (queue->program_start_count == 0)
		return 0;
	list_for_each (call, &queue->calls, struct route_call, queue_link) {
		if (queue_starts_program(call) &&
		    now_us - call->submitted_us > longest)
			longest = now_us - call->submitted_us;
	}
	return longest;
}
