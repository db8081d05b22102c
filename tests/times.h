/** @file
 * Times in microseconds for tests of code that is handed the time.
 */
#ifndef TESTS_TIMES_H
#define TESTS_TIMES_H

#include <stdint.h>

#include "common/clock.h"

static inline int64_t
ms(int count)
{
	return (int64_t)count * US_PER_MS;
}

static inline int64_t
seconds(int count)
{
	return (int64_t)count * US_PER_S;
}

#endif
