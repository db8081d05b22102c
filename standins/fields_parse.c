#include <argp.h>
#include <stdlib.h>

#include "common/memory.h"
#include "standins/fields.h"

enum {
	OPTION_KEY_BASE = 256,
};

/** Fields that the option parser sets. */
struct parse_input {
	const struct field *fields;
	size_t count;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	const struct parse_input *input = state->input;
	struct error err = {0};

	if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument: %s", arg);
	if (key < OPTION_KEY_BASE || key >= OPTION_KEY_BASE + (int)input->count)
		return ARGP_ERR_UNKNOWN;
	if (!field_set_text(&input->fields[key - OPTION_KEY_BASE], arg, &err))
		argp_error(state, "%s", err.text);
	return 0;
}

/* Returns a copy of a name with dashes in place of underscores. */
static char *
option_name(const char *name)
{
	char *text = xstrdup(name);

	for (char *at = text; *at != '\0'; at++) {
		if (*at == '_')
			*at = '-';
	}
	return text;
}

void
fields_parse(const struct field *fields, size_t count, const char *summary,
    int argc, char **argv)
{
	struct argp_option options[FIELDS_MAX + 1] = {0};
	struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .doc = summary,
	};
	struct parse_input input = {.fields = fields, .count = count};

	for (size_t i = 0; i < count; i++) {
		options[i].name = option_name(fields[i].name);
		options[i].key = OPTION_KEY_BASE + (int)i;
		options[i].arg = fields[i].arg;
		options[i].doc = fields[i].help;
	}
	argp_parse(&argp, argc, argv, 0, NULL, &input);
	for (size_t i = 0; i < count; i++)
		free((char *)options[i].name);
}
