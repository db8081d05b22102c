#include <ctype.h>
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
	request->h1_exchange = NULL;
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

/* Returns whether a target has only the characters that a URI may have. */
static bool
is_uri(const char *target)
{
	for (; *target != '\0'; target++) {
		if (!isalnum((unsigned char)*target) &&
		    strchr("-._~!$&'()*+,;=:@/?%", *target) == NULL)
			return false;
	}
	return true;
}

static enum http_method
parse_method(const char *method)
{
	static const struct {
		const char *name;
		enum http_method method;
	} methods[] = {
	    {"GET", HTTP_GET},
	    {"POST", HTTP_POST},
	    {"PUT", HTTP_PUT},
	    {"DELETE", HTTP_DELETE},
	};

	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (strcmp(method, methods[i].name) == 0)
			return methods[i].method;
	}
	return HTTP_OTHER;
}

struct standin_request *
standin_request_create_strict(
    struct standin *standin, struct h1_exchange *exchange)
{
	const struct h1_head *head = h1_exchange_head(exchange);
	const char *target = (const char *)head->target.data;
	size_t path_len = strcspn(target, "?");
	const char *query = target + path_len + (target[path_len] == '?');
	struct standin_request *request;

	if (!is_uri(target) || path_len >= sizeof(request->path) ||
	    strlen(query) >= sizeof(request->query)) {
		h1_respond(exchange, 400, NULL, "", 0);
		return NULL;
	}
	request = xcalloc(1, sizeof(*request));
	request->standin = standin;
	request->h1_exchange = exchange;
	request->method = parse_method(head->method);
	memcpy(request->path, target, path_len);
	memcpy(request->query, query, strlen(query) + 1);
	request->body = h1_exchange_take_body(exchange);
	h1_exchange_on_close(exchange, handle_closed, request);
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

static int
hex_value(char digit)
{
	return isdigit((unsigned char)digit)
	    ? digit - '0'
	    : tolower((unsigned char)digit) - 'a' + 10;
}

/* Decodes the value of a form's field. Returns false if it is malformed. */
static bool
decode_form_value(const char *at, size_t len, struct buf *value)
{
	for (size_t i = 0; i < len; i++) {
		char byte = at[i];

		if (byte == ';')
			return false;
		if (byte == '+')
			byte = ' ';
		if (byte == '%') {
			if (len - i < 3 ||
			    !isxdigit((unsigned char)at[i + 1]) ||
			    !isxdigit((unsigned char)at[i + 2]))
				return false;
			byte = (char)(hex_value(at[i + 1]) << 4 |
			    hex_value(at[i + 2]));
			i += 2;
		}
		buf_append(value, &byte, 1);
	}
	return true;
}

bool
standin_query_bytes(
    const struct standin_request *request, const char *name, struct buf *value)
{
	const char *at = request->query;
	size_t name_len = strlen(name);

	while (*at != '\0') {
		size_t len = strcspn(at, "&");

		if (len > name_len && at[name_len] == '=' &&
		    strncmp(at, name, name_len) == 0)
			return decode_form_value(
			    at + name_len + 1, len - name_len - 1, value);
		at += len;
		at += *at == '&';
	}
	return false;
}

static void
query_text_strict(const struct standin_request *request, const char *name,
    char *value, size_t size)
{
	struct buf bytes = {0};

	value[0] = '\0';
	if (standin_query_bytes(request, name, &bytes) && bytes.len < size &&
	    strlen(buf_text(&bytes)) == bytes.len)
		memcpy(value, bytes.data, bytes.len + 1);
	buf_reset(&bytes);
}

void
standin_query_text(const struct standin_request *request, const char *name,
    char *value, size_t size)
{
	struct http_request http = {.query = request->query};

	if (request->standin->program->strict_targets)
		query_text_strict(request, name, value, size);
	else
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
	struct h1_headers headers = {0};

	if (request->exchange != NULL)
		http_respond(
		    request->exchange, status, content_type, NULL, data, len);
	if (request->h1_exchange != NULL) {
		h1_headers_add(&headers, "Content-Type", content_type);
		h1_respond(request->h1_exchange, status, &headers, data, len);
		h1_headers_reset(&headers);
	}
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
	if (request->exchange == NULL && request->h1_exchange == NULL)
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
	if (request->h1_exchange != NULL)
		h1_exchange_abort(request->h1_exchange);
	request_free(request);
}

void
standin_stream_end(struct standin_request *request)
{
	if (request->exchange != NULL)
		http_stream_end(request->exchange);
	if (request->h1_exchange != NULL)
		h1_exchange_abort(request->h1_exchange);
	request_free(request);
}
