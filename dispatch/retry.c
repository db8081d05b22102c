#include "dispatch/retry.h"

#include "common/clock.h"

enum {
	/* Times the usual answer; nearly all answers come sooner. */
	PATIENCE_FACTOR = 6,
	/* An answer's usual time is not known, or is less than the noise of
	 * scheduling and of the network between regions. */
	PATIENCE_MIN_US = 80 * US_PER_MS,
	/* Leaves time for a second attempt within latency targets of a second.
	 */
	PATIENCE_MAX_US = 400 * US_PER_MS,
};

bool
retry_is_allowed(const struct retry_state *state)
{
	return state->repeatable && state->runs < state->max_attempts;
}

int64_t
retry_attempt_timeout_us(const struct retry_state *state, double usual_us)
{
	int64_t us = (int64_t)(usual_us * PATIENCE_FACTOR);

	/* The attempt under way counts too. */
	if (!state->repeatable || state->runs + 1 >= state->max_attempts ||
	    !state->has_other)
		return INT64_MAX;
	if (us < PATIENCE_MIN_US)
		return PATIENCE_MIN_US;
	return us > PATIENCE_MAX_US ? PATIENCE_MAX_US : us;
}
