/** @file
 * Retry budget: retries are a share of the requests, so that failures cannot
 * multiply the load. Delays grow exponentially with full jitter.
 */
#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	RETRY_BURST = 10, /**< retries that may be saved up */
};

struct retry_budget {
	double balance; /**< retries that may be made now */
};

/** Starts with a full burst. */
void retry_budget_init(struct retry_budget *budget);
/** A request came in; share is the number of retries that it earns. */
void retry_budget_deposit(struct retry_budget *budget, double share);
/** Takes one retry; false when the budget is spent. */
bool retry_budget_withdraw(struct retry_budget *budget);
/** Returns the delay in microseconds before an attempt (2, 3, ...). */
int64_t retry_delay_us(uint32_t attempt, struct rng *rng);

#endif
