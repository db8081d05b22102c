/** @file
 * Continuous batching of standin-engine, in virtual time. Does no I/O.
 *
 * The engine works in steps. A step computes part of the prompts of running
 * requests, and one token of each request whose prompt is computed. Requests
 * start by priority (the lowest number first), then by arrival, as soon as
 * their blocks fit into the KV memory.
 */
#ifndef STANDINS_ENGINE_CORE_H
#define STANDINS_ENGINE_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standins/engine_cache.h"

struct engine_core;

/** Capacity and speed of an engine. */
struct engine_options {
	uint64_t kv_tokens; /**< size of the KV memory */
	double prefill_tokens_per_s;
	uint64_t prefill_chunk_tokens; /**< most prompt tokens in a step */
	int64_t step_us;               /**< base duration of a step */
	int64_t step_us_per_request;   /**< addition per decoding request */
	size_t max_running;
	size_t max_waiting;
};

/** A request to generate tokens. */
struct engine_request {
	uint64_t id;
	int64_t priority;
	char program[ENGINE_NAME_BYTES];
	uint64_t prompt_tokens;
	uint64_t answer_tokens; /**< at least 1 */
	const uint64_t *hashes; /**< block hashes of prompt and answer */
	size_t hash_count;
};

/** Result of engine_core_submit(). */
enum engine_submit_result {
	ENGINE_ACCEPTED,
	ENGINE_TOO_LONG, /**< needs more than the whole KV memory */
	ENGINE_BUSY,     /**< max_waiting requests wait already */
};

enum engine_event_type {
	ENGINE_TOKEN,    /**< a token was generated */
	ENGINE_FINISHED, /**< the last token was generated */
};

/** Progress of a request. */
struct engine_event {
	enum engine_event_type type;
	uint64_t id;
	uint64_t produced_tokens; /**< tokens generated so far */
	uint64_t cached_tokens;   /**< prompt tokens found in the cache */
};

/** Load of an engine, as GET /v1/load reports it. */
struct engine_load {
	int64_t measured_us;
	size_t running;
	size_t waiting;
	uint64_t kv_used_tokens; /**< tokens pinned or reserved for requests */
	uint64_t kv_cached_tokens; /**< cached tokens that can be evicted */
	uint64_t kv_tokens;
	uint64_t waiting_prefill_tokens; /**< prompt tokens not computed yet */
};

/** Counters since the start of an engine. */
struct engine_totals {
	uint64_t prompt_tokens;     /**< prompt tokens of started requests */
	uint64_t cached_tokens;     /**< prompt tokens found in the cache */
	uint64_t recomputed_tokens; /**< tokens computed though once cached */
	uint64_t generated_tokens;
	uint64_t steps;
};

struct engine_core *engine_core_create(const struct engine_options *options);
void engine_core_destroy(struct engine_core *core);
/** Returns the prefix cache, which the core owns. */
struct engine_cache *engine_core_cache(struct engine_core *core);

/** Queues a request, whose hashes are copied. */
enum engine_submit_result engine_core_submit(struct engine_core *core,
    const struct engine_request *request, int64_t now_us);
/** Ends a request without an event. Returns false if the id is unknown. */
bool engine_core_cancel(struct engine_core *core, uint64_t id, int64_t now_us);
/** Makes a request keep its place in the batch but produce no more tokens. */
void engine_core_stall(struct engine_core *core, uint64_t id);
/** Drops the blocks held for a program. Blocks that its running requests have
 * pinned are dropped when these end. Returns the tokens held before. */
uint64_t engine_core_release(struct engine_core *core, const char *program);
/** Sets the time added to each step, from the next step on. */
void engine_core_set_extra_step_time(struct engine_core *core, int64_t step_us);

/** Returns the end time of the current step, or INT64_MAX if the engine is
 * idle. */
int64_t engine_core_next_us(const struct engine_core *core);
/** Completes all steps that end by now_us. */
void engine_core_advance(struct engine_core *core, int64_t now_us);
/** Removes the oldest event and copies it; returns false if there is none. */
bool
engine_core_next_event(struct engine_core *core, struct engine_event *event);

/** Fills in the present load. */
void engine_core_measure(
    const struct engine_core *core, int64_t now_us, struct engine_load *load);
void engine_core_totals(
    const struct engine_core *core, struct engine_totals *totals);

#endif
