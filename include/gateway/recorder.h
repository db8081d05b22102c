/** @file
 * Appends records to the topics "turns" and "contents", which holds the content
 * of long turns in parts. A record is appended again until the store
 * acknowledges it, through other gateways if the store does not serve this one.
 * The same record may thus be in the log more than once; readers ignore the
 * duplicates.
 */
#ifndef GATEWAY_RECORDER_H
#define GATEWAY_RECORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

extern const char TOPIC_TURNS[];
extern const char TOPIC_CONTENTS[];

enum recorder_topic {
	RECORDER_TURNS,
	RECORDER_CONTENTS,
	RECORDER_TOPIC_COUNT,
};

struct pending_record;

struct recorder *recorder_create(struct gateway *gateway);
void recorder_destroy(struct recorder *recorder);
/** Appends an encoded record to a partition of a topic, and takes ownership of
 * its memory. done is called once, with the record's offset; ok is false when
 * the store rejects the record for good, which fails no other record. */
struct pending_record *recorder_append(struct recorder *recorder,
    enum recorder_topic topic, uint32_t partition, struct buf *record,
    void (*done)(void *context, bool ok, uint64_t offset), void *context);
/** Drops the callback of a record. The record may still be appended. */
void recorder_detach(struct pending_record *pending_record);
/** Returns whether appends have failed since the last success. */
bool recorder_store_is_unreachable(const struct recorder *recorder);
/** Returns the monotonic time since which appends fail; 0: they do not. */
int64_t recorder_unreachable_since_us(const struct recorder *recorder);
/** Handles another gateway's append through this one, or the reply to one of
 * this gateway's appends through another. */
void recorder_handle_message(
    struct recorder *recorder, const struct message *message);

#endif
