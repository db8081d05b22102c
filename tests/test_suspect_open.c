/* What became of a run is not known for seconds: servers fall silent, the list
 * can't be read, and VMs die while their runs are under way. Runs whose outcome
 * is open bound how often their request is sent. */
#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "tests/runner.h"
#include "tests/suspect_days.h"

enum {
	INNOCENT = 1,
	INNOCENTS = 10000,
	SERVERS = 30,
	SILENT_SERVERS = 10,
	RETRY_US = 1 * US_PER_S,
	LISTED_US = 4100 * US_PER_MS, /* until the list shows their ends */
	PAY_MAX = INNOCENTS / 20,
};

START_TEST(silent_servers_bound_a_request_while_vms_and_the_store_misbehave)
{
	static const struct troubles troubles = {.vms = true, .silent = true};

	suspect_days_check(SUSPECT_DAY_S, &troubles);
}
END_TEST

START_TEST(runs_outlive_the_vms_that_sent_them)
{
	static const struct troubles troubles = {
	    .silent = true, .senders = true};

	suspect_days_check(SUSPECT_DAY_S, &troubles);
}
END_TEST

START_TEST(senders_that_die_in_all_other_troubles_bound_a_request)
{
	static const struct troubles troubles = {
	    .vms = true, .silent = true, .senders = true};

	suspect_days_check(SUSPECT_DAY_S, &troubles);
}
END_TEST

/* What a harmless request pays as a third of the servers fall silent at once.
 */
struct payment {
	bool was_held;
	bool was_refused;
	int64_t held_us;
};

/* Counts the runs at silent servers, whose end the list shows. */
static void
count_crashes(struct suspects *suspects, struct unfinished *unfinished)
{
	for (uint64_t server = 1; server <= SILENT_SERVERS; server++) {
		const struct server_start start = {
		    .server = server, .started_wall_ms = 1};
		struct unfinished_run run;
		struct suspect_crash crash;

		while (unfinished_server_ended(
			   unfinished, &start, LISTED_US, &run, 1) > 0)
			suspects_add_run(suspects, unfinished, &run, &crash);
	}
}

static struct payment
play_innocent(struct rng *rng)
{
	struct suspects suspects = {0};
	struct unfinished *unfinished = xcalloc(1, sizeof(*unfinished));
	struct payment payment = {0};

	for (int64_t now_us = 0; now_us < LISTED_US; now_us += RETRY_US) {
		struct suspicion suspicion =
		    suspects_count(&suspects, unfinished, INNOCENT, now_us);
		uint64_t server = 1 + rng_below(rng, SERVERS);
		struct unfinished_run run;

		if (suspects_hold(&suspicion)) {
			payment.was_held = true;
			payment.held_us += RETRY_US;
			continue;
		}
		if (server > SILENT_SERVERS)
			break;
		run = suspect_run(INNOCENT, server, now_us, now_us + RETRY_US);
		run.broken = false;
		unfinished_add(unfinished, &run);
		if (now_us + RETRY_US >= LISTED_US)
			break;
	}
	count_crashes(&suspects, unfinished);
	payment.was_refused = suspects_refuse(&suspects, INNOCENT);
	suspects_reset(&suspects);
	free(unfinished);
	return payment;
}

START_TEST(few_harmless_requests_pay_for_a_mass_loss_of_servers)
{
	struct rng rng;
	int held = 0;
	int refused = 0;

	rng_init(&rng, 1);
	for (int i = 0; i < INNOCENTS; i++) {
		struct payment payment = play_innocent(&rng);

		held += payment.was_held;
		refused += payment.was_refused;
		/* They wait for the list only. */
		ck_assert_int_lt(payment.held_us, LISTED_US);
		ck_assert(payment.was_refused || !payment.was_held);
	}
	printf("of %d: %d held back, %d refused\n", INNOCENTS, held, refused);
	/* Those whose three servers in a row were silent. */
	ck_assert_int_le(held, PAY_MAX);
	ck_assert_int_le(refused, PAY_MAX);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    few_harmless_requests_pay_for_a_mass_loss_of_servers,
	    silent_servers_bound_a_request_while_vms_and_the_store_misbehave,
	    runs_outlive_the_vms_that_sent_them,
	    senders_that_die_in_all_other_troubles_bound_a_request,
	};

	return run_tests(
	    "suspect-open", tests, sizeof(tests) / sizeof(tests[0]));
}
