/** @file
 * Decoder of the configuration that the operator puts into the platform's
 * store.
 */
#ifndef PLATFORM_CONFIG_H
#define PLATFORM_CONFIG_H

#include <stddef.h>

#include "common/finding.h"
#include "gateway/config.h"

/** Decodes a JSON configuration. An invalid route, service or workspace is left
 * out and reported as a finding. Returns NULL, with a finding, when the text is
 * not JSON or has no version number. */
struct gateway_config *
platform_config_decode(const void *data, size_t len, struct findings *findings);

/** Like platform_config_decode(), but makes the digests of keys as another
 * configuration does, so that the keys of both can be compared. like may be
 * NULL. */
struct gateway_config *
platform_config_decode_like(const struct gateway_config *like, const void *data,
    size_t len, struct findings *findings);

#endif
