/** @file
 * A token bucket. No I/O; callers pass the time.
 */
#ifndef DISPATCH_TOKEN_BUCKET_H
#define DISPATCH_TOKEN_BUCKET_H

#include <stdint.h>

struct token_bucket {
	double tokens; /**< negative: taken ahead of time */
	int64_t filled_us;
};

struct token_terms {
	double per_s;
	double capacity;
};

/** Adds the tokens of the time since the last call, and drops those beyond the
 * capacity. The terms may change from call to call. */
void token_bucket_fill(struct token_bucket *bucket,
    const struct token_terms *terms, int64_t now_us);
/** Returns after what time the bucket holds some tokens, if none are taken;
 * INT64_MAX: never. */
int64_t token_bucket_wait_us(const struct token_bucket *bucket,
    const struct token_terms *terms, double tokens);

#endif
