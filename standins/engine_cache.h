/** @file
 * Prefix cache of the engine's stand-in: blocks of KV memory found by the
 * hash of all content up to their end. No I/O.
 *
 * A running request pins its blocks. Others stay until they are evicted, the
 * least recently used first. A block is held for each program that used it
 * since the program's last release.
 */
#ifndef STANDINS_ENGINE_CACHE_H
#define STANDINS_ENGINE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	ENGINE_NAME_BYTES = 96,
};

struct engine_cache;
struct cache_block;

/** Blocks that one request has pinned. */
struct cache_sequence {
	char program[ENGINE_NAME_BYTES]; /**< "": of no program */
	bool released; /**< its program was released meanwhile */
	struct cache_block **blocks;
	size_t count;
	size_t capacity;
};

/** Blocks of a program that were stored or evicted. */
struct cache_change {
	char program[ENGINE_NAME_BYTES];
	uint64_t stored;  /**< blocks */
	uint64_t evicted; /**< blocks */
	uint64_t held;    /**< blocks afterwards */
};

/** Numbers of blocks. */
struct cache_usage {
	size_t capacity;
	size_t cached; /**< those pinned included */
	size_t pinned;
};

struct engine_cache *engine_cache_create(size_t capacity_blocks);
void engine_cache_destroy(struct engine_cache *cache);

/** Returns how many of the first blocks are cached, and in *unpinned how many
 * of these no request has pinned. */
size_t engine_cache_match(const struct engine_cache *cache,
    const uint64_t *hashes, size_t count, size_t *unpinned);
/** Pins the first blocks that are cached; returns their number. */
size_t engine_cache_begin(struct engine_cache *cache,
    struct cache_sequence *sequence, const uint64_t *hashes, size_t count);
/** Pins the sequence's next block, which was computed. Returns false when
 * every block is pinned. */
bool engine_cache_extend(
    struct engine_cache *cache, struct cache_sequence *sequence, uint64_t hash);
/** Unpins the sequence's blocks and frees its memory. */
void
engine_cache_end(struct engine_cache *cache, struct cache_sequence *sequence);

/** Drops what is held for a program. The caller marks its running sequences
 * as released. Returns the number of blocks that were held. */
size_t engine_cache_release(struct engine_cache *cache, const char *name);
/** Copies the hashes of the blocks held for a program, in their order of use;
 * returns the number. *hashes is owned by the caller. */
size_t engine_cache_hashes(
    const struct engine_cache *cache, const char *name, uint64_t **hashes);
/** Stores blocks for a program; returns how many of them are cached then. */
size_t engine_cache_import(struct engine_cache *cache, const char *program,
    const uint64_t *hashes, size_t count);

/** Returns the blocks held for a program. */
size_t engine_cache_held(const struct engine_cache *cache, const char *name);
/** Marks a program as ended, for engine_cache_held_by_ended() only. */
void engine_cache_mark_ended(struct engine_cache *cache, const char *name);
/** Returns the blocks held for programs marked as ended; a block counts once
 * for each of them. */
size_t engine_cache_held_by_ended(const struct engine_cache *cache);
struct cache_usage engine_cache_usage(const struct engine_cache *cache);
/** Takes the next change since the last call; false: none. */
bool engine_cache_next_change(
    struct engine_cache *cache, struct cache_change *change);

#endif
