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

/* How long ended turns are kept. Operators configure a retention of one or two
 * minutes, within which callers ask for turns and programs. */
static const int64_t RETENTION_US = (int64_t)150 * US_PER_S;
/* Time after a turn's deadline at which its end counts as lost: VMs report an
 * end well before that or never. */
static const int64_t END_REPORT_TIMEOUT_US = (int64_t)5 * US_PER_S;
/* Time after a placeholder's deadline at which it counts as spent. It is short,
 * since the turn may not exist: if it does, its VM reports the end within the
 * first second after a takeover. */
static const int64_t PLACEHOLDER_TIMEOUT_US = (int64_t)1500 * US_PER_MS;
/* Limit on the time until the deadline of a turn that is known from its start
 * record. Also used if the record does not state that time. */
static const int64_t REMAINING_MAX_US = (int64_t)30 * US_PER_S;
/* Minimum time between two samples of the log offset. */
static const int64_t OFFSET_SAMPLE_INTERVAL_US = (int64_t)10 * US_PER_S;

struct ledger *
ledger_create(uint32_t partition)
{
	struct ledger *ledger = xcalloc(1, sizeof(*ledger));

	ledger->partition = partition;
	list_init(&ledger->ended);
	list_init(&ledger->queued);
	list_init(&ledger->appending);
	list_init(&ledger->to_index);
	return ledger;
}

static void
turn_free(struct ledger *ledger, struct ledger_turn *turn)
{
	turn->program->timed_out_turns -= turn->end_timed_out;
	list_remove(&turn->link);
	list_remove(&turn->write_link);
	list_remove(&turn->index_link);
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
		list_init(&program->running_turns);
		HASH_ADD_STR(ledger->programs, id, program);
	}
	program->last_used_us = now_us;
	return program;
}

static bool
is_placeholder_id(const char *id)
{
	return id[0] == PLACEHOLDER_PREFIX;
}

struct ledger_turn *
ledger_add_turn(struct ledger *ledger, struct ledger_program *program,
    const char *id, uint64_t max_tokens)
{
	struct ledger_turn *turn = xcalloc(1, sizeof(*turn));

	snprintf(turn->id, sizeof(turn->id), "%s", id);
	turn->program = program;
	turn->max_tokens = max_tokens;
	turn->epoch = ledger->epoch;
	list_append(&program->running_turns, &turn->link);
	list_init(&turn->write_link);
	list_init(&turn->index_link);
	HASH_ADD_STR(ledger->turns, id, turn);
	if (max_tokens > program->max_turn_tokens)
		program->max_turn_tokens = max_tokens;
	turn->placeholder = is_placeholder_id(id);
	if (turn->placeholder)
		program->unconfirmed_tokens += max_tokens;
	return turn;
}

void
ledger_set_ended(struct ledger *ledger, struct ledger_turn *turn,
    uint64_t spent, int64_t now_us)
{
	bool pending = durability_is_pending(turn->durability);

	ledger->waiting_turns -= pending;
	turn->ended = true;
	turn->ended_us = now_us;
	turn->spent = spent;
	turn->program->spent += spent;
	if (turn->placeholder)
		turn->program->unconfirmed_tokens -= turn->max_tokens - spent;
	list_remove(&turn->link);
	list_append(&ledger->ended, &turn->link);
}

/* Restarts the retention of a chain, so that the whole chain is kept for as
 * long as its newest turn. */
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
set_retained(struct ledger *ledger, struct ledger_turn *turn,
    const struct turn_record *record, uint64_t offset, uint32_t bytes)
{
	const struct ledger_turn *previous;

	if (turn->retained)
		return;
	turn->retained = true;
	turn->offset = offset;
	turn->bytes = bytes;
	memcpy(turn->previous, record->previous, sizeof(turn->previous));
	memcpy(turn->vm, record->vm, sizeof(turn->vm));
	memcpy(turn->server, record->server, sizeof(turn->server));
	renew_chain(ledger, record->previous, turn->ended_us);
	previous = ledger_find_turn(ledger, record->previous);
	if (record->ancestor_count == 0 ||
	    (previous != NULL && previous->retained))
		return;
	turn->ancestor_count = record->ancestor_count;
	turn->ancestors =
	    xcalloc(record->ancestor_count, sizeof(*turn->ancestors));
	memcpy(turn->ancestors, record->ancestors,
	    record->ancestor_count * sizeof(*turn->ancestors));
}

void
ledger_correct_spent(struct ledger_turn *turn, uint64_t spent)
{
	struct ledger_program *program = turn->program;

	if (spent > turn->spent)
		spent = turn->spent;
	if (turn->placeholder || turn->end_timed_out)
		program->unconfirmed_tokens -= turn->spent;
	program->spent -= turn->spent - spent;
	program->timed_out_turns -= turn->end_timed_out;
	turn->spent = spent;
	turn->end_timed_out = false;
}

/* Returns whether the start of an unknown turn that has ended was recorded. In
 * records of the owner and of the index, allows_unrecorded tells. A record of
 * the serving VM does not, but in the log it follows the start record if there
 * is one, and then the turn would be known. */
static bool
is_start_recorded(const struct turn_record *record)
{
	bool by_owner = record->type == TURN_RECORD_ENDED || record->bytes > 0;

	return by_owner && !record->allows_unrecorded;
}

static void
set_end_timed_out(struct ledger_turn *turn)
{
	turn->end_timed_out = true;
	turn->program->timed_out_turns++;
	turn->program->unconfirmed_tokens += turn->spent;
}

static struct ledger_turn *
apply_end(struct ledger *ledger, const struct turn_record *record,
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
		    ledger, program, record->turn, record->max_tokens);
		turn->epoch = record->epoch;
		turn->start_recorded = is_start_recorded(record);
	}
	if (!turn->ended)
		ledger_set_ended(ledger, turn, record->spent, now_us);
	else if (record->spent < turn->spent ||
	    (turn->end_timed_out && !record->end_timed_out))
		ledger_correct_spent(turn, record->spent);
	else if (turn_mutation_on(TURN_MUTATION_NO_DEDUPLICATION))
		program->spent += record->spent;
	if (!known && record->end_timed_out && !turn->placeholder)
		set_end_timed_out(turn);
	ledger_set_durability(ledger, turn, durability);
	if (!known)
		ledger_release_placeholder(ledger, turn, now_us);
	return turn;
}

static void
apply_start(
    struct ledger *ledger, const struct turn_record *record, int64_t now_us)
{
	struct ledger_program *program =
	    ledger_ensure_program(ledger, record->program, now_us);
	struct ledger_turn *turn = ledger_find_turn(ledger, record->turn);

	if (record->budget > program->budget)
		program->budget = record->budget;
	if (turn == NULL) {
		turn = ledger_add_turn(
		    ledger, program, record->turn, record->max_tokens);
		turn->epoch = record->epoch;
		turn->start_recorded = true;
		turn->allows_unrecorded = record->allows_unrecorded;
		turn->remaining_us = REMAINING_MAX_US;
		if (record->remaining_us > 0 &&
		    record->remaining_us < (uint64_t)REMAINING_MAX_US)
			turn->remaining_us = (int64_t)record->remaining_us;
		turn->deadline_us = now_us + turn->remaining_us;
	}
	if (!turn->ended)
		ledger_set_durability(ledger, turn, DURABILITY_DURABLE);
	ledger_update_program_epochs(turn);
}

static void
sample_offset(struct ledger *ledger, uint64_t offset, int64_t now_us)
{
	if (ledger->offset_sample_count > 0 &&
	    now_us -
		    ledger->offset_samples[ledger->offset_sample_count - 1]
			.sampled_us <
		OFFSET_SAMPLE_INTERVAL_US)
		return;
	if (ledger->offset_sample_count == OFFSET_SAMPLES_MAX) {
		memmove(ledger->offset_samples, ledger->offset_samples + 1,
		    (OFFSET_SAMPLES_MAX - 1) *
			sizeof(ledger->offset_samples[0]));
		ledger->offset_sample_count--;
	}
	ledger->offset_samples[ledger->offset_sample_count++] =
	    (struct ledger_offset_sample){
		.sampled_us = now_us,
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
	case TURN_RECORD_RETAINED_IN_PARTS:
		sample_offset(ledger, offset, now_us);
		turn = apply_end(ledger, record, DURABILITY_DURABLE, now_us);
		set_retained(ledger, turn, record, offset, bytes);
		ledger_update_program_epochs(turn);
		return;
	case TURN_RECORD_ENDED:
		turn = apply_end(ledger, record, DURABILITY_DURABLE, now_us);
		ledger_update_program_epochs(turn);
		return;
	case TURN_RECORD_STARTED:
		apply_start(ledger, record, now_us);
		return;
	case TURN_RECORD_INDEX_CHECKPOINT:
	case TURN_RECORD_CONTENT:
		return;
	}
}

/* Ends a turn that spent nothing and has no start record; its end needs no
 * record either. The turn is kept as ended, since a copy of its VM's request to
 * run it may arrive late. */
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
	list_remove(&turn->index_link);
	list_init(&turn->index_link);
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
		if (!turn->end_timed_out)
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
	apply_end(ledger, record, DURABILITY_QUEUED, now_us);
}

bool
ledger_is_end_durable(const struct ledger *ledger, const char *turn)
{
	const struct ledger_turn *found = ledger_find_turn(ledger, turn);

	return found == NULL ||
	    (found->ended && found->durability == DURABILITY_DURABLE);
}

static void
expire_running(
    struct ledger *ledger, struct ledger_program *program, int64_t now_us)
{
	list_for_each_safe (
	    turn, tmp, &program->running_turns, struct ledger_turn, link) {
		if (now_us - turn->deadline_us <
		    (turn->placeholder ? PLACEHOLDER_TIMEOUT_US
				       : END_REPORT_TIMEOUT_US))
			continue;
		ledger_set_ended(ledger, turn, turn->max_tokens, now_us);
		if (!turn->placeholder)
			set_end_timed_out(turn);
		ledger_set_durability(ledger, turn, DURABILITY_QUEUED);
	}
}

static void
expire_ended(struct ledger *ledger, int64_t now_us)
{
	list_for_each_safe (
	    turn, tmp, &ledger->ended, struct ledger_turn, link) {
		if (now_us - turn->ended_us < RETENTION_US)
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
		expire_running(ledger, program, now_us);
	expire_ended(ledger, now_us);
	HASH_ITER (hh, ledger->programs, program, next) {
		/* Its ended turns point to it until they are freed, which takes
		 * up to RETENTION_US. */
		if (now_us - program->last_used_us < 2 * RETENTION_US ||
		    !list_empty(&program->running_turns))
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

	for (size_t i = 0; i < ledger->offset_sample_count; i++) {
		if (now_us - ledger->offset_samples[i].sampled_us >
		    2 * RETENTION_US)
			offset = ledger->offset_samples[i].offset;
	}
	for (const struct ledger_turn *turn = ledger->turns;
	     turn != NULL && offset > 0; turn = turn->hh.next) {
		if (turn->retained && turn->offset < offset)
			offset = turn->offset;
	}
	return offset;
}

bool
ledger_has_timed_out_turns(const struct ledger *ledger, const char *id)
{
	const struct ledger_program *program = ledger_find_program(ledger, id);

	return program != NULL && program->timed_out_turns > 0;
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
