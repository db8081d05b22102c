#include <stdlib.h>

#include <zmq.h>

#include "common/memory.h"
#include "peer/socket_watch.h"

enum {
	/* Limit for an iteration of the loop, which leaves time for its other
	 * handles. */
	MAX_MESSAGES_PER_ITERATION = 64,
};

struct socket_watch {
	uv_poll_t poll;
	uv_idle_t idle; /* runs while messages are left to read */
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

static void handle_idle(uv_idle_t *idle);

/* Handles the messages that can be read, up to the limit of an iteration. */
static void
read_available(struct socket_watch *watch)
{
	for (int i = 0; i < MAX_MESSAGES_PER_ITERATION; i++) {
		if (!is_readable(watch->socket)) {
			uv_idle_stop(&watch->idle);
			return;
		}
		watch->handler(watch->context);
	}
	uv_idle_start(&watch->idle, handle_idle);
}

static void
handle_idle(uv_idle_t *idle)
{
	read_available(idle->data);
}

static void
handle_event(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	read_available(poll->data);
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
	watch->idle.data = watch;
	uv_poll_init(loop, &watch->poll, fd);
	uv_idle_init(loop, &watch->idle);
	uv_poll_start(&watch->poll, UV_READABLE, handle_event);
	/* The descriptor does not report messages that have already arrived. */
	uv_idle_start(&watch->idle, handle_idle);
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
	uv_idle_stop(&watch->idle);
	uv_close((uv_handle_t *)&watch->poll, handle_closed);
	uv_close((uv_handle_t *)&watch->idle, handle_closed);
}
