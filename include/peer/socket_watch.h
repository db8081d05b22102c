/** @file
 * Watches a ZeroMQ socket for incoming messages on a libuv loop.
 *
 * The socket's file descriptor is edge-triggered: it reports that the socket's
 * state may have changed, not that a message can be read. The socket's event
 * flags (ZMQ_EVENTS) are therefore checked after each event of the descriptor
 * and after each message.
 */
#ifndef PEER_SOCKET_WATCH_H
#define PEER_SOCKET_WATCH_H

#include <uv.h>

#include "common/error.h"

struct socket_watch;

/** Reads at least one message from the socket. */
typedef void (*socket_watch_handler)(void *context);

/** Calls the handler whenever the socket has messages.
 * Errors: ERROR_IO. */
struct socket_watch *socket_watch_create(uv_loop_t *loop, void *socket,
    socket_watch_handler handler, void *context, struct error *err);
/** Stops watching. The socket may be closed afterwards; the watch is freed
 * when the loop has closed its handles. */
void socket_watch_destroy(struct socket_watch *watch);

#endif
