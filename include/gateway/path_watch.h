/** @file
 * Watches whether this VM reaches backend servers, and tells the other gateways
 * when it has lost its paths to all of them, and when they are back.
 */
#ifndef GATEWAY_PATH_WATCH_H
#define GATEWAY_PATH_WATCH_H

#include "dispatch/backends.h"

struct gateway;
struct path_watch;

struct path_watch *path_watch_create(struct gateway *gateway);
void path_watch_destroy(struct path_watch *watch);
/** Takes the steps that are due; called by the gateway's timer. */
void path_watch_tick(struct path_watch *watch);
/** Finds out soon whether a server can be reached. */
void path_watch_probe(struct path_watch *watch);
/** Handles a connection to a server that could not be opened or was lost. */
void path_watch_handle_failure(
    struct path_watch *watch, const struct backend *backend);
/** Handles a response on a new connection to a server. */
void path_watch_handle_reached(struct path_watch *watch);

#endif
