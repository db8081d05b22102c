#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "common/clock.h"
#include "common/hash.h"
#include "standins/cluster.h"
#include "tests/conversation.h"
#include "tests/runner.h"

enum {
	CALL_MS = 5000,
	TEXT_BYTES = 512,
	TAKEN_TRIES = 50,
	RESTARTS = 4,    /* of a gateway */
	PARTITIONS = 12, /* of the gateways that cluster.c starts */
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	for (int i = 0; i < 3; i++)
		ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	for (int i = 0; i < 3; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/* Kills all gateways at once and restarts them. */
static void
kill_all_gateways(void)
{
	for (int i = 0; i < 3; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	for (int i = 0; i < 3; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
}

static int
port_of(int gateway)
{
	return cluster.gateways[gateway].process.port;
}

static void
send_request(int gateway, const char *target, const char *request,
    const char *extra_fields, const char *body, struct http_reply *reply)
{
	char fields[2 * TEXT_BYTES];

	snprintf(fields, sizeof(fields),
	    "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n%s",
	    request, extra_fields);
	http_call_once(port_of(gateway), body != NULL ? "POST" : "GET", target,
	    fields, body, body != NULL ? strlen(body) : 0, CALL_MS, reply);
}

static int
send_turn_with_retries(struct conversation *conversation, int gateway,
    const char *request, const char *input, unsigned long budget)
{
	return conversation_send_with_retries(
	    conversation, port_of(gateway), request, input, budget);
}

START_TEST(history_is_available_at_any_gateway)
{
	struct conversation conversation = {.program = "p-any"};

	for (int i = 0; i < 6; i++) {
		char request[32];
		char input[32];

		snprintf(request, sizeof(request), "any-%d", i);
		snprintf(input, sizeof(input), "input %d;", i);
		ck_assert_int_eq(send_turn_with_retries(&conversation, i % 3,
				     request, input, 10000),
		    200);
	}
	buf_reset(&conversation.transcript);
}
END_TEST

/* Kills the gateways one by one, and thereby also the owner of the program, and
 * then all at once: the history must survive each crash. */
START_TEST(history_survives_gateway_crashes)
{
	struct conversation conversation = {.program = "p-outlive"};

	ck_assert_int_eq(send_turn_with_retries(
			     &conversation, 0, "outlive-a", "first;", 10000),
	    200);
	for (int i = 0; i < 3; i++) {
		char request[32];

		cluster_signal(&cluster.gateways[i].process, SIGKILL);
		snprintf(request, sizeof(request), "outlive-k%d", i);
		ck_assert_int_eq(send_turn_with_retries(&conversation,
				     (i + 1) % 3, request, "killed;", 10000),
		    200);
		ck_assert(cluster_restart_gateway(&cluster, i));
		ck_assert(cluster_wait_ready(&cluster, i));
		snprintf(request, sizeof(request), "outlive-r%d", i);
		ck_assert_int_eq(send_turn_with_retries(
				     &conversation, i, request, "back;", 10000),
		    200);
	}
	kill_all_gateways();
	ck_assert(cluster_wait_ready(&cluster, 1));
	ck_assert_int_eq(send_turn_with_retries(
			     &conversation, 1, "outlive-z", "all dark;", 10000),
	    200);
	buf_reset(&conversation.transcript);
}
END_TEST

/* A program may continue a turn of another program. */
START_TEST(another_program_may_continue_a_turn)
{
	struct conversation conversation = {.program = "p-one"};

	ck_assert_int_eq(
	    send_turn_with_retries(&conversation, 0, "one", "begun;", 10000),
	    200);
	snprintf(conversation.program, sizeof(conversation.program), "p-other");
	ck_assert_int_eq(send_turn_with_retries(
			     &conversation, 2, "other", "continued;", 10000),
	    200);
	buf_reset(&conversation.transcript);
}
END_TEST

START_TEST(unknown_turn_is_not_found)
{
	struct conversation conversation = {
	    .program = "p-forged", .previous_turn = "never"};

	ck_assert_int_eq(
	    send_turn_with_retries(&conversation, 0, "forged", "x;", 10000),
	    404);
}
END_TEST

/* A turn generates 40 tokens, four events of ten, and may generate 50. */
START_TEST(turns_beyond_the_budget_are_refused)
{
	struct conversation conversation = {.program = "p-budget"};
	int served = 0;
	int status = 200;

	for (int i = 0; i < 8 && status == 200; i++) {
		char request[32];

		snprintf(request, sizeof(request), "budget-%d", i);
		status = send_turn_with_retries(
		    &conversation, i % 3, request, "x;", 150);
		served += status == 200;
	}
	ck_assert_int_eq(status, 402);
	/* 40 + 40 + 40 are spent, and 50 more would exceed 150. */
	ck_assert_int_eq(served, 3);
	kill_all_gateways();
	ck_assert(cluster_wait_ready(&cluster, 0));
	ck_assert_int_eq(
	    send_turn_with_retries(&conversation, 0, "budget-later", "x;", 150),
	    402);
	buf_reset(&conversation.transcript);
}
END_TEST

/* A response must not end while the store is down, as the turn's record is not
 * durable yet. */
START_TEST(response_end_waits_for_the_store)
{
	struct conversation conversation = {.program = "p-held"};
	struct http_caller caller;
	struct http_reply reply;
	struct buf out = {0};
	int64_t started_us;

	ck_assert_int_eq(
	    send_turn_with_retries(&conversation, 0, "held-a", "x;", 10000),
	    200);
	ck_assert(http_caller_open(&caller, port_of(0)));
	buf_printf(&out,
	    "POST /turn/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: held-b\r\n"
	    "Deadline-Ms: 3000\r\nProgram-Id: p-held\r\nToken-Usage: 9,50\r\n"
	    "Token-Budget: 10000\r\nPrevious-Turn: %s\r\n"
	    "Content-Length: 1\r\n\r\ny",
	    conversation.previous_turn);
	started_us = clock_monotonic_us();
	ck_assert(http_caller_send(&caller, out.data, out.len));
	usleep(50 * US_PER_MS);
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 700}");
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.complete);
	ck_assert_int_gt(
	    clock_monotonic_us() - started_us, (int64_t)600 * US_PER_MS);
	buf_reset(&out);
	buf_reset(&conversation.transcript);
	http_reply_reset(&reply);
	http_caller_close(&caller);
}
END_TEST

/* Returns whether the log of turns holds a text. */
static bool
turn_log_contains(const char *text)
{
	bool found = false;

	for (int partition = 0; partition < PARTITIONS && !found; partition++) {
		struct http_reply reply;
		char target[TEXT_BYTES];

		snprintf(target, sizeof(target),
		    "/v1/log-read?topic=turns&part=%d&from=0", partition);
		http_call_once(cluster.store.port, "GET", target, "Host: x\r\n",
		    NULL, 0, CALL_MS, &reply);
		found = reply.status == 200 &&
		    memmem(reply.body.data, reply.body.len, text,
			strlen(text)) != NULL;
		http_reply_reset(&reply);
	}
	return found;
}

START_TEST(turns_refused_before_a_grant_leave_no_record)
{
	struct conversation conversations[] = {
	    {.program = "p-outage"}, {.program = "p-outage-2"}};
	struct http_caller caller;
	struct http_reply reply;
	const char *const running =
	    "POST /turn/x HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: outage-running\r\nDeadline-Ms: 5000\r\n"
	    "Program-Id: p-outage\r\nToken-Usage: 9,50\r\n"
	    "Token-Budget: 10000\r\nContent-Length: 1\r\n\r\ny";

	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(send_turn_with_retries(&conversations[i], 0,
				     conversations[i].program, "x;", 10000),
		    200);
		buf_reset(&conversations[i].transcript);
	}
	ck_assert(http_caller_open(&caller, port_of(0)));
	ck_assert(http_caller_send(&caller, running, strlen(running)));
	usleep(50 * US_PER_MS);
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 2500}");
	usleep(1500 * US_PER_MS);
	send_request(0, "/turn/x", "outage-waiting",
	    "Program-Id: p-outage-2\r\nToken-Usage: 9,50\r\n"
	    "Token-Budget: 10000\r\n",
	    "y", &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), "log_unavailable"));
	http_reply_reset(&reply);
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
	http_caller_close(&caller);
	usleep(1000 * US_PER_MS);
	ck_assert(turn_log_contains("outage-running"));
	ck_assert(!turn_log_contains("outage-waiting"));
}
END_TEST

/* Regression test (soak, seed 1350): another test's gateway took the ports of
 * a gateway that was down, and got its requests. */
START_TEST(ports_of_a_gateway_that_is_down_stay_reserved)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	    .sin_port = htons((uint16_t)cluster.gateways[0].directory_port),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cluster_signal(&cluster.gateways[0].process, SIGKILL);
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), -1);
	ck_assert_int_eq(errno, EADDRINUSE);
	close(fd);
	ck_assert(cluster_restart_gateway(&cluster, 0));
	ck_assert(cluster_wait_ready(&cluster, 0));
}
END_TEST

START_TEST(requests_are_forwarded_unchanged)
{
	struct http_reply reply;

	send_request(0, "/safe/a?b=%20c", "plain-1", "X-Unknown: kept\r\n",
	    NULL, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_str_eq(buf_text(&reply.body), "done plain-1");
	http_reply_reset(&reply);
	send_request(1, "/once/a", "plain-2", "Cookie: Affinity-Key=7\r\n",
	    "body", &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
	ck_assert_int_eq(cluster_request_run_count(&cluster, "plain-2"), 1);
	send_request(2, "/stream/a", "plain-3", "", "prompt", &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), "id: 4\n"));
	http_reply_reset(&reply);
}
END_TEST

static void
check_refused(const char *raw, int status)
{
	struct http_caller caller;
	struct http_reply reply;

	ck_assert(http_caller_open(&caller, port_of(0)));
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, status);
	ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), "\"reason\""));
	ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), "not run"));
	http_reply_reset(&reply);
	http_caller_close(&caller);
}

START_TEST(bad_requests_are_refused_with_a_reason)
{
	struct http_reply reply;

	check_refused("POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: s-1\r\nContent-Length: 4\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		      "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n",
	    400);
	check_refused("POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: s-2\r\nTransfer-Encoding: xchunked\r\n\r\n",
	    400);
	check_refused("GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Host: other.example\r\nRequest-Id: s-3\r\n\r\n",
	    400);
	check_refused("GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id : s-4\r\n\r\n",
	    400);
	check_refused("GET /safe/a HTTP/1.1\r\nHost: h.example\r\n\r\n", 400);
	check_refused("GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: s-5\r\nDeadline-Ms: soon\r\n\r\n",
	    400);
	check_refused("POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: s-6\r\nContent-Length: 4194305\r\n\r\n",
	    413);
	check_refused("GET /nowhere/a HTTP/1.1\r\nHost: h.example\r\n"
		      "Request-Id: s-7\r\n\r\n",
	    404);
	ck_assert_int_eq(cluster_request_run_count(&cluster, "smuggled"), 0);
	ck_assert_int_ge(cluster_counter(&cluster, 0,
			     "refusals_total{reason=\"malformed_request\"}"),
	    6);
	send_request(0, "/safe/a", "after-all", "", NULL, &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
}
END_TEST

START_TEST(long_heads_are_refused)
{
	struct buf raw = {0};

	buf_append_text(&raw,
	    "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: l-1\r\n"
	    "X-Long: ");
	for (int i = 0; i < 9000; i++)
		buf_append(&raw, "x", 1);
	buf_append_text(&raw, "\r\n\r\n");
	check_refused(buf_text(&raw), 431);
	buf_reset(&raw);
}
END_TEST

START_TEST(chunked_bodies_are_reassembled)
{
	static const char raw[] =
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ch-1\r\n"
	    "Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	struct http_caller caller;
	struct http_reply reply;

	ck_assert(http_caller_open(&caller, port_of(0)));
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
	/* Sends a second request on the same connection: the end of the first
	 * body must have been recognized. */
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
	http_caller_close(&caller);
}
END_TEST

static int
get_status(int gateway, const char *target, const char *request)
{
	struct http_reply reply;
	int status;

	send_request(gateway, target, request, "", NULL, &reply);
	status = reply.status;
	http_reply_reset(&reply);
	return status;
}

START_TEST(configuration_reaches_all_gateways)
{
	int served = 0;

	ck_assert_int_eq(get_status(0, "/new/a", "cfg-0"), 404);
	cluster_publish(&cluster,
	    ",{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/new/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
	    "\"targetLatencyMs\":100,\"service\":\"tools\"}");
	usleep(1000 * US_PER_MS);
	for (int i = 0; i < 3; i++)
		served += get_status(i, "/new/a", "cfg-1") == 200;
	ck_assert_int_eq(served, 3);
	cluster_publish(&cluster, "");
	usleep(1000 * US_PER_MS);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(get_status(i, "/new/a", "cfg-2"), 404);
}
END_TEST

/* A store that has lost its newest records returns an older version. */
START_TEST(older_configuration_is_ignored)
{
	cluster_publish(&cluster,
	    ",{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/new/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
	    "\"targetLatencyMs\":100,\"service\":\"tools\"}");
	usleep(1000 * US_PER_MS);
	cluster.config_version -= 4;
	cluster_publish(&cluster, "");
	usleep(1000 * US_PER_MS);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(get_status(i, "/new/a", "back-1"), 200);
}
END_TEST

START_TEST(draining_servers_get_no_new_requests)
{
	int server_index = cluster_add_server(&cluster, "tools", "");
	char request[32];
	int run_count;

	ck_assert_int_ge(server_index, 0);
	usleep(1200 * US_PER_MS);
	cluster_signal(&cluster.servers[2], SIGUSR1);
	usleep(2500 * US_PER_MS);
	for (int i = 0; i < 30; i++) {
		snprintf(request, sizeof(request), "drain-%02d", i);
		ck_assert_int_eq(get_status(i % 3, "/safe/a", request), 200);
	}
	cluster_signal(&cluster.servers[2], SIGKILL);
	run_count = cluster_request_run_count(&cluster, "drain-");
	ck_assert_int_eq(run_count, 30);
}
END_TEST

START_TEST(stop_finishes_requests_in_progress)
{
	struct http_caller caller;
	struct http_reply reply;
	static const char raw[] =
	    "POST /stream/a HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: stop-1\r\nDeadline-Ms: 3000\r\n"
	    "Content-Length: 0\r\n\r\n";
	static const char next[] =
	    "GET /safe/a HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: stop-2\r\nDeadline-Ms: 1000\r\n\r\n";

	ck_assert(http_caller_open(&caller, port_of(0)));
	ck_assert(http_caller_send(&caller, next, strlen(next)));
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	http_reply_reset(&reply);
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	usleep(30 * US_PER_MS);
	cluster_signal(&cluster.gateways[0].process, SIGTERM);
	http_caller_read(&caller, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.complete);
	http_reply_reset(&reply);
	http_caller_close(&caller);
	http_call_once(cluster.gateways[0].readiness_port, "GET", "/v1/readyz",
	    "Host: x\r\n", "", 0, CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 503);
	http_reply_reset(&reply);
	/* The other gateways no longer list it in their directories. */
	usleep(300 * US_PER_MS);
	http_call_once(cluster.gateways[1].directory_port, "GET",
	    "/v1/resolve?name=h.example&region=r&zone=a", "Host: x\r\n", "", 0,
	    CALL_MS, &reply);
	ck_assert_int_eq(reply.status, 200);
	{
		char address[32];

		snprintf(address, sizeof(address), ":%d\"", port_of(0));
		ck_assert_ptr_null(strstr(buf_text(&reply.body), address));
		snprintf(address, sizeof(address), ":%d\"", port_of(2));
		ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), address));
	}
	http_reply_reset(&reply);
	ck_assert_int_eq(cluster_wait(&cluster.gateways[0].process, 8000), 0);
}
END_TEST

START_TEST(dead_server_is_avoided)
{
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	usleep(1200 * US_PER_MS);
	cluster_signal(&cluster.servers[2], SIGKILL);
	for (int i = 0; i < 12; i++) {
		char request[32];

		snprintf(request, sizeof(request), "dead-%02d", i);
		ck_assert_int_eq(get_status(i % 3, "/safe/a", request), 200);
	}
}
END_TEST

/* Sends a request without a body and returns the status. The response must not
 * say that the request was not run. */
static int
send_and_get_status(int gateway, const char *method, const char *target,
    const char *request, const char *deadline_ms)
{
	struct http_reply reply;
	char fields[TEXT_BYTES];
	int status;

	snprintf(fields, sizeof(fields),
	    "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\n", request,
	    deadline_ms);
	http_call_once(
	    port_of(gateway), method, target, fields, "", 0, CALL_MS, &reply);
	status = reply.status;
	ck_assert_ptr_null(strstr(buf_text(&reply.body), "not run"));
	http_reply_reset(&reply);
	return status;
}

START_TEST(unsafe_request_is_not_repeated)
{
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	usleep(1200 * US_PER_MS);
	for (int i = 0; i < 5; i++) {
		char request[32];

		snprintf(request, sizeof(request), "lost-%d", i);
		ck_assert_int_eq(send_and_get_status(i % 3, "POST",
				     "/once/lose", request, "2000"),
		    502);
		ck_assert_int_eq(
		    cluster_request_run_count(&cluster, request), 1);
	}
	/* A safe request is repeated, up to the route's limit of attempts. */
	ck_assert_int_eq(
	    send_and_get_status(0, "GET", "/safe/lose", "lost-safe", "2000"),
	    502);
	ck_assert_int_ge(cluster_request_run_count(&cluster, "lost-safe"), 2);
	ck_assert_int_le(cluster_request_run_count(&cluster, "lost-safe"), 3);
}
END_TEST

START_TEST(refused_request_has_not_run)
{
	int refused = 0;
	struct http_caller callers[24];

	for (int i = 0; i < 24; i++) {
		char raw[TEXT_BYTES];

		snprintf(raw, sizeof(raw),
		    "POST /once/slow HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: busy-%02d\r\nDeadline-Ms: 4000\r\n"
		    "Content-Length: 0\r\n\r\n",
		    i);
		ck_assert(http_caller_open(&callers[i], port_of(i % 3)));
		ck_assert(http_caller_send(&callers[i], raw, strlen(raw)));
	}
	for (int i = 0; i < 24; i++) {
		char request[32];
		struct http_reply reply;

		snprintf(request, sizeof(request), "busy-%02d", i);
		http_caller_read(&callers[i], CALL_MS, &reply);
		if (reply.status == 503) {
			refused++;
			ck_assert_int_eq(
			    cluster_request_run_count(&cluster, request), 0);
			ck_assert_ptr_nonnull(
			    http_reply_field(&reply, "retry-after"));
		}
		http_reply_reset(&reply);
		http_caller_close(&callers[i]);
	}
	/* There is one server, which runs eight requests at a time. */
	ck_assert_int_ge(refused, 10);
}
END_TEST

START_TEST(request_ends_at_its_deadline)
{
	int64_t started_us = clock_monotonic_us();

	ck_assert_int_eq(
	    send_and_get_status(0, "POST", "/once/slow", "late-1", "300"), 504);
	ck_assert_int_lt(
	    clock_monotonic_us() - started_us, 800 * (int64_t)US_PER_MS);
	/* The route's timeout applies if the caller's deadline is later. */
	started_us = clock_monotonic_us();
	ck_assert_int_eq(
	    send_and_get_status(1, "POST", "/once/slow", "late-2", "9000"),
	    504);
	ck_assert_int_lt(
	    clock_monotonic_us() - started_us, 2000 * (int64_t)US_PER_MS);
}
END_TEST

START_TEST(request_is_cancelled_when_caller_disconnects)
{
	static const char raw[] =
	    "GET /safe/slow HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: gone-1\r\nDeadline-Ms: 4000\r\n\r\n";
	struct http_caller caller;

	ck_assert(http_caller_open(&caller, port_of(0)));
	ck_assert(http_caller_send(&caller, raw, strlen(raw)));
	usleep(150 * US_PER_MS);
	ck_assert_int_eq(cluster_requests_in_progress(&cluster, 2), 1);
	http_caller_close(&caller);
	usleep(300 * US_PER_MS);
	ck_assert_int_eq(cluster_requests_in_progress(&cluster, 2), 0);
}
END_TEST

/* The server list names a server whose address another server has taken over.
 * That server must not run requests meant for the old one; the gateway sends
 * them to another server instead, and each runs once. */
START_TEST(request_at_stale_address_runs_once)
{
	cluster_register_server(&cluster, "ghost", 0);
	usleep(1200 * US_PER_MS);
	for (int i = 0; i < 12; i++) {
		char request[32];
		struct http_reply reply;

		snprintf(request, sizeof(request), "moved-%02d", i);
		send_request(i % 3, "/safe/a", request, "", NULL, &reply);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), "done"));
		ck_assert_int_eq(
		    cluster_request_run_count(&cluster, request), 1);
		http_reply_reset(&reply);
	}
}
END_TEST

/* Each attempt crashes the server that receives the request. More servers are
 * added than may crash, so that refusals are not for want of servers. */
START_TEST(request_that_crashes_servers_is_quarantined)
{
	enum { ADDED = 8, TRIES = 12, CRASHES_MAX = 6 };
	int alive = 0;
	int refused = 0;

	for (int i = 0; i < ADDED; i++)
		ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	usleep(1200 * US_PER_MS);
	for (int i = 0; i < TRIES; i++) {
		char request[32];
		struct http_reply reply;

		snprintf(request, sizeof(request), "poison-%d", i);
		send_request(
		    i % 3, "/once/crash", request, "", "poison", &reply);
		ck_assert_int_ne(reply.status, 200);
		refused += reply.status == 503 &&
		    strstr(buf_text(&reply.body), "request_crashes_servers") !=
			NULL;
		http_reply_reset(&reply);
		usleep(300 * US_PER_MS);
	}
	for (int i = 0; i < cluster.server_count; i++)
		alive += cluster_wait(&cluster.servers[i], 1) == -1;
	ck_assert_int_ge(alive, cluster.server_count - CRASHES_MAX);
	ck_assert_int_ge(refused, TRIES - CRASHES_MAX);
}
END_TEST

/* Returns the lowest or highest epoch of the partitions that a gateway has
 * taken since a place in its log, which is moved to its end. */
static long
taken_epoch(int gateway, long *place, bool highest)
{
	char path[WORK_DIR_BYTES + 32];
	char line[2048];
	long found = -1;
	FILE *log;

	snprintf(
	    path, sizeof(path), "%s/entry-%d.log", cluster.work_dir, gateway);
	log = fopen(path, "r");
	ck_assert_ptr_nonnull(log);
	fseek(log, *place, SEEK_SET);
	while (fgets(line, sizeof(line), log) != NULL) {
		const char *field = strstr(line, "\"epoch\":");
		long epoch;

		if (strstr(line, "\"partition_taken\"") == NULL ||
		    field == NULL)
			continue;
		epoch = strtol(field + strlen("\"epoch\":"), NULL, 10);
		if (found == -1 || (highest ? epoch > found : epoch < found))
			found = epoch;
	}
	*place = ftell(log);
	fclose(log);
	return found;
}

/* What its predecessor granted is counted by epoch. */
START_TEST(owner_that_starts_again_within_its_lease_has_a_new_epoch)
{
	long place = 0;
	long before;
	long after;

	usleep(500 * US_PER_MS);
	before = taken_epoch(0, &place, true);
	ck_assert_int_ge(before, 0);
	for (int i = 0; i < RESTARTS; i++) {
		cluster_signal(&cluster.gateways[0].process, SIGKILL);
		ck_assert(cluster_restart_gateway(&cluster, 0));
		ck_assert(cluster_wait_ready(&cluster, 0));
		after = -1;
		for (int k = 0; k < TAKEN_TRIES && after == -1; k++) {
			usleep(100 * US_PER_MS);
			after = taken_epoch(0, &place, false);
		}
		ck_assert_msg(
		    after > before, "epoch %ld after %ld", after, before);
		before = after;
	}
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    history_is_available_at_any_gateway,
	    history_survives_gateway_crashes,
	    owner_that_starts_again_within_its_lease_has_a_new_epoch,
	    another_program_may_continue_a_turn,
	    unknown_turn_is_not_found,
	    turns_beyond_the_budget_are_refused,
	    response_end_waits_for_the_store,
	    turns_refused_before_a_grant_leave_no_record,
	    ports_of_a_gateway_that_is_down_stay_reserved,
	    requests_are_forwarded_unchanged,
	    bad_requests_are_refused_with_a_reason,
	    long_heads_are_refused,
	    chunked_bodies_are_reassembled,
	    configuration_reaches_all_gateways,
	    older_configuration_is_ignored,
	    draining_servers_get_no_new_requests,
	    stop_finishes_requests_in_progress,
	    dead_server_is_avoided,
	    request_that_crashes_servers_is_quarantined,
	    unsafe_request_is_not_repeated,
	    refused_request_has_not_run,
	    request_ends_at_its_deadline,
	    request_is_cancelled_when_caller_disconnects,
	    request_at_stale_address_runs_once,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("gateway", tests, sizeof(tests) / sizeof(tests[0]),
	    setup, teardown);
}
