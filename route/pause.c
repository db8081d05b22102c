#include "route/pause.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"

enum {
	/** total count at which all counts are halved */
	PAUSE_DECAY_COUNT = 200,
	PAUSE_MIN_COUNT = 5, /**< with a lower count, statistics are not used */
	PAUSE_TOOLS_MAX = 1024, /**< pairs of workspace and tool in the table */
};

/** Share of KV memory in use below which keeping a cache is almost free. */
static const double PAUSE_FREE_UTILIZATION = 0.6;

void
pauses_reset(struct pauses *pauses)
{
	struct pause_stats *next, *stats = pauses->by_tool;

	HASH_CLEAR(hh, pauses->by_tool);
	for (; stats != NULL; stats = next) {
		next = stats->hh.next;
		free(stats);
	}
}

static size_t
pause_bucket(int64_t elapsed_us)
{
	int64_t elapsed_ms = elapsed_us / US_PER_MS;
	size_t bucket = 0;

	while (elapsed_ms > 0 && bucket < PAUSE_BUCKETS - 1) {
		elapsed_ms >>= 1;
		bucket++;
	}
	return bucket;
}

static int64_t
pause_bucket_end_us(size_t bucket)
{
	return ((int64_t)1 << bucket) * US_PER_MS;
}

void
pauses_record(struct pauses *pauses, const char *tool, int64_t elapsed_us)
{
	struct pause_stats *stats;

	HASH_FIND_STR(pauses->by_tool, tool, stats);
	if (stats == NULL) {
		if (HASH_COUNT(pauses->by_tool) >= PAUSE_TOOLS_MAX)
			return;
		stats = xcalloc(1, sizeof(*stats));
		snprintf(stats->tool, sizeof(stats->tool), "%s", tool);
		HASH_ADD_STR(pauses->by_tool, tool, stats);
	}
	stats->counts[pause_bucket(elapsed_us)]++;
	stats->total++;
	if (stats->total < PAUSE_DECAY_COUNT)
		return;
	stats->total = 0;
	for (size_t i = 0; i < PAUSE_BUCKETS; i++) {
		stats->counts[i] /= 2;
		stats->total += stats->counts[i];
	}
}

/* Returns the retention time with the largest expected benefit, or 0 if none
 * has a benefit above 0. Keeping a program's KV cache until the program
 * returns saves the recomputation of its tokens. Keeping it for a time t
 * takes the place of t / memory_us times as many tokens of other programs.
 * price_us is the holding time whose cost equals that saving. The best
 * retention time is always the end of a bucket. */
static int64_t
pause_best_retention_us(const struct pause_stats *stats, double price_us)
{
	double returned = 0, held_us = 0, best = 0;
	int64_t best_us = 0;

	for (size_t i = 0; i < PAUSE_BUCKETS; i++) {
		double end_us = (double)pause_bucket_end_us(i);
		double share = stats->counts[i] / stats->total;
		double cost_us, saving;

		returned += share;
		/* Pauses in a bucket last 0.75 of its end on average, as it
		 * begins at half its end. */
		held_us += share * end_us * 0.75;
		cost_us = held_us + (1 - returned) * end_us;
		saving = returned - cost_us / price_us;
		if (share > 0 && saving > best) {
			best = saving;
			best_us = pause_bucket_end_us(i);
		}
	}
	return best_us;
}

int64_t
pauses_cache_retention_us(const struct pauses *pauses, const char *tool,
    int64_t memory_us, double kv_utilization)
{
	struct pause_stats *stats;
	double scarcity;

	HASH_FIND_STR(pauses->by_tool, tool, stats);
	scarcity = (kv_utilization - PAUSE_FREE_UTILIZATION) /
	    (1 - PAUSE_FREE_UTILIZATION);
	if (stats == NULL || stats->total < PAUSE_MIN_COUNT)
		return 2 * memory_us;
	if (scarcity < 0.05)
		scarcity = 0.05;
	return pause_best_retention_us(stats, 4 * (double)memory_us / scarcity);
}
