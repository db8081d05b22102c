#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/memory.h"
#include "common/wire.h"

enum {
	LIST_MAX_ITEMS = 8192, /* bounds what a short message can allocate */
};

/* The member's pointer has a type of its own, so its bytes are copied. */
static struct wire_list
load_list(const void *at)
{
	struct wire_list list;

	memcpy(&list, at, sizeof(list));
	return list;
}

static void
pack_list(
    msgpack_packer *packer, const struct wire_field *field, const void *at)
{
	struct wire_list list = load_list(at);

	msgpack_pack_array(packer, list.count);
	for (size_t i = 0; i < list.count; i++)
		wire_pack(packer, field->layout,
		    (const char *)list.items + i * field->item_size);
}

static void
pack_field(
    msgpack_packer *packer, const struct wire_field *field, const void *from)
{
	const void *at = (const char *)from + field->offset;
	const struct wire_bytes *bytes = at;

	msgpack_pack_uint64(packer, field->key);
	switch (field->kind) {
	case WIRE_UNSIGNED:
		if (field->size == sizeof(uint32_t))
			msgpack_pack_uint32(packer, *(const uint32_t *)at);
		else
			msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case WIRE_SIGNED:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case WIRE_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case WIRE_TEXT:
		msgpack_pack_str_with_body(packer, at, strlen(at));
		break;
	case WIRE_DIGEST:
		msgpack_pack_bin_with_body(packer, at, DIGEST_BYTES);
		break;
	case WIRE_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->len);
		break;
	case WIRE_LIST:
		pack_list(packer, field, at);
		break;
	}
}

static bool
is_zero(const struct wire_field *field, const void *from)
{
	const char *at = (const char *)from + field->offset;

	switch (field->kind) {
	case WIRE_TEXT:
		return *at == '\0';
	case WIRE_BYTES:
		return ((const struct wire_bytes *)(const void *)at)->len == 0;
	case WIRE_LIST:
		return load_list(at).count == 0;
	case WIRE_UNSIGNED:
	case WIRE_SIGNED:
	case WIRE_BOOL:
	case WIRE_DIGEST:
		break;
	}
	for (size_t i = 0; i < field->size; i++) {
		if (at[i] != 0)
			return false;
	}
	return true;
}

static bool
is_packed(const struct wire_layout *layout, size_t index, const void *from)
{
	return !layout->sparse || !is_zero(&layout->fields[index], from);
}

void
wire_pack(
    msgpack_packer *packer, const struct wire_layout *layout, const void *from)
{
	size_t total = layout != NULL ? layout->count : 0;
	size_t count = 0;

	for (size_t i = 0; i < total; i++)
		count += is_packed(layout, i, from);
	msgpack_pack_map(packer, count);
	for (size_t i = 0; i < total; i++) {
		if (is_packed(layout, i, from))
			pack_field(packer, &layout->fields[i], from);
	}
}

static bool
unpack_unsigned(
    const struct wire_field *field, const msgpack_object *value, void *at)
{
	if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (field->size == sizeof(uint64_t)) {
		*(uint64_t *)at = value->via.u64;
		return true;
	}
	if (value->via.u64 > UINT32_MAX)
		return false;
	*(uint32_t *)at = (uint32_t)value->via.u64;
	return true;
}

static bool
unpack_signed(const msgpack_object *value, int64_t *at)
{
	if (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		*at = value->via.i64;
	else if (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    value->via.u64 <= INT64_MAX)
		*at = (int64_t)value->via.u64;
	else
		return false;
	return true;
}

static bool
unpack_text(
    const struct wire_field *field, const msgpack_object *value, char *at)
{
	if (value->type != MSGPACK_OBJECT_STR ||
	    value->via.str.size >= field->size ||
	    memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL)
		return false;
	memcpy(at, value->via.str.ptr, value->via.str.size);
	at[value->via.str.size] = '\0';
	return true;
}

static bool
unpack_digest(const msgpack_object *value, void *at)
{
	if (value->type != MSGPACK_OBJECT_BIN ||
	    value->via.bin.size != DIGEST_BYTES)
		return false;
	memcpy(at, value->via.bin.ptr, DIGEST_BYTES);
	return true;
}

static bool
unpack_bytes(const msgpack_object *value, struct wire_bytes *bytes)
{
	if (value->type != MSGPACK_OBJECT_BIN)
		return false;
	bytes->data = (const uint8_t *)value->via.bin.ptr;
	bytes->len = value->via.bin.size;
	return true;
}

static bool
unpack_list(
    const struct wire_field *field, const msgpack_object *value, void *at)
{
	struct wire_list list = load_list(at);
	const msgpack_object_array *array = &value->via.array;

	/* The first list of a key that comes twice is freed by the caller. */
	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    array->size > LIST_MAX_ITEMS || list.items != NULL)
		return false;
	if (array->size == 0)
		return true;
	list.items = xcalloc(array->size, field->item_size);
	list.count = array->size;
	memcpy(at, &list, sizeof(list));
	for (size_t i = 0; i < list.count; i++) {
		if (!wire_unpack(&array->ptr[i], field->layout,
			(char *)list.items + i * field->item_size, NULL))
			return false;
	}
	return true;
}

static bool
unpack_field(
    const struct wire_field *field, const msgpack_object *value, void *to)
{
	void *at = (char *)to + field->offset;

	switch (field->kind) {
	case WIRE_UNSIGNED:
		return unpack_unsigned(field, value, at);
	case WIRE_SIGNED:
		return unpack_signed(value, at);
	case WIRE_BOOL:
		if (value->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = value->via.boolean;
		return true;
	case WIRE_TEXT:
		return unpack_text(field, value, at);
	case WIRE_DIGEST:
		return unpack_digest(value, at);
	case WIRE_BYTES:
		return unpack_bytes(value, at);
	case WIRE_LIST:
		return unpack_list(field, value, at);
	}
	return false;
}

static const struct wire_field *
find_field(const struct wire_layout *layout, const msgpack_object *key)
{
	if (key->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return NULL;
	for (size_t i = 0; i < layout->count; i++) {
		if (layout->fields[i].key == key->via.u64)
			return &layout->fields[i];
	}
	return NULL;
}

bool
wire_unpack(const msgpack_object *body, const struct wire_layout *layout,
    void *to, struct error *err)
{
	if (body->type != MSGPACK_OBJECT_MAP)
		return error_set(err, ERROR_INVALID, "body is not a map");
	if (layout == NULL)
		return true;
	for (uint32_t i = 0; i < body->via.map.size; i++) {
		const msgpack_object_kv *pair = &body->via.map.ptr[i];
		const struct wire_field *field = find_field(layout, &pair->key);

		if (field != NULL && !unpack_field(field, &pair->val, to))
			return error_set(err, ERROR_INVALID,
			    "%s: bad value of field %u", layout->name,
			    (unsigned)field->key);
	}
	return true;
}

static void
free_list(const struct wire_field *field, void *at)
{
	struct wire_list list = load_list(at);

	for (size_t i = 0; i < list.count; i++)
		wire_free(
		    field->layout, (char *)list.items + i * field->item_size);
	free(list.items);
	memset(at, 0, sizeof(list));
}

void
wire_free(const struct wire_layout *layout, void *from)
{
	for (size_t i = 0; layout != NULL && i < layout->count; i++) {
		if (layout->fields[i].kind == WIRE_LIST)
			free_list(&layout->fields[i],
			    (char *)from + layout->fields[i].offset);
	}
}
