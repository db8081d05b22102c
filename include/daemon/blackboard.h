/** @file
 * The blackboard of a daemon. Each controller reads what others wrote here
 * and writes its own part; none calls another.
 */
#ifndef DAEMON_BLACKBOARD_H
#define DAEMON_BLACKBOARD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/counter.h"
#include "config/config.h"
#include "config/settings.h"
#include "member/member.h"

/** How the platform's log looks from here. */
struct log_status {
	int64_t reached_us; /**< last successful answer; 0: never */
	int64_t failed_us;  /**< last failure; 0: never */
	bool reachable;
};

/** The configuration in force here. Written by the configuration controller.
 */
struct config_status {
	const struct config *current; /**< NULL: none yet */
	uint64_t version;
	bool maybe_stale;   /**< the log, or the relay, can't be reached */
	int64_t checked_us; /**< when it was last known to be the newest */
};

struct blackboard {
	const struct settings *settings;
	struct counters counters;
	struct log_status log;
	struct config_status config;
	struct members members; /**< written by the member controller */
	bool draining;          /**< written by the stop controller */
	bool peers_changed;     /**< set with members, cleared by the owner
				   controller */
	uint64_t next_call_id;  /**< source of call handles */
	int64_t now_us;         /**< time of the current loop turn */
	int64_t started_us;
};

#endif
