/** @file
 * Helpers around the MessagePack library.
 */
#ifndef COMMON_PACK_H
#define COMMON_PACK_H

#include <stdbool.h>
#include <stddef.h>

#include <msgpack.h>

#include "common/error.h"

/** Write function of a msgpack_packer whose data is a struct buf. */
int pack_to_buf(void *buf, const char *bytes, size_t len);
/** Returns whether the bytes are one whole value whose declared sizes fit into
 * it. The library allocates by declared size, so outside bytes are checked
 * here before it unpacks them. */
bool pack_sizes_fit(const void *data, size_t len);
/** Unpacks one whole value from outside. Initialises unpacked, which is to be
 * destroyed also after a failure.
 * Errors: ERROR_INVALID. */
bool pack_unpack(const void *data, size_t len, msgpack_unpacked *unpacked,
    struct error *err);

#endif
