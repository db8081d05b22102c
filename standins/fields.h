/** @file
 * Named variables of a program that are set from its command line, where names
 * have dashes, or from a JSON object, where names have underscores.
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
	FIELD_INTEGER, /**< integer that is not negative */
	FIELD_REAL,    /**< number that is not negative */
	FIELD_TEXT,
	FIELD_BOOL, /**< yes or no on the command line; true or false in JSON */
};

/** A named variable. */
struct field {
	const char *name; /**< name with underscores */
	const char *arg;  /**< placeholder of the value in --help */
	const char *help;
	enum field_type type;
	/** Pointer to the variable. */
	union {
		int64_t *integer;
		double *real;
		char **text; /**< allocated string; NULL: not set */
		bool *flag;
	};
};

/** Sets a field from a command-line argument. Errors: ERROR_INVALID. */
bool
field_set_text(const struct field *field, const char *arg, struct error *err);
/** Sets the fields that a JSON object names. Sets none of them if a name is
 * unknown or a value has the wrong type. Errors: ERROR_INVALID. */
bool fields_set_json(const struct field *fields, size_t count,
    const json_t *object, struct error *err);
/** Sets every field to 0, false or NULL. */
void fields_clear(const struct field *fields, size_t count);
/** Returns a JSON object with all fields. */
json_t *fields_json(const struct field *fields, size_t count);

/** Sets fields from the command line. Exits the process on a usage error and
 * after --help. */
void fields_parse(const struct field *fields, size_t count, const char *summary,
    int argc, char **argv);

#endif
