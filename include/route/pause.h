/** @file
 * Statistics of how long programs pause while a tool runs, by workspace and
 * tool. They decide how long a pausing program's KV cache is kept.
 */
#ifndef ROUTE_PAUSE_H
#define ROUTE_PAUSE_H

#include <stdint.h>

#include <uthash.h>

#include "route/program.h"

enum {
	PAUSE_BUCKETS = 32, /**< histogram buckets; ends double from 1 ms */
};

/** Histogram of the pauses of one tool in one workspace, with exponential decay
 * of old ones. */
struct pause_stats {
	char tool[PROGRAM_TOOL_BYTES]; /**< "workspace/tool" */
	double counts[PAUSE_BUCKETS];  /**< decayed counts by duration */
	double total;                  /**< sum of counts */
	UT_hash_handle hh;
};

/** Pause statistics of all tools. */
struct pauses {
	struct pause_stats *by_tool; /**< uthash by pause_stats.tool */
};

/** Frees all statistics. */
void pauses_reset(struct pauses *pauses);
/** Records the duration of a finished pause. */
void pauses_record(struct pauses *pauses, const char *tool, int64_t elapsed_us);
/** Returns how long to keep the KV cache of a program that begins a pause, in
 * microseconds; 0 drops it at once. memory_us is the time in which the server
 * could prefill its whole KV memory, kv_utilization the share of that memory in
 * use (0..1). */
int64_t pauses_cache_retention_us(const struct pauses *pauses, const char *tool,
    int64_t memory_us, double kv_utilization);

#endif
