#include <check.h>
#include <stdio.h>
#include <string.h>

#include "tests/program_fixture.h"
#include "tests/runner.h"

START_TEST(a_program_runs_and_is_released)
{
	const char *program;
	struct owner_result result;

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	ck_assert_int_eq(
	    admit(0, 2, OWNER_CALL_MODEL, program, "k1", 50, &result),
	    OWNER_OK);
	ck_assert_uint_eq(result.history_count, 0);
	finish(0, 2, "[1]", 40);
	ck_assert_ptr_null(find_event(OWNER_TURN_DURABLE, 2));
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_TURN_DURABLE, 2));
	ck_assert_int_eq(
	    admit(0, 3, OWNER_CALL_MODEL, program, "k2", 50, &result),
	    OWNER_OK);
	ck_assert_uint_eq(result.history_count, 1);
	ck_assert_mem_eq(result.history[0].data, "[1]", 3);
	ck_assert_int_eq(
	    admit(0, 4, OWNER_CALL_MODEL, program, "k3", 1, &result),
	    OWNER_REFUSE);
	ck_assert_int_eq(result.reason, REFUSAL_TURN_IN_PROGRESS);
	finish(0, 3, "[2]", 40);
	ck_assert_int_eq(
	    admit(0, 5, OWNER_CALL_MODEL, program, "k1", 50, &result),
	    OWNER_REPLAY);
	ck_assert_mem_eq(result.recorded_response.data, "[1]", 3);
	ck_assert_int_eq(owner_program_end(fixture->owners[0], 6, program, NULL,
			     "done", fixture->now_us, &result),
	    OWNER_WAIT);
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_PROGRAM_ENDED, 6));
	ck_assert_ptr_nonnull(find_event(OWNER_RELEASE_KV, 0));
	owner_kv_released(
	    fixture->owners[0], program, "runner-1", fixture->now_us);
	run_for(fixture->owners[0], 3);
	fixture->event_count = 0;
	run_for(fixture->owners[0], 100);
	ck_assert_ptr_null(find_event(OWNER_RELEASE_KV, 0));
}
END_TEST

START_TEST(a_non_idempotent_call_is_sent_after_its_intent)
{
	const char *program;
	struct owner_result result;
	struct wire_bytes response = {(const uint8_t *)"ok", 2};

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	ck_assert_int_eq(
	    admit(0, 2, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_WAIT);
	owner_events(fixture->owners[0]);
	ck_assert_ptr_null(find_event(OWNER_DISPATCH, 2));
	ck_assert_int_eq(
	    admit(0, 3, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_WAIT);
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_DISPATCH, 2));
	owner_handle_outcome(fixture->owners[0], 2, OUTCOME_DONE, 200, response,
	    fixture->now_us);
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_OUTCOME_DURABLE, 2));
	ck_assert_ptr_nonnull(find_event(OWNER_RETRY_ADMIT, 3));
	ck_assert_int_eq(
	    admit(0, 3, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_REPLAY);
	ck_assert_uint_eq(result.recorded_status, 200);
	ck_assert_mem_eq(result.recorded_response.data, "ok", 2);
}
END_TEST

START_TEST(an_open_intent_is_unknown_after_a_takeover)
{
	const char *program;
	struct owner_result result;
	struct wire_bytes response = {(const uint8_t *)"ok", 2};

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	admit(0, 2, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result);
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_DISPATCH, 2));
	take_over(0, 1);
	ck_assert_int_eq(
	    admit(1, 3, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_REPLAY);
	ck_assert_int_eq(result.outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(result.execution, EXECUTION_UNKNOWN);
	owner_handle_outcome(fixture->owners[0], 2, OUTCOME_DONE, 200, response,
	    fixture->now_us);
	for (uint32_t shard = 0; shard < SHARDS; shard++)
		owner_set_shard_wanted(fixture->owners[0], shard, false, NULL);
	run_for(fixture->owners[0], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_SHARD_LOST, 0));
	run_for(fixture->owners[1], 3);
	ck_assert_int_eq(
	    admit(1, 4, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_REPLAY);
	ck_assert_int_eq(result.outcome, OUTCOME_DONE);
	ck_assert_uint_eq(owner_open_call_count(fixture->owners[0]), 0);
}
END_TEST

START_TEST(a_takeover_keeps_history_and_charges_the_reservation)
{
	const char *program;
	struct owner_result result;
	uint32_t lane;
	uint64_t offset;

	own_all_shards(0);
	program = begin(0, 1, "b", "", 120);
	admit(0, 2, OWNER_CALL_MODEL, program, "k1", 50, &result);
	finish(0, 2, "[1]", 40);
	run_for(fixture->owners[0], 3);
	take_over(0, 1);
	ck_assert_int_eq(
	    admit(1, 3, OWNER_CALL_MODEL, program, "k2", 50, &result),
	    OWNER_REFUSE);
	ck_assert_int_eq(result.reason, REFUSAL_BUDGET_EXCEEDED);
	ck_assert_uint_eq(result.budget_left_tokens, 20);
	ck_assert_int_eq(
	    admit(1, 3, OWNER_CALL_MODEL, program, "k2", 20, &result),
	    OWNER_WAIT);
	run_for(fixture->owners[1], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_RETRY_ADMIT, 3));
	ck_assert_int_eq(
	    admit(1, 3, OWNER_CALL_MODEL, program, "k2", 20, &result),
	    OWNER_FETCHING_HISTORY);
	while (owner_next_fetch(fixture->owners[1], &lane, &offset)) {
		struct buf *wire = &fixture->records[lane][offset].wire;
		struct record record;

		record_decode(wire->data, wire->len, &record, NULL);
		owner_handle_fetched(
		    fixture->owners[1], lane, offset, &record, fixture->now_us);
	}
	run_for(fixture->owners[1], 1);
	ck_assert_ptr_nonnull(find_event(OWNER_HISTORY_READY, 3));
	ck_assert_int_eq(
	    admit(1, 3, OWNER_CALL_MODEL, program, "k2", 20, &result),
	    OWNER_OK);
	ck_assert_uint_eq(result.history_count, 1);
	ck_assert_mem_eq(result.history[0].data, "[1]", 3);
}
END_TEST

START_TEST(turns_that_were_not_durable_are_accepted_by_digest)
{
	const char *program;
	struct owner_result result;
	struct digest digest;
	struct owner_resend resend = {
	    .key = "k1",
	    .prompt_tokens = 10,
	    .content = {(const uint8_t *)"[1]", 3},
	};
	struct owner_call request = {
	    .kind = OWNER_CALL_MODEL,
	    .workspace = "w",
	    .key = "k2",
	    .tool = "",
	    .digest = &digest,
	    .resend = &resend,
	    .resend_count = 1,
	};

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	admit(0, 2, OWNER_CALL_MODEL, program, "k1", 50, &result);
	digest = finish(0, 2, "[1]", 40);
	take_over(0, 1);
	request.program = program;
	resend.content.data = (const uint8_t *)"[2]";
	ck_assert_int_eq(owner_call_admit(fixture->owners[1], 3, &request,
			     fixture->now_us, &result),
	    OWNER_REFUSE);
	ck_assert_int_eq(result.reason, REFUSAL_HISTORY_MISMATCH);
	resend.content.data = (const uint8_t *)"[1]";
	ck_assert_int_eq(owner_call_admit(fixture->owners[1], 3, &request,
			     fixture->now_us, &result),
	    OWNER_OK);
	ck_assert_uint_eq(result.history_count, 1);
}
END_TEST

START_TEST(a_lost_reply_appends_twice_and_applies_once)
{
	struct owner_result result;
	const char *program;
	size_t before;

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	run_for(fixture->owners[0], 20);
	admit(0, 2, OWNER_CALL_MODEL, program, "k1", 50, &result);
	finish(0, 2, "[1]", 40);
	fixture->now_us += US_PER_S;
	before = fixture->count[0] + fixture->count[1];
	owner_flush(fixture->owners[0], APPEND_UNKNOWN);
	ck_assert_uint_eq(fixture->count[0] + fixture->count[1], before + 1);
	owner_handle_lane_end(fixture->owners[0], 0, 0, fixture->now_us);
	owner_handle_lane_end(fixture->owners[0], 1, 0, fixture->now_us);
	fixture->now_us += US_PER_S;
	owner_flush(fixture->owners[0], APPEND_DONE);
	ck_assert_uint_eq(fixture->count[0] + fixture->count[1], before + 2);
	run_for(fixture->owners[0], 5);
	ck_assert_ptr_nonnull(find_event(OWNER_TURN_DURABLE, 2));
	admit(0, 3, OWNER_CALL_MODEL, program, "k2", 50, &result);
	ck_assert_uint_eq(result.history_count, 1);
}
END_TEST

START_TEST(sub_agents_use_their_parents_budget)
{
	struct owner_result result;
	const char *parent;
	char child[PROGRAM_ID_BYTES];

	own_all_shards(0);
	parent = begin(0, 1, "b", "", 1000);
	snprintf(child, sizeof(child), "%s", begin(0, 2, "c", parent, 900));
	ck_assert_int_eq(
	    admit(0, 3, OWNER_CALL_MODEL, parent, "k1", 101, &result),
	    OWNER_REFUSE);
	ck_assert_int_eq(result.reason, REFUSAL_BUDGET_EXCEEDED);
	admit(0, 4, OWNER_CALL_MODEL, child, "k1", 100, &result);
	finish(0, 4, "[1]", 100);
	owner_program_end(fixture->owners[0], 5, child, NULL, "done",
	    fixture->now_us, &result);
	run_for(fixture->owners[0], 5);
	ck_assert_int_eq(
	    admit(0, 6, OWNER_CALL_MODEL, parent, "k2", 901, &result),
	    OWNER_REFUSE);
	ck_assert_int_eq(
	    admit(0, 6, OWNER_CALL_MODEL, parent, "k2", 900, &result),
	    OWNER_WAIT);
}
END_TEST

START_TEST(a_withdrawn_intent_is_never_sent)
{
	struct owner_result result;
	const char *program;

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	admit(0, 2, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result);
	owner_call_detach(fixture->owners[0], 2, fixture->now_us);
	run_for(fixture->owners[0], 5);
	ck_assert_ptr_null(find_event(OWNER_DISPATCH, 2));
	ck_assert_int_eq(
	    admit(0, 3, OWNER_CALL_NON_IDEMPOTENT, program, "k", 0, &result),
	    OWNER_WAIT);
	run_for(fixture->owners[0], 5);
	ck_assert_ptr_nonnull(find_event(OWNER_DISPATCH, 3));
}
END_TEST

START_TEST(a_request_with_a_single_crash_is_not_quarantined)
{
	struct owner *owner = fixture->owners[0];

	for (uint64_t incident = 1; incident <= 3; incident++) {
		owner_report_crash(
		    owner, "s", "w", 7, incident, 3, 0, fixture->now_us);
		owner_report_crash(owner, "s", "w", 100 + incident, incident, 3,
		    0, fixture->now_us);
		ck_assert_int_eq(owner_quarantined(owner, 7), incident == 3);
		ck_assert(!owner_quarantined(owner, 100 + incident));
	}
	run_for(owner, 3);
	log_read(fixture->owners[1]);
	ck_assert(owner_quarantined(fixture->owners[1], 7));
	owner_lift_quarantine(owner, 7, "op", fixture->now_us);
	run_for(owner, 3);
	log_read(fixture->owners[1]);
	ck_assert(!owner_quarantined(fixture->owners[1], 7));
}
END_TEST

START_TEST(requests_that_always_crash_together_reach_the_hard_limit)
{
	struct owner *owner = fixture->owners[0];

	for (uint64_t incident = 1; incident <= 6; incident++) {
		ck_assert(!owner_quarantined(owner, 7));
		owner_report_crash(owner, "s", "w", 7, incident, 2, 0, 1);
		owner_report_crash(owner, "s", "w", 8, incident, 2, 0, 1);
	}
	ck_assert(owner_quarantined(owner, 7));
}
END_TEST

START_TEST(a_new_owner_starts_at_the_snapshot)
{
	const char *program;
	struct owner_result result;
	uint32_t shard = 0;
	uint64_t from = 0;

	own_all_shards(0);
	program = begin(0, 1, "b", "", 1000);
	admit(0, 2, OWNER_CALL_MODEL, program, "k1", 50, &result);
	finish(0, 2, "[1]", 40);
	admit(0, 3, OWNER_CALL_NON_IDEMPOTENT, program, "k2", 0, &result);
	run_for(fixture->owners[0], 5);
	program_shard(program, &shard);
	fixture->now_us += INT64_C(86400) / 4 * US_PER_S;
	run_for(fixture->owners[0], 10);
	own_all_shards(0);
	owner_suspect(fixture->owners[1], "vm-0");
	owner_set_shard_wanted(fixture->owners[1], shard, true, NULL);
	log_read(fixture->owners[1]);
	ck_assert(
	    owner_lane_position(fixture->owners[1], shard % LANES, &from));
	ck_assert_uint_gt(from, 0);
	run_for(fixture->owners[1], 10);
	ck_assert(owner_owns(fixture->owners[1], shard));
	ck_assert_int_eq(
	    admit(1, 5, OWNER_CALL_NON_IDEMPOTENT, program, "k2", 0, &result),
	    OWNER_REPLAY);
	ck_assert_int_eq(result.outcome, OUTCOME_UNKNOWN);
	ck_assert_uint_eq(result.turn, 2);
}
END_TEST

START_TEST(only_canonical_program_ids_are_accepted)
{
	uint32_t shard;

	ck_assert(program_shard("p7-00000000000000ff", &shard));
	ck_assert_uint_eq(shard, 7);
	ck_assert(!program_shard("p07-00000000000000ff", &shard));
	ck_assert(!program_shard("p7-ff", &shard));
	ck_assert(!program_shard("p7-00000000000000fg", &shard));
	ck_assert(!program_shard("", &shard));
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    a_program_runs_and_is_released,
	    a_non_idempotent_call_is_sent_after_its_intent,
	    an_open_intent_is_unknown_after_a_takeover,
	    a_takeover_keeps_history_and_charges_the_reservation,
	    turns_that_were_not_durable_are_accepted_by_digest,
	    a_lost_reply_appends_twice_and_applies_once,
	    sub_agents_use_their_parents_budget,
	    a_withdrawn_intent_is_never_sent,
	    a_request_with_a_single_crash_is_not_quarantined,
	    requests_that_always_crash_together_reach_the_hard_limit,
	    a_new_owner_starts_at_the_snapshot,
	    only_canonical_program_ids_are_accepted,
	};

	return run_tests_in("program", tests, sizeof(tests) / sizeof(tests[0]),
	    fixture_setup, fixture_teardown);
}
