#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
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
	DRAIN_MS = 2500,   /**< of the gateways' settings */
	SAFE_ATTEMPTS = 3, /**< of the route /safe/ */
	REFUSED_WITHIN_US = 1000 * US_PER_MS,
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

static void
cut(int gateway)
{
	cluster_set_paths(&cluster, gateway, "reset");
	play(gateway, 1000);
}

/* Cuts off all gateways, silently. */
static void
cut_all(void)
{
	for (int i = 0; i < GATEWAYS; i++)
		cluster_set_paths(&cluster, i, "dark");
	for (int i = 0; i < GATEWAYS; i++)
		play(i, 1000);
}

static int
run_count(const char *request)
{
	return cluster_request_run_count(&cluster, request);
}

START_TEST(requests_run_once_over_the_hop)
{
	cut(0);
	for (int i = 0; i < 20; i++) {
		struct answer answer = call_once(&cluster, 0, "/once/x", NULL);

		ck_assert_int_eq(answer.status, 200);
		ck_assert_int_eq(run_count(answer.request), 1);
	}
	ck_assert_int_ge(cluster_counter(&cluster, 0, "relayed_total"), 20);
}
END_TEST

START_TEST(lost_responses_are_not_said_not_to_have_run)
{
	struct answer answer;

	cut(0);
	for (int i = 0; i < 5; i++) {
		char target[32];

		/* Three such runs of one request would hold it back. */
		snprintf(target, sizeof(target), "/once/lose/%d", i);
		answer = call_once(&cluster, 0, target, NULL);
		ck_assert_int_eq(answer.status, 502);
		ck_assert_int_eq(run_count(answer.request), 1);
	}
}
END_TEST

START_TEST(gateway_that_dies_over_the_hop_leaves_no_false_promise)
{
	char requests[2][CALL_REQUEST_BYTES];
	struct http_caller callers[2];

	cut(0);
	/* One goes to each of the other gateways, or both to one. */
	for (int i = 0; i < 2; i++)
		callers[i] =
		    call_start(&cluster, 0, "/once/slow", NULL, requests[i]);
	usleep(300 * US_PER_MS);
	cluster_signal(&cluster.gateways[1].process, SIGKILL);
	cluster_signal(&cluster.gateways[2].process, SIGKILL);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(call_finish(&callers[i]).status, 502);
		ck_assert_int_eq(run_count(requests[i]), 1);
	}
}
END_TEST

/* The other gateway may have used all attempts of the route. */
START_TEST(lost_gateway_leaves_no_further_attempts)
{
	char request[CALL_REQUEST_BYTES];
	struct http_caller caller;
	long attempts;
	int running;

	for (int i = 0; i < GATEWAYS; i++)
		play(i, 300);
	cut(0);
	attempts = cluster_counter(&cluster, 1, "attempts_total");
	caller = call_start(&cluster, 0, "/safe/slow", NULL, request);
	usleep(500 * US_PER_MS);
	running =
	    cluster_counter(&cluster, 1, "attempts_total") > attempts ? 1 : 2;
	cluster_signal(&cluster.gateways[running].process, SIGKILL);
	call_finish(&caller);
	ck_assert_int_le(run_count(request), SAFE_ATTEMPTS);
}
END_TEST

START_TEST(callers_that_leave_are_noticed_over_the_hop)
{
	struct http_caller callers[4];
	char request[CALL_REQUEST_BYTES];
	int running = 0;

	cut(0);
	for (int i = 0; i < 4; i++)
		callers[i] =
		    call_start(&cluster, 0, "/stream/slow", NULL, request);
	usleep(500 * US_PER_MS);
	for (int i = 0; i < 6; i++)
		running += cluster_requests_in_progress(&cluster, i);
	ck_assert_int_eq(running, 4);
	for (int i = 0; i < 4; i++)
		http_caller_close(&callers[i]);
	usleep(400 * US_PER_MS);
	for (int i = 0; i < 6; i++)
		ck_assert_int_eq(cluster_requests_in_progress(&cluster, i), 0);
}
END_TEST

START_TEST(programs_go_on_over_the_hop)
{
	struct answer turn = call_once(&cluster, 0, "/turn/x", NULL);

	ck_assert_int_eq(turn.status, 200);
	cut(0);
	for (int i = 0; i < 4; i++) {
		turn =
		    call_once(&cluster, i % GATEWAYS, "/turn/x", turn.request);
		ck_assert_int_eq(turn.status, 200);
	}
}
END_TEST

START_TEST(gateways_that_are_cut_off_too_are_passed_over)
{
	cut(0);
	cut(1);
	check_served(0);
	check_served(1);
}
END_TEST

START_TEST(requests_are_passed_on_once_only)
{
	static const char fields[] =
	    "Host: h.example\r\nRequest-Id: hop\r\nDeadline-Ms: 1000\r\n"
	    "Guavakeel-Vm: entry-0\r\nGuavakeel-Caller: 127.0.0.1\r\n";
	struct http_reply reply;
	long relayed;

	cluster_set_paths(&cluster, 1, "dark");
	play(1, 1000);
	relayed = cluster_counter(&cluster, 1, "relayed_total");
	ck_assert_int_ge(relayed, 1);
	http_call_once(cluster.gateways[1].relay_port, "GET", "/safe/x", fields,
	    "", 0, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_ptr_nonnull(
	    http_reply_field(&reply, "guavakeel-unreachable"));
	http_reply_reset(&reply);
	ck_assert_int_eq(
	    cluster_counter(&cluster, 1, "relayed_total"), relayed);
}
END_TEST

START_TEST(requests_that_may_have_run_elsewhere_are_not_refused)
{
	static const char fields[] =
	    "Host: h.example\r\nRequest-Id: hop\r\nDeadline-Ms: 1000\r\n"
	    "Guavakeel-Vm: entry-0\r\nGuavakeel-Executions: 1\r\n";
	struct http_reply reply;

	http_call_once(cluster.gateways[1].relay_port, "GET", "/nowhere/x",
	    fields, "", 0, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 502);
	http_reply_reset(&reply);
}
END_TEST

START_TEST(requests_are_refused_at_once_when_all_gateways_are_cut_off)
{
	cut_all();
	for (int i = 0; i < GATEWAYS; i++) {
		int64_t started_us = clock_monotonic_us();
		struct answer answer = call_once(&cluster, i, "/turn/x", NULL);

		ck_assert_int_eq(answer.status, 503);
		ck_assert_double_gt(answer.retry_after, 0);
		ck_assert_int_eq(run_count(answer.request), 0);
		ck_assert_int_le(
		    clock_monotonic_us() - started_us, REFUSED_WITHIN_US);
	}
}
END_TEST

static bool
directory_names(int asked, int gateway)
{
	struct http_reply reply;
	char address[32];
	bool found;

	snprintf(address, sizeof(address), "127.0.0.1:%d",
	    cluster.gateways[gateway].process.port);
	http_call_once(cluster.gateways[asked].directory_port, "GET",
	    "/v1/resolve?name=h.example&region=r&zone=a", "Host: x\r\n", "", 0,
	    CALL_MS, &reply);
	found = strstr(buf_text(&reply.body), address) != NULL;
	http_reply_reset(&reply);
	return found;
}

START_TEST(directory_leaves_out_gateways_that_are_cut_off)
{
	ck_assert(directory_names(0, 0) && directory_names(1, 0));
	cut(0);
	ck_assert(!directory_names(0, 0) && !directory_names(1, 0));
	ck_assert(directory_names(0, 1) && directory_names(0, 2));
	cut(1);
	cut(2);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(directory_names(0, i));
}
END_TEST

START_TEST(what_a_server_says_is_heard_over_the_hop)
{
	int leaving = 0;

	cut(0);
	for (int i = 0; i < 6; i++) {
		cluster_state_limit(&cluster, i, "100");
		ck_assert(cluster_leave(&cluster, i, SIGUSR2));
	}
	for (int i = 0; i < 12; i++) {
		struct answer answer = call_once(&cluster, 0, "/safe/x", NULL);

		leaving += answer.leaving;
		if (answer.server != NO_SERVER)
			ck_assert_int_ge(answer.server, 3);
	}
	ck_assert_int_ge(leaving, 3);
	cluster_set_paths(&cluster, 0, "pass");
	usleep(1000 * US_PER_MS);
	/* It knows of all three servers of the service that they leave. */
	ck_assert_int_eq(call_once(&cluster, 0, "/safe/x", NULL).status, 503);
}
END_TEST

START_TEST(fields_between_gateways_do_not_come_from_callers)
{
	static const char request[] =
	    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: forged\r\n"
	    "Deadline-Ms: 1000\r\nGuavakeel-Executions: 7\r\n\r\n";
	struct http_caller caller;
	struct http_reply reply;

	ck_assert(http_caller_open(&caller, cluster.gateways[0].process.port));
	ck_assert(http_caller_send(&caller, request, strlen(request)));
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_ptr_null(strstr(buf_text(&reply.head), "Guavakeel-"));
	http_reply_reset(&reply);
	http_caller_close(&caller);
}
END_TEST

START_TEST(removed_servers_are_left_after_an_outage_of_one_gateway)
{
	static const char removed[] =
	    "\"server_removed\",\"server\":\"removed-1\"";
	int64_t until_us;

	cluster_register_server(&cluster, "removed-1", 3);
	usleep(LISTED_MS * US_PER_MS);
	/* Paused, the others can't pass their list on during the outage. */
	cluster_signal(&cluster.gateways[1].process, SIGSTOP);
	cluster_signal(&cluster.gateways[2].process, SIGSTOP);
	cluster_set_store_path(&cluster, 0, "dark");
	usleep(2500 * US_PER_MS);
	cluster_unregister_server(&cluster, "removed-1");
	until_us = clock_monotonic_us() + (int64_t)DRAIN_MS * US_PER_MS;
	usleep(500 * US_PER_MS);
	cluster_set_store_path(&cluster, 0, "pass");
	cluster_signal(&cluster.gateways[1].process, SIGCONT);
	cluster_signal(&cluster.gateways[2].process, SIGCONT);
	while (!cluster_has_logged(&cluster, 0, removed) &&
	    clock_monotonic_us() < until_us)
		usleep(20 * US_PER_MS);
	ck_assert(cluster_has_logged(&cluster, 0, removed));
}
END_TEST

START_TEST(one_silent_server_is_no_cut)
{
	cluster_signal(&cluster.servers[0], SIGSTOP);
	cluster_signal(&cluster.servers[3], SIGSTOP);
	play(1, 1500);
	cluster_signal(&cluster.servers[0], SIGCONT);
	cluster_signal(&cluster.servers[3], SIGCONT);
	ck_assert_int_eq(cluster_counter(&cluster, 1, "path_losses_total"), 0);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    callers_are_served_while_paths_to_servers_hang,
	    callers_are_served_while_paths_to_servers_are_reset,
	    callers_are_served_while_new_paths_to_servers_are_refused,
	    requests_run_once_over_the_hop,
	    lost_responses_are_not_said_not_to_have_run,
	    gateway_that_dies_over_the_hop_leaves_no_false_promise,
	    lost_gateway_leaves_no_further_attempts,
	    callers_that_leave_are_noticed_over_the_hop,
	    programs_go_on_over_the_hop,
	    gateways_that_are_cut_off_too_are_passed_over,
	    requests_are_passed_on_once_only,
	    requests_that_may_have_run_elsewhere_are_not_refused,
	    requests_are_refused_at_once_when_all_gateways_are_cut_off,
	    directory_leaves_out_gateways_that_are_cut_off,
	    what_a_server_says_is_heard_over_the_hop,
	    fields_between_gateways_do_not_come_from_callers,
	    removed_servers_are_left_after_an_outage_of_one_gateway,
	    one_silent_server_is_no_cut,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in(
	    "cut", tests, sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
