#include "experiment/events.h"

#include <stdlib.h>

#include "common/memory.h"

enum {
	EVENTS_FIRST_CAP = 1024,
};

void
events_reset(struct events *events)
{
	free(events->heap);
	*events = (struct events){0};
}

static bool
event_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

void
events_add(struct events *events, struct event event)
{
	size_t at = events->count++;

	if (events->count > events->cap) {
		events->cap =
		    events->cap == 0 ? EVENTS_FIRST_CAP : 2 * events->cap;
		events->heap =
		    xrealloc(events->heap, events->cap * sizeof(*events->heap));
	}
	event.order = events->order++;
	while (at > 0 && event_before(&event, &events->heap[(at - 1) / 2])) {
		events->heap[at] = events->heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	events->heap[at] = event;
}

bool
events_take(struct events *events, struct event *event)
{
	struct event last;
	size_t at = 0;

	if (events->count == 0)
		return false;
	*event = events->heap[0];
	last = events->heap[--events->count];
	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= events->count)
			break;
		if (child + 1 < events->count &&
		    event_before(
			&events->heap[child + 1], &events->heap[child]))
			child++;
		if (!event_before(&events->heap[child], &last))
			break;
		events->heap[at] = events->heap[child];
		at = child;
	}
	events->heap[at] = last;
	return true;
}
