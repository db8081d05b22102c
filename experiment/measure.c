#include "experiment/measure.h"

#include <math.h>
#include <stdlib.h>

#include "common/memory.h"

enum {
	SAMPLES_INITIAL_CAP = 256,
};

const struct measure_info MEASURES[MEASURE_COUNT] = {
#define MEASURE_ITEM(name, unit, text) \
	{#name, unit, text, offsetof(struct measures, name)},
    MEASURE_LIST(MEASURE_ITEM)
#undef MEASURE_ITEM
};

double
measure_value(const struct measures *measures, size_t i)
{
	const char *at = (const char *)measures + MEASURES[i].offset;

	return *(const double *)(const void *)at;
}

void
samples_add(struct samples *samples, double value)
{
	if (samples->count == samples->cap) {
		samples->cap =
		    samples->cap == 0 ? SAMPLES_INITIAL_CAP : 2 * samples->cap;
		samples->values =
		    xrealloc(samples->values, samples->cap * sizeof(double));
	}
	samples->values[samples->count++] = value;
}

void
samples_reset(struct samples *samples)
{
	free(samples->values);
	*samples = (struct samples){0};
}

double
samples_mean(const struct samples *samples)
{
	double total = 0;

	for (size_t i = 0; i < samples->count; i++)
		total += samples->values[i];
	return samples->count == 0 ? 0 : total / (double)samples->count;
}

static int
compare_values(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double
samples_quantile(struct samples *samples, double quantile)
{
	size_t rank;

	if (samples->count == 0)
		return 0;
	qsort(samples->values, samples->count, sizeof(double), compare_values);
	rank = (size_t)ceil(quantile * (double)samples->count);
	return samples->values[rank == 0 ? 0 : rank - 1];
}
