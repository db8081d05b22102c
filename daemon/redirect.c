#include <stdio.h>
#include <string.h>

#include "daemon/redirect.h"

/** Whether the VM that claimed a shard last still owns it. */
enum claim_state {
	CLAIM_HELD,
	CLAIM_MOVING,  /**< this VM will soon read another claim */
	CLAIM_UNKNOWN, /**< the VM is gone, or this VM does not read the lane */
};

static void
member_caller_address(const struct member *member, char *address, size_t size)
{
	snprintf(address, size, "%s:%d", member->address, member->port);
}

/* Returns whether this VM has heard from a member. One that is only listed may
 * have been restarted at another address. */
static bool
is_heard(const struct member *member)
{
	return member->last_heartbeat_us != 0;
}

static enum claim_state
find_claim_state(const struct redirect_view *view, int64_t now_us)
{
	const struct shard_ownership *ownership = &view->ownership;
	char address[2 * NAME_BYTES];
	const struct member *member;

	if (ownership->owned)
		return CLAIM_HELD;
	if (ownership->vm[0] == '\0' || strcmp(ownership->vm, view->vm) == 0)
		return ownership->lane_read ? CLAIM_MOVING : CLAIM_UNKNOWN;
	member = members_find(view->members, ownership->vm);
	if (member == NULL)
		return CLAIM_HELD;
	if (member_state(member, now_us) == MEMBER_GONE)
		return CLAIM_UNKNOWN;
	member_caller_address(member, address, sizeof(address));
	if (strcmp(address, ownership->address) == 0 && is_heard(member))
		return CLAIM_HELD;
	/* The VM was restarted, maybe at an address that the platform's list
	 * does not have yet, and claims again. */
	return ownership->lane_read ? CLAIM_MOVING : CLAIM_UNKNOWN;
}

enum redirect_target
redirect_choose(const struct redirect_view *view, uint32_t shard,
    int64_t waited_us, int64_t now_us, char *address, size_t size)
{
	const struct member *preferred;

	switch (find_claim_state(view, now_us)) {
	case CLAIM_HELD:
		snprintf(address, size, "%s",
		    view->ownership.owned ? view->address
					  : view->ownership.address);
		return REDIRECT_OWNER;
	case CLAIM_MOVING:
		if (waited_us < REDIRECT_WAIT_US)
			return REDIRECT_WAIT;
		break;
	case CLAIM_UNKNOWN:
		break;
	}
	preferred = members_shard_owner(view->members, shard, now_us);
	if (preferred == NULL || strcmp(preferred->vm, view->vm) == 0)
		return REDIRECT_NONE;
	if (!is_heard(preferred))
		return waited_us < REDIRECT_WAIT_US ? REDIRECT_WAIT
						    : REDIRECT_NONE;
	member_caller_address(preferred, address, size);
	return REDIRECT_PREFERRED;
}
