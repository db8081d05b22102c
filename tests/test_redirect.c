#include <check.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "daemon/redirect.h"
#include "tests/program_fixture.h"
#include "tests/runner.h"

enum {
	FIRST_PORT = 1,
	/** Go's HTTP client follows as many redirects, curl 50. */
	CLIENT_REDIRECTS = 10,
	HOP_US = 1000, /**< time of a request that is redirected */
};

static struct members members;
static uint32_t shard; /**< one that vm-1 should own */

/* Makes both VMs of the fixture live members, and lets vm-0 own all shards. */
static void
setup(void)
{
	fixture_setup();
	memset(&members, 0, sizeof(members));
	for (int i = 0; i < VMS; i++) {
		struct member *member =
		    members_add(&members, i == 0 ? "vm-0" : "vm-1");

		snprintf(member->address, NAME_BYTES, "127.0.0.1");
		member->port = FIRST_PORT + i;
		member->last_heartbeat_us = INT64_C(3600) * US_PER_S;
	}
	for (shard = 0; shard < SHARDS; shard++) {
		if (strcmp(members_shard_owner(&members, shard, fixture->now_us)
			       ->vm,
			"vm-1") == 0)
			break;
	}
	ck_assert_uint_lt(shard, SHARDS);
	own_all_shards(0);
}

static void
teardown(void)
{
	members_reset(&members);
	fixture_teardown();
}

static enum redirect_target
choose(int vm, int64_t waited_us, char *address)
{
	const struct redirect_view view = {
	    .vm = vm == 0 ? "vm-0" : "vm-1",
	    .address = vm == 0 ? "127.0.0.1:1" : "127.0.0.1:2",
	    .ownership = owner_shard_ownership(fixture->owners[vm], shard),
	    .members = &members,
	};

	address[0] = '\0';
	return redirect_choose(
	    &view, shard, waited_us, fixture->now_us, address, NAME_BYTES);
}

/* Sends a request to a VM and follows redirects for at most duration_us, or
 * until the VM asked owns the shard. Returns how often it was redirected. */
static int
follow_redirects(int *vm, int64_t duration_us)
{
	int64_t end_us = fixture->now_us + duration_us;
	int64_t arrived_us = fixture->now_us;
	char address[NAME_BYTES];
	int redirects = 0;

	while (fixture->now_us < end_us &&
	    !owner_owns(fixture->owners[*vm], shard)) {
		switch (choose(*vm, fixture->now_us - arrived_us, address)) {
		case REDIRECT_OWNER:
		case REDIRECT_PREFERRED:
			*vm = strcmp(address, "127.0.0.1:1") == 0 ? 0 : 1;
			redirects++;
			fixture->now_us += HOP_US;
			arrived_us = fixture->now_us;
			break;
		case REDIRECT_WAIT:
			fixture->now_us += HOP_US;
			break;
		case REDIRECT_NONE:
			return redirects;
		}
	}
	return redirects;
}

/* Lets vm-1 want the shard and read its lane. */
static void
want_shard(void)
{
	owner_set_shard_wanted(fixture->owners[1], shard, true, NULL);
	log_read(fixture->owners[1]); /* the index lane comes first */
	log_read(fixture->owners[1]);
}

/* Lets vm-0 release the shard to vm-1, which has not read that yet. */
static void
release_shard(void)
{
	want_shard();
	owner_set_shard_wanted(fixture->owners[0], shard, false, "vm-1");
	run_for(fixture->owners[0], 3);
	ck_assert(!owner_owns(fixture->owners[0], shard));
}

START_TEST(requests_are_not_sent_in_circles_while_ownership_moves)
{
	int vm = 0;
	int redirects;

	release_shard();
	redirects = follow_redirects(&vm, US_PER_S);
	ck_assert_int_le(redirects, CLIENT_REDIRECTS);
	run_for(fixture->owners[1], 3);
	log_read(fixture->owners[0]);
	redirects += follow_redirects(&vm, US_PER_S);
	ck_assert_int_eq(vm, 1);
	ck_assert_int_le(redirects, CLIENT_REDIRECTS);
}
END_TEST

START_TEST(a_vm_without_shards_learns_who_claimed_what_it_released)
{
	char address[NAME_BYTES];

	release_shard();
	for (uint32_t i = 0; i < SHARDS; i++)
		owner_set_shard_wanted(fixture->owners[0], i, false, "vm-1");
	run_for(fixture->owners[0], 3);
	ck_assert_int_eq(choose(0, 0, address), REDIRECT_WAIT);
	run_for(fixture->owners[1], 3);
	log_read(fixture->owners[0]);
	ck_assert_int_eq(choose(0, 0, address), REDIRECT_OWNER);
	ck_assert_str_eq(address, "127.0.0.1:2");
}
END_TEST

START_TEST(a_restarted_owner_is_not_asked_at_its_old_address)
{
	char address[NAME_BYTES];

	want_shard();
	ck_assert_int_eq(choose(1, 0, address), REDIRECT_OWNER);
	ck_assert_str_eq(address, "127.0.0.1:1");
	members_find(&members, "vm-0")->port = FIRST_PORT + VMS;
	ck_assert_int_eq(choose(1, 0, address), REDIRECT_WAIT);
	ck_assert_int_eq(choose(1, REDIRECT_WAIT_US, address), REDIRECT_NONE);
}
END_TEST

START_TEST(an_owner_that_was_never_heard_from_is_not_named)
{
	char address[NAME_BYTES];

	want_shard();
	members_find(&members, "vm-0")->last_heartbeat_us = 0;
	ck_assert_int_eq(choose(1, 0, address), REDIRECT_WAIT);
	ck_assert_int_eq(choose(1, REDIRECT_WAIT_US, address), REDIRECT_NONE);
	members_find(&members, "vm-1")->last_heartbeat_us = 0;
	ck_assert_int_eq(choose(0, 0, address), REDIRECT_OWNER);
	release_shard();
	ck_assert_int_eq(choose(0, REDIRECT_WAIT_US, address), REDIRECT_NONE);
}
END_TEST

START_TEST(a_request_for_an_owner_that_is_gone_does_not_wait)
{
	char address[NAME_BYTES];

	members_find(&members, "vm-0")->last_heartbeat_us = 1;
	fixture->now_us += (int64_t)60 * US_PER_S;
	ck_assert_int_eq(choose(1, 0, address), REDIRECT_NONE);
}
END_TEST

START_TEST(a_vm_that_does_not_read_the_lane_names_the_preferred_owner)
{
	const struct redirect_view view = {
	    .vm = "vm-2",
	    .address = "127.0.0.1:9",
	    .members = &members,
	};
	char address[NAME_BYTES];

	ck_assert_int_eq(redirect_choose(&view, shard, 0, fixture->now_us,
			     address, sizeof(address)),
	    REDIRECT_PREFERRED);
	ck_assert_str_eq(address, "127.0.0.1:2");
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    requests_are_not_sent_in_circles_while_ownership_moves,
	    a_vm_without_shards_learns_who_claimed_what_it_released,
	    a_restarted_owner_is_not_asked_at_its_old_address,
	    an_owner_that_was_never_heard_from_is_not_named,
	    a_request_for_an_owner_that_is_gone_does_not_wait,
	    a_vm_that_does_not_read_the_lane_names_the_preferred_owner,
	};

	return run_tests_in("redirect", tests, sizeof(tests) / sizeof(tests[0]),
	    setup, teardown);
}
