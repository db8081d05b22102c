#include <check.h>
#include <stdio.h>
#include <string.h>

#include "common/rng.h"
#include "member/coordinator.h"
#include "member/member.h"
#include "tests/runner.h"

#define SECOND ((int64_t)1000000)
#define NOW    (60 * SECOND)

enum {
	VMS = 12,
	SHARDS = 1200,
	MATTERS = 40,
};

static void
fill(struct members *members)
{
	static const char *const domains[] = {"a", "b", "c"};
	char name[NAME_BYTES];

	memset(members, 0, sizeof(*members));
	for (int i = 0; i < VMS; i++) {
		struct member *member;

		snprintf(name, sizeof(name), "entry-%d", i);
		member = members_add(members, name);
		snprintf(
		    member->failure_domain, NAME_BYTES, "%s", domains[i % 3]);
		snprintf(member->region, NAME_BYTES, "r-%s", domains[i % 3]);
		member->last_heartbeat_us = SECOND;
	}
}

START_TEST(heartbeats_override_the_list)
{
	struct member member = {.listed_state = MEMBER_GONE};

	ck_assert_int_eq(member_state(&member, SECOND), MEMBER_GONE);
	member_heartbeat_received(&member, SECOND);
	ck_assert_int_eq(member_state(&member, 2 * SECOND), MEMBER_LIVE);
	member.listed_state = MEMBER_LIVE;
	ck_assert_int_eq(member_state(&member, 60 * SECOND), MEMBER_GONE);
	member_heartbeat_received(&member, 60 * SECOND);
	member.draining = true;
	ck_assert_int_eq(member_state(&member, 62 * SECOND), MEMBER_LEAVING);
	member.draining = false;
	member.listed_state = MEMBER_LEAVING;
	ck_assert_int_eq(member_state(&member, 62 * SECOND), MEMBER_LEAVING);
}
END_TEST

START_TEST(a_listed_member_without_heartbeats_times_out)
{
	struct member member = {
	    .listed_state = MEMBER_LIVE, .added_us = SECOND};

	ck_assert_int_eq(member_state(&member, 2 * SECOND), MEMBER_LIVE);
	ck_assert_int_eq(member_state(&member, 60 * SECOND), MEMBER_GONE);
}
END_TEST

/* A gateway that has just started knows the others only from the store's list.
 * If one of them is down, it must not be named to callers for longer than one
 * whose heartbeats have stopped. */
START_TEST(the_timeout_applies_to_the_first_heartbeat_too)
{
	struct member member = {
	    .added_us = SECOND,
	    .timeout_us = SECOND + SECOND / 2,
	};

	ck_assert_int_eq(member_state(&member, 2 * SECOND), MEMBER_LIVE);
	ck_assert_int_eq(member_state(&member, 3 * SECOND), MEMBER_GONE);
}
END_TEST

START_TEST(flapping_is_damped)
{
	struct member member = {.listed_state = MEMBER_LIVE};
	int64_t now = SECOND;
	int64_t wait = 0;

	member_heartbeat_received(&member, now);
	for (int i = 0; i < 4; i++) {
		now += 10 * SECOND + wait;
		member_heartbeat_received(&member, now);
		ck_assert_int_eq(member_state(&member, now), MEMBER_GONE);
		ck_assert_int_gt(member.damped_until_us - now, wait);
		wait = member.damped_until_us - now;
	}
	now += 1000 * SECOND;
	member_heartbeat_received(&member, now);
	ck_assert_int_lt(member.damped_until_us - now, wait);
	now = member.damped_until_us;
	member_heartbeat_received(&member, now);
	ck_assert_int_eq(member_state(&member, now), MEMBER_LIVE);
}
END_TEST

START_TEST(only_shards_of_the_member_that_left_move)
{
	struct members members;
	const char *before[SHARDS];
	int64_t owned[VMS] = {0};
	int64_t mean = SHARDS / VMS;

	fill(&members);
	for (uint32_t s = 0; s < SHARDS; s++) {
		const struct member *owner =
		    members_shard_owner(&members, s, SECOND);

		before[s] = owner->vm;
		owned[owner - members.items]++;
	}
	for (int i = 0; i < VMS; i++) {
		ck_assert_int_gt(2 * owned[i], mean);
		ck_assert_int_lt(owned[i], 2 * mean);
	}
	members.items[3].draining = true;
	for (uint32_t s = 0; s < SHARDS; s++) {
		const char *after =
		    members_shard_owner(&members, s, SECOND)->vm;

		if (strcmp(before[s], "entry-3") == 0)
			ck_assert_str_ne(after, "entry-3");
		else
			ck_assert_str_eq(after, before[s]);
	}
	members_reset(&members);
}
END_TEST

START_TEST(shard_choices_are_a_permutation_of_live_members)
{
	struct members members;
	bool seen[VMS] = {false};
	const struct member *second;

	fill(&members);
	second = members_shard_choice(&members, 7, 1, SECOND);
	for (size_t k = 0; k < VMS; k++) {
		const struct member *member =
		    members_shard_choice(&members, 7, k, SECOND);

		ck_assert(!seen[member - members.items]);
		seen[member - members.items] = true;
	}
	ck_assert_ptr_null(members_shard_choice(&members, 7, VMS, SECOND));
	members.items[members_shard_owner(&members, 7, SECOND) - members.items]
	    .draining = true;
	ck_assert_ptr_eq(members_shard_owner(&members, 7, SECOND), second);
	ck_assert_ptr_null(members_shard_owner(&members, 7, 60 * SECOND));
	members_reset(&members);
}
END_TEST

START_TEST(callers_get_their_region_first_and_alternating_domains)
{
	struct members members;
	const struct member *order[VMS];

	fill(&members);
	for (uint64_t seed = 0; seed < 50; seed++) {
		ck_assert_uint_eq(
		    members_order(&members, "r-b", seed, SECOND, order, VMS),
		    VMS);
		for (int i = 0; i < 4; i++)
			ck_assert_str_eq(order[i]->region, "r-b");
		for (int i = 4; i < VMS; i += 2)
			ck_assert_str_ne(order[i]->failure_domain,
			    order[i + 1]->failure_domain);
	}
	ck_assert_uint_eq(
	    members_order(&members, "r-b", 1, SECOND, order, 3), 3);
	ck_assert_uint_eq(members_rank(&members, "entry-2", SECOND), 4);
	members.items[11].draining = true;
	ck_assert_uint_eq(members_rank(&members, "entry-2", SECOND), 3);
	members_reset(&members);
}
END_TEST

/* A VM sends its heartbeats to only a few VMs of other failure domains. These
 * relay them to the rest, which must not relay them again. */
START_TEST(heartbeats_are_relayed_once)
{
	struct members here;
	struct members there;
	const struct member *heard[VMS];
	size_t count;

	fill(&here);
	fill(&there);
	member_heartbeat_received(&here.items[0], 2 * SECOND); /* in domain a */
	member_heartbeat_received(&here.items[1], 2 * SECOND);
	member_heartbeat_received(&here.items[2], SECOND);
	count = members_list_directly_heard(
	    &here, "a", SECOND + SECOND / 2, heard, VMS);
	ck_assert_uint_eq(count, 1);
	ck_assert_str_eq(heard[0]->vm, "entry-1");
	for (int second = 2; second < 20; second++)
		member_heartbeat_relayed(&there.items[1], second * SECOND);
	ck_assert_int_eq(
	    member_state(&there.items[1], 20 * SECOND), MEMBER_LIVE);
	ck_assert_int_eq(
	    member_state(&there.items[4], 20 * SECOND), MEMBER_GONE);
	ck_assert_uint_eq(
	    members_list_directly_heard(&there, "a", 0, heard, VMS), 0);
	members_reset(&here);
	members_reset(&there);
}
END_TEST

/* Fills what one VM knows of the others: all are heard, and some have returned
 * so often that they are damped. */
static void
fill_view(struct members *members, struct rng *rng, int self, int vms)
{
	char name[NAME_BYTES];

	memset(members, 0, sizeof(*members));
	for (int i = 0; i < vms; i++) {
		uint64_t returns = rng_below(rng, 6);
		struct member *member;

		if (i == self)
			continue;
		snprintf(name, sizeof(name), "entry-%d", i);
		member = members_add(members, name);
		member->timeout_us = SECOND;
		snprintf(member->failure_domain, NAME_BYTES, "%d", i % 3);
		for (uint64_t k = 0; k <= returns; k++)
			member_heartbeat_received(
			    member, (int64_t)(k + 1) * 3 * SECOND);
		member_heartbeat_received(member, NOW);
	}
}

START_TEST(vms_that_hear_each_other_choose_the_same_coordinator)
{
	static const int sizes[] = {12, 79, 300};
	struct rng rng;

	rng_init(&rng, 1);
	for (int s = 0; s < 3; s++) {
		const char *chosen[MATTERS] = {NULL};
		char names[MATTERS][NAME_BYTES];

		for (int vm = 0; vm < sizes[s]; vm++) {
			char name[NAME_BYTES];
			char domain[NAME_BYTES];
			const struct coordinator_self self = {
			    .vm = name, .failure_domain = domain};
			struct members members;

			snprintf(name, sizeof(name), "entry-%d", vm);
			snprintf(domain, sizeof(domain), "%d", vm % 3);
			fill_view(&members, &rng, vm, sizes[s]);
			for (int m = 0; m < MATTERS; m++) {
				const char *choice = coordinator_choose(
				    &members, &self, (uint64_t)m + 1,
				    m % 2 == 0 ? "" : "1", NOW);

				if (chosen[m] != NULL) {
					ck_assert_str_eq(choice, chosen[m]);
					continue;
				}
				snprintf(names[m], NAME_BYTES, "%s", choice);
				chosen[m] = names[m];
			}
			members_reset(&members);
		}
	}
}
END_TEST

START_TEST(vms_that_leave_or_are_not_heard_coordinate_nothing)
{
	const struct coordinator_self self = {
	    .vm = "entry-99", .failure_domain = "a", .leaving = true};
	struct members members;

	fill(&members);
	for (int i = 0; i < VMS; i++) {
		members.items[i].draining = i % 2 == 0;
		if (i % 3 == 0)
			members.items[i].last_heartbeat_us = -NOW;
	}
	for (uint64_t matter = 1; matter <= MATTERS; matter++) {
		const char *choice =
		    coordinator_choose(&members, &self, matter, "", 2 * SECOND);
		const struct member *member = members_find(&members, choice);

		ck_assert_ptr_nonnull(member);
		ck_assert(!member->draining);
		ck_assert_int_eq(member->last_heartbeat_us, SECOND);
	}
	members_reset(&members);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    heartbeats_override_the_list,
	    a_listed_member_without_heartbeats_times_out,
	    the_timeout_applies_to_the_first_heartbeat_too,
	    flapping_is_damped,
	    vms_that_hear_each_other_choose_the_same_coordinator,
	    vms_that_leave_or_are_not_heard_coordinate_nothing,
	    only_shards_of_the_member_that_left_move,
	    shard_choices_are_a_permutation_of_live_members,
	    callers_get_their_region_first_and_alternating_domains,
	    heartbeats_are_relayed_once,
	};

	return run_tests("member", tests, sizeof(tests) / sizeof(tests[0]));
}
