/** @file
 * Ownership of programs and their state on one VM. No I/O: the daemon passes in
 * log records, append results, calls and the time, and takes out events and
 * batches to append.
 *
 * A program belongs to a shard (a part of the program id), a shard to a lane
 * (shard % lanes). A lane is a stream "lane-N" of the log. The order of a
 * lane's records decides which VM owns a shard: see
 * docs/DECISIONS/ownership.md. The lanes of shards are followed by one lane of
 * crash reports and, for each lane of shards, one index lane that tells where
 * the snapshots are. owner_lane_count() counts all of them,
 * owner_lane_stream() names them.
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

/** Result of an append; see plog_status. */
enum append_result {
	APPEND_DONE,
	APPEND_NOT_DONE, /**< certainly had no effect */
	APPEND_UNKNOWN,  /**< may have taken effect, or may still do so */
};

struct owner_options {
	const char *vm;
	const char *address; /**< "IP:port" for callers */
	const struct config_limits *limits;
	struct counters *counters;
	uint64_t seed;
	uint32_t snapshot_records; /**< records of a shard between two
				    * snapshots; 0: 1024 */
	int64_t retention_us; /**< shortest time that the log keeps records;
			       * 0: a day */
};

/** Handle of a caller's request, chosen by the daemon; unique in a process. */
typedef uint64_t call_id;

enum owner_event_type {
	/** The BEGIN record is durable: respond with the program id. */
	OWNER_PROGRAM_BEGUN,
	/** The call's turn record is durable: send the final part of the
	 * response. */
	OWNER_TURN_DURABLE,
	/** The intent is durable and this VM owned the shard when it was
	 * appended: send the call now, exactly once. */
	OWNER_DISPATCH,
	/** The outcome is durable: send the response. */
	OWNER_OUTCOME_DURABLE,
	/** More budget was reserved, or another request's call with the same
	 * key is over: call owner_call_admit() again. */
	OWNER_RETRY_ADMIT,
	/** The END record is durable: send the response. */
	OWNER_PROGRAM_ENDED,
	/** The call cannot continue: refuse it. `execution` says whether the
	 * caller may be told that the call did not run. */
	OWNER_REFUSED,
	/** The call's record did not become durable because this VM lost the
	 * shard. The caller keeps the turn that it received and sends it again,
	 * so nothing is lost. */
	OWNER_NOT_DURABLE,
	/** Ask a server to release a program's KV cache, then call
	 * owner_kv_released(). Repeated until then. The server "*" stands for
	 * all that may have run the program: its former owner died. */
	OWNER_RELEASE_KV,
	OWNER_SHARD_TAKEN,
	OWNER_SHARD_LOST,
	/** The history was read from the log: call owner_call_admit() again. */
	OWNER_HISTORY_READY,
};

struct owner_event {
	enum owner_event_type type;
	call_id call_id;
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	uint32_t shard;
	uint64_t turn;
	struct digest digest; /**< of the history after the turn */
	enum refusal reason;
	enum execution_state execution;
};

struct owner *owner_create(const struct owner_options *options);
void owner_destroy(struct owner *owner);
/** Sets the limits of a new configuration version. The numbers of shards and
 * lanes stay as they were at creation. */
void owner_set_limits(struct owner *owner, const struct config_limits *limits);

/** Sets whether this VM should own a shard. A wanted shard is claimed once its
 * lane has been read to the end. A shard that is no longer wanted is released
 * once its open calls end; next_vm ("" or NULL: any) should claim it then. */
void owner_set_shard_wanted(
    struct owner *owner, uint32_t shard, bool wanted, const char *next_vm);
/** Tells that a VM seems gone, was restarted, or does not own a shard that the
 * lane says it owns: this VM may claim its shards if it wants them. A wrong
 * suspicion is safe, since the lane's order decides about ownership. */
void owner_suspect(struct owner *owner, const char *vm);
/** Sets this VM's share (0..1) of the system's appends per second. */
void owner_set_append_share(struct owner *owner, double share);
bool owner_owns(const struct owner *owner, uint32_t shard);
/** The ownership of a shard, as far as this VM has read its lane. */
struct shard_ownership {
	bool owned;               /**< by this VM */
	bool lane_read;           /**< this VM goes on reading the lane */
	char vm[NAME_BYTES];      /**< VM with the newest claim; "" if there is
				   * none or it released the shard */
	char address[NAME_BYTES]; /**< "IP:port" for callers, from the claim */
};

/** Returns what this VM knows about the ownership of a shard. */
struct shard_ownership
owner_shard_ownership(const struct owner *owner, uint32_t shard);
size_t owner_owned_shard_count(const struct owner *owner);
size_t owner_open_call_count(const struct owner *owner);
/** Reads the shard from a program id. Returns false if the id is malformed. */
bool program_shard(const char *program, uint32_t *shard);

uint32_t owner_lane_count(const struct owner *owner);
/** Writes the name of a lane's stream: "lane-N", "crashes" or "index-N". */
void owner_lane_stream(
    const struct owner *owner, uint32_t lane, char *name, size_t size);
/** Returns whether a lane has to be read, and the offset to start at. */
bool
owner_lane_position(const struct owner *owner, uint32_t lane, uint64_t *from);
/** Applies the next record of a lane; records come in the lane's order. */
void owner_handle_record(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us);
/** Handles a read that reached the lane's end: all records before `end` were
 * passed to owner_handle_record(). */
void owner_handle_lane_end(
    struct owner *owner, uint32_t lane, uint64_t end, int64_t now_us);
/** Handles a lane whose next record is no longer in the log; reading continues
 * at `first`, the oldest offset kept. */
void owner_handle_lane_expired(
    struct owner *owner, uint32_t lane, uint64_t first, int64_t now_us);

/** Records to append to one lane as a batch. */
struct owner_batch {
	uint32_t lane;
	uint64_t number;   /**< to be passed to owner_handle_appended() */
	struct buf *items; /**< one encoded record each; valid until
			    * owner_handle_appended() */
	size_t count;
};

/** Returns the next batch that is due, at most one per lane at a time. Claims,
 * intents, outcomes and reservations go before turns. Returns false when none
 * is due. */
bool owner_next_batch(
    struct owner *owner, int64_t now_us, struct owner_batch *batch);
/** Returns when owner_next_batch() may return a batch; INT64_MAX: none is
 * queued. */
int64_t owner_next_batch_us(const struct owner *owner);
/** Handles the result of an append. A record counts as durable only after it
 * has been read back from the lane. */
void owner_handle_appended(struct owner *owner, uint64_t number,
    enum append_result result, int64_t now_us);

/** A request to begin a program. */
struct owner_begin {
	const char *workspace;
	const char *parent; /**< program id, or "" */
	const char *key;    /**< idempotency key, or "" */
	uint64_t budget_tokens;
	bool urgent;
	int64_t wall_us;
};

/** Decision about a request. */
enum owner_decision {
	OWNER_OK,               /**< the request may proceed */
	OWNER_WAIT,             /**< an event for this call will follow */
	OWNER_REPLAY,           /**< done before: send the recorded result */
	OWNER_REFUSE,           /**< see owner_result.reason */
	OWNER_FETCHING_HISTORY, /**< the history is being read from the log;
				 * OWNER_HISTORY_READY follows */
	OWNER_NOT_OWNER,        /**< another VM owns the program */
};

/** Details of a decision about a request. */
struct owner_result {
	enum refusal reason;
	enum execution_state execution;
	char program[PROGRAM_ID_BYTES];
	uint64_t turn; /**< last recorded turn */
	struct digest digest;
	uint64_t budget_left_tokens;
	uint32_t shard; /**< of the program; OWNER_NOT_OWNER: the owner of this
			 * shard has to be asked */
	/* OWNER_OK of a model call: the history before this call, one JSON
	 * array of messages per turn; valid until the next call into the
	 * owner. */
	const struct wire_bytes *history;
	size_t history_count;
	uint64_t history_tokens;
	/* OWNER_REPLAY: content of the recorded turn, or response of the
	 * non-idempotent call. */
	struct wire_bytes recorded_response;
	bool durable; /**< false: the recorded turn may still be lost */
	uint32_t recorded_status; /**< HTTP status of the response */
	enum outcome outcome;
};

/** Begins a program. Returns OWNER_WAIT (OWNER_PROGRAM_BEGUN or OWNER_REFUSED
 * follows), OWNER_REPLAY if the same key began it before, or a refusal. */
enum owner_decision owner_program_begin(struct owner *owner, call_id call,
    const struct owner_begin *begin, int64_t now_us,
    struct owner_result *result);
/** Ends a program. Returns OWNER_WAIT (OWNER_PROGRAM_ENDED follows),
 * OWNER_REPLAY if it has ended, or a refusal. workspace: of the caller, must be
 * the program's; NULL for an operator. */
enum owner_decision owner_program_end(struct owner *owner, call_id call,
    const char *id, const char *workspace, const char *reason, int64_t now_us,
    struct owner_result *result);

enum owner_call_kind {
	OWNER_CALL_MODEL,
	OWNER_CALL_REPEATABLE,     /**< idempotent tool or service call */
	OWNER_CALL_NON_IDEMPOTENT, /**< sent at most once */
};

/** A turn that the caller sends again because it was not durable when it was
 * delivered. */
struct owner_resend {
	bool tool;
	const char *key;
	struct digest arguments;
	uint64_t prompt_tokens; /**< history length after the turn */
	struct wire_bytes content;
};

/** A request to make a call of a program. */
struct owner_call {
	enum owner_call_kind kind;
	const char *program;
	const char *workspace; /**< of the caller; must be the program's */
	const char *key;       /**< idempotency key; required for
				* OWNER_CALL_NON_IDEMPOTENT */
	const char *tool;      /**< "" for a model call */
	uint64_t turn;         /**< 0: the next one */
	const struct digest *digest; /**< of the caller's history; or NULL */
	struct digest arguments;     /**< digest of the request body */
	uint64_t cost_tokens;        /**< tokens that it may spend at most */
	int64_t wall_us;
	/* Turns that the owner may not have, oldest first; recorded if the
	 * digest proves that they follow the recorded history. */
	const struct owner_resend *resend;
	size_t resend_count;
};

/** Admits a call of a program after checks of order, history, budget, limits
 * and duplicates. OWNER_OK: a model or repeatable call may be sent. OWNER_WAIT:
 * OWNER_DISPATCH (non-idempotent calls), OWNER_RETRY_ADMIT (then admit again)
 * or OWNER_REFUSED follows. */
enum owner_decision owner_call_admit(struct owner *owner, call_id id,
    const struct owner_call *request, int64_t now_us,
    struct owner_result *result);

/** The result of a model or repeatable call. */
struct owner_turn_end {
	const char *server;
	uint64_t spent_tokens;
	uint64_t prompt_tokens;    /**< history length after the turn */
	struct wire_bytes content; /**< JSON array of new messages */
};

/** Returns the lane and offset of the next record that has to be read for a
 * history; each is returned once. Returns false when there is none. */
bool owner_next_fetch(struct owner *owner, uint32_t *lane, uint64_t *offset);
/** Handles a record that owner_next_fetch() asked for. NULL: reading failed;
 * owner_next_fetch() returns it again. */
void owner_handle_fetched(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us);

/** Records the complete response of a model or repeatable call;
 * OWNER_TURN_DURABLE or OWNER_NOT_DURABLE follows. Returns the digest of the
 * history after the turn. */
struct digest owner_turn_end(struct owner *owner, call_id id,
    const struct owner_turn_end *end, int64_t now_us);
/** Ends a model or repeatable call that failed or was given up. The tokens that
 * it may have spent are charged, and its server ("" if none) is asked to
 * release its KV cache when the program ends. */
void owner_call_abandon(struct owner *owner, call_id id, const char *server,
    uint64_t spent_tokens, int64_t now_us);
/** Records the outcome of a dispatched non-idempotent call;
 * OWNER_OUTCOME_DURABLE follows. */
void owner_handle_outcome(struct owner *owner, call_id id, enum outcome outcome,
    uint32_t status, struct wire_bytes response, int64_t now_us);
/** Handles a caller that is gone before its response. A call that waits for
 * budget, history or another request is dropped, an intent that is not yet
 * dispatched is withdrawn, and any other call continues. */
void owner_call_detach(struct owner *owner, call_id id, int64_t now_us);
/** Records an operator's statement about a non-idempotent call of unknown
 * outcome. Returns OWNER_WAIT, OWNER_REPLAY if the outcome is known, or a
 * refusal. */
enum owner_decision owner_settle_outcome(struct owner *owner, call_id id,
    const char *program_id, const char *key, enum outcome outcome,
    const char *operator_name, int64_t now_us, struct owner_result *result);
/** Records that a server has released all KV cache of a program. */
void owner_kv_released(
    struct owner *owner, const char *id, const char *server, int64_t now_us);

/** Returns whether a request must not be sent again because too many servers
 * crashed while they ran it; see program/crash.h. */
bool owner_quarantined(const struct owner *owner, uint64_t fingerprint);
void owner_report_crash(struct owner *owner, const char *server,
    const char *workspace, uint64_t fingerprint, uint64_t incident,
    uint32_t running, int64_t wall_us, int64_t now_us);

void owner_lift_quarantine(struct owner *owner, uint64_t fingerprint,
    const char *operator_name, int64_t now_us);

/** Does what is due: claims, releases, time limits of programs and intents,
 * snapshots, and repeated KV releases. */
void owner_tick(struct owner *owner, int64_t now_us);
/** Removes and returns the next event. Returns false when there is none. */
bool owner_next_event(struct owner *owner, struct owner_event *event);
/** Appends a JSON object for the operator's `programs` command. */
void owner_describe(const struct owner *owner, struct buf *out);

#endif
