/** @file
 * Findings: everything wrong with an input, each with its place, collected
 * in one pass and reported together.
 */
#ifndef COMMON_FINDING_H
#define COMMON_FINDING_H

#include <stddef.h>
#include <stdio.h>

#include "common/list.h"

struct finding {
	struct list link;
	char *location; /**< file name, or JSON pointer into a document */
	int line;       /**< 1-based line; 0 when the place has no lines */
	char *text;
};

struct findings {
	struct list items; /**< of struct finding */
	size_t count;
};

void findings_init(struct findings *findings);
/** Frees all findings and leaves the collection empty. */
void findings_reset(struct findings *findings);
void finding_add(struct findings *findings, const char *place, int line,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Prints one line each: `place:line: text`, or `place: text`. */
void findings_print(const struct findings *findings, FILE *out);

#endif
