#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "route/sched.h"
#include "tests/runner.h"

enum {
	SERVERS = 4,
	MAX_RUNNING = 4,
	KV_TOKENS = 100000,
};

static const int64_t SECOND = US_PER_S;

static struct config_model models[] = {
    {.name = "m", .prefill_tokens_per_s = 10000}};
static struct config_server servers[SERVERS];
static struct counters counters;

/* Returns a configuration of four servers: a and b in region "near", c and d in
 * region "far". */
static struct config
test_config(void)
{
	struct config config = {
	    .models = models,
	    .model_count = 1,
	    .servers = servers,
	    .server_count = SERVERS,
	    .limits = {.retry_share = 0.1,
		.max_attempts = 3,
		.wasted_token_cost_us = 100},
	};

	for (int i = 0; i < SERVERS; i++) {
		servers[i] = (struct config_server){
		    .name = {(char)('a' + i)},
		    .models = {"m"},
		    .model_count = 1,
		    .kv_tokens = KV_TOKENS,
		    .max_running = MAX_RUNNING,
		};
		snprintf(servers[i].region, NAME_BYTES, "%s",
		    i < 2 ? "near" : "far");
		memcpy(
		    servers[i].failure_domain, servers[i].region, NAME_BYTES);
	}
	return config;
}

static struct sched *
test_sched(struct sched_policy policy)
{
	struct sched_options options = {
	    .region = "near",
	    .failure_domain = "near",
	    .counters = &counters,
	    .seed = 1,
	    .policy = policy,
	};
	struct sched *sched = sched_create(&options);
	struct config config = test_config();

	memset(&counters, 0, sizeof(counters));
	sched_set_config(sched, &config);
	return sched;
}

static struct sched_request
test_call(uint64_t handle, const char *program, uint64_t turn)
{
	struct sched_request call = {
	    .call_id = handle,
	    .workspace = "w",
	    .model = "m",
	    .turn = turn,
	    .new_tokens = 100,
	    .max_tokens = 100,
	    .deadline_us = INT64_MAX,
	};

	snprintf(call.program, sizeof(call.program), "%s", program);
	return call;
}

static enum sched_submit_result
submit(struct sched *sched, const struct sched_request *call, int64_t now_us)
{
	enum refusal reason;

	return sched_submit(sched, call, now_us, &reason);
}

/* Submits a call and returns its dispatch, which must follow at once. */
static struct sched_dispatch
send_call(struct sched *sched, const struct sched_request *call, int64_t now_us)
{
	struct sched_dispatch dispatch = {0};

	ck_assert_int_eq(submit(sched, call, now_us), SCHED_QUEUED);
	ck_assert(sched_next_dispatch(sched, now_us, &dispatch));
	ck_assert_uint_eq(dispatch.call_id, call->call_id);
	return dispatch;
}

static enum sched_retry_decision
end_call(struct sched *sched, const struct sched_dispatch *dispatch,
    enum sched_result result, uint64_t prompt_tokens, int64_t now_us)
{
	enum refusal reason;

	return sched_handle_attempt_end(sched, dispatch->call_id,
	    dispatch->server, result, prompt_tokens,
	    dispatch->expected_cached_tokens, now_us, &reason);
}

START_TEST(unknown_model_is_refused)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	enum refusal reason;

	snprintf(call.model, sizeof(call.model), "other");
	ck_assert_int_eq(sched_submit(sched, &call, 0, &reason), SCHED_REFUSED);
	ck_assert_int_eq(reason, REFUSAL_UNKNOWN_MODEL);
	sched_destroy(sched);
}
END_TEST

START_TEST(later_turns_use_the_server_with_the_cache)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	int64_t now_us = 1;

	for (int i = 0; i < 20; i++) {
		struct sched_request call = test_call(1, "p", 1);
		struct sched_dispatch first, second;

		call.program[1] = (char)('a' + i);
		first = send_call(sched, &call, now_us);
		end_call(sched, &first, SCHED_DONE, 50000, now_us + 10);
		call.turn = 2;
		call.history_tokens = 50000;
		second = send_call(sched, &call, now_us + 20);
		ck_assert_str_eq(first.server, second.server);
		ck_assert_uint_eq(second.expected_cached_tokens, 50000);
		end_call(sched, &second, SCHED_DONE, 50100, now_us + 30);
		sched_handle_program_end(sched, call.program);
		now_us += US_PER_S;
	}
	sched_destroy(sched);
}
END_TEST

START_TEST(cleared_cache_is_not_expected)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	struct sched_dispatch dispatch = send_call(sched, &call, 1);

	end_call(sched, &dispatch, SCHED_DONE, 50000, 10);
	sched_handle_cache_event(
	    sched, dispatch.server, SCHED_CACHE_CLEARED, "", 0, 20);
	call.turn = 2;
	call.history_tokens = 50000;
	dispatch = send_call(sched, &call, 30);
	ck_assert_uint_eq(dispatch.expected_cached_tokens, 0);
	sched_destroy(sched);
}
END_TEST

START_TEST(unusable_servers_get_no_work)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct config config = test_config();

	sched_handle_health(sched, "a", false, 1);
	sched_set_leaving(sched, "b", true);
	servers[2].leaving = true;
	sched_set_config(sched, &config);
	for (uint64_t i = 1; i <= MAX_RUNNING; i++) {
		struct sched_request call = test_call(i, "p", 1);
		struct sched_dispatch dispatch = send_call(sched, &call, 2);

		ck_assert_str_eq(dispatch.server, "d");
	}
	sched_destroy(sched);
}
END_TEST

START_TEST(urgent_calls_go_first_and_none_starves)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request old = test_call(1, "old", 2);
	struct sched_request young = test_call(2, "young", 2);
	struct sched_request urgent = test_call(3, "urgent", 2);
	struct sched_dispatch dispatch;

	old.program_served_tokens = 1000000;
	urgent.urgent = true;
	submit(sched, &old, 1);
	submit(sched, &young, 2);
	submit(sched, &urgent, 3);
	ck_assert(sched_next_dispatch(sched, 3, &dispatch));
	ck_assert_uint_eq(dispatch.call_id, 3);
	ck_assert_uint_eq(dispatch.priority, 0);
	sched_handle_health(sched, "a", true, 4);
	ck_assert(sched_next_dispatch(sched, 60 * SECOND, &dispatch));
	ck_assert_uint_eq(dispatch.call_id, 1);
	sched_destroy(sched);
}
END_TEST

START_TEST(failed_attempt_is_retried_elsewhere_after_a_delay)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	struct sched_dispatch first = send_call(sched, &call, 1);
	struct sched_dispatch second;

	ck_assert_int_eq(
	    end_call(sched, &first, SCHED_DISCONNECTED, 0, 10), SCHED_RETRY);
	ck_assert(!sched_next_dispatch(sched, 10, &second));
	ck_assert(sched_next_wakeup_us(sched) < US_PER_S);
	ck_assert(sched_next_dispatch(sched, US_PER_S, &second));
	ck_assert_uint_eq(second.attempt, 2);
	ck_assert_str_ne(first.server, second.server);
	ck_assert_uint_eq(counters.retries[RETRY_SERVER_DISCONNECTED], 1);
	sched_destroy(sched);
}
END_TEST

/* Every attempt fails. The retry budget starts with 10 retries, and 10 requests
 * earn one more. */
START_TEST(retries_stay_within_their_budget)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	const uint64_t requests = 500;
	int64_t now_us = 1;
	uint64_t retries = 0;

	for (uint64_t i = 1; i <= requests; i++) {
		struct sched_request call = test_call(i, "p", 2);
		struct sched_dispatch dispatch;

		now_us += 100 * SECOND;
		dispatch = send_call(sched, &call, now_us);
		while (end_call(sched, &dispatch, SCHED_FAILED, 0, now_us) ==
		    SCHED_RETRY) {
			retries++;
			now_us += 100 * SECOND;
			ck_assert(
			    sched_next_dispatch(sched, now_us, &dispatch));
		}
	}
	ck_assert_uint_le(retries, 10 + requests / 10);
	ck_assert_uint_ge(retries, requests / 10);
	sched_destroy(sched);
}
END_TEST

START_TEST(breaker_opens_after_consecutive_failures)
{
	struct sched *sched =
	    test_sched((struct sched_policy){.no_waste_price = true});
	int sent_to_a = 0;

	for (uint64_t i = 1; i <= 200; i++) {
		struct sched_request call = test_call(i, "p", 1);
		struct sched_dispatch dispatch;
		bool fails;

		snprintf(call.program, sizeof(call.program), "p%d", (int)i);
		dispatch = send_call(sched, &call, 1);
		fails = strcmp(dispatch.server, "a") == 0;
		sent_to_a += fails;
		end_call(sched, &dispatch, fails ? SCHED_FAILED : SCHED_DONE,
		    200, 1);
		sched_cancel(sched, i, 1);
	}
	ck_assert_int_eq(sent_to_a, 3);
	sched_destroy(sched);
}
END_TEST

START_TEST(waiting_call_expires_at_its_deadline)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	enum refusal reason;
	uint64_t handle;

	call.deadline_us = 100;
	ck_assert_int_eq(submit(sched, &call, 1), SCHED_QUEUED);
	ck_assert(!sched_next_expired(sched, 99, &handle, &reason));
	ck_assert(sched_next_expired(sched, 100, &handle, &reason));
	ck_assert_uint_eq(handle, 1);
	ck_assert_int_eq(reason, REFUSAL_DEADLINE);
	ck_assert_int_eq(submit(sched, &call, 100), SCHED_REFUSED);
	sched_destroy(sched);
}
END_TEST

/* While all servers are full, a new program waits, and further ones are refused
 * once it has waited for too long. Later turns are queued all the same. */
START_TEST(overload_refuses_new_programs_only)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_load full = {.running = MAX_RUNNING,
	    .waiting = MAX_RUNNING,
	    .kv_used_tokens = KV_TOKENS,
	    .kv_tokens = KV_TOKENS,
	    .measured_us = 1};
	struct sched_request call = test_call(1, "p", 1);
	struct sched_dispatch dispatch;
	enum refusal reason;

	for (int i = 0; i < SERVERS; i++)
		sched_handle_load(sched, servers[i].name, &full, 1);
	ck_assert_int_eq(submit(sched, &call, 1), SCHED_QUEUED);
	ck_assert(!sched_next_dispatch(sched, 1, &dispatch));
	call.call_id = 2;
	ck_assert_int_eq(
	    sched_submit(sched, &call, 25 * SECOND, &reason), SCHED_REFUSED);
	ck_assert_int_eq(reason, REFUSAL_OVERLOADED);
	call.call_id = 3;
	call.turn = 7;
	ck_assert_int_eq(submit(sched, &call, 25 * SECOND), SCHED_QUEUED);
	sched_destroy(sched);
}
END_TEST

START_TEST(new_program_is_refused_after_a_long_wait)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	enum refusal reason;
	uint64_t handle;

	ck_assert_int_eq(submit(sched, &call, 1), SCHED_QUEUED);
	call.call_id = 2;
	call.turn = 2;
	ck_assert_int_eq(submit(sched, &call, 1), SCHED_QUEUED);
	ck_assert(!sched_next_expired(sched, 60 * SECOND, &handle, &reason));
	ck_assert(sched_next_expired(sched, 61 * SECOND, &handle, &reason));
	ck_assert_uint_eq(handle, 1);
	ck_assert_int_eq(reason, REFUSAL_OVERLOADED);
	ck_assert(!sched_next_expired(sched, 600 * SECOND, &handle, &reason));
	sched_destroy(sched);
}
END_TEST

/* Calls of new programs that are held back must not use up the search for calls
 * that can be sent: a later turn behind them is still dispatched. */
START_TEST(held_programs_do_not_block_later_turns)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_load busy = {.running = MAX_RUNNING, .measured_us = 1};
	struct sched_dispatch dispatch;
	struct sched_request late = test_call(1, "late", 2);

	for (int i = 0; i < SERVERS; i++)
		sched_handle_load(sched, servers[i].name, &busy, 1);
	late.program_served_tokens = 1000000;
	submit(sched, &late, 1);
	for (uint64_t i = 2; i <= 100; i++) {
		struct sched_request call = test_call(i, "new", 1);

		submit(sched, &call, 1);
	}
	ck_assert(sched_next_dispatch(sched, 1, &dispatch));
	ck_assert_uint_eq(dispatch.call_id, 1);
	ck_assert(!sched_next_dispatch(sched, 1, &dispatch));
	sched_destroy(sched);
}
END_TEST

/* On full servers, only the KV cache of a program with short pauses is worth
 * its memory: it is kept, while that of one with long pauses is dropped. */
START_TEST(cache_retention_follows_learned_pauses)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_load full = {.kv_used_tokens = KV_TOKENS,
	    .kv_tokens = KV_TOKENS,
	    .measured_us = 1};
	const char *tools[] = {"short", "long"};
	int64_t pauses_us[] = {SECOND, 1000 * SECOND};
	enum sched_cache_action last[2];
	char program[PROGRAM_ID_BYTES], server[NAME_BYTES];
	int64_t now_us = 1;

	for (int tool = 0; tool < 2; tool++) {
		for (uint64_t turn = 2; turn < 12; turn++) {
			struct sched_request call =
			    test_call(turn, tools[tool], turn);
			struct sched_dispatch dispatch =
			    send_call(sched, &call, now_us);

			end_call(sched, &dispatch, SCHED_DONE, 200, now_us);
			for (int i = 0; i < SERVERS; i++)
				sched_handle_load(
				    sched, servers[i].name, &full, now_us);
			last[tool] = sched_handle_pause_begin(
			    sched, tools[tool], "w", tools[tool], now_us);
			now_us += pauses_us[tool];
		}
	}
	ck_assert_int_eq(last[0], SCHED_CACHE_ACTION_KEEP);
	ck_assert_int_eq(last[1], SCHED_CACHE_ACTION_DROP);
	ck_assert(sched_next_release(sched, now_us, program, server));
	ck_assert_str_eq(program, "short");
	ck_assert(!sched_next_release(sched, now_us, program, server));
	sched_destroy(sched);
}
END_TEST

/* Load reports are delayed. Without this VM's calls sent since the last report,
 * the estimates would be too low and calls would pile up on servers. */
START_TEST(own_calls_correct_delayed_load_reports)
{
	struct sched *sched = test_sched((struct sched_policy){
	    .no_admission = true, .routing = SCHED_ROUTE_LEAST_LOADED});
	struct sched_load load = {.running = 1, .measured_us = 1};
	const uint64_t calls = 20;
	int sent[SERVERS] = {0};

	for (int i = 0; i < SERVERS; i++)
		sched_handle_load(sched, servers[i].name, &load, 1);
	for (uint64_t i = 1; i <= calls; i++) {
		struct sched_request call = test_call(i, "p", 1);
		struct sched_dispatch dispatch = send_call(sched, &call, 2);

		sent[dispatch.server[0] - 'a']++;
	}
	for (int i = 0; i < SERVERS; i++)
		ck_assert_int_eq(sent[i], 5);
	sched_destroy(sched);
}
END_TEST

START_TEST(flapping_server_is_ejected_for_longer)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	struct sched_request call = test_call(1, "p", 1);
	struct sched_dispatch dispatch;
	int64_t now_us = SECOND;

	for (int i = 1; i < SERVERS; i++)
		sched_handle_health(sched, servers[i].name, false, now_us);
	for (int i = 0; i < 3; i++) {
		sched_handle_health(sched, "a", false, now_us);
		sched_handle_health(sched, "a", true, now_us + SECOND);
		now_us += 2 * SECOND;
	}
	ck_assert_int_eq(submit(sched, &call, now_us), SCHED_QUEUED);
	ck_assert(!sched_next_dispatch(sched, now_us, &dispatch));
	ck_assert(sched_next_dispatch(sched, now_us + 4 * SECOND, &dispatch));
	sched_destroy(sched);
}
END_TEST

/* One workspace queues 40 calls before another queues 40. With shares of 1 and
 * 3, they get 5 and 15 of the first 20 dispatches. */
START_TEST(workspaces_get_their_shares)
{
	struct sched *sched =
	    test_sched((struct sched_policy){.routing = SCHED_ROUTE_RANDOM});
	struct config_workspace workspaces[] = {
	    {.name = "first", .share = 1}, {.name = "second", .share = 3}};
	struct config config = test_config();
	int sent[2] = {0};

	config.workspaces = workspaces;
	config.workspace_count = 2;
	sched_set_config(sched, &config);
	for (uint64_t i = 1; i <= 80; i++) {
		struct sched_request call = test_call(i, "p", 2);

		snprintf(call.workspace, sizeof(call.workspace), "%s",
		    workspaces[i > 40].name);
		submit(sched, &call, 1);
	}
	for (int i = 0; i < 20; i++) {
		struct sched_dispatch dispatch;

		ck_assert(sched_next_dispatch(sched, 1, &dispatch));
		sent[dispatch.call_id > 40]++;
	}
	ck_assert_int_eq(sent[0], 5);
	ck_assert_int_eq(sent[1], 15);
	sched_destroy(sched);
}
END_TEST

/* Servers in another region are used only if those in the own region cost more
 * by the network delay and the price of traffic between regions. */
START_TEST(near_servers_are_preferred)
{
	struct sched *sched = test_sched((struct sched_policy){0});
	int near = 0;

	for (uint64_t i = 1; i <= 100; i++) {
		struct sched_request call = test_call(i, "p", 1);
		struct sched_dispatch dispatch = send_call(sched, &call, 1);

		near += dispatch.server[0] <= 'b';
		sched_cancel(sched, i, 1);
	}
	ck_assert_int_ge(near, 80);
	sched_destroy(sched);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    unknown_model_is_refused,
	    later_turns_use_the_server_with_the_cache,
	    cleared_cache_is_not_expected,
	    unusable_servers_get_no_work,
	    urgent_calls_go_first_and_none_starves,
	    failed_attempt_is_retried_elsewhere_after_a_delay,
	    retries_stay_within_their_budget,
	    breaker_opens_after_consecutive_failures,
	    waiting_call_expires_at_its_deadline,
	    overload_refuses_new_programs_only,
	    new_program_is_refused_after_a_long_wait,
	    held_programs_do_not_block_later_turns,
	    cache_retention_follows_learned_pauses,
	    own_calls_correct_delayed_load_reports,
	    flapping_server_is_ejected_for_longer,
	    near_servers_are_preferred,
	    workspaces_get_their_shares,
	};

	return run_tests("route", tests, sizeof(tests) / sizeof(tests[0]));
}
