#include <check.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "dispatch/backends.h"
#include "dispatch/retry.h"
#include "tests/runner.h"

static struct backends backends;

static void
setup(void)
{
	backends_init(&backends, "r1", "d1", 7);
}

static void
teardown(void)
{
	backends_reset(&backends);
}

static struct backend *
add(const char *id, const char *service, const char *domain, const char *region)
{
	struct backend_entry entry = {.slots = 8, .started_wall_ms = 1};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:80");
	snprintf(
	    entry.failure_domain, sizeof(entry.failure_domain), "%s", domain);
	backends_update(&backends, &entry, region);
	return backends_find(&backends, id);
}

static const char *
choose(struct backend_request *request, int64_t now_us)
{
	struct backend *backend = backends_choose(&backends, request, now_us);

	return backend != NULL ? backend->entry.id : "none";
}

START_TEST(only_available_servers_of_the_service_are_chosen)
{
	struct backend_request request = {.service = "s", .preferred = ""};
	struct backend_entry entry;

	ck_assert_str_eq(choose(&request, 0), "none");
	add("a", "s", "d1", "r1");
	add("b", "other", "d1", "r1");
	ck_assert_str_eq(choose(&request, 0), "a");
	entry = backends_find(&backends, "a")->entry;
	entry.draining = true;
	ck_assert(backends_update(&backends, &entry, "r1"));
	ck_assert_str_eq(choose(&request, 0), "none");
	ck_assert(!backends_has_available(&backends, "s"));
	ck_assert(!backends_update(&backends, &entry, "r1"));
}
END_TEST

START_TEST(removed_server_is_kept_while_requests_run)
{
	struct backend_request request = {.service = "s", .preferred = ""};
	struct backend *backend = add("a", "s", "d1", "r1");

	backend_request_started(&backends, backend, &request, 0);
	ck_assert(backends_remove(&backends, "a"));
	ck_assert(!backends_remove(&backends, "a"));
	ck_assert_str_eq(choose(&request, 0), "none");
	ck_assert_ptr_nonnull(backends_find(&backends, "a"));
	backend_request_ended(&backends, backend);
	ck_assert_ptr_null(backends_find(&backends, "a"));
}
END_TEST

START_TEST(leaving_server_is_not_chosen_whatever_the_list_says)
{
	struct backend_request request = {.service = "s", .preferred = "a"};
	struct backend_entry entry = add("a", "s", "d1", "r1")->entry;

	ck_assert(backends_mark_leaving(&backends, "a", 1));
	ck_assert(!backends_mark_leaving(&backends, "a", 1));
	ck_assert_str_eq(choose(&request, 0), "none");
	ck_assert(!backends_has_available(&backends, "s"));
	backends_update(&backends, &entry, "r1");
	ck_assert_str_eq(choose(&request, 0), "none");
	backends_remove(&backends, "a");
	backends_update(&backends, &entry, "r1");
	ck_assert_str_eq(choose(&request, 0), "none");
	add("b", "s", "d2", "r2");
	ck_assert_str_eq(choose(&request, 0), "b");
}
END_TEST

START_TEST(leaving_belongs_to_one_start_of_a_server)
{
	struct backend_request request = {.service = "s", .preferred = ""};
	struct backend_entry entry = add("a", "s", "d1", "r1")->entry;

	backends_mark_leaving(&backends, "a", 1);
	/* Another server takes the address over. */
	add("b", "s", "d1", "r1");
	ck_assert_str_eq(choose(&request, 0), "b");
	backends_remove(&backends, "b");
	entry.started_wall_ms = 2;
	ck_assert(backends_update(&backends, &entry, "r1"));
	ck_assert_str_eq(choose(&request, 0), "a");
	/* A late response of the process before. */
	ck_assert(!backends_mark_leaving(&backends, "a", 1));
	ck_assert_str_eq(choose(&request, 0), "a");
	/* An outdated list names the process before again. */
	entry.started_wall_ms = 1;
	backends_update(&backends, &entry, "r1");
	ck_assert_str_eq(choose(&request, 0), "none");
}
END_TEST

START_TEST(leaving_servers_are_forgotten_beyond_a_limit)
{
	struct leaving leaving = {0};
	int64_t last = 0;

	for (int64_t start = 0; start < 100000; start++) {
		ck_assert(leaving_add(&leaving, 1, start));
		last = start;
	}
	ck_assert(!leaving_contains(&leaving, 1, 0));
	ck_assert(leaving_contains(&leaving, 1, last));
	leaving_reset(&leaving);
}
END_TEST

START_TEST(tried_servers_are_not_chosen)
{
	static const char tried[1][NAME_BYTES] = {"a"};
	struct backend_request request = {.service = "s",
	    .preferred = "",
	    .excluded_servers = tried,
	    .excluded_count = 1};

	add("a", "s", "d1", "r1");
	ck_assert_str_eq(choose(&request, 0), "none");
	add("b", "s", "d1", "r1");
	ck_assert_str_eq(choose(&request, 0), "b");
}
END_TEST

START_TEST(failed_servers_are_avoided_for_a_while)
{
	struct backend_request request = {.service = "s", .preferred = ""};
	struct backend *near = add("near", "s", "d1", "r1");

	add("far", "s", "d2", "r2");
	ck_assert_str_eq(choose(&request, 0), "near");
	backend_failed(near, 0);
	ck_assert_str_eq(choose(&request, 0), "far");
	ck_assert_str_eq(choose(&request, 300L * US_PER_MS), "near");
	backend_failed(near, 300L * US_PER_MS);
	ck_assert_str_eq(choose(&request, 600L * US_PER_MS), "far");
	/* If all servers have failed, one of them is chosen nevertheless. */
	backend_failed(backends_find(&backends, "far"), 600L * US_PER_MS);
	ck_assert_str_ne(choose(&request, 600L * US_PER_MS), "none");
}
END_TEST

START_TEST(load_of_all_vms_counts)
{
	struct backend_request request = {.service = "s", .preferred = ""};
	struct backend *a = add("a", "s", "d1", "r1");
	struct backend *b = add("b", "s", "d1", "r1");

	a->running = 3;
	ck_assert_str_eq(choose(&request, 0), "b");
	b->remote_running = 6;
	ck_assert_str_eq(choose(&request, 0), "a");
}
END_TEST

/* As under the highest load of the benchmark: the servers of this failure
 * domain are full, those of another region are not. */
START_TEST(remote_server_is_better_than_overloaded_one)
{
	struct backend_request request = {.service = "s",
	    .preferred = "",
	    .is_stream = true,
	    .max_tokens = 500};
	struct backend *near = add("near", "s", "d1", "r1");

	add("far", "s", "d2", "r2");
	near->running = 1;
	ck_assert_str_eq(choose(&request, 0), "near");
	near->running = 16;
	ck_assert_str_eq(choose(&request, 0), "far");
}
END_TEST

START_TEST(cached_prompt_outweighs_moderate_load)
{
	const struct prompt_part parts[] = {
	    {.id = 1, .tokens = 12000},
	    {.id = 2, .tokens = 4000},
	};
	struct backend_request request = {
	    .service = "s",
	    .preferred = "",
	    .is_stream = true,
	    .parts = parts,
	    .part_count = 2,
	    .max_tokens = 500,
	};
	struct backend *a = add("a", "s", "d1", "r1");
	struct backend *b = add("b", "s", "d1", "r1");

	ck_assert_uint_eq(
	    backend_uncached_tokens(&backends, a, &request), 16000);
	backend_request_started(&backends, a, &request, 0);
	ck_assert_uint_eq(backend_uncached_tokens(&backends, a, &request), 0);
	ck_assert_str_eq(choose(&request, 0), "a");
	/* The owner of the partition names the server of the session. */
	request.preferred = "b";
	ck_assert_uint_le(
	    backend_uncached_tokens(&backends, b, &request), 1000);
	/* A high load outweighs the cached prompt. */
	request.preferred = "";
	a->running = 30;
	ck_assert_str_eq(choose(&request, 0), "b");
}
END_TEST

START_TEST(restarted_server_has_empty_cache)
{
	const struct prompt_part parts[] = {{.id = 1, .tokens = 12000}};
	struct backend_request request = {
	    .service = "s",
	    .preferred = "",
	    .is_stream = true,
	    .parts = parts,
	    .part_count = 1,
	};
	struct backend *a = add("a", "s", "d1", "r1");
	struct backend_entry entry = a->entry;

	backend_request_started(&backends, a, &request, 0);
	backend_failed(a, 0);
	entry.started_wall_ms = 2;
	ck_assert(backends_update(&backends, &entry, "r1"));
	ck_assert_uint_eq(
	    backend_uncached_tokens(&backends, a, &request), 12000);
	ck_assert_uint_eq(a->failures, 0);
}
END_TEST

START_TEST(slow_servers_are_detected_from_responses)
{
	struct backend_request request = {.service = "s",
	    .preferred = "",
	    .is_stream = true,
	    .max_tokens = 500};
	struct backend *a = add("a", "s", "d1", "r1");
	struct backend *b = add("b", "s", "d1", "r1");
	struct backend_stream stream = {
	    .first_event_us = 20L * US_PER_MS, .tokens = 200};

	for (int i = 0; i < 60; i++) {
		stream.load = i % 4;
		stream.ended_us = (int64_t)i * US_PER_S;
		stream.generation_us = 200L * US_PER_MS;
		backend_stream_completed(&backends, b, &stream);
		stream.generation_us = 1000L * US_PER_MS;
		backend_stream_completed(&backends, a, &stream);
	}
	ck_assert(speed_ratio_get(&a->speed.token, stream.ended_us) >
	    2 * speed_ratio_get(&b->speed.token, stream.ended_us));
	ck_assert_str_eq(choose(&request, stream.ended_us), "b");
	b->running = 2;
	ck_assert_str_eq(choose(&request, stream.ended_us), "b");
}
END_TEST

START_TEST(speed_is_learned_by_load)
{
	struct speed speed = {0};

	ck_assert(speed_token_us(&speed, 0) > 0);
	for (int i = 0; i < 400; i++) {
		int load = i % 12;

		speed_learn_token(&speed, load, 1060 + 34 * load);
		speed_learn_prompt(
		    &speed, 1000 * (i % 7), 5000 + 3.9 * 1000 * (i % 7));
	}
	ck_assert(fabs(speed_token_us(&speed, 0) - 1060) < 20);
	ck_assert(fabs(speed_token_us(&speed, 10) - 1400) < 20);
	ck_assert(fabs(speed_token_slope_us(&speed) - 34) < 2);
	ck_assert(fabs(speed_prompt_token_us(&speed) - 3.9) < 0.2);
}
END_TEST

START_TEST(speed_stays_valid_on_degenerate_samples)
{
	struct speed speed = {0};

	for (int i = 0; i < 200; i++) {
		speed_learn_token(&speed, 5, 1000);
		speed_learn_prompt(&speed, 3000, i % 2 == 0 ? 1e6 : 1);
	}
	ck_assert(speed_token_slope_us(&speed) >= 0);
	ck_assert(speed_token_us(&speed, 0) > 0);
	ck_assert(speed_prompt_token_us(&speed) > 0);
	for (int i = 0; i < 400; i++)
		speed_learn_token(&speed, i % 12, 2000 - 90 * (i % 12));
	ck_assert(speed_token_slope_us(&speed) >= 0);
}
END_TEST

START_TEST(residency_is_added_and_expired)
{
	struct residency residency = {0};
	struct residency_shared_prefix list[4];

	residency_add(&residency, 1, 10, 500, true, 0);
	residency_add(&residency, 1, 10, 300, false, 0);
	residency_add(&residency, 2, 10, 100, false, 0);
	residency_add(&residency, 1, 11, 500, true, 50 * (int64_t)US_PER_S);
	ck_assert_uint_eq(residency_tokens(&residency, 1, 10), 500);
	ck_assert_uint_eq(residency_list_shared(&residency, list, 4), 2);
	residency_expire(&residency, 61 * (int64_t)US_PER_S);
	ck_assert_uint_eq(residency_tokens(&residency, 1, 10), 0);
	ck_assert_uint_eq(residency_tokens(&residency, 1, 11), 500);
	residency_forget_server(&residency, 11);
	ck_assert_uint_eq(residency_tokens(&residency, 1, 11), 0);
	residency_reset(&residency);
}
END_TEST

START_TEST(remote_load_adds_up)
{
	struct backend *a = add("a", "s", "d1", "r1");

	backends_add_remote(&backends, a->hash, 2);
	backends_add_remote(&backends, a->hash, 3);
	backends_add_remote(&backends, a->hash + 1, 7);
	ck_assert_uint_eq(a->remote_running, 5);
	backends_clear_remote(&backends);
	ck_assert_uint_eq(a->remote_running, 0);
	backends_remove(&backends, "a");
	backends_add_remote(&backends, 1, 1);
}
END_TEST

/* A timeout of the last attempt would cancel a running request and leave no
 * other attempt, for example for a tool with one server and one attempt. */
START_TEST(last_attempt_has_no_timeout)
{
	struct retry_state state = {
	    .repeatable = true,
	    .max_attempts = 1,
	    .has_untried_server = true,
	};

	ck_assert(retry_is_allowed(&state));
	ck_assert_int_eq(retry_attempt_timeout_us(&state, 1000), INT64_MAX);
	state.max_attempts = 2;
	ck_assert_int_lt(retry_attempt_timeout_us(&state, 1000), US_PER_S);
	state.has_untried_server = false;
	ck_assert_int_eq(retry_attempt_timeout_us(&state, 1000), INT64_MAX);
	state.has_untried_server = true;
	state.possible_executions = 1;
	ck_assert(retry_is_allowed(&state));
	ck_assert_int_eq(retry_attempt_timeout_us(&state, 1000), INT64_MAX);
	state.possible_executions = 2;
	ck_assert(!retry_is_allowed(&state));
}
END_TEST

START_TEST(unrepeatable_request_is_not_retried)
{
	const struct retry_state state = {
	    .max_attempts = 3,
	    .has_untried_server = true,
	};

	ck_assert(!retry_is_allowed(&state));
	ck_assert_int_eq(retry_attempt_timeout_us(&state, 1000), INT64_MAX);
}
END_TEST

START_TEST(attempt_timeout_follows_mean_response_time)
{
	const struct retry_state state = {
	    .repeatable = true,
	    .max_attempts = 3,
	    .has_untried_server = true,
	};
	int64_t fast_us = retry_attempt_timeout_us(&state, 2.0 * US_PER_MS);
	int64_t usual_us = retry_attempt_timeout_us(&state, 40.0 * US_PER_MS);
	int64_t slow_us = retry_attempt_timeout_us(&state, 10.0 * US_PER_S);

	ck_assert_int_ge(fast_us, 50L * US_PER_MS);
	ck_assert_int_gt(usual_us, fast_us);
	ck_assert_int_gt(slow_us, usual_us);
	ck_assert_int_lt(slow_us, US_PER_S);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    only_available_servers_of_the_service_are_chosen,
	    removed_server_is_kept_while_requests_run,
	    leaving_server_is_not_chosen_whatever_the_list_says,
	    leaving_belongs_to_one_start_of_a_server,
	    leaving_servers_are_forgotten_beyond_a_limit,
	    tried_servers_are_not_chosen,
	    failed_servers_are_avoided_for_a_while,
	    load_of_all_vms_counts,
	    remote_server_is_better_than_overloaded_one,
	    cached_prompt_outweighs_moderate_load,
	    restarted_server_has_empty_cache,
	    slow_servers_are_detected_from_responses,
	    speed_is_learned_by_load,
	    speed_stays_valid_on_degenerate_samples,
	    residency_is_added_and_expired,
	    remote_load_adds_up,
	    last_attempt_has_no_timeout,
	    unrepeatable_request_is_not_retried,
	    attempt_timeout_follows_mean_response_time,
	};

	return run_tests_in("dispatch", tests, sizeof(tests) / sizeof(tests[0]),
	    setup, teardown);
}
