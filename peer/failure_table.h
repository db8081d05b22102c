/** @file
 * Members and verdicts, shared by the files of failure detection.
 */
#ifndef PEER_FAILURE_TABLE_H
#define PEER_FAILURE_TABLE_H

#include <uthash.h>

#include "common/list.h"
#include "peer/failure.h"

enum {
	FAILURE_RELAYS_PER_DOMAIN = 2, /**< a relay and its standby */
	FAILURE_RELAY_SEED = 0x7e1a,   /**< rendezvous hashing of relays */
	FAILURE_VIEW_SOURCES =
	    4, /**< two of a member's domain, two of our own */
};

/** A daemon that tells of a member in its views. */
struct view_source {
	uint64_t vm_hash;      /**< hash of its VM; 0: unused */
	bool first_hand;       /**< it is of the member's own failure domain */
	bool gone;             /**< says that the member is gone */
	int64_t last_heard_us; /**< last sign of life through it */
	int64_t last_view_us;  /**< last view of it */
};

struct failure_entry {
	struct list link;
	UT_hash_handle hh;            /**< by member.vm */
	struct message_member member; /**< as we would describe it */
	uint64_t weight;              /**< rendezvous hash as a relay */
	bool listed;
	int64_t listed_us;         /**< first named by the platform's list */
	int64_t last_message_us;   /**< last message from it */
	int64_t last_heartbeat_us; /**< last heartbeat from it */
	int64_t returned_us;       /**< when it was last new, or back */
	uint32_t returns;
	bool was_gone;
	struct view_source view_sources[FAILURE_VIEW_SOURCES];
	struct message_member published; /**< member as last numbered */
	uint64_t published_version;      /**< number of that change; 0: none */
	uint64_t published_full_version; /**< the same, past what brief has */
	int64_t published_us;
	uint64_t acked_version;        /**< our view that it has seen */
	uint64_t received_incarnation; /**< its view that we have seen */
	uint64_t received_version;
};

struct failure_detector {
	struct message_member self;
	struct list entries;         /**< of struct entry */
	struct failure_entry *by_vm; /**< hash of the same */
	uint64_t version;            /**< number of the last change */
	struct message_member self_published;
	uint64_t
	    self_published_version; /**< number of the last change of self */
	int64_t self_published_us;
	size_t domain_count; /**< with a member that is not gone */
	int64_t next_us;
	int64_t started_us;        /**< first tick */
	int64_t last_heartbeat_us; /**< last heartbeat of any daemon */
	int64_t
	    heartbeats_since_us; /**< since when heartbeats come; 0: none yet */
};

struct failure_entry *
entry_find(const struct failure_detector *failure, const char *vm);
struct failure_entry *
entry_add(struct failure_detector *failure, const char *vm);
void
entry_remove(struct failure_detector *failure, struct failure_entry *entry);
/** Returns the view_source's place in an entry; NULL if it has none and create
 * is false. */
struct view_source *entry_view_source(struct failure_entry *entry,
    const struct failure_entry *sender, bool create);
/** Returns the verdict by everyone's word. */
enum failure_verdict entry_verdict_any(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us);
/** Numbers changes of what is known first-hand, counts returns, forgets VMs
 * that are gone and not listed. */
void failure_update_members(struct failure_detector *failure, int64_t now_us);

#endif
