/** @file
 * Lines about parts of the store that are lost, or there again.
 */
#ifndef GATEWAY_DEPENDENCY_H
#define GATEWAY_DEPENDENCY_H

#include <stdint.h>

#include "platform/store.h"

void
dependency_trace_unreachable(const char *dependency, enum store_status status);
/** lost_us: for how long it was lost; -1: not known. */
void dependency_trace_recovered(const char *dependency, int64_t lost_us);

#endif
