/** @file
 * Measures of one simulation run. docs/MEASURES.md defines each of them.
 */
#ifndef EXPERIMENT_MEASURE_H
#define EXPERIMENT_MEASURE_H

#include <stddef.h>
#include <stdint.h>

/** Growing array of values for means and quantiles; all zero when empty. */
struct samples {
	double *values;
	size_t count;
	size_t cap;
};

void samples_add(struct samples *samples, double value);
/** Frees all values. */
void samples_reset(struct samples *samples);
/** Returns the mean, or 0 without values. */
double samples_mean(const struct samples *samples);
/** Returns a quantile (0..1) by nearest rank, or 0 without values. Sorts the
 * values. */
double samples_quantile(struct samples *samples, double quantile);

/* X(name, unit, text) for each measure */
#define MEASURE_LIST(X) \
	X(latency_mean, "s", "program latency, mean") \
	X(latency_p95, "s", "program latency, 95 in 100") \
	X(system_mean, "s", "program latency less its pauses, mean") \
	X(system_p95, "s", "program latency less its pauses, 95 in 100") \
	X(urgent_p95, "s", "latency of urgent programs, 95 in 100") \
	X(others_p95, "s", "latency of the other programs, 95 in 100") \
	X(longest_wait, "s", "longest time from a call to its first token") \
	X(wasted, "tokens", "wasted cache a finished program") \
	X(recomputed, "tokens", "of it computed again") \
	X(unused, "tokens", "of it held and not used") \
	X(hit_share, "", "history tokens found in a cache") \
	X(finished_per_h, "1/h", "programs finished an hour") \
	X(refused_share, "", "programs refused before their first turn") \
	X(cut_short, "", "programs given up after their first turn") \
	X(unfinished, "", "programs unfinished at the end") \
	X(lost_tokens, "tokens", "work lost by calls that were repeated") \
	X(retry_share, "", "retries a request") \
	X(retry_excess, "", "retries above the budget") \
	X(imbalance_p95, "", "busiest server's calls to the mean, 95 in 100") \
	X(busy, "", "share of batch places in use") \
	X(memory, "", "share of KV memory in use") \
	X(far_share, "", "calls sent to another region")

/** Values of all measures. */
struct measures {
#define MEASURE_FIELD(name, unit, text) double name;
	MEASURE_LIST(MEASURE_FIELD)
#undef MEASURE_FIELD
};

enum {
#define MEASURE_ONE(name, unit, text) +1
	MEASURE_COUNT = 0 MEASURE_LIST(MEASURE_ONE),
#undef MEASURE_ONE
};

/** Description of a measure. */
struct measure_info {
	const char *name;
	const char *unit;
	const char *text;
	size_t offset; /**< in struct measures */
};

extern const struct measure_info MEASURES[MEASURE_COUNT];

/** Returns the value of the measure MEASURES[i]. */
double measure_value(const struct measures *measures, size_t i);

#endif
