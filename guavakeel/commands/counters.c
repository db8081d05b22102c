#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/memory.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/query.h"

/* Prints metrics: the text as received, or as a JSON object with a member for
 * each line "name value". */
static void
print_metrics(const char *body, size_t len, bool json)
{
	char *text = xmemdup(body, len);
	json_t *root = json_object();
	char *rest = NULL;

	for (char *line = strtok_r(text, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		char *space = strrchr(line, ' ');

		if (*line == '#' || space == NULL)
			continue;
		*space = '\0';
		json_object_set_new(
		    root, line, json_real(strtod(space + 1, NULL)));
	}
	if (json)
		output_json(root);
	else
		printf("%.*s", (int)len, body);
	json_decref(root);
	free(text);
}

int
command_counters(int argc, char **argv)
{
	static const char doc[] = "Prints a daemon's counters.";

	return query_run(doc, HTTP_GET, "/metrics", print_metrics, argc, argv);
}
