/** @file
 * Retry budget and backoff. Retries are limited to a share of the requests, so
 * that failures cannot multiply the load. Delays grow exponentially with full
 * jitter.
 */
#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	RETRY_BURST = 10, /**< largest balance of a retry budget */
};

/** Retries earned and not yet made. */
struct retry_budget {
	double balance; /**< retries available now */
};

/** Initializes a budget with a balance of RETRY_BURST. */
void retry_budget_init(struct retry_budget *budget);
/** Credits the budget for one request; share is the fraction of a retry that a
 * request earns. */
void retry_budget_deposit(struct retry_budget *budget, double share);
/** Withdraws one retry. Returns false if the budget is exhausted. */
bool retry_budget_withdraw(struct retry_budget *budget);
/** Returns the backoff before an attempt (2, 3, ...), in microseconds. */
int64_t retry_delay_us(uint32_t attempt, struct rng *rng);

#endif
