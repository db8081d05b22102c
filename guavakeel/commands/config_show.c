#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "config/merge.h"
#include "guavakeel/command.h"
#include "guavakeel/history.h"
#include "guavakeel/output.h"

enum {
	OPTION_VERSION = 512,
	MAX_ARGUMENTS = 2,
};

struct arguments {
	struct log_options log;
	bool has_version;
	uint64_t version;
	size_t expected_count; /**< versions that the command needs */
	size_t count;          /**< versions given */
	uint64_t versions[MAX_ARGUMENTS];
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &arguments->log;
		return 0;
	case OPTION_VERSION:
		arguments->version = option_number(arg, INT64_MAX, state);
		arguments->has_version = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->count == arguments->expected_count)
			argp_usage(state);
		arguments->versions[arguments->count++] =
		    option_number(arg, INT64_MAX, state);
		return 0;
	case ARGP_KEY_END:
		if (arguments->count < arguments->expected_count)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {
    {&log_argp, 0, NULL, 0},
    {0},
};

/* Parses the arguments and opens the history. */
static int
parse_and_open(const struct argp *argp, int argc, char **argv,
    struct arguments *arguments, struct history *history)
{
	argp_parse(argp, argc, argv, 0, NULL, arguments);
	return history_open_or_report(history, &arguments->log);
}

/* Returns the document of a version, or prints that there is none and returns
 * NULL. */
static json_t *
document_at(const struct history *history, uint64_t version)
{
	json_t *document = config_fold_document_at(&history->fold, version);

	if (document == NULL)
		fprintf(stderr,
		    "guavakeel: no version %" PRIu64 "; the current is %" PRIu64
		    "\n",
		    version, history->fold.version);
	return document;
}

int
config_show(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"version", OPTION_VERSION, "VERSION", 0,
		"Version to print (default: the current one)", 0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .doc = "Prints the document of a version as JSON.",
	    .children = children,
	};
	struct arguments arguments = {0};
	struct history history;
	json_t *document;
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code != COMMAND_OK)
		return code;
	if (!arguments.has_version)
		arguments.version = history.fold.version;
	document = document_at(&history, arguments.version);
	if (document != NULL)
		output_json(document);
	else
		code = COMMAND_FINDINGS;
	json_decref(document);
	history_close(&history);
	return code;
}

static json_t *
history_row(const struct config_version *version)
{
	time_t seconds = (time_t)(version->wall_us / US_PER_S);
	char when[32];
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &utc);
	return json_pack("{s:I, s:s, s:s, s:s, s:s}", "version",
	    (json_int_t)version->number, "time", when, "operator",
	    version->operator_name, "comment", version->comment, "patch",
	    version->patch);
}

int
config_history(int argc, char **argv)
{
	static const struct argp argp = {
	    .parser = parse_option,
	    .doc = "Lists the accepted versions, oldest first.",
	    .children = children,
	};
	struct arguments arguments = {0};
	struct history history;
	json_t *rows = json_array();
	json_t *root = json_pack("{s:o}", "versions", rows);
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code == COMMAND_OK) {
		list_for_each (version, &history.fold.versions,
		    struct config_version, link)
			json_array_append_new(rows, history_row(version));
		if (arguments.log.json)
			output_json(root);
		else
			output_tables(root);
		history_close(&history);
	}
	json_decref(root);
	return code;
}

int
config_diff(int argc, char **argv)
{
	static const struct argp argp = {
	    .parser = parse_option,
	    .args_doc = "FROM TO",
	    .doc = "Prints the merge patch that leads from a version to "
		   "another.",
	    .children = children,
	};
	struct arguments arguments = {.expected_count = 2};
	struct history history;
	json_t *from;
	json_t *to;
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code != COMMAND_OK)
		return code;
	from = document_at(&history, arguments.versions[0]);
	to = document_at(&history, arguments.versions[1]);
	if (from != NULL && to != NULL) {
		json_t *patch = merge_diff(from, to);

		output_json(patch);
		json_decref(patch);
	} else {
		code = COMMAND_FINDINGS;
	}
	json_decref(from);
	json_decref(to);
	history_close(&history);
	return code;
}

int
config_export(int argc, char **argv)
{
	static const struct argp argp = {
	    .parser = parse_option,
	    .doc = "Writes the document and its whole numbered history as "
		   "JSON, for guavakeel config import.",
	    .children = children,
	};
	struct arguments arguments = {0};
	struct history history;
	struct buf state = {0};
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code != COMMAND_OK)
		return code;
	config_fold_encode(&history.fold, clock_wall_us(), &state);
	puts(buf_text(&state));
	buf_reset(&state);
	history_close(&history);
	return code;
}
