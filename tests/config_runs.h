/** @file
 * Simulation of nodes that fold the configuration stream, in virtual time.
 * Operators publish at once, responses are lost, copies of records arrive late,
 * the log is down, nodes restart, and records expire.
 */
#ifndef TESTS_CONFIG_RUNS_H
#define TESTS_CONFIG_RUNS_H

#include <stdint.h>

/** A bug that a run introduces into the folds, to test that runs detect it. */
enum config_mutation {
	CONFIG_MUTATION_NONE,
	CONFIG_MUTATION_NO_BASE_CHECK, /**< patches of any base are accepted */
	CONFIG_MUTATION_NO_SNAPSHOT_TAIL, /**< records that an adopted snapshot
					     doesn't cover are skipped */
};

/** Parameters and results of one run. */
struct config_run {
	uint64_t seed;
	enum config_mutation mutation;
	uint64_t versions;  /**< accepted versions */
	uint64_t conflicts; /**< patches reported to operators as rejected */
	uint64_t restarts;
	uint64_t snapshot_starts;   /**< snapshots adopted by nodes */
	int64_t max_propagation_us; /**< longest, to nodes that reach the log */
	char failure[160];          /**< first check that failed; "": none */
};

/** Runs a simulation with run's seed and mutation, and fills in its results. */
void config_run(struct config_run *run);

#endif
