#include <math.h>
#include <stdbool.h>

#include "common/clock.h"
#include "dispatch/speed.h"

enum {
	/* Servers are slow for a moment for some 600 ms. Responses within that
	 * time show the same moment. */
	MOMENT_US = 600 * US_PER_MS,
	/* Time after which what is known of a server counts half. */
	RATIO_HALF_LIFE_US = 60 * US_PER_S,
};

/* Factor by which each new sample multiplies the weight of earlier ones. */
static const double DECAY = 0.995;
/* Minimum sum of sample weights for a fit to be used. */
static const double WEIGHT_MIN = 30;
/* Minimum variance of x, relative to its mean square, for a slope. */
static const double SPREAD_MIN = 0.02;
/* Defaults for a fit that has too few samples, and bounds on learned values. */
static const double DEFAULT_TOKEN_US = 1000;
static const double DEFAULT_TOKEN_SLOPE_US = 30;
static const double TOKEN_SLOPE_MAX_SHARE = 0.2; /* of the token time */
static const double DEFAULT_PROMPT_TOKEN_US = 3;
static const double PROMPT_TOKEN_MIN_US = 0.5;
static const double PROMPT_TOKEN_MAX_US = 30;
/* Weight of the newest sample in the mean time of a response. */
static const double RESPONSE_WEIGHT = 0.05;
/* Weight of the mean server in a server's ratio, in samples. */
static const double PRIOR_WEIGHT = 3;
/* Bounds on a sample of a ratio. */
static const double RATIO_MIN = 0.3;
static const double RATIO_MAX = 20;

static void
fit_add(struct speed_fit *fit, double x, double y)
{
	fit->weight = fit->weight * DECAY + 1;
	fit->sum_x = fit->sum_x * DECAY + x;
	fit->sum_y = fit->sum_y * DECAY + y;
	fit->sum_xx = fit->sum_xx * DECAY + x * x;
	fit->sum_xy = fit->sum_xy * DECAY + x * y;
}

static bool
fit_slope(const struct speed_fit *fit, double *slope)
{
	double spread = fit->weight * fit->sum_xx - fit->sum_x * fit->sum_x;

	if (fit->weight < WEIGHT_MIN ||
	    spread < SPREAD_MIN * fit->weight * fit->sum_xx)
		return false;
	*slope = (fit->weight * fit->sum_xy - fit->sum_x * fit->sum_y) / spread;
	return true;
}

void
speed_learn_token(struct speed *speed, double load, double token_us)
{
	fit_add(&speed->token, load, token_us);
}

void
speed_learn_prompt(struct speed *speed, double uncached_tokens, double first_us)
{
	fit_add(&speed->prompt, uncached_tokens, first_us);
}

double
speed_token_slope_us(const struct speed *speed)
{
	double mean_us = speed->token.weight > 0
	    ? speed->token.sum_y / speed->token.weight
	    : DEFAULT_TOKEN_US;
	double slope;

	if (!fit_slope(&speed->token, &slope))
		return DEFAULT_TOKEN_SLOPE_US;
	if (slope < 0)
		return 0;
	return slope < TOKEN_SLOPE_MAX_SHARE * mean_us
	    ? slope
	    : TOKEN_SLOPE_MAX_SHARE * mean_us;
}

double
speed_token_us(const struct speed *speed, double load)
{
	const struct speed_fit *fit = &speed->token;
	double slope = speed_token_slope_us(speed);

	if (fit->weight < WEIGHT_MIN)
		return DEFAULT_TOKEN_US + slope * load;
	return fit->sum_y / fit->weight +
	    slope * (load - fit->sum_x / fit->weight);
}

double
speed_prompt_token_us(const struct speed *speed)
{
	double slope;

	if (!fit_slope(&speed->prompt, &slope))
		return DEFAULT_PROMPT_TOKEN_US;
	if (slope < PROMPT_TOKEN_MIN_US)
		return PROMPT_TOKEN_MIN_US;
	return slope < PROMPT_TOKEN_MAX_US ? slope : PROMPT_TOKEN_MAX_US;
}

double
speed_first_us(const struct speed *speed, double uncached_tokens)
{
	const struct speed_fit *fit = &speed->prompt;

	if (fit->weight < WEIGHT_MIN)
		return 0;
	return fit->sum_y / fit->weight +
	    speed_prompt_token_us(speed) *
	    (uncached_tokens - fit->sum_x / fit->weight);
}

void
speed_learn_response(struct speed *speed, double response_us)
{
	if (speed->response_us <= 0)
		speed->response_us = response_us;
	else
		speed->response_us +=
		    RESPONSE_WEIGHT * (response_us - speed->response_us);
}

/* Returns what is left of the weight of earlier samples. */
static double
remaining_weight(const struct speed_ratio *ratio, int64_t now_us)
{
	return exp2(-(double)(now_us - ratio->updated_us) / RATIO_HALF_LIFE_US);
}

void
speed_ratio_learn(struct speed_ratio *ratio, double sample, int64_t now_us)
{
	int64_t since_us = now_us - ratio->updated_us;
	double decay = remaining_weight(ratio, now_us);
	double weight = ratio->weight > 0 && since_us < MOMENT_US
	    ? (double)since_us / MOMENT_US
	    : 1;

	ratio->weight = ratio->weight * decay + weight;
	ratio->sum = ratio->sum * decay +
	    weight * log(fmin(fmax(sample, RATIO_MIN), RATIO_MAX));
	ratio->updated_us = now_us;
}

double
speed_ratio_get(const struct speed_ratio *ratio, int64_t now_us)
{
	double decay;

	if (ratio->weight <= 0)
		return 1;
	decay = remaining_weight(ratio, now_us);
	return exp(ratio->sum * decay / (ratio->weight * decay + PRIOR_WEIGHT));
}
