/** @file
 * The entry daemon: its event loop, its libuv handles and its controllers. A
 * call enters in api.c, is admitted by program/ and scheduled by route/, and is
 * sent to a server by attempt.c.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include <uv.h>

#include "common/list.h"
#include "config/fold.h"
#include "daemon/blackboard.h"
#include "net/net.h"
#include "plog/plog.h"
#include "program/owner.h"
#include "route/sched.h"

struct call;
struct config_controller;
struct member_controller;
struct lane_controller;
struct server_controller;
struct stop_controller;

/** State of the daemon. */
struct daemon {
	struct blackboard blackboard;
	struct settings settings;
	uv_loop_t loop;
	uv_prepare_t prepare; /**< runs daemon_pump() before each wait */
	uv_timer_t timer;     /**< wakes the loop when work is due */
	uv_signal_t signals[2];
	struct net *net;
	struct plog *plog;
	struct owner *owner; /**< NULL until the first configuration */
	struct sched *sched;
	struct call *calls; /**< open calls, hashed by id */
	struct config_controller *config;
	struct member_controller *member;
	struct lane_controller *lane;
	struct server_controller *server;
	struct stop_controller *stop;
	char address[NAME_BYTES];   /**< "IP:port" for callers */
	struct digest operator_key; /**< hash of the operator key */
	bool has_operator_key;
};

/** Entry point of `guavakeel daemon`. */
int daemon_main(int argc, char **argv);
/** Does the work that is due: owner events, dispatches, appends, and the end of
 * a drain. */
void daemon_pump(struct daemon *daemon);
/** Creates the owner unless it exists; needs a configuration in force. */
void daemon_start_owner(struct daemon *daemon);

#endif
