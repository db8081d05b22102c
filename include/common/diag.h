/** @file
 * Diagnostics on stderr: one JSON object per line, with syslog's levels.
 */
#ifndef COMMON_DIAG_H
#define COMMON_DIAG_H

#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

/** Objects that a line refers to; members that are NULL or 0 are left out. */
struct diag_context {
	const char *program;
	const char *request;
	const char *attempt;
	uint64_t config_version;
};

/** Sets the least severe level that is written (LOG_ERR .. LOG_DEBUG). */
void diag_set_level(int level);
/** Parses "err", "warning", "notice", "info" or "debug". */
bool diag_parse_level(const char *name, int *level);
/** Sets the process name in each line. name must stay valid. */
void diag_set_process(const char *name);
/** Writes a line; drops it if stderr can't be written. context may be NULL. */
void diag(int level, const struct diag_context *context, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
