/** @file
 * Model of how fast the servers of a service are, learned from responses: the
 * time per generated token, depending on the number of concurrent requests, the
 * time per uncached prompt token, and that of a response that is not streamed;
 * and for each server and kind of work the ratio of its time to that of the
 * mean server. Times are in microseconds.
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

/** Speed of the mean server of a service. */
struct speed {
	struct speed_fit token;  /**< time per token over concurrent requests */
	struct speed_fit prompt; /**< first token's time over uncached tokens */
	double
	    response_us; /**< time of a response without a queue; 0: unknown */
};

/** Ratio of a server's time to that of the mean server of its service. A server
 * of which nothing is known is like the mean server, and what is known of it
 * fades. All zeros: nothing is known. */
struct speed_ratio {
	double weight;
	double sum; /**< of the logarithms of the samples */
	int64_t updated_us;
};

/** Speed of one server by kind of work. */
struct server_speed {
	struct speed_ratio prompt;
	struct speed_ratio token;
	struct speed_ratio response;
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
/** Returns the expected time from sending to the first token, or 0 if too few
 * streams were seen. */
double speed_first_us(const struct speed *speed, double uncached_tokens);
/** Adds a sample from a response that is not streamed. response_us: its time
 * less the time in the server's queue. */
void speed_learn_response(struct speed *speed, double response_us);

/** Adds the ratio of one response. Responses within a short time of each other
 * count like one, so that a server that was slow for a moment is not taken to
 * be slow. */
void
speed_ratio_learn(struct speed_ratio *ratio, double sample, int64_t now_us);
double speed_ratio_get(const struct speed_ratio *ratio, int64_t now_us);

#endif
