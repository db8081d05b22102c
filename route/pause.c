#include "route/pause.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"

enum {
	PAUSE_FADE_AT = 200,    /**< pauses after which old ones are halved */
	PAUSE_MIN_KNOWN = 5,    /**< fewer tell nothing */
	PAUSE_TOOLS_MAX = 1024, /**< statistics kept */
};

/** Below this share of memory in use, holding a cache costs nothing. */
static const double PAUSE_FREE_PRESSURE = 0.6;

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
pauses_learn(struct pauses *pauses, const char *tool, int64_t elapsed_us)
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
	if (stats->total < PAUSE_FADE_AT)
		return;
	stats->total = 0;
	for (size_t i = 0; i < PAUSE_BUCKETS; i++) {
		stats->counts[i] /= 2;
		stats->total += stats->counts[i];
	}
}

/* Memory held for t saves the recomputation of a program's tokens, and takes
 * the place of t / memory_us times as many others. The keep time with the
 * largest expected saving less that price is one of the bucket ends. */
static int64_t
pause_best_keep_us(const struct pause_stats *stats, double price_us)
{
	double returned = 0, held_us = 0, best = 0;
	int64_t best_us = 0;

	for (size_t i = 0; i < PAUSE_BUCKETS; i++) {
		double end_us = (double)pause_bucket_end_us(i);
		double share = stats->counts[i] / stats->total;
		double cost_us, saving;

		returned += share;
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
    int64_t memory_us, double pressure)
{
	struct pause_stats *stats;
	double used;

	HASH_FIND_STR(pauses->by_tool, tool, stats);
	used = (pressure - PAUSE_FREE_PRESSURE) / (1 - PAUSE_FREE_PRESSURE);
	if (stats == NULL || stats->total < PAUSE_MIN_KNOWN)
		return 2 * memory_us;
	if (used < 0.05)
		used = 0.05;
	return pause_best_keep_us(stats, 4 * (double)memory_us / used);
}
