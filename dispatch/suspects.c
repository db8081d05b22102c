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
	/* Crashes and open runs from which on all VMs know of the latter. */
	SPREAD_RUNS = 2,
	OPEN_ROUNDS_MAX = 32, /* open runs of a request that are looked at */
	/* In which a VM finds out that its paths are lost, and not its servers,
	 * while it tries one after the other. */
	ONE_CAUSE_US = 1 * US_PER_S,
	/* Time to find out by a connection that a server has ended. */
	FIND_OUT_US = 100 * US_PER_MS,
};

/* Time without a crash or a trial before the next trial, by the number of sends
 * that have followed the third crash. Servers that all ended at once serve
 * again by the first one. No more than three sends fit into a day. */
static const int64_t trial_after_us[] = {
    (int64_t)30 * US_PER_S,
    (int64_t)30 * 60 * US_PER_S,
    (int64_t)24 * 3600 * US_PER_S,
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

/* Returns the number of crashes that are held against a request: all but one
 * of those that are excused. */
static uint32_t
counted_crashes(const struct suspect *suspect)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].round == 0)
			return suspect->crash_count - 1;
	}
	return suspect->crash_count;
}

static bool
is_refused(const struct suspect *suspect)
{
	uint32_t rounds = last_round(suspect);

	return rounds >= SUSPECT_ROUNDS_MAX ||
	    (rounds > 1 && counted_crashes(suspect) >= SUSPECT_CRASHES_MAX);
}

static bool
is_compared(const struct suspect *suspect)
{
	return suspect->crash_count >= COMPARED_CRASHES;
}

/* Returns how much would be lost with a request. */
static int
weight(const struct suspect *suspect)
{
	if (is_refused(suspect))
		return 3;
	if (is_compared(suspect))
		return 2;
	return suspect->crash_count > 0 ? 1 : 0;
}

/* Drops the oldest request of those with the least weight. */
static void
drop_one(struct suspects *suspects)
{
	struct suspect *least = suspects->by_fingerprint;

	for (struct suspect *suspect = least; suspect != NULL;
	     suspect = suspect->hh.next) {
		if (weight(suspect) < weight(least))
			least = suspect;
	}
	suspect_free(suspects, least);
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

static uint64_t
digest_of(const struct suspect_crash *entry)
{
	const uint64_t parts[] = {
	    entry->fingerprint, entry->epoch, entry->round, entry->crash};

	return hash_bytes(parts, sizeof(parts), 0);
}

static void
update_digest(struct suspects *suspects)
{
	uint64_t digest = 0;

	/* Sums do not depend on the order. */
	for (const struct suspect *suspect = suspects->by_fingerprint;
	     suspect != NULL; suspect = suspect->hh.next) {
		if (!is_compared(suspect))
			continue;
		for (uint32_t i = 0; i < suspect->crash_count; i++)
			digest += digest_of(&suspect->crashes[i]);
		if (suspect->trial.round > 0)
			digest += digest_of(&suspect->trial);
	}
	suspects->digest = digest;
}

static bool
has_completed(const struct suspects *suspects, uint64_t fingerprint)
{
	return suspects->completed[fingerprint % SUSPECT_COMPLETED_KEPT] ==
	    fingerprint;
}

bool
suspects_completed_since(
    const struct suspects *suspects, uint64_t fingerprint, int64_t since_us)
{
	return has_completed(suspects, fingerprint) &&
	    suspects->completed_us[fingerprint % SUSPECT_COMPLETED_KEPT] >
	    since_us;
}

/* Returns whether two runs may have been broken off by one cause, such as a
 * lost path: they overlapped, or one VM's connections broke shortly after each
 * other. first was sent before second. */
static bool
have_one_cause(
    const struct unfinished_run *first, const struct unfinished_run *second)
{
	int64_t latest_us = first->ended_us;

	if (first->sender == second->sender)
		latest_us += ONE_CAUSE_US;
	return first->broken && second->broken && second->sent_us < latest_us;
}

/* Returns whether an open run of the request was sent before a run, and has not
 * ended by one cause with it. If both turn out to be crashes, the latter is not
 * in the first round, whichever becomes known first. */
static bool
follows_open_run(
    struct unfinished *unfinished, const struct unfinished_run *run)
{
	const struct unfinished_run *open;
	size_t cursor = 0;

	while ((open = unfinished_next_open(unfinished, run->fingerprint,
		    INT64_MAX, &cursor)) != NULL) {
		if (open->sent_us < run->sent_us &&
		    unfinished_crash(&open->start) !=
			unfinished_crash(&run->start) &&
		    !have_one_cause(open, run))
			return true;
	}
	return false;
}

/* Returns what a run counts as if its server ends. suspect: NULL if there is no
 * suspicion yet. */
static struct suspect_crash
crash_of(const struct suspects *suspects, const struct suspect *suspect,
    struct unfinished *unfinished, const struct unfinished_run *run)
{
	struct suspect_crash crash = {
	    .fingerprint = run->fingerprint,
	    .epoch = suspect != NULL ? suspect->epoch : 0,
	    .round = 1,
	    .crash = unfinished_crash(&run->start),
	    .crashed_us = run->ended_us,
	};

	if (suspect != NULL && suspect->crash_count > 0)
		crash.round = round_at(suspect, run->sent_us) + 1;
	else if (has_completed(suspects, run->fingerprint))
		crash.round = 0;
	if (crash.round == 1 && follows_open_run(unfinished, run))
		crash.round = 2;
	return crash;
}

bool
suspects_must_record(const struct suspects *suspects,
    struct unfinished *unfinished, const struct unfinished_run *run,
    struct suspect_crash *crash, int64_t now_us)
{
	struct suspect *suspect = find(suspects, run->fingerprint);

	if ((suspect == NULL || suspect->crash_count == 0) && !run->spread &&
	    (!unfinished_is_open(run, now_us) ||
		now_us - run->ended_us < FIND_OUT_US))
		return false;
	*crash = crash_of(suspects, suspect, unfinished, run);
	return suspect == NULL || find_crash(suspect, crash->crash) == NULL;
}

/* Adds the crash of a server under a run that the store had. */
static bool
add_adopted_run(struct suspects *suspects, const struct unfinished_run *run,
    struct suspect_crash *added)
{
	*added = (struct suspect_crash){
	    .fingerprint = run->fingerprint,
	    .epoch = run->epoch,
	    .round = run->round,
	    .crash = unfinished_crash(&run->start),
	    .crashed_us = run->ended_us,
	};
	if (!suspects_join(suspects, added))
		return false;
	suspects->changed_us = run->ended_us;
	return true;
}

bool
suspects_add_run(struct suspects *suspects, struct unfinished *unfinished,
    const struct unfinished_run *run, struct suspect_crash *added)
{
	struct suspect *suspect;

	if (run->adopted)
		return add_adopted_run(suspects, run, added);
	suspect = find_or_add(suspects, run->fingerprint);
	*added = crash_of(suspects, suspect, unfinished, run);
	/* What accepts connections for a server that has ended, and closes
	 * them, does not make it end again. */
	if (find_crash(suspect, added->crash) != NULL ||
	    !add_crash(suspect, added))
		return false;
	suspects->changed_us = run->ended_us;
	update_digest(suspects);
	return true;
}

/* Adds an entry of the request's present epoch. */
static bool
add_entry(struct suspect *suspect, const struct suspect_crash *entry)
{
	switch (entry->crash) {
	case SUSPECT_EPOCH:
		return false;
	case SUSPECT_TRIAL:
		if (entry->round <= suspect->trial.round)
			return false;
		suspect->trial = *entry;
		return true;
	default:
		return add_crash(suspect, entry);
	}
}

static void
start_epoch(struct suspect *suspect, uint32_t epoch)
{
	suspect->epoch = epoch;
	suspect->crash_count = 0;
	suspect->trial = (struct suspect_crash){0};
}

bool
suspects_join(struct suspects *suspects, const struct suspect_crash *crash)
{
	struct suspect *suspect = find(suspects, crash->fingerprint);
	bool is_new = false;

	if (crash->epoch == 0 && crash->crash == SUSPECT_EPOCH)
		return false;
	if (suspect == NULL)
		suspect = find_or_add(suspects, crash->fingerprint);
	else if (crash->epoch < suspect->epoch)
		return false;
	if (crash->epoch > suspect->epoch) {
		start_epoch(suspect, crash->epoch);
		is_new = true;
	}
	if (add_entry(suspect, crash))
		is_new = true;
	if (is_new)
		update_digest(suspects);
	return is_new;
}

bool
suspects_clear(struct suspects *suspects, uint64_t fingerprint, bool spread,
    struct suspect_crash *cleared, int64_t now_us)
{
	struct suspect *suspect = find(suspects, fingerprint);

	suspects->completed[fingerprint % SUSPECT_COMPLETED_KEPT] = fingerprint;
	suspects->completed_us[fingerprint % SUSPECT_COMPLETED_KEPT] = now_us;
	if ((suspect == NULL || suspect->crash_count == 0) && !spread)
		return false;
	suspect = find_or_add(suspects, fingerprint);
	start_epoch(suspect, suspect->epoch + 1);
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

	return suspect != NULL && is_refused(suspect);
}

/* An open run, and the round of the crash that it may turn out to be. */
struct open_round {
	const struct unfinished_run *run;
	uint32_t round;
};

static int
compare_sends(const void *a, const void *b)
{
	const struct open_round *first = a;
	const struct open_round *second = b;

	return (first->run->sent_us > second->run->sent_us) -
	    (first->run->sent_us < second->run->sent_us);
}

/* Returns the round of an open run, those that were sent before it having
 * theirs. */
static uint32_t
round_of_open(
    const struct suspect *suspect, const struct open_round *open, size_t at)
{
	const struct unfinished_run *run = open[at].run;
	int64_t after_us = run->sent_us - (run->broken ? ONE_CAUSE_US : 0);
	uint32_t last = suspect != NULL ? round_at(suspect, after_us) : 0;

	for (size_t i = 0; i < at; i++) {
		if (!have_one_cause(open[i].run, run) && open[i].round > last)
			last = open[i].round;
	}
	return last + 1;
}

struct suspicion
suspects_count(const struct suspects *suspects, struct unfinished *unfinished,
    uint64_t fingerprint, int64_t now_us)
{
	struct suspect *suspect = find(suspects, fingerprint);
	struct suspicion suspicion = {
	    .completed = has_completed(suspects, fingerprint)};
	struct open_round open[OPEN_ROUNDS_MAX];
	struct unfinished_run *run;
	size_t cursor = 0;
	size_t count = 0;

	if (suspect != NULL) {
		suspicion.crashes = counted_crashes(suspect);
		suspicion.rounds = last_round(suspect);
	}
	while (count < OPEN_ROUNDS_MAX &&
	    (run = unfinished_next_open(
		 unfinished, fingerprint, now_us, &cursor)) != NULL) {
		if (suspect == NULL ||
		    find_crash(suspect, unfinished_crash(&run->start)) == NULL)
			open[count++].run = run;
	}
	suspicion.open_runs = (uint32_t)count;
	qsort(open, count, sizeof(open[0]), compare_sends);
	for (size_t i = 0; i < count; i++) {
		open[i].round = round_of_open(suspect, open, i);
		if (open[i].round > suspicion.rounds)
			suspicion.rounds = open[i].round;
	}
	return suspicion;
}

bool
suspects_hold(const struct suspicion *suspicion)
{
	return suspicion->open_runs > 0 && suspicion->rounds > 1 &&
	    suspicion->crashes + suspicion->open_runs >= SUSPECT_CRASHES_MAX;
}

bool
suspects_one_at_a_time(const struct suspicion *suspicion)
{
	uint32_t runs = suspicion->crashes;

	/* Of a request that completes again and again, some runs are always
	 * ended by callers that leave. */
	if (!suspicion->completed && suspicion->rounds > 1)
		runs += suspicion->open_runs;
	return runs >= SUSPECT_CRASHES_MAX - 1;
}

bool
suspects_must_spread(const struct suspicion *suspicion)
{
	return suspicion->open_runs > 0 &&
	    suspicion->crashes + suspicion->open_runs >= SPREAD_RUNS;
}

bool
suspects_is_open(const struct suspects *suspects,
    const struct unfinished_run *run, uint32_t epoch)
{
	struct suspect *suspect = find(suspects, run->fingerprint);

	return suspect == NULL ||
	    (epoch >= suspect->epoch &&
		find_crash(suspect, unfinished_crash(&run->start)) == NULL);
}

/* Returns the time of the last crash or trial, as late as it may have been. */
static int64_t
last_event_us(const struct suspects *suspects, const struct suspect *suspect)
{
	int64_t last_us = suspects->started_us;

	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].crashed_us > last_us)
			last_us = suspect->crashes[i].crashed_us;
	}
	if (suspect->trial.round > 0 && suspect->trial.crashed_us > last_us)
		last_us = suspect->trial.crashed_us;
	return last_us;
}

/* Returns the number of rounds beyond those that a request is refused for. */
static uint32_t
extra_rounds(const struct suspect *suspect)
{
	uint32_t rounds = last_round(suspect);

	if (counted_crashes(suspect) < suspect->crash_count)
		rounds++;
	return rounds > SUSPECT_ROUNDS_MAX ? rounds - SUSPECT_ROUNDS_MAX : 0;
}

static int64_t
next_trial_us(const struct suspects *suspects, const struct suspect *suspect)
{
	static const uint32_t last =
	    sizeof(trial_after_us) / sizeof(trial_after_us[0]) - 1;
	uint32_t number = suspect->trial.round + extra_rounds(suspect);

	return last_event_us(suspects, suspect) +
	    trial_after_us[number < last ? number : last];
}

bool
suspects_take_trial(struct suspects *suspects, uint64_t fingerprint,
    struct suspect_crash *trial, int64_t now_us)
{
	struct suspect *suspect = find(suspects, fingerprint);

	if (suspect == NULL || !is_refused(suspect) ||
	    now_us < next_trial_us(suspects, suspect))
		return false;
	suspect->trial = (struct suspect_crash){
	    .fingerprint = fingerprint,
	    .epoch = suspect->epoch,
	    .round = suspect->trial.round + 1,
	    .crash = SUSPECT_TRIAL,
	    .crashed_us = now_us,
	};
	*trial = suspect->trial;
	suspects->changed_us = now_us;
	update_digest(suspects);
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
	if (suspect->trial.round > 0 && count < max)
		list[count++] = suspect->trial;
	if (suspect->crash_count == 0 && suspect->epoch > 0 && max > 0)
		list[count++] = (struct suspect_crash){
		    .fingerprint = suspect->fingerprint,
		    .epoch = suspect->epoch,
		};
	return count;
}

/* Lists the requests that are compared, or all others. */
static size_t
list_some(const struct suspects *suspects, bool compared,
    struct suspect_crash *list, size_t max)
{
	const struct suspect *suspect = suspects->by_fingerprint;
	size_t count = 0;

	if (suspect == NULL)
		return 0;
	suspect = ELMT_FROM_HH(
	    suspects->by_fingerprint->hh.tbl, suspect->hh.tbl->tail);
	for (; suspect != NULL && count < max; suspect = suspect->hh.prev) {
		if (is_compared(suspect) == compared)
			count += list_one(suspect, list + count, max - count);
	}
	return count;
}

size_t
suspects_list(
    const struct suspects *suspects, struct suspect_crash *list, size_t max)
{
	size_t count = list_some(suspects, true, list, max);

	return count + list_some(suspects, false, list + count, max - count);
}
