#include <stdlib.h>

#include <zmq.h>

#include "common/memory.h"
#include "peer/socket_watch.h"

enum {
	MESSAGES_PER_TURN = 64, /* leaves the loop time for other work */
};

struct socket_watch {
	uv_poll_t poll;
	uv_idle_t again; /* runs while messages are left from a loop turn */
	void *socket;
	socket_watch_handler handler;
	void *context;
	int open_handles;
};

static bool
is_readable(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	return zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) == 0 &&
	    (events & ZMQ_POLLIN) != 0;
}

static void handle_again(uv_idle_t *idle);

static void
drain(struct socket_watch *watch)
{
	for (int i = 0; i < MESSAGES_PER_TURN; i++) {
		if (!is_readable(watch->socket)) {
			uv_idle_stop(&watch->again);
			return;
		}
		watch->handler(watch->context);
	}
	uv_idle_start(&watch->again, handle_again);
}

static void
handle_again(uv_idle_t *idle)
{
	drain(idle->data);
}

static void
handle_event(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	drain(poll->data);
}

struct socket_watch *
socket_watch_create(uv_loop_t *loop, void *socket, socket_watch_handler handler,
    void *context, struct error *err)
{
	struct socket_watch *watch;
	int fd;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size) != 0) {
		error_set(
		    err, ERROR_IO, "ZMQ_FD: %s", zmq_strerror(zmq_errno()));
		return NULL;
	}
	watch = xcalloc(1, sizeof(*watch));
	watch->socket = socket;
	watch->handler = handler;
	watch->context = context;
	watch->open_handles = 2;
	watch->poll.data = watch;
	watch->again.data = watch;
	uv_poll_init(loop, &watch->poll, fd);
	uv_idle_init(loop, &watch->again);
	uv_poll_start(&watch->poll, UV_READABLE, handle_event);
	/* What came before the first event would not be reported. */
	uv_idle_start(&watch->again, handle_again);
	return watch;
}

static void
handle_closed(uv_handle_t *handle)
{
	struct socket_watch *watch = handle->data;

	if (--watch->open_handles == 0)
		free(watch);
}

void
socket_watch_destroy(struct socket_watch *watch)
{
	if (watch == NULL)
		return;
	uv_poll_stop(&watch->poll);
	uv_idle_stop(&watch->again);
	uv_close((uv_handle_t *)&watch->poll, handle_closed);
	uv_close((uv_handle_t *)&watch->again, handle_closed);
}
