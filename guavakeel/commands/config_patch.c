#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/merge.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/publish.h"

enum option_key {
	OPTION_BASE = 512,
	OPTION_OPERATOR,
	OPTION_COMMENT,
	OPTION_ID,
};

struct arguments {
	struct log_options log;
	struct publish_options publish;
	bool has_base;
	const char *argument; /**< file of a patch, or version to revert to */
};

static uint64_t
parse_id(const char *text, struct argp_state *state)
{
	char *end;
	uint64_t id = strtoull(text, &end, 16);

	if (end == text || *end != '\0' || id == 0)
		argp_error(state, "not a hexadecimal identifier: %s", text);
	return id;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &arguments->log;
		return 0;
	case OPTION_BASE:
		arguments->publish.base = option_number(arg, INT64_MAX, state);
		arguments->has_base = true;
		return 0;
	case OPTION_OPERATOR:
		arguments->publish.operator_name = arg;
		return 0;
	case OPTION_COMMENT:
		arguments->publish.comment = arg;
		return 0;
	case OPTION_ID:
		arguments->publish.id = parse_id(arg, state);
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->argument != NULL)
			argp_usage(state);
		arguments->argument = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"base", OPTION_BASE, "VERSION", 0,
	"Version that the patch changes (default: the current one)", 0},
    {"operator", OPTION_OPERATOR, "NAME", 0,
	"Name to record (default: the login name)", 0},
    {"comment", OPTION_COMMENT, "TEXT", 0, "Comment to record", 0},
    {"id", OPTION_ID, "HEX", 0,
	"Identifier of an earlier run whose outcome is unknown", 0},
    {0},
};

static const struct argp_child children[] = {
    {&log_argp, 0, NULL, 0},
    {0},
};

/* Parses the arguments and opens the history. */
static int
parse_and_open(const struct argp *argp, int argc, char **argv,
    struct arguments *arguments, struct history *history)
{
	int code;

	memset(arguments, 0, sizeof(*arguments));
	argp_parse(argp, argc, argv, 0, NULL, arguments);
	arguments->publish.json = arguments->log.json;
	code = history_open_or_report(history, &arguments->log);
	if (code == COMMAND_OK && !arguments->has_base)
		arguments->publish.base = history->fold.version;
	return code;
}

/* Reads a patch file. Returns NULL after printing why it can't be read or where
 * it is malformed. */
static json_t *
read_patch(const char *path, bool json)
{
	struct buf content = {0};
	struct findings findings;
	json_error_t problem = {0};
	json_t *patch = NULL;

	findings_init(&findings);
	if (!publish_read_file(path, &content))
		finding_add(&findings, path, 0, "%s", strerror(errno));
	else
		patch = merge_parse(buf_text(&content), content.len, &problem);
	if (patch == NULL && findings.count == 0)
		finding_add(&findings, path, problem.line, "%s", problem.text);
	if (patch == NULL)
		output_findings(&findings, json);
	findings_reset(&findings);
	buf_reset(&content);
	return patch;
}

int
config_patch(int argc, char **argv)
{
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .args_doc = "FILE",
	    .doc = "Publishes a JSON merge patch (RFC 7396) from FILE, or from "
		   "standard input if FILE is -.",
	    .children = children,
	};
	struct arguments arguments;
	struct history history;
	json_t *patch;
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code != COMMAND_OK)
		return code;
	patch = read_patch(arguments.argument, arguments.log.json);
	if (patch != NULL)
		code = publish_patch(&history, patch, &arguments.publish);
	else
		code = COMMAND_FINDINGS;
	json_decref(patch);
	history_close(&history);
	return code;
}

/* Publishes the patch from the current version to an old one. */
static int
revert(struct history *history, const struct arguments *arguments)
{
	char comment[64];
	char *end;
	uint64_t version = strtoull(arguments->argument, &end, 10);
	struct publish_options publish = arguments->publish;
	json_t *old = NULL;
	json_t *patch;
	int code;

	if (*end == '\0' && end != arguments->argument)
		old = config_fold_document_at(&history->fold, version);
	if (old == NULL) {
		fprintf(
		    stderr, "guavakeel: no version %s\n", arguments->argument);
		return COMMAND_FINDINGS;
	}
	snprintf(
	    comment, sizeof(comment), "revert to version %" PRIu64, version);
	if (publish.comment == NULL)
		publish.comment = comment;
	patch = merge_diff(history->fold.document, old);
	code = publish_patch(history, patch, &publish);
	json_decref(patch);
	json_decref(old);
	return code;
}

int
config_revert_to(int argc, char **argv)
{
	static const struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .args_doc = "VERSION",
	    .doc = "Publishes, as a new version, the content of an old one.",
	    .children = children,
	};
	struct arguments arguments;
	struct history history;
	int code = parse_and_open(&argp, argc, argv, &arguments, &history);

	if (code != COMMAND_OK)
		return code;
	code = revert(&history, &arguments);
	history_close(&history);
	return code;
}
