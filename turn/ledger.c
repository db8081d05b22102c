#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "turn/ledger_internal.h"
#include "turn/mutation.h"

#ifdef GUAVAKEEL_MUTATIONS
enum turn_mutation turn_mutation_current;
#endif

/* Kept turns and programs are asked for within a retention that operators set
 * to a minute or two. */
static const int64_t KEEP_US = (int64_t)150 * US_PER_S;
/* An end that is not told so long after the turn's deadline never will be. */
static const int64_t TELL_US = (int64_t)5 * US_PER_S;
/* Nobody may know of a turn that a program was charged for; news of it is told
 * within the first second after a takeover. */
static const int64_t CHARGE_TELL_US = (int64_t)1500 * US_PER_MS;
/* Longest time to the deadline of a turn that is known from its record. */
static const int64_t DEADLINE_MAX_US = (int64_t)30 * US_PER_S;
/* Between two marks of the log's age. */
static const int64_t MARK_US = (int64_t)10 * US_PER_S;

struct ledger *
ledger_create(uint32_t part)
{
	struct ledger *ledger = xcalloc(1, sizeof(*ledger));

	ledger->part = part;
	list_init(&ledger->ended);
	list_init(&ledger->to_write);
	list_init(&ledger->in_batch);
	list_init(&ledger->to_index);
	return ledger;
}

static void
turn_free(struct ledger *ledger, struct ledger_turn *turn)
{
	list_remove(&turn->link);
	list_remove(&turn->write);
	list_remove(&turn->index);
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks its neighbours */
	HASH_DEL(ledger->turns, turn);
	free(turn->ancestors);
	free(turn);
}

void
ledger_destroy(struct ledger *ledger)
{
	struct ledger_turn *turn, *next_turn;
	struct ledger_program *program, *next_program;

	if (ledger == NULL)
		return;
	HASH_ITER (hh, ledger->turns, turn, next_turn)
		turn_free(ledger, turn);
	HASH_ITER (hh, ledger->programs, program, next_program) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(ledger->programs, program);
		free(program);
	}
	free(ledger);
}

struct ledger_program *
ledger_find_program(const struct ledger *ledger, const char *id)
{
	struct ledger_program *program;

	HASH_FIND_STR(ledger->programs, id, program);
	return program;
}

struct ledger_turn *
ledger_find_turn(const struct ledger *ledger, const char *id)
{
	struct ledger_turn *turn;

	HASH_FIND_STR(ledger->turns, id, turn);
	return turn;
}

struct ledger_program *
ledger_ensure_program(struct ledger *ledger, const char *id, int64_t now_us)
{
	struct ledger_program *program = ledger_find_program(ledger, id);

	if (program == NULL) {
		program = xcalloc(1, sizeof(*program));
		snprintf(program->id, sizeof(program->id), "%s", id);
		list_init(&program->open);
		HASH_ADD_STR(ledger->programs, id, program);
	}
	program->used_us = now_us;
	return program;
}

static bool
is_charge_name(const char *name)
{
	return name[0] == PLACEHOLDER_PREFIX;
}

struct ledger_turn *
ledger_add_turn(struct ledger *ledger, struct ledger_program *program,
    const char *id, uint64_t most)
{
	struct ledger_turn *turn = xcalloc(1, sizeof(*turn));

	snprintf(turn->id, sizeof(turn->id), "%s", id);
	turn->program = program;
	turn->most = most;
	turn->epoch = ledger->epoch;
	list_append(&program->open, &turn->link);
	list_init(&turn->write);
	list_init(&turn->index);
	HASH_ADD_STR(ledger->turns, id, turn);
	if (most > program->most)
		program->most = most;
	turn->charge = is_charge_name(id);
	if (turn->charge)
		program->doubtful += most;
	return turn;
}

/* ---- ends ---- */

void
ledger_set_ended(struct ledger *ledger, struct ledger_turn *turn,
    uint64_t spent, int64_t now_us)
{
	bool waits = durability_is_pending(turn->durability);

	ledger->waiting -= waits;
	turn->ended = true;
	turn->ended_us = now_us;
	turn->spent = spent;
	turn->program->spent += spent;
	if (turn->charge)
		turn->program->doubtful -= turn->most - spent;
	list_remove(&turn->link);
	list_append(&ledger->ended, &turn->link);
}

/* A chain is kept for as long as its newest turn. */
static void
renew_chain(struct ledger *ledger, const char *id, int64_t now_us)
{
	struct ledger_turn *turn = ledger_find_turn(ledger, id);

	while (turn != NULL && turn->ended) {
		turn->ended_us = now_us;
		list_remove(&turn->link);
		list_append(&ledger->ended, &turn->link);
		turn = ledger_find_turn(ledger, turn->previous);
	}
}

static void
set_kept(struct ledger *ledger, struct ledger_turn *turn,
    const struct turn_record *record, uint64_t offset, uint32_t bytes)
{
	const struct ledger_turn *previous;

	if (turn->kept)
		return;
	turn->kept = true;
	turn->offset = offset;
	turn->bytes = bytes;
	memcpy(turn->previous, record->previous, sizeof(turn->previous));
	memcpy(turn->vm, record->vm, sizeof(turn->vm));
	memcpy(turn->server, record->server, sizeof(turn->server));
	renew_chain(ledger, record->previous, turn->ended_us);
	previous = ledger_find_turn(ledger, record->previous);
	if (record->ancestor_count == 0 || (previous != NULL && previous->kept))
		return;
	turn->ancestor_count = record->ancestor_count;
	turn->ancestors =
	    xcalloc(record->ancestor_count, sizeof(*turn->ancestors));
	memcpy(turn->ancestors, record->ancestors,
	    record->ancestor_count * sizeof(*turn->ancestors));
}

/* A turn that was given up counts at its most until news of its end comes. */
void
ledger_correct_spent(struct ledger_turn *turn, uint64_t spent)
{
	struct ledger_program *program = turn->program;

	if (spent > turn->spent)
		spent = turn->spent;
	if (turn->charge || turn->given_up)
		program->doubtful -= turn->spent;
	program->spent -= turn->spent - spent;
	turn->spent = spent;
	turn->given_up = false;
}

/* The index and the owner tell; what the serving VM has written does not, and
 * comes behind the record of the beginning if there is one. */
static bool
is_recorded(const struct turn_record *record)
{
	bool told = record->type == TURN_RECORD_ENDED || record->bytes > 0;

	return told && !record->allows_unrecorded;
}

/* Its end was not told. */
static void
give_up(struct ledger_turn *turn)
{
	turn->given_up = true;
	turn->program->given_up++;
	turn->program->doubtful += turn->spent;
}

static struct ledger_turn *
take_end(struct ledger *ledger, const struct turn_record *record,
    enum durability durability, int64_t now_us)
{
	struct ledger_program *program =
	    ledger_ensure_program(ledger, record->program, now_us);
	struct ledger_turn *turn = ledger_find_turn(ledger, record->turn);
	bool known = turn != NULL;

	if (record->budget > program->budget)
		program->budget = record->budget;
	if (!known) {
		turn = ledger_add_turn(
		    ledger, program, record->turn, record->most);
		turn->epoch = record->epoch;
		turn->recorded = is_recorded(record);
	}
	if (!turn->ended)
		ledger_set_ended(ledger, turn, record->spent, now_us);
	else if (record->spent < turn->spent ||
	    (turn->given_up && !record->guessed))
		ledger_correct_spent(turn, record->spent);
	else if (turn_mutation_on(TURN_MUTATION_NO_DEDUPLICATION))
		program->spent += record->spent;
	if (!known && record->guessed && !turn->charge)
		give_up(turn);
	ledger_set_durability(ledger, turn, durability);
	if (!known)
		ledger_release_placeholder(ledger, turn, now_us);
	return turn;
}

static void
take_open(
    struct ledger *ledger, const struct turn_record *record, int64_t now_us)
{
	struct ledger_program *program =
	    ledger_ensure_program(ledger, record->program, now_us);
	struct ledger_turn *turn = ledger_find_turn(ledger, record->turn);

	if (record->budget > program->budget)
		program->budget = record->budget;
	if (turn == NULL) {
		turn = ledger_add_turn(
		    ledger, program, record->turn, record->most);
		turn->epoch = record->epoch;
		turn->recorded = true;
		turn->allows_unrecorded = record->allows_unrecorded;
		turn->left_us = DEADLINE_MAX_US;
		if (record->left_us > 0 &&
		    record->left_us < (uint64_t)DEADLINE_MAX_US)
			turn->left_us = (int64_t)record->left_us;
		turn->deadline_us = now_us + turn->left_us;
	}
	if (!turn->ended)
		ledger_set_durability(ledger, turn, DURABILITY_DURABLE);
	ledger_update_program_epochs(turn);
}

static void
set_mark(struct ledger *ledger, uint64_t offset, int64_t now_us)
{
	if (ledger->mark_count > 0 &&
	    now_us - ledger->marks[ledger->mark_count - 1].at_us < MARK_US)
		return;
	if (ledger->mark_count == OFFSET_SAMPLES_MAX) {
		memmove(ledger->marks, ledger->marks + 1,
		    (OFFSET_SAMPLES_MAX - 1) * sizeof(ledger->marks[0]));
		ledger->mark_count--;
	}
	ledger->marks[ledger->mark_count++] = (struct ledger_offset_sample){
	    .at_us = now_us,
	    .offset = offset,
	};
}

void
ledger_apply(struct ledger *ledger, uint64_t offset, uint32_t bytes,
    const struct turn_record *record, int64_t now_us)
{
	struct ledger_turn *turn;

	switch (record->type) {
	case TURN_RECORD_RETAINED:
		set_mark(ledger, offset, now_us);
		turn = take_end(ledger, record, DURABILITY_DURABLE, now_us);
		set_kept(ledger, turn, record, offset, bytes);
		ledger_update_program_epochs(turn);
		return;
	case TURN_RECORD_ENDED:
		turn = take_end(ledger, record, DURABILITY_DURABLE, now_us);
		ledger_update_program_epochs(turn);
		return;
	case TURN_RECORD_STARTED:
		take_open(ledger, record, now_us);
		return;
	case TURN_RECORD_INDEX_CHECKPOINT:
		return;
	}
}

/* Without a record of its beginning, a turn that spent nothing needs none of
 * its end. It is known as ended, since a copy of the question for it may come
 * late. */
static void
end_unrecorded(
    struct ledger *ledger, const struct turn_record *record, int64_t now_us)
{
	struct ledger_turn *turn = ledger_find_turn(ledger, record->turn);

	if (turn == NULL)
		turn = ledger_add_turn(ledger,
		    ledger_ensure_program(ledger, record->program, now_us),
		    record->turn, 0);
	ledger_set_ended(ledger, turn, 0, now_us);
	ledger_set_durability(ledger, turn, DURABILITY_DURABLE);
	list_remove(&turn->index);
	list_init(&turn->index);
}

void
ledger_end_turn(struct ledger *ledger, const struct turn_record *record,
    uint64_t offset, uint32_t bytes, int64_t now_us)
{
	struct ledger_turn *turn = ledger_find_turn(ledger, record->turn);

	if (record->type == TURN_RECORD_RETAINED) {
		ledger_apply(ledger, offset, bytes, record, now_us);
		return;
	}
	if (turn != NULL && turn->ended) {
		if (!turn->given_up)
			return;
		ledger_correct_spent(turn, record->spent);
		ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
		return;
	}
	if (record->spent == 0 &&
	    (turn == NULL || turn->durability == DURABILITY_NOT_REQUIRED)) {
		end_unrecorded(ledger, record, now_us);
		return;
	}
	take_end(ledger, record, DURABILITY_QUEUED, now_us);
}

bool
ledger_is_end_durable(const struct ledger *ledger, const char *turn)
{
	const struct ledger_turn *found = ledger_find_turn(ledger, turn);

	return found == NULL ||
	    (found->ended && found->durability == DURABILITY_DURABLE);
}

/* ---- age ---- */

static void
expire_open(
    struct ledger *ledger, struct ledger_program *program, int64_t now_us)
{
	list_for_each_safe (
	    turn, tmp, &program->open, struct ledger_turn, link) {
		if (now_us - turn->deadline_us <
		    (turn->charge ? CHARGE_TELL_US : TELL_US))
			continue;
		ledger_set_ended(ledger, turn, turn->most, now_us);
		if (!turn->charge)
			give_up(turn);
		ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
	}
}

static void
expire_ended(struct ledger *ledger, int64_t now_us)
{
	list_for_each_safe (
	    turn, tmp, &ledger->ended, struct ledger_turn, link) {
		if (now_us - turn->ended_us < KEEP_US)
			return;
		ledger_set_durability(ledger, turn, DURABILITY_DURABLE);
		turn_free(ledger, turn);
	}
}

void
ledger_expire(struct ledger *ledger, int64_t now_us)
{
	struct ledger_program *program, *next;

	HASH_ITER (hh, ledger->programs, program, next)
		expire_open(ledger, program, now_us);
	expire_ended(ledger, now_us);
	HASH_ITER (hh, ledger->programs, program, next) {
		/* Its ended turns point at it for as long as they are kept. */
		if (now_us - program->used_us < 2 * KEEP_US ||
		    !list_empty(&program->open))
			continue;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(ledger->programs, program);
		free(program);
	}
}

uint64_t
ledger_trim_offset(const struct ledger *ledger, int64_t now_us)
{
	uint64_t offset = 0;

	for (size_t i = 0; i < ledger->mark_count; i++) {
		if (now_us - ledger->marks[i].at_us > 2 * KEEP_US)
			offset = ledger->marks[i].offset;
	}
	for (const struct ledger_turn *turn = ledger->turns;
	     turn != NULL && offset > 0; turn = turn->hh.next) {
		if (turn->kept && turn->offset < offset)
			offset = turn->offset;
	}
	return offset;
}

bool
ledger_has_timed_out_turns(const struct ledger *ledger, const char *id)
{
	const struct ledger_program *program = ledger_find_program(ledger, id);

	return program != NULL && program->given_up > 0;
}

uint64_t
ledger_spent(const struct ledger *ledger, const char *id)
{
	const struct ledger_program *program = ledger_find_program(ledger, id);

	return program != NULL ? program->spent : 0;
}

size_t
ledger_program_count(const struct ledger *ledger)
{
	return HASH_COUNT(ledger->programs);
}

size_t
ledger_turn_count(const struct ledger *ledger)
{
	return HASH_COUNT(ledger->turns);
}
