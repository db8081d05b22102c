#include <stdlib.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/rng.h"
#include "config/snapshotter.h"

enum {
	RETRY_S = 2,
};

struct config_snapshotter {
	struct plog *plog;
	struct config_snapshot_policy policy;
	struct rng rng;
	struct plog_request *append;
	int64_t retry_us; /**< wall time before which none is tried */
};

struct config_snapshotter *
config_snapshotter_create(
    struct plog *plog, const struct config_snapshot_policy *policy)
{
	struct config_snapshotter *keeper = xcalloc(1, sizeof(*keeper));

	keeper->plog = plog;
	keeper->policy = *policy;
	rng_init_random(&keeper->rng);
	return keeper;
}

void
config_snapshotter_destroy(struct config_snapshotter *keeper)
{
	if (keeper == NULL)
		return;
	if (keeper->append != NULL)
		plog_cancel(keeper->append);
	free(keeper);
}

static void
handle_append(void *context, enum plog_status status, uint64_t first_offset)
{
	struct config_snapshotter *keeper = context;

	(void)first_offset;
	keeper->append = NULL;
	if (status != PLOG_OK)
		diag(LOG_WARNING, NULL,
		    "the configuration's history was not surely written");
}

void
config_snapshotter_check(struct config_snapshotter *keeper,
    const struct config_fold *fold, uint64_t first, int64_t wall_us,
    uint32_t rank)
{
	struct buf wire = {0};
	struct plog_record record;

	if (keeper->append != NULL || wall_us < keeper->retry_us ||
	    !config_snapshot_due(fold, &keeper->policy, first, wall_us, rank))
		return;
	config_snapshot_encode(fold, rng_next(&keeper->rng), wall_us, &wire);
	record = (struct plog_record){.data = wire.data, .len = wire.len};
	keeper->retry_us = wall_us + (int64_t)RETRY_S * US_PER_S;
	if (wire.len <= PLOG_RECORD_BYTES)
		keeper->append = plog_append(keeper->plog, CONFIG_STREAM,
		    &record, 1, handle_append, keeper);
	else
		diag(LOG_ERR, NULL,
		    "the configuration's history is too long for the log");
	buf_reset(&wire);
}
