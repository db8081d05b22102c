#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "route/admit.h"
#include "route/internal.h"
#include "route/place.h"

enum {
	/** interval of dispatch attempts while calls wait */
	SCHED_POLL_INTERVAL_US = 20 * US_PER_MS,
	SCHED_MISSES_MAX = 16, /**< calls without a server that end a dispatch
				  pass, see sched_next_dispatch() */
};

struct sched *
sched_create(const struct sched_options *options)
{
	struct sched *sched = xcalloc(1, sizeof(*sched));

	snprintf(sched->region, NAME_BYTES, "%s", options->region);
	snprintf(
	    sched->failure_domain, NAME_BYTES, "%s", options->failure_domain);
	sched->counters = options->counters;
	sched->policy = options->policy;
	rng_init(&sched->rng, options->seed);
	programs_init(&sched->programs);
	queue_init(&sched->queue);
	retry_budget_init(&sched->retry_budget);
	return sched;
}

void
sched_free_call(struct sched *sched, struct route_call *call)
{
	HASH_DEL(sched->calls, call);
	free(call);
}

void
sched_destroy(struct sched *sched)
{
	struct route_call *call, *next;

	if (sched == NULL)
		return;
	call = sched->calls;
	HASH_CLEAR(hh, sched->calls);
	for (; call != NULL; call = next) {
		next = call->hh.next;
		free(call);
	}
	programs_reset(&sched->programs);
	pauses_reset(&sched->pauses);
	servers_reset(&sched->servers);
	shares_reset(&sched->shares);
	free(sched);
}

void
sched_set_config(struct sched *sched, const struct config *config)
{
	sched->limits = config->limits;
	sched->model_count = config->model_count;
	if (sched->model_count > SCHED_MODELS_MAX)
		sched->model_count = SCHED_MODELS_MAX;
	for (size_t i = 0; i < sched->model_count; i++)
		memcpy(sched->models[i], config->models[i].name, NAME_BYTES);
	servers_configure(&sched->servers, config);
	shares_configure(&sched->shares, config);
}

static bool
sched_has_model(const struct sched *sched, const char *name)
{
	for (size_t i = 0; i < sched->model_count; i++) {
		if (strcmp(sched->models[i], name) == 0)
			return true;
	}
	return false;
}

struct route_call *
sched_find_call(const struct sched *sched, uint64_t handle)
{
	struct route_call *call;

	HASH_FIND(hh, sched->calls, &handle, sizeof(handle), call);
	return call;
}

/* Ends the pause of a program, whose next call was submitted, and records its
 * duration. */
static void
sched_end_pause(struct sched *sched, const char *id, int64_t now_us)
{
	struct route_program *program =
	    programs_find_or_add(&sched->programs, id);

	if (program->pause_begun_us != 0)
		pauses_record(&sched->pauses, program->tool,
		    now_us - program->pause_begun_us);
	program->pause_begun_us = 0;
	program->release_us = INT64_MAX;
}

enum sched_submit_result
sched_submit(struct sched *sched, const struct sched_request *request,
    int64_t now_us, enum refusal *reason)
{
	struct route_call *call;

	if (!sched_has_model(sched, request->model)) {
		*reason = REFUSAL_UNKNOWN_MODEL;
		return SCHED_REFUSED;
	}
	call = xcalloc(1, sizeof(*call));
	call->request = *request;
	call->submitted_us = now_us;
	list_init(&call->queue_link);
	list_init(&call->attempt_link);
	if (!admit_call(&sched->queue, &sched->policy, call, now_us, reason)) {
		free(call);
		return SCHED_REFUSED;
	}
	call->priority = queue_priority(&sched->policy, request);
	call->start_tag = shares_assign_tag(&sched->shares, request->workspace,
	    request->new_tokens + request->max_tokens);
	HASH_ADD(hh, sched->calls, request.call_id, sizeof(uint64_t), call);
	queue_insert(&sched->queue, call);
	retry_budget_deposit(&sched->retry_budget, sched->limits.retry_share);
	sched_end_pause(sched, request->program, now_us);
	return SCHED_QUEUED;
}

/* Moves a call from the queue to its chosen server and accounts for it. */
static void
sched_attach_call(struct sched *sched, struct route_call *call,
    const struct place_choice *choice, int64_t now_us)
{
	struct route_server *server = choice->server;
	const struct sched_request *request = &call->request;

	queue_remove(&sched->queue, call);
	shares_advance(&sched->shares, call->start_tag);
	call->server = server;
	call->attempts++;
	call->sent_us = now_us;
	call->first_token_us = 0;
	call->prefill_tokens = (int64_t)(request->history_tokens +
	    request->new_tokens - choice->cached_tokens);
	list_append(&server->attempts, &call->attempt_link);
	server->own_calls++;
	server->calls_since_report++;
	server->prefill_tokens_since_report += call->prefill_tokens;
	if (queue_starts_program(call))
		server->last_program_start_us = now_us;
	breaker_record_dispatch(&server->breaker);
	sched->counters->attempts_total++;
	histogram_add(&sched->counters->queue_us, now_us - call->submitted_us);
}

bool
sched_next_dispatch(
    struct sched *sched, int64_t now_us, struct sched_dispatch *dispatch)
{
	struct place_context context = {
	    .servers = &sched->servers,
	    .policy = &sched->policy,
	    .limits = &sched->limits,
	    .region = sched->region,
	    .failure_domain = sched->failure_domain,
	    .rng = &sched->rng,
	    .round_robin_index = &sched->round_robin_index,
	    .now_us = now_us,
	};
	/* Calls that found no server: [0] of programs under way, [1] of new
	 * programs. They are limited separately so that new programs that are
	 * held back don't block later turns. */
	int misses[2] = {0};

	queue_promote(&sched->queue, now_us);
	list_for_each (
	    call, &sched->queue.calls, struct route_call, queue_link) {
		struct place_choice choice;

		if (call->not_before_us > now_us ||
		    misses[queue_starts_program(call)] >= SCHED_MISSES_MAX)
			continue;
		choice = place_call(&context, call,
		    programs_find(&sched->programs, call->request.program));
		if (choice.server == NULL) {
			misses[queue_starts_program(call)]++;
			continue;
		}
		sched_attach_call(sched, call, &choice, now_us);
		*dispatch = (struct sched_dispatch){
		    .call_id = call->request.call_id,
		    .attempt = call->attempts,
		    .expected_cached_tokens = choice.cached_tokens,
		    .priority = call->priority,
		};
		memcpy(
		    dispatch->server, choice.server->config.name, NAME_BYTES);
		return true;
	}
	sched->last_poll_us = now_us;
	return false;
}

int64_t
sched_next_wakeup_us(const struct sched *sched)
{
	int64_t next_us = INT64_MAX;

	if (HASH_COUNT(sched->programs.by_id) > 0)
		next_us = sched->last_release_check_us + SCHED_RELEASE_CHECK_US;
	if (sched->queue.count > 0 &&
	    sched->last_poll_us + SCHED_POLL_INTERVAL_US < next_us)
		next_us = sched->last_poll_us + SCHED_POLL_INTERVAL_US;
	return next_us;
}

bool
sched_next_expired(
    struct sched *sched, int64_t now_us, uint64_t *handle, enum refusal *reason)
{
	list_for_each (
	    call, &sched->queue.calls, struct route_call, queue_link) {
		if (!admit_expired(call, now_us, reason))
			continue;
		*handle = call->request.call_id;
		queue_remove(&sched->queue, call);
		sched_free_call(sched, call);
		return true;
	}
	return false;
}
