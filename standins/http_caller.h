/** @file
 * Blocking HTTP/1.1 client for tests and demos. It sends one request after
 * another on a connection, and each read has a timeout.
 */
#ifndef STANDINS_HTTP_CALLER_H
#define STANDINS_HTTP_CALLER_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"

/** A client connection. */
struct http_caller {
	int fd;        /**< socket; -1: not connected */
	struct buf in; /**< received bytes that are not read yet */
	bool ended;    /**< the server has closed the connection in order */
};

/** A response, or the part of it that was received. */
struct http_reply {
	int status;      /**< status code; 0: no response */
	bool complete;   /**< whether the whole response was received */
	bool closing;    /**< whether it has Connection: close */
	struct buf head; /**< status line and header fields */
	struct buf body; /**< body, with chunks joined */
};

/** Connects to a port on loopback; returns false on failure. */
bool http_caller_open(struct http_caller *caller, int port);
void http_caller_close(struct http_caller *caller);
/** Sends bytes unchanged; returns false on failure. */
bool http_caller_send(struct http_caller *caller, const void *data, size_t len);
/** Reads one response, for at most ms milliseconds. */
void
http_caller_read(struct http_caller *caller, int ms, struct http_reply *reply);
/** Waits at most ms milliseconds until some bytes arrive, which are kept for
 * the next http_caller_read(). Returns false on timeout or end of connection.
 */
bool http_caller_wait_bytes(struct http_caller *caller, int ms);
/** Returns the value of a header field, valid until the next call, or NULL. */
const char *http_reply_field(const struct http_reply *reply, const char *name);
void http_reply_reset(struct http_reply *reply);

/** Sends one request on a new connection and reads the response, for at most ms
 * milliseconds. `fields` has header lines, each ending in CRLF. */
void http_call_once(int port, const char *method, const char *target,
    const char *fields, const void *body, size_t len, int ms,
    struct http_reply *reply);

#endif
