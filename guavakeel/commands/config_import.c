#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "common/rng.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/publish.h"

struct arguments {
	struct log_options log;
	const char *path;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &arguments->log;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->path != NULL)
			argp_usage(state);
		arguments->path = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns whether the patches of an export result in its document. */
static bool
is_consistent(const struct config_fold *state)
{
	json_t *document = config_fold_document_at(state, state->version);
	bool same = json_equal(document, state->document);

	json_decref(document);
	return same;
}

static bool
read_export(const char *path, struct config_fold *state)
{
	struct buf content = {0};
	struct error err = {0};
	bool ok = false;

	if (!publish_read_file(path, &content))
		error_set(&err, ERROR_IO, "%s", strerror(errno));
	else if (!config_fold_decode(
		     state, buf_text(&content), content.len, &err))
		ok = false;
	else if (state->version == 0)
		error_set(&err, ERROR_INVALID, "has no versions");
	else if (!is_consistent(state))
		error_set(&err, ERROR_INVALID,
		    "the document differs from the result of the patches");
	else
		ok = true;
	if (!ok)
		fprintf(stderr, "%s: %s\n", path, err.text);
	buf_reset(&content);
	return ok;
}

static int
import_history(struct history *history, struct config_fold *state)
{
	struct rng rng;

	rng_init_random(&rng);
	if (history->fold.version != 0) {
		fprintf(stderr,
		    "guavakeel: the log already has version %" PRIu64 "\n",
		    history->fold.version);
		return COMMAND_CONFLICT;
	}
	state->next_offset = history->fold.next_offset;
	switch (history_publish_import(history, state, rng_next(&rng))) {
	case PUBLISH_ACCEPTED:
		printf("version: %" PRIu64 "\n", history->fold.version);
		return COMMAND_OK;
	case PUBLISH_CONFLICT:
		fprintf(stderr, "guavakeel: another version came first\n");
		return COMMAND_CONFLICT;
	case PUBLISH_NOT_SENT:
		fprintf(stderr, "guavakeel: not published\n");
		return COMMAND_UNAVAILABLE;
	case PUBLISH_UNKNOWN:
		break;
	}
	fprintf(stderr, "guavakeel: outcome unknown; run the import again\n");
	return COMMAND_UNKNOWN;
}

int
config_import(int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&log_argp, 0, NULL, 0},
	    {0},
	};
	static const struct argp argp = {
	    .parser = parse_option,
	    .args_doc = "FILE",
	    .doc = "Loads an export into a log without versions.",
	    .children = children,
	};
	struct arguments arguments = {0};
	struct config_fold state;
	struct history history;
	int code = COMMAND_FINDINGS;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	config_fold_init(&state);
	if (read_export(arguments.path, &state))
		code = history_open_or_report(&history, &arguments.log);
	if (code == COMMAND_OK) {
		code = import_history(&history, &state);
		history_close(&history);
	}
	config_fold_reset(&state);
	return code;
}
