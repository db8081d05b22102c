#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "gateway/peer_gateways_internal.h"

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
	int64_t now_us = clock_monotonic_us();
	struct choice choice = {0};

	if (!gateway->blackboard.stopping)
		consider(&choice, gateway->settings.vm_name,
		    strcmp(gateway->settings.failure_domain, failure_domain) ==
			0,
		    server);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (member->last_heartbeat_us == 0 ||
		    member_state(member, now_us) != MEMBER_LIVE)
			continue;
		consider(&choice, member->vm,
		    strcmp(member->failure_domain, failure_domain) == 0,
		    server);
	}
	return choice.vm != NULL ? choice.vm : gateway->settings.vm_name;
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
