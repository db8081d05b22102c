#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/memory.h"
#include "h1/server_internal.h"

/* Stores the error with which to reject the request. Returns the value by which
 * a parser callback stops the parser. */
static int
stop_parser(struct h1_connection *connection, int status, const char *reason,
    const char *detail)
{
	connection->reject_status = status;
	connection->reject_reason = reason;
	connection->reject_detail = detail;
	return -1;
}

static int
count_head_bytes(struct h1_connection *connection, size_t len)
{
	connection->head_bytes += len;
	if (connection->head_bytes <=
	    connection->server->options.limits.max_header_bytes)
		return 0;
	return stop_parser(connection, 431, "headers_too_large",
	    "the request's head is longer than the limit");
}

static int
handle_message_begin(http_parser *parser)
{
	struct h1_connection *connection = parser->data;
	struct h1_exchange *exchange = xcalloc(1, sizeof(*exchange));

	exchange->connection = connection;
	connection->exchange = exchange;
	connection->server->exchange_count++;
	connection->head_bytes = 0;
	h1_connection_set_phase(connection, PHASE_HEAD);
	return 0;
}

static int
handle_url(http_parser *parser, const char *at, size_t len)
{
	struct h1_connection *connection = parser->data;

	buf_append(&connection->exchange->head.target, at, len);
	return count_head_bytes(connection, len);
}

/* Returns whether a field follows a chunked body. Trailer fields are not part
 * of the head and are ignored. */
static bool
in_trailer(const struct h1_connection *connection)
{
	return connection->phase != PHASE_HEAD;
}

static int
handle_header_field(http_parser *parser, const char *at, size_t len)
{
	struct h1_connection *connection = parser->data;

	if (in_trailer(connection))
		return 0;
	h1_head_add_name(&connection->exchange->head, at, len);
	return count_head_bytes(connection, len);
}

static int
handle_header_value(http_parser *parser, const char *at, size_t len)
{
	struct h1_connection *connection = parser->data;

	if (in_trailer(connection))
		return 0;
	h1_head_add_value(&connection->exchange->head, at, len);
	return count_head_bytes(connection, len);
}

/* Returns what makes a request ambiguous, or NULL. The parser accepts these
 * requests, but another HTTP implementation may find their end elsewhere, which
 * allows request smuggling: a second request hidden in the body. */
static const char *
find_ambiguity(const http_parser *parser, const struct h1_head *head)
{
	const struct h1_headers *headers = &head->headers;
	const char *coding = h1_headers_find(headers, "transfer-encoding");

	for (size_t i = 0; i < headers->count; i++) {
		const char *name = h1_headers_name(headers, i);

		if (!h1_is_token(name, strlen(name)))
			return "a header field's name is not a token";
	}
	if (h1_headers_count(headers, "host") != 1)
		return "there must be one Host field";
	if (h1_headers_count(headers, "content-length") > 1)
		return "more than one Content-Length field";
	if (coding == NULL)
		return NULL;
	if (h1_headers_count(headers, "transfer-encoding") > 1 ||
	    strcasecmp(coding, "chunked") != 0)
		return "Transfer-Encoding must be chunked";
	if (h1_headers_find(headers, "content-length") != NULL)
		return "both Content-Length and Transfer-Encoding";
	if (parser->http_major != 1 || parser->http_minor != 1)
		return "Transfer-Encoding needs HTTP/1.1";
	return NULL;
}

static int
handle_headers_complete(http_parser *parser)
{
	struct h1_connection *connection = parser->data;
	const struct h1_server *server = connection->server;
	struct h1_head *head = &connection->exchange->head;
	const char *ambiguity;

	h1_head_end_field(head);
	snprintf(head->method, sizeof(head->method), "%s",
	    http_method_str((enum http_method)parser->method));
	ambiguity = find_ambiguity(parser, head);
	if (ambiguity != NULL)
		return stop_parser(
		    connection, 400, "malformed_request", ambiguity);
	if (buf_text(&head->target)[0] != '/')
		return stop_parser(connection, 400, "malformed_request",
		    "the request target must be a path");
	if ((parser->flags & F_CONTENTLENGTH) != 0 &&
	    parser->content_length > server->options.limits.max_body_bytes)
		return stop_parser(connection, 413, "request_too_large",
		    "the body is longer than the limit");
	h1_connection_set_phase(connection, PHASE_BODY);
	if (h1_headers_has_token(&head->headers, "expect", "100-continue"))
		h1_connection_write(
		    connection, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

static int
handle_body(http_parser *parser, const char *at, size_t len)
{
	struct h1_connection *connection = parser->data;
	struct buf *body = &connection->exchange->body;

	if (body->len + len > connection->server->options.limits.max_body_bytes)
		return stop_parser(connection, 413, "request_too_large",
		    "the body is longer than the limit");
	buf_append(body, at, len);
	connection->phase_started_us = clock_monotonic_us();
	return 0;
}

static int
handle_message_complete(http_parser *parser)
{
	struct h1_connection *connection = parser->data;

	connection->keep_alive = http_should_keep_alive(parser) != 0;
	h1_connection_set_phase(connection, PHASE_RESPONSE);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = handle_message_begin,
    .on_url = handle_url,
    .on_header_field = handle_header_field,
    .on_header_value = handle_header_value,
    .on_headers_complete = handle_headers_complete,
    .on_body = handle_body,
    .on_message_complete = handle_message_complete,
};

static void
reject_parse_error(struct h1_connection *connection)
{
	if (connection->reject_status == 0) {
		connection->reject_status = 400;
		connection->reject_reason = "malformed_request";
		connection->reject_detail = http_errno_description(
		    HTTP_PARSER_ERRNO(&connection->parser));
	}
	h1_connection_reject(connection, connection->reject_status,
	    connection->reject_reason, connection->reject_detail);
}

void
h1_connection_parse(
    struct h1_connection *connection, const char *data, size_t len)
{
	struct h1_server *server = connection->server;
	size_t used = http_parser_execute(
	    &connection->parser, &parser_settings, data, len);
	enum http_errno code = HTTP_PARSER_ERRNO(&connection->parser);

	if (code == HPE_PAUSED) {
		http_parser_pause(&connection->parser, 0);
		buf_append(&connection->unparsed, data + used, len - used);
		connection->exchange->received_us = clock_monotonic_us();
		server->options.on_request(
		    server->options.context, connection->exchange);
		return;
	}
	if (code != HPE_OK || connection->parser.upgrade)
		reject_parse_error(connection);
}

/* Parses requests that arrived while an earlier one was being handled. */
static void
handle_resume(uv_idle_t *idle)
{
	struct h1_server *server = idle->data;

	while (!list_empty(&server->resume_queue)) {
		struct h1_connection *connection =
		    list_entry(server->resume_queue.next, struct h1_connection,
			resume_link);
		struct buf data = connection->unparsed;

		list_remove(&connection->resume_link);
		connection->unparsed = (struct buf){0};
		if (!connection->reading)
			h1_connection_start_reading(connection);
		h1_connection_parse(
		    connection, (const char *)data.data, data.len);
		buf_reset(&data);
	}
	uv_idle_stop(idle);
}

void
h1_connection_resume_later(struct h1_connection *connection)
{
	struct h1_server *server = connection->server;

	list_remove(&connection->resume_link);
	list_append(&server->resume_queue, &connection->resume_link);
	uv_idle_start(&server->resume_idle, handle_resume);
}
