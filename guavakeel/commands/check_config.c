#include <argp.h>
#include <stdio.h>

#include "config/settings.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"

enum {
	OPTION_JSON = 256,
	OPTION_DECLARED,
	OPTION_AGAINST,
};

struct arguments {
	const char *path;
	const char *declared;
	const char *against;
	bool json;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case OPTION_JSON:
		arguments->json = true;
		return 0;
	case OPTION_DECLARED:
		arguments->declared = arg;
		return 0;
	case OPTION_AGAINST:
		arguments->against = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->path != NULL)
			argp_usage(state);
		arguments->path = arg;
		return 0;
	case ARGP_KEY_END:
		/* One of both files; only the declared one is compared. */
		if ((arguments->path == NULL) ==
			(arguments->declared == NULL) ||
		    (arguments->against != NULL && arguments->declared == NULL))
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
command_check_config(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"declared", OPTION_DECLARED, "FILE", 0,
		"Check a declared configuration of the gateways", 0},
	    {"against", OPTION_AGAINST, "FILE", 0,
		"Print what differs from this declared configuration", 0},
	    {"json", OPTION_JSON, NULL, 0, "Write JSON", 0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .args_doc = "FILE\n--declared FILE [--against FILE]",
	    .doc = "Reads a settings file, or a declared configuration, and "
		   "reports every finding in it.",
	};
	struct arguments arguments = {0};
	struct settings settings;
	struct findings findings;
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.declared != NULL)
		return check_declared(
		    arguments.declared, arguments.against, arguments.json);
	findings_init(&findings);
	ok = settings_load(&settings, arguments.path, &findings);
	if (!ok || arguments.json)
		output_findings(&findings, arguments.json);
	findings_reset(&findings);
	return ok ? COMMAND_OK : COMMAND_FINDINGS;
}
