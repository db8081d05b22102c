#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/topics.h"

/** A record of a partition. */
struct stored_record {
	uint8_t *data;
	size_t len;
};

/** A partition of a topic. */
struct topic_partition {
	UT_hash_handle hh;
	/** Topic, slash and partition number. */
	char key[TOPICS_NAME_BYTES + 16];
	struct stored_record *records;
	size_t count;
	size_t capacity;
};

/** A member of a group. */
struct group_member {
	struct list link; /**< link in group.members, in joining order */
	char name[TOPICS_NAME_BYTES];
	int64_t expires_us; /**< end of the lease */
};

/** Members that share the partitions of a topic. */
struct group {
	UT_hash_handle hh;
	char name[TOPICS_NAME_BYTES];
	uint64_t generation;
	struct list members;
	size_t member_count;
};

struct topics {
	struct topic_partition *partitions; /**< hash table by key */
	struct group *groups;               /**< hash table by name */
	size_t record_max_bytes;
	size_t append_max_bytes;
};

struct topics *
topics_create(void)
{
	struct topics *topics = xcalloc(1, sizeof(*topics));

	topics_set_limits(topics, 0, 0);
	return topics;
}

void
topics_set_limits(
    struct topics *topics, size_t record_max_bytes, size_t append_max_bytes)
{
	topics->record_max_bytes =
	    record_max_bytes > 0 ? record_max_bytes : TOPICS_RECORD_MAX_BYTES;
	topics->append_max_bytes =
	    append_max_bytes > 0 ? append_max_bytes : TOPICS_APPEND_MAX_BYTES;
}

void
topics_destroy(struct topics *topics)
{
	struct topic_partition *partition, *next;
	struct group *group, *next_group;

	HASH_ITER (hh, topics->partitions, partition, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(topics->partitions, partition);
		for (size_t i = 0; i < partition->count; i++)
			free(partition->records[i].data);
		free(partition->records);
		free(partition);
	}
	HASH_ITER (hh, topics->groups, group, next_group) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(topics->groups, group);
		list_for_each_safe (
		    member, tmp, &group->members, struct group_member, link)
			free(member);
		free(group);
	}
	free(topics);
}

static struct topic_partition *
get_or_create_partition(struct topics *topics, const char *topic, uint32_t part)
{
	struct topic_partition *partition;
	char key[sizeof(partition->key)];

	snprintf(key, sizeof(key), "%.127s/%u", topic, (unsigned)part);
	HASH_FIND_STR(topics->partitions, key, partition);
	if (partition != NULL)
		return partition;
	partition = xcalloc(1, sizeof(*partition));
	memcpy(partition->key, key, sizeof(key));
	HASH_ADD_STR(topics->partitions, key, partition);
	return partition;
}

static uint32_t
read_length(const uint8_t *at)
{
	uint32_t length;

	memcpy(&length, at, sizeof(length));
	return ntohl(length);
}

/* Returns whether a body consists of whole records and keeps the limits. */
static bool
is_valid(const struct topics *topics, const uint8_t *at, size_t len)
{
	if (len > topics->append_max_bytes)
		return false;
	while (len >= sizeof(uint32_t)) {
		size_t used = sizeof(uint32_t) + read_length(at);

		if (used > len ||
		    used > sizeof(uint32_t) + topics->record_max_bytes)
			return false;
		at += used;
		len -= used;
	}
	return len == 0;
}

static void
add_record(struct topic_partition *partition, const uint8_t *data, size_t len)
{
	if (partition->count == partition->capacity) {
		partition->capacity = 2 * partition->capacity + 16;
		partition->records = xrealloc(partition->records,
		    partition->capacity * sizeof(*partition->records));
	}
	partition->records[partition->count++] = (struct stored_record){
	    .data = (uint8_t *)xmemdup(data, len),
	    .len = len,
	};
}

bool
topics_append(struct topics *topics, const char *topic, uint32_t part,
    const void *body, size_t len, uint64_t *first, uint64_t *end)
{
	struct topic_partition *partition =
	    get_or_create_partition(topics, topic, part);
	const uint8_t *at = body;

	if (!is_valid(topics, at, len))
		return false;
	*first = partition->count;
	while (len > 0) {
		size_t length = read_length(at);

		add_record(partition, at + sizeof(uint32_t), length);
		at += sizeof(uint32_t) + length;
		len -= sizeof(uint32_t) + length;
	}
	*end = partition->count;
	return true;
}

uint64_t
topics_end(struct topics *topics, const char *topic, uint32_t part)
{
	return get_or_create_partition(topics, topic, part)->count;
}

static void
append_u64(struct buf *out, uint64_t value)
{
	uint8_t bytes[8];

	for (int i = 7; i >= 0; i--) {
		bytes[i] = (uint8_t)value;
		value >>= 8;
	}
	buf_append(out, bytes, sizeof(bytes));
}

void
topics_read(struct topics *topics, const char *topic, uint32_t part,
    uint64_t from, size_t max_bytes, struct buf *out)
{
	const struct topic_partition *partition =
	    get_or_create_partition(topics, topic, part);

	append_u64(out, partition->count);
	append_u64(out, 0);
	for (size_t i = from; i < partition->count; i++) {
		const struct stored_record *record = &partition->records[i];
		uint32_t length = htonl((uint32_t)record->len);

		if (i > from && out->len + record->len > max_bytes)
			return;
		buf_append(out, &length, sizeof(length));
		buf_append(out, record->data, record->len);
	}
}

/** A record of a keyed topic. */
struct keyed_record {
	struct wire_bytes key;
	struct wire_bytes value;
	uint64_t offset;
};

static int
compare_keys(const struct wire_bytes *a, const struct wire_bytes *b)
{
	size_t len = a->len < b->len ? a->len : b->len;
	int order = len > 0 ? memcmp(a->data, b->data, len) : 0;

	return order != 0 ? order : (a->len > b->len) - (a->len < b->len);
}

/* Orders records by key, the newest of a key first. */
static int
compare_records(const void *a, const void *b)
{
	const struct keyed_record *first = a;
	const struct keyed_record *second = b;
	int order = compare_keys(&first->key, &second->key);

	return order != 0 ? order
			  : (first->offset < second->offset) -
		(first->offset > second->offset);
}

/* Returns false if the record is shorter than its key. */
static bool
split_keyed(const struct stored_record *record, struct keyed_record *keyed)
{
	size_t key_len = record->len > 0 ? record->data[0] : 0;

	if (record->len < 1 + key_len)
		return false;
	keyed->key = (struct wire_bytes){record->data + 1, key_len};
	keyed->value = (struct wire_bytes){
	    record->data + 1 + key_len, record->len - 1 - key_len};
	return true;
}

/* Returns the records of a partition in order; the caller frees them. */
static struct keyed_record *
sort_keyed(const struct topic_partition *partition, size_t *count)
{
	struct keyed_record *records =
	    xcalloc(partition->count + 1, sizeof(*records));

	*count = 0;
	for (size_t i = 0; i < partition->count; i++) {
		records[*count].offset = i;
		if (split_keyed(&partition->records[i], &records[*count]))
			++*count;
	}
	qsort(records, *count, sizeof(*records), compare_records);
	return records;
}

bool
topics_newest(struct topics *topics, const char *topic,
    const struct wire_bytes *after, size_t max_items, size_t max_bytes,
    void (*visit)(void *context, const struct wire_bytes *key,
	const struct wire_bytes *value, uint64_t offset),
    void *context)
{
	const struct topic_partition *partition =
	    get_or_create_partition(topics, topic, 0);
	size_t count;
	struct keyed_record *records = sort_keyed(partition, &count);
	size_t items = 0;
	size_t bytes = 0;
	bool more = false;

	for (size_t i = 0; i < count && !more; i++) {
		const struct keyed_record *record = &records[i];
		size_t size = record->key.len + record->value.len;

		if ((i > 0 &&
			compare_keys(&records[i - 1].key, &record->key) == 0) ||
		    record->value.len == 0 ||
		    (after != NULL && compare_keys(&record->key, after) <= 0))
			continue;
		more = items == max_items ||
		    (items > 0 && bytes + size > max_bytes);
		if (more)
			break;
		visit(context, &record->key, &record->value, record->offset);
		items++;
		bytes += size;
	}
	free(records);
	return more;
}

static struct group *
get_or_create_group(struct topics *topics, const char *name)
{
	struct group *group;

	HASH_FIND_STR(topics->groups, name, group);
	if (group != NULL)
		return group;
	group = xcalloc(1, sizeof(*group));
	snprintf(group->name, sizeof(group->name), "%s", name);
	list_init(&group->members);
	HASH_ADD_STR(topics->groups, name, group);
	return group;
}

static struct group_member *
find_member(struct group *group, const char *name)
{
	list_for_each (member, &group->members, struct group_member, link) {
		if (strcmp(member->name, name) == 0)
			return member;
	}
	return NULL;
}

static void
remove_member(struct group *group, struct group_member *member)
{
	list_remove(&member->link);
	free(member);
	group->member_count--;
	group->generation++;
}

static void
expire_members(struct group *group, int64_t now_us)
{
	list_for_each_safe (
	    member, tmp, &group->members, struct group_member, link) {
		if (member->expires_us < now_us)
			remove_member(group, member);
	}
}

static size_t
member_index(struct group *group, const struct group_member *target)
{
	size_t index = 0;

	list_for_each (member, &group->members, struct group_member, link) {
		if (member == target)
			return index;
		index++;
	}
	return index;
}

uint64_t
topics_join(struct topics *topics, const char *group_name, const char *name,
    int64_t lease_us, int64_t now_us, uint64_t *parts)
{
	struct group *group = get_or_create_group(topics, group_name);
	struct group_member *member;
	size_t index;

	expire_members(group, now_us);
	member = find_member(group, name);
	if (member == NULL) {
		member = xcalloc(1, sizeof(*member));
		snprintf(member->name, sizeof(member->name), "%s", name);
		list_append(&group->members, &member->link);
		group->member_count++;
		group->generation++;
	}
	member->expires_us = now_us + lease_us;
	index = member_index(group, member);
	*parts = 0;
	for (size_t i = index; i < TOPICS_PARTITIONS; i += group->member_count)
		*parts |= (uint64_t)1 << i;
	return group->generation;
}

void
topics_leave(struct topics *topics, const char *group_name, const char *name,
    int64_t now_us)
{
	struct group *group = get_or_create_group(topics, group_name);
	struct group_member *member;

	expire_members(group, now_us);
	member = find_member(group, name);
	if (member != NULL)
		remove_member(group, member);
}

const char *
topics_owner(struct topics *topics, const char *group_name, uint32_t part,
    int64_t now_us)
{
	struct group *group = get_or_create_group(topics, group_name);

	expire_members(group, now_us);
	list_for_each (member, &group->members, struct group_member, link) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): relinked */
		if (member_index(group, member) == part % group->member_count)
			return member->name;
	}
	return NULL;
}
