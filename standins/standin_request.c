#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "standins/standin_internal.h"

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
request_free(struct standin_request *request)
{
	if (request->timer != NULL)
		uv_close((uv_handle_t *)request->timer, handle_timer_closed);
	buf_reset(&request->body);
	free(request);
}

static void
handle_closed(void *context)
{
	struct standin_request *request = context;

	request->exchange = NULL;
	if (request->on_close != NULL)
		request->on_close(request);
}

struct standin_request *
standin_request_create(struct standin *standin, const struct http_request *http)
{
	struct standin_request *request = xcalloc(1, sizeof(*request));

	request->standin = standin;
	request->exchange = http->exchange;
	request->method = http->method;
	snprintf(request->path, sizeof(request->path), "%s", http->path);
	snprintf(request->query, sizeof(request->query), "%s", http->query);
	http_request_header(
	    http, "idempotency-key", request->key, sizeof(request->key));
	buf_append(&request->body, http->body, http->body_len);
	http_exchange_on_close(http->exchange, handle_closed, request);
	return request;
}

static void
handle_timer(uv_timer_t *timer)
{
	struct standin_request *request = timer->data;

	request->on_delay_elapsed(request);
}

void
standin_request_delay(struct standin_request *request, int64_t delay_ms,
    void (*on_delay_elapsed)(struct standin_request *request))
{
	if (request->timer == NULL) {
		request->timer = xcalloc(1, sizeof(*request->timer));
		uv_timer_init(&request->standin->loop, request->timer);
		request->timer->data = request;
	}
	request->on_delay_elapsed = on_delay_elapsed;
	uv_update_time(&request->standin->loop);
	uv_timer_start(request->timer, handle_timer, (uint64_t)delay_ms, 0);
}

json_t *
standin_request_json(const struct standin_request *request)
{
	return json_loadb((const char *)request->body.data, request->body.len,
	    JSON_REJECT_DUPLICATES, NULL);
}

void
standin_query_text(const struct standin_request *request, const char *name,
    char *value, size_t size)
{
	struct http_request http = {.query = request->query};

	http_request_query(&http, name, value, size);
}

int64_t
standin_query_number(const struct standin_request *request, const char *name,
    int64_t default_value)
{
	char value[32];

	standin_query_text(request, name, value, sizeof(value));
	return value[0] != '\0' ? strtoll(value, NULL, 10) : default_value;
}

const char *
standin_path_suffix(const struct standin_request *request, const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(request->path, prefix, len) != 0)
		return NULL;
	return request->path + len;
}

/** A reply that is sent after reply_delay_ms. */
struct delayed_reply {
	int status;
	char content_type[64];
	struct buf body;
};

static void
send_reply(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len)
{
	if (request->exchange != NULL)
		http_respond(
		    request->exchange, status, content_type, NULL, data, len);
	request_free(request);
}

static void
handle_reply_delay(struct standin_request *request)
{
	struct delayed_reply *delayed = request->context;

	send_reply(request, delayed->status, delayed->content_type,
	    delayed->body.data, delayed->body.len);
	buf_reset(&delayed->body);
	free(delayed);
}

static void
send_reply_delayed(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len)
{
	struct delayed_reply *delayed = xcalloc(1, sizeof(*delayed));

	delayed->status = status;
	snprintf(delayed->content_type, sizeof(delayed->content_type), "%s",
	    content_type);
	buf_append(&delayed->body, data, len);
	request->on_close = NULL;
	request->context = delayed;
	standin_request_delay(
	    request, request->standin->reply_delay_ms, handle_reply_delay);
}

void
standin_never_reply(struct standin_request *request)
{
	request->on_close = standin_stream_end;
	if (request->exchange == NULL)
		request_free(request);
}

void
standin_reply_bytes(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len)
{
	switch (standin_faults_choose_reply(request)) {
	case REPLY_NORMAL:
		send_reply(request, status, content_type, data, len);
		break;
	case REPLY_LOST:
		standin_drop_connection(request);
		break;
	case REPLY_NEVER_SENT:
		standin_never_reply(request);
		break;
	case REPLY_DELAYED:
		send_reply_delayed(request, status, content_type, data, len);
		break;
	}
}

void
standin_reply(struct standin_request *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (text == NULL)
		memory_exhausted();
	standin_reply_bytes(
	    request, status, "application/json", text, strlen(text));
	free(text);
}

void
standin_reply_error(
    struct standin_request *request, int status, const char *reason)
{
	standin_reply(
	    request, status, json_pack("{s:{s:s}}", "error", "reason", reason));
}

void
standin_drop_connection(struct standin_request *request)
{
	if (request->exchange != NULL)
		http_abort(request->exchange);
	request_free(request);
}

void
standin_stream_end(struct standin_request *request)
{
	if (request->exchange != NULL)
		http_stream_end(request->exchange);
	request_free(request);
}
