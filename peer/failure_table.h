/** @file
 * Table of the members and their verdicts. Internal to failure detection.
 */
#ifndef PEER_FAILURE_TABLE_H
#define PEER_FAILURE_TABLE_H

#include <uthash.h>

#include "common/list.h"
#include "peer/failure.h"

enum {
	FAILURE_RELAYS_PER_DOMAIN = 2, /**< a relay and its standby */
	/** Seed of the rendezvous hash that chooses relays. */
	FAILURE_RELAY_SEED = 0x7e1a,
	/** Sources of a member: two in its failure domain, two in this VM's. */
	FAILURE_VIEW_SOURCES = 4,
};

/** Daemon whose views describe a member. */
struct view_source {
	uint64_t vm_hash; /**< hash of the daemon's VM name; 0: unused */
	bool first_hand;  /**< whether it is in the member's failure domain */
	bool gone;        /**< whether it reports the member as gone */
	int64_t last_heard_us; /**< member's last sign of life in its views */
	int64_t last_view_us;  /**< time of its last view */
};

/** Member and what is known about it. The time of an event that has not
 * happened is 0. */
struct failure_entry {
	struct list link;
	UT_hash_handle hh;            /**< hash by member.vm */
	struct message_member member; /**< latest description */
	uint64_t weight;              /**< rendezvous hash as a relay */
	bool listed;       /**< whether the platform lists it at present */
	int64_t listed_us; /**< time at which the platform first listed it */
	int64_t last_message_us;
	int64_t last_heartbeat_us;
	int64_t returned_us; /**< time at which it was added, or last returned
				after it was gone */
	uint32_t returns;    /**< number of counted returns */
	bool was_gone;       /**< whether it was gone at the last tick */
	struct view_source view_sources[FAILURE_VIEW_SOURCES];
	/** Description that views carry. */
	struct message_member published;
	/** Version at which it was published; 0: never. */
	uint64_t published_version;
	/** Version at which it was last published other than partially. */
	uint64_t published_full_version;
	int64_t published_us;
	/** Version of this VM's views that the member has acknowledged. */
	uint64_t acked_version;
	/** Incarnation of the sender of the member's last view. */
	uint64_t received_incarnation;
	/** Version up to which all views of the member were received. */
	uint64_t received_version;
};

struct failure_detector {
	struct message_member self;
	struct list entries;         /**< of struct failure_entry */
	struct failure_entry *by_vm; /**< hash of the entries by VM name */
	uint64_t version; /**< version of the last published change */
	/** Description of this VM that views carry. */
	struct message_member self_published;
	/** Version at which it was published; 0: never. */
	uint64_t self_published_version;
	int64_t self_published_us;
	size_t domain_count; /**< failure domains with a member not gone */
	int64_t next_us;     /**< time of the next tick */
	int64_t started_us;  /**< time of the first tick */
	int64_t last_heartbeat_us; /**< last heartbeat from any daemon */
	/** Time since which heartbeats come in without a break of
	 * FAILURE_GONE_TIMEOUT_MS; 0: there was none. */
	int64_t heartbeats_since_us;
};

struct failure_entry *
entry_find(const struct failure_detector *failure, const char *vm);
struct failure_entry *
entry_add(struct failure_detector *failure, const char *vm);
void
entry_remove(struct failure_detector *failure, struct failure_entry *entry);
/** Returns the source in an entry that stands for the sender of a view. If
 * there is none, replaces the least recent source if create is true, else
 * returns NULL. */
struct view_source *entry_view_source(struct failure_entry *entry,
    const struct failure_entry *sender, bool create);
/** Returns the verdict from first-hand and second-hand knowledge. */
enum failure_verdict entry_verdict_any(const struct failure_detector *failure,
    const struct failure_entry *entry, int64_t now_us);
/** Publishes changes of what is known first-hand under new versions, counts
 * returns, and removes VMs that are gone and not listed. */
void failure_update_members(struct failure_detector *failure, int64_t now_us);

#endif
