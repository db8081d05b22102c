#include <math.h>

#include <sodium.h>

#include "common/rng.h"

void
rng_init(struct rng *rng, uint64_t seed)
{
	rng->state = seed;
}

void
rng_init_random(struct rng *rng)
{
	randombytes_buf(&rng->state, sizeof(rng->state));
}

/* SplitMix64 (Steele, Lea, Flood 2014). */
uint64_t
rng_next(struct rng *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15ULL;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
rng_below(struct rng *rng, uint64_t bound)
{
	return (uint64_t)(((__uint128_t)rng_next(rng) * bound) >> 64);
}

double
rng_real(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

double
rng_exponential(struct rng *rng, double mean)
{
	return -mean * log(1.0 - rng_real(rng));
}

double
rng_pareto(struct rng *rng, double minimum, double shape)
{
	return minimum / pow(1.0 - rng_real(rng), 1.0 / shape);
}
