#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "peer/failure_table.h"

enum {
	RETURNS_MAX = 5, /* bounds the doubling */
	FORGET_S = 300,  /* steady time that forgets returns */
};

static int64_t
ms(int64_t value)
{
	return value * US_PER_MS;
}

struct entry *
entry_find(const struct failure *failure, const char *vm)
{
	struct entry *entry;

	HASH_FIND_STR(failure->by_vm, vm, entry);
	return entry;
}

struct entry *
entry_add(struct failure *failure, const char *vm)
{
	struct entry *entry = xcalloc(1, sizeof(*entry));

	snprintf(entry->member.vm, sizeof(entry->member.vm), "%s", vm);
	entry->weight = hash_text(vm, FAILURE_RELAY_SEED);
	list_append(&failure->entries, &entry->link);
	HASH_ADD_STR(failure->by_vm, member.vm, entry);
	return entry;
}

void
entry_remove(struct failure *failure, struct entry *entry)
{
	list_remove(&entry->link);
	HASH_DEL(failure->by_vm, entry);
	free(entry);
}

struct voucher *
entry_voucher(struct entry *entry, const struct entry *sender, bool create)
{
	uint64_t name = hash_text(sender->member.vm, 0) | 1;
	struct voucher *oldest = &entry->vouchers[0];

	for (size_t i = 0; i < FAILURE_VOUCHERS; i++) {
		struct voucher *voucher = &entry->vouchers[i];

		if (voucher->name == name)
			return voucher;
		if (voucher->heard_us < oldest->heard_us)
			oldest = voucher;
	}
	if (!create)
		return NULL;
	*oldest = (struct voucher){.name = name};
	return oldest;
}

/* ---- verdicts ---- */

static bool
is_own_domain(const struct failure *failure, const struct entry *entry)
{
	return strcmp(failure->self.failure_domain,
		   entry->member.failure_domain) == 0;
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/** Whose word counts. */
enum scope {
	SCOPE_ANY,
	/** What may be passed on. Within a domain only what was heard directly
	 * counts, and from other domains only what came from there, so that
	 * two daemons never keep a member alive by each other's word. */
	SCOPE_FIRST_HAND,
};

/* Members of our domain may send their heartbeats elsewhere: silence counts
 * from when we became a relay. */
static int64_t
own_domain_us(const struct failure *failure, const struct entry *entry)
{
	return failure->serving_us == 0
	    ? 0
	    : later(entry->direct_us, failure->serving_us);
}

/* Returns the last sign of life; 0: none yet. */
static int64_t
heard_us(
    const struct failure *failure, const struct entry *entry, enum scope scope)
{
	int64_t heard = entry->direct_us;

	if (scope == SCOPE_FIRST_HAND && is_own_domain(failure, entry))
		return own_domain_us(failure, entry);
	if (scope == SCOPE_ANY && entry->introduced_us != 0)
		heard = later(heard,
		    entry->introduced_us +
			ms(FAILURE_INTRODUCE_MS - FAILURE_GONE_MS));
	for (size_t i = 0; i < FAILURE_VOUCHERS; i++) {
		if (scope == SCOPE_ANY || entry->vouchers[i].first_hand)
			heard = later(heard, entry->vouchers[i].heard_us);
	}
	return heard;
}

/* Returns whether others fell silent along with an entry: all of its failure
 * domain, if it has several members, or more than half of all. */
static bool
is_common_silence(const struct failure *failure, const struct entry *entry,
    enum scope scope, int64_t now_us)
{
	size_t all = 0;
	size_t all_silent = 0;
	size_t domain = 0;
	size_t domain_silent = 0;

	list_for_each (other, &failure->entries, struct entry, link) {
		int64_t heard = heard_us(failure, other, scope);
		int64_t silence_us = now_us - heard;
		bool silent = silence_us >= ms(FAILURE_GONE_MS);
		bool same = strcmp(other->member.failure_domain,
				entry->member.failure_domain) == 0;

		/* What was gone long before did not fall silent now. */
		if (heard == 0 || silence_us >= 2 * ms(FAILURE_HOLD_MS))
			continue;
		all++;
		all_silent += silent;
		domain += same;
		domain_silent += same && silent;
	}
	if (!is_own_domain(failure, entry) && domain > 1 &&
	    domain_silent == domain)
		return true;
	return all > 2 && 2 * all_silent > all;
}

static enum failure_verdict
entry_verdict(const struct failure *failure, const struct entry *entry,
    enum scope scope, int64_t now_us)
{
	int64_t silence_us = now_us - heard_us(failure, entry, scope);

	if (silence_us < ms(FAILURE_SUSPECT_MS))
		return FAILURE_ALIVE;
	if (silence_us < ms(FAILURE_GONE_MS))
		return FAILURE_SUSPECT;
	if (silence_us < ms(FAILURE_HOLD_MS) &&
	    is_common_silence(failure, entry, scope, now_us))
		return FAILURE_SUSPECT;
	return FAILURE_GONE;
}

enum failure_verdict
entry_verdict_any(
    const struct failure *failure, const struct entry *entry, int64_t now_us)
{
	return entry_verdict(failure, entry, SCOPE_ANY, now_us);
}

enum failure_verdict
failure_verdict(const struct failure *failure, const char *vm, int64_t now_us)
{
	const struct entry *entry = entry_find(failure, vm);

	if (strcmp(failure->self.vm, vm) == 0)
		return FAILURE_ALIVE;
	if (entry == NULL)
		return FAILURE_UNKNOWN;
	return entry_verdict_any(failure, entry, now_us);
}

bool
failure_sign(const struct failure *failure, const char *vm, int64_t now_us,
    struct failure_sign *sign)
{
	const struct entry *entry = entry_find(failure, vm);

	if (entry == NULL)
		return false;
	sign->verdict = entry_verdict(failure, entry, SCOPE_ANY, now_us);
	sign->heard_us = sign->verdict == FAILURE_GONE
	    ? heard_us(failure, entry, SCOPE_ANY)
	    : now_us;
	sign->member = entry->member;
	return true;
}

void
failure_each(const struct failure *failure,
    void (*each)(void *context, const struct message_member *member),
    void *context)
{
	list_for_each (entry, &failure->entries, struct entry, link)
		each(context, &entry->member);
}

/* ---- changes ---- */

static void
count_return(struct entry *entry, enum failure_verdict verdict, int64_t now_us)
{
	bool gone = verdict == FAILURE_GONE;

	if (entry->was_gone && !gone) {
		if (now_us - entry->returned_us > (int64_t)FORGET_S * US_PER_S)
			entry->returns = 0;
		entry->returned_us = now_us;
		if (entry->returns < RETURNS_MAX)
			entry->returns++;
	}
	entry->was_gone = gone;
}

/* Returns whether we can say anything of a member yet. */
static bool
is_known(
    const struct failure *failure, const struct entry *entry, int64_t now_us)
{
	if (is_own_domain(failure, entry) &&
	    entry->direct_us < failure->serving_us)
		return now_us - failure->serving_us >= ms(FAILURE_GONE_MS);
	return heard_us(failure, entry, SCOPE_FIRST_HAND) != 0;
}

static bool
is_same(const struct message_member *a, const struct message_member *b)
{
	return strcmp(a->address, b->address) == 0 && a->port == b->port &&
	    strcmp(a->peer_address, b->peer_address) == 0 &&
	    a->peer_port == b->peer_port &&
	    strcmp(a->failure_domain, b->failure_domain) == 0 &&
	    strcmp(a->region, b->region) == 0 &&
	    a->incarnation == b->incarnation &&
	    a->config_version == b->config_version &&
	    a->owned_shards == b->owned_shards && a->draining == b->draining &&
	    a->log_lost == b->log_lost && a->gone == b->gone;
}

static void
number_change(struct failure *failure, struct entry *entry, int64_t now_us)
{
	if (!is_known(failure, entry, now_us))
		return;
	entry->member.gone = entry_verdict(failure, entry, SCOPE_FIRST_HAND,
				 now_us) == FAILURE_GONE;
	if (entry->changed != 0 && is_same(&entry->member, &entry->shown))
		return;
	entry->shown = entry->member;
	entry->changed = ++failure->change;
}

static bool
is_first_of_domain(
    const struct failure *failure, const struct entry *entry, int64_t now_us)
{
	list_for_each (other, &failure->entries, struct entry, link) {
		if (other == entry)
			return true;
		if (strcmp(other->member.failure_domain,
			entry->member.failure_domain) == 0 &&
		    entry_verdict(failure, other, SCOPE_ANY, now_us) !=
			FAILURE_GONE)
			return false;
	}
	return true;
}

static size_t
count_domains(const struct failure *failure, int64_t now_us)
{
	size_t count = 1; /* our own */

	list_for_each (entry, &failure->entries, struct entry, link) {
		count += !is_own_domain(failure, entry) &&
		    entry_verdict(failure, entry, SCOPE_ANY, now_us) !=
			FAILURE_GONE &&
		    is_first_of_domain(failure, entry, now_us);
	}
	return count;
}

/* One a tick is enough. */
static void
forget_unlisted(struct failure *failure, int64_t now_us)
{
	const int64_t forget_us = (int64_t)FORGET_S * US_PER_S;

	list_for_each (entry, &failure->entries, struct entry, link) {
		if (entry->listed || !entry->was_gone ||
		    now_us - heard_us(failure, entry, SCOPE_ANY) <= forget_us)
			continue;
		entry_remove(failure, entry);
		return;
	}
}

void
table_update(struct failure *failure, int64_t now_us)
{
	if (failure->started_us == 0)
		failure->started_us = now_us;
	list_for_each (entry, &failure->entries, struct entry, link) {
		count_return(entry,
		    entry_verdict(failure, entry, SCOPE_ANY, now_us), now_us);
		number_change(failure, entry, now_us);
	}
	failure->domains = count_domains(failure, now_us);
	forget_unlisted(failure, now_us);
}
