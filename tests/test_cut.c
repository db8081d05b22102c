#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/calls.h"
#include "tests/runner.h"

enum {
	GATEWAYS = 3,
	LISTED_MS = 1500,   /**< until the gateways use the paths */
	CALL_EVERY_MS = 40, /**< time between calls to a gateway */
	IN_FLIGHT = 64,
	DETECTED_MS = 3000, /**< after which the calls count */
	COUNTED_MS = 3000,
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	for (int i = 0; i < 3; i++)
		ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	for (int i = 0; i < 3; i++)
		ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert_int_eq(cluster_add_gateway_with_paths(&cluster), i);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	usleep(LISTED_MS * US_PER_MS);
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/** Calls that were sent and those of them that were served. */
struct result {
	int sent;
	int served;
};

static void
finish(struct http_caller *caller, struct result *result)
{
	struct answer answer = call_finish(caller);

	result->sent++;
	result->served += answer.status == 200 && answer.complete;
}

/* Sends calls of all kinds to one gateway at a constant rate. */
static struct result
play(int gateway, int ms)
{
	static const char *const targets[] = {
	    "/safe/x", "/stream/x", "/once/x", "/turn/x"};
	struct http_caller callers[IN_FLIGHT];
	char request[CALL_REQUEST_BYTES];
	struct result result = {0};
	int64_t begun_us = clock_monotonic_us();
	int started = 0;

	while (clock_monotonic_us() - begun_us < (int64_t)ms * US_PER_MS) {
		int64_t due_us =
		    begun_us + (int64_t)started * CALL_EVERY_MS * US_PER_MS;
		int64_t wait_us = due_us - clock_monotonic_us();

		if (wait_us > 0)
			usleep((useconds_t)wait_us);
		if (started - result.sent == IN_FLIGHT)
			finish(&callers[result.sent % IN_FLIGHT], &result);
		callers[started % IN_FLIGHT] = call_start(
		    &cluster, gateway, targets[started % 4], NULL, request);
		started++;
	}
	while (result.sent < started)
		finish(&callers[result.sent % IN_FLIGHT], &result);
	return result;
}

static void
check_served(int gateway)
{
	struct result result = play(gateway, COUNTED_MS);

	ck_assert_msg(result.sent - result.served <= result.sent / 50,
	    "%d of %d calls were served", result.served, result.sent);
}

/* Cuts a gateway off from all servers, and checks that its callers are served
 * soon, and also after the end of the cut. */
static void
check_cut(const char *mode)
{
	play(0, 1000); /* opens connections to keep */
	cluster_set_paths(&cluster, 0, mode);
	play(0, DETECTED_MS);
	check_served(0);
	cluster_set_paths(&cluster, 0, "pass");
	play(0, DETECTED_MS);
	check_served(0);
}

START_TEST(callers_are_served_while_paths_to_servers_hang)
{
	check_cut("dark");
}
END_TEST

START_TEST(callers_are_served_while_paths_to_servers_are_reset)
{
	check_cut("reset");
}
END_TEST

START_TEST(callers_are_served_while_new_paths_to_servers_are_refused)
{
	check_cut("refuse");
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    callers_are_served_while_paths_to_servers_hang,
	    callers_are_served_while_paths_to_servers_are_reset,
	    callers_are_served_while_new_paths_to_servers_are_refused,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in(
	    "cut", tests, sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
