/** @file
 * Incremental parser of server-sent events (text/event-stream): finds the ends
 * of events, counts them and collects their data.
 */
#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "record/record.h"

/** State of the parser of one stream. */
struct event_stream {
	struct buf pending;   /**< bytes that are not consumed yet */
	size_t scanned_bytes; /**< length of the parsed lines at the start of
				 pending */
	bool next_has_data;   /**< the current, incomplete event has data */
	bool next_has_fields; /**< the same for any field */
	uint64_t event_count; /**< complete events with data */
	char last_id[NAME_BYTES]; /**< id of the last complete event */
	char next_id[NAME_BYTES]; /**< id of the current event */
	bool collect_data;        /**< append the data of events to data */
	/** Data of complete events, each followed by a line feed. */
	struct buf data;
	struct buf next_data; /**< data of the current event */
};

/** Appends bytes of the stream to events->pending. Returns the length of the
 * complete events at its start; 0 if no event was completed by this call. */
size_t
event_stream_feed(struct event_stream *events, const void *data, size_t len);
/** Removes len bytes of complete events, as returned by event_stream_feed(),
 * from the start of events->pending. */
void event_stream_consume(struct event_stream *events, size_t len);
/** Returns whether the bytes fed so far end inside an event or a line. */
bool event_stream_in_event(const struct event_stream *events);
/** Discards the current, incomplete event, for example because its server is
 * gone. */
void event_stream_drop_partial(struct event_stream *events);
/** Frees all buffers and clears the state, including collect_data. */
void event_stream_reset(struct event_stream *events);

#endif
