/** @file
 * Table-driven MessagePack codec: a struct is a map with integer keys. Keys
 * that a reader does not know are skipped, missing ones leave zeros.
 */
#ifndef COMMON_FIELD_H
#define COMMON_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "common/error.h"

/** A view of bytes that belong to the decoded input. */
struct record_bytes {
	const uint8_t *data;
	size_t len;
};

enum field_kind {
	FIELD_UNSIGNED, /**< uint32_t or uint64_t, by size */
	FIELD_SIGNED,   /**< int64_t */
	FIELD_BOOL,
	FIELD_TEXT, /**< NUL-terminated array */
	FIELD_DIGEST,
	FIELD_BYTES, /**< struct record_bytes */
	FIELD_LIST,  /**< struct field_list */
};

/** Array of structs of one layout; decoding allocates the items. */
struct field_list {
	void *items;
	size_t count;
};

/** Where a member lives, and the key of its wire form. Keys are never reused
 * with another meaning. */
struct field {
	uint64_t key;
	enum field_kind kind;
	size_t offset;
	size_t size;                       /**< of the member */
	const struct field_layout *layout; /**< of a list's items */
	size_t item_size;                  /**< of a list's items, in bytes */
};

struct field_layout {
	const char *name;
	const struct field *fields;
	size_t count;
	bool sparse; /**< zero values are left out */
};

/** Initialiser of a struct field. */
#define FIELD(type, key, kind, member) \
	{ \
		key, kind, offsetof(type, member), \
		    sizeof(((type *)0)->member), NULL, 0 \
	}
/** Initialiser of a struct field_layout from a table. */
#define FIELD_LAYOUT(label, table) \
	{ \
		label, table, sizeof(table) / sizeof((table)[0]), false \
	}

/** Packs a struct as a map; layout NULL: an empty map. */
void fields_pack(msgpack_packer *packer, const struct field_layout *layout,
    const void *from);
/** Fills a zeroed struct from a map; layout NULL: only checks that it is one.
 * Lists are to be freed with fields_free(), also after a failure.
 * Errors: ERROR_INVALID with the field. */
bool fields_unpack(const msgpack_object *body,
    const struct field_layout *layout, void *to, struct error *err);
/** Frees the lists of an unpacked struct. */
void fields_free(const struct field_layout *layout, void *from);

#endif
