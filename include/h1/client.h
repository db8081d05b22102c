/** @file
 * HTTP/1.1 client on a libuv loop that keeps connections, and that tells
 * exactly how much of a request may have reached the server.
 */
#ifndef H1_CLIENT_H
#define H1_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "h1/message.h"

struct h1_client;
struct h1_call;

enum {
	H1_ADDRESS_BYTES = 32, /**< "IP:port" */
};

struct h1_client_options {
	/** Unacknowledged bytes end a connection after this time. */
	int64_t silence_us;
	/** Longest time that an unused connection is kept. */
	int64_t idle_us;
};

enum h1_result {
	H1_COMPLETE,        /**< a whole answer, of any status */
	H1_CONNECT_FAILED,  /**< no byte of the request was sent */
	H1_CONNECTION_LOST, /**< the connection ended before the answer did */
	H1_MALFORMED,       /**< what came is no HTTP answer */
};

/** How a call ended. */
struct h1_outcome {
	enum h1_result result;
	bool reused;  /**< the connection had served other calls before */
	bool refused; /**< with H1_CONNECT_FAILED: the peer has no listener */
	bool reset;   /**< with H1_CONNECTION_LOST: not closed in order */
};

/** What to do with an answer whose head has come. */
enum h1_head_action {
	H1_HEAD_ACCEPT, /**< it is the call's */
	H1_HEAD_SKIP, /**< it belongs to another call; wait for the next one */
};

struct h1_call_params {
	const char *address; /**< "IP:port" */
	const char *method;
	const char *target; /**< path and query */
	/** Sent as they are; Content-Length is added. */
	const struct h1_headers *headers;
	const void *body;
	size_t body_len;
	int64_t connect_timeout_us;
	/** A kept connection is used only if it was unused for less than this;
	 * 0: always a new one. */
	int64_t max_reuse_us;
	/** Returns what to do with the answer. NULL: take it. */
	enum h1_head_action (*on_head)(
	    void *context, const struct h1_head *head);
	/** A piece of the answer's body. May be NULL. */
	void (*on_data)(void *context, const void *data, size_t len);
	/** The call is over and invalid. Never runs within h1_call_start(). */
	void (*on_done)(void *context, const struct h1_outcome *outcome);
	void *context;
};

struct h1_client *
h1_client_create(uv_loop_t *loop, const struct h1_client_options *options);
/** Cancels all calls and closes all handles; the loop has to run until they
 * are closed. */
void h1_client_destroy(struct h1_client *client);
/** Starts a call; all parameters are copied. */
struct h1_call *
h1_call_start(struct h1_client *client, const struct h1_call_params *params);
/** Ends a call without a callback, and closes its connection. */
void h1_call_cancel(struct h1_call *call);
/** The call's connection is not to be used again. */
void h1_call_discard_connection(struct h1_call *call);
/** Returns whether a byte of the request may have reached the server. */
bool h1_call_sent(const struct h1_call *call);
/** Closes all unused connections to an address. */
void h1_client_close_idle(struct h1_client *client, const char *address);
/** Connections opened so far. */
uint64_t h1_client_opened_connections(const struct h1_client *client);

#endif
