#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/engine_cache.h"

enum {
	INITIAL_CAPACITY = 64,
};

/** A block of KV memory. */
struct cache_block {
	uint64_t hash;
	uint32_t pins;     /**< number of sequences that have pinned it */
	struct list lru;   /**< link in engine_cache.unpinned while pins is 0 */
	struct list holds; /**< list of struct hold */
	UT_hash_handle hh;
};

/** A program that blocks are held for. */
struct program {
	char name[ENGINE_NAME_BYTES];
	struct list holds;   /**< list of struct hold */
	struct list changed; /**< link in engine_cache.changed */
	size_t held;         /**< number of holds */
	uint64_t stored;     /**< blocks added since the last report */
	uint64_t evicted;    /**< blocks dropped since the last report */
	bool ended;
	UT_hash_handle hh;
};

/** Links a block with a program that it is held for. */
struct hold {
	struct list block_link;   /**< link in cache_block.holds */
	struct list program_link; /**< link in program.holds */
	struct cache_block *block;
	struct program *program;
};

struct engine_cache {
	size_t capacity;
	size_t count;               /**< number of blocks */
	size_t pinned;              /**< number of pinned blocks */
	struct cache_block *blocks; /**< hash table by hash */
	struct program *programs;   /**< hash table by name */
	struct list unpinned;       /**< blocks, least recently used first */
	struct list changed;        /**< programs with unreported changes */
};

struct engine_cache *
engine_cache_create(size_t capacity_blocks)
{
	struct engine_cache *cache = xcalloc(1, sizeof(*cache));

	cache->capacity = capacity_blocks;
	list_init(&cache->unpinned);
	list_init(&cache->changed);
	return cache;
}

static void
hold_free(struct hold *hold)
{
	list_remove(&hold->block_link);
	list_remove(&hold->program_link);
	hold->program->held--;
	free(hold);
}

void
engine_cache_destroy(struct engine_cache *cache)
{
	struct cache_block *block = cache->blocks;
	struct program *program = cache->programs;

	HASH_CLEAR(hh, cache->blocks);
	HASH_CLEAR(hh, cache->programs);
	for (struct cache_block *next; block != NULL; block = next) {
		next = block->hh.next;
		list_for_each_safe (
		    hold, tmp, &block->holds, struct hold, block_link)
			hold_free(hold);
		free(block);
	}
	for (struct program *next; program != NULL; program = next) {
		next = program->hh.next;
		free(program);
	}
	free(cache);
}

static struct cache_block *
find_block(const struct engine_cache *cache, uint64_t hash)
{
	struct cache_block *block;

	HASH_FIND(hh, cache->blocks, &hash, sizeof(hash), block);
	return block;
}

static struct program *
find_program(const struct engine_cache *cache, const char *name)
{
	struct program *program;

	HASH_FIND_STR(cache->programs, name, program);
	return program;
}

static struct program *
get_or_create_program(struct engine_cache *cache, const char *name)
{
	struct program *program = find_program(cache, name);

	if (program != NULL)
		return program;
	program = xcalloc(1, sizeof(*program));
	snprintf(program->name, sizeof(program->name), "%s", name);
	list_init(&program->holds);
	list_init(&program->changed);
	HASH_ADD_STR(cache->programs, name, program);
	return program;
}

/* Appends a program to the list of those with unreported changes. */
static void
queue_change(struct engine_cache *cache, struct program *program)
{
	list_remove(&program->changed);
	list_append(&cache->changed, &program->changed);
}

static void
hold_block(
    struct engine_cache *cache, struct cache_block *block, const char *name)
{
	struct program *program;
	struct hold *hold;

	if (name[0] == '\0')
		return;
	program = get_or_create_program(cache, name);
	list_for_each (other, &block->holds, struct hold, block_link) {
		if (other->program == program)
			return;
	}
	hold = xcalloc(1, sizeof(*hold));
	hold->block = block;
	hold->program = program;
	list_append(&block->holds, &hold->block_link);
	list_append(&program->holds, &hold->program_link);
	program->held++;
	program->stored++;
	queue_change(cache, program);
}

static void
drop_hold(struct engine_cache *cache, struct hold *hold)
{
	hold->program->evicted++;
	queue_change(cache, hold->program);
	hold_free(hold);
}

static void
drop_block(struct engine_cache *cache, struct cache_block *block)
{
	list_for_each_safe (hold, tmp, &block->holds, struct hold, block_link)
		drop_hold(cache, hold);
	list_remove(&block->lru);
	HASH_DEL(cache->blocks, block);
	cache->count--;
	free(block);
}

/* Returns the block of a hash; creates it if necessary, in place of the least
 * recently used block if the cache is full. Returns NULL if all blocks are
 * pinned. */
static struct cache_block *
get_or_create_block(struct engine_cache *cache, uint64_t hash)
{
	struct cache_block *block = find_block(cache, hash);

	if (block != NULL)
		return block;
	if (cache->count == cache->capacity) {
		if (list_empty(&cache->unpinned))
			return NULL;
		drop_block(cache,
		    list_entry(cache->unpinned.next, struct cache_block, lru));
	}
	block = xcalloc(1, sizeof(*block));
	block->hash = hash;
	list_init(&block->holds);
	list_init(&block->lru);
	list_append(&cache->unpinned, &block->lru);
	HASH_ADD(hh, cache->blocks, hash, sizeof(hash), block);
	cache->count++;
	return block;
}

static void
pin(struct engine_cache *cache, struct cache_sequence *sequence,
    struct cache_block *block)
{
	if (sequence->count == sequence->capacity) {
		sequence->capacity = sequence->capacity > 0
		    ? 2 * sequence->capacity
		    : INITIAL_CAPACITY;
		sequence->blocks = xrealloc(sequence->blocks,
		    sequence->capacity * sizeof(struct cache_block *));
	}
	sequence->blocks[sequence->count++] = block;
	if (block->pins++ == 0) {
		cache->pinned++;
		list_remove(&block->lru);
	}
	if (!sequence->released)
		hold_block(cache, block, sequence->program);
}

static void
unpin(struct engine_cache *cache, struct cache_block *block, bool released)
{
	if (--block->pins > 0)
		return;
	cache->pinned--;
	list_append(&cache->unpinned, &block->lru);
	if (released && list_empty(&block->holds))
		drop_block(cache, block);
}

size_t
engine_cache_match(const struct engine_cache *cache, const uint64_t *hashes,
    size_t count, size_t *unpinned)
{
	size_t matched = 0;

	*unpinned = 0;
	for (; matched < count; matched++) {
		const struct cache_block *block =
		    find_block(cache, hashes[matched]);

		if (block == NULL)
			break;
		if (block->pins == 0)
			++*unpinned;
	}
	return matched;
}

size_t
engine_cache_begin(struct engine_cache *cache, struct cache_sequence *sequence,
    const uint64_t *hashes, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct cache_block *block = find_block(cache, hashes[i]);

		if (block == NULL)
			break;
		pin(cache, sequence, block);
	}
	return sequence->count;
}

bool
engine_cache_extend(
    struct engine_cache *cache, struct cache_sequence *sequence, uint64_t hash)
{
	struct cache_block *block = get_or_create_block(cache, hash);

	if (block == NULL)
		return false;
	pin(cache, sequence, block);
	return true;
}

void
engine_cache_end(struct engine_cache *cache, struct cache_sequence *sequence)
{
	/* The last block becomes the first to be evicted: the blocks before it
	 * can be reused without it, but not the other way round. */
	for (size_t i = sequence->count; i > 0; i--)
		unpin(cache, sequence->blocks[i - 1], sequence->released);
	free(sequence->blocks);
	sequence->blocks = NULL;
	sequence->count = 0;
	sequence->capacity = 0;
}

size_t
engine_cache_release(struct engine_cache *cache, const char *name)
{
	struct program *program = find_program(cache, name);
	size_t held;

	if (program == NULL)
		return 0;
	held = program->held;
	list_for_each_safe (
	    hold, tmp, &program->holds, struct hold, program_link) {
		struct cache_block *block = hold->block;

		drop_hold(cache, hold);
		if (block->pins == 0 && list_empty(&block->holds))
			drop_block(cache, block);
	}
	return held;
}

size_t
engine_cache_hashes(
    const struct engine_cache *cache, const char *name, uint64_t **hashes)
{
	const struct program *program = find_program(cache, name);
	size_t count = 0;

	*hashes = xcalloc(
	    (program != NULL ? program->held : 0) + 1, sizeof(**hashes));
	if (program == NULL)
		return 0;
	list_for_each (hold, &program->holds, struct hold, program_link)
		(*hashes)[count++] = hold->block->hash;
	return count;
}

size_t
engine_cache_import(struct engine_cache *cache, const char *program,
    const uint64_t *hashes, size_t count)
{
	struct cache_sequence sequence = {0};

	snprintf(sequence.program, sizeof(sequence.program), "%s", program);
	for (size_t i = 0; i < count; i++) {
		if (!engine_cache_extend(cache, &sequence, hashes[i]))
			break;
	}
	count = sequence.count;
	engine_cache_end(cache, &sequence);
	return count;
}

size_t
engine_cache_held(const struct engine_cache *cache, const char *name)
{
	const struct program *program = find_program(cache, name);

	return program != NULL ? program->held : 0;
}

void
engine_cache_mark_ended(struct engine_cache *cache, const char *name)
{
	get_or_create_program(cache, name)->ended = true;
}

size_t
engine_cache_held_by_ended(const struct engine_cache *cache)
{
	size_t held = 0;

	for (const struct program *program = cache->programs; program != NULL;
	     program = program->hh.next)
		held += program->ended ? program->held : 0;
	return held;
}

struct cache_usage
engine_cache_usage(const struct engine_cache *cache)
{
	return (struct cache_usage){
	    .capacity = cache->capacity,
	    .cached = cache->count,
	    .pinned = cache->pinned,
	};
}

bool
engine_cache_next_change(
    struct engine_cache *cache, struct cache_change *change)
{
	struct program *program;

	if (list_empty(&cache->changed))
		return false;
	program = list_entry(cache->changed.next, struct program, changed);
	list_remove(&program->changed);
	memcpy(change->program, program->name, sizeof(change->program));
	change->stored = program->stored;
	change->evicted = program->evicted;
	change->held = program->held;
	program->stored = 0;
	program->evicted = 0;
	if (program->held == 0 && !program->ended) {
		HASH_DEL(cache->programs, program);
		free(program);
	}
	return true;
}
