#include "experiment/events.h"

#include <stdlib.h>

#include "common/memory.h"

enum {
	EVENTS_INITIAL_CAP = 1024,
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
	return a->sequence < b->sequence;
}

void
events_add(struct events *events, struct event event)
{
	size_t index = events->count++;

	if (events->count > events->cap) {
		events->cap =
		    events->cap == 0 ? EVENTS_INITIAL_CAP : 2 * events->cap;
		events->heap =
		    xrealloc(events->heap, events->cap * sizeof(*events->heap));
	}
	event.sequence = events->sequence++;
	while (
	    index > 0 && event_before(&event, &events->heap[(index - 1) / 2])) {
		events->heap[index] = events->heap[(index - 1) / 2];
		index = (index - 1) / 2;
	}
	events->heap[index] = event;
}

bool
events_pop(struct events *events, struct event *event)
{
	struct event last;
	size_t index = 0;

	if (events->count == 0)
		return false;
	*event = events->heap[0];
	last = events->heap[--events->count];
	for (;;) {
		size_t child = 2 * index + 1;

		if (child >= events->count)
			break;
		if (child + 1 < events->count &&
		    event_before(
			&events->heap[child + 1], &events->heap[child]))
			child++;
		if (!event_before(&events->heap[child], &last))
			break;
		events->heap[index] = events->heap[child];
		index = child;
	}
	events->heap[index] = last;
	return true;
}
