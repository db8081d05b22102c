#include <stdio.h>

#include <jansson.h>
#include <sodium.h>

#include "common/buf.h"
#include "gateway/config_check.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/publish.h"
#include "platform/config.h"

/* Reads and decodes a file. Returns NULL, with a finding, if that fails. */
static struct gateway_config *
load(const char *path, const struct gateway_config *like,
    struct findings *findings)
{
	struct gateway_config *config = NULL;
	struct buf content = {0};

	if (publish_read_file(path, &content))
		config = platform_config_decode_like(
		    like, content.data, content.len, findings);
	else
		finding_add(findings, path, 0, "it can't be read");
	buf_reset(&content);
	return config;
}

/* Loads the configuration to compare with, whose own findings are no errors of
 * the checked one. */
static struct gateway_config *
load_against(const char *path, struct findings *findings)
{
	struct findings own;
	struct gateway_config *config;

	findings_init(&own);
	config = load(path, NULL, &own);
	if (config == NULL)
		finding_add(findings, path, 0, "it can't be read or decoded");
	else if (own.count > 0)
		finding_add_warning(findings, path, 0,
		    "it has findings; what they leave out is not compared");
	findings_reset(&own);
	return config;
}

static size_t
count_errors(const struct findings *findings)
{
	size_t count = 0;

	list_for_each (finding, &findings->items, struct finding, link)
		count += !finding->warning;
	return count;
}

static json_t *
findings_json(const struct findings *findings, bool warnings)
{
	json_t *items = json_array();

	list_for_each (finding, &findings->items, struct finding, link) {
		if (finding->warning == warnings)
			json_array_append_new(items,
			    json_pack("{s:s, s:s}", "place", finding->location,
				"text", finding->text));
	}
	return items;
}

static json_t *
change_json(const struct config_change *change)
{
	json_t *fields = json_array();

	for (size_t i = 0; i < change->field_count; i++)
		json_array_append_new(fields, json_string(change->fields[i]));
	return json_pack("{s:s, s:s, s:s, s:o, s:I, s:I, s:b}", "kind",
	    change->kind, "name", change->name, "action",
	    config_change_action_name(change->action), "fields", fields,
	    "keys_added", (json_int_t)change->keys_added, "keys_revoked",
	    (json_int_t)change->keys_revoked, "cap_lowered",
	    change->cap_lowered);
}

static void
print_json(const struct findings *findings, const struct list *changes)
{
	json_t *items = json_array();
	json_t *root;

	list_for_each (change, changes, struct config_change, link)
		json_array_append_new(items, change_json(change));
	root = json_pack("{s:o, s:o, s:o, s:s}", "errors",
	    findings_json(findings, false), "warnings",
	    findings_json(findings, true), "changes", items, "binds_within",
	    "config_apply");
	output_json(root);
	json_decref(root);
}

static void
print_change(const struct config_change *change)
{
	printf("%s %s %s", change->kind, change->name,
	    config_change_action_name(change->action));
	for (size_t i = 0; i < change->field_count; i++)
		printf("%s %s", i == 0 ? ":" : ",", change->fields[i]);
	if (change->keys_revoked > 0)
		printf("; %zu key%s revoked within config_apply",
		    change->keys_revoked, change->keys_revoked > 1 ? "s" : "");
	if (change->cap_lowered)
		printf("; cap lowered within config_apply");
	putchar('\n');
}

static void
print_text(const struct findings *findings, const struct list *changes)
{
	list_for_each (finding, &findings->items, struct finding, link)
		fprintf(stderr, "%s: %s%s%s\n",
		    finding->warning ? "warning" : "error", finding->location,
		    finding->location[0] != '\0' ? ": " : "", finding->text);
	list_for_each (change, changes, struct config_change, link)
		print_change(change);
}

int
check_declared(const char *path, const char *against, bool json)
{
	struct findings findings;
	struct list changes;
	struct gateway_config *from = NULL;
	struct gateway_config *config;
	bool ok;

	if (sodium_init() < 0)
		return COMMAND_UNAVAILABLE;
	findings_init(&findings);
	list_init(&changes);
	if (against != NULL)
		from = load_against(against, &findings);
	config = load(path, from, &findings);
	if (config != NULL)
		gateway_config_check(config, &findings);
	if (config != NULL && from != NULL)
		gateway_config_compare(from, config, &changes);
	ok = count_errors(&findings) == 0;
	if (json)
		print_json(&findings, &changes);
	else
		print_text(&findings, &changes);
	config_changes_free(&changes);
	findings_reset(&findings);
	gateway_config_unref(config);
	gateway_config_unref(from);
	return ok ? COMMAND_OK : COMMAND_FINDINGS;
}
