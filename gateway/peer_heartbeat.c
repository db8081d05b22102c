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

enum {
	/* Time between heartbeats within a failure domain. */
	HEARTBEAT_INTERVAL_MS = 100,
	/* Every Nth heartbeat also goes to other failure domains. */
	OTHER_DOMAINS_EVERY = 5,
	/* Every Nth heartbeat also lists cached prefixes. */
	CACHED_PREFIXES_EVERY = 5,
	/* Old prefixes are dropped at every Nth heartbeat. */
	EXPIRE_EVERY = 50,
	CACHED_PREFIXES_MAX = 256, /* cached prefixes listed in a heartbeat */
	REACHABLE_MAX = 512,     /* reachable gateways listed in a heartbeat */
	OTHER_DOMAIN_FANOUT = 2, /* gateways per other failure domain */
	/* Time without a heartbeat after which a gateway is removed. */
	REMOVE_TIMEOUT_US = 60 * US_PER_S,
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
	if (settings->gateway_relay[0] != '\0') {
		settings_split_endpoint(
		    settings->gateway_relay, address, &port);
		message->gateway_heartbeat.relay_port = (uint32_t)port;
	}
	message->gateway_heartbeat.servers_unreachable =
	    gateway->blackboard.reach.lost;
	message->gateway_heartbeat.suspects_digest =
	    quarantine_digest(gateway->quarantine);
	message->gateway_heartbeat.config_age_us =
	    (uint64_t)(clock_monotonic_us() -
		gateway->blackboard.config_confirmed_at_us) +
	    1;
	message->gateway_heartbeat.ownership_generation =
	    ownership_generation(gateway->ownership);
	message->gateway_heartbeat.owned_partitions =
	    ownership_owned_mask(gateway->ownership);
}

/* Lists the running requests of this gateway by backend server. */
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
list_cached_prefixes(
    const struct gateway *gateway, struct message_cached_prefix **prefixes)
{
	struct residency_shared_prefix shared[CACHED_PREFIXES_MAX];
	size_t count =
	    residency_list_shared(&gateway->blackboard.backends.residency,
		shared, CACHED_PREFIXES_MAX);

	*prefixes = xcalloc(count + 1, sizeof(**prefixes));
	for (size_t i = 0; i < count; i++)
		(*prefixes)[i] = (struct message_cached_prefix){
		    .prefix_hash = shared[i].prefix_hash,
		    .server_hash = shared[i].server_hash,
		    .tokens = shared[i].tokens,
		};
	return count;
}

static void
apply_cached_prefixes(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *heartbeat)
{
	struct residency *residency =
	    &peer_gateways->gateway->blackboard.backends.residency;
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < heartbeat->cached_prefix_count; i++)
		residency_add(residency,
		    heartbeat->cached_prefixes[i].prefix_hash,
		    heartbeat->cached_prefixes[i].server_hash,
		    heartbeat->cached_prefixes[i].tokens, false, now_us);
}

/* Lists the gateways of other failure domains whose heartbeats arrived here
 * since the last such list. Each of them sends to only a few gateways of this
 * failure domain, so the others rely on this list. */
static size_t
list_reachable(const struct peer_gateways *peer_gateways,
    struct message_reachable_gateway **reachable)
{
	const struct member *members[REACHABLE_MAX];
	size_t count = members_list_directly_heard(&peer_gateways->members,
	    peer_gateways->gateway->settings.failure_domain,
	    clock_monotonic_us() -
		(int64_t)(OTHER_DOMAINS_EVERY + 1) * HEARTBEAT_INTERVAL_MS *
		    US_PER_MS,
	    members, REACHABLE_MAX);

	*reachable = xcalloc(count + 1, sizeof(**reachable));
	for (size_t i = 0; i < count; i++)
		(*reachable)[i].vm_hash = hash_text(members[i]->vm, 0);
	return count;
}

static void
apply_reachable(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *heartbeat)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < heartbeat->reachable_gateway_count; i++) {
		for (size_t k = 0; k < peer_gateways->members.count; k++) {
			if (peer_gateways->gateways[k].vm_hash ==
			    heartbeat->reachable_gateways[i].vm_hash)
				member_heartbeat_relayed(
				    &peer_gateways->members.items[k], now_us);
		}
	}
}

/* Returns whether a gateway of another failure domain receives heartbeats from
 * this one. Rendezvous hashing chooses a few live gateways of each failure
 * domain, the same ones each time. */
static bool
is_heartbeat_target(
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
	return better < OTHER_DOMAIN_FANOUT;
}

void
peer_gateways_send_heartbeats(
    struct peer_gateways *peer_gateways, bool other_domains)
{
	struct message message;
	size_t reachable_count = 0;

	peer_gateways_fill_heartbeat(peer_gateways, &message);
	message.gateway_heartbeat.load_count = list_loads(
	    peer_gateways->gateway, &message.gateway_heartbeat.loads);
	if (peer_gateways->heartbeat_count % CACHED_PREFIXES_EVERY == 0)
		message.gateway_heartbeat.cached_prefix_count =
		    list_cached_prefixes(peer_gateways->gateway,
			&message.gateway_heartbeat.cached_prefixes);
	if (other_domains)
		reachable_count = list_reachable(peer_gateways,
		    &message.gateway_heartbeat.reachable_gateways);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		message.gateway_heartbeat.reachable_gateway_count =
		    peer_gateway_in_own_domain(peer_gateways, member)
		    ? reachable_count
		    : 0;
		if (peer_gateway_in_own_domain(peer_gateways, member) ||
		    (other_domains &&
			is_heartbeat_target(peer_gateways, member)))
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
trace_peer_gateway(const char *event, const struct peer_gateway *peer_gateway)
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
		trace_peer_gateway("gateway_silent", peer_gateway);
	}
}

static void
remove_silent(struct peer_gateways *peer_gateways)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = peer_gateways->members.count; i > 0; i--) {
		struct member *member = &peer_gateways->members.items[i - 1];
		int64_t since_us = member->last_heartbeat_us != 0
		    ? member->last_heartbeat_us
		    : member->added_us;
		size_t last = peer_gateways->members.count - 1;

		if (now_us - since_us < REMOVE_TIMEOUT_US)
			continue;
		peer_remove(peer_gateways->peer, member->vm);
		free(peer_gateways->gateways[i - 1].loads);
		peer_gateways->members.items[i - 1] =
		    peer_gateways->members.items[last];
		peer_gateways->gateways[i - 1] = peer_gateways->gateways[last];
		peer_gateways->members.count--;
	}
}

/* Sums the running requests of the other gateways by backend server, as they
 * last reported them. */
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
	peer_gateways_send_heartbeats(peer_gateways,
	    peer_gateways->heartbeat_count % OTHER_DOMAINS_EVERY == 0);
	report_silent(peer_gateways);
	remove_silent(peer_gateways);
	sum_loads(peer_gateways);
	if (peer_gateways->heartbeat_count % EXPIRE_EVERY == 0)
		residency_expire(
		    &peer_gateways->gateway->blackboard.backends.residency,
		    clock_monotonic_us());
}

void
peer_gateways_start_heartbeats(struct peer_gateways *peer_gateways)
{
	uv_timer_start(peer_gateways->heartbeat_timer, handle_timer,
	    HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS);
}

/* Senders that don't tell the age of their configuration read it from the store
 * all the time, unless they report that they can't reach it. */
static int64_t
config_age_us(const struct message_gateway_heartbeat *heartbeat)
{
	if (heartbeat->config_age_us != 0)
		return (int64_t)heartbeat->config_age_us;
	return heartbeat->self.log_unreachable ? INT64_MAX : 0;
}

void
peer_gateways_handle_heartbeat(
    struct peer_gateways *peer_gateways, const struct message *message)
{
	const struct message_gateway_heartbeat *heartbeat =
	    &message->gateway_heartbeat;
	int64_t now_us = clock_monotonic_us();
	struct peer_gateway *peer_gateway =
	    peer_gateway_add(peer_gateways, message->sender, now_us);
	struct member *member =
	    peer_gateway_member(peer_gateways, peer_gateway);
	bool was_live =
	    member->last_heartbeat_us != 0 && peer_gateway_is_live(member);

	peer_gateway_update(peer_gateways, peer_gateway, &heartbeat->self);
	member_heartbeat_received(member, now_us);
	member->draining = heartbeat->self.draining;
	member->config_version = heartbeat->self.config_version;
	peer_gateway->store_unreachable = heartbeat->self.log_unreachable;
	peer_gateway->servers_unreachable = heartbeat->servers_unreachable;
	peer_gateway->relay_port = heartbeat->relay_port;
	if (heartbeat->load_count > 0 ||
	    peer_gateway_in_own_domain(peer_gateways, member)) {
		free(peer_gateway->loads);
		peer_gateway->loads = xcalloc(
		    heartbeat->load_count + 1, sizeof(*peer_gateway->loads));
		memcpy(peer_gateway->loads, heartbeat->loads,
		    heartbeat->load_count * sizeof(*peer_gateway->loads));
		peer_gateway->load_count = heartbeat->load_count;
	}
	apply_cached_prefixes(peer_gateways, heartbeat);
	if (peer_gateway_in_own_domain(peer_gateways, member))
		apply_reachable(peer_gateways, heartbeat);
	peer_gateways_update_partition_owners(peer_gateways, message->sender,
	    heartbeat->ownership_generation, heartbeat->owned_partitions);
	config_watch_handle_peer_version(peer_gateways->gateway->config_watch,
	    message->sender, heartbeat->self.config_version,
	    config_age_us(heartbeat));
	quarantine_handle_peer_digest(peer_gateways->gateway->quarantine,
	    message->sender, heartbeat->suspects_digest);
	if (!was_live)
		trace_peer_gateway("gateway_live", peer_gateway);
	peer_gateway->reported_live = true;
	if (heartbeat->reply_requested)
		peer_gateways_send_heartbeats(peer_gateways, true);
}
