/** @file
 * Compression of long states, in zlib's format.
 */
#ifndef CONFIG_COMPRESS_H
#define CONFIG_COMPRESS_H

#include <stdbool.h>
#include <stddef.h>

#include "common/buf.h"

/** Appends the compressed form. */
void compress_append(const void *data, size_t len, struct buf *out);
/** Whether bytes can be a compressed form: JSON never begins like one. */
bool compress_is_packed(const void *data, size_t len);
/** Appends the bytes behind a compressed form, at most max. Returns false when
 * it is cut, damaged or longer. */
bool compress_expand(const void *data, size_t len, size_t max, struct buf *out);

#endif
