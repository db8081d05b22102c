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
	/* Time to find out by a connection whether a server that has answered
	 * is still there. */
	ANSWERED_US = 500 * US_PER_MS,
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

static uint16_t *
request_bucket(struct unfinished *unfinished, uint64_t fingerprint)
{
	return &unfinished->by_request[fingerprint % UNFINISHED_BUCKETS];
}

static uint16_t *
server_bucket(struct unfinished *unfinished, uint64_t server)
{
	return &unfinished->by_server[server % UNFINISHED_BUCKETS];
}

static struct unfinished_run *
find_run(struct unfinished *unfinished, uint64_t fingerprint,
    const struct server_start *start)
{
	if (*request_bucket(unfinished, fingerprint) == 0)
		return NULL;
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
	--*request_bucket(unfinished, run->fingerprint);
	--*server_bucket(unfinished, run->start.server);
	run->fingerprint = 0;
	unfinished->used--;
}

static void
put(struct unfinished *unfinished, struct unfinished_run *slot,
    const struct unfinished_run *run)
{
	*slot = *run;
	++*request_bucket(unfinished, run->fingerprint);
	++*server_bucket(unfinished, run->start.server);
	unfinished->used++;
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
	bool was_spread = false;

	if (slot != NULL) {
		was_broken = slot->broken;
		was_spread = slot->spread;
		release(unfinished, slot);
	} else {
		slot = &unfinished->runs[unfinished->next++ % UNFINISHED_MAX];
		if (slot->fingerprint != 0)
			drop(unfinished, slot);
	}
	put(unfinished, slot, run);
	slot->broken |= was_broken;
	slot->spread |= was_spread;
	return has_ended_since(unfinished, run);
}

bool
unfinished_adopt(
    struct unfinished *unfinished, const struct unfinished_run *run)
{
	struct unfinished_run *known =
	    find_run(unfinished, run->fingerprint, &run->start);

	if (known == NULL) {
		unfinished_add(unfinished, run);
		return true;
	}
	if (run->ran_until_us > known->ran_until_us) {
		known->ran_until_us = run->ran_until_us;
		known->ended_us = run->ended_us;
		known->named_server_serves = false;
	}
	known->spread |= run->spread;
	return false;
}

bool
unfinished_is_open(const struct unfinished_run *run, int64_t now_us)
{
	if (run->answered)
		return !run->address_serves &&
		    now_us - run->ended_us >= ANSWERED_US;
	return !run->named_server_serves;
}

struct unfinished_run *
unfinished_next_open(struct unfinished *unfinished, uint64_t fingerprint,
    int64_t now_us, size_t *cursor)
{
	if (*request_bucket(unfinished, fingerprint) == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		struct unfinished_run *run = &unfinished->runs[(*cursor)++];

		if (run->fingerprint == fingerprint &&
		    unfinished_is_open(run, now_us))
			return run;
	}
	return NULL;
}

struct unfinished_run *
unfinished_next_own(struct unfinished *unfinished, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		struct unfinished_run *run = &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && run->sender == 0 && !run->adopted)
			return run;
	}
	return NULL;
}

bool
unfinished_drop_run(struct unfinished *unfinished, uint64_t fingerprint,
    const struct server_start *start, uint64_t sender)
{
	struct unfinished_run *run = find_run(unfinished, fingerprint, start);
	bool was_spread;

	if (run == NULL || run->sender != sender)
		return false;
	was_spread = run->spread;
	release(unfinished, run);
	return was_spread;
}

void
unfinished_take_over(struct unfinished *unfinished, uint64_t sender)
{
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		if (unfinished->runs[i].sender == sender)
			unfinished->runs[i].shared = false;
	}
}

static uint64_t
digest_of(const struct unfinished_run *run)
{
	const uint64_t parts[] = {
	    run->fingerprint, unfinished_crash(&run->start)};

	return hash_bytes(parts, sizeof(parts), 0);
}

uint64_t
unfinished_digest(const struct unfinished *unfinished)
{
	uint64_t digest = 0;

	if (unfinished->used == 0)
		return 0;
	/* Sums do not depend on the order. */
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		const struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint != 0 && run->spread)
			digest += digest_of(run);
	}
	return digest;
}

size_t
unfinished_list_spread(const struct unfinished *unfinished,
    struct unfinished_run *runs, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < entry_count(unfinished) && count < max; i++) {
		if (unfinished->runs[i].fingerprint != 0 &&
		    unfinished->runs[i].spread)
			runs[count++] = unfinished->runs[i];
	}
	return count;
}

const struct server_start *
unfinished_next_adopted(const struct unfinished *unfinished, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		const struct unfinished_run *run =
		    &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && (run->adopted || run->sender != 0))
			return &run->start;
	}
	return NULL;
}

void
unfinished_server_responds(struct unfinished *unfinished,
    const struct server_start *start, int64_t since_us, bool named)
{
	if (*server_bucket(unfinished, start->server) == 0)
		return;
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint == 0 ||
		    !is_same_start(&run->start, start) ||
		    run->ran_until_us + ENDING_US > since_us)
			continue;
		run->address_serves = true;
		run->named_server_serves |= named;
	}
}

struct unfinished_run *
unfinished_next_unrecorded(struct unfinished *unfinished, size_t *cursor)
{
	if (unfinished->used == 0)
		return NULL;
	while (*cursor < entry_count(unfinished)) {
		struct unfinished_run *run = &unfinished->runs[(*cursor)++];

		/* Another VM answers for a shared run. */
		if (run->fingerprint != 0 && !run->recorded && !run->shared)
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

bool
unfinished_request_completed(
    struct unfinished *unfinished, uint64_t fingerprint)
{
	bool spread = false;

	if (*request_bucket(unfinished, fingerprint) == 0)
		return false;
	for (size_t i = 0; i < entry_count(unfinished); i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint != fingerprint)
			continue;
		spread |= run->spread;
		release(unfinished, run);
	}
	return spread;
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

		if (run->fingerprint == 0 || now_us - since_us < LISTED_US ||
		    (run->under_way && run->sender == 0))
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

	if (*server_bucket(unfinished, start->server) == 0)
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

		if (run->fingerprint != 0 && run->broken && !run->shared &&
		    !run->address_serves &&
		    now_us - run->ended_us <= BROKEN_LATELY_US)
			return &run->start;
	}
	return NULL;
}
