#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "tests/runner.h"
#include "turn/content.h"
#include "turn/history.h"
#include "turn/ledger.h"
#include "turn/offsets.h"

enum {
	MAX_TOKENS = 100,
	RECORDS_MAX = 64,
};

static struct turn_record
make_record(enum turn_record_type type, const char *program, const char *turn,
    uint64_t spent)
{
	struct turn_record record = {
	    .type = type,
	    .epoch = 1,
	    .spent = spent,
	    .max_tokens = MAX_TOKENS,
	    .budget = 10L * MAX_TOKENS,
	};

	snprintf(record.program, sizeof(record.program), "%s", program);
	snprintf(record.turn, sizeof(record.turn), "%s", turn);
	return record;
}

static enum ledger_begin_result
begin(struct ledger *ledger, const char *program, const char *turn,
    uint64_t budget, int64_t now_us)
{
	const struct ledger_request request = {
	    .turn = turn,
	    .program = program,
	    .has_budget = true,
	    .budget = budget,
	    .max_tokens = MAX_TOKENS,
	    .deadline_us = now_us + 3L * US_PER_S,
	};

	return ledger_begin_turn(ledger, &request, now_us);
}

/* Makes all queued records durable. Returns their number. */
static size_t
make_durable(struct ledger *ledger)
{
	struct buf data = {0};
	size_t count = 0;

	while (ledger_next_record(ledger, &data)) {
		buf_reset(&data);
		count++;
	}
	ledger_batch_done(ledger, true);
	return count;
}

/* Takes and decodes the next queued record. */
static struct turn_record
next_record(struct ledger *ledger)
{
	struct turn_record record;
	struct buf data = {0};

	ck_assert(ledger_next_record(ledger, &data));
	ck_assert(turn_record_decode(data.data, data.len, &record, NULL));
	buf_reset(&data);
	return record;
}

/* Appends all queued records to an array of count records. Returns the new
 * count. */
static size_t
take_records(struct ledger *ledger, struct turn_record *records, size_t count)
{
	while (ledger_has_queued_records(ledger))
		records[count++] = next_record(ledger);
	return count;
}

static struct ledger *
create_owned_ledger(void)
{
	struct ledger *ledger = ledger_create(3);

	/* Long before the requests, so that the recovery after the takeover is
	 * over. */
	ledger_take_ownership(ledger, 1, -60 * (int64_t)US_PER_S);
	return ledger;
}

START_TEST(record_round_trip)
{
	struct turn_ref ancestors[2] = {
	    {.turn = "a", .partition = 1, .offset = 7, .bytes = 100},
	    {.turn = "b", .partition = 2, .offset = 9, .bytes = 200},
	};
	struct turn_record record =
	    make_record(TURN_RECORD_RETAINED, "p", "t", 40);
	struct turn_record decoded;
	struct buf data = {0};

	record.ancestors = ancestors;
	record.ancestor_count = 2;
	record.input = (struct wire_bytes){(const uint8_t *)"in", 2};
	record.output = (struct wire_bytes){(const uint8_t *)"out\n", 4};
	turn_record_encode(&record, &data);
	ck_assert(turn_record_decode(data.data, data.len, &decoded, NULL));
	ck_assert_int_eq(decoded.type, TURN_RECORD_RETAINED);
	ck_assert_str_eq(decoded.turn, "t");
	ck_assert_uint_eq(decoded.spent, 40);
	ck_assert_uint_eq(decoded.ancestor_count, 2);
	ck_assert_uint_eq(decoded.ancestors[1].offset, 9);
	ck_assert_uint_eq(decoded.output.len, 4);
	turn_record_reset(&decoded);
	for (size_t len = 0; len < data.len; len++)
		ck_assert(!turn_record_decode(data.data, len, &decoded, NULL));
	buf_reset(&data);
}
END_TEST

static void
check_parts(size_t input_len, size_t output_len, size_t record_max)
{
	uint8_t *bytes = xcalloc(1, input_len + output_len + 1);
	const struct turn_content content = {
	    .input = {.data = bytes, .len = input_len},
	    .output = {.data = bytes + input_len, .len = output_len},
	};
	size_t count = turn_content_part_count(&content, record_max);
	struct buf joined = {0};

	for (size_t i = 0; i < input_len + output_len; i++)
		bytes[i] = (uint8_t)(i * 7 + i / 251);
	for (size_t i = 0; i < count; i++) {
		struct buf data = {0};
		struct wire_bytes record;

		turn_content_encode_part(
		    &content, "t", (uint32_t)i, record_max, &data);
		ck_assert_uint_le(data.len, record_max);
		record = (struct wire_bytes){data.data, data.len};
		ck_assert(!turn_content_decode_part(
		    &record, "other", (uint32_t)i, &joined));
		ck_assert(!turn_content_decode_part(
		    &record, "t", (uint32_t)i + 1, &joined));
		ck_assert(turn_content_decode_part(
		    &record, "t", (uint32_t)i, &joined));
		buf_reset(&data);
	}
	ck_assert_uint_eq(joined.len, input_len + output_len);
	ck_assert(memcmp(joined.data, bytes, joined.len) == 0);
	buf_reset(&joined);
	free(bytes);
}

START_TEST(content_in_parts_fits_records)
{
	static const size_t record_max = 64 << 10;

	for (size_t len = 1; len < 5 * record_max; len += 30011) {
		check_parts(len, 0, record_max);
		check_parts(0, len, record_max);
		check_parts(len, 70001, record_max);
		check_parts(1, len, record_max);
	}
	check_parts((size_t)4 << 20, 200, (size_t)256 << 10);
}
END_TEST

START_TEST(turn_in_parts_counts_and_can_be_found)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_part parts[2] = {
	    {.offset = 4, .bytes = 100}, {.offset = 9, .bytes = 50}};
	struct turn_record record =
	    make_record(TURN_RECORD_RETAINED_IN_PARTS, "p", "t", 40);
	struct turn_record decoded;
	struct ledger_retained_turn retained;
	struct buf data = {0};

	record.parts = parts;
	record.part_count = 2;
	record.input_bytes = 120;
	turn_record_encode(&record, &data);
	ck_assert(turn_record_decode(data.data, data.len, &decoded, NULL));
	ck_assert_uint_eq(decoded.part_count, 2);
	ck_assert_uint_eq(decoded.parts[1].offset, 9);
	ck_assert_uint_eq(decoded.parts[1].bytes, 50);
	ck_assert_uint_eq(decoded.input_bytes, 120);
	ledger_apply(ledger, 10, (uint32_t)data.len, &decoded, 0);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), 40);
	ck_assert(ledger_find_retained_turn(ledger, "t", &retained));
	ck_assert_uint_eq(retained.ref.offset, 10);
	turn_record_reset(&decoded);
	buf_reset(&data);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(concurrent_turns_need_a_record)
{
	struct ledger *ledger = create_owned_ledger();

	ck_assert_int_eq(
	    begin(ledger, "p", "t1", 1000, 0), LEDGER_BEGIN_GRANTED);
	ck_assert(!ledger_has_queued_records(ledger));
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, 0), LEDGER_BEGIN_RECORD_PENDING);
	ck_assert(ledger_has_waiting_turns(ledger));
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, 0), LEDGER_BEGIN_RECORD_PENDING);
	ck_assert_uint_eq(make_durable(ledger), 1);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, 0), LEDGER_BEGIN_GRANTED);
	/* Turns of another program do not matter. */
	ck_assert_int_eq(
	    begin(ledger, "q", "t3", 1000, 0), LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(running_turns_count_with_max_tokens)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record end = make_record(TURN_RECORD_ENDED, "p", "t1", 10);

	ck_assert_int_eq(
	    begin(ledger, "p", "t1", 150, 0), LEDGER_BEGIN_GRANTED);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 150, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ledger_end_turn(ledger, &end, 0, 0, 0);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), 10);
	make_durable(ledger);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 150, 0), LEDGER_BEGIN_GRANTED);
	end = make_record(TURN_RECORD_ENDED, "p", "t2", 60);
	ledger_end_turn(ledger, &end, 0, 0, 0);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 150, 0), LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ledger_destroy(ledger);
}
END_TEST

/* The VM of such a turn is probably gone. Until then its program was refused
 * for 5 s after the deadline (soak, seeds 7, 344, 811). */
START_TEST(overdue_turns_hold_no_budget_beyond_the_promised_overrun)
{
	struct ledger *ledger = create_owned_ledger();
	int64_t late_us = (int64_t)3600 * US_PER_MS;

	begin(ledger, "p", "t1", 250, 0);
	begin(ledger, "p", "t2", 250, 0);
	make_durable(ledger);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 250, (int64_t)3300 * US_PER_MS),
	    LEDGER_BEGIN_BUDGET_IN_USE);
	ck_assert_int_eq(begin(ledger, "p", "t3", 250, late_us),
	    LEDGER_BEGIN_RECORD_PENDING);
	/* t1, t2 and t3 may have spent the budget and one turn. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t4", 250, late_us), LEDGER_BEGIN_BUDGET_IN_USE);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(turn_without_output_counts_nothing)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record end = make_record(TURN_RECORD_ENDED, "p", "t1", 0);

	ck_assert_int_eq(
	    begin(ledger, "p", "t1", 100, 0), LEDGER_BEGIN_GRANTED);
	ledger_end_turn(ledger, &end, 0, 0, 0);
	ck_assert(!ledger_has_queued_records(ledger));
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 100, 0), LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(copies_of_an_end_count_once)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record retained =
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 30);
	struct turn_record spent =
	    make_record(TURN_RECORD_ENDED, "p", "t1", 30);

	begin(ledger, "p", "t1", 1000, 0);
	ledger_end_turn(ledger, &retained, 5, 10, 0);
	ledger_apply(ledger, 6, 10, &retained, 0);
	ledger_end_turn(ledger, &spent, 0, 0, 0);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), 30);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(timed_out_end_counts_max_tokens_until_known)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record retained =
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 30);

	begin(ledger, "p", "t1", 1000, 0);
	ledger_expire(ledger, 9 * (int64_t)US_PER_S);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), MAX_TOKENS);
	ck_assert(ledger_has_timed_out_turns(ledger, "p"));
	ledger_apply(ledger, 4, 10, &retained, 9 * (int64_t)US_PER_S);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), 30);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(late_report_corrects_timed_out_end)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record late = make_record(TURN_RECORD_ENDED, "p", "t1", 30);

	begin(ledger, "p", "t1", 1000, 0);
	ledger_expire(ledger, 9 * (int64_t)US_PER_S);
	make_durable(ledger);
	ck_assert(ledger_has_timed_out_turns(ledger, "p"));
	ledger_end_turn(ledger, &late, 0, 0, 9 * (int64_t)US_PER_S);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), 30);
	ck_assert(!ledger_has_timed_out_turns(ledger, "p"));
	ck_assert_uint_eq(make_durable(ledger), 1);
	ledger_destroy(ledger);
}
END_TEST

/* Creates the ledger of a new owner from the records of the log. */
static struct ledger *
take_over(struct turn_record *records, size_t count, uint64_t epoch)
{
	struct ledger *ledger = ledger_create(3);

	for (size_t i = 0; i < count; i++)
		ledger_apply(ledger, i, 10, &records[i], 0);
	ledger_take_ownership(ledger, epoch, 0);
	return ledger;
}

/* A VM that crashes does not report the end of its turn. The max_tokens counted
 * for that turn may exceed the budget, by up to one turn. */
START_TEST(lost_turn_may_exceed_the_budget)
{
	struct ledger *ledger = create_owned_ledger();
	int64_t late_us = 9 * (int64_t)US_PER_S;
	struct turn_record record;
	begin(ledger, "p", "t1", 2L * MAX_TOKENS, 0);
	ledger_expire(ledger, late_us);
	ck_assert_uint_eq(ledger_spent(ledger, "p"), MAX_TOKENS);
	record = next_record(ledger);
	ledger_batch_done(ledger, true);
	ck_assert(record.end_timed_out);
	ck_assert_int_eq(begin(ledger, "p", "t2", MAX_TOKENS - 1, late_us),
	    LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ck_assert_int_ne(begin(ledger, "p", "t2", MAX_TOKENS, late_us),
	    LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ledger_destroy(ledger);
	/* A new owner learns this from the log. */
	ledger = take_over(&record, 1, 2);
	ck_assert_int_ne(begin(ledger, "p", "t3", MAX_TOKENS, 0),
	    LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(takeover_adds_placeholder_until_end_is_reported)
{
	struct turn_record records[] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	    make_record(TURN_RECORD_STARTED, "p", "\t1 p", 0),
	    make_record(TURN_RECORD_RETAINED, "p", "t2", 40),
	};
	struct turn_record late = make_record(TURN_RECORD_ENDED, "p", "t3", 5);
	struct ledger *ledger;

	records[2].epoch = 2;
	late.epoch = 2;
	ledger = take_over(records, 3, 3);
	/* 80 spent, one of two placeholders of 100 (the other may exceed the
	 * budget), 100 requested. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t4", 279, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ledger_end_turn(ledger, &late, 0, 0, 0);
	ck_assert_int_ne(
	    begin(ledger, "p", "t4", 279, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ledger_destroy(ledger);
}
END_TEST

/* When all VMs start at once, several takeovers follow each other. An owner
 * that granted no turn causes no further placeholder. */
START_TEST(takeovers_without_turns_add_one_placeholder)
{
	struct turn_record records[RECORDS_MAX] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	};
	struct ledger *ledger;
	size_t count = 1;
	int64_t now_us = 30 * (int64_t)US_PER_S;

	for (uint64_t epoch = 2; epoch < 6; epoch++) {
		ledger = take_over(records, count, epoch);
		count = take_records(ledger, records, count);
		ledger_destroy(ledger);
	}
	ledger = take_over(records, count, 6);
	ck_assert_uint_eq(count, 2);
	/* The placeholder does not count, since it may exceed the budget: 40
	 * spent, 100 requested. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 139, 0), LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 140, 0), LEDGER_BEGIN_RECORD_PENDING);
	ledger_destroy(ledger);
	ledger = take_over(records, count, 6);
	ledger_expire(ledger, now_us);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 140, now_us), LEDGER_BEGIN_RECORD_PENDING);
	ledger_destroy(ledger);
}
END_TEST

/* Regression test (turn-runs, seed 47355): the owner released the placeholder
 * first and crashed, so that the log had neither placeholder nor end. */
START_TEST(end_is_recorded_before_placeholder_is_released)
{
	struct turn_record records[] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	};
	struct turn_record late = make_record(TURN_RECORD_ENDED, "p", "t2", 5);
	struct ledger *ledger = take_over(records, 1, 2);
	struct turn_record record;
	make_durable(ledger);
	ledger_end_turn(ledger, &late, 0, 0, 0);
	record = next_record(ledger);
	ck_assert_str_eq(record.turn, "t2");
	ledger_destroy(ledger);
}
END_TEST

/* Takes over a partition, grants its program a turn at at_us, and takes it over
 * again. */
static struct ledger *
grant_between_takeovers(int64_t at_us)
{
	struct turn_record records[RECORDS_MAX] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	};
	struct ledger *ledger = take_over(records, 1, 2);
	size_t count = 1;

	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, at_us), LEDGER_BEGIN_RECORD_PENDING);
	count = take_records(ledger, records, count);
	/* The placeholder has to be durable before a turn is granted. */
	ck_assert_uint_eq(count, 3);
	ledger_destroy(ledger);
	return take_over(records, count, 3);
}

START_TEST(placeholders_survive_the_next_takeover)
{
	struct ledger *ledger = grant_between_takeovers(6 * (int64_t)US_PER_S);

	/* 40 spent, t2 and one of two placeholders at 100 each (the other may
	 * exceed the budget), 100 requested. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 339, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 340, 0), LEDGER_BEGIN_RECORD_PENDING);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(recovering_owner_needs_no_placeholder)
{
	struct ledger *ledger = grant_between_takeovers(0);

	/* 40 spent, t2 at 100, one placeholder that may exceed the budget, 100
	 * requested. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 239, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 240, 0), LEDGER_BEGIN_RECORD_PENDING);
	ledger_destroy(ledger);
}
END_TEST

/* Regression test (turn-runs, seed 468): a turn ended before its start record
 * was written. Its owner went on to grant turns without a record, as that start
 * record would have allowed, but the log did not tell the next owner so. */
START_TEST(end_without_start_record_allows_unrecorded_turns)
{
	struct turn_record records[] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	};
	struct turn_record end = make_record(TURN_RECORD_ENDED, "p", "t2", 0);
	struct ledger *ledger = take_over(records, 1, 2);
	struct turn_record record;
	int64_t now_us = 6 * (int64_t)US_PER_S;

	make_durable(ledger);
	ck_assert_int_eq(begin(ledger, "p", "t2", 1000, now_us),
	    LEDGER_BEGIN_RECORD_PENDING);
	ledger_end_turn(ledger, &end, 0, 0, now_us);
	record = next_record(ledger);
	ledger_batch_done(ledger, true);
	ck_assert_int_eq(record.type, TURN_RECORD_ENDED);
	ck_assert(record.allows_unrecorded);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", 1000, now_us), LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
}
END_TEST

/* A VM repeats its request and then reports the turn as ended, because the
 * owner did not respond in time. A copy of the request that arrives later must
 * not start the turn. */
START_TEST(cancelled_turn_is_not_granted_later)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record end = make_record(TURN_RECORD_ENDED, "p", "t1", 0);

	ledger_end_turn(ledger, &end, 0, 0, 0);
	ck_assert_int_eq(
	    begin(ledger, "p", "t1", 1000, 0), LEDGER_BEGIN_ALREADY_ENDED);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, 0), LEDGER_BEGIN_GRANTED);
	end = make_record(TURN_RECORD_ENDED, "p", "t2", 0);
	ledger_end_turn(ledger, &end, 0, 0, 0);
	ck_assert_int_eq(
	    begin(ledger, "p", "t2", 1000, 0), LEDGER_BEGIN_ALREADY_ENDED);
	ck_assert_int_eq(
	    begin(ledger, "p", "t3", MAX_TOKENS, 0), LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
}
END_TEST

/* Regression test (soak, seed 14): programs were refused for 35 s after a VM
 * had crashed, since the new owner did not know the deadlines of its turns. */
START_TEST(new_owner_knows_deadlines_of_turns)
{
	struct turn_record records[RECORDS_MAX] = {
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40),
	};
	struct ledger *ledger = take_over(records, 1, 2);
	size_t count = 1;
	int64_t now_us = 11 * (int64_t)US_PER_S;

	begin(ledger, "p", "t2", 1000, 0);
	begin(ledger, "p", "t3", 1000, 0);
	count = take_records(ledger, records, count);
	ledger_destroy(ledger);
	ledger = take_over(records, count, 3);
	/* 40 spent, t2 and t3 at 100 each, 100 requested. */
	ck_assert_int_eq(
	    begin(ledger, "p", "t4", 339, 0), LEDGER_BEGIN_BUDGET_IN_USE);
	ledger_expire(ledger, now_us);
	ck_assert_int_eq(begin(ledger, "p", "t4", 339, now_us),
	    LEDGER_BEGIN_BUDGET_EXHAUSTED);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(first_turns_after_a_takeover_are_recorded)
{
	struct ledger *ledger = take_over(NULL, 0, 2);

	ck_assert_int_eq(
	    begin(ledger, "new", "t1", 1000, 0), LEDGER_BEGIN_RECORD_PENDING);
	ck_assert_int_eq(
	    begin(ledger, "later", "t2", 1000, 6 * (int64_t)US_PER_S),
	    LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(chain_is_listed_oldest_first)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record record;
	struct turn_ref refs[8];
	struct turn_ref other[1] = {{.turn = "x", .partition = 9, .offset = 1}};

	record = make_record(TURN_RECORD_RETAINED, "p", "t1", 1);
	ledger_apply(ledger, 10, 1, &record, 0);
	record = make_record(TURN_RECORD_RETAINED, "p", "t2", 1);
	snprintf(record.previous, sizeof(record.previous), "t1");
	ledger_apply(ledger, 12, 1, &record, 0);
	ck_assert_uint_eq(ledger_chain(ledger, "t2", refs, 8), 2);
	ck_assert_str_eq(refs[0].turn, "t1");
	ck_assert_uint_eq(refs[1].offset, 12);
	ck_assert_uint_eq(ledger_chain(ledger, "t2", refs, 1), 0);
	/* t3 continues a turn of another partition. */
	record = make_record(TURN_RECORD_RETAINED, "p", "t3", 1);
	snprintf(record.previous, sizeof(record.previous), "x");
	record.ancestors = other;
	record.ancestor_count = 1;
	ledger_apply(ledger, 13, 1, &record, 0);
	ck_assert_uint_eq(ledger_chain(ledger, "t3", refs, 8), 2);
	ck_assert_uint_eq(refs[0].partition, 9);
	ck_assert_uint_eq(refs[1].partition, 3);
	ck_assert_uint_eq(ledger_chain(ledger, "none", refs, 8), 0);
	ledger_destroy(ledger);
}
END_TEST

/* Regression test (soak): the report of the second turn's end was lost, but
 * that of the third turn arrived. */
START_TEST(chain_includes_turn_with_unknown_end)
{
	struct turn_ref ancestors[2] = {{.turn = "t1"}, {.turn = "t2"}};
	struct turn_ref refs[4];
	struct turn_record record =
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 10);
	struct ledger *ledger = create_owned_ledger();

	ledger_end_turn(ledger, &record, 1, 10, 0);
	begin(ledger, "p", "t2", 1000, 0);
	record = make_record(TURN_RECORD_RETAINED, "p", "t3", 10);
	snprintf(record.previous, sizeof(record.previous), "t2");
	record.ancestors = ancestors;
	record.ancestor_count = 2;
	ledger_end_turn(ledger, &record, 3, 10, 0);
	ck_assert_uint_eq(ledger_chain(ledger, "t3", refs, 4), 3);
	ck_assert_str_eq(refs[1].turn, "t2");
	ledger_destroy(ledger);
}
END_TEST

START_TEST(chain_is_kept_as_long_as_its_newest_turn)
{
	struct ledger *ledger = create_owned_ledger();
	struct turn_record record =
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 1);
	struct turn_ref refs[8];
	int64_t later_us = 140 * (int64_t)US_PER_S;

	ledger_apply(ledger, 10, 1, &record, 0);
	record = make_record(TURN_RECORD_RETAINED, "p", "t2", 1);
	snprintf(record.previous, sizeof(record.previous), "t1");
	ledger_apply(ledger, 12, 1, &record, later_us);
	ledger_expire(ledger, 2 * later_us);
	ck_assert_uint_eq(ledger_chain(ledger, "t2", refs, 8), 2);
	ck_assert_uint_le(ledger_trim_offset(ledger, 100 * later_us), 10);
	ledger_expire(ledger, 3 * later_us);
	ck_assert_uint_eq(ledger_chain(ledger, "t2", refs, 8), 0);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(index_reproduces_the_ledger)
{
	struct ledger *ledger = create_owned_ledger();
	struct ledger *copy = ledger_create(3);
	struct turn_record record =
	    make_record(TURN_RECORD_RETAINED, "p", "t1", 40);
	struct buf data = {0};
	struct ledger_retained_turn retained;
	size_t count = 0;

	ledger_apply(ledger, 10, 77, &record, 0);
	record = make_record(TURN_RECORD_ENDED, "p", "t2", 5);
	ledger_apply(ledger, 11, 20, &record, 0);
	record = make_record(TURN_RECORD_STARTED, "p", "t3", 0);
	ledger_apply(ledger, 12, 20, &record, 0);
	while (ledger_next_index_record(ledger, SIZE_MAX, &data)) {
		ck_assert(
		    turn_record_decode(data.data, data.len, &record, NULL));
		ledger_apply(copy, record.offset, record.bytes, &record, 0);
		turn_record_reset(&record);
		buf_reset(&data);
		count++;
	}
	ck_assert_uint_eq(count, 3);
	ck_assert_uint_eq(ledger_spent(copy, "p"), 45);
	ck_assert(ledger_find_retained_turn(copy, "t1", &retained));
	ck_assert_uint_eq(retained.ref.offset, 10);
	ck_assert_uint_eq(retained.ref.bytes, 77);
	ck_assert_int_eq(begin(copy, "p", "t3", 1000, 0), LEDGER_BEGIN_GRANTED);
	ledger_destroy(ledger);
	ledger_destroy(copy);
}
END_TEST

/* Appends of the index that were longer than the store takes were rejected each
 * time, and the index was never written again. */
START_TEST(index_records_keep_to_a_size)
{
	static struct turn_ref ancestors[TURN_CHAIN_MAX];
	static const size_t max_bytes = 100000;
	struct ledger *ledger = create_owned_ledger();
	struct buf data = {0};
	size_t count = 0;

	for (size_t i = 0; i < TURN_CHAIN_MAX; i++)
		snprintf(ancestors[i].turn, NAME_BYTES, "ancestor-%zu", i);
	for (int i = 0; i < 20; i++) {
		char turn[16];
		struct turn_record record;

		snprintf(turn, sizeof(turn), "t%d", i);
		record = make_record(TURN_RECORD_RETAINED, "p", turn, 1);
		snprintf(record.previous, NAME_BYTES, "elsewhere");
		record.ancestors = ancestors;
		record.ancestor_count = TURN_CHAIN_MAX;
		ledger_apply(ledger, (uint64_t)i, 100, &record, 0);
	}
	while (ledger_has_index_records(ledger)) {
		size_t before = count;
		size_t bytes = 0;

		while (ledger_next_index_record(
		    ledger, max_bytes - bytes, &data)) {
			bytes += data.len;
			buf_reset(&data);
			count++;
		}
		ck_assert_uint_le(bytes, max_bytes);
		ck_assert_uint_gt(count, before);
	}
	ck_assert_uint_eq(count, 20);
	ledger_destroy(ledger);
}
END_TEST

START_TEST(session_servers_are_remembered)
{
	struct ledger *ledger = create_owned_ledger();

	begin(ledger, "p", "t1", 1000, 0);
	ck_assert_str_eq(ledger_session_server(ledger, "p", "s1"), "");
	ledger_set_session_server(ledger, "p", "s1", "one");
	ledger_set_session_server(ledger, "p", "s2", "two");
	ck_assert_str_eq(ledger_session_server(ledger, "p", "s1"), "one");
	/* A new session uses the server of the program's latest turn. */
	ck_assert_str_eq(ledger_session_server(ledger, "p", "s3"), "two");
	for (int i = 0; i < 20; i++) {
		char session[16];

		snprintf(session, sizeof(session), "many-%d", i);
		ledger_set_session_server(ledger, "p", session, "many");
	}
	ck_assert_str_eq(ledger_session_server(ledger, "p", "s1"), "many");
	ledger_destroy(ledger);
}
END_TEST

START_TEST(offsets_are_added_in_any_order)
{
	struct offsets offsets = {0};

	offsets_add(&offsets, 2);
	offsets_add(&offsets, 1);
	offsets_add(&offsets, 2);
	ck_assert_uint_eq(offsets.contiguous_end, 0);
	ck_assert(offsets_have_gap(&offsets));
	offsets_add(&offsets, 0);
	ck_assert_uint_eq(offsets.contiguous_end, 3);
	ck_assert(!offsets_have_gap(&offsets));
	offsets_add(&offsets, 9);
	offsets_add(&offsets, 5);
	offsets_advance(&offsets, 5);
	ck_assert_uint_eq(offsets.contiguous_end, 6);
	offsets_advance(&offsets, 4);
	ck_assert_uint_eq(offsets.contiguous_end, 6);
	offsets_advance(&offsets, 20);
	ck_assert_uint_eq(offsets.contiguous_end, 20);
	ck_assert(!offsets_have_gap(&offsets));
	offsets_add(&offsets, 3);
	ck_assert_uint_eq(offsets.contiguous_end, 20);
	offsets_reset(&offsets);
}
END_TEST

static void
put(struct history *history, const char *turn, const char *previous,
    const char *input, const char *output)
{
	struct history_turn entry = {
	    .previous = previous,
	    .input = {(const uint8_t *)input, strlen(input)},
	    .output = {(const uint8_t *)output, strlen(output)},
	};

	snprintf(entry.ref.turn, sizeof(entry.ref.turn), "%s", turn);
	history_put(history, &entry);
}

START_TEST(history_assembles_a_chain)
{
	struct history *history = history_create(1 << 20);
	struct turn_ref refs[4];
	bool missing[4];
	struct buf out = {0};

	put(history, "t1", "", "in1;", "out1\n");
	put(history, "t2", "t1", "in2;", "out2\n");
	ck_assert_uint_eq(history_chain(history, "t2", refs, 4), 2);
	ck_assert(history_assemble(history, refs, 2, &out, missing));
	ck_assert_str_eq(buf_text(&out), "in1;out1\nin2;out2\n");
	snprintf(refs[0].turn, sizeof(refs[0].turn), "gone");
	ck_assert(!history_assemble(history, refs, 2, &out, missing));
	ck_assert(missing[0] && !missing[1]);
	put(history, "t9", "gone", "", "");
	ck_assert_uint_eq(history_chain(history, "t9", refs, 4), 0);
	buf_reset(&out);
	history_destroy(history);
}
END_TEST

START_TEST(history_respects_its_memory_limit)
{
	struct history *history = history_create(4096);
	struct history_turn found;
	char input[1001];

	memset(input, 'x', sizeof(input));
	input[1000] = '\0';
	for (int i = 0; i < 50; i++) {
		char turn[16];

		snprintf(turn, sizeof(turn), "t%d", i);
		put(history, turn, "", input, "");
		ck_assert_uint_le(history_bytes(history), 4096);
		/* t0 is used each time and therefore not evicted. */
		ck_assert(i == 0 || history_get(history, "t0", &found));
	}
	ck_assert(!history_get(history, "t30", &found));
	history_destroy(history);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    record_round_trip,
	    content_in_parts_fits_records,
	    turn_in_parts_counts_and_can_be_found,
	    concurrent_turns_need_a_record,
	    running_turns_count_with_max_tokens,
	    overdue_turns_hold_no_budget_beyond_the_promised_overrun,
	    turn_without_output_counts_nothing,
	    copies_of_an_end_count_once,
	    timed_out_end_counts_max_tokens_until_known,
	    late_report_corrects_timed_out_end,
	    lost_turn_may_exceed_the_budget,
	    end_is_recorded_before_placeholder_is_released,
	    takeover_adds_placeholder_until_end_is_reported,
	    takeovers_without_turns_add_one_placeholder,
	    placeholders_survive_the_next_takeover,
	    recovering_owner_needs_no_placeholder,
	    end_without_start_record_allows_unrecorded_turns,
	    cancelled_turn_is_not_granted_later,
	    new_owner_knows_deadlines_of_turns,
	    first_turns_after_a_takeover_are_recorded,
	    chain_is_listed_oldest_first,
	    chain_includes_turn_with_unknown_end,
	    chain_is_kept_as_long_as_its_newest_turn,
	    index_reproduces_the_ledger,
	    index_records_keep_to_a_size,
	    session_servers_are_remembered,
	    offsets_are_added_in_any_order,
	    history_assembles_a_chain,
	    history_respects_its_memory_limit,
	};

	return run_tests("turn", tests, sizeof(tests) / sizeof(tests[0]));
}
