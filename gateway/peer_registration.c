#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "gateway/peer_gateways_internal.h"

enum {
	REGISTER_TIMEOUT_US = 1 * US_PER_S,
	REGISTER_RETRY_MS = 500,
	READ_TIMEOUT_US = 1 * US_PER_S,
};

/* Holds a heartbeat message of each gateway, keyed by its VM. */
static const char TOPIC_MEMBERS[] = "keyed.members";

void
peer_gateways_remove_seed(
    struct peer_gateways *peer_gateways, const char *address, int port)
{
	for (size_t i = 0; i < peer_gateways->seed_count; i++) {
		struct seed *seed = &peer_gateways->seeds[i];

		if (seed->name[0] == '\0' || seed->port != port ||
		    strcmp(seed->address, address) != 0)
			continue;
		peer_remove(peer_gateways->peer, seed->name);
		seed->name[0] = '\0';
	}
}

static void
contact_seed(struct peer_gateways *peer_gateways, const char *endpoint)
{
	struct seed *seed = &peer_gateways->seeds[peer_gateways->seed_count++];
	struct message message;

	settings_split_endpoint(endpoint, seed->address, &seed->port);
	snprintf(seed->name, sizeof(seed->name), "seed-%zu",
	    peer_gateways->seed_count);
	peer_set_address(
	    peer_gateways->peer, seed->name, seed->address, seed->port);
	peer_gateways_fill_heartbeat(peer_gateways, &message);
	message.gateway_heartbeat.reply_requested = true;
	peer_send(peer_gateways->peer, seed->name, &message);
}

/* Contacts the gateways that the settings list. Without the store's members,
 * there is no other way to find gateways. */
static void
contact_seeds(struct peer_gateways *peer_gateways)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	const char *at = settings->gateway_seeds;

	while (*at != '\0' && peer_gateways->seed_count < SEEDS_MAX) {
		size_t len = strcspn(at, ",");
		char endpoint[SETTING_BYTES];

		snprintf(endpoint, sizeof(endpoint), "%.*s", (int)len, at);
		at += len;
		at += *at == ',';
		if (strchr(endpoint, ':') != NULL &&
		    strcmp(endpoint, settings->gateway_peers) != 0)
			contact_seed(peer_gateways, endpoint);
	}
}

static void
handle_register_timer(uv_timer_t *timer)
{
	peer_gateways_register(timer->data);
}

static void
register_later(struct peer_gateways *peer_gateways)
{
	if (peer_gateways->seed_count == 0)
		contact_seeds(peer_gateways);
	uv_timer_start(peer_gateways->register_timer, handle_register_timer,
	    REGISTER_RETRY_MS, 0);
}

/* Adds the gateway that a record of the members describes. */
static void
add_member(struct peer_gateways *peer_gateways, const struct wire_bytes *value)
{
	struct peer_gateway *peer_gateway;
	struct message message;
	struct error err = {0};

	if (!message_decode(value->data, value->len, &message, &err))
		return;
	if (message.type == MESSAGE_GATEWAY_HEARTBEAT &&
	    strcmp(message.gateway_heartbeat.self.vm,
		peer_gateways_self_vm(peer_gateways)) != 0 &&
	    !message.gateway_heartbeat.self.draining) {
		peer_gateway = peer_gateway_add(peer_gateways,
		    message.gateway_heartbeat.self.vm, clock_monotonic_us());
		peer_gateway_update(peer_gateways, peer_gateway,
		    &message.gateway_heartbeat.self);
	}
	message_reset(&message);
}

static void read_members(struct peer_gateways *peer_gateways);

static void
handle_members(void *context, const struct store_newest *newest)
{
	struct peer_gateways *peer_gateways = context;

	peer_gateways->register_call = NULL;
	if (newest->status != STORE_OK) {
		register_later(peer_gateways);
		return;
	}
	for (size_t i = 0; i < newest->count; i++)
		add_member(peer_gateways, &newest->items[i].value);
	switch (newest->next) {
	case STORE_NEXT_PAGE:
		read_members(peer_gateways);
		return;
	case STORE_NEXT_UNREACHABLE:
		if (peer_gateways->seed_count == 0)
			contact_seeds(peer_gateways);
		break;
	case STORE_NEXT_NONE:
		break;
	}
	peer_gateways->members_cursor = (struct store_cursor){0};
	peer_gateways->registered = true;
	peer_gateways_send_heartbeats(peer_gateways, true);
}

static void
read_members(struct peer_gateways *peer_gateways)
{
	peer_gateways->register_call =
	    store_newest(peer_gateways->gateway->store, TOPIC_MEMBERS,
		&peer_gateways->members_cursor, READ_TIMEOUT_US, handle_members,
		peer_gateways);
}

static void
handle_registered(void *context, const struct store_appended *appended)
{
	struct peer_gateways *peer_gateways = context;

	peer_gateways->register_call = NULL;
	if (appended->status != STORE_OK) {
		register_later(peer_gateways);
		return;
	}
	if (peer_gateways->registered)
		return;
	read_members(peer_gateways);
}

void
peer_gateways_register(struct peer_gateways *peer_gateways)
{
	struct message message;
	struct buf value = {0};
	struct buf record = {0};
	struct wire_bytes bytes;

	peer_gateways_fill_heartbeat(peer_gateways, &message);
	snprintf(message.sender, NAME_BYTES, "%.63s",
	    peer_gateways_self_vm(peer_gateways));
	message_encode(&message, &value);
	store_keyed_encode(&record, peer_gateways_self_vm(peer_gateways),
	    value.data, value.len);
	bytes = (struct wire_bytes){.data = record.data, .len = record.len};
	peer_gateways->register_call = store_append(
	    peer_gateways->gateway->store, TOPIC_MEMBERS, 0, &bytes, 1,
	    REGISTER_TIMEOUT_US, handle_registered, peer_gateways);
	buf_reset(&record);
	buf_reset(&value);
}
