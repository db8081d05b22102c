/** @file
 * Reading of the settings file, at the start and when it changes.
 */
#ifndef GATEWAY_SETTINGS_RELOAD_H
#define GATEWAY_SETTINGS_RELOAD_H

#include <stdbool.h>

#include "gateway/gateway.h"

/** Reads the file; prints what is wrong with it. */
bool settings_reload_initial(struct gateway *gateway, const char *path);
/** Reads it again. Bounds and the level of diagnostics change; addresses and
 * names stay until the next start. A file with findings changes nothing. */
void settings_reload_now(struct gateway *gateway, const char *cause);
/** Reads it again if it has changed. */
void settings_reload_tick(struct gateway *gateway);

#endif
