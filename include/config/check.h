/** @file
 * Checks between the parts of a declared document.
 */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "config/config.h"
#include "config/field.h"

/** Reports names that nothing declares and values that contradict each other;
 * fills what a tool takes over from its service. */
void config_check(struct config *config, const json_t *document,
    const struct json_location *root);
/** Reports changes between two versions that are never allowed. */
void config_check_change(const struct config *before,
    const struct config *after, struct findings *findings);

#endif
