#include <stdbool.h>

#include "dispatch/speed.h"

/* Of the samples so far, at each new one. */
static const double FADE = 0.995;
/* Samples before a fit is believed. */
static const double ENOUGH = 30;
/* Spread of x, relative to its mean square, that a slope needs. */
static const double SPREAD_MIN = 0.02;
/* While nothing is known, and bounds on what is learned. */
static const double TOKEN_US = 1000;
static const double TOKEN_SLOPE_US = 30;
static const double TOKEN_SLOPE_MAX = 0.2; /* of the time of a token */
static const double PROMPT_TOKEN_US = 3;
static const double PROMPT_TOKEN_MIN_US = 0.5;
static const double PROMPT_TOKEN_MAX_US = 30;

static void
fit_add(struct speed_fit *fit, double x, double y)
{
	fit->weight = fit->weight * FADE + 1;
	fit->x = fit->x * FADE + x;
	fit->y = fit->y * FADE + y;
	fit->xx = fit->xx * FADE + x * x;
	fit->xy = fit->xy * FADE + x * y;
}

static bool
fit_slope(const struct speed_fit *fit, double *slope)
{
	double spread = fit->weight * fit->xx - fit->x * fit->x;

	if (fit->weight < ENOUGH || spread < SPREAD_MIN * fit->weight * fit->xx)
		return false;
	*slope = (fit->weight * fit->xy - fit->x * fit->y) / spread;
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
	    ? speed->token.y / speed->token.weight
	    : TOKEN_US;
	double slope;

	if (!fit_slope(&speed->token, &slope))
		return TOKEN_SLOPE_US;
	if (slope < 0)
		return 0;
	return slope < TOKEN_SLOPE_MAX * mean_us ? slope
						 : TOKEN_SLOPE_MAX * mean_us;
}

double
speed_token_us(const struct speed *speed, double load)
{
	const struct speed_fit *fit = &speed->token;
	double slope = speed_token_slope_us(speed);

	if (fit->weight < ENOUGH)
		return TOKEN_US + slope * load;
	return fit->y / fit->weight + slope * (load - fit->x / fit->weight);
}

double
speed_prompt_token_us(const struct speed *speed)
{
	double slope;

	if (!fit_slope(&speed->prompt, &slope))
		return PROMPT_TOKEN_US;
	if (slope < PROMPT_TOKEN_MIN_US)
		return PROMPT_TOKEN_MIN_US;
	return slope < PROMPT_TOKEN_MAX_US ? slope : PROMPT_TOKEN_MAX_US;
}
