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

enum field_kind {
	FIELD_NAME,    /**< text of name characters, into char[] */
	FIELD_TEXT,    /**< any text without control characters */
	FIELD_ADDRESS, /**< IP address, into char[] */
	FIELD_INTEGER, /**< into an integer of 4 or 8 bytes, times scale */
	FIELD_NUMBER,  /**< into a double */
	FIELD_BOOL,    /**< into a bool */
	FIELD_ROLE,    /**< into an enum server_role */
	FIELD_OTHER,   /**< read by the caller itself */
};

struct field {
	const char *key;
	enum field_kind kind;
	size_t offset;
	size_t size;
	double min;
	double max;
	long scale; /**< of FIELD_INTEGER: stored = declared * scale */
	bool required;
};

#define FIELD_IN(type, member) \
	offsetof(type, member), sizeof(((type *)0)->member)

/** The members that an object may have. */
struct schema {
	const struct field *fields;
	size_t count;
};

/** JSON pointer of the value that is being read, and where findings go. */
struct place {
	char pointer[POINTER_BYTES];
	struct findings *findings;
};

/** Returns the place of a member, with the key escaped as RFC 6901 says. */
struct place place_member(const struct place *place, const char *key);
void place_report(const struct place *place, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** Returns whether a text can be a name. */
bool field_is_name(const char *text);
/** Reads an object. Unknown members, wrong types and values out of range are
 * findings; what is sound is stored. Returns false if value is no object. */
bool fields_read(const json_t *value, const struct place *place,
    const struct schema *schema, void *target);

#endif
