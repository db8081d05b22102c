#include <inttypes.h>
#include <stdio.h>

#include "daemon/cache_events.h"

void
cache_events_target(
    const struct cache_event_reader *reader, char *target, size_t size)
{
	snprintf(
	    target, size, "/v1/events?since=%" PRIu64, reader->last_number);
}

void
cache_events_read(struct cache_event_reader *reader, json_t *response,
    void (*on_event)(void *context, json_t *event), void *context)
{
	json_t *event;
	size_t index;

	json_array_foreach (json_object_get(response, "events"), index, event) {
		json_int_t number =
		    json_integer_value(json_object_get(event, "number"));

		reader->last_number = number > 0 ? (uint64_t)number : 0;
		on_event(context, event);
	}
}
