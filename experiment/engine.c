#include "experiment/engine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "experiment/engine_cache.h"

/** Tokens below which nothing is left; absorbs rounding errors. */
static const double ENGINE_EPSILON_TOKENS = 1e-6;

void
engine_init(struct engine *engine, const struct params *params)
{
	*engine = (struct engine){.params = params, .slowdown = 1};
	list_init(&engine->running);
	list_init(&engine->waiting);
	list_init(&engine->lru);
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

/* Returns the oldest call that is in prefill, or NULL. */
static struct engine_call *
engine_find_prefilling(const struct engine *engine)
{
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_tokens_left > 0)
			return call;
	}
	return NULL;
}

/** Duration of a batch step, and the prefill in it. */
struct engine_step {
	double seconds;
	double prefill_tokens;
	struct engine_call *prefilling; /**< NULL: none */
};

static struct engine_step
engine_step(const struct engine *engine)
{
	const struct params *params = engine->params;
	struct engine_step step = {
	    .prefilling = engine_find_prefilling(engine)};

	step.seconds =
	    (params->step_ms +
		params->step_per_call_ms * (double)engine->running_count) /
	    MS_PER_S;
	if (step.prefilling != NULL) {
		step.prefill_tokens = params->prefill_chunk_tokens;
		step.seconds +=
		    params->prefill_chunk_tokens / params->prefill_tokens_per_s;
	}
	step.seconds *= engine->slowdown;
	return step;
}

/* Returns the number of steps until the next prefill or answer is complete. */
static double
engine_steps_left(const struct engine *engine, const struct engine_step *step)
{
	double steps = INFINITY;

	if (step->prefilling != NULL)
		steps = step->prefilling->prefill_tokens_left /
		    step->prefill_tokens;
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_tokens_left <= 0 &&
		    call->answer_tokens_left < steps)
			steps = call->answer_tokens_left;
	}
	return steps;
}

/* Runs a number of steps, which may be a fraction. */
static void
engine_run_steps(
    struct engine *engine, const struct engine_step *step, double steps)
{
	list_for_each (call, &engine->running, struct engine_call, link) {
		if (call->prefill_tokens_left <= 0)
			call->answer_tokens_left -= steps;
	}
	if (step->prefilling == NULL)
		return;
	step->prefilling->prefill_tokens_left -= steps * step->prefill_tokens;
	if (step->prefilling->prefill_tokens_left > ENGINE_EPSILON_TOKENS)
		return;
	step->prefilling->prefill_tokens_left = 0;
	engine_append_output(engine,
	    (struct engine_output){.kind = ENGINE_FIRST_TOKEN,
		.program = step->prefilling->program,
		.attempt = step->prefilling->attempt});
}

static void
engine_finish_call(struct engine *engine, struct engine_call *call)
{
	uint64_t tokens = call->prompt_tokens + call->answer_tokens;

	engine_cache_unpin(engine, call->program, engine->now_us);
	engine_append_output(engine,
	    (struct engine_output){.kind = ENGINE_DONE,
		.program = call->program,
		.attempt = call->attempt,
		.tokens = call->cached_tokens});
	engine_append_output(engine,
	    (struct engine_output){.kind = ENGINE_STORED,
		.program = call->program,
		.tokens = tokens});
	list_remove(&call->link);
	engine->running_count--;
	free(call);
}

/* Starts the first waiting call if the batch and the KV memory have room for
 * it. Returns whether it was started. */
static bool
engine_start_next(struct engine *engine)
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
	call->prefill_tokens_left =
	    (double)(call->prompt_tokens - call->cached_tokens);
	call->answer_tokens_left = (double)call->answer_tokens;
	engine->recomputed_tokens += call->history_tokens - call->cached_tokens;
	return true;
}

static void
engine_finish_completed(struct engine *engine)
{
	list_for_each_safe (
	    call, tmp, &engine->running, struct engine_call, link) {
		if (call->prefill_tokens_left <= 0 &&
		    call->answer_tokens_left <= ENGINE_EPSILON_TOKENS)
			engine_finish_call(engine, call);
	}
	while (engine_start_next(engine))
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
			engine_run_steps(engine, &step, left_s / step.seconds);
			break;
		}
		engine_run_steps(engine, &step, steps);
		engine->now_us +=
		    (int64_t)ceil(steps * step.seconds * US_PER_S);
		engine_finish_completed(engine);
	}
	engine->now_us = now_us;
}

bool
engine_submit(
    struct engine *engine, const struct engine_call *call, int64_t now_us)
{
	struct engine_call *copy;
	struct list *position = engine->waiting.prev;

	engine_advance(engine, now_us);
	if (engine->down)
		return false;
	copy = xcalloc(1, sizeof(*copy));
	*copy = *call;
	while (position != &engine->waiting &&
	    list_entry(position, struct engine_call, link)->priority >
		call->priority)
		position = position->prev;
	list_init(&copy->link);
	list_insert(position, &copy->link);
	engine->waiting_count++;
	engine->waiting_prompt_tokens += call->prompt_tokens;
	while (engine_start_next(engine))
		;
	return true;
}

void
engine_release(struct engine *engine, uint32_t program, int64_t now_us)
{
	engine_advance(engine, now_us);
	engine_cache_drop(engine, program, now_us);
	while (engine_start_next(engine))
		;
}

static void
engine_abort_calls(struct engine *engine, struct list *calls)
{
	list_for_each_safe (call, tmp, calls, struct engine_call, link) {
		engine_append_output(engine,
		    (struct engine_output){.kind = ENGINE_ABORTED,
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
	engine_abort_calls(engine, &engine->running);
	engine_abort_calls(engine, &engine->waiting);
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
		prefill += call->prefill_tokens_left;
	*load = (struct sched_load){
	    .running = (uint32_t)engine->running_count,
	    .waiting = (uint32_t)engine->waiting_count,
	    .kv_used_tokens = engine->kv_used_tokens,
	    .kv_tokens = (uint64_t)engine->params->kv_tokens,
	    .waiting_prefill_tokens = (uint64_t)prefill,
	    .measured_us = now_us,
	};
}
