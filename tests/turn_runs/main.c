/** @file
 * Seeded runs of the ledger in virtual time: programs that run until their
 * budget is spent, side by side turns, owners and serving VMs that die, and a
 * log whose answers are late or lost.
 *
 * Checked: what callers were handed of a program is never more than its budget
 * and one turn; each kept turn whose answer had ended is found by every later
 * owner; a program whose budget surely holds a turn is not told otherwise.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "common/rng.h"
#include "turn/ledger.h"
#include "turn/mutation.h"

enum {
	VMS = 3,
	PROGRAMS = 3,
	LINES = 3, /* of a program at once */
	LOG_MAX = 8192,
	RUN_US = 12L * US_PER_S,
	SLOW_RUN_US =
	    40L * US_PER_S, /* owners last beyond their careful time */
	DEFAULT_RUNS = 2000,
	READ_US = 40L * US_PER_MS, /* a takeover reads the log */
	MOST = 100,
	ASK_US = 1500L * US_PER_MS, /* a VM waits for a grant */
	SEAL_US = 2L * US_PER_S,    /* a caller waits for an answer's end */
	GIVE_UP = 4,                /* refusals after which a line ends */
};

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_ASKING,
	ATTEMPT_RUNNING,
	ATTEMPT_SEALING, /**< its record is on its way */
	ATTEMPT_TELLING, /**< its end is to be told to the owner */
};

/** A line of a program's turns. */
struct line {
	enum attempt_state state;
	char turn[NAME_BYTES];
	int vm;
	int64_t due_us;
	int64_t asked_us; /**< for the present turn, first */
	uint64_t epoch;
	uint64_t handed; /**< tokens of the present turn */
	uint64_t will;   /**< tokens that it will generate */
	int refusals;
	bool lingered; /**< a slow one waits before its end */
	bool retained;
	bool ended;
};

struct program {
	char id[NAME_BYTES];
	uint64_t budget;
	uint64_t handed;
	struct line lines[LINES];
	int line_count;
	uint64_t epoch;  /**< of its newest grant */
	uint64_t owners; /**< that granted it turns */
};

/** A record on its way into the log. */
struct pending {
	struct list link;
	struct buf data;
	int64_t at_us;
	struct line *line; /**< whose kept turn it is, or NULL */
	char turn[NAME_BYTES];
	bool answer_lost;
	bool of_owner; /**< a batch of the present owner */
	uint64_t owner_life;
};

struct kept {
	char turn[NAME_BYTES];
	struct list link;
};

struct world {
	struct rng rng;
	int64_t now_us;
	struct buf log[LOG_MAX];
	size_t log_count;
	size_t read_count; /**< records that the owner has read */
	struct list pending;
	struct program programs[PROGRAMS];
	struct ledger *ledger; /**< NULL: no owner now */
	int64_t owner_from_us; /**< it is ready from then on */
	uint64_t owner_life;
	uint64_t epoch;
	bool batch;
	bool vm_up[VMS];
	int64_t vm_until_us[VMS];
	struct list kept; /**< turns whose answers have ended */
	uint64_t names;
	uint64_t faults;
	uint64_t vm_deaths;
	bool slow;          /**< turns last long, faults are rare */
	bool vms_die;       /**< in this run */
	bool all_die;       /**< at once, now and then, in this run */
	int64_t all_die_us; /**< next time, in a slow run */
	char failure[2048];
};

static void
fail(struct world *world, const char *what, const char *id, uint64_t number)
{
	if (world->failure[0] == '\0')
		snprintf(world->failure, sizeof(world->failure),
		    "%s: %s (%" PRIu64 ") at %.3f s", what, id, number,
		    (double)world->now_us / US_PER_S);
}

static bool
chance(struct world *world, double share)
{
	return rng_real(&world->rng) < share;
}

static int64_t
between_ms(struct world *world, int from, int to)
{
	return (from +
		   (int64_t)rng_below(
		       &world->rng, (uint64_t)to - (uint64_t)from + 1)) *
	    US_PER_MS;
}

/* ---- the log ---- */

static struct pending *
append(struct world *world, struct buf *data)
{
	struct pending *pending = xcalloc(1, sizeof(*pending));

	pending->data = *data;
	*data = (struct buf){0};
	pending->at_us = world->now_us + between_ms(world, 5, 40);
	pending->answer_lost = chance(world, 0.1);
	if (pending->answer_lost)
		pending->at_us += between_ms(world, 0, 2000);
	list_append(&world->pending, &pending->link);
	return pending;
}

static void
add_to_log(struct world *world, const struct buf *data)
{
	if (world->log_count == LOG_MAX) {
		fail(world, "the log is too long for this run", "", 0);
		return;
	}
	buf_append(&world->log[world->log_count++], data->data, data->len);
}

/* ---- the owner ---- */

static void
owner_dies(struct world *world)
{
	ledger_destroy(world->ledger);
	world->ledger = NULL;
	world->owner_life++;
	world->batch = false;
	world->owner_from_us = world->now_us + between_ms(world, 50, 1500);
}

static void
check_kept(struct world *world)
{
	list_for_each (kept, &world->kept, struct kept, link) {
		struct ledger_retained_turn found;

		if (!ledger_find_retained_turn(
			world->ledger, kept->turn, &found))
			fail(world, "a kept turn is lost", kept->turn, 0);
	}
}

/* Reads what the log has and the ledger has not seen. */
static void
owner_reads(struct world *world)
{
	for (; world->read_count < world->log_count; world->read_count++) {
		const struct buf *data = &world->log[world->read_count];
		struct turn_record record;

		if (!turn_record_decode(data->data, data->len, &record, NULL)) {
			fail(world, "a record can't be read", "", 0);
			return;
		}
		ledger_apply(world->ledger, world->read_count,
		    (uint32_t)data->len, &record, world->now_us);
		turn_record_reset(&record);
	}
}

static void
owner_starts(struct world *world)
{
	world->ledger = ledger_create(0);
	world->epoch++;
	world->read_count = 0;
	owner_reads(world);
	ledger_take_ownership(world->ledger, world->epoch, world->now_us);
	check_kept(world);
}

static void
owner_writes(struct world *world)
{
	struct buf data = {0};

	if (world->ledger == NULL || world->batch)
		return;
	if (!ledger_next_record(world->ledger, &data))
		return;
	world->batch = true;
	append(world, &data)->of_owner = true;
	list_entry(world->pending.prev, struct pending, link)->owner_life =
	    world->owner_life;
}

/* ---- turns ---- */

static struct program *
program_of(struct world *world, const struct line *line)
{
	for (int i = 0; i < PROGRAMS; i++) {
		struct program *program = &world->programs[i];

		if (line >= program->lines && line < program->lines + LINES)
			return program;
	}
	return NULL;
}

static void
line_rests(struct world *world, struct line *line)
{
	line->state = ATTEMPT_NONE;
	line->due_us = world->now_us +
	    (world->slow ? between_ms(world, 50, 500)
			 : between_ms(world, 5, 150));
}

static void
line_asks(struct world *world, struct line *line)
{
	snprintf(line->turn, sizeof(line->turn), "t%" PRIu64, world->names++);
	line->state = ATTEMPT_ASKING;
	line->asked_us = world->now_us;
	line->epoch = 0;
	line->vm = (int)rng_below(&world->rng, VMS);
	line->handed = 0;
	line->retained = chance(world, 0.6);
}

static void
line_refused(struct world *world, struct program *program, struct line *line)
{
	uint64_t charges =
	    program->owners - (program->epoch == world->epoch ? 1 : 0);

	/* Without a serving VM's death all ends are told; only an earlier owner
	 * that granted turns adds one at its most. */
	if (world->vm_deaths == 0 &&
	    program->handed + MOST * (charges + 1) <= program->budget)
		fail(world, "refused with budget left", program->id,
		    program->handed);
	line->ended = ++line->refusals >= GIVE_UP;
	line_rests(world, line);
}

static void
line_tries(struct world *world, struct line *line)
{
	struct program *program = program_of(world, line);
	const struct ledger_request ask = {
	    .turn = line->turn,
	    .program = program->id,
	    .has_budget = true,
	    .budget = program->budget,
	    .most = MOST,
	    .deadline_us = world->now_us + 3L * US_PER_S,
	};

	line->due_us = world->now_us + between_ms(world, 2, 20);
	if (!world->vm_up[line->vm]) {
		line_rests(world, line);
		return;
	}
	if (world->now_us - line->asked_us > ASK_US) {
		line->state = ATTEMPT_TELLING;
		return;
	}
	if (world->ledger == NULL)
		return;
	switch (ledger_begin_turn(world->ledger, &ask, world->now_us)) {
	case LEDGER_BEGIN_GRANTED:
		line->state = ATTEMPT_RUNNING;
		line->epoch = world->epoch;
		program->owners += program->epoch != world->epoch;
		program->epoch = world->epoch;
		line->will = world->slow ? MOST - rng_below(&world->rng, 10)
					 : 1 + rng_below(&world->rng, MOST);
		line->lingered = !world->slow;
		return;
	case LEDGER_BEGIN_BUDGET_EXHAUSTED:
		if (ledger_has_timed_out_turns(world->ledger, program->id) &&
		    world->read_count < world->log_count) {
			owner_reads(world);
			return;
		}
		line_refused(world, program, line);
		return;
	case LEDGER_BEGIN_BUDGET_IN_USE:
		owner_reads(world);
		return;
	case LEDGER_BEGIN_RECORD_PENDING:
	case LEDGER_BEGIN_ALREADY_ENDED:
		return;
	}
}

static struct turn_record
record_of(
    struct world *world, const struct line *line, enum turn_record_type type)
{
	const struct program *program = program_of(world, (struct line *)line);
	struct turn_record record = {
	    .type = type,
	    .epoch = line->epoch,
	    .spent = line->handed,
	    .most = MOST,
	    .budget = program->budget,
	};

	memcpy(record.turn, line->turn, sizeof(record.turn));
	memcpy(record.program, program->id, sizeof(record.program));
	return record;
}

static void
line_seals(struct world *world, struct line *line)
{
	struct turn_record record =
	    record_of(world, line, TURN_RECORD_RETAINED);
	struct buf data = {0};
	struct pending *pending;

	turn_record_encode(&record, &data);
	/* Now and then a copy, as when an answer is slow. */
	if (chance(world, 0.2)) {
		struct buf copy = {0};

		buf_append(&copy, data.data, data.len);
		append(world, &copy);
	}
	pending = append(world, &data);
	pending->line = line;
	memcpy(pending->turn, line->turn, sizeof(pending->turn));
	if (line->state != ATTEMPT_SEALING)
		line->due_us = world->now_us + SEAL_US;
	line->state = ATTEMPT_SEALING;
}

static void
line_runs(struct world *world, struct line *line)
{
	struct program *program = program_of(world, line);
	uint64_t step = 1 + rng_below(&world->rng, 30);

	line->due_us = world->now_us +
	    (world->slow ? between_ms(world, 50, 300)
			 : between_ms(world, 5, 40));
	if (!world->vm_up[line->vm]) {
		/* Its end is told by nobody. */
		line_rests(world, line);
		return;
	}
	if (step > line->will - line->handed)
		step = line->will - line->handed;
	line->handed += step;
	program->handed += step;
	if (program->handed > program->budget + MOST)
		fail(world, "budget exceeded", program->id, program->handed);
	if (line->handed < line->will && !chance(world, 0.02))
		return;
	if (!line->lingered) {
		line->lingered = true;
		line->due_us = world->now_us + between_ms(world, 200, 1500);
		return;
	}
	if (line->retained && line->handed == line->will)
		line_seals(world, line);
	else
		line->state = ATTEMPT_TELLING;
}

static void
line_tells(struct world *world, struct line *line)
{
	struct turn_record record = record_of(world, line, TURN_RECORD_ENDED);

	line->due_us = world->now_us + between_ms(world, 10, 60);
	if (!world->vm_up[line->vm]) {
		line_rests(world, line);
		return;
	}
	if (world->ledger == NULL)
		return;
	ledger_end_turn(world->ledger, &record, 0, 0, world->now_us);
	/* It is told again until it is durable. */
	if (ledger_is_end_durable(world->ledger, line->turn))
		line_rests(world, line);
}

static void
line_step(struct world *world, struct line *line)
{
	if (line->ended || line->due_us > world->now_us)
		return;
	switch (line->state) {
	case ATTEMPT_NONE:
		line_asks(world, line);
		return;
	case ATTEMPT_ASKING:
		line_tries(world, line);
		return;
	case ATTEMPT_RUNNING:
		line_runs(world, line);
		return;
	case ATTEMPT_TELLING:
		line_tells(world, line);
		return;
	case ATTEMPT_SEALING:
		/* Its caller has left. */
		line->state = ATTEMPT_TELLING;
		return;
	}
}

/* The answer of a kept turn ends once its record is acknowledged. */
static void
line_kept(struct world *world, struct line *line, uint64_t offset)
{
	struct turn_record record =
	    record_of(world, line, TURN_RECORD_RETAINED);
	struct kept *kept;

	if (!world->vm_up[line->vm]) {
		line_rests(world, line);
		return;
	}
	kept = xcalloc(1, sizeof(*kept));
	memcpy(kept->turn, line->turn, sizeof(kept->turn));
	list_append(&world->kept, &kept->link);
	if (world->ledger != NULL && !chance(world, 0.1))
		ledger_end_turn(
		    world->ledger, &record, offset, 1, world->now_us);
	line_rests(world, line);
}

static void
land(struct world *world, struct pending *pending)
{
	struct line *line = pending->line;

	add_to_log(world, &pending->data);
	if (pending->of_owner && pending->owner_life == world->owner_life) {
		world->batch = false;
		ledger_batch_done(world->ledger, !pending->answer_lost);
	}
	if (line == NULL || line->state != ATTEMPT_SEALING ||
	    strcmp(line->turn, pending->turn) != 0)
		return;
	if (pending->answer_lost)
		line_seals(world, line);
	else
		line_kept(world, line, world->log_count - 1);
}

/* ---- faults ---- */

static void
vm_dies(struct world *world, int vm)
{
	world->vm_up[vm] = false;
	world->vm_until_us[vm] = world->now_us + between_ms(world, 100, 2000);
	world->vm_deaths++;
	world->faults++;
	for (int i = 0; i < PROGRAMS; i++) {
		for (int k = 0; k < LINES; k++) {
			struct line *line = &world->programs[i].lines[k];

			if (line->vm == vm && line->state != ATTEMPT_NONE)
				line_rests(world, line);
		}
	}
}

static void
all_die(struct world *world)
{
	owner_dies(world);
	for (int i = 0; i < VMS; i++)
		vm_dies(world, i);
}

/* In slow runs all die every now and then, with time for an owner to become
 * less careful in between. */
static bool
is_time_for_all(struct world *world)
{
	if (!world->slow)
		return world->all_die && chance(world, 0.001);
	if (world->now_us < world->all_die_us)
		return false;
	world->all_die_us = world->now_us + between_ms(world, 9000, 14000);
	return world->now_us > 0;
}

static void
faults_step(struct world *world)
{
	if (world->ledger != NULL && is_time_for_all(world))
		all_die(world);
	if (!world->slow && world->ledger != NULL && chance(world, 0.0004)) {
		world->faults++;
		owner_dies(world);
	}
	for (int i = 0; i < VMS; i++) {
		if (!world->slow && world->vms_die && world->vm_up[i] &&
		    chance(world, 0.0002))
			vm_dies(world, i);
		else if (!world->vm_up[i] &&
		    world->now_us > world->vm_until_us[i])
			world->vm_up[i] = true;
	}
}

/* ---- one run ---- */

static void
world_create(struct world *world, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	rng_init(&world->rng, seed);
	list_init(&world->pending);
	list_init(&world->kept);
	world->slow = chance(world, 0.4);
	world->vms_die = chance(world, 0.7);
	world->all_die = chance(world, 0.3);
	for (int i = 0; i < VMS; i++)
		world->vm_up[i] = true;
	for (int i = 0; i < PROGRAMS; i++) {
		struct program *program = &world->programs[i];

		snprintf(program->id, sizeof(program->id), "p%d", i);
		program->budget =
		    MOST * (2 + rng_below(&world->rng, world->slow ? 20 : 12));
		program->line_count = 1 + (int)rng_below(&world->rng, LINES);
		for (int k = program->line_count; k < LINES; k++)
			program->lines[k].ended = true;
	}
}

static void
world_destroy(struct world *world)
{
	ledger_destroy(world->ledger);
	for (size_t i = 0; i < world->log_count; i++)
		buf_reset(&world->log[i]);
	list_for_each_safe (
	    pending, tmp, &world->pending, struct pending, link) {
		buf_reset(&pending->data);
		free(pending);
	}
	list_for_each_safe (kept, tmp, &world->kept, struct kept, link)
		free(kept);
}

static void
world_step(struct world *world)
{
	faults_step(world);
	if (world->ledger == NULL && world->now_us >= world->owner_from_us)
		owner_starts(world);
	list_for_each_safe (
	    pending, tmp, &world->pending, struct pending, link) {
		if (pending->at_us > world->now_us)
			continue;
		list_remove(&pending->link);
		land(world, pending);
		buf_reset(&pending->data);
		free(pending);
	}
	for (int i = 0; i < PROGRAMS; i++) {
		for (int k = 0; k < LINES; k++)
			line_step(world, &world->programs[i].lines[k]);
	}
	owner_writes(world);
	if (world->ledger != NULL)
		ledger_expire(world->ledger, world->now_us);
}

/* Returns whether all promises held. */
static bool
run(uint64_t seed, uint64_t *faults, bool verbose)
{
	struct world *world = xcalloc(1, sizeof(*world));
	bool ok;

	world_create(world, seed);
	while (world->now_us < (world->slow ? SLOW_RUN_US : RUN_US) &&
	    world->failure[0] == '\0') {
		world_step(world);
		world->now_us += US_PER_MS;
	}
	ok = world->failure[0] == '\0';
	*faults += world->faults;
	if (!ok && verbose)
		printf("seed %" PRIu64 ": %s\n", seed, world->failure);
	world_destroy(world);
	free(world);
	return ok;
}

/* ---- the program ---- */

static struct {
	uint64_t count;
	uint64_t seed;
	int mutation;
} arguments = {.count = DEFAULT_RUNS, .mutation = -1};

static const char *const mutation_names[] = {
    [TURN_MUTATION_NONE] = "none",
    [TURN_MUTATION_NO_PLACEHOLDER] = "no-charge",
    [TURN_MUTATION_NO_RECORD] = "no-record",
    [TURN_MUTATION_IGNORE_RUNNING] = "no-open",
    [TURN_MUTATION_NO_DEDUPLICATION] = "no-fold",
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'c':
		arguments.count = strtoull(arg, NULL, 10);
		return 0;
	case 's':
		arguments.seed = strtoull(arg, NULL, 10);
		return 0;
	case 'm':
		for (int i = 0; i < TURN_MUTATION_COUNT; i++) {
			if (strcmp(arg, mutation_names[i]) == 0) {
				arguments.mutation = i;
				return 0;
			}
		}
		argp_error(state, "unknown variant: %s", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns after how many runs a broken variant was caught; 0: never. */
static uint64_t
runs_to_catch(enum turn_mutation mutation, uint64_t most)
{
	uint64_t faults = 0;
	uint64_t caught = 0;

	turn_mutation_current = mutation;
	for (uint64_t seed = 1; seed <= most && caught == 0; seed++) {
		if (!run(seed, &faults, false))
			caught = seed;
	}
	turn_mutation_current = TURN_MUTATION_NONE;
	return caught;
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"count", 'c', "N", 0, "Runs", 0},
	    {"seed", 's', "N", 0, "Replay one run", 0},
	    {"mutation", 'm', "NAME", 0, "Run a broken variant", 0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .doc = "Runs the ledger of turns in virtual time.",
	};
	uint64_t failed = 0;
	uint64_t faults = 0;
	bool caught_all = true;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (arguments.mutation >= 0)
		turn_mutation_current = (enum turn_mutation)arguments.mutation;
	if (arguments.seed != 0)
		return run(arguments.seed, &faults, true) ? 0 : 1;
	for (uint64_t seed = 1; seed <= arguments.count; seed++)
		failed += !run(seed, &faults, true);
	printf("%" PRIu64 " runs, %" PRIu64 " failed, %" PRIu64 " faults\n",
	    arguments.count, failed, faults);
	if (arguments.mutation >= 0)
		return failed > 0 ? 1 : 0;
	for (int i = 1; i < TURN_MUTATION_COUNT; i++) {
		uint64_t runs =
		    runs_to_catch((enum turn_mutation)i, arguments.count);

		printf("%s: %s after %" PRIu64 " runs\n", mutation_names[i],
		    runs > 0 ? "caught" : "NOT caught", runs);
		caught_all = caught_all && runs > 0;
	}
	return failed == 0 && caught_all ? 0 : 1;
}
