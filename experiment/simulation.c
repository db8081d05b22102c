#include "experiment/simulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "route/retry.h"

/** Interval of the load samples. */
static const double SIMULATION_SAMPLE_INTERVAL_S = 1;

void
simulation_schedule(
    struct simulation *simulation, int64_t at_us, struct event event)
{
	event.at_us = at_us;
	events_add(&simulation->events, event);
}

int64_t
simulation_delay_us(
    const struct simulation *simulation, uint32_t node, uint32_t engine)
{
	if (simulation->nodes[node].region !=
	    simulation->engines[engine].region)
		return (
		    int64_t)(simulation->params.region_delay_ms * US_PER_MS);
	return (int64_t)(simulation->params.domain_delay_ms * US_PER_MS);
}

bool
simulation_is_reachable(
    const struct simulation *simulation, uint32_t node, uint32_t engine)
{
	return !simulation->partitioned ||
	    (simulation->nodes[node].region == 0) ==
	    (simulation->engines[engine].region == 0);
}

static void
simulation_send_call(struct simulation *simulation, uint32_t node,
    const struct sched_dispatch *dispatch)
{
	uint32_t index = (uint32_t)dispatch->call_id;
	struct simulation_program *program = &simulation->programs[index];
	struct event event = {.type = EVENT_CALL_ARRIVED, .a = index};
	int64_t at_us = simulation->now_us;

	program->engine =
	    (uint32_t)strtoul(dispatch->server + strlen("server-"), NULL, 10);
	program->engines_used |= 1U << program->engine;
	program->attempt++;
	event.b = program->attempt;
	event.c = dispatch->priority;
	at_us += simulation_delay_us(simulation, node, program->engine);
	if (!simulation_is_reachable(simulation, node, program->engine)) {
		event.type = EVENT_CALL_FAILED;
		event.c = SCHED_NOT_STARTED;
		at_us += US_PER_S; /* timeout of the connection attempt */
	}
	simulation->sent++;
	simulation->cross_region_calls += simulation->nodes[node].region !=
	    simulation->engines[program->engine].region;
	simulation_schedule(simulation, at_us, event);
}

static void
simulation_send_release(struct simulation *simulation, uint32_t node,
    const char *id, const char *server)
{
	uint32_t engine =
	    (uint32_t)strtoul(server + strlen("server-"), NULL, 10);
	uint32_t index = (uint32_t)strtoul(id + strlen("program-"), NULL, 10);

	simulation_schedule(simulation,
	    simulation->now_us + simulation_delay_us(simulation, node, engine),
	    (struct event){.type = EVENT_RELEASE, .a = index, .b = engine});
}

void
simulation_process_node(struct simulation *simulation, uint32_t index)
{
	struct simulation_node *node = &simulation->nodes[index];
	struct sched_dispatch dispatch;
	enum refusal reason;
	uint64_t handle;
	char id[PROGRAM_ID_BYTES], server[NAME_BYTES];
	int64_t next_us;

	while (sched_next_expired(
	    node->sched, simulation->now_us, &handle, &reason))
		simulation_handle_refusal(simulation, (uint32_t)handle, reason);
	while (sched_next_dispatch(node->sched, simulation->now_us, &dispatch))
		simulation_send_call(simulation, index, &dispatch);
	while (sched_next_release(node->sched, simulation->now_us, id, server))
		simulation_send_release(simulation, index, id, server);
	next_us = sched_next_wakeup_us(node->sched);
	if (next_us <= simulation->now_us)
		next_us = simulation->now_us + 1;
	if (next_us == INT64_MAX ||
	    (node->timer_us > simulation->now_us && node->timer_us <= next_us))
		return;
	node->timer_us = next_us;
	simulation_schedule(simulation, next_us,
	    (struct event){.type = EVENT_NODE_TIMER, .a = index});
}

/* Samples the load of the engines, and schedules the next sample. */
static void
simulation_sample_load(struct simulation *simulation)
{
	double busiest = 0, total = 0;

	for (uint32_t i = 0; i < simulation->engine_count; i++) {
		const struct engine *engine = &simulation->engines[i].engine;
		double calls =
		    (double)(engine->running_count + engine->waiting_count);

		total += calls / simulation->engine_count;
		busiest = calls > busiest ? calls : busiest;
		simulation->busy += (double)engine->running_count /
		    simulation->params.max_running / simulation->engine_count;
		simulation->memory += (double)engine->kv_used_tokens /
		    simulation->params.kv_tokens / simulation->engine_count;
	}
	if (total >= 1)
		samples_add(&simulation->imbalance, busiest / total);
	if (simulation->now_us < simulation->stop_us)
		simulation_schedule(simulation,
		    simulation->now_us +
			(int64_t)(SIMULATION_SAMPLE_INTERVAL_S * US_PER_S),
		    (struct event){.type = EVENT_SAMPLE});
}

static void
simulation_handle_event(
    struct simulation *simulation, const struct event *event)
{
	switch (event->type) {
	case EVENT_ARRIVAL:
	case EVENT_SUBMIT:
	case EVENT_FIRST_TOKEN:
	case EVENT_CALL_DONE:
	case EVENT_CALL_FAILED:
	case EVENT_ABANDONED:
		simulation_handle_program(simulation, event);
		return;
	case EVENT_ENGINE_TIMER:
	case EVENT_CALL_ARRIVED:
	case EVENT_REPORT_DUE:
	case EVENT_REPORT_ARRIVED:
	case EVENT_CACHE_EVENT_ARRIVED:
	case EVENT_RELEASE:
		simulation_handle_engine(simulation, event);
		return;
	case EVENT_NODE_TIMER:
		if (simulation->nodes[event->a].timer_us == event->at_us)
			simulation_process_node(simulation, event->a);
		return;
	case EVENT_SAMPLE:
		simulation_sample_load(simulation);
		return;
	case EVENT_FAULT:
	case EVENT_ENGINE_RESTART:
	case EVENT_HEALTH:
		simulation_handle_fault(simulation, event);
		return;
	}
}

static void
simulation_create_engines(
    struct simulation *simulation, struct config_server *servers)
{
	for (uint32_t i = 0; i < simulation->engine_count; i++) {
		struct simulation_engine *engine = &simulation->engines[i];

		engine_init(&engine->engine, &simulation->params);
		engine->region = i % (uint32_t)simulation->params.regions;
		servers[i] = (struct config_server){
		    .models = {"model"},
		    .model_count = 1,
		    .kv_tokens = (uint64_t)simulation->params.kv_tokens,
		    .max_running = (uint32_t)simulation->params.max_running,
		};
		snprintf(servers[i].name, NAME_BYTES, "server-%u", i);
		snprintf(
		    servers[i].region, NAME_BYTES, "region-%u", engine->region);
		snprintf(servers[i].failure_domain, NAME_BYTES, "domain-%u",
		    engine->region);
		simulation_schedule(simulation, 0,
		    (struct event){.type = EVENT_REPORT_DUE, .a = i});
	}
}

static void
simulation_create_nodes(
    struct simulation *simulation, const struct config *config)
{
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		struct simulation_node *node = &simulation->nodes[i];
		char region[NAME_BYTES], domain[NAME_BYTES];
		struct sched_options options = {
		    .region = region,
		    .failure_domain = domain,
		    .counters = &node->counters,
		    .seed = rng_next(&simulation->noise),
		    .policy = simulation->options.policy,
		};

		node->region = i % (uint32_t)simulation->params.regions;
		snprintf(region, sizeof(region), "region-%u", node->region);
		snprintf(domain, sizeof(domain), "domain-%u", node->region);
		node->sched = sched_create(&options);
		sched_set_config(node->sched, config);
	}
}

static struct simulation *
simulation_create(const struct simulation_options *options)
{
	struct simulation *simulation = xcalloc(1, sizeof(*simulation));
	struct config_model model = {.name = "model",
	    .prefill_tokens_per_s = options->params->prefill_tokens_per_s};
	struct config_server servers[SIMULATION_ENGINES_MAX];
	struct config config = {.models = &model,
	    .model_count = 1,
	    .servers = servers,
	    .limits = {
		.retry_share = options->params->retry_share,
		.max_attempts = (uint32_t)options->params->max_attempts,
		.wasted_token_cost_us = options->params->wasted_token_cost_us,
	    }};

	simulation->params = *options->params;
	simulation->options = *options;
	simulation->stop_us = (int64_t)((options->params->warm_up_s +
					    options->params->measured_s) *
	    US_PER_S);
	rng_init(&simulation->rng, options->seed);
	rng_init(&simulation->noise, ~options->seed);
	simulation->engine_count = (uint32_t)simulation->params.runners;
	simulation->node_count = (uint32_t)simulation->params.nodes;
	simulation->rate = options->load * simulation->params.runners /
	    traffic_mean_engine_s(&simulation->params);
	config.server_count = simulation->engine_count;
	simulation_create_engines(simulation, servers);
	simulation_create_nodes(simulation, &config);
	simulation_schedule(
	    simulation, 0, (struct event){.type = EVENT_ARRIVAL});
	simulation_schedule(simulation,
	    (int64_t)(simulation->params.warm_up_s * US_PER_S),
	    (struct event){.type = EVENT_SAMPLE});
	simulation_start_fault(simulation);
	return simulation;
}

static void
simulation_destroy(struct simulation *simulation)
{
	for (uint32_t i = 0; i < simulation->node_count; i++)
		sched_destroy(simulation->nodes[i].sched);
	events_reset(&simulation->events);
	samples_reset(&simulation->latency);
	samples_reset(&simulation->system);
	samples_reset(&simulation->urgent);
	samples_reset(&simulation->others);
	samples_reset(&simulation->imbalance);
	free(simulation->programs);
	free(simulation);
}

/* Returns part / whole, or 0 if whole is 0. */
static double
share(double part, double whole)
{
	return whole == 0 ? 0 : part / whole;
}

static void
simulation_measure_retries(
    const struct simulation *simulation, struct measures *measures)
{
	double total = 0, requests = 0;

	for (uint32_t i = 0; i < simulation->node_count; i++) {
		const struct simulation_node *node = &simulation->nodes[i];
		double retries = 0, excess;

		for (int reason = 0; reason < RETRY_COUNT; reason++)
			retries += (double)node->counters.retries[reason];
		excess = retries -
		    simulation->params.retry_share * (double)node->requests -
		    RETRY_BURST;
		if (excess > measures->retry_excess)
			measures->retry_excess = excess;
		total += retries;
		requests += (double)node->requests;
	}
	measures->retry_share = share(total, requests);
}

static void
simulation_measure_cache(
    struct simulation *simulation, struct measures *measures)
{
	/* Converts unused token-seconds to tokens: a memory that is full and
	 * unused for a second counts as many tokens as are prefilled in a
	 * second. */
	double rate = simulation->params.prefill_tokens_per_s /
	    simulation->params.kv_tokens;
	double finished = (double)simulation->finished;
	double recomputed = 0, unused = 0;

	for (uint32_t i = 0; i < simulation->engine_count; i++) {
		struct engine *engine = &simulation->engines[i].engine;

		engine_advance(engine, simulation->now_us);
		engine->output_count = 0;
		engine_reset(engine);
		recomputed += (double)engine->recomputed_tokens;
		unused += engine->unused_token_s * rate;
	}
	measures->recomputed = share(recomputed, finished);
	measures->unused = share(unused, finished);
	measures->wasted = measures->recomputed + measures->unused;
	measures->hit_share =
	    1 - share(recomputed, (double)simulation->history_tokens);
	measures->lost_tokens =
	    share((double)simulation->lost_tokens, finished);
}

static void
simulation_measure(struct simulation *simulation, struct measures *measures)
{
	double begun = (double)simulation->begun;
	double samples = (double)simulation->params.measured_s /
	    SIMULATION_SAMPLE_INTERVAL_S;

	*measures = (struct measures){0};
	simulation_measure_retries(simulation, measures);
	simulation_measure_cache(simulation, measures);
	measures->latency_mean = samples_mean(&simulation->latency);
	measures->latency_p95 = samples_quantile(&simulation->latency, 0.95);
	measures->system_mean = samples_mean(&simulation->system);
	measures->system_p95 = samples_quantile(&simulation->system, 0.95);
	measures->urgent_p95 = samples_quantile(&simulation->urgent, 0.95);
	measures->others_p95 = samples_quantile(&simulation->others, 0.95);
	measures->longest_wait = simulation->longest_wait_s;
	measures->finished_per_h = (double)simulation->finished_in_period *
	    3600 / simulation->params.measured_s;
	measures->refused_share = share((double)simulation->refused, begun);
	measures->cut_short = (double)simulation->given_up;
	measures->unfinished = (double)simulation->unfinished;
	measures->imbalance_p95 =
	    samples_quantile(&simulation->imbalance, 0.95);
	measures->busy = simulation->busy / samples;
	measures->memory = simulation->memory / samples;
	measures->far_share = share(
	    (double)simulation->cross_region_calls, (double)simulation->sent);
}

void
simulation_run(
    const struct simulation_options *options, struct measures *measures)
{
	struct simulation *simulation = simulation_create(options);
	int64_t end_us = simulation->stop_us +
	    (int64_t)(simulation->params.drain_s * US_PER_S);
	struct event event;

	while (
	    events_pop(&simulation->events, &event) && event.at_us < end_us) {
		simulation->now_us = event.at_us;
		simulation_handle_event(simulation, &event);
	}
	for (uint32_t i = 0; i < simulation->program_count; i++) {
		if (simulation->programs[i].ended ||
		    !simulation->programs[i].measured)
			continue;
		simulation->unfinished++;
		simulation_record_program(
		    simulation, &simulation->programs[i], end_us);
	}
	simulation_measure(simulation, measures);
	simulation_destroy(simulation);
}
