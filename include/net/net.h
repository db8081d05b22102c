/** @file
 * An HTTP server on libwebsockets and an HTTP client on the process's own libuv
 * loop.
 */
#ifndef NET_NET_H
#define NET_NET_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "common/error.h"

struct net;
struct http_exchange;
struct http_request;

/** Handles a complete request. It responds, now or later, by http_respond(), or
 * by http_stream_begin(), http_stream_write() and http_stream_end(). The
 * request is valid until the handler returns, the exchange until the response
 * ends. */
typedef void (*http_handler)(void *context, struct http_exchange *exchange,
    const struct http_request *request);

struct net_options {
	const char *listen_address;  /**< IP address; NULL: client only */
	int listen_port;             /**< 0: any free port, see net_port() */
	size_t max_header_bytes;     /**< 0: 8192 */
	size_t max_body_bytes;       /**< request body; 0: 8 MiB */
	size_t max_send_queue_bytes; /**< unsent response; 0: 4 MiB */
	int max_connections;         /**< 0: 1024 */
	const char *tls_certificate; /**< PEM path; NULL: plain HTTP */
	const char *tls_key;         /**< PEM path */
	http_handler handler;
	void *handler_context;
};

/** Creates a server and a client on a loop. Returns NULL on failure.
 * Errors: ERROR_IO when the address cannot be bound. */
struct net *net_create(
    uv_loop_t *loop, const struct net_options *options, struct error *err);
/** Ends all exchanges and calls (their callbacks run), closes all handles, and
 * frees the context. Runs the loop until it has no open handle left, so all
 * other handles of the loop must be closed or closing. */
void net_destroy(struct net *net);
/** Stops accepting connections; open connections continue. */
void net_stop_listening(struct net *net);
/** Returns the port that the server listens on. */
int net_port(const struct net *net);
/** Returns the number of requests whose response is not completely sent. */
size_t net_open_exchanges(const struct net *net);

#endif
