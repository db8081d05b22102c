#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "h1/client.h"
#include "h1/response_parser.h"
#include "h1/socket.h"

enum {
	READ_BYTES = 65536,
	/* The sweep runs only while connections are being opened, or responses
	 * wait for the end of their requests. */
	SWEEP_MS = 10,
	IDLE_SWEEP_MS = 250,
	/* Subtracted from the time in a server's Keep-Alive field, so that no
	 * request is sent while the server closes the connection. */
	KEEP_ALIVE_MARGIN_US = 500 * US_PER_MS,
	/* Bytes in a row that belong to no body: heads, interim responses,
	 * responses to other calls, headers of chunks, trailers. Several times
	 * the longest head that the parser accepts. */
	OVERHEAD_MAX_BYTES = 256 << 10,
};

/** Idle connections to one address. */
struct h1_pool {
	UT_hash_handle hh;
	char address[H1_ADDRESS_BYTES];
	struct list idle; /**< of struct h1_connection, last used first */
};

struct h1_connection {
	struct list link; /**< in h1_pool.idle, h1_client.connecting, or
			     h1_client.ended */
	struct h1_client *client;
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct h1_response_parser parser; /**< of the call's response */
	struct h1_call *call;             /**< NULL while idle */
	char address[H1_ADDRESS_BYTES];
	bool connected;
	bool closing;
	bool paused;      /**< h1_call_pause() */
	size_t read_size; /**< most that is read at once; 0: that of
				the client */
	bool served;      /**< an earlier call has completed */
	bool reusable;    /**< another call may use the connection */
	bool extra_data;  /**< bytes arrived after the response */
	bool ended;       /**< the server has closed it in order */
	bool broken;      /**< it was reset, or a write has failed */
	int64_t idle_since_us;
	int64_t max_idle_us; /**< longest time that it may stay idle */
};

struct h1_call {
	struct list link; /**< in h1_client.calls */
	struct h1_client *client;
	struct h1_connection *connection;
	struct h1_call_params params; /**< texts and body are not valid */
	struct buf request;           /**< encoded request, until sent */
	bool sent;
	size_t overhead_bytes; /**< received since the last byte of the body */
	bool head_method;      /**< HEAD: the response has no body */
	int64_t connect_deadline_us;
	uv_timer_t *start_failure_timer; /**< NULL unless starting failed */
};

struct h1_client {
	uv_loop_t *loop;
	struct h1_client_options options;
	struct h1_pool *pools; /**< hash table by address */
	struct list calls;
	struct list connecting;
	/** Connections that the server has closed, where a part of the request
	 * is not acknowledged. */
	struct list ended;
	uv_timer_t sweep;
	uv_timer_t idle_sweep;
	size_t connection_count;
	uint64_t opened_count;
	int open_handles;
	bool destroyed;
	size_t read_size; /**< most that is read at once */
	char read_buffer[READ_BYTES];
};

static void
client_free_if_closed(struct h1_client *client)
{
	struct h1_pool *pool;
	struct h1_pool *next;

	if (!client->destroyed || client->open_handles > 0 ||
	    client->connection_count > 0)
		return;
	HASH_ITER (hh, client->pools, pool, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(client->pools, pool);
		free(pool);
	}
	free(client);
}

static void
handle_connection_closed(uv_handle_t *handle)
{
	struct h1_connection *connection = handle->data;
	struct h1_client *client = connection->client;

	h1_response_parser_reset(&connection->parser);
	free(connection);
	client->connection_count--;
	client_free_if_closed(client);
}

static void
connection_close(struct h1_connection *connection)
{
	if (connection->closing)
		return;
	connection->closing = true;
	connection->call = NULL;
	list_remove(&connection->link);
	uv_close((uv_handle_t *)&connection->tcp, handle_connection_closed);
}

static struct h1_pool *
pool_get(struct h1_client *client, const char *address)
{
	struct h1_pool *pool;

	HASH_FIND_STR(client->pools, address, pool);
	if (pool != NULL)
		return pool;
	pool = xcalloc(1, sizeof(*pool));
	snprintf(pool->address, sizeof(pool->address), "%s", address);
	list_init(&pool->idle);
	HASH_ADD_STR(client->pools, address, pool);
	return pool;
}

static void
call_free(struct h1_call *call)
{
	list_remove(&call->link);
	buf_reset(&call->request);
	free(call);
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer);

static void
connection_resume(struct h1_connection *connection)
{
	if (!connection->paused)
		return;
	connection->paused = false;
	uv_read_start(
	    (uv_stream_t *)&connection->tcp, handle_alloc, handle_read);
}

static void
connection_make_idle(struct h1_connection *connection)
{
	struct h1_pool *pool =
	    pool_get(connection->client, connection->address);

	connection_resume(connection);
	h1_response_parser_reset(&connection->parser);
	connection->read_size = 0;
	connection->call = NULL;
	connection->served = true;
	connection->idle_since_us = clock_monotonic_us();
	list_insert(&pool->idle, &connection->link);
}

/* Returns whether the next call may use the connection. It may not while a part
 * of the request is unsent although the response has ended: the server still
 * waits for the rest of that body. */
static bool
connection_is_reusable(const struct h1_connection *connection)
{
	return connection->reusable && !connection->extra_data &&
	    uv_stream_get_write_queue_size(
		(const uv_stream_t *)&connection->tcp) == 0;
}

static void
call_finish(struct h1_call *call, const struct h1_outcome *outcome)
{
	struct h1_connection *connection = call->connection;
	void (*done)(void *, const struct h1_outcome *) = call->params.on_done;
	void *context = call->params.context;

	if (connection != NULL) {
		if (outcome->result == H1_COMPLETE &&
		    connection_is_reusable(connection))
			connection_make_idle(connection);
		else
			connection_close(connection);
	}
	call_free(call);
	done(context, outcome);
}

static enum h1_body_end
call_body_end(const struct h1_call *call)
{
	return call->connection != NULL ? call->connection->parser.body_end
					: H1_BODY_END_UNKNOWN;
}

static void
call_fail(struct h1_call *call, enum h1_result result, int code)
{
	struct h1_outcome outcome = {
	    .result = result,
	    .body_end = call_body_end(call),
	    .reused = call->connection != NULL && call->connection->served,
	    .refused = result == H1_CONNECT_FAILED && code == UV_ECONNREFUSED,
	    .reset = result == H1_CONNECTION_LOST && code != UV_EOF,
	};

	call_finish(call, &outcome);
}

/* Returns how long a connection may stay idle: the timeout of the server's
 * Keep-Alive field less a margin, or default_us if that is shorter. */
static int64_t
max_idle_time(const struct h1_headers *headers, int64_t default_us)
{
	const char *value = h1_headers_find(headers, "keep-alive");
	const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
	int64_t max_idle_us;

	if (timeout == NULL)
		return default_us;
	max_idle_us =
	    (int64_t)strtol(timeout + strlen("timeout="), NULL, 10) * US_PER_S -
	    KEEP_ALIVE_MARGIN_US;
	return max_idle_us < default_us ? max_idle_us : default_us;
}

static enum h1_parse_action
handle_head(void *context, const struct h1_head *head)
{
	struct h1_connection *connection = context;
	struct h1_call *call = connection->call;
	enum h1_head_action action;

	connection->max_idle_us = max_idle_time(
	    &head->headers, connection->client->options.idle_timeout_us);
	action = call->params.on_head == NULL
	    ? H1_HEAD_ACCEPT
	    : call->params.on_head(call->params.context, head);
	/* The callback may have cancelled the call. */
	if (connection->call == NULL)
		return H1_PARSE_STOP;
	return action == H1_HEAD_SKIP ? H1_PARSE_SKIP : H1_PARSE_CONTINUE;
}

static enum h1_parse_action
handle_data(void *context, const char *data, size_t len)
{
	struct h1_connection *connection = context;
	struct h1_call *call = connection->call;

	call->overhead_bytes = 0;
	if (call->params.on_data != NULL)
		call->params.on_data(call->params.context, data, len);
	return connection->call == NULL ? H1_PARSE_STOP : H1_PARSE_CONTINUE;
}

static const struct h1_response_events response_events = {
    .on_head = handle_head,
    .on_data = handle_data,
};

static void
call_fail_malformed(struct h1_call *call, const char *fault)
{
	const struct h1_outcome outcome = {
	    .result = H1_MALFORMED,
	    .body_end = call_body_end(call),
	    .reused = call->connection->served,
	    .fault = fault,
	};

	call_finish(call, &outcome);
}

static void
call_complete(struct h1_call *call)
{
	const struct h1_outcome outcome = {
	    .result = H1_COMPLETE,
	    .body_end = call_body_end(call),
	    .reused = call->connection->served,
	};

	if (!call->connection->parser.keep_alive)
		call->connection->reusable = false;
	call_finish(call, &outcome);
}

static void
connection_parse(struct h1_connection *connection, const char *data, size_t len)
{
	struct h1_call *call = connection->call;
	size_t used;

	call->overhead_bytes += len;
	switch (
	    h1_response_parser_execute(&connection->parser, data, len, &used)) {
	case H1_PARSE_STOPPED: /* the call is cancelled */
		return;
	case H1_PARSE_COMPLETE:
		connection->extra_data = used < len;
		call_complete(call);
		return;
	case H1_PARSE_MALFORMED:
		call_fail_malformed(call, connection->parser.fault);
		return;
	case H1_PARSE_INCOMPLETE:
		if (call->overhead_bytes > OVERHEAD_MAX_BYTES)
			call_fail_malformed(call, "too long a head");
		return;
	}
}

static bool
connection_is_broken(struct h1_connection *connection)
{
	/* The socket tells its error once. */
	if (!h1_socket_closed_in_order(&connection->tcp))
		connection->broken = true;
	return connection->broken;
}

/* Ends the call of a connection that the server has closed. */
static void
connection_finish(struct h1_connection *connection)
{
	struct h1_call *call = connection->call;

	if (connection_is_broken(connection))
		call_fail(call, H1_CONNECTION_LOST, UV_ECONNRESET);
	else if (h1_response_parser_finish(&connection->parser) ==
	    H1_PARSE_COMPLETE)
		call_complete(call);
	else
		call_fail(call, H1_CONNECTION_LOST, UV_EOF);
}

static void handle_sweep(uv_timer_t *timer);

static void
client_start_sweep(struct h1_client *client)
{
	if (!uv_is_active((uv_handle_t *)&client->sweep))
		uv_timer_start(
		    &client->sweep, handle_sweep, SWEEP_MS, SWEEP_MS);
}

/* Returns whether it is known how the response ended. The server may have died
 * while a part of the request was on its way. Its kernel closes the connection
 * in order then, and resets it when that part arrives. */
static bool
connection_is_settled(struct h1_connection *connection)
{
	return connection->parser.body_end != H1_BODY_END_CONNECTION ||
	    connection_is_broken(connection) ||
	    !h1_socket_has_unacknowledged(&connection->tcp);
}

/* A response without a length ends with an orderly close of its connection; a
 * reset leaves it incomplete. */
static void
connection_ended(struct h1_connection *connection, int code)
{
	struct h1_call *call = connection->call;

	if (call == NULL) {
		connection_close(connection);
		return;
	}
	connection->reusable = false;
	if (code != UV_EOF) {
		call_fail(call, H1_CONNECTION_LOST, code);
		return;
	}
	if (connection_is_settled(connection)) {
		connection_finish(connection);
		return;
	}
	connection->ended = true;
	list_append(&connection->client->ended, &connection->link);
	client_start_sweep(connection->client);
}

static size_t
connection_read_size(const struct h1_connection *connection)
{
	if (connection->read_size != 0)
		return connection->read_size;
	return connection->client->read_size;
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct h1_connection *connection = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(connection->client->read_buffer,
	    (unsigned int)connection_read_size(connection));
}

static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct h1_connection *connection = stream->data;

	if (connection->closing || len == 0)
		return;
	if (len < 0)
		connection_ended(connection, (int)len);
	else if (connection->call == NULL)
		connection_close(connection); /* data without a request */
	else
		connection_parse(connection, buffer->base, (size_t)len);
}

static void
append_request(struct h1_call *call, const struct h1_call_params *params)
{
	struct buf *out = &call->request;
	const struct h1_headers *headers = params->headers;

	buf_append_text(out, params->method);
	buf_append(out, " ", 1);
	buf_append_text(out, params->target);
	buf_append_text(out, " HTTP/1.1\r\n");
	for (size_t i = 0; headers != NULL && i < headers->count; i++) {
		buf_append_text(out, h1_headers_name(headers, i));
		buf_append(out, ": ", 2);
		buf_append_text(out, h1_headers_value(headers, i));
		buf_append(out, "\r\n", 2);
	}
	if (headers == NULL || h1_headers_find(headers, "host") == NULL)
		buf_printf(out, "Host: %s\r\n", params->address);
	if (params->body_len > 0 || strcmp(params->method, "GET") != 0)
		buf_printf(out, "Content-Length: %zu\r\n", params->body_len);
	buf_append(out, "\r\n", 2);
	buf_append(out, params->body, params->body_len);
}

static void
call_send(struct h1_call *call)
{
	struct h1_connection *connection = call->connection;

	h1_response_parser_begin(&connection->parser, call->head_method,
	    &response_events, connection);
	connection->reusable = true;
	call->sent = true;
	h1_socket_write(&connection->tcp, call->request.data, call->request.len,
	    &connection->broken);
	buf_reset(&call->request);
}

static void
handle_connected(uv_connect_t *request, int status)
{
	struct h1_connection *connection = request->data;

	if (connection->closing || connection->call == NULL)
		return;
	list_remove(&connection->link);
	if (status != 0) {
		call_fail(connection->call, H1_CONNECT_FAILED, status);
		return;
	}
	connection->connected = true;
	h1_socket_tune(
	    &connection->tcp, connection->client->options.ack_timeout_us);
	uv_read_start(
	    (uv_stream_t *)&connection->tcp, handle_alloc, handle_read);
	call_send(connection->call);
}

/* Returns a connection that the server has closed and whose response is known
 * to be complete or not, or NULL. */
static struct h1_connection *
find_settled(struct h1_client *client)
{
	list_for_each (connection, &client->ended, struct h1_connection, link) {
		if (connection_is_settled(connection))
			return connection;
	}
	return NULL;
}

static void
handle_sweep(uv_timer_t *timer)
{
	struct h1_client *client = timer->data;
	int64_t now_us = clock_monotonic_us();
	struct h1_connection *settled;

	list_for_each_safe (
	    connection, tmp, &client->connecting, struct h1_connection, link) {
		if (connection->call != NULL &&
		    connection->call->connect_deadline_us <= now_us)
			call_fail(
			    connection->call, H1_CONNECT_FAILED, UV_ETIMEDOUT);
	}
	/* The callback of a call may cancel others. */
	while ((settled = find_settled(client)) != NULL)
		connection_finish(settled);
	if (list_empty(&client->connecting) && list_empty(&client->ended))
		uv_timer_stop(timer);
}

static bool
connection_open(struct h1_call *call, const char *address)
{
	struct h1_client *client = call->client;
	struct h1_connection *connection;
	struct sockaddr_in target;

	if (!h1_socket_parse_address(address, &target))
		return false;
	connection = xcalloc(1, sizeof(*connection));
	connection->client = client;
	connection->call = call;
	connection->max_idle_us = client->options.idle_timeout_us;
	snprintf(
	    connection->address, sizeof(connection->address), "%s", address);
	call->connection = connection;
	uv_tcp_init(client->loop, &connection->tcp);
	connection->tcp.data = connection;
	connection->connect.data = connection;
	client->connection_count++;
	client->opened_count++;
	list_append(&client->connecting, &connection->link);
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
		(const struct sockaddr *)&target, handle_connected) != 0)
		return false;
	client_start_sweep(client);
	return true;
}

/* Returns the connection that was used last, if it was idle for a short enough
 * time, else NULL. The longer a connection is idle, the likelier its server has
 * closed it. */
static struct h1_connection *
take_idle(struct h1_client *client, const char *address, int64_t max_reuse_us)
{
	int64_t now_us = clock_monotonic_us();
	struct h1_connection *connection;
	struct h1_pool *pool;

	HASH_FIND_STR(client->pools, address, pool);
	if (pool == NULL || list_empty(&pool->idle))
		return NULL;
	connection = list_entry(pool->idle.next, struct h1_connection, link);
	if (now_us - connection->idle_since_us >= max_reuse_us ||
	    now_us - connection->idle_since_us >= connection->max_idle_us)
		return NULL;
	list_remove(&connection->link);
	return connection;
}

static void
handle_failure_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
handle_start_failure(uv_timer_t *timer)
{
	struct h1_call *call = timer->data;

	call->start_failure_timer = NULL;
	uv_close((uv_handle_t *)timer, handle_failure_timer_closed);
	call_fail(call, H1_CONNECT_FAILED, UV_EINVAL);
}

static void
schedule_start_failure(struct h1_call *call)
{
	call->start_failure_timer =
	    xcalloc(1, sizeof(*call->start_failure_timer));
	uv_timer_init(call->client->loop, call->start_failure_timer);
	call->start_failure_timer->data = call;
	uv_timer_start(call->start_failure_timer, handle_start_failure, 0, 0);
}

struct h1_call *
h1_call_start(struct h1_client *client, const struct h1_call_params *params)
{
	struct h1_call *call = xcalloc(1, sizeof(*call));

	call->client = client;
	call->params = *params;
	call->head_method = strcmp(params->method, "HEAD") == 0;
	call->connect_deadline_us =
	    clock_monotonic_us() + params->connect_timeout_us;
	list_append(&client->calls, &call->link);
	append_request(call, params);
	call->connection =
	    take_idle(client, params->address, params->max_reuse_us);
	if (call->connection != NULL) {
		call->connection->call = call;
		call_send(call);
	} else if (!connection_open(call, params->address)) {
		schedule_start_failure(call);
	}
	return call;
}

void
h1_call_cancel(struct h1_call *call)
{
	if (call->connection != NULL)
		connection_close(call->connection);
	if (call->start_failure_timer != NULL)
		uv_close((uv_handle_t *)call->start_failure_timer,
		    handle_failure_timer_closed);
	call_free(call);
}

void
h1_call_pause(struct h1_call *call)
{
	struct h1_connection *connection = call->connection;

	if (connection == NULL || !connection->connected ||
	    connection->paused || connection->ended)
		return;
	connection->paused = true;
	uv_read_stop((uv_stream_t *)&connection->tcp);
}

void
h1_call_resume(struct h1_call *call)
{
	if (call->connection != NULL)
		connection_resume(call->connection);
}

void
h1_call_set_read_size(struct h1_call *call, size_t bytes)
{
	if (call->connection != NULL)
		call->connection->read_size =
		    bytes < READ_BYTES ? bytes : READ_BYTES;
}

void
h1_call_discard_connection(struct h1_call *call)
{
	if (call->connection != NULL)
		call->connection->reusable = false;
}

const char *
h1_body_end_name(enum h1_body_end body_end)
{
	static const char *const names[] = {
	    [H1_BODY_END_UNKNOWN] = NULL,
	    [H1_BODY_END_LENGTH] = "length",
	    [H1_BODY_END_CHUNK] = "chunk",
	    [H1_BODY_END_CONNECTION] = "connection",
	};

	return names[body_end];
}

bool
h1_call_sent(const struct h1_call *call)
{
	return call->sent;
}

bool
h1_call_reuses_connection(const struct h1_call *call)
{
	return call->connection != NULL && call->connection->served;
}

/* Closes the connections whose idle time has passed by now_us; INT64_MAX
 * closes all. */
static void
pool_close_expired(struct h1_pool *pool, int64_t now_us)
{
	list_for_each_safe (
	    connection, tmp, &pool->idle, struct h1_connection, link) {
		if (now_us - connection->idle_since_us >=
		    connection->max_idle_us)
			connection_close(connection);
	}
}

static void
handle_idle_sweep(uv_timer_t *timer)
{
	struct h1_client *client = timer->data;
	int64_t now_us = clock_monotonic_us();
	struct h1_pool *pool;
	struct h1_pool *next;

	HASH_ITER (hh, client->pools, pool, next) {
		pool_close_expired(pool, now_us);
		if (!list_empty(&pool->idle))
			continue;
		/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
		HASH_DEL(client->pools, pool);
		free(pool);
	}
}

struct h1_client *
h1_client_create(uv_loop_t *loop, const struct h1_client_options *options)
{
	struct h1_client *client = xcalloc(1, sizeof(*client));

	client->loop = loop;
	client->options = *options;
	client->read_size = READ_BYTES;
	list_init(&client->calls);
	list_init(&client->connecting);
	list_init(&client->ended);
	client->open_handles = 2;
	uv_timer_init(loop, &client->sweep);
	uv_timer_init(loop, &client->idle_sweep);
	client->sweep.data = client;
	client->idle_sweep.data = client;
	uv_timer_start(&client->idle_sweep, handle_idle_sweep, IDLE_SWEEP_MS,
	    IDLE_SWEEP_MS);
	return client;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct h1_client *client = handle->data;

	client->open_handles--;
	client_free_if_closed(client);
}

void
h1_client_set_read_size(struct h1_client *client, size_t bytes)
{
	client->read_size =
	    bytes != 0 && bytes < READ_BYTES ? bytes : READ_BYTES;
}

void
h1_client_close_idle(struct h1_client *client, const char *address)
{
	struct h1_pool *pool;

	HASH_FIND_STR(client->pools, address, pool);
	if (pool != NULL)
		pool_close_expired(pool, INT64_MAX);
}

void
h1_client_destroy(struct h1_client *client)
{
	struct h1_pool *pool;
	struct h1_pool *next;

	if (client == NULL)
		return;
	list_for_each_safe (call, tmp, &client->calls, struct h1_call, link)
		h1_call_cancel(call);
	HASH_ITER (hh, client->pools, pool, next)
		pool_close_expired(pool, INT64_MAX);
	client->destroyed = true;
	uv_close((uv_handle_t *)&client->sweep, handle_timer_closed);
	uv_close((uv_handle_t *)&client->idle_sweep, handle_timer_closed);
}

uint64_t
h1_client_opened_connections(const struct h1_client *client)
{
	return client->opened_count;
}
