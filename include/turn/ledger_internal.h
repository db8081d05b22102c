/** @file
 * Definitions that the source files of the ledger share; see turn/ledger.h for
 * an overview.
 */
#ifndef TURN_LEDGER_INTERNAL_H
#define TURN_LEDGER_INTERNAL_H

#include <uthash.h>

#include "common/list.h"
#include "turn/ledger.h"

enum {
	PROGRAM_SESSIONS_MAX = 6, /**< sessions with a remembered server */
};

enum {
	OFFSET_SAMPLES_MAX = 32,
};

/** Backend server that has the KV cache of a session. */
struct ledger_session {
	uint64_t id; /**< hash of the session's name */
	char server[NAME_BYTES];
};

/** Whether the log holds the latest state of a turn. */
enum durability {
	DURABILITY_DURABLE,
	DURABILITY_QUEUED,    /**< record is queued for the next batch */
	DURABILITY_APPENDING, /**< record is in the batch in flight */
	/** Runs without a start record; at most one turn of a program does. */
	DURABILITY_NOT_REQUIRED,
};

/** Budget and running turns of a program. */
struct ledger_program {
	UT_hash_handle hh; /**< by id */
	char id[NAME_BYTES];
	uint64_t budget;
	uint64_t spent;
	uint64_t max_turn_tokens; /**< max_tokens of its largest turn */
	/** Tokens counted for placeholders and for turns without a reported
	 * end; perhaps not spent. */
	uint64_t unconfirmed_tokens;
	uint64_t epoch; /**< epoch of its newest durable record */
	/** Newest ownership epoch whose owner may have granted turns without a
	 * record; 0 if there is none. */
	uint64_t unrecorded_epoch;
	/** Turns whose end was not reported in time. */
	uint32_t timed_out_turns;
	uint32_t non_durable_turns; /**< turns whose state the log lacks */
	struct list running_turns;
	/** Latest first. */
	struct ledger_session sessions[PROGRAM_SESSIONS_MAX];
	size_t session_count;
	int64_t last_used_us;
};

/** A turn that runs or has ended. */
struct ledger_turn {
	UT_hash_handle hh;      /**< by id */
	struct list link;       /**< in program.running_turns or ledger.ended */
	struct list write_link; /**< in ledger.queued or ledger.appending */
	struct list index_link; /**< in ledger.to_index */
	struct ledger_program *program;
	char id[NAME_BYTES];
	bool ended;
	bool retained;
	bool start_recorded; /**< a start record was written or queued */
	/** Its record lets the owner grant later turns without a record. */
	bool allows_unrecorded;
	bool end_timed_out; /**< its end was not reported in time */
	/** Stands for a turn that the owner of the epoch below may have granted
	 * without a record. */
	bool placeholder;
	enum durability durability;
	uint64_t epoch; /**< ownership under which it was granted */
	uint64_t max_tokens;
	uint64_t spent;
	int64_t remaining_us; /**< time from the grant to the deadline */
	int64_t deadline_us;  /**< used while the turn runs */
	int64_t ended_us;
	/* The members below are set for retained turns only. */
	uint64_t offset; /**< log offset of its record */
	uint32_t bytes;  /**< size of its record */
	char previous[NAME_BYTES];
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
	/** Its chain, oldest first; set if this ledger lacks the previous
	 * turn's record. */
	struct turn_ref *ancestors;
	size_t ancestor_count;
};

/** Log offset of a record and the time at which it was applied. Samples map an
 * age to the offset at which the log may be trimmed. */
struct ledger_offset_sample {
	int64_t sampled_us;
	uint64_t offset;
};

struct ledger {
	uint32_t partition;
	uint64_t epoch; /**< epoch of this VM's ownership */
	/** End of the time in which all turns are recorded; see RECOVERY_US. */
	int64_t recovery_until_us;
	struct ledger_program *programs; /**< uthash */
	struct ledger_turn *turns;       /**< uthash */
	struct list ended;               /**< turns, oldest end first */
	struct list queued;    /**< turns that are DURABILITY_QUEUED */
	struct list appending; /**< turns that are DURABILITY_APPENDING */
	struct list to_index;  /**< durable turns that the index lacks */
	/** Oldest first. */
	struct ledger_offset_sample offset_samples[OFFSET_SAMPLES_MAX];
	size_t offset_sample_count;
	uint32_t waiting_turns; /**< turns that wait for their start record */
};

enum {
	/** Placeholder: any earlier ownership; program: no durable record. */
	EPOCH_UNKNOWN = 0,
	/** First character of a placeholder's id. It can't clash with a
	 * caller's request id, since header values do not begin with a tab. */
	PLACEHOLDER_PREFIX = '\t',
};

/* ledger.c */
/** Returns a program, or NULL. */
struct ledger_program *
ledger_find_program(const struct ledger *ledger, const char *id);
/** Returns a turn, or NULL. */
struct ledger_turn *
ledger_find_turn(const struct ledger *ledger, const char *id);
/** Returns a program and updates its time of last use. Adds the program if it
 * is unknown. */
struct ledger_program *
ledger_ensure_program(struct ledger *ledger, const char *id, int64_t now_us);
/** Adds a running turn to a program. */
struct ledger_turn *ledger_add_turn(struct ledger *ledger,
    struct ledger_program *program, const char *id, uint64_t max_tokens);
/** Ends a running turn. spent: tokens that count against the budget. */
void ledger_set_ended(struct ledger *ledger, struct ledger_turn *turn,
    uint64_t spent, int64_t now_us);
/** Corrects the tokens counted for an ended turn, downwards only: a turn whose
 * end timed out counts with its max_tokens until its end is reported, and a
 * placeholder until the end of the turn that it stands for is. */
void ledger_correct_spent(struct ledger_turn *turn, uint64_t spent);

/* ledger_records.c */
/** Returns whether a record of the turn is queued or being appended. */
bool durability_is_pending(enum durability durability);
/** Sets the durability of a turn and moves it to the list for that state. */
void ledger_set_durability(struct ledger *ledger, struct ledger_turn *turn,
    enum durability durability);
/** Raises the epochs of a turn's program once the turn's record is durable. */
void ledger_update_program_epochs(const struct ledger_turn *turn);

/* ledger_grant.c */
/** Releases the placeholder of a turn that an earlier owner granted without a
 * record and that has now ended. Call it after the turn's own record is queued,
 * so that the log never holds less than what the program spent. */
void ledger_release_placeholder(
    struct ledger *ledger, const struct ledger_turn *ended, int64_t now_us);

#endif
