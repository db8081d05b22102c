#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "guavakeel/output.h"

void
output_json(const json_t *value)
{
	json_dumpf(
	    value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	putchar('\n');
}

/* Returns the text of a table cell, which the calling function frees. */
static char *
cell_text(const json_t *value)
{
	if (json_is_string(value))
		return xstrdup(json_string_value(value));
	if (value == NULL || json_is_null(value))
		return xstrdup("-");
	return json_dumps(
	    value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
}

static int
column_width(const json_t *rows, const char *key)
{
	size_t width = strlen(key);
	size_t index;
	json_t *row;

	json_array_foreach ((json_t *)rows, index, row) {
		char *text = cell_text(json_object_get(row, key));

		if (strlen(text) > width)
			width = strlen(text);
		free(text);
	}
	return (int)width;
}

/* Prints a row of a table, or its header if row is NULL. */
static void
print_row(const json_t *rows, const json_t *row)
{
	const char *key;
	json_t *value;

	json_object_foreach (json_array_get(rows, 0), key, value) {
		char *text = row != NULL ? cell_text(json_object_get(row, key))
					 : xstrdup(key);

		printf("%-*s  ", column_width(rows, key), text);
		free(text);
	}
	putchar('\n');
}

static void
print_table(const char *title, const json_t *rows)
{
	size_t index;
	json_t *row;

	printf("\n%s:\n", title);
	print_row(rows, NULL);
	json_array_foreach ((json_t *)rows, index, row)
		print_row(rows, row);
}

static bool
is_table(const json_t *value)
{
	return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

void
output_tables(const json_t *value)
{
	const char *key;
	json_t *member;

	if (!json_is_object(value)) {
		output_json(value);
		return;
	}
	json_object_foreach ((json_t *)value, key, member) {
		char *text;

		if (is_table(member))
			continue;
		text = cell_text(member);
		printf("%s: %s\n", key, text);
		free(text);
	}
	json_object_foreach ((json_t *)value, key, member) {
		if (is_table(member))
			print_table(key, member);
	}
}

void
output_findings(const struct findings *findings, bool json)
{
	json_t *items;
	json_t *root;

	if (!json) {
		findings_print(findings, stderr);
		return;
	}
	items = json_array();
	list_for_each (finding, &findings->items, struct finding, link)
		json_array_append_new(items,
		    json_pack("{s:s, s:i, s:s}", "place", finding->location,
			"line", finding->line, "text", finding->text));
	root = json_pack("{s:o}", "findings", items);
	output_json(root);
	json_decref(root);
}
