/** @file
 * Option groups that several commands share.
 */
#ifndef GUAVAKEEL_OPTIONS_H
#define GUAVAKEEL_OPTIONS_H

#include <argp.h>
#include <stdbool.h>

#include "config/settings.h"

/** Address of the platform's log; the input of log_argp. */
struct log_options {
	char address[SETTING_BYTES];
	int port;
	bool json;
};

/** Address of a daemon; the input of daemon_argp. */
struct daemon_options {
	char address[SETTING_BYTES];
	int port;
	const char *key_file; /**< file with the operator key; NULL: none */
	bool json;
};

extern const struct argp log_argp;
extern const struct argp daemon_argp;

/** Parses a number from 0 to max, or ends the program with a usage error. */
uint64_t
option_number(const char *text, uint64_t max, struct argp_state *state);

#endif
