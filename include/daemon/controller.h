/** @file
 * Controllers of the daemon. Each writes its own part of the blackboard.
 */
#ifndef DAEMON_CONTROLLER_H
#define DAEMON_CONTROLLER_H

#include "daemon/daemon.h"

/** Creates the controller that follows the configuration stream. It writes
 * blackboard.config and blackboard.log. */
struct config_controller *config_controller_create(struct daemon *daemon);
void config_controller_destroy(struct config_controller *controller);
/** Returns the state folded from the configuration stream. */
const struct config_fold *
config_controller_fold(const struct config_controller *controller);

/** Creates the controller that polls the platform's VM list and the VMs on it.
 * It writes blackboard.members and tells the owner which shards this VM should
 * own. */
struct member_controller *member_controller_create(struct daemon *daemon);
void member_controller_destroy(struct member_controller *controller);
/** Tells the owner which shards this VM should own, and its part of the
 * appends, after a change of members, configuration or draining. */
void member_controller_assign(struct daemon *daemon);

/** Creates the controller that reads the lanes that the owner follows, and
 * appends the owner's batches. */
struct lane_controller *lane_controller_create(struct daemon *daemon);
void lane_controller_destroy(struct lane_controller *controller);
/** Starts the reads and appends that are due. */
void lane_controller_pump(struct lane_controller *controller);

/** Creates the controller that polls backend servers for load, cache events and
 * health, and sends them requests to release KV cache. */
struct server_controller *server_controller_create(struct daemon *daemon);
void server_controller_destroy(struct server_controller *controller);
/** Updates the polled servers after a new configuration version. */
void server_controller_reload(struct server_controller *controller);
/** Releases the KV cache of a program that has ended. The owner is told when
 * the server has confirmed. */
void server_controller_release_kv(struct server_controller *controller,
    const char *server, const char *program);
/** Releases the KV cache of a program that has ended on every declared server.
 * The owner is told when all servers have confirmed. */
void server_controller_release_kv_everywhere(
    struct server_controller *controller, const char *program);
/** Releases the KV cache of a program that pauses. The owner is not told. */
void server_controller_drop_kv(struct server_controller *controller,
    const char *server, const char *program);

/** Creates the controller of the planned stop, which drains the daemon and then
 * ends its event loop. */
struct stop_controller *stop_controller_create(struct daemon *daemon);
void stop_controller_destroy(struct stop_controller *controller);
/** Starts draining; does nothing if that has been done. */
void stop_controller_begin(struct stop_controller *controller);
/** Ends the event loop once the drain is complete or its time is over. */
void stop_controller_pump(struct stop_controller *controller);

/** Records whether a request to the platform's log succeeded. */
void blackboard_set_log_reachable(struct blackboard *blackboard, bool reached);

#endif
