#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "experiment/simulation.h"

enum {
	SIMULATION_PROGRAMS_INITIAL_CAP = 1024,
	/** delay until a caller retries a refused call */
	CLIENT_RETRY_DELAY_US = 2 * US_PER_S,
	CLIENT_RETRIES_MAX = 20, /**< refusals after which a caller gives up */
};

/* Returns the one-way delay between a caller and its node in microseconds. */
static int64_t
simulation_client_delay_us(const struct simulation *simulation)
{
	return (int64_t)(simulation->params.client_delay_ms * US_PER_MS);
}

void
simulation_begin_program(
    struct simulation *simulation, struct plan plan, uint32_t parent)
{
	uint32_t index = simulation->program_count++;
	struct simulation_program *program;

	if (index == simulation->program_cap) {
		simulation->program_cap =
		    index == 0 ? SIMULATION_PROGRAMS_INITIAL_CAP : 2 * index;
		simulation->programs = xrealloc(simulation->programs,
		    simulation->program_cap * sizeof(*simulation->programs));
	}
	program = &simulation->programs[index];
	*program = (struct simulation_program){
	    .plan = plan, .parent = parent, .begun_us = simulation->now_us};
	snprintf(program->id, sizeof(program->id), "program-%u", index);
	program->node = parent == SIMULATION_NO_PROGRAM
	    ? (uint32_t)(hash_text(program->id, 0) % simulation->node_count)
	    : simulation->programs[parent].node;
	program->measured = parent == SIMULATION_NO_PROGRAM &&
	    !plan.abandoned &&
	    (double)simulation->now_us >=
		simulation->params.warm_up_s * US_PER_S;
	simulation->begun += program->measured;
	simulation_schedule(simulation,
	    simulation->now_us + simulation_client_delay_us(simulation),
	    (struct event){.type = EVENT_SUBMIT, .a = index});
}

/* Releases a program's cache on all engines that its calls were sent to. */
static void
simulation_release_caches(struct simulation *simulation, uint32_t index)
{
	const struct simulation_program *program = &simulation->programs[index];

	for (uint32_t engine = 0; engine < simulation->engine_count; engine++) {
		if ((program->engines_used & (1U << engine)) == 0)
			continue;
		simulation_schedule(simulation,
		    simulation->now_us +
			simulation_delay_us(simulation, program->node, engine),
		    (struct event){
			.type = EVENT_RELEASE, .a = index, .b = engine});
	}
}

void
simulation_record_program(struct simulation *simulation,
    const struct simulation_program *program, int64_t end_us)
{
	double latency_s = (double)(end_us - program->begun_us) / US_PER_S;
	double system_s = latency_s - (double)program->pauses_us / US_PER_S;

	if (!program->measured)
		return;
	samples_add(&simulation->latency, latency_s);
	samples_add(&simulation->system, system_s);
	samples_add(
	    program->plan.urgent ? &simulation->urgent : &simulation->others,
	    latency_s);
}

static void
simulation_end_program(struct simulation *simulation, uint32_t index)
{
	struct simulation_program *program = &simulation->programs[index];
	struct simulation_node *node = &simulation->nodes[program->node];

	program->ended = true;
	sched_handle_program_end(node->sched, program->id);
	simulation_release_caches(simulation, index);
	if (program->parent != SIMULATION_NO_PROGRAM) {
		struct simulation_program *parent =
		    &simulation->programs[program->parent];

		if (--parent->agents_left > 0)
			return;
		/* The parent waited for this sub-agent, the last to end. */
		parent->pauses_us += program->pauses_us;
		simulation_schedule(simulation,
		    simulation->now_us +
			2 * simulation_client_delay_us(simulation),
		    (struct event){.type = EVENT_SUBMIT, .a = program->parent});
	}
}

static void
simulation_begin_turn(
    struct simulation *simulation, struct simulation_program *program)
{
	program->turn_number++;
	program->turn = plan_next_turn(
	    &program->plan, &simulation->params, program->turn_number);
	program->submitted_us = simulation->now_us;
}

void
simulation_handle_refusal(
    struct simulation *simulation, uint32_t index, enum refusal reason)
{
	struct simulation_program *program = &simulation->programs[index];
	bool before_first_attempt =
	    program->turn_number == 1 && program->attempt == 0;

	if ((before_first_attempt && reason == REFUSAL_OVERLOADED) ||
	    ++program->failures > CLIENT_RETRIES_MAX) {
		simulation->refused +=
		    program->measured && before_first_attempt;
		simulation->given_up +=
		    program->measured && !before_first_attempt;
		program->measured = false;
		simulation_end_program(simulation, index);
		return;
	}
	simulation_schedule(simulation,
	    simulation->now_us + CLIENT_RETRY_DELAY_US,
	    (struct event){.type = EVENT_SUBMIT, .a = index, .b = 1});
}

/* Submits the call of the next turn, or that of the current turn again. */
static void
simulation_submit(struct simulation *simulation, uint32_t index, bool is_retry)
{
	struct simulation_program *program = &simulation->programs[index];
	struct simulation_node *node = &simulation->nodes[program->node];
	struct sched_request call = {
	    .model = "model", .workspace = "workspace"};
	enum refusal reason;

	if (!is_retry)
		simulation_begin_turn(simulation, program);
	call.call_id = index;
	memcpy(call.program, program->id, PROGRAM_ID_BYTES);
	call.turn = program->turn_number;
	call.history_tokens = program->history_tokens;
	call.new_tokens = program->turn.new_tokens;
	call.max_tokens = 2 * program->turn.answer_tokens;
	call.program_begun_us = program->begun_us;
	call.program_served_tokens = program->served_tokens;
	call.deadline_us = INT64_MAX;
	call.urgent = program->plan.urgent;
	call.sub_agent = program->plan.sub_agent;
	node->requests++;
	if (sched_submit(node->sched, &call, simulation->now_us, &reason) ==
	    SCHED_REFUSED)
		simulation_handle_refusal(simulation, index, reason);
	simulation_process_node(simulation, program->node);
}

static void
simulation_begin_sub_agents(struct simulation *simulation, uint32_t index)
{
	uint32_t agents = simulation->programs[index].plan.agents;
	uint64_t state = simulation->programs[index].plan.rng.state;

	simulation->programs[index].agents_left = agents;
	for (uint32_t i = 0; i < agents; i++)
		simulation_begin_program(simulation,
		    plan_create_sub_agent(&simulation->params, state + i),
		    index);
}

/* Returns whether the current turn is the last: the plan ends, or the history
 * takes more than half the context. */
static bool
simulation_is_last_turn(const struct simulation *simulation,
    const struct simulation_program *program)
{
	return program->turn_number >= program->plan.turns ||
	    (double)program->history_tokens >
	    simulation->params.context_tokens / 2;
}

/* Begins the pause after a turn: the program waits for sub-agents, a tool or,
 * if its caller is gone, for the timeout of abandoned programs. */
static void
simulation_pause_program(struct simulation *simulation, uint32_t index)
{
	struct simulation_program *program = &simulation->programs[index];
	struct sched *sched = simulation->nodes[program->node].sched;
	bool agents = program->plan.agents_after_turn == program->turn_number;
	const char *tool = agents ? "agents" : tool_name(program->turn.tool);

	if (sched_handle_pause_begin(sched, program->id, "workspace", tool,
		simulation->now_us) == SCHED_CACHE_ACTION_DROP)
		simulation_schedule(simulation,
		    simulation->now_us +
			simulation_delay_us(
			    simulation, program->node, program->engine),
		    (struct event){.type = EVENT_RELEASE,
			.a = index,
			.b = program->engine});
	if (agents) {
		simulation_begin_sub_agents(simulation, index);
		return;
	}
	if (program->plan.abandoned &&
	    program->turn_number + 1 >= program->plan.turns) {
		simulation_schedule(simulation,
		    simulation->now_us +
			(int64_t)(simulation->params.abandoned_after_s *
			    US_PER_S),
		    (struct event){.type = EVENT_ABANDONED, .a = index});
		return;
	}
	program->pauses_us += program->turn.pause_us;
	simulation_schedule(simulation,
	    simulation->now_us + program->turn.pause_us +
		2 * simulation_client_delay_us(simulation),
	    (struct event){.type = EVENT_SUBMIT, .a = index});
}

static void
simulation_handle_call_done(
    struct simulation *simulation, const struct event *event)
{
	struct simulation_program *program = &simulation->programs[event->a];
	struct simulation_node *node = &simulation->nodes[program->node];
	uint64_t prompt = program->history_tokens + program->turn.new_tokens;
	char name[NAME_BYTES];
	enum refusal reason;

	if (program->ended || event->b != program->attempt)
		return;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	simulation->history_tokens += program->history_tokens;
	program->history_tokens = prompt + program->turn.answer_tokens;
	program->served_tokens +=
	    prompt - event->c + program->turn.answer_tokens;
	program->attempt++;
	sched_handle_attempt_end(node->sched, event->a, name, SCHED_DONE,
	    program->history_tokens, event->c, simulation->now_us, &reason);
	if (simulation_is_last_turn(simulation, program)) {
		int64_t end_us =
		    simulation->now_us + simulation_client_delay_us(simulation);

		simulation->finished +=
		    program->parent == SIMULATION_NO_PROGRAM;
		simulation->finished_in_period +=
		    program->parent == SIMULATION_NO_PROGRAM &&
		    end_us <= simulation->stop_us &&
		    (double)end_us >= simulation->params.warm_up_s * US_PER_S;
		simulation_record_program(simulation, program, end_us);
		simulation_end_program(simulation, event->a);
	} else {
		simulation_pause_program(simulation, event->a);
	}
	simulation_process_node(
	    simulation, simulation->programs[event->a].node);
}

static void
simulation_handle_call_failed(
    struct simulation *simulation, const struct event *event)
{
	struct simulation_program *program = &simulation->programs[event->a];
	struct simulation_node *node = &simulation->nodes[program->node];
	char name[NAME_BYTES];
	enum refusal reason;

	if (program->ended || event->b != program->attempt)
		return;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	program->attempt++;
	if (event->c == SCHED_DISCONNECTED)
		simulation->lost_tokens +=
		    program->history_tokens + program->turn.new_tokens;
	if (sched_handle_attempt_end(node->sched, event->a, name,
		(enum sched_result)event->c, 0, 0, simulation->now_us,
		&reason) == SCHED_GIVE_UP)
		simulation_handle_refusal(simulation, event->a, reason);
	simulation_process_node(simulation, program->node);
}

static void
simulation_handle_first_token(
    struct simulation *simulation, const struct event *event)
{
	const struct simulation_program *program =
	    &simulation->programs[event->a];
	double wait_s =
	    (double)(simulation->now_us - program->submitted_us) / US_PER_S;
	char name[NAME_BYTES];

	if (program->ended || event->b != program->attempt)
		return;
	if (wait_s > simulation->longest_wait_s)
		simulation->longest_wait_s = wait_s;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	sched_handle_first_token(simulation->nodes[program->node].sched,
	    event->a, name, simulation->now_us);
}

static void
simulation_handle_arrival(struct simulation *simulation)
{
	struct plan plan =
	    plan_create(&simulation->params, rng_next(&simulation->rng));
	int64_t interarrival_us;

	simulation_begin_program(simulation, plan, SIMULATION_NO_PROGRAM);
	interarrival_us = traffic_interarrival_us(&simulation->params,
	    simulation->rate, &simulation->rng, simulation->now_us);
	if (simulation->now_us + interarrival_us < simulation->stop_us)
		simulation_schedule(simulation,
		    simulation->now_us + interarrival_us,
		    (struct event){.type = EVENT_ARRIVAL});
}

void
simulation_handle_program(
    struct simulation *simulation, const struct event *event)
{
	switch (event->type) {
	case EVENT_ARRIVAL:
		simulation_handle_arrival(simulation);
		return;
	case EVENT_SUBMIT:
		simulation_submit(simulation, event->a, event->b != 0);
		return;
	case EVENT_FIRST_TOKEN:
		simulation_handle_first_token(simulation, event);
		return;
	case EVENT_CALL_DONE:
		simulation_handle_call_done(simulation, event);
		return;
	case EVENT_CALL_FAILED:
		simulation_handle_call_failed(simulation, event);
		return;
	default:
		simulation_end_program(simulation, event->a);
		return;
	}
}
