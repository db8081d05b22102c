#include <check.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/memory.h"
#include "config/fold.h"
#include "config/merge.h"
#include "plog/plog.h"
#include "tests/runner.h"

static struct record
patch_record(uint64_t id, uint64_t base, const char *text)
{
	struct record record = {.type = RECORD_CONFIG_PATCH, .id = id};

	record.config_patch.base = base;
	strcpy(record.config_patch.operator_name, "op");
	record.config_patch.patch.data = (const uint8_t *)text;
	record.config_patch.patch.len = strlen(text);
	return record;
}

static enum config_verdict
apply_next(
    struct config_fold *fold, uint64_t id, uint64_t base, const char *text)
{
	struct record record = patch_record(id, base, text);

	return config_fold_apply(fold, fold->next_offset, &record);
}

static char *
document_text(const struct config_fold *fold)
{
	return json_dumps(fold->document, JSON_COMPACT | JSON_SORT_KEYS);
}

static void
assert_document(const struct config_fold *fold, const char *expected)
{
	char *text = document_text(fold);

	ck_assert_str_eq(text, expected);
	free(text);
}

/* Examples of RFC 7396, appendix A, in which patch and target are objects. */
START_TEST(merge_patches_follow_the_rfc)
{
	static const char *const cases[][3] = {
	    {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	    {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
	    {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
	    {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
	    {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	    {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
	    {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
		"{\"a\":{\"b\":\"d\"}}"},
	    {"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
	    {"{\"e\":null}", "{\"a\":1}", "{\"a\":1,\"e\":null}"},
	    {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		json_t *target = json_loads(cases[i][0], 0, NULL);
		json_t *patch = json_loads(cases[i][1], 0, NULL);
		char *text;

		merge_apply(target, patch);
		text = json_dumps(target, JSON_COMPACT | JSON_SORT_KEYS);
		ck_assert_str_eq(text, cases[i][2]);
		free(text);
		json_decref(target);
		json_decref(patch);
	}
}
END_TEST

START_TEST(merge_diff_turns_one_object_into_the_other)
{
	json_t *from =
	    json_loads("{\"a\":{\"x\":1,\"y\":2},\"b\":[1]}", 0, NULL);
	json_t *to = json_loads("{\"a\":{\"y\":3},\"c\":{\"z\":1}}", 0, NULL);
	json_t *patch = merge_diff(from, to);
	json_t *conflicts = json_array();

	merge_conflicts(patch, patch, "", conflicts);
	ck_assert_uint_eq(json_array_size(conflicts), 4);
	merge_apply(from, patch);
	ck_assert(json_equal(from, to));
	json_decref(conflicts);
	json_decref(patch);
	json_decref(from);
	json_decref(to);
}
END_TEST

START_TEST(second_patch_on_same_base_is_stale)
{
	struct config_fold fold;

	config_fold_init(&fold);
	ck_assert_int_eq(apply_next(&fold, 1, 0, "{\"a\":1}"), CONFIG_ACCEPTED);
	ck_assert_int_eq(
	    apply_next(&fold, 2, 0, "{\"a\":2}"), CONFIG_STALE_BASE);
	ck_assert_int_eq(apply_next(&fold, 3, 1, "{\"b\":2}"), CONFIG_ACCEPTED);
	ck_assert_int_eq(
	    apply_next(&fold, 1, 0, "{\"a\":1}"), CONFIG_DUPLICATE);
	ck_assert_int_eq(
	    apply_next(&fold, 3, 1, "{\"b\":2}"), CONFIG_DUPLICATE);
	ck_assert_int_eq(
	    apply_next(&fold, 4, 3, "{\"b\":2}"), CONFIG_STALE_BASE);
	ck_assert_uint_eq(fold.version, 2);
	assert_document(&fold, "{\"a\":1,\"b\":2}");
	config_fold_reset(&fold);
}
END_TEST

START_TEST(malformed_patches_change_nothing)
{
	static const char *const bad[] = {"", "{", "[1]", "1", "null",
	    "{\"a\":1}x", "{\"a\":1,\"a\":2}", "{\"\xff\":1}", "{\"a\":1e999}"};
	struct config_fold fold;
	struct record record = patch_record(9, 0, "{}");

	config_fold_init(&fold);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(
		    apply_next(&fold, i, 0, bad[i]), CONFIG_MALFORMED);
	strcpy(record.config_patch.operator_name, "\xc3");
	ck_assert_int_eq(config_fold_apply(&fold, fold.next_offset, &record),
	    CONFIG_MALFORMED);
	ck_assert_int_eq(
	    config_fold_apply_encoded(&fold, fold.next_offset, "?", 1),
	    CONFIG_MALFORMED);
	ck_assert_uint_eq(fold.version, 0);
	ck_assert_int_eq(
	    apply_next(&fold, 1, 0, "{\"new\":{}}"), CONFIG_ACCEPTED);
	config_fold_reset(&fold);
}
END_TEST

/* Encodes a snapshot of a fold into wire and decodes it into record, which
 * points into wire. */
static void
encode_snapshot(
    const struct config_fold *fold, struct buf *wire, struct record *record)
{
	config_snapshot_encode(fold, 99, 5, wire);
	ck_assert(record_decode(wire->data, wire->len, record, NULL));
}

START_TEST(new_node_starts_from_snapshot_and_later_records)
{
	struct config_fold source;
	struct config_fold fresh;
	struct buf wire = {0};
	struct record snapshot;
	struct record before_snapshot = patch_record(4, 2, "{\"c\":3.5}");
	struct record after_snapshot = patch_record(5, 3, "{\"d\":null}");

	config_fold_init(&source);
	config_fold_init(&fresh);
	apply_next(&source, 1, 0, "{\"a\":{\"unknown\":[0.1]}}");
	apply_next(&source, 0xffffffffffffffff, 1, "{\"b\":1}");
	encode_snapshot(&source, &wire, &snapshot);
	/* The snapshot was taken at offset 2, but a patch is appended there
	 * first and the snapshot lands at 3. */
	ck_assert_int_eq(
	    config_fold_apply(&source, 2, &before_snapshot), CONFIG_ACCEPTED);
	ck_assert_int_eq(
	    config_fold_apply(&source, 3, &snapshot), CONFIG_IGNORED);
	ck_assert_uint_eq(source.snapshot_end_offset, 2);
	/* For the new node the oldest record in the log is the one at 2. */
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 2, &before_snapshot), CONFIG_IGNORED);
	ck_assert(!fresh.complete);
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 3, &snapshot), CONFIG_ADOPTED);
	ck_assert(fresh.complete);
	ck_assert_uint_eq(fresh.next_offset, 2);
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 2, &before_snapshot), CONFIG_ACCEPTED);
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 3, &snapshot), CONFIG_IGNORED);
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 4, &after_snapshot), CONFIG_ACCEPTED);
	ck_assert_int_eq(
	    config_fold_apply(&source, 4, &after_snapshot), CONFIG_ACCEPTED);
	assert_document(&source,
	    "{\"a\":{\"unknown\":[0.10000000000000001]},\"b\":1,\"c\":3.5}");
	ck_assert(json_equal(source.document, fresh.document));
	ck_assert_uint_eq(list_length(&fresh.versions), 4);
	ck_assert_ptr_nonnull(
	    config_fold_find_record(&fresh, 0xffffffffffffffff));
	config_fold_reset(&source);
	config_fold_reset(&fresh);
	buf_reset(&wire);
}
END_TEST

START_TEST(snapshot_followed_by_gap_is_ignored)
{
	struct config_fold source;
	struct config_fold fresh;
	struct buf wire = {0};
	struct record snapshot;

	config_fold_init(&source);
	config_fold_init(&fresh);
	apply_next(&source, 1, 0, "{\"a\":1}");
	encode_snapshot(&source, &wire, &snapshot);
	/* The records at 1 and 2, which may have been patches, are gone. */
	ck_assert_int_eq(
	    config_fold_apply(&fresh, 3, &snapshot), CONFIG_IGNORED);
	ck_assert(!fresh.complete);
	ck_assert_uint_eq(fresh.version, 0);
	/* A node that missed expired records keeps its state. */
	config_fold_set_oldest_offset(&source, 10);
	ck_assert(!source.complete);
	ck_assert_int_eq(
	    apply_next(&source, 2, 1, "{\"a\":2}"), CONFIG_IGNORED);
	assert_document(&source, "{\"a\":1}");
	config_fold_reset(&source);
	config_fold_reset(&fresh);
	buf_reset(&wire);
}
END_TEST

START_TEST(import_starts_an_empty_log)
{
	struct config_fold source;
	struct config_fold fold;
	struct buf wire = {0};
	struct record snapshot;
	json_t *first;

	config_fold_init(&source);
	config_fold_init(&fold);
	apply_next(&source, 1, 0, "{\"a\":1}");
	apply_next(&source, 2, 1, "{\"a\":2}");
	encode_snapshot(&source, &wire, &snapshot);
	ck_assert_int_eq(
	    config_fold_apply(&fold, 0, &snapshot), CONFIG_ADOPTED);
	ck_assert_uint_eq(fold.next_offset, 1);
	ck_assert_int_eq(
	    config_fold_apply(&fold, 1, &snapshot), CONFIG_IGNORED);
	ck_assert_int_eq(apply_next(&fold, 3, 2, "{\"b\":1}"), CONFIG_ACCEPTED);
	assert_document(&fold, "{\"a\":2,\"b\":1}");
	first = config_fold_document_at(&fold, 1);
	ck_assert_int_eq(json_integer_value(json_object_get(first, "a")), 1);
	ck_assert_ptr_null(config_fold_document_at(&fold, 4));
	json_decref(first);
	config_fold_reset(&source);
	config_fold_reset(&fold);
	buf_reset(&wire);
}
END_TEST

START_TEST(truncated_state_is_an_error)
{
	struct config_fold fold;
	struct config_fold decoded;
	struct buf state = {0};
	struct error err = {0};

	config_fold_init(&fold);
	config_fold_init(&decoded);
	apply_next(&fold, 1, 0, "{\"a\":1}");
	config_fold_encode(&fold, 0, &state);
	ck_assert(config_fold_decode(&decoded, state.data, state.len, &err));
	for (size_t len = 0; len < state.len; len++) {
		ck_assert(!config_fold_decode(&decoded, state.data, len, &err));
		ck_assert_uint_eq(decoded.version, 0);
	}
	ck_assert(!config_fold_decode(&decoded, "{}", 2, &err));
	config_fold_reset(&fold);
	config_fold_reset(&decoded);
	buf_reset(&state);
}
END_TEST

START_TEST(damaged_snapshot_is_malformed)
{
	struct config_fold fold;
	struct config_fold decoded;
	struct buf wire = {0};
	struct record snapshot;
	struct wire_bytes *state = &snapshot.config_snapshot.state;
	uint8_t *bytes;
	size_t len;

	config_fold_init(&fold);
	config_fold_init(&decoded);
	apply_next(&fold, 1, 0, "{\"a\":1}");
	encode_snapshot(&fold, &wire, &snapshot);
	len = state->len;
	bytes = wire.data + (state->data - wire.data);
	for (size_t i = 0; i < len; i++) {
		uint8_t original = bytes[i];

		bytes[i] ^= 0x10;
		if (config_fold_decode(&decoded, bytes, len, NULL))
			ck_assert(json_equal(decoded.document, fold.document));
		bytes[i] = original;
		ck_assert(!config_fold_decode(&decoded, bytes, i, NULL));
	}
	ck_assert(config_fold_decode(&decoded, bytes, len, NULL));
	state->len = len - 1;
	ck_assert_int_eq(
	    config_fold_apply(&fold, 1, &snapshot), CONFIG_MALFORMED);
	config_fold_reset(&fold);
	config_fold_reset(&decoded);
	buf_reset(&wire);
}
END_TEST

START_TEST(long_history_fits_into_one_record)
{
	struct config_fold fold;
	struct buf wire = {0};
	struct buf text = {0};
	char patch[128];

	config_fold_init(&fold);
	for (uint64_t i = 0; i < 30000; i++) {
		snprintf(patch, sizeof(patch),
		    "{\"servers\":{\"runner-%d\":{\"leaving\":%s}}}",
		    (int)(i % 770), i % 2 == 0 ? "true" : "false");
		ck_assert_int_eq(
		    apply_next(&fold, i * 0x9e3779b97f4a7c15, i, patch),
		    CONFIG_ACCEPTED);
	}
	config_fold_encode(&fold, 0, &text);
	config_snapshot_encode(&fold, 1, 0, &wire);
	printf("history of 30000 versions: %zu bytes as JSON, %zu bytes in "
	       "the log\n",
	    text.len, wire.len);
	ck_assert_uint_lt(wire.len, PLOG_RECORD_BYTES);
	config_fold_reset(&fold);
	buf_reset(&wire);
	buf_reset(&text);
}
END_TEST

START_TEST(snapshot_is_due_before_history_expires)
{
	struct config_snapshot_policy policy = {
	    .retention_us = 1000, .max_records = 10};
	struct config_fold fold;

	config_fold_init(&fold);
	ck_assert(!config_snapshot_due(&fold, &policy, 0, 9999, 0));
	apply_next(&fold, 1, 0, "{\"a\":1}");
	list_entry(fold.versions.next, struct config_version, link)->wall_us =
	    100;
	ck_assert(!config_snapshot_due(&fold, &policy, 0, 600, 0));
	ck_assert(config_snapshot_due(&fold, &policy, 0, 601, 0));
	ck_assert(!config_snapshot_due(&fold, &policy, 0, 601, 1));
	ck_assert(config_snapshot_due(&fold, &policy, 0, 651, 1));
	ck_assert(config_snapshot_due(&fold, &policy, 1, 100, 5));
	for (uint64_t i = 2; i < 13; i++)
		apply_next(&fold, i, 0, "{}");
	ck_assert(config_snapshot_due(&fold, &policy, 0, 100, 0));
	ck_assert(!config_snapshot_due(&fold, &policy, 0, 100, 5));
	fold.complete = false;
	ck_assert(!config_snapshot_due(&fold, &policy, 1, 9999, 0));
	config_fold_reset(&fold);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    merge_patches_follow_the_rfc,
	    merge_diff_turns_one_object_into_the_other,
	    second_patch_on_same_base_is_stale,
	    malformed_patches_change_nothing,
	    new_node_starts_from_snapshot_and_later_records,
	    snapshot_followed_by_gap_is_ignored,
	    import_starts_an_empty_log,
	    truncated_state_is_an_error,
	    damaged_snapshot_is_malformed,
	    long_history_fits_into_one_record,
	    snapshot_is_due_before_history_expires,
	};

	return run_tests(
	    "config-fold", tests, sizeof(tests) / sizeof(tests[0]));
}
