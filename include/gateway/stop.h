/** @file
 * Graceful stop: notifies callers and the other gateways, finishes the requests
 * in progress, and then ends the process.
 */
#ifndef GATEWAY_STOP_H
#define GATEWAY_STOP_H

#include "gateway/gateway.h"

/** Starts the graceful stop; does nothing if it has started already. */
void stop_begin(struct gateway *gateway);
/** Stops the event loop once all requests and reports are finished, or shortly
 * before the grace period ends. */
void stop_tick(struct gateway *gateway);

#endif
