/** @file
 * Seeded random numbers. Code that makes decisions gets a generator passed in,
 * so that a run can be repeated with the same seed.
 */
#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

void rng_init(struct rng *rng, uint64_t seed);
/** Initialises the generator with a seed from the operating system. */
void rng_init_random(struct rng *rng);
/** Returns 64 random bits. */
uint64_t rng_next(struct rng *rng);
/** Returns a number in 0 .. bound-1; bound must be positive. */
uint64_t rng_below(struct rng *rng, uint64_t bound);
/** Returns a number in [0, 1). */
double rng_real(struct rng *rng);
/** Returns an exponentially distributed number with the given mean. */
double rng_exponential(struct rng *rng, double mean);
/** Returns a Pareto-distributed number with the given minimum and shape. */
double rng_pareto(struct rng *rng, double minimum, double shape);

#endif
