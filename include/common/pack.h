/** @file
 * Helpers for the MessagePack library.
 */
#ifndef COMMON_PACK_H
#define COMMON_PACK_H

#include <stdbool.h>
#include <stddef.h>

#include <msgpack.h>

#include "common/error.h"

/** Write callback for a msgpack_packer whose data is a struct buf. */
int pack_to_buf(void *buf, const char *bytes, size_t len);
/** Returns whether the bytes are exactly one complete value whose declared
 * sizes fit into len. The library allocates by declared size, so untrusted
 * bytes must be checked before it unpacks them. */
bool pack_sizes_fit(const void *data, size_t len);
/** Unpacks exactly one value from untrusted bytes. Initialises unpacked, which
 * the caller must destroy, also after a failure.
 * Errors: ERROR_INVALID. */
bool pack_unpack(const void *data, size_t len, msgpack_unpacked *unpacked,
    struct error *err);

#endif
