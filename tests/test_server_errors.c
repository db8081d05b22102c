/* A server that fails responds fast, so that it has the shortest response times
 * and the fewest requests under way. It must not attract the others' requests.
 */
#include <signal.h>

#include "tests/crash_fixture.h"

enum {
	CALLS = 240,
	IN_FLIGHT = 12,
};

static const char WORKING_SERVER[] = "--work-ms 50 --slots 20";

/* Lets one server respond with errors and checks that it gets no more than its
 * share of calls. Returns the number of calls that were answered with 200. */
static int
check_share(const char *target)
{
	struct http_caller callers[IN_FLIGHT];
	char request[CALL_REQUEST_BYTES];
	int served = 0;

	teardown();
	start_cluster(false, WORKING_SERVER);
	cluster_set_trouble(&cluster, 0, "error");
	for (int i = 0; i < CALLS + IN_FLIGHT; i++) {
		if (i >= IN_FLIGHT)
			served +=
			    call_finish(&callers[i % IN_FLIGHT]).status == 200;
		if (i < CALLS)
			callers[i % IN_FLIGHT] = call_start(
			    &cluster, i % GATEWAYS, target, NULL, request);
	}
	ck_assert_int_le(cluster_run_count(&cluster, 0), CALLS / SERVERS);
	return served;
}

START_TEST(server_that_fails_fast_gets_no_more_than_its_share)
{
	ck_assert_int_ge(check_share("/once/x"), CALLS - CALLS / SERVERS);
}
END_TEST

START_TEST(server_that_fails_fast_is_not_tried_first_by_each_call)
{
	ck_assert_int_eq(check_share("/safe/x"), CALLS);
}
END_TEST

/* To callers, 503 is a promise that the request has not run. */
START_TEST(refusal_that_does_not_say_not_executed_is_no_promise)
{
	struct answer answer;

	for (int i = 0; i < SERVERS; i++)
		cluster_set_trouble(&cluster, i, "busy");
	answer = call_once(&cluster, 0, "/once/x", NULL);
	ck_assert_int_eq(answer.status, 502);
	ck_assert_int_eq(
	    cluster_request_run_count(&cluster, answer.request), 1);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    server_that_fails_fast_gets_no_more_than_its_share,
	    server_that_fails_fast_is_not_tried_first_by_each_call,
	    refusal_that_does_not_say_not_executed_is_no_promise,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("server-errors", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
