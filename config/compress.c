#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "common/memory.h"
#include "config/compress.h"

enum {
	PIECE_BYTES = 16384,
	ZLIB_FIRST_BYTE = 0x78, /**< deflate with a window of 32 KiB */
};

void
compress_append(const void *data, size_t len, struct buf *out)
{
	uLongf size = compressBound(len);
	uint8_t *packed = xcalloc(1, size);

	if (compress2(packed, &size, data, len, Z_DEFAULT_COMPRESSION) != Z_OK)
		memory_exhausted();
	buf_append(out, packed, size);
	free(packed);
}

bool
compress_is_packed(const void *data, size_t len)
{
	return len > 0 && *(const uint8_t *)data == ZLIB_FIRST_BYTE;
}

/* Expands piece by piece, so that a small input can't allocate past max. */
static bool
expand_all(z_stream *stream, size_t max, struct buf *out)
{
	uint8_t piece[PIECE_BYTES];
	int code = Z_OK;

	while (code == Z_OK) {
		size_t got;

		stream->next_out = piece;
		stream->avail_out = sizeof(piece);
		code = inflate(stream, Z_NO_FLUSH);
		got = sizeof(piece) - stream->avail_out;
		if (out->len + got > max)
			return false;
		buf_append(out, piece, got);
	}
	return code == Z_STREAM_END && stream->avail_in == 0;
}

bool
compress_expand(const void *data, size_t len, size_t max, struct buf *out)
{
	z_stream stream = {
	    .next_in = (Bytef *)data,
	    .avail_in = (uInt)len,
	};
	bool ok;

	if (len > UINT32_MAX || inflateInit(&stream) != Z_OK)
		return false;
	ok = expand_all(&stream, max, out);
	inflateEnd(&stream);
	return ok;
}
