/** @file
 * Simulated model engine with continuous batching, chunked prefill, a prefix
 * cache of limited memory with LRU eviction, and priorities among waiting
 * calls. Between events, work is modelled as continuous: fractions of a batch
 * step and of a token count.
 */
#ifndef EXPERIMENT_ENGINE_H
#define EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/list.h"
#include "experiment/params.h"
#include "route/sched.h"

/** A call that waits or runs in an engine. */
struct engine_call {
	uint32_t program; /**< index of the program */
	uint64_t attempt; /**< number of the attempt, repeated in outputs */
	/** prompt tokens that earlier turns already had */
	uint64_t history_tokens;
	uint64_t prompt_tokens;     /**< all prompt tokens, history included */
	uint64_t answer_tokens;     /**< tokens to generate */
	uint32_t priority;          /**< lower runs first */
	uint64_t cached_tokens;     /**< history tokens found in the cache */
	double prefill_tokens_left; /**< tokens still to prefill */
	double answer_tokens_left;  /**< tokens still to generate */
	struct list link; /**< link in engine.running or engine.waiting */
};

/** What happened in an engine. */
enum engine_output_kind {
	ENGINE_FIRST_TOKEN,
	ENGINE_DONE,
	ENGINE_ABORTED, /**< the call failed because the engine crashed */
	ENGINE_EVICTED, /**< the program's cache was evicted */
	ENGINE_STORED,  /**< the program's cache was stored */
};

/** An event that an engine reports to the simulation. */
struct engine_output {
	enum engine_output_kind kind;
	uint32_t program;
	uint64_t attempt;
	uint64_t tokens; /**< cached tokens for ENGINE_DONE, stored ones for
			    ENGINE_STORED */
};

/** Cached prefix of one program. */
struct engine_entry {
	uint32_t program;
	uint64_t tokens;
	bool pinned;           /**< whether a call of the program runs */
	int64_t idle_since_us; /**< end of the program's last call */
	struct list lru_link;  /**< link in engine.lru */
};

/** State of an engine. */
struct engine {
	const struct params *params;
	struct list running; /**< calls in the batch, oldest first */
	size_t running_count;
	struct list waiting; /**< calls in the order in which they will start */
	size_t waiting_count;
	uint64_t waiting_prompt_tokens; /**< sum over waiting calls */
	/** cache entries by program index; NULL: none */
	struct engine_entry **entries;
	size_t entry_cap; /**< length of entries */
	struct list lru;  /**< cache entries, least recently used first */
	uint64_t kv_used_tokens; /**< sum over cache entries */
	int64_t now_us;          /**< time that the state stands for */
	uint64_t generation;     /**< generation of the scheduled timer event;
				    older events are ignored */
	double slowdown;         /**< factor on the duration of a batch step */
	bool down;               /**< whether it has crashed */
	struct engine_output *outputs; /**< not yet passed on */
	size_t output_count;
	size_t output_cap;
	uint64_t recomputed_tokens; /**< total of uncached history tokens of
				       started calls, see docs/MEASURES.md */
	double unused_token_s; /**< total of token-seconds held in cache and not
				  used again */
};

/** Initializes an idle engine; params must outlive it. */
void engine_init(struct engine *engine, const struct params *params);
/** Frees the calls, cache entries and outputs of an engine. */
void engine_reset(struct engine *engine);
/** Advances an engine to a time and appends the outputs on the way. */
void engine_advance(struct engine *engine, int64_t now_us);
/** Queues a copy of a call. Returns false if the engine is down. */
bool engine_submit(
    struct engine *engine, const struct engine_call *call, int64_t now_us);
/** Releases a program's cache unless one of its calls runs. */
void engine_release(struct engine *engine, uint32_t program, int64_t now_us);
/** Crashes an engine: aborts all calls, clears the cache and marks it down. */
void engine_crash(struct engine *engine, int64_t now_us);
/** Returns the time of the next output of engine_advance(); INT64_MAX if there
 * is none. */
int64_t engine_next_us(const struct engine *engine);
/** Fills in a load report measured at now_us. */
void engine_get_load(
    const struct engine *engine, int64_t now_us, struct sched_load *load);

#endif
