#include <math.h>

#include "common/clock.h"
#include "dispatch/token_bucket.h"

/* Longer waits are the same to all callers; the bound avoids an overflow. */
static const double MAX_WAIT_S = 86400;

void
token_bucket_fill(struct token_bucket *bucket, const struct token_terms *terms,
    int64_t now_us)
{
	if (now_us > bucket->filled_us)
		bucket->tokens += terms->per_s *
		    (double)(now_us - bucket->filled_us) / US_PER_S;
	bucket->filled_us = now_us;
	bucket->tokens = fmin(bucket->tokens, terms->capacity);
}

int64_t
token_bucket_wait_us(const struct token_bucket *bucket,
    const struct token_terms *terms, double tokens)
{
	if (bucket->tokens >= tokens)
		return 0;
	if (terms->per_s <= 0 ||
	    (tokens - bucket->tokens) / terms->per_s > MAX_WAIT_S)
		return INT64_MAX;
	return (int64_t)ceil(
	    (tokens - bucket->tokens) / terms->per_s * US_PER_S);
}
