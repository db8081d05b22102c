#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/units.h"
#include "guavakeel/command.h"
#include "guavakeel/options.h"

enum {
	MAX_PORT = 65535,
};

enum option_key {
	OPTION_LOG_ADDRESS = 256,
	OPTION_LOG_PORT,
	OPTION_SETTINGS,
	OPTION_ADDRESS,
	OPTION_PORT,
	OPTION_KEY_FILE,
	OPTION_JSON,
};

uint64_t
option_number(const char *text, uint64_t max, struct argp_state *state)
{
	int64_t number;

	if (!units_parse_count(text, &number) || (uint64_t)number > max)
		argp_error(state, "not a number up to %llu: %s",
		    (unsigned long long)max, text);
	return (uint64_t)number;
}

static void
copy_address(char *address, const char *text, struct argp_state *state)
{
	if (snprintf(address, SETTING_BYTES, "%s", text) >= SETTING_BYTES)
		argp_error(state, "address is too long: %s", text);
}

static void
read_settings(
    struct log_options *options, const char *path, struct argp_state *state)
{
	struct settings settings;
	struct findings findings;

	findings_init(&findings);
	if (!settings_load(&settings, path, &findings)) {
		findings_print(&findings, stderr);
		findings_reset(&findings);
		exit(COMMAND_FINDINGS);
	}
	copy_address(options->address, settings.log_address, state);
	options->port = settings.log_port;
}

static error_t
parse_log_option(int key, char *arg, struct argp_state *state)
{
	struct log_options *options = state->input;

	switch (key) {
	case OPTION_LOG_ADDRESS:
		copy_address(options->address, arg, state);
		return 0;
	case OPTION_LOG_PORT:
		options->port = (int)option_number(arg, MAX_PORT, state);
		return 0;
	case OPTION_SETTINGS:
		read_settings(options, arg, state);
		return 0;
	case OPTION_JSON:
		options->json = true;
		return 0;
	case ARGP_KEY_END:
		if (options->address[0] == '\0' || options->port == 0)
			argp_error(state,
			    "--settings, or --log-address and --log-port, "
			    "must be given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t
parse_daemon_option(int key, char *arg, struct argp_state *state)
{
	struct daemon_options *options = state->input;

	switch (key) {
	case OPTION_ADDRESS:
		copy_address(options->address, arg, state);
		return 0;
	case OPTION_PORT:
		options->port = (int)option_number(arg, MAX_PORT, state);
		return 0;
	case OPTION_KEY_FILE:
		options->key_file = arg;
		return 0;
	case OPTION_JSON:
		options->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", arg);
		return 0;
	case ARGP_KEY_END:
		if (options->address[0] == '\0' || options->port == 0)
			argp_error(state, "--address and --port must be given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option log_option_list[] = {
    {"log-address", OPTION_LOG_ADDRESS, "IP", 0,
	"IP address of the platform's log", 0},
    {"log-port", OPTION_LOG_PORT, "PORT", 0, "Port of the platform's log", 0},
    {"settings", OPTION_SETTINGS, "FILE", 0,
	"Take address and port of the log from a settings file", 0},
    {"json", OPTION_JSON, NULL, 0, "Write JSON", 0},
    {0},
};

static const struct argp_option daemon_option_list[] = {
    {"address", OPTION_ADDRESS, "IP", 0, "IP address of a daemon", 0},
    {"port", OPTION_PORT, "PORT", 0, "Port of a daemon", 0},
    {"key-file", OPTION_KEY_FILE, "FILE", 0, "File with the operator's key", 0},
    {"json", OPTION_JSON, NULL, 0, "Write JSON", 0},
    {0},
};

const struct argp log_argp = {
    .options = log_option_list,
    .parser = parse_log_option,
};

const struct argp daemon_argp = {
    .options = daemon_option_list,
    .parser = parse_daemon_option,
};
