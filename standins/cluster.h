/** @file
 * Gateways as real processes on loopback, with the stand-ins of a store and of
 * backend servers, for tests and the demo.
 */
#ifndef STANDINS_CLUSTER_H
#define STANDINS_CLUSTER_H

#include <stdbool.h>
#include <sys/types.h>

#include "standins/http_caller.h"

enum {
	CLUSTER_MAX_GATEWAYS = 4,
	CLUSTER_MAX_SERVERS = 4,
};

struct cluster_process {
	pid_t pid; /**< 0: not running */
	int port;
};

struct cluster_gateway {
	struct cluster_process process; /**< port: for callers */
	int readiness_port;
	int directory_port;
	int peers_port;
	int metrics_port;
	int store_port; /**< where it finds the store; 0: at the store */
};

struct cluster {
	const char *build; /**< directory of the programs */
	char work_dir[64]; /**< directory of settings and logs */
	struct cluster_process store;
	struct cluster_process servers[CLUSTER_MAX_SERVERS];
	struct cluster_gateway gateways[CLUSTER_MAX_GATEWAYS];
	int gateway_count;
	int server_count;
	int config_version;
};

/** Starts the store; the rest is started one by one. */
bool cluster_start(struct cluster *cluster, const char *build);
/** Kills what runs and removes the directory. */
void cluster_stop(struct cluster *cluster);
/** Starts a server of "models" or "tools"; extra: further arguments, or "".
 * Returns its number, or -1. */
int cluster_add_server(
    struct cluster *cluster, const char *service, const char *extra);
/** Starts a gateway; returns its number, or -1. */
int cluster_add_gateway(struct cluster *cluster);
/** Starts a gateway that was killed again, at its ports. */
bool cluster_restart_gateway(struct cluster *cluster, int number);
/** Publishes a configuration: routes /turn/ (kept turns), /stream/ (budgets
 * only), /safe/, /once/, and more, a JSON list that begins with a comma, or
 * "". */
void cluster_publish(struct cluster *cluster, const char *more_routes);
/** Waits until a gateway is ready and owns or knows owners of programs. */
bool cluster_wait_ready(struct cluster *cluster, int number);
/** Sends a signal to a process; SIGKILL is waited for. */
void cluster_signal(struct cluster_process *process, int signal);
/** Waits for a process that is told to end; returns its status, or -1 when it
 * is still there after ms. */
int cluster_wait(struct cluster_process *process, int ms);
/** Sets faults of the store, e.g. {"outage_ms": 1000}. */
void cluster_set_store_faults(struct cluster *cluster, const char *json);
/** Lists a server of "tools" at the address of a runner that is none. */
void
cluster_register_server(struct cluster *cluster, const char *id, int runner);
/** Returns how many requests are under way at a runner. */
int cluster_requests_in_progress(const struct cluster *cluster, int runner);
/** Returns how often a request has run on all servers. */
int
cluster_request_run_count(const struct cluster *cluster, const char *request);
/** Returns a counter of a gateway, e.g. "turns_total"; -1: not readable. */
long
cluster_counter(const struct cluster *cluster, int number, const char *name);

#endif
