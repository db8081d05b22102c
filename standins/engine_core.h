/** @file
 * Continuous batching of the engine's stand-in, in virtual time. No I/O.
 *
 * Work goes in steps. A step computes part of the waiting prompts and one
 * token of each request whose prompt is computed. Requests start by priority
 * (the lowest number first), then by arrival, as soon as their blocks fit.
 */
#ifndef STANDINS_ENGINE_CORE_H
#define STANDINS_ENGINE_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standins/engine_cache.h"

struct engine_core;

struct engine_options {
	uint64_t kv_tokens;
	double prefill_tokens_per_s;
	uint64_t prefill_chunk_tokens; /**< most a step */
	int64_t step_us;
	int64_t step_us_per_request; /**< added for each that decodes */
	size_t max_running;
	size_t max_waiting;
};

struct engine_request {
	uint64_t id;
	int64_t priority;
	char program[ENGINE_NAME_BYTES];
	uint64_t prompt_tokens;
	uint64_t answer_tokens; /**< at least 1 */
	const uint64_t *hashes; /**< of prompt and answer; copied */
	size_t hash_count;
};

enum engine_submit_result {
	ENGINE_ACCEPTED,
	ENGINE_TOO_LONG, /**< would not even fit alone */
	ENGINE_BUSY,     /**< too many wait */
};

enum engine_event_type {
	ENGINE_TOKEN,
	ENGINE_FINISHED,
};

struct engine_event {
	enum engine_event_type type;
	uint64_t id;
	uint64_t produced_tokens; /**< tokens so far */
	uint64_t cached_tokens;   /**< of the prompt */
};

/** State as GET /v1/load reports it. */
struct engine_load {
	int64_t measured_us;
	size_t running;
	size_t waiting;
	uint64_t kv_used_tokens;   /**< of running requests */
	uint64_t kv_cached_tokens; /**< kept, but free to evict */
	uint64_t kv_tokens;
	uint64_t waiting_prefill_tokens;
};

struct engine_totals {
	uint64_t prompt_tokens;     /**< of requests that started */
	uint64_t cached_tokens;     /**< found in the cache */
	uint64_t recomputed_tokens; /**< computed though once cached here */
	uint64_t generated_tokens;
	uint64_t steps;
};

struct engine_core *engine_core_create(const struct engine_options *options);
void engine_core_destroy(struct engine_core *core);
struct engine_cache *engine_core_cache(struct engine_core *core);

enum engine_submit_result engine_core_submit(struct engine_core *core,
    const struct engine_request *request, int64_t now_us);
/** Ends a request; no event follows. Returns false when it is unknown. */
bool engine_core_cancel(struct engine_core *core, uint64_t id, int64_t now_us);
/** Lets a request keep its place but make no more tokens. */
void engine_core_stall(struct engine_core *core, uint64_t id);
/** Drops what is held for a program; what its running requests have pinned
 * goes when they end. Returns the number of tokens held before. */
uint64_t engine_core_release(struct engine_core *core, const char *program);
/** Slows each step from the next one on; 0: not at all. */
void engine_core_set_extra_step_time(struct engine_core *core, int64_t step_us);

/** Returns when the present step ends; INT64_MAX: nothing to do. */
int64_t engine_core_next_us(const struct engine_core *core);
/** Does all steps that end by now. */
void engine_core_advance(struct engine_core *core, int64_t now_us);
/** Takes the next event; false: none. */
bool
engine_core_next_event(struct engine_core *core, struct engine_event *event);

void engine_core_measure(
    const struct engine_core *core, int64_t now_us, struct engine_load *load);
void engine_core_totals(
    const struct engine_core *core, struct engine_totals *totals);

#endif
