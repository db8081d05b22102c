#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/ownership.h"
#include "gateway/peer_gateways_internal.h"
#include "gateway/quarantine.h"
#include "gateway/recorder.h"
#include "gateway/server_limits.h"
#include "gateway/turn.h"
#include "gateway/workspace_caps.h"

enum {
	/* Time without a heartbeat after which a gateway counts as gone. */
	MEMBER_TIMEOUT_US = 1500 * US_PER_MS,
	/* Time for which bytes sent to a peer may stay unacknowledged. */
	PEER_ACK_TIMEOUT_US = 1200 * US_PER_MS,
	PEER_QUEUE_MESSAGES = 1000,
};

/** A message from this gateway to itself. */
struct self_message {
	struct list link;
	struct buf wire;
};

static void handle_message(void *context, const struct message *message);

const char *
peer_gateways_self_vm(const struct peer_gateways *peer_gateways)
{
	return peer_gateways->gateway->settings.vm_name;
}

void
peer_gateways_self_name(const struct peer_gateways *peer_gateways,
    char name[PEER_GATEWAY_NAME_BYTES])
{
	const struct settings *settings = &peer_gateways->gateway->settings;

	snprintf(name, PEER_GATEWAY_NAME_BYTES, "%.63s@%.63s",
	    settings->vm_name, settings->gateway_peers);
}

static struct peer_gateway *
find_peer_gateway(const struct peer_gateways *peer_gateways, const char *vm)
{
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		if (strcmp(peer_gateways->gateways[i].vm, vm) == 0)
			return &peer_gateways->gateways[i];
	}
	return NULL;
}

struct member *
peer_gateway_member(struct peer_gateways *peer_gateways,
    const struct peer_gateway *peer_gateway)
{
	return &peer_gateways->members
		    .items[peer_gateway - peer_gateways->gateways];
}

struct peer_gateway *
peer_gateway_add(
    struct peer_gateways *peer_gateways, const char *vm, int64_t now_us)
{
	struct peer_gateway *peer_gateway =
	    find_peer_gateway(peer_gateways, vm);
	struct member *member;

	if (peer_gateway != NULL)
		return peer_gateway;
	member = members_add(&peer_gateways->members, vm);
	member->added_us = now_us;
	peer_gateways->gateways = xrealloc(peer_gateways->gateways,
	    peer_gateways->members.count * sizeof(*peer_gateways->gateways));
	peer_gateway =
	    &peer_gateways->gateways[peer_gateways->members.count - 1];
	*peer_gateway = (struct peer_gateway){0};
	snprintf(peer_gateway->vm, sizeof(peer_gateway->vm), "%s", vm);
	peer_gateway->vm_hash = hash_text(vm, 0);
	return peer_gateway;
}

static void
set_address(struct peer_gateways *peer_gateways, struct member *member,
    const char *address, int port)
{
	snprintf(member->peer_address, sizeof(member->peer_address), "%.63s",
	    address);
	member->peer_port = port;
	peer_gateways_remove_seed(peer_gateways, address, port);
	peer_set_address(peer_gateways->peer, member->vm, address, port);
}

bool
peer_gateways_add_by_name(
    struct peer_gateways *peer_gateways, const char *name, char vm[NAME_BYTES])
{
	const char *at = strchr(name, '@');
	char address[SETTING_BYTES];
	struct peer_gateway *peer_gateway;
	int port;

	if (at == NULL || (size_t)(at - name) >= NAME_BYTES ||
	    strchr(at, ':') == NULL)
		return false;
	snprintf(vm, NAME_BYTES, "%.*s", (int)(at - name), name);
	if (strcmp(vm, peer_gateways_self_vm(peer_gateways)) == 0)
		return true;
	settings_split_endpoint(at + 1, address, &port);
	peer_gateway =
	    peer_gateway_add(peer_gateways, vm, clock_monotonic_us());
	set_address(peer_gateways,
	    peer_gateway_member(peer_gateways, peer_gateway), address, port);
	return true;
}

void
peer_gateway_update(struct peer_gateways *peer_gateways,
    struct peer_gateway *peer_gateway, const struct message_member *self)
{
	struct member *member =
	    peer_gateway_member(peer_gateways, peer_gateway);

	snprintf(peer_gateway->caller_address,
	    sizeof(peer_gateway->caller_address), "%s:%u", self->address,
	    (unsigned)self->port);
	memcpy(member->failure_domain, self->failure_domain, NAME_BYTES);
	memcpy(member->region, self->region, NAME_BYTES);
	set_address(
	    peer_gateways, member, self->peer_address, (int)self->peer_port);
	peer_gateway->incarnation = self->incarnation;
}

bool
peer_gateway_is_live(const struct member *member)
{
	return member_state(member, clock_monotonic_us()) != MEMBER_GONE;
}

bool
peer_gateways_is_live(const struct peer_gateways *peer_gateways, const char *vm)
{
	const struct peer_gateway *peer_gateway =
	    find_peer_gateway(peer_gateways, vm);

	return peer_gateway != NULL &&
	    peer_gateway_is_live(
		&peer_gateways->members
		     .items[peer_gateway - peer_gateways->gateways]);
}

uint64_t
peer_gateways_incarnation(
    const struct peer_gateways *peer_gateways, const char *vm)
{
	const struct peer_gateway *peer_gateway =
	    find_peer_gateway(peer_gateways, vm);

	const struct member *member;

	if (peer_gateway == NULL)
		return 0;
	member = &peer_gateways->members
		      .items[peer_gateway - peer_gateways->gateways];
	return member_is_heard(member, clock_monotonic_us())
	    ? peer_gateway->incarnation
	    : 0;
}

uint64_t
peer_gateways_own_incarnation(const struct peer_gateways *peer_gateways)
{
	return peer_gateways->incarnation;
}

bool
peer_gateway_in_own_domain(
    const struct peer_gateways *peer_gateways, const struct member *member)
{
	return strcmp(member->failure_domain,
		   peer_gateways->gateway->settings.failure_domain) == 0;
}

const char *
peer_gateways_partition_owner(
    const struct peer_gateways *peer_gateways, uint32_t partition)
{
	const char *vm = peer_gateways->owners[partition].vm;

	return vm[0] != '\0' ? vm : NULL;
}

void
peer_gateways_set_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t partition, const char *vm)
{
	if (partition >= SETTINGS_PARTITIONS_MAX)
		return;
	snprintf(peer_gateways->owners[partition].vm, NAME_BYTES, "%s", vm);
}

void
peer_gateways_clear_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t partition)
{
	peer_gateways->owners[partition].vm[0] = '\0';
}

void
peer_gateways_update_partition_owners(struct peer_gateways *peer_gateways,
    const char *vm, uint64_t generation, uint64_t owned)
{
	for (uint32_t partition = 0; partition < SETTINGS_PARTITIONS_MAX;
	     partition++) {
		struct partition_owner *owner =
		    &peer_gateways->owners[partition];
		bool owns = (owned >> partition & 1) != 0;

		if (generation < owner->generation)
			continue;
		if (owns)
			ownership_handle_claim(
			    peer_gateways->gateway->ownership, partition,
			    generation);
		if (owns) {
			snprintf(owner->vm, NAME_BYTES, "%s", vm);
			owner->generation = generation;
		} else if (strcmp(owner->vm, vm) == 0) {
			owner->vm[0] = '\0';
		}
	}
}

static void
deliver_self_message(
    struct peer_gateways *peer_gateways, struct self_message *self_message)
{
	struct message message;
	struct error err = {0};

	list_remove(&self_message->link);
	if (message_decode(self_message->wire.data, self_message->wire.len,
		&message, &err)) {
		handle_message(peer_gateways, &message);
		message_reset(&message);
	}
	buf_reset(&self_message->wire);
	free(self_message);
}

static void
handle_self_messages(uv_idle_t *idle)
{
	struct peer_gateways *peer_gateways = idle->data;
	struct list *item;

	while ((item = list_pop(&peer_gateways->self_messages)) != NULL)
		deliver_self_message(
		    peer_gateways, list_entry(item, struct self_message, link));
	uv_idle_stop(idle);
}

/* Queues a message to this gateway, which is delivered from the loop like those
 * of other gateways, and not during the call that sends it. */
static void
send_to_self(struct peer_gateways *peer_gateways, struct message *message)
{
	struct self_message *self_message = xcalloc(1, sizeof(*self_message));

	snprintf(message->sender, NAME_BYTES, "%.63s",
	    peer_gateways_self_vm(peer_gateways));
	message_encode(message, &self_message->wire);
	list_append(&peer_gateways->self_messages, &self_message->link);
	uv_idle_start(peer_gateways->self_message_idle, handle_self_messages);
}

void
peer_gateways_introduce(struct peer_gateways *peer_gateways, const char *vm)
{
	struct message message;

	if (strcmp(vm, peer_gateways_self_vm(peer_gateways)) == 0)
		return;
	peer_gateways_fill_heartbeat(peer_gateways, &message);
	peer_send(peer_gateways->peer, vm, &message);
}

static void
trace_no_address(const char *vm)
{
	struct trace trace;

	trace_begin(&trace, "message_dropped");
	trace_text(&trace, "vm", vm);
	trace_text(&trace, "why", "its address is not known");
	trace_end(&trace);
}

bool
peer_gateways_send(struct peer_gateways *peer_gateways, const char *vm,
    struct message *message)
{
	enum peer_result result;

	if (strcmp(vm, peer_gateways_self_vm(peer_gateways)) == 0) {
		send_to_self(peer_gateways, message);
		return true;
	}
	if (message->type != MESSAGE_GATEWAY_HEARTBEAT &&
	    !peer_is_connected(peer_gateways->peer, vm))
		peer_gateways_introduce(peer_gateways, vm);
	result = peer_send(peer_gateways->peer, vm, message);
	if (result == PEER_NO_ADDRESS)
		trace_no_address(vm);
	return result == PEER_QUEUED;
}

void
peer_gateways_broadcast(
    struct peer_gateways *peer_gateways, struct message *message)
{
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (peer_gateway_is_live(member))
			peer_gateways_send(peer_gateways, member->vm, message);
	}
}

static void
handle_message(void *context, const struct message *message)
{
	struct peer_gateways *peer_gateways = context;
	struct gateway *gateway = peer_gateways->gateway;

	switch (message->type) {
	case MESSAGE_GATEWAY_HEARTBEAT:
		peer_gateways_handle_heartbeat(peer_gateways, message);
		return;
	case MESSAGE_DOMAIN_LOADS:
		peer_gateways_handle_loads(peer_gateways, message->sender,
		    &message->domain_loads.sums, true);
		return;
	case MESSAGE_TURN_BEGIN:
	case MESSAGE_TURN_END:
	case MESSAGE_TURN_FIND:
		ownership_handle_message(gateway->ownership, message);
		return;
	case MESSAGE_TURN_BEGIN_REPLY:
	case MESSAGE_TURN_END_REPLY:
	case MESSAGE_TURN_FIND_REPLY:
	case MESSAGE_HISTORY_GET:
	case MESSAGE_HISTORY:
		turns_handle_message(gateway->turns, message);
		return;
	case MESSAGE_GATEWAY_CONFIG_GET:
	case MESSAGE_GATEWAY_CONFIG:
		config_watch_handle_message(gateway->config_watch, message);
		return;
	case MESSAGE_SERVERS_GET:
		server_watch_send_list(gateway->server_watch, message->sender);
		return;
	case MESSAGE_SERVERS:
		server_watch_handle_list(gateway->server_watch, message);
		return;
	case MESSAGE_SUSPECTS:
	case MESSAGE_SUSPECTS_GET:
	case MESSAGE_RUNS:
		quarantine_handle_message(gateway->quarantine, message);
		return;
	case MESSAGE_STORE_APPEND:
	case MESSAGE_CONTENT_APPEND:
	case MESSAGE_STORE_APPEND_REPLY:
		recorder_handle_message(gateway->recorder, message);
		return;
	case MESSAGE_SERVER_LIMIT:
	case MESSAGE_PERMIT_GET:
	case MESSAGE_PERMIT:
		server_limits_handle_message(gateway->server_limits, message);
		return;
	case MESSAGE_CAP_GET:
	case MESSAGE_CAP:
		workspace_caps_handle_message(gateway->workspace_caps, message);
		return;
	default:
		return;
	}
}

const char *
peer_gateways_next_relay(struct peer_gateways *peer_gateways)
{
	const char *best = NULL;
	bool best_in_own_domain = false;
	size_t count = peer_gateways->members.count;

	peer_gateways->relay_cursor++;
	for (size_t i = 0; i < count; i++) {
		size_t at = (i + peer_gateways->relay_cursor) % count;
		const struct member *member = &peer_gateways->members.items[at];
		bool in_own_domain =
		    peer_gateway_in_own_domain(peer_gateways, member);

		if (member->last_heartbeat_us == 0 ||
		    !peer_gateway_is_live(member) ||
		    peer_gateways->gateways[at].store_unreachable ||
		    (best != NULL && !in_own_domain) ||
		    (best != NULL && best_in_own_domain))
			continue;
		best = member->vm;
		best_in_own_domain = in_own_domain;
	}
	return best;
}

struct peer_gateways *
peer_gateways_create(struct gateway *gateway, struct error *err)
{
	struct peer_gateways *peer_gateways =
	    xcalloc(1, sizeof(*peer_gateways));
	char address[SETTING_BYTES];
	struct peer_options options = {
	    .vm = gateway->settings.vm_name,
	    .address = address,
	    .secret_key_file = gateway->settings.peer_secret_key_file,
	    .max_queued_messages = PEER_QUEUE_MESSAGES,
	    .ack_timeout_us = PEER_ACK_TIMEOUT_US,
	    .counters = &gateway->counters,
	    .handler = handle_message,
	    .handler_context = peer_gateways,
	};

	settings_split_endpoint(
	    gateway->settings.gateway_peers, address, &options.port);
	peer_gateways->gateway = gateway;
	peer_gateways->incarnation = rng_next(&gateway->rng);
	peer_gateways->members.timeout_us = MEMBER_TIMEOUT_US;
	peer_gateways->peer = peer_create(&gateway->loop, &options, err);
	if (peer_gateways->peer == NULL) {
		free(peer_gateways);
		return NULL;
	}
	list_init(&peer_gateways->self_messages);
	peer_gateways->self_message_idle =
	    xcalloc(1, sizeof(*peer_gateways->self_message_idle));
	uv_idle_init(&gateway->loop, peer_gateways->self_message_idle);
	peer_gateways->self_message_idle->data = peer_gateways;
	peer_gateways->heartbeat_timer =
	    xcalloc(1, sizeof(*peer_gateways->heartbeat_timer));
	uv_timer_init(&gateway->loop, peer_gateways->heartbeat_timer);
	peer_gateways->heartbeat_timer->data = peer_gateways;
	peer_gateways->register_timer =
	    xcalloc(1, sizeof(*peer_gateways->register_timer));
	uv_timer_init(&gateway->loop, peer_gateways->register_timer);
	peer_gateways->register_timer->data = peer_gateways;
	return peer_gateways;
}

void
peer_gateways_start(struct peer_gateways *peer_gateways)
{
	peer_gateways_start_heartbeats(peer_gateways);
	peer_gateways_register(peer_gateways);
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
peer_gateways_destroy(struct peer_gateways *peer_gateways)
{
	if (peer_gateways->register_call != NULL)
		store_cancel(peer_gateways->register_call);
	list_for_each_safe (self_message, tmp, &peer_gateways->self_messages,
	    struct self_message, link) {
		buf_reset(&self_message->wire);
		free(self_message);
	}
	uv_close(
	    (uv_handle_t *)peer_gateways->self_message_idle, handle_closed);
	uv_close((uv_handle_t *)peer_gateways->heartbeat_timer, handle_closed);
	uv_close((uv_handle_t *)peer_gateways->register_timer, handle_closed);
	peer_destroy(peer_gateways->peer);
	for (size_t i = 0; i < peer_gateways->members.count; i++)
		free(peer_gateways->gateways[i].loads);
	free(peer_gateways->gateways);
	members_reset(&peer_gateways->members);
	free(peer_gateways);
}
