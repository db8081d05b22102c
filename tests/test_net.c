#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/buf.h"
#include "common/clock.h"
#include "common/memory.h"
#include "h1/server.h"
#include "net/http.h"
#include "standins/http_caller.h"
#include "tests/runner.h"

enum {
	ABORT_MS = 10,
	DRIP_MS = 10,
	SERVER_ITERATIONS = 60, /**< of a millisecond; covers ABORT_MS */
};

/** A server and a client on one loop, and the result of the last call. */
struct fixture {
	uv_loop_t loop;
	struct net *net;
	bool done;
	enum http_result result;
	int status;
	struct buf body;
	char location[256];
	int closes;
	struct http_exchange *held; /**< unfinished response to "/hold" */
	uv_timer_t abort_timer;     /**< aborts the response to "/cut-stream" */
	uv_timer_t drip_timer;      /**< sends the response to "/drip" */
};

static void
handle_close(void *context)
{
	struct fixture *fixture = context;

	fixture->closes++;
	fixture->held = NULL;
}

static void
handle_abort_timer(uv_timer_t *timer)
{
	http_abort(timer->data);
	uv_close((uv_handle_t *)timer, NULL);
}

static void
handle_drip_timer(uv_timer_t *timer)
{
	http_stream_write(timer->data, ".", 1);
}

static void
handle_drip_closed(void *context)
{
	struct fixture *fixture = context;

	fixture->closes++;
	uv_close((uv_handle_t *)&fixture->drip_timer, NULL);
}

/* Sends a byte now and then, without end. */
static void
respond_with_drip(struct fixture *fixture, struct http_exchange *exchange)
{
	http_exchange_on_close(exchange, handle_drip_closed, fixture);
	http_stream_begin(exchange, 200, "text/plain", NULL);
	uv_timer_init(&fixture->loop, &fixture->drip_timer);
	fixture->drip_timer.data = exchange;
	uv_timer_start(&fixture->drip_timer, handle_drip_timer, 0, DRIP_MS);
}

static void
respond_with_stream(struct http_exchange *exchange)
{
	http_stream_begin(exchange, 200, "text/event-stream", NULL);
	for (int i = 0; i < 100; i++)
		ck_assert(http_stream_write(exchange, "data: x\n\n", 9));
	http_stream_end(exchange);
}

static void
handle(void *context, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct fixture *fixture = context;
	char value[64];

	if (strcmp(request->path, "/stream") == 0) {
		respond_with_stream(exchange);
	} else if (strcmp(request->path, "/cut-stream") == 0) {
		uv_timer_init(&fixture->loop, &fixture->abort_timer);
		fixture->abort_timer.data = exchange;
		uv_timer_start(
		    &fixture->abort_timer, handle_abort_timer, ABORT_MS, 0);
		http_stream_begin(exchange, 200, "text/event-stream", NULL);
		http_stream_write(exchange, "data: x\n\n", 9);
	} else if (strcmp(request->path, "/drip") == 0) {
		respond_with_drip(fixture, exchange);
	} else if (strcmp(request->path, "/hold") == 0) {
		http_exchange_on_close(exchange, handle_close, fixture);
		http_stream_begin(exchange, 200, "text/plain", NULL);
		http_stream_write(exchange, "part", 4);
		fixture->held = exchange;
	} else if (strcmp(request->path, "/moved") == 0) {
		static const struct http_header headers[] = {
		    {"location", "http://127.0.0.1:9/there"},
		    {NULL, NULL},
		};

		http_respond(
		    exchange, 307, "application/json", headers, "{}", 2);
	} else if (strcmp(request->path, "/cut") == 0) {
		http_abort(exchange);
	} else if (strcmp(request->path, "/header") == 0) {
		ck_assert(http_request_header(
		    request, "x-test", value, sizeof(value)));
		ck_assert_str_eq(value, "yes");
		ck_assert(!http_request_header(
		    request, "x-none", value, sizeof(value)));
		ck_assert(
		    http_request_query(request, "b", value, sizeof(value)));
		http_respond(
		    exchange, 200, "text/plain", NULL, value, strlen(value));
	} else {
		http_respond(exchange, 200, "text/plain", NULL, request->body,
		    request->body_len);
	}
}

static void
setup(struct fixture *fixture)
{
	struct net_options options = {
	    .listen_address = "127.0.0.1",
	    .max_body_bytes = 1 << 20,
	    .handler = handle,
	    .handler_context = fixture,
	};
	struct error err = {0};

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	fixture->net = net_create(&fixture->loop, &options, &err);
	ck_assert_msg(fixture->net != NULL, "%s", err.text);
}

static void
teardown(struct fixture *fixture)
{
	net_destroy(fixture->net);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture->loop), 0);
	buf_reset(&fixture->body);
}

static void
handle_response(void *context, const struct http_response *response)
{
	struct fixture *fixture = context;

	fixture->done = true;
	fixture->result = response->result;
	fixture->status = response->status;
	snprintf(fixture->location, sizeof(fixture->location), "%s",
	    response->location);
	fixture->body.len = 0;
	buf_append(&fixture->body, response->body, response->body_len);
}

static struct http_call *
start_limited(struct fixture *fixture, enum http_method method,
    const char *path, const void *body, size_t len, int64_t timeout_us,
    int64_t max_us)
{
	static const struct http_header headers[] = {
	    {"x-test", "yes"},
	    {NULL, NULL},
	};
	struct http_call_params params = {
	    .address = "127.0.0.1",
	    .port = net_port(fixture->net),
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .body = body,
	    .body_len = len,
	    .timeout_us = timeout_us,
	    .max_us = max_us,
	};

	fixture->done = false;
	return http_fetch(fixture->net, &params, handle_response, fixture);
}

static struct http_call *
start(struct fixture *fixture, enum http_method method, const char *path,
    const void *body, size_t len, int64_t timeout_us)
{
	return start_limited(fixture, method, path, body, len, timeout_us, 0);
}

static void
finish(struct fixture *fixture)
{
	while (!fixture->done)
		uv_run(&fixture->loop, UV_RUN_ONCE);
}

START_TEST(bodies_of_all_sizes_are_echoed)
{
	static const size_t sizes[] = {0, 1, 4095, 4096, 100000, 1 << 20};
	struct fixture fixture;
	char *body = xcalloc(1, 1 << 20);

	setup(&fixture);
	memset(body, 'b', 1 << 20);
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		start(&fixture, HTTP_POST, "/echo", body, sizes[i], 0);
		finish(&fixture);
		ck_assert_int_eq(fixture.result, HTTP_RESULT_OK);
		ck_assert_int_eq(fixture.status, 200);
		ck_assert_uint_eq(fixture.body.len, sizes[i]);
		ck_assert_mem_eq(fixture.body.data, body, sizes[i]);
	}
	start(&fixture, HTTP_GET, "/echo", NULL, 0, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_OK);
	teardown(&fixture);
	free(body);
}
END_TEST

START_TEST(too_large_bodies_are_rejected)
{
	struct fixture fixture;
	char *body = xcalloc(1, (1 << 20) + 1);

	setup(&fixture);
	start(&fixture, HTTP_POST, "/echo", body, (1 << 20) + 1, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.status, 413);
	teardown(&fixture);
	free(body);
}
END_TEST

START_TEST(headers_and_query_are_passed_to_the_handler)
{
	struct fixture fixture;

	setup(&fixture);
	start(&fixture, HTTP_GET, "/header?a=1&b=two", NULL, 0, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.status, 200);
	ck_assert_str_eq(buf_text(&fixture.body), "two");
	teardown(&fixture);
}
END_TEST

START_TEST(streams_arrive_completely)
{
	struct fixture fixture;

	setup(&fixture);
	start(&fixture, HTTP_GET, "/stream", NULL, 0, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_OK);
	ck_assert_uint_eq(fixture.body.len, 900);
	teardown(&fixture);
}
END_TEST

START_TEST(refused_connections_are_reported)
{
	struct fixture fixture;
	struct http_call_params params = {
	    .address = "127.0.0.1", .port = 1, .path = "/"};

	setup(&fixture);
	http_fetch(fixture.net, &params, handle_response, &fixture);
	ck_assert(!fixture.done);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECT_FAILED);
	teardown(&fixture);
}
END_TEST

START_TEST(lost_connections_are_reported)
{
	struct fixture fixture;

	setup(&fixture);
	start(&fixture, HTTP_POST, "/cut", "x", 1, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECTION_LOST);
	teardown(&fixture);
}
END_TEST

/** How the peer of a call frames and ends its response "abc". */
struct ending {
	int64_t length;
	bool aborted;
};

static void
handle_peer_request(void *context, struct h1_exchange *exchange)
{
	const struct ending *ending = context;

	h1_respond_begin(exchange, 200, NULL, ending->length);
	h1_respond_data(exchange, "abc", 3);
	if (ending->aborted)
		h1_exchange_abort(exchange);
	else
		h1_respond_end(exchange);
}

static enum http_result
call_peer(struct fixture *fixture, struct ending ending)
{
	const struct h1_server_options options = {
	    .address = "127.0.0.1",
	    .limits = {.max_header_bytes = 8192,
		.max_body_bytes = 8192,
		.header_timeout_us = US_PER_S,
		.idle_timeout_us = US_PER_S},
	    .on_request = handle_peer_request,
	    .context = &ending,
	};
	struct error err = {0};
	struct h1_server *peer =
	    h1_server_create(&fixture->loop, &options, &err);
	struct http_call_params params = {
	    .address = "127.0.0.1", .port = h1_server_port(peer), .path = "/"};

	fixture->done = false;
	http_fetch(fixture->net, &params, handle_response, fixture);
	finish(fixture);
	h1_server_destroy(peer);
	return fixture->result;
}

START_TEST(responses_that_broke_off_are_not_complete)
{
	static const int64_t lengths[] = {
	    5, H1_LENGTH_CHUNKED, H1_LENGTH_CONNECTION};
	struct fixture fixture;

	setup(&fixture);
	for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		enum http_result result = call_peer(&fixture,
		    (struct ending){.length = lengths[i], .aborted = true});

		ck_assert_msg(result == HTTP_RESULT_CONNECTION_LOST,
		    "length %d: result %d", (int)lengths[i], result);
	}
	teardown(&fixture);
}
END_TEST

START_TEST(responses_without_a_length_end_with_their_connection)
{
	struct fixture fixture;

	setup(&fixture);
	ck_assert_int_eq(call_peer(&fixture,
			     (struct ending){.length = H1_LENGTH_CONNECTION}),
	    HTTP_RESULT_OK);
	ck_assert_str_eq(buf_text(&fixture.body), "abc");
	teardown(&fixture);
}
END_TEST

/* Calls the server with a version of HTTP and returns whether the response is
 * complete; its body is copied to fixture->body. */
static bool
call_with_version(
    struct fixture *fixture, const char *path, const char *version)
{
	struct http_caller caller;
	struct http_reply reply;
	char request[128];
	bool complete;

	snprintf(request, sizeof(request), "GET %s %s\r\nHost: h\r\n\r\n", path,
	    version);
	ck_assert(http_caller_open(&caller, net_port(fixture->net)));
	ck_assert(http_caller_send(&caller, request, strlen(request)));
	for (int i = 0; i < SERVER_ITERATIONS; i++) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(US_PER_MS);
	}
	http_caller_read(&caller, 1, &reply);
	complete = reply.complete;
	fixture->body.len = 0;
	buf_append(&fixture->body, reply.body.data, reply.body.len);
	http_reply_reset(&reply);
	http_caller_close(&caller);
	return complete;
}

START_TEST(aborted_streams_are_incomplete)
{
	static const char *const versions[] = {"HTTP/1.1", "HTTP/1.0"};
	struct fixture fixture;

	setup(&fixture);
	for (size_t i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		ck_assert(call_with_version(&fixture, "/stream", versions[i]));
		ck_assert_uint_eq(fixture.body.len, 900);
		ck_assert_msg(
		    !call_with_version(&fixture, "/cut-stream", versions[i]),
		    "%s: complete", versions[i]);
	}
	teardown(&fixture);
}
END_TEST

START_TEST(redirects_are_reported_and_not_followed)
{
	struct fixture fixture;

	setup(&fixture);
	start(&fixture, HTTP_POST, "/moved", "x", 1, 0);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_OK);
	ck_assert_int_eq(fixture.status, 307);
	ck_assert_str_eq(fixture.location, "http://127.0.0.1:9/there");
	teardown(&fixture);
}
END_TEST

START_TEST(stalled_calls_time_out_and_close_their_exchange)
{
	struct fixture fixture;

	setup(&fixture);
	start(&fixture, HTTP_GET, "/hold", NULL, 0, 50000);
	finish(&fixture);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_TIMEOUT);
	while (fixture.closes == 0)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	ck_assert_uint_eq(net_open_exchanges(fixture.net), 0);
	teardown(&fixture);
}
END_TEST

START_TEST(calls_end_in_time_though_bytes_arrive_now_and_then)
{
	const int64_t drip_us = (int64_t)DRIP_MS * US_PER_MS;
	struct fixture fixture;
	int64_t started_us = clock_monotonic_us();

	setup(&fixture);
	start_limited(
	    &fixture, HTTP_GET, "/drip", NULL, 0, 10 * drip_us, 20 * drip_us);
	while (
	    !fixture.done && clock_monotonic_us() - started_us < 100 * drip_us)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	ck_assert_msg(fixture.done, "the call does not end");
	ck_assert_int_eq(fixture.result, HTTP_RESULT_TIMEOUT);
	/* Not before: the call makes progress. */
	ck_assert_int_ge(
	    clock_monotonic_us() - started_us, 20 * drip_us - US_PER_MS);
	while (fixture.closes == 0)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	teardown(&fixture);
}
END_TEST

START_TEST(cancelled_calls_run_no_callback)
{
	struct fixture fixture;
	struct http_call *call;

	setup(&fixture);
	call = start(&fixture, HTTP_GET, "/hold", NULL, 0, 0);
	while (fixture.held == NULL)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	http_call_cancel(call);
	while (fixture.closes == 0)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	ck_assert(!fixture.done);
	teardown(&fixture);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    bodies_of_all_sizes_are_echoed,
	    too_large_bodies_are_rejected,
	    headers_and_query_are_passed_to_the_handler,
	    streams_arrive_completely,
	    refused_connections_are_reported,
	    lost_connections_are_reported,
	    responses_that_broke_off_are_not_complete,
	    responses_without_a_length_end_with_their_connection,
	    aborted_streams_are_incomplete,
	    redirects_are_reported_and_not_followed,
	    stalled_calls_time_out_and_close_their_exchange,
	    calls_end_in_time_though_bytes_arrive_now_and_then,
	    cancelled_calls_run_no_callback,
	};

	return run_tests("net", tests, sizeof(tests) / sizeof(tests[0]));
}
