/** @file
 * Runs gateways as processes on loopback, with stand-ins for the store and the
 * backend servers, for tests and the demo.
 */
#ifndef STANDINS_CLUSTER_H
#define STANDINS_CLUSTER_H

#include <stdbool.h>
#include <sys/types.h>

#include "standins/http_caller.h"

enum {
	CLUSTER_MAX_GATEWAYS = 128,
	CLUSTER_MAX_SERVERS = 64,
	CLUSTER_ARGUMENTS_BYTES = 256,
	CLUSTER_GATEWAY_PORTS = 7,
	WORK_DIR_BYTES = 64,
};

/** Set in the environment of a test program by itself when a test failed. */
#define CLUSTER_TEST_FAILED "CLUSTER_TEST_FAILED"

/** A child process. */
struct cluster_process {
	pid_t pid; /**< 0: not running */
	int port;  /**< port that it listens on */
};

/** A gateway process and its ports. */
struct cluster_gateway {
	struct cluster_process process; /**< process; its port is for callers */
	int readiness_port;
	int directory_port;
	int peers_port;
	int metrics_port;
	int relay_port;
	int store_port; /**< port of a proxy to the store; 0: no proxy */
	struct cluster_process paths; /**< standin-paths, if it was started */
};

/** A store, backend servers and gateways on this host. */
struct cluster {
	const char *build_directory;   /**< directory of the built programs */
	char work_dir[WORK_DIR_BYTES]; /**< directory for settings files and
					  logs */
	struct cluster_process store;
	struct cluster_process servers[CLUSTER_MAX_SERVERS];
	/** Arguments of each server, and how often it was started. */
	char server_arguments[CLUSTER_MAX_SERVERS][CLUSTER_ARGUMENTS_BYTES];
	int server_starts[CLUSTER_MAX_SERVERS];
	struct cluster_gateway gateways[CLUSTER_MAX_GATEWAYS];
	int gateway_count;
	int server_count;
	/** Appended to the settings of each gateway; NULL: nothing. */
	const char *more_settings;
	int config_version; /**< version that was published last */
	/** Sockets that reserve the gateways' ports. */
	int reserved_ports[CLUSTER_MAX_GATEWAYS * CLUSTER_GATEWAY_PORTS];
	int reserved_count;
};

/** Creates the work directory and starts the store. Servers and gateways are
 * added one at a time. Returns false on failure. */
bool cluster_start(struct cluster *cluster, const char *build);
/** Kills all processes. Removes the work directory, unless KEEP_LOGS is set in
 * the environment. If that is "failures", it is removed at the end of this
 * process, unless CLUSTER_TEST_FAILED is set then. */
void cluster_stop(struct cluster *cluster);
/** Starts a backend server of the service "models" or "tools". `extra` has
 * further arguments separated by spaces, or is "". Returns the number of the
 * server, or -1 on failure. */
int cluster_add_server(
    struct cluster *cluster, const char *service, const char *extra);
/** Starts a server that has ended again, under its id and on another port.
 * Returns false on failure. */
bool cluster_restart_server(struct cluster *cluster, int number);
/** The same with further arguments, which go before those of the server. */
bool cluster_restart_server_with(
    struct cluster *cluster, int number, const char *extra);
/** Starts a gateway on free ports. Returns its number, or -1 on failure. */
int cluster_add_gateway(struct cluster *cluster);
/** Starts a gateway whose paths to the servers can be cut. Returns its number,
 * or -1 on failure. At most eight of a cluster. */
int cluster_add_gateway_with_paths(struct cluster *cluster);
/** Sets the mode of a gateway's paths to all servers: "pass", "refuse", "reset"
 * or "dark". */
void
cluster_set_paths(const struct cluster *cluster, int number, const char *mode);
/** The same for its path to the store. */
void cluster_set_store_path(
    const struct cluster *cluster, int number, const char *mode);
/** Removes a server's entry from the list. */
void cluster_unregister_server(struct cluster *cluster, const char *id);
/** Returns whether a gateway's log has a text. */
bool
cluster_has_logged(const struct cluster *cluster, int number, const char *text);
/** Starts a gateway, or restarts one that was killed, on its known ports.
 * Returns false on failure. */
bool cluster_restart_gateway(struct cluster *cluster, int number);
/** Publishes a configuration with the routes /turn/ (turns are retained),
 * /stream/ (turns are not retained, only budgets apply), /safe/ and /once/.
 * `more_routes` is "", or JSON objects of further routes, each preceded by a
 * comma. */
void cluster_publish(struct cluster *cluster, const char *more_routes);
/** The same with further members of the configuration, each preceded by a
 * comma. */
void cluster_publish_with(
    struct cluster *cluster, const char *more_routes, const char *more_members);
/** Waits until a gateway is ready, that is, until it owns programs or knows
 * their owners. Returns false on timeout. */
bool cluster_wait_ready(struct cluster *cluster, int number);
/** Sends a signal to a process; after SIGKILL waits for the process to exit. */
void cluster_signal(struct cluster_process *process, int signal);
/** Makes a server leave by SIGUSR1 or SIGUSR2, and waits until its responses
 * say so. Returns false on timeout. */
bool cluster_leave(struct cluster *cluster, int server, int signal);
/** Waits at most ms milliseconds for a process to exit. Returns its exit
 * status, 128 if a signal ended it, or -1 on timeout. */
int cluster_wait(struct cluster_process *process, int ms);
/** Sets faults of the store from JSON, for example {"outage_ms": 1000}. */
void cluster_set_store_faults(struct cluster *cluster, const char *json);
/** Registers a server `id` of "tools" at the address of an existing server,
 * which has another id. */
void
cluster_register_server(struct cluster *cluster, const char *id, int server);
/** Makes a server state a limit on the rate of requests in all its responses.
 * value: its text; "": none. */
void cluster_state_limit(
    const struct cluster *cluster, int server, const char *value);
/** Makes a server fail all later requests by a trouble of standin-runner. name:
 * of the trouble; "": none. */
void cluster_set_trouble(
    const struct cluster *cluster, int server, const char *name);
/** Appends a record of a keyed topic, whose key may have any bytes. */
void cluster_write_entry(const struct cluster *cluster, const char *topic,
    const void *key, size_t key_len, const char *value);
/** Returns a statistic of the store, or -1 if it could not be read. */
long cluster_store_stat(const struct cluster *cluster, const char *name);
/** Registers a server of "tools" or "models" at a port that the caller serves.
 */
void cluster_register_port(
    struct cluster *cluster, const char *id, const char *service, int port);
/** Returns the number of requests in progress on a server. */
int cluster_requests_in_progress(const struct cluster *cluster, int server);
/** Reads which requests the servers have run since the start of the cluster,
 * those of servers that have ended included: a line "ran ID" for each run. */
void cluster_read_runs(const struct cluster *cluster, struct buf *runs);
/** Returns how often requests have run on a server since its start. */
int cluster_run_count(const struct cluster *cluster, int server);
/** Returns how often the request with an id has run, summed over all running
 * servers. */
int
cluster_request_run_count(const struct cluster *cluster, const char *request);
/** Returns the value of a gateway's counter, for example "turns_total", or -1
 * if it could not be read. */
long
cluster_counter(const struct cluster *cluster, int number, const char *name);
/** Returns a size in kB that the kernel tells of a gateway's memory, for
 * example "VmHWM", or -1 if it could not be read. */
long
cluster_memory_kb(const struct cluster *cluster, int number, const char *field);

#endif
