#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "turn/offsets.h"

enum {
	CAPACITY_MIN = 16,
};

/* Takes over what has become contiguous. */
static void
close_up(struct offsets *offsets)
{
	size_t used = 0;

	while (
	    used < offsets->count && offsets->beyond[used] <= offsets->next) {
		if (offsets->beyond[used] == offsets->next)
			offsets->next++;
		used++;
	}
	offsets->count -= used;
	memmove(offsets->beyond, offsets->beyond + used,
	    offsets->count * sizeof(*offsets->beyond));
}

void
offsets_advance(struct offsets *offsets, uint64_t next)
{
	if (next > offsets->next)
		offsets->next = next;
	if (offsets->count > 0)
		close_up(offsets);
}

static void
insert(struct offsets *offsets, uint64_t offset)
{
	size_t at = offsets->count;

	while (at > 0 && offsets->beyond[at - 1] > offset)
		at--;
	if (at > 0 && offsets->beyond[at - 1] == offset)
		return;
	if (offsets->count == offsets->capacity) {
		offsets->capacity = offsets->capacity == 0
		    ? CAPACITY_MIN
		    : 2 * offsets->capacity;
		offsets->beyond = xrealloc(offsets->beyond,
		    offsets->capacity * sizeof(*offsets->beyond));
	}
	memmove(offsets->beyond + at + 1, offsets->beyond + at,
	    (offsets->count - at) * sizeof(*offsets->beyond));
	offsets->beyond[at] = offset;
	offsets->count++;
}

void
offsets_add(struct offsets *offsets, uint64_t offset)
{
	if (offset < offsets->next)
		return;
	insert(offsets, offset);
	close_up(offsets);
}

bool
offsets_have_gap(const struct offsets *offsets)
{
	return offsets->count > 0;
}

void
offsets_reset(struct offsets *offsets)
{
	free(offsets->beyond);
	*offsets = (struct offsets){0};
}
