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
	struct plog_request *append; /**< the running append, or NULL */
	int64_t next_attempt_us;     /**< earliest wall time of an append */
};

struct config_snapshotter *
config_snapshotter_create(
    struct plog *plog, const struct config_snapshot_policy *policy)
{
	struct config_snapshotter *snapshotter =
	    xcalloc(1, sizeof(*snapshotter));

	snapshotter->plog = plog;
	snapshotter->policy = *policy;
	rng_init_random(&snapshotter->rng);
	return snapshotter;
}

void
config_snapshotter_destroy(struct config_snapshotter *snapshotter)
{
	if (snapshotter == NULL)
		return;
	if (snapshotter->append != NULL)
		plog_cancel(snapshotter->append);
	free(snapshotter);
}

static void
handle_append(void *context, enum plog_status status, uint64_t first_offset)
{
	struct config_snapshotter *snapshotter = context;

	(void)first_offset;
	snapshotter->append = NULL;
	if (status != PLOG_OK)
		diag(LOG_WARNING, NULL,
		    "append of a configuration snapshot may have failed");
}

void
config_snapshotter_check(struct config_snapshotter *snapshotter,
    const struct config_fold *fold, uint64_t oldest_offset, int64_t wall_us,
    uint32_t rank)
{
	struct buf wire = {0};
	struct plog_record record;

	if (snapshotter->append != NULL ||
	    wall_us < snapshotter->next_attempt_us ||
	    !config_snapshot_due(
		fold, &snapshotter->policy, oldest_offset, wall_us, rank))
		return;
	config_snapshot_encode(
	    fold, rng_next(&snapshotter->rng), wall_us, &wire);
	record = (struct plog_record){.data = wire.data, .len = wire.len};
	snapshotter->next_attempt_us = wall_us + (int64_t)RETRY_S * US_PER_S;
	if (wire.len <= PLOG_RECORD_BYTES)
		snapshotter->append = plog_append(snapshotter->plog,
		    CONFIG_STREAM, &record, 1, handle_append, snapshotter);
	else
		diag(LOG_ERR, NULL,
		    "configuration snapshot is too long for a log record");
	buf_reset(&wire);
}
