/** @file
 * Topics of standin-store, in memory: records in partitions, and groups whose
 * members share the partitions.
 */
#ifndef STANDINS_TOPICS_H
#define STANDINS_TOPICS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/wire.h"

enum {
	TOPICS_NAME_BYTES = 128,
	TOPICS_PARTITIONS = 12,
	/** Limits of the platform's store on a record, and on the records of an
	 * append with their lengths. */
	TOPICS_RECORD_MAX_BYTES = 256 << 10,
	TOPICS_APPEND_MAX_BYTES = 2 << 20,
};

struct topics;

struct topics *topics_create(void);
void topics_destroy(struct topics *topics);
/** Lowers the limits on a record and on an append; 0: the platform's. */
void topics_set_limits(
    struct topics *topics, size_t record_max_bytes, size_t append_max_bytes);
/** Appends the records of a body, each preceded by its length in 4 bytes. Sets
 * *first to the offset of the first one and *end to that after the last one.
 * Returns false if the body is malformed or exceeds a limit; then nothing is
 * appended. */
bool topics_append(struct topics *topics, const char *topic, uint32_t part,
    const void *body, size_t len, uint64_t *first, uint64_t *end);
/** Returns the offset after the last record of a partition. */
uint64_t topics_end(struct topics *topics, const char *topic, uint32_t part);
/** Appends the encoded result of a read from an offset on: records of about
 * max_bytes, but at least one if there is one. */
void topics_read(struct topics *topics, const char *topic, uint32_t part,
    uint64_t from, size_t max_bytes, struct buf *out);
/** Calls visit for the newest record of each key after a key (NULL: of all), in
 * the order of the keys, unless it has no value. Ends after max_items or about
 * max_bytes; returns whether more follow. */
bool topics_newest(struct topics *topics, const char *topic,
    const struct wire_bytes *after, size_t max_items, size_t max_bytes,
    void (*visit)(void *context, const struct wire_bytes *key,
	const struct wire_bytes *value, uint64_t offset),
    void *context);

/** Adds a member to a group or renews its lease. Sets a bit in *parts for each
 * partition that it owns. Returns the generation, which changes with each
 * change of members. */
uint64_t topics_join(struct topics *topics, const char *group_name,
    const char *name, int64_t lease_us, int64_t now_us, uint64_t *parts);
void topics_leave(struct topics *topics, const char *group_name,
    const char *name, int64_t now_us);
/** Returns the member that owns a partition, or NULL. */
const char *topics_owner(struct topics *topics, const char *group_name,
    uint32_t part, int64_t now_us);

#endif
