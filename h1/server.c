#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "h1/server.h"
#include "h1/socket.h"

enum {
	BACKLOG = 1024,
	READ_BYTES = 65536,
	SWEEP_MS = 250,
	LINGER_US = US_PER_S, /* for a caller to read the last answer */
	SILENCE_US = 5 * US_PER_S,
	UNSENT_MAX_BYTES = 1 << 20,
	PEER_BYTES = 46,
	CHUNK_HEAD_BYTES = 24,
};

enum phase {
	PHASE_IDLE,   /**< no byte of a request has come */
	PHASE_HEAD,   /**< a request's head is coming */
	PHASE_BODY,   /**< its body is coming */
	PHASE_ANSWER, /**< the handler has it */
	PHASE_LINGER, /**< the last answer is out, the connection closes */
};

enum framing {
	FRAMING_NONE, /**< the answer has not begun */
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
};

struct h1_connection {
	struct list link;   /**< in the server */
	struct list resume; /**< in the server, while more requests wait */
	struct h1_server *server;
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	http_parser parser;
	enum phase phase;
	int64_t phase_us; /**< when the phase began */
	size_t head_bytes;
	struct h1_exchange *exchange; /**< NULL while idle */
	struct buf pending;           /**< read past the present request */
	bool keep;                    /**< the connection outlives the answer */
	bool broken;                  /**< writing has failed */
	bool reading;
	bool closing;
	int reject_status; /**< set by parser callbacks */
	const char *reject_reason;
	const char *reject_detail;
	char peer[PEER_BYTES];
};

struct h1_exchange {
	struct h1_connection *connection;
	struct h1_head head;
	struct buf body;
	int64_t received_us;
	enum framing framing;
	void (*gone)(void *context);
	void *gone_context;
};

struct h1_server {
	struct h1_server_options options;
	uv_tcp_t listener;
	uv_timer_t sweep;
	uv_idle_t resume;
	struct list connections;
	struct list resumed; /**< connections with requests to be parsed */
	size_t connection_count;
	size_t exchange_count;
	int open_handles; /**< the server's own */
	bool draining;
	bool destroyed;
	int64_t drain_idle_us;
	char read_buffer[READ_BYTES];
};

static void handle_resume(uv_idle_t *idle);
static void start_reading(struct h1_connection *connection);

/* ---- life of connections and exchanges ---- */

static void
server_free_if_closed(struct h1_server *server)
{
	if (server->destroyed && server->open_handles == 0 &&
	    server->connection_count == 0)
		free(server);
}

static void
handle_connection_closed(uv_handle_t *handle)
{
	struct h1_connection *connection = handle->data;
	struct h1_server *server = connection->server;

	buf_reset(&connection->pending);
	free(connection);
	server->connection_count--;
	server_free_if_closed(server);
}

static void
connection_drop_exchange(struct h1_connection *connection)
{
	struct h1_exchange *exchange = connection->exchange;

	if (exchange == NULL)
		return;
	connection->server->exchange_count--;
	connection->exchange = NULL;
	h1_head_reset(&exchange->head);
	buf_reset(&exchange->body);
	free(exchange);
}

static void
connection_close(struct h1_connection *connection)
{
	if (connection->closing)
		return;
	connection->closing = true;
	connection_drop_exchange(connection);
	list_remove(&connection->link);
	list_remove(&connection->resume);
	uv_close((uv_handle_t *)&connection->tcp, handle_connection_closed);
}

static void
connection_set_phase(struct h1_connection *connection, enum phase phase)
{
	connection->phase = phase;
	connection->phase_us = clock_monotonic_us();
}

static void
handle_shutdown(uv_shutdown_t *request, int status)
{
	(void)request; /* the sweep, or the caller's end, closes it */
	(void)status;
}

/* Closes once the caller has read what was sent: closing at once with bytes
 * unread would reset the connection and could lose the answer. */
static void
connection_linger(struct h1_connection *connection)
{
	connection_set_phase(connection, PHASE_LINGER);
	if (connection->broken ||
	    uv_shutdown(&connection->shutdown, (uv_stream_t *)&connection->tcp,
		handle_shutdown) != 0)
		connection_close(connection);
}

static void
connection_write(struct h1_connection *connection, const void *data, size_t len)
{
	if (connection->broken || connection->closing)
		return;
	connection->broken = !h1_socket_write(&connection->tcp, data, len);
}

/* The caller is gone, or its connection is broken. */
static void
connection_lost(struct h1_connection *connection)
{
	struct h1_exchange *exchange = connection->exchange;
	void (*gone)(void *) = NULL;
	void *context = NULL;

	if (exchange != NULL && connection->phase == PHASE_ANSWER) {
		gone = exchange->gone;
		context = exchange->gone_context;
	}
	connection_close(connection);
	if (gone != NULL)
		gone(context);
}

/* ---- answers ---- */

static void
append_head(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, struct buf *out)
{
	const struct h1_connection *connection = exchange->connection;

	buf_printf(out, "HTTP/1.1 %d %s\r\n", status, h1_status_phrase(status));
	for (size_t i = 0; headers != NULL && i < headers->count; i++) {
		buf_append_text(out, h1_headers_name(headers, i));
		buf_append(out, ": ", 2);
		buf_append_text(out, h1_headers_value(headers, i));
		buf_append(out, "\r\n", 2);
	}
	if (!connection->keep)
		buf_append_text(out, "Connection: close\r\n");
}

static void
exchange_end(struct h1_exchange *exchange)
{
	struct h1_connection *connection = exchange->connection;
	struct h1_server *server = connection->server;

	connection_drop_exchange(connection);
	if (!connection->keep || connection->broken) {
		connection_linger(connection);
		return;
	}
	connection_set_phase(connection, PHASE_IDLE);
	if (connection->pending.len > 0) {
		list_remove(&connection->resume);
		list_append(&server->resumed, &connection->resume);
		uv_idle_start(&server->resume, handle_resume);
	}
}

static void
exchange_decide_keep(struct h1_exchange *exchange)
{
	if (exchange->connection->server->draining)
		exchange->connection->keep = false;
}

void
h1_respond(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, const void *body, size_t len)
{
	struct buf out = {0};

	exchange_decide_keep(exchange);
	append_head(exchange, status, headers, &out);
	buf_printf(&out, "Content-Length: %zu\r\n\r\n", len);
	if (strcmp(exchange->head.method, "HEAD") != 0)
		buf_append(&out, body, len);
	connection_write(exchange->connection, out.data, out.len);
	buf_reset(&out);
	exchange_end(exchange);
}

void
h1_respond_begin(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, int64_t length)
{
	struct buf out = {0};

	exchange_decide_keep(exchange);
	append_head(exchange, status, headers, &out);
	if (length >= 0) {
		exchange->framing = FRAMING_LENGTH;
		buf_printf(
		    &out, "Content-Length: %lld\r\n\r\n", (long long)length);
	} else {
		exchange->framing = FRAMING_CHUNKED;
		buf_append_text(&out, "Transfer-Encoding: chunked\r\n\r\n");
	}
	connection_write(exchange->connection, out.data, out.len);
	buf_reset(&out);
}

bool
h1_respond_data(struct h1_exchange *exchange, const void *data, size_t len)
{
	struct h1_connection *connection = exchange->connection;
	struct buf out = {0};

	if (len == 0)
		return true;
	if (exchange->framing == FRAMING_CHUNKED) {
		buf_printf(&out, "%zx\r\n", len);
		buf_append(&out, data, len);
		buf_append(&out, "\r\n", 2);
		connection_write(connection, out.data, out.len);
		buf_reset(&out);
	} else {
		connection_write(connection, data, len);
	}
	return connection->closing ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&connection->tcp) <=
	    UNSENT_MAX_BYTES;
}

void
h1_respond_end(struct h1_exchange *exchange)
{
	if (exchange->framing == FRAMING_CHUNKED)
		connection_write(exchange->connection, "0\r\n\r\n", 5);
	exchange_end(exchange);
}

void
h1_exchange_abort(struct h1_exchange *exchange)
{
	connection_close(exchange->connection);
}

/* Answers a request that the handler never saw, and closes. */
static void
connection_reject(struct h1_connection *connection, int status,
    const char *reason, const char *detail)
{
	struct h1_server *server = connection->server;
	struct h1_rejection rejection = {
	    .status = status,
	    .reason = reason,
	    .detail = detail,
	    .peer = connection->peer,
	};
	struct buf out = {0};
	struct buf body = {0};

	buf_printf(&body,
	    "{\"error\":{\"reason\":\"%s\",\"detail\":\"%s\","
	    "\"run\":\"not run\"}}",
	    reason, detail);
	buf_printf(&out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
	    status, h1_status_phrase(status), body.len);
	buf_append(&out, body.data, body.len);
	connection_write(connection, out.data, out.len);
	buf_reset(&out);
	buf_reset(&body);
	connection_drop_exchange(connection);
	connection_linger(connection);
	if (server->options.rejected != NULL)
		server->options.rejected(server->options.context, &rejection);
}

/* ---- parsing ---- */

/* Lets a parser callback stop the parser with an error for the caller. */
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
	connection_set_phase(connection, PHASE_HEAD);
	return 0;
}

static int
handle_url(http_parser *parser, const char *at, size_t len)
{
	struct h1_connection *connection = parser->data;

	buf_append(&connection->exchange->head.target, at, len);
	return count_head_bytes(connection, len);
}

/* Fields behind a chunked body are not part of the head, and are dropped. */
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

static bool
is_token(const char *name)
{
	if (*name == '\0')
		return false;
	for (; *name != '\0'; name++) {
		if (!isalnum((unsigned char)*name) &&
		    strchr("!#$%&'*+-.^_`|~", *name) == NULL)
			return false;
	}
	return true;
}

/* What the parser lets through but other readers may understand differently:
 * a request that carries another one in its body hides behind such things. */
static const char *
find_ambiguity(const http_parser *parser, const struct h1_head *head)
{
	const struct h1_headers *headers = &head->headers;
	const char *coding = h1_headers_find(headers, "transfer-encoding");

	for (size_t i = 0; i < headers->count; i++) {
		if (!is_token(h1_headers_name(headers, i)))
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

	h1_head_complete(head);
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
	connection_set_phase(connection, PHASE_BODY);
	if (h1_headers_lists(&head->headers, "expect", "100-continue"))
		connection_write(
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
	connection->phase_us = clock_monotonic_us();
	return 0;
}

static int
handle_message_complete(http_parser *parser)
{
	struct h1_connection *connection = parser->data;

	connection->keep = http_should_keep_alive(parser) != 0;
	connection_set_phase(connection, PHASE_ANSWER);
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
	connection_reject(connection, connection->reject_status,
	    connection->reject_reason, connection->reject_detail);
}

/* Parses up to the end of one request, and hands that to the handler. */
static void
connection_parse(struct h1_connection *connection, const char *data, size_t len)
{
	struct h1_server *server = connection->server;
	size_t used = http_parser_execute(
	    &connection->parser, &parser_settings, data, len);
	enum http_errno code = HTTP_PARSER_ERRNO(&connection->parser);

	if (code == HPE_PAUSED) {
		http_parser_pause(&connection->parser, 0);
		buf_append(&connection->pending, data + used, len - used);
		connection->exchange->received_us = clock_monotonic_us();
		server->options.handle(
		    server->options.context, connection->exchange);
		return;
	}
	if (code != HPE_OK || connection->parser.upgrade)
		reject_parse_error(connection);
}

/* Parses requests that came while another one was answered. */
static void
handle_resume(uv_idle_t *idle)
{
	struct h1_server *server = idle->data;

	while (!list_empty(&server->resumed)) {
		struct h1_connection *connection = list_entry(
		    server->resumed.next, struct h1_connection, resume);
		struct buf data = connection->pending;

		list_remove(&connection->resume);
		connection->pending = (struct buf){0};
		if (!connection->reading)
			start_reading(connection);
		connection_parse(connection, (const char *)data.data, data.len);
		buf_reset(&data);
	}
	uv_idle_stop(idle);
}

/* ---- reading ---- */

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct h1_connection *connection = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(connection->server->read_buffer, READ_BYTES);
}

/* A caller that sends on before its answer is read only up to a bound. */
static void
hold_back(struct h1_connection *connection, const char *data, size_t len)
{
	const struct h1_limits *limits = &connection->server->options.limits;

	buf_append(&connection->pending, data, len);
	if (connection->pending.len >
	    limits->max_header_bytes + limits->max_body_bytes) {
		uv_read_stop((uv_stream_t *)&connection->tcp);
		connection->reading = false;
	}
}

static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct h1_connection *connection = stream->data;

	if (connection->closing || len == 0)
		return;
	if (len < 0) {
		connection_lost(connection);
		return;
	}
	switch (connection->phase) {
	case PHASE_LINGER:
		return;
	case PHASE_ANSWER:
		hold_back(connection, buffer->base, (size_t)len);
		return;
	case PHASE_IDLE:
	case PHASE_HEAD:
	case PHASE_BODY:
		if (connection->pending.len > 0)
			hold_back(connection, buffer->base, (size_t)len);
		else
			connection_parse(connection, buffer->base, (size_t)len);
		return;
	}
}

static void
start_reading(struct h1_connection *connection)
{
	connection->reading = uv_read_start((uv_stream_t *)&connection->tcp,
				  handle_alloc, handle_read) == 0;
}

static void
name_peer(struct h1_connection *connection)
{
	struct sockaddr_storage address = {0};
	int len = sizeof(address);

	if (uv_tcp_getpeername(
		&connection->tcp, (struct sockaddr *)&address, &len) != 0)
		return;
	uv_ip4_name((const struct sockaddr_in *)&address, connection->peer,
	    sizeof(connection->peer));
}

static void
handle_accept(uv_stream_t *listener, int status)
{
	struct h1_server *server = listener->data;
	struct h1_connection *connection;

	if (status != 0 || server->destroyed)
		return;
	connection = xcalloc(1, sizeof(*connection));
	connection->server = server;
	list_init(&connection->resume);
	uv_tcp_init(listener->loop, &connection->tcp);
	connection->tcp.data = connection;
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	list_append(&server->connections, &connection->link);
	server->connection_count++;
	connection_set_phase(connection, PHASE_IDLE);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
		connection_close(connection);
		return;
	}
	h1_socket_tune(&connection->tcp, SILENCE_US);
	name_peer(connection);
	start_reading(connection);
}

/* ---- timeouts ---- */

static void
check_connection(struct h1_connection *connection, int64_t now_us)
{
	const struct h1_server *server = connection->server;
	const struct h1_limits *limits = &server->options.limits;
	int64_t age_us = now_us - connection->phase_us;
	int64_t idle_us = limits->idle_timeout_us;

	if (server->draining && server->drain_idle_us < idle_us)
		idle_us = server->drain_idle_us;
	switch (connection->phase) {
	case PHASE_IDLE:
		if (age_us > idle_us && connection->pending.len == 0)
			connection_close(connection);
		return;
	case PHASE_HEAD:
	case PHASE_BODY:
		if (age_us > limits->header_timeout_us)
			connection_reject(connection, 408, "request_timeout",
			    "the request took too long to arrive");
		return;
	case PHASE_LINGER:
		if (age_us > LINGER_US)
			connection_close(connection);
		return;
	case PHASE_ANSWER:
		return;
	}
}

static void
handle_sweep(uv_timer_t *timer)
{
	struct h1_server *server = timer->data;
	int64_t now_us = clock_monotonic_us();

	list_for_each_safe (
	    connection, tmp, &server->connections, struct h1_connection, link)
		check_connection(connection, now_us);
}

/* ---- the server ---- */

static bool
server_listen(struct h1_server *server, struct error *err)
{
	const struct h1_server_options *options = &server->options;
	struct sockaddr_in address;
	int code;

	code = uv_ip4_addr(options->address, options->port, &address);
	if (code == 0)
		code = uv_tcp_bind(
		    &server->listener, (const struct sockaddr *)&address, 0);
	if (code == 0)
		code = uv_listen(
		    (uv_stream_t *)&server->listener, BACKLOG, handle_accept);
	if (code == 0)
		return true;
	return error_set(err, ERROR_IO, "cannot listen on %s port %d: %s",
	    options->address, options->port, uv_strerror(code));
}

struct h1_server *
h1_server_create(
    uv_loop_t *loop, const struct h1_server_options *options, struct error *err)
{
	struct h1_server *server = xcalloc(1, sizeof(*server));

	server->options = *options;
	list_init(&server->connections);
	list_init(&server->resumed);
	server->open_handles = 3;
	uv_tcp_init(loop, &server->listener);
	uv_timer_init(loop, &server->sweep);
	uv_idle_init(loop, &server->resume);
	server->listener.data = server;
	server->sweep.data = server;
	server->resume.data = server;
	if (!server_listen(server, err)) {
		h1_server_destroy(server);
		return NULL;
	}
	uv_timer_start(&server->sweep, handle_sweep, SWEEP_MS, SWEEP_MS);
	return server;
}

static void
handle_server_closed(uv_handle_t *handle)
{
	struct h1_server *server = handle->data;

	server->open_handles--;
	server_free_if_closed(server);
}

void
h1_server_destroy(struct h1_server *server)
{
	if (server == NULL)
		return;
	server->destroyed = true;
	list_for_each_safe (
	    connection, tmp, &server->connections, struct h1_connection, link)
		connection_close(connection);
	uv_close((uv_handle_t *)&server->listener, handle_server_closed);
	uv_close((uv_handle_t *)&server->sweep, handle_server_closed);
	uv_close((uv_handle_t *)&server->resume, handle_server_closed);
}

int
h1_server_port(const struct h1_server *server)
{
	struct sockaddr_in address = {0};
	int len = sizeof(address);

	if (uv_tcp_getsockname(
		&server->listener, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}

void
h1_server_set_limits(struct h1_server *server, const struct h1_limits *limits)
{
	server->options.limits = *limits;
}

void
h1_server_drain(struct h1_server *server, int64_t idle_us)
{
	server->draining = true;
	server->drain_idle_us = idle_us;
}

size_t
h1_server_open_exchanges(const struct h1_server *server)
{
	return server->exchange_count;
}

size_t
h1_server_connections(const struct h1_server *server)
{
	return server->connection_count;
}

/* ---- requests ---- */

const struct h1_head *
h1_exchange_head(const struct h1_exchange *exchange)
{
	return &exchange->head;
}

const struct buf *
h1_exchange_body(const struct h1_exchange *exchange)
{
	return &exchange->body;
}

struct buf
h1_exchange_take_body(struct h1_exchange *exchange)
{
	struct buf body = exchange->body;

	exchange->body = (struct buf){0};
	return body;
}

const char *
h1_exchange_peer(const struct h1_exchange *exchange)
{
	return exchange->connection->peer;
}

int64_t
h1_exchange_received_us(const struct h1_exchange *exchange)
{
	return exchange->received_us;
}

void
h1_exchange_on_gone(
    struct h1_exchange *exchange, void (*gone)(void *context), void *context)
{
	exchange->gone = gone;
	exchange->gone_context = context;
}
