#include <check.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "daemon/attempt.h"
#include "daemon/cache_events.h"
#include "standins/engine_telemetry.h"
#include "tests/runner.h"

START_TEST(names_cannot_add_members_to_the_engines_request)
{
	const char *adapter = "x\",\"max_tokens\":100000,\"y\":\"";
	struct buf prompt = {0};
	struct buf body = {0};
	struct attempt_params params = {
	    .id = "a-1",
	    .program = "p-1",
	    .model = "draft\"1",
	    .adapter = adapter,
	    .prompt = &prompt,
	    .partial = "said \"so\"",
	    .max_tokens = 7,
	    .priority = 3,
	};
	json_t *root;

	buf_append_text(&prompt, "{\"role\":\"user\",\"content\":\"go\"}");
	attempt_write_body(&params, &body);
	root = json_loadb(
	    (const char *)body.data, body.len, JSON_REJECT_DUPLICATES, NULL);
	ck_assert_ptr_nonnull(root);
	ck_assert_str_eq(
	    json_string_value(json_object_get(root, "adapter")), adapter);
	ck_assert_str_eq(
	    json_string_value(json_object_get(root, "model")), "draft\"1");
	ck_assert_int_eq(
	    json_integer_value(json_object_get(root, "max_tokens")), 7);
	ck_assert_uint_eq(
	    json_array_size(json_object_get(root, "messages")), 2);
	ck_assert_ptr_null(json_object_get(root, "y"));
	json_decref(root);
	buf_reset(&body);
	buf_reset(&prompt);
}
END_TEST

/** Numbers of the events that the daemon read. */
struct events_read {
	json_int_t numbers[8];
	size_t count;
};

static void
handle_event(void *context, json_t *event)
{
	struct events_read *read = context;

	ck_assert_uint_lt(read->count, 8);
	read->numbers[read->count++] =
	    json_integer_value(json_object_get(event, "number"));
}

/* Polls an engine once, as the daemon and standin-engine do over HTTP. */
static void
poll_events(struct cache_event_reader *reader,
    struct engine_telemetry *telemetry, struct events_read *read)
{
	char target[64];
	uint64_t since;
	json_t *response;

	cache_events_target(reader, target, sizeof(target));
	ck_assert_int_eq(
	    sscanf(target, "/v1/events?since=%" SCNu64, &since), 1);
	response = engine_telemetry_events(telemetry, since, 0);
	cache_events_read(reader, response, handle_event, read);
	json_decref(response);
}

START_TEST(each_cache_event_is_read_once)
{
	const struct engine_telemetry_options options = {0};
	struct cache_event_reader reader = {0};
	struct events_read read = {0};
	struct engine_telemetry *telemetry = engine_telemetry_create(&options);

	for (int i = 0; i < 3; i++) {
		engine_telemetry_add_event(telemetry, "stored", "p", 1, 1, 0);
		poll_events(&reader, telemetry, &read);
	}
	poll_events(&reader, telemetry, &read);
	ck_assert_uint_eq(read.count, 3);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(read.numbers[i], i + 1);
	engine_telemetry_destroy(telemetry);
	/* The engine restarts. */
	telemetry = engine_telemetry_create(&options);
	engine_telemetry_add_event(telemetry, "cleared", "", 0, 0, 0);
	poll_events(&reader, telemetry, &read);
	poll_events(&reader, telemetry, &read);
	ck_assert_uint_eq(read.count, 4);
	ck_assert_int_eq(read.numbers[3], 1);
	engine_telemetry_destroy(telemetry);
}
END_TEST

/** An engine that streams pieces at a fixed pace, and an attempt at it. */
struct stream {
	uv_loop_t loop;
	struct net *net;
	struct http_exchange *exchange; /**< NULL: not open */
	uv_timer_t timer;
	const char *const *pieces; /**< ends with NULL; then [DONE] is sent */
	bool repeats;              /**< sends the first piece without end */
	bool ended;
	enum sched_result result;
};

enum {
	PIECE_MS = 20,
	IDLE_MS = 60,        /* longest time without progress */
	STREAM_END_MS = 600, /* by which a stalled stream must have ended */
};

#define EVENT "data: {\"id\":\"a-1\",\"choices\":[]}\n\n"

static void
handle_stream_closed(void *context)
{
	struct stream *stream = context;

	stream->exchange = NULL;
	uv_timer_stop(&stream->timer);
}

static void
handle_piece_timer(uv_timer_t *timer)
{
	struct stream *stream = timer->data;
	const char *piece = *stream->pieces;

	if (piece == NULL) {
		http_stream_write(stream->exchange, "data: [DONE]\n\n", 14);
		http_stream_end(stream->exchange);
		handle_stream_closed(stream);
		return;
	}
	http_stream_write(stream->exchange, piece, strlen(piece));
	if (!stream->repeats)
		stream->pieces++;
}

static void
handle_engine_request(void *context, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct stream *stream = context;

	(void)request;
	stream->exchange = exchange;
	http_exchange_on_close(exchange, handle_stream_closed, stream);
	http_stream_begin(exchange, 200, "text/event-stream", NULL);
	uv_timer_start(&stream->timer, handle_piece_timer, PIECE_MS, PIECE_MS);
}

static void
ignore_text(void *context, const char *text)
{
	(void)context;
	(void)text;
}

static void
handle_attempt_end(void *context, enum sched_result result, int status,
    const char *finish_reason, const struct attempt_usage *usage)
{
	struct stream *stream = context;

	(void)status;
	(void)finish_reason;
	(void)usage;
	stream->ended = true;
	stream->result = result;
}

/* Runs an attempt at an engine that sends the pieces, and returns its result.
 */
static enum sched_result
run_stream(const char *const *pieces, bool repeats)
{
	struct stream stream = {.pieces = pieces, .repeats = repeats};
	const struct net_options options = {
	    .listen_address = "127.0.0.1",
	    .max_body_bytes = 1 << 20,
	    .handler = handle_engine_request,
	    .handler_context = &stream,
	};
	const struct attempt_callbacks callbacks = {
	    .on_text = ignore_text,
	    .on_end = handle_attempt_end,
	    .context = &stream,
	};
	struct config_server server = {.address = "127.0.0.1"};
	struct buf prompt = {0};
	const struct attempt_params params = {
	    .server = &server,
	    .id = "a-1",
	    .program = "p-1",
	    .model = "m",
	    .adapter = "",
	    .prompt = &prompt,
	    .idle_timeout_us = (int64_t)IDLE_MS * US_PER_MS,
	};
	struct error err = {0};
	int64_t started_us;

	uv_loop_init(&stream.loop);
	uv_timer_init(&stream.loop, &stream.timer);
	stream.timer.data = &stream;
	stream.net = net_create(&stream.loop, &options, &err);
	ck_assert_msg(stream.net != NULL, "%s", err.text);
	server.port = net_port(stream.net);
	started_us = clock_monotonic_us();
	attempt_start(stream.net, &params, &callbacks);
	while (!stream.ended &&
	    clock_monotonic_us() - started_us <
		(int64_t)STREAM_END_MS * US_PER_MS)
		uv_run(&stream.loop, UV_RUN_ONCE);
	ck_assert_msg(stream.ended, "the attempt does not end");
	uv_close((uv_handle_t *)&stream.timer, NULL);
	net_destroy(stream.net);
	uv_run(&stream.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&stream.loop), 0);
	return stream.result;
}

START_TEST(slow_streams_are_not_cut)
{
	/* Longer than the longest time without progress in all. */
	static const char *const events[] = {
	    EVENT, EVENT, EVENT, EVENT, EVENT, EVENT, EVENT, EVENT, NULL};
	static const char *const waiting[] = {
	    ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", EVENT, NULL};

	ck_assert_int_eq(run_stream(events, false), SCHED_DONE);
	ck_assert_int_eq(run_stream(waiting, false), SCHED_DONE);
}
END_TEST

START_TEST(streams_that_send_bytes_but_no_events_end)
{
	static const char *const bytes[] = {"x", NULL};
	static const char *const comments[] = {":\n\n", NULL};

	ck_assert_int_eq(run_stream(bytes, true), SCHED_TIMED_OUT);
	ck_assert_int_eq(run_stream(comments, true), SCHED_TIMED_OUT);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    names_cannot_add_members_to_the_engines_request,
	    each_cache_event_is_read_once,
	    slow_streams_are_not_cut,
	    streams_that_send_bytes_but_no_events_end,
	};

	return run_tests("daemon", tests, sizeof(tests) / sizeof(tests[0]));
}
