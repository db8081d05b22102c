#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "peer/relay_internal.h"

static void
event_free(struct queued_event *queued)
{
	if (queued == NULL)
		return;
	message_reset(&queued->message);
	buf_reset(&queued->wire);
	free(queued);
}

static void
queued_message_free(struct queued_message *queued)
{
	if (queued == NULL)
		return;
	buf_reset(&queued->wire);
	free(queued);
}

void
relay_send(struct relay *relay, const char *vm, struct message *message,
    int64_t now_us)
{
	struct queued_message *queued;

	snprintf(message->sender, sizeof(message->sender), "%s", relay->vm);
	if (strcmp(vm, relay->vm) == 0) {
		relay_handle_message(relay, message, now_us);
		return;
	}
	queued = xcalloc(1, sizeof(*queued));
	snprintf(queued->vm, sizeof(queued->vm), "%s", vm);
	message_encode(message, &queued->wire);
	list_append(&relay->messages, &queued->link);
}

bool
relay_next_message(struct relay *relay, struct relay_outgoing *outgoing)
{
	struct queued_message *queued;

	queued_message_free(relay->last_message);
	relay->last_message = NULL;
	if (list_empty(&relay->messages))
		return false;
	queued = list_entry(relay->messages.next, struct queued_message, link);
	list_remove(&queued->link);
	relay->last_message = queued;
	outgoing->vm = queued->vm;
	outgoing->wire = &queued->wire;
	return true;
}

struct queued_event *
relay_add_event(struct relay *relay, enum relay_event_type type)
{
	struct queued_event *queued = xcalloc(1, sizeof(*queued));

	queued->event.type = type;
	list_append(&relay->events, &queued->link);
	return queued;
}

bool
relay_next_event(struct relay *relay, struct relay_event *event)
{
	event_free(relay->last_event);
	relay->last_event = NULL;
	if (list_empty(&relay->events))
		return false;
	relay->last_event =
	    list_entry(relay->events.next, struct queued_event, link);
	list_remove(&relay->last_event->link);
	*event = relay->last_event->event;
	return true;
}

void
relay_destroy_queues(struct relay *relay)
{
	list_for_each_safe (
	    event, tmp, &relay->events, struct queued_event, link)
		event_free(event);
	list_for_each_safe (
	    queued, tmp, &relay->messages, struct queued_message, link)
		queued_message_free(queued);
	event_free(relay->last_event);
	queued_message_free(relay->last_message);
}
