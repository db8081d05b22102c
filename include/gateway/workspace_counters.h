/** @file
 * Counters of the requests of each workspace at this gateway. Their number is
 * bounded, whatever the configuration declares over time.
 */
#ifndef GATEWAY_WORKSPACE_COUNTERS_H
#define GATEWAY_WORKSPACE_COUNTERS_H

#include <stdint.h>

#include "common/buf.h"
#include "common/refusal.h"

enum {
	WORKSPACE_COUNTERS_MAX = 1000, /**< workspaces counted on their own */
	WORKSPACE_COUNTERS_SHOWN = 20, /**< largest ones that are rendered */
};

struct workspace_counters;

struct workspace_counters *workspace_counters_create(void);
void workspace_counters_destroy(struct workspace_counters *counters);
/** Counts a request of a workspace. */
void workspace_counters_add_request(
    struct workspace_counters *counters, const char *workspace);
/** Counts a refused or failed request of a workspace. */
void workspace_counters_add_refusal(struct workspace_counters *counters,
    const char *workspace, enum refusal reason);
/** Appends the counters of the workspaces with the most requests, and the sum
 * of all others, in the Prometheus text format. Appends nothing if no request
 * had a workspace. */
void workspace_counters_render(
    const struct workspace_counters *counters, struct buf *out);

#endif
