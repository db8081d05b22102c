/** @file
 * Circuit breaker of one backend server. After several consecutive failures the
 * server gets no calls for a while, then one probe call at a time until one
 * succeeds.
 */
#ifndef ROUTE_BREAKER_H
#define ROUTE_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"

/** State of a circuit breaker; all zero is closed. */
struct breaker {
	uint32_t failures; /**< consecutive failures */
	uint32_t trips;    /**< times opened since the last success */
	int64_t open_until_us;
	bool probing; /**< whether a probe call is in flight */
};

/** Returns whether a call may be sent to the server now. */
bool breaker_allows(const struct breaker *breaker, int64_t now_us);
/** Records that a call is being sent: a probe if the breaker has opened. */
void breaker_record_dispatch(struct breaker *breaker);
/** Records a success: closes the breaker and clears its failures. */
void breaker_record_success(struct breaker *breaker);
/** Records a failure, which may open the breaker. */
void breaker_record_failure(
    struct breaker *breaker, int64_t now_us, struct rng *rng);

#endif
