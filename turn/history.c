#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/list.h"
#include "common/memory.h"
#include "turn/history.h"

struct entry {
	UT_hash_handle hh; /**< by ref.turn */
	struct list lru_link;
	struct turn_ref ref;
	char previous[NAME_BYTES];
	size_t input_len;
	size_t output_len;
	uint8_t content[]; /**< input, then output */
};

struct history {
	struct entry *entries; /**< uthash */
	struct list lru;       /**< entries, least recently used first */
	size_t max_bytes;
	size_t bytes;
};

struct history *
history_create(size_t max_bytes)
{
	struct history *history = xcalloc(1, sizeof(*history));

	history->max_bytes = max_bytes;
	list_init(&history->lru);
	return history;
}

static size_t
entry_bytes(const struct entry *entry)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): list_remove() relinks */
	return sizeof(*entry) + entry->input_len + entry->output_len;
}

static void
entry_free(struct history *history, struct entry *entry)
{
	history->bytes -= entry_bytes(entry);
	list_remove(&entry->lru_link);
	HASH_DEL(history->entries, entry);
	free(entry);
}

void
history_destroy(struct history *history)
{
	struct entry *entry, *next;

	if (history == NULL)
		return;
	HASH_ITER (hh, history->entries, entry, next)
		entry_free(history, entry);
	free(history);
}

static struct entry *
find(const struct history *history, const char *turn)
{
	struct entry *entry;

	HASH_FIND_STR(history->entries, turn, entry);
	return entry;
}

static void
touch(struct history *history, struct entry *entry)
{
	list_remove(&entry->lru_link);
	list_append(&history->lru, &entry->lru_link);
}

void
history_put(struct history *history, const struct history_turn *turn)
{
	struct entry *entry = find(history, turn->ref.turn);

	if (entry != NULL) {
		touch(history, entry);
		return;
	}
	entry = xcalloc(1, sizeof(*entry) + turn->input.len + turn->output.len);
	entry->ref = turn->ref;
	snprintf(
	    entry->previous, sizeof(entry->previous), "%s", turn->previous);
	entry->input_len = turn->input.len;
	entry->output_len = turn->output.len;
	if (turn->input.len > 0)
		memcpy(entry->content, turn->input.data, turn->input.len);
	if (turn->output.len > 0)
		memcpy(entry->content + turn->input.len, turn->output.data,
		    turn->output.len);
	list_append(&history->lru, &entry->lru_link);
	HASH_ADD_STR(history->entries, ref.turn, entry);
	history->bytes += entry_bytes(entry);
	while (history->bytes > history->max_bytes &&
	    history->lru.next != &entry->lru_link)
		entry_free(history,
		    list_entry(history->lru.next, struct entry, lru_link));
}

bool
history_get(
    struct history *history, const char *turn, struct history_turn *found)
{
	struct entry *entry = find(history, turn);

	if (entry == NULL)
		return false;
	touch(history, entry);
	*found = (struct history_turn){
	    .ref = entry->ref,
	    .previous = entry->previous,
	    .input = {.data = entry->content, .len = entry->input_len},
	    .output =
		{
		    .data = entry->content + entry->input_len,
		    .len = entry->output_len,
		},
	};
	return true;
}

bool
history_assemble(struct history *history, const struct turn_ref *refs,
    size_t count, struct buf *out, bool *missing)
{
	bool complete = true;

	for (size_t i = 0; i < count; i++) {
		struct entry *entry = find(history, refs[i].turn);

		missing[i] = entry == NULL;
		complete = complete && entry != NULL;
		if (entry != NULL)
			touch(history, entry);
	}
	for (size_t i = 0; complete && i < count; i++) {
		const struct entry *entry = find(history, refs[i].turn);

		buf_append(
		    out, entry->content, entry->input_len + entry->output_len);
	}
	return complete;
}

size_t
history_chain(const struct history *history, const char *turn,
    struct turn_ref *refs, size_t max)
{
	const struct entry *entry = find(history, turn);
	size_t at = max;

	while (entry != NULL && at > 0) {
		refs[--at] = entry->ref;
		if (entry->previous[0] == '\0') {
			memmove(refs, &refs[at], (max - at) * sizeof(*refs));
			return max - at;
		}
		entry = find(history, entry->previous);
	}
	return 0;
}

size_t
history_bytes(const struct history *history)
{
	return history->bytes;
}
