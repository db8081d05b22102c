/** @file
 * Data structures shared by engine_core.c and engine_step.c.
 */
#ifndef STANDINS_ENGINE_CORE_INTERNAL_H
#define STANDINS_ENGINE_CORE_INTERNAL_H

#include <uthash.h>

#include "common/list.h"
#include "standins/engine_core.h"

enum {
	ENGINE_SEEN_SLOTS = 1 << 18, /**< size of engine_core.seen */
};

/** A request that waits or runs. */
struct job {
	struct list link; /**< link in waiting or running */
	struct engine_request request;
	uint64_t *hashes; /**< owned copy of the request's hashes */
	struct cache_sequence sequence;
	uint64_t total_blocks;       /**< blocks for prompt and answer */
	uint64_t computed_tokens;    /**< computed or cached prompt tokens */
	uint64_t step_prompt_tokens; /**< prompt tokens computed in this step */
	uint64_t produced_tokens;
	uint64_t cached_tokens;
	bool running;
	bool decoding; /**< whether this step generates a token */
	bool stalled;  /**< see engine_core_stall() */
	UT_hash_handle hh;
};

/** An event that engine_core_next_event() has not returned yet. */
struct queued_event {
	struct list link;
	struct engine_event event;
};

struct engine_core {
	struct engine_options options;
	struct engine_cache *cache;
	struct job *jobs;    /**< hash table by request id */
	struct list waiting; /**< list of struct job, the next to start first */
	struct list running; /**< list of struct job */
	size_t waiting_count;
	size_t running_count;
	uint64_t reserved_blocks; /**< blocks that running jobs may yet pin */
	int64_t step_end_us; /**< end of the current step; INT64_MAX: idle */
	int64_t extra_step_us;
	struct list events; /**< list of struct queued_event */
	struct engine_totals totals;
	uint64_t *seen; /**< hashes computed before, indexed by hash modulo
			   ENGINE_SEEN_SLOTS; newer ones replace older ones */
};

/** Starts waiting jobs and begins a step, or leaves the engine idle. */
void engine_begin_step(struct engine_core *core, int64_t now_us);
/** Removes a running job and frees it. */
void engine_end_running(struct engine_core *core, struct job *job);
/** Unpins a job's blocks, removes it from its list and frees it. */
void engine_job_free(struct engine_core *core, struct job *job);

#endif
