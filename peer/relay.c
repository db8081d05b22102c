#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "peer/relay_internal.h"

enum {
	DEFAULT_APPENDS_PER_S = 100,
	DEFAULT_APPEND_DELAY_MS = 50,
};

struct relay *
relay_create(const char *vm, const char *failure_domain,
    const struct failure_detector *failure)
{
	struct relay *relay = xcalloc(1, sizeof(*relay));

	snprintf(relay->vm, sizeof(relay->vm), "%s", vm);
	snprintf(relay->failure_domain, sizeof(relay->failure_domain), "%s",
	    failure_domain);
	relay->failure = failure;
	list_init(&relay->subscriptions);
	list_init(&relay->pending_batches);
	list_init(&relay->events);
	list_init(&relay->feeds);
	list_init(&relay->waiting_submissions);
	list_init(&relay->appends_in_flight);
	list_init(&relay->messages);
	relay_set_limits(relay, DEFAULT_APPENDS_PER_S,
	    (int64_t)DEFAULT_APPEND_DELAY_MS * US_PER_MS);
	return relay;
}

void
relay_set_limits(
    struct relay *relay, uint32_t appends_per_s, int64_t append_delay_us)
{
	relay->appends_per_s = appends_per_s;
	relay->append_delay_us = append_delay_us;
}

void
relay_destroy(struct relay *relay)
{
	if (relay == NULL)
		return;
	feed_destroy_all(relay);
	append_destroy_all(relay);
	list_for_each_safe (
	    subscription, tmp, &relay->subscriptions, struct subscription, link)
		free(subscription);
	list_for_each_safe (
	    pending, tmp, &relay->pending_batches, struct pending_batch, link)
		free(pending);
	relay_destroy_queues(relay);
	free(relay);
}

static struct subscription *
find_subscription(const struct relay *relay, uint32_t stream)
{
	list_for_each (
	    subscription, &relay->subscriptions, struct subscription, link) {
		if (subscription->stream == stream)
			return subscription;
	}
	return NULL;
}

void
relay_subscribe(struct relay *relay, uint32_t stream, uint64_t from)
{
	struct subscription *subscription = find_subscription(relay, stream);

	if (subscription == NULL) {
		subscription = xcalloc(1, sizeof(*subscription));
		subscription->stream = stream;
		list_append(&relay->subscriptions, &subscription->link);
	}
	subscription->position = from;
	relay->next_subscribe_us = 0;
}

void
relay_unsubscribe(struct relay *relay, uint32_t stream)
{
	struct subscription *subscription = find_subscription(relay, stream);

	if (subscription == NULL)
		return;
	list_remove(&subscription->link);
	free(subscription);
}

bool
relay_is_bypassed(const struct relay *relay, int64_t now_us)
{
	return relay->relay_vm[0] == '\0' ||
	    now_us - relay->last_reply_us >
	    (int64_t)RELAY_SILENCE_TIMEOUT_MS * US_PER_MS ||
	    now_us - relay->log_read_us >
	    (int64_t)RELAY_LOG_TIMEOUT_MS * US_PER_MS;
}

/* Queues an event with the records of a message that follow the subscription's
 * position. The event owns a copy of the message. */
static void
add_records_event(struct relay *relay, struct subscription *subscription,
    const struct message *message, int64_t now_us)
{
	struct queued_event *queued =
	    relay_add_event(relay, RELAY_EVENT_RECORDS);
	struct message_stream *stream;
	struct relay_event *event = &queued->event;
	size_t skip_count = 0;

	message_encode(message, &queued->wire);
	if (!message_decode(
		queued->wire.data, queued->wire.len, &queued->message, NULL))
		memory_exhausted();
	stream = &queued->message.stream;
	while (skip_count < stream->record_count &&
	    stream->records[skip_count].offset < subscription->position)
		skip_count++;
	event->stream = subscription->stream;
	event->from = subscription->position;
	event->end = stream->end;
	event->log_read_us = now_us - stream->age_us;
	event->record_count = stream->record_count - skip_count;
	if (event->record_count > 0)
		event->records = stream->records + skip_count;
	if (stream->next > subscription->position)
		subscription->position = stream->next;
	event->next = subscription->position;
}

static void
add_gap_event(struct relay *relay, const struct subscription *subscription,
    const struct message_stream *stream)
{
	struct queued_event *queued = relay_add_event(relay, RELAY_EVENT_GAP);

	queued->event.stream = subscription->stream;
	queued->event.from = subscription->position;
	queued->event.next = stream->from;
	queued->event.end = stream->end;
}

static void
handle_stream(
    struct relay *relay, const struct message *message, int64_t now_us)
{
	const struct message_stream *stream = &message->stream;
	struct subscription *subscription = find_subscription(relay,
	    message->type == MESSAGE_CONFIG ? RELAY_CONFIG_STREAM
					    : stream->lane);

	relay->last_reply_us = now_us;
	if (message->type == MESSAGE_CONFIG)
		relay->log_read_us = now_us - stream->age_us;
	if (subscription == NULL)
		return;
	if (stream->from > subscription->position)
		add_gap_event(relay, subscription, stream);
	else
		add_records_event(relay, subscription, message, now_us);
}

static void
finish_pending(struct relay *relay, struct pending_batch *pending,
    enum append_result result, uint64_t first_offset)
{
	struct queued_event *queued =
	    relay_add_event(relay, RELAY_EVENT_APPENDED);

	queued->event.batch_number = pending->number;
	queued->event.result = result;
	queued->event.first_offset = first_offset;
	list_remove(&pending->link);
	free(pending);
}

static void
handle_append_reply(struct relay *relay,
    const struct message_append_reply *reply, int64_t now_us)
{
	enum append_result result = reply->result <= APPEND_UNKNOWN
	    ? (enum append_result)reply->result
	    : APPEND_UNKNOWN;

	relay->last_reply_us = now_us;
	list_for_each_safe (
	    pending, tmp, &relay->pending_batches, struct pending_batch, link) {
		if (pending->number == reply->number)
			finish_pending(
			    relay, pending, result, reply->first_offset);
	}
}

static size_t
batch_bytes(const struct owner_batch *batch)
{
	size_t bytes = 0;

	for (size_t i = 0; i < batch->count; i++)
		bytes += batch->items[i].len;
	return bytes;
}

bool
relay_submit(struct relay *relay, const struct owner_batch *batch,
    bool priority, int64_t now_us)
{
	struct message message = {
	    .type = MESSAGE_APPEND,
	    .append =
		{
		    .lane = batch->lane,
		    .number = batch->number,
		    .priority = priority,
		    .record_count = batch->count,
		},
	};
	struct pending_batch *pending;

	if (relay_is_bypassed(relay, now_us) ||
	    batch_bytes(batch) > RELAY_MAX_BATCH_BYTES)
		return false;
	pending = xcalloc(1, sizeof(*pending));
	pending->number = batch->number;
	pending->deadline_us =
	    now_us + (int64_t)RELAY_APPEND_TIMEOUT_MS * US_PER_MS;
	list_append(&relay->pending_batches, &pending->link);
	message.append.records =
	    xcalloc(batch->count, sizeof(*message.append.records));
	for (size_t i = 0; i < batch->count; i++)
		message.append.records[i].data = (struct wire_bytes){
		    batch->items[i].data, batch->items[i].len};
	relay_send(relay, relay->relay_vm, &message, now_us);
	free(message.append.records);
	return true;
}

void
relay_handle_message(
    struct relay *relay, const struct message *message, int64_t now_us)
{
	bool from_relay = strcmp(message->sender, relay->relay_vm) == 0;

	switch (message->type) {
	case MESSAGE_CONFIG:
	case MESSAGE_LANE:
		if (from_relay)
			handle_stream(relay, message, now_us);
		break;
	case MESSAGE_APPEND_REPLY:
		if (from_relay)
			handle_append_reply(
			    relay, &message->append_reply, now_us);
		break;
	case MESSAGE_APPEND:
		append_handle_message(
		    relay, message->sender, &message->append, now_us);
		break;
	case MESSAGE_SUBSCRIBE:
		feed_handle_subscribe(
		    relay, message->sender, &message->subscribe, now_us);
		break;
	case MESSAGE_NONE:
	case MESSAGE_HEARTBEAT:
	case MESSAGE_VIEW:
	case MESSAGE_DRAIN:
	case MESSAGE_STATUS:
	case MESSAGE_GATEWAY_HEARTBEAT:
	case MESSAGE_TURN_BEGIN:
	case MESSAGE_TURN_BEGIN_REPLY:
	case MESSAGE_TURN_END:
	case MESSAGE_TURN_END_REPLY:
	case MESSAGE_TURN_FIND:
	case MESSAGE_TURN_FIND_REPLY:
	case MESSAGE_HISTORY_GET:
	case MESSAGE_HISTORY:
	case MESSAGE_SERVER_CRASHED:
	case MESSAGE_GATEWAY_CONFIG:
	case MESSAGE_STORE_APPEND:
	case MESSAGE_STORE_APPEND_REPLY:
	case MESSAGE_GATEWAY_CONFIG_GET:
	case MESSAGE_SERVERS_GET:
	case MESSAGE_SERVERS:
	case MESSAGE_SERVER_LIMIT:
	case MESSAGE_PERMIT_GET:
	case MESSAGE_PERMIT:
	case MESSAGE_SUSPECTS:
	case MESSAGE_SUSPECTS_GET:
	case MESSAGE_CAP_GET:
	case MESSAGE_CAP:
	case MESSAGE_DOMAIN_LOADS:
	case MESSAGE_RUNS:
	case MESSAGE_CONTENT_APPEND:
		break;
	}
}

static void
send_subscribe(struct relay *relay, int64_t now_us)
{
	struct message message = {.type = MESSAGE_SUBSCRIBE};
	struct message_subscribe *subscribe = &message.subscribe;

	relay->next_subscribe_us =
	    now_us + (int64_t)RELAY_SUBSCRIBE_INTERVAL_MS * US_PER_MS;
	subscribe->lanes = xcalloc(
	    list_length(&relay->subscriptions) + 1, sizeof(*subscribe->lanes));
	list_for_each (
	    subscription, &relay->subscriptions, struct subscription, link) {
		if (subscription->stream == RELAY_CONFIG_STREAM) {
			subscribe->config = true;
			subscribe->config_from = subscription->position;
			continue;
		}
		subscribe->lanes[subscribe->lane_count++] =
		    (struct message_subscribe_lane){
			.lane = subscription->stream,
			.from = subscription->position};
	}
	relay_send(relay, relay->relay_vm, &message, now_us);
	free(subscribe->lanes);
}

/* Switches to another relay. Batches submitted to the old one may have been
 * appended or not, so their result is unknown. */
static void
change_relay(struct relay *relay, const char *vm, int64_t now_us)
{
	snprintf(relay->relay_vm, sizeof(relay->relay_vm), "%s", vm);
	relay->last_reply_us = now_us;
	relay->log_read_us = now_us;
	relay->next_subscribe_us = now_us;
	list_for_each_safe (
	    pending, tmp, &relay->pending_batches, struct pending_batch, link)
		finish_pending(relay, pending, APPEND_UNKNOWN, 0);
}

void
relay_tick(struct relay *relay, int64_t now_us)
{
	char vm[NAME_BYTES] = "";

	failure_relay(relay->failure, relay->failure_domain, 0, now_us, vm);
	if (strcmp(vm, relay->relay_vm) != 0)
		change_relay(relay, vm, now_us);
	if (now_us >= relay->next_subscribe_us && relay->relay_vm[0] != '\0')
		send_subscribe(relay, now_us);
	feed_destroy_unused(relay);
	list_for_each_safe (
	    pending, tmp, &relay->pending_batches, struct pending_batch, link) {
		if (now_us >= pending->deadline_us)
			finish_pending(relay, pending, APPEND_UNKNOWN, 0);
	}
}

int64_t
relay_next_us(const struct relay *relay)
{
	int64_t append_us = append_next_us(relay);

	return append_us < relay->next_subscribe_us ? append_us
						    : relay->next_subscribe_us;
}
