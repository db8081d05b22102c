/** @file
 * Events in virtual time, in a binary heap; equal times keep their order.
 */
#ifndef EXPERIMENT_EVENTS_H
#define EXPERIMENT_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum event_type {
	EVENT_ARRIVAL,       /**< the next program begins */
	EVENT_SUBMIT,        /**< a: program; its call reaches its node */
	EVENT_NODE,          /**< a: node; timer of its scheduler */
	EVENT_ENGINE,        /**< a: engine, b: generation; work is done */
	EVENT_CALL_SENT,     /**< a: program, b: attempt; reaches an engine */
	EVENT_FIRST_TOKEN,   /**< a: program, b: attempt; reaches the node */
	EVENT_CALL_DONE,     /**< a: program, b: attempt; reaches the node */
	EVENT_CALL_FAILED,   /**< a: program, b: attempt, c: result */
	EVENT_REPORT,        /**< a: engine; it measures its load */
	EVENT_REPORT_COMES,  /**< a: engine, b: report */
	EVENT_CACHE_CHANGED, /**< a: program, b: engine, c: event, d: tokens */
	EVENT_RELEASE,       /**< a: program, b: engine */
	EVENT_HEALTH,        /**< a: engine, b: healthy, c: region or all */
	EVENT_FAULT,         /**< a: step */
	EVENT_RESTORE,       /**< a: engine that is up again */
	EVENT_SAMPLE,        /**< queue lengths are sampled */
	EVENT_ABANDONED,     /**< a: program that its owner ends */
};

struct event {
	int64_t at_us;
	uint64_t order;
	enum event_type type;
	uint32_t a;
	uint64_t b;
	uint64_t c;
	uint64_t d;
};

struct events {
	struct event *heap;
	size_t count;
	size_t cap;
	uint64_t order;
};

void events_reset(struct events *events);
void events_add(struct events *events, struct event event);
/** Takes the earliest event; false: none is left. */
bool events_take(struct events *events, struct event *event);

#endif
