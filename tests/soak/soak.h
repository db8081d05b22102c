/** @file
 * Randomized soak of real processes: callers with programs, and faults from
 * outside, over one loop.
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

/** One run: a seed's cluster, callers and faults. */
struct soak {
	uv_loop_t *loop;
	struct rng rng;
	struct cluster cluster;
	struct proxy *proxies[SOAK_GATEWAYS]; /**< before the store */
	struct h1_client *client;
	struct callers *callers;
	struct faults *faults;
	int64_t begun_us;
	bool faults_ended; /**< no more faults; programs have to go on */
	char failure[SOAK_FAILURE_BYTES]; /**< the first broken promise */
};

/** Notes the first broken promise. */
void soak_fail(struct soak *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Prints a line with the run's time, if the run is verbose. */
void soak_log(const struct soak *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

struct callers *callers_create(struct soak *soak);
void callers_destroy(struct callers *callers);
/** Each program has to take a turn again. */
void callers_expect_recovery(struct callers *callers);
/** Returns how many programs have not. */
int callers_unrecovered(const struct callers *callers);
/** Compares what callers were told of unrepeatable requests with what ran. */
void callers_check_runs(struct callers *callers);
/** Describes what was done, for the run's last line. */
void callers_describe(const struct callers *callers, char *out, size_t size);

struct faults *faults_create(struct soak *soak);
/** Ends all faults: whatever is down comes back. */
void faults_clear(struct faults *faults);
void faults_destroy(struct faults *faults);
int faults_count(const struct faults *faults);

#endif
