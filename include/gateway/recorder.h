/** @file
 * Appends to the topic of turns. A record is appended again until the store
 * acknowledges it, by way of other gateways if the store does not serve this
 * one; copies of a record fold to nothing.
 */
#ifndef GATEWAY_RECORDER_H
#define GATEWAY_RECORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

extern const char TOPIC_TURNS[];

struct pending_record;

struct recorder *recorder_create(struct gateway *gateway);
void recorder_destroy(struct recorder *recorder);
/** Appends an encoded record, whose memory is taken over. done is called once,
 * with the record's offset; ok is false if it can't be appended at all. */
struct pending_record *
recorder_append(struct recorder *recorder, uint32_t part, struct buf *record,
    void (*done)(void *context, bool ok, uint64_t offset), void *context);
/** The caller is not interested any more; the record may still be appended. */
void recorder_detach(struct pending_record *pending_record);
/** Appends fail at present. */
bool recorder_store_is_unreachable(const struct recorder *recorder);
/** Since when appends fail; 0: they do not. */
int64_t recorder_unreachable_since_us(const struct recorder *recorder);
void recorder_handle_message(
    struct recorder *recorder, const struct message *message);

#endif
