/*
 * The platform's store as PROTOCOL.md describes its form of a log: partitions
 * whose records have offsets, keyed topics, groups whose members share
 * partitions, the expiry of old records, and the bound of 400 MB with 507
 * beyond it.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>
#include <sodium.h>

#include "common/memory.h"
#include "review/common-2/case.h"

enum {
	PARTITIONS = 12,
	MEMBERS_MAX = 16,
	TOPICS_MAX = 16,
	NAME_BYTES_ = 160,
	RECORD_MAX_BYTES = 256 << 10,
	CALL_MAX_BYTES = 2 << 20,
	ANSWER_MS = 4,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
	US_PER_MS_ = 1000,
	NO_MEMBER = -1,
};

struct record {
	uint8_t *data;
	size_t len;
	int64_t appended_ms;
};

struct partition {
	struct record *records;
	size_t count, capacity;
	size_t first; /* oldest that is kept */
};

struct topic {
	char name[NAME_BYTES_];
	bool keyed; /* the newest record of each key is kept */
	struct partition partitions[PARTITIONS];
};

struct member {
	char name[NAME_BYTES_]; /* "": free */
	int64_t joined_ms, ttl_ms;
};

/* The one group that gateways use. */
struct group {
	struct member members[MEMBERS_MAX];
	uint64_t generation;
	int holder[PARTITIONS]; /* member, or NO_MEMBER */
	int wanted[PARTITIONS]; /* who shall hold it */
};

struct case_store {
	pthread_mutex_t lock;
	pthread_cond_t appended;
	struct case_store_options options;
	int port;
	size_t bytes;
	unsigned full_count;
	struct topic topics[TOPICS_MAX];
	size_t topic_count;
	struct group group;
};

/* Returns a parameter of the query in `value`, "" if absent. */
static void
query(const struct case_request *request, const char *name, char *value,
    size_t size)
{
	const char *at = strchr(request->target, '?');
	size_t len = strlen(name);

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			at += len + 1;
			snprintf(
			    value, size, "%.*s", (int)strcspn(at, "&"), at);
			return;
		}
		at = strchr(at, '&');
	}
}

static uint64_t
query_number(
    const struct case_request *request, const char *name, uint64_t otherwise)
{
	char value[64];

	query(request, name, value, sizeof(value));
	return value[0] == '\0' ? otherwise : strtoull(value, NULL, 10);
}

static bool
reply(struct case_request *request, int status, const char *type,
    const struct buf *body)
{
	struct buf out = {0};
	bool ok;

	usleep(ANSWER_MS * US_PER_MS_);
	buf_printf(&out,
	    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    status, type, body->len);
	buf_append(&out, body->data, body->len);
	ok = case_send(request->fd, out.data, out.len);
	buf_reset(&out);
	return ok;
}

static bool
reply_json(struct case_request *request, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	struct buf body = {0};
	bool ok;

	buf_append_text(&body, text);
	ok = reply(request, status, "application/json", &body);
	buf_reset(&body);
	free(text);
	json_decref(root);
	return ok;
}

static void
drop_oldest(struct case_store *store, struct partition *partition)
{
	struct record *record = &partition->records[partition->first++];

	store->bytes -= record->len;
	free(record->data);
	*record = (struct record){0};
}

static void
expire(struct case_store *store, struct partition *partition)
{
	int64_t oldest_ms = case_ms() - store->options.retention_ms;

	while (partition->first < partition->count &&
	    partition->records[partition->first].appended_ms < oldest_ms)
		drop_oldest(store, partition);
}

static struct partition *
partition_of(struct case_store *store, const char *topic, uint64_t part)
{
	struct topic *found = NULL;

	if (part >= PARTITIONS)
		return NULL;
	for (size_t i = 0; i < store->topic_count; i++) {
		if (strcmp(store->topics[i].name, topic) == 0)
			found = &store->topics[i];
	}
	if (found == NULL && store->topic_count < TOPICS_MAX) {
		found = &store->topics[store->topic_count++];
		snprintf(found->name, sizeof(found->name), "%s", topic);
		found->keyed = strncmp(topic, "keyed.", 6) == 0;
	}
	if (found == NULL)
		return NULL;
	if (store->options.retention_ms > 0 && !found->keyed)
		expire(store, &found->partitions[part]);
	return &found->partitions[part];
}

static void
add_record(struct case_store *store, struct partition *partition,
    const uint8_t *data, size_t len)
{
	if (partition->count == partition->capacity) {
		partition->capacity = 2 * partition->capacity + 16;
		partition->records = xrealloc(partition->records,
		    partition->capacity * sizeof(struct record));
	}
	partition->records[partition->count++] = (struct record){
	    .data = (uint8_t *)xmemdup(data, len),
	    .len = len,
	    .appended_ms = case_ms(),
	};
	store->bytes += len;
}

static uint32_t
length_at(const uint8_t *at)
{
	uint32_t length;

	memcpy(&length, at, sizeof(length));
	return ntohl(length);
}

static bool
records_are_valid(const struct buf *body)
{
	size_t at = 0;

	while (body->len - at >= sizeof(uint32_t)) {
		size_t len = length_at(body->data + at);

		if (len > RECORD_MAX_BYTES ||
		    len > body->len - at - sizeof(uint32_t))
			return false;
		at += sizeof(uint32_t) + len;
	}
	return at == body->len && at <= CALL_MAX_BYTES;
}

static bool
handle_append(struct case_store *store, struct case_request *request)
{
	char topic[NAME_BYTES_];
	struct partition *partition;
	size_t first;
	size_t end;

	query(request, "topic", topic, sizeof(topic));
	if (!records_are_valid(&request->body))
		return reply_json(
		    request, 400, json_pack("{s:s}", "why", "records"));
	pthread_mutex_lock(&store->lock);
	partition =
	    partition_of(store, topic, query_number(request, "part", 0));
	if (partition == NULL ||
	    (store->options.capacity_bytes > 0 &&
		store->bytes + request->body.len >
		    store->options.capacity_bytes)) {
		store->full_count++;
		pthread_mutex_unlock(&store->lock);
		return reply_json(
		    request, 507, json_pack("{s:s}", "why", "full"));
	}
	first = partition->count;
	for (size_t at = 0; at < request->body.len;) {
		size_t len = length_at(request->body.data + at);

		at += sizeof(uint32_t);
		add_record(store, partition, request->body.data + at, len);
		at += len;
	}
	end = partition->count;
	pthread_cond_broadcast(&store->appended);
	pthread_mutex_unlock(&store->lock);
	return reply_json(request, 200,
	    json_pack("{s:I, s:I}", "offset", (json_int_t)first, "end",
		(json_int_t)end));
}

static void
append_u64(struct buf *out, uint64_t value)
{
	for (int shift = 56; shift >= 0; shift -= 8) {
		uint8_t byte = (uint8_t)(value >> shift);

		buf_append(out, &byte, 1);
	}
}

static void
wait_for_record(struct case_store *store, const struct partition *partition,
    uint64_t from, uint64_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / MS_PER_S);
	until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (until.tv_nsec >= MS_PER_S * (long)NS_PER_MS) {
		until.tv_nsec -= MS_PER_S * (long)NS_PER_MS;
		until.tv_sec++;
	}
	while (partition->count <= from) {
		if (pthread_cond_timedwait(
			&store->appended, &store->lock, &until) == ETIMEDOUT)
			return;
	}
}

static bool
handle_read(struct case_store *store, struct case_request *request)
{
	char topic[NAME_BYTES_];
	uint64_t from = query_number(request, "from", 0);
	size_t max_bytes = query_number(request, "maxKb", 1024) << 10;
	struct partition *partition;
	struct buf body = {0};
	size_t first;
	bool ok;

	query(request, "topic", topic, sizeof(topic));
	pthread_mutex_lock(&store->lock);
	partition =
	    partition_of(store, topic, query_number(request, "part", 0));
	wait_for_record(
	    store, partition, from, query_number(request, "waitMs", 0));
	first = partition->first;
	append_u64(&body, partition->count);
	append_u64(&body, first);
	for (size_t i = from; i >= first && i < partition->count; i++) {
		const struct record *record = &partition->records[i];
		uint32_t length = htonl((uint32_t)record->len);

		if (i > from && body.len + record->len > max_bytes)
			break;
		buf_append(&body, &length, sizeof(length));
		buf_append(&body, record->data, record->len);
	}
	pthread_mutex_unlock(&store->lock);
	if (from < first) {
		buf_reset(&body);
		return reply_json(request, 410,
		    json_pack("{s:I}", "first", (json_int_t)first));
	}
	ok = reply(request, 200, "application/octet-stream", &body);
	buf_reset(&body);
	return ok;
}

static bool
handle_trim(struct case_store *store, struct case_request *request)
{
	json_t *body =
	    json_loadb((char *)request->body.data, request->body.len, 0, NULL);
	const char *topic;
	json_int_t before;
	int part;

	if (json_unpack(body, "{s:s, s:i, s:I}", "topic", &topic, "part", &part,
		"before", &before) != 0) {
		json_decref(body);
		return reply_json(request, 400, json_object());
	}
	pthread_mutex_lock(&store->lock);
	struct partition *partition =
	    partition_of(store, topic, (uint64_t)part);

	while (partition != NULL && (json_int_t)partition->first < before &&
	    partition->first < partition->count)
		drop_oldest(store, partition);
	pthread_mutex_unlock(&store->lock);
	json_decref(body);
	return reply_json(request, 200, json_object());
}

static bool
is_newest(const struct partition *partition, size_t at)
{
	const struct record *record = &partition->records[at];
	size_t len = 1U + record->data[0];

	for (size_t i = at + 1; i < partition->count; i++) {
		const struct record *later = &partition->records[i];

		if (later->len >= len &&
		    memcmp(later->data, record->data, len) == 0)
			return false;
	}
	return record->len > len;
}

static void
add_item(json_t *items, const struct record *record, size_t offset)
{
	size_t key_len = record->data[0];
	const uint8_t *value = record->data + 1 + key_len;
	size_t len = record->len - 1 - key_len;
	size_t size =
	    sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	char *text = xcalloc(1, size);

	sodium_bin2base64(
	    text, size, value, len, sodium_base64_VARIANT_ORIGINAL);
	json_array_append_new(items,
	    json_pack("{s:s#, s:s, s:I}", "key", record->data + 1, (int)key_len,
		"value", text, "offset", (json_int_t)offset));
	free(text);
}

static bool
handle_newest(struct case_store *store, struct case_request *request)
{
	char topic[NAME_BYTES_];
	json_t *items = json_array();
	struct partition *partition;
	size_t end;

	query(request, "topic", topic, sizeof(topic));
	pthread_mutex_lock(&store->lock);
	partition = partition_of(store, topic, 0);
	for (size_t i = partition->first; i < partition->count; i++) {
		if (is_newest(partition, i))
			add_item(items, &partition->records[i], i);
	}
	end = partition->count;
	pthread_mutex_unlock(&store->lock);
	return reply_json(request, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "end",
		(json_int_t)end));
}

static int
find_member(const struct group *group, const char *name)
{
	for (int i = 0; i < MEMBERS_MAX; i++) {
		if (strcmp(group->members[i].name, name) == 0)
			return i;
	}
	return NO_MEMBER;
}

/* Deals the partitions evenly. A holder keeps what it has to give up until it
 * joins with the new generation. */
static void
deal(struct group *group)
{
	int live[MEMBERS_MAX] = {0};
	unsigned count = 0;

	group->generation++;
	for (int i = 0; i < MEMBERS_MAX; i++) {
		if (group->members[i].name[0] != '\0')
			live[count++] = i;
	}
	for (unsigned i = 0; i < PARTITIONS; i++)
		group->wanted[i] = count > 0 ? live[i % count] : NO_MEMBER;
}

static void
remove_member(struct group *group, int member)
{
	group->members[member].name[0] = '\0';
	for (int i = 0; i < PARTITIONS; i++) {
		if (group->holder[i] == member)
			group->holder[i] = NO_MEMBER;
	}
	deal(group);
}

static void
expire_members(struct group *group)
{
	int64_t now = case_ms();

	for (int i = 0; i < MEMBERS_MAX; i++) {
		const struct member *member = &group->members[i];

		if (member->name[0] != '\0' &&
		    now - member->joined_ms > member->ttl_ms)
			remove_member(group, i);
	}
}

static json_t *
join(struct group *group, const char *name, const char *topic, int64_t ttl_ms,
    uint64_t generation)
{
	json_t *rows = json_array();
	int member;

	expire_members(group);
	member = find_member(group, name);
	if (member == NO_MEMBER) {
		member = find_member(group, "");
		snprintf(group->members[member].name, NAME_BYTES_, "%s", name);
		deal(group);
	}
	group->members[member].joined_ms = case_ms();
	group->members[member].ttl_ms = ttl_ms;
	for (int i = 0; i < PARTITIONS; i++) {
		if (group->holder[i] == member && group->wanted[i] != member &&
		    generation >= group->generation)
			group->holder[i] = NO_MEMBER;
		if (group->holder[i] == NO_MEMBER && group->wanted[i] == member)
			group->holder[i] = member;
		if (group->holder[i] == member && group->wanted[i] == member)
			json_array_append_new(
			    rows, json_pack("[s, i, i]", topic, i, 0));
	}
	return json_pack("{s:I, s:I, s:o}", "generation",
	    (json_int_t)group->generation, "ttlMs", (json_int_t)ttl_ms, "parts",
	    rows);
}

static bool
handle_join(struct case_store *store, struct case_request *request)
{
	json_t *body =
	    json_loadb((char *)request->body.data, request->body.len, 0, NULL);
	const char *group;
	const char *member;
	const char *topic;
	json_int_t ttl_ms;
	json_int_t generation;
	json_t *root;

	if (json_unpack(body, "{s:s, s:s, s:[s], s:I, s:I}", "group", &group,
		"member", &member, "topics", &topic, "ttlMs", &ttl_ms,
		"generation", &generation) != 0) {
		json_decref(body);
		return reply_json(request, 400, json_object());
	}
	pthread_mutex_lock(&store->lock);
	root = join(&store->group, member, topic, ttl_ms, (uint64_t)generation);
	pthread_mutex_unlock(&store->lock);
	json_decref(body);
	return reply_json(request, 200, root);
}

static bool
handle_leave(struct case_store *store, struct case_request *request)
{
	json_t *body =
	    json_loadb((char *)request->body.data, request->body.len, 0, NULL);
	const char *member = json_string_value(json_object_get(body, "member"));
	int found;

	pthread_mutex_lock(&store->lock);
	found = member == NULL || member[0] == '\0'
	    ? NO_MEMBER
	    : find_member(&store->group, member);
	if (found != NO_MEMBER)
		remove_member(&store->group, found);
	pthread_mutex_unlock(&store->lock);
	json_decref(body);
	return reply_json(request, 200, json_object());
}

static bool
handle_owners(struct case_store *store, struct case_request *request)
{
	json_t *rows = json_array();

	pthread_mutex_lock(&store->lock);
	expire_members(&store->group);
	for (int i = 0; i < PARTITIONS; i++) {
		int holder = store->group.holder[i];

		if (holder != NO_MEMBER)
			json_array_append_new(rows,
			    json_pack("[s, i, s, i]", "turns", i,
				store->group.members[holder].name, 0));
	}
	pthread_mutex_unlock(&store->lock);
	return reply_json(request, 200, json_pack("{s:o}", "rows", rows));
}

static bool
handle(void *context, struct case_request *request)
{
	static const struct {
		const char *call;
		bool (*handle)(struct case_store *, struct case_request *);
	} calls[] = {
	    {"append", handle_append},
	    {"read", handle_read},
	    {"newest", handle_newest},
	    {"trim", handle_trim},
	    {"join", handle_join},
	    {"leave", handle_leave},
	    {"owners", handle_owners},
	};
	struct case_store *store = context;
	const char *call = strstr(request->target, "/v1/log-");
	size_t len = call != NULL ? strcspn(call + 8, "?") : 0;

	if (request->body_length > 0 && !case_read_body(request))
		return false;
	for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
		if (call != NULL && len == strlen(calls[i].call) &&
		    strncmp(call + 8, calls[i].call, len) == 0)
			return calls[i].handle(store, request);
	}
	return reply_json(request, 404, json_object());
}

struct case_store *
case_store_start(const struct case_store_options *options)
{
	struct case_store *store = xcalloc(1, sizeof(*store));

	if (sodium_init() < 0)
		case_end(CASE_NOT_RUN);
	store->options = *options;
	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->appended, NULL);
	for (int i = 0; i < PARTITIONS; i++)
		store->group.holder[i] = NO_MEMBER;
	store->port = case_serve(handle, store);
	if (store->port == 0)
		case_end(CASE_NOT_RUN);
	return store;
}

int
case_store_port(const struct case_store *store)
{
	return store->port;
}

void
case_store_put(struct case_store *store, const char *topic, const char *key,
    const char *value)
{
	struct buf record = {0};
	uint8_t key_len = (uint8_t)strlen(key);

	buf_append(&record, &key_len, 1);
	buf_append_text(&record, key);
	buf_append_text(&record, value);
	pthread_mutex_lock(&store->lock);
	add_record(
	    store, partition_of(store, topic, 0), record.data, record.len);
	pthread_cond_broadcast(&store->appended);
	pthread_mutex_unlock(&store->lock);
	buf_reset(&record);
}

size_t
case_store_bytes(struct case_store *store)
{
	size_t bytes;

	pthread_mutex_lock(&store->lock);
	bytes = store->bytes;
	pthread_mutex_unlock(&store->lock);
	return bytes;
}

unsigned
case_store_full_count(const struct case_store *store)
{
	return store->full_count;
}
