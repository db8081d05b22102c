/** @file
 * HTTP/1.1 server on a libuv loop, for relays: it reports whole requests with
 * all their header fields, and answers them whole or piece by piece.
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

/** What callers may send, and for how long they may take or stay idle. */
struct h1_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us; /**< from a request's first byte to its end
				      of headers; its body has as long again */
	int64_t idle_timeout_us;   /**< of a connection without a request */
};

/** A request that was not handed to the handler. */
struct h1_rejection {
	int status;
	const char *reason; /**< e.g. "malformed_request" */
	const char *detail; /**< what is wrong with it */
	const char *peer;   /**< IP address */
};

struct h1_server_options {
	const char *address; /**< IP address */
	int port;            /**< 0: any free one, see h1_server_port() */
	struct h1_limits limits;
	/** A whole request has come. The exchange is valid until it is
	 * answered, aborted, or reported as gone. */
	void (*handle)(void *context, struct h1_exchange *exchange);
	/** A request was answered with an error by the server itself. May be
	 * NULL. */
	void (*rejected)(void *context, const struct h1_rejection *rejection);
	void *context;
};

/** Errors: ERROR_IO when the address can't be bound. */
struct h1_server *h1_server_create(uv_loop_t *loop,
    const struct h1_server_options *options, struct error *err);
/** Aborts all exchanges and closes all handles; the loop has to run until they
 * are closed. */
void h1_server_destroy(struct h1_server *server);
int h1_server_port(const struct h1_server *server);
void
h1_server_set_limits(struct h1_server *server, const struct h1_limits *limits);
/** From now on answers say that the connection closes, and idle connections
 * are not kept longer than idle_us. */
void h1_server_drain(struct h1_server *server, int64_t idle_us);
/** Returns the number of requests that are not answered yet. */
size_t h1_server_open_exchanges(const struct h1_server *server);
size_t h1_server_connections(const struct h1_server *server);

const struct h1_head *h1_exchange_head(const struct h1_exchange *exchange);
const struct buf *h1_exchange_body(const struct h1_exchange *exchange);
/** Takes the body's memory over; the exchange's body is then empty. */
struct buf h1_exchange_take_body(struct h1_exchange *exchange);
/** Returns the caller's IP address. */
const char *h1_exchange_remote_address(const struct h1_exchange *exchange);
/** Returns when the request was whole, in monotonic time. */
int64_t h1_exchange_received_us(const struct h1_exchange *exchange);
/** Sets what is called when the caller goes away before the answer's end. The
 * exchange is invalid from then on. */
void h1_exchange_on_close(
    struct h1_exchange *exchange, void (*gone)(void *context), void *context);

/** Sends a whole answer; Content-Length is added. headers may be NULL. The
 * exchange is invalid afterwards. */
void h1_respond(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, const void *body, size_t len);
/** Starts an answer. length: of the body; -1 when it is not known, it is then
 * sent in chunks. */
void h1_respond_begin(struct h1_exchange *exchange, int status,
    const struct h1_headers *headers, int64_t length);
/** Queues a piece of the body. Returns false when the caller reads so slowly
 * that too much is unsent; the answer is then to be aborted. */
bool
h1_respond_data(struct h1_exchange *exchange, const void *data, size_t len);
/** Ends the answer; the exchange is invalid afterwards. */
void h1_respond_end(struct h1_exchange *exchange);
/** Closes the connection, so that what was sent can't be taken for a whole
 * answer. The exchange is invalid afterwards. */
void h1_exchange_abort(struct h1_exchange *exchange);

#endif
