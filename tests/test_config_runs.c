/* usage: test-config-runs [COUNT [FIRST_SEED]] */
#include <check.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "tests/config_runs.h"
#include "tests/runner.h"

enum {
	DEFAULT_SEEDS = 100,
	FIRST_MUTATION_SEED = 340,
	MUTATION_SEEDS = 2000,
};

static uint64_t seed_count = DEFAULT_SEEDS;
static uint64_t first_seed = 1;

static void
print_total(const struct config_run *total, uint64_t failures)
{
	printf("config-runs: %" PRIu64 " seeds, %" PRIu64 " failed, %" PRIu64
	       " versions, %" PRIu64 " conflicts, %" PRIu64
	       " restarts, %" PRIu64
	       " starts from a snapshot, longest propagation %.2f s\n",
	    seed_count, failures, total->versions, total->conflicts,
	    total->restarts, total->snapshot_starts,
	    (double)total->max_propagation_us / 1e6);
}

static void
add_to_total(struct config_run *total, const struct config_run *run)
{
	total->versions += run->versions;
	total->conflicts += run->conflicts;
	total->restarts += run->restarts;
	total->snapshot_starts += run->snapshot_starts;
	if (run->max_propagation_us > total->max_propagation_us)
		total->max_propagation_us = run->max_propagation_us;
}

START_TEST(all_nodes_have_equal_versions)
{
	struct config_run total = {0};
	uint64_t failures = 0;

	for (uint64_t i = 0; i < seed_count; i++) {
		struct config_run run = {.seed = first_seed + i};

		config_run(&run);
		add_to_total(&total, &run);
		if (run.failure[0] == '\0')
			continue;
		failures++;
		printf("seed %" PRIu64 ": %s\n", run.seed, run.failure);
	}
	print_total(&total, failures);
	ck_assert_uint_eq(failures, 0);
	ck_assert_uint_gt(total.versions, seed_count);
	ck_assert_uint_gt(total.conflicts, 0);
	ck_assert_uint_gt(total.snapshot_starts, 0);
}
END_TEST

/* Returns whether a run with some seed fails because of the mutation. */
static bool
is_detected(enum config_mutation mutation)
{
	for (uint64_t i = 0; i < MUTATION_SEEDS; i++) {
		uint64_t seed = FIRST_MUTATION_SEED + i;
		struct config_run run = {.seed = seed, .mutation = mutation};

		config_run(&run);
		if (run.failure[0] == '\0')
			continue;
		printf("mutation %d: detected with seed %" PRIu64 ": %s\n",
		    (int)mutation, seed, run.failure);
		return true;
	}
	return false;
}

START_TEST(run_detects_missing_base_check)
{
	ck_assert(is_detected(CONFIG_MUTATION_NO_BASE_CHECK));
}
END_TEST

START_TEST(run_detects_missing_snapshot_tail)
{
	ck_assert(is_detected(CONFIG_MUTATION_NO_SNAPSHOT_TAIL));
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    all_nodes_have_equal_versions,
	    run_detects_missing_base_check,
	    run_detects_missing_snapshot_tail,
	};

	if (argc > 1)
		seed_count = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		first_seed = strtoull(argv[2], NULL, 10);
	return run_tests(
	    "config-runs", tests, sizeof(tests) / sizeof(tests[0]));
}
