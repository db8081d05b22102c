/** @file
 * Deliberately broken variants of the ledger, which show that the seeded tests
 * of tests/turn_runs detect faults. They are compiled in only if
 * GUAVAKEEL_MUTATIONS is defined.
 */
#ifndef TURN_MUTATION_H
#define TURN_MUTATION_H

#include <stdbool.h>

enum turn_mutation {
	TURN_MUTATION_NONE,
	/** A new owner adds no placeholders for unrecorded turns. */
	TURN_MUTATION_NO_PLACEHOLDER,
	/** Concurrent turns of a program run without a record. */
	TURN_MUTATION_NO_RECORD,
	/** Running turns do not count against the budget. */
	TURN_MUTATION_IGNORE_RUNNING,
	/** Each copy of a record counts. */
	TURN_MUTATION_NO_DEDUPLICATION,
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
