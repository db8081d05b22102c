#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "peer/failure_table.h"

enum {
	/* Ranks of unsuitable relays; the sum decides before the hash. */
	RANK_UNSTEADY = 1,
	RANK_LOG_LOST = 2,
	RANK_DRAINING = 4,
	RANK_GONE =
	    8, /* still told of us, so that a lost link is found again */
};

#define STEADY_US ((int64_t)FAILURE_RELAY_PROBATION_MS * US_PER_MS)

static int
relay_rank(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	int64_t steady_us = STEADY_US << entry->returns;
	int rank = 0;

	if (entry_verdict_any(failure, entry, now_us) != FAILURE_ALIVE)
		rank += RANK_GONE;
	if (now_us - entry->returned_us < steady_us)
		rank += RANK_UNSTEADY;
	if (entry->member.log_unreachable)
		rank += RANK_LOG_LOST;
	if (entry->member.draining)
		rank += RANK_DRAINING;
	return rank;
}

/** A possible relay. */
struct candidate {
	const char *vm;
	int rank;
	uint64_t weight;
};

static struct candidate
own_candidate(const struct failure_detector *failure, int64_t now_us)
{
	const struct message_member *self = &failure->self;
	bool unsteady = now_us - failure->started_us < STEADY_US;

	return (struct candidate){
	    .vm = self->vm,
	    .rank = (self->log_unreachable ? RANK_LOG_LOST : 0) +
		(self->draining ? RANK_DRAINING : 0) +
		(unsteady ? RANK_UNSTEADY : 0),
	    .weight = hash_text(self->vm, FAILURE_RELAY_SEED),
	};
}

static bool
is_better(const struct candidate *a, const struct candidate *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return strcmp(a->vm, b->vm) < 0;
}

/* Keeps the best choices in order. */
static void
offer(struct candidate *best, size_t count, struct candidate candidate)
{
	for (size_t i = 0; i < count; i++) {
		struct candidate displaced = best[i];

		if (best[i].vm != NULL && !is_better(&candidate, &best[i]))
			continue;
		best[i] = candidate;
		if (displaced.vm == NULL)
			return;
		candidate = displaced;
	}
}

bool
failure_relay(const struct failure_detector *failure, const char *domain,
    size_t choice, int64_t now_us, char vm[NAME_BYTES])
{
	struct candidate best[FAILURE_RELAYS_PER_DOMAIN] = {0};

	if (choice >= FAILURE_RELAYS_PER_DOMAIN)
		return false;
	if (strcmp(failure->self.failure_domain, domain) == 0)
		offer(best, FAILURE_RELAYS_PER_DOMAIN,
		    own_candidate(failure, now_us));
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (strcmp(entry->member.failure_domain, domain) == 0)
			offer(best, FAILURE_RELAYS_PER_DOMAIN,
			    (struct candidate){
				.vm = entry->member.vm,
				.rank = relay_rank(failure, entry, now_us),
				.weight = entry->weight,
			    });
	}
	if (best[choice].vm == NULL)
		return false;
	snprintf(vm, NAME_BYTES, "%s", best[choice].vm);
	return true;
}

size_t
failure_domain_count(const struct failure_detector *failure)
{
	return failure->domain_count > 0 ? failure->domain_count : 1;
}
