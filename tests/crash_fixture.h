/** @file
 * A cluster of gateways and servers for tests of requests that crash servers:
 * sends such a request, starts crashed servers again, and counts.
 */
#ifndef TESTS_CRASH_FIXTURE_H
#define TESTS_CRASH_FIXTURE_H

#include "tests/calls.h"
#include "tests/runner.h"

enum {
	GATEWAYS = 3,
	SERVERS = 4,
	LISTED_MS = 1500, /**< until the gateways use the servers */
	/** Crashes from which on the request is not to be sent. */
	CRASHES = 3,
	/** Sends that are permitted after them. */
	SENDS_AFTER = 3,
	/** A gateway that starts, wakes or is in contact again must know by
	 * then what the others know. */
	SETTLE_MS = 3000,
	RESTART_MS = 600, /**< until a crashed server runs again */
	TRIES_MAX = 12, /**< of the request, while it may still crash servers */
};

extern struct cluster cluster;
extern const char *build_dir;
extern int crashes; /**< servers that have crashed */

/** Starts a cluster with SERVERS servers of "tools". with_paths: gateways whose
 * paths to the servers can be cut. */
void start_cluster(bool with_paths, const char *server_arguments);
/** start_cluster() and cluster_stop() for check. */
void setup(void);
void teardown(void);
/** Sends the request to a gateway, and counts and restarts the servers that it
 * crashes. */
struct answer send_and_restart(int gateway, const char *target);
/** The same for a request that must not complete. */
struct answer send_crashing(int gateway, const char *target);
/** Counts the servers that have crashed, and starts them again. */
void restart_crashed(void);
/** Sends the request to the gateways in turn until it is refused. */
void crash_until_refused(const char *target);
/** Sends the request to a gateway again. None of it may crash a server. */
void check_refused(int gateway, const char *target);
/** Checks that the request has crashed no more servers than is permitted. */
void check_bound(void);

#endif
