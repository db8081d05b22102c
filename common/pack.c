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

/** Position in encoded bytes. */
struct cursor {
	const uint8_t *at;
	const uint8_t *end;
};

/* Reads a big-endian number of 1, 2, 4 or 8 bytes. */
static bool
read_number(struct cursor *cursor, size_t size, uint64_t *number)
{
	if ((size_t)(cursor->end - cursor->at) < size)
		return false;
	*number = 0;
	for (size_t i = 0; i < size; i++)
		*number = *number << 8 | *cursor->at++;
	return true;
}

static bool
skip_bytes(struct cursor *cursor, uint64_t count)
{
	if ((uint64_t)(cursor->end - cursor->at) < count)
		return false;
	cursor->at += count;
	return true;
}

static bool skip_value(struct cursor *cursor, int depth);

static bool
skip_items(struct cursor *cursor, uint64_t count, int depth)
{
	/* An item takes at least one byte. */
	if (count > (uint64_t)(cursor->end - cursor->at) ||
	    depth >= PACK_MAX_DEPTH)
		return false;
	for (uint64_t i = 0; i < count; i++) {
		if (!skip_value(cursor, depth + 1))
			return false;
	}
	return true;
}

/* Skips a value whose encoding has a length field. */
static bool
skip_sized(struct cursor *cursor, uint8_t tag, int depth)
{
	uint64_t count;

	switch (tag) {
	case 0xc4: /* bin 8, 16, 32 */
	case 0xc5:
	case 0xc6:
		return read_number(cursor, (size_t)1 << (tag - 0xc4), &count) &&
		    skip_bytes(cursor, count);
	case 0xc7: /* ext 8, 16, 32 */
	case 0xc8:
	case 0xc9:
		return read_number(cursor, (size_t)1 << (tag - 0xc7), &count) &&
		    skip_bytes(cursor, count + 1);
	case 0xd9: /* str 8, 16, 32 */
	case 0xda:
	case 0xdb:
		return read_number(cursor, (size_t)1 << (tag - 0xd9), &count) &&
		    skip_bytes(cursor, count);
	case 0xdc: /* array 16, 32 */
	case 0xdd:
		return read_number(cursor, (size_t)2 << (tag - 0xdc), &count) &&
		    skip_items(cursor, count, depth);
	case 0xde: /* map 16, 32 */
	case 0xdf:
		return read_number(cursor, (size_t)2 << (tag - 0xde), &count) &&
		    skip_items(cursor, 2 * count, depth);
	default:
		return false;
	}
}

/* Skips a value whose tag determines its length. */
static bool
skip_fixed(struct cursor *cursor, uint8_t tag)
{
	switch (tag) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xca: /* float 32, 64 */
	case 0xcb:
		return skip_bytes(cursor, (uint64_t)4 << (tag - 0xca));
	case 0xcc: /* unsigned 8 .. 64 */
	case 0xcd:
	case 0xce:
	case 0xcf:
		return skip_bytes(cursor, (uint64_t)1 << (tag - 0xcc));
	case 0xd0: /* signed 8 .. 64 */
	case 0xd1:
	case 0xd2:
	case 0xd3:
		return skip_bytes(cursor, (uint64_t)1 << (tag - 0xd0));
	case 0xd4: /* fixed ext 1 .. 16, with a type byte */
	case 0xd5:
	case 0xd6:
	case 0xd7:
	case 0xd8:
		return skip_bytes(cursor, ((uint64_t)1 << (tag - 0xd4)) + 1);
	default:
		return false;
	}
}

/* Skips one value with the values in it. Returns false if it is malformed,
 * longer than the input or nested too deep. */
static bool
skip_value(struct cursor *cursor, int depth)
{
	uint64_t tag;

	if (!read_number(cursor, 1, &tag))
		return false;
	if (tag <= 0x7f || tag >= 0xe0)
		return true;
	if (tag <= 0x8f)
		return skip_items(cursor, 2 * (tag & 0x0f), depth);
	if (tag <= 0x9f)
		return skip_items(cursor, tag & 0x0f, depth);
	if (tag <= 0xbf)
		return skip_bytes(cursor, tag & 0x1f);
	return skip_fixed(cursor, (uint8_t)tag) ||
	    skip_sized(cursor, (uint8_t)tag, depth);
}

bool
pack_sizes_fit(const void *data, size_t len)
{
	struct cursor cursor = {.at = data};

	cursor.end = cursor.at + len;
	return skip_value(&cursor, 0) && cursor.at == cursor.end;
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
