/** @file
 * Parses numbers with units in settings and command line options.
 */
#ifndef CONFIG_UNITS_H
#define CONFIG_UNITS_H

#include <stdbool.h>
#include <stdint.h>

/** Parses "250 ms", "2 s", "5 min", "1 h" into microseconds. */
bool units_parse_duration(const char *text, int64_t *us);
/** Parses "512 B", "64 KiB", "8 MiB", "1 GiB" into bytes. */
bool units_parse_size(const char *text, int64_t *bytes);
/** Parses a decimal integer without sign and unit. */
bool units_parse_count(const char *text, int64_t *count);

#endif
