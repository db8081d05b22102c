/** @file
 * Decides whether and when a request is sent to another backend server, so that
 * a slow or unresponsive server does not delay it. No I/O.
 */
#ifndef DISPATCH_RETRY_H
#define DISPATCH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** Attempts of a request so far. */
struct retry_state {
	bool repeatable; /**< true if running it twice does no harm */
	uint32_t possible_executions; /**< ended attempts that a server may have
					 executed */
	uint32_t max_attempts;        /**< limit of the route */
	bool has_untried_server; /**< true if an untried server is available */
};

/** Returns whether a request whose attempts have failed may be sent again. */
bool retry_is_allowed(const struct retry_state *state);
/** Returns how long to wait for the response to the current attempt before the
 * request is sent to another server; INT64_MAX if it must not be.
 * mean_response_us: mean time of a response from the current server; 0 if
 * unknown. */
int64_t retry_attempt_timeout_us(
    const struct retry_state *state, double mean_response_us);

#endif
