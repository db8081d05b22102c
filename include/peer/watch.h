/** @file
 * Reading of a ZeroMQ socket on a libuv loop.
 *
 * The socket's file descriptor is edge-triggered: it reports that the state
 * may have changed, not that there is something to read. After each event and
 * each operation the socket's own event flags are looked at again.
 */
#ifndef PEER_WATCH_H
#define PEER_WATCH_H

#include <uv.h>

#include "common/error.h"

struct watch;

/** Reads what is there to be read, at least one message. */
typedef void (*watch_handler)(void *context);

/** Calls the handler while the socket has messages.
 * Errors: ERROR_IO. */
struct watch *watch_create(uv_loop_t *loop, void *socket, watch_handler handler,
    void *context, struct error *err);
/** Stops; the socket may be closed afterwards. */
void watch_destroy(struct watch *watch);

#endif
