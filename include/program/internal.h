/** @file
 * What the parts of the owner share; see program/owner.h for the whole.
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
	APPEND_BURST = 8,         /**< appends that may come at once */
	CONFIRM_LANE_ENDS = 3,    /**< ends read before it is sent again */
	APPEND_RETRY_US = 100000, /**< first delay; doubles */
	APPEND_RETRY_MAX_US = 5000000,
	LANE_UNAVAILABLE_US =
	    1000000,              /**< failures for this long: log is out */
	INTENT_WAIT_US = 5000000, /**< then a queued intent is withdrawn */
	KV_RELEASE_RETRY_US = 2000000, /**< between orders to release KV */
	SNAPSHOT_RECORDS = 1024,       /**< default tail of a shard */
	RETENTION_PERIODS = 4,         /**< a record is carried by its third */
	REAPPEND_BACKLOG_BYTES = 1 << 20,
	CLAIM_GRACE_US = 2000000, /**< for the one named in a release */
};

enum pending_state {
	PENDING_UNSENT,
	PENDING_SENDING,
	PENDING_SENT,    /**< appended, not read back yet */
	PENDING_UNKNOWN, /**< may not have been appended */
};

/** A record that was not read back yet. */
struct pending {
	struct list link;
	enum record_type type;
	enum pending_state state;
	uint64_t id;
	uint64_t seq;
	uint32_t lane;
	uint32_t lane_ends; /**< lane ends read since it was sent */
	bool urgent;        /**< claim, intent, outcome, reserve */
	bool any_epoch;     /**< holds whatever its epoch is */
	call_id call;
	char program[PROGRAM_ID_BYTES];
	char parent[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	uint64_t spent; /**< part of the program's local amounts */
	uint64_t reserve;
	uint64_t delegate; /**< of the parent's */
	uint64_t turn;
	int64_t queued_us;
	struct buf wire;
};

struct shard_slot {
	struct shard shard;
	bool wanted;
	bool owned;
	bool releasing; /**< a RELEASE record is queued */
	bool claiming;  /**< a CLAIM record is queued */
	bool snapshot_wanted;
	uint32_t tail_records; /**< applied since the last snapshot */
	uint64_t
	    period_start_offset;  /**< lane's end at the last period's start */
	int64_t period_start_us;  /**< start of the period */
	uint64_t reappend_before; /**< older turns are appended again */
	char next_vm[NAME_BYTES];
	uint64_t next_seq;
	uint64_t claim_id;
	int64_t claim_after_us;
	uint64_t suspected_epoch; /**< its owner seems gone; 0: none */
	struct list pending;      /**< of struct pending, in order of seq */
};

struct lane {
	uint64_t position;
	bool at_end;
	bool started;        /**< position is known */
	bool append_unknown; /**< nothing is sent before the lane's end is read
			      */
	bool sending;
	uint64_t batch; /**< number of the one under way */
	struct buf *items;
	size_t item_count;
	int64_t retry_us;         /**< no append before */
	int64_t failing_since_us; /**< 0: the last append went well */
	uint32_t failures;
	size_t backlog_bytes;
	size_t backlog;
	struct list
	    unsharded;  /**< of struct pending, that belong to no shard */
	uint64_t first; /**< oldest offset kept, as far as is known */
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
	CALL_WAITER, /**< the same call is under way for another request */
};

struct call {
	UT_hash_handle hh;
	call_id id;
	enum call_state state;
	enum owner_call_kind kind;
	uint32_t shard;
	uint64_t epoch;
	bool shard_lost; /**< the shard went to another VM meanwhile */
	bool detached;   /**< nobody waits for events */
	bool withdrawn;  /**< will never be dispatched */
	char program[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	char tool[NAME_BYTES];
	struct digest arguments;
	struct digest digest_before; /**< history before the call */
	struct digest digest_after;
	uint64_t turn;
	uint64_t cost;
	uint64_t intent_id;
	call_id original_call; /**< waiter: the request that made the call */
	int64_t since_us;
};

struct event_item {
	struct list link;
	struct owner_event event;
};

struct fetch {
	struct list link;
	uint32_t lane;
	uint64_t offset;
	uint64_t turn;
	char program[PROGRAM_ID_BYTES];
	bool issued;
};

/** KV cache that a call of a lost shard left. */
struct pending_kv_release {
	struct list link;
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	int64_t due_us;
};

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
	double append_share;
	double credit; /**< appends that may be sent now */
	int64_t credit_us;
	uint32_t next_lane; /**< where the search for a batch goes on */
	uint64_t batches;
	int64_t retention_us;
	uint32_t snapshot_records;  /**< longest tail without a snapshot */
	struct record_index *index; /**< by shard; snapshot 0: none */
	struct call *calls;
	struct list events;
	struct list fetches;
	struct list suspect_vms;
	struct list late_releases;
	struct list cache; /**< programs by last use of their history */
	size_t cache_bytes;
	struct wire_bytes *pieces;
	size_t piece_cap;
	struct crash_evidence crashes;
	call_id internal_calls; /**< ids of calls that no request made */
};

/* owner.c */
struct shard_slot *owner_slot(struct owner *owner, const char *program);
struct owner_event *
event_add(struct owner *owner, enum owner_event_type type, call_id call);
void event_refuse(struct owner *owner, const struct call *call,
    enum refusal reason, enum execution_state run);
struct call *call_find(struct owner *owner, call_id id);
struct call *call_add(struct owner *owner, call_id id, enum call_state state,
    const char *program, int64_t now_us);
void call_remove(struct owner *owner, struct call *call);
struct program *call_program(struct owner *owner, const struct call *call);
enum owner_verdict owner_refuse(
    struct owner *owner, struct owner_answer *answer, enum refusal reason);

/* batch.c */
/** Queues a record of a shard; fills in its id, epoch and sequence. */
struct pending *pending_add(struct owner *owner, struct shard_slot *slot,
    struct record *record, int64_t now_us);
/** Queues a record that belongs to a lane but to no owner. */
struct pending *pending_add_unsharded(
    struct owner *owner, uint32_t lane, struct record *record, int64_t now_us);
void pending_free(struct owner *owner, struct pending *pending);
struct pending *pending_find(struct list *list, uint64_t id);
/** Sends again what a lane's end did not show. */
void pending_lane_end(struct owner *owner, uint32_t lane);
bool lane_backlog_full(const struct owner *owner, uint32_t lane);
bool lane_unavailable(const struct owner *owner, uint32_t lane, int64_t now_us);

/* takeover.c */
/** A VM that claims is alive again. */
void suspect_clear(struct owner *owner, const char *vm);
void slot_taken(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void slot_lost(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void slot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);

/* confirm.c */
/** A pending record was read back. */
void pending_confirm(struct owner *owner, struct shard_slot *slot,
    struct pending *pending, enum fold_verdict verdict, int64_t now_us);
void waiters_wake(struct owner *owner, call_id first);
/** Wakes those whose first request is gone without an answer. */
void waiters_tick(struct owner *owner);

/* intent.c */
enum owner_verdict
once_replay(struct owner *owner, const struct once_call *once,
    const struct owner_call *request, struct owner_answer *answer);
enum owner_verdict
intent_begin(struct owner *owner, struct call *call, int64_t now_us);
void intent_confirmed(struct owner *owner, struct call *call, int64_t now_us);
void intent_withdraw(struct call *call);
void intent_tick(struct owner *owner, int64_t now_us);
void outcome_add(struct owner *owner, const struct call *call,
    enum outcome outcome, uint32_t status, struct wire_bytes answer,
    const char *settled_by, int64_t now_us);

/* budget.c */
/** Returns OWNER_OK, OWNER_WAIT (a reservation is queued) or OWNER_REFUSE. */
enum owner_verdict budget_admit(struct owner *owner, struct program *program,
    struct call *call, int64_t now_us, struct owner_answer *answer);
uint64_t budget_left(const struct program *program);
void budget_charge(struct owner *owner, struct program *program,
    const char *server, uint64_t spent, int64_t now_us);

/* history.c */
/** Fills the answer's history; false: parts are being fetched for the call. */
bool history_collect(struct owner *owner, struct program *program, call_id call,
    struct owner_answer *answer);
bool history_fetch_turn(
    struct owner *owner, struct program *program, uint64_t turn, call_id call);
void history_store(struct owner *owner, struct program *program,
    struct turn *turn, struct wire_bytes content);
void history_evict(struct owner *owner);
void history_drop_cached(struct owner *owner, struct program *program);
/** Takes resent turns if the digest proves them. */
bool history_resend(struct owner *owner, struct program *program,
    const struct owner_call *request, int64_t now_us);
void turn_record(struct owner *owner, struct program *program,
    const struct record_turn *body, call_id call, int64_t now_us);

/* lifecycle.c */
void program_end_queue(struct owner *owner, struct shard_slot *slot,
    struct program *program, const char *reason, call_id call, int64_t now_us);
void program_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void answer_fill(struct owner *owner, const struct program *program,
    struct owner_answer *answer);

/* release.c */
/** Asks a server to drop what a call of a lost shard left there: the new owner
 * may have had the program released before the call reached the server. */
void kv_release_queue(struct owner *owner, const char *program,
    const char *server, int64_t now_us);
/** Returns whether a lane has to be read for such a release. */
bool kv_release_needs_lane(const struct owner *owner, uint32_t lane);
void kv_release_tick(struct owner *owner, int64_t now_us);
void kv_release_program(
    struct owner *owner, struct program *program, int64_t now_us);
void kv_release_reset(struct owner *owner);

/* snapshot.c */
void
snapshot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void index_add(struct owner *owner, struct shard_slot *slot, int64_t now_us);
void
index_apply(struct owner *owner, uint32_t lane, const struct record *record);
/** Decides where the reading of a lane starts, once its index is read. */
void index_end(struct owner *owner, uint32_t lane);
/** Appends again what would expire, and a snapshot, once in a period. */
void
reappend_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us);

#endif
