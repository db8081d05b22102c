#include <math.h>

#include "common/clock.h"
#include "dispatch/staggered_tokens.h"

/* Longer waits are the same to all callers; the bound avoids an overflow. */
static const double MAX_WAIT_S = 86400;

void
staggered_tokens_start(
    struct staggered_tokens *tokens, uint64_t phase, int64_t now_us)
{
	*tokens = (struct staggered_tokens){
	    .issued = ldexp((double)(phase >> 11), -53),
	    .filled_us = now_us,
	};
}

bool
staggered_tokens_take(struct staggered_tokens *tokens, double per_s,
    double valid_part, int64_t now_us)
{
	double whole;

	if (now_us > tokens->filled_us)
		tokens->issued +=
		    per_s * (double)(now_us - tokens->filled_us) / US_PER_S;
	tokens->filled_us = now_us;
	whole = floor(tokens->issued);
	if (whole <= tokens->taken || tokens->issued - whole >= valid_part)
		return false;
	tokens->taken = whole;
	return true;
}

int64_t
staggered_tokens_wait_us(const struct staggered_tokens *tokens, double per_s)
{
	double missing = floor(tokens->issued) + 1 - tokens->issued;

	if (per_s <= 0 || missing / per_s > MAX_WAIT_S)
		return INT64_MAX;
	return (int64_t)ceil(missing / per_s * US_PER_S);
}
