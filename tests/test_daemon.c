#include <check.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

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

int
main(void)
{
	const TTest *tests[] = {
	    names_cannot_add_members_to_the_engines_request,
	    each_cache_event_is_read_once,
	};

	return run_tests("daemon", tests, sizeof(tests) / sizeof(tests[0]));
}
