/** @file
 * The entry daemon: its loop, its handles, and the controllers that work on
 * the blackboard. A call enters in api.c, is decided by program/ and route/,
 * and leaves through attempt.c.
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

struct daemon {
	struct blackboard blackboard;
	struct settings settings;
	uv_loop_t loop;
	uv_prepare_t prepare; /**< runs daemon_pump() before each wait */
	uv_timer_t timer;     /**< wakes the loop when something is due */
	uv_signal_t signals[2];
	struct net *net;
	struct plog *plog;
	struct owner *owner; /**< NULL until a configuration is in force */
	struct sched *sched;
	struct call *calls; /**< hash by id */
	struct config_controller *config;
	struct member_controller *member;
	struct lane_controller *lane;
	struct server_controller *server;
	struct stop_controller *stop;
	char address[NAME_BYTES];   /**< "IP:port" for callers */
	struct digest operator_key; /**< hash of the operators' key */
	bool has_operator_key;
};

/** Entry point of `guavakeel daemon`. */
int daemon_main(int argc, char **argv);
/** Does all that is due now: owner events, dispatches, appends. */
void daemon_pump(struct daemon *daemon);
/** Creates the owner once the first configuration is in force. */
void daemon_start_owner(struct daemon *daemon);

#endif
