#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "peer/failure_table.h"

enum {
	/* Limit of the doubling of FAILURE_RELAY_PROBATION_MS. */
	MAX_COUNTED_RETURNS = 5,
	/* Time after which the returns of a stable VM are no longer counted,
	 * and after which a VM that is gone and not listed is removed. */
	FORGET_TIMEOUT_S = 300,
};

static int64_t
ms_to_us(int64_t value)
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
	uint64_t vm_hash = hash_text(sender->member.vm, 0) | 1;
	struct view_source *oldest = &entry->view_sources[0];

	for (size_t i = 0; i < FAILURE_VIEW_SOURCES; i++) {
		struct view_source *view_source = &entry->view_sources[i];

		if (view_source->vm_hash == vm_hash)
			return view_source;
		if (view_source->last_heard_us < oldest->last_heard_us)
			oldest = view_source;
	}
	if (!create)
		return NULL;
	*oldest = (struct view_source){.vm_hash = vm_hash};
	return oldest;
}

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

/** Signs of life that count towards a verdict. */
enum scope {
	SCOPE_ANY,
	/** Signs of life that may be passed on in views: for a member of this
	 * VM's failure domain, its messages to this VM; for other members,
	 * messages and views from their own domain. Otherwise two daemons
	 * could keep reporting a dead member as alive to each other. */
	SCOPE_FIRST_HAND,
};

/* Returns the last sign of life of a member of this VM's failure domain; 0:
 * none. While this VM is neither relay nor standby, the members send their
 * heartbeats to others, so silence counts from the time at which heartbeats
 * began to come in. */
static int64_t
own_domain_heard_us(
    const struct failure_detector *failure, const struct failure_entry *entry)
{
	return failure->heartbeats_since_us == 0
	    ? 0
	    : later(entry->last_message_us, failure->heartbeats_since_us);
}

/* Returns the time of a member's last sign of life; 0: none. */
static int64_t
last_heard_us(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope)
{
	int64_t last_us = entry->last_message_us;

	if (scope == SCOPE_FIRST_HAND && is_own_domain(failure, entry))
		return own_domain_heard_us(failure, entry);
	/* A listed VM is gone after FAILURE_FIRST_CONTACT_TIMEOUT_MS. */
	if (scope == SCOPE_ANY && entry->listed_us != 0)
		last_us = later(last_us,
		    entry->listed_us +
			ms_to_us(FAILURE_FIRST_CONTACT_TIMEOUT_MS -
			    FAILURE_GONE_TIMEOUT_MS));
	for (size_t i = 0; i < FAILURE_VIEW_SOURCES; i++) {
		if (scope == SCOPE_ANY || entry->view_sources[i].first_hand)
			last_us = later(
			    last_us, entry->view_sources[i].last_heard_us);
	}
	return last_us;
}

/* Returns whether others are silent along with a member: all members of its
 * failure domain, if it has several and is not this VM's, or more than half of
 * all members, if there are at least three. */
static bool
is_mass_silence(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope, int64_t now_us)
{
	size_t member_count = 0;
	size_t silent_count = 0;
	size_t domain_count = 0;
	size_t domain_silent_count = 0;

	list_for_each (other, &failure->entries, struct failure_entry, link) {
		int64_t last_us = last_heard_us(failure, other, scope);
		int64_t silence_us = now_us - last_us;
		bool silent = silence_us >= ms_to_us(FAILURE_GONE_TIMEOUT_MS);
		bool same_domain = strcmp(other->member.failure_domain,
				       entry->member.failure_domain) == 0;

		/* Members that were gone long before are not part of a mass
		 * silence. */
		if (last_us == 0 ||
		    silence_us >= 2 * ms_to_us(FAILURE_MASS_SILENCE_TIMEOUT_MS))
			continue;
		member_count++;
		silent_count += silent;
		domain_count += same_domain;
		domain_silent_count += same_domain && silent;
	}
	if (!is_own_domain(failure, entry) && domain_count > 1 &&
	    domain_silent_count == domain_count)
		return true;
	return member_count > 2 && 2 * silent_count > member_count;
}

static enum failure_verdict
entry_verdict(const struct failure_detector *failure,
    const struct failure_entry *entry, enum scope scope, int64_t now_us)
{
	int64_t silence_us = now_us - last_heard_us(failure, entry, scope);

	if (silence_us < ms_to_us(FAILURE_SUSPECT_TIMEOUT_MS))
		return FAILURE_ALIVE;
	if (silence_us < ms_to_us(FAILURE_GONE_TIMEOUT_MS))
		return FAILURE_SUSPECT;
	if (silence_us < ms_to_us(FAILURE_MASS_SILENCE_TIMEOUT_MS) &&
	    is_mass_silence(failure, entry, scope, now_us))
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
    int64_t now_us, struct failure_member_status *status)
{
	const struct failure_entry *entry = entry_find(failure, vm);

	if (entry == NULL)
		return false;
	status->verdict = entry_verdict(failure, entry, SCOPE_ANY, now_us);
	status->last_heard_us = status->verdict == FAILURE_GONE
	    ? last_heard_us(failure, entry, SCOPE_ANY)
	    : now_us;
	status->member = entry->member;
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

/* Counts how often a member was gone and returned. */
static void
count_return(
    struct failure_entry *entry, enum failure_verdict verdict, int64_t now_us)
{
	bool gone = verdict == FAILURE_GONE;

	if (entry->was_gone && !gone) {
		if (now_us - entry->returned_us >
		    (int64_t)FORGET_TIMEOUT_S * US_PER_S)
			entry->returns = 0;
		entry->returned_us = now_us;
		if (entry->returns < MAX_COUNTED_RETURNS)
			entry->returns++;
	}
	entry->was_gone = gone;
}

/* Returns whether enough is known first-hand to publish a member. A member of
 * this VM's failure domain that has been silent since heartbeats began to come
 * in is published only after FAILURE_GONE_TIMEOUT_MS. */
static bool
is_publishable(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us)
{
	if (is_own_domain(failure, entry) &&
	    entry->last_message_us < failure->heartbeats_since_us)
		return now_us - failure->heartbeats_since_us >=
		    ms_to_us(FAILURE_GONE_TIMEOUT_MS);
	return last_heard_us(failure, entry, SCOPE_FIRST_HAND) != 0;
}

/* Returns whether two descriptions agree in the fields that a partial update
 * leaves out. */
static bool
is_same_full_description(
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

/* Returns whether a partial update has changes and is due. */
static bool
is_partial_due(const struct message_member *member,
    const struct message_member *published, int64_t published_us,
    int64_t now_us)
{
	return (member->config_version != published->config_version ||
		   member->owned_shards != published->owned_shards) &&
	    now_us - published_us >=
	    ms_to_us(FAILURE_PARTIAL_UPDATE_INTERVAL_MS);
}

/* Gives the description of this VM a new version if it has changed. */
static void
publish_self(struct failure_detector *failure, int64_t now_us)
{
	if (failure->self_published_version != 0 &&
	    is_same_full_description(
		&failure->self, &failure->self_published) &&
	    !is_partial_due(&failure->self, &failure->self_published,
		failure->self_published_us, now_us))
		return;
	failure->self_published = failure->self;
	failure->self_published_us = now_us;
	failure->self_published_version = ++failure->version;
}

/* Gives the description of a member a new version if it has changed. */
static void
publish_member(struct failure_detector *failure, struct failure_entry *entry,
    int64_t now_us)
{
	struct message_member *member = &entry->member;
	bool full;

	if (!is_publishable(failure, entry, now_us))
		return;
	member->gone = entry_verdict(failure, entry, SCOPE_FIRST_HAND,
			   now_us) == FAILURE_GONE;
	full = entry->published_version == 0 ||
	    !is_same_full_description(member, &entry->published);
	if (!full && member->gone == entry->published.gone &&
	    !is_partial_due(
		member, &entry->published, entry->published_us, now_us))
		return;
	entry->published = *member;
	entry->published_us = now_us;
	entry->published_version = ++failure->version;
	if (full)
		entry->published_full_version = entry->published_version;
}

/* Returns whether no member of the same failure domain that precedes an entry
 * in the list is alive or suspect. */
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
	size_t count = 1; /* this VM's domain */

	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		count += !is_own_domain(failure, entry) &&
		    entry_verdict(failure, entry, SCOPE_ANY, now_us) !=
			FAILURE_GONE &&
		    is_first_of_domain(failure, entry, now_us);
	}
	return count;
}

/* Removes at most one member, which suffices as it runs at each tick. */
static void
forget_unlisted(struct failure_detector *failure, int64_t now_us)
{
	const int64_t forget_timeout_us = (int64_t)FORGET_TIMEOUT_S * US_PER_S;

	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (entry->listed || !entry->was_gone ||
		    now_us - last_heard_us(failure, entry, SCOPE_ANY) <=
			forget_timeout_us)
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
		publish_member(failure, entry, now_us);
	}
	publish_self(failure, now_us);
	failure->domain_count = count_domains(failure, now_us);
	forget_unlisted(failure, now_us);
}
