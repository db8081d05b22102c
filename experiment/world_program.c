#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "experiment/world.h"

enum {
	WORLD_FIRST_CAP = 1024,
	WORLD_AGAIN_US = 2 * US_PER_S, /**< until a caller tries again */
	WORLD_AGAIN_MAX = 20,
};

static int64_t
world_client_us(const struct world *world)
{
	return (int64_t)(world->params.client_delay_ms * US_PER_MS);
}

void
world_begin_program(struct world *world, struct plan plan, uint32_t parent)
{
	uint32_t index = world->program_count++;
	struct world_program *program;

	if (index == world->program_cap) {
		world->program_cap = index == 0 ? WORLD_FIRST_CAP : 2 * index;
		world->programs = xrealloc(world->programs,
		    world->program_cap * sizeof(*world->programs));
	}
	program = &world->programs[index];
	*program = (struct world_program){
	    .plan = plan, .parent = parent, .begun_us = world->now_us};
	snprintf(program->id, sizeof(program->id), "program-%u", index);
	program->node = parent == WORLD_NO_PROGRAM
	    ? (uint32_t)(hash_text(program->id, 0) % world->node_count)
	    : world->programs[parent].node;
	program->measured = parent == WORLD_NO_PROGRAM && !plan.abandoned &&
	    (double)world->now_us >= world->params.warm_up_s * US_PER_S;
	world->begun += program->measured;
	world_add(world, world->now_us + world_client_us(world),
	    (struct event){.type = EVENT_SUBMIT, .a = index});
}

static void
world_release(struct world *world, uint32_t index)
{
	const struct world_program *program = &world->programs[index];

	for (uint32_t engine = 0; engine < world->engine_count; engine++) {
		if ((program->engines_used & (1U << engine)) == 0)
			continue;
		world_add(world,
		    world->now_us +
			world_delay_us(world, program->node, engine),
		    (struct event){
			.type = EVENT_RELEASE, .a = index, .b = engine});
	}
}

void
world_count_program(
    struct world *world, const struct world_program *program, int64_t end_us)
{
	double latency_s = (double)(end_us - program->begun_us) / US_PER_S;
	double system_s = latency_s - (double)program->pauses_us / US_PER_S;

	if (!program->measured)
		return;
	samples_add(&world->latency, latency_s);
	samples_add(&world->system, system_s);
	samples_add(
	    program->plan.urgent ? &world->urgent : &world->others, latency_s);
}

static void
world_end_program(struct world *world, uint32_t index)
{
	struct world_program *program = &world->programs[index];
	struct world_node *node = &world->nodes[program->node];

	program->ended = true;
	sched_program_end(node->sched, program->id);
	world_release(world, index);
	if (program->parent != WORLD_NO_PROGRAM) {
		struct world_program *parent =
		    &world->programs[program->parent];

		if (--parent->agents_left > 0)
			return;
		parent->pauses_us += program->pauses_us;
		world_add(world, world->now_us + 2 * world_client_us(world),
		    (struct event){.type = EVENT_SUBMIT, .a = program->parent});
	}
}

static void
world_draw_turn(struct world *world, struct world_program *program)
{
	program->number++;
	program->turn =
	    plan_next(&program->plan, &world->params, program->number);
	program->submitted_us = world->now_us;
}

/* A call was refused: a new program goes away, others come again. */
void
world_refuse(struct world *world, uint32_t index, enum refusal reason)
{
	struct world_program *program = &world->programs[index];
	bool before = program->number == 1 && program->attempt == 0;

	if ((before && reason == REFUSAL_OVERLOADED) ||
	    ++program->failures > WORLD_AGAIN_MAX) {
		world->refused += program->measured && before;
		world->given_up += program->measured && !before;
		program->measured = false;
		world_end_program(world, index);
		return;
	}
	world_add(world, world->now_us + WORLD_AGAIN_US,
	    (struct event){.type = EVENT_SUBMIT, .a = index, .b = 1});
}

static void
world_submit(struct world *world, uint32_t index, bool again)
{
	struct world_program *program = &world->programs[index];
	struct world_node *node = &world->nodes[program->node];
	struct sched_request call = {
	    .model = "model", .workspace = "workspace"};
	enum refusal reason;

	if (!again)
		world_draw_turn(world, program);
	call.handle = index;
	memcpy(call.program, program->id, PROGRAM_ID_BYTES);
	call.turn = program->number;
	call.history_tokens = program->history_tokens;
	call.new_tokens = program->turn.new_tokens;
	call.max_tokens = 2 * program->turn.answer_tokens;
	call.program_begun_us = program->begun_us;
	call.program_served_tokens = program->served_tokens;
	call.deadline_us = INT64_MAX;
	call.urgent = program->plan.urgent;
	call.sub_agent = program->plan.sub_agent;
	node->requests++;
	if (sched_submit(node->sched, &call, world->now_us, &reason) ==
	    SCHED_REFUSED)
		world_refuse(world, index, reason);
	world_pump_node(world, program->node);
}

static void
world_begin_agents(struct world *world, uint32_t index)
{
	uint32_t agents = world->programs[index].plan.agents;
	uint64_t state = world->programs[index].plan.rng.state;

	world->programs[index].agents_left = agents;
	for (uint32_t i = 0; i < agents; i++)
		world_begin_program(
		    world, plan_create_child(&world->params, state + i), index);
}

static bool
world_last_turn(const struct world *world, const struct world_program *program)
{
	return program->number >= program->plan.turns ||
	    (double)program->history_tokens > world->params.context_tokens / 2;
}

static void
world_pause(struct world *world, uint32_t index)
{
	struct world_program *program = &world->programs[index];
	struct sched *sched = world->nodes[program->node].sched;
	bool agents = program->plan.agents_at == program->number;
	const char *tool = agents ? "agents" : tool_name(program->turn.tool);

	if (sched_pause_begin(sched, program->id, "workspace", tool,
		world->now_us) == SCHED_CACHE_ACTION_DROP)
		world_add(world,
		    world->now_us +
			world_delay_us(world, program->node, program->engine),
		    (struct event){.type = EVENT_RELEASE,
			.a = index,
			.b = program->engine});
	if (agents) {
		world_begin_agents(world, index);
		return;
	}
	if (program->plan.abandoned &&
	    program->number + 1 >= program->plan.turns) {
		world_add(world,
		    world->now_us +
			(int64_t)(world->params.abandoned_after_s * US_PER_S),
		    (struct event){.type = EVENT_ABANDONED, .a = index});
		return;
	}
	program->pauses_us += program->turn.pause_us;
	world_add(world,
	    world->now_us + program->turn.pause_us + 2 * world_client_us(world),
	    (struct event){.type = EVENT_SUBMIT, .a = index});
}

static void
world_call_done(struct world *world, const struct event *event)
{
	struct world_program *program = &world->programs[event->a];
	struct world_node *node = &world->nodes[program->node];
	uint64_t prompt = program->history_tokens + program->turn.new_tokens;
	char name[NAME_BYTES];
	enum refusal reason;

	if (program->ended || event->b != program->attempt)
		return;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	world->history_tokens += program->history_tokens;
	program->history_tokens = prompt + program->turn.answer_tokens;
	program->served_tokens +=
	    prompt - event->c + program->turn.answer_tokens;
	program->attempt++;
	sched_handle_attempt_end(node->sched, event->a, name, SCHED_DONE,
	    program->history_tokens, event->c, world->now_us, &reason);
	if (world_last_turn(world, program)) {
		int64_t end_us = world->now_us + world_client_us(world);

		world->finished += program->parent == WORLD_NO_PROGRAM;
		world->finished_in += program->parent == WORLD_NO_PROGRAM &&
		    end_us <= world->stop_us &&
		    (double)end_us >= world->params.warm_up_s * US_PER_S;
		world_count_program(world, program, end_us);
		world_end_program(world, event->a);
	} else {
		world_pause(world, event->a);
	}
	world_pump_node(world, world->programs[event->a].node);
}

static void
world_call_failed(struct world *world, const struct event *event)
{
	struct world_program *program = &world->programs[event->a];
	struct world_node *node = &world->nodes[program->node];
	char name[NAME_BYTES];
	enum refusal reason;

	if (program->ended || event->b != program->attempt)
		return;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	program->attempt++;
	if (event->c == SCHED_DISCONNECTED)
		world->lost_tokens +=
		    program->history_tokens + program->turn.new_tokens;
	if (sched_handle_attempt_end(node->sched, event->a, name,
		(enum sched_result)event->c, 0, 0, world->now_us,
		&reason) == SCHED_GIVE_UP)
		world_refuse(world, event->a, reason);
	world_pump_node(world, program->node);
}

static void
world_first_token(struct world *world, const struct event *event)
{
	const struct world_program *program = &world->programs[event->a];
	double wait_s =
	    (double)(world->now_us - program->submitted_us) / US_PER_S;
	char name[NAME_BYTES];

	if (program->ended || event->b != program->attempt)
		return;
	if (wait_s > world->longest_wait_s)
		world->longest_wait_s = wait_s;
	snprintf(name, sizeof(name), "server-%u", program->engine);
	sched_handle_first_token(
	    world->nodes[program->node].sched, event->a, name, world->now_us);
}

static void
world_arrival(struct world *world)
{
	struct plan plan = plan_create(&world->params, rng_next(&world->rng));
	int64_t gap_us;

	world_begin_program(world, plan, WORLD_NO_PROGRAM);
	gap_us = traffic_gap_us(
	    &world->params, world->rate, &world->rng, world->now_us);
	if (world->now_us + gap_us < world->stop_us)
		world_add(world, world->now_us + gap_us,
		    (struct event){.type = EVENT_ARRIVAL});
}

void
world_handle_program(struct world *world, const struct event *event)
{
	switch (event->type) {
	case EVENT_ARRIVAL:
		world_arrival(world);
		return;
	case EVENT_SUBMIT:
		world_submit(world, event->a, event->b != 0);
		return;
	case EVENT_FIRST_TOKEN:
		world_first_token(world, event);
		return;
	case EVENT_CALL_DONE:
		world_call_done(world, event);
		return;
	case EVENT_CALL_FAILED:
		world_call_failed(world, event);
		return;
	default:
		world_end_program(world, event->a);
		return;
	}
}
