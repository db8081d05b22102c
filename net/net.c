#include <unistd.h>

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "net/internal.h"

enum {
	DEFAULT_HEADER_BYTES = 8192,
	DEFAULT_BODY_BYTES = 8 << 20,
	DEFAULT_SEND_QUEUE_BYTES = 4 << 20,
	DEFAULT_CONNECTIONS = 1024,
	KEEPALIVE_S = 60,
	IO_TIMEOUT_S = 30,
	/* Of the client; each call has a timeout of its own. */
	ACK_TIMEOUT_US = 30 * US_PER_S,
	IDLE_TIMEOUT_US = 1 * US_PER_S,
	DISCONNECT_CHECK_MS = 250,
	/* Loop iterations within which all handles must have closed. */
	CLOSE_ITERATIONS_MAX = 1000,
	CLOSE_WAIT_US = 1000,
};

static const struct lws_protocols server_protocols[] = {
    {.name = "http", .callback = http_server_callback},
    {0},
};

static void
forward_log(int level, const char *line)
{
	size_t len = strlen(line);

	diag(level == LLL_ERR ? LOG_WARNING : LOG_DEBUG, NULL,
	    "libwebsockets: %.*s", (int)(len > 0 ? len - 1 : 0), line);
}

static void
options_apply_defaults(struct net_options *options)
{
	if (options->max_header_bytes == 0)
		options->max_header_bytes = DEFAULT_HEADER_BYTES;
	if (options->max_body_bytes == 0)
		options->max_body_bytes = DEFAULT_BODY_BYTES;
	if (options->max_send_queue_bytes == 0)
		options->max_send_queue_bytes = DEFAULT_SEND_QUEUE_BYTES;
	if (options->max_connections == 0)
		options->max_connections = DEFAULT_CONNECTIONS;
}

/* Returns the option that initializes OpenSSL, or 0 without TLS: OpenSSL's
 * tables cost memory and start-up time. */
static uint64_t
tls_option(const struct net *net)
{
	return net->options.tls_certificate != NULL
	    ? LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT
	    : 0;
}

static void
create_context(struct net *net)
{
	void *loops[] = {net->loop};
	struct lws_context_creation_info info = {
	    .options = LWS_SERVER_OPTION_LIBUV |
		LWS_SERVER_OPTION_EXPLICIT_VHOSTS | tls_option(net),
	    .foreign_loops = loops,
	    .pcontext = &net->context,
	    .gid = -1,
	    .uid = -1,
	    .max_http_header_data =
		(unsigned short)net->options.max_header_bytes,
	    .pt_serv_buf_size = 16384,
	    .fd_limit_per_thread = (unsigned int)net->options.max_connections,
	};

	lws_set_log_level(LLL_ERR | LLL_WARN, forward_log);
	net->context = lws_create_context(&info);
}

static struct lws_vhost *
create_server(struct net *net)
{
	struct lws_context_creation_info info = {
	    .vhost_name = "server",
	    .iface = net->options.listen_address,
	    .port = net->options.listen_port,
	    .protocols = server_protocols,
	    .user = net,
	    .keepalive_timeout = KEEPALIVE_S,
	    .timeout_secs = IO_TIMEOUT_S,
	};

	if (net->options.tls_certificate != NULL) {
		info.ssl_cert_filepath = net->options.tls_certificate;
		info.ssl_private_key_filepath = net->options.tls_key;
		info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
	}
	/* Otherwise libwebsockets would listen on all interfaces when given an
	 * IPv4 address. */
	if (strchr(net->options.listen_address, ':') == NULL)
		info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
	return lws_create_vhost(net->context, &info);
}

static struct h1_client *
create_client(struct net *net)
{
	const struct h1_client_options options = {
	    .ack_timeout_us = ACK_TIMEOUT_US,
	    .idle_timeout_us = IDLE_TIMEOUT_US,
	};

	return h1_client_create(net->loop, &options);
}

void
net_kill_connection(struct net *net, struct lws *wsi)
{
	lws_set_timeout(
	    wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
	/* Outside its callbacks libwebsockets does not rearm its timer, so the
	 * loop has to be woken. */
	lws_cancel_service(net->context);
}

static void
handle_disconnect_timer(uv_timer_t *timer)
{
	http_server_close_disconnected(timer->data);
}

static void
start_disconnect_timer(struct net *net)
{
	net->disconnect_timer = xcalloc(1, sizeof(*net->disconnect_timer));
	uv_timer_init(net->loop, net->disconnect_timer);
	net->disconnect_timer->data = net;
	uv_timer_start(net->disconnect_timer, handle_disconnect_timer,
	    DISCONNECT_CHECK_MS, DISCONNECT_CHECK_MS);
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

struct net *
net_create(
    uv_loop_t *loop, const struct net_options *options, struct error *err)
{
	struct net *net = xcalloc(1, sizeof(*net));

	net->loop = loop;
	net->options = *options;
	options_apply_defaults(&net->options);
	list_init(&net->exchanges);
	list_init(&net->calls);
	create_context(net);
	if (net->context == NULL) {
		error_set(
		    err, ERROR_IO, "cannot create a libwebsockets context");
		free(net);
		return NULL;
	}
	if (net->options.listen_address != NULL)
		net->server = create_server(net);
	if (net->options.listen_address != NULL && net->server == NULL) {
		error_set(err, ERROR_IO, "cannot listen on %s port %d",
		    net->options.listen_address, net->options.listen_port);
		lws_context_destroy(net->context);
		free(net);
		return NULL;
	}
	net->client = create_client(net);
	if (net->server != NULL)
		start_disconnect_timer(net);
	return net;
}

/* Runs the loop until it has closed all handles; returns false when some are
 * still open. On a foreign loop, libwebsockets frees its context in a second
 * call of lws_context_destroy(), which must follow the close of the context's
 * handles: a handle that is still open would call into the unloaded event
 * library. */
static bool
close_handles(struct net *net)
{
	for (int i = 0; i < CLOSE_ITERATIONS_MAX; i++) {
		if (uv_run(net->loop, UV_RUN_NOWAIT) == 0)
			return true;
		usleep(CLOSE_WAIT_US);
	}
	return false;
}

void
net_destroy(struct net *net)
{
	if (net == NULL)
		return;
	net->closing = true;
	if (net->disconnect_timer != NULL)
		uv_close(
		    (uv_handle_t *)net->disconnect_timer, handle_timer_closed);
	http_server_abort_all(net);
	http_client_cancel_all(net);
	h1_client_destroy(net->client);
	lws_context_destroy(net->context);
	if (!close_handles(net)) {
		diag(LOG_WARNING, NULL,
		    "cannot close all handles of the event loop");
		return;
	}
	if (net->context != NULL)
		lws_context_destroy(net->context);
	free(net);
}

void
net_stop_listening(struct net *net)
{
	if (net->server != NULL)
		lws_vhost_destroy(net->server);
	net->server = NULL;
}

int
net_port(const struct net *net)
{
	return net->server != NULL ? lws_get_vhost_listen_port(net->server) : 0;
}

size_t
net_open_exchanges(const struct net *net)
{
	return list_length(&net->exchanges);
}
