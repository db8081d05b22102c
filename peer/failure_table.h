/** @file
 * Members and verdicts, shared by the files of failure detection.
 */
#ifndef PEER_FAILURE_TABLE_H
#define PEER_FAILURE_TABLE_H

#include <uthash.h>

#include "common/list.h"
#include "peer/failure.h"

enum {
	FAILURE_RELAYS = 2,          /**< a relay and its standby */
	FAILURE_RELAY_SEED = 0x7e1a, /**< rendezvous hashing of relays */
	FAILURE_VOUCHERS = 4, /**< two of a member's domain, two of our own */
};

/** A daemon that tells of a member in its views. */
struct voucher {
	uint64_t name;    /**< hash of its VM; 0: unused */
	bool first_hand;  /**< it is of the member's own failure domain */
	bool gone;        /**< says that the member is gone */
	int64_t heard_us; /**< last sign of life through it */
	int64_t told_us;  /**< last view of it */
};

struct entry {
	struct list link;
	UT_hash_handle hh;            /**< by member.vm */
	struct message_member member; /**< as we would describe it */
	uint64_t weight;              /**< rendezvous hash as a relay */
	bool listed;
	int64_t introduced_us; /**< first named by the platform's list */
	int64_t direct_us;     /**< last message from it */
	int64_t hello_us;      /**< last heartbeat from it */
	int64_t returned_us;   /**< when it was last new, or back */
	uint32_t returns;
	bool was_gone;
	struct voucher vouchers[FAILURE_VOUCHERS];
	struct message_member shown; /**< member as last numbered */
	uint64_t changed;            /**< number of that change; 0: none */
	uint64_t acknowledged;       /**< our view that it has seen */
	uint64_t view_incarnation;   /**< its view that we have seen */
	uint64_t view_seen;
};

struct failure {
	struct message_member self;
	struct list entries; /**< of struct entry */
	struct entry *by_vm; /**< hash of the same */
	uint64_t change;     /**< number of the last change */
	size_t domains;      /**< with a member that is not gone */
	int64_t next_us;
	int64_t started_us; /**< first tick */
	int64_t hello_us;   /**< last heartbeat of any daemon */
	int64_t serving_us; /**< since when heartbeats come; 0: none yet */
};

struct entry *entry_find(const struct failure *failure, const char *vm);
struct entry *entry_add(struct failure *failure, const char *vm);
void entry_remove(struct failure *failure, struct entry *entry);
/** Returns the voucher's place in an entry; NULL if it has none and create is
 * false. */
struct voucher *
entry_voucher(struct entry *entry, const struct entry *sender, bool create);
/** Returns the verdict by everyone's word. */
enum failure_verdict entry_verdict_any(
    const struct failure *failure, const struct entry *entry, int64_t now_us);
/** Numbers changes of what is known first-hand, counts returns, forgets VMs
 * that are gone and not listed. */
void table_update(struct failure *failure, int64_t now_us);

#endif
