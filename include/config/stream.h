/** @file
 * Feeds reads of the configuration stream to a fold.
 */
#ifndef CONFIG_STREAM_H
#define CONFIG_STREAM_H

#include "common/counter.h"
#include "config/fold.h"
#include "plog/plog.h"

/** Applies what a read from fold->next_offset returned (PLOG_OK or
 * PLOG_EXPIRED). Returns whether the fold is level with the stream's end as
 * the read told it; if not, read again from fold->next_offset. counters may
 * be NULL. */
bool config_stream_feed(struct config_fold *fold, const struct plog_read *read,
    struct counters *counters);

#endif
