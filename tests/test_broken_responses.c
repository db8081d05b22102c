#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/raw_server.h"
#include "tests/runner.h"

/* A server in trouble sends bytes that are no HTTP response, or a response that
 * is reset on the way. Its caller must not get it for a whole one. */

enum {
	REQUEST_BYTES = 8192,
	RESPONSE_BYTES = 1024,
	RETRY_MS = 50,
	TRIES_MAX = 40,
	UPLOAD_BYTES = 8 << 20,
	UPLOADS = 90,
};

/** What the server sends before it closes the connection. The number of the row
 * is the last part of the request's path. */
struct row {
	const char *name;
	const char *response; /**< %s stands for the request's id */
	int status;           /**< that the caller gets */
};

#define SIGNED "Request-Id: %s\r\nResponse-Signature: raw-0\r\n"
#define OK     "HTTP/1.1 200 OK\r\n" SIGNED
#define LENGTH "Content-Length: 5\r\n"
#define BODY   "\r\nhello"
#define BROKEN 502

static struct cluster cluster;
static struct raw_server server;
static const char *build_dir;

static void
serve_row(int fd, const void *script)
{
	const struct row *rows = script;
	char request[REQUEST_BYTES] = {0};
	char response[RESPONSE_BYTES];
	char id[CALL_REQUEST_BYTES] = "";
	const char *at;
	int row = 0;

	if (recv(fd, request, sizeof(request) - 1, 0) <= 0)
		return;
	at = strstr(request, "Request-Id: ");
	if (at == NULL || sscanf(request, "POST /%*[a-z]/%d", &row) != 1)
		return;
	sscanf(at + strlen("Request-Id: "), "%31[^\r]", id);
	/* The text is a constant of this file.
	 * NOLINTNEXTLINE(clang-diagnostic-format-nonliteral) */
	snprintf(response, sizeof(response), rows[row].response, id);
	raw_server_send(fd, response, strlen(response));
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

/* Sends the request of a row until the gateway does not refuse it because the
 * only server has just failed. */
static void
call_row(const char *route, int row, struct http_reply *reply)
{
	char target[CALL_REQUEST_BYTES];

	snprintf(target, sizeof(target), "/%s/%d", route, row);
	for (int i = 0; i < TRIES_MAX; i++) {
		char request[CALL_REQUEST_BYTES];
		struct http_caller caller =
		    call_start(&cluster, 0, target, NULL, request);

		http_caller_read(&caller, CALL_MS, reply);
		http_caller_close(&caller);
		if (reply->status != 503)
			return;
		http_reply_reset(reply);
		usleep(RETRY_MS * US_PER_MS);
	}
	ck_abort_msg("%s: no server is available", target);
}

/* Returns whether the caller of a row got what it should. */
static bool
check_row(const char *route, const struct row *rows, int row)
{
	struct http_reply reply;
	bool right;

	call_row(route, row, &reply);
	right = reply.status == rows[row].status && reply.complete;
	if (reply.status == 200)
		right = right && strcmp(buf_text(&reply.body), "hello") == 0;
	if (!right)
		printf("%s: status %d, %s, body '%s'\n", rows[row].name,
		    reply.status, reply.complete ? "complete" : "incomplete",
		    buf_text(&reply.body));
	http_reply_reset(&reply);
	return right;
}

/* Checks what the callers of all rows get. */
static void
check_rows(const struct row *rows, size_t count)
{
	int wrong = 0;

	server = raw_server_start(&cluster, "tools", serve_row, rows);
	for (size_t i = 0; i < count; i++)
		wrong += !check_row("once", rows, (int)i);
	ck_assert_int_eq(wrong, 0);
}

#define CHECK_ROWS(rows) check_rows(rows, sizeof(rows) / sizeof((rows)[0]))

START_TEST(status_codes_that_do_not_exist_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"000", "HTTP/1.1 000 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"099", "HTTP/1.1 099 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"600", "HTTP/1.1 600 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"999", "HTTP/1.1 999 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"two digits", "HTTP/1.1 20 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"four digits", "HTTP/1.1 0200 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"no digits", "HTTP/1.1 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"signed", "HTTP/1.1 -200 OK\r\n" SIGNED LENGTH BODY, BROKEN},
	    {"another version", "HTTP/3.7 200 OK\r\n" SIGNED LENGTH BODY,
		BROKEN},
	    {"a control byte", "HTTP/1.1 200 O\001K\r\n" SIGNED LENGTH BODY,
		BROKEN},
	    {"a line that does not end",
		"HTTP/1.1 200 OK\rx" SIGNED LENGTH BODY, BROKEN},
	    {"interim", "HTTP/1.1 0100 Continue\r\n\r\n" OK LENGTH BODY,
		BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(bodies_whose_length_is_spoilt_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"no number", OK "Content-Length: five\r\n" BODY, BROKEN},
	    {"empty", OK "Content-Length:\r\n" BODY, BROKEN},
	    {"sign", OK "Content-Length: +5\r\n" BODY, BROKEN},
	    {"negative", OK "Content-Length: -5\r\n" BODY, BROKEN},
	    {"list", OK "Content-Length: 5, 5\r\n" BODY, BROKEN},
	    {"two numbers", OK "Content-Length: 5 5\r\n" BODY, BROKEN},
	    {"two lengths", OK LENGTH "Content-Length: 4\r\n" BODY, BROKEN},
	    {"too long a number",
		OK "Content-Length: 99999999999999999999\r\n" BODY, BROKEN},
	    {"length and chunks",
		OK LENGTH "Transfer-Encoding: chunked\r\n\r\n"
			  "5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"misspelt coding",
		OK "Transfer-Encoding: chunkd\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"empty coding",
		OK "Transfer-Encoding:\r\n\r\n5\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"gzip",
		OK "Transfer-Encoding: gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"chunked, gzip",
		OK "Transfer-Encoding: chunked, gzip\r\n\r\n"
		   "5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"gzip, chunked",
		OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
		   "5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"identity", OK "Transfer-Encoding: identity\r\n" LENGTH BODY,
		BROKEN},
	    {"identity without a length",
		OK "Transfer-Encoding: identity\r\n" BODY, BROKEN},
	    {"two codings",
		OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
		   "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"coding in HTTP/1.0",
		"HTTP/1.0 200 OK\r\n" SIGNED
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(heads_with_lines_that_are_no_fields_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"no colon", OK "Content-Length 5\r\n" BODY, BROKEN},
	    {"garbage", OK "\377\376garbage\r\n" LENGTH BODY, BROKEN},
	    {"no name", OK ": 5\r\n" BODY, BROKEN},
	    {"folded first line",
		"HTTP/1.1 200 OK\r\n Content-Length: 5\r\n" SIGNED BODY,
		BROKEN},
	    {"folded line", OK "X-Field: a\r\n Content-Length: 5\r\n" BODY,
		BROKEN},
	    {"folded with a tab", OK "X-Field: a\r\n\tb\r\n" LENGTH BODY,
		BROKEN},
	    {"folded empty value", OK "X-Field:\r\n b\r\n" LENGTH BODY, BROKEN},
	    {"folded length", OK "Content-Length:\r\n 5\r\n" BODY, BROKEN},
	    {"folded coding",
		OK "Transfer-Encoding: chu\r\n nked\r\n\r\n"
		   "5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"line that does not end", OK "X-Field:\rx" LENGTH BODY, BROKEN},
	    {"line that does not end, with a value",
		OK "X-Field: a\rx" LENGTH BODY, BROKEN},
	    {"head that does not end", OK LENGTH "\rxhello", BROKEN},
	    {"control byte in a value", OK "X-Field: a\001b\r\n" LENGTH BODY,
		BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(field_names_that_are_no_tokens_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"blank", OK "X Field: a\r\n" LENGTH BODY, BROKEN},
	    {"blank at the end", OK "X-Field : a\r\n" LENGTH BODY, BROKEN},
	    {"blank in the length", OK "Content Length: 5\r\n" BODY, BROKEN},
	    {"blank after the length", OK "Content-Length : 5\r\n" BODY,
		BROKEN},
	    {"blank in the coding",
		OK "Transfer Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"blank after the coding",
		OK "Transfer-Encoding : chunked\r\n\r\n"
		   "5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"tab", OK "X\tField: a\r\n" LENGTH BODY, BROKEN},
	    {"control byte", OK "X\001Field: a\r\n" LENGTH BODY, BROKEN},
	    {"control byte in the length", OK "Content-\001Length: 5\r\n" BODY,
		BROKEN},
	    {"delete", OK "X\177Field: a\r\n" LENGTH BODY, BROKEN},
	    {"no ASCII", OK "X\344Field: a\r\n" LENGTH BODY, BROKEN},
	    {"separator", OK "X(Field: a\r\n" LENGTH BODY, BROKEN},
	    {"quotes", OK "\"X-Field\": a\r\n" LENGTH BODY, BROKEN},
	    {"interim",
		"HTTP/1.1 100 Continue\r\nX Field: a\r\n\r\n" OK LENGTH BODY,
		BROKEN},
	    {"skipped response",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nX Field: a\r\n" LENGTH
		    BODY OK LENGTH BODY,
		BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

START_TEST(bodies_whose_chunks_are_spoilt_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"no size", CHUNKED "\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"no number", CHUNKED "x\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"negative size", CHUNKED "-5\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"prefixed size", CHUNKED "0x5\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"two sizes", CHUNKED "5 5\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"too large a size",
		CHUNKED "fffffffffffffffff\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"size without a line's end", CHUNKED "5\rxhello\r\n0\r\n\r\n",
		BROKEN},
	    {"extension without a line's end",
		CHUNKED "5;a\nhello\r\n0\r\n\r\n", BROKEN},
	    {"control byte in an extension",
		CHUNKED "5;a\001\r\nhello\r\n0\r\n\r\n", BROKEN},
	    {"other bytes after a chunk", CHUNKED "5\r\nhelloXY0\r\n\r\n",
		BROKEN},
	    {"line feed after a chunk", CHUNKED "5\r\nhello\n0\r\n\r\n",
		BROKEN},
	    {"longer chunk than its size", CHUNKED "3\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"shorter chunk than its size", CHUNKED "7\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"end without a line's end", CHUNKED "5\r\nhello\r\n0\r\n\rx",
		BROKEN},
	    {"trailer whose name is no token",
		CHUNKED "5\r\nhello\r\n0\r\nX Field: a\r\n\r\n", BROKEN},
	    {"folded trailer",
		CHUNKED "5\r\nhello\r\n0\r\nX-Field: a\r\n b\r\n\r\n", BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

#define EVENT "f\r\nid: 1\ndata: x\n\n"
#define STREAM \
	OK "Content-Type: text/event-stream\r\n" \
	   "Transfer-Encoding: chunked\r\n\r\n" EVENT

static void
check_stream(const char *route, const struct row *rows, int row)
{
	struct http_reply reply;

	call_row(route, row, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(reply.complete == (rows[row].status == 200),
	    "%s, %s: complete is %d", route, rows[row].name, reply.complete);
	ck_assert_str_eq(buf_text(&reply.body), "id: 1\ndata: x\n\n");
	http_reply_reset(&reply);
}

/* Events are passed on at once, so the end of the stream has to tell. */
START_TEST(streams_whose_chunks_are_spoilt_are_cut)
{
	static const struct row rows[] = {
	    {"sound", STREAM "\r\n0\r\n\r\n", 200},
	    {"other bytes after a chunk", STREAM "XY0\r\n\r\n", BROKEN},
	    {"two sizes", STREAM "\r\n0 0\r\n\r\n", BROKEN},
	    {"end without a line's end", STREAM "\r\n0\r\n\rx", BROKEN},
	};

	server = raw_server_start(&cluster, "models", serve_row, rows);
	for (int i = 0; i < (int)(sizeof(rows) / sizeof(rows[0])); i++) {
		check_stream("stream", rows, i);
		check_stream("turn", rows, i);
	}
}
END_TEST

START_TEST(bodies_of_responses_that_have_none_are_not_passed_on)
{
	static const struct row rows[] = {
	    {"204 with a length", "HTTP/1.1 204 No\r\n" SIGNED LENGTH BODY,
		BROKEN},
	    {"204 with chunks",
		"HTTP/1.1 204 No\r\n" SIGNED
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		BROKEN},
	    {"interim response with a length",
		"HTTP/1.1 100 Continue\r\n" LENGTH BODY OK LENGTH BODY, BROKEN},
	};

	CHECK_ROWS(rows);
}
END_TEST

/** What the server does after the head of an upload and the start of its
 * response. */
struct upload {
	int read_ms; /**< how long it reads on, at first */
	bool resets; /**< it resets the connection then */
};

static void
read_for_ms(int fd, int ms)
{
	static char space[REQUEST_BYTES];
	int64_t until_us = clock_monotonic_us() + (int64_t)ms * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (recv(fd, space, sizeof(space), MSG_DONTWAIT) == 0)
			return;
	}
}

static void
serve_upload(int fd, const void *script)
{
	static int calls;
	const struct upload *upload = script;
	const struct linger reset = {.l_onoff = 1};
	char id[CALL_REQUEST_BYTES];
	char response[RESPONSE_BYTES];

	raw_server_read_id(fd, id);
	snprintf(response, sizeof(response), OK BODY, id);
	raw_server_send(fd, response, strlen(response));
	if (upload->resets) {
		read_for_ms(fd, calls++ % upload->read_ms);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		return;
	}
	shutdown(fd, SHUT_WR);
	read_for_ms(fd, upload->read_ms);
}

/* Sends a long request, and reads its response at the same time. */
static void
call_upload(struct http_reply *reply)
{
	static char body[UPLOAD_BYTES];
	static int calls;
	char fields[RESPONSE_BYTES];

	snprintf(fields, sizeof(fields),
	    "Host: h.example\r\nRequest-Id: upload-%d\r\n", ++calls);
	for (int i = 0; i < TRIES_MAX; i++) {
		http_call_once(cluster.gateways[0].process.port, "POST",
		    "/once/upload", fields, body, sizeof(body), CALL_MS, reply);
		if (reply->status != 503)
			return;
		http_reply_reset(reply);
		usleep(RETRY_MS * US_PER_MS);
	}
	ck_abort_msg("no server is available");
}

static void
start_upload_server(const struct upload *upload)
{
	cluster_publish_with(&cluster, "",
	    ",\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":10000000,"
	    "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":5000}");
	server = raw_server_start(&cluster, "tools", serve_upload, upload);
}

/* When the reset arrives while the gateway writes, the write takes the error of
 * the socket. */
START_TEST(responses_reset_during_an_upload_are_not_complete)
{
	struct http_reply reply;

	start_upload_server(&(struct upload){.read_ms = 9, .resets = true});
	for (int i = 0; i < UPLOADS; i++) {
		call_upload(&reply);
		ck_assert_int_eq(reply.status, BROKEN);
		http_reply_reset(&reply);
	}
}
END_TEST

START_TEST(responses_that_end_before_the_upload_are_passed_on)
{
	struct http_reply reply;

	start_upload_server(&(struct upload){.read_ms = 200});
	call_upload(&reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert(reply.complete);
	ck_assert_str_eq(buf_text(&reply.body), "hello");
	http_reply_reset(&reply);
}
END_TEST

START_TEST(sound_responses_are_passed_on)
{
	static const struct row rows[] = {
	    {"length", OK LENGTH BODY, 200},
	    {"no length", OK BODY, 200},
	    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" SIGNED BODY, 200},
	    {"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" SIGNED LENGTH BODY,
		200},
	    {"no phrase", "HTTP/1.1 200 \r\n" SIGNED LENGTH BODY, 200},
	    {"no phrase and no blank", "HTTP/1.1 200\r\n" SIGNED LENGTH BODY,
		200},
	    {"phrase that is no ASCII",
		"HTTP/1.1 200 Tr\303\250s bien\r\n" SIGNED LENGTH BODY, 200},
	    {"blank line first", "\r\n" OK LENGTH BODY, 200},
	    {"line feeds",
		"HTTP/1.1 200 OK\nRequest-Id: %s\nResponse-Signature: s\n"
		"Content-Length: 5\n\nhello",
		200},
	    {"no blank before a value", OK "Content-Length:5\r\n" BODY, 200},
	    {"blanks around a length", OK "Content-Length: \t5 \r\n" BODY, 200},
	    {"leading zeros", OK "Content-Length: 005\r\n" BODY, 200},
	    {"empty value", OK "X-Field:\r\nX-Other: \r\n" LENGTH BODY, 200},
	    {"value that is no ASCII", OK "X-Field: \344\t\366\r\n" LENGTH BODY,
		200},
	    {"all signs in a name", OK "X!#$%%&'*+-.^_`|~9: a\r\n" LENGTH BODY,
		200},
	    {"interim responses",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
		"Link: a\r\n\r\n" OK LENGTH BODY,
		200},
	    {"skipped response",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" LENGTH BODY OK LENGTH
		    BODY,
		200},
	    {"skipped chunks",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
		"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n"
		"X-Field: a\r\n\r\n" OK LENGTH BODY,
		200},
	    {"bytes after the response", OK LENGTH BODY "more", 200},
	    {"chunk", CHUNKED "5\r\nhello\r\n0\r\n\r\n", 200},
	    {"chunks", CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", 200},
	    {"zeros before a size", CHUNKED "005\r\nhello\r\n000\r\n\r\n", 200},
	    {"extensions", CHUNKED "5;a=b;c=\"d e\"\r\nhello\r\n0 ; a\r\n\r\n",
		200},
	    {"trailers",
		CHUNKED "5\r\nhello\r\n0\r\nX-Field: a\r\nX-Other:\r\n\r\n",
		200},
	    {"coding in capitals",
		OK "TRANSFER-ENCODING: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		200},
	    {"204", "HTTP/1.1 204 No\r\n" SIGNED "\r\n", 204},
	    {"204 with a length of zero",
		"HTTP/1.1 204 No\r\n" SIGNED "Content-Length: 0\r\n\r\n", 204},
	    {"304 with the length of what is cached",
		"HTTP/1.1 304 Not Modified\r\n" SIGNED LENGTH "\r\n", 304},
	    {"404", "HTTP/1.1 404 Not Found\r\n" SIGNED LENGTH BODY, 404},
	    {"599", "HTTP/1.1 599 Trouble\r\n" SIGNED LENGTH BODY, 599},
	};

	CHECK_ROWS(rows);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    status_codes_that_do_not_exist_are_not_passed_on,
	    bodies_whose_length_is_spoilt_are_not_passed_on,
	    heads_with_lines_that_are_no_fields_are_not_passed_on,
	    field_names_that_are_no_tokens_are_not_passed_on,
	    bodies_whose_chunks_are_spoilt_are_not_passed_on,
	    streams_whose_chunks_are_spoilt_are_cut,
	    bodies_of_responses_that_have_none_are_not_passed_on,
	    responses_reset_during_an_upload_are_not_complete,
	    responses_that_end_before_the_upload_are_passed_on,
	    sound_responses_are_passed_on,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("broken-responses", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
