/** @file
 * Ledger of one partition of programs: where the log holds each retained turn,
 * and how much of its budget each program has spent. The VM that owns the
 * partition uses it to decide whether a turn may run. No I/O; callers pass in
 * the current time.
 *
 * What must survive the loss of every VM is a record in the platform's log. A
 * new owner rebuilds the ledger by reading the log.
 *
 * A turn may run before the log has a record of its start, which saves the wait
 * for the log. The next owner can't know of such a turn. Therefore at most one
 * turn of a program at a time runs without a record, and only if it is the
 * program's first or if durable records say that this owner may grant such
 * turns. A new owner thus misses at most one turn of each program. It adds a
 * placeholder for that turn, which counts with the max_tokens of the program's
 * largest turn until the end of the real turn is reported.
 *
 * The ledger guarantees that a program spends at most its budget and one more
 * turn. The extra turn covers placeholders and turns whose end was not
 * reported, so that a program with budget left is not refused because of a turn
 * that may never have run.
 *
 * Source files: ledger.c applies records and ends turns, ledger_records.c
 * encodes records, ledger_grant.c decides whether a turn may run, and
 * ledger_find.c finds retained turns and the servers of sessions.
 */
#ifndef TURN_LEDGER_H
#define TURN_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "turn/record.h"

struct ledger;

/** Request of a VM to run a turn. */
struct ledger_request {
	const char *turn;
	const char *program;
	bool has_budget;
	uint64_t budget;
	uint64_t max_tokens; /**< limit on the tokens that the turn generates */
	int64_t deadline_us; /**< latest end of the turn */
};

enum ledger_begin_result {
	LEDGER_BEGIN_GRANTED,
	/** The turn's record is not durable yet; retry when it is. */
	LEDGER_BEGIN_RECORD_PENDING,
	/** Running turns reserve the budget; retry when some have ended. */
	LEDGER_BEGIN_BUDGET_IN_USE,
	/** The rest of the budget is too small for the turn. */
	LEDGER_BEGIN_BUDGET_EXHAUSTED,
	/** The turn has ended already. */
	LEDGER_BEGIN_ALREADY_ENDED,
};

/** A turn whose content the log holds, so that later turns can continue it. */
struct ledger_retained_turn {
	struct turn_ref ref;
	const char *previous; /**< turn that it continues, or "" */
	const char *vm;       /**< VM that served the turn */
	const char *server;   /**< backend server whose KV cache has the turn */
};

struct ledger *ledger_create(uint32_t partition);
void ledger_destroy(struct ledger *ledger);
/** Applies a record that was read from the log or the index. offset and bytes:
 * location of the record in the log. */
void ledger_apply(struct ledger *ledger, uint64_t offset, uint32_t bytes,
    const struct turn_record *record, int64_t now_us);
/** Makes this VM the owner of the partition, after all records of the log were
 * applied. Adds placeholders for turns that earlier owners may have granted
 * without a record. */
void
ledger_take_ownership(struct ledger *ledger, uint64_t epoch, int64_t now_us);

/** Decides whether a turn may run. May be called again for the same turn. */
enum ledger_begin_result ledger_begin_turn(struct ledger *ledger,
    const struct ledger_request *request, int64_t now_us);
/** Ends a turn as its VM reports it. offset and bytes: where the log holds the
 * record; used for TURN_RECORD_RETAINED only. */
void ledger_end_turn(struct ledger *ledger, const struct turn_record *record,
    uint64_t offset, uint32_t bytes, int64_t now_us);
/** Remembers that a backend server ran the latest turn of a session and
 * therefore has the session's KV cache. id: id of the program. */
void ledger_set_session_server(struct ledger *ledger, const char *id,
    const char *session, const char *server);
/** Returns the server that has the KV cache of a session; if the session is
 * unknown, the server of the program's latest turn; "" if there is none. */
const char *ledger_session_server(
    const struct ledger *ledger, const char *id, const char *session);
/** Returns whether the end of a turn is durable. Also true for a turn that the
 * ledger does not know. */
bool ledger_is_end_durable(const struct ledger *ledger, const char *turn);
/** Finds a retained turn. Its texts belong to the ledger. Returns false if the
 * turn is unknown or not retained. */
bool ledger_find_retained_turn(const struct ledger *ledger, const char *id,
    struct ledger_retained_turn *retained);
/** Fills refs with the chain of turns that a retained turn continues, oldest
 * first and the turn itself last. Returns the length of the chain; 0 if part of
 * it is unknown or it is longer than max. */
size_t ledger_chain(const struct ledger *ledger, const char *id,
    struct turn_ref *refs, size_t max);

/** Appends the encoded form of the next record of the batch that is to be
 * written to the log. Only one batch may be in flight; ledger_batch_done() ends
 * it. Returns false if no record is queued. */
bool ledger_next_record(struct ledger *ledger, struct buf *out);
/** Returns whether a turn waits for its start record to become durable. */
bool ledger_has_waiting_turns(const struct ledger *ledger);
/** Returns whether records are queued for the log. */
bool ledger_has_queued_records(const struct ledger *ledger);
/** Ends the batch of records taken since the last call. durable: false if the
 * append failed; the records are queued again. */
void ledger_batch_done(struct ledger *ledger, bool durable);
/** Appends the encoded form of the next durable record that the index lacks,
 * without the turn's content. Returns false if there is none, or if it is
 * longer than max_bytes. */
bool ledger_next_index_record(
    struct ledger *ledger, size_t max_bytes, struct buf *out);
/** Returns whether the index lacks durable records. */
bool ledger_has_index_records(const struct ledger *ledger);
/** Ends turns whose end was not reported in time, counting them with their
 * max_tokens, and drops turns and programs that are past the retention. */
void ledger_expire(struct ledger *ledger, int64_t now_us);
/** Returns the log offset before which records are no longer needed. */
uint64_t ledger_trim_offset(const struct ledger *ledger, int64_t now_us);

/** Returns whether turns of a program were ended because no end was reported in
 * time. The log may hold records of their ends that are not applied yet. */
bool ledger_has_timed_out_turns(const struct ledger *ledger, const char *id);
/** Returns the tokens counted as spent for a program, without running turns.
 * For tests and logs. */
uint64_t ledger_spent(const struct ledger *ledger, const char *id);
size_t ledger_program_count(const struct ledger *ledger);
size_t ledger_turn_count(const struct ledger *ledger);

#endif
