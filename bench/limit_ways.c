/** @file
 * bench-limit-ways: compares ways to keep the limits that backend servers state
 * for all VMs together, in virtual time: equal shares for each VM, shares lent
 * by a coordinator for a second, single permits of a coordinator, and one VM
 * that sends everything to a server. Prints lines `name value unit`.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/rng.h"
#include "dispatch/limits.h"
#include "dispatch/permits.h"

enum {
	SERVERS = 6,
	VMS_MAX = 300,
	ARRIVALS_MAX = 40000,
	DELAY_US = 4 * US_PER_MS, /* one way, mean over a region and across */
	DURATION_US = 40 * US_PER_S,
	SETTLE_US = 5 * US_PER_S,
	WINDOW_US = 4 * US_PER_S,
	MAX_WAIT_US = 200 * US_PER_MS,
	LEASE_US = 1 * US_PER_S, /* of a lent share */
	ASKS_MAX = 2,
};

static const double DEMAND = 2;

enum way {
	WAY_EQUAL_SHARES,
	WAY_LENT_SHARES,
	WAY_PERMITS,
	WAY_ONE_SENDER,
	WAY_COUNT,
};

static const char *const way_names[] = {
    [WAY_EQUAL_SHARES] = "equal_shares",
    [WAY_LENT_SHARES] = "lent_shares",
    [WAY_PERMITS] = "permits",
    [WAY_ONE_SENDER] = "one_sender",
};

/** Permits that a VM holds for a server. */
struct share {
	double permits;
	int64_t updated_us;
	int64_t until_us;   /**< end of a lent share */
	struct limit known; /**< what the VM expects of the coordinator */
};

static struct {
	enum way way;
	int vms;
	double per_s;
	struct rng rng;
	struct permits permits;
	struct share shares[VMS_MAX][SERVERS];
	int64_t arrivals[SERVERS][ARRIVALS_MAX];
	int counts[SERVERS];
	uint64_t requests;
	uint64_t sent;
	uint64_t messages;
	int64_t delay_us; /**< sum over the requests sent */
} fleet;

static void
send_request(int server, int64_t now_us, int64_t delay_us)
{
	if (fleet.counts[server] < ARRIVALS_MAX)
		fleet.arrivals[server][fleet.counts[server]++] =
		    now_us + delay_us;
	fleet.sent++;
	fleet.delay_us += delay_us;
}

/* A token bucket of a VM, which holds one permit at least. */
static bool
take_own(struct share *share, double per_s, int64_t now_us)
{
	share->permits +=
	    per_s * (double)(now_us - share->updated_us) / US_PER_S;
	share->updated_us = now_us;
	if (share->permits > 1)
		share->permits = 1;
	if (share->permits < 1)
		return false;
	share->permits--;
	return true;
}

static struct permit
ask(int server, int64_t max_wait_us, int64_t now_us)
{
	const struct permit_terms terms = {
	    .per_s = fleet.per_s, .share = 1, .max_wait_us = max_wait_us};

	fleet.messages += 2;
	return permits_take(
	    &fleet.permits, (uint64_t)server + 1, &terms, now_us + DELAY_US);
}

static bool
try_equal_share(int vm, int server, int64_t now_us)
{
	if (!take_own(
		&fleet.shares[vm][server], fleet.per_s / fleet.vms, now_us))
		return false;
	send_request(server, now_us, 0);
	return true;
}

/* Borrows permits for a quarter of a second of the limit at a time. They expire
 * unused after LEASE_US. */
static bool
try_lent_share(int vm, int server, int64_t now_us)
{
	struct share *share = &fleet.shares[vm][server];
	int batch = (int)fmax(1, fleet.per_s / 4);
	int64_t delay_us = 0;

	if (share->until_us < now_us)
		share->permits = 0;
	if (share->permits < 1) {
		struct permit permit;
		int got = 0;

		if (limit_permit_wait_us(&share->known, now_us) > MAX_WAIT_US)
			return false;
		permit = ask(server, MAX_WAIT_US, now_us);
		delay_us = (int64_t)2 * DELAY_US + permit.wait_us;
		for (; permit.granted && got < batch; got++) {
			const struct permit_terms terms = {.per_s = fleet.per_s,
			    .share = 1,
			    .max_wait_us = MAX_WAIT_US};

			if (got > 0 &&
			    !permits_take(&fleet.permits, (uint64_t)server + 1,
				&terms, now_us + DELAY_US)
				 .granted)
				break;
		}
		if (got == 0) {
			limit_expect_permit(&share->known,
			    now_us + permit.wait_us + MAX_WAIT_US);
			return false;
		}
		share->permits = got;
		share->until_us = now_us + LEASE_US;
	}
	share->permits--;
	send_request(server, now_us, delay_us);
	return true;
}

static bool
try_permit(int vm, int server, int64_t now_us)
{
	struct limit *known = &fleet.shares[vm][server].known;
	struct permit permit;

	if (limit_permit_wait_us(known, now_us) > MAX_WAIT_US)
		return false;
	permit = ask(server, MAX_WAIT_US, now_us);
	limit_expect_permit(known,
	    now_us + permit.wait_us +
		(permit.granted ? (int64_t)(US_PER_S / fleet.per_s)
				: MAX_WAIT_US));
	if (!permit.granted)
		return false;
	send_request(server, now_us, (int64_t)2 * DELAY_US + permit.wait_us);
	return true;
}

static bool
try_one_sender(int vm, int server, int64_t now_us)
{
	if (vm != server * fleet.vms / SERVERS ||
	    !take_own(&fleet.shares[vm][server], fleet.per_s, now_us))
		return false;
	send_request(server, now_us, 0);
	return true;
}

static bool
try_server(int vm, int server, int64_t now_us)
{
	switch (fleet.way) {
	case WAY_EQUAL_SHARES:
		return try_equal_share(vm, server, now_us);
	case WAY_LENT_SHARES:
		return try_lent_share(vm, server, now_us);
	case WAY_PERMITS:
		return try_permit(vm, server, now_us);
	case WAY_ONE_SENDER:
		return try_one_sender(vm, server, now_us);
	case WAY_COUNT:
		break;
	}
	return false;
}

/* Handles a request at a VM. The first VMs have more callers than the last. */
static void
handle_request(int64_t now_us)
{
	int vm = (int)(fleet.vms * pow(rng_real(&fleet.rng), 2));
	int first = (int)rng_below(&fleet.rng, SERVERS);
	uint64_t messages = fleet.messages;

	fleet.requests++;
	for (int i = 0; i < SERVERS; i++) {
		if (fleet.messages >= messages + (uint64_t)2 * ASKS_MAX ||
		    try_server(vm, (first + i) % SERVERS, now_us))
			return;
	}
}

static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns the most requests in a window, as a share of those allowed. */
static double
worst_window(void)
{
	double allowed = 1.5 * fleet.per_s * WINDOW_US / US_PER_S + 5;
	int most = 0;

	for (int server = 0; server < SERVERS; server++) {
		int64_t *times = fleet.arrivals[server];
		int count = fleet.counts[server];

		qsort(times, (size_t)count, sizeof(*times), compare_times);
		for (int first = 0, end = 0; first < count; first++) {
			while (end < count &&
			    times[end] < times[first] + WINDOW_US)
				end++;
			if (end - first > most)
				most = end - first;
		}
	}
	return most / allowed;
}

static double
capacity_used(void)
{
	int sent = 0;

	for (int server = 0; server < SERVERS; server++) {
		for (int i = 0; i < fleet.counts[server]; i++)
			sent += fleet.arrivals[server][i] >= SETTLE_US &&
			    fleet.arrivals[server][i] < DURATION_US;
	}
	return sent /
	    (fleet.per_s * SERVERS * (DURATION_US - SETTLE_US) / US_PER_S);
}

static void
run(enum way way, int vms, double per_s)
{
	double at_us = 0;
	char name[64];

	permits_reset(&fleet.permits);
	memset(&fleet, 0, sizeof(fleet));
	fleet.way = way;
	fleet.vms = vms;
	fleet.per_s = per_s;
	rng_init(&fleet.rng, 1);
	for (int vm = 0; vm < vms; vm++) {
		for (int server = 0; server < SERVERS; server++)
			fleet.shares[vm][server].permits = 1;
	}
	while (at_us < DURATION_US) {
		handle_request((int64_t)at_us);
		at_us -= log(1 - rng_real(&fleet.rng)) * US_PER_S /
		    (DEMAND * per_s * SERVERS);
	}
	snprintf(name, sizeof(name), "limit_%s_%d_vms_%.0f_per_s",
	    way_names[way], vms, per_s);
	printf("%s_worst_window %.2f of_allowed\n", name, worst_window());
	printf("%s_capacity %.2f of_limit\n", name, capacity_used());
	printf("%s_delay %.1f ms\n", name,
	    fleet.sent > 0
		? (double)fleet.delay_us / (double)fleet.sent / US_PER_MS
		: 0);
	printf("%s_messages %.2f per_request\n", name,
	    (double)fleet.messages / (double)fleet.requests);
}

int
main(void)
{
	static const int vms[] = {12, 79, 300};
	static const double limits[] = {1, 5, 40};

	for (int way = 0; way < WAY_COUNT; way++) {
		for (size_t i = 0; i < sizeof(vms) / sizeof(vms[0]); i++) {
			for (size_t k = 0; k < 3; k++)
				run((enum way)way, vms[i], limits[k]);
		}
	}
	permits_reset(&fleet.permits);
	return 0;
}
