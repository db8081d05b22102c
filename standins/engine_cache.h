/** @file
 * Prefix cache of standin-engine: blocks of KV memory, identified by the hash
 * of all content up to their end. Does no I/O.
 *
 * A running request pins its blocks. Unpinned blocks stay until they are
 * evicted, the least recently used first. A block is held for each program that
 * has used it since the program's last release.
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

/** The blocks that one request has pinned. */
struct cache_sequence {
	char program[ENGINE_NAME_BYTES]; /**< program, or "" for none */
	bool released; /**< whether the program was released since */
	struct cache_block **blocks;
	size_t count;
	size_t capacity;
};

/** Change of the blocks held for a program. */
struct cache_change {
	char program[ENGINE_NAME_BYTES];
	uint64_t stored;  /**< blocks added */
	uint64_t evicted; /**< blocks dropped */
	uint64_t held;    /**< blocks held after the change */
};

/** Numbers of blocks. */
struct cache_usage {
	size_t capacity;
	size_t cached; /**< cached blocks, including the pinned ones */
	size_t pinned;
};

struct engine_cache *engine_cache_create(size_t capacity_blocks);
void engine_cache_destroy(struct engine_cache *cache);

/** Returns how many of the leading hashes are cached without a gap, and in
 * *unpinned how many of these blocks no request has pinned. */
size_t engine_cache_match(const struct engine_cache *cache,
    const uint64_t *hashes, size_t count, size_t *unpinned);
/** Pins the leading blocks that are cached. Returns their number. */
size_t engine_cache_begin(struct engine_cache *cache,
    struct cache_sequence *sequence, const uint64_t *hashes, size_t count);
/** Adds the next computed block to the sequence and pins it, evicting another
 * block if the cache is full. Returns false if all blocks are pinned. */
bool engine_cache_extend(
    struct engine_cache *cache, struct cache_sequence *sequence, uint64_t hash);
/** Unpins the sequence's blocks and frees its memory. */
void
engine_cache_end(struct engine_cache *cache, struct cache_sequence *sequence);

/** Ends the holding of blocks for a program, and drops those blocks that are
 * neither pinned nor held for another program. The caller must mark the
 * program's running sequences as released. Returns the number of blocks that
 * were held. */
size_t engine_cache_release(struct engine_cache *cache, const char *name);
/** Copies the hashes of the blocks held for a program, in the order of their
 * first use. Returns their number. The caller frees *hashes. */
size_t engine_cache_hashes(
    const struct engine_cache *cache, const char *name, uint64_t **hashes);
/** Adds blocks for a program, as long as there is room. Returns the number of
 * blocks that were added or already cached. */
size_t engine_cache_import(struct engine_cache *cache, const char *program,
    const uint64_t *hashes, size_t count);

/** Returns the number of blocks held for a program. */
size_t engine_cache_held(const struct engine_cache *cache, const char *name);
/** Marks a program as ended, for engine_cache_held_by_ended() only. */
void engine_cache_mark_ended(struct engine_cache *cache, const char *name);
/** Returns the number of blocks held for programs marked as ended. A block
 * counts once for each of these programs. */
size_t engine_cache_held_by_ended(const struct engine_cache *cache);
struct cache_usage engine_cache_usage(const struct engine_cache *cache);
/** Copies the changes of one program since its last report. Returns false if no
 * program has unreported changes. */
bool engine_cache_next_change(
    struct engine_cache *cache, struct cache_change *change);

#endif
