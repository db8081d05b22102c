#include <stdio.h>

#include "common/clock.h"
#include "experiment/simulation.h"

enum {
	/** time until a broken connection is noticed */
	SIMULATION_DISCONNECT_DELAY_US = 1 * US_PER_S,
};

/* Sends the result of an attempt to the program's node, or reports a broken
 * connection if a partition separates them. */
static void
simulation_send_result(
    struct simulation *simulation, uint32_t engine, struct event event)
{
	uint32_t node = simulation->programs[event.a].node;
	int64_t at_us =
	    simulation->now_us + simulation_delay_us(simulation, node, engine);

	if (!simulation_is_reachable(simulation, node, engine)) {
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_DISCONNECTED;
		at_us = simulation->now_us + SIMULATION_DISCONNECT_DELAY_US;
	}
	simulation_schedule(simulation, at_us, event);
}

/* Sends a cache event to the program's node, unless it gets lost. */
static void
simulation_send_cache_event(struct simulation *simulation, uint32_t engine,
    uint32_t program, enum sched_cache_event kind, uint64_t tokens)
{
	if (rng_real(&simulation->noise) < simulation->params.event_loss)
		return;
	simulation_schedule(simulation,
	    simulation->now_us +
		(int64_t)(simulation->params.event_lag_ms * US_PER_MS),
	    (struct event){.type = EVENT_CACHE_EVENT_ARRIVED,
		.a = program,
		.b = engine,
		.c = kind,
		.d = tokens});
}

static void
simulation_handle_output(struct simulation *simulation, uint32_t engine,
    const struct engine_output *output)
{
	struct event event = {.a = output->program, .b = output->attempt};

	switch (output->kind) {
	case ENGINE_FIRST_TOKEN:
		event.type = EVENT_FIRST_TOKEN;
		if (simulation_is_reachable(
			simulation, simulation->programs[event.a].node, engine))
			simulation_send_result(simulation, engine, event);
		return;
	case ENGINE_DONE:
		event.type = EVENT_CALL_DONE;
		event.c = output->tokens;
		simulation_send_result(simulation, engine, event);
		return;
	case ENGINE_ABORTED:
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_DISCONNECTED;
		simulation_send_result(simulation, engine, event);
		return;
	case ENGINE_EVICTED:
		simulation_send_cache_event(simulation, engine, output->program,
		    SCHED_CACHE_EVICTED, 0);
		return;
	case ENGINE_STORED:
		simulation_send_cache_event(simulation, engine, output->program,
		    SCHED_CACHE_STORED, output->tokens);
		return;
	}
}

void
simulation_process_engine(struct simulation *simulation, uint32_t index)
{
	struct engine *engine = &simulation->engines[index].engine;
	int64_t next_us;

	for (size_t i = 0; i < engine->output_count; i++)
		simulation_handle_output(
		    simulation, index, &engine->outputs[i]);
	engine->output_count = 0;
	next_us = engine_next_us(engine);
	engine->generation++;
	if (next_us == INT64_MAX)
		return;
	simulation_schedule(simulation,
	    next_us > simulation->now_us ? next_us : simulation->now_us + 1,
	    (struct event){.type = EVENT_ENGINE_TIMER,
		.a = index,
		.b = engine->generation});
}

static void
simulation_handle_call_arrival(
    struct simulation *simulation, const struct event *event)
{
	struct simulation_program *program = &simulation->programs[event->a];
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
	if (!engine_submit(&simulation->engines[index].engine, &call,
		simulation->now_us)) {
		simulation_send_result(simulation, index,
		    (struct event){.type = EVENT_CALL_FAILED,
			.a = event->a,
			.b = event->b,
			.c = SCHED_NOT_STARTED});
	}
	simulation_process_engine(simulation, index);
}

/* Measures an engine's load, sends the report and schedules the next one. */
static void
simulation_measure_load(struct simulation *simulation, uint32_t index)
{
	struct simulation_engine *engine = &simulation->engines[index];
	uint64_t slot = engine->reported++ % SIMULATION_REPORTS_MAX;

	engine_advance(&engine->engine, simulation->now_us);
	engine_get_load(
	    &engine->engine, simulation->now_us, &engine->reports[slot]);
	if (!engine->engine.down)
		simulation_schedule(simulation,
		    simulation->now_us +
			(int64_t)(simulation->params.report_lag_ms * US_PER_MS),
		    (struct event){
			.type = EVENT_REPORT_ARRIVED, .a = index, .b = slot});
	simulation_schedule(simulation,
	    simulation->now_us +
		(int64_t)(simulation->params.report_interval_ms * US_PER_MS),
	    (struct event){.type = EVENT_REPORT_DUE, .a = index});
	simulation_process_engine(simulation, index);
}

static void
simulation_deliver_report(
    struct simulation *simulation, const struct event *event)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", event->a);
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		if (simulation_is_reachable(simulation, i, event->a))
			sched_handle_load(simulation->nodes[i].sched, name,
			    &simulation->engines[event->a].reports[event->b],
			    simulation->now_us);
	}
}

static void
simulation_deliver_cache_event(
    struct simulation *simulation, const struct event *event)
{
	const struct simulation_program *program =
	    &simulation->programs[event->a];
	uint32_t engine = (uint32_t)event->b;
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", engine);
	if (event->c != SCHED_CACHE_CLEARED) {
		if (!program->ended &&
		    simulation_is_reachable(simulation, program->node, engine))
			sched_handle_cache_event(
			    simulation->nodes[program->node].sched, name,
			    (enum sched_cache_event)event->c, program->id,
			    event->d, simulation->now_us);
		return;
	}
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		if (simulation_is_reachable(simulation, i, engine))
			sched_handle_cache_event(simulation->nodes[i].sched,
			    name, SCHED_CACHE_CLEARED, "", 0,
			    simulation->now_us);
	}
}

static void
simulation_handle_engine_timer(
    struct simulation *simulation, const struct event *event)
{
	struct engine *engine = &simulation->engines[event->a].engine;

	if (event->b != engine->generation)
		return;
	engine_advance(engine, simulation->now_us);
	simulation_process_engine(simulation, event->a);
}

void
simulation_handle_engine(
    struct simulation *simulation, const struct event *event)
{
	switch (event->type) {
	case EVENT_CALL_ARRIVED:
		simulation_handle_call_arrival(simulation, event);
		return;
	case EVENT_REPORT_DUE:
		simulation_measure_load(simulation, event->a);
		return;
	case EVENT_REPORT_ARRIVED:
		simulation_deliver_report(simulation, event);
		return;
	case EVENT_CACHE_EVENT_ARRIVED:
		simulation_deliver_cache_event(simulation, event);
		return;
	case EVENT_RELEASE:
		engine_release(&simulation->engines[event->b].engine, event->a,
		    simulation->now_us);
		simulation_process_engine(simulation, (uint32_t)event->b);
		return;
	default:
		simulation_handle_engine_timer(simulation, event);
		return;
	}
}
