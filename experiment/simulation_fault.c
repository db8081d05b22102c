#include <stdio.h>

#include "common/clock.h"
#include "experiment/simulation.h"

static const double FAULT_SLOWDOWN = 5; /**< factor on step durations */
static const double FAULT_EVENT_LOSS_SHARE = 0.2; /**< share of cache events */
static const double FAULT_HUNG_SHARE = 0.02;      /**< share of tool calls */
static const double FAULT_REPORT_LAG_MS = 2000;

enum {
	FAULT_CRASH_INTERVAL_US = 60 * US_PER_S,
	FAULT_CRASH_DOWN_US = 20 * US_PER_S,
	FAULT_FLAP_INTERVAL_US = 10 * US_PER_S,
	FAULT_FLAP_DOWN_US = 3 * US_PER_S,
	FAULT_PARTITION_US = 180 * US_PER_S,
	/** delay until health probes see a change */
	FAULT_PROBE_DELAY_US = 1 * US_PER_S,
	/** difference between the indexes of engines that crash in turn */
	FAULT_CRASH_STRIDE = 7,
};

const char *
fault_name(enum fault fault)
{
	static const char *const names[FAULT_COUNT] = {
	    [FAULT_NONE] = "none",
	    [FAULT_CRASH] = "crash",
	    [FAULT_SLOW] = "slow",
	    [FAULT_LATE_REPORTS] = "late",
	    [FAULT_EVENT_LOSS] = "gaps",
	    [FAULT_PARTITION] = "link",
	    [FAULT_FLAP] = "flap",
	    [FAULT_HUNG_TOOLS] = "hung",
	};

	return names[fault];
}

/* Crashes an engine and schedules its restart, unless it is down already. */
static void
fault_crash(struct simulation *simulation, uint32_t engine, int64_t down_us)
{
	if (simulation->engines[engine].engine.down)
		return;
	engine_crash(&simulation->engines[engine].engine, simulation->now_us);
	simulation_process_engine(simulation, engine);
	simulation_schedule(simulation,
	    simulation->now_us + FAULT_PROBE_DELAY_US,
	    (struct event){.type = EVENT_HEALTH,
		.a = engine,
		.b = false,
		.c = SIMULATION_ALL_REGIONS});
	simulation_schedule(simulation, simulation->now_us + down_us,
	    (struct event){.type = EVENT_ENGINE_RESTART, .a = engine});
}

static void
fault_restart(struct simulation *simulation, uint32_t engine)
{
	simulation->engines[engine].engine.down = false;
	simulation_schedule(simulation,
	    simulation->now_us + FAULT_PROBE_DELAY_US,
	    (struct event){.type = EVENT_HEALTH,
		.a = engine,
		.b = true,
		.c = SIMULATION_ALL_REGIONS});
	if (rng_real(&simulation->noise) >= simulation->params.event_loss)
		simulation_schedule(simulation,
		    simulation->now_us +
			(int64_t)(simulation->params.event_lag_ms * US_PER_MS),
		    (struct event){.type = EVENT_CACHE_EVENT_ARRIVED,
			.b = engine,
			.c = SCHED_CACHE_CLEARED});
}

/* Cuts region 0 off from the others, or reconnects it. Health probes see it
 * after FAULT_PROBE_DELAY_US. */
static void
fault_set_partition(struct simulation *simulation, bool cut)
{
	simulation->partitioned = cut;
	for (uint32_t i = 0; i < simulation->engine_count; i++)
		simulation_schedule(simulation,
		    simulation->now_us + FAULT_PROBE_DELAY_US,
		    (struct event){.type = EVENT_HEALTH,
			.a = i,
			.b = !cut,
			.c = simulation->engines[i].region});
}

/* Takes the next step of the fault, and schedules the one after it. */
static void
fault_step(struct simulation *simulation)
{
	uint32_t step = simulation->fault_step++;
	int64_t next_us = FAULT_CRASH_INTERVAL_US;

	switch (simulation->options.fault) {
	case FAULT_CRASH:
		fault_crash(simulation,
		    step * FAULT_CRASH_STRIDE % simulation->engine_count,
		    FAULT_CRASH_DOWN_US);
		break;
	case FAULT_FLAP:
		fault_crash(simulation, 1, FAULT_FLAP_DOWN_US);
		next_us = FAULT_FLAP_INTERVAL_US;
		break;
	case FAULT_PARTITION:
		fault_set_partition(simulation, step == 0);
		next_us = FAULT_PARTITION_US;
		if (step > 0)
			return;
		break;
	default:
		return;
	}
	if (simulation->now_us + next_us < simulation->stop_us ||
	    simulation->options.fault == FAULT_PARTITION)
		simulation_schedule(simulation, simulation->now_us + next_us,
		    (struct event){.type = EVENT_FAULT});
}

void
simulation_start_fault(struct simulation *simulation)
{
	struct params *params = &simulation->params;
	double first_s = params->warm_up_s;

	switch (simulation->options.fault) {
	case FAULT_SLOW:
		simulation->engines[0].engine.slowdown = FAULT_SLOWDOWN;
		return;
	case FAULT_LATE_REPORTS:
		params->report_lag_ms = FAULT_REPORT_LAG_MS;
		return;
	case FAULT_EVENT_LOSS:
		params->event_loss = FAULT_EVENT_LOSS_SHARE;
		return;
	case FAULT_HUNG_TOOLS:
		params->hung_share = FAULT_HUNG_SHARE;
		return;
	case FAULT_PARTITION:
		first_s += params->measured_s / 4;
		break;
	default:
		break;
	}
	simulation_schedule(simulation, (int64_t)(first_s * US_PER_S),
	    (struct event){.type = EVENT_FAULT});
}

/* Delivers an engine's health to the nodes that see a change: all after a crash
 * or restart, those on the other side of a partition otherwise. */
static void
fault_deliver_health(struct simulation *simulation, const struct event *event)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", event->a);
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		bool other_side =
		    (simulation->nodes[i].region == 0) != (event->c == 0);

		if (event->c == SIMULATION_ALL_REGIONS || other_side)
			sched_handle_health(simulation->nodes[i].sched, name,
			    event->b != 0, simulation->now_us);
	}
}

void
simulation_handle_fault(
    struct simulation *simulation, const struct event *event)
{
	switch (event->type) {
	case EVENT_FAULT:
		fault_step(simulation);
		return;
	case EVENT_ENGINE_RESTART:
		fault_restart(simulation, event->a);
		return;
	default:
		fault_deliver_health(simulation, event);
		return;
	}
}
