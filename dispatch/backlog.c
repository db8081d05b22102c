#include <stdlib.h>

#include "common/clock.h"
#include "dispatch/backlog.h"

enum {
	/* Share of the VM's memory. A gateway without slow callers needs up to
	 * a quarter of 88 MB, and the kernel's socket buffers count too. */
	MEMORY_DIVISOR = 4,
	/* What a caller on a path of 16 ms needs at 100 Mbit/s, so that the
	 * server is read ahead of it. */
	PAUSE_BYTES = 256 << 10,
	/* Each caller may hold this part of what is left, so that 400 callers
	 * on a VM of 88 MB leave a fifth of the bound to further ones. */
	LEFT_DIVISOR = 256,
	/* A server is read in small pieces for callers that are behind, and for
	 * all when this part of the bound is used: each caller may hold one
	 * piece more than its share. */
	SCARCE_DIVISOR = 4,
	SMALL_READ_BYTES = 8 << 10,
	RESUME_DIVISOR = 2,
	/* Below the bound by this share, callers are ended no further, so that
	 * not every piece of a response ends one. */
	HEADROOM_DIVISOR = 8,
	/* A caller that fell behind later is not judged by its rate yet. */
	JUDGED_AFTER_US = 200 * US_PER_MS,
};

size_t
backlog_bound(uint64_t memory_bytes)
{
	return memory_bytes == 0 ? SIZE_MAX : memory_bytes / MEMORY_DIVISOR;
}

size_t
backlog_read_bytes(bool is_behind, size_t total, size_t bound)
{
	return is_behind || total > bound / SCARCE_DIVISOR ? SMALL_READ_BYTES
							   : 0;
}

size_t
backlog_pause_bytes(size_t total, size_t bound)
{
	size_t share = total < bound ? (bound - total) / LEFT_DIVISOR : 0;

	return share < PAUSE_BYTES ? share : PAUSE_BYTES;
}

bool
backlog_may_resume(size_t held_bytes, size_t total, size_t bound)
{
	return held_bytes <= backlog_pause_bytes(total, bound) / RESUME_DIVISOR;
}

static double
read_rate(const struct backlog *backlog, int64_t now_us)
{
	int64_t behind_us = now_us - backlog->since_us;

	return (double)backlog->read_bytes /
	    (double)(behind_us > 0 ? behind_us : 1);
}

struct ranked {
	struct backlog backlog;
	bool judged;
	double rate;
};

static int
compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	if (x->judged != y->judged)
		return x->judged ? -1 : 1;
	if (x->rate != y->rate)
		return x->rate < y->rate ? -1 : 1;
	if (x->backlog.held_bytes != y->backlog.held_bytes)
		return x->backlog.held_bytes > y->backlog.held_bytes ? -1 : 1;
	return 0;
}

static void
sort_slowest_first(struct backlog *backlogs, size_t count, int64_t now_us)
{
	struct ranked *ranked = calloc(count, sizeof(*ranked));

	if (ranked == NULL)
		return;
	for (size_t i = 0; i < count; i++)
		ranked[i] = (struct ranked){
		    .backlog = backlogs[i],
		    .judged = now_us - backlogs[i].since_us >= JUDGED_AFTER_US,
		    .rate = read_rate(&backlogs[i], now_us),
		};
	qsort(ranked, count, sizeof(*ranked), compare_ranked);
	for (size_t i = 0; i < count; i++)
		backlogs[i] = ranked[i].backlog;
	free(ranked);
}

size_t
backlog_choose_ended(
    struct backlog *backlogs, size_t count, size_t bound, int64_t now_us)
{
	size_t total = 0;
	size_t ended = 0;

	for (size_t i = 0; i < count; i++)
		total += backlogs[i].held_bytes;
	if (total <= bound)
		return 0;
	sort_slowest_first(backlogs, count, now_us);
	while (ended < count && total > bound - bound / HEADROOM_DIVISOR)
		total -= backlogs[ended++].held_bytes;
	return ended;
}
