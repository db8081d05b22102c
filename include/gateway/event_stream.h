/** @file
 * A stream of events (text/event-stream) as it passes through: where whole
 * events end, how many there were, and what data they carried.
 */
#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "record/record.h"

struct event_stream {
	struct buf pending;   /**< bytes of an event that is not whole yet */
	size_t scanned;       /**< of them, up to the last whole line */
	bool next_has_data;   /**< the event under way carries data */
	uint64_t event_count; /**< whole events with data so far */
	char last_id[NAME_BYTES]; /**< of the last whole event */
	char next_id[NAME_BYTES]; /**< of the event under way */
	bool collect_data;
	struct buf data;      /**< of whole events, a line feed after each */
	struct buf next_data; /**< of the event under way */
};

/** Takes bytes of the stream. Returns the length of the whole events at the
 * start of events->pending; what follows is not whole yet. */
size_t
event_stream_feed(struct event_stream *events, const void *data, size_t len);
/** Drops bytes that event_stream_feed() has reported as whole. */
void event_stream_consume(struct event_stream *events, size_t len);
/** Forgets an event that is not whole, as when its server has gone. */
void event_stream_drop_partial(struct event_stream *events);
void event_stream_reset(struct event_stream *events);

#endif
