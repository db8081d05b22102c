/** @file
 * Compression of encoded states in zlib format.
 */
#ifndef CONFIG_COMPRESS_H
#define CONFIG_COMPRESS_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"

/** Appends data to out in compressed form. */
void compress_append(const void *data, size_t len, struct buf *out);
/** Returns whether data begins like compressed data. JSON text never begins
 * with the same byte. */
bool compress_is_compressed(const void *data, size_t len);
/** Decompresses data and appends the result to out. Returns false if data is
 * truncated or damaged, or if out would exceed max bytes; out may then hold a
 * part of the result. */
bool compress_expand(const void *data, size_t len, size_t max, struct buf *out);

#endif
