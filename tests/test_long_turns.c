/* Turns whose content is longer than a record of the store may be. Each must be
 * answered whole and can be continued, and must not harm the turns beside it.
 */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/cluster.h"
#include "tests/conversation.h"
#include "tests/runner.h"

enum {
	GATEWAYS = 3,
	CALL_MS = 5000,
	BUDGET = 100000,
	USUAL_BYTES = 17000,
	LONG_BYTES = 300000,
	REJECTED_BYTES = 60000,
	FILLING_BYTES = 200000,  /* three are longer than an append may be */
	LONGEST_BYTES = 4 << 20, /* of a request's body */
	RECORD_BYTES = 256 << 10,
	PARALLEL_TURNS = 8,
	LOG_US = 300 * US_PER_MS,    /* until lines are in the log */
	STREAM_US = 100 * US_PER_MS, /* until a turn's events have been sent */
};

static struct cluster cluster;
static const char *build_dir;
static char *input;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	input = xcalloc(1, LONGEST_BYTES + 1);
}

static void
teardown(void)
{
	free(input);
	cluster_stop(&cluster);
}

/* Returns an input whose bytes depend on their position, valid until the next
 * call. */
static const char *
input_of(size_t len)
{
	for (size_t i = 0; i < len; i++)
		input[i] = (char)('a' + (i * 31 + i / 997) % 26);
	input[len] = '\0';
	return input;
}

static int
port_of(int gateway)
{
	return cluster.gateways[gateway].process.port;
}

static int
send_turn(struct conversation *conversation, int gateway, const char *request,
    size_t len)
{
	return conversation_send_with_retries(
	    conversation, port_of(gateway), request, input_of(len), BUDGET);
}

static void
kill_all_gateways(void)
{
	for (int i = 0; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
}

/* A turn whose record exceeds the store's limit was cut at its end. */
START_TEST(turns_longer_than_a_record_are_kept)
{
	static const size_t lengths[] = {
	    RECORD_BYTES - 1000,
	    RECORD_BYTES - 100,
	    RECORD_BYTES,
	    RECORD_BYTES + 1,
	    (size_t)2 * RECORD_BYTES,
	    LONG_BYTES,
	    1000000,
	    LONGEST_BYTES,
	};
	enum { COUNT = sizeof(lengths) / sizeof(lengths[0]) };
	struct conversation conversations[COUNT] = {0};
	char request[32];

	for (int i = 0; i < COUNT; i++) {
		struct conversation *conversation = &conversations[i];

		snprintf(conversation->program, sizeof(conversation->program),
		    "p-%d", i);
		snprintf(request, sizeof(request), "long-%d", i);
		ck_assert_int_eq(
		    send_turn(conversation, 0, request, lengths[i]), 200);
		snprintf(request, sizeof(request), "next-%d", i);
		ck_assert_int_eq(
		    send_turn(conversation, 1, request, USUAL_BYTES), 200);
	}
	kill_all_gateways();
	for (int i = 0; i < COUNT; i++) {
		snprintf(request, sizeof(request), "last-%d", i);
		ck_assert_int_eq(
		    send_turn(&conversations[i], 2, request, USUAL_BYTES), 200);
		buf_reset(&conversations[i].transcript);
	}
}
END_TEST

START_TEST(chains_of_long_turns_are_continued)
{
	struct conversation conversation = {.program = "p-chain"};
	char request[32];

	for (int i = 0; i < 5; i++) {
		snprintf(request, sizeof(request), "chain-%d", i);
		ck_assert_int_eq(
		    send_turn(&conversation, i % GATEWAYS, request, LONG_BYTES),
		    200);
	}
	kill_all_gateways();
	ck_assert_int_eq(
	    send_turn(&conversation, 1, "chain-z", LONG_BYTES), 200);
	buf_reset(&conversation.transcript);
}
END_TEST

/* A history that is too long for a message was never sent, and the gateway that
 * asked for it waited in vain. */
START_TEST(long_histories_fit_into_messages)
{
	struct conversation conversation = {.program = "p-message"};
	char request[32];
	long dropped;

	for (int i = 0; i < 5; i++) {
		snprintf(request, sizeof(request), "message-%d", i);
		ck_assert_int_eq(
		    send_turn(&conversation, 0, request, LONG_BYTES), 200);
	}
	dropped = cluster_counter(&cluster, 0, "peer_dropped_total");
	ck_assert_int_eq(
	    send_turn(&conversation, 1, "message-z", USUAL_BYTES), 200);
	ck_assert_int_eq(
	    cluster_counter(&cluster, 0, "peer_dropped_total"), dropped);
	buf_reset(&conversation.transcript);
}
END_TEST

START_TEST(turns_with_long_outputs_are_kept)
{
	struct conversation conversation = {.program = "p-output"};

	ck_assert_int_ge(
	    cluster_add_server(&cluster, "models", "--event-bytes 100000"), 0);
	for (int i = 0; i < 2; i++)
		cluster_signal(&cluster.servers[i], SIGKILL);
	for (int i = 0; i < 3; i++) {
		char request[32];

		snprintf(request, sizeof(request), "output-%d", i);
		ck_assert_int_eq(
		    send_turn(&conversation, i, request, 100), 200);
	}
	ck_assert_uint_gt(
	    conversation.transcript.len, (size_t)3 * RECORD_BYTES);
	buf_reset(&conversation.transcript);
}
END_TEST

/* Runs turns of one program at a time; the first one has an input of another
 * length. While the store is slow, their records wait and go to it in common.
 */
static void
run_parallel_turns(
    struct conversation *conversations, int round, size_t first_len, size_t len)
{
	struct http_caller callers[PARALLEL_TURNS];
	char requests[PARALLEL_TURNS][32];

	for (int i = 0; i < PARALLEL_TURNS; i++) {
		snprintf(requests[i], sizeof(requests[i]), "parallel-%d-%d",
		    round, i);
		conversation_start(&conversations[i], port_of(0), requests[i],
		    input_of(i == 0 ? first_len : len), BUDGET, &callers[i]);
	}
	for (int i = 0; i < PARALLEL_TURNS; i++)
		ck_assert_int_eq(
		    conversation_finish(&conversations[i], requests[i],
			input_of(i == 0 ? first_len : len), &callers[i]),
		    200);
}

/* The records that went to the store in one call with a long one were given up
 * as well. */
START_TEST(long_turns_do_not_cut_others)
{
	struct conversation conversations[PARALLEL_TURNS] = {0};

	for (int i = 0; i < PARALLEL_TURNS; i++)
		snprintf(conversations[i].program,
		    sizeof(conversations[i].program), "p-parallel");
	run_parallel_turns(conversations, 0, LONG_BYTES, USUAL_BYTES);
	cluster_set_store_faults(&cluster, "{\"delay_ms\": 30}");
	for (int round = 1; round < 4; round++)
		run_parallel_turns(
		    conversations, round, LONG_BYTES, USUAL_BYTES);
	for (int i = 0; i < PARALLEL_TURNS; i++)
		buf_reset(&conversations[i].transcript);
}
END_TEST

/* Starts a long turn, runs `disturb` when its events have been sent and its
 * content is being stored, and checks that it is answered whole and kept. */
static void
check_long_turn_survives(
    const char *program, int gateway, void (*disturb)(void))
{
	struct conversation conversation = {0};
	struct http_caller caller;
	const char *long_input;

	snprintf(
	    conversation.program, sizeof(conversation.program), "%s", program);
	ck_assert_int_eq(
	    send_turn(&conversation, gateway, "before", USUAL_BYTES), 200);
	long_input = input_of(LONGEST_BYTES);
	conversation_start(&conversation, port_of(gateway), "held", long_input,
	    BUDGET, &caller);
	usleep(STREAM_US);
	disturb();
	ck_assert_int_eq(
	    conversation_finish(&conversation, "held", long_input, &caller),
	    200);
	ck_assert_int_eq(
	    send_turn(&conversation, 1, "after", USUAL_BYTES), 200);
	buf_reset(&conversation.transcript);
}

/* Runs turns at a time of which the store rejects the record of one. */
static void
run_with_rejected_turn(
    struct conversation *conversations, int gateway, int round)
{
	struct http_caller callers[PARALLEL_TURNS];
	char requests[PARALLEL_TURNS][32];
	struct http_reply reply;
	int rejected = round % PARALLEL_TURNS;

	for (int i = 0; i < PARALLEL_TURNS; i++) {
		snprintf(requests[i], sizeof(requests[i]), "rejected-%d-%d",
		    round, i);
		conversation_start(&conversations[i], port_of(gateway),
		    requests[i],
		    input_of(i == rejected ? REJECTED_BYTES : USUAL_BYTES),
		    BUDGET, &callers[i]);
	}
	for (int i = 0; i < PARALLEL_TURNS; i++) {
		if (i != rejected) {
			ck_assert_int_eq(
			    conversation_finish(&conversations[i], requests[i],
				input_of(USUAL_BYTES), &callers[i]),
			    200);
			continue;
		}
		http_caller_read(&callers[i], CALL_MS, &reply);
		ck_assert(!reply.complete);
		http_reply_reset(&reply);
		http_caller_close(&callers[i]);
	}
}

/* An append that the store rejects for one record cut the turns of all its
 * records. */
START_TEST(rejected_records_fail_their_own_turns_only)
{
	struct conversation conversations[PARALLEL_TURNS] = {0};

	for (int i = 0; i < PARALLEL_TURNS; i++)
		snprintf(conversations[i].program,
		    sizeof(conversations[i].program), "p-rejected");
	cluster_set_store_faults(
	    &cluster, "{\"delay_ms\": 30, \"record_max_bytes\": 50000}");
	for (int round = 0; round < 6; round++)
		run_with_rejected_turn(conversations, 0, round);
	for (int i = 0; i < PARALLEL_TURNS; i++)
		buf_reset(&conversations[i].transcript);
}
END_TEST

/* Appends may not exceed the store's limit with their last record. */
START_TEST(appends_keep_to_the_limit_of_the_store)
{
	struct conversation conversations[PARALLEL_TURNS] = {0};

	for (int i = 0; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	cluster.more_settings = "[gateway]\nappend_max = 512 KiB\n";
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	for (int i = 0; i < PARALLEL_TURNS; i++)
		snprintf(conversations[i].program,
		    sizeof(conversations[i].program), "p-append");
	cluster_set_store_faults(
	    &cluster, "{\"delay_ms\": 30, \"append_max_bytes\": 524288}");
	for (int round = 0; round < 3; round++)
		run_parallel_turns(
		    conversations, round, FILLING_BYTES, FILLING_BYTES);
	usleep(LOG_US);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(!cluster_has_logged(&cluster, i, "append_rejected"));
	for (int i = 0; i < PARALLEL_TURNS; i++)
		buf_reset(&conversations[i].transcript);
}
END_TEST

static void
stop_gateway(void)
{
	kill(cluster.gateways[0].process.pid, SIGTERM);
}

START_TEST(planned_stop_cuts_no_long_turn)
{
	check_long_turn_survives("p-stop", 0, stop_gateway);
}
END_TEST

static void
stop_store_for_a_while(void)
{
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 700}");
}

START_TEST(long_turns_wait_for_the_store)
{
	check_long_turn_survives("p-outage", 0, stop_store_for_a_while);
}
END_TEST

static void
lose_store_responses(void)
{
	cluster_set_store_faults(&cluster,
	    "{\"lose_replies\": 4, \"match_path\": \"/v1/log-append\"}");
}

/* Parts that were appended twice are read once. */
START_TEST(long_turns_survive_lost_responses_of_the_store)
{
	check_long_turn_survives("p-lost", 0, lose_store_responses);
	kill_all_gateways();
}
END_TEST

enum { CUT_GATEWAY = GATEWAYS };

static void
cut_from_store(void)
{
	cluster_set_store_path(&cluster, CUT_GATEWAY, "reset");
}

START_TEST(long_turns_are_recorded_through_other_gateways)
{
	ck_assert_int_eq(cluster_add_gateway_with_paths(&cluster), CUT_GATEWAY);
	ck_assert(cluster_wait_ready(&cluster, CUT_GATEWAY));
	check_long_turn_survives("p-cut", CUT_GATEWAY, cut_from_store);
}
END_TEST

/* A record that the store rejects through other gateways held up all others of
 * its partition. */
START_TEST(records_rejected_through_other_gateways_hold_up_no_others)
{
	struct conversation conversations[PARALLEL_TURNS] = {0};

	ck_assert_int_eq(cluster_add_gateway_with_paths(&cluster), CUT_GATEWAY);
	ck_assert(cluster_wait_ready(&cluster, CUT_GATEWAY));
	for (int i = 0; i < PARALLEL_TURNS; i++) {
		snprintf(conversations[i].program,
		    sizeof(conversations[i].program), "p-held-up");
	}
	ck_assert_int_eq(
	    send_turn(&conversations[1], CUT_GATEWAY, "before", USUAL_BYTES),
	    200);
	cluster_set_store_faults(&cluster, "{\"record_max_bytes\": 50000}");
	cut_from_store();
	run_with_rejected_turn(conversations, CUT_GATEWAY, 0);
	for (int i = 0; i < PARALLEL_TURNS; i++)
		buf_reset(&conversations[i].transcript);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    turns_longer_than_a_record_are_kept,
	    chains_of_long_turns_are_continued,
	    long_histories_fit_into_messages,
	    turns_with_long_outputs_are_kept,
	    long_turns_do_not_cut_others,
	    rejected_records_fail_their_own_turns_only,
	    appends_keep_to_the_limit_of_the_store,
	    planned_stop_cuts_no_long_turn,
	    long_turns_wait_for_the_store,
	    long_turns_survive_lost_responses_of_the_store,
	    long_turns_are_recorded_through_other_gateways,
	    records_rejected_through_other_gateways_hold_up_no_others,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("long-turns", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
