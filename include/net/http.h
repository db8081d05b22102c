/** @file
 * HTTP/1.1 requests as a server receives them and as a client sends them.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "net/net.h"

enum {
	HTTP_PATH_BYTES = 512,
	HTTP_HEADER_VALUE_BYTES = 512,
};

enum http_method {
	HTTP_GET,
	HTTP_POST,
	HTTP_PUT,
	HTTP_DELETE,
	HTTP_OTHER,
};

/** A header line of a request or an answer. */
struct http_header {
	const char *name; /**< lower case, no colon */
	const char *value;
};

struct http_request {
	enum http_method method;
	const char *path;  /**< without the query */
	const char *query; /**< "a=1&b=2", or "" */
	const uint8_t *body;
	size_t body_len;
	struct http_exchange *exchange;
};

/** Copies a request header's value into value; returns false (and "") when it
 * is absent or longer than size - 1. Valid within the handler only. */
bool http_request_header(const struct http_request *request, const char *name,
    char *value, size_t size);
/** Copies a query parameter's value; returns false when it is absent. */
bool http_request_query(const struct http_request *request, const char *name,
    char *value, size_t size);
/** Copies the peer's IP address. */
void http_request_remote_address(
    const struct http_request *request, char *address, size_t size);

/** Sends a whole answer. headers ends with a NULL name; may be NULL. The
 * exchange must not be used afterwards. */
void http_respond(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers,
    const void *body, size_t len);
/** Starts an answer of unknown length, ended by closing the connection. */
void http_stream_begin(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers);
/** Queues a piece. Returns false when the unsent part would pass the bound;
 * the caller then calls http_abort(). */
bool
http_stream_write(struct http_exchange *exchange, const void *data, size_t len);
/** Ends the answer after what is queued; the exchange is then invalid. */
void http_stream_end(struct http_exchange *exchange);
/** Closes the connection at once; the exchange is then invalid. */
void http_abort(struct http_exchange *exchange);
/** Sets what is called when the caller goes away before the answer's end. The
 * exchange is invalid from then on. Not called after a whole answer. */
void http_exchange_on_close(struct http_exchange *exchange,
    void (*on_close)(void *context), void *context);

/** How a client call ended. */
enum http_result {
	HTTP_RESULT_OK,              /**< a whole answer, of any status */
	HTTP_RESULT_CONNECT_FAILED,  /**< nothing of the request was sent */
	HTTP_RESULT_CONNECTION_LOST, /**< connection lost after sending began */
	HTTP_RESULT_TIMEOUT,         /**< no progress in time; maybe sent */
	HTTP_RESULT_TOO_LARGE,       /**< answer longer than the bound */
	HTTP_RESULT_CANCELLED,       /**< by http_call_cancel() */
};

struct http_call;

struct http_call_params {
	const char *address; /**< IP address */
	int port;
	bool tls;
	enum http_method method;
	const char *path; /**< with query */
	const struct http_header
	    *headers; /**< ends with a NULL name, or NULL */
	const void *body;
	size_t body_len;
	int64_t timeout_us;      /**< longest time without progress; 0: 30 s */
	size_t max_answer_bytes; /**< http_fetch only; 0: 16 MiB */
	/** A piece of the answer's body has come. May be NULL. */
	void (*on_data)(
	    void *context, int status, const uint8_t *data, size_t len);
	/** The call is over; status is 0 unless an answer began. The call is
	 * invalid afterwards. Never runs within http_call_start(). */
	void (*on_done)(void *context, enum http_result result, int status);
	void *context;
};

/** Starts a call. All parameters are copied. Never fails directly: failures
 * are told to on_done. */
struct http_call *
http_call_start(struct net *net, const struct http_call_params *params);
/** Ends a call; on_done is not called. */
void http_call_cancel(struct http_call *call);

/** Whole answer of http_fetch(). */
struct http_response {
	enum http_result result;
	int status;
	const uint8_t *body; /**< NUL-terminated */
	size_t body_len;
	const char *location; /**< of a redirect, whose body is left out; "" */
};

typedef void (*http_fetch_done)(
    void *context, const struct http_response *answer);

/** Like http_call_start(), but collects the body. on_data, on_done and context
 * of params are ignored. */
struct http_call *http_fetch(struct net *net,
    const struct http_call_params *params, http_fetch_done done, void *context);

/** Returns "connect_failed", "cut", ... */
const char *http_result_name(enum http_result result);

#endif
