/** @file
 * Randomized soak test of real gateway processes. The test's callers and its
 * fault injection share one libuv loop.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "common/rng.h"
#include "h1/client.h"
#include "standins/cluster.h"
#include "standins/paths.h"

enum {
	SOAK_GATEWAYS = 4,  /**< unless given by an option */
	SOAK_PATHS_MAX = 8, /**< gateways whose paths to servers can be cut */
	SOAK_FAILURE_BYTES = 512,
};

struct callers;
struct crashers;
struct faults;
struct servers;

/** The cluster, callers and faults of one run, that is of one seed. */
struct soak {
	uv_loop_t *loop;
	struct rng rng;
	struct cluster cluster;
	int gateway_count;
	int server_count;
	/** Only faults of gateways, their paths and the store, in the sequence
	 * of the seeds that KNOWN-RED.txt lists. */
	bool basic_faults;
	struct proxy *proxies[CLUSTER_MAX_GATEWAYS]; /**< to the store */
	struct paths *paths[SOAK_PATHS_MAX]; /**< NULL: basic faults only */
	struct h1_client *client;
	struct callers *callers;
	struct crashers *crashers; /**< NULL: basic faults only */
	struct faults *faults;
	struct servers *servers;
	int64_t start_us;
	bool faults_ended;                /**< no more faults are injected */
	char failure[SOAK_FAILURE_BYTES]; /**< the first violation, or "" */
};

/** Records a violation, which ends the run; only the first one is kept. */
void soak_fail(struct soak *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Prints a line with the time since the run's start, if --verbose is given. */
void soak_log(const struct soak *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

struct callers *callers_create(struct soak *soak);
void callers_destroy(struct callers *callers);
/** Marks all programs as unrecovered until their next complete turn. From now
 * on only turns are sent. */
void callers_begin_recovery(struct callers *callers);
/** Returns the number of programs that are still unrecovered. */
int callers_unrecovered_count(const struct callers *callers);
/** Compares the status of each request that must not be repeated with the
 * number of times that the servers ran it. */
void callers_check_runs(struct callers *callers);
/** Writes a summary of the calls, for the run's result line. */
void callers_describe(const struct callers *callers, char *out, size_t size);

struct faults *faults_create(struct soak *soak);
/** Ends all faults, restarts gateways that are down and injects no more. */
void faults_clear(struct faults *faults);
/** Frees the faults; paused gateways are resumed. */
void faults_destroy(struct faults *faults);
/** Returns the number of faults injected so far. */
int faults_count(const struct faults *faults);
/** Returns whether there has been nothing but planned work so far: stops,
 * restarts, reloads, changes of configuration, servers that leave. */
bool faults_all_planned(const struct faults *faults);

/** Returns for how long a gateway and the store have been without trouble. */
int64_t faults_calm_us(const struct faults *faults, int gateway);

/** Requests that crash the server which runs them, and come again. */
struct crashers *crashers_create(struct soak *soak);
void crashers_destroy(struct crashers *crashers);
/** From now on sends each of them to each gateway once. */
void crashers_ask_all(struct crashers *crashers);
/** Returns whether that is done. */
bool crashers_asked_all(const struct crashers *crashers);
/** Checks that they reached servers no more often than is permitted. */
void crashers_check(struct crashers *crashers);

struct servers *servers_create(struct soak *soak);
void servers_destroy(struct servers *servers);
/** Makes a server leave and start again under its id. listed: whether its entry
 * in the list says so, or only its responses. */
void servers_leave(struct servers *servers, int number, bool listed);
/** Kills a server, which starts again later. */
void servers_kill(struct servers *servers, int number);
/** Makes a server limit the rate of its requests for some seconds. */
void servers_limit(struct servers *servers, int number);
/** Makes a server of "tools" fail all its requests in a way of its own for a
 * while, without ending. */
void servers_trouble(struct servers *servers, int number);
/** Takes the steps that are due; with all set, every one. */
void servers_step(struct servers *servers, bool all);
/** Notes that a gateway was frozen or starts anew, and need not know which
 * servers leave. */
void servers_gateway_interrupted(struct servers *servers, int gateway);
/** Checks that a response is not of a server which the gateway knew to leave
 * when the caller sent the request, and that a server which limits its requests
 * does not get too many from gateways that know of the limit. */
void servers_check_response(struct servers *servers, int gateway,
    int64_t sent_us, const struct h1_head *head);

#endif
