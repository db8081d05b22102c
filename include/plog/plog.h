/** @file
 * Client of the platform's append-only log service, over HTTP.
 *
 * A stream is a sequence of records with offsets 0, 1, 2, ... The service
 * deletes old records. An append may take effect although its response is lost,
 * so records carry identifiers of their own, by which readers detect
 * duplicates.
 */
#ifndef PLOG_PLOG_H
#define PLOG_PLOG_H

#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "net/net.h"

enum {
	PLOG_STREAM_BYTES = 64,
	PLOG_RECORD_BYTES = 4 << 20, /**< longest record */
};

enum plog_status {
	PLOG_OK,
	PLOG_NOT_SENT,  /**< no effect */
	PLOG_THROTTLED, /**< no effect: too many requests; slow down */
	PLOG_UNKNOWN,   /**< may have had an effect, or may have one later */
	PLOG_EXPIRED,   /**< read: the offset is older than the retention */
};

/** A record to append, or one that was read. */
struct plog_record {
	uint64_t offset; /**< set by reads only */
	const uint8_t *data;
	size_t len;
};

/** Result of a read; valid during the callback. */
struct plog_read {
	enum plog_status status;
	uint64_t oldest_offset; /**< oldest offset retained */
	/** Offset after the newest record of the stream. */
	uint64_t end_offset;
	const struct plog_record *records;
	size_t count;
};

struct plog;
struct plog_request;

typedef void (*plog_append_done)(
    void *context, enum plog_status status, uint64_t first_offset);
typedef void (*plog_read_done)(void *context, const struct plog_read *read);

struct plog *plog_create(
    struct net *net, const char *address, int port, struct counters *counters);
/** Cancels all requests, whose callbacks do not run, and frees the client. */
void plog_destroy(struct plog *plog);
/** Appends records as one batch: in order, with no other records in between. */
struct plog_request *plog_append(struct plog *plog, const char *stream,
    const struct plog_record *records, size_t count, plog_append_done done,
    void *context);
/** Reads records from an offset on: at least one if there is one, and further
 * ones up to max_bytes. When there is none, waits up to wait_ms for one. */
struct plog_request *
plog_read(struct plog *plog, const char *stream, uint64_t from,
    size_t max_bytes, int wait_ms, plog_read_done done, void *context);
/** Cancels a request; its callback does not run. */
void plog_cancel(struct plog_request *request);

/** Encodes the body of an append, a MessagePack array of binaries. Also used by
 * the stand-in of the log service. */
void plog_encode_batch(
    const struct plog_record *records, size_t count, struct buf *out);
/** Encodes the response to a read in MessagePack:
 * [first, end, [[offset, binary], ...]]. */
void plog_encode_read(const struct plog_read *read, struct buf *out);

#endif
