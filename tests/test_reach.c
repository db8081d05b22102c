#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/rng.h"
#include "dispatch/reach.h"
#include "tests/runner.h"
#include "tests/times.h"

enum {
	SERVERS = 15,
	/* What a connection attempt takes at the most, and in doubt. */
	CONNECT_US = 400 * US_PER_MS,
	DOUBTFUL_CONNECT_US = 150 * US_PER_MS,
	TRIED_MAX = 8,
	TICK_US = 100 * US_PER_MS,
};

/* Requests a second that one VM gets: 144 at 12 VMs, 360 at 79 and 300. */
static const double RATES[] = {12, 4.5, 1.2};

/** How new connections to servers end. */
enum fault {
	FAULT_HANGS,   /**< after a timeout */
	FAULT_REFUSED, /**< at once */
};

/** One VM that sends requests on new connections. */
struct vm {
	struct reach reach;
	struct rng rng;
	bool dead[SERVERS];
	enum fault fault;
	int64_t lost_us; /**< when the loss was noticed; 0: not */
	int unserved;    /**< requests that found no server */
};

static void
vm_init(struct vm *vm, uint64_t seed, enum fault fault)
{
	*vm = (struct vm){.fault = fault};
	rng_init(&vm->rng, seed);
}

/* Tries servers until one is reached, as the gateway does. */
static void
handle_request(struct vm *vm, int64_t now_us)
{
	for (int tried = 0; tried < TRIED_MAX && !vm->reach.lost; tried++) {
		size_t server = rng_below(&vm->rng, SERVERS);

		if (!vm->dead[server]) {
			reach_handle_reached(&vm->reach, now_us);
			return;
		}
		if (vm->fault == FAULT_HANGS)
			now_us += reach_needs_new_connection(&vm->reach, now_us)
			    ? DOUBTFUL_CONNECT_US
			    : CONNECT_US;
		if (reach_handle_failure(
			&vm->reach, server + 1, SERVERS, now_us))
			vm->lost_us = now_us;
	}
	vm->unserved++;
}

/* Sends requests at random times in a span. */
static void
play(struct vm *vm, double per_s, int64_t from_us, int64_t to_us)
{
	double at_us = (double)from_us;

	for (;;) {
		at_us -= log(1 - rng_real(&vm->rng)) * US_PER_S / per_s;
		if (at_us >= (double)to_us)
			return;
		handle_request(vm, (int64_t)at_us);
	}
}

START_TEST(loss_of_all_paths_is_noticed_by_one_or_two_requests)
{
	for (size_t i = 0; i < 3; i++) {
		for (int fault = FAULT_HANGS; fault <= FAULT_REFUSED; fault++) {
			for (uint64_t seed = 1; seed <= 200; seed++) {
				struct vm vm;

				vm_init(&vm, seed, (enum fault)fault);
				play(&vm, RATES[i], 0, seconds(10));
				ck_assert(!vm.reach.lost);
				memset(vm.dead, true, sizeof(vm.dead));
				play(&vm, RATES[i], seconds(10), seconds(25));
				ck_assert(vm.reach.lost);
				/* Until the first request, and its tries. */
				ck_assert_int_le(vm.lost_us,
				    seconds(10) +
					(int64_t)((double)seconds(7) /
					    RATES[i]) +
					seconds(2));
			}
		}
	}
}
END_TEST

START_TEST(dead_servers_are_no_loss_of_all_paths)
{
	static const size_t dead_counts[] = {1, 3, 5};

	for (size_t i = 0; i < 3; i++) {
		for (size_t k = 0; k < 3; k++) {
			int losses = 0;

			for (uint64_t seed = 1; seed <= 100; seed++) {
				struct vm vm;

				vm_init(&vm, seed, FAULT_HANGS);
				for (size_t d = 0; d < dead_counts[k]; d++)
					vm.dead[d] = true;
				play(&vm, RATES[i], 0, seconds(10));
				losses += vm.lost_us != 0;
			}
			/* Three in a row must be dead: never with one, and
			 * seldom before the dead ones are left alone, which
			 * this test does not do. */
			if (dead_counts[k] < REACH_EVIDENCE)
				ck_assert_int_eq(losses, 0);
		}
	}
}
END_TEST

START_TEST(one_response_ends_the_loss)
{
	struct vm vm;

	vm_init(&vm, 1, FAULT_REFUSED);
	memset(vm.dead, true, sizeof(vm.dead));
	play(&vm, 12, 0, seconds(5));
	ck_assert(vm.reach.lost);
	ck_assert(reach_probe_is_due(&vm.reach, seconds(6)));
	ck_assert(!reach_probe_is_due(&vm.reach, seconds(6) + 1000));
	ck_assert(reach_handle_reached(&vm.reach, seconds(6)));
	ck_assert(!vm.reach.lost);
	ck_assert(!reach_handle_reached(&vm.reach, seconds(6)));
	ck_assert(!reach_probe_is_due(&vm.reach, seconds(9)));
}
END_TEST

START_TEST(old_failures_are_no_evidence)
{
	struct reach reach = {0};

	for (uint64_t server = 1; server <= 8; server++)
		ck_assert(!reach_handle_failure(
		    &reach, server, SERVERS, seconds(6 * (int)server)));
	ck_assert(!reach_handle_failure(&reach, 8, SERVERS, seconds(49)));
	ck_assert(!reach_handle_failure(&reach, 9, SERVERS, seconds(49)));
	ck_assert(reach_handle_failure(&reach, 10, SERVERS, seconds(49)));
}
END_TEST

START_TEST(one_server_alone_is_no_evidence)
{
	struct reach reach = {0};

	for (int i = 0; i < 10; i++)
		ck_assert(!reach_handle_failure(&reach, 1, 1, i));
	for (int i = 0; i < 10; i++)
		ck_assert(!reach_handle_failure(&reach, 1, SERVERS, i));
	ck_assert(reach_needs_new_connection(&reach, seconds(3)));
}
END_TEST

START_TEST(silence_asks_for_new_connections_only)
{
	struct reach reach = {0};

	reach_handle_bytes(&reach, 0);
	reach_check_silence(&reach, 5, ms(200));
	ck_assert(!reach_needs_new_connection(&reach, seconds(3)));
	reach_check_silence(&reach, 1, seconds(2));
	ck_assert(!reach_needs_new_connection(&reach, seconds(3)));
	reach_check_silence(&reach, 2, seconds(2));
	ck_assert(reach_needs_new_connection(&reach, seconds(3)));
	ck_assert(!reach.lost);
	reach_handle_bytes(&reach, seconds(2));
	ck_assert(!reach_needs_new_connection(&reach, seconds(3)));
}
END_TEST

START_TEST(kept_connections_are_used_while_they_live_on)
{
	struct reach reach = {0};

	for (uint64_t server = 1; server <= 3; server++)
		reach_handle_failure(&reach, server, SERVERS, seconds(10));
	ck_assert(reach.lost);
	ck_assert(reach_needs_new_connection(&reach, seconds(10)));
	reach_handle_bytes(&reach, seconds(10));
	ck_assert(!reach_needs_new_connection(&reach, seconds(10) + 1));
	ck_assert(reach_needs_new_connection(&reach, seconds(11)));
}
END_TEST

START_TEST(requests_go_as_near_as_enough_vms_reach_servers)
{
	/* failure domain, region, anywhere */
	struct reach_group groups[] = {{5, 5}, {5, 5}, {69, 69}};

	ck_assert_int_eq(reach_choose_distance(groups, 3), 0);
	groups[0].reaching = 2;
	ck_assert_int_eq(reach_choose_distance(groups, 3), 0);
	groups[0].reaching = 1;
	ck_assert_int_eq(reach_choose_distance(groups, 3), 1);
	groups[0].reaching = 0;
	groups[1].reaching = 3;
	ck_assert_int_eq(reach_choose_distance(groups, 3), 2);
	groups[1].reaching = 0;
	groups[2].reaching = 1;
	ck_assert_int_eq(reach_choose_distance(groups, 3), 2);
	groups[2].reaching = 0;
	ck_assert_int_eq(reach_choose_distance(groups, 3), -1);
}
END_TEST

/* Cuts off six tenths of the VMs, whose requests go to the others. Returns the
 * most that one of these runs at a time, as a multiple of the mean. */
static double
most_taken_over(size_t vms, uint64_t seed)
{
	struct reach_candidate candidates[300];
	size_t count = vms * 4 / 10;
	uint64_t most = 0;
	struct rng rng;
	enum { REQUESTS = 200 };

	rng_init(&rng, seed);
	for (size_t i = 0; i < count; i++)
		candidates[i] = (struct reach_candidate){.at = i};
	for (size_t i = 0; i < count * REQUESTS; i++) {
		size_t at = reach_choose_candidate(candidates, count, &rng);

		candidates[at].running++;
	}
	for (size_t i = 0; i < count; i++)
		most =
		    candidates[i].running > most ? candidates[i].running : most;
	return (double)most / REQUESTS;
}

/* Without any knowledge of the others' load. */
static double
most_taken_over_blindly(size_t vms, uint64_t seed)
{
	struct reach_candidate candidates[300];
	int taken[300] = {0};
	size_t count = vms * 4 / 10;
	int most = 0;
	struct rng rng;
	enum { REQUESTS = 200 };

	rng_init(&rng, seed);
	for (size_t i = 0; i < count; i++)
		candidates[i] = (struct reach_candidate){.at = i};
	for (size_t i = 0; i < count * REQUESTS; i++)
		taken[reach_choose_candidate(candidates, count, &rng)]++;
	for (size_t i = 0; i < count; i++)
		most = taken[i] > most ? taken[i] : most;
	return (double)most / REQUESTS;
}

START_TEST(taken_over_requests_are_spread)
{
	static const size_t vm_counts[] = {12, 79, 300};

	for (size_t i = 0; i < 3; i++) {
		for (uint64_t seed = 1; seed <= 20; seed++) {
			ck_assert_double_le(
			    most_taken_over(vm_counts[i], seed), 1.1);
			ck_assert_double_le(
			    most_taken_over_blindly(vm_counts[i], seed), 1.5);
		}
	}
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    loss_of_all_paths_is_noticed_by_one_or_two_requests,
	    dead_servers_are_no_loss_of_all_paths,
	    one_response_ends_the_loss,
	    old_failures_are_no_evidence,
	    one_server_alone_is_no_evidence,
	    silence_asks_for_new_connections_only,
	    kept_connections_are_used_while_they_live_on,
	    requests_go_as_near_as_enough_vms_reach_servers,
	    taken_over_requests_are_spread,
	};

	return run_tests("reach", tests, sizeof(tests) / sizeof(tests[0]));
}
