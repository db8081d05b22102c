/** @file
 * HTTP/1.1 server on a libuv loop, for relays. It passes complete requests with
 * all their header fields to a handler, which sends each response whole or
 * piece by piece.
 */
#ifndef H1_SERVER_H
#define H1_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "common/error.h"
#include "h1/message.h"

struct h1_server;
struct h1_exchange;
struct h1_connection;

/** Limits on the size of requests, and timeouts of connections. */
struct h1_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	/** Longest time from a request's first byte to the end of its headers,
	 * and longest wait for each piece of its body. */
	int64_t header_timeout_us;
	int64_t idle_timeout_us; /**< for a connection without a request */
};

/** A request that the server rejected without calling the handler. */
struct h1_rejection {
	int status;
	const char *reason; /**< e.g. "malformed_request" */
	const char *detail; /**< what is wrong with the request */
	const char *peer;   /**< caller's IP address */
};

struct h1_server_options {
	const char *address; /**< IP address */
	int port;            /**< 0: any free port, see h1_server_port() */
	struct h1_limits limits;
	/** Handles a complete request. The exchange is valid until its response
	 * has ended, it is aborted, or its on_close callback runs. */
	void (*on_request)(void *context, struct h1_exchange *exchange);
	/** Reports a request that the server itself rejected. May be NULL. */
	void (*on_rejected)(
	    void *context, const struct h1_rejection *rejection);
	void *context;
};

/** Errors: ERROR_IO when the address can't be bound. */
struct h1_server *h1_server_create(uv_loop_t *loop,
    const struct h1_server_options *options, struct error *err);
/** Aborts all exchanges and closes all handles. The loop must run until they
 * are closed; the server is freed then. */
void h1_server_destroy(struct h1_server *server);
int h1_server_port(const struct h1_server *server);
void
h1_server_set_limits(struct h1_server *server, const struct h1_limits *limits);
/** Starts draining: each further response closes its connection, and idle
 * connections are closed after idle_us at most. */
void h1_server_drain(struct h1_server *server, int64_t idle_us);
/** Stops listening. Connections that callers have opened before are kept, also
 * those that were not accepted yet. */
void h1_server_stop_listening(struct h1_server *server);
/** Returns the number of requests whose response has not ended. */
size_t h1_server_open_exchanges(const struct h1_server *server);
size_t h1_server_connections(const struct h1_server *server);

/** What a server holds of responses for a caller that has not read them. */
struct h1_backlog {
	struct h1_connection *connection;
	size_t held_bytes;   /**< memory that it takes */
	uint64_t read_bytes; /**< of the same queue, taken by the caller */
	int64_t since_us;    /**< when the caller fell behind */
};

/** Copies up to max backlogs and returns their number. They are valid until the
 * loop runs again or a request is handled. */
size_t h1_server_backlogs(
    struct h1_server *server, struct h1_backlog *backlogs, size_t max);
/** Ends a connection as if its caller had closed it. */
void h1_server_disconnect(struct h1_connection *connection);
/** Returns the memory that the unread part of responses takes. */
size_t h1_exchange_held_bytes(const struct h1_exchange *exchange);

const struct h1_head *h1_exchange_head(const struct h1_exchange *exchange);
const struct buf *h1_exchange_body(const struct h1_exchange *exchange);
/** Returns the request's body and gives its ownership to the caller; the
 * exchange's body is then empty. */
struct buf h1_exchange_take_body(struct h1_exchange *exchange);
/** Returns the caller's IP address. */
const char *h1_exchange_remote_address(const struct h1_exchange *exchange);
/** Returns when the request was complete, in monotonic time. */
int64_t h1_exchange_received_us(const struct h1_exchange *exchange);
/** Sets the callback that runs when the caller disconnects before the response
 * has ended. The exchange is invalid from then on. */
void h1_exchange_on_close(struct h1_exchange *exchange,
    void (*on_close)(void *context), void *context);

/** Sends a whole response and adds Content-Length. headers may be NULL. The
 * exchange is invalid afterwards. */
void h1_respond(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, const void *body, size_t len);
/** Lengths of a body that is not known in advance. */
enum {
	/** Sent in chunks; to callers of HTTP/1.0 as H1_LENGTH_CONNECTION. */
	H1_LENGTH_CHUNKED = -1,
	H1_LENGTH_CONNECTION = -2, /**< ends with the connection */
};

/** Starts a response. length: length of the body in bytes, or one of the values
 * above. */
void h1_respond_begin(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, int64_t length);
/** Sends a piece of the body. Returns false when more than 1 MiB is unsent
 * because the caller reads too slowly; abort the exchange then. */
bool
h1_respond_data(struct h1_exchange *exchange, const void *data, size_t len);
/** Ends the response; the exchange is invalid afterwards. */
void h1_respond_end(struct h1_exchange *exchange);
/** Closes the connection, or resets it if its end would be the end of the body,
 * so that the caller can't take a partial response for a whole one. The
 * exchange is invalid afterwards. */
void h1_exchange_abort(struct h1_exchange *exchange);

#endif
