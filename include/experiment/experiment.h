/** @file
 * The command `guavakeel experiment`.
 */
#ifndef EXPERIMENT_EXPERIMENT_H
#define EXPERIMENT_EXPERIMENT_H

/** Parses the arguments, runs, prints; returns the exit status. */
int experiment_main(int argc, char **argv);

#endif
