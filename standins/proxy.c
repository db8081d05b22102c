#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/proxy.h"

enum {
	BACKLOG = 64,
	DELAY_MS = 250, /* longer than a gateway waits to hedge an append */
	READ_BYTES = 16384,
	ENDPOINT_COUNT = 2,
	/* Connections that fill the queue of a socket that accepts none;
	 * further ones hang. */
	FILLER_COUNT = 2,
};

struct connection;

/** One end of a connection through the proxy. */
struct endpoint {
	uv_tcp_t tcp;
	struct connection *connection;
	bool open;
};

/** A connection through the proxy. */
struct connection {
	struct list list_entry;
	struct proxy *proxy;
	struct endpoint endpoints[ENDPOINT_COUNT]; /**< gateway, store */
	uv_connect_t connect;
	int open_handles;   /**< TCP handles that are not closed yet */
	int delayed_chunks; /**< chunks that wait for their timer */
	bool closing;
};

struct proxy {
	uv_loop_t *loop;
	struct proxy_options options; /**< without the address text */
	struct sockaddr_in address;   /**< that it listens on */
	uv_tcp_t *listener;           /**< NULL: new connections fail */
	/** Socket that accepts nothing, and connections to it; -1: none. */
	int dark_fds[1 + FILLER_COUNT];
	struct list connections;
	enum proxy_mode mode;
	bool closing;
};

/** Bytes to be written to an endpoint, at once or after a delay. */
struct chunk {
	uv_write_t write;
	uv_timer_t timer;
	struct endpoint *to;
	size_t len;
	char data[];
};

const char *
proxy_mode_name(enum proxy_mode mode)
{
	static const char *const names[] = {
	    [PROXY_PASS] = "pass",
	    [PROXY_DELAY] = "delay",
	    [PROXY_RESET] = "reset",
	    [PROXY_BLACKHOLE] = "black hole",
	    [PROXY_DROP_REQUESTS] = "drop requests",
	    [PROXY_DROP_REPLIES] = "drop replies",
	    [PROXY_REFUSE] = "refuse",
	    [PROXY_DARK] = "dark",
	};

	return names[mode];
}

/* Frees a connection without open handles and delayed chunks. Frees the proxy
 * with its last connection, if it is being closed. */
static void
connection_release(struct connection *connection)
{
	struct proxy *proxy = connection->proxy;

	if (connection->open_handles > 0 || connection->delayed_chunks > 0)
		return;
	list_remove(&connection->list_entry);
	free(connection);
	if (proxy->closing && list_empty(&proxy->connections))
		free(proxy);
}

static void
handle_closed(uv_handle_t *handle)
{
	struct endpoint *endpoint = handle->data;

	endpoint->connection->open_handles--;
	connection_release(endpoint->connection);
}

static void
connection_close(struct connection *connection, bool reset)
{
	if (connection->closing)
		return;
	connection->closing = true;
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		struct endpoint *endpoint = &connection->endpoints[i];

		endpoint->open = false;
		if (!reset ||
		    uv_tcp_close_reset(&endpoint->tcp, handle_closed) != 0)
			uv_close((uv_handle_t *)&endpoint->tcp, handle_closed);
	}
}

static void
handle_written(uv_write_t *write, int status)
{
	struct chunk *chunk = write->data;

	(void)status;
	free(chunk);
}

static void
chunk_send(struct chunk *chunk)
{
	uv_buf_t buf = uv_buf_init(chunk->data, (unsigned int)chunk->len);

	chunk->write.data = chunk;
	if (!chunk->to->open ||
	    uv_write(&chunk->write, (uv_stream_t *)&chunk->to->tcp, &buf, 1,
		handle_written) != 0)
		free(chunk);
}

static void
handle_delay_timer_closed(uv_handle_t *handle)
{
	struct chunk *chunk = handle->data;
	struct connection *connection = chunk->to->connection;

	chunk_send(chunk);
	connection->delayed_chunks--;
	connection_release(connection);
}

static void
handle_delay_elapsed(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, handle_delay_timer_closed);
}

static void
forward(struct endpoint *to, const char *data, size_t len)
{
	struct proxy *proxy = to->connection->proxy;
	struct chunk *chunk = xcalloc(1, sizeof(*chunk) + len);

	chunk->to = to;
	chunk->len = len;
	memcpy(chunk->data, data, len);
	if (proxy->mode != PROXY_DELAY && to->connection->delayed_chunks == 0) {
		chunk_send(chunk);
		return;
	}
	/* A chunk behind delayed ones is delayed too, to keep the order. */
	to->connection->delayed_chunks++;
	uv_timer_init(proxy->loop, &chunk->timer);
	chunk->timer.data = chunk;
	uv_timer_start(&chunk->timer, handle_delay_elapsed, DELAY_MS, 0);
}

/* Returns whether the mode drops bytes from this endpoint. */
static bool
should_drop(const struct connection *connection, const struct endpoint *from)
{
	bool is_request = from == &connection->endpoints[0];

	switch (connection->proxy->mode) {
	case PROXY_BLACKHOLE:
	case PROXY_DARK:
		return true;
	case PROXY_DROP_REQUESTS:
		return is_request;
	case PROXY_DROP_REPLIES:
		return !is_request;
	default:
		return false;
	}
}

static void
alloc_read_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	static char buffer[READ_BYTES];

	(void)handle;
	(void)suggested_size;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct endpoint *from = stream->data;
	struct connection *connection = from->connection;
	struct endpoint *to = from == &connection->endpoints[0]
	    ? &connection->endpoints[1]
	    : &connection->endpoints[0];

	if (len < 0) {
		connection_close(connection, len == UV_ECONNRESET);
		return;
	}
	/* TCP never leaves a gap in a stream: after dropped bytes, nothing more
	 * is read in this direction. */
	if (should_drop(connection, from)) {
		uv_read_stop(stream);
		return;
	}
	if (len == 0)
		return;
	if (from == &connection->endpoints[1] &&
	    connection->proxy->options.on_reply != NULL)
		connection->proxy->options.on_reply(
		    connection->proxy->options.context, buf->base, (size_t)len);
	forward(to, buf->base, (size_t)len);
}

static void
handle_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (connection->closing)
		return;
	if (status != 0) {
		connection_close(connection, true);
		return;
	}
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		connection->endpoints[i].open = true;
		uv_read_start((uv_stream_t *)&connection->endpoints[i].tcp,
		    alloc_read_buffer, handle_read);
	}
}

static void
handle_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct connection *connection = xcalloc(1, sizeof(*connection));
	struct sockaddr_in address;

	(void)status;
	connection->proxy = proxy;
	list_append(&proxy->connections, &connection->list_entry);
	connection->open_handles = ENDPOINT_COUNT;
	for (int i = 0; i < ENDPOINT_COUNT; i++) {
		connection->endpoints[i].connection = connection;
		uv_tcp_init(proxy->loop, &connection->endpoints[i].tcp);
		connection->endpoints[i].tcp.data = &connection->endpoints[i];
	}
	if (uv_accept(listener, (uv_stream_t *)&connection->endpoints[0].tcp) !=
		0 ||
	    proxy->mode == PROXY_RESET) {
		connection_close(connection, true);
		return;
	}
	uv_ip4_addr("127.0.0.1", proxy->options.target_port, &address);
	connection->connect.data = connection;
	if (uv_tcp_connect(&connection->connect, &connection->endpoints[1].tcp,
		(struct sockaddr *)&address, handle_connected) != 0)
		connection_close(connection, true);
}

static void
handle_listener_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
stop_listening(struct proxy *proxy)
{
	if (proxy->listener == NULL)
		return;
	uv_close((uv_handle_t *)proxy->listener, handle_listener_closed);
	proxy->listener = NULL;
}

static bool
start_listening(struct proxy *proxy)
{
	int len = sizeof(proxy->address);

	if (proxy->listener != NULL)
		return true;
	proxy->listener = xcalloc(1, sizeof(*proxy->listener));
	uv_tcp_init(proxy->loop, proxy->listener);
	proxy->listener->data = proxy;
	if (uv_tcp_bind(
		proxy->listener, (struct sockaddr *)&proxy->address, 0) == 0 &&
	    uv_listen((uv_stream_t *)proxy->listener, BACKLOG,
		handle_connection) == 0 &&
	    uv_tcp_getsockname(
		proxy->listener, (struct sockaddr *)&proxy->address, &len) == 0)
		return true;
	stop_listening(proxy);
	return false;
}

/* Listens without accepting, with a full queue, so that the kernel drops the
 * first packet of each new connection. */
static void
start_darkness(struct proxy *proxy)
{
	const struct sockaddr *address = (struct sockaddr *)&proxy->address;
	int on = 1;

	for (int i = 0; i < 1 + FILLER_COUNT; i++) {
		int fd = socket(
		    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

		proxy->dark_fds[i] = fd;
		if (i > 0) {
			(void)connect(fd, address, sizeof(proxy->address));
			continue;
		}
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, address, sizeof(proxy->address)) == 0)
			(void)listen(fd, 0);
	}
}

static void
stop_darkness(struct proxy *proxy)
{
	for (int i = 0; i < 1 + FILLER_COUNT; i++) {
		if (proxy->dark_fds[i] >= 0)
			close(proxy->dark_fds[i]);
		proxy->dark_fds[i] = -1;
	}
}

struct proxy *
proxy_create(uv_loop_t *loop, const struct proxy_options *options)
{
	struct proxy *proxy = xcalloc(1, sizeof(*proxy));

	proxy->loop = loop;
	proxy->options = *options;
	proxy->options.address = NULL;
	for (int i = 0; i < 1 + FILLER_COUNT; i++)
		proxy->dark_fds[i] = -1;
	list_init(&proxy->connections);
	uv_ip4_addr(options->address, options->port, &proxy->address);
	if (start_listening(proxy))
		return proxy;
	free(proxy);
	return NULL;
}

void
proxy_destroy(struct proxy *proxy)
{
	list_for_each_safe (
	    connection, tmp, &proxy->connections, struct connection, list_entry)
		connection_close(connection, true);
	stop_listening(proxy);
	stop_darkness(proxy);
	proxy->closing = true;
	if (list_empty(&proxy->connections))
		free(proxy);
}

int
proxy_port(const struct proxy *proxy)
{
	return ntohs(proxy->address.sin_port);
}

static bool
drops_bytes(enum proxy_mode mode)
{
	return mode == PROXY_BLACKHOLE || mode == PROXY_DROP_REQUESTS ||
	    mode == PROXY_DROP_REPLIES || mode == PROXY_DARK;
}

void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	if (mode == proxy->mode)
		return;
	/* Connections that lost bytes cannot continue. */
	if (mode == PROXY_RESET || drops_bytes(proxy->mode)) {
		list_for_each_safe (connection, tmp, &proxy->connections,
		    struct connection, list_entry)
			connection_close(connection, true);
	}
	proxy->mode = mode;
	stop_darkness(proxy);
	if (mode == PROXY_REFUSE || mode == PROXY_DARK)
		stop_listening(proxy);
	else
		(void)start_listening(proxy);
	if (mode == PROXY_DARK)
		start_darkness(proxy);
}
