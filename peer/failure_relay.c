#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "peer/failure_table.h"

enum {
	/* Reasons against choosing a VM as relay. The VM with the lowest sum
	 * is chosen; among equals, the one with the highest hash. */
	RANK_ON_PROBATION = 1,
	RANK_LOG_UNREACHABLE = 2,
	RANK_DRAINING = 4,
	/* A gone VM can still be chosen and then gets heartbeats, so that the
	 * two find each other again after a network failure. */
	RANK_GONE = 8,
};

#define PROBATION_US ((int64_t)FAILURE_RELAY_PROBATION_MS * US_PER_MS)

static int
relay_rank(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	int64_t probation_us = PROBATION_US << entry->returns;
	int rank = 0;

	if (entry_verdict_any(failure, entry, now_us) != FAILURE_ALIVE)
		rank += RANK_GONE;
	if (now_us - entry->returned_us < probation_us)
		rank += RANK_ON_PROBATION;
	if (entry->member.log_unreachable)
		rank += RANK_LOG_UNREACHABLE;
	if (entry->member.draining)
		rank += RANK_DRAINING;
	return rank;
}

/** VM that could become a relay. */
struct candidate {
	const char *vm;
	int rank;
	uint64_t weight; /**< rendezvous hash of the VM */
};

static struct candidate
self_candidate(const struct failure_detector *failure, int64_t now_us)
{
	const struct message_member *self = &failure->self;
	bool on_probation = now_us - failure->started_us < PROBATION_US;

	return (struct candidate){
	    .vm = self->vm,
	    .rank = (self->log_unreachable ? RANK_LOG_UNREACHABLE : 0) +
		(self->draining ? RANK_DRAINING : 0) +
		(on_probation ? RANK_ON_PROBATION : 0),
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

/* Inserts a candidate into the list of the best ones, which is sorted from best
 * to worst. The worst one drops out if the list is full. */
static void
insert_candidate(
    struct candidate *best, size_t count, struct candidate candidate)
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
		insert_candidate(best, FAILURE_RELAYS_PER_DOMAIN,
		    self_candidate(failure, now_us));
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (strcmp(entry->member.failure_domain, domain) == 0)
			insert_candidate(best, FAILURE_RELAYS_PER_DOMAIN,
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
