/** @file
 * standin-store: an in-memory stand-in for the platform's store. Records that
 * operators and servers write are sent to /stand-in/append, a path that the
 * platform's own store does not have.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "standins/programs.h"
#include "standins/topics.h"

enum {
	DEFAULT_READ_KB = 1024,
	BYTES_PER_KB = 1024,
	MAX_WAIT_MS = 30000,
	/* Most items of a page of log-newest, and bytes of their records. */
	PAGE_MAX_ITEMS = 500,
	PAGE_MAX_BYTES = 1 << 20,
};

/** A read request that waits for the next record of a partition. */
struct waiter {
	struct list link;
	struct standin_request *request;
	char topic[TOPICS_NAME_BYTES];
	uint32_t part;
	uint64_t from;
	size_t max_bytes;
};

static struct topics *topics;
static struct list waiters = {&waiters, &waiters}; /**< list of struct waiter */
static int64_t record_max_bytes; /**< fault; 0: the platform's limit */
static int64_t append_max_bytes; /**< the same */
static int64_t page_items;       /**< the same: most items of a page */
/** How a key that is not UTF-8 is written in JSON: "raw" or "surrogates"; NULL:
 * with replacement characters. */
static char *undecodable_keys;
static int64_t append_count;
static int64_t read_count;   /**< of log-read and log-newest */
static int64_t newest_count; /**< of log-newest */

static void
waiter_free(struct waiter *waiter)
{
	list_remove(&waiter->link);
	free(waiter);
}

static void
reply_read(struct standin_request *request, const char *topic, uint32_t part,
    uint64_t from, size_t max_bytes)
{
	struct buf body = {0};

	topics_read(topics, topic, part, from, max_bytes, &body);
	standin_reply_bytes(
	    request, 200, "application/octet-stream", body.data, body.len);
	buf_reset(&body);
}

/* Ends a wait and replies with the records that there are now. */
static void
waiter_finish(struct waiter *waiter)
{
	struct standin_request *request = waiter->request;
	struct waiter copy = *waiter;

	request->on_close = NULL;
	waiter_free(waiter);
	reply_read(request, copy.topic, copy.part, copy.from, copy.max_bytes);
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
wake_waiters(const char *topic, uint32_t part)
{
	list_for_each_safe (waiter, tmp, &waiters, struct waiter, link) {
		if (waiter->part == part && strcmp(waiter->topic, topic) == 0)
			waiter_finish(waiter);
	}
}

/* Appends records. Only requests to /stand-in/append (is_platform) may write to
 * the topics of the operator and of the servers. */
static void
handle_append(struct standin_request *request, bool is_platform)
{
	char topic[TOPICS_NAME_BYTES];
	uint32_t part = (uint32_t)standin_query_number(request, "part", 0);
	uint64_t first;
	uint64_t end;

	standin_query_text(request, "topic", topic, sizeof(topic));
	append_count++;
	if (!is_platform &&
	    (strcmp(topic, "keyed.op") == 0 ||
		strcmp(topic, "keyed.servers") == 0)) {
		standin_reply_error(
		    request, 403, "topic is reserved for the platform");
		return;
	}
	if (!topics_append(topics, topic, part, request->body.data,
		request->body.len, &first, &end)) {
		standin_reply_error(request, 400, "invalid records");
		return;
	}
	standin_reply(request, 200,
	    json_pack("{s:I, s:I}", "offset", (json_int_t)first, "end",
		(json_int_t)end));
	wake_waiters(topic, part);
}

static void
handle_read(struct standin_request *request)
{
	struct waiter *waiter;
	char topic[TOPICS_NAME_BYTES];
	uint32_t part = (uint32_t)standin_query_number(request, "part", 0);
	uint64_t from = (uint64_t)standin_query_number(request, "from", 0);
	size_t max_bytes =
	    (size_t)standin_query_number(request, "maxKb", DEFAULT_READ_KB) *
	    BYTES_PER_KB;
	int64_t wait_ms = standin_query_number(request, "waitMs", 0);

	read_count++;
	standin_query_text(request, "topic", topic, sizeof(topic));
	if (wait_ms == 0 || topics_end(topics, topic, part) > from) {
		reply_read(request, topic, part, from, max_bytes);
		return;
	}
	waiter = xcalloc(1, sizeof(*waiter));
	waiter->request = request;
	memcpy(waiter->topic, topic, sizeof(topic));
	waiter->part = part;
	waiter->from = from;
	waiter->max_bytes = max_bytes;
	list_append(&waiters, &waiter->link);
	request->context = waiter;
	request->on_close = handle_wait_closed;
	standin_request_delay(request,
	    wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS, handle_wait_timeout);
}

/** A page of log-newest while it is written. */
struct page {
	struct buf text;
	size_t count;
};

/* Appends one byte of a key that is not valid UTF-8. */
static void
append_invalid_byte(struct buf *out, unsigned char byte)
{
	if (byte < 0x80)
		buf_printf(out, "\\u%04x", byte);
	else if (undecodable_keys == NULL)
		buf_append_text(out, "\\ufffd");
	else if (strcmp(undecodable_keys, "raw") == 0)
		buf_append(out, &byte, 1);
	else
		buf_printf(out, "\\udc%02x", byte);
}

static void
append_key(struct buf *out, const struct wire_bytes *key)
{
	json_t *string = json_stringn((const char *)key->data, key->len);
	char *text;

	if (string != NULL) {
		text = json_dumps(string, JSON_ENCODE_ANY);
		buf_append_text(out, text);
		free(text);
		json_decref(string);
		return;
	}
	buf_append(out, "\"", 1);
	for (size_t i = 0; i < key->len; i++)
		append_invalid_byte(out, key->data[i]);
	buf_append(out, "\"", 1);
}

static void
append_item(void *context, const struct wire_bytes *key,
    const struct wire_bytes *value, uint64_t offset)
{
	struct page *page = context;
	size_t size = sodium_base64_ENCODED_LEN(
	    value->len, sodium_base64_VARIANT_ORIGINAL);
	char *text = xcalloc(1, size);

	sodium_bin2base64(text, size, value->data, value->len,
	    sodium_base64_VARIANT_ORIGINAL);
	buf_append_text(&page->text, page->count++ > 0 ? ",{" : "{");
	buf_append_text(&page->text, "\"key\":");
	append_key(&page->text, key);
	buf_printf(&page->text, ",\"value\":\"%s\",\"offset\":%" PRIu64 "}",
	    text, offset);
	free(text);
}

/* Replies with a page of the newest records of each key. */
static void
handle_newest(struct standin_request *request)
{
	char topic[TOPICS_NAME_BYTES];
	struct page page = {0};
	struct buf after = {0};
	struct wire_bytes after_key;
	bool has_after = standin_query_bytes(request, "after", &after);
	bool more;

	newest_count++;
	read_count++;
	standin_query_text(request, "topic", topic, sizeof(topic));
	after_key = (struct wire_bytes){.data = after.data, .len = after.len};
	buf_append_text(&page.text, "{\"items\":[");
	more = topics_newest(topics, topic,
	    has_after && after.len > 0 ? &after_key : NULL,
	    page_items > 0 ? (size_t)page_items : PAGE_MAX_ITEMS,
	    PAGE_MAX_BYTES, append_item, &page);
	buf_printf(&page.text, "],\"hasMore\":%s,\"end\":%" PRIu64 "}",
	    more ? "true" : "false", topics_end(topics, topic, 0));
	standin_reply_bytes(
	    request, 200, "application/json", page.text.data, page.text.len);
	buf_reset(&page.text);
	buf_reset(&after);
}

/* Adds a member to a group or renews its lease, and replies with the partitions
 * that it owns. */
static void
handle_join(struct standin_request *request)
{
	json_t *body = standin_request_json(request);
	const char *group;
	const char *member;
	const char *topic;
	json_int_t ttl_ms;
	json_t *rows = json_array();
	uint64_t parts;
	uint64_t generation;

	if (json_unpack(body, "{s:s, s:s, s:[s], s:I}", "group", &group,
		"member", &member, "topics", &topic, "ttlMs", &ttl_ms) != 0) {
		json_decref(rows);
		json_decref(body);
		standin_reply_error(request, 400, "malformed request");
		return;
	}
	generation = topics_join(topics, group, member, ttl_ms * US_PER_MS,
	    clock_monotonic_us(), &parts);
	for (int i = 0; i < TOPICS_PARTITIONS; i++) {
		if ((parts >> i & 1) != 0)
			json_array_append_new(
			    rows, json_pack("[s, i, i]", topic, i, 0));
	}
	json_decref(body);
	standin_reply(request, 200,
	    json_pack("{s:I, s:I, s:o}", "generation", (json_int_t)generation,
		"ttlMs", ttl_ms, "parts", rows));
}

static void
handle_leave(struct standin_request *request)
{
	json_t *body = standin_request_json(request);
	const char *group;
	const char *member;

	if (json_unpack(
		body, "{s:s, s:s}", "group", &group, "member", &member) == 0)
		topics_leave(topics, group, member, clock_monotonic_us());
	json_decref(body);
	standin_reply(request, 200, json_object());
}

/* Replies with the owner of each partition that has one. */
static void
handle_owners(struct standin_request *request)
{
	char group[TOPICS_NAME_BYTES];
	json_t *rows = json_array();

	standin_query_text(request, "group", group, sizeof(group));
	for (int i = 0; i < TOPICS_PARTITIONS; i++) {
		const char *member = topics_owner(
		    topics, group, (uint32_t)i, clock_monotonic_us());

		if (member != NULL)
			json_array_append_new(rows,
			    json_pack("[s, i, s, i]", "turns", i, member, 0));
	}
	standin_reply(request, 200, json_pack("{s:o}", "rows", rows));
}

static void
handle(struct standin_request *request)
{
	const char *call = standin_path_suffix(request, "/v1/log-");

	if (strcmp(request->path, "/stand-in/append") == 0)
		handle_append(request, true);
	else if (call != NULL && strcmp(call, "append") == 0)
		handle_append(request, false);
	else if (call != NULL && strcmp(call, "read") == 0)
		handle_read(request);
	else if (call != NULL && strcmp(call, "newest") == 0)
		handle_newest(request);
	else if (call != NULL && strcmp(call, "join") == 0)
		handle_join(request);
	else if (call != NULL && strcmp(call, "leave") == 0)
		handle_leave(request);
	else if (call != NULL && strcmp(call, "owners") == 0)
		handle_owners(request);
	else if (call != NULL && strcmp(call, "trim") == 0)
		standin_reply(request, 200, json_object());
	else
		standin_reply_error(request, 404, "unknown_path");
}

static json_t *
stats(struct standin *standin)
{
	(void)standin;
	return json_pack("{s:I, s:I, s:I}", "appends", (json_int_t)append_count,
	    "reads", (json_int_t)read_count, "newest_reads",
	    (json_int_t)newest_count);
}

static void
start(struct standin *standin)
{
	(void)standin;
	topics = topics_create();
}

static void
stop(struct standin *standin)
{
	(void)standin;
	topics_destroy(topics);
	free(undecodable_keys);
}

static void
handle_faults_changed(struct standin *standin)
{
	(void)standin;
	topics_set_limits(
	    topics, (size_t)record_max_bytes, (size_t)append_max_bytes);
}

static const struct field fault_fields[] = {
    {"record_max_bytes", "", "", FIELD_INTEGER, {.integer = &record_max_bytes}},
    {"append_max_bytes", "", "", FIELD_INTEGER, {.integer = &append_max_bytes}},
    {"page_items", "", "", FIELD_INTEGER, {.integer = &page_items}},
    {"undecodable_keys", "", "", FIELD_TEXT, {.text = &undecodable_keys}},
};

const struct standin_program store_program = {
    .name = "standin-store",
    .summary = "Stands in for the platform's store.",
    .strict_targets = true,
    .start = start,
    .stop = stop,
    .handle = handle,
    .stats = stats,
    .faults = fault_fields,
    .fault_count = sizeof(fault_fields) / sizeof(fault_fields[0]),
    .faults_changed = handle_faults_changed,
};
