#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "gateway/dependency.h"
#include "gateway/keyed_writer.h"
#include "gateway/quarantine_internal.h"
#include "platform/store.h"

enum {
	/* A read waits for so long for a new record. */
	READ_WAIT_US = 5 * US_PER_S,
	READ_MARGIN_US = 1 * US_PER_S,
	READ_MAX_BYTES = 256 << 10,
	NEWEST_TIMEOUT_US = 1 * US_PER_S,
	/* Requests that were at one server's end come one after the other. */
	GATHER_MS = 20,
	RETRY_MS = 300,
	VALUE_BYTES = 32 + NAME_BYTES,
};

/* A record for each crash, with the key FINGERPRINT.EPOCH.CRASH and the value
 * "ROUND VM"; crash 0 stands for the start of an epoch. Records are kept until
 * their request is cleared. */
static const char TOPIC_CRASHES[] = "keyed.crashes";

struct quarantine_store {
	struct quarantine *quarantine;
	struct store_call *read_call;
	uv_timer_t *read_timer;
	uint64_t next_offset;
	bool positioned;
	bool read_failed;
	int64_t failed_since_us;
	struct store_cursor cursor; /**< pages read so far */
	struct keyed_writer *writer;
};

static void read_start(struct quarantine_store *store);

/* Parses a record. A record without a value removes a crash, which another one
 * starts an epoch for. */
static void
handle_record(struct quarantine_store *store, const char *key,
    const struct wire_bytes *value)
{
	struct suspect_crash crash = {.crashed_us = INT64_MIN};
	char text[VALUE_BYTES];
	int end = 0;

	if (value->len == 0)
		return;
	snprintf(text, sizeof(text), "%.*s", (int)value->len,
	    (const char *)value->data);
	if (sscanf(key, "%16" SCNx64 ".%" SCNu32 ".%16" SCNx64 "%n",
		&crash.fingerprint, &crash.epoch, &crash.crash, &end) != 3 ||
	    key[end] != '\0' || sscanf(text, "%" SCNu32, &crash.round) != 1) {
		diag(LOG_NOTICE, NULL, "store: %s: malformed record \"%s\"",
		    TOPIC_CRASHES, key);
		return;
	}
	quarantine_join(store->quarantine, &crash, "store");
}

static void
handle_read_timer(uv_timer_t *timer)
{
	read_start(timer->data);
}

static void
handle_read_failure(struct quarantine_store *store, enum store_status status)
{
	uv_timer_start(store->read_timer, handle_read_timer, RETRY_MS, 0);
	if (store->read_failed)
		return;
	store->read_failed = true;
	store->failed_since_us = clock_monotonic_us();
	dependency_trace_unreachable("store/crashes", status);
}

static void
handle_read_success(struct quarantine_store *store)
{
	if (!store->read_failed)
		return;
	store->read_failed = false;
	dependency_trace_recovered(
	    "store/crashes", clock_monotonic_us() - store->failed_since_us);
}

static void
handle_newest(void *context, const struct store_newest *newest)
{
	struct quarantine_store *store = context;

	store->read_call = NULL;
	if (newest->status != STORE_OK) {
		handle_read_failure(store, newest->status);
		return;
	}
	handle_read_success(store);
	/* The pages are not a snapshot: what changes meanwhile is read again.
	 */
	if (newest->first)
		store->next_offset = newest->end;
	for (size_t i = 0; i < newest->count; i++)
		handle_record(
		    store, newest->items[i].key, &newest->items[i].value);
	if (newest->next != STORE_NEXT_PAGE) {
		store->cursor = (struct store_cursor){0};
		store->positioned = true;
		store->quarantine->loaded = true;
	}
	read_start(store);
}

static void
handle_read(void *context, const struct store_read *read)
{
	struct quarantine_store *store = context;
	char key[NAME_BYTES];
	struct wire_bytes value;

	store->read_call = NULL;
	if (read->status == STORE_EXPIRED ||
	    (read->status == STORE_OK &&
		read->end_offset < store->next_offset)) {
		store->positioned = false;
		read_start(store);
		return;
	}
	if (read->status != STORE_OK) {
		handle_read_failure(store, read->status);
		return;
	}
	handle_read_success(store);
	for (size_t i = 0; i < read->count; i++) {
		if (store_keyed_decode(&read->records[i], key, &value))
			handle_record(store, key, &value);
	}
	store->next_offset += read->count;
	read_start(store);
}

static void
read_start(struct quarantine_store *store)
{
	struct store *platform_store = store->quarantine->gateway->store;

	if (!store->positioned)
		store->read_call = store_newest(platform_store, TOPIC_CRASHES,
		    &store->cursor, NEWEST_TIMEOUT_US, handle_newest, store);
	else
		store->read_call = store_read(platform_store, TOPIC_CRASHES, 0,
		    store->next_offset, READ_MAX_BYTES, READ_WAIT_US,
		    READ_WAIT_US + READ_MARGIN_US, handle_read, store);
}

static void
write_record(struct quarantine_store *store, const struct suspect_crash *crash,
    const char *value)
{
	char key[NAME_BYTES];

	snprintf(key, sizeof(key), "%016" PRIx64 ".%" PRIu32 ".%016" PRIx64,
	    crash->fingerprint, crash->epoch, crash->crash);
	if (!keyed_writer_put(store->writer, key, value, GATHER_MS))
		store->quarantine->gateway->counters
		    .suspect_records_dropped_total++;
}

void
quarantine_store_add(
    struct quarantine_store *store, const struct suspect_crash *crash)
{
	char value[VALUE_BYTES];

	snprintf(value, sizeof(value), "%" PRIu32 " %.63s", crash->round,
	    store->quarantine->gateway->settings.vm_name);
	write_record(store, crash, value);
}

void
quarantine_store_remove(
    struct quarantine_store *store, const struct suspect_crash *crash)
{
	write_record(store, crash, "");
}

struct quarantine_store *
quarantine_store_create(struct quarantine *quarantine)
{
	struct quarantine_store *store = xcalloc(1, sizeof(*store));

	store->quarantine = quarantine;
	store->read_timer = xcalloc(1, sizeof(*store->read_timer));
	uv_timer_init(&quarantine->gateway->loop, store->read_timer);
	store->read_timer->data = store;
	store->writer = keyed_writer_create(quarantine->gateway, TOPIC_CRASHES);
	read_start(store);
	return store;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
quarantine_store_destroy(struct quarantine_store *store)
{
	if (store->read_call != NULL)
		store_cancel(store->read_call);
	uv_close((uv_handle_t *)store->read_timer, handle_timer_closed);
	keyed_writer_destroy(store->writer);
	free(store);
}
