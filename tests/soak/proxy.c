#include "proxy.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/memory.h"

enum {
	BACKLOG = 64,
	DELAY_MS = 250, /* more than a hedged append waits */
	READ_BYTES = 16384,
	SIDES = 2,
};

struct link;

/** One end of a connection through the proxy. */
struct side {
	uv_tcp_t tcp;
	struct link *link;
	bool open;
};

/** A connection through the proxy: its caller's end, and the target's. */
struct link {
	struct list in_proxy;
	struct proxy *proxy;
	struct side sides[SIDES];
	uv_connect_t connect;
	int handles; /**< not closed yet */
	int delayed; /**< bytes that wait for their time */
	bool ending;
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct list links;
	int target_port;
	int port;
	enum proxy_mode mode;
	bool ending;
};

/** Bytes on their way. */
struct parcel {
	uv_write_t write;
	uv_timer_t timer;
	struct side *to;
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
	    [PROXY_BLACKHOLE] = "silent",
	    [PROXY_DROP_REQUESTS] = "cut there",
	    [PROXY_DROP_REPLIES] = "cut back",
	};

	return names[mode];
}

/* ---- connections ---- */

static void
link_release(struct link *link)
{
	struct proxy *proxy = link->proxy;

	if (link->handles > 0 || link->delayed > 0)
		return;
	list_remove(&link->in_proxy);
	free(link);
	if (proxy->ending && list_empty(&proxy->links))
		free(proxy);
}

static void
handle_closed(uv_handle_t *handle)
{
	struct side *side = handle->data;

	side->link->handles--;
	link_release(side->link);
}

static void
link_end(struct link *link, bool reset)
{
	if (link->ending)
		return;
	link->ending = true;
	for (int i = 0; i < SIDES; i++) {
		struct side *side = &link->sides[i];

		side->open = false;
		if (!reset ||
		    uv_tcp_close_reset(&side->tcp, handle_closed) != 0)
			uv_close((uv_handle_t *)&side->tcp, handle_closed);
	}
}

/* ---- bytes ---- */

static void
handle_written(uv_write_t *write, int status)
{
	struct parcel *parcel = write->data;

	(void)status;
	free(parcel);
}

static void
parcel_send(struct parcel *parcel)
{
	uv_buf_t buf = uv_buf_init(parcel->data, (unsigned int)parcel->len);

	parcel->write.data = parcel;
	if (!parcel->to->open ||
	    uv_write(&parcel->write, (uv_stream_t *)&parcel->to->tcp, &buf, 1,
		handle_written) != 0)
		free(parcel);
}

static void
handle_parcel_closed(uv_handle_t *handle)
{
	struct parcel *parcel = handle->data;
	struct link *link = parcel->to->link;

	parcel_send(parcel);
	link->delayed--;
	link_release(link);
}

static void
handle_due(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, handle_parcel_closed);
}

static void
pass_on(struct side *to, const char *data, size_t len)
{
	struct proxy *proxy = to->link->proxy;
	struct parcel *parcel = xcalloc(1, sizeof(*parcel) + len);

	parcel->to = to;
	parcel->len = len;
	memcpy(parcel->data, data, len);
	if (proxy->mode != PROXY_DELAY && to->link->delayed == 0) {
		parcel_send(parcel);
		return;
	}
	/* Behind delayed bytes, the order has to stay. */
	to->link->delayed++;
	uv_timer_init(proxy->loop, &parcel->timer);
	parcel->timer.data = parcel;
	uv_timer_start(&parcel->timer, handle_due, DELAY_MS, 0);
}

static bool
swallows(const struct link *link, const struct side *from)
{
	bool there = from == &link->sides[0];

	switch (link->proxy->mode) {
	case PROXY_BLACKHOLE:
		return true;
	case PROXY_DROP_REQUESTS:
		return there;
	case PROXY_DROP_REPLIES:
		return !there;
	default:
		return false;
	}
}

static void
give_space(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	static char space[READ_BYTES];

	(void)handle;
	(void)wanted;
	*buf = uv_buf_init(space, sizeof(space));
}

static void
handle_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct side *from = stream->data;
	struct link *link = from->link;
	struct side *to =
	    from == &link->sides[0] ? &link->sides[1] : &link->sides[0];

	if (len < 0) {
		link_end(link, len == UV_ECONNRESET);
		return;
	}
	/* A stream with a hole in it would be no TCP: after lost bytes the
	 * connection stays silent. */
	if (swallows(link, from)) {
		uv_read_stop(stream);
		return;
	}
	if (len > 0)
		pass_on(to, buf->base, (size_t)len);
}

static void
handle_connected(uv_connect_t *connect, int status)
{
	struct link *link = connect->data;

	if (link->ending)
		return;
	if (status != 0) {
		link_end(link, true);
		return;
	}
	for (int i = 0; i < SIDES; i++) {
		link->sides[i].open = true;
		uv_read_start((uv_stream_t *)&link->sides[i].tcp, give_space,
		    handle_read);
	}
}

static void
handle_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct link *link = xcalloc(1, sizeof(*link));
	struct sockaddr_in address;

	(void)status;
	link->proxy = proxy;
	list_append(&proxy->links, &link->in_proxy);
	link->handles = SIDES;
	for (int i = 0; i < SIDES; i++) {
		link->sides[i].link = link;
		uv_tcp_init(proxy->loop, &link->sides[i].tcp);
		link->sides[i].tcp.data = &link->sides[i];
	}
	if (uv_accept(listener, (uv_stream_t *)&link->sides[0].tcp) != 0 ||
	    proxy->mode == PROXY_RESET) {
		link_end(link, true);
		return;
	}
	uv_ip4_addr("127.0.0.1", proxy->target_port, &address);
	link->connect.data = link;
	if (uv_tcp_connect(&link->connect, &link->sides[1].tcp,
		(struct sockaddr *)&address, handle_connected) != 0)
		link_end(link, true);
}

/* ---- the proxy ---- */

struct proxy *
proxy_create(uv_loop_t *loop, int target_port)
{
	struct proxy *proxy = xcalloc(1, sizeof(*proxy));
	struct sockaddr_in address;
	int len = sizeof(address);

	proxy->loop = loop;
	proxy->target_port = target_port;
	list_init(&proxy->links);
	uv_tcp_init(loop, &proxy->listener);
	proxy->listener.data = proxy;
	uv_ip4_addr("127.0.0.1", 0, &address);
	if (uv_tcp_bind(&proxy->listener, (struct sockaddr *)&address, 0) !=
		0 ||
	    uv_listen((uv_stream_t *)&proxy->listener, BACKLOG,
		handle_connection) != 0 ||
	    uv_tcp_getsockname(
		&proxy->listener, (struct sockaddr *)&address, &len) != 0) {
		proxy_destroy(proxy);
		return NULL;
	}
	proxy->port = ntohs(address.sin_port);
	return proxy;
}

static void
handle_listener_closed(uv_handle_t *handle)
{
	struct proxy *proxy = handle->data;

	proxy->ending = true;
	if (list_empty(&proxy->links))
		free(proxy);
}

void
proxy_destroy(struct proxy *proxy)
{
	list_for_each_safe (link, tmp, &proxy->links, struct link, in_proxy)
		link_end(link, true);
	uv_close((uv_handle_t *)&proxy->listener, handle_listener_closed);
}

int
proxy_port(const struct proxy *proxy)
{
	return proxy->port;
}

void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	/* What was silent has lost bytes, and can't go on. */
	if (mode == PROXY_RESET || proxy->mode == PROXY_BLACKHOLE ||
	    proxy->mode == PROXY_DROP_REQUESTS ||
	    proxy->mode == PROXY_DROP_REPLIES) {
		list_for_each_safe (
		    link, tmp, &proxy->links, struct link, in_proxy)
			link_end(link, true);
	}
	proxy->mode = mode;
}
