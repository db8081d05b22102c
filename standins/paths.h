/** @file
 * The network paths of one gateway to the store and to the backend servers,
 * which can be cut while those of other gateways go on.
 *
 * The gateway reaches the store through a proxy that changes the addresses of
 * the servers in the store's records: from 127.0.0.1 to another address of
 * loopback, where a proxy for each server listens on the server's port. The
 * list that a gateway reads at its start is not changed, but that of the
 * servers' next heartbeats is.
 */
#ifndef STANDINS_PATHS_H
#define STANDINS_PATHS_H

#include <uv.h>

#include "standins/proxy.h"

struct paths;

/** number: 1 to 8, different for each gateway of the host's clusters that have
 * servers in common. store_port: of the store. port: on which the gateway
 * reaches the store; 0: any. Returns NULL when an address can't be bound. */
struct paths *
paths_create(uv_loop_t *loop, int number, int store_port, int port);
/** The loop must run until all handles are closed, which frees the paths'
 * proxies. */
void paths_destroy(struct paths *paths);
/** Returns the proxy to the store. */
struct proxy *paths_store(const struct paths *paths);
/** Sets the mode of the paths to all servers, also of those that come later. */
void paths_set_server_mode(struct paths *paths, enum proxy_mode mode);

#endif
