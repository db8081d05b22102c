#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/raw_server.h"
#include "tests/runner.h"

/* A server in trouble sends bytes without end where a response is due. */

enum {
	REQUEST_BYTES = 8192,
	PIECE_BYTES = 16384,
	MEMORY_KB = 8 << 10, /**< that the gateway may need besides */
	/* Bytes come fast, so their number ends the response before its time.
	 */
	ENDED_WITHIN_US = 1000 * US_PER_MS,
};

/** What the server sends after a request: a start, then pieces without end. %s
 * in the start stands for the request's id. */
struct trouble {
	const char *start;
	const char *piece;
	/** Bytes that the gateway may take, with what the kernel buffers. */
	int closed_after_mb;
	int pause_ms; /**< between single pieces; 0: none, and 16 KiB at once */
};

#define HEAD    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
#define SIGNED  HEAD "Response-Signature: raw-0\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static struct cluster cluster;
static const char *build_dir;
static struct raw_server server;

/* Sends pieces until the gateway closes the connection. The process ends if it
 * does not in time. */
static void
serve_connection(int fd, const void *script)
{
	const struct trouble *trouble = script;
	char id[CALL_REQUEST_BYTES];
	char start[REQUEST_BYTES];
	static char pieces[PIECE_BYTES];
	size_t len = 0;
	int64_t sent = 0;

	raw_server_read_id(fd, id);
	if (id[0] == '\0')
		return;
	while (len + strlen(trouble->piece) <= sizeof(pieces)) {
		memcpy(pieces + len, trouble->piece, strlen(trouble->piece));
		len += strlen(trouble->piece);
	}
	snprintf(start, sizeof(start), trouble->start, id);
	if (!raw_server_send(fd, start, strlen(start)))
		return;
	while (raw_server_send(
	    fd, pieces, trouble->pause_ms > 0 ? strlen(trouble->piece) : len)) {
		usleep((useconds_t)(trouble->pause_ms * US_PER_MS));
		sent += (int64_t)len;
		if (sent > (int64_t)trouble->closed_after_mb << 20)
			_exit(1);
	}
}

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	ck_assert(cluster_wait_ready(&cluster, 0));
}

static void
teardown(void)
{
	raw_server_stop(&server);
	cluster_stop(&cluster);
}

/* Returns the most memory that the gateway has used. */
static long
peak_memory_kb(void)
{
	long kb = cluster_memory_kb(&cluster, 0, "VmHWM");

	ck_assert_int_gt(kb, 0);
	return kb;
}

/* Checks that the response has an end, and with which status, that the
 * gateway's memory stays flat, and that the server's connection was closed. */
static void
check_end(const char *service, const char *target,
    const struct trouble *trouble, int status)
{
	long before_kb;
	struct answer answer;
	int64_t started_us;
	int exit_status;

	server = raw_server_start(&cluster, service, serve_connection, trouble);
	before_kb = peak_memory_kb();
	started_us = clock_monotonic_us();
	answer = call_once(&cluster, 0, target, NULL);
	ck_assert_int_le(clock_monotonic_us() - started_us, ENDED_WITHIN_US);
	ck_assert_int_eq(answer.status, status);
	ck_assert(status != 200 || !answer.complete);
	ck_assert_int_le(peak_memory_kb() - before_kb, MEMORY_KB);
	ck_assert_int_eq(waitpid(server.pid, &exit_status, WNOHANG), 0);
}

START_TEST(heads_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){HEAD, "X-Field: some value\r\n", 8}, 502);
}
END_TEST

START_TEST(lines_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){"HTTP/1.1 200 OK\r\nX-Field: ", "aaaa", 8}, 502);
}
END_TEST

START_TEST(interim_responses_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){"", "HTTP/1.1 100 Continue\r\n\r\n", 8}, 502);
}
END_TEST

START_TEST(blank_lines_without_end_are_closed)
{
	check_end("tools", "/once/x", &(struct trouble){"", "\r\n", 8}, 502);
}
END_TEST

START_TEST(bytes_that_are_no_response_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){"", "no response at all ", 8}, 502);
}
END_TEST

START_TEST(responses_to_other_requests_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){"",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
		"Content-Length: 5\r\n\r\nother",
		8},
	    502);
	ck_assert_int_eq(kill(server.pid, 0), 0);
}
END_TEST

START_TEST(chunk_headers_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){SIGNED CHUNKED "5;name=", "value", 8}, 502);
}
END_TEST

START_TEST(trailers_without_end_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){
		SIGNED CHUNKED "0\r\n", "X-Trailer: value\r\n", 8},
	    502);
}
END_TEST

START_TEST(bodies_without_a_signature_are_closed)
{
	check_end("tools", "/once/x",
	    &(struct trouble){HEAD "\r\n", "no signed body ", 8}, 502);
}
END_TEST

START_TEST(streams_without_a_signature_are_closed)
{
	check_end("models", "/stream/x",
	    &(struct trouble){HEAD
		"Content-Type: text/event-stream\r\n" CHUNKED,
		"10\r\nid: 1\ndata: x\n\n1\r\n", 8},
	    502);
}
END_TEST

START_TEST(declined_requests_with_an_endless_body_have_not_run)
{
	check_end("tools", "/once/x",
	    &(struct trouble){
		"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
		"full ", 8},
	    503);
}
END_TEST

START_TEST(declined_requests_do_not_wait_for_a_slow_body)
{
	check_end("tools", "/once/x",
	    &(struct trouble){
		"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
		"full ", 8, 20},
	    503);
}
END_TEST

START_TEST(events_without_end_are_cut)
{
	check_end("models", "/stream/x",
	    &(struct trouble){SIGNED "Content-Type: text/event-stream\r\n"
				     "\r\nid: 1\ndata: ",
		"token", 8},
	    200);
}
END_TEST

START_TEST(turns_without_end_are_cut)
{
	check_end("models", "/turn/x",
	    &(struct trouble){SIGNED "Content-Type: text/event-stream\r\n\r\n",
		"id: 1\ndata: some text of a turn without an end\n\n", 16},
	    200);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    heads_without_end_are_closed,
	    lines_without_end_are_closed,
	    interim_responses_without_end_are_closed,
	    blank_lines_without_end_are_closed,
	    bytes_that_are_no_response_are_closed,
	    responses_to_other_requests_without_end_are_closed,
	    chunk_headers_without_end_are_closed,
	    trailers_without_end_are_closed,
	    bodies_without_a_signature_are_closed,
	    streams_without_a_signature_are_closed,
	    declined_requests_with_an_endless_body_have_not_run,
	    declined_requests_do_not_wait_for_a_slow_body,
	    events_without_end_are_cut,
	    turns_without_end_are_cut,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("endless", tests, sizeof(tests) / sizeof(tests[0]),
	    setup, teardown);
}
