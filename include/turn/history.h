/** @file
 * Cache of the content of retained turns that this VM served or read, bounded
 * in memory. The least recently used turns are evicted first. No I/O.
 */
#ifndef TURN_HISTORY_H
#define TURN_HISTORY_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"
#include "turn/record.h"

struct history;

/** Content of a retained turn. */
struct history_turn {
	struct turn_ref ref;
	const char *previous; /**< turn that it continues, or "" */
	struct wire_bytes input;
	struct wire_bytes output;
};

struct history *history_create(size_t max_bytes);
void history_destroy(struct history *history);
/** Adds a copy of a turn and evicts the least recently used other turns while
 * the cache is over its limit. */
void history_put(struct history *history, const struct history_turn *turn);
/** Finds a turn. The content belongs to the cache and is valid until the next
 * history_put(). Returns false if the turn is not cached. */
bool history_get(
    struct history *history, const char *turn, struct history_turn *found);
/** Appends the contents of the turns in refs, in that order, to out. If some
 * are not cached, returns false and appends nothing. missing: array of count
 * items; set to whether each turn is not cached. */
bool history_assemble(struct history *history, const struct turn_ref *refs,
    size_t count, struct buf *out, bool *missing);
/** Fills refs with a turn's chain, oldest first and the turn itself last.
 * Returns the length of the chain; 0 if part of it is not cached or it is
 * longer than max. */
size_t history_chain(const struct history *history, const char *turn,
    struct turn_ref *refs, size_t max);
/** Returns the memory used by the cached turns, in bytes. */
size_t history_bytes(const struct history *history);

#endif
