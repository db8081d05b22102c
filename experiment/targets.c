#include <string.h>

#include "experiment/suite.h"

/* Upper bounds that the product's policy must meet, set by the project's issue
 * on scheduling; see docs/EXPERIMENTS.md. */

/** Latency, as a ratio to round-robin-keep. */
static const double TARGET_ROUND_ROBIN_RATIO = 0.5;
/** Latency, as a ratio to the best baseline. */
static const double TARGET_BEST_BASELINE_RATIO = 0.85;
/** Wasted cache, as a ratio to the best baseline. */
static const double TARGET_WASTED_RATIO = 0.5;
/** Latency of urgent programs, as a ratio to that of the others. */
static const double TARGET_URGENT_RATIO = 0.5;
static const double TARGET_IMBALANCE = 2;
/** Wait for a first token; a call that waits longer starves. */
static const double TARGET_LONGEST_WAIT_S = 120;

static size_t
measure_index(const char *name)
{
	for (size_t m = 0; m < MEASURE_COUNT; m++) {
		if (strcmp(MEASURES[m].name, name) == 0)
			return m;
	}
	return 0;
}

static void
print_target(const struct suite *suite, size_t fault, size_t load,
    const char *text, const char *other, struct suite_statistic value,
    double bound, FILE *out)
{
	fprintf(out,
	    "%-6s %-12s %-5s %3.0f %%  %-34s %6.3f (%.3f)  <= %-5g %s\n",
	    value.mean <= bound ? "met" : "MISSED", suite->params.name,
	    fault_name(suite->faults[fault]), suite->loads[load] * 100, text,
	    value.mean, value.deviation, bound, other);
}

static void
print_ratio_target(const struct suite *suite, size_t fault, size_t load,
    const char *measure, size_t other, double bound, FILE *out)
{
	size_t m = measure_index(measure);
	char text[64];

	if (other == SUITE_LIST_MAX)
		return;
	snprintf(text, sizeof(text), "%s, ratio", measure);
	print_target(suite, fault, load, text,
	    SUITE_POLICIES[suite->policies[other]].name,
	    suite_ratio_statistic(suite, fault, load, SUITE_PRODUCT, other, m),
	    bound, out);
}

static void
print_latencies(const struct suite *suite, size_t fault, size_t load, FILE *out)
{
	static const char *const measures[] = {
	    "latency_mean", "latency_p95", "system_mean", "system_p95"};
	size_t round_robin = suite_find_policy(suite, "round-robin-keep");

	for (size_t i = 0; i < sizeof(measures) / sizeof(measures[0]); i++) {
		size_t best = suite_best_baseline(
		    suite, fault, load, measure_index(measures[i]));

		print_ratio_target(suite, fault, load, measures[i], round_robin,
		    TARGET_ROUND_ROBIN_RATIO, out);
		print_ratio_target(suite, fault, load, measures[i], best,
		    TARGET_BEST_BASELINE_RATIO, out);
	}
}

static void
print_point(const struct suite *suite, size_t fault, size_t load, FILE *out)
{
	size_t wasted = measure_index("wasted");
	size_t best = suite_best_baseline(suite, fault, load, wasted);
	struct suite_statistic urgent = suite_result_statistic(
	    suite, fault, load, SUITE_PRODUCT, measure_index("urgent_p95"));
	struct suite_statistic others = suite_result_statistic(
	    suite, fault, load, SUITE_PRODUCT, measure_index("others_p95"));

	print_latencies(suite, fault, load, out);
	print_ratio_target(
	    suite, fault, load, "wasted", best, TARGET_WASTED_RATIO, out);
	urgent.mean /= others.mean;
	urgent.deviation /= others.mean;
	print_target(suite, fault, load, "urgent p95 to the others'", "",
	    urgent, TARGET_URGENT_RATIO, out);
	print_target(suite, fault, load, "imbalance_p95", "",
	    suite_result_statistic(suite, fault, load, SUITE_PRODUCT,
		measure_index("imbalance_p95")),
	    TARGET_IMBALANCE, out);
	print_target(suite, fault, load, "longest_wait (s)", "",
	    suite_result_statistic(suite, fault, load, SUITE_PRODUCT,
		measure_index("longest_wait")),
	    TARGET_LONGEST_WAIT_S, out);
	print_target(suite, fault, load, "retry_excess", "",
	    suite_result_statistic(suite, fault, load, SUITE_PRODUCT,
		measure_index("retry_excess")),
	    0, out);
}

void
suite_print_targets(const struct suite *suite, FILE *out)
{
	for (size_t fault = 0; fault < suite->fault_count; fault++) {
		for (size_t load = 0; load < suite->load_count; load++)
			print_point(suite, fault, load, out);
	}
}
