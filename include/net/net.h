/** @file
 * One libwebsockets context on the process's own libuv loop: an HTTP server
 * and an HTTP client.
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

/** Handles a complete request. It answers, now or later, with one of
 * http_respond() or http_stream_begin() .. http_stream_end(). The request is
 * valid until the handler returns. */
typedef void (*http_handler)(void *context, struct http_exchange *exchange,
    const struct http_request *request);

struct net_options {
	const char *listen_address;  /**< IP address; NULL: client only */
	int listen_port;             /**< 0: any free one, see net_port() */
	size_t max_header_bytes;     /**< 0: 8192 */
	size_t max_body_bytes;       /**< request body; 0: 8 MiB */
	size_t max_send_queue_bytes; /**< unsent answer; 0: 4 MiB */
	int max_connections;         /**< 0: 1024 */
	const char *tls_certificate; /**< PEM path; NULL: plain HTTP */
	const char *tls_key;         /**< PEM path */
	const char *tls_ca;          /**< PEM path for the client side */
	http_handler handler;
	void *handler_context;
};

/** Creates server and client on a loop. Returns NULL on failure.
 * Errors: ERROR_IO when the address cannot be bound. */
struct net *net_create(
    uv_loop_t *loop, const struct net_options *options, struct error *err);
/** Ends all exchanges and calls (their callbacks run) and frees the context.
 * All other handles of the loop must be closed or closing: it is run until
 * none is left. */
void net_destroy(struct net *net);
/** Stops accepting connections; those open go on. */
void net_stop_listening(struct net *net);
/** Returns the port that the server listens on. */
int net_port(const struct net *net);
/** Returns the number of requests without a whole answer yet. */
size_t net_open_exchanges(const struct net *net);

#endif
