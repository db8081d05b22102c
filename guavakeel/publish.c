#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "config/check.h"
#include "config/merge.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/publish.h"

bool
publish_read_file(const char *path, struct buf *content)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char chunk[4096];
	size_t len;
	bool ok;

	if (file == NULL)
		return false;
	while ((len = fread(chunk, 1, sizeof(chunk), file)) > 0)
		buf_append(content, chunk, len);
	ok = ferror(file) == 0;
	if (file != stdin)
		fclose(file);
	return ok;
}

/* Collects the findings of the document that results from a patch. */
static void
check_patch(const struct config_fold *fold, const json_t *patch,
    struct findings *findings)
{
	json_t *document = json_deep_copy(fold->document);
	struct findings ignored;
	struct config *before;
	struct config *after;

	findings_init(&ignored);
	merge_apply(document, patch);
	before = config_from_json(fold->document, fold->version, &ignored);
	after = config_from_json(document, fold->version + 1, findings);
	config_check_change(before, after, findings);
	findings_reset(&ignored);
	config_destroy(before);
	config_destroy(after);
	json_decref(document);
}

/* Prints a result. Takes the references to conflicts and newer_versions, which
 * may be NULL. */
static void
report_result(const char *result, uint64_t version, uint64_t id,
    json_t *conflicts, json_t *newer_versions, bool json)
{
	json_t *root = json_pack("{s:s, s:I, s:o}", "result", result, "version",
	    (json_int_t)version, "id", json_sprintf("%016" PRIx64, id));

	if (conflicts != NULL)
		json_object_set_new(root, "clashes", conflicts);
	if (newer_versions != NULL)
		json_object_set_new(root, "winners", newer_versions);
	if (json)
		output_json(root);
	else
		output_tables(root);
	json_decref(root);
}

/* Prints the versions published after the base, and the members that both they
 * and the patch change. */
static int
report_conflict(const struct history *history, const json_t *patch,
    const struct publish_options *options)
{
	json_t *conflicts = json_array();
	json_t *newer_versions = json_array();

	list_for_each (
	    version, &history->fold.versions, struct config_version, link) {
		json_t *other;

		if (version->number <= options->base)
			continue;
		other =
		    merge_parse(version->patch, strlen(version->patch), NULL);
		merge_conflicts(patch, other, "", conflicts);
		json_decref(other);
		json_array_append_new(newer_versions,
		    json_pack("{s:I, s:s, s:s}", "version",
			(json_int_t)version->number, "operator",
			version->operator_name, "comment", version->comment));
	}
	report_result("conflict", history->fold.version, options->id, conflicts,
	    newer_versions, options->json);
	return COMMAND_CONFLICT;
}

static int
report_publication(enum publish_result result, const struct history *history,
    const json_t *patch, const struct publish_options *options)
{
	const struct config_version *version;

	switch (result) {
	case PUBLISH_ACCEPTED:
		version = config_fold_find_record(&history->fold, options->id);
		report_result("accepted", version->number, options->id, NULL,
		    NULL, options->json);
		return COMMAND_OK;
	case PUBLISH_CONFLICT:
		return report_conflict(history, patch, options);
	case PUBLISH_NOT_SENT:
		report_result("not published", history->fold.version,
		    options->id, NULL, NULL, options->json);
		return COMMAND_UNAVAILABLE;
	case PUBLISH_UNKNOWN:
		break;
	}
	report_result("outcome unknown", history->fold.version, options->id,
	    NULL, NULL, options->json);
	fprintf(stderr,
	    "guavakeel: run the command again with --base=%" PRIu64
	    " --id=%016" PRIx64 "\n",
	    options->base, options->id);
	return COMMAND_UNKNOWN;
}

/* Adds a finding for a text that the record has no room for, or that is not
 * UTF-8, which the fold would reject. */
static void
check_text_option(const char *option, const char *text, size_t size,
    struct findings *findings)
{
	json_t *string = json_string(text);

	if (string == NULL)
		finding_add(findings, option, 0, "is not UTF-8");
	if (strlen(text) >= size)
		finding_add(
		    findings, option, 0, "is longer than %zu bytes", size - 1);
	json_decref(string);
}

static const char *
operator_name(const struct publish_options *options)
{
	const char *name = options->operator_name;

	if (name == NULL)
		name = getenv("USER");
	return name != NULL ? name : "unknown";
}

static const char *
comment_text(const struct publish_options *options)
{
	return options->comment != NULL ? options->comment : "";
}

static void
check_options(const struct publish_options *options, struct findings *findings)
{
	const struct record_config_patch *body = NULL;

	check_text_option("--operator", operator_name(options),
	    sizeof(body->operator_name), findings);
	check_text_option("--comment", comment_text(options),
	    sizeof(body->comment), findings);
}

static enum publish_result
send_patch(struct history *history, const json_t *patch,
    const struct publish_options *options)
{
	struct record record = {.type = RECORD_CONFIG_PATCH, .id = options->id};
	struct record_config_patch *body = &record.config_patch;
	char *text = json_dumps(patch, JSON_COMPACT | JSON_SORT_KEYS);
	enum publish_result result;

	body->base = options->base;
	body->wall_us = clock_wall_us();
	body->patch.data = (const uint8_t *)text;
	body->patch.len = strlen(text);
	snprintf(body->operator_name, sizeof(body->operator_name), "%s",
	    operator_name(options));
	snprintf(
	    body->comment, sizeof(body->comment), "%s", comment_text(options));
	result = history_publish_patch(history, &record);
	free(text);
	return result;
}

int
publish_patch(struct history *history, const json_t *patch,
    const struct publish_options *given)
{
	struct publish_options options = *given;
	struct findings findings;
	struct rng rng;

	rng_init_random(&rng);
	if (options.id == 0)
		options.id = rng_next(&rng);
	if (config_fold_find_record(&history->fold, options.id) != NULL)
		return report_publication(
		    PUBLISH_ACCEPTED, history, patch, &options);
	if (options.base != history->fold.version)
		return report_conflict(history, patch, &options);
	findings_init(&findings);
	check_options(&options, &findings);
	check_patch(&history->fold, patch, &findings);
	if (findings.count > 0) {
		output_findings(&findings, options.json);
		findings_reset(&findings);
		return COMMAND_FINDINGS;
	}
	return report_publication(
	    send_patch(history, patch, &options), history, patch, &options);
}
