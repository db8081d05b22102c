#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/finding.h"
#include "common/memory.h"

void
findings_init(struct findings *findings)
{
	list_init(&findings->items);
	findings->count = 0;
}

void
findings_reset(struct findings *findings)
{
	list_for_each_safe (
	    finding, tmp, &findings->items, struct finding, link) {
		list_remove(&finding->link);
		free(finding->location);
		free(finding->text);
		free(finding);
	}
	findings->count = 0;
}

void
finding_add(struct findings *findings, const char *location, int line,
    const char *fmt, ...)
{
	struct finding *finding = xcalloc(1, sizeof(*finding));
	va_list args;

	finding->location = xstrdup(location);
	finding->line = line;
	va_start(args, fmt);
	if (vasprintf(&finding->text, fmt, args) < 0)
		memory_exhausted();
	va_end(args);
	list_append(&findings->items, &finding->link);
	findings->count++;
}

void
findings_print(const struct findings *findings, FILE *out)
{
	list_for_each (finding, &findings->items, struct finding, link) {
		if (finding->line > 0)
			fprintf(out, "%s:%d: %s\n", finding->location,
			    finding->line, finding->text);
		else
			fprintf(
			    out, "%s: %s\n", finding->location, finding->text);
	}
}
