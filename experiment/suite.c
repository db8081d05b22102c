#include "experiment/suite.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"

/* A routing policy as a baseline: first come, first served, without admission
 * control, keeping or dropping the KV cache at every pause. */
#define BASELINE(label, route, text) \
	{label "-keep", text ", FCFS, keep always", \
	    {.routing = (route), \
		.order = SCHED_ORDER_FCFS, \
		.cache_retention = SCHED_RETAIN_ALWAYS, \
		.no_admission = true}, \
	    true}, \
	{ \
		label "-drop", text ", FCFS, drop always", \
		    {.routing = (route), \
			.order = SCHED_ORDER_FCFS, \
			.cache_retention = SCHED_RETAIN_NEVER, \
			.no_admission = true}, \
		    true \
	}

const struct suite_policy SUITE_POLICIES[] = {
    {"guavakeel", "as the product ships", {0}, false},
    BASELINE("random", SCHED_ROUTE_RANDOM, "random"),
    BASELINE("round-robin", SCHED_ROUTE_ROUND_ROBIN, "round robin"),
    BASELINE("least-loaded", SCHED_ROUTE_LEAST_LOADED, "least loaded"),
    BASELINE("two-choices", SCHED_ROUTE_TWO_CHOICES, "two choices"),
    BASELINE("affinity", SCHED_ROUTE_AFFINITY, "prefix affinity, load bound"),
    {"no-cost", "affinity with a bound instead of least cost",
	{.routing = SCHED_ROUTE_AFFINITY}, false},
    {"no-order", "first come first served", {.order = SCHED_ORDER_FCFS}, false},
    {"no-pause", "keep always", {.cache_retention = SCHED_RETAIN_ALWAYS},
	false},
    {"no-keep", "drop always", {.cache_retention = SCHED_RETAIN_NEVER}, false},
    {"no-admission", "no new program held back or refused",
	{.no_admission = true}, false},
    {"no-correction", "own calls newer than a report ignored",
	{.no_load_correction = true}, false},
    {"no-speed", "speed of servers ignored", {.no_decode_speed = true}, false},
    {"no-waste-price", "wasted tokens cost only their time",
	{.no_waste_price = true}, false},
    {0},
};

/* Returns the index of a run in suite->results. */
static size_t
suite_index(const struct suite *suite, size_t fault, size_t load, size_t policy,
    size_t seed)
{
	size_t point = (fault * suite->load_count + load) * suite->policy_count;

	return (point + policy) * suite->seeds + seed;
}

struct measures *
suite_result(const struct suite *suite, size_t fault, size_t load,
    size_t policy, size_t seed)
{
	return &suite->results[suite_index(suite, fault, load, policy, seed)];
}

static void
suite_run_point(struct suite *suite, size_t fault, size_t load, size_t policy)
{
	struct simulation_options options = {
	    .params = &suite->params,
	    .policy = SUITE_POLICIES[suite->policies[policy]].policy,
	    .fault = suite->faults[fault],
	    .load = suite->loads[load],
	};

	for (size_t seed = 0; seed < suite->seeds; seed++) {
		options.seed = suite->first_seed + seed;
		simulation_run(
		    &options, suite_result(suite, fault, load, policy, seed));
	}
}

void
suite_run(struct suite *suite)
{
	size_t count = suite_index(suite, suite->fault_count, 0, 0, 0);

	suite->results = xcalloc(count, sizeof(*suite->results));
	for (size_t fault = 0; fault < suite->fault_count; fault++) {
		for (size_t load = 0; load < suite->load_count; load++) {
			for (size_t i = 0; i < suite->policy_count; i++)
				suite_run_point(suite, fault, load, i);
		}
	}
}

static struct suite_statistic
compute_statistic(const double *values, size_t count)
{
	struct suite_statistic statistic = {0};

	for (size_t i = 0; i < count; i++)
		statistic.mean += values[i] / (double)count;
	for (size_t i = 0; i < count; i++)
		statistic.deviation +=
		    (values[i] - statistic.mean) * (values[i] - statistic.mean);
	statistic.deviation =
	    count < 2 ? 0 : sqrt(statistic.deviation / (double)(count - 1));
	return statistic;
}

struct suite_statistic
suite_result_statistic(const struct suite *suite, size_t fault, size_t load,
    size_t policy, size_t measure)
{
	double *values = xcalloc(suite->seeds, sizeof(*values));
	struct suite_statistic statistic;

	for (size_t seed = 0; seed < suite->seeds; seed++)
		values[seed] = measure_value(
		    suite_result(suite, fault, load, policy, seed), measure);
	statistic = compute_statistic(values, suite->seeds);
	free(values);
	return statistic;
}

struct suite_statistic
suite_ratio_statistic(const struct suite *suite, size_t fault, size_t load,
    size_t policy, size_t other, size_t measure)
{
	double *values = xcalloc(suite->seeds, sizeof(*values));
	struct suite_statistic statistic;

	for (size_t seed = 0; seed < suite->seeds; seed++)
		values[seed] = measure_value(suite_result(suite, fault, load,
						 policy, seed),
				   measure) /
		    measure_value(
			suite_result(suite, fault, load, other, seed), measure);
	statistic = compute_statistic(values, suite->seeds);
	free(values);
	return statistic;
}

size_t
suite_best_baseline(
    const struct suite *suite, size_t fault, size_t load, size_t measure)
{
	size_t best = SUITE_LIST_MAX;
	double lowest = INFINITY;

	for (size_t i = 0; i < suite->policy_count; i++) {
		struct suite_statistic statistic;

		if (!SUITE_POLICIES[suite->policies[i]].baseline)
			continue;
		statistic =
		    suite_result_statistic(suite, fault, load, i, measure);
		if (statistic.mean < lowest) {
			lowest = statistic.mean;
			best = i;
		}
	}
	return best;
}

size_t
suite_find_policy(const struct suite *suite, const char *name)
{
	for (size_t i = 0; i < suite->policy_count; i++) {
		if (strcmp(SUITE_POLICIES[suite->policies[i]].name, name) == 0)
			return i;
	}
	return SUITE_LIST_MAX;
}
