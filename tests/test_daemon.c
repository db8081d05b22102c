#include <check.h>
#include <jansson.h>
#include <string.h>

#include "daemon/attempt.h"
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

int
main(void)
{
	const TTest *tests[] = {
	    names_cannot_add_members_to_the_engines_request,
	};

	return run_tests("daemon", tests, sizeof(tests) / sizeof(tests[0]));
}
