/** @file
 * Reads the members of a JSON object into a struct, driven by a table of its
 * fields.
 */
#ifndef CONFIG_FIELD_H
#define CONFIG_FIELD_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "common/finding.h"

enum {
	POINTER_BYTES = 256,
};

enum schema_kind {
	SCHEMA_NAME,    /**< letters, digits, '.', '_', '-', into char[] */
	SCHEMA_TEXT,    /**< text without control characters, into char[] */
	SCHEMA_ADDRESS, /**< IP address, into char[] */
	SCHEMA_INTEGER, /**< into an integer of 4 or 8 bytes, times scale */
	SCHEMA_NUMBER,  /**< into a double */
	SCHEMA_BOOL,    /**< into a bool */
	SCHEMA_ROLE,    /**< into an enum server_role */
	SCHEMA_OTHER,   /**< not stored: the caller reads the value */
};

/** Describes one member of a JSON object and where its value is stored. */
struct schema_field {
	const char *key;
	enum schema_kind kind;
	size_t offset; /**< offset of the struct's member */
	size_t size;   /**< size of that member in bytes */
	double min;    /**< least number, as written in the document */
	double max;    /**< greatest number */
	long scale;    /**< SCHEMA_INTEGER: stored = written * scale; 0: 1 */
	bool required;
};

/** Initialisers of offset and size. */
#define SCHEMA_IN(type, member) \
	offsetof(type, member), sizeof(((type *)0)->member)

/** The members that a JSON object may have. */
struct schema {
	const struct schema_field *fields;
	size_t count;
};

/** JSON pointer to the value that is being read, and the findings to add to. */
struct json_location {
	char pointer[POINTER_BYTES];
	struct findings *findings;
};

/** Returns the location of a member, with its key escaped as in RFC 6901. */
struct json_location
json_location_member(const struct json_location *location, const char *key);
/** Adds a finding about the value at a location. */
void json_location_report(const struct json_location *location, const char *fmt,
    ...) __attribute__((format(printf, 2, 3)));

/** Returns whether text is a valid name: 1 to NAME_BYTES - 1 letters, digits,
 * '.', '_' or '-'. */
bool schema_is_name(const char *text);
/** Reads a JSON object into the struct at target. Unknown or missing members,
 * wrong types and values out of range are reported as findings; valid members
 * are stored. Returns false if value is not an object. */
bool schema_read(const json_t *value, const struct json_location *location,
    const struct schema *schema, void *target);

#endif
