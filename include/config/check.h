/** @file
 * Checks of a configuration document that span several of its sections.
 */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "config/config.h"
#include "config/field.h"

/** Reports references to undeclared items and values that contradict each
 * other. A tool that sets no timeout or no repeatable flag gets those of its
 * service. */
void config_check(struct config *config, const json_t *document,
    const struct json_location *root);
/** Reports changes to values that are fixed once a version was accepted. */
void config_check_change(const struct config *before,
    const struct config *after, struct findings *findings);

#endif
