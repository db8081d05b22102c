/** @file
 * Fake of a model engine: continuous batching with prefill in chunks, a
 * prefix cache of limited memory (least recently used goes first), priorities
 * among waiting calls. Work proceeds continuously between events.
 */
#ifndef EXPERIMENT_ENGINE_H
#define EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/list.h"
#include "experiment/params.h"
#include "route/sched.h"

struct engine_call {
	uint32_t program; /**< index */
	uint64_t attempt;
	uint64_t history_tokens;
	uint64_t prompt_tokens; /**< history and new ones */
	uint64_t answer_tokens;
	uint32_t priority; /**< lower first */
	uint64_t cached_tokens;
	double prefill_left; /**< tokens */
	double answer_left;  /**< tokens */
	struct list link;
};

enum engine_output_kind {
	ENGINE_FIRST_TOKEN,
	ENGINE_DONE,
	ENGINE_CUT,     /**< the engine died */
	ENGINE_EVICTED, /**< of the program's cache */
	ENGINE_STORED,
};

struct engine_output {
	enum engine_output_kind kind;
	uint32_t program;
	uint64_t attempt;
	uint64_t tokens; /**< cached (DONE), stored (STORED) */
};

/** Cached prefix of one program. */
struct engine_entry {
	uint32_t program;
	uint64_t tokens;
	bool pinned; /**< a call of it runs */
	int64_t idle_since_us;
	struct list used; /**< least recently used first */
};

struct engine {
	const struct params *params;
	struct list running; /**< of struct engine_call, oldest first */
	size_t running_count;
	struct list waiting; /**< in the order of start */
	size_t waiting_count;
	uint64_t waiting_prompt_tokens;
	struct engine_entry **entries; /**< by program; NULL: none */
	size_t entry_cap;
	struct list used;
	uint64_t kv_used_tokens;
	int64_t now_us;
	uint64_t generation; /**< of the event that is scheduled */
	double slowness;     /**< 1: as the parameters say */
	bool down;
	struct engine_output *outputs;
	size_t output_count;
	size_t output_cap;
	/* totals of all time */
	uint64_t recomputed_tokens; /**< of histories, see docs/MEASURES.md */
	double unused_token_s;      /**< held and not used again */
};

void engine_init(struct engine *engine, const struct params *params);
void engine_reset(struct engine *engine);
/** Works until a time and appends outputs. */
void engine_advance(struct engine *engine, int64_t now_us);
/** Takes a call; false: the engine is down. */
bool engine_submit(
    struct engine *engine, const struct engine_call *call, int64_t now_us);
/** Releases the program's cache unless a call of it runs. */
void engine_release(struct engine *engine, uint32_t program, int64_t now_us);
/** Loses all calls and the cache. */
void engine_crash(struct engine *engine, int64_t now_us);
/** Returns when engine_advance() has the next output; INT64_MAX: never. */
int64_t engine_next_us(const struct engine *engine);
void engine_get_load(
    const struct engine *engine, int64_t now_us, struct sched_load *load);

#endif
