#include <check.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/buf.h"
#include "plog/plog.h"
#include "standins/programs.h"
#include "tests/runner.h"

/** A stand-in that is its own client, and the last answer. */
struct fixture {
	struct standin standin;
	bool done;
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
handle_answer(void *context, const struct http_response *answer)
{
	struct fixture *fixture = context;

	fixture->done = true;
	fixture->result = answer->result;
	fixture->status = answer->status;
	fixture->body.len = 0;
	buf_append(&fixture->body, answer->body, answer->body_len);
}

static struct http_call *
start(struct fixture *fixture, enum http_method method, const char *path,
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
	    fixture->standin.net, &params, handle_answer, fixture);
}

static int
call(struct fixture *fixture, enum http_method method, const char *path,
    const char *body)
{
	start(fixture, method, path, body);
	while (!fixture->done)
		uv_run(&fixture->standin.loop, UV_RUN_ONCE);
	return fixture->result == HTTP_RESULT_OK ? fixture->status : 0;
}

static json_int_t
number(struct fixture *fixture, const char *name)
{
	json_t *root = json_loads(buf_text(&fixture->body), 0, NULL);
	json_int_t value = -1;

	if (json_is_integer(json_object_get(root, name)))
		value = json_integer_value(json_object_get(root, name));
	json_decref(root);
	return value;
}

static json_int_t
stat_of(struct fixture *fixture, const char *name)
{
	ck_assert_int_eq(call(fixture, HTTP_GET, "/stats", NULL), 200);
	return number(fixture, name);
}

static json_int_t
runs(struct fixture *fixture, const char *tool)
{
	char path[128];

	snprintf(path, sizeof(path), "/runs?tool=%s&key=k", tool);
	ck_assert_int_eq(call(fixture, HTTP_GET, path, NULL), 200);
	return number(fixture, "runs");
}

static void
fault(struct fixture *fixture, const char *orders)
{
	ck_assert_int_eq(call(fixture, HTTP_POST, "/faults", orders), 200);
}

/* ---- faults that all stand-ins have ---- */

START_TEST(a_dropped_request_has_no_effect_and_a_lost_reply_has)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	fault(&fixture, "{\"drop_requests\":1}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 0);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECTION_LOST);
	ck_assert_int_eq(runs(&fixture, "t"), 0);
	fault(&fixture, "{\"lose_replies\":1}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 0);
	ck_assert_int_eq(fixture.result, HTTP_RESULT_CONNECTION_LOST);
	ck_assert_int_eq(runs(&fixture, "t"), 1);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	ck_assert_int_eq(number(&fixture, "runs"), 2);
	teardown(&fixture);
}
END_TEST

START_TEST(errors_and_outages_last_as_ordered)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	fault(&fixture, "{\"error_requests\":1,\"error_status\":418}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 418);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	fault(&fixture, "{\"outage_ms\":3600000}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 503);
	ck_assert_int_eq(call(&fixture, HTTP_DELETE, "/faults", NULL), 200);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/t", "{}"), 200);
	ck_assert_int_eq(runs(&fixture, "t"), 2);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/faults", "{\"no_such\":1}"), 400);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/faults", "{"), 400);
	teardown(&fixture);
}
END_TEST

START_TEST(a_fault_reaches_only_matching_paths)
{
	struct fixture fixture;

	setup(&fixture, &tool_program);
	fault(&fixture, "{\"drop_requests\":1,\"match_path\":\"/tools/a\"}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/b", "{}"), 200);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/a", "{}"), 0);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/tools/a", "{}"), 200);
	teardown(&fixture);
}
END_TEST

START_TEST(a_delayed_request_runs_though_its_caller_has_gone)
{
	struct fixture fixture;
	struct http_call *request;

	setup(&fixture, &tool_program);
	fault(&fixture, "{\"delay_ms\":100,\"match_path\":\"/tools\"}");
	request = start(&fixture, HTTP_POST, "/tools/t", "{}");
	while (net_open_exchanges(fixture.standin.net) == 0)
		uv_run(&fixture.standin.loop, UV_RUN_ONCE);
	http_call_cancel(request);
	while (runs(&fixture, "t") == 0)
		uv_run(&fixture.standin.loop, UV_RUN_ONCE);
	ck_assert_int_eq(runs(&fixture, "t"), 1);
	teardown(&fixture);
}
END_TEST

/* ---- log ---- */

/** What the log's client was told. */
struct told {
	bool done;
	enum plog_status status;
	uint64_t end;
	size_t count;
	uint8_t first_byte;
};

static void
handle_appended(void *context, enum plog_status status, uint64_t first_offset)
{
	struct told *told = context;

	told->done = true;
	told->status = status;
	told->end = first_offset;
}

static void
handle_read(void *context, const struct plog_read *read)
{
	struct told *told = context;

	told->done = true;
	told->status = read->status;
	told->end = read->end;
	told->count = read->count;
	if (read->count > 0)
		told->first_byte = read->records[0].data[0];
}

static void
wait_for(struct fixture *fixture, struct told *told)
{
	while (!told->done)
		uv_run(&fixture->standin.loop, UV_RUN_ONCE);
}

START_TEST(the_log_serves_its_client)
{
	const struct plog_record record = {.data = (uint8_t *)"x", .len = 1};
	struct counters counters = {0};
	struct told append = {0};
	struct told read = {0};
	struct fixture fixture;
	struct plog *plog;

	setup(&fixture, &log_program);
	plog = plog_create(fixture.standin.net, "127.0.0.1",
	    net_port(fixture.standin.net), &counters);
	plog_read(plog, "lane-1", 0, 100, 60000, handle_read, &read);
	while (stat_of(&fixture, "waiting_reads") == 0)
		;
	fault(&fixture, "{\"lose_replies\":1}");
	plog_append(plog, "lane-1", &record, 1, handle_appended, &append);
	wait_for(&fixture, &append);
	wait_for(&fixture, &read);
	ck_assert_int_eq(append.status, PLOG_UNKNOWN);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.count, 1);
	ck_assert_int_eq(read.first_byte, 'x');
	append.done = false;
	plog_append(plog, "lane-1", &record, 1, handle_appended, &append);
	wait_for(&fixture, &append);
	ck_assert_int_eq(append.status, PLOG_OK);
	ck_assert_uint_eq(append.end, 1);
	plog_destroy(plog);
	teardown(&fixture);
}
END_TEST

START_TEST(the_log_refuses_malformed_batches)
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
	ck_assert_int_eq(stat_of(&fixture, "appends"), 0);
	teardown(&fixture);
}
END_TEST

/* ---- engine ---- */

static const char chat[] =
    "{\"model\":\"m\",\"program\":\"p\",\"attempt\":\"a\",\"stream\":true,"
    "\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":"
    "\"long enough to fill at least one block of the prefix cache\"}]}";

/* Joins the contents of a stream's events. */
static void
stream_text(struct fixture *fixture, struct buf *out)
{
	static const char mark[] = "\"delta\":{\"content\":\"";
	const char *at = buf_text(&fixture->body);

	while ((at = strstr(at, mark)) != NULL) {
		at += sizeof(mark) - 1;
		buf_append(out, at, strcspn(at, "\""));
	}
}

START_TEST(a_cut_stream_is_resumed_without_a_gap)
{
	struct buf whole = {0};
	struct buf parts = {0};
	struct fixture fixture;

	setup(&fixture, &engine_program);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", chat), 200);
	ck_assert_ptr_nonnull(strstr(buf_text(&fixture.body), "[DONE]"));
	stream_text(&fixture, &whole);
	ck_assert_uint_eq(whole.len, 32);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", chat), 409);
	teardown(&fixture);

	setup(&fixture, &engine_program);
	fault(&fixture, "{\"cut_requests\":1,\"cut_after_tokens\":3}");
	call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	ck_assert_ptr_null(strstr(buf_text(&fixture.body), "[DONE]"));
	stream_text(&fixture, &parts);
	ck_assert_uint_eq(parts.len, 12);
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/chat/completions",
			     "{\"resume_attempt\":\"a\",\"resume_from\":3,"
			     "\"stream\":true}"),
	    200);
	ck_assert_ptr_nonnull(strstr(buf_text(&fixture.body), "[DONE]"));
	stream_text(&fixture, &parts);
	ck_assert_str_eq(buf_text(&parts), buf_text(&whole));
	ck_assert_int_eq(stat_of(&fixture, "started"), 1);
	teardown(&fixture);
	buf_reset(&whole);
	buf_reset(&parts);
}
END_TEST

START_TEST(an_answer_that_was_begun_elsewhere_is_continued)
{
	char body[1024];
	char begun[17] = "";
	struct buf whole = {0};
	struct buf rest = {0};
	struct fixture fixture;

	setup(&fixture, &engine_program);
	call(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	stream_text(&fixture, &whole);
	ck_assert_uint_eq(whole.len, 32);
	memcpy(begun, whole.data, sizeof(begun) - 1);
	snprintf(body, sizeof(body),
	    "%.*s,{\"role\":\"assistant\",\"content\":\"%s\"}],"
	    "\"continue_final_message\":true}",
	    (int)strlen(chat) - 2, chat, begun);
	teardown(&fixture);

	setup(&fixture, &engine_program);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/chat/completions", body), 200);
	stream_text(&fixture, &rest);
	ck_assert_uint_eq(rest.len, 32);
	ck_assert_mem_eq(rest.data, whole.data + 16, 16);
	teardown(&fixture);
	buf_reset(&whole);
	buf_reset(&rest);
}
END_TEST

START_TEST(a_stalled_request_is_cancelled_and_its_memory_released)
{
	struct fixture fixture;
	struct http_call *request;

	setup(&fixture, &engine_program);
	fault(&fixture, "{\"stall_requests\":1,\"stall_after_tokens\":2}");
	request = start(&fixture, HTTP_POST, "/v1/chat/completions", chat);
	while (stat_of(&fixture, "generated_tokens") < 3)
		;
	http_call_cancel(request);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/programs/ended", "{\"program\":\"p\"}"),
	    200);
	ck_assert_int_gt(stat_of(&fixture, "kv_held_by_ended_tokens"), 0);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/kv/release", "{\"program\":\"p\"}"),
	    200);
	ck_assert_int_eq(stat_of(&fixture, "kv_held_by_ended_tokens"), 0);
	ck_assert_int_gt(stat_of(&fixture, "kv_cached_tokens"), 0);
	ck_assert_int_eq(
	    call(&fixture, HTTP_POST, "/v1/cancel", "{\"attempt\":\"a\"}"),
	    200);
	ck_assert_int_eq(stat_of(&fixture, "kv_cached_tokens"), 0);
	ck_assert_int_eq(stat_of(&fixture, "cancelled"), 1);
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
	ck_assert_int_gt(number(&fixture, "tokens"), 0);
	call(&fixture, HTTP_POST, "/v1/kv/release", "{\"program\":\"p\"}");
	ck_assert_int_eq(call(&fixture, HTTP_POST, "/v1/kv/import", body), 409);
	teardown(&fixture);
}
END_TEST

START_TEST(an_old_order_is_refused_when_fencing_is_checked)
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
	    a_dropped_request_has_no_effect_and_a_lost_reply_has,
	    errors_and_outages_last_as_ordered,
	    a_fault_reaches_only_matching_paths,
	    a_delayed_request_runs_though_its_caller_has_gone,
	    the_log_serves_its_client,
	    the_log_refuses_malformed_batches,
	    a_cut_stream_is_resumed_without_a_gap,
	    an_answer_that_was_begun_elsewhere_is_continued,
	    a_stalled_request_is_cancelled_and_its_memory_released,
	    kv_is_exported_and_imported,
	    an_old_order_is_refused_when_fencing_is_checked,
	};

	return run_tests(
	    "standins_http", tests, sizeof(tests) / sizeof(tests[0]));
}
