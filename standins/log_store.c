#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/log_store.h"

enum {
	INITIAL_CAPACITY = 64,
};

/** A record of a stream. */
struct entry {
	int64_t appended_us;
	uint8_t *data;
	size_t len;
};

/** A stream, with the records of offsets first to first + count - 1. */
struct stream {
	char name[PLOG_STREAM_BYTES];
	uint64_t first; /**< offset of the oldest record */
	struct entry *entries;
	size_t head; /**< index in entries of the oldest record */
	size_t count;
	size_t capacity;
	UT_hash_handle hh;
};

/** Counters of all streams whose names have the same prefix. */
struct prefix {
	char name[PLOG_STREAM_BYTES];
	uint64_t appends;
	uint64_t records;
	uint64_t bytes;
	uint64_t reads;
	uint64_t read_bytes;
	UT_hash_handle hh;
};

struct log_store {
	struct log_store_options options;
	struct stream *streams;  /**< hash table by name */
	struct prefix *prefixes; /**< hash table by name */
	double bucket_tokens;    /**< token bucket: appends allowed now */
	int64_t refilled_us;     /**< time of the last refill of the bucket */
	uint64_t throttled;      /**< appends refused by the rate limit */
	struct plog_record *result; /**< records of the last read */
	size_t result_capacity;
};

struct log_store *
log_store_create(const struct log_store_options *options)
{
	struct log_store *store = xcalloc(1, sizeof(*store));

	store->options = *options;
	store->bucket_tokens = options->append_burst;
	return store;
}

static void
stream_destroy(struct stream *stream)
{
	for (size_t i = 0; i < stream->count; i++)
		free(stream->entries[stream->head + i].data);
	free(stream->entries);
	free(stream);
}

void
log_store_destroy(struct log_store *store)
{
	struct stream *stream = store->streams;
	struct prefix *prefix = store->prefixes;

	HASH_CLEAR(hh, store->streams);
	HASH_CLEAR(hh, store->prefixes);
	while (stream != NULL) {
		struct stream *next = stream->hh.next;

		stream_destroy(stream);
		stream = next;
	}
	while (prefix != NULL) {
		struct prefix *next = prefix->hh.next;

		free(prefix);
		prefix = next;
	}
	free(store->result);
	free(store);
}

bool
log_stream_name_valid(const char *name)
{
	size_t len = strlen(name);

	for (const char *at = name; *at != '\0'; at++) {
		if (!isalnum((unsigned char)*at) && strchr("-_.", *at) == NULL)
			return false;
	}
	return len > 0 && len < PLOG_STREAM_BYTES;
}

static struct stream *
find_stream(struct log_store *store, const char *name)
{
	struct stream *stream;

	HASH_FIND_STR(store->streams, name, stream);
	return stream;
}

static struct stream *
get_or_create_stream(struct log_store *store, const char *name)
{
	struct stream *stream = find_stream(store, name);

	if (stream != NULL)
		return stream;
	stream = xcalloc(1, sizeof(*stream));
	snprintf(stream->name, sizeof(stream->name), "%s", name);
	HASH_ADD_STR(store->streams, name, stream);
	return stream;
}

/* Returns the counters for a stream. The prefix of "lane-12" is "lane". */
static struct prefix *
get_or_create_prefix(struct log_store *store, const char *stream)
{
	char name[PLOG_STREAM_BYTES];
	struct prefix *prefix;

	snprintf(name, sizeof(name), "%.*s", (int)strcspn(stream, "-"), stream);
	HASH_FIND_STR(store->prefixes, name, prefix);
	if (prefix != NULL)
		return prefix;
	prefix = xcalloc(1, sizeof(*prefix));
	snprintf(prefix->name, sizeof(prefix->name), "%s", name);
	HASH_ADD_STR(store->prefixes, name, prefix);
	return prefix;
}

static void
drop_oldest(struct stream *stream)
{
	free(stream->entries[stream->head].data);
	stream->head++;
	stream->count--;
	stream->first++;
}

static void
expire(struct log_store *store, struct stream *stream, int64_t now_us)
{
	int64_t max_age_us = store->options.retention_us;
	uint64_t max_records = store->options.retention_records;

	while (max_age_us > 0 && stream->count > 0 &&
	    now_us - stream->entries[stream->head].appended_us > max_age_us)
		drop_oldest(stream);
	while (max_records > 0 && stream->count > max_records)
		drop_oldest(stream);
}

/* Returns a new entry at the end of a stream. First moves the entries to the
 * start of the array if there are more free places than entries before them. */
static struct entry *
push_entry(struct stream *stream)
{
	if (stream->head > stream->count) {
		memmove(stream->entries, stream->entries + stream->head,
		    stream->count * sizeof(*stream->entries));
		stream->head = 0;
	}
	if (stream->head + stream->count == stream->capacity) {
		stream->capacity = stream->capacity > 0 ? 2 * stream->capacity
							: INITIAL_CAPACITY;
		stream->entries = xrealloc(stream->entries,
		    stream->capacity * sizeof(*stream->entries));
	}
	return &stream->entries[stream->head + stream->count++];
}

/* Takes one append from the token bucket; returns false if it is empty. */
static bool
take_append_token(struct log_store *store, int64_t now_us)
{
	double rate = store->options.appends_per_s;

	if (rate <= 0)
		return true;
	store->bucket_tokens +=
	    rate * (double)(now_us - store->refilled_us) / US_PER_S;
	if (store->bucket_tokens > store->options.append_burst)
		store->bucket_tokens = store->options.append_burst;
	store->refilled_us = now_us;
	if (store->bucket_tokens < 1) {
		store->throttled++;
		return false;
	}
	store->bucket_tokens -= 1;
	return true;
}

bool
log_store_append(struct log_store *store, const char *name,
    const struct plog_record *records, size_t count, int64_t now_us,
    uint64_t *first_offset)
{
	struct prefix *prefix = get_or_create_prefix(store, name);
	struct stream *stream;

	if (!take_append_token(store, now_us))
		return false;
	stream = get_or_create_stream(store, name);
	*first_offset = stream->first + stream->count;
	prefix->appends++;
	prefix->records += count;
	for (size_t i = 0; i < count; i++) {
		struct entry *entry = push_entry(stream);

		entry->appended_us = now_us;
		entry->len = records[i].len;
		entry->data = (uint8_t *)xmemdup(records[i].data, entry->len);
		prefix->bytes += entry->len;
	}
	expire(store, stream, now_us);
	return true;
}

static void
result_add(struct log_store *store, struct plog_read *read, uint64_t offset,
    const struct entry *entry)
{
	if (read->count == store->result_capacity) {
		store->result_capacity = store->result_capacity > 0
		    ? 2 * store->result_capacity
		    : INITIAL_CAPACITY;
		store->result = xrealloc(store->result,
		    store->result_capacity * sizeof(*store->result));
	}
	store->result[read->count++] = (struct plog_record){
	    .offset = offset,
	    .data = entry->data,
	    .len = entry->len,
	};
}

/* Adds the records of a stream to the result of a read. */
static void
collect(struct log_store *store, const struct stream *stream, uint64_t from,
    size_t max_bytes, struct plog_read *read)
{
	struct prefix *prefix = get_or_create_prefix(store, stream->name);
	size_t bytes = 0;

	for (uint64_t offset = from; offset < read->end_offset; offset++) {
		const struct entry *entry =
		    &stream->entries[stream->head + (offset - stream->first)];

		if (read->count > 0 && bytes + entry->len > max_bytes)
			break;
		bytes += entry->len;
		result_add(store, read, offset, entry);
	}
	prefix->read_bytes += bytes;
}

void
log_store_read(struct log_store *store, const char *name, uint64_t from,
    size_t max_bytes, int64_t now_us, struct plog_read *read)
{
	struct stream *stream = find_stream(store, name);

	*read = (struct plog_read){.status = PLOG_OK};
	get_or_create_prefix(store, name)->reads++;
	if (stream == NULL)
		return;
	expire(store, stream, now_us);
	read->oldest_offset = stream->first;
	read->end_offset = stream->first + stream->count;
	if (from < read->oldest_offset)
		read->status = PLOG_EXPIRED;
	else
		collect(store, stream, from, max_bytes, read);
	read->records = store->result;
}

json_t *
log_store_stats(const struct log_store *store)
{
	json_t *prefixes = json_object();
	json_int_t appends = 0;
	json_int_t records = 0;

	for (const struct prefix *prefix = store->prefixes; prefix != NULL;
	     prefix = prefix->hh.next) {
		appends += (json_int_t)prefix->appends;
		records += (json_int_t)prefix->records;
		json_object_set_new(prefixes, prefix->name,
		    json_pack("{s:I, s:I, s:I, s:I, s:I}", "appends",
			(json_int_t)prefix->appends, "records",
			(json_int_t)prefix->records, "bytes",
			(json_int_t)prefix->bytes, "reads",
			(json_int_t)prefix->reads, "read_bytes",
			(json_int_t)prefix->read_bytes));
	}
	return json_pack("{s:I, s:I, s:I, s:o}", "appends", appends, "records",
	    records, "throttled", (json_int_t)store->throttled, "prefixes",
	    prefixes);
}
