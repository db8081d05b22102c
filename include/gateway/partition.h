/** @file
 * A partition of the programs, which the store assigns to one gateway, the
 * owner: the owner's ledger, the log that the ledger is built from, and the
 * requests to the owner that wait for a reply.
 *
 * The log has two topics. The topic "turns" holds all records, with the
 * content of retained turns. The owner regularly repeats the records without
 * content in the topic "index", so that a new owner has less to read.
 */
#ifndef GATEWAY_PARTITION_H
#define GATEWAY_PARTITION_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"
#include "turn/ledger.h"
#include "turn/offsets.h"

/** The state of one partition at this gateway. */
struct partition {
	struct gateway *gateway;
	uint32_t number;
	bool assigned; /**< the store has assigned it to this VM */
	bool ready;    /**< the log has been read and turns can be granted */
	uint64_t yielded_generation; /**< generation in which another VM claims
				      the partition; 0: no claim */
	struct ledger *ledger;       /**< NULL while not assigned */
	uint64_t epoch; /**< generation in which it was assigned to this VM */
	int64_t acquired_us;          /**< time of the assignment to this VM */
	struct list pending_requests; /**< of struct pending_request */
	int64_t end_check_us; /**< last read of the log for ends of turns */
	/* Reading of the log. */
	struct store_call *read;      /**< NULL: no read in progress */
	struct offsets known_offsets; /**< known records of "turns" */
	int64_t gap_since_us; /**< since when records are missing; 0: no gap */
	uint64_t index_next;  /**< offset of the next read of the index */
	bool index_complete;  /**< the index was read to its end */
	bool read_requested;  /**< another read is to follow this one */
	int64_t read_due_us;  /**< time of the next read; 0: none is due */
	/* Appends to the topic "turns". */
	struct store_call *append; /**< NULL: no append in progress */
	size_t append_count;       /**< records in the append in progress */
	int64_t flush_due_us; /**< time of the next append; 0: none is due */
	/* Appends to the index. */
	struct store_call *index_append; /**< NULL: no append in progress */
	struct buf *index_batch;         /**< records being appended, or NULL */
	size_t index_count;   /**< number of records in index_batch */
	int64_t index_due_us; /**< time of the next append to the index */
};

void partition_init(
    struct partition *partition, struct gateway *gateway, uint32_t number);
/** Starts to read the log, after the store has assigned the partition to this
 * VM. */
void partition_acquire(struct partition *partition, uint64_t generation);
/** Keeps the ledger and reads the records that were appended since, when the
 * store assigns the partition to this VM again after its lease had expired or
 * another VM had claimed the partition. */
void partition_resume(struct partition *partition, uint64_t generation);
/** Stops granting turns because another VM claims the partition. The next
 * assignment from the store decides who owns it. */
void partition_yield(struct partition *partition, uint64_t generation);
/** Drops the ledger and replies to pending requests that this VM is not the
 * owner, after the store has taken the partition from it. */
void partition_release(struct partition *partition);
/** Drops the ledger and all pending requests. */
void partition_reset(struct partition *partition);
/** Runs the reads, appends and timeouts that are due. With expire, the ledger
 * also drops entries that are too old. */
void partition_tick(struct partition *partition, int64_t now_us, bool expire);
/** Reads the records that were appended since the last read began. */
void partition_catch_up(struct partition *partition);
/** Appends the records that the ledger has queued. */
void partition_flush(struct partition *partition);

/** Replies to MESSAGE_TURN_BEGIN or MESSAGE_TURN_FIND, or keeps the request
 * until a reply is possible. */
void partition_handle_request(
    struct partition *partition, const struct message *message);
/** Enters the end of a turn (MESSAGE_TURN_END) into the ledger. */
void partition_handle_turn_end(
    struct partition *partition, const struct message *message);
/** Replies to the pending requests for which a reply is possible now. */
void partition_reply_pending(struct partition *partition);
/** Marks the pending requests: the log has been read to its end since they
 * arrived. */
void partition_mark_pending_read(struct partition *partition);
/** Drops pending requests whose senders no longer wait; with all, every one. */
void
partition_drop_pending(struct partition *partition, int64_t now_us, bool all);

#endif
