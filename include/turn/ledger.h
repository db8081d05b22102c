/** @file
 * Ledger of one partition of programs: which turns are kept and where, and
 * what each program has spent of its budget. Its owner grants turns by it.
 * No I/O; time is handed in.
 *
 * What has to survive every VM is a record in the platform's log. One turn of a
 * program at a time may run without a record of its beginning, if records say
 * that this owner may do so, or if it is the program's first. A new owner, who
 * reads the log, therefore knows all but one turn of a program; it charges the
 * program for that one at its most, until its end is told.
 *
 * The promise is that a program spends its budget and one turn more at most.
 * That one turn covers what is only charged or guessed, so that a program with
 * budget left is not refused for a turn that may never have run.
 *
 * The parts: ledger.c folds records and ends, ledger_records.c writes facts,
 * ledger_grant.c decides on turns, ledger_find_retained_turn.c answers where
 * things are.
 */
#ifndef TURN_LEDGER_H
#define TURN_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "turn/record.h"

struct ledger;

/** A turn that a VM wants to run. */
struct ledger_request {
	const char *turn;
	const char *program;
	bool has_budget;
	uint64_t budget;
	uint64_t most;       /**< tokens that it may generate */
	int64_t deadline_us; /**< when it has surely ended */
};

enum ledger_begin_result {
	LEDGER_BEGIN_GRANTED,
	LEDGER_BEGIN_RECORD_PENDING, /**< ask again when records have become
					durable */
	LEDGER_BEGIN_BUDGET_IN_USE,  /**< ask again when other turns have ended
				      */
	LEDGER_BEGIN_BUDGET_EXHAUSTED, /**< the budget does not hold the turn */
	LEDGER_BEGIN_ALREADY_ENDED,    /**< it has run already */
};

/** A kept turn. */
struct ledger_retained_turn {
	struct turn_ref ref;
	const char *previous; /**< "" for the first of a chain */
	const char *vm;       /**< that served it */
	const char *server;   /**< backend server that has its cache */
};

struct ledger *ledger_create(uint32_t part);
void ledger_destroy(struct ledger *ledger);
/** Takes a record from the log. */
void ledger_apply(struct ledger *ledger, uint64_t offset, uint32_t bytes,
    const struct turn_record *record, int64_t now_us);
/** All records are read, and this VM owns the partition from now on. What the
 * owner before had granted is not all known. */
void
ledger_take_ownership(struct ledger *ledger, uint64_t epoch, int64_t now_us);

enum ledger_begin_result ledger_begin_turn(
    struct ledger *ledger, const struct ledger_request *ask, int64_t now_us);
/** A VM tells how a turn ended. offset: of its record, if it is of the type
 * TURN_RECORD_RETAINED and therefore in the log. */
void ledger_end_turn(struct ledger *ledger, const struct turn_record *record,
    uint64_t offset, uint32_t bytes, int64_t now_us);
/** Notes the backend server that ran a turn of a session: it has its cache. */
void ledger_set_session_server(struct ledger *ledger, const char *id,
    const char *session, const char *server);
/** Returns the server that has the cache of a session, or else that of the
 * program's latest turn; "": none is known. */
const char *ledger_session_server(
    const struct ledger *ledger, const char *id, const char *session);
/** Returns whether the end of a turn is known and durable. */
bool ledger_is_end_durable(const struct ledger *ledger, const char *turn);
/** Finds a kept turn; false: none is known. */
bool ledger_find_retained_turn(const struct ledger *ledger, const char *turn,
    struct ledger_retained_turn *kept);
/** Fills refs with the chain of a kept turn, oldest first and the turn itself
 * last. Returns its length, or 0 when it is longer than max. */
size_t ledger_chain(const struct ledger *ledger, const char *id,
    struct turn_ref *refs, size_t max);

/** Appends the wire form of a record that has to become durable; at most one
 * batch is under way. False: there is none left. */
bool ledger_next_record(struct ledger *ledger, struct buf *out);
/** Returns whether a turn waits for a record. */
bool ledger_has_waiting_turns(const struct ledger *ledger);
/** Returns whether there are records to be appended. */
bool ledger_has_queued_records(const struct ledger *ledger);
/** The records taken since the last call are durable, or have to be taken
 * again. */
void ledger_batch_done(struct ledger *ledger, bool durable);
/** Appends the wire form of a durable fact that the index lacks, without
 * content. False: there is none left. */
bool ledger_next_index_record(struct ledger *ledger, struct buf *out);
/** Gives up on turns whose VM has not told their end, and forgets what is too
 * old to be asked for. */
void ledger_expire(struct ledger *ledger, int64_t now_us);
/** Returns the offset before which no record is needed any more. */
uint64_t ledger_trim_offset(const struct ledger *ledger, int64_t now_us);

/** Returns whether turns of a program were counted at their most since news of
 * their end did not come: it may be in the log. */
bool
ledger_has_timed_out_turns(const struct ledger *ledger, const char *program);
/** Tokens that a program has surely spent; for tests and logs. */
uint64_t ledger_spent(const struct ledger *ledger, const char *id);
size_t ledger_program_count(const struct ledger *ledger);
size_t ledger_turn_count(const struct ledger *ledger);

#endif
