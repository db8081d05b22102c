#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "review/common/review.h"

static FILE *record;
static int64_t begun_us;

void
review_begin(void)
{
	const char *dir = getenv("CASE_DIR");
	char path[512];

	begun_us = clock_monotonic_us();
	snprintf(path, sizeof(path), "%s/record.txt", dir != NULL ? dir : ".");
	record = fopen(path, "we");
	if (record == NULL)
		exit(VERDICT_NOT_RUN);
	setvbuf(record, NULL, _IOLBF, 0);
}

double
review_seconds(void)
{
	return (double)(clock_monotonic_us() - begun_us) / US_PER_S;
}

void
review_note(const char *format, ...)
{
	va_list arguments;

	flockfile(record);
	fprintf(record, "%8.3f ", review_seconds());
	va_start(arguments, format);
	vfprintf(record, format, arguments);
	va_end(arguments);
	fputc('\n', record);
	funlockfile(record);
}

bool
review_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
review_sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

void
review_end(struct cluster *cluster, enum verdict verdict)
{
	static const char *const names[] = {
	    [VERDICT_HELD] = "the rule held",
	    [VERDICT_BROKEN] = "the rule was broken",
	    [VERDICT_NOT_RUN] = "the case did not run",
	};

	cluster_stop(cluster);
	review_note("%s", names[verdict]);
	fclose(record);
	exit((int)verdict);
}

void
review_give_up(struct cluster *cluster, const char *why)
{
	review_note("given up: %s", why);
	review_end(cluster, VERDICT_NOT_RUN);
}

void
review_note_runs(const struct cluster *cluster)
{
	struct buf runs = {0};
	const char *line;

	cluster_read_runs(cluster, &runs);
	for (line = buf_text(&runs); (line = strstr(line, "ran ")) != NULL;
	     line++)
		review_note("servers: %.*s", (int)strcspn(line, "\n"), line);
	buf_reset(&runs);
}

int
review_count_events(const char *text)
{
	int events = 0;

	while ((text = strstr(text, "\n\n")) != NULL) {
		events++;
		text += 2;
	}
	return events;
}
