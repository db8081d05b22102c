#include <stdio.h>

#include "common/clock.h"
#include "experiment/world.h"

static const double FAULT_SLOWNESS = 5;
static const double FAULT_LOSS = 0.2;
static const double FAULT_HUNG_SHARE = 0.02;
static const double FAULT_LAG_MS = 2000;

enum {
	FAULT_CRASH_EVERY_US = 60 * US_PER_S,
	FAULT_CRASH_DOWN_US = 20 * US_PER_S,
	FAULT_FLAP_EVERY_US = 10 * US_PER_S,
	FAULT_FLAP_DOWN_US = 3 * US_PER_S,
	FAULT_LINK_US = 180 * US_PER_S,
	FAULT_NOTICED_US = 1 * US_PER_S, /**< until probes see it */
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

static void
fault_crash(struct world *world, uint32_t engine, int64_t down_us)
{
	if (world->engines[engine].engine.down)
		return;
	engine_crash(&world->engines[engine].engine, world->now_us);
	world_pump_engine(world, engine);
	world_add(world, world->now_us + FAULT_NOTICED_US,
	    (struct event){.type = EVENT_HEALTH,
		.a = engine,
		.b = false,
		.c = WORLD_ALL_REGIONS});
	world_add(world, world->now_us + down_us,
	    (struct event){.type = EVENT_RESTORE, .a = engine});
}

static void
fault_restore(struct world *world, uint32_t engine)
{
	world->engines[engine].engine.down = false;
	world_add(world, world->now_us + FAULT_NOTICED_US,
	    (struct event){.type = EVENT_HEALTH,
		.a = engine,
		.b = true,
		.c = WORLD_ALL_REGIONS});
	if (rng_real(&world->noise) >= world->params.event_loss)
		world_add(world,
		    world->now_us +
			(int64_t)(world->params.event_lag_ms * US_PER_MS),
		    (struct event){.type = EVENT_CACHE_CHANGED,
			.b = engine,
			.c = SCHED_CACHE_CLEARED});
}

/* Cuts region 0 off, or joins it again; probes see it a little later. */
static void
fault_link(struct world *world, bool cut)
{
	world->link_cut = cut;
	for (uint32_t i = 0; i < world->engine_count; i++)
		world_add(world, world->now_us + FAULT_NOTICED_US,
		    (struct event){.type = EVENT_HEALTH,
			.a = i,
			.b = !cut,
			.c = world->engines[i].region});
}

static void
fault_step(struct world *world)
{
	uint32_t step = world->fault_step++;
	int64_t next_us = FAULT_CRASH_EVERY_US;

	switch (world->options.fault) {
	case FAULT_CRASH:
		fault_crash(world,
		    step * FAULT_CRASH_STRIDE % world->engine_count,
		    FAULT_CRASH_DOWN_US);
		break;
	case FAULT_FLAP:
		fault_crash(world, 1, FAULT_FLAP_DOWN_US);
		next_us = FAULT_FLAP_EVERY_US;
		break;
	case FAULT_PARTITION:
		fault_link(world, step == 0);
		next_us = FAULT_LINK_US;
		if (step > 0)
			return;
		break;
	default:
		return;
	}
	if (world->now_us + next_us < world->stop_us ||
	    world->options.fault == FAULT_PARTITION)
		world_add(world, world->now_us + next_us,
		    (struct event){.type = EVENT_FAULT});
}

void
world_begin_fault(struct world *world)
{
	struct params *params = &world->params;
	double first_s = params->warm_up_s;

	switch (world->options.fault) {
	case FAULT_SLOW:
		world->engines[0].engine.slowness = FAULT_SLOWNESS;
		return;
	case FAULT_LATE_REPORTS:
		params->report_lag_ms = FAULT_LAG_MS;
		return;
	case FAULT_EVENT_LOSS:
		params->event_loss = FAULT_LOSS;
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
	world_add(world, (int64_t)(first_s * US_PER_S),
	    (struct event){.type = EVENT_FAULT});
}

/* An engine's health as the nodes see it: of a cut link, those on its other
 * side only. */
static void
fault_health(struct world *world, const struct event *event)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "server-%u", event->a);
	for (uint32_t i = 0; i < world->node_count; i++) {
		bool other_side =
		    (world->nodes[i].region == 0) != (event->c == 0);

		if (event->c == WORLD_ALL_REGIONS || other_side)
			sched_handle_health(world->nodes[i].sched, name,
			    event->b != 0, world->now_us);
	}
}

void
world_handle_fault(struct world *world, const struct event *event)
{
	switch (event->type) {
	case EVENT_FAULT:
		fault_step(world);
		return;
	case EVENT_RESTORE:
		fault_restore(world, event->a);
		return;
	default:
		fault_health(world, event);
		return;
	}
}
