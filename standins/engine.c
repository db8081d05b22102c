/** @file
 * standin-engine: a model engine with continuous batching and a prefix cache.
 * This file has its request routing, timers and statistics.
 */
#include <string.h>

#include "common/clock.h"
#include "standins/engine.h"

enum {
	EXPIRY_TICK_MS = 50,
};

struct engine engine = {
    .settings =
	{
	    .kv_tokens = 400000,
	    .prefill_tokens_per_s = 8000,
	    .prefill_chunk_tokens = 512,
	    .step_us = 12000,
	    .step_us_per_request = 200,
	    .max_running = 64,
	    .max_waiting = 1000,
	    .answer_tokens = 64,
	    .load_lag_ms = 500,
	    .event_lag_ms = 500,
	    .resume_ms = 2000,
	    .kv_bytes_per_token = 131072,
	    .kv_bytes_per_s = 2e9,
	    .check_fencing = true,
	    .model_bytes = 16000000000,
	    .adapter_bytes = 200000000,
	    .load_bytes_per_s = 8e9,
	},
};

static void
handle_step_timer(uv_timer_t *timer)
{
	(void)timer;
	engine_dispatch_events();
}

static void
publish_cache_changes(int64_t now_us)
{
	struct cache_change change;

	while (
	    engine_cache_next_change(engine_core_cache(engine.core), &change)) {
		uint64_t held = change.held * TEXT_BLOCK_TOKENS;

		if (change.evicted > 0)
			engine_telemetry_add_event(engine.telemetry, "evicted",
			    change.program, change.evicted * TEXT_BLOCK_TOKENS,
			    held, now_us);
		if (change.stored > 0)
			engine_telemetry_add_event(engine.telemetry, "stored",
			    change.program, change.stored * TEXT_BLOCK_TOKENS,
			    held, now_us);
	}
}

void
engine_dispatch_events(void)
{
	int64_t now_us = clock_monotonic_us();
	struct engine_event event;
	struct engine_load load;
	int64_t next_us;
	int64_t wait_us;

	engine_core_advance(engine.core, now_us);
	while (engine_core_next_event(engine.core, &event))
		generation_handle_event(&event);
	publish_cache_changes(now_us);
	engine_core_measure(engine.core, now_us, &load);
	engine_telemetry_add_load(engine.telemetry, &load);
	next_us = engine_core_next_us(engine.core);
	if (next_us == INT64_MAX) {
		uv_timer_stop(&engine.step_timer);
		return;
	}
	wait_us = next_us > now_us ? next_us - now_us : 0;
	uv_update_time(&engine.standin->loop);
	uv_timer_start(&engine.step_timer, handle_step_timer,
	    (uint64_t)(wait_us + US_PER_MS - 1) / US_PER_MS, 0);
}

static void
handle_expiry_timer(uv_timer_t *timer)
{
	(void)timer;
	generations_expire(clock_monotonic_us());
	engine_dispatch_events();
}

static void
handle_load(struct standin_request *request)
{
	struct engine_load load =
	    engine_telemetry_load(engine.telemetry, clock_monotonic_us());
	json_int_t age_ms =
	    (clock_monotonic_us() - load.measured_us) / US_PER_MS;

	standin_reply(request, 200,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "running",
		(json_int_t)load.running, "waiting", (json_int_t)load.waiting,
		"kv_used_tokens", (json_int_t)load.kv_used_tokens,
		"kv_cached_tokens", (json_int_t)load.kv_cached_tokens,
		"kv_tokens", (json_int_t)load.kv_tokens,
		"waiting_prefill_tokens",
		(json_int_t)load.waiting_prefill_tokens, "age_ms", age_ms));
}

static void
handle_events(struct standin_request *request)
{
	int64_t since = standin_query_number(request, "since", 0);

	standin_reply(request, 200,
	    engine_telemetry_events(engine.telemetry,
		since > 0 ? (uint64_t)since : 0, clock_monotonic_us()));
}

void
engine_handle(struct standin_request *request)
{
	static const struct {
		enum http_method method;
		const char *path;
		void (*handle)(struct standin_request *request);
	} paths[] = {
	    {HTTP_POST, "/v1/chat/completions", engine_handle_chat},
	    {HTTP_POST, "/v1/cancel", engine_handle_cancel},
	    {HTTP_GET, "/v1/load", handle_load},
	    {HTTP_GET, "/v1/events", handle_events},
	    {HTTP_GET, "/v1/state", engine_handle_state},
	    {HTTP_POST, "/v1/orders", engine_handle_orders},
	    {HTTP_POST, "/programs/ended", engine_handle_program_ended},
	};

	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (paths[i].method == request->method &&
		    strcmp(paths[i].path, request->path) == 0) {
			paths[i].handle(request);
			return;
		}
	}
	if (!engine_handle_kv(request))
		standin_reply_error(request, 404, "unknown_path");
}

static json_t *
tokens_json(void)
{
	struct engine_totals totals;
	const struct engine_cache *cache = engine_core_cache(engine.core);
	struct cache_usage usage = engine_cache_usage(cache);

	engine_core_totals(engine.core, &totals);
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
	    "prompt_tokens", (json_int_t)totals.prompt_tokens, "cached_tokens",
	    (json_int_t)totals.cached_tokens, "recomputed_tokens",
	    (json_int_t)totals.recomputed_tokens, "generated_tokens",
	    (json_int_t)totals.generated_tokens, "steps",
	    (json_int_t)totals.steps, "kv_cached_tokens",
	    (json_int_t)usage.cached * TEXT_BLOCK_TOKENS,
	    "kv_held_by_ended_tokens",
	    (json_int_t)engine_cache_held_by_ended(cache) * TEXT_BLOCK_TOKENS,
	    "exported_by_ended_bytes",
	    (json_int_t)engine_exported_bytes_of_ended());
}

json_t *
engine_stats(struct standin *standin)
{
	const struct engine_counters *counters = &engine.counters;
	json_t *object =
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
		"started", (json_int_t)counters->started, "finished",
		(json_int_t)counters->finished, "cancelled",
		(json_int_t)counters->cancelled, "abandoned",
		(json_int_t)counters->abandoned, "resumed",
		(json_int_t)counters->resumed, "refused",
		(json_int_t)counters->refused, "releases",
		(json_int_t)counters->releases, "exports",
		(json_int_t)counters->exports, "imports",
		(json_int_t)counters->imports, "orders",
		(json_int_t)counters->orders, "stale_orders",
		(json_int_t)counters->stale_orders);
	json_t *tokens = tokens_json();

	(void)standin;
	json_object_update(object, tokens);
	json_decref(tokens);
	return object;
}

void
engine_faults_changed(struct standin *standin)
{
	(void)standin;
	engine_core_set_extra_step_time(
	    engine.core, engine.faults.slow_step_us);
}

void
engine_start(struct standin *standin)
{
	const struct engine_settings *settings = &engine.settings;
	const struct engine_options options = {
	    .kv_tokens = (uint64_t)settings->kv_tokens,
	    .prefill_tokens_per_s = settings->prefill_tokens_per_s,
	    .prefill_chunk_tokens = (uint64_t)settings->prefill_chunk_tokens,
	    .step_us = settings->step_us,
	    .step_us_per_request = settings->step_us_per_request,
	    .max_running = (size_t)settings->max_running,
	    .max_waiting = (size_t)settings->max_waiting,
	};
	const struct engine_telemetry_options telemetry_options = {
	    .load_lag_us = settings->load_lag_ms * US_PER_MS,
	    .event_lag_us = settings->event_lag_ms * US_PER_MS,
	    .event_loss = settings->event_loss,
	    .seed = rng_next(&standin->rng),
	};

	engine.standin = standin;
	engine.counters = (struct engine_counters){0};
	engine.core = engine_core_create(&options);
	engine.telemetry = engine_telemetry_create(&telemetry_options);
	engine_telemetry_add_event(
	    engine.telemetry, "cleared", "", 0, 0, clock_monotonic_us());
	uv_timer_init(&standin->loop, &engine.step_timer);
	uv_timer_init(&standin->loop, &engine.expiry_timer);
	uv_timer_start(&engine.expiry_timer, handle_expiry_timer,
	    EXPIRY_TICK_MS, EXPIRY_TICK_MS);
	engine_orders_init();
	engine_dispatch_events();
}

void
engine_stop(struct standin *standin)
{
	(void)standin;
	uv_close((uv_handle_t *)&engine.step_timer, NULL);
	uv_close((uv_handle_t *)&engine.expiry_timer, NULL);
	engine_orders_reset();
	engine_kv_reset();
	generations_reset();
	engine_core_destroy(engine.core);
	engine_telemetry_destroy(engine.telemetry);
}
