/** @file
 * Runs of the configuration fold in virtual time: operators race, replies are
 * lost, copies arrive late, the log is down, nodes restart, records expire.
 */
#ifndef TESTS_CONFIG_RUNS_H
#define TESTS_CONFIG_RUNS_H

#include <stdint.h>

/** A fault that is put into every node's fold, to see it caught. */
enum config_mutation {
	CONFIG_MUTATION_NONE,
	CONFIG_MUTATION_NO_BASE_CHECK, /**< patches of any base are accepted */
	CONFIG_MUTATION_NO_SNAPSHOT_TAIL, /**< records before a snapshot are not
					     re-read */
};

struct config_run {
	uint64_t seed;
	enum config_mutation mutation;
	uint64_t versions;  /**< accepted */
	uint64_t conflicts; /**< patches whose operator was told of a loss */
	uint64_t restarts;
	uint64_t snapshot_starts;   /**< nodes that started from a snapshot */
	int64_t max_propagation_us; /**< between nodes that reach the log */
	char failure[160];          /**< "": all held */
};

void config_run(struct config_run *run);

#endif
