#include <inttypes.h>
#include <stdio.h>

#include "common/clock.h"
#include "turn/ledger_internal.h"
#include "turn/mutation.h"

/* How long all turns are recorded after a takeover. If further takeovers
 * follow, their owners then need no placeholders for this ownership. A program
 * without durable records in this time may have had its first turn granted by
 * the previous owner. Longer than turns of usual routes last. */
static const int64_t RECOVERY_US = (int64_t)5 * US_PER_S;
/* Time until a placeholder's deadline; above the time limits of routes for
 * turns. A turn that ends later counts in addition to its placeholder. */
static const int64_t PLACEHOLDER_REMAINING_US = (int64_t)5 * US_PER_S;

/* Time after a turn's deadline at which its end is presumed lost. A VM reports
 * an end at once, and a lost message again after 250 ms. */
static const int64_t LATE_REPORT_US = (int64_t)500 * US_PER_MS;

static void
format_placeholder_id(
    char id[NAME_BYTES], const struct ledger_program *program, uint64_t epoch)
{
	snprintf(id, NAME_BYTES, "%c%" PRIx64 " %.44s", PLACEHOLDER_PREFIX,
	    epoch, program->id);
}

static bool
release_placeholder(struct ledger *ledger, const struct ledger_program *program,
    uint64_t epoch, int64_t now_us)
{
	struct ledger_turn *turn;
	char id[NAME_BYTES];

	format_placeholder_id(id, program, epoch);
	turn = ledger_find_turn(ledger, id);
	if (turn == NULL || (turn->ended && turn->spent == 0))
		return false;
	if (turn->ended)
		ledger_correct_spent(turn, 0);
	else
		ledger_set_ended(ledger, turn, 0, now_us);
	ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
	return true;
}

void
ledger_release_placeholder(
    struct ledger *ledger, const struct ledger_turn *ended, int64_t now_us)
{
	if (!release_placeholder(ledger, ended->program, ended->epoch, now_us))
		release_placeholder(
		    ledger, ended->program, EPOCH_UNKNOWN, now_us);
}

/* Adds a placeholder for a turn that the owner of an epoch may have granted.
 * Its id depends on the program and that epoch only, so that further takeovers
 * do not add another one. */
static void
add_placeholder(struct ledger *ledger, struct ledger_program *program,
    uint64_t epoch, int64_t now_us)
{
	struct ledger_turn *turn;
	char id[NAME_BYTES];

	format_placeholder_id(id, program, epoch);
	if (program->max_turn_tokens == 0 ||
	    ledger_find_turn(ledger, id) != NULL ||
	    turn_mutation_on(TURN_MUTATION_NO_PLACEHOLDER))
		return;
	turn = ledger_add_turn(ledger, program, id, program->max_turn_tokens);
	turn->epoch = epoch;
	turn->start_recorded = true;
	turn->remaining_us = PLACEHOLDER_REMAINING_US;
	turn->deadline_us = now_us + PLACEHOLDER_REMAINING_US;
	ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
}

void
ledger_take_ownership(struct ledger *ledger, uint64_t epoch, int64_t now_us)
{
	struct ledger_program *program;

	ledger->epoch = epoch;
	ledger->recovery_until_us = now_us + RECOVERY_US;
	for (program = ledger->programs; program != NULL;
	     program = program->hh.next) {
		program->last_used_us = now_us;
		if (program->unrecorded_epoch != 0)
			add_placeholder(
			    ledger, program, program->unrecorded_epoch, now_us);
	}
}

/** Tokens that the running turns of a program may generate. */
struct running_tokens {
	uint64_t max_tokens;
	uint64_t placeholder_tokens;
	/** Those of turns whose end was not reported soon after their
	 * deadline. */
	uint64_t overdue_tokens;
};

static struct running_tokens
count_running(const struct ledger_program *program, int64_t now_us)
{
	struct running_tokens running = {0};

	list_for_each (
	    turn, &program->running_turns, struct ledger_turn, link) {
		running.max_tokens += turn->max_tokens;
		if (turn->placeholder)
			running.placeholder_tokens += turn->max_tokens;
		else if (now_us - turn->deadline_us > LATE_REPORT_US)
			running.overdue_tokens += turn->max_tokens;
	}
	if (turn_mutation_on(TURN_MUTATION_IGNORE_RUNNING))
		running.max_tokens = 0;
	return running;
}

/* Returns by how many tokens a program may exceed its budget: tokens that may
 * not have been spent do not count against it, up to those of one turn. */
static uint64_t
overrun_allowance(
    const struct ledger_program *program, uint64_t unconfirmed_tokens)
{
	return unconfirmed_tokens < program->max_turn_tokens
	    ? unconfirmed_tokens
	    : program->max_turn_tokens;
}

/* Checks whether the rest of the budget is enough for a turn. Running turns and
 * placeholders count with their max_tokens. */
static enum ledger_begin_result
check_budget(const struct ledger_program *program,
    const struct ledger_request *request, int64_t now_us)
{
	struct running_tokens running = count_running(program, now_us);
	uint64_t wanted = program->spent + request->max_tokens;

	if (!request->has_budget)
		return LEDGER_BEGIN_GRANTED;
	if (wanted > request->budget +
		overrun_allowance(program,
		    program->unconfirmed_tokens - running.placeholder_tokens))
		return LEDGER_BEGIN_BUDGET_EXHAUSTED;
	if (wanted + running.max_tokens > request->budget +
		overrun_allowance(program,
		    program->unconfirmed_tokens + running.overdue_tokens))
		return LEDGER_BEGIN_BUDGET_IN_USE;
	return LEDGER_BEGIN_GRANTED;
}

static enum ledger_begin_result
repeated_result(const struct ledger_turn *turn)
{
	if (turn->ended)
		return LEDGER_BEGIN_ALREADY_ENDED;
	return durability_is_pending(turn->durability)
	    ? LEDGER_BEGIN_RECORD_PENDING
	    : LEDGER_BEGIN_GRANTED;
}

/* Returns whether the previous owner may have granted the first turn of a
 * program that has no durable record yet. */
static bool
may_have_unknown_turn(const struct ledger *ledger,
    const struct ledger_program *program, int64_t now_us)
{
	return program->epoch == EPOCH_UNKNOWN &&
	    now_us < ledger->recovery_until_us;
}

/* Returns whether a turn may run without a record. The program must have no
 * other turn that the log lacks, and a new owner must be able to account for
 * the turn: either durable records say that this owner may grant such turns, so
 * that the new owner adds a placeholder, or the program is new. */
static bool
may_run_unrecorded(const struct ledger *ledger,
    const struct ledger_program *program, int64_t now_us)
{
	if (program->non_durable_turns > 0 ||
	    now_us < ledger->recovery_until_us)
		return false;
	return program->unrecorded_epoch == ledger->epoch ||
	    (program->epoch == EPOCH_UNKNOWN &&
		program->unconfirmed_tokens == 0);
}

enum ledger_begin_result
ledger_begin_turn(
    struct ledger *ledger, const struct ledger_request *request, int64_t now_us)
{
	struct ledger_turn *turn = ledger_find_turn(ledger, request->turn);
	struct ledger_program *program;
	enum ledger_begin_result result;

	if (turn != NULL)
		return repeated_result(turn);
	program = ledger_ensure_program(ledger, request->program, now_us);
	if (request->max_tokens > program->max_turn_tokens)
		program->max_turn_tokens = request->max_tokens;
	if (may_have_unknown_turn(ledger, program, now_us))
		add_placeholder(ledger, program, EPOCH_UNKNOWN, now_us);
	if (request->budget > program->budget)
		program->budget = request->budget;
	result = check_budget(program, request, now_us);
	if (result != LEDGER_BEGIN_GRANTED)
		return result;
	turn = ledger_add_turn(
	    ledger, program, request->turn, request->max_tokens);
	turn->remaining_us =
	    request->deadline_us > now_us ? request->deadline_us - now_us : 1;
	turn->deadline_us = request->deadline_us;
	if (may_run_unrecorded(ledger, program, now_us) ||
	    turn_mutation_on(TURN_MUTATION_NO_RECORD)) {
		ledger_set_durability(ledger, turn, DURABILITY_NOT_REQUIRED);
		return LEDGER_BEGIN_GRANTED;
	}
	turn->start_recorded = true;
	turn->allows_unrecorded = now_us >= ledger->recovery_until_us;
	ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
	return LEDGER_BEGIN_RECORD_PENDING;
}
