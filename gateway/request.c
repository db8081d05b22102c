#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "dispatch/retry.h"
#include "gateway/memory_bounds.h"
#include "gateway/object_affinity.h"
#include "gateway/path_watch.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine.h"
#include "gateway/relay.h"
#include "gateway/request.h"
#include "gateway/turn.h"
#include "gateway/workspace_counters.h"
#include "gateway/workspaces.h"

enum {
	RETRY_AFTER_NO_CONFIG_US = 500 * US_PER_MS,
	RETRY_AFTER_NO_SERVER_US = 500 * US_PER_MS,
	RETRY_AFTER_DECLINED_US = 200 * US_PER_MS,
	RETRY_AFTER_CRASHES_US = 60 * US_PER_S,
	RETRY_AFTER_RUNNING_US = 500 * US_PER_MS,
	/* About half of the time in which the entry of a server that has ended
	 * lapses. */
	RETRY_AFTER_HELD_US = 2 * US_PER_S,
	/* The other gateways know within a heartbeat that this one reaches no
	 * server. */
	RETRY_AFTER_UNREACHABLE_US = 150 * US_PER_MS,
	/* Any other gateway serves the request. */
	RETRY_AFTER_STOPPED_US = 10 * US_PER_MS,
	DECLINED_MAX = 4, /* declines after which a request is refused */
	RETRY_AFTER_TEXT_BYTES = 24,
};

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
request_destroy(struct request *request)
{
	if (request->turn != NULL)
		turn_destroy(request);
	if (request->attempt != NULL)
		forward_cancel(request);
	stage_cancel(request);
	server_limits_cancel(request);
	relay_cancel(request);
	uv_close((uv_handle_t *)request->timer, handle_timer_closed);
	list_remove(&request->link);
	gateway_config_unref(request->config);
	event_stream_reset(&request->events);
	buf_reset(&request->body);
	free(request);
}

static void
trace_elapsed(struct trace *trace, const char *name,
    const struct request *request, int64_t at_us)
{
	if (at_us != 0)
		trace_ms(trace, name, at_us - request->received_us);
}

/* Tells how the server's latest response ended. */
static void
trace_body_end(struct trace *trace, const struct request *request)
{
	trace_text(trace, "body_end", h1_body_end_name(request->body_end));
	trace_text(trace, "response_fault", request->response_fault);
	if (request->unfinished_event_bytes > 0)
		trace_number(trace, "unfinished_event_bytes",
		    (int64_t)request->unfinished_event_bytes);
}

/* Tells which limit on requests the server's latest response stated. */
static void
trace_stated_limit(struct trace *trace, const struct request *request)
{
	static const double MILLI = 1000;

	switch (request->stated_limit.kind) {
	case LIMIT_ABSENT:
		return;
	case LIMIT_STATED:
		trace_number(trace, "server_limit_per_1000_s",
		    (int64_t)(request->stated_limit.per_s * MILLI));
		return;
	case LIMIT_MALFORMED:
		trace_text(trace, "server_limit", "malformed");
		return;
	}
}

static void
request_trace(const struct request *request, int status, const char *reason,
    const char *why)
{
	const struct attributes *attributes = &request->attributes;
	int64_t now_us = clock_monotonic_us();
	struct trace trace;

	trace_begin(&trace, "request");
	trace_text(&trace, "request", attributes->request_id);
	trace_text(&trace, "program", attributes->program);
	trace_text(
	    &trace, "route", request->route ? request->route->name : NULL);
	trace_text(&trace, "service", request->service);
	if (request->workspace != NULL)
		trace_text(&trace, "workspace", request->workspace->name);
	trace_number(&trace, "status", status);
	trace_text(&trace, "reason", reason);
	trace_text(&trace, "why", why);
	trace_text(&trace, "waits_for", turn_wait_reason(request));
	trace_text(&trace, "server", request->last_backend);
	if (request->relay.count > 0)
		trace_text(&trace, "relayed_to", request->relay.vm);
	if (request->relayed)
		trace_text(&trace, "relayed_by", request->relayed_by);
	trace_number(&trace, "sent", (int64_t)request->tried_count);
	trace_number(&trace, "may_have_run", request->possible_executions);
	if (request->unreachable_count > 0)
		trace_number(&trace, "unreachable", request->unreachable_count);
	if (request->permit_wait.asked > 0)
		trace_number(
		    &trace, "permits_asked", request->permit_wait.asked);
	if (request->config != NULL)
		trace_number(&trace, "config_version",
		    (int64_t)request->config->version);
	trace_ms(&trace, "elapsed_ms", now_us - request->received_us);
	trace_ms(&trace, "left_ms", request->deadline_us - now_us);
	trace_elapsed(&trace, "sent_ms", request, request->first_sent_us);
	trace_elapsed(&trace, "first_ms", request, request->first_byte_us);
	trace_elapsed(&trace, "ended_ms", request, request->body_ended_us);
	trace_body_end(&trace, request);
	trace_stated_limit(&trace, request);
	if (request->is_trial)
		trace_number(&trace, "trial", 1);
	if (request->is_trial ||
	    (reason != NULL &&
		strcmp(reason, refusal_name(REFUSAL_CRASHES_SERVERS)) == 0))
		trace_hash(&trace, "fingerprint", request->fingerprint);
	trace_end(&trace);
}

static void
count_refusal(struct request *request, enum refusal reason)
{
	struct gateway *gateway = request->gateway;

	gateway->counters.refusals[reason]++;
	if (request->workspace != NULL)
		workspace_counters_add_refusal(gateway->workspace_counters,
		    request->workspace->name, reason);
}

/* Sends an error response of the gateway itself, and frees the request. */
static void
request_respond_error(struct request *request, enum refusal reason,
    enum execution_state run, int64_t retry_us, const char *why)
{
	struct h1_headers headers = {0};
	struct buf body = {0};
	char text[RETRY_AFTER_TEXT_BYTES];

	count_refusal(request, reason);
	request_trace(
	    request, refusal_http_status(reason), refusal_name(reason), why);
	platform_response_add_request_id(
	    &headers, request->attributes.request_id);
	h1_headers_add(&headers, "Content-Type", "application/json");
	if (retry_us > 0) {
		snprintf(
		    text, sizeof(text), "%.3f", (double)retry_us / US_PER_S);
		h1_headers_add(&headers, "Retry-After", text);
	}
	if (request->relayed && run == EXECUTION_NOT_STARTED &&
	    request->gateway->blackboard.reach.lost)
		h1_headers_add(&headers, RELAY_FIELD_UNREACHABLE, "1");
	buf_printf(&body,
	    "{\"error\":{\"reason\":\"%s\",\"detail\":\"%s\",\"run\":\"%s\"}}",
	    refusal_name(reason), why != NULL ? why : "",
	    execution_state_name(run));
	h1_respond(request->exchange, refusal_http_status(reason), &headers,
	    body.data, body.len);
	buf_reset(&body);
	h1_headers_reset(&headers);
	request->exchange = NULL;
	request_destroy(request);
}

void
request_refuse(struct request *request, enum refusal reason, int64_t retry_us,
    const char *why)
{
	/* The gateway that passed it on may have had it run. */
	if (request->possible_executions > 0)
		request_fail(request, REFUSAL_SERVER_FAILED, why);
	else
		request_respond_error(
		    request, reason, EXECUTION_NOT_STARTED, retry_us, why);
}

void
request_fail(struct request *request, enum refusal reason, const char *why)
{
	if (!request->response_started) {
		request_respond_error(
		    request, reason, EXECUTION_UNKNOWN, 0, why);
		return;
	}
	count_refusal(request, reason);
	request_trace(request, 0, refusal_name(reason), why);
	h1_exchange_abort(request->exchange);
	request->exchange = NULL;
	request_destroy(request);
}

/* Ends a request whose time is up or that is cut off by a stop: it is failed if
 * a server may have run it, and refused as not run otherwise. */
static void
request_abort(struct request *request, enum refusal reason)
{
	const struct forward *attempt = request->attempt;
	bool sent = (attempt != NULL && h1_call_sent(attempt->call)) ||
	    relay_is_sent(request);

	if (request->possible_executions > 0 || request->response_started ||
	    sent)
		request_fail(request, REFUSAL_DEADLINE, refusal_name(reason));
	else
		request_refuse(request, reason, 0, NULL);
}

void
request_fail_all(struct gateway *gateway)
{
	struct list *item;

	while ((item = list_pop(&gateway->requests)) != NULL)
		request_abort(
		    list_entry(item, struct request, link), REFUSAL_DRAINING);
}

static void
handle_caller_gone(void *context)
{
	struct request *request = context;

	request->exchange = NULL;
	count_refusal(request, REFUSAL_CALLER_GONE);
	request_trace(request, 0, refusal_name(REFUSAL_CALLER_GONE), NULL);
	request_destroy(request);
}

void
request_send_body(struct request *request, const void *data, size_t len)
{
	if (request->first_byte_us == 0) {
		request->first_byte_us = clock_monotonic_us();
		histogram_add(&request->gateway->counters.first_token_us,
		    request->first_byte_us - request->received_us);
	}
	if (!h1_respond_data(request->exchange, data, len))
		request_fail(
		    request, REFUSAL_CALLER_GONE, "caller reads too slowly");
	else
		memory_bounds_handle_sent(request);
}

void
request_complete(struct request *request)
{
	struct gateway *gateway = request->gateway;

	gateway->counters.responses_total++;
	histogram_add(&gateway->counters.request_us,
	    clock_monotonic_us() - request->received_us);
	request_trace(request, request->status, NULL, NULL);
	h1_respond_end(request->exchange);
	request->exchange = NULL;
	request_destroy(request);
}

static struct retry_state
retry_state_of(const struct request *request, bool has_other)
{
	return (struct retry_state){
	    .repeatable = request->route->kind == ROUTE_SAFE,
	    .possible_executions = request->possible_executions,
	    .max_attempts = request->route->max_attempts,
	    .has_untried_server = has_other,
	};
}

static bool
may_run_again(const struct request *request)
{
	const struct retry_state state = retry_state_of(request, true);

	return retry_is_allowed(&state) &&
	    request->tried_count < BACKEND_TRIED_MAX;
}

static void handle_timer(uv_timer_t *timer);

void
request_arm_timer(struct request *request)
{
	int64_t due_us = request->deadline_us;
	int64_t wait_us;

	if (request->state == REQUEST_SENT &&
	    request->attempt->response_deadline_us < due_us)
		due_us = request->attempt->response_deadline_us;
	if (request->turn_wake_us != 0 && request->turn_wake_us < due_us)
		due_us = request->turn_wake_us;
	if (request->permit_wait.number != 0 &&
	    request->permit_wait.due_us < due_us)
		due_us = request->permit_wait.due_us;
	if (request->stage_due_us != 0 && request->stage_due_us < due_us)
		due_us = request->stage_due_us;
	wait_us = due_us - clock_monotonic_us();
	uv_timer_start(request->timer, handle_timer,
	    wait_us > 0 ? (uint64_t)(wait_us / US_PER_MS) + 1 : 0, 0);
}

void
request_wake_at(struct request *request, int64_t at_us)
{
	request->turn_wake_us = at_us;
	request_arm_timer(request);
}

/* Returns how an attempt without a response in time ends. */
static enum attempt_result
silent_attempt_result(const struct forward *attempt)
{
	if (attempt->head_received && attempt->response.not_executed)
		return ATTEMPT_DECLINED;
	return h1_call_sent(attempt->call) ? ATTEMPT_TIMED_OUT
					   : ATTEMPT_UNREACHABLE;
}

static void
end_silent_attempt(struct request *request)
{
	const struct forward *attempt = request->attempt;
	enum attempt_result result = silent_attempt_result(attempt);

	if (result != ATTEMPT_DECLINED)
		backend_failed(attempt->backend, clock_monotonic_us());
	if (result == ATTEMPT_UNREACHABLE)
		path_watch_handle_failure(
		    request->gateway->path_watch, attempt->backend);
	request->kept_connection = h1_call_reuses_connection(attempt->call);
	forward_cancel(request);
	request_attempt_ended(request, result, "no answer");
}

static void
handle_timer(uv_timer_t *timer)
{
	struct request *request = timer->data;

	if (clock_monotonic_us() >= request->deadline_us) {
		request_abort(request, REFUSAL_DEADLINE);
		return;
	}
	if (request->state == REQUEST_SENT &&
	    clock_monotonic_us() >= request->attempt->response_deadline_us) {
		end_silent_attempt(request);
		return;
	}
	if (request->permit_wait.number != 0 &&
	    request->permit_wait.due_us <= clock_monotonic_us()) {
		server_limits_handle_due(request);
		return;
	}
	if (request->stage_due_us != 0 &&
	    request->stage_due_us <= clock_monotonic_us()) {
		stage_handle_due(request);
		return;
	}
	if (request->turn_wake_us != 0 &&
	    request->turn_wake_us <= clock_monotonic_us()) {
		request->turn_wake_us = 0;
		turn_handle_timeout(request);
		return;
	}
	request_arm_timer(request);
}

static struct backend_request
backend_request_of(const struct request *request)
{
	struct backend_request criteria = {
	    .service = request->service,
	    .preferred = turn_cache_server(request),
	    .is_stream = request->route->kind == ROUTE_STREAM,
	    .parts = request->attributes.prompt_parts,
	    .part_count = request->attributes.prompt_part_count,
	    .prompt_tokens = request->attributes.prompt_tokens,
	    .max_tokens = request->attributes.max_tokens,
	    .permits_allowed = server_limits_may_ask(request),
	    .max_permit_wait_us = server_limits_max_wait_us(request),
	    .excluded_servers = request->tried,
	    .excluded_count = request->tried_count,
	};

	object_affinity_set(request, &criteria);
	return criteria;
}

static struct backend *
choose_backend(const struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct backend_request criteria = backend_request_of(request);

	return backends_choose(
	    &gateway->blackboard.backends, &criteria, clock_monotonic_us());
}

/* Limits the wait for the response if the request may be moved to another
 * server. The current server is already in request->tried, so choose_backend()
 * does not return it. */
static void
set_response_deadline(struct request *request)
{
	struct forward *attempt = request->attempt;
	struct retry_state state = retry_state_of(request, false);
	int64_t timeout_us;

	state.has_untried_server =
	    may_run_again(request) && choose_backend(request) != NULL;
	timeout_us = retry_attempt_timeout_us(
	    &state, attempt->backend->mean_response_us);
	attempt->response_deadline_us = timeout_us == INT64_MAX
	    ? INT64_MAX
	    : attempt->started_us + timeout_us;
}

static void
hold_in_quarantine(struct request *request)
{
	request_refuse(request, REFUSAL_CRASHES_SERVERS, RETRY_AFTER_HELD_US,
	    "it is not known whether several of its runs crashed servers");
}

static void
refuse_in_quarantine(struct request *request)
{
	request_refuse(request, REFUSAL_CRASHES_SERVERS, RETRY_AFTER_CRASHES_US,
	    "it has crashed several servers");
}

/* Returns whether another run of the same request is under way. */
static bool
is_running_already(const struct request *request)
{
	list_for_each (
	    other, &request->gateway->requests, struct request, link) {
		if (other != request && other->attempt != NULL &&
		    other->fingerprint == request->fingerprint)
			return true;
	}
	return false;
}

void
request_send(struct request *request, struct backend *backend)
{
	const struct backend_request criteria = backend_request_of(request);
	bool is_first_trial = request->is_trial && request->tried_count == 0;

	/* It may have crashed servers while it waited, or in this very call. */
	switch (quarantine_judge(
	    request->gateway->quarantine, request->fingerprint)) {
	case QUARANTINE_REFUSE:
		if (is_first_trial)
			break;
		refuse_in_quarantine(request);
		return;
	case QUARANTINE_HOLD:
		hold_in_quarantine(request);
		return;
	case QUARANTINE_ONE_AT_A_TIME:
		if (!is_running_already(request))
			break;
		request_refuse(request, REFUSAL_CRASHES_SERVERS,
		    RETRY_AFTER_RUNNING_US,
		    "it may have crashed servers, and runs already");
		return;
	case QUARANTINE_SEND:
		break;
	}
	memcpy(request->tried[request->tried_count++], backend->entry.id,
	    NAME_BYTES);
	memcpy(request->last_backend, backend->entry.id, NAME_BYTES);
	if (request->first_sent_us == 0) {
		request->first_sent_us = clock_monotonic_us();
		histogram_add(&request->gateway->counters.queue_us,
		    request->first_sent_us - request->received_us);
	}
	forward_start(request, backend, &criteria);
	set_response_deadline(request);
	request->state = REQUEST_SENT;
	request->turn_wake_us = 0;
	request_arm_timer(request);
}

static void
refuse_without_server(struct request *request)
{
	if (request->possible_executions == 0 &&
	    request->gateway->blackboard.reach.lost)
		request_refuse(request, REFUSAL_NO_SERVER,
		    RETRY_AFTER_UNREACHABLE_US, "this VM reaches no server");
	else if (request->possible_executions > 0)
		request_fail(request, REFUSAL_SERVER_FAILED, "no other server");
	else if (request->declined_count > 0)
		request_refuse(
		    request, REFUSAL_OVERLOADED, RETRY_AFTER_DECLINED_US, NULL);
	else
		request_refuse(
		    request, REFUSAL_NO_SERVER, RETRY_AFTER_NO_SERVER_US, NULL);
}

void
request_refuse_limited(struct request *request)
{
	struct gateway *gateway = request->gateway;
	size_t known;
	size_t live;
	int64_t retry_us;

	peer_gateways_count(gateway->peer_gateways, &known, &live);
	retry_us = backends_limited_retry_us(&gateway->blackboard.backends,
	    request->service, live, clock_monotonic_us());
	if (retry_us == 0 || request->possible_executions > 0)
		refuse_without_server(request);
	else
		request_refuse(request, REFUSAL_OVERLOADED, retry_us,
		    "servers limit their requests");
}

void
request_dispatch(struct request *request)
{
	struct backend *backend = server_limits_choose_check(request);

	request->turn_wake_us = 0;
	if (relay_start(request))
		return;
	if (request->gateway->blackboard.reach.lost &&
	    request->unreachable_count > 0) {
		refuse_without_server(request);
		return;
	}
	if (backend == NULL)
		backend = choose_backend(request);
	while (backend != NULL) {
		switch (server_limits_take_permit(request, backend)) {
		case PERMIT_GRANTED:
			request_send(request, backend);
			return;
		case PERMIT_PENDING:
			request_arm_timer(request);
			return;
		case PERMIT_DENIED:
			break;
		}
		backend = choose_backend(request);
	}
	request_refuse_limited(request);
}

static const char *
attempt_result_name(enum attempt_result result)
{
	static const char *const names[] = {
	    [ATTEMPT_COMPLETED] = "answered",
	    [ATTEMPT_UNREACHABLE] = "unreachable",
	    [ATTEMPT_DECLINED] = "declined",
	    [ATTEMPT_BROKEN] = "broken",
	    [ATTEMPT_TIMED_OUT] = "silent",
	};

	return names[result];
}

static void
trace_failed_attempt(
    struct request *request, enum attempt_result result, const char *why)
{
	static const enum retry_reason reasons[] = {
	    [ATTEMPT_UNREACHABLE] = RETRY_CONNECT_FAILED,
	    [ATTEMPT_DECLINED] = RETRY_SERVER_BUSY,
	    [ATTEMPT_BROKEN] = RETRY_SERVER_DISCONNECTED,
	    [ATTEMPT_TIMED_OUT] = RETRY_TIMEOUT,
	};
	struct trace trace;

	request->gateway->counters.attempt_failures[reasons[result]]++;
	trace_begin(&trace, "attempt_failed");
	trace_text(&trace, "request", request->attributes.request_id);
	trace_text(&trace, "server", request->last_backend);
	trace_text(&trace, "result", attempt_result_name(result));
	trace_text(&trace, "why", why);
	trace_text(
	    &trace, "connection", request->kept_connection ? "kept" : "new");
	trace_body_end(&trace, request);
	trace_ms(
	    &trace, "left_ms", request->deadline_us - clock_monotonic_us());
	if (result == ATTEMPT_BROKEN || result == ATTEMPT_TIMED_OUT)
		trace_hash(&trace, "fingerprint", request->fingerprint);
	trace_end(&trace);
}

void
request_attempt_ended(
    struct request *request, enum attempt_result result, const char *why)
{
	bool may_try_another = request->tried_count < BACKEND_TRIED_MAX;

	request->state = REQUEST_WAITING;
	if (result != ATTEMPT_COMPLETED)
		trace_failed_attempt(request, result, why);
	switch (result) {
	case ATTEMPT_COMPLETED:
		request->body_ended_us = clock_monotonic_us();
		request->state = REQUEST_COMMITTING;
		if (request->turn != NULL)
			turn_commit(request);
		else
			request_complete(request);
		return;
	case ATTEMPT_UNREACHABLE:
		request->unreachable_count++;
		if (may_try_another)
			request_dispatch(request);
		else if (request->possible_executions > 0)
			request_fail(request, REFUSAL_SERVER_FAILED, why);
		else
			request_refuse(request, REFUSAL_NO_SERVER,
			    RETRY_AFTER_NO_SERVER_US, why);
		return;
	case ATTEMPT_DECLINED:
		request->declined_count++;
		if (may_try_another && request->declined_count < DECLINED_MAX)
			request_dispatch(request);
		else if (request->possible_executions > 0)
			request_fail(request, REFUSAL_SERVER_REFUSED, why);
		else
			request_refuse(request, REFUSAL_OVERLOADED,
			    RETRY_AFTER_DECLINED_US, why);
		return;
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
		request->possible_executions++;
		if (!request->response_started && may_run_again(request))
			request_dispatch(request);
		else
			request_fail(request, REFUSAL_SERVER_FAILED, why);
		return;
	}
}

void
request_handle_lost_response(struct request *request)
{
	request->state = REQUEST_WAITING;
	/* The other gateway may have used all attempts of the route. */
	request->possible_executions += request->route->max_attempts;
	request_fail(
	    request, REFUSAL_SERVER_FAILED, "response of another gateway lost");
}

static struct request *
request_create(struct gateway *gateway, struct h1_exchange *exchange)
{
	struct request *request = xcalloc(1, sizeof(*request));

	request->gateway = gateway;
	request->exchange = exchange;
	request->received_us = h1_exchange_received_us(exchange);
	request->deadline_us = INT64_MAX;
	if (gateway->blackboard.config != NULL)
		request->config =
		    gateway_config_ref(gateway->blackboard.config);
	request->timer = xcalloc(1, sizeof(*request->timer));
	uv_timer_init(&gateway->loop, request->timer);
	request->timer->data = request;
	list_append(&gateway->requests, &request->link);
	h1_exchange_on_close(exchange, handle_caller_gone, request);
	gateway->counters.requests_total++;
	return request;
}

/* Returns the hash that selects a target of the route. It is equal for all
 * requests of a program, so they go to the same service as long as the weights
 * do not change. */
static uint64_t
routing_hash(const struct attributes *attributes)
{
	return hash_text(attributes->program[0] != '\0'
		? attributes->program
		: attributes->request_id,
	    0);
}

const struct route *
request_route_in(
    const struct gateway_config *config, const struct h1_head *head)
{
	const char *host = h1_headers_find(&head->headers, "host");
	const char *target = (const char *)head->target.data;
	char path[2048];

	snprintf(path, sizeof(path), "%.*s", (int)strcspn(target, "?"), target);
	return gateway_config_find_route(config, host, path);
}

static bool
request_find_route(struct request *request, const struct h1_head *head)
{
	const struct route_target *service;

	request->route = request_route_in(request->config, head);
	if (request->route == NULL)
		return false;
	service = route_choose_target(
	    request->route, routing_hash(&request->attributes));
	if (service != NULL)
		memcpy(request->service, service->service,
		    sizeof(request->service));
	return true;
}

static void
request_set_deadline(struct request *request)
{
	int64_t wait_us = request->route->timeout_us;

	if (request->attributes.has_timeout &&
	    request->attributes.timeout_us < wait_us)
		wait_us = request->attributes.timeout_us;
	request->deadline_us = request->received_us + wait_us;
}

static uint64_t
fingerprint_of(const struct request *request, const char *caller)
{
	const struct h1_head *head = h1_exchange_head(request->exchange);
	uint64_t hash = hash_text(caller, 0);

	hash = hash_text(head->method, hash);
	hash = hash_text((const char *)head->target.data, hash);
	return hash_bytes(request->body.data, request->body.len, hash);
}

static bool
is_turn(const struct request *request)
{
	return request->route->kind == ROUTE_STREAM &&
	    (request->route->retained || request->attributes.has_budget);
}

uint32_t
request_priority(const struct request *request)
{
	if (request->workspace != NULL && request->workspace->has_priority)
		return request->workspace->priority;
	return request->route->priority;
}

void
request_handle_here(struct request *request)
{
	stage_run(request);
}

void
request_begin(struct request *request)
{
	if (is_turn(request))
		turn_begin(request);
	else
		request_dispatch(request);
}

/* Finds the route of a request and prepares it to be handled. Returns false if
 * it was refused. */
static bool
request_prepare(struct request *request, const char *caller)
{
	struct gateway *gateway = request->gateway;
	const struct h1_head *head = h1_exchange_head(request->exchange);
	struct error err = {0};

	if (!platform_request_decode(
		&head->headers, &request->attributes, &err)) {
		request_respond_error(request, REFUSAL_MALFORMED,
		    EXECUTION_NOT_STARTED, 0, err.text);
		return false;
	}
	if (gateway->blackboard.grace_ended) {
		request_refuse(
		    request, REFUSAL_DRAINING, RETRY_AFTER_STOPPED_US, NULL);
		return false;
	}
	if (request->config == NULL) {
		request_refuse(
		    request, REFUSAL_NO_CONFIG, RETRY_AFTER_NO_CONFIG_US, NULL);
		return false;
	}
	if (!request_find_route(request, head)) {
		if (workspaces_other_version_may_allow(request))
			request_refuse(request, REFUSAL_STALE_CONFIG,
			    RETRY_AFTER_NO_CONFIG_US, NULL);
		else
			request_refuse(request, REFUSAL_UNKNOWN_ROUTE, 0, NULL);
		return false;
	}
	if (!workspaces_identify(request))
		return false;
	request_set_deadline(request);
	request->events.collect_data = request->route->retained;
	request->body = h1_exchange_take_body(request->exchange);
	request->fingerprint = fingerprint_of(request, caller);
	switch (quarantine_judge(gateway->quarantine, request->fingerprint)) {
	case QUARANTINE_SEND:
	case QUARANTINE_ONE_AT_A_TIME:
		return true;
	case QUARANTINE_HOLD:
		hold_in_quarantine(request);
		return false;
	case QUARANTINE_REFUSE:
		break;
	}
	request->is_trial =
	    quarantine_take_trial(gateway->quarantine, request->fingerprint);
	if (request->is_trial)
		return true;
	refuse_in_quarantine(request);
	return false;
}

void
request_handle_from(struct gateway *gateway, struct h1_exchange *exchange,
    const struct request_origin *origin)
{
	struct request *request = request_create(gateway, exchange);

	request->relayed = origin->relayed;
	request->possible_executions = origin->possible_executions;
	if (origin->vm != NULL)
		snprintf(request->relayed_by, NAME_BYTES, "%.63s", origin->vm);
	if (!request_prepare(request,
		origin->caller != NULL ? origin->caller
				       : h1_exchange_remote_address(exchange)))
		return;
	if (!relay_start(request))
		request_handle_here(request);
}

void
request_handle(void *context, struct h1_exchange *exchange)
{
	const struct request_origin origin = {0};

	request_handle_from(context, exchange, &origin);
}
