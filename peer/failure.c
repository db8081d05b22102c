#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "peer/failure_table.h"

static bool
is_self(const struct failure_detector *failure, const char *vm)
{
	return strcmp(failure->self.vm, vm) == 0;
}

static bool
is_own_domain(
    const struct failure_detector *failure, const struct failure_entry *entry)
{
	return strcmp(failure->self.failure_domain,
		   entry->member.failure_domain) == 0;
}

struct failure_detector *
failure_create(const struct message_member *self)
{
	struct failure_detector *failure = xcalloc(1, sizeof(*failure));

	failure->self = *self;
	list_init(&failure->entries);
	return failure;
}

void
failure_destroy(struct failure_detector *failure)
{
	if (failure == NULL)
		return;
	HASH_CLEAR(hh, failure->by_vm);
	list_for_each_safe (
	    entry, tmp, &failure->entries, struct failure_entry, link)
		free(entry);
	free(failure);
}

void
failure_set_self(
    struct failure_detector *failure, const struct message_member *self)
{
	failure->self = *self;
}

/* Takes over a member's description from a heartbeat or view. */
static void
update_entry(struct failure_entry *entry, const struct message_member *member)
{
	bool gone = entry->member.gone;

	if (member->partial) {
		entry->member.config_version = member->config_version;
		entry->member.owned_shards = member->owned_shards;
		return;
	}
	entry->member = *member;
	entry->member.gone = gone;
}

void
failure_handle_listed(struct failure_detector *failure,
    const struct message_member *member, int64_t now_us)
{
	struct failure_entry *entry = entry_find(failure, member->vm);

	if (is_self(failure, member->vm))
		return;
	if (entry == NULL) {
		entry = entry_add(failure, member->vm);
		update_entry(entry, member);
		entry->listed_us = now_us;
		entry->returned_us = now_us;
	}
	entry->listed = true;
}

void
failure_handle_unlisted(struct failure_detector *failure, const char *vm)
{
	struct failure_entry *entry = entry_find(failure, vm);

	if (entry != NULL)
		entry->listed = false;
}

/* Returns the entry of a message's sender; adds it if it is new. */
static struct failure_entry *
record_message(struct failure_detector *failure, const struct message *message,
    int64_t now_us)
{
	struct failure_entry *entry = entry_find(failure, message->sender);

	if (entry == NULL) {
		entry = entry_add(failure, message->sender);
		entry->returned_us = now_us;
	}
	entry->last_message_us = now_us;
	return entry;
}

static void
handle_ack(struct failure_detector *failure, struct failure_entry *entry,
    uint64_t incarnation, uint64_t version)
{
	bool is_for_self = incarnation == failure->self.incarnation;

	entry->acked_version = is_for_self ? version : 0;
}

static void
handle_heartbeat(struct failure_detector *failure, struct failure_entry *entry,
    const struct message_heartbeat *heartbeat, int64_t now_us)
{
	update_entry(entry, &heartbeat->self);
	entry->last_heartbeat_us = now_us;
	if (failure->heartbeats_since_us == 0 ||
	    now_us - failure->last_heartbeat_us >
		(int64_t)FAILURE_GONE_TIMEOUT_MS * US_PER_MS)
		failure->heartbeats_since_us = now_us;
	failure->last_heartbeat_us = now_us;
	handle_ack(failure, entry, heartbeat->acked_incarnation,
	    heartbeat->acked_version);
}

/* Returns whether a view may update the description of a member. Descriptions
 * from views are ignored while heartbeats of the member come in. Second-hand
 * ones are also ignored while first-hand views of it come in, since they may be
 * an older description that this VM has passed on itself. */
static bool
should_update(const struct failure_entry *entry,
    const struct view_source *view_source, int64_t now_us)
{
	int64_t cutoff_us =
	    now_us - (int64_t)FAILURE_GONE_TIMEOUT_MS * US_PER_MS;

	if (entry->last_heartbeat_us != 0 &&
	    entry->last_heartbeat_us > cutoff_us)
		return false;
	if (view_source->first_hand)
		return true;
	for (size_t i = 0; i < FAILURE_VIEW_SOURCES; i++) {
		if (entry->view_sources[i].first_hand &&
		    entry->view_sources[i].last_view_us > cutoff_us)
			return false;
	}
	return true;
}

static void
handle_view_member(struct failure_detector *failure,
    const struct failure_entry *sender, const struct message_member *member,
    int64_t now_us)
{
	struct failure_entry *entry = entry_find(failure, member->vm);
	struct view_source *view_source;
	const char *domain;

	if (member->vm[0] == '\0' || is_self(failure, member->vm))
		return;
	if (entry == NULL) {
		if (member->partial)
			return;
		entry = entry_add(failure, member->vm);
		entry->returned_us = now_us;
	}
	view_source = entry_view_source(entry, sender, true);
	domain = member->partial ? entry->member.failure_domain
				 : member->failure_domain;
	view_source->first_hand =
	    strcmp(sender->member.failure_domain, domain) == 0;
	view_source->gone = member->gone;
	view_source->last_heard_us = now_us;
	/* The sender has already waited for the timeout, so this VM does not
	 * wait for it again. */
	if (member->gone)
		view_source->last_heard_us -=
		    (int64_t)FAILURE_MASS_SILENCE_TIMEOUT_MS * US_PER_MS;
	if (should_update(entry, view_source, now_us))
		update_entry(entry, member);
}

static void
handle_view(struct failure_detector *failure, struct failure_entry *sender,
    const struct message_view *view, int64_t now_us)
{
	if (sender->received_incarnation != view->incarnation) {
		sender->received_incarnation = view->incarnation;
		sender->received_version = 0;
	}
	handle_ack(
	    failure, sender, view->acked_incarnation, view->acked_version);
	for (size_t i = 0; i < view->member_count; i++)
		handle_view_member(failure, sender, &view->members[i], now_us);
	if (view->base_version <= sender->received_version)
		sender->received_version = view->version;
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		struct view_source *view_source =
		    entry_view_source(entry, sender, false);

		if (view_source == NULL)
			continue;
		view_source->last_view_us = now_us;
		if (!view_source->gone)
			view_source->last_heard_us = now_us;
	}
}

void
failure_handle_message(struct failure_detector *failure,
    const struct message *message, int64_t now_us)
{
	struct failure_entry *entry;

	if (is_self(failure, message->sender))
		return;
	if (message->type == MESSAGE_HEARTBEAT &&
	    strcmp(message->heartbeat.self.vm, message->sender) != 0)
		return;
	entry = record_message(failure, message, now_us);
	if (message->type == MESSAGE_HEARTBEAT)
		handle_heartbeat(failure, entry, &message->heartbeat, now_us);
	else if (message->type == MESSAGE_VIEW)
		handle_view(failure, entry, &message->view, now_us);
}

static void
send_heartbeat(struct failure_detector *failure, const struct failure_entry *to,
    failure_send send, void *context)
{
	struct message message = {
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat =
		{
		    .self = failure->self,
		    .acked_incarnation = to->received_incarnation,
		    .acked_version = to->received_version,
		},
	};

	send(context, to->member.vm, &message);
}

/* Returns a member's published description: a partial one if the receiver has
 * acknowledged the last full one. */
static struct message_member
describe_member(
    const struct failure_entry *entry, const struct failure_entry *to)
{
	struct message_member partial = {
	    .config_version = entry->published.config_version,
	    .owned_shards = entry->published.owned_shards,
	    .gone = entry->published.gone,
	    .partial = true,
	};

	if (entry->published_full_version > to->acked_version)
		return entry->published;
	memcpy(partial.vm, entry->published.vm, sizeof(partial.vm));
	return partial;
}

static void
send_view(struct failure_detector *failure, const struct failure_entry *to,
    const struct message_view *view_template, failure_send send, void *context)
{
	struct message message = {.type = MESSAGE_VIEW, .view = *view_template};
	struct message_view *view = &message.view;
	struct message_member *members =
	    xcalloc(list_length(&failure->entries) + 2, sizeof(*members));
	bool same_domain = is_own_domain(failure, to);

	view->members = members;
	view->member_count = 0;
	if (failure->self_published_version > to->acked_version)
		members[view->member_count++] = failure->self;
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (entry->published_version > to->acked_version &&
		    entry != to &&
		    (same_domain || is_own_domain(failure, entry)))
			members[view->member_count++] =
			    describe_member(entry, to);
	}
	view->incarnation = failure->self.incarnation;
	view->base_version = to->acked_version;
	view->version = failure->version;
	view->acked_incarnation = to->received_incarnation;
	view->acked_version = to->received_version;
	send(context, to->member.vm, &message);
	free(members);
}

/* Returns whether a VM is the relay or the standby of its failure domain. */
static bool
is_relay_or_standby(const struct failure_detector *failure,
    const struct message_member *member, int64_t now_us)
{
	char vm[NAME_BYTES];

	for (size_t choice = 0; choice < FAILURE_RELAYS_PER_DOMAIN; choice++) {
		if (failure_relay(
			failure, member->failure_domain, choice, now_us, vm) &&
		    strcmp(vm, member->vm) == 0)
			return true;
	}
	return false;
}

/* Returns whether a member gets views: if it sends heartbeats to this VM, or if
 * it and this VM are relays or standbys of different failure domains. */
static bool
should_send_view(const struct failure_detector *failure,
    const struct failure_entry *entry, bool self_is_relay, int64_t now_us)
{
	if (entry->last_heartbeat_us != 0 &&
	    now_us - entry->last_heartbeat_us <=
		(int64_t)FAILURE_GONE_TIMEOUT_MS * US_PER_MS)
		return true;
	return self_is_relay && !is_own_domain(failure, entry) &&
	    is_relay_or_standby(failure, &entry->member, now_us);
}

static void
send_heartbeats_and_views(struct failure_detector *failure, int64_t now_us,
    const struct message_view *view_template, failure_send send, void *context)
{
	bool self_is_relay =
	    is_relay_or_standby(failure, &failure->self, now_us);
	char vm[NAME_BYTES];

	for (size_t choice = 0; choice < FAILURE_RELAYS_PER_DOMAIN; choice++) {
		if (!failure_relay(failure, failure->self.failure_domain,
			choice, now_us, vm) ||
		    is_self(failure, vm))
			continue;
		send_heartbeat(failure, entry_find(failure, vm), send, context);
	}
	list_for_each (entry, &failure->entries, struct failure_entry, link) {
		if (should_send_view(failure, entry, self_is_relay, now_us))
			send_view(failure, entry, view_template, send, context);
	}
}

void
failure_tick(struct failure_detector *failure, int64_t now_us,
    const struct message_view *view_template, failure_send send, void *context)
{
	if (now_us < failure->next_us)
		return;
	failure->next_us =
	    now_us + (int64_t)FAILURE_HEARTBEAT_INTERVAL_MS * US_PER_MS;
	failure_update_members(failure, now_us);
	send_heartbeats_and_views(
	    failure, now_us, view_template, send, context);
}

int64_t
failure_next_us(const struct failure_detector *failure)
{
	return failure->next_us;
}
