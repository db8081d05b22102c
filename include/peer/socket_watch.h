/** @file
 * Reading of a ZeroMQ socket on a libuv loop.
 *
 * The socket's file descriptor is edge-triggered: it reports that the state
 * may have changed, not that there is something to read. After each event and
 * each operation the socket's own event flags are looked at again.
 */
#ifndef PEER_SOCKET_WATCH_H
#define PEER_SOCKET_WATCH_H

#include <uv.h>

#include "common/error.h"

struct socket_watch;

/** Reads what is there to be read, at least one message. */
typedef void (*socket_watch_handler)(void *context);

/** Calls the handler while the socket has messages.
 * Errors: ERROR_IO. */
struct socket_watch *socket_watch_create(uv_loop_t *loop, void *socket,
    socket_watch_handler handler, void *context, struct error *err);
/** Stops; the socket may be closed afterwards. */
void socket_watch_destroy(struct socket_watch *watch);

#endif
