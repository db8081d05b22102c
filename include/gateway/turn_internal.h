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
	TURN_HELD,    /**< the store is away: it could not be kept */
	TURN_ASKING,  /**< the owner is asked */
	TURN_FINDING, /**< all owners are asked for the previous turn */
	TURN_LOADING, /**< its history is collected */
	TURN_RUNNING,
	TURN_SEALING,
	TURN_OVER, /**< the owner has been told */
};

/** Content of one turn of the chain. */
struct piece {
	struct turn *turn;
	struct store_call *read;
	bool present;
	struct buf content;
};

struct turn {
	UT_hash_handle hh; /**< by id, in turns */
	char id[NAME_BYTES];
	struct request *request;
	uint32_t part; /**< of its program */
	enum turn_state state;
	uint64_t epoch;
	enum turn_answer last_answer; /**< of an owner; 0: none */
	int64_t give_up_us;
	int64_t due_us;          /**< when to go on, if no answer comes */
	bool certain;            /**< TURN_FINDING: owners look into the log */
	uint64_t answered;       /**< TURN_FINDING: a bit for each partition */
	char vm[NAME_BYTES];     /**< that served the previous turn */
	char server[NAME_BYTES]; /**< that has the program's cache */
	struct turn_ref *chain;  /**< of the previous turn, oldest first */
	struct piece *pieces;
	size_t chain_count;
	bool fetching; /**< another gateway is asked for the history */
	struct recording *recording;
	struct buf input; /**< as the caller sent it */
};

struct turns {
	struct gateway *gateway;
	struct turn *by_id; /**< uthash */
	struct history *history;
	struct list reports;
	struct store_call *owners;
	int64_t owners_us; /**< when the owners were last asked for */
	uv_timer_t *tick;
};

/* turn.c */
struct turns *turns_of(const struct turn *turn);
/** Returns the partition of a program. */
uint32_t turn_part_of(const struct gateway *gateway, const char *program);
/** Returns the turn of that id that runs here, or NULL. */
struct turn *turns_find(const struct turns *turns, const char *id);
/** Sets when turn_handle_time() is called if nothing happens. */
void turn_wait(struct turn *turn, int64_t wait_us);
/** Sends it to a backend server. */
void turn_run(struct turn *turn);
/** Returns the tokens that the caller was handed. */
uint64_t turn_tokens_spent(const struct request *request);

/* turn_owner.c */
/** Asks the store who owns what, not more often than it should be. */
void turns_refresh_owners(struct turns *turns);
/** Sends a message to the owner of a partition. False: it is not known. */
bool turns_send_to_owner(
    struct turns *turns, uint32_t part, struct message *message);
/** Tells the owner, until it acknowledges, how much the turn has spent. */
void turn_tell_spent(struct turn *turn, uint64_t spent);
/** Tells the owner of a record. It would find it in the log; told of it, it
 * need not look. */
void turn_tell_kept(struct turn *turn, uint64_t offset, uint32_t bytes);
void turns_start_reports(struct turns *turns);
void turns_drop_reports(struct turns *turns);
void turns_handle_ended(struct turns *turns, const struct message *message);

/* turn_ask.c */
/** Asks the owner for the turn. */
void turn_ask(struct turn *turn);
/** Asks all owners for the previous turn: it may be one of another program. */
void turn_find_previous(struct turn *turn);
/** Refuses the turn, and says whom it has waited for. */
void turn_refuse(struct turn *turn, enum refusal reason, int64_t retry_us);
void turns_handle_granted(struct turns *turns, const struct message *message);
void turns_handle_found(struct turns *turns, const struct message *message);
/** Copies the chain that the turn continues. */
void
turn_set_chain(struct turn *turn, const struct turn_ref *chain, size_t count);

/* turn_history.c */
/** Collects the chain's contents: from here, from the gateway that served the
 * previous turn, and from the store. */
void turn_load(struct turn *turn);
/** Reads from the store what is missing. */
void turn_read_history(struct turn *turn);
/** Keeps input and output of a turn for those that continue it. */
void turn_remember(struct turn *turn, uint64_t offset, uint32_t bytes);
void
turns_handle_history_get(struct turns *turns, const struct message *message);
void turns_handle_history(struct turns *turns, const struct message *message);

#endif
