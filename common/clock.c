#include <time.h>

#include "common/clock.h"

static int64_t
clock_read(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

int64_t
clock_monotonic_us(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

int64_t
clock_wall_us(void)
{
	return clock_read(CLOCK_REALTIME);
}
