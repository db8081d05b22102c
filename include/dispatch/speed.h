/** @file
 * Model of how fast the servers of a service are, learned from responses: the
 * time per generated token, depending on the number of concurrent requests, and
 * the time per uncached prompt token. Times are in microseconds.
 */
#ifndef DISPATCH_SPEED_H
#define DISPATCH_SPEED_H

#include <stdint.h>

/** Linear least squares fit of y over x. The weight of old samples decays
 * exponentially. The members are weighted sums. */
struct speed_fit {
	double weight;
	double sum_x;
	double sum_y;
	double sum_xx;
	double sum_xy;
};

/** Speed of the servers of a service. */
struct speed {
	struct speed_fit token;  /**< time per token over concurrent requests */
	struct speed_fit prompt; /**< first token's time over uncached tokens */
};

/** Adds a sample from a completed stream. load: requests on the server when it
 * was sent; token_us: mean time per token. */
void speed_learn_token(struct speed *speed, double load, double token_us);
/** Adds a sample from a stream on a lightly loaded server. first_us: time from
 * sending to the first token. */
void speed_learn_prompt(
    struct speed *speed, double uncached_tokens, double first_us);
/** Returns the expected time per generated token. */
double speed_token_us(const struct speed *speed, double load);
/** Returns the expected increase of the time per token for each further
 * concurrent request. */
double speed_token_slope_us(const struct speed *speed);
/** Returns the expected time per uncached prompt token. */
double speed_prompt_token_us(const struct speed *speed);

#endif
