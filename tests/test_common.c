#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/buf.h"
#include "common/counter.h"
#include "common/finding.h"
#include "common/hash.h"
#include "common/list.h"
#include "common/refusal.h"
#include "common/rng.h"
#include "tests/runner.h"

enum {
	PAGE_MAX_BYTES = 1 << 18,
};

struct item {
	int value;
	struct list link;
};

START_TEST(list_keeps_order_and_removes_items)
{
	struct list head;
	struct item items[3] = {{.value = 1}, {.value = 2}, {.value = 3}};
	int expected = 1;

	list_init(&head);
	for (int i = 0; i < 3; i++)
		list_append(&head, &items[i].link);
	list_for_each (item, &head, struct item, link)
		ck_assert_int_eq(item->value, expected++);
	list_remove(&items[1].link);
	ck_assert_uint_eq(list_length(&head), 2);
	list_for_each_safe (item, tmp, &head, struct item, link)
		list_remove(&item->link);
	ck_assert(list_empty(&head));
}
END_TEST

START_TEST(buf_rejects_data_over_max)
{
	struct buf buf = {.max = 4};

	ck_assert(buf_append_text(&buf, "abc"));
	ck_assert(!buf_append_text(&buf, "de"));
	ck_assert_uint_eq(buf.len, 3);
	buf_consume(&buf, 2);
	ck_assert_str_eq(buf_text(&buf), "c");
	ck_assert(buf_append_text(&buf, "def"));
	buf_reset(&buf);
}
END_TEST

START_TEST(histogram_quantile_error_is_bounded)
{
	struct histogram histogram = {0};

	for (int64_t value = 1; value <= 100000; value++)
		histogram_add(&histogram, value);
	for (int percent = 5; percent < 100; percent += 5) {
		double exact = 1000.0 * percent;
		double estimate =
		    (double)histogram_quantile(&histogram, percent / 100.0);

		ck_assert_double_ge(estimate, exact);
		ck_assert_double_le(estimate, exact * 1.126);
	}
}
END_TEST

START_TEST(counters_render_every_reason)
{
	struct counters *counters = calloc(1, sizeof(*counters));
	struct buf out = {0};
	const char *text;

	counters->refusals[REFUSAL_OVERLOADED] = 7;
	counters_render(counters, &out);
	text = buf_text(&out);
	ck_assert_ptr_nonnull(
	    strstr(text, "refusals_total{reason=\"overloaded\"} 7\n"));
	for (int i = 0; i < REFUSAL_COUNT; i++)
		ck_assert_ptr_nonnull(
		    strstr(text, refusal_name((enum refusal)i)));
	for (int i = 0; i < RETRY_COUNT; i++)
		ck_assert_ptr_nonnull(
		    strstr(text, retry_reason_name((enum retry_reason)i)));
	buf_reset(&out);
	free(counters);
}
END_TEST

START_TEST(histograms_render_cumulative_buckets)
{
	struct counters *counters = calloc(1, sizeof(*counters));
	struct buf out = {0};
	const char *text;

	histogram_add(&counters->request_us, 900);
	histogram_add(&counters->request_us, 3000);
	histogram_add(&counters->request_us, 3100);
	counters_render(counters, &out);
	text = buf_text(&out);
	ck_assert_ptr_nonnull(
	    strstr(text, "request_us_bucket{le=\"1024\"} 1\n"));
	ck_assert_ptr_nonnull(
	    strstr(text, "request_us_bucket{le=\"2048\"} 1\n"));
	ck_assert_ptr_nonnull(
	    strstr(text, "request_us_bucket{le=\"4096\"} 3\n"));
	ck_assert_ptr_nonnull(
	    strstr(text, "request_us_bucket{le=\"+Inf\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(text, "request_us_sum 7000\n"));
	buf_reset(&out);
	free(counters);
}
END_TEST

START_TEST(digest_chain_depends_on_previous_digest)
{
	struct digest a = digest_chain(NULL, "one", 3);
	struct digest b = digest_chain(&a, "two", 3);
	struct digest c = digest_chain(NULL, "two", 3);
	struct digest parsed;
	char text[DIGEST_TEXT_BYTES];

	ck_assert(!digest_equal(&b, &c));
	digest_format(&b, text);
	ck_assert(digest_parse(text, &parsed));
	ck_assert(digest_equal(&b, &parsed));
	text[3] = 'x';
	ck_assert(!digest_parse(text, &parsed));
}
END_TEST

START_TEST(rng_repeats_with_same_seed)
{
	struct rng a;
	struct rng b;

	rng_init(&a, 42);
	rng_init(&b, 42);
	for (int i = 0; i < 1000; i++) {
		ck_assert_uint_eq(rng_next(&a), rng_next(&b));
		ck_assert_uint_lt(rng_below(&a, 10), 10);
		rng_below(&b, 10);
	}
}
END_TEST

START_TEST(findings_keep_location_and_order)
{
	struct findings findings;
	char text[128] = "";
	FILE *out = fmemopen(text, sizeof(text), "w");

	findings_init(&findings);
	finding_add(&findings, "a.ini", 3, "unknown key '%s'", "x");
	finding_add(&findings, "/models/0", 0, "no name");
	findings_print(&findings, out);
	fclose(out);
	ck_assert_str_eq(
	    text, "a.ini:3: unknown key 'x'\n/models/0: no name\n");
	findings_reset(&findings);
	ck_assert_uint_eq(findings.count, 0);
}
END_TEST

static char *
read_page(const char *name)
{
	char path[512];
	char *text;
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", SOURCE_ROOT, name);
	file = fopen(path, "re");
	ck_assert_msg(file != NULL, "cannot open %s", path);
	text = calloc(1, PAGE_MAX_BYTES);
	ck_assert_uint_lt(
	    fread(text, 1, PAGE_MAX_BYTES - 1, file), PAGE_MAX_BYTES - 1);
	fclose(file);
	return text;
}

START_TEST(operators_page_has_every_reason)
{
	char *page = read_page("docs/operators/refusals.md");
	char row[128];

	for (int i = 0; i < REFUSAL_COUNT; i++) {
		snprintf(row, sizeof(row), "\n| `%s` | %d |",
		    refusal_name((enum refusal)i),
		    refusal_http_status((enum refusal)i));
		ck_assert_msg(strstr(page, row) != NULL, "no row%s", row);
	}
	for (int i = 0; i < RETRY_COUNT; i++) {
		snprintf(row, sizeof(row), "\n| `%s` | ",
		    retry_reason_name((enum retry_reason)i));
		ck_assert_msg(strstr(page, row) != NULL, "no row%s", row);
	}
	free(page);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    list_keeps_order_and_removes_items,
	    buf_rejects_data_over_max,
	    histogram_quantile_error_is_bounded,
	    counters_render_every_reason,
	    histograms_render_cumulative_buckets,
	    digest_chain_depends_on_previous_digest,
	    rng_repeats_with_same_seed,
	    findings_keep_location_and_order,
	    operators_page_has_every_reason,
	};

	return run_tests("common", tests, sizeof(tests) / sizeof(tests[0]));
}
