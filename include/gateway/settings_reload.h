/** @file
 * Reads the settings file at the start, and again when it changes.
 */
#ifndef GATEWAY_SETTINGS_RELOAD_H
#define GATEWAY_SETTINGS_RELOAD_H

#include <stdbool.h>

#include "gateway/gateway.h"

/** Reads the file at path, which must outlive the gateway. Prints findings to
 * stderr and returns false when the file is not valid. */
bool settings_reload_initial(struct gateway *gateway, const char *path);
/** Reads the file again and applies time limits, failure domains and the log
 * level; addresses and names stay until the next start. A file with findings
 * changes nothing. cause goes into the trace event. */
void settings_reload_now(struct gateway *gateway, const char *cause);
/** Reads the file again if it has changed. */
void settings_reload_tick(struct gateway *gateway);

#endif
