/** @file
 * The command `guavakeel experiment`.
 */
#ifndef EXPERIMENT_EXPERIMENT_H
#define EXPERIMENT_EXPERIMENT_H

/** Parses the arguments, runs the experiment and prints the results. Returns
 * the exit status of the process. */
int experiment_main(int argc, char **argv);

#endif
