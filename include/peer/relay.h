/** @file
 * Relays: one VM of a failure domain reads the log and appends to it for all
 * VMs of the domain. Does no I/O: the caller passes in messages, results of
 * log requests and the time, and takes out messages, log requests and events.
 *
 * Each daemon has both roles: it subscribes to streams and submits batches
 * through the relay of its domain, and it serves the daemons that have chosen
 * it as their relay. Correctness does not depend on relays: they forward
 * records in the log's order, and a batch that is appended twice has no
 * further effect.
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
	/** Interval at which subscriptions are renewed. */
	RELAY_SUBSCRIBE_INTERVAL_MS = 1000,
	/** Silence of the relay after which it is bypassed. */
	RELAY_SILENCE_TIMEOUT_MS = 3000,
	/** Time after which a relay that can't reach the log is bypassed. */
	RELAY_LOG_TIMEOUT_MS = 4000,
	/** Longest wait for the result of a submitted batch. */
	RELAY_APPEND_TIMEOUT_MS = 5000,
	/** Long-poll time of reads of the configuration stream. */
	RELAY_CONFIG_WAIT_MS = 1000,
	/** Long-poll time of reads of a lane. */
	RELAY_LANE_WAIT_MS = 5000,
	/** Limit of the batches that wait at a relay. */
	RELAY_MAX_BACKLOG_BYTES = 4 << 20,
	/** Limit of the records of a stream that a relay caches. */
	RELAY_MAX_CACHED_BYTES = 256 << 10,
	/** Limit of the records in an append and in a message. */
	RELAY_MAX_BATCH_BYTES = 768 << 10,
};

/** Number of the configuration stream. All other streams are lanes. */
#define RELAY_CONFIG_STREAM UINT32_MAX

struct relay;

/** Creates a relay for a VM. failure must stay valid as long as the relay. */
struct relay *relay_create(const char *vm, const char *failure_domain,
    const struct failure_detector *failure);
void relay_destroy(struct relay *relay);
/** Sets the limits of appends. appends_per_s holds for the whole deployment and
 * is divided by the number of failure domains. A batch without priority waits
 * append_delay_us for others, so that one append takes all of them. */
void relay_set_limits(
    struct relay *relay, uint32_t appends_per_s, int64_t append_delay_us);

/** Subscribes to a stream from an offset on, or changes the position of a
 * subscription. Each daemon must subscribe to RELAY_CONFIG_STREAM, because its
 * messages tell when the relay last reached the log. */
void relay_subscribe(struct relay *relay, uint32_t stream, uint64_t from);
void relay_unsubscribe(struct relay *relay, uint32_t stream);
/** Returns whether this VM has to use the log directly, because no relay
 * responds or the relay can't reach the log. */
bool relay_is_bypassed(const struct relay *relay, int64_t now_us);
/** Submits a batch to the relay; RELAY_EVENT_APPENDED follows. Returns false if
 * this VM has to append the batch directly. */
bool relay_submit(struct relay *relay, const struct owner_batch *batch,
    bool priority, int64_t now_us);

enum relay_event_type {
	/** Next records of a stream, possibly none. */
	RELAY_EVENT_RECORDS,
	/** The relay does not have the records `from` to `next`. Read them
	 * from the log, then subscribe at the new position. */
	RELAY_EVENT_GAP,
	/** Result of a submitted batch. */
	RELAY_EVENT_APPENDED,
};

struct relay_event {
	enum relay_event_type type;
	uint32_t stream;
	uint64_t from; /**< position before this event */
	uint64_t next; /**< position after this event */
	uint64_t end;  /**< end of the stream when the relay last read it */
	int64_t log_read_us; /**< time of that read, by this VM's clock */
	const struct message_record *records; /**< valid until the next call of
						 relay_next_event() */
	size_t record_count;
	/* RELAY_EVENT_APPENDED only */
	uint64_t batch_number; /**< number that the submitter gave the batch */
	enum append_result result;
	uint64_t first_offset; /**< offset of the batch's first record */
};

/** Takes the next event. Returns false if there is none. */
bool relay_next_event(struct relay *relay, struct relay_event *event);

/** Handles a message. Ignores types that are not meant for relays. */
void relay_handle_message(
    struct relay *relay, const struct message *message, int64_t now_us);

struct relay_outgoing {
	const char *vm;
	const struct buf *wire; /**< encoded message; valid until the next call
				   of relay_next_message() */
};

/** Takes the next message to send. Returns false if there is none. */
bool relay_next_message(struct relay *relay, struct relay_outgoing *outgoing);
/** Changes the relay if another VM has become it, renews subscriptions, and
 * ends batches that had no result in time with APPEND_UNKNOWN. */
void relay_tick(struct relay *relay, int64_t now_us);
/** Returns the time at which relay_tick() or relay_next_append() is due. */
int64_t relay_next_us(const struct relay *relay);

struct relay_read_request {
	uint32_t stream;
	uint64_t from;
	int wait_ms; /**< long-poll time */
};

/** Gives the next read of the log to start, at most one per stream at a time.
 * Returns false if there is none. */
bool relay_next_read(
    struct relay *relay, int64_t now_us, struct relay_read_request *read);
/** Handles the result of a read. */
void relay_handle_read(struct relay *relay, uint32_t stream,
    const struct plog_read *result, int64_t now_us);

struct relay_append_request {
	uint32_t lane;
	uint64_t number;
	/** Valid until the call of relay_handle_appended(). */
	const struct plog_record *records;
	size_t count;
};

/** Gives the next append to start, at most one per lane at a time and within
 * this failure domain's share of the appends per second. Returns false if
 * there is none. */
bool relay_next_append(
    struct relay *relay, int64_t now_us, struct relay_append_request *append);
/** Handles the result of an append. first_offset is the offset of its first
 * record. */
void relay_handle_appended(struct relay *relay, uint64_t number,
    enum append_result result, uint64_t first_offset, int64_t now_us);
/** Returns the size of the submitted batches that wait to be appended. */
size_t relay_backlog_bytes(const struct relay *relay);

#endif
