/** @file
 * standin-log: an in-memory stand-in for the platform's append-only log.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "common/pack.h"
#include "standins/log_store.h"
#include "standins/programs.h"

enum {
	DEFAULT_READ_BYTES = 1 << 20,
	MAX_WAIT_MS = 60000,
};

/** A read request that waits for the next record of its stream. */
struct waiter {
	struct list link;
	struct standin_request *request;
	char stream[PLOG_STREAM_BYTES];
	uint64_t from;
	size_t max_bytes;
};

static double appends_per_s = 400;
static double append_burst = 100;
static double retention_s = 0;
static int64_t retention_records = 0;

static struct log_store *store;
static struct list waiters = {&waiters, &waiters}; /**< list of struct waiter */

static void
reply_read(struct standin_request *request, const struct plog_read *read)
{
	int status = read->status == PLOG_EXPIRED ? 410 : 200;
	struct buf body = {0};

	plog_encode_read(read, &body);
	standin_reply_bytes(
	    request, status, "application/msgpack", body.data, body.len);
	buf_reset(&body);
}

static void
waiter_free(struct waiter *waiter)
{
	list_remove(&waiter->link);
	free(waiter);
}

/* Ends a wait and replies with the records that there are now. */
static void
waiter_finish(struct waiter *waiter)
{
	struct standin_request *request = waiter->request;
	struct plog_read read;

	log_store_read(store, waiter->stream, waiter->from, waiter->max_bytes,
	    clock_monotonic_us(), &read);
	waiter_free(waiter);
	request->on_close = NULL;
	reply_read(request, &read);
}

static void
handle_wait_timeout(struct standin_request *request)
{
	waiter_finish(request->context);
}

static void
handle_wait_closed(struct standin_request *request)
{
	waiter_free(request->context);
	standin_stream_end(request);
}

static void
wait_for_record(struct standin_request *request, const char *stream,
    uint64_t from, size_t max_bytes, int64_t wait_ms)
{
	struct waiter *waiter = xcalloc(1, sizeof(*waiter));

	waiter->request = request;
	waiter->from = from;
	waiter->max_bytes = max_bytes;
	memcpy(waiter->stream, stream, strlen(stream) + 1);
	list_append(&waiters, &waiter->link);
	request->context = waiter;
	request->on_close = handle_wait_closed;
	standin_request_delay(request, wait_ms, handle_wait_timeout);
}

static void
wake_waiters(const char *stream)
{
	list_for_each_safe (waiter, tmp, &waiters, struct waiter, link) {
		if (strcmp(waiter->stream, stream) == 0)
			waiter_finish(waiter);
	}
}

static void
handle_read(struct standin_request *request, const char *stream)
{
	int64_t from = standin_query_number(request, "from", 0);
	int64_t wait_ms = standin_query_number(request, "wait_ms", 0);
	int64_t max_bytes =
	    standin_query_number(request, "max_bytes", DEFAULT_READ_BYTES);
	struct plog_read read;

	if (from < 0 || wait_ms < 0 || max_bytes < 0) {
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	log_store_read(store, stream, (uint64_t)from, (size_t)max_bytes,
	    clock_monotonic_us(), &read);
	if (read.status == PLOG_OK && read.count == 0 && wait_ms > 0 &&
	    request->exchange != NULL)
		wait_for_record(request, stream, (uint64_t)from,
		    (size_t)max_bytes,
		    wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS);
	else
		reply_read(request, &read);
}

/* Returns an allocated array of the records in a batch, whose data point into
 * the batch, or NULL if the batch is malformed. */
static struct plog_record *
decode_batch(const msgpack_object *batch, size_t *count)
{
	struct plog_record *records;

	if (batch->type != MSGPACK_OBJECT_ARRAY || batch->via.array.size == 0)
		return NULL;
	*count = batch->via.array.size;
	records = xcalloc(*count, sizeof(*records));
	for (size_t i = 0; i < *count; i++) {
		const msgpack_object *item = &batch->via.array.ptr[i];

		if (item->type != MSGPACK_OBJECT_BIN ||
		    item->via.bin.size > PLOG_RECORD_BYTES) {
			free(records);
			return NULL;
		}
		records[i].data = (const uint8_t *)item->via.bin.ptr;
		records[i].len = item->via.bin.size;
	}
	return records;
}

static void
append_batch(struct standin_request *request, const char *stream,
    const struct plog_record *records, size_t count)
{
	uint64_t first = 0;

	if (!log_store_append(
		store, stream, records, count, clock_monotonic_us(), &first)) {
		standin_reply_error(request, 429, "append_limit");
		return;
	}
	standin_reply(request, 200,
	    json_pack("{s:I}", "first_offset", (json_int_t)first));
	wake_waiters(stream);
}

static void
handle_append(struct standin_request *request, const char *stream)
{
	const char *data = (const char *)request->body.data;
	size_t len = request->body.len;
	struct plog_record *records = NULL;
	msgpack_unpacked unpacked;
	size_t count = 0;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	if (pack_sizes_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, data, len, &offset) ==
		MSGPACK_UNPACK_SUCCESS)
		records = decode_batch(&unpacked.data, &count);
	if (records != NULL)
		append_batch(request, stream, records, count);
	else
		standin_reply_error(request, 400, "malformed_batch");
	free(records);
	msgpack_unpacked_destroy(&unpacked);
}

/* Copies the stream's name from the path /v1/streams/NAME/records. Returns
 * false if the path has another form or the name is invalid. */
static bool
parse_stream(const struct standin_request *request, char *name)
{
	static const char suffix[] = "/records";
	const char *tail = standin_path_suffix(request, "/v1/streams/");
	size_t len = tail != NULL ? strcspn(tail, "/") : 0;

	if (len == 0 || len >= PLOG_STREAM_BYTES ||
	    strcmp(tail + len, suffix) != 0)
		return false;
	memcpy(name, tail, len);
	name[len] = '\0';
	return log_stream_name_valid(name);
}

static void
handle(struct standin_request *request)
{
	char stream[PLOG_STREAM_BYTES];

	if (!parse_stream(request, stream))
		standin_reply_error(request, 404, "unknown_path");
	else if (request->method == HTTP_GET)
		handle_read(request, stream);
	else if (request->method == HTTP_POST)
		handle_append(request, stream);
	else
		standin_reply_error(request, 405, "unknown_method");
}

static json_t *
stats(struct standin *standin)
{
	json_t *object = log_store_stats(store);

	(void)standin;
	json_object_set_new(object, "waiting_reads",
	    json_integer((json_int_t)list_length(&waiters)));
	return object;
}

/* Fails the waiting reads at the start of an outage. */
static void
handle_faults_changed(struct standin *standin)
{
	if (!standin_is_in_outage(standin))
		return;
	list_for_each_safe (waiter, tmp, &waiters, struct waiter, link) {
		struct standin_request *request = waiter->request;

		waiter_free(waiter);
		request->on_close = NULL;
		standin_reply_error(request, 503, "unavailable");
	}
}

static void
start(struct standin *standin)
{
	const struct log_store_options options = {
	    .appends_per_s = appends_per_s,
	    .append_burst = append_burst,
	    .retention_us = (int64_t)(retention_s * US_PER_S),
	    .retention_records = (uint64_t)retention_records,
	};

	(void)standin;
	store = log_store_create(&options);
}

static void
stop(struct standin *standin)
{
	(void)standin;
	log_store_destroy(store);
}

static const struct field options[] = {
    {"appends_per_s", "N",
	"Limit of appends per second on all streams together", FIELD_REAL,
	{.real = &appends_per_s}},
    {"append_burst", "N", "Appends allowed in a burst", FIELD_REAL,
	{.real = &append_burst}},
    {"retention_s", "S", "Age at which records expire; 0: never", FIELD_REAL,
	{.real = &retention_s}},
    {"retention_records", "N", "Records kept per stream; 0: all", FIELD_INTEGER,
	{.integer = &retention_records}},
};

const struct standin_program log_program = {
    .name = "standin-log",
    .summary = "Stand-in for the platform's append-only log.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .start = start,
    .stop = stop,
    .handle = handle,
    .stats = stats,
    .faults_changed = handle_faults_changed,
};
