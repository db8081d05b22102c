/** @file
 * Descriptions of the stand-in programs, which main.c runs.
 */
#ifndef STANDINS_PROGRAMS_H
#define STANDINS_PROGRAMS_H

#include "standins/standin.h"

extern const struct standin_program engine_program;
extern const struct standin_program log_program;
extern const struct standin_program service_program;
extern const struct standin_program store_program;
extern const struct standin_program tool_program;
extern const struct standin_program vmlist_program;
extern const struct standin_program weights_program;

#endif
