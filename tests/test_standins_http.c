#include <check.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/buf.h"
#include "plog/plog.h"
#include "standins/programs.h"
#include "tests/runner.h"

/** A stand-in that also sends requests to itself, and the last response. */
struct fixture {
	struct standin standin;
	bool done; /**< whether the response was received */
	enum http_result result;
	int status;
	struct buf body;
};

static void
setup(struct fixture *fixture, const struct standin_program *program)
{
	struct error err = {0};

	memset(fixture, 0, sizeof(*fixture));
	fixture->standin.seed = 1;
	ck_assert_msg(
	    standin_open(&fixture->standin, program, &err), "%s", err.text);
}

static void
teardown(struct fixture *fixture)
{
	standin_close(&fixture->standin);
	buf_reset(&fixture->body);
}

static void
handle_response(void *context, const struct http_response *response)
{
	struct fixture *fixture = context;

	fixture->done = true;
	fixture->result = response->result;
	fixture->status = response->status;
	fixture->body.len = 0;
	buf_append(&fixture->body, response->body, response->body_len);
}

static struct http_call *
start_call(struct fixture *fixture, enum http_method method, const char *path,
    const char *body)
{
	static const struct http_header headers[] = {
	    {"idempotency-key", "k"},
	    {NULL, NULL},
	};
	struct http_call_params params = {
	    .address = "127.0.0.1",
	    .port = net_port(fixture->standin.net),
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .body = body,
	    .body_len = body != NULL ? strlen(body) : 0,
	};

	fixture->done = false;
	return http_fetch(
	    fixture->standin.net, &params, handle_response, fixture);
}

static int
call(struct fixture *fixture, enum http_method method, const char *path,
    const char *body)
{
	start_call(fixture, method, path, body);
	while (!fixture->done)
		uv_run(&fixture->standin.loop, UV_RUN_ONCE);
	return fixture->result == HTTP_RESULT_OK ? fixture->status : 0;
}

static json_int_t
response_number(struct fixture *fixture, const char *name)
{
	json_t *root = json_loads(buf_text(&fixture->body), 0, NULL);
	json_int_t value = -1;

	if (json_is_integer(json_object_get(root, name)))
		value = json_integer_value(json_object_get(root, name));
	json_decref(root);
	return value;
}

static json_int_t
get_stat(struct fixture *fixture, const char *name)
{
	ck_assert_int_eq(call(fixture, HTTP_GET, "/stats", NULL), 200);
	return response_number(fixture, name);
}

static json_int_t
count_runs(struct fixture *fixture, const char *tool)
{
	char path[128];

	snprintf(path, sizeof(path), "/runs?tool=%s&key=k", tool);
	ck_assert_int_eq(call(fixture, HTTP_GET, path, NULL), 200);
	return response_number(fixture, "runs");
}

static void
set_faults(struct fixture *fixture, const char *faults)
{
	ck_assert_int_eq(call(fixture, HTTP_POST, "/faults", faults), 200);
}

START_TEST(dropped_request_is_not_executed_and_lost_reply_is)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	set_faults(&fixture, "{\"drop_requests\":1}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 0);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECTION_LOST);
	ck_assert_int_eq(count_runs(&fixture, "t"), 0);
	set_faults(&fixture, "{\"lose_replies\":1}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 0);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECTION_LOST);
	ck_assert_int_eq(count_runs(&fixture, "t"), 1);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	ck_assert_int_eq(response_number(&fixture, "runs"), 2);
	teardown(&fixture);
}
END_TEST

START_TEST(errors_and_outages_last_as_set)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	set_faults(&fixture, "{\"error_requests\":1,\"error_status\":418}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 418);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	set_faults(&fixture, "{\"outage_ms\":3600000}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 503);
	ck_assert_int_eq(call(&fixture, HTTP_DELETE, "/faults", NULL), 200);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	ck_assert_int_eq(count_runs(&fixture, "t"), 2);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/faults", "{\"no_such\":1}"), 400);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/faults", "{"), 400);
	teardown(&fixture);
}
END_TEST

START_TEST(fault_applies_only_to_matching_paths)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	set_faults(
	    &fixture, "{\"drop_requests\":1,\"match_path\":\"/tools/a\"}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/b", "{}"), 200);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/a", "{}"), 0);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/a", "{}"), 200);
	teardown(&fixture);
}
END_TEST

START_TEST(delayed_request_runs_after_caller_disconnects)
{
	struct fixture fixture;
	struct http_call *request;

	setup(&fixture, &tool_program);
	set_faults(&fixture, "{\"delay_ms\":100,\"match_path\":\"/tools\"}");
	request = start_call(&fixture, HTTP_POST, "/tools/t", "{}");
	while (net_open_exchanges(fixture.standin.net) == 0)
		uv_run(&fixture.standin.loop, UV_RUN_ONCE);
	http_call_cancel(request);
	while (count_runs(&fixture, "t") == 0)
		uv_run(&fixture.standin.loop, UV_RUN_ONCE);
	ck_assert_int_eq(count_runs(&fixture, "t"), 1);
	teardown(&fixture);
}
END_TEST

/** Result of an append to the log, or of a read from it. */
struct log_result {
	bool done;
	enum plog_status status;
	uint64_t offset;    /**< end of a read, or first offset of an append */
	size_t count;       /**< number of records read */
	uint8_t first_byte; /**< first byte of the first record read */
};

static void
handle_appended(void *context, enum plog_status status, uint64_t first_offset)
{
	struct log_result *result = context;

	result->done = true;
	result->status = status;
	result->offset = first_offset;
}

static void
handle_read(void *context, const struct plog_read *read)
{
	struct log_result *result = context;

	result->done = true;
	result->status = read->status;
	result->offset = read->end_offset;
	result->count = read->count;
	if (read->count > 0)
		result->first_byte = read->records[0].data[0];
}

static void
wait_for_result(struct fixture *fixture, struct log_result *result)
{
	while (!result->done)
		uv_run(&fixture->standin.loop, UV_RUN_ONCE);
}

START_TEST(log_wakes_waiting_read_and_survives_lost_reply)
{
	const struct plog_record record = {.data = (uint8_t *)"x", .len = 1};
	struct counters counters = {0};
	struct log_result append = {0};
	struct log_result read = {0};
	struct fixture fixture;
	struct plog *plog;

	setup(&fixture, &log_program);
	plog = plog_create(fixture.standin.net, "127.0.0.1",
	    net_port(fixture.standin.net), &counters);
	plog_read(plog, "lane-1", 0, 100, 60000, handle_read, &read);
	while (get_stat(&fixture, "waiting_reads") == 0)
		;
	set_faults(&fixture, "{\"lose_replies\":1}");
	plog_append(plog, "lane-1", &record, 1, handle_appended, &append);
	wait_for_result(&fixture, &append);
	wait_for_result(&fixture, &read);
	ck_assert_int_eq(append.status, PLOG_UNKNOWN);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.count, 1);
	ck_assert_int_eq(read.first_byte, 'x');
	append.done = false;
	plog_append(plog, "lane-1", &record, 1, handle_appended, &append);
	wait_for_result(&fixture, &append);
	ck_assert_int_eq(append.status, PLOG_OK);
	ck_assert_uint_eq(append.offset, 1);
	plog_destroy(plog);
	teardown(&fixture);
}
END_TEST

START_TEST(log_refuses_malformed_batches)
{
	struct fixture fixture;

	setup(&fixture, &log_program);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/streams/s/records",
			     "\xdd\xff\xff\xff\xff"),
	    400);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/streams/s/records", "\x91\x01"),
	    400);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/streams/a/b/records", "\x90"), 404);
	ck_assert_int_eq(get_stat(&fixture, "appends"), 0);
	teardown(&fixture);
}
END_TEST

static const char chat[] =
    "{\"model\":\"m\",\"program\":\"p\",\"attempt\":\"a\",\"stream\":true,"
    "\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":"
    "\"long enough to fill at least one block of the prefix cache\"}]}";

/* Appends the contents of the last response's events, joined. */
static void
append_stream_text(struct fixture *fixture, struct buf *out)
{
	static const char marker[] = "\"delta\":{\"content\":\"";
	const char *position = buf_text(&fixture->body);

	while ((position = strstr(position, marker)) != NULL) {
		position += sizeof(marker) - 1;
		buf_append(out, position, strcspn(position, "\""));
	}
}

START_TEST(interrupted_stream_resumes_without_gap)
{
	struct buf whole = {0};
	struct buf parts = {0};
	struct fixture fixture;

	setup(&fixture, &engine_program);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", chat), 200);
	ck_assert_ptr_nonnull(strstr(buf_text(&fixture.body), "[DONE]"));
	append_stream_text(&fixture, &whole);
	ck_assert_uint_eq(whole.len, 32);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", chat), 409);
	teardown(&fixture);

	setup(&fixture, &engine_program);
	set_faults(&fixture, "{\"cut_requests\":1,\"cut_after_tokens\":3}");
	call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	ck_assert_ptr_null(strstr(buf_text(&fixture.body), "[DONE]"));
	append_stream_text(&fixture, &parts);
	ck_assert_uint_eq(parts.len, 12);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/chat/completions",
			     "{\"resume_attempt\":\"a\",\"resume_from\":3,"
			     "\"stream\":true}"),
	    200);
	ck_assert_ptr_nonnull(strstr(buf_text(&fixture.body), "[DONE]"));
	append_stream_text(&fixture, &parts);
	ck_assert_str_eq(buf_text(&parts), buf_text(&whole));
	ck_assert_int_eq(get_stat(&fixture, "started"), 1);
	teardown(&fixture);
	buf_reset(&whole);
	buf_reset(&parts);
}
END_TEST

START_TEST(answer_begun_on_other_engine_is_continued)
{
	char body[1024];
	char answer_start[17] = "";
	struct buf whole = {0};
	struct buf rest = {0};
	struct fixture fixture;

	setup(&fixture, &engine_program);
	call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	append_stream_text(&fixture, &whole);
	ck_assert_uint_eq(whole.len, 32);
	memcpy(answer_start, whole.data, sizeof(answer_start) - 1);
	snprintf(body, sizeof(body),
	    "%.*s,{\"role\":\"assistant\",\"content\":\"%s\"}],"
	    "\"continue_final_message\":true}",
	    (int)strlen(chat) - 2, chat, answer_start);
	teardown(&fixture);

	setup(&fixture, &engine_program);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", body), 200);
	append_stream_text(&fixture, &rest);
	ck_assert_uint_eq(rest.len, 32);
	ck_assert_mem_eq(rest.data, whole.data + 16, 16);
	teardown(&fixture);
	buf_reset(&whole);
	buf_reset(&rest);
}
END_TEST

START_TEST(stalled_request_is_cancelled_and_kv_released)
{
	struct fixture fixture;
	struct http_call *request;

	setup(&fixture, &engine_program);
	set_faults(&fixture, "{\"stall_requests\":1,\"stall_after_tokens\":2}");
	request = start_call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	while (get_stat(&fixture, "generated_tokens") < 3)
		;
	http_call_cancel(request);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/programs/ended", "{\"program\":\"p\"}"),
	    200);
	ck_assert_int_gt(get_stat(&fixture, "kv_held_by_ended_tokens"), 0);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/kv/release", "{\"program\":\"p\"}"),
	    200);
	ck_assert_int_eq(get_stat(&fixture, "kv_held_by_ended_tokens"), 0);
	ck_assert_int_gt(get_stat(&fixture, "kv_cached_tokens"), 0);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/cancel", "{\"attempt\":\"a\"}"),
	    200);
	ck_assert_int_eq(get_stat(&fixture, "kv_cached_tokens"), 0);
	ck_assert_int_eq(get_stat(&fixture, "cancelled"), 1);
	teardown(&fixture);
}
END_TEST

START_TEST(kv_is_exported_and_imported)
{
	char body[256];
	char *handle;
	json_t *root;
	struct fixture fixture;

	setup(&fixture, &engine_program);
	call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/kv/export", "{\"program\":\"p\"}"),
	    200);
	root = json_loads(buf_text(&fixture.body), 0, NULL);
	ck_assert_int_eq(json_unpack(root, "{s:s}", "handle", &handle), 0);
	snprintf(body, sizeof(body), "{\"program\":\"q\",\"handle\":\"%s\"}",
	    handle);
	json_decref(root);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/kv/import", body), 200);
	call(&fixture, HTTP_GET, "/v1/kv?program=q", NULL);
	ck_assert_int_gt(response_number(&fixture, "tokens"), 0);
	call(&fixture, HTTP_POST, "/v1/kv/release", "{\"program\":\"p\"}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/kv/import", body), 409);
	teardown(&fixture);
}
END_TEST

START_TEST(order_with_older_fencing_is_refused)
{
	struct fixture fixture;

	setup(&fixture, &engine_program);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/orders",
			     "{\"order\":\"set_role\",\"role\":\"decode\","
			     "\"fencing\":5}"),
	    200);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/orders",
			     "{\"order\":\"set_role\",\"role\":\"prefill\","
			     "\"fencing\":4}"),
	    409);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/orders",
			     "{\"order\":\"set_role\",\"fencing\":5}"),
	    400);
	call(&fixture, HTTP_GET, "/v1/state", NULL);
	ck_assert_ptr_nonnull(
	    strstr(buf_text(&fixture.body), "\"role\":\"decode\""));
	teardown(&fixture);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    dropped_request_is_not_executed_and_lost_reply_is,
	    errors_and_outages_last_as_set,
	    fault_applies_only_to_matching_paths,
	    delayed_request_runs_after_caller_disconnects,
	    log_wakes_waiting_read_and_survives_lost_reply,
	    log_refuses_malformed_batches,
	    interrupted_stream_resumes_without_gap,
	    answer_begun_on_other_engine_is_continued,
	    stalled_request_is_cancelled_and_kv_released,
	    kv_is_exported_and_imported,
	    order_with_older_fencing_is_refused,
	};

	return run_tests(
	    "standins_http", tests, sizeof(tests) / sizeof(tests[0]));
}
