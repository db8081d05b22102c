/** @file
 * Named values of a program, set from its command line (dashes in names) or
 * from a JSON object (underscores).
 */
#ifndef STANDINS_FIELDS_H
#define STANDINS_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"

enum {
	FIELDS_MAX = 48,
};

enum field_type {
	FIELD_INTEGER, /**< not negative */
	FIELD_REAL,    /**< not negative */
	FIELD_TEXT,
	FIELD_BOOL, /**< yes or no; true or false in JSON */
};

struct field {
	const char *name; /**< with underscores */
	const char *arg;  /**< placeholder in --help */
	const char *help;
	enum field_type type;
	union {
		int64_t *integer;
		double *real;
		char **text; /**< owned; NULL: not given */
		bool *flag;
	};
};

/** Sets a field from a command-line argument. Errors: ERROR_INVALID. */
bool
field_set_text(const struct field *field, const char *arg, struct error *err);
/** Sets the fields that an object names; nothing is set when one is unknown
 * or of a wrong type. Errors: ERROR_INVALID. */
bool fields_set_json(const struct field *fields, size_t count,
    const json_t *object, struct error *err);
/** Sets every field to 0, false or NULL. */
void fields_clear(const struct field *fields, size_t count);
/** Returns an object with every field. */
json_t *fields_json(const struct field *fields, size_t count);

/** Sets fields from a command line; ends the process on a wrong one, and for
 * --help. */
void fields_parse(const struct field *fields, size_t count, const char *summary,
    int argc, char **argv);

#endif
