#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "h1/probe.h"
#include "h1/socket.h"

enum {
	/* Some round trips. A cut between the two ends may show as a reset
	 * after the connection was opened. */
	STAYS_OPEN_MS = 50,
	READ_BYTES = 64,
};

struct h1_probe {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	int open_handles;
	bool connected;
	bool closing;
	char read_buffer[READ_BYTES];
	void (*on_done)(void *context, enum h1_probe_result result);
	void *context;
};

static void
handle_closed(uv_handle_t *handle)
{
	struct h1_probe *probe = handle->data;

	if (--probe->open_handles == 0)
		free(probe);
}

void
h1_probe_cancel(struct h1_probe *probe)
{
	if (probe->closing)
		return;
	probe->closing = true;
	uv_close((uv_handle_t *)&probe->tcp, handle_closed);
	uv_close((uv_handle_t *)&probe->timer, handle_closed);
}

static void
finish(struct h1_probe *probe, enum h1_probe_result result)
{
	if (probe->closing)
		return;
	h1_probe_cancel(probe);
	probe->on_done(probe->context, result);
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct h1_probe *probe = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(probe->read_buffer, READ_BYTES);
}

static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	(void)buffer;
	if (len < 0)
		finish(stream->data, H1_PROBE_REFUSED);
}

/* Reports success once the connection has stayed open, or a timeout. */
static void
handle_timer(uv_timer_t *timer)
{
	struct h1_probe *probe = timer->data;

	finish(probe, probe->connected ? H1_PROBE_OPEN : H1_PROBE_TIMED_OUT);
}

static void
handle_connected(uv_connect_t *connect, int status)
{
	struct h1_probe *probe = connect->data;

	if (probe->closing)
		return;
	if (status != 0) {
		finish(probe,
		    status == UV_ETIMEDOUT ? H1_PROBE_TIMED_OUT
					   : H1_PROBE_REFUSED);
		return;
	}
	probe->connected = true;
	uv_read_start((uv_stream_t *)&probe->tcp, handle_alloc, handle_read);
	uv_timer_start(&probe->timer, handle_timer, STAYS_OPEN_MS, 0);
}

struct h1_probe *
h1_probe_start(uv_loop_t *loop, const char *address, int64_t timeout_us,
    void (*on_done)(void *context, enum h1_probe_result result), void *context)
{
	struct sockaddr_in target;
	struct h1_probe *probe;

	if (!h1_socket_parse_address(address, &target))
		return NULL;
	probe = xcalloc(1, sizeof(*probe));
	probe->on_done = on_done;
	probe->context = context;
	probe->open_handles = 2;
	uv_tcp_init(loop, &probe->tcp);
	uv_timer_init(loop, &probe->timer);
	probe->tcp.data = probe;
	probe->timer.data = probe;
	probe->connect.data = probe;
	uv_timer_start(
	    &probe->timer, handle_timer, (uint64_t)(timeout_us / US_PER_MS), 0);
	if (uv_tcp_connect(&probe->connect, &probe->tcp,
		(const struct sockaddr *)&target, handle_connected) == 0)
		return probe;
	h1_probe_cancel(probe);
	return NULL;
}
