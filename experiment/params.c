#include "experiment/params.h"

#include <ctype.h>
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

/** Section, name, offset in struct params and default of a parameter. */
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
	PARAMS_SERVERS_MAX = 32, /**< as SIMULATION_ENGINES_MAX */
	PARAMS_NODES_MAX = 32,   /**< as SIMULATION_NODES_MAX */
	PARAMS_RUNNING_MAX = 4096,
	/** load reports of an engine in flight; must stay below
	 * SIMULATION_REPORTS_MAX */
	PARAMS_REPORTS_IN_FLIGHT_MAX = 20,
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
			    "[%s] %s: must be a number >= 0: %s", section, key,
			    text);
		*param_at(reader->params, i) = value;
		return 1;
	}
	finding_add(reader->findings, reader->path, 0,
	    "[%s] %s: unknown parameter", section, key);
	return 1;
}

static void
params_check_range(struct findings *findings, const char *path, const char *key,
    double value, double lowest, double highest)
{
	if (value < lowest || value > highest)
		finding_add(findings, path, 0, "%s: %g is not in %g .. %g", key,
		    value, lowest, highest);
}

/* Checks that the deployment's name is safe in reports and file names. */
static void
params_check_name(const char *name, const char *path, struct findings *findings)
{
	for (const char *at = name; *at != '\0'; at++) {
		if (isalnum((unsigned char)*at) || *at == '-' || *at == '_')
			continue;
		finding_add(findings, path, 0,
		    "name: may contain only letters, digits, - and _: %s",
		    name);
		return;
	}
}

static void
params_check(
    const struct params *params, const char *path, struct findings *findings)
{
	params_check_name(params->name, path, findings);
	params_check_range(
	    findings, path, "runners", params->runners, 1, PARAMS_SERVERS_MAX);
	params_check_range(
	    findings, path, "nodes", params->nodes, 1, PARAMS_NODES_MAX);
	params_check_range(
	    findings, path, "regions", params->regions, 1, PARAMS_SERVERS_MAX);
	params_check_range(findings, path, "max_running", params->max_running,
	    1, PARAMS_RUNNING_MAX);
	params_check_range(findings, path, "prefill_tokens_per_s",
	    params->prefill_tokens_per_s, 1, INFINITY);
	params_check_range(findings, path, "prefill_chunk_tokens",
	    params->prefill_chunk_tokens, 1, INFINITY);
	params_check_range(
	    findings, path, "step_ms", params->step_ms, 0.1, INFINITY);
	params_check_range(findings, path, "kv_tokens", params->kv_tokens,
	    params->context_tokens, INFINITY);
	params_check_range(findings, path, "report_interval_ms",
	    params->report_interval_ms, 100, INFINITY);
	params_check_range(findings, path, "report_lag_ms",
	    params->report_lag_ms, 0,
	    PARAMS_REPORTS_IN_FLIGHT_MAX * params->report_interval_ms);
	params_check_range(
	    findings, path, "measured_s", params->measured_s, 1, INFINITY);
	params_check_range(findings, path, "burst_every_s",
	    params->burst_every_s, params->burst_s + 1, INFINITY);
}

bool
params_load(struct params *params, const char *path, struct findings *findings)
{
	struct params_reader reader = {
	    .params = params, .findings = findings, .path = path};
	int line = ini_parse(path, params_handle, &reader);

	if (line < 0)
		finding_add(findings, path, 0, "cannot read the file");
	if (line > 0)
		finding_add(findings, path, line, "syntax error");
	params_check(params, path, findings);
	return findings->count == 0;
}
