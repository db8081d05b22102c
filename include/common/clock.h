/** @file
 * Time. Decision code takes `now_us` as an argument and never calls these.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

enum {
	US_PER_MS = 1000,
	MS_PER_S = 1000,
	US_PER_S = 1000000,
};

/** Monotonic time in microseconds; runs on while the process is paused. */
int64_t clock_monotonic_us(void);
/** Wall-clock time in microseconds since 1970, for logs and records only. */
int64_t clock_wall_us(void);

#endif
