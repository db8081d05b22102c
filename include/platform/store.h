/** @file
 * Client of the platform's store, which keeps topics: logs of records, divided
 * into partitions. For a keyed topic it also serves the newest record of each
 * key. The members of a group divide a topic's partitions among them.
 *
 * A call without a response within its timeout ends with STORE_UNKNOWN, or with
 * STORE_REFUSED when nothing had been sent. Its connection is closed.
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

/** Keyed topics that the platform defines. */
extern const char STORE_TOPIC_OPERATOR[]; /**< has STORE_KEY_CONFIG */
extern const char STORE_TOPIC_SERVERS[];  /**< keyed by server id */
extern const char STORE_KEY_CONFIG[];

enum {
	/** Added by the store to the length of each record of an append. */
	STORE_RECORD_OVERHEAD_BYTES = 4,
	/** Longest key of a keyed topic. */
	STORE_KEY_MAX_BYTES = 255,
};

enum store_status {
	STORE_OK,
	STORE_REFUSED,  /**< no effect; may be retried */
	STORE_UNKNOWN,  /**< no valid response: may have had an effect, or
			   may have one later */
	STORE_CONFLICT, /**< no effect: another client holds what the
			   call needs */
	STORE_EXPIRED,  /**< the requested records have been deleted */
	STORE_FULL,     /**< no effect: the store has no space left */
	STORE_INVALID,  /**< no effect: the store rejected the call as
			   invalid */
};

/** Returns the name of a status for log lines. */
const char *store_status_name(enum store_status status);

/** Result of store_append(). */
struct store_appended {
	enum store_status status;
	uint64_t first_offset; /**< offset of the first record */
};

/** Result of store_read(); valid during the callback. */
struct store_read {
	enum store_status status;
	uint64_t oldest_offset;  /**< oldest offset retained */
	uint64_t end_offset;     /**< offset after the newest record */
	uint64_t records_offset; /**< offset of records[0] */
	const struct wire_bytes *records;
	size_t count;
};

/** A key of a keyed topic with its newest value. */
struct store_item {
	const char *key; /**< a name: shorter than NAME_BYTES, not empty */
	struct wire_bytes value;
};

/** Position in the listing of a keyed topic. Zeroed: before the first page. */
struct store_cursor {
	/** Last key of the pages before. JSON may show each byte of a key as a
	 * replacement character. */
	uint8_t key[3 * STORE_KEY_MAX_BYTES];
	size_t key_len;
	uint32_t pages; /**< number of the pages before */
	uint64_t mark;  /**< hash of the key of an earlier page */
};

/** What follows a page of store_newest(). */
enum store_next {
	STORE_NEXT_NONE, /**< it is the last one */
	STORE_NEXT_PAGE, /**< the page behind the cursor */
	/** Pages that no cursor leads to: the page has no key, or pages repeat,
	 * since the store takes its last key for another one. */
	STORE_NEXT_UNREACHABLE,
};

/** Result of store_newest(): one page of items; valid during the callback.
 * Records whose keys are no names are left out. */
struct store_newest {
	enum store_status status;
	const struct store_item *items;
	size_t count;
	bool first; /**< whether this is the first page */
	enum store_next next;
	uint64_t end; /**< offset from which to read later changes */
};

/** Result of store_join(): the partitions assigned to the member; valid during
 * the callback. */
struct store_joined {
	enum store_status status;
	uint64_t generation;        /**< rises with each new assignment */
	const uint32_t *partitions; /**< numbers of the partitions */
	size_t partition_count;
};

/** A partition and the group member that it is assigned to. */
struct store_owner {
	uint32_t partition; /**< number of the partition */
	const char *member;
};

/** Result of store_owners(); valid during the callback. */
struct store_owners {
	enum store_status status;
	const struct store_owner *owners;
	size_t count;
};

/** Creates a client of the store at address ("IP:port"); client and counters
 * must outlive it. */
struct store *store_create(uv_loop_t *loop, struct h1_client *client,
    const char *address, struct counters *counters);
/** Cancels all calls and frees the client. */
void store_destroy(struct store *store);
/** Cancels a call; its callback does not run. */
void store_cancel(struct store_call *call);

/* Each call below runs done once, unless it is cancelled, and is invalid from
 * then on. timeout_us is the longest time until the whole response. */

/** Appends records to a partition as one batch. */
struct store_call *
store_append(struct store *store, const char *topic, uint32_t partition,
    const struct wire_bytes *records, size_t count, int64_t timeout_us,
    void (*done)(void *context, const struct store_appended *appended),
    void *context);
/** Reads records from an offset on, up to max_bytes (rounded up to whole KiB).
 * When there is none yet, the store waits up to wait_us for one. */
struct store_call *
store_read(struct store *store, const char *topic, uint32_t partition,
    uint64_t from, size_t max_bytes, int64_t wait_us, int64_t timeout_us,
    void (*done)(void *context, const struct store_read *read), void *context);
/** Reads the newest record of each key of a topic, one page a call. A success
 * moves the cursor, which must outlive the call, behind the page. */
struct store_call *store_newest(struct store *store, const char *topic,
    struct store_cursor *cursor, int64_t timeout_us,
    void (*done)(void *context, const struct store_newest *newest),
    void *context);
/** Joins a group, or renews the membership, for lease_us. generation: that of
 * the assignment last received. */
struct store_call *store_join(struct store *store, const char *group,
    const char *member, const char *topic, int64_t lease_us,
    uint64_t generation, int64_t timeout_us,
    void (*done)(void *context, const struct store_joined *joined),
    void *context);
/** Leaves a group. */
struct store_call *store_leave(struct store *store, const char *group,
    const char *member, int64_t timeout_us,
    void (*done)(void *context, enum store_status status), void *context);
/** Reads which member of a group has which partition. */
struct store_call *
store_owners(struct store *store, const char *group, int64_t timeout_us,
    void (*done)(void *context, const struct store_owners *owners),
    void *context);
/** Deletes the records of a partition with offsets below before. */
struct store_call *store_trim(struct store *store, const char *topic,
    uint32_t partition, uint64_t before, int64_t timeout_us,
    void (*done)(void *context, enum store_status status), void *context);

/** Counts records that are left out, since their keys are no names or they have
 * no readable value, and logs their topic, once a minute at most. */
void store_count_ignored(struct store *store, const char *topic, size_t count);

/** Encodes a record of a keyed topic: the length of the key in one byte, the
 * key, the value. */
void store_keyed_encode(
    struct buf *out, const char *key, const void *value, size_t len);
/** Decodes a record of a keyed topic; value points into record. An empty value
 * deletes the key. Returns false when the record is malformed or its key is no
 * name: empty, not shorter than NAME_BYTES, with a NUL or with U+FFFD. */
bool store_keyed_decode(const struct wire_bytes *record, char key[NAME_BYTES],
    struct wire_bytes *value);

#endif
