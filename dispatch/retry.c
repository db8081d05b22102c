#include "dispatch/retry.h"

#include "common/clock.h"

enum {
	/* Multiple of the mean response time; nearly all responses arrive
	 * sooner. */
	ATTEMPT_TIMEOUT_FACTOR = 6,
	/* Used if the mean response time is unknown, or so short that delays
	 * from scheduling and from the network between regions exceed it. */
	ATTEMPT_TIMEOUT_MIN_US = 80 * US_PER_MS,
	/* Leaves time for a second attempt within a latency target of one
	 * second. */
	ATTEMPT_TIMEOUT_MAX_US = 400 * US_PER_MS,
};

bool
retry_is_allowed(const struct retry_state *state)
{
	return state->repeatable &&
	    state->possible_executions < state->max_attempts;
}

int64_t
retry_attempt_timeout_us(
    const struct retry_state *state, double mean_response_us)
{
	int64_t us = (int64_t)(mean_response_us * ATTEMPT_TIMEOUT_FACTOR);

	/* The current attempt counts as a possible execution. */
	if (!state->repeatable ||
	    state->possible_executions + 1 >= state->max_attempts ||
	    !state->has_untried_server)
		return INT64_MAX;
	if (us < ATTEMPT_TIMEOUT_MIN_US)
		return ATTEMPT_TIMEOUT_MIN_US;
	return us > ATTEMPT_TIMEOUT_MAX_US ? ATTEMPT_TIMEOUT_MAX_US : us;
}
