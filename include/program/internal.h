/** @file
 * Declarations shared by the source files of the owner; see program/owner.h for
 * its interface.
 */
#ifndef PROGRAM_INTERNAL_H
#define PROGRAM_INTERNAL_H

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "program/crash.h"
#include "program/mutation.h"
#include "program/owner.h"
#include "program/shard_fold.h"

#define RETENTION_DEFAULT_US (INT64_C(86400) * US_PER_S)

enum {
	BATCH_BYTES = 1 << 20,
	BATCH_RECORDS = 512,
	LANE_BACKLOG_BYTES = 8 << 20,
	LANE_BACKLOG_RECORDS = 8192,
	APPEND_BURST = 8, /**< appends that the rate limit allows at once */
	/** A record that was appended is sent again if it is missing after this
	 * many reads up to the lane's end. */
	CONFIRM_LANE_ENDS = 3,
	/** Delay after the first failed append; doubles with each failure. */
	APPEND_RETRY_US = 100000,
	APPEND_RETRY_MAX_US = 5000000,
	/** Appends have to fail for this long before the lane counts as
	 * unavailable. */
	LANE_UNAVAILABLE_US = 1000000,
	INTENT_WAIT_US = 5000000, /**< until a queued intent is withdrawn */
	KV_RELEASE_RETRY_US = 2000000, /**< between repeated requests */
	/** Default number of records between two snapshots. */
	SNAPSHOT_RECORDS = 1024,
	/** The retention time is divided into this many periods. Records are
	 * appended again before they are more than three periods old. */
	RETENTION_PERIODS = 4,
	/** Records are not appended again while a lane's backlog is larger. */
	REAPPEND_BACKLOG_BYTES = 1 << 20,
	/** Time in which only the VM named in a RELEASE record may claim. */
	CLAIM_GRACE_US = 2000000,
};

enum pending_state {
	PENDING_UNSENT,
	PENDING_SENDING,
	PENDING_SENT,    /**< appended, not read back yet */
	PENDING_UNKNOWN, /**< the append may or may not have taken effect */
};

/** A record that is to be appended, or was and has not been read back yet. */
struct pending {
	struct list link;
	enum record_type type;
	enum pending_state state;
	uint64_t id;
	uint64_t seq;
	uint32_t lane;
	uint32_t lane_ends; /**< times that the lane's end was read since it was
			     * sent */
	bool urgent;    /**< appended without delay, e.g. a claim or intent */
	bool any_epoch; /**< stays valid after the epoch has ended */
	call_id call;
	char program[PROGRAM_ID_BYTES];
	char parent[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	uint64_t spent;    /**< tokens in the program's local_spent */
	uint64_t reserve;  /**< tokens in the program's local_reserve */
	uint64_t delegate; /**< tokens in the parent's local_delegate */
	uint64_t turn;
	int64_t queued_us;
	struct buf wire; /**< encoded record */
};

/** A shard and this VM's ownership of it. */
struct shard_slot {
	struct shard shard;
	bool wanted;    /**< this VM should own the shard */
	bool owned;     /**< this VM owns the shard, as its lane says */
	bool releasing; /**< a RELEASE record is queued */
	bool claiming;  /**< a CLAIM record is queued */
	bool snapshot_wanted;
	uint32_t tail_records;        /**< applied since the last snapshot */
	uint64_t period_start_offset; /**< lane position at the start of the
				       * current period */
	int64_t period_start_us;      /**< start of the current period, see
				       * RETENTION_PERIODS */
	uint64_t reappend_before;     /**< turns before this offset are appended
				       * again */
	char next_vm[NAME_BYTES];     /**< should claim after a release */
	uint64_t next_seq;
	uint64_t claim_id;
	int64_t claim_after_us; /**< end of the grace time of the VM named in a
				 * release; 0: not started */
	uint64_t suspected_epoch; /**< epoch whose owner seems gone; 0: none */
	struct list pending;      /**< of struct pending, in order of seq */
};

/** Reading position and appends of one lane. */
struct lane {
	uint64_t position; /**< offset of the next record to read */
	bool at_end;
	bool started;        /**< position is known */
	bool append_unknown; /**< an append's effect is not known: nothing is
			      * sent before the lane's end has been read */
	bool sending;
	uint64_t batch_number; /**< of the batch in flight */
	struct buf *items;     /**< records of the batch in flight */
	size_t item_count;
	int64_t retry_us; /**< time of the next append after a failure */
	int64_t failing_since_us; /**< 0: the last append succeeded */
	uint32_t failures;        /**< in a row */
	size_t backlog_bytes;
	size_t backlog;
	struct list unsharded; /**< of struct pending that belong to no shard */
	uint64_t first_offset; /**< oldest offset known to be in the log */
};

enum call_state {
	CALL_BEGIN,
	CALL_END,
	CALL_RESERVING,
	CALL_FETCHING,
	CALL_RUNNING,
	CALL_RECORDING,
	CALL_INTENT,
	CALL_DISPATCHED,
	CALL_OUTCOME,
	CALL_SETTLE,
	CALL_WAITER, /**< another request is making the same call */
};

/** A request of a caller that the owner has not finished. */
struct call {
	UT_hash_handle hh;
	call_id id;
	enum call_state state;
	enum owner_call_kind kind;
	uint32_t shard;
	uint64_t epoch;
	bool shard_lost; /**< another VM has taken over the shard */
	bool detached;   /**< the caller is gone: it gets no events */
	bool withdrawn;  /**< will never be dispatched */
	char program[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	char tool[NAME_BYTES];
	struct digest arguments;
	struct digest digest_before; /**< of the history before the call */
	struct digest digest_after;  /**< of the history after the call */
	uint64_t turn;
	uint64_t cost;         /**< tokens that the call may spend at most */
	uint64_t intent_id;    /**< id of the intent's record */
	call_id original_call; /**< CALL_WAITER: request that makes the call */
	int64_t since_us;      /**< time of the last (re-)admission */
};

struct event_item {
	struct list link;
	struct owner_event event;
};

/** A turn's record that is to be read back from the log. */
struct fetch {
	struct list link;
	uint32_t lane;
	uint64_t offset;
	uint64_t turn;
	char program[PROGRAM_ID_BYTES];
	bool issued; /**< handed out by owner_next_fetch() */
};

/** KV cache that a call of a lost shard left on a server. */
struct pending_kv_release {
	struct list link;
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	int64_t due_us;
};

/** A VM that seems gone. */
struct suspect_vm {
	struct list link;
	char vm[NAME_BYTES];
};

struct owner {
	char vm[NAME_BYTES];
	char address[NAME_BYTES];
	struct config_limits limits;
	struct counters *counters;
	struct rng rng;
	struct shard_slot *slots;
	struct lane *lanes;
	uint32_t lane_total;
	double append_share;      /**< 0..1, see owner_set_append_share() */
	double append_credit;     /**< appends that may be sent now */
	int64_t append_credit_us; /**< time of append_credit */
	uint32_t next_lane;       /**< lane to look for a batch first */
	uint64_t batches;         /**< number of the last batch */
	int64_t retention_us;
	uint32_t snapshot_records;  /**< most records between two snapshots */
	struct record_index *index; /**< by shard; snapshot_id 0: none */
	struct call *calls;
	struct list events;
	struct list fetches;
	struct list suspect_vms;
	struct list pending_kv_releases;
	struct list cache; /**< programs by last use of their cached history,
			    * oldest first */
	size_t cache_bytes;
	struct wire_bytes *pieces; /**< history of the last admitted call */
	size_t piece_cap;
	struct crash_evidence crashes;
};

/* owner.c */
/** Returns the slot of a program's shard, or NULL if the id is malformed. */
struct shard_slot *owner_slot(struct owner *owner, const char *program);
struct owner_event *
event_add(struct owner *owner, enum owner_event_type type, call_id call);
/** Queues a refusal of a call, unless its caller is gone. */
void event_refuse(struct owner *owner, const struct call *call,
    enum refusal reason, enum execution_state execution);
struct call *call_find(struct owner *owner, call_id id);
/** Adds a call, or updates the call with this id. */
struct call *call_add(struct owner *owner, call_id id, enum call_state state,
    const char *program, int64_t now_us);
void call_remove(struct owner *owner, struct call *call);
/** Returns a call's program, or NULL if its shard was lost. */
struct program *call_program(struct owner *owner, const struct call *call);
/** Fills in and counts a refusal. Returns OWNER_NOT_OWNER or OWNER_REFUSE. */
enum owner_decision owner_refuse(
    struct owner *owner, struct owner_result *result, enum refusal reason);

/* batch.c */
/** Queues a record of a shard; fills in its id, epoch and sequence number. */
struct pending *pending_add(struct owner *owner, struct shard_slot *slot,
    struct record *record, int64_t now_us);
/** Queues a record of a lane that belongs to no shard. */
struct pending *pending_add_unsharded(
    struct owner *owner, uint32_t lane, struct record *record, int64_t now_us);
void pending_free(struct owner *owner, struct pending *pending);
struct pending *pending_find(struct list *list, uint64_t id);
/** Handles a read up to the lane's end: records that should have been read back
 * by now are sent again. */
void pending_lane_end(struct owner *owner, uint32_t lane);
bool lane_backlog_full(const struct owner *owner, uint32_t lane);
bool lane_unavailable(const struct owner *owner, uint32_t lane, int64_t now_us);

/* takeover.c */
/** Stops suspecting a VM: it has claimed a shard, so it is alive. */
void suspect_clear(struct owner *owner, const char *vm);
/** Handles a claim of this VM that was read back as valid. */
void slot_taken(struct owner *owner, struct shard_slot *slot, int64_t now_us);
/** Ends this VM's ownership of a shard after release or another VM's claim. */
void slot_lost(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void slot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);

/* lane.c */
/** Returns whether this VM reads a lane of shards. */
bool owner_reads_lane(const struct owner *owner, uint32_t lane);

/* confirm.c */
/** Handles a pending record that was read back, and frees it. */
void pending_confirm(struct owner *owner, struct shard_slot *slot,
    struct pending *pending, enum fold_verdict verdict, int64_t now_us);
/** Has the requests that wait for a call admitted again. */
void waiters_wake(struct owner *owner, call_id original);
/** Wakes the waiters whose original call no longer exists. */
void waiters_tick(struct owner *owner);

/* intent.c */
/** Returns OWNER_REPLAY with the recorded outcome, OWNER_REFUSE if the key was
 * used with other arguments, or OWNER_OK if the call never ran. */
enum owner_decision
once_replay(struct owner *owner, const struct once_call *once,
    const struct owner_call *request, struct owner_result *result);
/** Queues the intent of a non-idempotent call. Returns OWNER_WAIT. */
enum owner_decision
intent_begin(struct owner *owner, struct call *call, int64_t now_us);
void intent_confirmed(struct owner *owner, struct call *call, int64_t now_us);
void intent_withdraw(struct call *call);
/** Withdraws intents that have waited too long for the log. */
void intent_tick(struct owner *owner, int64_t now_us);
/** Queues the outcome of an intent. settled_by: the operator who states it, or
 * "" if the owner knows it. */
void outcome_add(struct owner *owner, const struct call *call,
    enum outcome outcome, uint32_t status, struct wire_bytes response,
    const char *settled_by, int64_t now_us);

/* budget.c */
/** Returns OWNER_OK, OWNER_WAIT (a reservation is queued) or OWNER_REFUSE. */
enum owner_decision budget_admit(struct owner *owner, struct program *program,
    struct call *call, int64_t now_us, struct owner_result *result);
uint64_t budget_left(const struct program *program);
/** Records tokens that were spent outside of a turn, and the server that may
 * hold KV cache. */
void budget_charge(struct owner *owner, struct program *program,
    const char *server, uint64_t spent, int64_t now_us);

/* history.c */
/** Fills in the history of an admitted call. Returns false while turns of it
 * are being fetched from the log. */
bool history_collect(struct owner *owner, struct program *program, call_id call,
    struct owner_result *result);
/** Has a turn's content fetched for a call. Returns false if it is cached or
 * empty. */
bool history_fetch_turn(
    struct owner *owner, struct program *program, uint64_t turn, call_id call);
/** Caches a copy of a turn's content. */
void history_store(struct owner *owner, struct program *program,
    struct turn *turn, struct wire_bytes content);
/** Drops the least recently used histories until the cache fits its limit. */
void history_evict(struct owner *owner);
void history_drop_cached(struct owner *owner, struct program *program);
/** Records the turns that a caller sent again, if the digest proves that they
 * follow the recorded history. Returns whether it does. */
bool history_resend(struct owner *owner, struct program *program,
    const struct owner_call *request, int64_t now_us);
/** Adds a turn to a program and queues its record. */
void turn_record(struct owner *owner, struct program *program,
    const struct record_turn *body, call_id call, int64_t now_us);

/* lifecycle.c */
/** Queues the end of a program and, before it, of its sub-agents. */
void program_end_queue(struct owner *owner, struct shard_slot *slot,
    struct program *program, const char *reason, call_id call, int64_t now_us);
/** Repeats KV releases of ended programs; ends those past their time limit. */
void program_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);
/** Fills in a program's id, shard, last turn, digest and remaining budget. */
void result_fill(struct owner *owner, const struct program *program,
    struct owner_result *result);

/* kv_release.c */
/** Asks a server to release KV cache left by a call of a lost shard: the new
 * owner may have released the program before the call reached the server. */
void kv_release_queue(struct owner *owner, const char *program,
    const char *server, int64_t now_us);
/** Returns whether a lane has to be read because of a queued release. */
bool kv_release_needs_lane(const struct owner *owner, uint32_t lane);
/** Repeats queued releases that are due. */
void kv_release_tick(struct owner *owner, int64_t now_us);
/** Asks all servers that hold KV cache of an ended program to release it. */
void kv_release_program(
    struct owner *owner, struct program *program, int64_t now_us);
void kv_release_reset(struct owner *owner);

/* snapshot.c */
/** Queues a snapshot of a shard if one is wanted. */
void
snapshot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);
/** Queues an index entry for a shard's newest snapshot. */
void index_add(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void
index_apply(struct owner *owner, uint32_t lane, const struct record *record);
/** Sets where reading of a lane starts, once its index lane has been read to
 * the end. */
void index_end(struct owner *owner, uint32_t index_lane);

/* reappend.c */
/** Appends turns again before they expire, and has a snapshot written once per
 * period; see RETENTION_PERIODS. */
void
reappend_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);

#endif
