#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "peer/relay_internal.h"

enum {
	READ_RETRY_MS = 500,           /* delay after a failed read */
	MIN_READ_INTERVAL_MS = 20,     /* between reads of a stream */
	SUBSCRIBER_TIMEOUT_MS = 10000, /* silence that ends a subscription */
	RECORD_OVERHEAD_BYTES = 64, /* of a record in a message, besides data */
};

/** Record that is cached for subscribers that are slightly behind. */
struct cached_record {
	struct list link;
	uint64_t offset;
	size_t len;
	uint8_t data[];
};

/** Stream that this relay reads for its subscribers. */
struct feed {
	struct list link;
	uint32_t stream;
	uint64_t first;     /**< offset from which the cache is complete */
	uint64_t next;      /**< offset of the next record to read */
	uint64_t end;       /**< end of the stream at the last read */
	struct list cached; /**< of struct cached_record, by offset */
	size_t cached_bytes;
	bool reading;
	int64_t last_read_us;    /**< time of the last successful read */
	int64_t next_read_us;    /**< earliest time of the next read */
	struct list subscribers; /**< of struct subscriber */
};

/** Daemon that subscribes to a stream. */
struct subscriber {
	struct list link;
	char vm[NAME_BYTES];
	uint64_t next;           /**< offset of the next record to send */
	uint64_t last_requested; /**< offset in its last request */
	int64_t last_heard_us;
};

static struct feed *
find_feed(const struct relay *relay, uint32_t stream)
{
	list_for_each (feed, &relay->feeds, struct feed, link) {
		if (feed->stream == stream)
			return feed;
	}
	return NULL;
}

static struct feed *
get_feed(struct relay *relay, uint32_t stream, uint64_t from, int64_t now_us)
{
	struct feed *feed = find_feed(relay, stream);

	if (feed != NULL)
		return feed;
	feed = xcalloc(1, sizeof(*feed));
	feed->stream = stream;
	feed->first = from;
	feed->next = from;
	feed->end = from;
	feed->last_read_us = now_us;
	list_init(&feed->cached);
	list_init(&feed->subscribers);
	list_append(&relay->feeds, &feed->link);
	return feed;
}

/* Drops the oldest records until at most max_bytes are cached. */
static void
drop_oldest(struct feed *feed, size_t max_bytes)
{
	list_for_each_safe (
	    cached, tmp, &feed->cached, struct cached_record, link) {
		if (feed->cached_bytes <= max_bytes)
			return;
		feed->first = cached->offset + 1;
		feed->cached_bytes -= sizeof(*cached) + cached->len;
		list_remove(&cached->link);
		free(cached);
	}
}

static void
feed_destroy(struct feed *feed)
{
	drop_oldest(feed, 0);
	list_for_each_safe (
	    subscriber, tmp, &feed->subscribers, struct subscriber, link)
		free(subscriber);
	list_remove(&feed->link);
	free(feed);
}

void
feed_destroy_all(struct relay *relay)
{
	list_for_each_safe (feed, tmp, &relay->feeds, struct feed, link)
		feed_destroy(feed);
}

/* Adds the cached records from an offset on, up to RELAY_MAX_BATCH_BYTES, to a
 * message. Returns the offset after them. */
static uint64_t
fill_records(
    const struct feed *feed, uint64_t from, struct message_stream *stream)
{
	uint64_t next = feed->next;
	size_t bytes = 0;

	list_for_each (cached, &feed->cached, struct cached_record, link) {
		if (cached->offset < from)
			continue;
		if (stream->record_count > 0 &&
		    bytes + cached->len > RELAY_MAX_BATCH_BYTES) {
			next = cached->offset;
			break;
		}
		bytes += cached->len + RECORD_OVERHEAD_BYTES;
		stream->records[stream->record_count++] =
		    (struct message_record){
			cached->offset, {cached->data, cached->len}};
	}
	return next;
}

static void
send_stream(struct relay *relay, const struct feed *feed,
    struct subscriber *subscriber, int64_t now_us)
{
	bool config = feed->stream == RELAY_CONFIG_STREAM;
	struct message message = {
	    .type = config ? MESSAGE_CONFIG : MESSAGE_LANE,
	    .stream =
		{
		    .lane = config ? 0 : feed->stream,
		    .from = subscriber->next,
		    .end = feed->end,
		    .age_us = now_us - feed->last_read_us,
		},
	};
	struct message_stream *stream = &message.stream;

	if (subscriber->next < feed->first || subscriber->next > feed->next) {
		/* The records are not cached: an empty message tells the
		 * subscriber where the cache begins. */
		stream->from = subscriber->next < feed->first
		    ? feed->first
		    : subscriber->next;
		stream->next = stream->from;
		relay_send(relay, subscriber->vm, &message, now_us);
		return;
	}
	stream->records =
	    xcalloc(list_length(&feed->cached) + 1, sizeof(*stream->records));
	stream->next = fill_records(feed, subscriber->next, stream);
	subscriber->next = stream->next;
	relay_send(relay, subscriber->vm, &message, now_us);
	free(stream->records);
}

static void
send_remaining(struct relay *relay, const struct feed *feed,
    struct subscriber *subscriber, int64_t now_us)
{
	while (subscriber->next >= feed->first && subscriber->next < feed->next)
		send_stream(relay, feed, subscriber, now_us);
}

static struct subscriber *
find_subscriber(const struct feed *feed, const char *vm)
{
	list_for_each (
	    subscriber, &feed->subscribers, struct subscriber, link) {
		if (strcmp(subscriber->vm, vm) == 0)
			return subscriber;
	}
	return NULL;
}

/* Handles the offset in a subscriber's request. If it lies before the records
 * already sent, these may still be in flight; if a second request repeats it,
 * they were lost and are sent again. */
static void
update_position(struct subscriber *subscriber, uint64_t from)
{
	if (from > subscriber->next || from == subscriber->last_requested)
		subscriber->next = from;
	subscriber->last_requested = from;
}

static void
handle_subscription(struct relay *relay, uint32_t stream, const char *vm,
    uint64_t from, int64_t now_us)
{
	struct feed *feed = get_feed(relay, stream, from, now_us);
	struct subscriber *subscriber = find_subscriber(feed, vm);

	if (subscriber == NULL) {
		subscriber = xcalloc(1, sizeof(*subscriber));
		snprintf(subscriber->vm, sizeof(subscriber->vm), "%s", vm);
		subscriber->next = from;
		list_append(&feed->subscribers, &subscriber->link);
	}
	update_position(subscriber, from);
	subscriber->last_heard_us = now_us;
	/* A request for the configuration stream gets a reply even without new
	 * records, as it shows that the relay is up and when it last read the
	 * log. A request for a lane gets one only with new records. */
	if (stream == RELAY_CONFIG_STREAM || subscriber->next < feed->next)
		send_stream(relay, feed, subscriber, now_us);
	send_remaining(relay, feed, subscriber, now_us);
}

static bool
is_subscribed(const struct message_subscribe *request, uint32_t stream)
{
	if (stream == RELAY_CONFIG_STREAM)
		return request->config;
	for (size_t i = 0; i < request->lane_count; i++) {
		if (request->lanes[i].lane == stream)
			return true;
	}
	return false;
}

/* Ends the subscriptions of silent daemons, and the one of vm unless it still
 * subscribes. */
static void
end_subscriptions(
    struct feed *feed, const char *vm, bool subscribed, int64_t now_us)
{
	list_for_each_safe (
	    subscriber, tmp, &feed->subscribers, struct subscriber, link) {
		bool own = strcmp(subscriber->vm, vm) == 0;

		if ((!own || subscribed) &&
		    now_us - subscriber->last_heard_us <=
			(int64_t)SUBSCRIBER_TIMEOUT_MS * US_PER_MS)
			continue;
		list_remove(&subscriber->link);
		free(subscriber);
	}
}

void
feed_handle_subscribe(struct relay *relay, const char *vm,
    const struct message_subscribe *request, int64_t now_us)
{
	if (request->config)
		handle_subscription(relay, RELAY_CONFIG_STREAM, vm,
		    request->config_from, now_us);
	for (size_t i = 0; i < request->lane_count; i++) {
		if (request->lanes[i].lane != RELAY_CONFIG_STREAM)
			handle_subscription(relay, request->lanes[i].lane, vm,
			    request->lanes[i].from, now_us);
	}
	list_for_each (feed, &relay->feeds, struct feed, link)
		end_subscriptions(
		    feed, vm, is_subscribed(request, feed->stream), now_us);
}

void
feed_destroy_unused(struct relay *relay)
{
	list_for_each_safe (feed, tmp, &relay->feeds, struct feed, link) {
		if (list_empty(&feed->subscribers) && !feed->reading)
			feed_destroy(feed);
	}
}

bool
relay_next_read(
    struct relay *relay, int64_t now_us, struct relay_read_request *read)
{
	list_for_each (feed, &relay->feeds, struct feed, link) {
		if (feed->reading || now_us < feed->next_read_us ||
		    list_empty(&feed->subscribers))
			continue;
		feed->reading = true;
		read->stream = feed->stream;
		read->from = feed->next;
		read->wait_ms = feed->stream == RELAY_CONFIG_STREAM
		    ? RELAY_CONFIG_WAIT_MS
		    : RELAY_LANE_WAIT_MS;
		return true;
	}
	return false;
}

static void
cache_record(struct feed *feed, const struct plog_record *record)
{
	struct cached_record *cached;

	if (record->offset < feed->next)
		return;
	cached = xcalloc(1, sizeof(*cached) + record->len);
	cached->offset = record->offset;
	cached->len = record->len;
	memcpy(cached->data, record->data, record->len);
	list_append(&feed->cached, &cached->link);
	feed->cached_bytes += sizeof(*cached) + record->len;
	feed->next = record->offset + 1;
}

static void
handle_records(struct relay *relay, struct feed *feed,
    const struct plog_read *result, int64_t now_us)
{
	feed->last_read_us = now_us;
	feed->end = result->end_offset;
	for (size_t i = 0; i < result->count; i++)
		cache_record(feed, &result->records[i]);
	list_for_each (subscriber, &feed->subscribers, struct subscriber, link)
		send_remaining(relay, feed, subscriber, now_us);
	drop_oldest(feed, RELAY_MAX_CACHED_BYTES);
}

/* Empties the cache and continues at the oldest record that the log still has,
 * after the log has dropped the next record to read. */
static void
reset_feed(struct feed *feed, const struct plog_read *result, int64_t now_us)
{
	drop_oldest(feed, 0);
	feed->last_read_us = now_us;
	feed->first = result->oldest_offset;
	feed->next = result->oldest_offset;
	feed->end = result->end_offset;
}

void
relay_handle_read(struct relay *relay, uint32_t stream,
    const struct plog_read *result, int64_t now_us)
{
	struct feed *feed = find_feed(relay, stream);
	int delay_ms = MIN_READ_INTERVAL_MS;

	if (feed == NULL)
		return;
	feed->reading = false;
	if (result->status == PLOG_OK)
		handle_records(relay, feed, result, now_us);
	else if (result->status == PLOG_EXPIRED)
		reset_feed(feed, result, now_us);
	else
		delay_ms = READ_RETRY_MS;
	feed->next_read_us = now_us + (int64_t)delay_ms * US_PER_MS;
}
