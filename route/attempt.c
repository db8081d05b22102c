#include <string.h>

#include "route/internal.h"

void
sched_handle_first_token(
    struct sched *sched, uint64_t handle, const char *server, int64_t now_us)
{
	struct route_call *call = sched_find_call(sched, handle);

	if (call == NULL || call->server == NULL || call->first_token_us != 0 ||
	    strcmp(call->server->config.name, server) != 0)
		return;
	call->first_token_us = now_us;
	call->server->prefill_tokens_since_report -= call->prefill_tokens;
}

/* Detaches a call from its server, if it has one. */
static void
sched_detach_call(struct route_call *call)
{
	struct route_server *server = call->server;

	if (server == NULL)
		return;
	list_remove(&call->attempt_link);
	server->own_calls--;
	server->calls_since_report--;
	if (call->first_token_us == 0)
		server->prefill_tokens_since_report -= call->prefill_tokens;
	call->server = NULL;
}

static void
sched_handle_done(struct sched *sched, const struct route_call *call,
    struct route_server *server, uint64_t prompt_tokens, uint64_t cached_tokens,
    int64_t now_us)
{
	const struct sched_request *request = &call->request;
	uint64_t request_tokens = request->history_tokens + request->new_tokens;
	struct counters *counters = sched->counters;

	breaker_record_success(&server->breaker);
	if (call->first_token_us != 0 && prompt_tokens > request_tokens)
		server_update_decode_speed(server,
		    prompt_tokens - request_tokens,
		    now_us - call->first_token_us);
	program_set_cache_entry(
	    programs_find_or_add(&sched->programs, request->program), server,
	    prompt_tokens);
	counters->prompt_tokens_total += request_tokens;
	counters->cached_tokens_total += cached_tokens;
	if (request->history_tokens > cached_tokens)
		counters->recomputed_tokens_total +=
		    request->history_tokens - cached_tokens;
}

static enum retry_reason
sched_retry_reason(enum sched_result result)
{
	switch (result) {
	case SCHED_NOT_STARTED:
		return RETRY_CONNECT_FAILED;
	case SCHED_BUSY:
		return RETRY_SERVER_BUSY;
	case SCHED_DISCONNECTED:
		return RETRY_SERVER_DISCONNECTED;
	case SCHED_TIMED_OUT:
		return RETRY_TIMEOUT;
	case SCHED_DONE:
	case SCHED_CANCELLED:
	case SCHED_FAILED:
		break;
	}
	return RETRY_SERVER_ERROR;
}

/* Queues a failed call again after a delay, or frees it when its attempts or
 * the retry budget are exhausted. */
static enum sched_retry_decision
sched_retry_call(struct sched *sched, struct route_call *call,
    enum sched_result result, int64_t now_us, enum refusal *reason)
{
	*reason = result == SCHED_BUSY ? REFUSAL_SERVER_REFUSED
				       : REFUSAL_SERVER_FAILED;
	if (call->attempts >= sched->limits.max_attempts) {
		sched_free_call(sched, call);
		return SCHED_GIVE_UP;
	}
	if (!retry_budget_withdraw(&sched->retry_budget)) {
		*reason = REFUSAL_RETRY_BUDGET;
		sched_free_call(sched, call);
		return SCHED_GIVE_UP;
	}
	sched->counters->retries[sched_retry_reason(result)]++;
	call->not_before_us =
	    now_us + retry_delay_us(call->attempts + 1, &sched->rng);
	queue_insert(&sched->queue, call);
	return SCHED_RETRY;
}

enum sched_retry_decision
sched_handle_attempt_end(struct sched *sched, uint64_t handle, const char *name,
    enum sched_result result, uint64_t prompt_tokens, uint64_t cached_tokens,
    int64_t now_us, enum refusal *reason)
{
	struct route_call *call = sched_find_call(sched, handle);
	struct route_server *server;
	struct route_program *program;

	*reason = REFUSAL_SERVER_FAILED;
	if (call == NULL || call->server == NULL ||
	    strcmp(call->server->config.name, name) != 0)
		return SCHED_GIVE_UP;
	server = call->server;
	sched_detach_call(call);
	if (result == SCHED_DONE)
		sched_handle_done(
		    sched, call, server, prompt_tokens, cached_tokens, now_us);
	if (result == SCHED_DONE || result == SCHED_CANCELLED) {
		server->breaker.probing = false;
		sched_free_call(sched, call);
		return SCHED_GIVE_UP;
	}
	call->failed_server = server;
	if (result == SCHED_BUSY)
		server->breaker.probing = false;
	else
		breaker_record_failure(&server->breaker, now_us, &sched->rng);
	program = programs_find_or_add(&sched->programs, call->request.program);
	if (result == SCHED_DISCONNECTED)
		program_clear_cache_entry(program, server);
	return sched_retry_call(sched, call, result, now_us, reason);
}

void
sched_cancel(struct sched *sched, uint64_t handle, int64_t now_us)
{
	struct route_call *call = sched_find_call(sched, handle);

	(void)now_us;
	if (call == NULL)
		return;
	if (call->server != NULL) {
		call->server->breaker.probing = false;
		sched_detach_call(call);
	} else {
		queue_remove(&sched->queue, call);
	}
	sched_free_call(sched, call);
}
