/** @file
 * Queue of events in virtual time, as a binary heap. Events of equal time keep
 * the order in which they were added.
 */
#ifndef EXPERIMENT_EVENTS_H
#define EXPERIMENT_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of events, and the meaning of their members a to d. */
enum event_type {
	EVENT_ARRIVAL, /**< a new program begins */
	EVENT_SUBMIT,  /**< a: program, b: whether it is a retry; the program's
			  call reaches its node */
	EVENT_NODE_TIMER,   /**< a: node; its scheduler's timer expires */
	EVENT_ENGINE_TIMER, /**< a: engine, b: generation; the engine has an
			       output */
	EVENT_CALL_ARRIVED, /**< a: program, b: attempt, c: priority; the call
			       reaches an engine */
	EVENT_FIRST_TOKEN,  /**< a: program, b: attempt; the token reaches the
			       node */
	EVENT_CALL_DONE, /**< a: program, b: attempt, c: cached tokens; the end
			    of the response reaches the node */
	EVENT_CALL_FAILED,    /**< a: program, b: attempt, c: enum sched_result;
				 the failure reaches the node */
	EVENT_REPORT_DUE,     /**< a: engine; it is time to measure its load */
	EVENT_REPORT_ARRIVED, /**< a: engine, b: index in its reports; the
				 report reaches the nodes */
	EVENT_CACHE_EVENT_ARRIVED, /**< a: program, b: engine, c: enum
				      sched_cache_event, d: tokens; the event
				      reaches the program's node, or all
				      nodes if the cache was cleared */
	EVENT_RELEASE, /**< a: program, b: engine; a cache release reaches the
			  engine */
	EVENT_HEALTH,  /**< a: engine, b: healthy, c: SIMULATION_ALL_REGIONS, or
			  the engine's region if only nodes on the other side of
			  the partition see it */
	EVENT_FAULT,   /**< the next step of the injected fault */
	EVENT_ENGINE_RESTART, /**< a: engine; it restarts */
	EVENT_SAMPLE,         /**< the load of the engines is sampled */
	EVENT_ABANDONED,      /**< a: program; it ends, as its caller is gone */
};

/** An event; a to d depend on its type. */
struct event {
	int64_t at_us;
	uint64_t sequence; /**< sequence number; orders events of equal time */
	enum event_type type;
	uint32_t a;
	uint64_t b;
	uint64_t c;
	uint64_t d;
};

/** Event queue; all zero when empty. */
struct events {
	struct event *heap;
	size_t count;
	size_t cap;
	uint64_t sequence; /**< sequence number of the next event */
};

/** Frees all events. */
void events_reset(struct events *events);
/** Adds an event; its sequence number is assigned here. */
void events_add(struct events *events, struct event event);
/** Removes the earliest event. Returns false if there is none. */
bool events_pop(struct events *events, struct event *event);

#endif
