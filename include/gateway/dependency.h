/** @file
 * Log lines about parts of the store that become unreachable or recover.
 */
#ifndef GATEWAY_DEPENDENCY_H
#define GATEWAY_DEPENDENCY_H

#include <stdint.h>

#include "platform/store.h"

/** Logs that a part of the store can't be reached, with the status of the call
 * that failed. */
void
dependency_trace_unreachable(const char *dependency, enum store_status status);
/** Logs that a part of the store can be reached again. unreachable_us: duration
 * of the outage; -1: unknown. */
void dependency_trace_recovered(const char *dependency, int64_t unreachable_us);

#endif
