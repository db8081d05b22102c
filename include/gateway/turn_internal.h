/** @file
 * Types and functions shared by the turn*.c files; see gateway/turn.h.
 */
#ifndef GATEWAY_TURN_INTERNAL_H
#define GATEWAY_TURN_INTERNAL_H

#include <uthash.h>

#include "gateway/turn.h"
#include "turn/content.h"
#include "turn/history.h"

enum turn_state {
	TURN_WAITING_STORE, /**< the store takes no appends, so the turn could
			       not be made durable */
	TURN_REQUESTING_GRANT, /**< waits for the partition owner's grant */
	TURN_FINDING_PREVIOUS, /**< asks all partition owners for the previous
				  turn */
	TURN_LOADING_HISTORY,  /**< collects the contents of its chain */
	TURN_RUNNING,          /**< handed to request_dispatch() */
	TURN_COMMITTING,       /**< its record is being appended */
	TURN_REPORTED, /**< its end has been reported, or needs no report */
};

/** Content of one turn of a chain. */
struct chain_turn {
	struct turn *turn;            /**< turn that continues the chain */
	struct store_call *read_call; /**< read in progress, or NULL */
	bool loaded;
	struct buf content; /**< input and output, as far as they were read */
	/** Where its content is, if that is in parts. */
	struct turn_part *parts;
	size_t part_count;
	size_t parts_read;
	size_t input_bytes;        /**< of content that is in parts */
	char previous[NAME_BYTES]; /**< the same: turn that it continues */
};

/** A part of the content of a turn that is being made durable. */
struct content_part {
	struct turn *turn;
	struct turn_part location; /**< offset: once it is durable */
	struct pending_record *pending_record; /**< in progress, or NULL */
};

/** A turn of a program. It lives as long as its request. */
struct turn {
	UT_hash_handle hh; /**< in turns.by_id */
	/* Ids in the scope of the request's workspace, as owners, records and
	 * the history cache have them; see workspace_scope_id(). */
	char id[NAME_BYTES]; /**< of its request */
	char program[NAME_BYTES];
	char previous[NAME_BYTES]; /**< of the turn that it continues, or "" */
	struct request *request;
	uint32_t partition; /**< partition of its program */
	enum turn_state state;
	uint64_t epoch; /**< ownership epoch of the grant; 0: no grant yet */
	enum turn_result last_result; /**< latest reply of the owner; 0: none */
	int64_t prepare_deadline_us;  /**< time limit for grant and history */
	int64_t store_deadline_us;    /**< the same while the store is away */
	/** When to repeat the current step if no reply comes. */
	int64_t retry_us;
	bool read_log; /**< TURN_FINDING_PREVIOUS: owners also search the log */
	/** TURN_FINDING_PREVIOUS: bit mask of the partitions whose owners do
	 * not know the previous turn. */
	uint64_t answered_partitions;
	char previous_vm[NAME_BYTES];  /**< VM that served the previous turn, or
					  "" */
	char cache_server[NAME_BYTES]; /**< backend server that has the
					  program's cache, or "" */
	/** Turns that this one continues, oldest first. */
	struct turn_ref *chain;
	struct chain_turn *chain_turns; /**< their contents; NULL before
					   TURN_LOADING_HISTORY */
	size_t chain_count;
	/** Waits for the history from another gateway. */
	bool fetching_from_peer;
	/** Append in progress, or NULL. */
	struct pending_record *pending_record;
	/** Content that goes into records of its own; NULL: none does. */
	struct content_part *parts;
	size_t part_count;
	size_t parts_begun;     /**< parts whose append has begun */
	size_t parts_durable;   /**< parts that have been appended */
	size_t part_record_max; /**< bound on the size of their records */
	struct buf input; /**< caller's input, when the request body includes
			     the history */
};

/** All turns that this gateway handles. */
struct turns {
	struct gateway *gateway;
	struct turn *by_id;             /**< uthash of the running turns */
	struct history *history;        /**< cached contents of turns */
	struct list pending_reports;    /**< of struct end_report */
	struct store_call *owners_call; /**< query of the owners, or NULL */
	int64_t owners_requested_us;    /**< time of the latest such query */
	uv_timer_t *report_timer;       /**< sends due reports again */
};

/* turn.c */
struct turns *turns_of(const struct turn *turn);
/** Returns the partition of a program. */
uint32_t turn_partition_of(const struct gateway *gateway, const char *program);
/** Returns the turn with this id that this gateway handles, or NULL. */
struct turn *turns_find(const struct turns *turns, const char *id);
/** Schedules turn_handle_timeout() in wait_us, or at the prepare deadline if
 * that is earlier. */
void turn_schedule_timeout(struct turn *turn, int64_t wait_us);
/** Sends the turn to a backend server. */
void turn_dispatch(struct turn *turn);
/** Returns an estimate of the tokens sent to the caller: the events times the
 * service's tokens per event. */
uint64_t turn_tokens_spent(const struct request *request);
/** Returns the caller's input and the output. They belong to the turn. */
struct turn_content turn_content_of(const struct turn *turn);
/** Appends the record that makes the turn count, after its parts are durable.
 */
void turn_append_record_in_parts(struct turn *turn);

/* turn_content.c */
/** Appends the content of a turn in parts, and then its record. */
void turn_append_content(struct turn *turn);
/** Frees the parts. Appends in progress go on. */
void turn_drop_parts(struct turn *turn);

/* turn_owner.c */
/** Queries the partition owners from the store; does nothing if a query is in
 * progress or the latest one is too recent. */
void turns_refresh_owners(struct turns *turns);
/** Sends a message to the owner of a partition. Returns false and refreshes the
 * owners if the owner is unknown or can't be sent to. */
bool turns_send_to_owner(
    struct turns *turns, uint32_t partition, struct message *message);
/** Returns whether no gateway can grant turns, as far as this one knows: its
 * lease has expired, and no live one has said that it owns a partition. */
bool turns_lack_owners(const struct turns *turns);
/** Tells the owner of a partition the address of this gateway. */
void turns_introduce_to_owner(struct turns *turns, uint32_t partition);
/** Reports the tokens spent by a turn to the partition owner, and repeats the
 * report until it is acknowledged or too old. */
void turn_report_spent(struct turn *turn, uint64_t spent);
/** Reports a retained turn's record to the partition owner, once and without
 * acknowledgement. The owner would find the record in the log as well; the
 * report saves it that read. */
void turn_report_retained(struct turn *turn, uint64_t offset, uint32_t bytes);
/** Starts the timer that repeats unacknowledged reports. */
void turns_start_reports(struct turns *turns);
/** Frees all unacknowledged reports. */
void turns_discard_reports(struct turns *turns);
/** Handles an owner's acknowledgement of a reported end. */
void turns_handle_end_reply(struct turns *turns, const struct message *message);

/* turn_grant.c */
/** Requests a grant for the turn from the partition owner. */
void turn_request_grant(struct turn *turn);
/** Asks the owners of all partitions for the previous turn, which may belong to
 * another program. */
void turn_find_previous(struct turn *turn);
/** Refuses the turn with a text that names the partition, its owner and the
 * owner's latest reply. */
void turn_refuse(struct turn *turn, enum refusal reason, int64_t retry_us);
void
turns_handle_begin_reply(struct turns *turns, const struct message *message);
void
turns_handle_find_reply(struct turns *turns, const struct message *message);
/** Sets the chain that the turn continues, as a copy. */
void
turn_set_chain(struct turn *turn, const struct turn_ref *chain, size_t count);

/* turn_history.c */
/** Loads the contents of the chain: from the cache, then from the gateway that
 * served the previous turn, then from the store. Sends the turn when all are
 * there. */
void turn_load_history(struct turn *turn);
/** Reads missing contents of the chain from the store. */
void turn_read_history(struct turn *turn);
/** Cancels reads of the chain and frees what has been read. */
void turn_drop_history(struct turn *turn);
/** Adds the input and output of a turn to the history cache, for turns that
 * continue it. */
void turn_cache_history(struct turn *turn, uint64_t offset, uint32_t bytes);
/** Sends another gateway the cached contents of a chain. */
void
turns_handle_history_get(struct turns *turns, const struct message *message);
/** Caches the contents sent by another gateway, and continues the turns that
 * wait for them. */
void turns_handle_history(struct turns *turns, const struct message *message);

#endif
