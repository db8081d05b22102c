/** @file
 * Tokens of one of many VMs that issue a small part of a rate each without
 * hearing from each other. No I/O; callers pass the time.
 *
 * In a token bucket of each VM, which holds one token at least, all of them
 * would have a token after a while without requests, or get one at the same
 * time if they began at the same time. So the tokens of each VM come at a phase
 * of its own, and are valid for a part of the time between them. Together, the
 * VMs hold as many tokens at a time as one bucket would.
 */
#ifndef DISPATCH_STAGGERED_TOKENS_H
#define DISPATCH_STAGGERED_TOKENS_H

#include <stdbool.h>
#include <stdint.h>

struct staggered_tokens {
	double issued; /**< tokens that came since the start, and the phase */
	double taken;  /**< value of `issued` rounded down at the last take */
	int64_t filled_us;
};

/** Begins without a token. phase: a hash, different at each VM. */
void staggered_tokens_start(
    struct staggered_tokens *tokens, uint64_t phase, int64_t now_us);
/** Takes a token, if there is one. valid_part: part of the time between two
 * tokens for which each is valid, up to 1. */
bool staggered_tokens_take(struct staggered_tokens *tokens, double per_s,
    double valid_part, int64_t now_us);
/** Returns after what time the next token comes; INT64_MAX: never. */
int64_t
staggered_tokens_wait_us(const struct staggered_tokens *tokens, double per_s);

#endif
