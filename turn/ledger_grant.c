#include <inttypes.h>
#include <stdio.h>

#include "common/clock.h"
#include "turn/ledger_internal.h"
#include "turn/mutation.h"

/* So long after a takeover all turns are recorded: more takeovers may follow,
 * whose owners then need not charge programs for this one. A program that is
 * not known until then may have had a turn from the owner before. Longer than
 * turns of usual routes last. */
static const int64_t CAREFUL_US = (int64_t)5 * US_PER_S;
/* The time limits of routes of turns are below it. A turn that ends later is
 * counted besides the charge. */
static const int64_t CHARGE_US = (int64_t)5 * US_PER_S;

/* ---- charges ---- */

static void
charge_name(
    char name[NAME_BYTES], const struct ledger_program *program, uint64_t epoch)
{
	snprintf(name, NAME_BYTES, "%c%" PRIx64 " %.44s", PLACEHOLDER_PREFIX,
	    epoch, program->id);
}

static bool
settle(struct ledger *ledger, const struct ledger_program *program,
    uint64_t epoch, int64_t now_us)
{
	struct ledger_turn *turn;
	char name[NAME_BYTES];

	charge_name(name, program, epoch);
	turn = ledger_find_turn(ledger, name);
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
	if (!settle(ledger, ended->program, ended->epoch, now_us))
		settle(ledger, ended->program, EPOCH_UNKNOWN, now_us);
}

/* Charges a program with a turn at its most, which the owner of an epoch may
 * have granted. However often the program changes hands without a turn, the
 * charge has the same name. */
static void
charge_program(struct ledger *ledger, struct ledger_program *program,
    uint64_t epoch, int64_t now_us)
{
	struct ledger_turn *turn;
	char name[NAME_BYTES];

	charge_name(name, program, epoch);
	if (program->most == 0 || ledger_find_turn(ledger, name) != NULL ||
	    turn_mutation_on(TURN_MUTATION_NO_PLACEHOLDER))
		return;
	turn = ledger_add_turn(ledger, program, name, program->most);
	turn->epoch = epoch;
	turn->recorded = true;
	turn->left_us = CHARGE_US;
	turn->deadline_us = now_us + CHARGE_US;
	ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
}

void
ledger_take_ownership(struct ledger *ledger, uint64_t epoch, int64_t now_us)
{
	struct ledger_program *program;

	ledger->epoch = epoch;
	ledger->careful_until_us = now_us + CAREFUL_US;
	for (program = ledger->programs; program != NULL;
	     program = program->hh.next) {
		program->used_us = now_us;
		if (program->unrecorded_epoch != 0)
			charge_program(
			    ledger, program, program->unrecorded_epoch, now_us);
	}
}

/* ---- grants ---- */

struct open_turns {
	uint64_t most;     /**< tokens that they may generate */
	uint64_t doubtful; /**< of these, by turns that may not exist */
};

static struct open_turns
count_open(const struct ledger_program *program)
{
	struct open_turns open = {0};

	list_for_each (turn, &program->open, struct ledger_turn, link) {
		open.most += turn->most;
		open.doubtful += turn->charge ? turn->most : 0;
	}
	if (turn_mutation_on(TURN_MUTATION_IGNORE_RUNNING))
		open.most = 0;
	return open;
}

/* A program may spend one turn more than its budget where that is needed: a
 * turn that may never have been granted is not held against it. */
static uint64_t
allowance(const struct ledger_program *program, uint64_t doubtful)
{
	return doubtful < program->most ? doubtful : program->most;
}

/* Whether the budget holds a turn, counting what runs and what earlier owners
 * may have granted at its most. */
static enum ledger_begin_result
check_budget(
    const struct ledger_program *program, const struct ledger_request *ask)
{
	struct open_turns open = count_open(program);
	uint64_t wanted = program->spent + ask->most;

	if (!ask->has_budget)
		return LEDGER_BEGIN_GRANTED;
	if (wanted >
	    ask->budget + allowance(program, program->doubtful - open.doubtful))
		return LEDGER_BEGIN_BUDGET_EXHAUSTED;
	if (wanted + open.most >
	    ask->budget + allowance(program, program->doubtful))
		return LEDGER_BEGIN_BUDGET_IN_USE;
	return LEDGER_BEGIN_GRANTED;
}

static enum ledger_begin_result
repeat_verdict(const struct ledger_turn *turn)
{
	if (turn->ended)
		return LEDGER_BEGIN_ALREADY_ENDED;
	return durability_is_pending(turn->durability)
	    ? LEDGER_BEGIN_RECORD_PENDING
	    : LEDGER_BEGIN_GRANTED;
}

/* Whether the owner before may have granted a program its first turn: there is
 * no record of it yet. */
static bool
is_uncertain(const struct ledger *ledger, const struct ledger_program *program,
    int64_t now_us)
{
	return program->epoch == EPOCH_UNKNOWN &&
	    now_us < ledger->careful_until_us;
}

/* Whether a turn may be granted without a record: a new owner would charge the
 * program for it, since records say that it may have such turns of this
 * ownership, or the program is new. */
static bool
needs_no_record(const struct ledger *ledger,
    const struct ledger_program *program, int64_t now_us)
{
	if (program->loose > 0 || now_us < ledger->careful_until_us)
		return false;
	return program->unrecorded_epoch == ledger->epoch ||
	    (program->epoch == EPOCH_UNKNOWN && program->doubtful == 0);
}

enum ledger_begin_result
ledger_begin_turn(
    struct ledger *ledger, const struct ledger_request *ask, int64_t now_us)
{
	struct ledger_turn *turn = ledger_find_turn(ledger, ask->turn);
	struct ledger_program *program;
	enum ledger_begin_result verdict;

	if (turn != NULL)
		return repeat_verdict(turn);
	program = ledger_ensure_program(ledger, ask->program, now_us);
	if (ask->most > program->most)
		program->most = ask->most;
	if (is_uncertain(ledger, program, now_us))
		charge_program(ledger, program, EPOCH_UNKNOWN, now_us);
	if (ask->budget > program->budget)
		program->budget = ask->budget;
	verdict = check_budget(program, ask);
	if (verdict != LEDGER_BEGIN_GRANTED)
		return verdict;
	turn = ledger_add_turn(ledger, program, ask->turn, ask->most);
	turn->left_us =
	    ask->deadline_us > now_us ? ask->deadline_us - now_us : 1;
	turn->deadline_us = ask->deadline_us;
	if (needs_no_record(ledger, program, now_us) ||
	    turn_mutation_on(TURN_MUTATION_NO_RECORD)) {
		ledger_set_durability(ledger, turn, DURABILITY_NOT_REQUIRED);
		return LEDGER_BEGIN_GRANTED;
	}
	turn->recorded = true;
	turn->allows_unrecorded = now_us >= ledger->careful_until_us;
	ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
	return LEDGER_BEGIN_RECORD_PENDING;
}
