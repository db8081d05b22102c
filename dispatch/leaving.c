#include <stdlib.h>

#include <uthash.h>

#include "common/memory.h"
#include "dispatch/leaving.h"

enum {
	/* More than the servers that leave while an entry matters. */
	ENTRIES_MAX = 4096,
};

struct leaving_key {
	uint64_t server;
	int64_t started_wall_ms;
};

struct leaving_entry {
	UT_hash_handle hh;
	struct leaving_key key;
};

static struct leaving_entry *
find(const struct leaving *leaving, const struct leaving_key *key)
{
	struct leaving_entry *entry;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, leaving->entries, key, sizeof(*key), entry);
	return entry;
}

static void
entry_free(struct leaving *leaving, struct leaving_entry *entry)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(leaving->entries, entry);
	free(entry);
}

void
leaving_reset(struct leaving *leaving)
{
	struct leaving_entry *entry, *next;

	HASH_ITER (hh, leaving->entries, entry, next)
		entry_free(leaving, entry);
}

bool
leaving_add(struct leaving *leaving, uint64_t server, int64_t started_wall_ms)
{
	const struct leaving_key key = {
	    .server = server, .started_wall_ms = started_wall_ms};
	struct leaving_entry *entry;

	if (find(leaving, &key) != NULL)
		return false;
	if (HASH_COUNT(leaving->entries) == ENTRIES_MAX)
		entry_free(leaving, leaving->entries);
	entry = xcalloc(1, sizeof(*entry));
	entry->key = key;
	HASH_ADD(hh, leaving->entries, key, sizeof(entry->key), entry);
	return true;
}

bool
leaving_contains(
    const struct leaving *leaving, uint64_t server, int64_t started_wall_ms)
{
	const struct leaving_key key = {
	    .server = server, .started_wall_ms = started_wall_ms};

	return find(leaving, &key) != NULL;
}
