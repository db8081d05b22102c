#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "peer/failure_table.h"

static bool
is_self(const struct failure *failure, const char *vm)
{
	return strcmp(failure->self.vm, vm) == 0;
}

static bool
is_own_domain(const struct failure *failure, const struct entry *entry)
{
	return strcmp(failure->self.failure_domain,
		   entry->member.failure_domain) == 0;
}

struct failure *
failure_create(const struct message_member *self)
{
	struct failure *failure = xcalloc(1, sizeof(*failure));

	failure->self = *self;
	list_init(&failure->entries);
	return failure;
}

void
failure_destroy(struct failure *failure)
{
	if (failure == NULL)
		return;
	HASH_CLEAR(hh, failure->by_vm);
	list_for_each_safe (entry, tmp, &failure->entries, struct entry, link)
		free(entry);
	free(failure);
}

void
failure_set_self(struct failure *failure, const struct message_member *self)
{
	failure->self = *self;
}

/* ---- signs of life ---- */

static void
learn(struct entry *entry, const struct message_member *member)
{
	bool gone = entry->member.gone;

	entry->member = *member;
	entry->member.gone = gone;
}

void
failure_handle_listed(struct failure *failure,
    const struct message_member *member, int64_t now_us)
{
	struct entry *entry = entry_find(failure, member->vm);

	if (is_self(failure, member->vm))
		return;
	if (entry == NULL) {
		entry = entry_add(failure, member->vm);
		learn(entry, member);
		entry->introduced_us = now_us;
		entry->returned_us = now_us;
	}
	entry->listed = true;
}

void
failure_handle_unlisted(struct failure *failure, const char *vm)
{
	struct entry *entry = entry_find(failure, vm);

	if (entry != NULL)
		entry->listed = false;
}

static struct entry *
entry_heard(
    struct failure *failure, const struct message *message, int64_t now_us)
{
	struct entry *entry = entry_find(failure, message->sender);

	if (entry == NULL) {
		entry = entry_add(failure, message->sender);
		entry->returned_us = now_us;
	}
	entry->direct_us = now_us;
	return entry;
}

static void
take_acknowledgement(struct failure *failure, struct entry *entry,
    uint64_t incarnation, uint64_t number)
{
	bool mine = incarnation == failure->self.incarnation;

	entry->acknowledged = mine ? number : 0;
}

static void
handle_hello(struct failure *failure, struct entry *entry,
    const struct message_hello *hello, int64_t now_us)
{
	learn(entry, &hello->self);
	entry->hello_us = now_us;
	if (failure->serving_us == 0 ||
	    now_us - failure->hello_us > (int64_t)FAILURE_GONE_MS * US_PER_MS)
		failure->serving_us = now_us;
	failure->hello_us = now_us;
	take_acknowledgement(
	    failure, entry, hello->view_incarnation, hello->view_seen);
}

/* Returns whether what others say of a member is news: a daemon that hears
 * from the member, or from its failure domain, does not take it back from
 * those whom it tells itself. */
static bool
is_news(
    const struct entry *entry, const struct voucher *voucher, int64_t now_us)
{
	int64_t fresh_us = now_us - (int64_t)FAILURE_GONE_MS * US_PER_MS;

	if (entry->hello_us != 0 && entry->hello_us > fresh_us)
		return false;
	if (voucher->first_hand)
		return true;
	for (size_t i = 0; i < FAILURE_VOUCHERS; i++) {
		if (entry->vouchers[i].first_hand &&
		    entry->vouchers[i].told_us > fresh_us)
			return false;
	}
	return true;
}

static void
handle_view_item(struct failure *failure, const struct entry *sender,
    const struct message_member *member, int64_t now_us)
{
	struct entry *entry = entry_find(failure, member->vm);
	struct voucher *voucher;

	if (member->vm[0] == '\0' || is_self(failure, member->vm))
		return;
	if (entry == NULL) {
		entry = entry_add(failure, member->vm);
		entry->returned_us = now_us;
	}
	voucher = entry_voucher(entry, sender, true);
	voucher->first_hand =
	    strcmp(sender->member.failure_domain, member->failure_domain) == 0;
	voucher->gone = member->gone;
	voucher->heard_us = now_us;
	/* Its sender has waited for us already. */
	if (member->gone)
		voucher->heard_us -= (int64_t)FAILURE_HOLD_MS * US_PER_MS;
	if (is_news(entry, voucher, now_us))
		learn(entry, member);
}

static void
handle_view(struct failure *failure, struct entry *sender,
    const struct message_view *view, int64_t now_us)
{
	if (sender->view_incarnation != view->incarnation) {
		sender->view_incarnation = view->incarnation;
		sender->view_seen = 0;
	}
	take_acknowledgement(
	    failure, sender, view->view_incarnation, view->view_seen);
	for (size_t i = 0; i < view->member_count; i++)
		handle_view_item(failure, sender, &view->members[i], now_us);
	if (view->base <= sender->view_seen)
		sender->view_seen = view->number;
	list_for_each (entry, &failure->entries, struct entry, link) {
		struct voucher *voucher = entry_voucher(entry, sender, false);

		if (voucher == NULL)
			continue;
		voucher->told_us = now_us;
		if (!voucher->gone)
			voucher->heard_us = now_us;
	}
}

void
failure_handle_message(
    struct failure *failure, const struct message *message, int64_t now_us)
{
	struct entry *entry;

	if (is_self(failure, message->sender))
		return;
	if (message->type == MESSAGE_HELLO &&
	    strcmp(message->hello.self.vm, message->sender) != 0)
		return;
	entry = entry_heard(failure, message, now_us);
	if (message->type == MESSAGE_HELLO)
		handle_hello(failure, entry, &message->hello, now_us);
	else if (message->type == MESSAGE_VIEW)
		handle_view(failure, entry, &message->view, now_us);
}

/* ---- sending ---- */

static void
send_hello(struct failure *failure, const struct entry *to, failure_send send,
    void *context)
{
	struct message message = {
	    .type = MESSAGE_HELLO,
	    .hello =
		{
		    .self = failure->self,
		    .view_incarnation = to->view_incarnation,
		    .view_seen = to->view_seen,
		},
	};

	send(context, to->member.vm, &message);
}

static void
send_view(struct failure *failure, const struct entry *to,
    const struct message_view *news, failure_send send, void *context)
{
	struct message message = {.type = MESSAGE_VIEW, .view = *news};
	struct message_view *view = &message.view;
	struct message_member *members =
	    xcalloc(list_length(&failure->entries) + 1, sizeof(*members));
	bool same_domain = is_own_domain(failure, to);

	view->members = members;
	view->member_count = 0;
	list_for_each (entry, &failure->entries, struct entry, link) {
		if (entry->changed > to->acknowledged && entry != to &&
		    (same_domain || is_own_domain(failure, entry)))
			members[view->member_count++] = entry->member;
	}
	view->incarnation = failure->self.incarnation;
	view->base = to->acknowledged;
	view->number = failure->change;
	view->view_incarnation = to->view_incarnation;
	view->view_seen = to->view_seen;
	send(context, to->member.vm, &message);
	free(members);
}

/* Returns whether a VM is the relay or the standby of its domain. */
static bool
is_relay(const struct failure *failure, const struct message_member *member,
    int64_t now_us)
{
	char vm[NAME_BYTES];

	for (size_t choice = 0; choice < FAILURE_RELAYS; choice++) {
		if (failure_relay(
			failure, member->failure_domain, choice, now_us, vm) &&
		    strcmp(vm, member->vm) == 0)
			return true;
	}
	return false;
}

static bool
wants_view(const struct failure *failure, const struct entry *entry,
    bool self_is_relay, int64_t now_us)
{
	if (entry->hello_us != 0 &&
	    now_us - entry->hello_us <= (int64_t)FAILURE_GONE_MS * US_PER_MS)
		return true;
	return self_is_relay && !is_own_domain(failure, entry) &&
	    is_relay(failure, &entry->member, now_us);
}

static void
send_all(struct failure *failure, int64_t now_us,
    const struct message_view *news, failure_send send, void *context)
{
	bool self_is_relay = is_relay(failure, &failure->self, now_us);
	char vm[NAME_BYTES];

	for (size_t choice = 0; choice < FAILURE_RELAYS; choice++) {
		if (!failure_relay(failure, failure->self.failure_domain,
			choice, now_us, vm) ||
		    is_self(failure, vm))
			continue;
		send_hello(failure, entry_find(failure, vm), send, context);
	}
	list_for_each (entry, &failure->entries, struct entry, link) {
		if (wants_view(failure, entry, self_is_relay, now_us))
			send_view(failure, entry, news, send, context);
	}
}

void
failure_tick(struct failure *failure, int64_t now_us,
    const struct message_view *news, failure_send send, void *context)
{
	if (now_us < failure->next_us)
		return;
	failure->next_us = now_us + (int64_t)FAILURE_HELLO_MS * US_PER_MS;
	table_update(failure, now_us);
	send_all(failure, now_us, news, send, context);
}

int64_t
failure_next_us(const struct failure *failure)
{
	return failure->next_us;
}
