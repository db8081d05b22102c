/** @file
 * Position of the daemon in the cache events of one engine. No I/O.
 */
#ifndef DAEMON_CACHE_EVENTS_H
#define DAEMON_CACHE_EVENTS_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/** Zero-initialized: before the first event. */
struct cache_event_reader {
	uint64_t last_number; /**< of the newest event that was read */
};

/** Writes the path and query that request the next events. */
void cache_events_target(
    const struct cache_event_reader *reader, char *target, size_t size);
/** Calls on_event for each event of an engine's response, in order. An engine
 * that has restarted numbers its events anew. */
void cache_events_read(struct cache_event_reader *reader, json_t *response,
    void (*on_event)(void *context, json_t *event), void *context);

#endif
