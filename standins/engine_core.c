#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "standins/engine_core_internal.h"
#include "standins/text.h"

struct engine_core *
engine_core_create(const struct engine_options *options)
{
	struct engine_core *core = xcalloc(1, sizeof(*core));

	core->options = *options;
	core->cache =
	    engine_cache_create(options->kv_tokens / TEXT_BLOCK_TOKENS);
	core->step_end_us = INT64_MAX;
	core->seen = xcalloc(ENGINE_SEEN_SLOTS, sizeof(*core->seen));
	list_init(&core->waiting);
	list_init(&core->running);
	list_init(&core->events);
	return core;
}

void
engine_core_destroy(struct engine_core *core)
{
	list_for_each_safe (job, tmp, &core->waiting, struct job, link)
		engine_job_free(core, job);
	list_for_each_safe (job, tmp, &core->running, struct job, link)
		engine_job_free(core, job);
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

bool
engine_core_next_event(struct engine_core *core, struct engine_event *event)
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

/* Queues a job behind the waiting jobs of equal or more urgent priority. */
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

enum engine_submit_result
engine_core_submit(struct engine_core *core,
    const struct engine_request *request, int64_t now_us)
{
	uint64_t tokens = request->prompt_tokens + request->answer_tokens;
	uint64_t total_blocks =
	    (tokens + TEXT_BLOCK_TOKENS - 1) / TEXT_BLOCK_TOKENS;
	struct job *job;

	if (total_blocks > core->options.kv_tokens / TEXT_BLOCK_TOKENS)
		return ENGINE_TOO_LONG;
	if (core->waiting_count >= core->options.max_waiting)
		return ENGINE_BUSY;
	job = xcalloc(1, sizeof(*job));
	job->request = *request;
	job->total_blocks = total_blocks;
	job->hashes = xcalloc(request->hash_count + 1, sizeof(*job->hashes));
	if (request->hash_count > 0)
		memcpy(job->hashes, request->hashes,
		    request->hash_count * sizeof(*job->hashes));
	memcpy(job->sequence.program, request->program,
	    sizeof(job->sequence.program));
	HASH_ADD(hh, core->jobs, request.id, sizeof(job->request.id), job);
	insert_waiting(core, job);
	if (core->step_end_us == INT64_MAX)
		engine_begin_step(core, now_us);
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
engine_core_cancel(struct engine_core *core, uint64_t id, int64_t now_us)
{
	struct job *job = find_job(core, id);

	if (job == NULL)
		return false;
	if (job->running) {
		engine_end_running(core, job);
	} else {
		core->waiting_count--;
		engine_job_free(core, job);
	}
	if (core->step_end_us == INT64_MAX)
		engine_begin_step(core, now_us);
	return true;
}

void
engine_core_stall(struct engine_core *core, uint64_t id)
{
	struct job *job = find_job(core, id);

	if (job != NULL)
		job->stalled = true;
}

uint64_t
engine_core_release(struct engine_core *core, const char *program)
{
	list_for_each (job, &core->running, struct job, link) {
		if (strcmp(job->request.program, program) == 0)
			job->sequence.released = true;
	}
	return engine_cache_release(core->cache, program) * TEXT_BLOCK_TOKENS;
}

void
engine_core_set_extra_step_time(struct engine_core *core, int64_t step_us)
{
	core->extra_step_us = step_us;
}

void
engine_core_measure(
    const struct engine_core *core, int64_t now_us, struct engine_load *load)
{
	struct cache_usage usage = engine_cache_usage(core->cache);

	*load = (struct engine_load){
	    .measured_us = now_us,
	    .running = core->running_count,
	    .waiting = core->waiting_count,
	    .kv_used_tokens =
		(usage.pinned + core->reserved_blocks) * TEXT_BLOCK_TOKENS,
	    .kv_cached_tokens =
		(usage.cached - usage.pinned) * TEXT_BLOCK_TOKENS,
	    .kv_tokens = core->options.kv_tokens,
	};
	list_for_each (job, &core->waiting, struct job, link)
		load->waiting_prefill_tokens += job->request.prompt_tokens;
	list_for_each (running, &core->running, struct job, link)
		load->waiting_prefill_tokens +=
		    running->request.prompt_tokens - running->computed_tokens;
}

void
engine_core_totals(const struct engine_core *core, struct engine_totals *totals)
{
	*totals = core->totals;
}
