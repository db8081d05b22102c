#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "common/memory.h"
#include "config/compress.h"

enum {
	CHUNK_BYTES = 16384,
	ZLIB_FIRST_BYTE = 0x78, /* deflate with a window of 32 KiB */
};

void
compress_append(const void *data, size_t len, struct buf *out)
{
	uLongf size = compressBound(len);
	uint8_t *compressed = xcalloc(1, size);

	if (compress2(compressed, &size, data, len, Z_DEFAULT_COMPRESSION) !=
	    Z_OK)
		memory_exhausted();
	buf_append(out, compressed, size);
	free(compressed);
}

bool
compress_is_compressed(const void *data, size_t len)
{
	return len > 0 && *(const uint8_t *)data == ZLIB_FIRST_BYTE;
}

/* Decompresses in chunks, so that a small input can't grow out past max. */
static bool
inflate_all(z_stream *stream, size_t max, struct buf *out)
{
	uint8_t chunk[CHUNK_BYTES];
	int code = Z_OK;

	while (code == Z_OK) {
		size_t produced;

		stream->next_out = chunk;
		stream->avail_out = sizeof(chunk);
		code = inflate(stream, Z_NO_FLUSH);
		produced = sizeof(chunk) - stream->avail_out;
		if (out->len + produced > max)
			return false;
		buf_append(out, chunk, produced);
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
	ok = inflate_all(&stream, max, out);
	inflateEnd(&stream);
	return ok;
}
