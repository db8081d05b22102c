#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/ownership.h"
#include "gateway/peer_gateways_internal.h"
#include "gateway/recorder.h"

enum {
	PULSE_MS = 100,     /* between signs of life in a failure domain */
	FAR_PULSES = 5,     /* of which so many make one to the others */
	PARTS_PULSES = 5,   /* and so many tell of caches */
	EXPIRE_PULSES = 50, /* and so many forget old caches */
	PARTS_MAX = 256,    /* of which a pulse tells */
	HEARD_MAX = 512,    /* gateways that a pulse tells of */
	FAR_FANOUT = 2,     /* gateways of each other failure domain */
	FORGET_US = 60 * US_PER_S, /* silence after which it is dropped */
};

void
peer_gateways_fill_heartbeat(
    struct peer_gateways *peer_gateways, struct message *message)
{
	const struct gateway *gateway = peer_gateways->gateway;
	const struct settings *settings = &gateway->settings;
	struct message_member *self = &message->gateway_heartbeat.self;
	char address[SETTING_BYTES];
	int port;

	*message = (struct message){.type = MESSAGE_GATEWAY_HEARTBEAT};
	snprintf(self->vm, NAME_BYTES, "%.63s", settings->vm_name);
	settings_split_endpoint(settings->gateway_callers, address, &port);
	snprintf(self->address, NAME_BYTES, "%.63s", address);
	self->port = (uint32_t)port;
	settings_split_endpoint(settings->gateway_peers, address, &port);
	snprintf(self->peer_address, NAME_BYTES, "%.63s", address);
	self->peer_port = (uint32_t)port;
	snprintf(self->failure_domain, NAME_BYTES, "%.63s",
	    settings->failure_domain);
	snprintf(self->region, NAME_BYTES, "%.63s", settings->region);
	self->incarnation = peer_gateways->incarnation;
	self->draining = gateway->blackboard.stopping;
	self->log_unreachable =
	    recorder_store_is_unreachable(gateway->recorder);
	if (gateway->blackboard.config != NULL)
		self->config_version = gateway->blackboard.config->version;
	message->gateway_heartbeat.ownership_generation =
	    ownership_generation(gateway->ownership);
	message->gateway_heartbeat.owned_partitions =
	    ownership_owned_mask(gateway->ownership);
}

/* ---- what pulses tell ---- */

/* Lists the requests that run from here, server by server. */
static size_t
list_loads(const struct gateway *gateway, struct message_load **loads)
{
	const struct backends *backends = &gateway->blackboard.backends;
	size_t count = 0;

	*loads = xcalloc(HASH_COUNT(backends->by_id) + 1, sizeof(**loads));
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (backend->running == 0)
			continue;
		(*loads)[count++] = (struct message_load){
		    .server_hash = hash_text(backend->entry.id, 0),
		    .running = backend->running,
		};
	}
	return count;
}

static size_t
list_parts(const struct gateway *gateway, struct message_cached_prefix **parts)
{
	struct residency_shared_part shared[PARTS_MAX];
	size_t count = residency_list_shared(
	    &gateway->blackboard.backends.residency, shared, PARTS_MAX);

	*parts = xcalloc(count + 1, sizeof(**parts));
	for (size_t i = 0; i < count; i++)
		(*parts)[i] = (struct message_cached_prefix){
		    .prefix_hash = shared[i].part,
		    .server_hash = shared[i].server,
		    .tokens = shared[i].tokens,
		};
	return count;
}

static void
take_parts(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *pulse)
{
	struct residency *residency =
	    &peer_gateways->gateway->blackboard.backends.residency;
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < pulse->cached_prefix_count; i++)
		residency_add(residency, pulse->cached_prefixes[i].prefix_hash,
		    pulse->cached_prefixes[i].server_hash,
		    pulse->cached_prefixes[i].tokens, false, now_us);
}

/* Lists the gateways of other failure domains that were heard from here since
 * the last such list: each of them sends to a few gateways of this one only. */
static size_t
list_heard(const struct peer_gateways *peer_gateways,
    struct message_reachable_gateway **heard)
{
	const struct member *members[HEARD_MAX];
	size_t count = members_list_directly_heard(&peer_gateways->members,
	    peer_gateways->gateway->settings.failure_domain,
	    clock_monotonic_us() -
		(int64_t)(FAR_PULSES + 1) * PULSE_MS * US_PER_MS,
	    members, HEARD_MAX);

	*heard = xcalloc(count + 1, sizeof(**heard));
	for (size_t i = 0; i < count; i++)
		(*heard)[i].vm_hash = hash_text(members[i]->vm, 0);
	return count;
}

static void
take_heard(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *pulse)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < pulse->reachable_gateway_count; i++) {
		for (size_t k = 0; k < peer_gateways->members.count; k++) {
			if (peer_gateways->gateways[k].vm_hash ==
			    pulse->reachable_gateways[i].vm_hash)
				member_heartbeat_relayed(
				    &peer_gateways->members.items[k], now_us);
		}
	}
}

/* ---- sending ---- */

/* A pulse goes to each gateway of this failure domain, and now and then to a
 * few of each other one, the same ones each time. */
static bool
is_far_partner(
    const struct peer_gateways *peer_gateways, const struct member *member)
{
	uint64_t score = hash_text(
	    member->vm, hash_text(peer_gateways_self_vm(peer_gateways), 0));
	size_t better = 0;

	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *other = &peer_gateways->members.items[i];

		if (strcmp(other->failure_domain, member->failure_domain) !=
			0 ||
		    other == member || !peer_gateway_is_live(other))
			continue;
		better += hash_text(other->vm,
			      hash_text(peer_gateways_self_vm(peer_gateways),
				  0)) > score;
	}
	return better < FAR_FANOUT;
}

void
peer_gateways_send_heartbeats(struct peer_gateways *peer_gateways, bool far)
{
	struct message message;
	size_t heard_count = 0;

	peer_gateways_fill_heartbeat(peer_gateways, &message);
	message.gateway_heartbeat.load_count = list_loads(
	    peer_gateways->gateway, &message.gateway_heartbeat.loads);
	if (peer_gateways->heartbeat_count % PARTS_PULSES == 0)
		message.gateway_heartbeat.cached_prefix_count =
		    list_parts(peer_gateways->gateway,
			&message.gateway_heartbeat.cached_prefixes);
	if (far)
		heard_count = list_heard(peer_gateways,
		    &message.gateway_heartbeat.reachable_gateways);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		message.gateway_heartbeat.reachable_gateway_count =
		    peer_gateway_in_own_domain(peer_gateways, member)
		    ? heard_count
		    : 0;
		if (peer_gateway_in_own_domain(peer_gateways, member) ||
		    (far && is_far_partner(peer_gateways, member)))
			peer_gateways_send(peer_gateways, member->vm, &message);
	}
	free(message.gateway_heartbeat.loads);
	free(message.gateway_heartbeat.cached_prefixes);
	free(message.gateway_heartbeat.reachable_gateways);
}

void
peer_gateways_announce_state(struct peer_gateways *peer_gateways)
{
	struct message message;

	peer_gateways_fill_heartbeat(peer_gateways, &message);
	peer_gateways_broadcast(peer_gateways, &message);
}

static void
trace_fellow(const char *event, const struct peer_gateway *peer_gateway)
{
	struct trace trace;

	trace_begin_unlimited(&trace, event);
	trace_text(&trace, "vm", peer_gateway->vm);
	trace_text(&trace, "callers", peer_gateway->caller_address);
	trace_end(&trace);
}

static void
report_silent(struct peer_gateways *peer_gateways)
{
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		struct peer_gateway *peer_gateway = &peer_gateways->gateways[i];

		if (!peer_gateway->reported_live ||
		    peer_gateway_is_live(&peer_gateways->members.items[i]))
			continue;
		peer_gateway->reported_live = false;
		trace_fellow("gateway_silent", peer_gateway);
	}
}

static void
drop_silent(struct peer_gateways *peer_gateways)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = peer_gateways->members.count; i > 0; i--) {
		struct member *member = &peer_gateways->members.items[i - 1];
		int64_t since_us = member->last_heartbeat_us != 0
		    ? member->last_heartbeat_us
		    : member->added_us;
		size_t last = peer_gateways->members.count - 1;

		if (now_us - since_us < FORGET_US)
			continue;
		peer_remove(peer_gateways->peer, member->vm);
		free(peer_gateways->gateways[i - 1].loads);
		peer_gateways->members.items[i - 1] =
		    peer_gateways->members.items[last];
		peer_gateways->gateways[i - 1] = peer_gateways->gateways[last];
		peer_gateways->members.count--;
	}
}

/* Other gateways' requests at each server, as they last told. */
static void
sum_loads(struct peer_gateways *peer_gateways)
{
	struct backends *backends =
	    &peer_gateways->gateway->blackboard.backends;

	backends_clear_remote(backends);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct peer_gateway *peer_gateway =
		    &peer_gateways->gateways[i];

		if (!peer_gateway_is_live(&peer_gateways->members.items[i]))
			continue;
		for (size_t k = 0; k < peer_gateway->load_count; k++)
			backends_add_remote(backends,
			    peer_gateway->loads[k].server_hash,
			    peer_gateway->loads[k].running);
	}
}

static void
handle_timer(uv_timer_t *timer)
{
	struct peer_gateways *peer_gateways = timer->data;

	peer_gateways->heartbeat_count++;
	peer_gateways_send_heartbeats(
	    peer_gateways, peer_gateways->heartbeat_count % FAR_PULSES == 0);
	report_silent(peer_gateways);
	drop_silent(peer_gateways);
	sum_loads(peer_gateways);
	if (peer_gateways->heartbeat_count % EXPIRE_PULSES == 0)
		residency_expire(
		    &peer_gateways->gateway->blackboard.backends.residency,
		    clock_monotonic_us());
}

void
peer_gateways_start_heartbeats(struct peer_gateways *peer_gateways)
{
	uv_timer_start(
	    peer_gateways->heartbeat_timer, handle_timer, PULSE_MS, PULSE_MS);
}

/* ---- receiving ---- */

void
peer_gateways_handle_heartbeat(
    struct peer_gateways *peer_gateways, const struct message *message)
{
	const struct message_gateway_heartbeat *pulse =
	    &message->gateway_heartbeat;
	int64_t now_us = clock_monotonic_us();
	struct peer_gateway *peer_gateway =
	    peer_gateway_add(peer_gateways, message->sender, now_us);
	struct member *member =
	    peer_gateway_member(peer_gateways, peer_gateway);
	bool was_live =
	    member->last_heartbeat_us != 0 && peer_gateway_is_live(member);

	peer_gateway_update(peer_gateways, peer_gateway, &pulse->self);
	member_heartbeat_received(member, now_us);
	member->draining = pulse->self.draining;
	member->config_version = pulse->self.config_version;
	peer_gateway->store_unreachable = pulse->self.log_unreachable;
	if (pulse->load_count > 0 ||
	    peer_gateway_in_own_domain(peer_gateways, member)) {
		free(peer_gateway->loads);
		peer_gateway->loads = xcalloc(
		    pulse->load_count + 1, sizeof(*peer_gateway->loads));
		memcpy(peer_gateway->loads, pulse->loads,
		    pulse->load_count * sizeof(*peer_gateway->loads));
		peer_gateway->load_count = pulse->load_count;
	}
	take_parts(peer_gateways, pulse);
	if (peer_gateway_in_own_domain(peer_gateways, member))
		take_heard(peer_gateways, pulse);
	peer_gateways_update_partition_owners(peer_gateways, message->sender,
	    pulse->ownership_generation, pulse->owned_partitions);
	if (!pulse->self.log_unreachable)
		config_watch_handle_peer_version(
		    peer_gateways->gateway->config_watch, message->sender,
		    pulse->self.config_version);
	if (!was_live)
		trace_fellow("gateway_live", peer_gateway);
	peer_gateway->reported_live = true;
	if (pulse->reply_requested)
		peer_gateways_send_heartbeats(peer_gateways, true);
}
