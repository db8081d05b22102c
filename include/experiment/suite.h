/** @file
 * Many runs: policies, loads, faults and seeds, and their report.
 */
#ifndef EXPERIMENT_SUITE_H
#define EXPERIMENT_SUITE_H

#include <stdio.h>

#include "experiment/world.h"

struct suite_policy {
	const char *name;
	const char *text;
	struct sched_policy policy;
	bool baseline;
};

/** All policies: the product's first, then baselines, then the product's with
 * one part off. The last has name NULL. */
extern const struct suite_policy SUITE_POLICIES[];

enum {
	SUITE_LIST_MAX = 32,
	SUITE_PRODUCT = 0, /**< index of the product's policy */
};

struct suite {
	struct params params;
	size_t policies[SUITE_LIST_MAX]; /**< indexes of SUITE_POLICIES */
	size_t policy_count;
	double loads[SUITE_LIST_MAX];
	size_t load_count;
	enum fault faults[SUITE_LIST_MAX];
	size_t fault_count;
	uint64_t first_seed;
	size_t seeds;
	struct measures *results; /**< see suite_result() */
};

/** Runs all. */
void suite_run(struct suite *suite);
struct measures *suite_result(const struct suite *suite, size_t fault,
    size_t load, size_t policy, size_t seed);
/** Mean and standard deviation over the seeds. */
struct suite_statistic {
	double mean;
	double deviation;
};
struct suite_statistic suite_result_statistic(const struct suite *suite,
    size_t fault, size_t load, size_t policy, size_t measure);
/** Spread of the ratio to another policy on the same seeds. */
struct suite_statistic suite_ratio_statistic(const struct suite *suite,
    size_t fault, size_t load, size_t policy, size_t other, size_t measure);
/** Returns the baseline that is best in a measure (lower is better), or
 * SUITE_LIST_MAX when none was run. */
size_t suite_best_baseline(
    const struct suite *suite, size_t fault, size_t load, size_t measure);
/** Returns the place of a policy in this suite, or SUITE_LIST_MAX. */
size_t suite_find_policy(const struct suite *suite, const char *name);

void suite_print_text(const struct suite *suite, FILE *out);
void suite_print_targets(const struct suite *suite, FILE *out);
void suite_print_csv(const struct suite *suite, FILE *out);
void suite_print_json(const struct suite *suite, FILE *out);
/** Prints a gnuplot script with its data. */
void suite_print_gnuplot(const struct suite *suite, FILE *out);

#endif
