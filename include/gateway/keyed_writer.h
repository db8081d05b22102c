/** @file
 * Writes records to a keyed topic of the store, in their order, several at a
 * time, and again after failures.
 */
#ifndef GATEWAY_KEYED_WRITER_H
#define GATEWAY_KEYED_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/gateway.h"

enum {
	KEYED_WRITER_MAX = 1024, /**< records that wait for the store */
	KEYED_WRITER_VALUE_BYTES = 192,
};

struct keyed_writer;

struct keyed_writer *
keyed_writer_create(struct gateway *gateway, const char *topic);
void keyed_writer_destroy(struct keyed_writer *writer);
/** Writes a record as soon as the store is there; without a value it removes
 * the key. gather_ms: time to wait for records that go with it. Returns false,
 * and logs, if too many wait already. */
bool keyed_writer_put(struct keyed_writer *writer, const char *key,
    const char *value, uint64_t gather_ms);

#endif
