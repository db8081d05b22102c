#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/reach.h"
#include "gateway/peer_gateways_internal.h"
#include "member/coordinator.h"

enum {
	/* One more than needed, so that most workspaces keep their coordinator
	 * when a gateway ends. */
	HUBS_PER_DOMAIN = 2,
	/* Connections opened at a time, every 100 ms: a coordinator of 420 VMs
	 * has all of its connections after 11 s. */
	CONNECTIONS_AT_A_TIME = 4,
};

/** The best choice so far of a coordinator. */
struct choice {
	const char *vm; /**< NULL: none yet */
	bool in_domain; /**< in the server's failure domain */
	uint64_t score;
};

static void
consider(struct choice *choice, const char *vm, bool in_domain, uint64_t server)
{
	uint64_t score = hash_text(vm, server);

	if (choice->vm != NULL &&
	    (choice->in_domain != in_domain ? choice->in_domain
					    : choice->score >= score))
		return;
	*choice =
	    (struct choice){.vm = vm, .in_domain = in_domain, .score = score};
}

const char *
peer_gateways_coordinator(const struct peer_gateways *peer_gateways,
    uint64_t server, const char *failure_domain)
{
	const struct gateway *gateway = peer_gateways->gateway;
	const struct coordinator_self self = {
	    .vm = gateway->settings.vm_name,
	    .failure_domain = gateway->settings.failure_domain,
	    .leaving = gateway->blackboard.stopping,
	};

	return coordinator_choose(&peer_gateways->members, &self, server,
	    failure_domain, clock_monotonic_us());
}

const char *
peer_gateways_watcher(const struct peer_gateways *peer_gateways)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	uint64_t self_hash = hash_text(settings->vm_name, 0);
	int64_t now_us = clock_monotonic_us();
	struct choice choice = {0};

	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (!member_may_coordinate(member, now_us))
			continue;
		consider(&choice, member->vm,
		    strcmp(member->region, settings->region) == 0 &&
			!peer_gateway_in_own_domain(peer_gateways, member),
		    self_hash);
	}
	return choice.vm;
}

/* A gateway of a failure domain with its hash. */
struct hub {
	const char *failure_domain;
	uint64_t hashes[HUBS_PER_DOMAIN]; /* lowest first */
	size_t count;
};

static void
add_hub(struct hub *hub, uint64_t hash)
{
	size_t at = hub->count;

	while (at > 0 && hub->hashes[at - 1] > hash)
		at--;
	if (at == HUBS_PER_DOMAIN)
		return;
	if (hub->count < HUBS_PER_DOMAIN)
		hub->count++;
	for (size_t i = hub->count - 1; i > at; i--)
		hub->hashes[i] = hub->hashes[i - 1];
	hub->hashes[at] = hash;
}

static struct hub *
ensure_domain(struct hub *hubs, size_t *count, const char *failure_domain)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(hubs[i].failure_domain, failure_domain) == 0)
			return &hubs[i];
	}
	hubs[*count] = (struct hub){.failure_domain = failure_domain};
	return &hubs[(*count)++];
}

static bool
is_hub(const struct hub *hub, uint64_t hash)
{
	for (size_t i = 0; i < hub->count; i++) {
		if (hub->hashes[i] == hash)
			return true;
	}
	return false;
}

void
peer_gateways_choose_hubs(struct peer_gateways *peer_gateways)
{
	const struct gateway *gateway = peer_gateways->gateway;
	const char *own_domain = gateway->settings.failure_domain;
	uint64_t own_hash = hash_text(gateway->settings.vm_name, 0);
	size_t members = peer_gateways->members.count;
	struct hub *hubs = xcalloc(members + 1, sizeof(*hubs));
	int64_t now_us = clock_monotonic_us();
	size_t count = 0;

	if (!gateway->blackboard.stopping)
		add_hub(ensure_domain(hubs, &count, own_domain), own_hash);
	for (size_t i = 0; i < members; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (member_may_coordinate(member, now_us))
			add_hub(
			    ensure_domain(hubs, &count, member->failure_domain),
			    peer_gateways->gateways[i].vm_hash);
	}
	for (size_t i = 0; i < members; i++)
		peer_gateways->gateways[i].is_hub =
		    is_hub(ensure_domain(hubs, &count,
			       peer_gateways->members.items[i].failure_domain),
			peer_gateways->gateways[i].vm_hash);
	peer_gateways->self_is_hub =
	    is_hub(ensure_domain(hubs, &count, own_domain), own_hash);
	free(hubs);
}

/* A first message between regions takes some 130 ms both ways, since either
 * gateway has to open a connection; requests for permits do not wait so long.
 */
void
peer_gateways_connect_hubs(struct peer_gateways *peer_gateways)
{
	const struct gateway_config *config =
	    peer_gateways->gateway->blackboard.config;
	size_t opened = 0;

	if (config == NULL || !config->has_workspaces)
		return;
	for (size_t i = 0;
	     i < peer_gateways->members.count && opened < CONNECTIONS_AT_A_TIME;
	     i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if ((!peer_gateways->gateways[i].is_hub &&
			!peer_gateways->self_is_hub) ||
		    !peer_gateway_is_live(member) ||
		    peer_is_connected(peer_gateways->peer, member->vm))
			continue;
		peer_gateways_introduce(peer_gateways, member->vm);
		opened++;
	}
}

const char *
peer_gateways_workspace_coordinator(
    const struct peer_gateways *peer_gateways, uint64_t workspace_hash)
{
	const char *self_vm = peer_gateways->gateway->settings.vm_name;
	int64_t now_us = clock_monotonic_us();
	struct choice choice = {0};

	if (peer_gateways->self_is_hub &&
	    !peer_gateways->gateway->blackboard.stopping)
		consider(&choice, self_vm, false, workspace_hash);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (peer_gateways->gateways[i].is_hub &&
		    member_may_coordinate(member, now_us))
			consider(&choice, member->vm, false, workspace_hash);
	}
	return choice.vm != NULL ? choice.vm : self_vm;
}

void
peer_gateways_count(
    const struct peer_gateways *peer_gateways, size_t *known, size_t *live)
{
	*known = 1;
	*live = 1;
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (member->last_heartbeat_us == 0)
			continue;
		++*known;
		*live += peer_gateway_is_live(member);
	}
}

size_t
peer_gateways_known(const struct peer_gateways *peer_gateways)
{
	return peer_gateways->members.count;
}

struct peer_sign
peer_gateways_sign(const struct peer_gateways *peer_gateways, size_t at)
{
	const struct member *member = &peer_gateways->members.items[at];

	return (struct peer_sign){
	    .vm = member->vm,
	    .failure_domain = member->failure_domain,
	    .seen_us = member->last_heartbeat_us != 0
		? member->last_heartbeat_us
		: member->added_us,
	    .live =
		member->last_heartbeat_us != 0 && peer_gateway_is_live(member),
	    .is_stopping = member->draining,
	};
}

bool
peer_gateways_list_is_read(const struct peer_gateways *peer_gateways)
{
	return peer_gateways->registered;
}

/* Returns whether a gateway is heard at present. Unlike its state, this does
 * not take into account that it was silent before. */
static bool
is_heard(const struct member *member, int64_t now_us)
{
	return member->last_heartbeat_us != 0 &&
	    now_us - member->last_heartbeat_us <= member->timeout_us;
}

bool
peer_gateways_is_isolated(const struct peer_gateways *peer_gateways)
{
	int64_t now_us = clock_monotonic_us();
	size_t known = 1;
	size_t heard = 1;

	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];
		bool is_now_heard = is_heard(member, now_us);

		if (member->last_heartbeat_us == 0 ||
		    (!is_now_heard && member->draining))
			continue;
		known++;
		heard += is_now_heard;
	}
	return known > 1 && 2 * heard <= known;
}

bool
peer_gateways_others_isolated(const struct peer_gateways *peer_gateways)
{
	int64_t now_us = clock_monotonic_us();
	size_t heard = 0;
	size_t isolated = 0;

	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		if (!is_heard(&peer_gateways->members.items[i], now_us))
			continue;
		heard++;
		isolated += peer_gateways->gateways[i].isolated;
	}
	return heard > 0 && 2 * isolated >= heard;
}

/** How far a gateway is from a place. */
enum distance {
	SAME_DOMAIN,
	SAME_REGION,
	ANYWHERE,
	DISTANCE_COUNT,
};

static enum distance
distance_of(const char *domain, const char *region, const char *from_domain,
    const char *from_region)
{
	if (strcmp(domain, from_domain) == 0)
		return SAME_DOMAIN;
	return strcmp(region, from_region) == 0 ? SAME_REGION : ANYWHERE;
}

/* Returns whether callers may be sent to another gateway, and how far it is
 * from a place. */
static bool
accepts_callers(const struct peer_gateways *peer_gateways, size_t at,
    const char *domain, const char *region, enum distance *distance)
{
	const struct member *member = &peer_gateways->members.items[at];

	*distance =
	    distance_of(member->failure_domain, member->region, domain, region);
	return member_state(member, clock_monotonic_us()) == MEMBER_LIVE &&
	    peer_gateways->gateways[at].caller_address[0] != '\0';
}

/* Returns how far from a place callers have to go to find enough gateways that
 * reach servers; -1 if none does. */
static int
choose_distance(const struct peer_gateways *peer_gateways, const char *domain,
    const char *region)
{
	const struct gateway *gateway = peer_gateways->gateway;
	const struct settings *settings = &gateway->settings;
	struct reach_group groups[DISTANCE_COUNT] = {0};
	enum distance distance = distance_of(
	    settings->failure_domain, settings->region, domain, region);

	if (!gateway->blackboard.stopping) {
		groups[distance].live++;
		groups[distance].reaching += !gateway->blackboard.reach.lost;
	}
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		if (!accepts_callers(
			peer_gateways, i, domain, region, &distance))
			continue;
		groups[distance].live++;
		groups[distance].reaching +=
		    !peer_gateways->gateways[i].servers_unreachable;
	}
	return reach_choose_distance(groups, DISTANCE_COUNT);
}

/* Lists the addresses up to a distance, all or those that reach servers. */
static size_t
list_addresses(struct peer_gateways *peer_gateways, const char *domain,
    const char *region, int max_distance, bool all, const char **addresses,
    size_t max)
{
	const struct gateway *gateway = peer_gateways->gateway;
	const struct settings *settings = &gateway->settings;
	enum distance distance = distance_of(
	    settings->failure_domain, settings->region, domain, region);
	size_t count = 0;

	if (!gateway->blackboard.stopping && (int)distance <= max_distance &&
	    (all || !gateway->blackboard.reach.lost))
		addresses[count++] = settings->gateway_callers;
	for (size_t i = 0; i < peer_gateways->members.count && count < max;
	     i++) {
		if (accepts_callers(
			peer_gateways, i, domain, region, &distance) &&
		    (int)distance <= max_distance &&
		    (all || !peer_gateways->gateways[i].servers_unreachable))
			addresses[count++] =
			    peer_gateways->gateways[i].caller_address;
	}
	return count;
}

size_t
peer_gateways_caller_addresses(struct peer_gateways *peer_gateways,
    const char *failure_domain, const char *region, const char **addresses,
    size_t max)
{
	int distance = choose_distance(peer_gateways, failure_domain, region);
	size_t count = 0;

	if (distance >= 0)
		return list_addresses(peer_gateways, failure_domain, region,
		    distance, false, addresses, max);
	for (int i = SAME_DOMAIN; i < DISTANCE_COUNT && count == 0; i++)
		count = list_addresses(peer_gateways, failure_domain, region, i,
		    true, addresses, max);
	return count;
}

static uint64_t
running_requests(const struct peer_gateway *peer_gateway)
{
	uint64_t running = 0;

	for (size_t i = 0; i < peer_gateway->load_count; i++)
		running += peer_gateway->loads[i].running;
	return running;
}

static bool
accepts_relayed(const struct peer_gateways *peer_gateways, size_t at,
    uint64_t config_version, int max_distance)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	const struct peer_gateway *peer_gateway = &peer_gateways->gateways[at];
	enum distance distance;

	return accepts_callers(peer_gateways, at, settings->failure_domain,
		   settings->region, &distance) &&
	    (int)distance <= max_distance &&
	    peer_gateways->members.items[at].config_version >= config_version &&
	    peer_gateway->relay_port != 0 && !peer_gateway->servers_unreachable;
}

bool
peer_gateways_choose_relay(struct peer_gateways *peer_gateways,
    uint64_t config_version, const char *excluded_vm,
    struct relay_target *target)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	int max_distance = choose_distance(
	    peer_gateways, settings->failure_domain, settings->region);
	size_t count = peer_gateways->members.count;
	struct reach_candidate *candidates =
	    xcalloc(count + 1, sizeof(*candidates));
	size_t usable = 0;
	size_t at = 0;

	for (size_t i = 0; i < count; i++) {
		if (accepts_relayed(
			peer_gateways, i, config_version, max_distance) &&
		    strcmp(peer_gateways->gateways[i].vm, excluded_vm) != 0)
			candidates[usable++] = (struct reach_candidate){
			    .at = i,
			    .running =
				running_requests(&peer_gateways->gateways[i]),
			};
	}
	if (usable > 0)
		at = reach_choose_candidate(
		    candidates, usable, &peer_gateways->gateway->rng);
	free(candidates);
	if (usable == 0)
		return false;
	memcpy(target->vm, peer_gateways->gateways[at].vm, NAME_BYTES);
	target->config_version =
	    peer_gateways->members.items[at].config_version;
	snprintf(target->address, sizeof(target->address), "%.20s:%u",
	    peer_gateways->members.items[at].peer_address,
	    (unsigned)peer_gateways->gateways[at].relay_port);
	return true;
}
