/** @file
 * Turns of a program, each of which continues the one before it.
 */
#ifndef TESTS_CONVERSATION_H
#define TESTS_CONVERSATION_H

#include "common/buf.h"
#include "standins/http_caller.h"

/** A chain of turns as its caller knows it. */
struct conversation {
	char program[32];
	char previous_turn[32];
	struct buf transcript; /**< all inputs and outputs so far */
};

/** Sends the next turn on a new connection, which is left in caller, without
 * reading the response. */
void conversation_start(const struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget,
    struct http_caller *caller);
/** Reads the response to a turn and closes the connection. If the status is
 * 200, checks that the response is whole and, by the hash in it, that the
 * server received the whole conversation, and adds the turn to it. Returns the
 * HTTP status. */
int conversation_finish(struct conversation *conversation, const char *request,
    const char *input, struct http_caller *caller);
/** Sends a turn and handles its response. Returns the HTTP status. */
int conversation_send(struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget);
/** Sends a turn, and repeats it with new request ids while it is refused with
 * 503 or gets no response. Returns the last status. */
int conversation_send_with_retries(struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget);

#endif
