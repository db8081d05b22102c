/** @file
 * Pauses of programs while their tools run: learned by workspace and tool,
 * and what they say about keeping a KV cache.
 */
#ifndef ROUTE_PAUSE_H
#define ROUTE_PAUSE_H

#include <stdint.h>

#include <uthash.h>

#include "route/program.h"

enum {
	PAUSE_BUCKETS = 32, /**< powers of two of milliseconds */
};

/** Pauses of one tool in one workspace; old ones fade. */
struct pause_stats {
	char tool[PROGRAM_TOOL_BYTES];
	double counts[PAUSE_BUCKETS];
	double total;
	UT_hash_handle hh;
};

struct pauses {
	struct pause_stats *by_tool; /**< uthash */
};

void pauses_reset(struct pauses *pauses);
/** Notes a finished pause. */
void pauses_learn(struct pauses *pauses, const char *tool, int64_t elapsed_us);
/** Returns for how long to keep the cache of a pausing program before it is
 * released; 0: drop it now. memory_us: time in which the server could prefill
 * its whole memory; pressure: share of that memory in use. */
int64_t pauses_cache_retention_us(const struct pauses *pauses, const char *tool,
    int64_t memory_us, double pressure);

#endif
