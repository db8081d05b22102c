/** @file
 * What the parts of the ledger share; see turn/ledger.h for the whole.
 */
#ifndef TURN_LEDGER_INTERNAL_H
#define TURN_LEDGER_INTERNAL_H

#include <uthash.h>

#include "common/list.h"
#include "turn/ledger.h"

enum {
	PROGRAM_SESSIONS_MAX =
	    6, /**< of a program, whose servers are remembered */
};

enum {
	OFFSET_SAMPLES_MAX = 32,
};

/** Where a line of a program's turns has its cache. */
struct ledger_session {
	uint64_t id; /**< hash */
	char server[NAME_BYTES];
};

/** State of a fact with regard to the log. */
enum durability {
	DURABILITY_DURABLE,
	DURABILITY_QUEUED,       /**< to be appended */
	DURABILITY_APPENDING,    /**< being appended */
	DURABILITY_NOT_REQUIRED, /**< needs no record of its own: the program's
				    one fact */
};

struct ledger_program {
	UT_hash_handle hh; /**< by id */
	char id[NAME_BYTES];
	uint64_t budget;
	uint64_t spent;
	uint64_t most;     /**< of its largest turn */
	uint64_t doubtful; /**< counted, and perhaps not spent */
	uint64_t epoch;    /**< of its newest durable record */
	/** Newest ownership that may have granted it turns without a record;
	 * 0: none. */
	uint64_t unrecorded_epoch;
	uint32_t given_up; /**< turns whose end was not told in time */
	uint32_t loose;    /**< facts that are not durable */
	struct list open;  /**< turns */
	struct ledger_session
	    sessions[PROGRAM_SESSIONS_MAX]; /**< the latest first */
	size_t session_count;
	int64_t used_us;
};

/** A turn that runs or has ended. */
struct ledger_turn {
	UT_hash_handle hh; /**< by id */
	struct list link;  /**< in the program's open ones, or in ended */
	struct list write; /**< in to_write or in_batch, by durability */
	struct list index; /**< in to_index, if the index lacks it */
	struct ledger_program *program;
	char id[NAME_BYTES];
	bool ended;
	bool kept;
	bool recorded; /**< its beginning is, or will be before it runs */
	bool allows_unrecorded; /**< with its record, later ones need none */
	bool given_up;          /**< its end was not told in time */
	bool charge; /**< stands for a turn that the owner of that epoch may
			have granted and not recorded */
	enum durability durability;
	uint64_t epoch;
	uint64_t most;
	uint64_t spent;
	int64_t left_us;     /**< to its deadline when it was granted */
	int64_t deadline_us; /**< while it runs */
	int64_t ended_us;
	/* of kept ones */
	uint64_t offset;
	uint32_t bytes;
	char previous[NAME_BYTES];
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
	struct turn_ref *ancestors; /**< if previous is not in this ledger */
	size_t ancestor_count;
};

/** The log's end at a time. */
struct ledger_offset_sample {
	int64_t at_us;
	uint64_t offset;
};

struct ledger {
	uint32_t part;
	uint64_t epoch;
	int64_t careful_until_us;        /**< see CAREFUL_US */
	struct ledger_program *programs; /**< uthash */
	struct ledger_turn *turns;       /**< uthash */
	struct list ended;               /**< of turns, oldest first */
	struct list to_write; /**< turns that are DURABILITY_QUEUED */
	struct list in_batch; /**< turns that are DURABILITY_APPENDING */
	struct list to_index; /**< durable facts */
	struct ledger_offset_sample
	    marks[OFFSET_SAMPLES_MAX]; /**< oldest first */
	size_t mark_count;
	uint32_t waiting; /**< turns that wait for their record */
};

enum {
	EPOCH_UNKNOWN = 0, /**< of a charge: stands for any owner before */
	/** Begins the names of charges. No caller's request has such a name:
	 * header values do not begin with it. */
	PLACEHOLDER_PREFIX = '\t',
};

/* ledger.c */
/** Returns a program, or NULL. */
struct ledger_program *
ledger_find_program(const struct ledger *ledger, const char *id);
/** Returns a turn, or NULL. */
struct ledger_turn *
ledger_find_turn(const struct ledger *ledger, const char *id);
/** Returns a program, which is added if it is not known, and notes its use. */
struct ledger_program *
ledger_ensure_program(struct ledger *ledger, const char *id, int64_t now_us);
/** Adds a turn of a program, which runs. */
struct ledger_turn *ledger_add_turn(struct ledger *ledger,
    struct ledger_program *program, const char *id, uint64_t most);
/** Ends a turn that runs. */
void ledger_set_ended(struct ledger *ledger, struct ledger_turn *turn,
    uint64_t spent, int64_t now_us);
/** A turn that was given up counts at its most until news of its end comes; a
 * charge until its turn's does. */
void ledger_correct_spent(struct ledger_turn *turn, uint64_t spent);

/* ledger_records.c */
/** Returns whether a fact is to be appended, or is being appended. */
bool durability_is_pending(enum durability durability);
/** Moves a fact to another state with regard to the log. */
void ledger_set_durability(struct ledger *ledger, struct ledger_turn *turn,
    enum durability durability);
/** A record of a turn is durable: notes what it tells of its program. */
void ledger_update_program_epochs(const struct ledger_turn *turn);

/* ledger_grant.c */
/** A turn that an earlier owner had granted without a record has ended: it is
 * the one that the program was charged for. To be called once the turn's own
 * record is to be written: the log never holds less than what was spent. */
void ledger_release_placeholder(
    struct ledger *ledger, const struct ledger_turn *ended, int64_t now_us);

#endif
