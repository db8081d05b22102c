#include <stdlib.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/suspects.h"

enum {
	/* Crashes of a request from which on VMs compare what they know of it.
	 * Most requests that are at a server's end have one crash, and are
	 * cleared when they come again. */
	COMPARED_CRASHES = 2,
	/* Longer than a message takes to all VMs. */
	SPREAD_US = 300 * US_PER_MS,
	ASK_INTERVAL_US = 1 * US_PER_S,
	/* Servers that all ended at once serve again by then. */
	TRIAL_AFTER_US = 30 * US_PER_S,
};

static struct suspect *
find(const struct suspects *suspects, uint64_t fingerprint)
{
	struct suspect *suspect;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, suspects->by_fingerprint, &fingerprint,
	    sizeof(fingerprint), suspect);
	return suspect;
}

const struct suspect *
suspects_find(const struct suspects *suspects, uint64_t fingerprint)
{
	return find(suspects, fingerprint);
}

static void
suspect_free(struct suspects *suspects, struct suspect *suspect)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(suspects->by_fingerprint, suspect);
	free(suspect);
}

void
suspects_reset(struct suspects *suspects)
{
	struct suspect *suspect, *next;

	HASH_ITER (hh, suspects->by_fingerprint, suspect, next)
		suspect_free(suspects, suspect);
}

/* Drops the oldest request with a single crash or none; if there is no such,
 * the oldest one. */
static void
drop_one(struct suspects *suspects)
{
	struct suspect *suspect = suspects->by_fingerprint;

	while (suspect != NULL && suspect->crash_count >= COMPARED_CRASHES)
		suspect = suspect->hh.next;
	suspect_free(
	    suspects, suspect != NULL ? suspect : suspects->by_fingerprint);
}

static struct suspect *
find_or_add(struct suspects *suspects, uint64_t fingerprint)
{
	struct suspect *suspect = find(suspects, fingerprint);

	if (suspect != NULL)
		return suspect;
	if (HASH_COUNT(suspects->by_fingerprint) == SUSPECTS_MAX)
		drop_one(suspects);
	suspect = xcalloc(1, sizeof(*suspect));
	suspect->fingerprint = fingerprint;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, suspects->by_fingerprint, fingerprint,
	    sizeof(suspect->fingerprint), suspect);
	return suspect;
}

static uint32_t
last_round(const struct suspect *suspect)
{
	uint32_t last = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].round > last)
			last = suspect->crashes[i].round;
	}
	return last;
}

/* Returns the last round of the crashes that had happened at a time. */
static uint32_t
round_at(const struct suspect *suspect, int64_t at_us)
{
	uint32_t last = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		const struct suspect_crash *crash = &suspect->crashes[i];

		if (crash->crashed_us <= at_us && crash->round > last)
			last = crash->round;
	}
	return last;
}

static bool
crash_goes_before(
    const struct suspect_crash *first, const struct suspect_crash *second)
{
	if (first->round != second->round)
		return first->round > second->round;
	return first->crash < second->crash;
}

/* Returns the crash that is kept last if there are too many: all VMs must keep
 * the same ones, in whichever order they hear of them. */
static struct suspect_crash *
least_crash(struct suspect *suspect)
{
	struct suspect_crash *least = &suspect->crashes[0];

	for (uint32_t i = 1; i < suspect->crash_count; i++) {
		struct suspect_crash *crash = &suspect->crashes[i];

		if (crash_goes_before(least, crash))
			least = crash;
	}
	return least;
}

static struct suspect_crash *
find_crash(struct suspect *suspect, uint64_t crash)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].crash == crash)
			return &suspect->crashes[i];
	}
	return NULL;
}

/* Adds a crash of the request's present epoch. VMs that noticed the same crash
 * may give it different rounds: the later one holds. */
static bool
add_crash(struct suspect *suspect, const struct suspect_crash *crash)
{
	struct suspect_crash *known = find_crash(suspect, crash->crash);

	if (known != NULL) {
		if (known->round >= crash->round)
			return false;
		*known = *crash;
		return true;
	}
	if (suspect->crash_count < SUSPECT_CRASHES_KEPT) {
		suspect->crashes[suspect->crash_count++] = *crash;
		return true;
	}
	if (!crash_goes_before(crash, least_crash(suspect)))
		return false;
	*least_crash(suspect) = *crash;
	return true;
}

static void
update_digest(struct suspects *suspects)
{
	uint64_t digest = 0;

	/* Sums do not depend on the order. */
	for (const struct suspect *suspect = suspects->by_fingerprint;
	     suspect != NULL; suspect = suspect->hh.next) {
		if (suspect->crash_count < COMPARED_CRASHES)
			continue;
		for (uint32_t i = 0; i < suspect->crash_count; i++) {
			const struct suspect_crash *crash =
			    &suspect->crashes[i];
			const uint64_t parts[] = {crash->fingerprint,
			    crash->epoch, crash->round, crash->crash};

			digest += hash_bytes(parts, sizeof(parts), 0);
		}
	}
	suspects->digest = digest;
}

static struct suspect_completed *
completed_slot(struct suspects *suspects, uint64_t fingerprint)
{
	return &suspects->completed[fingerprint % SUSPECT_COMPLETED_KEPT];
}

/* Returns whether a request is not suspected of a crash, since it has completed
 * here. That holds for one crash until it completes again. */
static bool
is_excused(struct suspects *suspects, uint64_t fingerprint, uint64_t crash)
{
	struct suspect_completed *completed =
	    completed_slot(suspects, fingerprint);

	if (completed->fingerprint != fingerprint)
		return false;
	if (completed->excused_crash == 0)
		completed->excused_crash = crash;
	return completed->excused_crash == crash;
}

bool
suspects_add_run(struct suspects *suspects, const struct unfinished_run *run,
    struct suspect_crash *added)
{
	uint64_t crash = hash_bytes(&run->start, sizeof(run->start), 0);
	struct suspect *suspect;

	if (is_excused(suspects, run->fingerprint, crash))
		return false;
	suspect = find_or_add(suspects, run->fingerprint);
	*added = (struct suspect_crash){
	    .fingerprint = run->fingerprint,
	    .epoch = suspect->epoch,
	    .round = round_at(suspect, run->sent_us) + 1,
	    .crash = crash,
	    .crashed_us = run->ended_us,
	};
	/* What accepts connections for a server that has ended, and closes
	 * them, does not make it end again. */
	if (find_crash(suspect, crash) != NULL || !add_crash(suspect, added))
		return false;
	suspects->changed_us = run->ended_us;
	update_digest(suspects);
	return true;
}

bool
suspects_join(struct suspects *suspects, const struct suspect_crash *crash)
{
	struct suspect *suspect = find(suspects, crash->fingerprint);
	bool is_new = false;

	if (crash->epoch == 0 && crash->crash == 0)
		return false;
	if (suspect == NULL)
		suspect = find_or_add(suspects, crash->fingerprint);
	else if (crash->epoch < suspect->epoch)
		return false;
	if (crash->epoch > suspect->epoch) {
		suspect->epoch = crash->epoch;
		suspect->crash_count = 0;
		is_new = true;
	}
	if (crash->crash != 0 && add_crash(suspect, crash))
		is_new = true;
	if (is_new)
		update_digest(suspects);
	return is_new;
}

bool
suspects_clear(struct suspects *suspects, uint64_t fingerprint,
    struct suspect_crash *cleared, int64_t now_us)
{
	struct suspect *suspect = find(suspects, fingerprint);

	*completed_slot(suspects, fingerprint) =
	    (struct suspect_completed){.fingerprint = fingerprint};
	if (suspect == NULL || suspect->crash_count == 0)
		return false;
	suspect->epoch++;
	suspect->crash_count = 0;
	suspects->changed_us = now_us;
	update_digest(suspects);
	*cleared = (struct suspect_crash){
	    .fingerprint = fingerprint,
	    .epoch = suspect->epoch,
	};
	return true;
}

bool
suspects_refuse(const struct suspects *suspects, uint64_t fingerprint)
{
	const struct suspect *suspect = find(suspects, fingerprint);

	if (suspect == NULL)
		return false;
	return last_round(suspect) >= SUSPECT_ROUNDS_MAX ||
	    (last_round(suspect) > 1 &&
		suspect->crash_count >= SUSPECT_CRASHES_MAX);
}

/* Returns the time of the last crash, as late as it may have been. */
static int64_t
last_crash_us(const struct suspects *suspects, const struct suspect *suspect)
{
	int64_t last_us = suspects->started_us;

	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].crashed_us > last_us)
			last_us = suspect->crashes[i].crashed_us;
	}
	return last_us;
}

bool
suspects_take_trial(
    struct suspects *suspects, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *suspect = find(suspects, fingerprint);

	if (suspect == NULL || last_round(suspect) >= SUSPECT_ROUNDS_GIVEN_UP ||
	    last_crash_us(suspects, suspect) > now_us - TRIAL_AFTER_US ||
	    (suspect->trial_us != 0 &&
		now_us - suspect->trial_us < TRIAL_AFTER_US))
		return false;
	suspect->trial_us = now_us;
	return true;
}

bool
suspects_should_ask(
    struct suspects *suspects, uint64_t other_digest, int64_t now_us)
{
	if (other_digest == suspects->digest ||
	    now_us - suspects->changed_us < SPREAD_US ||
	    (suspects->asked_us != 0 &&
		now_us - suspects->asked_us < ASK_INTERVAL_US))
		return false;
	suspects->asked_us = now_us;
	return true;
}

static size_t
list_one(const struct suspect *suspect, struct suspect_crash *list, size_t max)
{
	size_t count = 0;

	for (uint32_t i = 0; i < suspect->crash_count && count < max; i++)
		list[count++] = suspect->crashes[i];
	if (suspect->crash_count == 0 && suspect->epoch > 0 && max > 0)
		list[count++] = (struct suspect_crash){
		    .fingerprint = suspect->fingerprint,
		    .epoch = suspect->epoch,
		};
	return count;
}

size_t
suspects_list(
    const struct suspects *suspects, struct suspect_crash *list, size_t max)
{
	const struct suspect *suspect = suspects->by_fingerprint;
	size_t count = 0;

	if (suspect == NULL)
		return 0;
	suspect = ELMT_FROM_HH(
	    suspects->by_fingerprint->hh.tbl, suspect->hh.tbl->tail);
	while (suspect != NULL && count < max) {
		count += list_one(suspect, list + count, max - count);
		suspect = suspect->hh.prev;
	}
	return count;
}
