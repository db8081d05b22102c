/** @file
 * Graceful stop: callers and other gateways are told, what is in flight is
 * finished, and then the process ends.
 */
#ifndef GATEWAY_STOP_H
#define GATEWAY_STOP_H

#include "gateway/gateway.h"

void stop_begin(struct gateway *gateway);
/** Ends the loop once all is finished, or the grace is over. */
void stop_tick(struct gateway *gateway);

#endif
