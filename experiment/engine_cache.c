#include "experiment/engine_cache.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"

enum {
	ENGINE_INITIAL_CAP = 256,
};

void
engine_append_output(struct engine *engine, struct engine_output output)
{
	if (engine->output_count == engine->output_cap) {
		engine->output_cap = engine->output_cap == 0
		    ? ENGINE_INITIAL_CAP
		    : 2 * engine->output_cap;
		engine->outputs = xrealloc(engine->outputs,
		    engine->output_cap * sizeof(*engine->outputs));
	}
	engine->outputs[engine->output_count++] = output;
}

static struct engine_entry *
engine_find_entry(const struct engine *engine, uint32_t program)
{
	return program < engine->entry_cap ? engine->entries[program] : NULL;
}

static struct engine_entry *
engine_add_entry(struct engine *engine, uint32_t program)
{
	struct engine_entry *entry = xcalloc(1, sizeof(*entry));
	size_t cap = engine->entry_cap;

	if (program >= cap) {
		engine->entry_cap = 2 * ((size_t)program + ENGINE_INITIAL_CAP);
		engine->entries = xrealloc(engine->entries,
		    engine->entry_cap * sizeof(struct engine_entry *));
		memset(&engine->entries[cap], 0,
		    (engine->entry_cap - cap) * sizeof(struct engine_entry *));
	}
	entry->program = program;
	list_init(&entry->lru_link);
	list_append(&engine->lru, &entry->lru_link);
	engine->entries[program] = entry;
	return entry;
}

/* Frees an entry. If it isn't pinned, its tokens were held unused since its
 * last call. */
static void
engine_free_entry(
    struct engine *engine, struct engine_entry *entry, int64_t now_us)
{
	if (!entry->pinned)
		engine->unused_token_s += (double)entry->tokens *
		    (double)(now_us - entry->idle_since_us) / US_PER_S;
	engine->kv_used_tokens -= entry->tokens;
	engine->entries[entry->program] = NULL;
	list_remove(&entry->lru_link);
	free(entry);
}

/* Evicts entries that are not pinned, except the program's own, until the
 * tokens fit; least recently used first. Evicts nothing and returns false if
 * they can't fit. */
static bool
engine_cache_make_room(
    struct engine *engine, uint32_t program, uint64_t tokens, int64_t now_us)
{
	uint64_t capacity = (uint64_t)engine->params->kv_tokens;
	uint64_t evictable_tokens = 0;

	list_for_each (entry, &engine->lru, struct engine_entry, lru_link) {
		if (engine->kv_used_tokens + tokens <=
		    capacity + evictable_tokens)
			break;
		if (!entry->pinned && entry->program != program)
			evictable_tokens += entry->tokens;
	}
	if (engine->kv_used_tokens + tokens > capacity + evictable_tokens)
		return false;
	list_for_each_safe (
	    entry, tmp, &engine->lru, struct engine_entry, lru_link) {
		if (engine->kv_used_tokens + tokens <= capacity)
			break;
		if (entry->pinned || entry->program == program)
			continue;
		engine_append_output(engine,
		    (struct engine_output){
			.kind = ENGINE_EVICTED, .program = entry->program});
		engine_free_entry(engine, entry, now_us);
	}
	return true;
}

bool
engine_cache_pin(
    struct engine *engine, struct engine_call *call, int64_t now_us)
{
	struct engine_entry *entry = engine_find_entry(engine, call->program);
	uint64_t total_tokens = call->prompt_tokens + call->answer_tokens;
	uint64_t cached_tokens = entry == NULL ? 0 : entry->tokens;

	if (entry != NULL && entry->pinned)
		return false;
	if (total_tokens > cached_tokens &&
	    !engine_cache_make_room(
		engine, call->program, total_tokens - cached_tokens, now_us))
		return false;
	if (entry == NULL)
		entry = engine_add_entry(engine, call->program);
	call->cached_tokens = cached_tokens < call->history_tokens
	    ? cached_tokens
	    : call->history_tokens;
	engine->kv_used_tokens += total_tokens - cached_tokens;
	entry->tokens = total_tokens;
	entry->pinned = true;
	return true;
}

void
engine_cache_unpin(struct engine *engine, uint32_t program, int64_t now_us)
{
	struct engine_entry *entry = engine_find_entry(engine, program);

	entry->pinned = false;
	entry->idle_since_us = now_us;
	list_remove(&entry->lru_link);
	list_append(&engine->lru, &entry->lru_link);
}

void
engine_cache_drop(struct engine *engine, uint32_t program, int64_t now_us)
{
	struct engine_entry *entry = engine_find_entry(engine, program);

	if (entry != NULL && !entry->pinned)
		engine_free_entry(engine, entry, now_us);
}

void
engine_cache_clear(struct engine *engine, int64_t now_us)
{
	list_for_each_safe (
	    entry, tmp, &engine->lru, struct engine_entry, lru_link)
		engine_free_entry(engine, entry, now_us);
}
