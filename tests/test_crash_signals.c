/* What servers in trouble send about a request that crashes servers must not
 * make gateways forget its crashes: errors of their own, responses that end
 * with their connection, a new process at the same address. What counts is what
 * reaches servers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/buf.h"
#include "common/clock.h"
#include "tests/crash_fixture.h"

enum {
	TROUBLE_TRIES = 16,
	TRIES_AFTER = 12, /* of these, after the third crash at least */
	/* A request is held back for some seconds while it is open whether a
	 * server in trouble has ended. */
	TROUBLE_TRIES_MAX = 60,
	TROUBLE_EVERY = 3, /* of these tries, servers are in trouble */
	HARMLESS_CALLS = 30,
	HARMLESS_PAUSE_MS = 100,
	UNLISTED_MS = 500, /* that a new process is not in the list */
	RECORDED_MS = 400, /* until the store has an unfinished run */
	OTHER_CALLS = 2 * GATEWAYS * SERVERS,
};

static void
set_trouble(const char *name)
{
	for (int i = 0; i < SERVERS; i++)
		cluster_set_trouble(&cluster, i, name);
}

/* Counts how often requests of this test have reached a server. */
static int
count_runs(void)
{
	struct buf runs = {0};
	const char *line;
	int count = 0;

	cluster_read_runs(&cluster, &runs);
	for (line = buf_text(&runs); (line = strstr(line, "ran ")) != NULL;
	     line++)
		count++;
	buf_reset(&runs);
	return count;
}

/* Sends a request that crashes servers to the gateways in turn, with all
 * servers in a trouble every few tries. */
static void
check_trouble(const char *target, const char *trouble)
{
	int runs_at_third = 0;
	int after = 0;
	int sends = 0;

	for (int i = 0; i < TROUBLE_TRIES ||
	     (after < TRIES_AFTER && i < TROUBLE_TRIES_MAX);
	     i++) {
		bool in_trouble = sends % TROUBLE_EVERY == TROUBLE_EVERY - 1;

		if (in_trouble)
			set_trouble(trouble);
		if (send_and_restart(i % GATEWAYS, target).status == 503)
			usleep(RESTART_MS * US_PER_MS);
		else
			sends++;
		if (in_trouble)
			set_trouble("");
		after += crashes >= CRASHES;
		if (crashes >= CRASHES && runs_at_third == 0)
			runs_at_third = count_runs();
	}
	ck_assert_int_ge(crashes, CRASHES);
	ck_assert_msg(count_runs() - runs_at_third <= SENDS_AFTER,
	    "%d crashes, reached servers %d times after the third", crashes,
	    count_runs() - runs_at_third);
	check_bound();
}

START_TEST(own_errors_of_servers_do_not_clear_a_request)
{
	check_trouble("/once/crash", "error");
}
END_TEST

START_TEST(own_errors_of_servers_do_not_clear_a_repeatable_request)
{
	check_trouble("/safe/crash", "error");
}
END_TEST

START_TEST(own_timeouts_of_servers_do_not_clear_a_request)
{
	check_trouble("/once/crash", "timeout");
}
END_TEST

START_TEST(unmarked_refusals_of_servers_do_not_clear_a_request)
{
	check_trouble("/once/crash", "busy");
}
END_TEST

START_TEST(early_rejections_of_servers_do_not_clear_a_request)
{
	check_trouble("/once/crash", "reject");
}
END_TEST

START_TEST(responses_that_end_with_their_connection_do_not_clear_a_request)
{
	check_trouble("/once/crash", "cut");
}
END_TEST

START_TEST(request_whose_responses_end_with_their_connection_is_served_on)
{
	set_trouble("cut");
	for (int i = 0; i < HARMLESS_CALLS; i++) {
		ck_assert_int_eq(
		    call_once(&cluster, i % GATEWAYS, "/once/x", NULL).status,
		    200);
		usleep(HARMLESS_PAUSE_MS * US_PER_MS);
	}
}
END_TEST

START_TEST(server_that_ends_within_a_response_without_a_length_has_crashed)
{
	for (int i = 0; i < TROUBLE_TRIES; i++)
		send_and_restart(i % GATEWAYS, "/once/crash-midway");
	ck_assert_int_ge(crashes, CRASHES);
	check_bound();
}
END_TEST

/* Returns the server that a request has frozen, or NO_SERVER. */
static int
find_frozen(void)
{
	for (int i = 0; i < SERVERS; i++) {
		int status = 0;

		if (waitpid(cluster.servers[i].pid, &status,
			WNOHANG | WUNTRACED) == cluster.servers[i].pid &&
		    WIFSTOPPED(status))
			return i;
	}
	return NO_SERVER;
}

/* Replaces a frozen server by a new process at its address, which the list does
 * not show at first, and which serves other requests. */
static void
replace_server(int number)
{
	char arguments[CLUSTER_ARGUMENTS_BYTES];

	snprintf(arguments, sizeof(arguments), "--port %d --store-port 0",
	    cluster.servers[number].port);
	cluster_signal(&cluster.servers[number], SIGKILL);
	ck_assert(cluster_restart_server_with(&cluster, number, arguments));
	crashes++;
	usleep(UNLISTED_MS * US_PER_MS);
	for (int i = 0; i < OTHER_CALLS; i++)
		call_once(&cluster, i % GATEWAYS, "/once/x", NULL);
	cluster_signal(&cluster.servers[number], SIGKILL);
	ck_assert(cluster_restart_server(&cluster, number));
	usleep(LISTED_MS * US_PER_MS);
}

START_TEST(new_process_at_the_address_of_a_server_does_not_excuse_a_request)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		int frozen;

		call_once(&cluster, i % GATEWAYS, "/once/crash-silent", NULL);
		frozen = find_frozen();
		if (frozen != NO_SERVER)
			replace_server(frozen);
	}
	ck_assert_int_ge(crashes, CRASHES);
	check_bound();
}
END_TEST

/* Ends a frozen server and all gateways, and starts them again. */
static void
restart_all(int number)
{
	usleep(RECORDED_MS * US_PER_MS);
	for (int i = 0; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	cluster_signal(&cluster.servers[number], SIGKILL);
	ck_assert(cluster_restart_server(&cluster, number));
	crashes++;
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	usleep(LISTED_MS * US_PER_MS);
}

START_TEST(crash_that_nobody_knows_yet_outlives_all_gateways)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		int frozen;

		call_once(&cluster, i % GATEWAYS, "/once/crash-silent", NULL);
		frozen = find_frozen();
		if (frozen == NO_SERVER)
			continue;
		if (crashes == 0)
			replace_server(frozen);
		else
			restart_all(frozen);
	}
	ck_assert_int_ge(crashes, CRASHES);
	check_bound();
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    own_errors_of_servers_do_not_clear_a_request,
	    own_errors_of_servers_do_not_clear_a_repeatable_request,
	    own_timeouts_of_servers_do_not_clear_a_request,
	    unmarked_refusals_of_servers_do_not_clear_a_request,
	    early_rejections_of_servers_do_not_clear_a_request,
	    responses_that_end_with_their_connection_do_not_clear_a_request,
	    request_whose_responses_end_with_their_connection_is_served_on,
	    server_that_ends_within_a_response_without_a_length_has_crashed,
	    new_process_at_the_address_of_a_server_does_not_excuse_a_request,
	    crash_that_nobody_knows_yet_outlives_all_gateways,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("crash-signals", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
