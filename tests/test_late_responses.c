#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/raw_server.h"
#include "tests/runner.h"

/* A server sends more than one response to a request, and the extra one arrives
 * on a connection that is in use for the next request. Each caller has to get
 * the response to its own request, or an error that tells truly whether the
 * request may have run. */

enum {
	RESPONSE_BYTES = 512,
	QUIET_MS = 30, /* until the gateway has the connection in its pool */
	EVENT_GAP_MS = 10,
};

/** What the server does with each request but the first on a connection, before
 * it responds to it. %s stands for the id of the request before it. */
struct trouble {
	const char *extra;
	bool is_stream;
	bool responds; /**< it also responds to the request itself */
	bool early;    /**< the extra bytes come before the request */
};

static struct cluster cluster;
static struct raw_server server;
static const char *build_dir;

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

static void
send_response(int fd, const struct trouble *trouble, const char *id)
{
	char response[RESPONSE_BYTES];

	if (trouble->is_stream)
		snprintf(response, sizeof(response),
		    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		    "Response-Signature: raw-0\r\n"
		    "Content-Type: text/event-stream\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n"
		    "1b\r\nid: 1\ndata: %-11s  \n\n\r\n0\r\n\r\n",
		    id, id);
	else
		snprintf(response, sizeof(response),
		    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		    "Response-Signature: raw-0\r\nContent-Length: %zu\r\n\r\n"
		    "%s",
		    id, strlen(id), id);
	raw_server_send(fd, response, strlen(response));
}

static void
send_extra(int fd, const struct trouble *trouble, const char *previous)
{
	char extra[RESPONSE_BYTES];

	/* The text is a constant of this file.
	 * NOLINTNEXTLINE(clang-diagnostic-format-nonliteral) */
	snprintf(extra, sizeof(extra), trouble->extra, previous, previous);
	raw_server_send(fd, extra, strlen(extra));
}

static void
serve_connection(int fd, const void *script)
{
	const struct trouble *trouble = script;
	char previous[CALL_REQUEST_BYTES] = "";
	char id[CALL_REQUEST_BYTES];

	for (;;) {
		raw_server_read_id(fd, id);
		if (id[0] == '\0')
			return;
		if (previous[0] != '\0' && !trouble->early)
			send_extra(fd, trouble, previous);
		if (previous[0] == '\0' || trouble->responds)
			send_response(fd, trouble, id);
		memcpy(previous, id, sizeof(previous));
		if (trouble->early) {
			usleep(QUIET_MS / 2 * US_PER_MS);
			send_extra(fd, trouble, previous);
		}
	}
}

/* Sends a request and checks that its response is its own. Returns the status.
 */
static int
call(const char *target)
{
	struct http_caller caller;
	struct http_reply reply;
	char request[CALL_REQUEST_BYTES];
	int status;

	caller = call_start(&cluster, 0, target, NULL, request);
	http_caller_read(&caller, CALL_MS, &reply);
	status = reply.status;
	if (status == 200) {
		ck_assert(reply.complete);
		ck_assert_ptr_nonnull(strstr(buf_text(&reply.body), request));
	} else {
		ck_assert_ptr_null(strstr(buf_text(&reply.body), "not run"));
	}
	http_reply_reset(&reply);
	http_caller_close(&caller);
	usleep(QUIET_MS * US_PER_MS);
	return status;
}

static void
start(const char *service, const struct trouble *trouble)
{
	server = raw_server_start(&cluster, service, serve_connection, trouble);
}

#define COPY \
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: raw-0\r\n" \
	"Content-Length: 10\r\n\r\n%s"

START_TEST(copies_of_responses_are_not_given_to_the_next_caller)
{
	start("tools", &(struct trouble){.extra = COPY, .responds = true});
	for (int i = 0; i < 6; i++)
		ck_assert_int_eq(call("/once/x"), 200);
}
END_TEST

START_TEST(copies_of_streams_are_not_given_to_the_next_caller)
{
	start("models",
	    &(struct trouble){.extra =
				  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				  "Response-Signature: raw-0\r\n"
				  "Content-Type: text/event-stream\r\n"
				  "Transfer-Encoding: chunked\r\n\r\n"
				  "1b\r\nid: 1\ndata: %-11s  \n\n\r\n0\r\n\r\n",
		.is_stream = true,
		.responds = true});
	for (int i = 0; i < 6; i++)
		ck_assert_int_eq(call("/stream/x"), 200);
}
END_TEST

START_TEST(copies_on_idle_connections_are_not_given_to_the_next_caller)
{
	start("tools",
	    &(struct trouble){.extra = COPY, .responds = true, .early = true});
	for (int i = 0; i < 6; i++)
		ck_assert_int_eq(call("/once/x"), 200);
}
END_TEST

START_TEST(a_copy_in_place_of_a_response_is_no_response)
{
	start("tools", &(struct trouble){.extra = COPY});
	ck_assert_int_eq(call("/once/x"), 200);
	ck_assert_int_eq(call("/once/x"), 504);
}
END_TEST

/* An extra response without an id may be meant for the request before, so it
 * doesn't tell that the one that is under way has not run. */
START_TEST(refusals_without_an_id_on_a_kept_connection_promise_nothing)
{
	start("tools",
	    &(struct trouble){.extra =
				  "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
				  "Content-Length: 0\r\n\r\n"});
	ck_assert_int_eq(call("/once/x"), 200);
	ck_assert_int_eq(call("/once/x"), 502);
}
END_TEST

START_TEST(misdirections_without_an_id_on_a_kept_connection_promise_nothing)
{
	start("tools",
	    &(struct trouble){.extra = "HTTP/1.1 421 Misdirected Request\r\n"
				       "Content-Length: 0\r\n\r\n"});
	ck_assert_int_eq(call("/once/x"), 200);
	ck_assert_int_eq(call("/once/x"), 502);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    copies_of_responses_are_not_given_to_the_next_caller,
	    copies_of_streams_are_not_given_to_the_next_caller,
	    copies_on_idle_connections_are_not_given_to_the_next_caller,
	    a_copy_in_place_of_a_response_is_no_response,
	    refusals_without_an_id_on_a_kept_connection_promise_nothing,
	    misdirections_without_an_id_on_a_kept_connection_promise_nothing,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("late-responses", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
