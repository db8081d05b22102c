/** @file
 * What the parts of a turn share; see gateway/turn.h for the whole.
 */
#ifndef GATEWAY_TURN_INTERNAL_H
#define GATEWAY_TURN_INTERNAL_H

#include <uthash.h>

#include "gateway/turn.h"
#include "turn/history.h"

enum {
	CHAIN_MAX = 512, /**< turns of a chain */
};

enum turn_state {
	TURN_WAITING_STORE,    /**< the store is away: it could not be kept */
	TURN_REQUESTING_GRANT, /**< the owner is asked */
	TURN_FINDING_PREVIOUS, /**< all owners are asked for the previous turn
				*/
	TURN_LOADING_HISTORY,  /**< its history is collected */
	TURN_RUNNING,
	TURN_COMMITTING,
	TURN_REPORTED, /**< the owner has been told */
};

/** Content of one turn of the chain. */
struct piece {
	struct turn *turn;
	struct store_call *read;
	bool loaded;
	struct buf content;
};

struct turn {
	UT_hash_handle hh; /**< by id, in turns */
	char id[NAME_BYTES];
	struct request *request;
	uint32_t partition; /**< of its program */
	enum turn_state state;
	uint64_t epoch;
	enum turn_answer last_answer; /**< of an owner; 0: none */
	int64_t prepare_deadline_us;
	int64_t retry_us; /**< when to go on, if no answer comes */
	bool read_log; /**< TURN_FINDING_PREVIOUS: owners look into the log */
	uint64_t answered_partitions; /**< TURN_FINDING_PREVIOUS: a bit for each
					 partition */
	char previous_vm[NAME_BYTES]; /**< that served the previous turn */
	char cache_server[NAME_BYTES]; /**< that has the program's cache */
	struct turn_ref *chain; /**< of the previous turn, oldest first */
	struct piece *chain_contents;
	size_t chain_count;
	bool
	    fetching_from_peer; /**< another gateway is asked for the history */
	struct pending_record *pending_record;
	struct buf input; /**< as the caller sent it */
};

struct turns {
	struct gateway *gateway;
	struct turn *by_id; /**< uthash */
	struct history *history;
	struct list pending_reports;
	struct store_call *owners_call;
	int64_t owners_requested_us; /**< when the owners were last asked for */
	uv_timer_t *report_timer;
};

/* turn.c */
struct turns *turns_of(const struct turn *turn);
/** Returns the partition of a program. */
uint32_t turn_partition_of(const struct gateway *gateway, const char *program);
/** Returns the turn of that id that runs here, or NULL. */
struct turn *turns_find(const struct turns *turns, const char *id);
/** Sets when turn_handle_timeout() is called if nothing happens. */
void turn_schedule_timeout(struct turn *turn, int64_t wait_us);
/** Sends it to a backend server. */
void turn_dispatch(struct turn *turn);
/** Returns the tokens that the caller was handed. */
uint64_t turn_tokens_spent(const struct request *request);

/* turn_owner.c */
/** Asks the store who owns what, not more often than it should be. */
void turns_refresh_owners(struct turns *turns);
/** Sends a message to the owner of a partition. False: it is not known. */
bool turns_send_to_owner(
    struct turns *turns, uint32_t part, struct message *message);
/** Tells the owner, until it acknowledges, how much the turn has spent. */
void turn_report_spent(struct turn *turn, uint64_t spent);
/** Tells the owner of a record. It would find it in the log; told of it, it
 * need not look. */
void turn_report_kept(struct turn *turn, uint64_t offset, uint32_t bytes);
void turns_start_reports(struct turns *turns);
void turns_discard_reports(struct turns *turns);
void turns_handle_end_reply(struct turns *turns, const struct message *message);

/* turn_request_grant.c */
/** Asks the owner for the turn. */
void turn_request_grant(struct turn *turn);
/** Asks all owners for the previous turn: it may be one of another program. */
void turn_find_previous(struct turn *turn);
/** Refuses the turn, and says whom it has waited for. */
void turn_refuse(struct turn *turn, enum refusal reason, int64_t retry_us);
void
turns_handle_begin_reply(struct turns *turns, const struct message *message);
void
turns_handle_find_reply(struct turns *turns, const struct message *message);
/** Copies the chain that the turn continues. */
void
turn_set_chain(struct turn *turn, const struct turn_ref *chain, size_t count);

/* turn_history.c */
/** Collects the chain's contents: from here, from the gateway that served the
 * previous turn, and from the store. */
void turn_load_history(struct turn *turn);
/** Reads from the store what is missing. */
void turn_read_history(struct turn *turn);
/** Keeps input and output of a turn for those that continue it. */
void turn_cache_history(struct turn *turn, uint64_t offset, uint32_t bytes);
void
turns_handle_history_get(struct turns *turns, const struct message *message);
void turns_handle_history(struct turns *turns, const struct message *message);

#endif
