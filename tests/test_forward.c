#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/raw_server.h"
#include "tests/runner.h"

enum {
	DEADLINE_MS = 3000, /**< of each request */
	FIELDS_BYTES = 512,
	EVENTS = 4, /**< events of a whole stream of the stand-in */
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	ck_assert(cluster_wait_ready(&cluster, 0));
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/* Sends a request with a new id, which is copied to request. */
static void
send_request(const char *target, const char *previous_turn, char request[32],
    struct http_reply *reply)
{
	static int next;
	char fields[FIELDS_BYTES];

	snprintf(request, 32, "forward-%02d", ++next);
	snprintf(fields, sizeof(fields),
	    "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
	    "Program-Id: %s\r\nSession-Id: s\r\nToken-Budget: 1000\r\n"
	    "Token-Usage: 100,50\r\n%s%s%s",
	    request, DEADLINE_MS, request,
	    previous_turn != NULL ? "Previous-Turn: " : "",
	    previous_turn != NULL ? previous_turn : "",
	    previous_turn != NULL ? "\r\n" : "");
	http_call_once(cluster.gateways[0].process.port, "POST", target, fields,
	    "input", 5, CALL_MS, reply);
}

static int
count_events(struct http_reply *reply)
{
	const char *at = buf_text(&reply->body);
	int count = 0;

	while ((at = strstr(at, "\n\n")) != NULL) {
		count++;
		at += 2;
	}
	return count;
}

static void
check_stream(const char *target, bool complete, int events)
{
	struct http_reply reply;
	char request[32];

	send_request(target, NULL, request, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(reply.complete == complete, "%s: complete is %d", target,
	    reply.complete);
	ck_assert_int_eq(count_events(&reply), events);
	http_reply_reset(&reply);
}

START_TEST(whole_streams_without_a_length_are_complete)
{
	check_stream("/turn/x", true, EVENTS);
	check_stream("/turn/unframed", true, EVENTS);
	check_stream("/stream/unframed", true, EVENTS);
}
END_TEST

START_TEST(streams_that_end_inside_an_event_are_cut)
{
	check_stream("/turn/unframed/partial", false, EVENTS / 2);
	check_stream("/stream/unframed/partial", false, EVENTS / 2);
	check_stream("/turn/partial", false, EVENTS / 2);
}
END_TEST

START_TEST(streams_without_an_event_are_cut)
{
	check_stream("/turn/unframed/empty", false, 0);
}
END_TEST

START_TEST(streams_that_are_reset_are_cut)
{
	check_stream("/turn/unframed/reset", false, EVENTS / 2);
	check_stream("/turn/reset", false, EVENTS / 2);
}
END_TEST

START_TEST(turns_that_broke_off_are_not_retained)
{
	struct http_reply reply;
	char broken[32];
	char next[32];

	send_request("/turn/unframed/partial", NULL, broken, &reply);
	http_reply_reset(&reply);
	send_request("/turn/x", broken, next, &reply);
	ck_assert_int_eq(reply.status, 404);
	http_reply_reset(&reply);
}
END_TEST

START_TEST(responses_without_a_length_are_complete_unless_reset)
{
	struct http_reply reply;
	char request[32];

	send_request("/once/unframed", NULL, request, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.complete);
	ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), request));
	http_reply_reset(&reply);
	send_request("/once/unframed/reset", NULL, request, &reply);
	ck_assert_int_eq(reply.status, 502);
	http_reply_reset(&reply);
}
END_TEST

/** What a server sends after the head of a stream. */
struct slow_stream {
	const char *piece;
	int pieces;
	int pause_ms; /**< before each piece */
};

static void
serve_slow_stream(int fd, const void *script)
{
	const struct slow_stream *stream = script;
	char id[CALL_REQUEST_BYTES];
	char head[FIELDS_BYTES];

	raw_server_read_id(fd, id);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Response-Signature: raw-0\r\n"
	    "Content-Type: text/event-stream\r\n\r\n",
	    id);
	raw_server_send(fd, head, strlen(head));
	for (int i = 0; i < stream->pieces; i++) {
		usleep((useconds_t)(stream->pause_ms * US_PER_MS));
		if (!raw_server_send(fd, stream->piece, strlen(stream->piece)))
			return;
	}
}

/* Calls the slow server alone; returns how long it took. */
static int64_t
call_slow_stream(const struct slow_stream *stream, struct http_reply *reply)
{
	struct raw_server server;
	char request[32];
	int64_t started_us;

	cluster_signal(&cluster.servers[0], SIGKILL);
	cluster_unregister_server(&cluster, "models-0");
	server =
	    raw_server_start(&cluster, "models", serve_slow_stream, stream);
	started_us = clock_monotonic_us();
	send_request("/stream/x", NULL, request, reply);
	started_us = clock_monotonic_us() - started_us;
	raw_server_stop(&server);
	return started_us;
}

START_TEST(slow_streams_are_complete)
{
	struct http_reply reply;

	call_slow_stream(
	    &(struct slow_stream){"id: 1\ndata: x\n\n", 3, 800}, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.complete);
	ck_assert_int_eq(count_events(&reply), 3);
	http_reply_reset(&reply);
}
END_TEST

START_TEST(stalled_streams_end_at_their_deadline)
{
	struct http_reply reply;
	int64_t took_us =
	    call_slow_stream(&(struct slow_stream){"x", 100, 100}, &reply);

	ck_assert(!reply.complete);
	ck_assert_int_le(took_us, (int64_t)(DEADLINE_MS + 500) * US_PER_MS);
	http_reply_reset(&reply);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    whole_streams_without_a_length_are_complete,
	    streams_that_end_inside_an_event_are_cut,
	    streams_without_an_event_are_cut,
	    streams_that_are_reset_are_cut,
	    turns_that_broke_off_are_not_retained,
	    responses_without_a_length_are_complete_unless_reset,
	    slow_streams_are_complete,
	    stalled_streams_end_at_their_deadline,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("forward", tests, sizeof(tests) / sizeof(tests[0]),
	    setup, teardown);
}
