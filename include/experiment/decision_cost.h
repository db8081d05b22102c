/** @file
 * Time that one choice of a server takes.
 */
#ifndef EXPERIMENT_DECISION_COST_H
#define EXPERIMENT_DECISION_COST_H

#include <stdio.h>

/** Times choices at several numbers of servers and prints them with the
 * slope in nanoseconds a server. */
void decision_cost_print(FILE *out);

#endif
