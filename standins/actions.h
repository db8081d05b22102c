/** @file
 * The server part that standin-tool and standin-service share: each request
 * runs an action, which is counted.
 */
#ifndef STANDINS_ACTIONS_H
#define STANDINS_ACTIONS_H

#include "standins/standin.h"

struct actions_program {
	const char *name;    /**< of the program */
	const char *summary; /**< of --help */
	const char *prefix;  /**< of the paths, e.g. "/tools/" */
};

/** Runs the program; returns its exit status. */
int actions_main(const struct actions_program *program, int argc, char **argv);

#endif
