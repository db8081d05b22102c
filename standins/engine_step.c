#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/engine_core_internal.h"
#include "standins/text.h"

static void
queue_event(struct engine_core *core, enum engine_event_type type,
    const struct job *job)
{
	struct queued_event *queued = xcalloc(1, sizeof(*queued));

	queued->event = (struct engine_event){
	    .type = type,
	    .id = job->request.id,
	    .produced_tokens = job->produced_tokens,
	    .cached_tokens = job->cached_tokens,
	};
	list_append(&core->events, &queued->link);
}

void
engine_job_free(struct engine_core *core, struct job *job)
{
	engine_cache_end(core->cache, &job->sequence);
	HASH_DEL(core->jobs, job);
	list_remove(&job->link);
	free(job->hashes);
	free(job);
}

/* Returns whether a hash was computed before, and remembers it. A hash that
 * another one has replaced in its slot counts as new. */
static bool
check_and_mark_seen(struct engine_core *core, uint64_t hash)
{
	uint64_t *slot = &core->seen[hash % ENGINE_SEEN_SLOTS];
	bool seen = *slot == hash;

	*slot = hash;
	return seen;
}

/* Adds the blocks that are complete now to the job's sequence. */
static void
extend_sequence(struct engine_core *core, struct job *job)
{
	uint64_t tokens = job->computed_tokens + job->produced_tokens;
	size_t full = tokens / TEXT_BLOCK_TOKENS;

	if (full > job->request.hash_count)
		full = job->request.hash_count;
	while (job->sequence.count < full) {
		uint64_t hash = job->hashes[job->sequence.count];

		if (check_and_mark_seen(core, hash))
			core->totals.recomputed_tokens += TEXT_BLOCK_TOKENS;
		if (!engine_cache_extend(core->cache, &job->sequence, hash))
			return;
		core->reserved_blocks--;
	}
}

/* Starts a waiting job if its blocks fit into the memory that running jobs have
 * not pinned or reserved. Returns whether it was started. */
static bool
start_job(struct engine_core *core, struct job *job)
{
	size_t prompt_blocks =
	    (job->request.prompt_tokens - 1) / TEXT_BLOCK_TOKENS;
	size_t count = prompt_blocks < job->request.hash_count
	    ? prompt_blocks
	    : job->request.hash_count;
	size_t unpinned;
	size_t cached =
	    engine_cache_match(core->cache, job->hashes, count, &unpinned);
	struct cache_usage usage = engine_cache_usage(core->cache);

	if (usage.pinned + core->reserved_blocks + unpinned +
		job->total_blocks - cached >
	    usage.capacity)
		return false;
	engine_cache_begin(core->cache, &job->sequence, job->hashes, cached);
	core->reserved_blocks += job->total_blocks - cached;
	job->cached_tokens = cached * TEXT_BLOCK_TOKENS;
	job->computed_tokens = job->cached_tokens;
	core->totals.prompt_tokens += job->request.prompt_tokens;
	core->totals.cached_tokens += job->cached_tokens;
	job->running = true;
	list_remove(&job->link);
	list_append(&core->running, &job->link);
	core->waiting_count--;
	core->running_count++;
	return true;
}

/* Starts waiting jobs in order, until one does not fit. */
static void
start_jobs(struct engine_core *core)
{
	while (core->running_count < core->options.max_running &&
	    !list_empty(&core->waiting)) {
		struct job *job =
		    list_entry(core->waiting.next, struct job, link);

		if (!start_job(core, job))
			return;
	}
}

void
engine_end_running(struct engine_core *core, struct job *job)
{
	core->reserved_blocks -= job->total_blocks - job->sequence.count;
	core->running_count--;
	engine_job_free(core, job);
}

void
engine_begin_step(struct engine_core *core, int64_t now_us)
{
	uint64_t budget = core->options.prefill_chunk_tokens;
	uint64_t prefill = 0;
	int64_t decoding = 0;

	start_jobs(core);
	list_for_each (job, &core->running, struct job, link) {
		uint64_t remaining =
		    job->request.prompt_tokens - job->computed_tokens;

		job->step_prompt_tokens =
		    remaining < budget ? remaining : budget;
		budget -= job->step_prompt_tokens;
		prefill += job->step_prompt_tokens;
		job->decoding = remaining == 0 && !job->stalled;
		if (job->decoding)
			decoding++;
	}
	core->step_end_us = INT64_MAX;
	if (prefill == 0 && decoding == 0)
		return;
	core->totals.steps++;
	core->step_end_us = now_us + core->options.step_us +
	    core->extra_step_us + decoding * core->options.step_us_per_request +
	    (int64_t)((double)prefill * US_PER_S /
		core->options.prefill_tokens_per_s);
}

static void
produce_token(struct engine_core *core, struct job *job)
{
	if (job->stalled)
		return;
	job->produced_tokens++;
	core->totals.generated_tokens++;
	extend_sequence(core, job);
	queue_event(core, ENGINE_TOKEN, job);
	if (job->produced_tokens < job->request.answer_tokens)
		return;
	queue_event(core, ENGINE_FINISHED, job);
	engine_end_running(core, job);
}

/* Applies the results of a step. The step that completes a prompt also
 * generates the first token. */
static void
end_step(struct engine_core *core)
{
	list_for_each_safe (job, tmp, &core->running, struct job, link) {
		bool complete;

		job->computed_tokens += job->step_prompt_tokens;
		complete = job->step_prompt_tokens > 0 &&
		    job->computed_tokens == job->request.prompt_tokens;
		if (job->step_prompt_tokens > 0)
			extend_sequence(core, job);
		job->step_prompt_tokens = 0;
		if (complete || job->decoding)
			produce_token(core, job);
	}
}

int64_t
engine_core_next_us(const struct engine_core *core)
{
	return core->step_end_us;
}

void
engine_core_advance(struct engine_core *core, int64_t now_us)
{
	while (core->step_end_us <= now_us) {
		int64_t ended_us = core->step_end_us;

		end_step(core);
		engine_begin_step(core, ended_us);
	}
}
