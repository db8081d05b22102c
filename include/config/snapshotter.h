/** @file
 * Keeps the numbered history in the log: appends snapshots when they are due.
 */
#ifndef CONFIG_SNAPSHOTTER_H
#define CONFIG_SNAPSHOTTER_H

#include "config/fold.h"
#include "plog/plog.h"

struct config_snapshotter;

struct config_snapshotter *config_snapshotter_create(
    struct plog *plog, const struct config_snapshot_policy *policy);
/** Cancels an append under way. */
void config_snapshotter_destroy(struct config_snapshotter *keeper);
/** Appends a snapshot if one is due and none is under way. To be called when
 * the fold is level with the stream; first is the oldest offset that the log
 * keeps, rank as in config_snapshot_due(). An append that failed is tried
 * again by a later call, after what it may have left was read back. */
void config_snapshotter_check(struct config_snapshotter *keeper,
    const struct config_fold *fold, uint64_t first, int64_t wall_us,
    uint32_t rank);

#endif
