#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/list.h"
#include "common/memory.h"
#include "turn/ledger.h"
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
/* For so long after a takeover, a program that is not known may have had a
 * turn granted by the owner before, and more takeovers may follow: all turns
 * are recorded, so that a further owner need not charge programs for this one.
 */
static const int64_t CAREFUL_US = (int64_t)5 * US_PER_S;
/* Time limits of routes of turns are below; a later end is counted besides. */
static const int64_t CHARGE_US = (int64_t)5 * US_PER_S;
/* Between two marks of the log's age. */
static const int64_t MARK_US = (int64_t)10 * US_PER_S;

enum {
	MARKS = 32,
};

/* Begins the names of turns that stand for unknown ones. */
static const char CHARGE_MARK = '\t';
/* Stands for any owner before, as the epoch of a charge. */
static const uint64_t ANY_EPOCH = 0;

enum {
	SESSIONS = 6, /**< of a program, whose servers are remembered */
};

/** Where a line of a program's turns has its cache. */
struct ledger_session {
	uint64_t id; /**< hash */
	char server[NAME_BYTES];
};

/** State of a fact with regard to the log. */
enum durability {
	DURABLE,
	NOT_WRITTEN, /**< to be appended */
	IN_BATCH,    /**< being appended */
	UNWRITTEN,   /**< needs no record of its own: the program's one fact */
};

struct ledger_program {
	UT_hash_handle hh; /**< by id */
	char id[NAME_BYTES];
	uint64_t budget;
	uint64_t spent;
	uint64_t most;     /**< of its largest turn */
	uint64_t doubtful; /**< counted, and perhaps not spent */
	uint64_t epoch;    /**< of its newest durable record */
	/** Newest ownership that may have granted it turns without a record;
	 * 0: none. */
	uint64_t unrecorded_epoch;
	uint32_t given_up; /**< turns whose end was not told in time */
	uint32_t loose;    /**< facts that are not durable */
	struct list open;  /**< turns */
	struct ledger_session sessions[SESSIONS]; /**< the latest first */
	size_t session_count;
	int64_t used_us;
};

/** A turn that runs or has ended. */
struct ledger_turn {
	UT_hash_handle hh; /**< by id */
	struct list link;  /**< in the program's open ones, or in ended */
	struct list write; /**< in to_write or in_batch, by durability */
	struct list index; /**< in to_index, if the index lacks it */
	struct ledger_program *program;
	char id[NAME_BYTES];
	bool ended;
	bool kept;
	bool recorded; /**< its beginning is, or will be before it runs */
	bool allows_unrecorded; /**< with its record, later ones need none */
	bool given_up;          /**< its end was not told in time */
	bool charge; /**< stands for a turn that the owner of that epoch may
			have granted and not recorded */
	enum durability durability;
	uint64_t epoch;
	uint64_t most;
	uint64_t spent;
	int64_t left_us;     /**< to its deadline when it was granted */
	int64_t deadline_us; /**< while it runs */
	int64_t ended_us;
	/* of kept ones */
	uint64_t offset;
	uint32_t bytes;
	char previous[NAME_BYTES];
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
	struct turn_ref *ancestors; /**< if previous is not in this ledger */
	size_t ancestor_count;
};

/** The log's end at a time. */
struct ledger_mark {
	int64_t at_us;
	uint64_t offset;
};

struct ledger {
	uint32_t part;
	uint64_t epoch;
	int64_t careful_until_us;        /**< see CAREFUL_US */
	struct ledger_program *programs; /**< uthash */
	struct ledger_turn *turns;       /**< uthash */
	struct list ended;               /**< of turns, oldest first */
	struct list to_write;            /**< turns that are NOT_WRITTEN */
	struct list in_batch;            /**< turns that are IN_BATCH */
	struct list to_index;            /**< durable facts */
	struct ledger_mark marks[MARKS]; /**< oldest first */
	size_t mark_count;
	uint32_t waiting; /**< turns that wait for their record */
};

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

static struct ledger_program *
find_program(const struct ledger *ledger, const char *id)
{
	struct ledger_program *program;

	HASH_FIND_STR(ledger->programs, id, program);
	return program;
}

static struct ledger_turn *
find_turn(const struct ledger *ledger, const char *id)
{
	struct ledger_turn *turn;

	HASH_FIND_STR(ledger->turns, id, turn);
	return turn;
}

static struct ledger_program *
use_program(struct ledger *ledger, const char *id, int64_t now_us)
{
	struct ledger_program *program = find_program(ledger, id);

	if (program == NULL) {
		program = xcalloc(1, sizeof(*program));
		snprintf(program->id, sizeof(program->id), "%s", id);
		list_init(&program->open);
		HASH_ADD_STR(ledger->programs, id, program);
	}
	program->used_us = now_us;
	return program;
}

/* No caller's request has such a name: header values do not begin with it. */
static bool
is_charge_name(const char *name)
{
	return name[0] == CHARGE_MARK;
}

static struct ledger_turn *
add_turn(struct ledger *ledger, struct ledger_program *program, const char *id,
    uint64_t most)
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

/* ---- durability ---- */

static bool
is_loose(enum durability durability)
{
	return durability != DURABLE;
}

static bool
has_record_to_write(enum durability durability)
{
	return durability == NOT_WRITTEN || durability == IN_BATCH;
}

static void
set_durability(
    struct ledger *ledger, struct ledger_turn *turn, enum durability durability)
{
	struct ledger_program *program = turn->program;

	program->loose -= is_loose(turn->durability);
	ledger->waiting -=
	    has_record_to_write(turn->durability) && !turn->ended;
	turn->durability = durability;
	program->loose += is_loose(durability);
	ledger->waiting += has_record_to_write(durability) && !turn->ended;
	list_remove(&turn->write);
	list_init(&turn->write);
	if (durability == NOT_WRITTEN)
		list_append(&ledger->to_write, &turn->write);
	else if (durability == IN_BATCH)
		list_append(&ledger->in_batch, &turn->write);
	else if (durability == DURABLE && list_empty(&turn->index))
		list_append(&ledger->to_index, &turn->index);
}

bool
ledger_has_records(const struct ledger *ledger)
{
	return !list_empty(&ledger->to_write);
}

bool
ledger_is_urgent(const struct ledger *ledger)
{
	return ledger->waiting > 0;
}

/* Whether its record lets the owner grant later turns without one. */
static bool
turn_allows_unrecorded(const struct ledger_turn *turn)
{
	return turn->allows_unrecorded || (turn->ended && !turn->recorded);
}

static void
encode_fact(const struct ledger_turn *turn, struct buf *out)
{
	struct turn_record record = {
	    .type = turn->ended ? TURN_SPENT : TURN_OPEN,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .most = turn->most,
	    .budget = turn->program->budget,
	    .left_us = turn->ended ? 0 : (uint64_t)turn->left_us,
	    .allows_unrecorded = turn_allows_unrecorded(turn),
	    .guessed = turn->given_up,
	};

	memcpy(record.turn, turn->id, sizeof(record.turn));
	memcpy(record.program, turn->program->id, sizeof(record.program));
	turn_record_encode(&record, out);
}

bool
ledger_next_record(struct ledger *ledger, struct buf *out)
{
	struct ledger_turn *turn;

	if (list_empty(&ledger->to_write))
		return false;
	turn = list_entry(ledger->to_write.next, struct ledger_turn, write);
	encode_fact(turn, out);
	set_durability(ledger, turn, IN_BATCH);
	return true;
}

bool
ledger_next_index(struct ledger *ledger, struct buf *out)
{
	struct ledger_turn *turn;
	struct turn_record record;

	if (list_empty(&ledger->to_index))
		return false;
	turn = list_entry(ledger->to_index.next, struct ledger_turn, index);
	list_remove(&turn->index);
	if (!turn->kept) {
		encode_fact(turn, out);
		return true;
	}
	record = (struct turn_record){
	    .type = TURN_KEPT,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .most = turn->most,
	    .budget = turn->program->budget,
	    .ancestors = turn->ancestors,
	    .ancestor_count = turn->ancestor_count,
	    .offset = turn->offset,
	    .bytes = turn->bytes,
	    .allows_unrecorded = turn_allows_unrecorded(turn),
	};
	memcpy(record.turn, turn->id, sizeof(record.turn));
	memcpy(record.program, turn->program->id, sizeof(record.program));
	memcpy(record.previous, turn->previous, sizeof(record.previous));
	memcpy(record.vm, turn->vm, sizeof(record.vm));
	memcpy(record.server, turn->server, sizeof(record.server));
	turn_record_encode(&record, out);
	return true;
}

static void
raise_epoch(uint64_t *epoch, uint64_t to)
{
	if (*epoch < to)
		*epoch = to;
}

/* A record of a turn is durable. */
static void
note_epoch(const struct ledger_turn *turn)
{
	struct ledger_program *program = turn->program;

	if (turn->charge)
		return;
	raise_epoch(&program->epoch, turn->epoch);
	if (!turn->recorded || turn->allows_unrecorded)
		raise_epoch(&program->unrecorded_epoch, turn->epoch);
}

void
ledger_batch_done(struct ledger *ledger, bool durable)
{
	struct list *item;

	while ((item = list_take(&ledger->in_batch)) != NULL) {
		struct ledger_turn *turn =
		    list_entry(item, struct ledger_turn, write);

		set_durability(ledger, turn, durable ? DURABLE : NOT_WRITTEN);
		if (durable)
			note_epoch(turn);
	}
}

/* ---- ends ---- */

static void
set_ended(struct ledger *ledger, struct ledger_turn *turn, uint64_t spent,
    int64_t now_us)
{
	bool waits = has_record_to_write(turn->durability);

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
	struct ledger_turn *turn = find_turn(ledger, id);

	while (turn != NULL && turn->ended) {
		turn->ended_us = now_us;
		list_remove(&turn->link);
		list_append(&ledger->ended, &turn->link);
		turn = find_turn(ledger, turn->previous);
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
	previous = find_turn(ledger, record->previous);
	if (record->ancestor_count == 0 || (previous != NULL && previous->kept))
		return;
	turn->ancestor_count = record->ancestor_count;
	turn->ancestors =
	    xcalloc(record->ancestor_count, sizeof(*turn->ancestors));
	memcpy(turn->ancestors, record->ancestors,
	    record->ancestor_count * sizeof(*turn->ancestors));
}

/* A turn that was given up counts at its most until news of its end comes. */
static void
correct_spent(struct ledger_turn *turn, uint64_t spent)
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

static void
charge_name(
    char name[NAME_BYTES], const struct ledger_program *program, uint64_t epoch)
{
	snprintf(name, NAME_BYTES, "%c%" PRIx64 " %.44s", CHARGE_MARK, epoch,
	    program->id);
}

static bool
settle(struct ledger *ledger, const struct ledger_program *program,
    uint64_t epoch, int64_t now_us)
{
	struct ledger_turn *turn;
	char name[NAME_BYTES];

	charge_name(name, program, epoch);
	turn = find_turn(ledger, name);
	if (turn == NULL || (turn->ended && turn->spent == 0))
		return false;
	if (turn->ended)
		correct_spent(turn, 0);
	else
		set_ended(ledger, turn, 0, now_us);
	set_durability(ledger, turn, NOT_WRITTEN);
	return true;
}

/* A turn that an earlier owner had granted without a record has ended: it is
 * the one that the program was charged for. The record of that is written after
 * the turn's own: the log never holds less than what was spent. */
static void
settle_charge(
    struct ledger *ledger, const struct ledger_turn *ended, int64_t now_us)
{
	if (!settle(ledger, ended->program, ended->epoch, now_us))
		settle(ledger, ended->program, ANY_EPOCH, now_us);
}

/* The index and the owner tell; what the serving VM has written does not, and
 * comes behind the record of the beginning if there is one. */
static bool
is_recorded(const struct turn_record *record)
{
	bool told = record->type == TURN_SPENT || record->bytes > 0;

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
	    use_program(ledger, record->program, now_us);
	struct ledger_turn *turn = find_turn(ledger, record->turn);
	bool known = turn != NULL;

	if (record->budget > program->budget)
		program->budget = record->budget;
	if (!known) {
		turn = add_turn(ledger, program, record->turn, record->most);
		turn->epoch = record->epoch;
		turn->recorded = is_recorded(record);
	}
	if (!turn->ended)
		set_ended(ledger, turn, record->spent, now_us);
	else if (record->spent < turn->spent ||
	    (turn->given_up && !record->guessed))
		correct_spent(turn, record->spent);
	else if (turn_mutation_on(TURN_MUTATION_NO_FOLD))
		program->spent += record->spent;
	if (!known && record->guessed && !turn->charge)
		give_up(turn);
	set_durability(ledger, turn, durability);
	if (!known)
		settle_charge(ledger, turn, now_us);
	return turn;
}

static void
take_open(
    struct ledger *ledger, const struct turn_record *record, int64_t now_us)
{
	struct ledger_program *program =
	    use_program(ledger, record->program, now_us);
	struct ledger_turn *turn = find_turn(ledger, record->turn);

	if (record->budget > program->budget)
		program->budget = record->budget;
	if (turn == NULL) {
		turn = add_turn(ledger, program, record->turn, record->most);
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
		set_durability(ledger, turn, DURABLE);
	note_epoch(turn);
}

static void
set_mark(struct ledger *ledger, uint64_t offset, int64_t now_us)
{
	if (ledger->mark_count > 0 &&
	    now_us - ledger->marks[ledger->mark_count - 1].at_us < MARK_US)
		return;
	if (ledger->mark_count == MARKS) {
		memmove(ledger->marks, ledger->marks + 1,
		    (MARKS - 1) * sizeof(ledger->marks[0]));
		ledger->mark_count--;
	}
	ledger->marks[ledger->mark_count++] = (struct ledger_mark){
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
	case TURN_KEPT:
		set_mark(ledger, offset, now_us);
		turn = take_end(ledger, record, DURABLE, now_us);
		set_kept(ledger, turn, record, offset, bytes);
		note_epoch(turn);
		return;
	case TURN_SPENT:
		turn = take_end(ledger, record, DURABLE, now_us);
		note_epoch(turn);
		return;
	case TURN_OPEN:
		take_open(ledger, record, now_us);
		return;
	case TURN_COVERED:
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
	struct ledger_turn *turn = find_turn(ledger, record->turn);

	if (turn == NULL)
		turn = add_turn(ledger,
		    use_program(ledger, record->program, now_us), record->turn,
		    0);
	set_ended(ledger, turn, 0, now_us);
	set_durability(ledger, turn, DURABLE);
	list_remove(&turn->index);
	list_init(&turn->index);
}

void
ledger_end(struct ledger *ledger, const struct turn_record *record,
    uint64_t offset, uint32_t bytes, int64_t now_us)
{
	struct ledger_turn *turn = find_turn(ledger, record->turn);

	if (record->type == TURN_KEPT) {
		ledger_apply(ledger, offset, bytes, record, now_us);
		return;
	}
	if (turn != NULL && turn->ended) {
		if (!turn->given_up)
			return;
		correct_spent(turn, record->spent);
		set_durability(ledger, turn, NOT_WRITTEN);
		return;
	}
	if (record->spent == 0 &&
	    (turn == NULL || turn->durability == UNWRITTEN)) {
		end_unrecorded(ledger, record, now_us);
		return;
	}
	take_end(ledger, record, NOT_WRITTEN, now_us);
}

bool
ledger_has_ended(const struct ledger *ledger, const char *turn)
{
	const struct ledger_turn *found = find_turn(ledger, turn);

	return found == NULL || (found->ended && found->durability == DURABLE);
}

/* ---- grants ---- */

/* Charges a program with a turn at its most, which the owner of an epoch may
 * have granted. However often the program changes hands without a turn, the
 * charge has the same name. */
static void
charge(struct ledger *ledger, struct ledger_program *program, uint64_t epoch,
    int64_t now_us)
{
	struct ledger_turn *turn;
	char name[NAME_BYTES];

	charge_name(name, program, epoch);
	if (program->most == 0 || find_turn(ledger, name) != NULL ||
	    turn_mutation_on(TURN_MUTATION_NO_CHARGE))
		return;
	turn = add_turn(ledger, program, name, program->most);
	turn->epoch = epoch;
	turn->recorded = true;
	turn->left_us = CHARGE_US;
	turn->deadline_us = now_us + CHARGE_US;
	set_durability(ledger, turn, NOT_WRITTEN);
}

void
ledger_own(struct ledger *ledger, uint64_t epoch, int64_t now_us)
{
	struct ledger_program *program;

	ledger->epoch = epoch;
	ledger->careful_until_us = now_us + CAREFUL_US;
	for (program = ledger->programs; program != NULL;
	     program = program->hh.next) {
		program->used_us = now_us;
		if (program->unrecorded_epoch != 0)
			charge(
			    ledger, program, program->unrecorded_epoch, now_us);
	}
}

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
	if (turn_mutation_on(TURN_MUTATION_NO_OPEN))
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
static enum ledger_verdict
check_budget(const struct ledger_program *program, const struct ledger_ask *ask)
{
	struct open_turns open = count_open(program);
	uint64_t wanted = program->spent + ask->most;

	if (!ask->has_budget)
		return LEDGER_GRANTED;
	if (wanted >
	    ask->budget + allowance(program, program->doubtful - open.doubtful))
		return LEDGER_EXHAUSTED;
	if (wanted + open.most >
	    ask->budget + allowance(program, program->doubtful))
		return LEDGER_BUSY;
	return LEDGER_GRANTED;
}

static enum ledger_verdict
repeat_verdict(const struct ledger_turn *turn)
{
	if (turn->ended)
		return LEDGER_ENDED;
	return has_record_to_write(turn->durability) ? LEDGER_WAITS
						     : LEDGER_GRANTED;
}

/* Whether the owner before may have granted a program its first turn: there is
 * no record of it yet. */
static bool
is_uncertain(const struct ledger *ledger, const struct ledger_program *program,
    int64_t now_us)
{
	return program->epoch == ANY_EPOCH && now_us < ledger->careful_until_us;
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
	    (program->epoch == ANY_EPOCH && program->doubtful == 0);
}

enum ledger_verdict
ledger_begin(
    struct ledger *ledger, const struct ledger_ask *ask, int64_t now_us)
{
	struct ledger_turn *turn = find_turn(ledger, ask->turn);
	struct ledger_program *program;
	enum ledger_verdict verdict;

	if (turn != NULL)
		return repeat_verdict(turn);
	program = use_program(ledger, ask->program, now_us);
	if (ask->most > program->most)
		program->most = ask->most;
	if (is_uncertain(ledger, program, now_us))
		charge(ledger, program, ANY_EPOCH, now_us);
	if (ask->budget > program->budget)
		program->budget = ask->budget;
	verdict = check_budget(program, ask);
	if (verdict != LEDGER_GRANTED)
		return verdict;
	turn = add_turn(ledger, program, ask->turn, ask->most);
	turn->left_us =
	    ask->deadline_us > now_us ? ask->deadline_us - now_us : 1;
	turn->deadline_us = ask->deadline_us;
	if (needs_no_record(ledger, program, now_us) ||
	    turn_mutation_on(TURN_MUTATION_NO_RECORD)) {
		set_durability(ledger, turn, UNWRITTEN);
		return LEDGER_GRANTED;
	}
	turn->recorded = true;
	turn->allows_unrecorded = now_us >= ledger->careful_until_us;
	set_durability(ledger, turn, NOT_WRITTEN);
	return LEDGER_WAITS;
}

/* ---- servers of sessions ---- */

void
ledger_note_server(struct ledger *ledger, const char *id, const char *session,
    const char *server)
{
	struct ledger_program *program = find_program(ledger, id);
	uint64_t hash = hash_text(session, 0);
	size_t at = 0;

	if (program == NULL || server[0] == '\0')
		return;
	while (at < program->session_count && program->sessions[at].id != hash)
		at++;
	if (at == program->session_count) {
		if (program->session_count < SESSIONS)
			program->session_count++;
		at = program->session_count - 1;
	}
	memmove(&program->sessions[1], &program->sessions[0],
	    at * sizeof(program->sessions[0]));
	program->sessions[0].id = hash;
	snprintf(program->sessions[0].server, NAME_BYTES, "%s", server);
}

const char *
ledger_server(const struct ledger *ledger, const char *id, const char *session)
{
	const struct ledger_program *program = find_program(ledger, id);
	uint64_t hash = hash_text(session, 0);

	if (program == NULL || program->session_count == 0)
		return "";
	for (size_t i = 0; i < program->session_count; i++) {
		if (program->sessions[i].id == hash)
			return program->sessions[i].server;
	}
	return program->sessions[0].server;
}

/* ---- kept turns ---- */

bool
ledger_find(
    const struct ledger *ledger, const char *id, struct ledger_kept *kept)
{
	const struct ledger_turn *turn = find_turn(ledger, id);

	if (turn == NULL || !turn->kept)
		return false;
	*kept = (struct ledger_kept){
	    .ref =
		{
		    .part = ledger->part,
		    .offset = turn->offset,
		    .bytes = turn->bytes,
		},
	    .previous = turn->previous,
	    .vm = turn->vm,
	    .server = turn->server,
	};
	memcpy(kept->ref.turn, turn->id, sizeof(kept->ref.turn));
	return true;
}

size_t
ledger_chain(const struct ledger *ledger, const char *id, struct turn_ref *refs,
    size_t max)
{
	const struct ledger_turn *turn = find_turn(ledger, id);
	size_t at = max; /* filled from the end */
	size_t count;

	while (turn != NULL && turn->kept && at > 0) {
		struct turn_ref *ref = &refs[--at];

		*ref = (struct turn_ref){
		    .part = ledger->part,
		    .offset = turn->offset,
		    .bytes = turn->bytes,
		};
		memcpy(ref->turn, turn->id, sizeof(ref->turn));
		if (turn->ancestor_count > at)
			return 0;
		if (turn->ancestor_count > 0) {
			at -= turn->ancestor_count;
			memcpy(&refs[at], turn->ancestors,
			    turn->ancestor_count * sizeof(*refs));
			break;
		}
		if (turn->previous[0] == '\0')
			break;
		turn = find_turn(ledger, turn->previous);
		if (turn == NULL || !turn->kept || at == 0)
			return 0;
	}
	count = max - at;
	memmove(refs, &refs[at], count * sizeof(*refs));
	return count;
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
		set_ended(ledger, turn, turn->most, now_us);
		if (!turn->charge)
			give_up(turn);
		set_durability(ledger, turn, NOT_WRITTEN);
	}
}

static void
expire_ended(struct ledger *ledger, int64_t now_us)
{
	list_for_each_safe (
	    turn, tmp, &ledger->ended, struct ledger_turn, link) {
		if (now_us - turn->ended_us < KEEP_US)
			return;
		set_durability(ledger, turn, DURABLE);
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
ledger_has_given_up(const struct ledger *ledger, const char *id)
{
	const struct ledger_program *program = find_program(ledger, id);

	return program != NULL && program->given_up > 0;
}

uint64_t
ledger_spent(const struct ledger *ledger, const char *id)
{
	const struct ledger_program *program = find_program(ledger, id);

	return program != NULL ? program->spent : 0;
}

size_t
ledger_programs(const struct ledger *ledger)
{
	return HASH_COUNT(ledger->programs);
}

size_t
ledger_turns(const struct ledger *ledger)
{
	return HASH_COUNT(ledger->turns);
}
