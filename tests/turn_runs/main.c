/** @file
 * Seeded simulation of the ledger in virtual time: programs that run until
 * their budget is spent, with concurrent turns, crashes of owners and of
 * serving VMs, and a log whose responses are late or lost.
 *
 * Checked are three guarantees: callers never receive more tokens of a program
 * than its budget and one turn; every later owner finds each retained turn
 * whose response had ended; a program whose budget is surely enough for a turn
 * is not refused.
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
	VM_COUNT = 3,
	PROGRAM_COUNT = 3,
	SESSIONS_MAX = 3, /* concurrent sessions of a program */
	LOG_RECORDS_MAX = 8192,
	RUN_US = 12L * US_PER_S,
	SLOW_RUN_US = 40L * US_PER_S, /* owners outlast their recovery period */
	DEFAULT_RUNS = 2000,
	MAX_TOKENS = 100,
	GRANT_TIMEOUT_US = 1500L * US_PER_MS, /* wait of a VM for a grant */
	/* Wait of a caller for the response's end. */
	APPEND_TIMEOUT_US = 2L * US_PER_S,
	REFUSALS_MAX = 4, /* refusals after which a session ends */
};

enum session_state {
	SESSION_IDLE,
	SESSION_REQUESTING,
	SESSION_RUNNING,
	SESSION_APPENDING, /**< the turn's record is being appended */
	SESSION_REPORTING, /**< the turn's end is to be reported to the owner */
};

/** A session of a program, which runs one turn after the other. */
struct session {
	enum session_state state;
	char turn[NAME_BYTES];
	int vm;
	int64_t next_step_us;
	int64_t requested_us; /**< first request for the current turn */
	uint64_t epoch;
	uint64_t delivered; /**< tokens of the current turn */
	uint64_t planned;   /**< tokens that the turn will generate */
	int refusals;
	/** Whether the wait before the turn's end has begun, which only slow
	 * runs have. */
	bool end_delayed;
	bool retained; /**< whether the turn is to be retained */
	bool ended;
};

/** A program with its sessions. */
struct program {
	char id[NAME_BYTES];
	uint64_t budget;
	uint64_t delivered;
	struct session sessions[SESSIONS_MAX];
	int session_count;
	uint64_t epoch;       /**< epoch of its newest grant */
	uint64_t owner_count; /**< number of owners that granted it turns */
};

/** An append in flight. */
struct append {
	struct list link;
	struct buf data;
	int64_t at_us;
	struct session *session; /**< session of the retained turn, or NULL */
	char turn[NAME_BYTES];
	bool response_lost;
	bool by_owner;           /**< whether it is the batch of an owner */
	uint64_t owner_instance; /**< owner that appended the batch */
};

/** A turn that every later owner must find. */
struct retained_turn {
	char turn[NAME_BYTES];
	struct list link;
};

/** State of one run. */
struct world {
	struct rng rng;
	int64_t now_us;
	struct buf log[LOG_RECORDS_MAX];
	size_t log_count;
	size_t read_count; /**< records that the owner has read */
	struct list appends;
	struct program programs[PROGRAM_COUNT];
	struct ledger *ledger;   /**< NULL while there is no owner */
	int64_t owner_start_us;  /**< time at which the next owner starts */
	uint64_t owner_instance; /**< incremented when an owner crashes */
	uint64_t epoch;
	bool batch_in_flight;
	bool vm_up[VM_COUNT];
	int64_t vm_restart_us[VM_COUNT];
	struct list retained_turns; /**< turns whose responses have ended */
	uint64_t turn_count;
	uint64_t faults;
	uint64_t vm_crashes;
	bool slow;            /**< turns take long and faults are rare */
	bool vms_crash;       /**< whether single VMs crash */
	bool all_crash;       /**< whether all VMs sometimes crash at once */
	int64_t all_crash_us; /**< time of the next such crash in a slow run */
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
chance(struct world *world, double probability)
{
	return rng_real(&world->rng) < probability;
}

static int64_t
between_ms(struct world *world, int from, int to)
{
	return (from +
		   (int64_t)rng_below(
		       &world->rng, (uint64_t)to - (uint64_t)from + 1)) *
	    US_PER_MS;
}

static struct append *
append_record(struct world *world, struct buf *data)
{
	struct append *append = xcalloc(1, sizeof(*append));

	append->data = *data;
	*data = (struct buf){0};
	append->at_us = world->now_us + between_ms(world, 5, 40);
	append->response_lost = chance(world, 0.1);
	if (append->response_lost)
		append->at_us += between_ms(world, 0, 2000);
	list_append(&world->appends, &append->link);
	return append;
}

static void
add_to_log(struct world *world, const struct buf *data)
{
	if (world->log_count == LOG_RECORDS_MAX) {
		fail(world, "the log has no room for more records", "", 0);
		return;
	}
	buf_append(&world->log[world->log_count++], data->data, data->len);
}

static void
crash_owner(struct world *world)
{
	ledger_destroy(world->ledger);
	world->ledger = NULL;
	world->owner_instance++;
	world->batch_in_flight = false;
	world->owner_start_us = world->now_us + between_ms(world, 50, 1500);
}

static void
check_retained(struct world *world)
{
	list_for_each (
	    retained, &world->retained_turns, struct retained_turn, link) {
		struct ledger_retained_turn found;

		if (!ledger_find_retained_turn(
			world->ledger, retained->turn, &found))
			fail(world, "retained turn not found", retained->turn,
			    0);
	}
}

/* Applies the records of the log that the ledger has not seen. */
static void
read_log(struct world *world)
{
	for (; world->read_count < world->log_count; world->read_count++) {
		const struct buf *data = &world->log[world->read_count];
		struct turn_record record;

		if (!turn_record_decode(data->data, data->len, &record, NULL)) {
			fail(world, "record cannot be decoded", "", 0);
			return;
		}
		ledger_apply(world->ledger, world->read_count,
		    (uint32_t)data->len, &record, world->now_us);
		turn_record_reset(&record);
	}
}

static void
start_owner(struct world *world)
{
	world->ledger = ledger_create(0);
	world->epoch++;
	world->read_count = 0;
	read_log(world);
	ledger_take_ownership(world->ledger, world->epoch, world->now_us);
	check_retained(world);
}

static void
append_batch(struct world *world)
{
	struct buf data = {0};

	if (world->ledger == NULL || world->batch_in_flight)
		return;
	if (!ledger_next_record(world->ledger, &data))
		return;
	world->batch_in_flight = true;
	append_record(world, &data)->by_owner = true;
	list_entry(world->appends.prev, struct append, link)->owner_instance =
	    world->owner_instance;
}

static struct program *
session_program(struct world *world, const struct session *session)
{
	for (int i = 0; i < PROGRAM_COUNT; i++) {
		struct program *program = &world->programs[i];

		if (session >= program->sessions &&
		    session < program->sessions + SESSIONS_MAX)
			return program;
	}
	return NULL;
}

static void
session_pause(struct world *world, struct session *session)
{
	session->state = SESSION_IDLE;
	session->next_step_us = world->now_us +
	    (world->slow ? between_ms(world, 50, 500)
			 : between_ms(world, 5, 150));
}

static void
session_new_turn(struct world *world, struct session *session)
{
	snprintf(session->turn, sizeof(session->turn), "t%" PRIu64,
	    world->turn_count++);
	session->state = SESSION_REQUESTING;
	session->requested_us = world->now_us;
	session->epoch = 0;
	session->vm = (int)rng_below(&world->rng, VM_COUNT);
	session->delivered = 0;
	session->retained = chance(world, 0.6);
}

static void
session_refused(
    struct world *world, struct program *program, struct session *session)
{
	uint64_t placeholders =
	    program->owner_count - (program->epoch == world->epoch ? 1 : 0);

	/* Unless a serving VM crashed, all ends are reported. Then only
	 * placeholders add to what was delivered, one for each earlier owner
	 * that granted turns. */
	if (world->vm_crashes == 0 &&
	    program->delivered + MAX_TOKENS * (placeholders + 1) <=
		program->budget)
		fail(world, "refused with budget left", program->id,
		    program->delivered);
	session->ended = ++session->refusals >= REFUSALS_MAX;
	session_pause(world, session);
}

static void
session_request_grant(struct world *world, struct session *session)
{
	struct program *program = session_program(world, session);
	const struct ledger_request request = {
	    .turn = session->turn,
	    .program = program->id,
	    .has_budget = true,
	    .budget = program->budget,
	    .max_tokens = MAX_TOKENS,
	    .deadline_us = world->now_us + 3L * US_PER_S,
	};

	session->next_step_us = world->now_us + between_ms(world, 2, 20);
	if (!world->vm_up[session->vm]) {
		session_pause(world, session);
		return;
	}
	if (world->now_us - session->requested_us > GRANT_TIMEOUT_US) {
		session->state = SESSION_REPORTING;
		return;
	}
	if (world->ledger == NULL)
		return;
	switch (ledger_begin_turn(world->ledger, &request, world->now_us)) {
	case LEDGER_BEGIN_GRANTED:
		session->state = SESSION_RUNNING;
		session->epoch = world->epoch;
		program->owner_count += program->epoch != world->epoch;
		program->epoch = world->epoch;
		session->planned = world->slow
		    ? MAX_TOKENS - rng_below(&world->rng, 10)
		    : 1 + rng_below(&world->rng, MAX_TOKENS);
		session->end_delayed = !world->slow;
		return;
	case LEDGER_BEGIN_BUDGET_EXHAUSTED:
		if (ledger_has_timed_out_turns(world->ledger, program->id) &&
		    world->read_count < world->log_count) {
			read_log(world);
			return;
		}
		session_refused(world, program, session);
		return;
	case LEDGER_BEGIN_BUDGET_IN_USE:
		read_log(world);
		return;
	case LEDGER_BEGIN_RECORD_PENDING:
	case LEDGER_BEGIN_ALREADY_ENDED:
		return;
	}
}

static struct turn_record
make_record(struct world *world, const struct session *session,
    enum turn_record_type type)
{
	const struct program *program =
	    session_program(world, (struct session *)session);
	struct turn_record record = {
	    .type = type,
	    .epoch = session->epoch,
	    .spent = session->delivered,
	    .max_tokens = MAX_TOKENS,
	    .budget = program->budget,
	};

	memcpy(record.turn, session->turn, sizeof(record.turn));
	memcpy(record.program, program->id, sizeof(record.program));
	return record;
}

static void
session_append_record(struct world *world, struct session *session)
{
	struct turn_record record =
	    make_record(world, session, TURN_RECORD_RETAINED);
	struct buf data = {0};
	struct append *append;

	turn_record_encode(&record, &data);
	/* Sometimes append a copy, as a VM does when a response is late. */
	if (chance(world, 0.2)) {
		struct buf copy = {0};

		buf_append(&copy, data.data, data.len);
		append_record(world, &copy);
	}
	append = append_record(world, &data);
	append->session = session;
	memcpy(append->turn, session->turn, sizeof(append->turn));
	if (session->state != SESSION_APPENDING)
		session->next_step_us = world->now_us + APPEND_TIMEOUT_US;
	session->state = SESSION_APPENDING;
}

static void
session_generate(struct world *world, struct session *session)
{
	struct program *program = session_program(world, session);
	uint64_t step = 1 + rng_below(&world->rng, 30);

	session->next_step_us = world->now_us +
	    (world->slow ? between_ms(world, 50, 300)
			 : between_ms(world, 5, 40));
	if (!world->vm_up[session->vm]) {
		/* Nobody reports the end of the turn. */
		session_pause(world, session);
		return;
	}
	if (step > session->planned - session->delivered)
		step = session->planned - session->delivered;
	session->delivered += step;
	program->delivered += step;
	if (program->delivered > program->budget + MAX_TOKENS)
		fail(world, "budget exceeded", program->id, program->delivered);
	if (session->delivered < session->planned && !chance(world, 0.02))
		return;
	if (!session->end_delayed) {
		session->end_delayed = true;
		session->next_step_us =
		    world->now_us + between_ms(world, 200, 1500);
		return;
	}
	if (session->retained && session->delivered == session->planned)
		session_append_record(world, session);
	else
		session->state = SESSION_REPORTING;
}

static void
session_report_end(struct world *world, struct session *session)
{
	struct turn_record record =
	    make_record(world, session, TURN_RECORD_ENDED);

	session->next_step_us = world->now_us + between_ms(world, 10, 60);
	if (!world->vm_up[session->vm]) {
		session_pause(world, session);
		return;
	}
	if (world->ledger == NULL)
		return;
	ledger_end_turn(world->ledger, &record, 0, 0, world->now_us);
	/* The end is reported again until it is durable. */
	if (ledger_is_end_durable(world->ledger, session->turn))
		session_pause(world, session);
}

static void
session_step(struct world *world, struct session *session)
{
	if (session->ended || session->next_step_us > world->now_us)
		return;
	switch (session->state) {
	case SESSION_IDLE:
		session_new_turn(world, session);
		return;
	case SESSION_REQUESTING:
		session_request_grant(world, session);
		return;
	case SESSION_RUNNING:
		session_generate(world, session);
		return;
	case SESSION_REPORTING:
		session_report_end(world, session);
		return;
	case SESSION_APPENDING:
		/* The caller no longer waits for the response's end. */
		session->state = SESSION_REPORTING;
		return;
	}
}

/* Ends the response of a retained turn, whose append was acknowledged. */
static void
session_complete(struct world *world, struct session *session, uint64_t offset)
{
	struct turn_record record =
	    make_record(world, session, TURN_RECORD_RETAINED);
	struct retained_turn *retained;

	if (!world->vm_up[session->vm]) {
		session_pause(world, session);
		return;
	}
	retained = xcalloc(1, sizeof(*retained));
	memcpy(retained->turn, session->turn, sizeof(retained->turn));
	list_append(&world->retained_turns, &retained->link);
	if (world->ledger != NULL && !chance(world, 0.1))
		ledger_end_turn(
		    world->ledger, &record, offset, 1, world->now_us);
	session_pause(world, session);
}

static void
complete_append(struct world *world, struct append *append)
{
	struct session *session = append->session;

	add_to_log(world, &append->data);
	if (append->by_owner &&
	    append->owner_instance == world->owner_instance) {
		world->batch_in_flight = false;
		ledger_batch_done(world->ledger, !append->response_lost);
	}
	if (session == NULL || session->state != SESSION_APPENDING ||
	    strcmp(session->turn, append->turn) != 0)
		return;
	if (append->response_lost)
		session_append_record(world, session);
	else
		session_complete(world, session, world->log_count - 1);
}

static void
crash_vm(struct world *world, int vm)
{
	world->vm_up[vm] = false;
	world->vm_restart_us[vm] = world->now_us + between_ms(world, 100, 2000);
	world->vm_crashes++;
	world->faults++;
	for (int i = 0; i < PROGRAM_COUNT; i++) {
		for (int k = 0; k < SESSIONS_MAX; k++) {
			struct session *session =
			    &world->programs[i].sessions[k];

			if (session->vm == vm && session->state != SESSION_IDLE)
				session_pause(world, session);
		}
	}
}

static void
crash_all_vms(struct world *world)
{
	crash_owner(world);
	for (int i = 0; i < VM_COUNT; i++)
		crash_vm(world, i);
}

/* Returns whether all VMs crash now. In slow runs the time between such crashes
 * is long enough for an owner to leave its recovery period. */
static bool
should_crash_all(struct world *world)
{
	if (!world->slow)
		return world->all_crash && chance(world, 0.001);
	if (world->now_us < world->all_crash_us)
		return false;
	world->all_crash_us = world->now_us + between_ms(world, 9000, 14000);
	return world->now_us > 0;
}

static void
inject_faults(struct world *world)
{
	if (world->ledger != NULL && should_crash_all(world))
		crash_all_vms(world);
	if (!world->slow && world->ledger != NULL && chance(world, 0.0004)) {
		world->faults++;
		crash_owner(world);
	}
	for (int i = 0; i < VM_COUNT; i++) {
		if (!world->slow && world->vms_crash && world->vm_up[i] &&
		    chance(world, 0.0002))
			crash_vm(world, i);
		else if (!world->vm_up[i] &&
		    world->now_us > world->vm_restart_us[i])
			world->vm_up[i] = true;
	}
}

static void
world_create(struct world *world, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	rng_init(&world->rng, seed);
	list_init(&world->appends);
	list_init(&world->retained_turns);
	world->slow = chance(world, 0.4);
	world->vms_crash = chance(world, 0.7);
	world->all_crash = chance(world, 0.3);
	for (int i = 0; i < VM_COUNT; i++)
		world->vm_up[i] = true;
	for (int i = 0; i < PROGRAM_COUNT; i++) {
		struct program *program = &world->programs[i];

		snprintf(program->id, sizeof(program->id), "p%d", i);
		program->budget = MAX_TOKENS *
		    (2 + rng_below(&world->rng, world->slow ? 20 : 12));
		program->session_count =
		    1 + (int)rng_below(&world->rng, SESSIONS_MAX);
		for (int k = program->session_count; k < SESSIONS_MAX; k++)
			program->sessions[k].ended = true;
	}
}

static void
world_destroy(struct world *world)
{
	ledger_destroy(world->ledger);
	for (size_t i = 0; i < world->log_count; i++)
		buf_reset(&world->log[i]);
	list_for_each_safe (append, tmp, &world->appends, struct append, link) {
		buf_reset(&append->data);
		free(append);
	}
	list_for_each_safe (
	    retained, tmp, &world->retained_turns, struct retained_turn, link)
		free(retained);
}

static void
world_step(struct world *world)
{
	inject_faults(world);
	if (world->ledger == NULL && world->now_us >= world->owner_start_us)
		start_owner(world);
	list_for_each_safe (append, tmp, &world->appends, struct append, link) {
		if (append->at_us > world->now_us)
			continue;
		list_remove(&append->link);
		complete_append(world, append);
		buf_reset(&append->data);
		free(append);
	}
	for (int i = 0; i < PROGRAM_COUNT; i++) {
		for (int k = 0; k < SESSIONS_MAX; k++)
			session_step(world, &world->programs[i].sessions[k]);
	}
	append_batch(world);
	if (world->ledger != NULL)
		ledger_expire(world->ledger, world->now_us);
}

/* Simulates one run. Returns whether all guarantees held. */
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

/* Returns the number of runs until a broken variant is detected; 0 if never. */
static uint64_t
runs_until_caught(enum turn_mutation mutation, uint64_t max_runs)
{
	uint64_t faults = 0;
	uint64_t caught = 0;

	turn_mutation_current = mutation;
	for (uint64_t seed = 1; seed <= max_runs && caught == 0; seed++) {
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
	    {"count", 'c', "N", 0, "Number of runs", 0},
	    {"seed", 's', "N", 0, "Replay one run", 0},
	    {"mutation", 'm', "NAME", 0, "Run a broken variant", 0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .doc = "Simulates the ledger of turns in virtual time.",
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
		    runs_until_caught((enum turn_mutation)i, arguments.count);

		printf("%s: %s after %" PRIu64 " runs\n", mutation_names[i],
		    runs > 0 ? "caught" : "NOT caught", runs);
		caught_all = caught_all && runs > 0;
	}
	return failed == 0 && caught_all ? 0 : 1;
}
