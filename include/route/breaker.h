/** @file
 * Circuit breaker of one server: after failures in a row it takes no calls
 * for a while, then one probing call at a time.
 */
#ifndef ROUTE_BREAKER_H
#define ROUTE_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"

struct breaker {
	uint32_t failures; /**< in a row */
	uint32_t trips;    /**< openings without a success between */
	int64_t open_until_us;
	bool probing; /**< a call is under way after an opening */
};

bool breaker_allows(const struct breaker *breaker, int64_t now_us);
/** A call is being sent to the server. */
void breaker_sent(struct breaker *breaker);
void breaker_success(struct breaker *breaker);
void breaker_failure(struct breaker *breaker, int64_t now_us, struct rng *rng);

#endif
