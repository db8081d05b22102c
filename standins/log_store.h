/** @file
 * Streams of standin-log, in memory. Does no I/O.
 */
#ifndef STANDINS_LOG_STORE_H
#define STANDINS_LOG_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "plog/plog.h"

struct log_store;

struct log_store_options {
	double appends_per_s; /**< rate limit for all streams; 0: no limit */
	double append_burst;  /**< appends allowed in a burst */
	int64_t retention_us; /**< age at which records expire; 0: never */
	uint64_t retention_records; /**< records kept per stream; 0: all */
};

struct log_store *log_store_create(const struct log_store_options *options);
void log_store_destroy(struct log_store *store);
/** Returns whether a name is valid for a stream. */
bool log_stream_name_valid(const char *name);
/** Appends a batch and sets *first_offset to the offset of its first record.
 * Returns false without appending if the rate limit is exceeded. */
bool log_store_append(struct log_store *store, const char *name,
    const struct plog_record *records, size_t count, int64_t now_us,
    uint64_t *first_offset);
/** Reads records from an offset on: at most max_bytes of them, but at least one
 * if there is one. The records in *read are valid until the next call. */
void log_store_read(struct log_store *store, const char *name, uint64_t from,
    size_t max_bytes, int64_t now_us, struct plog_read *read);
/** Returns the counters as a JSON object. */
json_t *log_store_stats(const struct log_store *store);

#endif
