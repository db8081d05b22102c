#include <string.h>

#include "h1/server_internal.h"

enum {
	MAX_UNSENT_BYTES = 1 << 20, /* above this a caller reads too slowly */
};

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
	if (!connection->keep_alive)
		buf_append_text(out, "Connection: close\r\n");
}

static void
exchange_end(struct h1_exchange *exchange)
{
	struct h1_connection *connection = exchange->connection;

	h1_connection_drop_exchange(connection);
	if (!connection->keep_alive || connection->write_failed) {
		h1_connection_linger(connection);
		return;
	}
	h1_connection_set_phase(connection, PHASE_IDLE);
	if (connection->unparsed.len > 0)
		h1_connection_resume_later(connection);
}

static void
exchange_apply_drain(struct h1_exchange *exchange)
{
	if (exchange->connection->server->draining)
		exchange->connection->keep_alive = false;
}

void
h1_respond(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, const void *body, size_t len)
{
	struct buf out = {0};

	exchange_apply_drain(exchange);
	append_head(exchange, status, headers, &out);
	buf_printf(&out, "Content-Length: %zu\r\n\r\n", len);
	if (strcmp(exchange->head.method, "HEAD") != 0)
		buf_append(&out, body, len);
	h1_connection_write(exchange->connection, out.data, out.len);
	buf_reset(&out);
	exchange_end(exchange);
}

/* Returns whether the caller knows chunks, which came with HTTP/1.1. */
static bool
caller_accepts_chunks(const struct h1_exchange *exchange)
{
	const http_parser *parser = &exchange->connection->parser;

	return parser->http_major > 1 || parser->http_minor > 0;
}

void
h1_respond_begin(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, int64_t length)
{
	struct buf out = {0};

	exchange_apply_drain(exchange);
	if (length == H1_LENGTH_CHUNKED && !caller_accepts_chunks(exchange))
		length = H1_LENGTH_CONNECTION;
	if (length == H1_LENGTH_CONNECTION)
		exchange->connection->keep_alive = false;
	append_head(exchange, status, headers, &out);
	if (length >= 0) {
		exchange->framing = FRAMING_LENGTH;
		buf_printf(&out, "Content-Length: %lld\r\n", (long long)length);
	} else if (length == H1_LENGTH_CONNECTION) {
		exchange->framing = FRAMING_CONNECTION;
	} else {
		exchange->framing = FRAMING_CHUNKED;
		buf_append_text(&out, "Transfer-Encoding: chunked\r\n");
	}
	buf_append_text(&out, "\r\n");
	h1_connection_write(exchange->connection, out.data, out.len);
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
		h1_connection_write(connection, out.data, out.len);
		buf_reset(&out);
	} else {
		h1_connection_write(connection, data, len);
	}
	return connection->closing ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&connection->tcp) <=
	    MAX_UNSENT_BYTES;
}

void
h1_respond_end(struct h1_exchange *exchange)
{
	if (exchange->framing == FRAMING_CHUNKED)
		h1_connection_write(exchange->connection, "0\r\n\r\n", 5);
	exchange_end(exchange);
}

void
h1_exchange_abort(struct h1_exchange *exchange)
{
	if (exchange->framing == FRAMING_CONNECTION)
		h1_connection_reset(exchange->connection);
	else
		h1_connection_close(exchange->connection);
}

void
h1_connection_reject(struct h1_connection *connection, int status,
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
	h1_connection_write(connection, out.data, out.len);
	buf_reset(&out);
	buf_reset(&body);
	h1_connection_drop_exchange(connection);
	h1_connection_linger(connection);
	if (server->options.on_rejected != NULL)
		server->options.on_rejected(
		    server->options.context, &rejection);
}
