/** @file
 * Reads the members of a JSON object into a structure, driven by a table.
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
	SCHEMA_NAME,    /**< text of name characters, into char[] */
	SCHEMA_TEXT,    /**< any text without control characters */
	SCHEMA_ADDRESS, /**< IP address, into char[] */
	SCHEMA_INTEGER, /**< into an integer of 4 or 8 bytes, times scale */
	SCHEMA_NUMBER,  /**< into a double */
	SCHEMA_BOOL,    /**< into a bool */
	SCHEMA_ROLE,    /**< into an enum server_role */
	SCHEMA_OTHER,   /**< read by the caller itself */
};

struct schema_field {
	const char *key;
	enum schema_kind kind;
	size_t offset;
	size_t size;
	double min;
	double max;
	long scale; /**< of SCHEMA_INTEGER: stored = declared * scale */
	bool required;
};

#define SCHEMA_IN(type, member) \
	offsetof(type, member), sizeof(((type *)0)->member)

/** The members that an object may have. */
struct schema {
	const struct schema_field *fields;
	size_t count;
};

/** JSON pointer of the value that is being read, and where findings go. */
struct json_location {
	char pointer[POINTER_BYTES];
	struct findings *findings;
};

/** Returns the place of a member, with the key escaped as RFC 6901 says. */
struct json_location
json_location_member(const struct json_location *place, const char *key);
void json_location_report(const struct json_location *place, const char *fmt,
    ...) __attribute__((format(printf, 2, 3)));

/** Returns whether a text can be a name. */
bool schema_is_name(const char *text);
/** Reads an object. Unknown members, wrong types and values out of range are
 * findings; what is sound is stored. Returns false if value is no object. */
bool schema_read(const json_t *value, const struct json_location *place,
    const struct schema *schema, void *target);

#endif
