/** @file
 * Streams of the stand-in for the append-only log. No I/O.
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
	double appends_per_s;       /**< of all streams together; 0: no limit */
	double append_burst;        /**< appends that may come at once */
	int64_t retention_us;       /**< 0: without end */
	uint64_t retention_records; /**< of a stream; 0: without end */
};

struct log_store *log_store_create(const struct log_store_options *options);
void log_store_destroy(struct log_store *store);
/** Returns whether the name may be that of a stream. */
bool log_stream_name_valid(const char *name);
/** Appends a batch. Returns false, with nothing done, past the limit. */
bool log_store_append(struct log_store *store, const char *name,
    const struct plog_record *records, size_t count, int64_t now_us,
    uint64_t *first_offset);
/** Reads from an offset on: at least one record if there is one, else up to
 * max_bytes. Fills read; its records are valid until the next call. */
void log_store_read(struct log_store *store, const char *name, uint64_t from,
    size_t max_bytes, int64_t now_us, struct plog_read *read);
/** Returns the counters as an object. */
json_t *log_store_stats(const struct log_store *store);

#endif
