#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/raw_server.h"
#include "tests/runner.h"

/* A planned stop under load. Callers keep an address for a while after the
 * gateway has left the directory, so new requests arrive during the whole stop;
 * each one that the gateway accepts has to be answered before it ends. */

enum {
	CALLERS = 5,
	WORK_MS = 20, /* of the stand-in server, for a request */
	LOAD_INTERVAL_MS = 110,
	LOAD_MS = 2200,
	EXIT_MS = 8500, /* the grace period and some more */
	/* Callers may hold an address for this long after the stop began. */
	ADDRESS_EXPIRY_MS = 2500,
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", "-n 64"), 0);
	ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	ck_assert(cluster_wait_ready(&cluster, 0));
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/* Sends a request on a new connection. */
static void
start_call(struct http_caller *caller)
{
	char request[CALL_REQUEST_BYTES];

	*caller = call_start(&cluster, 0, "/once/a", NULL, request);
}

/* Begins the stop, and keeps the gateway busy with a request now and then until
 * shortly before it would end. */
static void
stop_under_load(void)
{
	cluster_signal(&cluster.gateways[0].process, SIGTERM);
	for (int i = 0; i < LOAD_MS / LOAD_INTERVAL_MS; i++) {
		ck_assert_int_eq(
		    call_once(&cluster, 0, "/once/a", NULL).status, 200);
		usleep((LOAD_INTERVAL_MS - WORK_MS) * US_PER_MS);
	}
}

static void
check_exit(void)
{
	ck_assert_int_eq(
	    cluster_wait(&cluster.gateways[0].process, EXIT_MS), 0);
}

/* The gateway gets no processor time while requests arrive on new connections,
 * and finds them when the time at which it would end has passed. */
START_TEST(requests_accepted_at_the_end_of_a_stop_are_answered)
{
	struct http_caller callers[CALLERS];

	stop_under_load();
	cluster_signal(&cluster.gateways[0].process, SIGSTOP);
	for (int i = 0; i < CALLERS; i++)
		start_call(&callers[i]);
	usleep(2 * (ADDRESS_EXPIRY_MS - LOAD_MS) * US_PER_MS);
	cluster_signal(&cluster.gateways[0].process, SIGCONT);
	for (int i = 0; i < CALLERS; i++)
		ck_assert_int_eq(call_finish(&callers[i]).status, 200);
	check_exit();
}
END_TEST

START_TEST(requests_that_arrive_slowly_during_a_stop_are_answered)
{
	static const char first[] = "POST /once/a HTTP/1.1\r\nHost: h.exam";
	static const char rest[] =
	    "ple\r\nRequest-Id: slow-1\r\nDeadline-Ms: 3000\r\n"
	    "Content-Length: 0\r\n\r\n";
	struct http_caller caller;

	stop_under_load();
	ck_assert(http_caller_open(&caller, cluster.gateways[0].process.port));
	ck_assert(http_caller_send(&caller, first, strlen(first)));
	usleep(2 * (ADDRESS_EXPIRY_MS - LOAD_MS) * US_PER_MS);
	http_caller_send(&caller, rest, strlen(rest));
	ck_assert_int_eq(call_finish(&caller).status, 200);
	check_exit();
}
END_TEST

static void
never_respond(int fd, const void *script)
{
	char id[CALL_REQUEST_BYTES];

	(void)script;
	raw_server_read_id(fd, id);
	pause();
}

/* Its caller would wait for longer than the gateway may take to stop. */
START_TEST(requests_that_outlast_the_grace_period_are_answered)
{
	static const char request[] =
	    "POST /long/a HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: long-1\r\nDeadline-Ms: 20000\r\n"
	    "Content-Length: 0\r\n\r\n";
	struct http_caller caller;
	struct http_reply reply;
	struct raw_server server;

	cluster_publish(&cluster,
	    ",{\"name\":\"long\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/long/\",\"kind\":\"unsafe\",\"timeoutMs\":20000,"
	    "\"targetLatencyMs\":100,\"service\":\"models\"}");
	server = raw_server_start(&cluster, "models", never_respond, NULL);
	ck_assert(http_caller_open(&caller, cluster.gateways[0].process.port));
	ck_assert(http_caller_send(&caller, request, strlen(request)));
	usleep(WORK_MS * US_PER_MS);
	cluster_signal(&cluster.gateways[0].process, SIGTERM);
	http_caller_read(&caller, EXIT_MS, &reply);
	/* It may have run, so nothing says that it has not. */
	ck_assert_int_eq(reply.status, 504);
	ck_assert(reply.complete);
	ck_assert_ptr_null(strstr(buf_text(&reply.body), "not run"));
	http_reply_reset(&reply);
	http_caller_close(&caller);
	check_exit();
	raw_server_stop(&server);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    requests_accepted_at_the_end_of_a_stop_are_answered,
	    requests_that_arrive_slowly_during_a_stop_are_answered,
	    requests_that_outlast_the_grace_period_are_answered,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	return run_tests_in(
	    "stop", tests, sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
