/** @file
 * Measured values and their quantiles.
 */
#ifndef STANDINS_SAMPLES_H
#define STANDINS_SAMPLES_H

#include <stddef.h>
#include <stdint.h>

struct latencies {
	int64_t *values;
	size_t count;
	size_t capacity;
};

void latencies_add(struct latencies *samples, int64_t value);
/** Returns the value below or at which the quantile (0..1) of all lies; 0 when
 * there is none. Sorts the values. */
int64_t latencies_quantile(struct latencies *samples, double quantile);
void latencies_reset(struct latencies *samples);

#endif
