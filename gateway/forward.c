#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/quarantine.h"
#include "gateway/request.h"

enum {
	/* A new connection takes a handful of milliseconds between regions. */
	CONNECT_TIMEOUT_US = 400 * US_PER_MS,
	/* A request that may not run twice avoids connections that were unused
	 * for so long that their server may just have dropped them. */
	REUSE_ONCE_US = 1500 * US_PER_MS,
	REUSE_SAFE_US = 10 * US_PER_S,
	/* Longer bodies are passed on before they are whole. */
	WHOLE_BODY_BYTES = 64 << 10,
};

static void
forward_free(struct request *request)
{
	struct forward *attempt = request->attempt;

	request->attempt = NULL;
	backend_request_ended(
	    &request->gateway->blackboard.backends, attempt->backend);
	h1_headers_reset(&attempt->headers);
	buf_reset(&attempt->body);
	free(attempt);
}

void
forward_cancel(struct request *request)
{
	if (request->attempt->call != NULL)
		h1_call_cancel(request->attempt->call);
	forward_free(request);
}

/* ---- passing on ---- */

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

/* A caller that does not read is dropped. */
static void
pass_on(struct request *request, const void *data, size_t len)
{
	if (request->first_byte_us == 0) {
		request->first_byte_us = clock_monotonic_us();
		histogram_add(&request->gateway->counters.first_token_us,
		    request->first_byte_us - request->received_us);
	}
	if (!h1_respond_data(request->exchange, data, len))
		request_fail(
		    request, REFUSAL_CALLER_GONE, "caller reads too slowly");
}

static void
begin_answer(struct request *request, int64_t length)
{
	const struct forward *attempt = request->attempt;

	request->response_started = true;
	request->status = attempt->response.status;
	request->state = REQUEST_ANSWERING;
	h1_respond_begin(request->exchange, attempt->response.status,
	    &attempt->headers, length);
}

/* Events are passed on whole, so that a stream that breaks off can go on at
 * another server without a torn event in between. */
static void
pass_events(struct request *request, const void *data, size_t len)
{
	struct event_stream *events = &request->events;
	size_t whole = event_stream_feed(events, data, len);
	struct buf out = {0};

	if (whole == 0)
		return;
	if (request->attempt->first_event_us == 0)
		request->attempt->first_event_us = clock_monotonic_us();
	buf_append(&out, events->pending.data, whole);
	event_stream_consume(events, whole);
	pass_on(request, out.data, out.len);
	buf_reset(&out);
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct request *request = context;
	struct forward *attempt = request->attempt;

	if (attempt->response.not_run)
		return;
	if (is_stream(request)) {
		pass_events(request, data, len);
		return;
	}
	if (request->response_started) {
		pass_on(request, data, len);
		return;
	}
	buf_append(&attempt->body, data, len);
	if (attempt->body.len > WHOLE_BODY_BYTES) {
		begin_answer(request, attempt->length);
		pass_on(request, attempt->body.data, attempt->body.len);
	}
}

/* ---- the answer's head ---- */

static int64_t
content_length(const struct h1_headers *headers)
{
	const char *value = h1_headers_find(headers, "content-length");

	return value == NULL ? -1 : (int64_t)strtoll(value, NULL, 10);
}

static bool
may_take(const struct request *request)
{
	const struct backend_response *answer = &request->attempt->response;

	return answer->ours && answer->genuine && !answer->not_run;
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct request *request = context;
	struct forward *attempt = request->attempt;
	bool named = platform_response_has_request_id(head);

	platform_response_decode(
	    head, request->attributes.request_id, &attempt->response);
	/* An answer to another request, late; this one's is still to come. */
	if (named && !attempt->response.ours)
		return H1_HEAD_SKIP;
	attempt->head_received = true;
	attempt->length = content_length(&head->headers);
	if (!may_take(request)) {
		h1_call_discard_connection(attempt->call);
		return H1_HEAD_ACCEPT;
	}
	h1_headers_copy_end_to_end(&head->headers, &attempt->headers);
	if (is_stream(request) && !request->response_started)
		begin_answer(request, -1);
	return H1_HEAD_ACCEPT;
}

/* ---- the end ---- */

static const char *
broken_reason(const struct h1_outcome *outcome)
{
	switch (outcome->result) {
	case H1_MALFORMED:
		return "malformed answer";
	case H1_CONNECTION_LOST:
		return outcome->reset ? "connection reset"
				      : "connection closed";
	case H1_COMPLETE:
	case H1_CONNECT_FAILED:
		break;
	}
	return "answer of no server";
}

static bool
retry_server_error(const struct request *request)
{
	return request->route->kind == ROUTE_SAFE &&
	    request->attempt->response.status >= 500 &&
	    request->possible_executions + 1 < request->route->max_attempts;
}

static void
learn(struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct forward *attempt = request->attempt;
	int64_t now_us = clock_monotonic_us();
	uint64_t events = request->events.event_count - attempt->events_before;
	const struct service *service =
	    gateway_config_find_service(request->config, request->service);
	struct backend_stream stream = {
	    .uncached_tokens = attempt->uncached_tokens,
	    .load = attempt->load,
	    .first_us = attempt->first_event_us - attempt->started_us,
	    .rest_us = now_us - attempt->first_event_us,
	};

	if (!is_stream(request)) {
		backend_response_completed(
		    attempt->backend, now_us - attempt->started_us);
		return;
	}
	if (attempt->first_event_us == 0)
		return;
	if (events > 1 && service != NULL)
		stream.tokens = (events - 1) * service->tokens_per_event;
	backend_stream_completed(
	    &gateway->blackboard.backends, attempt->backend, &stream);
}

/* The answer is whole. */
static void
finish_answer(struct request *request)
{
	struct forward *attempt = request->attempt;
	struct event_stream *events = &request->events;

	learn(request);
	if (is_stream(request)) {
		/* What is left is no event, but part of the body. */
		if (events->pending.len > 0)
			h1_respond_data(request->exchange, events->pending.data,
			    events->pending.len);
	} else if (!request->response_started) {
		begin_answer(request, (int64_t)attempt->body.len);
		h1_respond_data(
		    request->exchange, attempt->body.data, attempt->body.len);
	}
	forward_free(request);
	request_attempt_ended(request, ATTEMPT_ANSWERED, NULL);
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct request *request = context;
	struct forward *attempt = request->attempt;
	int64_t now_us = clock_monotonic_us();

	attempt->call = NULL;
	if (outcome->result == H1_CONNECT_FAILED) {
		backend_connection_failed(attempt->backend, now_us);
		if (outcome->refused)
			quarantine_handle_server_end(
			    request->gateway->quarantine,
			    request->last_backend);
		forward_free(request);
		request_attempt_ended(request, ATTEMPT_UNREACHABLE,
		    outcome->refused ? "connection refused"
				     : "no connection in time");
		return;
	}
	if (outcome->result == H1_COMPLETE && attempt->head_received) {
		if (attempt->response.not_run) {
			forward_free(request);
			request_attempt_ended(
			    request, ATTEMPT_DECLINED, "server declined");
			return;
		}
		if (may_take(request) && !retry_server_error(request)) {
			finish_answer(request);
			return;
		}
	}
	if (outcome->result == H1_CONNECTION_LOST) {
		backend_connection_failed(attempt->backend, now_us);
		quarantine_add_broken_connection(request->gateway->quarantine,
		    request->fingerprint, attempt->backend);
	}
	forward_free(request);
	request_attempt_ended(request, ATTEMPT_BROKEN, broken_reason(outcome));
}

void
forward_start(struct request *request, struct backend *backend,
    const struct backend_request *wanted)
{
	struct backends *backends = &request->gateway->blackboard.backends;
	const struct h1_head *head = h1_exchange_head(request->exchange);
	struct forward *attempt = xcalloc(1, sizeof(*attempt));
	int64_t now_us = clock_monotonic_us();
	const struct forward_fields fields = {
	    .wait_us = request->deadline_us - now_us,
	    .backend = backend->entry.id,
	    .urgency = -1,
	};
	struct h1_headers headers = {0};
	struct h1_call_params params = {
	    .address = backend->entry.address,
	    .method = head->method,
	    .target = (const char *)head->target.data,
	    .headers = &headers,
	    .body = request->body.data,
	    .body_len = request->body.len,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .max_reuse_us = request->route->kind == ROUTE_SAFE ? REUSE_SAFE_US
							       : REUSE_ONCE_US,
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = request,
	};

	attempt->backend = backend;
	attempt->started_us = now_us;
	request->attempt = attempt;
	attempt->uncached_tokens =
	    backend_uncached_tokens(backends, backend, wanted);
	attempt->load = backend_load(backend);
	attempt->events_before = request->events.event_count;
	backend_request_started(backends, backend, wanted, now_us);
	request->gateway->counters.attempts_total++;
	platform_request_forward(&head->headers, &fields, &headers);
	attempt->call = h1_call_start(request->gateway->http_client, &params);
	h1_headers_reset(&headers);
}
