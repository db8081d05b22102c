/** @file
 * The operator's configuration as the platform's store holds it.
 */
#ifndef PLATFORM_CONFIG_H
#define PLATFORM_CONFIG_H

#include <stddef.h>

#include "common/finding.h"
#include "gateway/config.h"

/** Decodes a configuration. Routes and services that can't be understood are
 * left out, with a finding. Returns NULL when it is no configuration at all.
 */
struct gateway_config *
platform_config_decode(const void *data, size_t len, struct findings *findings);

#endif
