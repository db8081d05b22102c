#include "route/retry.h"

#include "common/clock.h"

enum {
	RETRY_BASE_DELAY_US = 50 * US_PER_MS,
	RETRY_MAX_DOUBLINGS = 6,
};

void
retry_budget_init(struct retry_budget *budget)
{
	budget->balance = RETRY_BURST;
}

void
retry_budget_deposit(struct retry_budget *budget, double share)
{
	budget->balance += share;
	if (budget->balance > RETRY_BURST)
		budget->balance = RETRY_BURST;
}

bool
retry_budget_withdraw(struct retry_budget *budget)
{
	if (budget->balance < 1.0)
		return false;
	budget->balance -= 1.0;
	return true;
}

int64_t
retry_delay_us(uint32_t attempt, struct rng *rng)
{
	uint32_t doublings = attempt > 1 ? attempt - 2 : 0;

	if (doublings > RETRY_MAX_DOUBLINGS)
		doublings = RETRY_MAX_DOUBLINGS;
	return 1 +
	    (int64_t)rng_below(rng, (uint64_t)RETRY_BASE_DELAY_US << doublings);
}
