#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "standins/engine_core.h"
#include "standins/text.h"

enum {
	SEEN_SLOTS = 1 << 18,
};

struct job {
	struct list link; /**< in waiting or running */
	struct engine_request request;
	uint64_t *hashes;
	struct cache_sequence sequence;
	uint64_t blocks;      /**< needed in all */
	uint64_t computed;    /**< prompt tokens */
	uint64_t step_tokens; /**< prompt tokens of the present step */
	uint64_t produced;
	uint64_t cached_tokens;
	bool running;
	bool decoding; /**< in the present step */
	bool stalled;
	UT_hash_handle hh;
};

struct queued_event {
	struct list link;
	struct engine_event event;
};

struct engine_core {
	struct engine_options options;
	struct engine_cache *cache;
	struct job *jobs;    /**< hash table by id */
	struct list waiting; /**< of struct job, the next one first */
	struct list running; /**< of struct job */
	size_t waiting_count;
	size_t running_count;
	uint64_t reserved_blocks; /**< that running jobs may still pin */
	int64_t step_end_us;      /**< INT64_MAX: idle */
	int64_t slow_us;
	struct list events; /**< of struct queued_event */
	struct engine_totals totals;
	uint64_t *seen; /**< hashes once stored, by their low bits */
};

struct engine_core *
engine_core_create(const struct engine_options *options)
{
	struct engine_core *core = xcalloc(1, sizeof(*core));

	core->options = *options;
	core->cache =
	    engine_cache_create(options->kv_tokens / TEXT_BLOCK_TOKENS);
	core->step_end_us = INT64_MAX;
	core->seen = xcalloc(SEEN_SLOTS, sizeof(*core->seen));
	list_init(&core->waiting);
	list_init(&core->running);
	list_init(&core->events);
	return core;
}

static void
job_free(struct engine_core *core, struct job *job)
{
	engine_cache_end(core->cache, &job->sequence);
	HASH_DEL(core->jobs, job);
	list_remove(&job->link);
	free(job->hashes);
	free(job);
}

void
engine_core_destroy(struct engine_core *core)
{
	list_for_each_safe (job, tmp, &core->waiting, struct job, link)
		job_free(core, job);
	list_for_each_safe (job, tmp, &core->running, struct job, link)
		job_free(core, job);
	list_for_each_safe (
	    queued, tmp, &core->events, struct queued_event, link)
		free(queued);
	engine_cache_destroy(core->cache);
	free(core->seen);
	free(core);
}

struct engine_cache *
engine_core_cache(struct engine_core *core)
{
	return core->cache;
}

static void
push_event(struct engine_core *core, enum engine_event_type type,
    const struct job *job)
{
	struct queued_event *queued = xcalloc(1, sizeof(*queued));

	queued->event = (struct engine_event){
	    .type = type,
	    .id = job->request.id,
	    .produced = job->produced,
	    .cached_tokens = job->cached_tokens,
	};
	list_append(&core->events, &queued->link);
}

bool
engine_next_event(struct engine_core *core, struct engine_event *event)
{
	struct queued_event *queued;

	if (list_empty(&core->events))
		return false;
	queued = list_entry(core->events.next, struct queued_event, link);
	*event = queued->event;
	list_remove(&queued->link);
	free(queued);
	return true;
}

/* ---- blocks ---- */

static bool
was_seen(struct engine_core *core, uint64_t hash)
{
	uint64_t *slot = &core->seen[hash % SEEN_SLOTS];
	bool seen = *slot == hash;

	*slot = hash;
	return seen;
}

/* Pins the blocks that are full now. */
static void
extend(struct engine_core *core, struct job *job)
{
	uint64_t tokens = job->computed + job->produced;
	size_t full = tokens / TEXT_BLOCK_TOKENS;

	if (full > job->request.hash_count)
		full = job->request.hash_count;
	while (job->sequence.count < full) {
		uint64_t hash = job->hashes[job->sequence.count];

		if (was_seen(core, hash))
			core->totals.recomputed_tokens += TEXT_BLOCK_TOKENS;
		if (!engine_cache_extend(core->cache, &job->sequence, hash))
			return;
		core->reserved_blocks--;
	}
}

/* Starts a waiting job if its blocks fit beside those of running ones. */
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

	if (engine_cache_pinned(core->cache) + core->reserved_blocks +
		unpinned + job->blocks - cached >
	    engine_cache_capacity(core->cache))
		return false;
	engine_cache_begin(core->cache, &job->sequence, job->hashes, cached);
	core->reserved_blocks += job->blocks - cached;
	job->cached_tokens = cached * TEXT_BLOCK_TOKENS;
	job->computed = job->cached_tokens;
	core->totals.prompt_tokens += job->request.prompt_tokens;
	core->totals.cached_tokens += job->cached_tokens;
	job->running = true;
	list_remove(&job->link);
	list_append(&core->running, &job->link);
	core->waiting_count--;
	core->running_count++;
	return true;
}

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

static void
end_running(struct engine_core *core, struct job *job)
{
	core->reserved_blocks -= job->blocks - job->sequence.count;
	core->running_count--;
	job_free(core, job);
}

/* ---- steps ---- */

/* Begins a step, or leaves the engine idle. */
static void
begin_step(struct engine_core *core, int64_t now_us)
{
	uint64_t budget = core->options.prefill_chunk_tokens;
	uint64_t prefill = 0;
	int64_t decoding = 0;

	start_jobs(core);
	list_for_each (job, &core->running, struct job, link) {
		uint64_t left = job->request.prompt_tokens - job->computed;

		job->step_tokens = left < budget ? left : budget;
		budget -= job->step_tokens;
		prefill += job->step_tokens;
		job->decoding = left == 0 && !job->stalled;
		if (job->decoding)
			decoding++;
	}
	core->step_end_us = INT64_MAX;
	if (prefill == 0 && decoding == 0)
		return;
	core->totals.steps++;
	core->step_end_us = now_us + core->options.step_us + core->slow_us +
	    decoding * core->options.step_us_per_request +
	    (int64_t)((double)prefill * US_PER_S /
		core->options.prefill_tokens_per_s);
}

static void
produce(struct engine_core *core, struct job *job)
{
	if (job->stalled)
		return;
	job->produced++;
	core->totals.generated_tokens++;
	extend(core, job);
	push_event(core, ENGINE_TOKEN, job);
	if (job->produced < job->request.answer_tokens)
		return;
	push_event(core, ENGINE_FINISHED, job);
	end_running(core, job);
}

/* Takes the results of a step. A prompt's last part also gives a token. */
static void
end_step(struct engine_core *core)
{
	list_for_each_safe (job, tmp, &core->running, struct job, link) {
		bool complete;

		job->computed += job->step_tokens;
		complete = job->step_tokens > 0 &&
		    job->computed == job->request.prompt_tokens;
		if (job->step_tokens > 0)
			extend(core, job);
		job->step_tokens = 0;
		if (complete || job->decoding)
			produce(core, job);
	}
}

int64_t
engine_next_us(const struct engine_core *core)
{
	return core->step_end_us;
}

void
engine_advance(struct engine_core *core, int64_t now_us)
{
	while (core->step_end_us <= now_us) {
		int64_t ended_us = core->step_end_us;

		end_step(core);
		begin_step(core, ended_us);
	}
}

/* ---- requests ---- */

static void
insert_waiting(struct engine_core *core, struct job *job)
{
	struct list *position = core->waiting.prev;

	while (position != &core->waiting &&
	    list_entry(position, struct job, link)->request.priority >
		job->request.priority)
		position = position->prev;
	list_insert(position, &job->link);
	core->waiting_count++;
}

enum engine_verdict
engine_submit(struct engine_core *core, const struct engine_request *request,
    int64_t now_us)
{
	uint64_t tokens = request->prompt_tokens + request->answer_tokens;
	uint64_t blocks = (tokens + TEXT_BLOCK_TOKENS - 1) / TEXT_BLOCK_TOKENS;
	struct job *job;

	if (blocks > engine_cache_capacity(core->cache))
		return ENGINE_TOO_LONG;
	if (core->waiting_count >= core->options.max_waiting)
		return ENGINE_BUSY;
	job = xcalloc(1, sizeof(*job));
	job->request = *request;
	job->blocks = blocks;
	job->hashes = xcalloc(request->hash_count + 1, sizeof(*job->hashes));
	if (request->hash_count > 0)
		memcpy(job->hashes, request->hashes,
		    request->hash_count * sizeof(*job->hashes));
	memcpy(job->sequence.program, request->program,
	    sizeof(job->sequence.program));
	HASH_ADD(hh, core->jobs, request.id, sizeof(job->request.id), job);
	insert_waiting(core, job);
	if (core->step_end_us == INT64_MAX)
		begin_step(core, now_us);
	return ENGINE_ACCEPTED;
}

static struct job *
find_job(const struct engine_core *core, uint64_t id)
{
	struct job *job;

	HASH_FIND(hh, core->jobs, &id, sizeof(id), job);
	return job;
}

bool
engine_cancel(struct engine_core *core, uint64_t id, int64_t now_us)
{
	struct job *job = find_job(core, id);

	if (job == NULL)
		return false;
	if (job->running) {
		end_running(core, job);
	} else {
		core->waiting_count--;
		job_free(core, job);
	}
	if (core->step_end_us == INT64_MAX)
		begin_step(core, now_us);
	return true;
}

void
engine_stall(struct engine_core *core, uint64_t id)
{
	struct job *job = find_job(core, id);

	if (job != NULL)
		job->stalled = true;
}

uint64_t
engine_release(struct engine_core *core, const char *program)
{
	list_for_each (job, &core->running, struct job, link) {
		if (strcmp(job->request.program, program) == 0)
			job->sequence.released = true;
	}
	return engine_cache_release(core->cache, program) * TEXT_BLOCK_TOKENS;
}

void
engine_set_slow(struct engine_core *core, int64_t step_us)
{
	core->slow_us = step_us;
}

/* ---- measures ---- */

void
engine_measure(
    const struct engine_core *core, int64_t now_us, struct engine_load *load)
{
	size_t pinned = engine_cache_pinned(core->cache);

	*load = (struct engine_load){
	    .measured_us = now_us,
	    .running = core->running_count,
	    .waiting = core->waiting_count,
	    .kv_used_tokens =
		(pinned + core->reserved_blocks) * TEXT_BLOCK_TOKENS,
	    .kv_cached_tokens =
		(engine_cache_blocks(core->cache) - pinned) * TEXT_BLOCK_TOKENS,
	    .kv_tokens = core->options.kv_tokens,
	};
	list_for_each (job, &core->waiting, struct job, link)
		load->waiting_prefill_tokens += job->request.prompt_tokens;
	list_for_each (running, &core->running, struct job, link)
		load->waiting_prefill_tokens +=
		    running->request.prompt_tokens - running->computed;
}

void
engine_totals(const struct engine_core *core, struct engine_totals *totals)
{
	*totals = core->totals;
}
