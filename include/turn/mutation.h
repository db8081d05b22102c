/** @file
 * Deliberately broken variants of the ledger, to show that the seeded runs can
 * fail. They exist only where GUAVAKEEL_MUTATIONS is defined.
 */
#ifndef TURN_MUTATION_H
#define TURN_MUTATION_H

#include <stdbool.h>

enum turn_mutation {
	TURN_MUTATION_NONE,
	TURN_MUTATION_NO_PLACEHOLDER, /**< a new owner trusts what the log says
				       */
	TURN_MUTATION_NO_RECORD,      /**< side by side turns need no record */
	TURN_MUTATION_IGNORE_RUNNING, /**< turns that run count nothing */
	TURN_MUTATION_NO_DEDUPLICATION, /**< copies of a record count twice */
	TURN_MUTATION_COUNT,
};

#ifdef GUAVAKEEL_MUTATIONS
extern enum turn_mutation turn_mutation_current;

static inline bool
turn_mutation_on(enum turn_mutation mutation)
{
	return turn_mutation_current == mutation;
}
#else
static inline bool
turn_mutation_on(enum turn_mutation mutation)
{
	(void)mutation;
	return false;
}
#endif

#endif
