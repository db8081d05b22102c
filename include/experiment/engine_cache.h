/** @file
 * Prefix cache of the simulated engine.
 */
#ifndef EXPERIMENT_ENGINE_CACHE_H
#define EXPERIMENT_ENGINE_CACHE_H

#include "experiment/engine.h"

/** Appends an output to engine->outputs. */
void engine_append_output(struct engine *engine, struct engine_output output);
/** Reserves memory for a call by evicting entries that are not pinned, pins the
 * entry of its program and sets call->cached_tokens. Returns false if there is
 * not enough memory yet, or another call of the program runs. */
bool engine_cache_pin(
    struct engine *engine, struct engine_call *call, int64_t now_us);
/** Unpins a program's entry after its call has ended. */
void
engine_cache_unpin(struct engine *engine, uint32_t program, int64_t now_us);
/** Drops a program's entry unless it is pinned. */
void engine_cache_drop(struct engine *engine, uint32_t program, int64_t now_us);
/** Drops all entries. */
void engine_cache_clear(struct engine *engine, int64_t now_us);

#endif
