#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/diag.h"
#include "common/memory.h"
#include "net/internal.h"

enum {
	HEADER_SPACE_BYTES = 4096,
	WRITE_CHUNK_BYTES = 8192,
	SERVER_TIMEOUT_S = 600,
};

/** A request and its response. Freed when the whole response has been sent or
 * the connection has closed. */
struct http_exchange {
	struct list link;
	struct net *net;
	struct lws *wsi; /**< the connection */
	enum http_method method;
	char path[HTTP_PATH_BYTES];
	char query[HTTP_PATH_BYTES];
	struct buf body;
	size_t body_expected;
	bool dispatched;     /**< passed to the handler, or rejected */
	bool accepts_chunks; /**< the caller speaks HTTP/1.1 */
	/* The response. */
	int status; /**< 0: not started */
	char content_type[64];
	struct buf headers; /**< "name: value\r\n" lines */
	bool headers_sent;
	bool length_known;
	bool chunked; /**< the body is sent in chunks */
	bool ended;   /**< the handler has ended the response */
	bool aborted;
	struct buf queue; /**< unsent part of the body */
	void (*on_close)(void *context);
	void *close_context;
};

static struct http_exchange *
exchange_create(struct net *net, struct lws *wsi)
{
	struct http_exchange *exchange = xcalloc(1, sizeof(*exchange));

	exchange->net = net;
	exchange->wsi = wsi;
	exchange->body.max = net->options.max_body_bytes;
	list_append(&net->exchanges, &exchange->link);
	lws_set_opaque_user_data(wsi, exchange);
	return exchange;
}

static void
exchange_destroy(struct http_exchange *exchange)
{
	if (exchange->wsi != NULL)
		lws_set_opaque_user_data(exchange->wsi, NULL);
	list_remove(&exchange->link);
	buf_reset(&exchange->body);
	buf_reset(&exchange->headers);
	buf_reset(&exchange->queue);
	free(exchange);
}

static enum http_method
request_method(struct lws *wsi, char **uri, int *uri_len)
{
	switch (lws_http_get_uri_and_method(wsi, uri, uri_len)) {
	case LWSHUMETH_GET:
		return HTTP_GET;
	case LWSHUMETH_POST:
		return HTTP_POST;
	case LWSHUMETH_PUT:
		return HTTP_PUT;
	case LWSHUMETH_DELETE:
		return HTTP_DELETE;
	default:
		return HTTP_OTHER;
	}
}

/* Joins the fragments into which libwebsockets splits the query, with '&'. */
static void
read_query(struct http_exchange *exchange)
{
	char fragment[HTTP_PATH_BYTES];
	size_t at = 0;

	for (int i = 0;; i++) {
		int len = lws_hdr_copy_fragment(exchange->wsi, fragment,
		    (int)sizeof(fragment), WSI_TOKEN_HTTP_URI_ARGS, i);

		if (len <= 0 || at + (size_t)len + 2 > sizeof(exchange->query))
			return;
		if (at > 0)
			exchange->query[at++] = '&';
		memcpy(exchange->query + at, fragment, (size_t)len);
		at += (size_t)len;
		exchange->query[at] = '\0';
	}
}

/* Stops reading while a response waits for its next piece: libwebsockets would
 * busy-loop on a readable socket. Meanwhile http_server_close_disconnected()
 * detects that the caller disconnects. Before a write, request_write() turns
 * reading on again, since libwebsockets otherwise does not process writes. */
static void
stop_reading(struct http_exchange *exchange)
{
	lws_rx_flow_control(exchange->wsi, 0);
}

static void
request_write(struct http_exchange *exchange)
{
	lws_rx_flow_control(exchange->wsi, 1);
	lws_callback_on_writable(exchange->wsi);
}

static void
dispatch(struct http_exchange *exchange)
{
	struct http_request request = {
	    .method = exchange->method,
	    .path = exchange->path,
	    .query = exchange->query,
	    .body = (const uint8_t *)buf_text(&exchange->body),
	    .body_len = exchange->body.len,
	    .exchange = exchange,
	};
	struct net *net = exchange->net;

	exchange->dispatched = true;
	lws_set_timeout(
	    exchange->wsi, PENDING_TIMEOUT_HTTP_CONTENT, SERVER_TIMEOUT_S);
	net->options.handler(net->options.handler_context, exchange, &request);
	if (exchange->status == 0)
		stop_reading(exchange);
}

static void
respond_too_large(struct http_exchange *exchange)
{
	static const char body[] =
	    "{\"error\":{\"reason\":\"request_too_large\",\"run\":\"not run\"}}";

	exchange->dispatched = true;
	http_respond(
	    exchange, 413, "application/json", NULL, body, sizeof(body) - 1);
}

static int
handle_request(struct lws *wsi)
{
	struct net *net = lws_vhost_user(lws_get_vhost(wsi));
	struct http_exchange *exchange;
	char *uri = NULL;
	char length[24] = "";
	char version[16] = "";
	int uri_len = 0;

	if (net->closing)
		return -1;
	exchange = exchange_create(net, wsi);
	exchange->method = request_method(wsi, &uri, &uri_len);
	if (uri == NULL || uri_len >= (int)sizeof(exchange->path))
		return -1;
	memcpy(exchange->path, uri, (size_t)uri_len);
	read_query(exchange);
	exchange->accepts_chunks =
	    lws_hdr_copy(wsi, version, (int)sizeof(version), WSI_TOKEN_HTTP) >
		0 &&
	    strcmp(version, "HTTP/1.1") == 0;
	if (lws_hdr_copy(wsi, length, (int)sizeof(length),
		WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
		exchange->body_expected = strtoul(length, NULL, 10);
	if (exchange->body_expected > net->options.max_body_bytes) {
		respond_too_large(exchange);
		return 0;
	}
	if (exchange->body_expected == 0)
		dispatch(exchange);
	return 0;
}

static int
handle_body(struct http_exchange *exchange, const void *data, size_t len)
{
	if (exchange == NULL || exchange->dispatched)
		return 0;
	if (!buf_append(&exchange->body, data, len))
		respond_too_large(exchange);
	return 0;
}

static int
send_headers(struct http_exchange *exchange)
{
	uint8_t space[LWS_PRE + HEADER_SPACE_BYTES];
	uint8_t *start = space + LWS_PRE;
	uint8_t *at = start;
	uint8_t *end = space + sizeof(space) - 1;
	lws_filepos_t length = exchange->length_known
	    ? exchange->queue.len
	    : LWS_ILLEGAL_HTTP_CONTENT_LEN;

	exchange->headers_sent = true;
	if (lws_add_http_common_headers(exchange->wsi,
		(unsigned int)exchange->status, exchange->content_type, length,
		&at, end) != 0)
		return -1;
	if (exchange->headers.len >= (size_t)(end - at) - 2)
		return -1;
	if (exchange->headers.len > 0)
		memcpy(at, exchange->headers.data, exchange->headers.len);
	at += exchange->headers.len;
	return lws_finalize_write_http_header(exchange->wsi, start, &at, end);
}

/* Ends an exchange whose whole response has been written. The connection then
 * serves the next request or, by returning -1, closes. */
static int
finish_exchange(struct http_exchange *exchange)
{
	struct lws *wsi = exchange->wsi;
	bool reusable = exchange->length_known;

	exchange_destroy(exchange);
	if (!reusable || lws_http_transaction_completed(wsi) != 0)
		return -1;
	return 0;
}

static int
handle_writeable(struct http_exchange *exchange)
{
	uint8_t space[LWS_PRE + WRITE_CHUNK_BYTES];
	size_t len;
	bool last;

	if (exchange == NULL)
		return 0;
	if (exchange->aborted)
		return -1;
	if (exchange->status == 0)
		return 0;
	if (!exchange->headers_sent) {
		if (send_headers(exchange) != 0)
			return -1;
		lws_callback_on_writable(exchange->wsi);
		return 0;
	}
	len = exchange->queue.len < WRITE_CHUNK_BYTES ? exchange->queue.len
						      : WRITE_CHUNK_BYTES;
	last = exchange->ended && len == exchange->queue.len;
	if (len > 0) {
		memcpy(space + LWS_PRE, exchange->queue.data, len);
		if (lws_write(exchange->wsi, space + LWS_PRE, len,
			last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) <
		    (int)len)
			return -1;
		buf_consume(&exchange->queue, len);
		lws_set_timeout(exchange->wsi, PENDING_TIMEOUT_HTTP_CONTENT,
		    SERVER_TIMEOUT_S);
	}
	if (last)
		return finish_exchange(exchange);
	if (exchange->queue.len > 0)
		lws_callback_on_writable(exchange->wsi);
	else
		stop_reading(exchange);
	return 0;
}

/* Frees the exchange of a closed connection, and runs on_close unless the
 * response had ended. */
static void
handle_closed(struct http_exchange *exchange)
{
	void (*on_close)(void *) = exchange->on_close;
	void *context = exchange->close_context;
	bool notify = exchange->dispatched && !exchange->ended &&
	    !exchange->aborted && on_close != NULL;

	exchange_destroy(exchange);
	if (notify)
		on_close(context);
}

int
http_server_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	struct http_exchange *exchange =
	    wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_HTTP:
		return handle_request(wsi);
	case LWS_CALLBACK_HTTP_BODY:
		return handle_body(exchange, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		if (exchange != NULL && !exchange->dispatched)
			dispatch(exchange);
		return 0;
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return handle_writeable(exchange);
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
		if (exchange != NULL)
			handle_closed(exchange);
		return 0;
	default:
		return 0;
	}
}

static bool
peer_has_closed(struct lws *wsi)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_INFO, &info,
		&len) != 0)
		return true;
	return info.tcpi_state == TCP_CLOSE_WAIT ||
	    info.tcpi_state == TCP_CLOSE;
}

void
http_server_close_disconnected(struct net *net)
{
	list_for_each (exchange, &net->exchanges, struct http_exchange, link) {
		if (exchange->dispatched && peer_has_closed(exchange->wsi))
			net_kill_connection(net, exchange->wsi);
	}
}

void
http_server_abort_all(struct net *net)
{
	list_for_each_safe (
	    exchange, tmp, &net->exchanges, struct http_exchange, link)
		handle_closed(exchange);
}

bool
http_request_header(const struct http_request *request, const char *name,
    char *value, size_t size)
{
	static const struct {
		const char *name;
		enum lws_token_indexes token;
	} known[] = {
	    {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
	    {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
	    {"host", WSI_TOKEN_HOST},
	    {"accept", WSI_TOKEN_HTTP_ACCEPT},
	};
	struct lws *wsi = request->exchange->wsi;
	char with_colon[96];
	int len;

	value[0] = '\0';
	for (size_t i = 0; i < sizeof(known) / sizeof(known[0]); i++) {
		if (strcmp(known[i].name, name) == 0)
			return lws_hdr_copy(
				   wsi, value, (int)size, known[i].token) > 0;
	}
	len = snprintf(with_colon, sizeof(with_colon), "%s:", name);
	if (lws_hdr_custom_length(wsi, with_colon, len) < 0)
		return false;
	if (lws_hdr_custom_copy(wsi, value, (int)size, with_colon, len) < 0) {
		value[0] = '\0';
		return false;
	}
	return true;
}

bool
http_request_query(const struct http_request *request, const char *name,
    char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *at = request->query;

	value[0] = '\0';
	while (*at != '\0') {
		size_t len = strcspn(at, "&");

		if (len > name_len && at[name_len] == '=' &&
		    strncmp(at, name, name_len) == 0) {
			size_t value_len = len - name_len - 1;

			if (value_len >= size)
				return false;
			memcpy(value, at + name_len + 1, value_len);
			value[value_len] = '\0';
			return true;
		}
		at += len;
		if (*at == '&')
			at++;
	}
	return false;
}

void
http_request_remote_address(
    const struct http_request *request, char *address, size_t size)
{
	address[0] = '\0';
	lws_get_peer_simple(request->exchange->wsi, address, size);
}

static void
begin_response(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers)
{
	exchange->status = status;
	snprintf(exchange->content_type, sizeof(exchange->content_type), "%s",
	    content_type);
	for (; headers != NULL && headers->name != NULL; headers++)
		buf_printf(&exchange->headers, "%s: %s\r\n", headers->name,
		    headers->value);
	request_write(exchange);
}

void
http_respond(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers,
    const void *body, size_t len)
{
	exchange->length_known = true;
	exchange->ended = true;
	buf_append(&exchange->queue, body, len);
	begin_response(exchange, status, content_type, headers);
}

void
http_stream_begin(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers)
{
	exchange->queue.max = exchange->net->options.max_send_queue_bytes;
	exchange->chunked = exchange->accepts_chunks;
	if (exchange->chunked)
		buf_append_text(
		    &exchange->headers, "transfer-encoding: chunked\r\n");
	begin_response(exchange, status, content_type, headers);
}

/* Returns false if the chunk does not fit; the buffer may then have a part. */
static bool
append_chunk(struct buf *out, const void *data, size_t len)
{
	char size[24];

	if (len == 0)
		return true;
	snprintf(size, sizeof(size), "%zx\r\n", len);
	return buf_append_text(out, size) && buf_append(out, data, len) &&
	    buf_append_text(out, "\r\n");
}

bool
http_stream_write(struct http_exchange *exchange, const void *data, size_t len)
{
	bool fits = exchange->chunked
	    ? append_chunk(&exchange->queue, data, len)
	    : buf_append(&exchange->queue, data, len);

	if (fits)
		request_write(exchange);
	return fits;
}

void
http_stream_end(struct http_exchange *exchange)
{
	exchange->ended = true;
	exchange->queue.max = 0;
	if (exchange->chunked)
		buf_append_text(&exchange->queue, "0\r\n\r\n");
	request_write(exchange);
}

/* Makes the close of the connection a reset. */
static void
reset_on_close(struct lws *wsi)
{
	const struct linger linger = {.l_onoff = 1};

	if (setsockopt(lws_get_socket_fd(wsi), SOL_SOCKET, SO_LINGER, &linger,
		sizeof(linger)) != 0)
		diag(LOG_WARNING, NULL, "cannot reset a broken response");
}

void
http_abort(struct http_exchange *exchange)
{
	exchange->aborted = true;
	if (!exchange->length_known && !exchange->chunked)
		reset_on_close(exchange->wsi);
	net_kill_connection(exchange->net, exchange->wsi);
}

void
http_exchange_on_close(struct http_exchange *exchange,
    void (*on_close)(void *context), void *context)
{
	exchange->on_close = on_close;
	exchange->close_context = context;
}
