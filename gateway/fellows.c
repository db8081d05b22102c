#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "gateway/fellows_internal.h"
#include "gateway/ownership.h"
#include "gateway/quarantine.h"
#include "gateway/recorder.h"
#include "gateway/turn.h"

enum {
	SILENCE_US = 1500 * US_PER_MS,      /* that means a gateway is gone */
	PEER_SILENCE_US = 1200 * US_PER_MS, /* of unacknowledged bytes */
	PEER_QUEUE_MESSAGES = 1000,
};

/** A message of this gateway to itself. */
struct letter {
	struct list link;
	struct buf wire;
};

static void handle_message(void *context, const struct message *message);

const char *
fellows_own_vm(const struct fellows *fellows)
{
	return fellows->gateway->settings.vm_name;
}

void
fellows_own_name(const struct fellows *fellows, char name[FELLOW_NAME_BYTES])
{
	const struct settings *settings = &fellows->gateway->settings;

	snprintf(name, FELLOW_NAME_BYTES, "%.63s@%.63s", settings->vm_name,
	    settings->gateway_peers);
}

/* ---- the table ---- */

static struct fellow *
find_fellow(const struct fellows *fellows, const char *vm)
{
	for (size_t i = 0; i < fellows->members.count; i++) {
		if (strcmp(fellows->items[i].vm, vm) == 0)
			return &fellows->items[i];
	}
	return NULL;
}

struct member *
fellow_member(struct fellows *fellows, const struct fellow *fellow)
{
	return &fellows->members.items[fellow - fellows->items];
}

struct fellow *
fellow_add(struct fellows *fellows, const char *vm, int64_t now_us)
{
	struct fellow *fellow = find_fellow(fellows, vm);
	struct member *member;

	if (fellow != NULL)
		return fellow;
	member = members_add(&fellows->members, vm);
	member->added_us = now_us;
	fellows->items = xrealloc(
	    fellows->items, fellows->members.count * sizeof(*fellows->items));
	fellow = &fellows->items[fellows->members.count - 1];
	*fellow = (struct fellow){0};
	snprintf(fellow->vm, sizeof(fellow->vm), "%s", vm);
	fellow->hash = hash_text(vm, 0);
	return fellow;
}

static void
set_address(struct fellows *fellows, struct member *member, const char *address,
    int port)
{
	snprintf(member->peer_address, sizeof(member->peer_address), "%.63s",
	    address);
	member->peer_port = port;
	fellows_forget_seed(fellows, address, port);
	peer_set_address(fellows->peer, member->vm, address, port);
}

bool
fellows_learn(struct fellows *fellows, const char *name, char vm[NAME_BYTES])
{
	const char *at = strchr(name, '@');
	char address[SETTING_BYTES];
	struct fellow *fellow;
	int port;

	if (at == NULL || (size_t)(at - name) >= NAME_BYTES ||
	    strchr(at, ':') == NULL)
		return false;
	snprintf(vm, NAME_BYTES, "%.*s", (int)(at - name), name);
	if (strcmp(vm, fellows_own_vm(fellows)) == 0)
		return true;
	settings_split_endpoint(at + 1, address, &port);
	fellow = fellow_add(fellows, vm, clock_monotonic_us());
	set_address(fellows, fellow_member(fellows, fellow), address, port);
	return true;
}

void
fellow_describe(struct fellows *fellows, struct fellow *fellow,
    const struct message_member *self)
{
	struct member *member = fellow_member(fellows, fellow);

	snprintf(fellow->callers, sizeof(fellow->callers), "%s:%u",
	    self->address, (unsigned)self->port);
	memcpy(member->failure_domain, self->failure_domain, NAME_BYTES);
	memcpy(member->region, self->region, NAME_BYTES);
	set_address(fellows, member, self->peer_address, (int)self->peer_port);
	fellow->incarnation = self->incarnation;
}

bool
fellow_is_live(const struct member *member)
{
	return member_state(member, clock_monotonic_us()) != MEMBER_GONE;
}

bool
fellows_is_live(const struct fellows *fellows, const char *vm)
{
	const struct fellow *fellow = find_fellow(fellows, vm);

	return fellow != NULL &&
	    fellow_is_live(&fellows->members.items[fellow - fellows->items]);
}

bool
fellow_is_near(const struct fellows *fellows, const struct member *member)
{
	return strcmp(member->failure_domain,
		   fellows->gateway->settings.failure_domain) == 0;
}

/* ---- owners of partitions ---- */

const char *
fellows_owner(const struct fellows *fellows, uint32_t part)
{
	const char *vm = fellows->owners[part].vm;

	return vm[0] != '\0' ? vm : NULL;
}

void
fellows_set_owner(struct fellows *fellows, uint32_t part, const char *vm)
{
	if (part >= SETTINGS_PARTITIONS_MAX)
		return;
	snprintf(fellows->owners[part].vm, NAME_BYTES, "%s", vm);
}

void
fellows_forget_owner(struct fellows *fellows, uint32_t part)
{
	fellows->owners[part].vm[0] = '\0';
}

void
fellows_take_owned(struct fellows *fellows, const char *vm, uint64_t generation,
    uint64_t owned)
{
	for (uint32_t part = 0; part < SETTINGS_PARTITIONS_MAX; part++) {
		struct partition_owner *owner = &fellows->owners[part];
		bool owns = (owned >> part & 1) != 0;

		if (generation < owner->generation)
			continue;
		if (owns)
			ownership_heard_claim(
			    fellows->gateway->ownership, part, generation);
		if (owns) {
			snprintf(owner->vm, NAME_BYTES, "%s", vm);
			owner->generation = generation;
		} else if (strcmp(owner->vm, vm) == 0) {
			owner->vm[0] = '\0';
		}
	}
}

/* ---- messages ---- */

static void
deliver_letter(struct fellows *fellows, struct letter *letter)
{
	struct message message;
	struct error err = {0};

	list_remove(&letter->link);
	if (message_decode(
		letter->wire.data, letter->wire.len, &message, &err)) {
		handle_message(fellows, &message);
		message_reset(&message);
	}
	buf_reset(&letter->wire);
	free(letter);
}

static void
handle_deliver(uv_idle_t *idle)
{
	struct fellows *fellows = idle->data;
	struct list *item;

	while ((item = list_take(&fellows->letters)) != NULL)
		deliver_letter(fellows, list_entry(item, struct letter, link));
	uv_idle_stop(idle);
}

/* Messages to itself arrive like those of others, not within the sending. */
static void
send_to_self(struct fellows *fellows, struct message *message)
{
	struct letter *letter = xcalloc(1, sizeof(*letter));

	snprintf(message->sender, NAME_BYTES, "%.63s", fellows_own_vm(fellows));
	message_encode(message, &letter->wire);
	list_append(&fellows->letters, &letter->link);
	uv_idle_start(fellows->deliver, handle_deliver);
}

bool
fellows_send(struct fellows *fellows, const char *vm, struct message *message)
{
	if (strcmp(vm, fellows_own_vm(fellows)) == 0) {
		send_to_self(fellows, message);
		return true;
	}
	return peer_send(fellows->peer, vm, message) == PEER_QUEUED;
}

void
fellows_broadcast(struct fellows *fellows, struct message *message)
{
	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct member *member = &fellows->members.items[i];

		if (fellow_is_live(member))
			fellows_send(fellows, member->vm, message);
	}
}

static void
handle_message(void *context, const struct message *message)
{
	struct fellows *fellows = context;
	struct gateway *gateway = fellows->gateway;

	switch (message->type) {
	case MESSAGE_PULSE:
		fellows_handle_pulse(fellows, message);
		return;
	case MESSAGE_TURN_BEGIN:
	case MESSAGE_TURN_END:
	case MESSAGE_TURN_FIND:
		ownership_handle_message(gateway->ownership, message);
		return;
	case MESSAGE_TURN_GRANTED:
	case MESSAGE_TURN_ENDED:
	case MESSAGE_TURN_FOUND:
	case MESSAGE_HISTORY_GET:
	case MESSAGE_HISTORY:
		turns_handle_message(gateway->turns, message);
		return;
	case MESSAGE_DECLARED_GET:
		config_watch_give(gateway->config_watch, message->sender);
		return;
	case MESSAGE_DECLARED:
		config_watch_offer(gateway->config_watch,
		    message->declared.data.data, message->declared.data.len,
		    message->sender);
		return;
	case MESSAGE_SERVERS_GET:
		server_watch_give(gateway->server_watch, message->sender);
		return;
	case MESSAGE_SERVERS:
		server_watch_take(gateway->server_watch, message);
		return;
	case MESSAGE_CRASHED:
		quarantine_take(gateway->quarantine, &message->crashed);
		return;
	case MESSAGE_STORE:
	case MESSAGE_STORED:
		recorder_handle_message(gateway->recorder, message);
		return;
	default:
		return;
	}
}

const char *
fellows_relay(struct fellows *fellows)
{
	const char *best = NULL;
	bool best_near = false;
	size_t count = fellows->members.count;

	fellows->relay_turn++;
	for (size_t i = 0; i < count; i++) {
		size_t at = (i + fellows->relay_turn) % count;
		const struct member *member = &fellows->members.items[at];
		bool near = fellow_is_near(fellows, member);

		if (member->heard_us == 0 || !fellow_is_live(member) ||
		    fellows->items[at].store_lost || (best != NULL && !near) ||
		    (best != NULL && best_near))
			continue;
		best = member->vm;
		best_near = near;
	}
	return best;
}

/* ---- where callers go ---- */

enum distance {
	SAME_DOMAIN,
	SAME_REGION,
	ANYWHERE,
	DISTANCES,
};

static enum distance
distance_of(const char *domain, const char *region, const char *from_domain,
    const char *from_region)
{
	if (strcmp(domain, from_domain) == 0)
		return SAME_DOMAIN;
	return strcmp(region, from_region) == 0 ? SAME_REGION : ANYWHERE;
}

size_t
fellows_addresses(struct fellows *fellows, const char *failure_domain,
    const char *region, const char **addresses, size_t max)
{
	const struct gateway *gateway = fellows->gateway;
	const struct settings *settings = &gateway->settings;
	int64_t now_us = clock_monotonic_us();
	size_t count = 0;

	for (int reach = SAME_DOMAIN; reach < DISTANCES && count == 0;
	     reach++) {
		if (!gateway->board.stopping &&
		    (int)distance_of(settings->failure_domain, settings->region,
			failure_domain, region) <= reach)
			addresses[count++] = settings->gateway_callers;
		for (size_t i = 0; i < fellows->members.count && count < max;
		     i++) {
			const struct member *member =
			    &fellows->members.items[i];

			if (member_state(member, now_us) == MEMBER_LIVE &&
			    fellows->items[i].callers[0] != '\0' &&
			    (int)distance_of(member->failure_domain,
				member->region, failure_domain,
				region) <= reach)
				addresses[count++] = fellows->items[i].callers;
		}
	}
	return count;
}

/* ---- start and end ---- */

struct fellows *
fellows_create(struct gateway *gateway, struct error *err)
{
	struct fellows *fellows = xcalloc(1, sizeof(*fellows));
	char address[SETTING_BYTES];
	struct peer_options options = {
	    .vm = gateway->settings.vm_name,
	    .address = address,
	    .secret_key_file = gateway->settings.peer_secret_key_file,
	    .queue_messages = PEER_QUEUE_MESSAGES,
	    .silence_us = PEER_SILENCE_US,
	    .counters = &gateway->counters,
	    .handler = handle_message,
	    .handler_context = fellows,
	};

	settings_split_endpoint(
	    gateway->settings.gateway_peers, address, &options.port);
	fellows->gateway = gateway;
	fellows->incarnation = rng_next(&gateway->rng);
	fellows->members.silence_us = SILENCE_US;
	fellows->peer = peer_create(&gateway->loop, &options, err);
	if (fellows->peer == NULL) {
		free(fellows);
		return NULL;
	}
	list_init(&fellows->letters);
	fellows->deliver = xcalloc(1, sizeof(*fellows->deliver));
	uv_idle_init(&gateway->loop, fellows->deliver);
	fellows->deliver->data = fellows;
	fellows->timer = xcalloc(1, sizeof(*fellows->timer));
	uv_timer_init(&gateway->loop, fellows->timer);
	fellows->timer->data = fellows;
	fellows->enrol_timer = xcalloc(1, sizeof(*fellows->enrol_timer));
	uv_timer_init(&gateway->loop, fellows->enrol_timer);
	fellows->enrol_timer->data = fellows;
	return fellows;
}

void
fellows_start(struct fellows *fellows)
{
	fellows_start_pulses(fellows);
	fellows_enrol(fellows);
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
fellows_destroy(struct fellows *fellows)
{
	if (fellows->enrol != NULL)
		store_cancel(fellows->enrol);
	list_for_each_safe (
	    letter, tmp, &fellows->letters, struct letter, link) {
		buf_reset(&letter->wire);
		free(letter);
	}
	uv_close((uv_handle_t *)fellows->deliver, handle_closed);
	uv_close((uv_handle_t *)fellows->timer, handle_closed);
	uv_close((uv_handle_t *)fellows->enrol_timer, handle_closed);
	peer_destroy(fellows->peer);
	for (size_t i = 0; i < fellows->members.count; i++)
		free(fellows->items[i].loads);
	free(fellows->items);
	members_reset(&fellows->members);
	free(fellows);
}
