#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "dispatch/run_end.h"
#include "gateway/path_watch.h"
#include "gateway/quarantine.h"
#include "gateway/relay.h"
#include "gateway/request.h"
#include "gateway/urgency.h"

enum {
	/* Connecting to another region takes a few milliseconds. */
	CONNECT_TIMEOUT_US = 400 * US_PER_MS,
	/* While it is in doubt whether any server can be reached. */
	DOUBTFUL_CONNECT_TIMEOUT_US = 150 * US_PER_MS,
	/* Open connections that were idle for longer are not reused. The limit
	 * is low for requests that must not run twice: they could not be
	 * repeated if the server was just closing an idle connection. */
	MAX_IDLE_ONCE_US = 1500 * US_PER_MS,
	MAX_IDLE_SAFE_US = 10 * US_PER_S,
	/* Longer response bodies are forwarded before they are complete. */
	BUFFERED_BODY_MAX_BYTES = 64 << 10,
	/* A longer body that is not passed on ends the attempt. Error pages are
	 * shorter. */
	DISCARDED_BODY_MAX_BYTES = 64 << 10,
	/* Wait for the rest of a response whose head tells that the request was
	 * not executed. */
	DECLINED_BODY_US = 100 * US_PER_MS,
	/* A longer event counts as bytes without end. */
	EVENT_MAX_BYTES = 256 << 10,
	/* Data of a retained turn, many times what a turn generates. */
	TURN_DATA_MAX_BYTES = 1 << 20,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
};

static void
forward_free(struct request *request)
{
	struct forward *attempt = request->attempt;

	request->attempt = NULL;
	quarantine_run_ended(request->gateway->quarantine, &attempt->run);
	backend_request_ended(
	    &request->gateway->blackboard.backends, attempt->backend);
	h1_headers_reset(&attempt->headers);
	buf_reset(&attempt->body);
	free(attempt);
}

static struct server_start
server_start_of(const struct forward *attempt)
{
	return (struct server_start){
	    .server = attempt->backend->hash,
	    .started_wall_ms = attempt->server_started_wall_ms,
	};
}

void
forward_cancel(struct request *request)
{
	static const struct run_break closed_here;
	const struct forward *attempt = request->attempt;

	if (attempt->call != NULL && h1_call_sent(attempt->call) &&
	    !attempt->response.not_executed)
		quarantine_run_unfinished(request->gateway->quarantine,
		    &request->attempt->run, &closed_here);
	if (attempt->call != NULL)
		h1_call_cancel(attempt->call);
	forward_free(request);
}

static bool
is_success(const struct forward *attempt)
{
	return attempt->response.status / 100 == 2;
}

static bool
is_stream(const struct request *request)
{
	return request->route->kind == ROUTE_STREAM &&
	    is_success(request->attempt);
}

static void
begin_response(struct request *request, int64_t length)
{
	struct forward *attempt = request->attempt;

	relay_add_server(request, &attempt->headers);
	request->response_started = true;
	request->status = attempt->response.status;
	request->state = REQUEST_RESPONDING;
	h1_respond_begin(request->exchange, attempt->response.status,
	    &attempt->headers, length);
}

/* Forwards complete events only, so that a stream that breaks off can continue
 * at another server without a partial event in between. */
static void
send_events(struct request *request, const void *data, size_t len)
{
	struct event_stream *events = &request->events;
	size_t complete_len = event_stream_feed(events, data, len);
	struct buf out = {0};

	if (events->pending.len - complete_len > EVENT_MAX_BYTES ||
	    events->data.len > TURN_DATA_MAX_BYTES) {
		forward_cancel(request);
		request_attempt_ended(
		    request, ATTEMPT_BROKEN, "event or turn without end");
		return;
	}
	if (complete_len == 0)
		return;
	if (request->attempt->first_event_us == 0)
		request->attempt->first_event_us = clock_monotonic_us();
	buf_append(&out, events->pending.data, complete_len);
	event_stream_consume(events, complete_len);
	request_send_body(request, out.data, out.len);
	buf_reset(&out);
}

/* A status that promises callers that the request has not run. */
static bool
promises_no_run(int status)
{
	return status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE ||
	    status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED;
}

static bool
response_is_acceptable(const struct request *request)
{
	const struct backend_response *response = &request->attempt->response;

	return response->matches_request && response->has_signature &&
	    !response->not_executed && !promises_no_run(response->status);
}

/* Ends an attempt whose response is not passed on and has no end in sight. */
static void
end_discarded(struct request *request)
{
	bool declined = request->attempt->response.not_executed;

	forward_cancel(request);
	request_attempt_ended(request,
	    declined ? ATTEMPT_DECLINED : ATTEMPT_BROKEN,
	    "body without end in a response that is not passed on");
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct request *request = context;
	struct forward *attempt = request->attempt;

	reach_handle_bytes(
	    &request->gateway->blackboard.reach, clock_monotonic_us());
	if (!response_is_acceptable(request)) {
		attempt->discarded_bytes += len;
		if (attempt->discarded_bytes > DISCARDED_BODY_MAX_BYTES)
			end_discarded(request);
		return;
	}
	if (is_stream(request)) {
		send_events(request, data, len);
		return;
	}
	if (request->response_started) {
		request_send_body(request, data, len);
		return;
	}
	buf_append(&attempt->body, data, len);
	if (attempt->body.len > BUFFERED_BODY_MAX_BYTES) {
		begin_response(request, attempt->content_length);
		request_send_body(
		    request, attempt->body.data, attempt->body.len);
	}
}

static int64_t
content_length(const struct h1_headers *headers)
{
	const char *value = h1_headers_find(headers, "content-length");

	return value == NULL ? -1 : (int64_t)strtoll(value, NULL, 10);
}

/* Returns whether the response is known to be from the server that the request
 * was sent to. Declined requests have no signature. */
static bool
response_is_from_server(const struct backend_response *response)
{
	return response->matches_request && !response->misdirected &&
	    (response->has_signature || response->not_executed);
}

static void
mark_server_if_leaving(const struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct forward *attempt = request->attempt;
	struct trace trace;

	if (!attempt->response.server_leaving ||
	    !response_is_from_server(&attempt->response) ||
	    !backends_mark_leaving(&gateway->blackboard.backends,
		request->last_backend, attempt->server_started_wall_ms))
		return;
	gateway->counters.servers_leaving_total++;
	trace_begin(&trace, "server_leaving");
	trace_text(&trace, "server", request->last_backend);
	trace_number(&trace, "started_ms", attempt->server_started_wall_ms);
	trace_text(&trace, "request", request->attributes.request_id);
	trace_number(&trace, "status", attempt->response.status);
	trace_end(&trace);
}

static void
learn_limit(const struct request *request)
{
	const struct forward *attempt = request->attempt;
	const struct server_start start = server_start_of(attempt);

	if (response_is_from_server(&attempt->response))
		server_limits_handle_response(request->gateway->server_limits,
		    &start, &attempt->response, attempt->started_us,
		    request->attributes.request_id);
}

static void
note_server_alive(const struct request *request)
{
	const struct forward *attempt = request->attempt;
	const struct server_start start = server_start_of(attempt);

	if (response_is_from_server(&attempt->response))
		quarantine_handle_response(
		    request->gateway->quarantine, &start, attempt->started_us);
}

/* Only a response on a new connection shows that servers can be reached: kept
 * ones may live on while new ones are cut off. */
static void
note_server_reached(const struct request *request)
{
	struct gateway *gateway = request->gateway;

	reach_handle_bytes(&gateway->blackboard.reach, clock_monotonic_us());
	if (!h1_call_reuses_connection(request->attempt->call))
		path_watch_handle_reached(gateway->path_watch);
}

/* A response without an id on a connection that an earlier request has used may
 * be a further response to that one. It doesn't tell that this request has not
 * run. */
static void
distrust_unnamed_refusal(struct forward *attempt, bool has_request_id)
{
	if (!has_request_id && h1_call_reuses_connection(attempt->call))
		attempt->response.not_executed = false;
}

static void
limit_declined_body(struct request *request)
{
	request->attempt->response_deadline_us =
	    clock_monotonic_us() + DECLINED_BODY_US;
	request_arm_timer(request);
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct request *request = context;
	struct forward *attempt = request->attempt;
	bool has_request_id = platform_response_has_request_id(head);

	note_server_reached(request);
	platform_response_decode(
	    head, request->attributes.request_id, &attempt->response);
	/* Skips a late response to an earlier request on this connection. */
	if (has_request_id && !attempt->response.matches_request)
		return H1_HEAD_SKIP;
	distrust_unnamed_refusal(attempt, has_request_id);
	attempt->head_received = true;
	quarantine_run_responded(&attempt->run);
	request->stated_limit = attempt->response.limit;
	mark_server_if_leaving(request);
	learn_limit(request);
	note_server_alive(request);
	attempt->content_length = content_length(&head->headers);
	if (!response_is_acceptable(request)) {
		h1_call_discard_connection(attempt->call);
		if (attempt->response.not_executed)
			limit_declined_body(request);
		return H1_HEAD_ACCEPT;
	}
	h1_headers_copy_end_to_end(&head->headers, &attempt->headers);
	if (is_stream(request) && !request->response_started)
		begin_response(request, H1_LENGTH_CHUNKED);
	return H1_HEAD_ACCEPT;
}

/* Returns how a stream broke off although its HTTP message is complete, or
 * NULL. */
static const char *
stream_break(const struct request *request, const struct h1_outcome *outcome)
{
	const struct event_stream *events = &request->events;

	if (outcome->result != H1_COMPLETE || !is_stream(request))
		return NULL;
	if (event_stream_in_event(events))
		return "stream ended inside an event";
	if (outcome->body_end == H1_BODY_END_CONNECTION &&
	    events->event_count == request->attempt->prior_event_count)
		return "connection closed before the first event";
	return NULL;
}

static const char *
attempt_broken_reason(
    const struct request *request, const struct h1_outcome *outcome)
{
	const char *reason = stream_break(request, outcome);

	if (reason != NULL)
		return reason;
	switch (outcome->result) {
	case H1_MALFORMED:
		return "malformed response";
	case H1_CONNECTION_LOST:
		return outcome->reset ? "connection reset"
				      : "connection closed";
	case H1_COMPLETE:
	case H1_CONNECT_FAILED:
		break;
	}
	if (promises_no_run(request->attempt->response.status))
		return "refusal that does not say not executed";
	return "answer of no server";
}

/* Returns whether the server may have crashed while it responded. */
static bool
response_broke_off(
    const struct request *request, const struct h1_outcome *outcome)
{
	return outcome->result == H1_CONNECTION_LOST ||
	    stream_break(request, outcome) != NULL;
}

/* Returns whether the server failed. A 504 may come from the request's own
 * deadline. */
static bool
is_own_error(const struct request *request, const struct h1_outcome *outcome)
{
	const struct backend_response *response = &request->attempt->response;

	return outcome->result == H1_COMPLETE && !response->not_executed &&
	    response->status >= 500 && response->status != STATUS_TIMEOUT;
}

static bool
should_retry_server_error(const struct request *request)
{
	return request->route->kind == ROUTE_SAFE &&
	    request->attempt->response.status >= 500 &&
	    request->possible_executions + 1 < request->route->max_attempts;
}

static void
update_backend_statistics(struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct forward *attempt = request->attempt;
	int64_t now_us = clock_monotonic_us();
	uint64_t events =
	    request->events.event_count - attempt->prior_event_count;
	const struct service *service =
	    gateway_config_find_service(request->config, request->service);
	struct backend_stream stream = {
	    .uncached_tokens = attempt->uncached_tokens,
	    .load = attempt->server_load,
	    .first_event_us = attempt->first_event_us - attempt->started_us,
	    .generation_us = now_us - attempt->first_event_us,
	    .ended_us = now_us,
	};
	const struct backend_response_time response = {
	    .load = attempt->server_load,
	    .elapsed_us =
		affinity_neutral_us(&gateway->blackboard.backends.affinity,
		    &attempt->affinity, now_us - attempt->started_us),
	    .ended_us = now_us,
	};

	/* Errors tell nothing of how fast a server works. */
	if (!is_success(attempt))
		return;
	affinity_learn(&gateway->blackboard.backends.affinity,
	    &attempt->affinity, now_us - attempt->started_us);
	if (!is_stream(request)) {
		backend_response_completed(
		    &gateway->blackboard.backends, attempt->backend, &response);
		return;
	}
	if (attempt->first_event_us == 0)
		return;
	if (events > 1 && service != NULL)
		stream.tokens = (events - 1) * service->tokens_per_event;
	backend_stream_completed(
	    &gateway->blackboard.backends, attempt->backend, &stream);
}

static void
finish_response(struct request *request)
{
	struct forward *attempt = request->attempt;
	struct event_stream *events = &request->events;

	update_backend_statistics(request);
	urgency_handle_completed(request);
	if (is_stream(request)) {
		/* Comments after the last event belong to the body. */
		if (events->pending.len > 0)
			h1_respond_data(request->exchange, events->pending.data,
			    events->pending.len);
	} else if (!request->response_started) {
		begin_response(request, (int64_t)attempt->body.len);
		h1_respond_data(
		    request->exchange, attempt->body.data, attempt->body.len);
	}
	forward_free(request);
	request_attempt_ended(request, ATTEMPT_COMPLETED, NULL);
}

static void
note_completed(const struct request *request)
{
	const struct quarantine_response response = {
	    .request = request->attributes.request_id,
	    .server = request->last_backend,
	    .status = request->attempt->response.status,
	    .body_end = h1_body_end_name(request->body_end),
	};

	quarantine_handle_completed(
	    request->gateway->quarantine, request->fingerprint, &response);
}

/* Notes what the end of the attempt shows about the request. */
static void
note_run_end(const struct request *request, const struct h1_outcome *outcome)
{
	struct forward *attempt = request->attempt;
	const struct backend_response *response = &attempt->response;
	const struct run_outcome run = {
	    .whole = outcome->result == H1_COMPLETE && attempt->head_received &&
		stream_break(request, outcome) == NULL,
	    .delimited = outcome->body_end != H1_BODY_END_CONNECTION,
	    .from_server = response->matches_request && response->has_signature,
	    .not_executed = response->not_executed,
	    .status = response->status,
	};

	const struct run_break how = {
	    .broken = !run.whole || !run.delimited,
	    .answered = run.whole,
	};

	switch (run_end_of(&run)) {
	case RUN_END_NOT_RUN:
	case RUN_END_REJECTED:
		return;
	case RUN_END_COMPLETED:
		note_completed(request);
		return;
	case RUN_END_UNFINISHED:
		quarantine_run_unfinished(
		    request->gateway->quarantine, &attempt->run, &how);
		return;
	}
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct request *request = context;
	struct gateway *gateway = request->gateway;
	struct forward *attempt = request->attempt;
	int64_t now_us = clock_monotonic_us();
	const char *reason;

	attempt->call = NULL;
	request->body_end = outcome->body_end;
	request->response_fault = outcome->fault;
	request->kept_connection = outcome->reused;
	request->unfinished_event_bytes = request->events.pending.len;
	if (outcome->result == H1_CONNECT_FAILED) {
		backend_failed(attempt->backend, now_us);
		path_watch_handle_failure(
		    gateway->path_watch, attempt->backend);
		if (outcome->refused) {
			const struct server_start start =
			    server_start_of(attempt);

			quarantine_handle_refused(gateway->quarantine, &start);
		}
		forward_free(request);
		request_attempt_ended(request, ATTEMPT_UNREACHABLE,
		    outcome->refused ? "connection refused"
				     : "no connection in time");
		return;
	}
	note_run_end(request, outcome);
	if (is_own_error(request, outcome))
		backend_failed(attempt->backend, now_us);
	if (outcome->result == H1_COMPLETE && attempt->head_received) {
		if (attempt->response.not_executed) {
			forward_free(request);
			request_attempt_ended(
			    request, ATTEMPT_DECLINED, "server declined");
			return;
		}
		if (response_is_acceptable(request) &&
		    stream_break(request, outcome) == NULL &&
		    !should_retry_server_error(request)) {
			finish_response(request);
			return;
		}
	}
	if (response_broke_off(request, outcome)) {
		backend_failed(attempt->backend, now_us);
		path_watch_handle_failure(
		    gateway->path_watch, attempt->backend);
	}
	reason = attempt_broken_reason(request, outcome);
	forward_free(request);
	request_attempt_ended(request, ATTEMPT_BROKEN, reason);
}

static int64_t
max_reuse_us(const struct request *request)
{
	return request->route->kind == ROUTE_SAFE ? MAX_IDLE_SAFE_US
						  : MAX_IDLE_ONCE_US;
}

void
forward_start(struct request *request, struct backend *backend,
    const struct backend_request *criteria)
{
	struct backends *backends = &request->gateway->blackboard.backends;
	const struct h1_head *head = h1_exchange_head(request->exchange);
	bool is_doubtful = reach_needs_new_connection(
	    &request->gateway->blackboard.reach, clock_monotonic_us());
	struct forward *attempt = xcalloc(1, sizeof(*attempt));
	int64_t now_us = clock_monotonic_us();
	const struct forward_fields fields = {
	    .remaining_us = request->deadline_us - now_us,
	    .backend = backend->entry.id,
	    .urgency = urgency_of(request),
	    .has_workspaces = request->config->has_workspaces,
	    .workspace =
		request->workspace != NULL ? request->workspace->name : NULL,
	};
	struct server_start start;
	struct h1_headers headers = {0};
	struct h1_call_params params = {
	    .address = backend->entry.address,
	    .method = head->method,
	    .target = (const char *)head->target.data,
	    .headers = &headers,
	    .body = request->body.data,
	    .body_len = request->body.len,
	    .connect_timeout_us =
		is_doubtful ? DOUBTFUL_CONNECT_TIMEOUT_US : CONNECT_TIMEOUT_US,
	    .max_reuse_us = is_doubtful ? 0 : max_reuse_us(request),
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = request,
	};

	attempt->backend = backend;
	attempt->started_us = now_us;
	attempt->server_started_wall_ms = backend->entry.started_wall_ms;
	request->attempt = attempt;
	attempt->uncached_tokens =
	    backend_uncached_tokens(backends, backend, criteria);
	attempt->affinity =
	    backend_affinity_sample(backends, backend, criteria, now_us);
	attempt->server_load = backend_load(backend);
	attempt->prior_event_count = request->events.event_count;
	backend_request_started(backends, backend, criteria, now_us);
	request->gateway->counters.attempts_total++;
	start = server_start_of(attempt);
	quarantine_run_began(request->gateway->quarantine, &attempt->run,
	    request->fingerprint, &start, now_us);
	platform_request_forward(&head->headers, &fields, &headers);
	attempt->call = h1_call_start(request->gateway->http_client, &params);
	h1_headers_reset(&headers);
}
