/** @file
 * Whether a request may be sent to another backend server, and when. Answers
 * the load of servers that are slow or silent. No I/O.
 */
#ifndef DISPATCH_RETRY_H
#define DISPATCH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** What counts for a further attempt. */
struct retry_state {
	bool repeatable;       /**< running it twice does no harm */
	uint32_t runs;         /**< ended attempts that may have run */
	uint32_t max_attempts; /**< of the route */
	bool has_other;        /**< a server that was not tried is there */
};

/** Returns whether it may be sent again after its attempts have failed. */
bool retry_is_allowed(const struct retry_state *state);
/** Returns how long the attempt under way may stay without an answer, before
 * the request is taken to another server; INT64_MAX: it stays. usual_us: mean
 * time of an answer there; 0: not known. */
int64_t
retry_attempt_timeout_us(const struct retry_state *state, double usual_us);

#endif
