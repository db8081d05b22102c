/** @file
 * Set of log offsets that are known for a partition. Offsets arrive out of
 * order; the set tells up to where all of them are known.
 */
#ifndef TURN_OFFSETS_H
#define TURN_OFFSETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct offsets {
	uint64_t contiguous_end; /**< all offsets before it are known */
	uint64_t *out_of_order;  /**< known offsets after a gap, ascending */
	size_t count;
	size_t capacity;
};

/** Marks all offsets before next as known. */
void offsets_advance(struct offsets *offsets, uint64_t next);
/** Marks one offset as known. */
void offsets_add(struct offsets *offsets, uint64_t offset);
/** Returns whether an unknown offset lies before a known one. */
bool offsets_have_gap(const struct offsets *offsets);
void offsets_reset(struct offsets *offsets);

#endif
