#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <linux/sockios.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "h1/socket.h"

enum {
	KEEPALIVE_IDLE_S = 5,     /* before the first probe */
	KEEPALIVE_INTERVAL_S = 2, /* between probes */
	KEEPALIVE_PROBES = 3,
	ADDRESS_BYTES = 32, /* "IP:port" */
};

/** A queued write and its data. */
struct queued_write {
	uv_write_t request;
	size_t *held_bytes; /**< counts the memory; NULL: not counted */
	bool *failed;       /**< set if the write fails; NULL: not told */
	size_t len;
	char data[];
};

static void
set_option(uv_os_fd_t fd, int option, int value)
{
	if (setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value)) != 0)
		diag(
		    LOG_DEBUG, NULL, "cannot set TCP socket option %d", option);
}

void
h1_socket_tune(uv_tcp_t *tcp, int64_t ack_timeout_us)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	uv_tcp_keepalive(tcp, 1, KEEPALIVE_IDLE_S);
	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return;
	set_option(fd, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, TCP_USER_TIMEOUT, (int)(ack_timeout_us / US_PER_MS));
}

void
h1_socket_bound_unsent(uv_tcp_t *tcp, int bytes)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		set_option(fd, TCP_NOTSENT_LOWAT, bytes);
}

static size_t
queued_bytes(const struct queued_write *queued)
{
	return sizeof(*queued) + queued->len;
}

static void
queued_free(struct queued_write *queued)
{
	if (queued->held_bytes != NULL)
		*queued->held_bytes -= queued_bytes(queued);
	free(queued);
}

static void
handle_written(uv_write_t *request, int status)
{
	struct queued_write *queued = request->data;

	if (status != 0 && queued->failed != NULL)
		*queued->failed = true;
	queued_free(queued);
}

static struct queued_write *
queued_create(const void *data, size_t len, size_t *held_bytes, bool *failed)
{
	struct queued_write *queued = xcalloc(1, sizeof(*queued) + len);

	memcpy(queued->data, data, len);
	queued->len = len;
	queued->request.data = queued;
	queued->held_bytes = held_bytes;
	queued->failed = failed;
	if (held_bytes != NULL)
		*held_bytes += queued_bytes(queued);
	return queued;
}

static bool
write_or_queue(uv_tcp_t *tcp, const void *data, size_t len, size_t *held_bytes,
    bool *failed)
{
	uv_buf_t buffer = uv_buf_init((char *)data, (unsigned int)len);
	struct queued_write *queued;
	int written;

	if (len == 0)
		return true;
	written = uv_try_write((uv_stream_t *)tcp, &buffer, 1);
	if (written < 0 && written != UV_EAGAIN)
		return false;
	if (written < 0)
		written = 0;
	if ((size_t)written == len)
		return true;
	queued = queued_create((const char *)data + written,
	    len - (size_t)written, held_bytes, failed);
	buffer = uv_buf_init(queued->data, (unsigned int)queued->len);
	if (uv_write(&queued->request, (uv_stream_t *)tcp, &buffer, 1,
		handle_written) == 0)
		return true;
	queued_free(queued);
	return false;
}

bool
h1_socket_write_counted(
    uv_tcp_t *tcp, const void *data, size_t len, size_t *held_bytes)
{
	return write_or_queue(tcp, data, len, held_bytes, NULL);
}

void
h1_socket_write(uv_tcp_t *tcp, const void *data, size_t len, bool *failed)
{
	if (!write_or_queue(tcp, data, len, NULL, failed))
		*failed = true;
}

bool
h1_socket_has_unacknowledged(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	int unacknowledged = 0;

	if (uv_stream_get_write_queue_size((const uv_stream_t *)tcp) > 0)
		return true;
	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

bool
h1_socket_closed_in_order(uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	int error = 0;
	socklen_t len = sizeof(error);

	return uv_fileno((uv_handle_t *)tcp, &fd) == 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	    error == 0;
}

bool
h1_socket_parse_address(const char *text, struct sockaddr_in *address)
{
	char host[ADDRESS_BYTES];
	const char *colon = strrchr(text, ':');

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	return uv_ip4_addr(host, (int)strtol(colon + 1, NULL, 10), address) ==
	    0;
}
