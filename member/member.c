#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "member/member.h"

enum {
	HEARTBEAT_TIMEOUT_MS = 4000,
	/** For a listed member that never sent a heartbeat. */
	FIRST_HEARTBEAT_TIMEOUT_MS = 10000,
	MIN_DAMPING_MS = 1000,
	MAX_DAMPING_MS = 32000,
	/** Time without a timeout after which the damping delay starts at its
	 * minimum again. */
	DAMPING_RESET_MS = 300000,
};

static bool
elapsed(int64_t since_us, int64_t now_us, int ms)
{
	return now_us - since_us > (int64_t)ms * US_PER_MS;
}

static bool
is_silent(const struct member *member, int64_t now_us)
{
	if (member->timeout_us > 0)
		return now_us - member->last_heartbeat_us > member->timeout_us;
	return elapsed(member->last_heartbeat_us, now_us, HEARTBEAT_TIMEOUT_MS);
}

/* Returns whether the first heartbeat of a listed member is overdue. */
static bool
is_overdue(const struct member *member, int64_t now_us)
{
	if (member->timeout_us > 0)
		return now_us - member->added_us > member->timeout_us;
	return elapsed(member->added_us, now_us, FIRST_HEARTBEAT_TIMEOUT_MS);
}

/* Returns whether a member is up. The list alone does not tell, because it
 * lags: it may still name VMs that are gone, and may not name new ones yet. */
static bool
is_up(const struct member *member, int64_t now_us)
{
	if (member->last_heartbeat_us != 0)
		return !is_silent(member, now_us) &&
		    now_us >= member->damped_until_us;
	if (member->added_us != 0 && is_overdue(member, now_us))
		return false;
	return member->listed_state != MEMBER_GONE;
}

enum member_state
member_state(const struct member *member, int64_t now_us)
{
	if (!is_up(member, now_us))
		return MEMBER_GONE;
	if (member->draining || member->listed_state == MEMBER_LEAVING)
		return MEMBER_LEAVING;
	return MEMBER_LIVE;
}

bool
member_is_heard(const struct member *member, int64_t now_us)
{
	return member->last_heartbeat_us != 0 && !is_silent(member, now_us);
}

bool
member_may_coordinate(const struct member *member, int64_t now_us)
{
	return member_is_heard(member, now_us) && !member->draining &&
	    member->listed_state != MEMBER_LEAVING;
}

void
member_heartbeat_relayed(struct member *member, int64_t now_us)
{
	int64_t damping_ms = MIN_DAMPING_MS;

	if (member->last_heartbeat_us != 0 && is_silent(member, now_us)) {
		if (elapsed(member->damped_until_us, now_us, DAMPING_RESET_MS))
			member->recoveries = 0;
		for (uint32_t i = 0;
		     i < member->recoveries && damping_ms < MAX_DAMPING_MS; i++)
			damping_ms *= 2;
		member->recoveries++;
		member->damped_until_us = now_us + damping_ms * US_PER_MS;
	}
	member->last_heartbeat_us = now_us;
}

void
member_heartbeat_received(struct member *member, int64_t now_us)
{
	member_heartbeat_relayed(member, now_us);
	member->last_direct_heartbeat_us = now_us;
}

size_t
members_list_directly_heard(const struct members *members,
    const char *failure_domain, int64_t since_us, const struct member **out,
    size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < members->count && count < max; i++) {
		const struct member *member = &members->items[i];

		if (member->last_direct_heartbeat_us != 0 &&
		    member->last_direct_heartbeat_us >= since_us &&
		    strcmp(member->failure_domain, failure_domain) != 0)
			out[count++] = member;
	}
	return count;
}

struct member *
members_find(struct members *members, const char *vm)
{
	for (size_t i = 0; i < members->count; i++) {
		if (strcmp(members->items[i].vm, vm) == 0)
			return &members->items[i];
	}
	return NULL;
}

struct member *
members_add(struct members *members, const char *vm)
{
	struct member *member = members_find(members, vm);

	if (member != NULL)
		return member;
	members->items = xrealloc(
	    members->items, (members->count + 1) * sizeof(*members->items));
	member = &members->items[members->count++];
	memset(member, 0, sizeof(*member));
	member->timeout_us = members->timeout_us;
	snprintf(member->vm, sizeof(member->vm), "%s", vm);
	return member;
}

void
members_reset(struct members *members)
{
	free(members->items);
	memset(members, 0, sizeof(*members));
}
