#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "common/clock.h"
#include "common/memory.h"
#include "h1/client.h"
#include "h1/server.h"
#include "h1/socket.h"
#include "standins/http_caller.h"
#include "tests/runner.h"

enum {
	STEPS_MAX = 8,
	SCRIPT_READ_BYTES = 65536,
	WAIT_MS = 3000,
	ACK_TIMEOUT_US = 2L * US_PER_S,
	IDLE_US = 1L * US_PER_S,
};

static uv_loop_t loop;

static void
run_until(const bool *done)
{
	int64_t until_us = clock_monotonic_us() + (int64_t)WAIT_MS * US_PER_MS;

	while (!*done && clock_monotonic_us() < until_us)
		uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert(*done);
}

static void
run_for_ms(int ms)
{
	int64_t until_us = clock_monotonic_us() + (int64_t)ms * US_PER_MS;

	while (clock_monotonic_us() < until_us)
		uv_run(&loop, UV_RUN_NOWAIT);
}

/** What the scripted peer does when it has read a request's head. */
struct step {
	const char *bytes; /**< NULL: nothing */
	bool close;
	bool reset;
};

/** A server that responds to each request with the next step. */
struct peer_script {
	uv_tcp_t listener;
	uv_tcp_t *connection; /**< the latest; NULL: closed */
	struct step steps[STEPS_MAX];
	int next;
	int connections;
	struct buf in; /**< received on the latest connection */
};

static struct peer_script script;

static void
handle_script_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	static char space[SCRIPT_READ_BYTES];

	(void)handle;
	(void)size;
	*buffer = uv_buf_init(space, sizeof(space));
}

static void
handle_script_closed(uv_handle_t *handle)
{
	if (script.connection == (uv_tcp_t *)handle)
		script.connection = NULL;
	free(handle);
}

static void
take_step(void)
{
	const struct step *step = &script.steps[script.next++];

	if (step->bytes != NULL) {
		uv_buf_t out = uv_buf_init(
		    (char *)step->bytes, (unsigned int)strlen(step->bytes));

		uv_try_write((uv_stream_t *)script.connection, &out, 1);
	}
	if (step->reset)
		uv_tcp_close_reset(script.connection, handle_script_closed);
	else if (step->close)
		uv_close(
		    (uv_handle_t *)script.connection, handle_script_closed);
}

static void
handle_script_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	if (len < 0) {
		if (!uv_is_closing((uv_handle_t *)stream))
			uv_close((uv_handle_t *)stream, handle_script_closed);
		return;
	}
	buf_append(&script.in, buffer->base, (size_t)len);
	if (strstr(buf_text(&script.in), "\r\n\r\n") == NULL)
		return;
	script.in.len = 0;
	take_step();
}

static void
handle_script_accept(uv_stream_t *listener, int status)
{
	(void)status;
	script.connections++;
	script.in.len = 0;
	script.connection = xcalloc(1, sizeof(*script.connection));
	uv_tcp_init(&loop, script.connection);
	uv_accept(listener, (uv_stream_t *)script.connection);
	uv_read_start((uv_stream_t *)script.connection, handle_script_alloc,
	    handle_script_read);
}

/* Starts the scripted peer and returns its address. */
static const char *
script_start(const struct step *steps, size_t count)
{
	static char text[H1_ADDRESS_BYTES];
	struct sockaddr_in address;
	int len = sizeof(address);

	memset(&script, 0, sizeof(script));
	memcpy(script.steps, steps, count * sizeof(*steps));
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_init(&loop, &script.listener);
	uv_tcp_bind(&script.listener, (struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&script.listener, 8, handle_script_accept);
	uv_tcp_getsockname(&script.listener, (struct sockaddr *)&address, &len);
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
	return text;
}

static void
script_stop(void)
{
	uv_close((uv_handle_t *)&script.listener, NULL);
	if (script.connection != NULL &&
	    !uv_is_closing((uv_handle_t *)script.connection))
		uv_close(
		    (uv_handle_t *)script.connection, handle_script_closed);
	run_for_ms(5);
	buf_reset(&script.in);
}

/** Result of a client call. */
struct result {
	bool done;
	struct h1_outcome outcome;
	int status;
	int heads;
	struct buf body;
	const char *expected_id; /**< responses with another X-Id are skipped */
};

static enum h1_head_action
handle_result_head(void *context, const struct h1_head *head)
{
	struct result *result = context;
	const char *id = h1_headers_find(&head->headers, "x-id");

	result->heads++;
	if (result->expected_id != NULL &&
	    (id == NULL || strcmp(id, result->expected_id) != 0))
		return H1_HEAD_SKIP;
	result->status = head->status;
	return H1_HEAD_ACCEPT;
}

static void
handle_result_data(void *context, const void *data, size_t len)
{
	struct result *result = context;

	buf_append(&result->body, data, len);
}

static void
handle_result_done(void *context, const struct h1_outcome *outcome)
{
	struct result *result = context;

	result->outcome = *outcome;
	result->done = true;
}

static struct h1_call *
start_call(struct h1_client *client, const char *address, const void *body,
    size_t len, struct result *result)
{
	const struct h1_call_params params = {
	    .address = address,
	    .method = "POST",
	    .target = "/x",
	    .body = body,
	    .body_len = len,
	    .connect_timeout_us = 500L * US_PER_MS,
	    .max_reuse_us = IDLE_US,
	    .on_head = handle_result_head,
	    .on_data = handle_result_data,
	    .on_done = handle_result_done,
	    .context = result,
	};

	return h1_call_start(client, &params);
}

static void
call(struct h1_client *client, const char *address, struct result *result)
{
	start_call(client, address, "b", 1, result);
	run_until(&result->done);
}

static struct h1_client *
new_client(void)
{
	const struct h1_client_options options = {
	    .ack_timeout_us = ACK_TIMEOUT_US,
	    .idle_timeout_us = IDLE_US,
	};

	return h1_client_create(&loop, &options);
}

static void
end_client(struct h1_client *client)
{
	h1_client_destroy(client);
	script_stop();
}

#define OK_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

START_TEST(idle_connections_are_reused)
{
	const struct step steps[] = {
	    {.bytes = OK_RESPONSE}, {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};

	call(client, address, &first);
	ck_assert_int_eq(first.outcome.result, H1_COMPLETE);
	ck_assert_str_eq(buf_text(&first.body), "ok");
	call(client, address, &second);
	ck_assert(second.outcome.reused);
	ck_assert_int_eq(script.connections, 1);
	buf_reset(&first.body);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

/* Bytes after a whole response belong to no request, and could be taken for the
 * next response. */
START_TEST(bytes_after_a_response_prevent_reuse)
{
	const struct step steps[] = {
	    {.bytes = OK_RESPONSE OK_RESPONSE}, {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};

	call(client, address, &first);
	ck_assert_int_eq(first.outcome.result, H1_COMPLETE);
	ck_assert_str_eq(buf_text(&first.body), "ok");
	call(client, address, &second);
	ck_assert(!second.outcome.reused);
	ck_assert_int_eq(script.connections, 2);
	buf_reset(&first.body);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

START_TEST(bytes_on_an_idle_connection_prevent_reuse)
{
	const struct step steps[] = {
	    {.bytes = OK_RESPONSE}, {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};
	uv_buf_t late = uv_buf_init((char *)OK_RESPONSE, strlen(OK_RESPONSE));

	call(client, address, &first);
	uv_try_write((uv_stream_t *)script.connection, &late, 1);
	run_for_ms(20);
	call(client, address, &second);
	ck_assert(!second.outcome.reused);
	ck_assert_str_eq(buf_text(&second.body), "ok");
	buf_reset(&first.body);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

/* A duplicate response to an earlier request arrives before the response to the
 * current one. */
START_TEST(responses_to_other_requests_are_skipped)
{
	const struct step steps[] = {
	    {.bytes = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n"
		      "\r\nbad"
		      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 4\r\n"
		      "\r\ngood"},
	    {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result result = {.expected_id = "new"};
	struct result next = {0};

	call(client, address, &result);
	ck_assert_int_eq(result.outcome.result, H1_COMPLETE);
	ck_assert_int_eq(result.heads, 2);
	ck_assert_str_eq(buf_text(&result.body), "good");
	call(client, address, &next);
	ck_assert(!next.outcome.reused);
	buf_reset(&result.body);
	buf_reset(&next.body);
	end_client(client);
}
END_TEST

static void
check_outcome(const struct step *step, enum h1_result expected)
{
	const char *address = script_start(step, 1);
	struct h1_client *client = new_client();
	struct result result = {0};

	call(client, address, &result);
	ck_assert_int_eq(result.outcome.result, expected);
	ck_assert_int_eq(
	    result.outcome.fault != NULL, expected == H1_MALFORMED);
	buf_reset(&result.body);
	end_client(client);
}

START_TEST(truncated_responses_are_reported)
{
	static const char short_body[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
	static const char open_chunks[] =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
	static const char no_length[] = "HTTP/1.1 200 OK\r\n\r\nab";
	const struct step steps[] = {
	    {.bytes = short_body, .close = true},
	    {.bytes = open_chunks, .close = true},
	    {.bytes = "HTTP/1.1 2", .close = true},
	    {.close = true},
	    {.reset = true},
	    {.bytes = no_length, .reset = true},
	};

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++)
		check_outcome(&steps[i], H1_CONNECTION_LOST);
	/* After an orderly close, a response without a length is complete. */
	check_outcome(
	    &(struct step){.bytes = no_length, .close = true}, H1_COMPLETE);
}
END_TEST

START_TEST(body_ends_are_reported)
{
	static const struct {
		const char *response;
		enum h1_body_end body_end;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		H1_BODY_END_LENGTH},
	    {"HTTP/1.1 204 No Content\r\n\r\n", H1_BODY_END_LENGTH},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "0\r\n\r\n",
		H1_BODY_END_CHUNK},
	    {"HTTP/1.1 200 OK\r\n\r\nab", H1_BODY_END_CONNECTION},
	    {"HTTP/1.1 2", H1_BODY_END_UNKNOWN},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct step step = {
		    .bytes = cases[i].response, .close = true};
		const char *address = script_start(&step, 1);
		struct h1_client *client = new_client();
		struct result result = {0};

		call(client, address, &result);
		ck_assert_int_eq(result.outcome.body_end, cases[i].body_end);
		buf_reset(&result.body);
		end_client(client);
	}
}
END_TEST

START_TEST(malformed_responses_are_reported)
{
	const struct step steps[] = {
	    {.bytes = "\x16\x03\x01 what\r\n\r\n"},
	    {.bytes = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"},
	    {.bytes = "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok"},
	    {.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		      "2\r\nokXY0\r\n\r\n"},
	};

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++)
		check_outcome(&steps[i], H1_MALFORMED);
}
END_TEST

START_TEST(refused_connections_are_reported)
{
	struct h1_client *client;
	struct result result = {0};
	const struct step step = {0};
	char address[H1_ADDRESS_BYTES];

	snprintf(address, sizeof(address), "%s", script_start(&step, 1));
	script_stop();
	client = new_client();
	call(client, address, &result);
	ck_assert_int_eq(result.outcome.result, H1_CONNECT_FAILED);
	ck_assert(result.outcome.refused);
	h1_client_destroy(client);
	run_for_ms(5);
}
END_TEST

/* While a part of a request's body is unsent, the server would take the next
 * request for the rest of that body. */
START_TEST(a_response_before_the_body_is_sent_prevents_reuse)
{
	enum {
		LONG_BYTES = 32 << 20,
	};
	const struct step steps[] = {
	    {.bytes = OK_RESPONSE}, {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};
	char *body = xcalloc(1, LONG_BYTES);

	start_call(client, address, body, LONG_BYTES, &first);
	/* The peer stops reading once it has the head. */
	while (script.next == 0)
		uv_run(&loop, UV_RUN_NOWAIT);
	uv_read_stop((uv_stream_t *)script.connection);
	run_until(&first.done);
	ck_assert_int_eq(first.outcome.result, H1_COMPLETE);
	call(client, address, &second);
	ck_assert(!second.outcome.reused);
	free(body);
	buf_reset(&first.body);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

enum {
	UPLOAD_BYTES = 32 << 20,
	SETTLE_MS = 20,
};

/* Starts an upload to a peer that stops reading once it has the head, and waits
 * until the head of the response has arrived. The steps respond to it. */
static struct h1_call *
start_upload(
    struct h1_client *client, const char *address, struct result *result)
{
	int64_t until_us = clock_monotonic_us() + (int64_t)WAIT_MS * US_PER_MS;
	char *body = xcalloc(1, UPLOAD_BYTES);
	struct h1_call *started =
	    start_call(client, address, body, UPLOAD_BYTES, result);

	free(body);
	while (script.next == 0 && clock_monotonic_us() < until_us)
		uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(script.next, 1);
	uv_read_stop((uv_stream_t *)script.connection);
	run_for_ms(SETTLE_MS);
	ck_assert_int_eq(result->heads, 1);
	return started;
}

static void
end_upload(struct h1_client *client, struct result *result)
{
	buf_reset(&result->body);
	end_client(client);
}

#define NO_LENGTH "HTTP/1.1 200 OK\r\n\r\nab"

/* A write that fails takes the socket's error, and the reads after it find the
 * end of the connection. */
START_TEST(responses_reset_during_an_upload_are_incomplete)
{
	const struct step step = {.bytes = NO_LENGTH};
	const char *address = script_start(&step, 1);
	struct h1_client *client = new_client();
	struct result result = {0};
	struct h1_call *started = start_upload(client, address, &result);

	h1_call_pause(started);
	uv_tcp_close_reset(script.connection, handle_script_closed);
	run_for_ms(SETTLE_MS);
	h1_call_resume(started);
	run_until(&result.done);
	ck_assert_int_eq(result.outcome.result, H1_CONNECTION_LOST);
	ck_assert(result.outcome.reset);
	end_upload(client, &result);
}
END_TEST

/* A server that dies before it has got the whole request closes the connection
 * in order, and its kernel resets it when the rest of the request arrives. */
START_TEST(responses_reset_after_their_end_are_incomplete)
{
	const struct step step = {.bytes = NO_LENGTH};
	const char *address = script_start(&step, 1);
	struct h1_client *client = new_client();
	struct result result = {0};
	uv_shutdown_t shutdown;

	start_upload(client, address, &result);
	uv_shutdown(&shutdown, (uv_stream_t *)script.connection, NULL);
	run_for_ms(SETTLE_MS);
	ck_assert(!result.done);
	uv_close((uv_handle_t *)script.connection, handle_script_closed);
	run_until(&result.done);
	ck_assert_int_eq(result.outcome.result, H1_CONNECTION_LOST);
	ck_assert(result.outcome.reset);
	end_upload(client, &result);
}
END_TEST

START_TEST(responses_that_end_before_the_upload_are_complete)
{
	const struct step steps[STEPS_MAX] = {{.bytes = NO_LENGTH}};
	const char *address = script_start(steps, STEPS_MAX);
	struct h1_client *client = new_client();
	struct result result = {0};
	uv_shutdown_t shutdown;
	struct h1_call *started = start_upload(client, address, &result);

	uv_shutdown(&shutdown, (uv_stream_t *)script.connection, NULL);
	run_for_ms(SETTLE_MS);
	/* The end must not be read a second time. */
	h1_call_pause(started);
	h1_call_resume(started);
	run_for_ms(SETTLE_MS);
	ck_assert(!result.done);
	uv_read_start((uv_stream_t *)script.connection, handle_script_alloc,
	    handle_script_read);
	run_until(&result.done);
	ck_assert_int_eq(result.outcome.result, H1_COMPLETE);
	ck_assert_str_eq(buf_text(&result.body), "ab");
	run_for_ms(SETTLE_MS);
	/* What came with the head is not kept. */
	ck_assert_uint_ge(script.in.len + SCRIPT_READ_BYTES, UPLOAD_BYTES);
	end_upload(client, &result);
}
END_TEST

START_TEST(cancelled_calls_run_no_callback)
{
	const struct step steps[] = {{0}, {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};
	struct h1_call *started = start_call(client, address, "b", 1, &first);

	ck_assert(!h1_call_sent(started));
	while (script.next == 0)
		uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert(h1_call_sent(started));
	h1_call_cancel(started);
	run_for_ms(20);
	ck_assert(!first.done);
	call(client, address, &second);
	ck_assert(!second.outcome.reused);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

START_TEST(keep_alive_timeouts_of_servers_are_observed)
{
	const struct step steps[] = {
	    {.bytes = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
		      "Content-Length: 0\r\n\r\n"},
	    {.bytes = OK_RESPONSE}};
	const char *address = script_start(steps, 2);
	struct h1_client *client = new_client();
	struct result first = {0};
	struct result second = {0};

	call(client, address, &first);
	run_for_ms(700);
	call(client, address, &second);
	ck_assert(!second.outcome.reused);
	buf_reset(&first.body);
	buf_reset(&second.body);
	end_client(client);
}
END_TEST

/** Requests that the server under test has received. */
struct served {
	int requests;
	int closes; /**< calls of on_close */
	bool hold;  /**< do not respond */
	struct h1_exchange *exchange;
	char body[64];
	char target[64];
};

static struct served served;

static void
handle_close(void *context)
{
	(void)context;
	served.closes++;
	served.exchange = NULL;
}

static void
handle_request(void *context, struct h1_exchange *exchange)
{
	const struct buf *body = h1_exchange_body(exchange);

	(void)context;
	served.requests++;
	served.exchange = exchange;
	snprintf(served.body, sizeof(served.body), "%.*s", (int)body->len,
	    body->len > 0 ? (const char *)body->data : "");
	snprintf(served.target, sizeof(served.target), "%s",
	    (const char *)h1_exchange_head(exchange)->target.data);
	h1_exchange_on_close(exchange, handle_close, NULL);
	if (!served.hold)
		h1_respond(exchange, 200, NULL, "ok", 2);
}

static struct h1_server *
new_server(char address[H1_ADDRESS_BYTES])
{
	const struct h1_server_options options = {
	    .address = "127.0.0.1",
	    .limits =
		{
		    .max_header_bytes = 500,
		    .max_body_bytes = 1000,
		    .header_timeout_us = 300L * US_PER_MS,
		    .idle_timeout_us = 500L * US_PER_MS,
		},
	    .on_request = handle_request,
	};
	struct h1_server *server = h1_server_create(&loop, &options, NULL);

	memset(&served, 0, sizeof(served));
	ck_assert_ptr_nonnull(server);
	snprintf(
	    address, H1_ADDRESS_BYTES, "127.0.0.1:%d", h1_server_port(server));
	return server;
}

/** A raw connection to the server. */
struct raw {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct buf in;
	bool connected;
	bool ended;
	bool reset; /**< the connection ended with a reset */
	bool has_response;
};

static void
handle_raw_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct raw *raw = stream->data;

	if (len < 0) {
		raw->ended = true;
		raw->reset =
		    len != UV_EOF || !h1_socket_closed_in_order(&raw->tcp);
		uv_read_stop(stream);
		return;
	}
	buf_append(&raw->in, buffer->base, (size_t)len);
	raw->has_response = strstr(buf_text(&raw->in), "\r\n\r\n") != NULL;
}

static void
handle_raw_connected(uv_connect_t *request, int status)
{
	struct raw *raw = request->data;

	ck_assert_int_eq(status, 0);
	raw->connected = true;
	uv_read_start(
	    (uv_stream_t *)&raw->tcp, handle_script_alloc, handle_raw_read);
}

static void
raw_open(struct raw *raw, struct h1_server *server)
{
	struct sockaddr_in address;

	memset(raw, 0, sizeof(*raw));
	uv_ip4_addr("127.0.0.1", h1_server_port(server), &address);
	uv_tcp_init(&loop, &raw->tcp);
	raw->tcp.data = raw;
	raw->connect.data = raw;
	uv_tcp_connect(&raw->connect, &raw->tcp, (struct sockaddr *)&address,
	    handle_raw_connected);
	run_until(&raw->connected);
}

static void
raw_send(struct raw *raw, const char *text)
{
	uv_buf_t out = uv_buf_init((char *)text, (unsigned int)strlen(text));

	uv_try_write((uv_stream_t *)&raw->tcp, &out, 1);
}

static void
raw_close(struct raw *raw)
{
	uv_close((uv_handle_t *)&raw->tcp, NULL);
	run_for_ms(5);
	buf_reset(&raw->in);
}

static void
end_server(struct h1_server *server)
{
	h1_server_destroy(server);
	run_for_ms(5);
}

START_TEST(pipelined_requests_are_handled_in_order)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct raw raw;

	raw_open(&raw, server);
	raw_send(&raw,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "\r\nabcGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for_ms(50);
	ck_assert_int_eq(served.requests, 3);
	ck_assert_str_eq(served.target, "/3");
	raw_close(&raw);
	end_server(server);
}
END_TEST

/* The kernel completes connections, and takes requests on them, before the loop
 * accepts them. */
START_TEST(connections_opened_before_listening_ends_are_served)
{
	static const char request[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct http_caller callers[3]; /* don't run the loop */

	for (int i = 0; i < 3; i++) {
		ck_assert(
		    http_caller_open(&callers[i], h1_server_port(server)));
		ck_assert(
		    http_caller_send(&callers[i], request, strlen(request)));
	}
	h1_server_stop_listening(server);
	run_for_ms(50);
	ck_assert_int_eq(served.requests, 3);
	for (int i = 0; i < 3; i++)
		http_caller_close(&callers[i]);
	end_server(server);
}
END_TEST

START_TEST(caller_disconnects_are_reported)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct raw raw;

	served.hold = true;
	raw_open(&raw, server);
	raw_send(&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for_ms(20);
	ck_assert_int_eq(served.requests, 1);
	ck_assert_uint_eq(h1_server_open_exchanges(server), 1);
	raw_close(&raw);
	run_for_ms(20);
	ck_assert_int_eq(served.closes, 1);
	ck_assert_uint_eq(h1_server_open_exchanges(server), 0);
	end_server(server);
}
END_TEST

/* An aborted response must not end with the last chunk, by which the caller
 * would take it for a whole one. */
START_TEST(aborted_responses_are_incomplete)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct raw raw;

	served.hold = true;
	raw_open(&raw, server);
	raw_send(&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for_ms(20);
	h1_respond_begin(served.exchange, 200, NULL, -1);
	h1_respond_data(served.exchange, "abc", 3);
	h1_exchange_abort(served.exchange);
	run_until(&raw.ended);
	ck_assert_ptr_nonnull(strstr(buf_text(&raw.in), "3\r\nabc\r\n"));
	ck_assert_ptr_null(strstr(buf_text(&raw.in), "0\r\n\r\n"));
	raw_close(&raw);
	end_server(server);
}
END_TEST

/* Sends a request and responds with a body of unknown length, which is aborted
 * or ended. Leaves the received bytes in raw. */
static void
respond_without_length(struct raw *raw, const char *version, bool abort)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	char request[64];

	served.hold = true;
	raw_open(raw, server);
	snprintf(
	    request, sizeof(request), "GET /1 %s\r\nHost: h\r\n\r\n", version);
	raw_send(raw, request);
	run_for_ms(20);
	h1_respond_begin(served.exchange, 200, NULL, H1_LENGTH_CHUNKED);
	h1_respond_data(served.exchange, "abc", 3);
	if (abort)
		h1_exchange_abort(served.exchange);
	else
		h1_respond_end(served.exchange);
	run_for_ms(20);
	end_server(server);
}

START_TEST(callers_of_http_1_0_get_no_chunks)
{
	struct raw raw;

	respond_without_length(&raw, "HTTP/1.0", false);
	ck_assert_ptr_null(strstr(buf_text(&raw.in), "chunked"));
	ck_assert_ptr_nonnull(strstr(buf_text(&raw.in), "\r\n\r\nabc"));
	ck_assert(raw.ended && !raw.reset);
	raw_close(&raw);
	respond_without_length(&raw, "HTTP/1.0", true);
	ck_assert(raw.reset);
	raw_close(&raw);
	respond_without_length(&raw, "HTTP/1.1", false);
	ck_assert_ptr_nonnull(strstr(buf_text(&raw.in), "3\r\nabc\r\n0\r\n"));
	raw_close(&raw);
}
END_TEST

START_TEST(slow_heads_and_idle_connections_time_out)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct raw slow;
	struct raw idle;

	raw_open(&slow, server);
	raw_open(&idle, server);
	raw_send(&slow, "GET /1 HTTP/1.1\r\nHo");
	run_until(&slow.has_response);
	ck_assert_ptr_nonnull(strstr(buf_text(&slow.in), " 408 "));
	run_until(&idle.ended);
	ck_assert_uint_eq(idle.in.len, 0);
	raw_close(&slow);
	raw_close(&idle);
	end_server(server);
}
END_TEST

START_TEST(a_draining_server_closes_after_its_responses)
{
	char address[H1_ADDRESS_BYTES];
	struct h1_server *server = new_server(address);
	struct raw raw;

	raw_open(&raw, server);
	h1_server_drain(server, 400L * US_PER_MS);
	raw_send(&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_until(&raw.ended);
	ck_assert_int_eq(served.requests, 1);
	ck_assert_ptr_nonnull(strstr(buf_text(&raw.in), "Connection: close"));
	raw_close(&raw);
	end_server(server);
}
END_TEST

START_TEST(fields_keep_their_order_and_spelling)
{
	struct h1_headers from = {0};
	struct h1_headers to = {0};
	char value[16];

	h1_headers_add(&from, "X-One", "1");
	h1_headers_add(&from, "Connection", "keep-alive, X-Hop");
	h1_headers_add(&from, "x-hop", "gone");
	h1_headers_add(&from, "Cookie", "a=b; Affinity-Key=17; c=d");
	h1_headers_add(&from, "X-One", "2");
	h1_headers_add(&from, "Content-Length", "5");
	h1_headers_copy_end_to_end(&from, &to);
	ck_assert_uint_eq(to.count, 3);
	ck_assert_str_eq(h1_headers_name(&to, 0), "X-One");
	ck_assert_str_eq(h1_headers_value(&to, 2), "2");
	ck_assert_uint_eq(h1_headers_count(&to, "x-one"), 2);
	ck_assert_str_eq(
	    h1_headers_cookie(&from, "Affinity-Key", value, sizeof(value)),
	    "17");
	ck_assert_ptr_null(
	    h1_headers_cookie(&from, "Affinity", value, sizeof(value)));
	ck_assert(h1_headers_has_token(&from, "connection", "x-hop"));
	ck_assert(!h1_headers_has_token(&from, "connection", "hop"));
	h1_headers_reset(&from);
	h1_headers_reset(&to);
}
END_TEST

START_TEST(tokens_are_recognized)
{
	ck_assert(h1_is_token("a", 1));
	ck_assert(h1_is_token("X!#$%&'*+-.^_`|~9", 17));
	ck_assert(!h1_is_token("", 0));
	ck_assert(!h1_is_token("a b", 3));
	ck_assert(!h1_is_token("a\0b", 3));
	ck_assert(!h1_is_token("a\tb", 3));
	ck_assert(!h1_is_token("a:", 2));
	ck_assert(!h1_is_token("\344", 1));
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    idle_connections_are_reused,
	    bytes_after_a_response_prevent_reuse,
	    bytes_on_an_idle_connection_prevent_reuse,
	    responses_to_other_requests_are_skipped,
	    truncated_responses_are_reported,
	    body_ends_are_reported,
	    malformed_responses_are_reported,
	    refused_connections_are_reported,
	    a_response_before_the_body_is_sent_prevents_reuse,
	    responses_reset_during_an_upload_are_incomplete,
	    responses_reset_after_their_end_are_incomplete,
	    responses_that_end_before_the_upload_are_complete,
	    cancelled_calls_run_no_callback,
	    keep_alive_timeouts_of_servers_are_observed,
	    pipelined_requests_are_handled_in_order,
	    connections_opened_before_listening_ends_are_served,
	    caller_disconnects_are_reported,
	    aborted_responses_are_incomplete,
	    callers_of_http_1_0_get_no_chunks,
	    slow_heads_and_idle_connections_time_out,
	    a_draining_server_closes_after_its_responses,
	    fields_keep_their_order_and_spelling,
	    tokens_are_recognized,
	};
	int status;

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	status = run_tests("h1", tests, sizeof(tests) / sizeof(tests[0]));
	uv_loop_close(&loop);
	return status;
}
