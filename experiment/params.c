#include "experiment/params.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

struct params_reader {
	struct params *params;
	struct findings *findings;
	const char *path;
};

struct param {
	const char *section;
	const char *key;
	size_t offset;
	double value;
};

static const struct param PARAMS[] = {
#define PARAM_ITEM(section, key, value) \
	{#section, #key, offsetof(struct params, key), value},
    PARAM_LIST(PARAM_ITEM)
#undef PARAM_ITEM
};

enum {
	PARAM_COUNT = sizeof(PARAMS) / sizeof(PARAMS[0]),
};

static double *
param_at(struct params *params, size_t i)
{
	return (double *)(void *)((char *)params + PARAMS[i].offset);
}

void
params_defaults(struct params *params)
{
	memset(params, 0, sizeof(*params));
	snprintf(params->name, sizeof(params->name), "default");
	for (size_t i = 0; i < PARAM_COUNT; i++)
		*param_at(params, i) = PARAMS[i].value;
}

static int
params_handle(
    void *user, const char *section, const char *key, const char *text)
{
	struct params_reader *reader = user;
	char *end;
	double value;

	if (strcmp(section, "deployment") == 0 && strcmp(key, "name") == 0) {
		snprintf(reader->params->name, sizeof(reader->params->name),
		    "%s", text);
		return 1;
	}
	for (size_t i = 0; i < PARAM_COUNT; i++) {
		if (strcmp(PARAMS[i].section, section) != 0 ||
		    strcmp(PARAMS[i].key, key) != 0)
			continue;
		value = strtod(text, &end);
		if (*text == '\0' || *end != '\0' || !isfinite(value) ||
		    value < 0)
			finding_add(reader->findings, reader->path, 0,
			    "[%s] %s: not a number from 0: %s", section, key,
			    text);
		*param_at(reader->params, i) = value;
		return 1;
	}
	finding_add(reader->findings, reader->path, 0,
	    "[%s] %s: unknown parameter", section, key);
	return 1;
}

bool
params_load(struct params *params, const char *path, struct findings *findings)
{
	struct params_reader reader = {
	    .params = params, .findings = findings, .path = path};
	int line = ini_parse(path, params_handle, &reader);

	if (line < 0)
		finding_add(findings, path, 0, "cannot be read");
	if (line > 0)
		finding_add(findings, path, line, "syntax error");
	return findings->count == 0;
}
