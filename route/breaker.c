#include "route/breaker.h"

#include "common/clock.h"

enum {
	BREAKER_FAILURE_THRESHOLD = 3, /**< consecutive failures that open it */
	/** mean time open after the first trip */
	BREAKER_OPEN_US = 1 * US_PER_S,
	BREAKER_MAX_DOUBLINGS = 4,
};

bool
breaker_allows(const struct breaker *breaker, int64_t now_us)
{
	if (breaker->trips == 0)
		return true;
	return now_us >= breaker->open_until_us && !breaker->probing;
}

void
breaker_record_dispatch(struct breaker *breaker)
{
	if (breaker->trips > 0)
		breaker->probing = true;
}

void
breaker_record_success(struct breaker *breaker)
{
	*breaker = (struct breaker){0};
}

void
breaker_record_failure(struct breaker *breaker, int64_t now_us, struct rng *rng)
{
	uint32_t doublings;
	int64_t open_us;

	breaker->failures++;
	if (breaker->trips == 0 &&
	    breaker->failures < BREAKER_FAILURE_THRESHOLD)
		return;
	doublings = breaker->trips;
	if (doublings > BREAKER_MAX_DOUBLINGS)
		doublings = BREAKER_MAX_DOUBLINGS;
	open_us = (int64_t)BREAKER_OPEN_US << doublings;
	breaker->open_until_us =
	    now_us + open_us / 2 + (int64_t)rng_below(rng, (uint64_t)open_us);
	breaker->trips++;
	breaker->probing = false;
}
