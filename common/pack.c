#include <stdint.h>

#include "common/buf.h"
#include "common/pack.h"

enum {
	PACK_MAX_DEPTH = 16,
};

int
pack_to_buf(void *buf, const char *bytes, size_t len)
{
	return buf_append(buf, bytes, len) ? 0 : -1;
}

/** Position in a value that is being walked. */
struct cursor {
	const uint8_t *at;
	const uint8_t *end;
};

/* Reads a big-endian number of 1, 2, 4 or 8 bytes. */
static bool
take_number(struct cursor *cursor, size_t size, uint64_t *number)
{
	if ((size_t)(cursor->end - cursor->at) < size)
		return false;
	*number = 0;
	for (size_t i = 0; i < size; i++)
		*number = *number << 8 | *cursor->at++;
	return true;
}

static bool
skip(struct cursor *cursor, uint64_t count)
{
	if ((uint64_t)(cursor->end - cursor->at) < count)
		return false;
	cursor->at += count;
	return true;
}

static bool walk(struct cursor *cursor, int depth);

static bool
walk_items(struct cursor *cursor, uint64_t count, int depth)
{
	/* An item has at least one byte. */
	if (count > (uint64_t)(cursor->end - cursor->at) ||
	    depth >= PACK_MAX_DEPTH)
		return false;
	for (uint64_t i = 0; i < count; i++) {
		if (!walk(cursor, depth + 1))
			return false;
	}
	return true;
}

/* Walks a value whose length has a field of its own. */
static bool
walk_sized(struct cursor *cursor, uint8_t tag, int depth)
{
	uint64_t count;

	switch (tag) {
	case 0xc4: /* bin 8, 16, 32 */
	case 0xc5:
	case 0xc6:
		return take_number(cursor, (size_t)1 << (tag - 0xc4), &count) &&
		    skip(cursor, count);
	case 0xc7: /* ext 8, 16, 32 */
	case 0xc8:
	case 0xc9:
		return take_number(cursor, (size_t)1 << (tag - 0xc7), &count) &&
		    skip(cursor, count + 1);
	case 0xd9: /* str 8, 16, 32 */
	case 0xda:
	case 0xdb:
		return take_number(cursor, (size_t)1 << (tag - 0xd9), &count) &&
		    skip(cursor, count);
	case 0xdc: /* array 16, 32 */
	case 0xdd:
		return take_number(cursor, (size_t)2 << (tag - 0xdc), &count) &&
		    walk_items(cursor, count, depth);
	case 0xde: /* map 16, 32 */
	case 0xdf:
		return take_number(cursor, (size_t)2 << (tag - 0xde), &count) &&
		    walk_items(cursor, 2 * count, depth);
	default:
		return false;
	}
}

/* Walks a value of a fixed length. */
static bool
walk_fixed(struct cursor *cursor, uint8_t tag)
{
	switch (tag) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xca: /* float 32, 64 */
	case 0xcb:
		return skip(cursor, (uint64_t)4 << (tag - 0xca));
	case 0xcc: /* unsigned 8 .. 64 */
	case 0xcd:
	case 0xce:
	case 0xcf:
		return skip(cursor, (uint64_t)1 << (tag - 0xcc));
	case 0xd0: /* signed 8 .. 64 */
	case 0xd1:
	case 0xd2:
	case 0xd3:
		return skip(cursor, (uint64_t)1 << (tag - 0xd0));
	case 0xd4: /* fixed ext 1 .. 16, with a type byte */
	case 0xd5:
	case 0xd6:
	case 0xd7:
	case 0xd8:
		return skip(cursor, ((uint64_t)1 << (tag - 0xd4)) + 1);
	default:
		return false;
	}
}

static bool
walk(struct cursor *cursor, int depth)
{
	uint64_t tag;

	if (!take_number(cursor, 1, &tag))
		return false;
	if (tag <= 0x7f || tag >= 0xe0)
		return true;
	if (tag <= 0x8f)
		return walk_items(cursor, 2 * (tag & 0x0f), depth);
	if (tag <= 0x9f)
		return walk_items(cursor, tag & 0x0f, depth);
	if (tag <= 0xbf)
		return skip(cursor, tag & 0x1f);
	return walk_fixed(cursor, (uint8_t)tag) ||
	    walk_sized(cursor, (uint8_t)tag, depth);
}

bool
pack_sizes_fit(const void *data, size_t len)
{
	struct cursor cursor = {.at = data};

	cursor.end = cursor.at + len;
	return walk(&cursor, 0) && cursor.at == cursor.end;
}

bool
pack_unpack(
    const void *data, size_t len, msgpack_unpacked *unpacked, struct error *err)
{
	size_t offset = 0;

	msgpack_unpacked_init(unpacked);
	if (!pack_sizes_fit(data, len) ||
	    msgpack_unpack_next(unpacked, data, len, &offset) !=
		MSGPACK_UNPACK_SUCCESS)
		return error_set(err, ERROR_INVALID, "not a MessagePack value");
	return true;
}
