/** @file
 * Option groups that several commands share.
 */
#ifndef GUAVAKEEL_OPTIONS_H
#define GUAVAKEEL_OPTIONS_H

#include <argp.h>
#include <stdbool.h>

#include "config/settings.h"

/** Where the platform's log is; the input of log_argp. */
struct log_options {
	char address[SETTING_BYTES];
	int port;
	bool json;
};

/** Where a daemon is; the input of daemon_argp. */
struct daemon_options {
	char address[SETTING_BYTES];
	int port;
	const char *key_file;
	bool json;
};

extern const struct argp log_argp;
extern const struct argp daemon_argp;

/** Parses a decimal number of an argument, or ends with a usage error. */
uint64_t
option_number(const char *text, uint64_t max, struct argp_state *state);

#endif
