/** @file
 * Series of simulation runs over policies, loads, faults and seeds, and reports
 * of their results.
 */
#ifndef EXPERIMENT_SUITE_H
#define EXPERIMENT_SUITE_H

#include <stdio.h>

#include "experiment/simulation.h"

/** A scheduling policy under test. */
struct suite_policy {
	const char *name;
	const char *text; /**< description */
	struct sched_policy policy;
	bool baseline; /**< whether it is a baseline to compare with */
};

/** All policies: the product's first, then the baselines, then the product's
 * with one feature off each (ablation). The last entry has name NULL. */
extern const struct suite_policy SUITE_POLICIES[];

enum {
	SUITE_LIST_MAX = 32,
	SUITE_PRODUCT = 0, /**< index of the product's policy */
};

/** Runs to make, and their results. */
struct suite {
	struct params params;
	size_t policies[SUITE_LIST_MAX]; /**< indexes in SUITE_POLICIES */
	size_t policy_count;
	double loads[SUITE_LIST_MAX]; /**< see simulation_options.load */
	size_t load_count;
	enum fault faults[SUITE_LIST_MAX];
	size_t fault_count;
	uint64_t first_seed;
	size_t seeds; /**< number of seeds per data point */
	/** by fault, load, policy and seed; see suite_result() */
	struct measures *results;
};

/** Runs everything and allocates suite->results, which the caller frees. */
void suite_run(struct suite *suite);
/** Returns the result of a run. The arguments are indexes in the lists of the
 * suite. */
struct measures *suite_result(const struct suite *suite, size_t fault,
    size_t load, size_t policy, size_t seed);
/** Mean and sample standard deviation over the seeds. */
struct suite_statistic {
	double mean;
	double deviation;
};
/** Returns the statistic of a measure. */
struct suite_statistic suite_result_statistic(const struct suite *suite,
    size_t fault, size_t load, size_t policy, size_t measure);
/** Returns the statistic of a measure's ratio to that of another policy, taken
 * seed by seed. */
struct suite_statistic suite_ratio_statistic(const struct suite *suite,
    size_t fault, size_t load, size_t policy, size_t other, size_t measure);
/** Returns the index in suite->policies of the baseline with the lowest mean of
 * a measure, or SUITE_LIST_MAX if no baseline was run. */
size_t suite_best_baseline(
    const struct suite *suite, size_t fault, size_t load, size_t measure);
/** Returns the index of a policy in suite->policies, or SUITE_LIST_MAX. */
size_t suite_find_policy(const struct suite *suite, const char *name);

/** Prints a table of all measures per data point. */
void suite_print_text(const struct suite *suite, FILE *out);
/** Prints whether the product's policy meets its targets. */
void suite_print_targets(const struct suite *suite, FILE *out);
/** Prints a line of comma-separated values per run. */
void suite_print_csv(const struct suite *suite, FILE *out);
/** Prints a JSON object per data point and policy, one per line. */
void suite_print_json(const struct suite *suite, FILE *out);
/** Prints a gnuplot script, with data of the first fault. */
void suite_print_gnuplot(const struct suite *suite, FILE *out);

#endif
