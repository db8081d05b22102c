#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "gateway/peer_gateways_internal.h"
#include "gateway/recorder.h"
#include "member/reader.h"

/* Fills candidates with the VMs of this failure domain, this one first. Returns
 * their number. */
static size_t
list_candidates(const struct peer_gateways *peer_gateways,
    struct reader_candidate *candidates)
{
	const struct gateway *gateway = peer_gateways->gateway;
	size_t count = 1;

	candidates[0] = (struct reader_candidate){
	    .rank = hash_text(peer_gateways_self_vm(peer_gateways), 0),
	    .live = !gateway->blackboard.stopping,
	    .reaches_store = !recorder_store_is_unreachable(gateway->recorder),
	};
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (!peer_gateway_in_own_domain(peer_gateways, member))
			continue;
		candidates[count++] = (struct reader_candidate){
		    .rank = peer_gateways->gateways[i].vm_hash,
		    .live = member->last_heartbeat_us != 0 &&
			peer_gateway_is_live(member),
		    .reaches_store =
			!peer_gateways->gateways[i].store_unreachable,
		};
	}
	return count;
}

bool
peer_gateways_reads_store(const struct peer_gateways *peer_gateways)
{
	int readers = peer_gateways->gateway->settings.gateway_store_readers;
	struct reader_candidate *candidates;
	size_t count;
	bool chosen;

	if (readers == 0)
		return true;
	candidates =
	    xcalloc(peer_gateways->members.count + 1, sizeof(*candidates));
	count = list_candidates(peer_gateways, candidates);
	chosen = reader_is_chosen(candidates, count, 0, (size_t)readers);
	free(candidates);
	return chosen;
}

bool
peer_gateways_find_reader(const struct peer_gateways *peer_gateways,
    int64_t max_age_us, struct store_reader *reader)
{
	int64_t newest_us = clock_monotonic_us() - max_age_us;
	bool found = false;

	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];
		const struct peer_gateway *peer = &peer_gateways->gateways[i];

		if (!peer_gateway_in_own_domain(peer_gateways, member) ||
		    !peer_gateway_is_live(member) || peer->store_unreachable ||
		    peer->servers_read_us == 0 ||
		    peer->servers_read_us < newest_us)
			continue;
		newest_us = peer->servers_read_us;
		found = true;
		*reader = (struct store_reader){
		    .vm = member->vm,
		    .servers_digest = peer->servers_digest,
		    .config_version = member->config_version,
		};
	}
	return found;
}
