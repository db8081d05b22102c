/** @file
 * Relays: one VM of a failure domain reads and appends the log for all of it.
 * No I/O: messages, results of log requests and the time are handed in;
 * messages, log requests and events are taken out.
 *
 * A daemon has both parts: it follows streams and submits batches through the
 * relay of its domain, and serves those who take it for their relay. A relay
 * is never trusted for safety: it hands on what the log ordered, and a batch
 * that was appended twice folds to nothing.
 */
#ifndef PEER_RELAY_H
#define PEER_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "peer/failure.h"
#include "plog/plog.h"
#include "program/owner.h"

enum {
	RELAY_SUBSCRIBE_INTERVAL_MS = 1000, /**< interval of asking for news */
	RELAY_SILENCE_TIMEOUT_MS =
	    3000, /**< silence after which no relay is used */
	RELAY_LOG_TIMEOUT_MS =
	    4000, /**< the same for a relay without the log */
	RELAY_APPEND_TIMEOUT_MS =
	    5000,                    /**< longest wait for a batch's result */
	RELAY_CONFIG_WAIT_MS = 1000, /**< long poll of the configuration */
	RELAY_LANE_WAIT_MS = 5000,   /**< long poll of a lane */
	RELAY_MAX_BACKLOG_BYTES = 4
	    << 20, /**< bound on what waits at a relay */
	RELAY_MAX_CACHED_BYTES = 256 << 10, /**< kept of a stream for others */
	RELAY_MAX_BATCH_BYTES = 768 << 10,  /**< longest append and message */
};

/** Number of the configuration stream; others are lanes. */
#define RELAY_CONFIG_STREAM UINT32_MAX

struct relay;

struct relay *relay_create(const char *vm, const char *failure_domain,
    const struct failure_detector *failure);
void relay_destroy(struct relay *relay);
/** appends_per_s is the system's share of the log; it is split among failure
 * domains. append_delay_us: longest wait of a turn for others. */
void relay_set_limits(
    struct relay *relay, uint32_t appends_per_s, int64_t append_delay_us);

/* ---- streams that this VM follows ---- */

/** Follows a stream from an offset on; also sets a new position. Each daemon
 * follows RELAY_CONFIG_STREAM: by it the relay tells how fresh its reads are.
 */
void relay_subscribe(struct relay *relay, uint32_t stream, uint64_t from);
void relay_unsubscribe(struct relay *relay, uint32_t stream);
/** Returns whether this VM has to use the log itself: no relay answers, or
 * the relay itself can't reach the log. */
bool relay_is_bypassed(const struct relay *relay, int64_t now_us);
/** Hands a batch to the relay; RELAY_EVENT_APPENDED follows. Returns false
 * when this VM has to append it itself. */
bool relay_submit(struct relay *relay, const struct owner_batch *batch,
    bool priority, int64_t now_us);

enum relay_event_type {
	RELAY_EVENT_RECORDS,  /**< next records of a stream, maybe none */
	RELAY_EVENT_GAP,      /**< read from..next from the log, then follow */
	RELAY_EVENT_APPENDED, /**< result of a batch */
};

struct relay_event {
	enum relay_event_type type;
	uint32_t stream;
	uint64_t from;
	uint64_t next;       /**< position afterwards */
	uint64_t end;        /**< of the stream, as last read */
	int64_t log_read_us; /**< when the relay last read it, our time */
	const struct message_record *records; /**< until the next event */
	size_t record_count;
	uint64_t batch_number; /**< of the batch */
	enum append_result result;
	uint64_t first_offset;
};

bool relay_next_event(struct relay *relay, struct relay_event *event);

/* ---- messages ---- */

void relay_handle_message(
    struct relay *relay, const struct message *message, int64_t now_us);

struct relay_outgoing {
	const char *vm;
	const struct buf *wire; /**< encoded; until the next call */
};

bool relay_next_message(struct relay *relay, struct relay_outgoing *outgoing);
/** Asks for news, gives up on late batches. */
void relay_tick(struct relay *relay, int64_t now_us);
/** Returns when relay_tick() or relay_next_append() may have something. */
int64_t relay_next_us(const struct relay *relay);

/* ---- log requests for others ---- */

struct relay_read_request {
	uint32_t stream;
	uint64_t from;
	int wait_ms;
};

/** Gives the next read to start; one a stream at a time. */
bool relay_next_read(
    struct relay *relay, int64_t now_us, struct relay_read_request *read);
void relay_handle_read(struct relay *relay, uint32_t stream,
    const struct plog_read *result, int64_t now_us);

struct relay_append_request {
	uint32_t lane;
	uint64_t number;
	const struct plog_record *records; /**< until it is handled */
	size_t count;
};

/** Gives the next append to start; one a lane at a time, within the share of
 * this failure domain. */
bool relay_next_append(
    struct relay *relay, int64_t now_us, struct relay_append_request *append);
void relay_handle_appended(struct relay *relay, uint64_t number,
    enum append_result result, uint64_t first_offset, int64_t now_us);
/** Returns the bytes that wait to be appended for others. */
size_t relay_backlog_bytes(const struct relay *relay);

#endif
