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
	/* Delay of handle_sent(), so that libwebsockets has returned from its
	 * callback. */
	SENT_DELAY_MS = 1,
	READ_CHUNK_BYTES = 4096,
	BODY_CHUNK_BYTES = 16384,
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
	struct list link;
	struct net *net;
	struct lws *wsi;
	char address[64];
	char path[HTTP_PATH_BYTES];
	enum http_method method;
	int port;
	bool tls;
	struct buf headers; /**< "name:" NUL value NUL ... */
	struct buf body;
	size_t body_sent;
	uv_timer_t *timer;
	uint64_t timeout_ms;
	int64_t due_us; /**< when the timer should fire */
	bool late;      /**< the timer fired late once; see handle_timer() */
	int status;
	bool sending;    /**< a byte of the request may have been sent */
	bool complete;   /**< the whole response has arrived */
	bool redirected; /**< the response is a redirect to location */
	char location[2 * HTTP_PATH_BYTES];
	bool ended;          /**< on_done has run, or the call was cancelled */
	struct fetch *fetch; /**< for http_fetch(); else NULL */
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
	buf_reset(&call->headers);
	buf_reset(&call->body);
	free(call);
}

/* Detaches the connection from the call and closes it. */
static void
call_detach(struct http_call *call)
{
	struct lws *wsi = call->wsi;

	call->wsi = NULL;
	if (wsi == NULL)
		return;
	lws_set_opaque_user_data(wsi, NULL);
	net_kill_connection(call->net, wsi);
}

static void
call_finish(struct http_call *call, enum http_result result)
{
	void (*on_done)(void *, enum http_result, int) =
	    call->callbacks.on_done;
	void *context = call->callbacks.context;
	int status = call->status;

	if (call->ended)
		return;
	call->ended = true;
	if (call->fetch != NULL)
		memcpy(call->fetch->location, call->location,
		    sizeof(call->location));
	call_detach(call);
	call_free(call);
	on_done(context, result, status);
}

/* Ends a call that has timed out, or that could not connect: on_done must not
 * run within http_call_start(). */
static void
handle_timer(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	/* After a pause of the process, the response may already be in the
	 * socket, so the timeout is extended once. */
	if (call->wsi != NULL && !call->late &&
	    clock_monotonic_us() - call->due_us > LATE_US) {
		call->late = true;
		uv_timer_start(timer, handle_timer, LATE_EXTENSION_MS, 0);
		return;
	}
	if (call->wsi == NULL)
		call_finish(call, HTTP_RESULT_CONNECT_FAILED);
	else
		call_finish(call,
		    call->sending ? HTTP_RESULT_TIMEOUT
				  : HTTP_RESULT_CONNECT_FAILED);
}

static void
restart_timer(struct http_call *call)
{
	call->late = false;
	call->due_us =
	    clock_monotonic_us() + (int64_t)call->timeout_ms * US_PER_MS;
	uv_timer_start(call->timer, handle_timer, call->timeout_ms, 0);
}

/* Disables the timeout of libwebsockets for the response. After a pause of the
 * process, that timeout would close the connection before the response in the
 * socket is read. */
static void
handle_sent(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (call->wsi != NULL)
		lws_set_timeout(call->wsi, NO_PENDING_TIMEOUT, 0);
	restart_timer(call);
}

static int
append_headers(
    struct http_call *call, struct lws *wsi, uint8_t **at, const uint8_t *end)
{
	const char *name = (const char *)call->headers.data;
	const char *stop = name + call->headers.len;
	char length[24];
	int len;

	call->sending = true;
	while (name < stop) {
		const char *value = name + strlen(name) + 1;

		if (lws_add_http_header_by_name(wsi, (const uint8_t *)name,
			(const uint8_t *)value, (int)strlen(value), at,
			(uint8_t *)end) != 0)
			return -1;
		name = value + strlen(value) + 1;
	}
	uv_timer_start(call->timer, handle_sent, SENT_DELAY_MS, 0);
	if (call->method != HTTP_POST && call->method != HTTP_PUT)
		return 0;
	len = snprintf(length, sizeof(length), "%zu", call->body.len);
	if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
		(const uint8_t *)length, len, at, (uint8_t *)end) != 0)
		return -1;
	if (call->body.len > 0) {
		lws_client_http_body_pending(wsi, 1);
		lws_callback_on_writable(wsi);
	}
	return 0;
}

static int
send_body(struct http_call *call, struct lws *wsi)
{
	uint8_t space[LWS_PRE + BODY_CHUNK_BYTES];
	size_t left = call->body.len - call->body_sent;
	size_t len = left < BODY_CHUNK_BYTES ? left : BODY_CHUNK_BYTES;
	bool last = len == left;

	if (left == 0)
		return 0;
	memcpy(space + LWS_PRE, call->body.data + call->body_sent, len);
	if (last)
		lws_client_http_body_pending(wsi, 0);
	if (lws_write(wsi, space + LWS_PRE, len,
		last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < (int)len)
		return -1;
	call->body_sent += len;
	if (!last) {
		lws_callback_on_writable(wsi);
		restart_timer(call);
		return 0;
	}
	uv_timer_start(call->timer, handle_sent, SENT_DELAY_MS, 0);
	return 0;
}

static int
read_response(struct lws *wsi)
{
	char space[LWS_PRE + READ_CHUNK_BYTES];
	char *at = space + LWS_PRE;
	int len = READ_CHUNK_BYTES;

	return lws_http_client_read(wsi, &at, &len) < 0 ? -1 : 0;
}

static int
handle_data(struct http_call *call, const void *data, size_t len)
{
	restart_timer(call);
	if (call->callbacks.on_data != NULL)
		call->callbacks.on_data(
		    call->callbacks.context, call->status, data, len);
	return 0;
}

int
http_client_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	struct http_call *call =
	    wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;

	(void)user;
	if (call == NULL) {
		/* Closes a connection whose call was cancelled or has ended. */
		return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
			reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE ||
			reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER
		    ? -1
		    : 0;
	}
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		return append_headers(call, wsi, in, *(uint8_t **)in + len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return send_body(call, wsi);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		call->status = (int)lws_http_client_http_response(wsi);
		restart_timer(call);
		return 0;
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_response(wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return handle_data(call, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		call->complete = true;
		call_finish(call, HTTP_RESULT_OK);
		return -1;
	case LWS_CALLBACK_CLIENT_HTTP_REDIRECT:
		/* Redirects are reported, not followed. */
		call->status = (int)len;
		call->redirected = true;
		snprintf(call->location, sizeof(call->location), "%s",
		    in != NULL ? (const char *)in : "");
		return -1;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
		/* This event may occur within http_call_start(), so the
		 * timer ends a call whose request was not sent. */
		call->wsi = NULL;
		lws_set_opaque_user_data(wsi, NULL);
		uv_timer_start(call->timer, handle_timer, 0, 0);
		if (call->sending)
			call_finish(call,
			    call->redirected ? HTTP_RESULT_OK
					     : HTTP_RESULT_CONNECTION_LOST);
		return 0;
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		call->wsi = NULL;
		lws_set_opaque_user_data(wsi, NULL);
		call_finish(call,
		    call->redirected ? HTTP_RESULT_OK
				     : HTTP_RESULT_CONNECTION_LOST);
		return 0;
	default:
		return 0;
	}
}

static void
copy_params(struct http_call *call, const struct http_call_params *params)
{
	const struct http_header *header = params->headers;

	call->callbacks = *params;
	call->method = params->method;
	call->port = params->port;
	call->tls = params->tls;
	snprintf(call->address, sizeof(call->address), "%s", params->address);
	snprintf(call->path, sizeof(call->path), "%s", params->path);
	for (; header != NULL && header->name != NULL; header++) {
		buf_printf(&call->headers, "%s:", header->name);
		buf_append(&call->headers, "", 1);
		buf_append(
		    &call->headers, header->value, strlen(header->value) + 1);
	}
	buf_append(&call->body, params->body, params->body_len);
	call->timeout_ms = params->timeout_us > 0
	    ? (uint64_t)(params->timeout_us / US_PER_MS) + 1
	    : (uint64_t)CALL_TIMEOUT_S * MS_PER_S;
}

struct http_call *
http_call_start(struct net *net, const struct http_call_params *params)
{
	struct http_call *call = xcalloc(1, sizeof(*call));
	struct lws_client_connect_info info = {
	    .context = net->context,
	    .vhost = net->client,
	    .local_protocol_name = "http-client",
	    .opaque_user_data = call,
	    .ssl_connection = params->tls ? LCCSCF_USE_SSL : 0,
	};
	struct lws *wsi;

	call->net = net;
	list_append(&net->calls, &call->link);
	copy_params(call, params);
	call->timer = xcalloc(1, sizeof(*call->timer));
	uv_timer_init(net->loop, call->timer);
	call->timer->data = call;
	/* The loop's cached time is stale when its callbacks have run long. */
	uv_update_time(net->loop);
	restart_timer(call);
	info.address = call->address;
	info.host = call->address;
	info.origin = call->address;
	info.port = call->port;
	info.path = call->path;
	info.method = method_name(call->method);
	info.pwsi = &call->wsi;
	wsi = lws_client_connect_via_info(&info);
	if (wsi == NULL) {
		call->wsi = NULL;
		uv_timer_start(call->timer, handle_timer, 0, 0);
	}
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
	call->ended = true;
	if (call->fetch != NULL)
		fetch_free(call->fetch);
	call_detach(call);
	call_free(call);
}

void
http_client_cancel_all(struct net *net)
{
	list_for_each_safe (call, tmp, &net->calls, struct http_call, link)
		call_finish(call, HTTP_RESULT_CANCELLED);
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
