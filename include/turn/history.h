/** @file
 * Content of kept turns that this VM served or read lately, within a bound on
 * memory. No I/O.
 */
#ifndef TURN_HISTORY_H
#define TURN_HISTORY_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"
#include "turn/record.h"

struct history;

/** A turn's content. */
struct history_turn {
	struct turn_ref ref;
	const char *previous;
	struct wire_bytes input;
	struct wire_bytes output;
};

struct history *history_create(size_t max_bytes);
void history_destroy(struct history *history);
/** Copies a turn in; those that were unused for longest give way. */
void history_put(struct history *history, const struct history_turn *turn);
bool history_get(
    struct history *history, const char *turn, struct history_turn *found);
/** Appends the contents of a chain, oldest first. False: some are missing;
 * their places in refs are then set in missing (which has room for count). */
bool history_assemble(struct history *history, const struct turn_ref *refs,
    size_t count, struct buf *out, bool *missing);
/** Fills refs with a turn's chain, oldest first, as far as all of it is here.
 * Returns its length, or 0. */
size_t history_chain(const struct history *history, const char *turn,
    struct turn_ref *refs, size_t max);
size_t history_bytes(const struct history *history);

#endif
