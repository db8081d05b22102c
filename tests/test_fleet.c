#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "standins/cluster.h"
#include "tests/runner.h"

enum {
	CALL_MS = 6000,
	GATEWAYS = 32, /**< in four failure domains */
	ROUNDS = 3,
	FIELDS_BYTES = 512,
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	for (int i = 0; i < 2; i++)
		ck_assert_int_ge(cluster_add_server(&cluster, "models",
				     "--slots 100 --work-ms 5"),
		    0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	usleep(2000 * US_PER_MS);
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

static struct http_caller
start_turn(int gateway, int round)
{
	struct http_caller caller;
	char raw[FIELDS_BYTES];

	snprintf(raw, sizeof(raw),
	    "POST /turn/x HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: fleet-%d-%d\r\nProgram-Id: p-%d-%d\r\n"
	    "Deadline-Ms: 3000\r\nToken-Budget: 1000\r\nToken-Usage: 9,50\r\n"
	    "Content-Length: 1\r\n\r\ny",
	    gateway, round, gateway, round);
	ck_assert(
	    http_caller_open(&caller, cluster.gateways[gateway].process.port));
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	return caller;
}

START_TEST(every_gateway_reaches_every_owner)
{
	struct http_caller callers[GATEWAYS];
	int refused = 0;

	for (int round = 0; round < ROUNDS; round++) {
		for (int i = 0; i < GATEWAYS; i++)
			callers[i] = start_turn(i, round);
		for (int i = 0; i < GATEWAYS; i++) {
			struct http_reply reply;

			http_caller_read(&callers[i], CALL_MS, &reply);
			if (reply.status != 200)
				printf("gateway %d: status %d %s\n", i,
				    reply.status, buf_text(&reply.body));
			refused += reply.status != 200;
			http_reply_reset(&reply);
			http_caller_close(&callers[i]);
		}
	}
	ck_assert_int_eq(refused, 0);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    every_gateway_reaches_every_owner,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in(
	    "fleet", tests, sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
