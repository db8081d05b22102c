/** @file
 * Ownership of programs and their state on one VM. No I/O: the daemon hands
 * in log records, append results, calls and the time, and takes out batches
 * to append and events.
 *
 * Programs belong to shards (a part of the program id), shards to lanes
 * (shard % lanes; a lane is a stream "lane-N" of the log). The order of a
 * lane's records decides who owns a shard: see docs/DECISIONS/ownership.md.
 * Behind the lanes of shards, the numbering goes on with a lane of crash
 * evidence and one index of snapshots for each lane: owner_lane_count() in
 * all, owner_lane_stream() names them.
 */
#ifndef PROGRAM_OWNER_H
#define PROGRAM_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/counter.h"
#include "common/rng.h"
#include "config/config.h"
#include "record/record.h"

struct owner;

/** How an append went; see plog_status. */
enum append_result {
	APPEND_DONE,
	APPEND_NOT_DONE, /**< surely without effect */
	APPEND_UNKNOWN,  /**< may have taken effect, or may yet */
};

struct owner_options {
	const char *vm;
	const char *address; /**< "IP:port" for callers */
	const struct config_limits *limits;
	struct counters *counters;
	uint64_t seed;
	uint32_t snapshot_records; /**< records of a shard after which it is
				    * written anew; 0: 1024 */
	int64_t retention_us; /**< shortest time that the log keeps records;
			       * 0: a day */
};

/** Handle of a caller's request, given by the daemon; unique in a process. */
typedef uint64_t call_id;

enum owner_event_type {
	/** The BEGIN record is durable: answer with the program id. */
	OWNER_PROGRAM_BEGUN,
	/** The call's turn record is durable: send the final part. */
	OWNER_TURN_DURABLE,
	/** The intent is durable and its epoch was the newest: send it now,
	 * once. */
	OWNER_DISPATCH,
	/** The outcome is durable: answer. */
	OWNER_OUTCOME_DURABLE,
	/** More budget is durable, or the same call that another request
	 * made is over: owner_call_admit() has to be tried again. */
	OWNER_RETRY_ADMIT,
	/** The END record is durable: answer. */
	OWNER_PROGRAM_ENDED,
	/** The call can't go on; refuse it. `run` tells what may be said. */
	OWNER_REFUSED,
	/** The call's records are not durable after all: this VM lost the
	 * shard. Nothing that the caller was told is lost; it resends. */
	OWNER_NOT_DURABLE,
	/** Ask a server to release a program's KV cache, then call
	 * owner_kv_released(). Repeated until then. The server "*" stands for
	 * all that may have run the program: its former owner died. */
	OWNER_RELEASE_KV,
	OWNER_SHARD_TAKEN,
	OWNER_SHARD_LOST,
	/** A history that was fetched from the log is complete: try again. */
	OWNER_HISTORY_READY,
};

struct owner_event {
	enum owner_event_type type;
	call_id call;
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	uint32_t shard;
	uint64_t turn;
	struct digest digest; /**< history after the turn */
	enum refusal reason;
	enum execution_state run;
};

struct owner *owner_create(const struct owner_options *options);
void owner_destroy(struct owner *owner);
/** Limits of a new configuration version; shards and lanes never change. */
void owner_set_limits(struct owner *owner, const struct config_limits *limits);

/* ---- shards ---- */

/** Says whether this VM should own a shard. A wanted shard is claimed once its
 * lane has been read to its end; one no longer wanted is released when its
 * open calls are over. */
void owner_want_shard(
    struct owner *owner, uint32_t shard, bool wanted, const char *next_vm);
/** Says that a VM seems gone, or was restarted, or denies a shard that the
 * lane says it owns: its wanted shards may be claimed. Only a matter of when,
 * never of safety. */
void owner_suspect(struct owner *owner, const char *vm);
/** Sets this VM's part (0..1) of the system's appends a second. */
void owner_set_append_share(struct owner *owner, double share);
bool owner_owns(const struct owner *owner, uint32_t shard);
/** Copies the address of a shard's owner as the lane has it, or "". */
void owner_shard_address(
    const struct owner *owner, uint32_t shard, char *address, size_t size);
size_t owner_owned_shard_count(const struct owner *owner);
size_t owner_open_call_count(const struct owner *owner);
/** Returns false when the id is malformed. */
bool program_shard(const char *program, uint32_t *shard);

/* ---- log ---- */

uint32_t owner_lane_count(const struct owner *owner);
/** Names a lane's stream: "lane-N", "crashes" or "index-N". */
void owner_lane_stream(
    const struct owner *owner, uint32_t lane, char *name, size_t size);
/** Returns whether a lane has to be read, and from where. */
bool
owner_lane_position(const struct owner *owner, uint32_t lane, uint64_t *from);
/** Takes the next record of a lane, in order. */
void owner_handle_record(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us);
/** A read reached the lane's end: all records before `end` were handed in. */
void owner_handle_lane_end(
    struct owner *owner, uint32_t lane, uint64_t end, int64_t now_us);
/** The position to read from is no longer kept; reading restarts at first. */
void owner_handle_lane_expired(
    struct owner *owner, uint32_t lane, uint64_t first, int64_t now_us);

/** Records to append to one lane as a batch. */
struct owner_batch {
	uint32_t lane;
	uint64_t number;   /**< to be handed to owner_handle_appended() */
	struct buf *items; /**< one wire form each; valid until then */
	size_t count;
};

/** Gives the next batch that is due, at most one a lane under way at a time.
 * Claims, intents, outcomes and reservations go before turns. */
bool owner_next_batch(
    struct owner *owner, int64_t now_us, struct owner_batch *batch);
/** Returns when owner_next_batch() may have something; INT64_MAX: nothing. */
int64_t owner_next_batch_us(const struct owner *owner);
/** Tells how an append went. Only reading the lane makes records durable. */
void owner_handle_appended(struct owner *owner, uint64_t number,
    enum append_result result, int64_t now_us);

/* ---- calls ---- */

struct owner_begin {
	const char *workspace;
	const char *parent; /**< program id, or "" */
	const char *key;    /**< idempotency key, or "" */
	uint64_t budget_tokens;
	bool urgent;
	int64_t wall_us;
};

/** What a request may do now. */
enum owner_verdict {
	OWNER_OK,               /**< go on */
	OWNER_WAIT,             /**< an event for this call will follow */
	OWNER_REPLAY,           /**< done before: answer with the kept result */
	OWNER_REFUSE,           /**< see answer->reason */
	OWNER_FETCHING_HISTORY, /**< the history is being read back from the log
				 */
	OWNER_NOT_OWNER,        /**< another VM owns the program */
};

struct owner_answer {
	enum refusal reason;
	enum execution_state run;
	char program[PROGRAM_ID_BYTES];
	uint64_t turn; /**< last recorded turn */
	struct digest digest;
	uint64_t budget_left_tokens;
	uint32_t
	    shard; /**< of the program; OWNER_NOT_OWNER: whose owner to ask */
	/* OWNER_OK of a model call: the history before this call, as pieces of
	 * JSON arrays; valid until the next call into the owner. */
	const struct wire_bytes *history;
	size_t history_count;
	uint64_t history_tokens;
	/* OWNER_REPLAY: content of the recorded turn, or of the outcome */
	struct wire_bytes recorded_content;
	bool durable; /**< false: what is kept may still be lost */
	uint32_t recorded_status;
	enum outcome outcome;
};

/** Begins a program; ends with OWNER_PROGRAM_BEGUN, or at once with a replay
 * of the same key, or a refusal. */
enum owner_verdict owner_program_begin(struct owner *owner, call_id call,
    const struct owner_begin *begin, int64_t now_us,
    struct owner_answer *answer);
/** Ends a program; ends with OWNER_PROGRAM_ENDED. workspace: of the caller,
 * must be the program's; NULL for an operator. */
enum owner_verdict owner_program_end(struct owner *owner, call_id call,
    const char *id, const char *workspace, const char *reason, int64_t now_us,
    struct owner_answer *answer);

enum owner_call_kind {
	OWNER_CALL_MODEL,
	OWNER_CALL_REPEATABLE,     /**< tool or service call */
	OWNER_CALL_NON_IDEMPOTENT, /**< non-idempotent */
};

/** A turn that the caller was told is not durable yet, sent again. */
struct owner_resend {
	bool tool;
	const char *key;
	struct digest arguments;
	uint64_t prompt_tokens; /**< history length after the turn */
	struct wire_bytes content;
};

struct owner_call {
	enum owner_call_kind kind;
	const char *program;
	const char *workspace; /**< of the caller; must be the program's */
	const char *key;       /**< idempotency key; required for ONCE */
	const char *tool;      /**< "" for a model call */
	uint64_t turn;         /**< 0: the next one */
	const struct digest *digest; /**< history the caller has; or NULL */
	struct digest arguments;     /**< of the request body */
	uint64_t cost_tokens;        /**< most that it may spend */
	int64_t wall_us;
	/* Turns that may be missing here, oldest first; taken if the digest
	 * proves that they follow what is kept. */
	const struct owner_resend *resend;
	size_t resend_count;
};

/** Admits a call of a program: order, history, budget, limits, duplicates.
 * OWNER_OK: a model or repeatable call may be sent. OWNER_WAIT: OWNER_DISPATCH
 * (ONCE), OWNER_RETRY_ADMIT (then admit again) or OWNER_REFUSED follows. */
enum owner_verdict owner_call_admit(struct owner *owner, call_id id,
    const struct owner_call *request, int64_t now_us,
    struct owner_answer *answer);

struct owner_turn_end {
	const char *server;
	uint64_t spent_tokens;
	uint64_t prompt_tokens;    /**< history length after the turn */
	struct wire_bytes content; /**< JSON array of new messages */
};

/** Takes the next record that has to be read for a history, by its lane and
 * offset; each is given once. */
bool owner_next_fetch(struct owner *owner, uint32_t *lane, uint64_t *offset);
/** Hands in a record that was asked for; NULL: reading failed, ask again. */
void owner_handle_fetched(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us);

/** A model or repeatable call has its whole answer; OWNER_TURN_DURABLE
 * follows. Returns the digest of the history after the turn. */
struct digest owner_turn_end(struct owner *owner, call_id id,
    const struct owner_turn_end *end, int64_t now_us);
/** A model or repeatable call failed or was given up; what it may have spent
 * is charged, and its server ("" if none) is asked to release what it holds
 * when the program ends. */
void owner_call_abandon(struct owner *owner, call_id id, const char *server,
    uint64_t spent_tokens, int64_t now_us);
/** A dispatched ONCE call has its outcome; OWNER_OUTCOME_DURABLE follows. */
void owner_handle_outcome(struct owner *owner, call_id id, enum outcome outcome,
    uint32_t status, struct wire_bytes answer, int64_t now_us);
/** The caller went away before its answer: a queued intent that is not yet
 * dispatched is withdrawn; the rest goes on. */
void owner_call_detach(struct owner *owner, call_id id, int64_t now_us);
/** An operator states what became of a call of unknown outcome. */
enum owner_verdict owner_settle_outcome(struct owner *owner, call_id id,
    const char *program_id, const char *key, enum outcome outcome,
    const char *operator_name, int64_t now_us, struct owner_answer *answer);
/** A server confirmed that it holds nothing of a program. */
void owner_kv_released(
    struct owner *owner, const char *id, const char *server, int64_t now_us);

/* ---- crashes of backend servers ---- */

/** Returns whether a request must not be sent again: it was alone, or in
 * common, on too many servers that died. */
bool owner_quarantined(const struct owner *owner, uint64_t fingerprint);
void owner_report_crash(struct owner *owner, const char *server,
    const char *workspace, uint64_t fingerprint, uint64_t incident,
    uint32_t running, int64_t wall_us, int64_t now_us);

void owner_lift_quarantine(struct owner *owner, uint64_t fingerprint,
    const char *operator_name, int64_t now_us);

/* ---- time and events ---- */

/** Does what is due: limits on age, snapshots, claims, repeated releases. */
void owner_tick(struct owner *owner, int64_t now_us);
/** Takes the next event; returns false when there is none. */
bool owner_next_event(struct owner *owner, struct owner_event *event);
/** Appends a JSON object for the operator's `programs` command. */
void owner_describe(const struct owner *owner, struct buf *out);

#endif
