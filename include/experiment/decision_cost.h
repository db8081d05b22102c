/** @file
 * Benchmark of the time that the scheduler takes per call.
 */
#ifndef EXPERIMENT_DECISION_COST_H
#define EXPERIMENT_DECISION_COST_H

#include <stdio.h>

/** Times calls through the scheduler with several numbers of servers, and
 * prints the nanoseconds per call and the increase per server. */
void decision_cost_print(FILE *out);

#endif
