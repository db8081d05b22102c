/** @file
 * Measured values and their quantiles.
 */
#ifndef STANDINS_SAMPLES_H
#define STANDINS_SAMPLES_H

#include <stddef.h>
#include <stdint.h>

struct samples {
	int64_t *values;
	size_t count;
	size_t capacity;
};

void samples_add(struct samples *samples, int64_t value);
/** Returns the value below or at which the quantile (0..1) of all lies; 0 when
 * there is none. Sorts the values. */
int64_t samples_quantile(struct samples *samples, double quantile);
void samples_reset(struct samples *samples);

#endif
