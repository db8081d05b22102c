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

struct failure_entry *
entry_find(const struct failure_detector *failure, const char *vm)
{
	struct failure_entry *entry;

	HASH_FIND_STR(failure->by_vm, vm, entry);
	return entry;
}

struct failure_entry *
entry_add(struct failure_detector *failure, const char *vm)
{
	struct failure_entry *entry = xcalloc(1, sizeof(*entry));

	snprintf(entry->member.vm, sizeof(entry->member.vm), "%s", vm);
	entry->weight = hash_text(vm, FAILURE_RELAY_SEED);
	list_append(&failure->entries, &entry->link);
	HASH_ADD_STR(failure->by_vm, member.vm, entry);
	return entry;
}

void
entry_remove(struct failure_detector *failure, struct failure_entry *entry)
{
	list_remove(&entry->link);
	HASH_DEL(failure->by_vm, entry);
	free(entry);
}

struct view_source *
entry_view_source(struct failure_entry *entry,
    const struct failure_entry *sender, bool create)
{
	uint64_t name = hash_text(sender->member.vm, 0) | 1;
	struct view_source *oldest = &entry->view_sources[0];

	for (size_t i = 0; i < FAILURE_VIEW_SOURCES; i++) {
		struct view_source *view_source = &entry->view_sources[i];

		if (view_source->vm_hash == name)
			return view_source;
		if (view_source->last_heard_us < oldest->last_heard_us)
			oldest = view_source;
	}
	if (!create)
		return NULL;
	*oldest = (struct view_source){.vm_hash = name};
	return oldest;
}

/* ---- verdicts ---- */

static bool
is_own_domain(
    const struct failure_detector *failure, const struct failure_entry *entry)
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
own_domain_us(
    const struct failure_detector *failure, const struct failure_entry *entry)
{
	return failure->heartbeats_since_us == 0
	    ? 0
	    : later(entry->last_message_us, failure->heartbeats_since_us);
}

/* Returns the last sign of life; 0: none yet. */
static int64_t
heard_us(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope)
{
	int64_t heard = entry->last_message_us;

	if (scope == SCOPE_FIRST_HAND && is_own_domain(failure, entry))
		return own_domain_us(failure, entry);
	if (scope == SCOPE_ANY && entry->listed_us != 0)
		heard = later(heard,
		    entry->listed_us +
			ms(FAILURE_FIRST_CONTACT_TIMEOUT_MS -
			    FAILURE_GONE_TIMEOUT_MS));
	for (size_t i = 0; i < FAILURE_VIEW_SOURCES; i++) {
		if (scope == SCOPE_ANY || entry->view_sources[i].first_hand)
			heard =
			    later(heard, entry->view_sources[i].last_heard_us);
	}
	return heard;
}

/* Returns whether others fell silent along with an entry: all of its failure
 * domain, if it has several members, or more than half of all. */
static bool
is_common_silence(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope, int64_t now_us)
{
	size_t all = 0;
	size_t all_silent = 0;
	size_t domain = 0;
	size_t domain_silent = 0;

	list_for_each (other, &failure->entries, struct failure_entry, link) {
		int64_t heard = heard_us(failure, other, scope);
		int64_t silence_us = now_us - heard;
		bool silent = silence_us >= ms(FAILURE_GONE_TIMEOUT_MS);
		bool same = strcmp(other->member.failure_domain,
				entry->member.failure_domain) == 0;

		/* What was gone long before did not fall silent now. */
		if (heard == 0 ||
		    silence_us >= 2 * ms(FAILURE_MASS_SILENCE_TIMEOUT_MS))
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
entry_verdict(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope, int64_t now_us)
{
	int64_t silence_us = now_us - heard_us(failure, entry, scope);

	if (silence_us < ms(FAILURE_SUSPECT_TIMEOUT_MS))
		return FAILURE_ALIVE;
	if (silence_us < ms(FAILURE_GONE_TIMEOUT_MS))
		return FAILURE_SUSPECT;
	if (silence_us < ms(FAILURE_MASS_SILENCE_TIMEOUT_MS) &&
	    is_common_silence(failure, entry, scope, now_us))
		return FAILURE_SUSPECT;
	return FAILURE_GONE;
}

enum failure_verdict
entry_verdict_any(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	return entry_verdict(failure, entry, SCOPE_ANY, now_us);
}

enum failure_verdict
failure_verdict(
    const struct failure_detector *failure, const char *vm, int64_t now_us)
{
	const struct failure_entry *entry = entry_find(failure, vm);

	if (strcmp(failure->self.vm, vm) == 0)
		return FAILURE_ALIVE;
	if (entry == NULL)
		return FAILURE_UNKNOWN;
	return entry_verdict_any(failure, entry, now_us);
}

bool
failure_member_status(const struct failure_detector *failure, const char *vm,
    int64_t now_us, struct failure_member_status *sign)
{
	const struct failure_entry *entry = entry_find(failure, vm);

	if (entry == NULL)
		return false;
	sign->verdict = entry_verdict(failure, entry, SCOPE_ANY, now_us);
	sign->last_heard_us = sign->verdict == FAILURE_GONE
	    ? heard_us(failure, entry, SCOPE_ANY)
	    : now_us;
	sign->member = entry->member;
	return true;
}

void
failure_for_each_member(const struct failure_detector *failure,
    void (*each)(void *context, const struct message_member *member),
    void *context)
{
	list_for_each (entry, &failure->entries, struct failure_entry, link)
		each(context, &entry->member);
}

/* ---- changes ---- */

static void
count_return(
    struct failure_entry *entry, enum failure_verdict verdict, int64_t now_us)
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
is_known(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	if (is_own_domain(failure, entry) &&
	    entry->last_message_us < failure->heartbeats_since_us)
		return now_us - failure->heartbeats_since_us >=
		    ms(FAILURE_GONE_TIMEOUT_MS);
	return heard_us(failure, entry, SCOPE_FIRST_HAND) != 0;
}

/* Compares what a brief item leaves out. */
static bool
is_same_but_brief(
    const struct message_member *a, const struct message_member *b)
{
	return strcmp(a->address, b->address) == 0 && a->port == b->port &&
	    strcmp(a->peer_address, b->peer_address) == 0 &&
	    a->peer_port == b->peer_port &&
	    strcmp(a->failure_domain, b->failure_domain) == 0 &&
	    strcmp(a->region, b->region) == 0 &&
	    a->incarnation == b->incarnation && a->draining == b->draining &&
	    a->log_unreachable == b->log_unreachable;
}

/* Returns whether a brief item has news that are due. */
static bool
is_brief_due(const struct message_member *member,
    const struct message_member *shown, int64_t shown_us, int64_t now_us)
{
	return (member->config_version != shown->config_version ||
		   member->owned_shards != shown->owned_shards) &&
	    now_us - shown_us >= ms(FAILURE_PARTIAL_UPDATE_INTERVAL_MS);
}

static void
number_own_change(struct failure_detector *failure, int64_t now_us)
{
	if (failure->self_published_version != 0 &&
	    is_same_but_brief(&failure->self, &failure->self_published) &&
	    !is_brief_due(&failure->self, &failure->self_published,
		failure->self_published_us, now_us))
		return;
	failure->self_published = failure->self;
	failure->self_published_us = now_us;
	failure->self_published_version = ++failure->version;
}

static void
number_change(struct failure_detector *failure, struct failure_entry *entry,
    int64_t now_us)
{
	struct message_member *member = &entry->member;
	bool whole;

	if (!is_known(failure, entry, now_us))
		return;
	member->gone = entry_verdict(failure, entry, SCOPE_FIRST_HAND,
			   now_us) == FAILURE_GONE;
	whole = entry->published_version == 0 ||
	    !is_same_but_brief(member, &entry->published);
	if (!whole && member->gone == entry->published.gone &&
	    !is_brief_due(
		member, &entry->published, entry->published_us, now_us))
		return;
	entry->published = *member;
	entry->published_us = now_us;
	entry->published_version = ++failure->version;
	if (whole)
		entry->published_full_version = entry->published_version;
}

static bool
is_first_of_domain(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	list_for_each (other, &failure->entries, struct failure_entry, link) {
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
count_domains(const struct failure_detector *failure, int64_t now_us)
{
	size_t count = 1; /* our own */

	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		count += !is_own_domain(failure, entry) &&
		    entry_verdict(failure, entry, SCOPE_ANY, now_us) !=
			FAILURE_GONE &&
		    is_first_of_domain(failure, entry, now_us);
	}
	return count;
}

/* One a tick is enough. */
static void
forget_unlisted(struct failure_detector *failure, int64_t now_us)
{
	const int64_t forget_us = (int64_t)FORGET_S * US_PER_S;

	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (entry->listed || !entry->was_gone ||
		    now_us - heard_us(failure, entry, SCOPE_ANY) <= forget_us)
			continue;
		entry_remove(failure, entry);
		return;
	}
}

void
failure_update_members(struct failure_detector *failure, int64_t now_us)
{
	if (failure->started_us == 0)
		failure->started_us = now_us;
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		count_return(entry,
		    entry_verdict(failure, entry, SCOPE_ANY, now_us), now_us);
		number_change(failure, entry, now_us);
	}
	number_own_change(failure, now_us);
	failure->domain_count = count_domains(failure, now_us);
	forget_unlisted(failure, now_us);
}
