#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/rng.h"
#include "dispatch/backends.h"
#include "dispatch/limits.h"
#include "dispatch/permits.h"
#include "tests/runner.h"
#include "tests/times.h"

enum {
	SERVERS = 12,
	ARRIVALS_MAX = 20000,
	/* One way between two VMs of different regions. */
	DELAY_US = 8 * US_PER_MS,
	/* Until the others take a VM for dead. */
	DEAD_AFTER_US = 1500 * US_PER_MS,
	WINDOW_US = 4 * US_PER_S,
	SETTLE_US = 5 * US_PER_S, /**< after which the capacity is measured */
};

static const int VM_COUNTS[] = {12, 79, 300};

/** A fleet of VMs that send requests to servers with equal limits. */
struct fleet {
	int vms;
	double per_s; /**< limit of a server */
	struct rng rng;
	/** What two VMs have given, for the case that both coordinate. */
	struct permits first, second;
	struct limit known[300][SERVERS]; /**< what a VM expects */
	int64_t arrivals[SERVERS][ARRIVALS_MAX];
	int arrival_count[SERVERS];
	uint64_t messages;
	uint64_t requests;
	uint64_t refused;
	/** Part of the VMs that asks the second coordinator. */
	double second_part;
	double first_share, second_share;
	bool first_dead;
};

static struct fleet fleet;

static void
fleet_init(int vms, double per_s)
{
	permits_reset(&fleet.first);
	permits_reset(&fleet.second);
	memset(&fleet, 0, sizeof(fleet));
	fleet.vms = vms;
	fleet.per_s = per_s;
	fleet.first_share = 1;
	fleet.second_share = 1;
	rng_init(&fleet.rng, (uint64_t)vms);
}

static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Checks that no server got more than one and a half times its limit and five
 * requests in any window. */
static void
check_sums(void)
{
	double allowed = 1.5 * fleet.per_s * WINDOW_US / US_PER_S + 5;

	for (int server = 0; server < SERVERS; server++) {
		int64_t *times = fleet.arrivals[server];
		int count = fleet.arrival_count[server];

		qsort(times, (size_t)count, sizeof(*times), compare_times);
		for (int first = 0, end = 0; first < count; first++) {
			while (end < count &&
			    times[end] < times[first] + WINDOW_US)
				end++;
			ck_assert_msg(end - first <= allowed,
			    "%d VMs: server %d got %d requests from %.2f s on, "
			    "allowed %.1f",
			    fleet.vms, server, end - first,
			    (double)times[first] / US_PER_S, allowed);
		}
	}
}

/* Returns the share of the permitted requests that were sent in a span. */
static double
capacity_used(int64_t from_us, int64_t to_us)
{
	int sent = 0;

	for (int server = 0; server < SERVERS; server++) {
		for (int i = 0; i < fleet.arrival_count[server]; i++)
			sent += fleet.arrivals[server][i] >= from_us &&
			    fleet.arrivals[server][i] < to_us;
	}
	return sent /
	    (fleet.per_s * SERVERS * (double)(to_us - from_us) / US_PER_S);
}

static void
record_arrival(int server, int64_t at_us)
{
	ck_assert_int_lt(fleet.arrival_count[server], ARRIVALS_MAX);
	fleet.arrivals[server][fleet.arrival_count[server]++] = at_us;
}

/* Asks for a permit as the gateway does. Returns whether it was granted. */
static bool
ask(int vm, int server, int64_t max_wait_us, int64_t now_us)
{
	struct limit *known = &fleet.known[vm][server];
	bool second = vm < fleet.second_part * fleet.vms;
	const struct permit_terms terms = {
	    .per_s = fleet.per_s,
	    .share = second ? fleet.second_share : fleet.first_share,
	    .max_wait_us = max_wait_us,
	};
	struct permit permit;

	fleet.messages++;
	if (!second && fleet.first_dead) {
		limit_expect_permit(known, now_us + PERMIT_PAUSE_US);
		return false;
	}
	fleet.messages++;
	permit = permits_take(second ? &fleet.second : &fleet.first,
	    (uint64_t)server + 1, &terms, now_us + DELAY_US);
	if (permit.granted)
		record_arrival(
		    server, now_us + (int64_t)2 * DELAY_US + permit.wait_us);
	limit_expect_permit(known,
	    now_us + permit.wait_us +
		(permit.granted ? (int64_t)(US_PER_S / fleet.per_s)
				: max_wait_us));
	return permit.granted;
}

static int
choose_server(int vm, int64_t max_wait_us, int64_t now_us)
{
	int first = (int)rng_below(&fleet.rng, SERVERS);

	for (int i = 0; i < SERVERS; i++) {
		int server = (first + i) % SERVERS;

		if (limit_permit_wait_us(&fleet.known[vm][server], now_us) <=
		    max_wait_us)
			return server;
	}
	return -1;
}

/* Handles a request at a VM. The first VMs have more callers than the last. */
static void
handle_request(int64_t now_us)
{
	int vm = (int)(fleet.vms * pow(rng_real(&fleet.rng), 2));
	const struct permit_claim claim = {
	    .priority = (uint32_t)rng_below(&fleet.rng, 3),
	    .left_us = seconds(3),
	};
	int64_t max_wait_us = permits_max_wait_us(&claim);

	fleet.requests++;
	for (int asked = 0; asked < 2; asked++) {
		int server = choose_server(vm, max_wait_us, now_us);

		if (server < 0)
			break;
		if (ask(vm, server, max_wait_us, now_us))
			return;
	}
	fleet.refused++;
}

/* Plays requests at a multiple of what all limits together allow. */
static void
play(int64_t from_us, int64_t to_us, double demand)
{
	double per_s = demand * fleet.per_s * SERVERS;
	double at_us = (double)from_us;

	while (at_us < (double)to_us) {
		handle_request((int64_t)at_us);
		at_us -= log(1 - rng_real(&fleet.rng)) * US_PER_S / per_s;
	}
}

START_TEST(limits_hold_for_all_vms_together)
{
	static const double limits[] = {0.5, 1, 5, 40};

	for (size_t i = 0; i < 3; i++) {
		for (size_t k = 0; k < 4; k++) {
			double used;

			fleet_init(VM_COUNTS[i], limits[k]);
			play(0, seconds(40), 4);
			check_sums();
			used = capacity_used(SETTLE_US, seconds(40));
			ck_assert_msg(used > 0.9,
			    "%d VMs, %.1f a second: %.2f of it used",
			    VM_COUNTS[i], limits[k], used);
		}
	}
}
END_TEST

START_TEST(demand_below_the_limits_is_served)
{
	for (size_t i = 0; i < 3; i++) {
		fleet_init(VM_COUNTS[i], 5);
		play(0, SETTLE_US, 0.5);
		fleet.refused = 0;
		fleet.requests = 0;
		play(SETTLE_US, seconds(40), 0.7);
		check_sums();
		ck_assert_msg(fleet.refused < fleet.requests / 50,
		    "%d VMs: %llu of %llu refused", VM_COUNTS[i],
		    (unsigned long long)fleet.refused,
		    (unsigned long long)fleet.requests);
	}
}
END_TEST

START_TEST(limits_hold_when_the_coordinator_dies)
{
	for (size_t i = 0; i < 3; i++) {
		fleet_init(VM_COUNTS[i], 5);
		play(0, seconds(10), 2);
		fleet.first_dead = true;
		play(seconds(10), seconds(10) + DEAD_AFTER_US, 2);
		fleet.second_part = 1;
		play(seconds(10) + DEAD_AFTER_US, seconds(40), 2);
		check_sums();
		ck_assert(capacity_used(seconds(17), seconds(40)) > 0.9);
	}
}
END_TEST

START_TEST(limits_hold_while_vms_disagree_on_the_coordinator)
{
	for (size_t i = 0; i < 3; i++) {
		fleet_init(VM_COUNTS[i], 5);
		play(0, seconds(10), 2);
		fleet.second_part = 0.5;
		play(seconds(10), seconds(14), 2);
		fleet.second_part = 0;
		play(seconds(14), seconds(30), 2);
		check_sums();
	}
}
END_TEST

START_TEST(limits_hold_while_vms_are_split_for_long)
{
	for (size_t i = 0; i < 3; i++) {
		size_t vms = (size_t)VM_COUNTS[i];

		fleet_init(VM_COUNTS[i], 5);
		play(0, seconds(10), 2);
		fleet.second_part = 0.4;
		fleet.second_share = permits_share(vms * 4 / 10, vms);
		fleet.first_share = permits_share(vms - vms * 4 / 10, vms);
		play(seconds(10), seconds(40), 4);
		check_sums();
	}
}
END_TEST

START_TEST(shares_of_split_vms_stay_below_one_and_a_half)
{
	for (size_t known = 1; known <= 40; known++) {
		for (size_t a = 1; a <= known; a++) {
			double sum = permits_share(a, known);

			if (known > a)
				sum += permits_share(known - a, known);
			ck_assert_double_le(sum, 1.5);
		}
	}
	ck_assert_double_eq(permits_share(300, 300), 1);
	ck_assert_double_eq(permits_share(40, 79), 1);
	ck_assert_double_le(permits_share(1, 12), 1.0 / 12);
}
END_TEST

START_TEST(less_urgent_requests_are_refused_first)
{
	const struct permit_claim urgent = {.left_us = seconds(3)};
	const struct permit_claim late = {.priority = 2, .left_us = seconds(3)};
	const struct permit_claim fresh = {
	    .begins_program = true, .left_us = seconds(3)};
	const struct permit_claim hurried = {.left_us = ms(200)};
	int64_t urgent_us = permits_max_wait_us(&urgent);
	struct permit_terms terms = {.per_s = 10, .share = 1};
	int granted[2] = {0, 0};

	ck_assert_int_gt(urgent_us, permits_max_wait_us(&late));
	ck_assert_int_gt(urgent_us, permits_max_wait_us(&fresh));
	ck_assert_int_le(permits_max_wait_us(&hurried), ms(50));
	permits_reset(&fleet.first);
	for (int at_ms = 0; at_ms < 20000; at_ms += 50) {
		terms.max_wait_us = permits_max_wait_us(&late);
		granted[0] +=
		    permits_take(&fleet.first, 1, &terms, ms(at_ms)).granted;
		terms.max_wait_us = urgent_us;
		granted[1] +=
		    permits_take(&fleet.first, 1, &terms, ms(at_ms)).granted;
	}
	ck_assert_int_gt(granted[1] / 10, granted[0]);
}
END_TEST

START_TEST(servers_that_accept_nothing_get_a_request_now_and_then)
{
	const struct permit_terms terms = {.per_s = 0, .share = 1};
	int granted = 0;

	permits_reset(&fleet.first);
	for (int at_ms = 0; at_ms < 40000; at_ms += 10)
		granted +=
		    permits_take(&fleet.first, 1, &terms, ms(at_ms)).granted;
	ck_assert_int_ge(granted, 5);
	ck_assert_int_le(granted, 9);
}
END_TEST

static bool
apply(struct limits *limits, bool limited, double per_s, int64_t at_us)
{
	const struct server_start start = {.server = 7, .started_wall_ms = 100};
	const struct limit_statement statement = {
	    .limited = limited, .per_s = per_s, .stated_us = at_us};

	return limits_apply(limits, &start, &statement);
}

START_TEST(the_latest_statement_of_a_server_holds)
{
	const struct server_start start = {.server = 7, .started_wall_ms = 100};
	const struct server_start restarted = {
	    .server = 7, .started_wall_ms = 200};
	struct limits limits = {0};

	ck_assert(!apply(&limits, false, 0, 10));
	ck_assert_ptr_null(limits_find(&limits, &start));
	ck_assert(apply(&limits, true, 5, 20));
	ck_assert(!apply(&limits, true, 5.2, 30));
	ck_assert(apply(&limits, true, 8, 40));
	/* A response to a request that was sent before the limit was stated. */
	ck_assert(!apply(&limits, false, 0, 35));
	ck_assert_double_eq(limits_find(&limits, &start)->statement.per_s, 8);
	ck_assert_ptr_null(limits_find(&limits, &restarted));
	ck_assert(apply(&limits, false, 0, 50));
	ck_assert_ptr_null(limits_find(&limits, &start));
	ck_assert(!apply(&limits, true, 8, 45));
	ck_assert_ptr_null(limits_find(&limits, &start));
	limits_reset(&limits);
}
END_TEST

START_TEST(returns_are_spread_at_the_permitted_rate)
{
	struct return_schedule schedule = {0};
	int64_t last_us = 0;

	for (int i = 0; i < 8; i++) {
		int64_t us = return_schedule_add(&schedule, ms(200), 5, 1000);

		ck_assert_int_ge(us, ms(200));
		ck_assert_int_gt(us, last_us);
		last_us = us;
	}
	ck_assert_int_le(last_us, seconds(2));
	for (int i = 0; i < 100; i++)
		ck_assert_int_le(
		    return_schedule_add(&schedule, ms(200), 5, 1000),
		    seconds(2));
}
END_TEST

START_TEST(servers_without_a_permit_in_time_are_not_chosen)
{
	struct backends backends;
	struct backend_request request = {.service = "s",
	    .preferred = "",
	    .permits_allowed = true,
	    .max_permit_wait_us = ms(100)};
	struct backend_entry entry = {.slots = 8, .started_wall_ms = 1};
	const struct server_start start = {
	    .server = hash_text("a", 0), .started_wall_ms = 1};
	const struct limit_statement statement = {
	    .limited = true, .per_s = 2, .stated_us = 1};
	struct limit *limit;

	backends_init(&backends, "r1", "d1", 7);
	memcpy(entry.service, "s", 2);
	memcpy(entry.id, "a", 2);
	backends_update(&backends, &entry, "r1");
	limits_apply(&backends.limits, &start, &statement);
	limit = limits_find(&backends.limits, &start);
	ck_assert_ptr_nonnull(backends_choose(&backends, &request, 10));
	limit_expect_permit(limit, 10 + ms(200));
	ck_assert_ptr_null(backends_choose(&backends, &request, 10));
	ck_assert_int_ge(
	    backends_limited_retry_us(&backends, "s", 12, 10), ms(200));
	memcpy(entry.id, "b", 2);
	backends_update(&backends, &entry, "r1");
	ck_assert_str_eq(
	    backends_choose(&backends, &request, 10)->entry.id, "b");
	limit_expect_permit(limit, 0);
	request.permits_allowed = false;
	ck_assert_str_eq(
	    backends_choose(&backends, &request, 10)->entry.id, "b");
	backends_reset(&backends);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    limits_hold_for_all_vms_together,
	    demand_below_the_limits_is_served,
	    limits_hold_when_the_coordinator_dies,
	    limits_hold_while_vms_disagree_on_the_coordinator,
	    limits_hold_while_vms_are_split_for_long,
	    shares_of_split_vms_stay_below_one_and_a_half,
	    less_urgent_requests_are_refused_first,
	    servers_that_accept_nothing_get_a_request_now_and_then,
	    the_latest_statement_of_a_server_holds,
	    returns_are_spread_at_the_permitted_rate,
	    servers_without_a_permit_in_time_are_not_chosen,
	};
	int status =
	    run_tests("permits", tests, sizeof(tests) / sizeof(tests[0]));

	permits_reset(&fleet.first);
	permits_reset(&fleet.second);
	return status;
}
