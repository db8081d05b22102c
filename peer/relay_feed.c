#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "peer/relay_internal.h"

enum {
	RETRY_MS = 500,        /* after a read that failed */
	READ_INTERVAL_MS = 20, /* at least, between reads of a stream */
	SUBSCRIBER_MS = 10000, /* silence that ends a subscription */
	RECORD_OVERHEAD = 64,  /* of a record in a message, in bytes */
};

/** A record that is kept for daemons that are a little behind. */
struct kept {
	struct list link;
	uint64_t offset;
	size_t len;
	uint8_t data[];
};

/** A stream that is read for others. */
struct feed {
	struct list link;
	uint32_t stream;
	uint64_t first; /**< no record from here to next is missing in kept */
	uint64_t next;  /**< offset to read from */
	uint64_t end;
	struct list kept; /**< of struct kept, by offset */
	size_t kept_bytes;
	bool reading;
	int64_t read_us;         /**< last successful read */
	int64_t start_us;        /**< when the next read may start */
	struct list subscribers; /**< of struct subscriber */
};

struct subscriber {
	struct list link;
	char vm[NAME_BYTES];
	uint64_t next;  /**< next offset to send */
	uint64_t asked; /**< position in its last request */
	int64_t heard_us;
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
	feed->read_us = now_us;
	list_init(&feed->kept);
	list_init(&feed->subscribers);
	list_append(&relay->feeds, &feed->link);
	return feed;
}

/* Drops the oldest records until at most so many bytes are kept. */
static void
drop_oldest(struct feed *feed, size_t max_bytes)
{
	list_for_each_safe (kept, tmp, &feed->kept, struct kept, link) {
		if (feed->kept_bytes <= max_bytes)
			return;
		feed->first = kept->offset + 1;
		feed->kept_bytes -= sizeof(*kept) + kept->len;
		list_remove(&kept->link);
		free(kept);
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

/* ---- sending ---- */

/* Fills records from a position on, up to a message's length; returns the
 * position after them. */
static uint64_t
fill(const struct feed *feed, uint64_t from, struct message_stream *stream)
{
	uint64_t next = feed->next;
	size_t bytes = 0;

	list_for_each (kept, &feed->kept, struct kept, link) {
		if (kept->offset < from)
			continue;
		if (stream->record_count > 0 &&
		    bytes + kept->len > RELAY_MAX_BATCH_BYTES) {
			next = kept->offset;
			break;
		}
		bytes += kept->len + RECORD_OVERHEAD;
		stream->records[stream->record_count++] =
		    (struct message_record){
			kept->offset, {kept->data, kept->len}};
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
		    .age_us = now_us - feed->read_us,
		},
	};
	struct message_stream *stream = &message.stream;

	if (subscriber->next < feed->first || subscriber->next > feed->next) {
		/* Not kept here: tells where this feed begins. */
		stream->from = subscriber->next < feed->first
		    ? feed->first
		    : subscriber->next;
		stream->next = stream->from;
		relay_send(relay, subscriber->vm, &message, now_us);
		return;
	}
	stream->records =
	    xcalloc(list_length(&feed->kept) + 1, sizeof(*stream->records));
	stream->next = fill(feed, subscriber->next, stream);
	subscriber->next = stream->next;
	relay_send(relay, subscriber->vm, &message, now_us);
	free(stream->records);
}

static void
send_rest(struct relay *relay, const struct feed *feed,
    struct subscriber *subscriber, int64_t now_us)
{
	while (subscriber->next >= feed->first && subscriber->next < feed->next)
		send_stream(relay, feed, subscriber, now_us);
}

/* ---- subscriptions ---- */

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

/* A position behind what was sent means loss once it stays for a second
 * request; before, the records may be under way. */
static void
take_position(struct subscriber *subscriber, uint64_t from)
{
	if (from > subscriber->next || from == subscriber->asked)
		subscriber->next = from;
	subscriber->asked = from;
}

static void
subscribe(struct relay *relay, uint32_t stream, const char *vm, uint64_t from,
    int64_t now_us)
{
	struct feed *feed = get_feed(relay, stream, from, now_us);
	struct subscriber *subscriber = find_subscriber(feed, vm);

	if (subscriber == NULL) {
		subscriber = xcalloc(1, sizeof(*subscriber));
		snprintf(subscriber->vm, sizeof(subscriber->vm), "%s", vm);
		subscriber->next = from;
		list_append(&feed->subscribers, &subscriber->link);
	}
	take_position(subscriber, from);
	subscriber->heard_us = now_us;
	/* An answer also when there is nothing new; of lanes only if there
	 * is. */
	if (stream == RELAY_CONFIG_STREAM || subscriber->next < feed->next)
		send_stream(relay, feed, subscriber, now_us);
	send_rest(relay, feed, subscriber, now_us);
}

static bool
is_wanted(const struct message_subscribe *want, uint32_t stream)
{
	if (stream == RELAY_CONFIG_STREAM)
		return want->config;
	for (size_t i = 0; i < want->lane_count; i++) {
		if (want->lanes[i].lane == stream)
			return true;
	}
	return false;
}

/* Ends subscriptions of daemons that went silent, and vm's if unwanted. */
static void
prune(struct feed *feed, const char *vm, bool wanted, int64_t now_us)
{
	list_for_each_safe (
	    subscriber, tmp, &feed->subscribers, struct subscriber, link) {
		bool own = strcmp(subscriber->vm, vm) == 0;

		if ((!own || wanted) &&
		    now_us - subscriber->heard_us <=
			(int64_t)SUBSCRIBER_MS * US_PER_MS)
			continue;
		list_remove(&subscriber->link);
		free(subscriber);
	}
}

void
feed_handle_subscribe(struct relay *relay, const char *vm,
    const struct message_subscribe *want, int64_t now_us)
{
	if (want->config)
		subscribe(
		    relay, RELAY_CONFIG_STREAM, vm, want->config_from, now_us);
	for (size_t i = 0; i < want->lane_count; i++) {
		if (want->lanes[i].lane != RELAY_CONFIG_STREAM)
			subscribe(relay, want->lanes[i].lane, vm,
			    want->lanes[i].from, now_us);
	}
	list_for_each (feed, &relay->feeds, struct feed, link)
		prune(feed, vm, is_wanted(want, feed->stream), now_us);
}

void
feed_destroy_unused(struct relay *relay)
{
	list_for_each_safe (feed, tmp, &relay->feeds, struct feed, link) {
		if (list_empty(&feed->subscribers) && !feed->reading)
			feed_destroy(feed);
	}
}

/* ---- reading ---- */

bool
relay_next_read(
    struct relay *relay, int64_t now_us, struct relay_read_request *read)
{
	list_for_each (feed, &relay->feeds, struct feed, link) {
		if (feed->reading || now_us < feed->start_us ||
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
keep(struct feed *feed, const struct plog_record *record)
{
	struct kept *kept;

	if (record->offset < feed->next)
		return;
	kept = xcalloc(1, sizeof(*kept) + record->len);
	kept->offset = record->offset;
	kept->len = record->len;
	memcpy(kept->data, record->data, record->len);
	list_append(&feed->kept, &kept->link);
	feed->kept_bytes += sizeof(*kept) + record->len;
	feed->next = record->offset + 1;
}

static void
take_records(struct relay *relay, struct feed *feed,
    const struct plog_read *result, int64_t now_us)
{
	feed->read_us = now_us;
	feed->end = result->end;
	for (size_t i = 0; i < result->count; i++)
		keep(feed, &result->records[i]);
	list_for_each (subscriber, &feed->subscribers, struct subscriber, link)
		send_rest(relay, feed, subscriber, now_us);
	drop_oldest(feed, RELAY_MAX_CACHED_BYTES);
}

/* The log dropped what was to be read next: begins again at what it has. */
static void
restart(struct feed *feed, const struct plog_read *result, int64_t now_us)
{
	drop_oldest(feed, 0);
	feed->read_us = now_us;
	feed->first = result->first;
	feed->next = result->first;
	feed->end = result->end;
}

void
relay_handle_read(struct relay *relay, uint32_t stream,
    const struct plog_read *result, int64_t now_us)
{
	struct feed *feed = find_feed(relay, stream);
	int delay_ms = READ_INTERVAL_MS;

	if (feed == NULL)
		return;
	feed->reading = false;
	if (result->status == PLOG_OK)
		take_records(relay, feed, result, now_us);
	else if (result->status == PLOG_EXPIRED)
		restart(feed, result, now_us);
	else
		delay_ms = RETRY_MS;
	feed->start_us = now_us + (int64_t)delay_ms * US_PER_MS;
}
