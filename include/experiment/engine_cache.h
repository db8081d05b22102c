/** @file
 * Prefix cache of the engine fake.
 */
#ifndef EXPERIMENT_ENGINE_CACHE_H
#define EXPERIMENT_ENGINE_CACHE_H

#include "experiment/engine.h"

void engine_output(struct engine *engine, struct engine_output output);
/** Makes room for a call, evicting what is not in use, and pins its program's
 * entry; sets call->cached_tokens. False: no room yet. */
bool engine_cache_pin(
    struct engine *engine, struct engine_call *call, int64_t now_us);
/** The call of a program is over. */
void
engine_cache_unpin(struct engine *engine, uint32_t program, int64_t now_us);
/** Drops a program's entry unless it is pinned. */
void engine_cache_drop(struct engine *engine, uint32_t program, int64_t now_us);
/** Drops all entries. */
void engine_cache_clear(struct engine *engine, int64_t now_us);

#endif
