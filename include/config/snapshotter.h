/** @file
 * Appends snapshots of the configuration to the log when they are due, so that
 * its versions outlive the log's retention.
 */
#ifndef CONFIG_SNAPSHOTTER_H
#define CONFIG_SNAPSHOTTER_H

#include "config/fold.h"
#include "plog/plog.h"

struct config_snapshotter;

struct config_snapshotter *config_snapshotter_create(
    struct plog *plog, const struct config_snapshot_policy *policy);
/** Cancels a running append. */
void config_snapshotter_destroy(struct config_snapshotter *snapshotter);
/** Appends a snapshot if one is due and no append is running. To be called each
 * time the fold has read to the end of the stream. oldest_offset and rank are
 * those of config_snapshot_due(). A failed append may have had an effect: the
 * fold then reads that snapshot, and a later call appends another only if it is
 * still due. */
void config_snapshotter_check(struct config_snapshotter *snapshotter,
    const struct config_fold *fold, uint64_t oldest_offset, int64_t wall_us,
    uint32_t rank);

#endif
