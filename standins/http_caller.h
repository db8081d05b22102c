/** @file
 * Blocking HTTP/1.1 caller for tests and demos: one connection, one request
 * after the other, with a bound on each wait.
 */
#ifndef STANDINS_HTTP_CALLER_H
#define STANDINS_HTTP_CALLER_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"

struct http_caller {
	int fd; /**< -1: not connected */
	struct buf in;
};

/** A whole answer, or what came of one. */
struct http_reply {
	int status;      /**< 0: no answer */
	bool complete;   /**< up to its end */
	bool closing;    /**< the connection is not kept */
	struct buf head; /**< start line and fields */
	struct buf body; /**< chunks put together */
};

/** Connects to a port on loopback. */
bool http_caller_open(struct http_caller *caller, int port);
void http_caller_close(struct http_caller *caller);
/** Sends bytes as they are. */
bool http_caller_send(struct http_caller *caller, const void *data, size_t len);
/** Reads one answer; waits at most ms for it. */
void
http_caller_read(struct http_caller *caller, int ms, struct http_reply *reply);
/** Reads until some bytes of a body have come. Returns false on a timeout. */
bool http_caller_wait_bytes(struct http_caller *caller, int ms);
/** Returns a header field's value in a buffer that is good until the next
 * call, or NULL. */
const char *http_reply_field(const struct http_reply *reply, const char *name);
void http_reply_reset(struct http_reply *reply);

/** One request on a connection of its own. fields: whole lines with CRLF. */
void http_call_once(int port, const char *method, const char *target,
    const char *fields, const void *body, size_t len, int ms,
    struct http_reply *reply);

#endif
