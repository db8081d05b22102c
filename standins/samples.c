#include <stdlib.h>

#include "common/memory.h"
#include "standins/samples.h"

enum {
	FIRST_CAPACITY = 1024,
};

void
latencies_add(struct latencies *samples, int64_t value)
{
	if (samples->count == samples->capacity) {
		samples->capacity = samples->capacity > 0
		    ? 2 * samples->capacity
		    : FIRST_CAPACITY;
		samples->values = xrealloc(samples->values,
		    samples->capacity * sizeof(*samples->values));
	}
	samples->values[samples->count++] = value;
}

static int
compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

int64_t
latencies_quantile(struct latencies *samples, double quantile)
{
	size_t index;

	if (samples->count == 0)
		return 0;
	qsort(
	    samples->values, samples->count, sizeof(*samples->values), compare);
	index = (size_t)(quantile * (double)samples->count);
	if (index >= samples->count)
		index = samples->count - 1;
	return samples->values[index];
}

void
latencies_reset(struct latencies *samples)
{
	free(samples->values);
	*samples = (struct latencies){0};
}
