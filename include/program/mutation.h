/** @file
 * Deliberate faults that the seeded runs have to detect. They exist only where
 * GUAVAKEEL_MUTATIONS is defined (the test build).
 */
#ifndef PROGRAM_MUTATION_H
#define PROGRAM_MUTATION_H

#include <stdbool.h>

enum mutation {
	MUTATION_NONE,
	MUTATION_NO_EPOCH,       /**< applies records of old epochs */
	MUTATION_EARLY_DISPATCH, /**< sends calls before intents are durable */
	MUTATION_NO_DIGEST,      /**< accepts a caller's history unchecked */
	MUTATION_NO_RESERVE,     /**< spends tokens without a reservation */
	MUTATION_NO_RELEASE,     /**< leaves KV cache on the servers */
	MUTATION_NO_KEY,         /**< ignores idempotency keys */
	MUTATION_FALSE_NOT_RUN,  /**< reports sent calls as not run */
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
