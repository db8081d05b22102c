/** @file
 * Declarations shared by the source files of net/; not for other directories.
 */
#ifndef NET_INTERNAL_H
#define NET_INTERNAL_H

#include <libwebsockets.h>

#include "common/buf.h"
#include "common/list.h"
#include "h1/client.h"
#include "net/http.h"
#include "net/net.h"

struct net {
	uv_loop_t *loop;
	struct lws_context *context;
	struct lws_vhost *server;
	struct h1_client *client;
	struct net_options options;
	struct list exchanges;        /**< of struct http_exchange */
	struct list calls;            /**< of struct http_call */
	uv_timer_t *disconnect_timer; /**< checks for callers that have
				   disconnected; server only */
	bool closing;
};

/** Handles the libwebsockets events of the server. */
int http_server_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);
/** Closes the connections of callers that have disconnected while their request
 * is being handled. */
void http_server_close_disconnected(struct net *net);
/** Closes a connection asynchronously, from outside its libwebsockets
 * callback. */
void net_kill_connection(struct net *net, struct lws *wsi);
/** End all exchanges or calls; their callbacks run. */
void http_server_abort_all(struct net *net);
void http_client_cancel_all(struct net *net);

#endif
