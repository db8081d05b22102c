#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/list.h"
#include "common/memory.h"
#include "h1/server_internal.h"
#include "h1/socket.h"

enum {
	BACKLOG = 1024,
	TIMEOUT_CHECK_MS = 250,
	LINGER_US = US_PER_S, /* for a caller to read the last response */
	ACK_TIMEOUT_US = 5 * US_PER_S,
	/* The kernel would take up to 4 MB for each caller that reads slowly,
	 * which counts toward the memory of the VM. */
	KERNEL_UNSENT_BYTES = 64 << 10,
};

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

	buf_reset(&connection->unparsed);
	free(connection);
	server->connection_count--;
	server_free_if_closed(server);
}

void
h1_connection_drop_exchange(struct h1_connection *connection)
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

/* Releases what a connection holds besides its socket. */
static void
connection_detach(struct h1_connection *connection)
{
	connection->closing = true;
	h1_connection_drop_exchange(connection);
	list_remove(&connection->link);
	list_remove(&connection->resume_link);
}

void
h1_connection_close(struct h1_connection *connection)
{
	if (connection->closing)
		return;
	connection_detach(connection);
	uv_close((uv_handle_t *)&connection->tcp, handle_connection_closed);
}

void
h1_connection_reset(struct h1_connection *connection)
{
	if (connection->closing)
		return;
	connection_detach(connection);
	if (uv_tcp_close_reset(&connection->tcp, handle_connection_closed) != 0)
		uv_close(
		    (uv_handle_t *)&connection->tcp, handle_connection_closed);
}

void
h1_connection_set_phase(struct h1_connection *connection, enum phase phase)
{
	connection->phase = phase;
	connection->phase_started_us = clock_monotonic_us();
}

static void
handle_shutdown(uv_shutdown_t *request, int status)
{
	/* The connection is closed when the caller closes it, or by
	 * check_timeout(). */
	(void)request;
	(void)status;
}

void
h1_connection_linger(struct h1_connection *connection)
{
	h1_connection_set_phase(connection, PHASE_LINGER);
	if (connection->write_failed ||
	    uv_shutdown(&connection->shutdown, (uv_stream_t *)&connection->tcp,
		handle_shutdown) != 0)
		h1_connection_close(connection);
}

void
h1_connection_write(
    struct h1_connection *connection, const void *data, size_t len)
{
	size_t held_before = connection->held_bytes;

	if (connection->write_failed || connection->closing)
		return;
	connection->write_failed = !h1_socket_write_counted(
	    &connection->tcp, data, len, &connection->held_bytes);
	if (held_before == 0)
		connection->behind_since_us = 0;
	if (connection->held_bytes == held_before)
		return;
	if (connection->behind_since_us == 0) {
		connection->behind_since_us = clock_monotonic_us();
		connection->behind_bytes = 0;
	}
	connection->behind_bytes += connection->held_bytes - held_before;
}

/* Closes a connection that the caller has closed or that is broken, and runs
 * the on_close callback of a request that the handler has. */
void
h1_connection_lost(struct h1_connection *connection)
{
	struct h1_exchange *exchange = connection->exchange;
	void (*on_close)(void *) = NULL;
	void *context = NULL;

	if (exchange != NULL && connection->phase == PHASE_RESPONSE) {
		on_close = exchange->on_close;
		context = exchange->close_context;
	}
	h1_connection_close(connection);
	if (on_close != NULL)
		on_close(context);
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct h1_connection *connection = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(connection->server->read_buffer, READ_BYTES);
}

/* Keeps data that arrives before the response to an earlier request has ended.
 * Stops reading when it is longer than the largest request. */
static void
buffer_unparsed(struct h1_connection *connection, const char *data, size_t len)
{
	const struct h1_limits *limits = &connection->server->options.limits;

	buf_append(&connection->unparsed, data, len);
	if (connection->unparsed.len >
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
		h1_connection_lost(connection);
		return;
	}
	switch (connection->phase) {
	case PHASE_LINGER:
		return;
	case PHASE_RESPONSE:
		buffer_unparsed(connection, buffer->base, (size_t)len);
		return;
	case PHASE_IDLE:
	case PHASE_HEAD:
	case PHASE_BODY:
		if (connection->unparsed.len > 0)
			buffer_unparsed(connection, buffer->base, (size_t)len);
		else
			h1_connection_parse(
			    connection, buffer->base, (size_t)len);
		return;
	}
}

void
h1_connection_start_reading(struct h1_connection *connection)
{
	connection->reading = uv_read_start((uv_stream_t *)&connection->tcp,
				  handle_alloc, handle_read) == 0;
}

static void
copy_peer_address(struct h1_connection *connection)
{
	struct sockaddr_storage address = {0};
	int len = sizeof(address);

	if (uv_tcp_getpeername(
		&connection->tcp, (struct sockaddr *)&address, &len) != 0)
		return;
	uv_ip4_name((const struct sockaddr_in *)&address, connection->peer,
	    sizeof(connection->peer));
}

static struct h1_connection *
connection_create(struct h1_server *server)
{
	struct h1_connection *connection = xcalloc(1, sizeof(*connection));

	connection->server = server;
	list_init(&connection->resume_link);
	uv_tcp_init(server->listener.loop, &connection->tcp);
	connection->tcp.data = connection;
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	list_append(&server->connections, &connection->link);
	server->connection_count++;
	h1_connection_set_phase(connection, PHASE_IDLE);
	return connection;
}

static void
connection_start(struct h1_connection *connection)
{
	h1_socket_tune(&connection->tcp, ACK_TIMEOUT_US);
	h1_socket_bound_unsent(&connection->tcp, KERNEL_UNSENT_BYTES);
	copy_peer_address(connection);
	h1_connection_start_reading(connection);
}

static void
handle_accept(uv_stream_t *listener, int status)
{
	struct h1_server *server = listener->data;
	struct h1_connection *connection;

	if (status != 0 || server->destroyed)
		return;
	connection = connection_create(server);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0)
		h1_connection_close(connection);
	else
		connection_start(connection);
}

/* Accepts the connections that have been opened since the loop last looked.
 * Closing the listener would reset them, with the requests that were sent on
 * them. */
static void
accept_waiting(struct h1_server *server)
{
	uv_os_fd_t listener;
	int fd;

	if (uv_fileno((uv_handle_t *)&server->listener, &listener) != 0)
		return;
	while ((fd = accept4(
		    listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct h1_connection *connection = connection_create(server);

		if (uv_tcp_open(&connection->tcp, fd) != 0) {
			diag(LOG_WARNING, NULL,
			    "cannot serve an accepted connection");
			close(fd);
			h1_connection_close(connection);
			return;
		}
		connection_start(connection);
	}
}

static void
check_timeout(struct h1_connection *connection, int64_t now_us)
{
	const struct h1_server *server = connection->server;
	const struct h1_limits *limits = &server->options.limits;
	int64_t age_us = now_us - connection->phase_started_us;
	int64_t idle_us = limits->idle_timeout_us;

	if (server->draining && server->drain_idle_us < idle_us)
		idle_us = server->drain_idle_us;
	switch (connection->phase) {
	case PHASE_IDLE:
		if (age_us > idle_us && connection->unparsed.len == 0)
			h1_connection_close(connection);
		return;
	case PHASE_HEAD:
	case PHASE_BODY:
		if (age_us > limits->header_timeout_us)
			h1_connection_reject(connection, 408, "request_timeout",
			    "the request took too long to arrive");
		return;
	case PHASE_LINGER:
		if (age_us > LINGER_US)
			h1_connection_close(connection);
		return;
	case PHASE_RESPONSE:
		return;
	}
}

static void
handle_timeout_timer(uv_timer_t *timer)
{
	struct h1_server *server = timer->data;
	int64_t now_us = clock_monotonic_us();

	list_for_each_safe (
	    connection, tmp, &server->connections, struct h1_connection, link)
		check_timeout(connection, now_us);
}

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

static void
handle_server_handle_closed(uv_handle_t *handle)
{
	struct h1_server *server = handle->data;

	server->open_handles--;
	server_free_if_closed(server);
}

void
h1_server_stop_listening(struct h1_server *server)
{
	if (uv_is_closing((uv_handle_t *)&server->listener))
		return;
	accept_waiting(server);
	uv_close((uv_handle_t *)&server->listener, handle_server_handle_closed);
}

struct h1_server *
h1_server_create(
    uv_loop_t *loop, const struct h1_server_options *options, struct error *err)
{
	struct h1_server *server = xcalloc(1, sizeof(*server));

	server->options = *options;
	list_init(&server->connections);
	list_init(&server->resume_queue);
	server->open_handles = 3;
	uv_tcp_init(loop, &server->listener);
	uv_timer_init(loop, &server->timeout_timer);
	uv_idle_init(loop, &server->resume_idle);
	server->listener.data = server;
	server->timeout_timer.data = server;
	server->resume_idle.data = server;
	if (!server_listen(server, err)) {
		h1_server_destroy(server);
		return NULL;
	}
	uv_timer_start(&server->timeout_timer, handle_timeout_timer,
	    TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
	return server;
}

void
h1_server_destroy(struct h1_server *server)
{
	if (server == NULL)
		return;
	server->destroyed = true;
	list_for_each_safe (
	    connection, tmp, &server->connections, struct h1_connection, link)
		h1_connection_close(connection);
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener,
		    handle_server_handle_closed);
	uv_close(
	    (uv_handle_t *)&server->timeout_timer, handle_server_handle_closed);
	uv_close(
	    (uv_handle_t *)&server->resume_idle, handle_server_handle_closed);
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

size_t
h1_server_backlogs(
    struct h1_server *server, struct h1_backlog *backlogs, size_t max)
{
	size_t count = 0;

	list_for_each (
	    connection, &server->connections, struct h1_connection, link) {
		if (connection->held_bytes == 0 || count == max)
			continue;
		backlogs[count++] = (struct h1_backlog){
		    .connection = connection,
		    .held_bytes = connection->held_bytes,
		    .read_bytes =
			connection->behind_bytes - connection->held_bytes,
		    .since_us = connection->behind_since_us,
		};
	}
	return count;
}

void
h1_server_disconnect(struct h1_connection *connection)
{
	if (!connection->closing)
		h1_connection_lost(connection);
}

size_t
h1_exchange_held_bytes(const struct h1_exchange *exchange)
{
	return exchange->connection->held_bytes;
}

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
h1_exchange_remote_address(const struct h1_exchange *exchange)
{
	return exchange->connection->peer;
}

int64_t
h1_exchange_received_us(const struct h1_exchange *exchange)
{
	return exchange->received_us;
}

void
h1_exchange_on_close(struct h1_exchange *exchange,
    void (*on_close)(void *context), void *context)
{
	exchange->on_close = on_close;
	exchange->close_context = context;
}
