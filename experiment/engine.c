#include "experiment/engine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "experiment/engine_cache.h"

static const double ENGINE_NONE_LEFT = 1e-6; /**< tokens */

void
engine_init(struct engine *engine, const struct params *params)
{
	*engine = (struct engine){.params = params, .slowness = 1};
	list_init(&engine->running);
	list_init(&engine->waiting);
	list_init(&engine->used);
}

static void
engine_free_calls(struct list *calls)
{
	list_for_each_safe (call, tmp, calls, struct engine_call, link) {
		list_remove(&call->link);
		free(call);
	}
}

void
engine_reset(struct engine *engine)
{
	engine_free_calls(&engine->running);
	engine_free_calls(&engine->waiting);
	engine_cache_clear(engine, engine->now_us);
	free(engine->entries);
	free(engine->outputs);
}

static struct engine_call *
engine_prefilling(const struct engine *engine)
{
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_left > 0)
			return call;
	}
	return NULL;
}

/** Time of one batch step in seconds, and what is prefilled in it. */
struct engine_step {
	double seconds;
	double prefill_tokens;
	struct engine_call *prefilling;
};

static struct engine_step
engine_step(const struct engine *engine)
{
	const struct params *params = engine->params;
	struct engine_step step = {.prefilling = engine_prefilling(engine)};

	step.seconds =
	    (params->step_ms +
		params->step_per_call_ms * (double)engine->running_count) /
	    MS_PER_S;
	if (step.prefilling != NULL) {
		step.prefill_tokens = params->prefill_chunk_tokens;
		step.seconds +=
		    params->prefill_chunk_tokens / params->prefill_tokens_per_s;
	}
	step.seconds *= engine->slowness;
	return step;
}

/* Returns the steps until a prefill or an answer is complete. */
static double
engine_steps_left(const struct engine *engine, const struct engine_step *step)
{
	double steps = INFINITY;

	if (step->prefilling != NULL)
		steps = step->prefilling->prefill_left / step->prefill_tokens;
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_left <= 0 && call->answer_left < steps)
			steps = call->answer_left;
	}
	return steps;
}

static void
engine_work(struct engine *engine, const struct engine_step *step, double steps)
{
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_left <= 0)
			call->answer_left -= steps;
	}
	if (step->prefilling == NULL)
		return;
	step->prefilling->prefill_left -= steps * step->prefill_tokens;
	if (step->prefilling->prefill_left > ENGINE_NONE_LEFT)
		return;
	step->prefilling->prefill_left = 0;
	engine_output(engine,
	    (struct engine_output){.kind = ENGINE_FIRST_TOKEN,
		.program = step->prefilling->program,
		.attempt = step->prefilling->attempt});
}

static void
engine_finish(struct engine *engine, struct engine_call *call)
{
	uint64_t tokens = call->prompt_tokens + call->answer_tokens;

	engine_cache_unpin(engine, call->program, engine->now_us);
	engine_output(engine,
	    (struct engine_output){.kind = ENGINE_DONE,
		.program = call->program,
		.attempt = call->attempt,
		.tokens = call->cached_tokens});
	engine_output(engine,
	    (struct engine_output){.kind = ENGINE_STORED,
		.program = call->program,
		.tokens = tokens});
	list_remove(&call->link);
	engine->running_count--;
	free(call);
}

/* Starts the first waiting call if there is room for it. */
static bool
engine_start(struct engine *engine)
{
	struct engine_call *call;

	if (engine->waiting_count == 0 ||
	    (double)engine->running_count >= engine->params->max_running)
		return false;
	call = list_entry(engine->waiting.next, struct engine_call, link);
	if (!engine_cache_pin(engine, call, engine->now_us))
		return false;
	list_remove(&call->link);
	engine->waiting_count--;
	engine->waiting_prompt_tokens -= call->prompt_tokens;
	list_append(&engine->running, &call->link);
	engine->running_count++;
	call->prefill_left =
	    (double)(call->prompt_tokens - call->cached_tokens);
	call->answer_left = (double)call->answer_tokens;
	engine->recomputed_tokens += call->history_tokens - call->cached_tokens;
	return true;
}

static void
engine_finish_done(struct engine *engine)
{
	list_for_each_safe (
	    call, tmp, &engine->running, struct engine_call, link) {
		if (call->prefill_left <= 0 &&
		    call->answer_left <= ENGINE_NONE_LEFT)
			engine_finish(engine, call);
	}
	while (engine_start(engine))
		;
}

void
engine_advance(struct engine *engine, int64_t now_us)
{
	while (engine->now_us < now_us && engine->running_count > 0) {
		struct engine_step step = engine_step(engine);
		double steps = engine_steps_left(engine, &step);
		double left_s = (double)(now_us - engine->now_us) / US_PER_S;

		if (steps * step.seconds > left_s) {
			engine_work(engine, &step, left_s / step.seconds);
			break;
		}
		engine_work(engine, &step, steps);
		engine->now_us +=
		    (int64_t)ceil(steps * step.seconds * US_PER_S);
		engine_finish_done(engine);
	}
	engine->now_us = now_us;
}

bool
engine_submit(
    struct engine *engine, const struct engine_call *call, int64_t now_us)
{
	struct engine_call *copy;
	struct list *at = engine->waiting.prev;

	engine_advance(engine, now_us);
	if (engine->down)
		return false;
	copy = xcalloc(1, sizeof(*copy));
	*copy = *call;
	while (at != &engine->waiting &&
	    list_entry(at, struct engine_call, link)->priority > call->priority)
		at = at->prev;
	list_init(&copy->link);
	list_insert(at, &copy->link);
	engine->waiting_count++;
	engine->waiting_prompt_tokens += call->prompt_tokens;
	while (engine_start(engine))
		;
	return true;
}

void
engine_release(struct engine *engine, uint32_t program, int64_t now_us)
{
	engine_advance(engine, now_us);
	engine_cache_drop(engine, program, now_us);
	while (engine_start(engine))
		;
}

static void
engine_cut(struct engine *engine, struct list *calls)
{
	list_for_each_safe (call, tmp, calls, struct engine_call, link) {
		engine_output(engine,
		    (struct engine_output){.kind = ENGINE_CUT,
			.program = call->program,
			.attempt = call->attempt});
		list_remove(&call->link);
		free(call);
	}
}

void
engine_crash(struct engine *engine, int64_t now_us)
{
	engine_advance(engine, now_us);
	engine_cut(engine, &engine->running);
	engine_cut(engine, &engine->waiting);
	engine->running_count = 0;
	engine->waiting_count = 0;
	engine->waiting_prompt_tokens = 0;
	engine_cache_clear(engine, now_us);
	engine->down = true;
}

int64_t
engine_next_us(const struct engine *engine)
{
	struct engine_step step;
	double seconds;

	if (engine->running_count == 0)
		return INT64_MAX;
	step = engine_step(engine);
	seconds = engine_steps_left(engine, &step) * step.seconds;
	return engine->now_us + (int64_t)ceil(seconds * US_PER_S);
}

void
engine_get_load(
    const struct engine *engine, int64_t now_us, struct sched_load *load)
{
	double prefill = (double)engine->waiting_prompt_tokens;

	list_for_each (call, &engine->running, struct engine_call, link)
		prefill += call->prefill_left;
	*load = (struct sched_load){
	    .running = (uint32_t)engine->running_count,
	    .waiting = (uint32_t)engine->waiting_count,
	    .kv_used_tokens = engine->kv_used_tokens,
	    .kv_tokens = (uint64_t)engine->params->kv_tokens,
	    .waiting_prefill_tokens = (uint64_t)prefill,
	    .measured_us = now_us,
	};
}
