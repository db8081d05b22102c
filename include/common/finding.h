/** @file
 * Findings: errors in an input, each with its location. A check collects all of
 * them in one pass, so that they are reported together.
 */
#ifndef COMMON_FINDING_H
#define COMMON_FINDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "common/list.h"

struct finding {
	struct list link;
	char *location; /**< file name, or JSON pointer into a document */
	int line;       /**< 1-based line; 0 if unknown or not a file */
	char *text;
	bool warning; /**< the input is valid, but likely a mistake */
};

struct findings {
	struct list items; /**< of struct finding */
	size_t count;
};

/** Makes an empty collection. */
void findings_init(struct findings *findings);
/** Frees all findings and leaves the collection empty. */
void findings_reset(struct findings *findings);
/** Adds a finding with a formatted text. */
void finding_add(struct findings *findings, const char *location, int line,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Like finding_add(), for a finding that does not make the input invalid. */
void finding_add_warning(struct findings *findings, const char *location,
    int line, const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Prints one line per finding: `location:line: text` or `location: text`. */
void findings_print(const struct findings *findings, FILE *out);

#endif
