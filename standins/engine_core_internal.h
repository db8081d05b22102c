/** @file
 * Shared by engine_core.c and engine_step.c.
 */
#ifndef STANDINS_ENGINE_CORE_INTERNAL_H
#define STANDINS_ENGINE_CORE_INTERNAL_H

#include <uthash.h>

#include "common/list.h"
#include "standins/engine_core.h"

enum {
	ENGINE_SEEN_SLOTS = 1 << 18,
};

struct job {
	struct list link; /**< in waiting or running */
	struct engine_request request;
	uint64_t *hashes;
	struct cache_sequence sequence;
	uint64_t total_blocks;       /**< needed in all */
	uint64_t computed_tokens;    /**< prompt tokens */
	uint64_t step_prompt_tokens; /**< prompt tokens of the present step */
	uint64_t produced_tokens;
	uint64_t cached_tokens;
	bool running;
	bool decoding; /**< in the present step */
	bool stalled;
	UT_hash_handle hh;
};

struct queued_event {
	struct list link;
	struct engine_event event;
};

struct engine_core {
	struct engine_options options;
	struct engine_cache *cache;
	struct job *jobs;    /**< hash table by id */
	struct list waiting; /**< of struct job, the next one first */
	struct list running; /**< of struct job */
	size_t waiting_count;
	size_t running_count;
	uint64_t reserved_blocks; /**< that running jobs may still pin */
	int64_t step_end_us;      /**< INT64_MAX: idle */
	int64_t extra_step_us;
	struct list events; /**< of struct queued_event */
	struct engine_totals totals;
	uint64_t *seen; /**< hashes once stored, by their low bits */
};

/** Begins a step, or leaves the engine idle. */
void engine_begin_step(struct engine_core *core, int64_t now_us);
/** Ends a job that runs. */
void engine_end_running(struct engine_core *core, struct job *job);
void engine_job_free(struct engine_core *core, struct job *job);

#endif
