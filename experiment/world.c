#include "experiment/world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"

static const double WORLD_SAMPLE_S = 1;

void
world_add(struct world *world, int64_t at_us, struct event event)
{
	event.at_us = at_us;
	events_add(&world->events, event);
}

int64_t
world_delay_us(const struct world *world, uint32_t node, uint32_t engine)
{
	if (world->nodes[node].region != world->engines[engine].region)
		return (int64_t)(world->params.region_delay_ms * US_PER_MS);
	return (int64_t)(world->params.domain_delay_ms * US_PER_MS);
}

bool
world_linked(const struct world *world, uint32_t node, uint32_t engine)
{
	return !world->link_cut ||
	    (world->nodes[node].region == 0) ==
	    (world->engines[engine].region == 0);
}

static void
world_send_call(
    struct world *world, uint32_t node, const struct sched_dispatch *dispatch)
{
	uint32_t index = (uint32_t)dispatch->handle;
	struct world_program *program = &world->programs[index];
	struct event event = {.type = EVENT_CALL_SENT, .a = index};
	int64_t at_us = world->now_us;

	program->engine =
	    (uint32_t)strtoul(dispatch->server + strlen("server-"), NULL, 10);
	program->engines_used |= 1U << program->engine;
	program->attempt++;
	event.b = program->attempt;
	event.c = dispatch->priority;
	at_us += world_delay_us(world, node, program->engine);
	if (!world_linked(world, node, program->engine)) {
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_NOT_STARTED;
		at_us += US_PER_S;
	}
	world->sent++;
	world->far +=
	    world->nodes[node].region != world->engines[program->engine].region;
	world_add(world, at_us, event);
}

static void
world_send_release(
    struct world *world, uint32_t node, const char *id, const char *server)
{
	uint32_t engine =
	    (uint32_t)strtoul(server + strlen("server-"), NULL, 10);
	uint32_t index = (uint32_t)strtoul(id + strlen("program-"), NULL, 10);

	world_add(world, world->now_us + world_delay_us(world, node, engine),
	    (struct event){.type = EVENT_RELEASE, .a = index, .b = engine});
}

void
world_pump_node(struct world *world, uint32_t index)
{
	struct world_node *node = &world->nodes[index];
	struct sched_dispatch dispatch;
	enum refusal reason;
	uint64_t handle;
	char id[PROGRAM_ID_BYTES], server[NAME_BYTES];
	int64_t next_us;

	while (sched_next_expired(node->sched, world->now_us, &handle, &reason))
		world_refuse(world, (uint32_t)handle, reason);
	while (sched_next_dispatch(node->sched, world->now_us, &dispatch))
		world_send_call(world, index, &dispatch);
	while (sched_next_release(node->sched, world->now_us, id, server))
		world_send_release(world, index, id, server);
	next_us = sched_next_wakeup_us(node->sched);
	if (next_us <= world->now_us)
		next_us = world->now_us + 1;
	if (next_us == INT64_MAX ||
	    (node->timer_us > world->now_us && node->timer_us <= next_us))
		return;
	node->timer_us = next_us;
	world_add(
	    world, next_us, (struct event){.type = EVENT_NODE, .a = index});
}

static void
world_sample(struct world *world)
{
	double busiest = 0, total = 0;

	for (uint32_t i = 0; i < world->engine_count; i++) {
		const struct engine *engine = &world->engines[i].engine;
		double calls =
		    (double)(engine->running_count + engine->waiting_count);

		total += calls / world->engine_count;
		busiest = calls > busiest ? calls : busiest;
		world->busy += (double)engine->running_count /
		    world->params.max_running / world->engine_count;
		world->memory += (double)engine->kv_used_tokens /
		    world->params.kv_tokens / world->engine_count;
	}
	if (total >= 1)
		samples_add(&world->imbalance, busiest / total);
	if (world->now_us < world->stop_us)
		world_add(world,
		    world->now_us + (int64_t)(WORLD_SAMPLE_S * US_PER_S),
		    (struct event){.type = EVENT_SAMPLE});
}

static void
world_handle(struct world *world, const struct event *event)
{
	switch (event->type) {
	case EVENT_ARRIVAL:
	case EVENT_SUBMIT:
	case EVENT_FIRST_TOKEN:
	case EVENT_CALL_DONE:
	case EVENT_CALL_FAILED:
	case EVENT_ABANDONED:
		world_handle_program(world, event);
		return;
	case EVENT_ENGINE:
	case EVENT_CALL_SENT:
	case EVENT_REPORT:
	case EVENT_REPORT_COMES:
	case EVENT_CACHE_CHANGED:
	case EVENT_RELEASE:
		world_handle_engine(world, event);
		return;
	case EVENT_NODE:
		if (world->nodes[event->a].timer_us == event->at_us)
			world_pump_node(world, event->a);
		return;
	case EVENT_SAMPLE:
		world_sample(world);
		return;
	case EVENT_FAULT:
	case EVENT_RESTORE:
	case EVENT_HEALTH:
		world_handle_fault(world, event);
		return;
	}
}

static void
world_create_engines(struct world *world, struct config_server *servers)
{
	for (uint32_t i = 0; i < world->engine_count; i++) {
		struct world_engine *engine = &world->engines[i];

		engine_init(&engine->engine, &world->params);
		engine->region = i % (uint32_t)world->params.regions;
		servers[i] = (struct config_server){
		    .models = {"model"},
		    .model_count = 1,
		    .kv_tokens = (uint64_t)world->params.kv_tokens,
		    .max_running = (uint32_t)world->params.max_running,
		};
		snprintf(servers[i].name, NAME_BYTES, "server-%u", i);
		snprintf(
		    servers[i].region, NAME_BYTES, "region-%u", engine->region);
		snprintf(servers[i].failure_domain, NAME_BYTES, "domain-%u",
		    engine->region);
		world_add(
		    world, 0, (struct event){.type = EVENT_REPORT, .a = i});
	}
}

static void
world_create_nodes(struct world *world, const struct config *config)
{
	for (uint32_t i = 0; i < world->node_count; i++) {
		struct world_node *node = &world->nodes[i];
		char region[NAME_BYTES], domain[NAME_BYTES];
		struct sched_options options = {
		    .region = region,
		    .failure_domain = domain,
		    .counters = &node->counters,
		    .seed = rng_next(&world->noise),
		    .policy = world->options.policy,
		};

		node->region = i % (uint32_t)world->params.regions;
		snprintf(region, sizeof(region), "region-%u", node->region);
		snprintf(domain, sizeof(domain), "domain-%u", node->region);
		node->sched = sched_create(&options);
		sched_set_config(node->sched, config);
	}
}

static struct world *
world_create(const struct world_options *options)
{
	struct world *world = xcalloc(1, sizeof(*world));
	struct config_model model = {.name = "model",
	    .prefill_tokens_per_s = options->params->prefill_tokens_per_s};
	struct config_server servers[WORLD_ENGINES_MAX];
	struct config config = {.models = &model,
	    .model_count = 1,
	    .servers = servers,
	    .limits = {
		.retry_share = options->params->retry_share,
		.max_attempts = (uint32_t)options->params->max_attempts,
		.wasted_token_cost_us = options->params->wasted_token_cost_us,
	    }};

	world->params = *options->params;
	world->options = *options;
	world->stop_us = (int64_t)((options->params->warm_up_s +
				       options->params->measured_s) *
	    US_PER_S);
	rng_init(&world->rng, options->seed);
	rng_init(&world->noise, ~options->seed);
	world->engine_count = (uint32_t)world->params.runners;
	world->node_count = (uint32_t)world->params.nodes;
	world->rate = options->load * world->params.runners /
	    traffic_program_s(&world->params);
	config.server_count = world->engine_count;
	world_create_engines(world, servers);
	world_create_nodes(world, &config);
	world_add(world, 0, (struct event){.type = EVENT_ARRIVAL});
	world_add(world, (int64_t)(world->params.warm_up_s * US_PER_S),
	    (struct event){.type = EVENT_SAMPLE});
	world_begin_fault(world);
	return world;
}

static void
world_destroy(struct world *world)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		sched_destroy(world->nodes[i].sched);
	events_reset(&world->events);
	samples_reset(&world->latency);
	samples_reset(&world->system);
	samples_reset(&world->urgent);
	samples_reset(&world->others);
	samples_reset(&world->imbalance);
	free(world->programs);
	free(world);
}

static double
share(double part, double whole)
{
	return whole == 0 ? 0 : part / whole;
}

static void
world_measure_retries(const struct world *world, struct measures *measures)
{
	double total = 0, requests = 0;

	for (uint32_t i = 0; i < world->node_count; i++) {
		const struct world_node *node = &world->nodes[i];
		double retries = 0, excess;

		for (int reason = 0; reason < RETRY_COUNT; reason++)
			retries += (double)node->counters.retries[reason];
		excess = retries -
		    world->params.retry_share * (double)node->requests - 10;
		if (excess > measures->retry_excess)
			measures->retry_excess = excess;
		total += retries;
		requests += (double)node->requests;
	}
	measures->retry_share = share(total, requests);
}

static void
world_measure_cache(struct world *world, struct measures *measures)
{
	double rate =
	    world->params.prefill_tokens_per_s / world->params.kv_tokens;
	double finished = (double)world->finished;
	double recomputed = 0, unused = 0;

	for (uint32_t i = 0; i < world->engine_count; i++) {
		struct engine *engine = &world->engines[i].engine;

		engine_advance(engine, world->now_us);
		engine->output_count = 0;
		engine_reset(engine);
		recomputed += (double)engine->recomputed_tokens;
		unused += engine->unused_token_s * rate;
	}
	measures->recomputed = share(recomputed, finished);
	measures->unused = share(unused, finished);
	measures->wasted = measures->recomputed + measures->unused;
	measures->hit_share =
	    1 - share(recomputed, (double)world->history_tokens);
	measures->lost_tokens = share((double)world->lost_tokens, finished);
}

static void
world_measure(struct world *world, struct measures *measures)
{
	double begun = (double)world->begun;
	double samples = (double)world->params.measured_s / WORLD_SAMPLE_S;

	*measures = (struct measures){0};
	world_measure_retries(world, measures);
	world_measure_cache(world, measures);
	measures->latency_mean = samples_mean(&world->latency);
	measures->latency_p95 = samples_quantile(&world->latency, 0.95);
	measures->system_mean = samples_mean(&world->system);
	measures->system_p95 = samples_quantile(&world->system, 0.95);
	measures->urgent_p95 = samples_quantile(&world->urgent, 0.95);
	measures->others_p95 = samples_quantile(&world->others, 0.95);
	measures->longest_wait = world->longest_wait_s;
	measures->finished_per_h =
	    (double)world->finished_in * 3600 / world->params.measured_s;
	measures->refused_share = share((double)world->refused, begun);
	measures->cut_short = (double)world->given_up;
	measures->unfinished = (double)world->unfinished;
	measures->imbalance_p95 = samples_quantile(&world->imbalance, 0.95);
	measures->busy = world->busy / samples;
	measures->memory = world->memory / samples;
	measures->far_share = share((double)world->far, (double)world->sent);
}

void
world_run(const struct world_options *options, struct measures *measures)
{
	struct world *world = world_create(options);
	int64_t end_us =
	    world->stop_us + (int64_t)(world->params.drain_s * US_PER_S);
	struct event event;

	while (events_take(&world->events, &event) && event.at_us < end_us) {
		world->now_us = event.at_us;
		world_handle(world, &event);
	}
	for (uint32_t i = 0; i < world->program_count; i++) {
		if (world->programs[i].ended || !world->programs[i].measured)
			continue;
		world->unfinished++;
		world_count_program(world, &world->programs[i], end_us);
	}
	world_measure(world, measures);
	world_destroy(world);
}
