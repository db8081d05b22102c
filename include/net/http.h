/** @file
 * HTTP/1.1 requests and responses of the server and the client of net/net.h.
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

/** A header field of a request or a response. */
struct http_header {
	const char *name; /**< lower case, no colon */
	const char *value;
};

/** A request that the server has received. */
struct http_request {
	enum http_method method;
	const char *path;  /**< without the query */
	const char *query; /**< "a=1&b=2", or "" */
	const uint8_t *body;
	size_t body_len;
	struct http_exchange *exchange;
};

/** Copies the value of a header field, whose name is in lower case. Returns
 * false, and "" in value, when it is absent or longer than size - 1. May be
 * called during the handler only. */
bool http_request_header(const struct http_request *request, const char *name,
    char *value, size_t size);
/** Copies the value of a query parameter without percent-decoding. Returns
 * false, and "" in value, when it is absent or longer than size - 1. */
bool http_request_query(const struct http_request *request, const char *name,
    char *value, size_t size);
/** Copies the peer's IP address. */
void http_request_remote_address(
    const struct http_request *request, char *address, size_t size);

/** Sends a whole response. headers ends with a NULL name; may be NULL. The
 * exchange is invalid afterwards. */
void http_respond(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers,
    const void *body, size_t len);
/** Starts a response of unknown length. It is sent in chunks; to a caller of
 * HTTP/1.0 its end is the close of the connection. */
void http_stream_begin(struct http_exchange *exchange, int status,
    const char *content_type, const struct http_header *headers);
/** Queues a piece of the body. Returns false when the unsent part would exceed
 * max_send_queue_bytes; the caller must then call http_abort(). */
bool
http_stream_write(struct http_exchange *exchange, const void *data, size_t len);
/** Ends the response after the queued data; the exchange is invalid
 * afterwards. */
void http_stream_end(struct http_exchange *exchange);
/** Closes the connection without sending the queued data, so that the caller
 * can't take a partial response for a whole one; the exchange is invalid
 * afterwards. */
void http_abort(struct http_exchange *exchange);
/** Sets the callback that runs when the caller disconnects before the handler
 * has ended the response. The exchange is invalid from then on. */
void http_exchange_on_close(struct http_exchange *exchange,
    void (*on_close)(void *context), void *context);

/** How a client call ended. */
enum http_result {
	HTTP_RESULT_OK,              /**< whole response, of any status */
	HTTP_RESULT_CONNECT_FAILED,  /**< no byte of the request was sent */
	HTTP_RESULT_CONNECTION_LOST, /**< lost after sending began */
	HTTP_RESULT_TIMEOUT,         /**< no progress within timeout_us, or
					max_us passed; the request may have
					been sent */
	HTTP_RESULT_TOO_LARGE,       /**< response longer than the limit */
	HTTP_RESULT_CANCELLED,       /**< by http_call_cancel() */
};

struct http_call;

/** Parameters of a client call. */
struct http_call_params {
	const char *address; /**< IP address */
	int port;
	enum http_method method;
	const char *path; /**< with query */
	/** Ends with a NULL name, or NULL. */
	const struct http_header *headers;
	const void *body;
	size_t body_len;
	int64_t timeout_us; /**< longest time without progress; 0: 30 s */
	int64_t max_us;     /**< longest time of the whole call; 0: no limit */
	/** Bytes of the response are no progress, only what the caller reports
	 * with http_call_progress(). */
	bool reports_progress;
	size_t max_response_bytes; /**< http_fetch() only; 0: 16 MiB */
	/** Receives a piece of the response's body. May be NULL. */
	void (*on_data)(
	    void *context, int status, const uint8_t *data, size_t len);
	/** Reports the end of the call, which is invalid from then on. status
	 * is 0 unless a response has started. Never runs within
	 * http_call_start(). */
	void (*on_done)(void *context, enum http_result result, int status);
	void *context;
};

/** Starts a call. All parameters are copied. Never returns NULL: failures are
 * reported to on_done. */
struct http_call *
http_call_start(struct net *net, const struct http_call_params *params);
/** Starts the time without progress anew; for calls with reports_progress. */
void http_call_progress(struct http_call *call);
/** Cancels a call; on_done does not run. */
void http_call_cancel(struct http_call *call);

/** Result of http_fetch(); valid during the callback. */
struct http_response {
	enum http_result result;
	int status;
	const uint8_t *body; /**< NUL-terminated */
	size_t body_len;
	const char *location; /**< target of a redirect, whose body is
				  omitted; else "" */
};

typedef void (*http_fetch_done)(
    void *context, const struct http_response *response);

/** Like http_call_start(), but collects the body. on_data, on_done and context
 * of params are ignored. done runs once, unless the call is cancelled. */
struct http_call *http_fetch(struct net *net,
    const struct http_call_params *params, http_fetch_done done, void *context);

/** Returns the name of a result for log lines, e.g. "connect_failed". */
const char *http_result_name(enum http_result result);

#endif
