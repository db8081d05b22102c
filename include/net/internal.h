/** @file
 * Shared by the files of net/; no other directory includes it.
 */
#ifndef NET_INTERNAL_H
#define NET_INTERNAL_H

#include <libwebsockets.h>

#include "common/buf.h"
#include "common/list.h"
#include "net/http.h"
#include "net/net.h"

struct net {
	uv_loop_t *loop;
	struct lws_context *context;
	struct lws_vhost *server;
	struct lws_vhost *client;
	struct net_options options;
	struct list exchanges;  /**< of struct http_exchange */
	struct list calls;      /**< of struct http_call */
	uv_timer_t *peer_timer; /**< server only */
	bool closing;
};

/** libwebsockets callbacks of the two protocols. */
int http_server_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);
int http_client_callback(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);
/** Closes the connections of callers that went away during an answer. */
void http_server_close_disconnected(struct net *net);
/** Closes a connection from outside its callback, soon. */
void net_kill_connection(struct net *net, struct lws *wsi);
/** Ends every exchange or call without an answer. */
void http_server_abort_all(struct net *net);
void http_client_cancel_all(struct net *net);

#endif
