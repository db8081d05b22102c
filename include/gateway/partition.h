/** @file
 * A partition of programs that this gateway owns: its ledger, the log that
 * the ledger is read from, and questions to its owner.
 *
 * The log has two topics. That of turns holds all facts, with the content of
 * kept turns. The index repeats the facts without content, every now and then
 * and by the owner, so that a new owner reads little.
 */
#ifndef GATEWAY_PARTITION_H
#define GATEWAY_PARTITION_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"
#include "turn/ledger.h"
#include "turn/offsets.h"

struct partition {
	struct gateway *gateway;
	uint32_t number;
	bool assigned; /**< dealt to this VM */
	bool ready;    /**< its log has been read */
	uint64_t
	    yielded_generation; /**< generation by which another VM has it; 0 */
	struct ledger *ledger;
	uint64_t epoch;
	int64_t acquired_us;
	struct list
	    pending_requests; /**< questions that can't be answered yet */
	int64_t end_check_us; /**< last look into the log for ends of turns */
	/* reading */
	struct store_call *read;
	struct offsets known_offsets; /**< records of turns that are known */
	int64_t gap_since_us; /**< since when some are missing; 0: none */
	uint64_t index_next;  /**< offset in the index to read from */
	bool index_complete;  /**< to its end */
	bool read_requested;  /**< asked for while a read was under way */
	int64_t read_due_us;  /**< when to read again; 0: no need */
	/* appending of facts */
	struct store_call *append;
	size_t append_count;
	int64_t flush_due_us; /**< 0: nothing to append */
	/* appending to the index */
	struct store_call *index_append;
	struct buf *index_batch; /**< records on their way */
	size_t index_count;
	int64_t index_due_us;
};

void partition_init(
    struct partition *partition, struct gateway *gateway, uint32_t part);
/** The store has dealt it to this VM: reads its log. */
void partition_acquire(struct partition *partition, uint64_t generation);
/** The lease had run out, and the store has dealt it to this VM again. */
void partition_resume(struct partition *partition, uint64_t generation);
/** Another VM says that the store has dealt it there: nothing is granted until
 * the store tells. */
void partition_yield(struct partition *partition, uint64_t generation);
/** It is another VM's, or nobody's. */
void partition_release(struct partition *partition);
/** Drops it, and all questions. */
void partition_reset(struct partition *partition);
/** Appends, reads and forgets what is due. expire: look for what is too old. */
void partition_tick(struct partition *partition, int64_t now_us, bool expire);
/** Reads what was appended since the last read began. */
void partition_catch_up(struct partition *partition);
/** Appends what the ledger has to make durable. */
void partition_flush(struct partition *partition);

/** Takes a question (MESSAGE_TURN_BEGIN or MESSAGE_TURN_FIND). */
void partition_handle_request(
    struct partition *partition, const struct message *message);
/** Takes the end of a turn (MESSAGE_TURN_END). */
void partition_handle_turn_end(
    struct partition *partition, const struct message *message);
/** Answers the questions that can be answered now. */
void partition_answer_pending(struct partition *partition);
/** All that was in the log when the present questions came is known. */
void partition_mark_pending_read(struct partition *partition);
/** Drops questions that are too old to be of use; all: every one. */
void
partition_drop_pending(struct partition *partition, int64_t now_us, bool all);

#endif
