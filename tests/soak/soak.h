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
#include "proxy.h"
#include "standins/cluster.h"

enum {
	SOAK_GATEWAYS = 4,
	SOAK_FAILURE_BYTES = 512,
};

struct callers;
struct faults;

/** The cluster, callers and faults of one run, that is of one seed. */
struct soak {
	uv_loop_t *loop;
	struct rng rng;
	struct cluster cluster;
	struct proxy *proxies[SOAK_GATEWAYS]; /**< from gateway to store */
	struct h1_client *client;
	struct callers *callers;
	struct faults *faults;
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

#endif
