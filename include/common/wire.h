/** @file
 * Table-driven MessagePack codec. A struct is encoded as a map with integer
 * keys. Decoding skips unknown keys, and leaves members without a key at zero.
 */
#ifndef COMMON_WIRE_H
#define COMMON_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "common/error.h"

/** A view of bytes; after decoding they belong to the input. */
struct wire_bytes {
	const uint8_t *data;
	size_t len;
};

enum wire_kind {
	WIRE_UNSIGNED, /**< uint32_t or uint64_t, by size */
	WIRE_SIGNED,   /**< int64_t */
	WIRE_BOOL,
	WIRE_TEXT,   /**< NUL-terminated char array */
	WIRE_DIGEST, /**< struct digest */
	WIRE_BYTES,  /**< struct wire_bytes */
	WIRE_LIST,   /**< struct wire_list */
};

/** An array of structs of one layout. Decoding allocates the items. */
struct wire_list {
	void *items;
	size_t count;
};

/** A member of a struct and its key in the map. The key of a removed member
 * must never be reused, since old messages and records still have it. */
struct wire_field {
	uint64_t key;
	enum wire_kind kind;
	size_t offset;
	size_t size;                      /**< size of the member in bytes */
	const struct wire_layout *layout; /**< layout of a list's items */
	size_t item_size;                 /**< size of a list's item in bytes */
};

/** The members of a struct. */
struct wire_layout {
	const char *name; /**< name in error messages */
	const struct wire_field *fields;
	size_t count;
	bool sparse; /**< members that are zero are left out of the map */
};

/** Initialiser of a struct wire_field. */
#define WIRE_FIELD(type, key, kind, member) \
	{ \
		key, kind, offsetof(type, member), \
		    sizeof(((type *)0)->member), NULL, 0 \
	}
/** Initialiser of a struct wire_layout from an array of struct wire_field. */
#define WIRE_LAYOUT(label, table) \
	{ \
		label, table, sizeof(table) / sizeof((table)[0]), false \
	}

/** Encodes a struct as a map; an empty map if layout is NULL. */
void wire_pack(
    msgpack_packer *packer, const struct wire_layout *layout, const void *from);
/** Decodes a map into a zeroed struct. If layout is NULL, only checks that body
 * is a map. The caller frees lists with wire_free(), also after a failure.
 * Errors: ERROR_INVALID with the key. */
bool wire_unpack(const msgpack_object *body, const struct wire_layout *layout,
    void *to, struct error *err);
/** Frees the lists of a decoded struct. */
void wire_free(const struct wire_layout *layout, void *from);

#endif
