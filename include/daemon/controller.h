/** @file
 * Controllers of the daemon. Each owns a part of the blackboard.
 */
#ifndef DAEMON_CONTROLLER_H
#define DAEMON_CONTROLLER_H

#include "daemon/daemon.h"

/** Follows the configuration stream; writes blackboard.config and
 * blackboard.log. */
struct config_controller *config_controller_create(struct daemon *daemon);
void config_controller_destroy(struct config_controller *controller);
const struct config_fold *
config_controller_fold(const struct config_controller *controller);

/** Follows the platform's VM list; writes blackboard.members. Tells the owner
 * which shards this VM should own. */
struct member_controller *member_controller_create(struct daemon *daemon);
void member_controller_destroy(struct member_controller *controller);
/** Recomputes the shards to own, after a change of members. */
void member_controller_assign(struct daemon *daemon);

/** Reads the lanes that the owner follows and appends its batches. */
struct lane_controller *lane_controller_create(struct daemon *daemon);
void lane_controller_destroy(struct lane_controller *controller);
void lane_controller_pump(struct lane_controller *controller);

/** Polls backend servers for load, cache events and health, and sends them
 * orders to release KV cache. */
struct server_controller *server_controller_create(struct daemon *daemon);
void server_controller_destroy(struct server_controller *controller);
/** Takes a new configuration version. */
void server_controller_reload(struct server_controller *controller);
/** Releases the cache of a program that has ended; the owner is told. */
void server_controller_release_kv(struct server_controller *controller,
    const char *server, const char *program);
/** Releases it on every declared server; the owner is told once all have
 * confirmed. */
void server_controller_release_kv_everywhere(
    struct server_controller *controller, const char *program);
/** Drops the cache of a program that pauses; nobody waits for it. */
void server_controller_drop_kv(struct server_controller *controller,
    const char *server, const char *program);

/** Planned stop: drains, then ends the loop. */
struct stop_controller *stop_controller_create(struct daemon *daemon);
void stop_controller_destroy(struct stop_controller *controller);
void stop_controller_begin(struct stop_controller *controller);
void stop_controller_pump(struct stop_controller *controller);

/** Records whether the platform's log answered. */
void blackboard_set_log_reachable(struct blackboard *blackboard, bool reached);

#endif
