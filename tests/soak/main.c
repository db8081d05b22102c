/** @file
 * Randomized soak: gateways as real processes against stand-ins on loopback,
 * with faults from outside. A seed fixes the series of faults and calls, not
 * their timing against the processes.
 *
 * Checked while it runs and at its end, from what callers and servers see: a
 * server is given a program's whole history; a kept turn is found; budgets are
 * kept, and not refused while they surely hold a turn; what may not be repeated
 * runs at most once, and not at all if it was refused; answers are those of the
 * request; programs go on once all is well.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "soak.h"

enum {
	DEFAULT_SECONDS = 10,
	RECOVER_MS = 12000, /* to the next turn of each program */
	STEP_MS = 50,
	CLIENT_SILENCE_US = 3 * US_PER_S,
	CLIENT_IDLE_US = 4 * US_PER_S,
	TEXT_BYTES = 256,
};

static struct {
	const char *build;
	uint64_t seed;
	uint64_t count;
	int seconds;
	bool verbose;
} arguments = {.seed = 1, .count = 1, .seconds = DEFAULT_SECONDS};

/* ---- what happens ---- */

static double
seconds_of(const struct soak *soak)
{
	return (double)(clock_monotonic_us() - soak->begun_us) / US_PER_S;
}

void
soak_fail(struct soak *soak, const char *fmt, ...)
{
	va_list args;
	int len;

	if (soak->failure[0] != '\0')
		return;
	len = snprintf(soak->failure, sizeof(soak->failure),
	    "at %.3f s: ", seconds_of(soak));
	va_start(args, fmt);
	vsnprintf(soak->failure + len, sizeof(soak->failure) - (size_t)len, fmt,
	    args);
	va_end(args);
}

void
soak_log(const struct soak *soak, const char *fmt, ...)
{
	va_list args;

	if (!arguments.verbose)
		return;
	printf("%8.3f s  ", seconds_of(soak));
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n");
}

/* ---- one run ---- */

static bool
start(struct soak *soak)
{
	const struct h1_client_options options = {
	    .silence_us = CLIENT_SILENCE_US,
	    .idle_us = CLIENT_IDLE_US,
	};

	if (!cluster_start(&soak->cluster, arguments.build))
		return false;
	cluster_publish(&soak->cluster, "");
	if (cluster_add_server(&soak->cluster, "models", "") < 0 ||
	    cluster_add_server(&soak->cluster, "models", "") < 0 ||
	    cluster_add_server(&soak->cluster, "tools", "") < 0 ||
	    cluster_add_server(&soak->cluster, "tools", "") < 0)
		return false;
	for (int i = 0; i < SOAK_GATEWAYS; i++) {
		soak->proxies[i] =
		    proxy_create(soak->loop, soak->cluster.store.port);
		if (soak->proxies[i] == NULL)
			return false;
		soak->cluster.gateways[i].store_port =
		    proxy_port(soak->proxies[i]);
		if (cluster_add_gateway(&soak->cluster) < 0)
			return false;
	}
	soak->client = h1_client_create(soak->loop, &options);
	soak->callers = callers_create(soak);
	soak->faults = faults_create(soak);
	return true;
}

static void
run_for(struct soak *soak, int ms, bool until_recovered)
{
	int64_t until_us = clock_monotonic_us() + (int64_t)ms * US_PER_MS;

	while (clock_monotonic_us() < until_us && soak->failure[0] == '\0' &&
	    !(until_recovered && callers_unrecovered(soak->callers) == 0))
		uv_run(soak->loop, UV_RUN_ONCE);
}

static void
stop(struct soak *soak)
{
	if (soak->callers != NULL)
		callers_destroy(soak->callers);
	if (soak->faults != NULL)
		faults_destroy(soak->faults);
	if (soak->client != NULL)
		h1_client_destroy(soak->client);
	cluster_stop(&soak->cluster);
	for (int i = 0; i < SOAK_GATEWAYS; i++) {
		if (soak->proxies[i] != NULL)
			proxy_destroy(soak->proxies[i]);
	}
	uv_run(soak->loop, UV_RUN_DEFAULT);
}

/* Returns whether all promises held. */
static bool
run(uint64_t seed)
{
	struct soak *soak = calloc(1, sizeof(*soak));
	uv_loop_t loop;
	char done[TEXT_BYTES] = "nothing";
	bool ok;

	uv_loop_init(&loop);
	soak->loop = &loop;
	soak->begun_us = clock_monotonic_us();
	rng_init(&soak->rng, seed);
	if (!start(soak)) {
		soak_fail(soak, "the processes do not start");
	} else {
		run_for(soak, arguments.seconds * 1000, false);
		faults_clear(soak->faults);
		callers_expect_recovery(soak->callers);
		run_for(soak, RECOVER_MS, true);
		if (callers_unrecovered(soak->callers) > 0)
			soak_fail(soak, "%d programs do not go on",
			    callers_unrecovered(soak->callers));
		callers_check_runs(soak->callers);
		callers_describe(soak->callers, done, sizeof(done));
	}
	ok = soak->failure[0] == '\0';
	printf("seed %" PRIu64 ": %s (%d faults, %s)\n", seed,
	    ok ? "ok" : soak->failure,
	    soak->faults != NULL ? faults_count(soak->faults) : 0, done);
	fflush(stdout);
	stop(soak);
	uv_loop_close(&loop);
	free(soak);
	return ok;
}

/* ---- the program ---- */

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 's':
		arguments.seed = strtoull(arg, NULL, 10);
		return 0;
	case 'c':
		arguments.count = strtoull(arg, NULL, 10);
		return 0;
	case 't':
		arguments.seconds = (int)strtol(arg, NULL, 10);
		return 0;
	case 'v':
		arguments.verbose = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments.build != NULL)
			argp_usage(state);
		arguments.build = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"seed", 's', "N", 0, "First seed", 0},
	    {"count", 'c', "N", 0, "Seeds", 0},
	    {"seconds", 't', "N", 0, "Time with faults", 0},
	    {"verbose", 'v', NULL, 0, "Tell of each fault", 0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .args_doc = "BUILD_DIR",
	    .doc = "Runs gateways under random faults.",
	};
	uint64_t failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	for (uint64_t i = 0; i < arguments.count; i++)
		failed += !run(arguments.seed + i);
	printf(
	    "%" PRIu64 " runs, %" PRIu64 " failed\n", arguments.count, failed);
	return failed == 0 ? 0 : 1;
}
