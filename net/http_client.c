#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "net/internal.h"

enum {
	CALL_TIMEOUT_S = 30,
	/* A timer that fires later than this shows that the process was
	 * paused. */
	LATE_US = 100 * US_PER_MS,
	LATE_EXTENSION_MS = 200,
	FETCH_MAX_BYTES = 16 << 20,
};

/** Collected response of an http_fetch(). */
struct fetch {
	struct buf body;
	http_fetch_done done;
	void *context;
	bool too_large;
	char location[2 * HTTP_PATH_BYTES]; /**< target of a redirect */
};

struct http_call {
	struct list link; /**< in net.calls */
	struct net *net;
	struct h1_call *h1;
	uv_timer_t *timer;
	uint64_t timeout_ms;
	int64_t max_until_us; /**< when the call ends in any case */
	int64_t due_us;       /**< when the timer should fire */
	bool late; /**< the timer fired late once; see handle_timer() */
	int status;
	char location[2 * HTTP_PATH_BYTES]; /**< target of a redirect, or "" */
	struct fetch *fetch;                /**< for http_fetch(); else NULL */
	struct http_call_params callbacks;
};

const char *
http_result_name(enum http_result result)
{
	static const char *const names[] = {
	    [HTTP_RESULT_OK] = "ok",
	    [HTTP_RESULT_CONNECT_FAILED] = "connect_failed",
	    [HTTP_RESULT_CONNECTION_LOST] = "cut",
	    [HTTP_RESULT_TIMEOUT] = "timeout",
	    [HTTP_RESULT_TOO_LARGE] = "too_large",
	    [HTTP_RESULT_CANCELLED] = "cancelled",
	};

	return names[result];
}

static const char *
method_name(enum http_method method)
{
	switch (method) {
	case HTTP_POST:
		return "POST";
	case HTTP_PUT:
		return "PUT";
	case HTTP_DELETE:
		return "DELETE";
	default:
		return "GET";
	}
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
call_free(struct http_call *call)
{
	list_remove(&call->link);
	uv_close((uv_handle_t *)call->timer, handle_timer_closed);
	free(call);
}

/* Ends a call whose HTTP call has ended or is cancelled. */
static void
call_finish(struct http_call *call, enum http_result result)
{
	void (*on_done)(void *, enum http_result, int) =
	    call->callbacks.on_done;
	void *context = call->callbacks.context;
	int status = call->status;

	if (call->fetch != NULL)
		memcpy(call->fetch->location, call->location,
		    sizeof(call->location));
	call_free(call);
	on_done(context, result, status);
}

static void
handle_timer(uv_timer_t *timer)
{
	struct http_call *call = timer->data;
	bool sent = h1_call_sent(call->h1);

	/* After a pause of the process, the response may already be in the
	 * socket, so the timeout is extended once. */
	if (!call->late && clock_monotonic_us() - call->due_us > LATE_US) {
		call->late = true;
		uv_timer_start(timer, handle_timer, LATE_EXTENSION_MS, 0);
		return;
	}
	h1_call_cancel(call->h1);
	call_finish(
	    call, sent ? HTTP_RESULT_TIMEOUT : HTTP_RESULT_CONNECT_FAILED);
}

static void
restart_timer(struct http_call *call)
{
	int64_t now_us = clock_monotonic_us();
	int64_t wait_us = (int64_t)call->timeout_ms * US_PER_MS;

	if (call->max_until_us - now_us < wait_us)
		wait_us = call->max_until_us - now_us;
	if (wait_us < 0)
		wait_us = 0;
	call->late = false;
	call->due_us = now_us + wait_us;
	uv_timer_start(
	    call->timer, handle_timer, (uint64_t)(wait_us / US_PER_MS), 0);
}

void
http_call_progress(struct http_call *call)
{
	restart_timer(call);
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct http_call *call = context;
	const char *location = h1_headers_find(&head->headers, "location");

	if (!call->callbacks.reports_progress)
		restart_timer(call);
	call->status = head->status;
	if (head->status / 100 == 3 && location != NULL)
		snprintf(
		    call->location, sizeof(call->location), "%s", location);
	h1_call_discard_connection(call->h1);
	return H1_HEAD_ACCEPT;
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct http_call *call = context;

	if (!call->callbacks.reports_progress)
		restart_timer(call);
	/* The body of a redirect is omitted. */
	if (call->callbacks.on_data != NULL && call->location[0] == '\0')
		call->callbacks.on_data(
		    call->callbacks.context, call->status, data, len);
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	switch (outcome->result) {
	case H1_COMPLETE:
		call_finish(context, HTTP_RESULT_OK);
		return;
	case H1_CONNECT_FAILED:
		call_finish(context, HTTP_RESULT_CONNECT_FAILED);
		return;
	case H1_CONNECTION_LOST:
	case H1_MALFORMED:
		call_finish(context, HTTP_RESULT_CONNECTION_LOST);
		return;
	}
}

struct http_call *
http_call_start(struct net *net, const struct http_call_params *params)
{
	struct http_call *call = xcalloc(1, sizeof(*call));
	const struct http_header *header = params->headers;
	char address[H1_ADDRESS_BYTES];
	struct h1_headers headers = {0};
	struct h1_call_params h1_params = {
	    .address = address,
	    .method = method_name(params->method),
	    .target = params->path,
	    .headers = &headers,
	    .body = params->body,
	    .body_len = params->body_len,
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = call,
	};

	call->net = net;
	call->callbacks = *params;
	list_append(&net->calls, &call->link);
	call->timeout_ms = params->timeout_us > 0
	    ? (uint64_t)(params->timeout_us / US_PER_MS) + 1
	    : (uint64_t)CALL_TIMEOUT_S * MS_PER_S;
	h1_params.connect_timeout_us = (int64_t)call->timeout_ms * US_PER_MS;
	call->max_until_us = params->max_us > 0
	    ? clock_monotonic_us() + params->max_us
	    : INT64_MAX;
	call->timer = xcalloc(1, sizeof(*call->timer));
	uv_timer_init(net->loop, call->timer);
	call->timer->data = call;
	/* The loop's cached time is stale when its callbacks have run long. */
	uv_update_time(net->loop);
	restart_timer(call);
	snprintf(
	    address, sizeof(address), "%s:%d", params->address, params->port);
	for (; header != NULL && header->name != NULL; header++)
		h1_headers_add(&headers, header->name, header->value);
	call->h1 = h1_call_start(net->client, &h1_params);
	h1_headers_reset(&headers);
	return call;
}

static void
fetch_free(struct fetch *fetch)
{
	buf_reset(&fetch->body);
	free(fetch);
}

void
http_call_cancel(struct http_call *call)
{
	if (call->fetch != NULL)
		fetch_free(call->fetch);
	h1_call_cancel(call->h1);
	call_free(call);
}

void
http_client_cancel_all(struct net *net)
{
	list_for_each_safe (call, tmp, &net->calls, struct http_call, link) {
		h1_call_cancel(call->h1);
		call_finish(call, HTTP_RESULT_CANCELLED);
	}
}

static void
handle_fetch_data(void *context, int status, const uint8_t *data, size_t len)
{
	struct fetch *fetch = context;

	(void)status;
	if (!buf_append(&fetch->body, data, len))
		fetch->too_large = true;
}

static void
handle_fetch_done(void *context, enum http_result result, int status)
{
	struct fetch *fetch = context;
	struct http_response response = {
	    .result = fetch->too_large ? HTTP_RESULT_TOO_LARGE : result,
	    .status = status,
	    .body_len = fetch->body.len,
	    .location = fetch->location,
	};

	response.body = (const uint8_t *)buf_text(&fetch->body);
	fetch->done(fetch->context, &response);
	fetch_free(fetch);
}

struct http_call *
http_fetch(struct net *net, const struct http_call_params *params,
    http_fetch_done done, void *context)
{
	struct fetch *fetch = xcalloc(1, sizeof(*fetch));
	struct http_call_params fetch_params = *params;
	struct http_call *call;

	fetch->body.max = params->max_response_bytes > 0
	    ? params->max_response_bytes
	    : FETCH_MAX_BYTES;
	fetch->done = done;
	fetch->context = context;
	fetch_params.on_data = handle_fetch_data;
	fetch_params.on_done = handle_fetch_done;
	fetch_params.context = fetch;
	call = http_call_start(net, &fetch_params);
	call->fetch = fetch;
	return call;
}
