#include <stdlib.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/residency.h"

enum {
	/* Servers evict the least recently used parts; one that was used within
	 * this time is likely still cached. */
	RETENTION_US = 60 * US_PER_S,
	ENTRIES_MAX = 8192,
};

struct residency_key {
	uint64_t part;
	uint64_t server;
};

struct residency_entry {
	UT_hash_handle hh;
	struct residency_key key;
	uint32_t tokens;
	bool shared;
	int64_t used_us;
};

static struct residency_entry *
find(const struct residency *residency, uint64_t part, uint64_t server)
{
	const struct residency_key key = {.part = part, .server = server};
	struct residency_entry *entry;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, residency->entries, &key, sizeof(key), entry);
	return entry;
}

static void
entry_free(struct residency *residency, struct residency_entry *entry)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(residency->entries, entry);
	free(entry);
}

void
residency_reset(struct residency *residency)
{
	struct residency_entry *entry, *next;

	HASH_ITER (hh, residency->entries, entry, next)
		entry_free(residency, entry);
}

void
residency_add(struct residency *residency, uint64_t part, uint64_t server,
    uint32_t tokens, bool shared, int64_t now_us)
{
	struct residency_entry *entry = find(residency, part, server);

	if (entry == NULL) {
		/* The first entry was added first: uthash keeps the order. */
		if (HASH_COUNT(residency->entries) >= ENTRIES_MAX)
			entry_free(residency, residency->entries);
		entry = xcalloc(1, sizeof(*entry));
		entry->key.part = part;
		entry->key.server = server;
		HASH_ADD(
		    hh, residency->entries, key, sizeof(entry->key), entry);
	}
	if (tokens > entry->tokens)
		entry->tokens = tokens;
	entry->shared = entry->shared || shared;
	entry->used_us = now_us;
}

uint32_t
residency_tokens(
    const struct residency *residency, uint64_t part, uint64_t server)
{
	const struct residency_entry *entry = find(residency, part, server);

	return entry != NULL ? entry->tokens : 0;
}

void
residency_forget_server(struct residency *residency, uint64_t server)
{
	struct residency_entry *entry, *next;

	HASH_ITER (hh, residency->entries, entry, next) {
		if (entry->key.server == server)
			entry_free(residency, entry);
	}
}

void
residency_expire(struct residency *residency, int64_t now_us)
{
	struct residency_entry *entry, *next;

	HASH_ITER (hh, residency->entries, entry, next) {
		if (now_us - entry->used_us > RETENTION_US)
			entry_free(residency, entry);
	}
}

size_t
residency_list_shared(const struct residency *residency,
    struct residency_shared_prefix *list, size_t max)
{
	size_t count = 0;

	for (const struct residency_entry *entry = residency->entries;
	     entry != NULL && count < max; entry = entry->hh.next) {
		if (!entry->shared)
			continue;
		list[count++] = (struct residency_shared_prefix){
		    .prefix_hash = entry->key.part,
		    .server_hash = entry->key.server,
		    .tokens = entry->tokens,
		};
	}
	return count;
}
