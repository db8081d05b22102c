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

static struct finding *
add_formatted(struct findings *findings, const char *location, int line,
    const char *fmt, va_list args)
{
	struct finding *finding = xcalloc(1, sizeof(*finding));

	finding->location = xstrdup(location);
	finding->line = line;
	if (vasprintf(&finding->text, fmt, args) < 0)
		memory_exhausted();
	list_append(&findings->items, &finding->link);
	findings->count++;
	return finding;
}

void
finding_add(struct findings *findings, const char *location, int line,
    const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	add_formatted(findings, location, line, fmt, args);
	va_end(args);
}

void
finding_add_warning(struct findings *findings, const char *location, int line,
    const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	add_formatted(findings, location, line, fmt, args)->warning = true;
	va_end(args);
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
