/** @file
 * The blackboard of a daemon: state that its controllers share. Each controller
 * writes its own part and reads the parts of the others.
 */
#ifndef DAEMON_BLACKBOARD_H
#define DAEMON_BLACKBOARD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/counter.h"
#include "config/config.h"
#include "config/settings.h"
#include "member/member.h"

/** Reachability of the platform's log from this VM. */
struct log_status {
	int64_t reached_us; /**< time of the last success; 0: never */
	int64_t failed_us;  /**< time of the last failure; 0: never */
	bool reachable;     /**< whether the last request succeeded */
};

/** Configuration in force, written by the configuration controller. */
struct config_status {
	const struct config *current; /**< NULL until the first version */
	uint64_t version;
	/** A newer version may exist, because the log can't be read or lacks
	 * part of the history. */
	bool maybe_stale;
	int64_t checked_us; /**< time when it was last known to be the newest */
};

/** State that the controllers of a daemon share. */
struct blackboard {
	const struct settings *settings;
	struct counters counters;
	struct log_status log;
	struct config_status config;
	struct members members; /**< written by the member controller */
	bool draining;          /**< written by the stop controller */
	uint64_t next_call_id;  /**< last call identifier assigned */
	int64_t now_us;         /**< monotonic time of the current callback */
	int64_t started_us;     /**< monotonic time of the daemon's start */
};

#endif
