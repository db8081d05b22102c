#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/memory.h"
#include "common/wire.h"

enum {
	/* Bounds the memory that a short message can allocate. */
	LIST_MAX_ITEMS = 8192,
};

/* Reads a list member. Its items pointer has another type than that of struct
 * wire_list, so the bytes are copied. */
static struct wire_list
load_list(const void *member)
{
	struct wire_list list;

	memcpy(&list, member, sizeof(list));
	return list;
}

static void
pack_list(
    msgpack_packer *packer, const struct wire_field *field, const void *member)
{
	struct wire_list list = load_list(member);

	msgpack_pack_array(packer, list.count);
	for (size_t i = 0; i < list.count; i++)
		wire_pack(packer, field->layout,
		    (const char *)list.items + i * field->item_size);
}

static void
pack_field(
    msgpack_packer *packer, const struct wire_field *field, const void *from)
{
	const void *member = (const char *)from + field->offset;
	const struct wire_bytes *bytes = member;

	msgpack_pack_uint64(packer, field->key);
	switch (field->kind) {
	case WIRE_UNSIGNED:
		if (field->size == sizeof(uint32_t))
			msgpack_pack_uint32(packer, *(const uint32_t *)member);
		else
			msgpack_pack_uint64(packer, *(const uint64_t *)member);
		break;
	case WIRE_SIGNED:
		msgpack_pack_int64(packer, *(const int64_t *)member);
		break;
	case WIRE_BOOL:
		if (*(const bool *)member)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case WIRE_TEXT:
		msgpack_pack_str_with_body(packer, member, strlen(member));
		break;
	case WIRE_DIGEST:
		msgpack_pack_bin_with_body(packer, member, DIGEST_BYTES);
		break;
	case WIRE_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->len);
		break;
	case WIRE_LIST:
		pack_list(packer, field, member);
		break;
	}
}

static bool
is_zero(const struct wire_field *field, const void *from)
{
	const char *member = (const char *)from + field->offset;

	switch (field->kind) {
	case WIRE_TEXT:
		return *member == '\0';
	case WIRE_BYTES:
		return ((const struct wire_bytes *)(const void *)member)->len ==
		    0;
	case WIRE_LIST:
		return load_list(member).count == 0;
	case WIRE_UNSIGNED:
	case WIRE_SIGNED:
	case WIRE_BOOL:
	case WIRE_DIGEST:
		break;
	}
	for (size_t i = 0; i < field->size; i++) {
		if (member[i] != 0)
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
    const struct wire_field *field, const msgpack_object *value, void *member)
{
	if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (field->size == sizeof(uint64_t)) {
		*(uint64_t *)member = value->via.u64;
		return true;
	}
	if (value->via.u64 > UINT32_MAX)
		return false;
	*(uint32_t *)member = (uint32_t)value->via.u64;
	return true;
}

static bool
unpack_signed(const msgpack_object *value, int64_t *member)
{
	if (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		*member = value->via.i64;
	else if (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    value->via.u64 <= INT64_MAX)
		*member = (int64_t)value->via.u64;
	else
		return false;
	return true;
}

static bool
unpack_text(
    const struct wire_field *field, const msgpack_object *value, char *member)
{
	if (value->type != MSGPACK_OBJECT_STR ||
	    value->via.str.size >= field->size ||
	    memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL)
		return false;
	memcpy(member, value->via.str.ptr, value->via.str.size);
	member[value->via.str.size] = '\0';
	return true;
}

static bool
unpack_digest(const msgpack_object *value, void *member)
{
	if (value->type != MSGPACK_OBJECT_BIN ||
	    value->via.bin.size != DIGEST_BYTES)
		return false;
	memcpy(member, value->via.bin.ptr, DIGEST_BYTES);
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
    const struct wire_field *field, const msgpack_object *value, void *member)
{
	struct wire_list list = load_list(member);
	const msgpack_object_array *array = &value->via.array;

	/* A repeated key is an error; the caller then frees the first list. */
	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    array->size > LIST_MAX_ITEMS || list.items != NULL)
		return false;
	if (array->size == 0)
		return true;
	list.items = xcalloc(array->size, field->item_size);
	list.count = array->size;
	memcpy(member, &list, sizeof(list));
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
	void *member = (char *)to + field->offset;

	switch (field->kind) {
	case WIRE_UNSIGNED:
		return unpack_unsigned(field, value, member);
	case WIRE_SIGNED:
		return unpack_signed(value, member);
	case WIRE_BOOL:
		if (value->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)member = value->via.boolean;
		return true;
	case WIRE_TEXT:
		return unpack_text(field, value, member);
	case WIRE_DIGEST:
		return unpack_digest(value, member);
	case WIRE_BYTES:
		return unpack_bytes(value, member);
	case WIRE_LIST:
		return unpack_list(field, value, member);
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
free_list(const struct wire_field *field, void *member)
{
	struct wire_list list = load_list(member);

	for (size_t i = 0; i < list.count; i++)
		wire_free(
		    field->layout, (char *)list.items + i * field->item_size);
	free(list.items);
	memset(member, 0, sizeof(list));
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
