#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "turn/offsets.h"

enum {
	CAPACITY_MIN = 16,
};

/* Advances contiguous_end over the known offsets that follow it, and drops
 * those from out_of_order. */
static void
advance_contiguous_end(struct offsets *offsets)
{
	size_t dropped = 0;

	while (dropped < offsets->count &&
	    offsets->out_of_order[dropped] <= offsets->contiguous_end) {
		if (offsets->out_of_order[dropped] == offsets->contiguous_end)
			offsets->contiguous_end++;
		dropped++;
	}
	offsets->count -= dropped;
	memmove(offsets->out_of_order, offsets->out_of_order + dropped,
	    offsets->count * sizeof(*offsets->out_of_order));
}

void
offsets_advance(struct offsets *offsets, uint64_t next)
{
	if (next > offsets->contiguous_end)
		offsets->contiguous_end = next;
	if (offsets->count > 0)
		advance_contiguous_end(offsets);
}

static void
insert(struct offsets *offsets, uint64_t offset)
{
	size_t at = offsets->count;

	while (at > 0 && offsets->out_of_order[at - 1] > offset)
		at--;
	if (at > 0 && offsets->out_of_order[at - 1] == offset)
		return;
	if (offsets->count == offsets->capacity) {
		offsets->capacity = offsets->capacity == 0
		    ? CAPACITY_MIN
		    : 2 * offsets->capacity;
		offsets->out_of_order = xrealloc(offsets->out_of_order,
		    offsets->capacity * sizeof(*offsets->out_of_order));
	}
	memmove(offsets->out_of_order + at + 1, offsets->out_of_order + at,
	    (offsets->count - at) * sizeof(*offsets->out_of_order));
	offsets->out_of_order[at] = offset;
	offsets->count++;
}

void
offsets_add(struct offsets *offsets, uint64_t offset)
{
	if (offset < offsets->contiguous_end)
		return;
	insert(offsets, offset);
	advance_contiguous_end(offsets);
}

bool
offsets_have_gap(const struct offsets *offsets)
{
	return offsets->count > 0;
}

void
offsets_reset(struct offsets *offsets)
{
	free(offsets->out_of_order);
	*offsets = (struct offsets){0};
}
