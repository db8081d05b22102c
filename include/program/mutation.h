/** @file
 * Deliberately broken variants, to show that the seeded runs can fail. They
 * exist only where GUAVAKEEL_MUTATIONS is defined (the test build).
 */
#ifndef PROGRAM_MUTATION_H
#define PROGRAM_MUTATION_H

#include <stdbool.h>

enum mutation {
	MUTATION_NONE,
	MUTATION_NO_EPOCH,       /**< fold takes records of old epochs */
	MUTATION_EARLY_DISPATCH, /**< sends before the intent is durable */
	MUTATION_NO_DIGEST,      /**< takes a caller's history unchecked */
	MUTATION_NO_RESERVE,     /**< spends without a reservation */
	MUTATION_NO_RELEASE,     /**< leaves KV cache at the servers */
	MUTATION_NO_KEY,         /**< ignores idempotency keys */
	MUTATION_FALSE_NOT_RUN,  /**< says "not run" of a sent call */
	MUTATION_COUNT,
};

#ifdef GUAVAKEEL_MUTATIONS
extern enum mutation mutation_current;

static inline bool
mutation_on(enum mutation mutation)
{
	return mutation_current == mutation;
}
#else
static inline bool
mutation_on(enum mutation mutation)
{
	(void)mutation;
	return false;
}
#endif

#endif
