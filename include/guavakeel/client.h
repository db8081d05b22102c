/** @file
 * Blocking HTTP client for commands.
 */
#ifndef GUAVAKEEL_CLIENT_H
#define GUAVAKEEL_CLIENT_H

#include <uv.h>

#include "common/buf.h"
#include "net/http.h"

struct client {
	uv_loop_t loop;
	uv_timer_t timer;
	struct net *net;
};

struct client_answer {
	enum http_result result;
	int status;
	struct buf body; /**< to be reset by the caller */
};

/** Errors: those of net_create(). */
bool client_open(struct client *client, struct error *err);
void client_close(struct client *client);
/** Runs the loop until *done. */
void client_wait(struct client *client, const bool *done);
void client_sleep(struct client *client, int ms);
/** Sends a request and waits for its whole answer. */
void client_fetch(struct client *client, const struct http_call_params *params,
    struct client_answer *answer);

#endif
