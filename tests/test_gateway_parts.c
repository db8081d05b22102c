#include <check.h>
#include <stdio.h>
#include <string.h>

#include "gateway/config.h"
#include "gateway/event_stream.h"
#include "tests/runner.h"

static struct gateway_config *
make_config(void)
{
	struct gateway_config *config = gateway_config_create(1);

	route_add_target(
	    gateway_config_add_route(config, "h", "/a/"), "short", 1);
	route_add_target(
	    gateway_config_add_route(config, "h", "/a/b/"), "long", 1);
	route_add_target(gateway_config_add_route(config, "h", "/"), "root", 1);
	route_add_target(
	    gateway_config_add_route(config, "other", "/a/"), "other", 1);
	return config;
}

static const char *
service_of(
    const struct gateway_config *config, const char *host, const char *path)
{
	const struct route *route =
	    gateway_config_find_route(config, host, path);

	return route != NULL ? route->targets[0].service : "none";
}

START_TEST(longest_prefix_wins)
{
	struct gateway_config *config = make_config();

	ck_assert_str_eq(service_of(config, "h", "/a/b/c"), "long");
	ck_assert_str_eq(service_of(config, "h", "/a/b"), "short");
	ck_assert_str_eq(service_of(config, "h", "/a/x/y/z"), "short");
	ck_assert_str_eq(service_of(config, "h", "/ab/c"), "root");
	ck_assert_str_eq(service_of(config, "H:8080", "/a/b/"), "long");
	ck_assert_str_eq(service_of(config, "other", "/a/b/c"), "other");
	ck_assert_str_eq(service_of(config, "other", "/b"), "none");
	ck_assert_str_eq(service_of(config, "nobody", "/a/"), "none");
	gateway_config_unref(config);
}
END_TEST

START_TEST(long_paths_match_no_route)
{
	struct gateway_config *config = make_config();
	char path[4096];

	memset(path, 'x', sizeof(path));
	path[0] = '/';
	path[sizeof(path) - 1] = '\0';
	ck_assert_str_eq(service_of(config, "h", path), "none");
	gateway_config_unref(config);
}
END_TEST

START_TEST(weights_distribute_requests)
{
	struct gateway_config *config = gateway_config_create(1);
	struct route *route = gateway_config_add_route(config, "h", "/a/");
	int first = 0;

	ck_assert_ptr_null(route_choose_target(route, 3));
	route_add_target(route, "one", 90);
	route_add_target(route, "none", 0);
	route_add_target(route, "two", 10);
	for (uint64_t i = 0; i < 1000; i++) {
		const struct route_target *target =
		    route_choose_target(route, i);

		ck_assert_str_ne(target->service, "none");
		ck_assert_ptr_eq(target, route_choose_target(route, i));
		first += strcmp(target->service, "one") == 0;
	}
	ck_assert_int_eq(first, 900);
	gateway_config_unref(config);
}
END_TEST

static void
feed_in_steps(struct event_stream *events, const char *text, size_t step,
    struct buf *forwarded)
{
	size_t len = strlen(text);

	for (size_t offset = 0; offset < len; offset += step) {
		size_t chunk_len = len - offset < step ? len - offset : step;
		size_t complete_len =
		    event_stream_feed(events, text + offset, chunk_len);

		buf_append(forwarded, events->pending.data, complete_len);
		event_stream_consume(events, complete_len);
	}
}

START_TEST(events_are_parsed_at_any_chunk_size)
{
	static const char text[] = ": comment\n\nid: 1\ndata: a\n\n"
				   "weight-versions: 2\nid: 2\ndata: b\r\n"
				   "data: c\r\n\r\nid: 3\ndata:d\n\nid: 4\nda";

	for (size_t step = 1; step < sizeof(text); step++) {
		struct event_stream events = {.collect_data = true};
		struct buf forwarded = {0};

		feed_in_steps(&events, text, step, &forwarded);
		ck_assert_uint_eq(events.event_count, 3);
		ck_assert_str_eq(events.last_id, "3");
		ck_assert_str_eq(buf_text(&events.data), "a\nb\nc\nd\n");
		ck_assert_uint_eq(forwarded.len, sizeof(text) - 1 - 8);
		ck_assert_uint_eq(events.pending.len, 8);
		event_stream_drop_partial(&events);
		ck_assert_uint_eq(events.pending.len, 0);
		ck_assert_str_eq(events.last_id, "3");
		buf_reset(&forwarded);
		event_stream_reset(&events);
	}
}
END_TEST

START_TEST(ends_inside_an_event_are_recognized)
{
	static const struct {
		const char *text;
		bool in_event;
	} cases[] = {
	    {"", false},
	    {"id: 1\ndata: a\n\n", false},
	    {"id: 1\r\ndata: a\r\n\r\n", false},
	    {"id: 1\ndata: a\n\n\n: comment\n", false},
	    {"id: 1\ndata: a\n\n: comm", true},
	    {"id: 1\ndata: a\n\ni", true},
	    {"id: 1\ndata: a\n\nid: 2\n", true},
	    {"id: 1\ndata: a\n\nid: 2\ndata: b", true},
	    {"id: 1\ndata: a\n\nid: 2\ndata: b\n", true},
	    {"id: 1\ndata: a\n\nid: 2\ndata: b\n\r", true},
	    {"id: 1\ndata: a\n", true},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (size_t step = 1; step <= 40; step++) {
			struct event_stream events = {0};
			struct buf forwarded = {0};

			feed_in_steps(&events, cases[i].text, step, &forwarded);
			ck_assert_msg(
			    event_stream_in_event(&events) == cases[i].in_event,
			    "case %zu in steps of %zu", i, step);
			buf_reset(&forwarded);
			event_stream_reset(&events);
		}
	}
}
END_TEST

START_TEST(data_is_collected_only_if_requested)
{
	struct event_stream events = {0};
	struct buf forwarded = {0};

	feed_in_steps(&events, "id: 1\ndata: a\n\n", 100, &forwarded);
	ck_assert_uint_eq(events.event_count, 1);
	ck_assert_uint_eq(events.data.len, 0);
	buf_reset(&forwarded);
	event_stream_reset(&events);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    longest_prefix_wins,
	    long_paths_match_no_route,
	    weights_distribute_requests,
	    events_are_parsed_at_any_chunk_size,
	    ends_inside_an_event_are_recognized,
	    data_is_collected_only_if_requested,
	};

	return run_tests(
	    "gateway_parts", tests, sizeof(tests) / sizeof(tests[0]));
}
