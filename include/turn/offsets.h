/** @file
 * Which records of a partition are known, when news of them comes out of
 * order: up to where all of them are.
 */
#ifndef TURN_OFFSETS_H
#define TURN_OFFSETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct offsets {
	uint64_t next;    /**< all records before it are known */
	uint64_t *beyond; /**< known ones behind a gap, ascending */
	size_t count;
	size_t capacity;
};

/** All records before an offset are known. */
void offsets_advance(struct offsets *offsets, uint64_t next);
/** One record is known. */
void offsets_add(struct offsets *offsets, uint64_t offset);
/** Returns whether records are missing before one that is known. */
bool offsets_have_gap(const struct offsets *offsets);
void offsets_reset(struct offsets *offsets);

#endif
