/** @file
 * HTTP/1.1 client on a libuv loop. It reuses connections, and reports for a
 * failed call whether any byte of the request may have reached the server.
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
	/** Longest time that sent bytes may stay unacknowledged before the
	 * connection is closed. */
	int64_t ack_timeout_us;
	/** Longest time that an idle connection is kept open. */
	int64_t idle_timeout_us;
};

enum h1_result {
	H1_COMPLETE,        /**< whole response, of any status */
	H1_CONNECT_FAILED,  /**< no byte of the request was sent */
	H1_CONNECTION_LOST, /**< connection ended before the response */
	H1_MALFORMED,       /**< the bytes received are not HTTP */
};

/** What marks the end of a response's body. */
enum h1_body_end {
	H1_BODY_END_UNKNOWN, /**< no head has arrived */
	H1_BODY_END_LENGTH,  /**< a length, or a response without a body */
	H1_BODY_END_CHUNK,   /**< the last chunk */
	/** The end of the connection, which does not show whether the server
	 * has sent the whole body. */
	H1_BODY_END_CONNECTION,
};

/** How a call ended. */
struct h1_outcome {
	enum h1_result result;
	enum h1_body_end body_end;
	bool reused;       /**< the connection had served an earlier call */
	bool refused;      /**< with H1_CONNECT_FAILED: connection refused */
	bool reset;        /**< with H1_CONNECTION_LOST: not an orderly close */
	const char *fault; /**< with H1_MALFORMED: what is wrong */
};

/** What to do with a response whose head has arrived. */
enum h1_head_action {
	H1_HEAD_ACCEPT, /**< the response belongs to the call */
	/** The response belongs to another call: discard it and wait for the
	 * next one. */
	H1_HEAD_SKIP,
};

struct h1_call_params {
	const char *address; /**< "IP:port" */
	const char *method;
	const char *target; /**< path and query */
	/** Sent unchanged. Host is added if absent, and Content-Length unless
	 * the request is a GET without a body. */
	const struct h1_headers *headers;
	const void *body;
	size_t body_len;
	int64_t connect_timeout_us;
	/** An idle connection is reused only if it was idle for less than this;
	 * 0: always opens a new one. */
	int64_t max_reuse_us;
	/** Decides about a response whose head has arrived. NULL: accept. */
	enum h1_head_action (*on_head)(
	    void *context, const struct h1_head *head);
	/** Receives a piece of the response's body. May be NULL. */
	void (*on_data)(void *context, const void *data, size_t len);
	/** Reports the end of the call, which is invalid from then on. Never
	 * runs within h1_call_start(). */
	void (*on_done)(void *context, const struct h1_outcome *outcome);
	void *context;
};

struct h1_client *
h1_client_create(uv_loop_t *loop, const struct h1_client_options *options);
/** Cancels all calls and closes all handles. The loop must run until they are
 * closed; the client is freed then. */
void h1_client_destroy(struct h1_client *client);
/** Starts a call. All parameters are copied; failures are reported to
 * on_done. */
struct h1_call *
h1_call_start(struct h1_client *client, const struct h1_call_params *params);
/** Cancels a call and closes its connection; on_done does not run. */
void h1_call_cancel(struct h1_call *call);
/** Stops reading the response, so that the server stops sending it. What was
 * read before may still be passed on. */
void h1_call_pause(struct h1_call *call);
void h1_call_resume(struct h1_call *call);
/** Sets the most that is read at once; 0: that of the client. */
void h1_call_set_read_size(struct h1_call *call, size_t bytes);
/** Prevents reuse of the call's connection. */
void h1_call_discard_connection(struct h1_call *call);
/** Returns the name of a value for logs. */
const char *h1_body_end_name(enum h1_body_end body_end);
/** Returns whether a byte of the request may have reached the server. */
bool h1_call_sent(const struct h1_call *call);
/** Returns whether the call uses a connection that served an earlier one. */
bool h1_call_reuses_connection(const struct h1_call *call);
/** Sets the most that is read at once for all calls; 0: the default, 64 KiB. */
void h1_client_set_read_size(struct h1_client *client, size_t bytes);
/** Closes all idle connections to an address. */
void h1_client_close_idle(struct h1_client *client, const char *address);
/** Returns the number of connections opened so far. */
uint64_t h1_client_opened_connections(const struct h1_client *client);

#endif
