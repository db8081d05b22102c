#include <stdio.h>

#include "common/clock.h"
#include "experiment/world.h"

enum {
	WORLD_CONNECT_US = 1 * US_PER_S, /**< until a lost link is noticed */
};

/* Sends what became of an attempt to the program's node. */
static void
world_send_back(struct world *world, uint32_t engine, struct event event)
{
	uint32_t node = world->programs[event.a].node;
	int64_t at_us = world->now_us + world_delay_us(world, node, engine);

	if (!world_linked(world, node, engine)) {
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_DISCONNECTED;
		at_us = world->now_us + WORLD_CONNECT_US;
	}
	world_add(world, at_us, event);
}

static void
world_send_cache_event(struct world *world, uint32_t engine, uint32_t program,
    enum sched_cache_event kind, uint64_t tokens)
{
	if (rng_real(&world->noise) < world->params.event_loss)
		return;
	world_add(world,
	    world->now_us + (int64_t)(world->params.event_lag_ms * US_PER_MS),
	    (struct event){.type = EVENT_CACHE_CHANGED,
		.a = program,
		.b = engine,
		.c = kind,
		.d = tokens});
}

static void
world_handle_output(
    struct world *world, uint32_t engine, const struct engine_output *output)
{
	struct event event = {.a = output->program, .b = output->attempt};

	switch (output->kind) {
	case ENGINE_FIRST_TOKEN:
		event.type = EVENT_FIRST_TOKEN;
		if (world_linked(world, world->programs[event.a].node, engine))
			world_send_back(world, engine, event);
		return;
	case ENGINE_DONE:
		event.type = EVENT_CALL_DONE;
		event.c = output->tokens;
		world_send_back(world, engine, event);
		return;
	case ENGINE_CUT:
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_DISCONNECTED;
		world_send_back(world, engine, event);
		return;
	case ENGINE_EVICTED:
		world_send_cache_event(
		    world, engine, output->program, SCHED_CACHE_EVICTED, 0);
		return;
	case ENGINE_STORED:
		world_send_cache_event(world, engine, output->program,
		    SCHED_CACHE_STORED, output->tokens);
		return;
	}
}

void
world_pump_engine(struct world *world, uint32_t index)
{
	struct engine *engine = &world->engines[index].engine;
	int64_t next_us;

	for (size_t i = 0; i < engine->output_count; i++)
		world_handle_output(world, index, &engine->outputs[i]);
	engine->output_count = 0;
	next_us = engine_next_us(engine);
	engine->generation++;
	if (next_us == INT64_MAX)
		return;
	world_add(world, next_us > world->now_us ? next_us : world->now_us + 1,
	    (struct event){
		.type = EVENT_ENGINE, .a = index, .b = engine->generation});
}

static void
world_call_arrives(struct world *world, const struct event *event)
{
	struct world_program *program = &world->programs[event->a];
	uint32_t index = program->engine;
	struct engine_call call = {
	    .program = event->a,
	    .attempt = event->b,
	    .history_tokens = program->history_tokens,
	    .prompt_tokens = program->history_tokens + program->turn.new_tokens,
	    .answer_tokens = program->turn.answer_tokens,
	    .priority = (uint32_t)event->c,
	};

	if (event->b != program->attempt)
		return;
	if (!engine_submit(
		&world->engines[index].engine, &call, world->now_us)) {
		world_send_back(world, index,
		    (struct event){.type = EVENT_CALL_FAILED,
			.a = event->a,
			.b = event->b,
			.c = SCHED_NOT_STARTED});
	}
	world_pump_engine(world, index);
}

static void
world_report(struct world *world, uint32_t index)
{
	struct world_engine *engine = &world->engines[index];
	uint64_t slot = engine->reported++ % WORLD_REPORTS;

	engine_advance(&engine->engine, world->now_us);
	engine_get_load(&engine->engine, world->now_us, &engine->reports[slot]);
	if (!engine->engine.down)
		world_add(world,
		    world->now_us +
			(int64_t)(world->params.report_lag_ms * US_PER_MS),
		    (struct event){
			.type = EVENT_REPORT_COMES, .a = index, .b = slot});
	world_add(world,
	    world->now_us +
		(int64_t)(world->params.report_interval_ms * US_PER_MS),
	    (struct event){.type = EVENT_REPORT, .a = index});
	world_pump_engine(world, index);
}

static void
world_report_comes(struct world *world, const struct event *event)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", event->a);
	for (uint32_t i = 0; i < world->node_count; i++) {
		if (world_linked(world, i, event->a))
			sched_handle_load(world->nodes[i].sched, name,
			    &world->engines[event->a].reports[event->b],
			    world->now_us);
	}
}

static void
world_cache_changed(struct world *world, const struct event *event)
{
	const struct world_program *program = &world->programs[event->a];
	uint32_t engine = (uint32_t)event->b;
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", engine);
	if (event->c != SCHED_CACHE_CLEARED) {
		if (!program->ended &&
		    world_linked(world, program->node, engine))
			sched_handle_cache_event(
			    world->nodes[program->node].sched, name,
			    (enum sched_cache_event)event->c, program->id,
			    event->d, world->now_us);
		return;
	}
	for (uint32_t i = 0; i < world->node_count; i++) {
		if (world_linked(world, i, engine))
			sched_handle_cache_event(world->nodes[i].sched, name,
			    SCHED_CACHE_CLEARED, "", 0, world->now_us);
	}
}

static void
world_engine_works(struct world *world, const struct event *event)
{
	struct engine *engine = &world->engines[event->a].engine;

	if (event->b != engine->generation)
		return;
	engine_advance(engine, world->now_us);
	world_pump_engine(world, event->a);
}

void
world_handle_engine(struct world *world, const struct event *event)
{
	switch (event->type) {
	case EVENT_CALL_SENT:
		world_call_arrives(world, event);
		return;
	case EVENT_REPORT:
		world_report(world, event->a);
		return;
	case EVENT_REPORT_COMES:
		world_report_comes(world, event);
		return;
	case EVENT_CACHE_CHANGED:
		world_cache_changed(world, event);
		return;
	case EVENT_RELEASE:
		engine_release(
		    &world->engines[event->b].engine, event->a, world->now_us);
		world_pump_engine(world, (uint32_t)event->b);
		return;
	default:
		world_engine_works(world, event);
		return;
	}
}
