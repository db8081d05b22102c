/** @file
 * Output of the commands: JSON for scripts, tables for people.
 */
#ifndef GUAVAKEEL_OUTPUT_H
#define GUAVAKEEL_OUTPUT_H

#include <jansson.h>

#include "common/finding.h"

/** Prints a value as JSON with sorted keys and a newline. */
void output_json(const json_t *value);
/** Prints an object: one line for each plain member, then a table for each
 * array of objects. Its columns are the members of the first object. */
void output_tables(const json_t *value);
/** Prints findings, as lines on stderr or as JSON on stdout. */
void output_findings(const struct findings *findings, bool json);

#endif
