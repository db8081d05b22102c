/** @file
 * Client of the platform's store: topics of records in partitions, the newest
 * record of each key, and groups whose members share partitions.
 *
 * An answer that does not come within a call's time ends its connection. What
 * the call did is then not known.
 */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "common/counter.h"
#include "h1/client.h"
#include "record/record.h"

struct store;
struct store_call;

/** The platform's own keyed topics. */
extern const char STORE_TOPIC_OPERATOR[]; /**< key "config" */
extern const char STORE_TOPIC_SERVERS[];  /**< a key for each server's id */
extern const char STORE_KEY_CONFIG[];

enum store_status {
	STORE_OK,
	STORE_REFUSED,  /**< nothing was done; it may be tried again */
	STORE_UNKNOWN,  /**< no answer: it may have been done, or will be */
	STORE_CONFLICT, /**< not done: another one holds what it needs */
	STORE_EXPIRED,  /**< the records asked for are gone */
	STORE_FULL,     /**< not done: no room for records */
	STORE_INVALID,  /**< not done: the call itself is wrong */
};

/** Returns a status as logs name it. */
const char *store_status_name(enum store_status status);

struct store_appended {
	enum store_status status;
	uint64_t first; /**< offset of the first record */
};

struct store_read {
	enum store_status status;
	uint64_t first; /**< the oldest offset that is left */
	uint64_t end;   /**< offset behind the newest record */
	uint64_t from;  /**< offset of records[0] */
	const struct wire_bytes *records;
	size_t count;
};

struct store_item {
	const char *key;
	struct wire_bytes value;
};

struct store_newest {
	enum store_status status;
	const struct store_item *items;
	size_t count;
	bool more;    /**< ask again after the last key */
	uint64_t end; /**< offset to read on from */
};

/** A member's part of a group's partitions. */
struct store_joined {
	enum store_status status;
	uint64_t generation; /**< rises with each new distribution */
	const uint32_t *parts;
	size_t part_count;
};

struct store_owner {
	uint32_t part;
	const char *member;
};

struct store_owners {
	enum store_status status;
	const struct store_owner *rows;
	size_t count;
};

struct store *store_create(uv_loop_t *loop, struct h1_client *client,
    const char *address, struct counters *counters);
/** Cancels all calls. */
void store_destroy(struct store *store);
/** Ends a call without a callback. */
void store_cancel(struct store_call *call);

struct store_call *
store_append(struct store *store, const char *topic, uint32_t part,
    const struct wire_bytes *records, size_t count, int64_t timeout_us,
    void (*done)(void *context, const struct store_appended *appended),
    void *context);
/** Waits up to wait_us for a record when there is none. */
struct store_call *
store_read(struct store *store, const char *topic, uint32_t part, uint64_t from,
    size_t max_bytes, int64_t wait_us, int64_t timeout_us,
    void (*done)(void *context, const struct store_read *read), void *context);
/** after: key behind which to go on; "" to begin. */
struct store_call *store_newest(struct store *store, const char *topic,
    const char *after, int64_t timeout_us,
    void (*done)(void *context, const struct store_newest *newest),
    void *context);
struct store_call *store_join(struct store *store, const char *group,
    const char *member, const char *topic, int64_t lease_us,
    uint64_t generation, int64_t timeout_us,
    void (*done)(void *context, const struct store_joined *joined),
    void *context);
struct store_call *store_leave(struct store *store, const char *group,
    const char *member, int64_t timeout_us,
    void (*done)(void *context, enum store_status status), void *context);
struct store_call *
store_owners(struct store *store, const char *group, int64_t timeout_us,
    void (*done)(void *context, const struct store_owners *owners),
    void *context);
struct store_call *store_trim(struct store *store, const char *topic,
    uint32_t part, uint64_t before, int64_t timeout_us,
    void (*done)(void *context, enum store_status status), void *context);

/** Writes a record of a keyed topic. */
void store_keyed_encode(
    struct buf *out, const char *key, const void *value, size_t len);
/** Reads a record of a keyed topic; an empty value: the key is dropped. */
bool store_keyed_decode(const struct wire_bytes *record, char key[NAME_BYTES],
    struct wire_bytes *value);

#endif
