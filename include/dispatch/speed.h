/** @file
 * How fast the servers of a service work, learned from answers: the time a
 * generated token takes by the number of requests that run beside it, and the
 * time a prompt token takes that is not cached.
 */
#ifndef DISPATCH_SPEED_H
#define DISPATCH_SPEED_H

#include <stdint.h>

/** Least squares over samples of which old ones fade. */
struct speed_fit {
	double weight;
	double x;
	double y;
	double xx;
	double xy;
};

struct speed {
	struct speed_fit token;  /**< time of a token over requests */
	struct speed_fit prompt; /**< time to the first token over tokens */
};

/** A stream has ended. load: requests on the server while it ran. */
void speed_learn_token(struct speed *speed, double load, double token_us);
/** A stream has begun on a server that was not crowded. */
void speed_learn_prompt(
    struct speed *speed, double uncached_tokens, double first_us);
/** Returns the expected time of a token. */
double speed_token_us(const struct speed *speed, double load);
/** Returns by how much one request more makes each token slower. */
double speed_token_slope_us(const struct speed *speed);
/** Returns the expected time of a prompt token that is not cached. */
double speed_prompt_token_us(const struct speed *speed);

#endif
