#include <stdlib.h>

#include "common/clock.h"
#include "common/hash.h"
#include "dispatch/unfinished.h"

enum {
	/* Longer than usual outages of the store, which delay what the list
	 * tells. */
	KEEP_US = 60 * US_PER_S,
	/* More than twice the time after which an entry lapses: three
	 * heartbeats of 1.2 seconds. */
	LISTED_US = 8 * US_PER_S,
	/* A server that has ended refuses connections at once, so later tries
	 * to connect find out nothing new. */
	BROKEN_LATELY_US = 5 * US_PER_S,
	/* Connections may still be accepted for a process that is ending. */
	ENDING_US = 200 * US_PER_MS,
};

uint64_t
unfinished_crash(const struct server_start *start)
{
	return hash_bytes(start, sizeof(*start), 0);
}

/* Returns the number of entries that have been in use. */
static size_t
entry_count(const struct unfinished *unfinished)
{
	return unfinished->next < UNFINISHED_MAX ? unfinished->next
						 : UNFINISHED_MAX;
}

static bool
is_same_start(
    const struct server_start *first, const struct server_start *second)
{
	return first->server == second->server &&
	    first->started_wall_ms == second->started_wall_ms;
}

static bool
has_ended_since(
    const struct unfinished *unfinished, const struct unfinished_run *run)
{
	for (size_t i = 0; i < UNFINISHED_ENDS_KEPT; i++) {
		const struct unfinished_server_end *end = &unfinished->ends[i];

		if (end->ended_us >= run->sent_us && end->ended_us != 0 &&
		    is_same_start(&end->start, &run->start))
			return true;
	}
	return false;
}

static struct unfinished_run *
find_run(struct unfinished *unfinished, uint64_t fingerprint,
    const struct server_start *start)
{
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint == fingerprint &&
		    is_same_start(&run->start, start))
			return run;
	}
	return NULL;
}

static void
drop(struct unfinished *unfinished, struct unfinished_run *run)
{
	run->fingerprint = 0;
	unfinished->used--;
}

/* Drops a run. If the store has it, unfinished_take_released() tells of it. */
static void
release(struct unfinished *unfinished, struct unfinished_run *run)
{
	if (run->recorded &&
	    unfinished->released_count < UNFINISHED_RELEASED_KEPT)
		unfinished->released[unfinished->released_count++] = *run;
	drop(unfinished, run);
}

/* Replaces an earlier run of the request at the same server, whose end tells
 * the same, or else the oldest entry. */
bool
unfinished_add(struct unfinished *unfinished, const struct unfinished_run *run)
{
	struct unfinished_run *slot =
	    find_run(unfinished, run->fingerprint, &run->start);
	bool was_broken = false;

	if (slot != NULL) {
		was_broken = slot->broken;
		release(unfinished, slot);
	} else {
		slot = &unfinished->runs[unfinished->next++ % UNFINISHED_MAX];
		if (slot->fingerprint != 0)
			drop(unfinished, slot);
	}
	unfinished->used++;
	*slot = *run;
	slot->broken |= was_broken;
	return has_ended_since(unfinished, run);
}

void
unfinished_adopt(
    struct unfinished *unfinished, const struct unfinished_run *run)
{
	if (find_run(unfinished, run->fingerprint, &run->start) == NULL)
		unfinished_add(unfinished, run);
}

const struct server_start *
unfinished_next_adopted(const struct unfinished *unfinished, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		const struct unfinished_run *run =
		    &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && run->adopted)
			return &run->start;
	}
	return NULL;
}

void
unfinished_server_responds(struct unfinished *unfinished,
    const struct server_start *start, int64_t since_us)
{
	if (unfinished->used == 0)
		return;
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (is_same_start(&run->start, start) &&
		    run->ran_until_us + ENDING_US <= since_us)
			run->address_serves = true;
	}
}

struct unfinished_run *
unfinished_next_unrecorded(struct unfinished *unfinished, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		struct unfinished_run *run = &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && !run->recorded)
			return run;
	}
	return NULL;
}

bool
unfinished_take_released(
    struct unfinished *unfinished, struct unfinished_run *run)
{
	if (unfinished->released_count == 0)
		return false;
	*run = unfinished->released[--unfinished->released_count];
	return true;
}

void
unfinished_note_end(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us)
{
	unfinished->ends[unfinished->next_end++ % UNFINISHED_ENDS_KEPT] =
	    (struct unfinished_server_end){
		.start = *start,
		.ended_us = now_us,
	    };
}

void
unfinished_request_completed(
    struct unfinished *unfinished, uint64_t fingerprint)
{
	if (unfinished->used == 0)
		return;
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		if (unfinished->runs[i].fingerprint == fingerprint)
			release(unfinished, &unfinished->runs[i]);
	}
}

size_t
unfinished_drop_listed(
    struct unfinished *unfinished, int64_t listed_since_us, int64_t now_us)
{
	size_t dropped = 0;

	if (unfinished->used == 0)
		return 0;
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		struct unfinished_run *run = &unfinished->runs[i];
		int64_t since_us = run->ran_until_us > listed_since_us
		    ? run->ran_until_us
		    : listed_since_us;

		if (run->fingerprint == 0 || now_us - since_us < LISTED_US)
			continue;
		release(unfinished, run);
		dropped++;
	}
	return dropped;
}

static int
compare_ends(const void *a, const void *b)
{
	const struct unfinished_run *first = a;
	const struct unfinished_run *second = b;

	return (first->ended_us > second->ended_us) -
	    (first->ended_us < second->ended_us);
}

size_t
unfinished_server_ended(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us,
    struct unfinished_run *runs, size_t max)
{
	size_t count = 0;

	if (unfinished->used == 0)
		return 0;
	for (size_t i = 0; i < entry_count(unfinished) && count < max; i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint == 0 ||
		    run->start.server != start->server ||
		    run->start.started_wall_ms > start->started_wall_ms)
			continue;
		if (now_us - run->ended_us > KEEP_US) {
			release(unfinished, run);
			continue;
		}
		runs[count++] = *run;
		drop(unfinished, run);
	}
	qsort(runs, count, sizeof(*runs), compare_ends);
	return count;
}

const struct server_start *
unfinished_next_broken(
    const struct unfinished *unfinished, int64_t now_us, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		const struct unfinished_run *run =
		    &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && run->broken &&
		    !run->address_serves &&
		    now_us - run->ended_us <= BROKEN_LATELY_US)
			return &run->start;
	}
	return NULL;
}
