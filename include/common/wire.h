/** @file
 * Table-driven MessagePack codec: a struct is a map with integer keys. Keys
 * that a reader does not know are skipped, missing ones leave zeros.
 */
#ifndef COMMON_WIRE_H
#define COMMON_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "common/error.h"

/** A view of bytes that belong to the decoded input. */
struct wire_bytes {
	const uint8_t *data;
	size_t len;
};

enum wire_kind {
	WIRE_UNSIGNED, /**< uint32_t or uint64_t, by size */
	WIRE_SIGNED,   /**< int64_t */
	WIRE_BOOL,
	WIRE_TEXT, /**< NUL-terminated array */
	WIRE_DIGEST,
	WIRE_BYTES, /**< struct record_bytes */
	WIRE_LIST,  /**< struct wire_list */
};

/** Array of structs of one layout; decoding allocates the items. */
struct wire_list {
	void *items;
	size_t count;
};

/** Where a member lives, and the key of its wire form. Keys are never reused
 * with another meaning. */
struct wire_field {
	uint64_t key;
	enum wire_kind kind;
	size_t offset;
	size_t size;                      /**< of the member */
	const struct wire_layout *layout; /**< of a list's items */
	size_t item_size;                 /**< of a list's items, in bytes */
};

struct wire_layout {
	const char *name;
	const struct wire_field *fields;
	size_t count;
	bool sparse; /**< zero values are left out */
};

/** Initialiser of a struct wire_field. */
#define WIRE_FIELD(type, key, kind, member) \
	{ \
		key, kind, offsetof(type, member), \
		    sizeof(((type *)0)->member), NULL, 0 \
	}
/** Initialiser of a struct wire_layout from a table. */
#define WIRE_LAYOUT(label, table) \
	{ \
		label, table, sizeof(table) / sizeof((table)[0]), false \
	}

/** Packs a struct as a map; layout NULL: an empty map. */
void wire_pack(
    msgpack_packer *packer, const struct wire_layout *layout, const void *from);
/** Fills a zeroed struct from a map; layout NULL: only checks that it is one.
 * Lists are to be freed with wire_free(), also after a failure.
 * Errors: ERROR_INVALID with the field. */
bool wire_unpack(const msgpack_object *body, const struct wire_layout *layout,
    void *to, struct error *err);
/** Frees the lists of an unpacked struct. */
void wire_free(const struct wire_layout *layout, void *from);

#endif
