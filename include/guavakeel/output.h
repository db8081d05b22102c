/** @file
 * What commands print: JSON for scripts, tables for people.
 */
#ifndef GUAVAKEEL_OUTPUT_H
#define GUAVAKEEL_OUTPUT_H

#include <jansson.h>

#include "common/finding.h"

/** Prints a value as JSON with sorted keys and a newline. */
void output_json(const json_t *value);
/** Prints an object: its plain members a line each, then each array of
 * objects as a table whose columns are the members of its first row. */
void output_tables(const json_t *value);
/** Prints findings: a line each on stderr, or as JSON on stdout. */
void output_findings(const struct findings *findings, bool json);

#endif
