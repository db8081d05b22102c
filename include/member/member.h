/** @file
 * Entry VMs and whether they are live, as this VM sees them: the platform's
 * list, which lags behind, combined with heartbeats and operators' drains.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record/record.h"

enum member_state {
	MEMBER_LIVE,
	MEMBER_LEAVING, /**< finishes its work and accepts no more */
	MEMBER_GONE,
};

/** One entry VM. */
struct member {
	char vm[NAME_BYTES];
	char address[NAME_BYTES]; /**< IP address for callers */
	int port;
	char peer_address[NAME_BYTES]; /**< IP address for daemons */
	int peer_port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	enum member_state listed_state; /**< state in the platform's list */
	bool draining;    /**< as reported by the member or by an operator */
	int64_t added_us; /**< when it was first listed; 0: not known */
	int64_t last_heartbeat_us; /**< last heartbeat, received or relayed; 0:
				    * none yet */
	int64_t last_direct_heartbeat_us; /**< last heartbeat from the member
					   * itself; 0: none yet */
	int64_t damped_until_us;          /**< counts as gone until then */
	uint32_t recoveries;     /**< times it came back after a timeout */
	uint64_t config_version; /**< version in force on the member */
	int64_t timeout_us; /**< time without heartbeats after which it is gone;
			     * 0: 4 s */
};

/** All known entry VMs. */
struct members {
	struct member *items;
	size_t count;
	int64_t listed_us; /**< when the platform's list was last read */
	/** Timeout of members added from now on; 0: 4 s. */
	int64_t timeout_us;
};

/** Returns a member's state at a time. Heartbeats take precedence over the
 * platform's list. */
enum member_state member_state(const struct member *member, int64_t now_us);
/** Returns whether a member's heartbeats arrive, also while it is damped. */
bool member_is_heard(const struct member *member, int64_t now_us);
/** Returns whether a member that is heard takes over matters. Damping does not
 * count: the member itself does not know of it, and would go on beside another
 * one. */
bool member_may_coordinate(const struct member *member, int64_t now_us);
/** Handles a heartbeat from a member itself. A member that comes back after a
 * timeout counts as gone for a delay, which doubles each time, so that its
 * shards do not move back and forth. */
void member_heartbeat_received(struct member *member, int64_t now_us);
/** Handles a heartbeat that another VM received and passed on. */
void member_heartbeat_relayed(struct member *member, int64_t now_us);
/** Lists the members outside a failure domain whose own heartbeat this VM
 * received at since_us or later. Writes at most max of them to out and returns
 * their number. Relayed heartbeats do not count, so that they are not relayed
 * again. */
size_t members_list_directly_heard(const struct members *members,
    const char *failure_domain, int64_t since_us, const struct member **out,
    size_t max);
struct member *members_find(struct members *members, const char *vm);
/** Adds a member, or returns the one of that name. The pointer is valid until
 * the next member is added. */
struct member *members_add(struct members *members, const char *vm);
void members_reset(struct members *members);
/** Returns the live member that should own a shard (rendezvous hashing), or
 * NULL when none is live. */
const struct member *members_shard_owner(
    const struct members *members, uint32_t shard, int64_t now_us);
/** Returns the live member at a position (0: the owner) in the shard's order of
 * preference, or NULL when fewer are live. */
const struct member *members_shard_choice(const struct members *members,
    uint32_t shard, size_t choice, int64_t now_us);
/** Returns how many live members come before a VM in order of names. Used to
 * take turns at work that any of them may do. */
uint32_t
members_rank(const struct members *members, const char *vm, int64_t now_us);
/** Writes the live members, at most max, to `order`, as a caller should try
 * them: those of its region first, alternating between failure domains,
 * otherwise shuffled by the seed. Returns their number. */
size_t members_order(const struct members *members, const char *region,
    uint64_t seed, int64_t now_us, const struct member **order, size_t max);

#endif
