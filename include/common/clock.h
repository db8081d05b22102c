/** @file
 * Clocks. Code that makes decisions takes `now_us` as an argument and never
 * calls these functions, so that tests can run it in virtual time.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

enum {
	US_PER_MS = 1000,
	MS_PER_S = 1000,
	US_PER_S = 1000000,
};

/** Returns monotonic time in microseconds, which also advances while the
 * process or its VM is paused. */
int64_t clock_monotonic_us(void);
/** Returns wall-clock time in microseconds since 1970, for logs and records
 * only. */
int64_t clock_wall_us(void);

#endif
