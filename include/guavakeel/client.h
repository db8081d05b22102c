/** @file
 * Blocking HTTP client for commands.
 */
#ifndef GUAVAKEEL_CLIENT_H
#define GUAVAKEEL_CLIENT_H

#include <uv.h>

#include "common/buf.h"
#include "net/http.h"

/** An event loop with an HTTP client. */
struct client {
	uv_loop_t loop;
	uv_timer_t timer; /**< of client_sleep() */
	struct net *net;
};

/** Result of client_fetch(). */
struct client_response {
	enum http_result result;
	int status;      /**< HTTP status; 0: none was received */
	struct buf body; /**< reset by the calling function */
};

/** Sets up a client. Errors: those of net_create(). */
bool client_open(struct client *client, struct error *err);
void client_close(struct client *client);
/** Runs the event loop until *done is true. */
void client_wait(struct client *client, const bool *done);
/** Runs the event loop for a time. */
void client_sleep(struct client *client, int ms);
/** Sends a request and waits for its complete response. */
void client_fetch(struct client *client, const struct http_call_params *params,
    struct client_response *response);

#endif
