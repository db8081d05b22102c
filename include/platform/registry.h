/** @file
 * Decoder of the entries by which backend servers register themselves in the
 * platform's store.
 */
#ifndef PLATFORM_REGISTRY_H
#define PLATFORM_REGISTRY_H

#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "dispatch/backend_entry.h"

/** Decodes a server's JSON entry; id is the key of its record.
 * Errors: ERROR_INVALID when a member is missing or invalid, or when no header
 * field can hold the id. */
bool platform_registry_decode(const char *id, const void *data, size_t len,
    struct backend_entry *entry, struct error *err);

/** Returns a hash of an entry without its renewal number, which is all that
 * most updates of an entry change. Never 0. */
uint64_t platform_registry_fingerprint(const void *data, size_t len);

#endif
