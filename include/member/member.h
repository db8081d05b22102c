/** @file
 * Entry VMs as this VM sees them: the platform's lagging list, put together
 * with what was observed and with operators' drains.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "record/record.h"

enum member_state {
	MEMBER_LIVE,
	MEMBER_LEAVING, /**< finishes its work, takes no more */
	MEMBER_GONE,
};

struct member {
	char vm[NAME_BYTES];
	char address[NAME_BYTES]; /**< IP address for callers */
	int port;
	char peer_address[NAME_BYTES]; /**< IP address for daemons */
	int peer_port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	enum member_state listed_state; /**< as the platform's list says */
	bool draining;    /**< says so itself, or an operator does */
	int64_t added_us; /**< when it was first listed; 0: not known */
	int64_t last_heartbeat_us; /**< last sign of life; 0: none yet */
	int64_t
	    last_direct_heartbeat_us; /**< last one from itself; 0: none yet */
	int64_t distrusted_until_us;  /**< it counts as gone until then */
	uint32_t recoveries;          /**< times it came back after a silence */
	uint64_t config_version;      /**< in force there */
	int64_t timeout_us;           /**< that means it is gone; 0: 4 s */
};

struct members {
	struct member *items;
	size_t count;
	int64_t listed_us; /**< when the list was last read */
	/** Silence after which a member is gone; 0: 4 s. */
	int64_t timeout_us;
};

/** Returns what is believed of a member at a time: its own signs of life
 * weigh more than the list. */
enum member_state member_state(const struct member *member, int64_t now_us);
/** Notes a sign of life. A member that comes back after a silence is trusted
 * again only after a delay, which doubles each time. */
void member_heartbeat_received(struct member *member, int64_t now_us);
/** Another VM has heard from it just now. */
void member_heartbeat_relayed(struct member *member, int64_t now_us);
/** Fills out with the VMs outside a failure domain that this VM heard from
 * itself since a time; what others told is not told on. Returns how many. */
size_t members_list_directly_heard(const struct members *members,
    const char *failure_domain, int64_t since_us, const struct member **out,
    size_t max);
struct member *members_find(struct members *members, const char *vm);
/** Adds a member, or returns the one of that name. */
struct member *members_add(struct members *members, const char *vm);
void members_reset(struct members *members);
/** Returns the live member that should own a shard (rendezvous hashing), or
 * NULL when none is live. */
const struct member *members_shard_owner(
    const struct members *members, uint32_t shard, int64_t now_us);
/** Returns the k-th choice for a shard, in the same order. */
const struct member *members_shard_choice(const struct members *members,
    uint32_t shard, size_t choice, int64_t now_us);
/** Returns how many live members come before one, by name: its turn in work
 * that any of them may do. */
uint32_t
members_rank(const struct members *members, const char *vm, int64_t now_us);
/** Orders the live members for a caller: those of its region first, failure
 * domains in turn, otherwise spread by the seed. Returns how many (at most
 * max) were written to order. */
size_t members_order(const struct members *members, const char *region,
    uint64_t seed, int64_t now_us, const struct member **order, size_t max);

#endif
