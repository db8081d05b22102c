/** @file
 * Applies reads of the configuration stream to a fold.
 */
#ifndef CONFIG_STREAM_H
#define CONFIG_STREAM_H

#include "common/counter.h"
#include "config/fold.h"
#include "plog/plog.h"

/** Applies the result of a read from fold->next_offset (PLOG_OK or
 * PLOG_EXPIRED). Returns true if the fold has reached the end of the stream
 * that the read reported; otherwise the caller reads again from
 * fold->next_offset. counters may be NULL. */
bool config_stream_feed(struct config_fold *fold, const struct plog_read *read,
    struct counters *counters);

#endif
