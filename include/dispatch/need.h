/** @file
 * How urgent the turn of a program is: what the program still needs, learned
 * from the programs of a route that this VM has seen, against the time that it
 * has left. No I/O; callers pass the time.
 *
 * Answers the load of a burst, in which model servers have more turns than they
 * can run: the servers begin turns of programs that can still finish in time,
 * those with the least slack first.
 */
#ifndef DISPATCH_NEED_H
#define DISPATCH_NEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "common/list.h"
#include "record/record.h"

enum {
	/** Parts of a program's time, by the progress that it has made. */
	NEED_STEPS = 8,
	NEED_LEVELS = 10,     /**< urgencies 0 (first) to 9 */
	NEED_LEVEL_NONE = -1, /**< the request states no urgency */
};

/** Moving average. */
struct need_average {
	double value;
	uint32_t count;
};

/** What is known of the programs of a route that finished in time. Later ones
 * have waited for servers, so that their time is not what a program needs. */
struct need_route {
	UT_hash_handle hh; /**< by route */
	char route[NAME_BYTES];
	/** Time from the arrival of any turn to the end of its program. */
	struct need_average left_us;
	/** Time from the arrival of a turn to the arrival of the next one. */
	struct need_average turn_us;
	/** Time from the arrival of a turn to the end of its program, as a
	 * share of the program's whole time limit, by progress at arrival. */
	struct need_average left_share[NEED_STEPS];
};

/** A program of which this VM has seen turns lately. */
struct need_program {
	UT_hash_handle hh; /**< by id */
	struct list link;  /**< in need.by_age */
	uint64_t id;
	struct need_route *route;
	/** Time limit as of its first turn; 0: the first turn was not seen. */
	int64_t aim_us;
	int64_t due_us;      /**< when it should finish */
	int64_t changed_us;  /**< arrival or end of a turn */
	int64_t ended_us;    /**< end of its last completed turn; 0: none */
	int64_t max_wait_us; /**< time limit of a turn */
	uint32_t running;    /**< turns that have not ended */
	uint32_t turns;      /**< turns that have arrived */
	int64_t first_us;    /**< arrival of its first turn seen */
	int64_t arrivals_us; /**< sum of arrivals, relative to first_us */
	/** The same by progress at arrival. */
	int64_t step_arrivals_us[NEED_STEPS];
	uint32_t step_turns[NEED_STEPS];
};

/** Empty when zeroed, except by_age; see need_init(). */
struct need {
	struct need_route *routes;     /**< uthash */
	struct need_program *programs; /**< uthash */
	struct list by_age;            /**< least recently changed first */
};

/** A turn that arrives. */
struct need_turn {
	uint64_t program; /**< hash of the program's id */
	const char *route;
	bool has_previous; /**< it continues an earlier turn */
	/** Time until the program should finish; 0: it is late. */
	int64_t finish_within_us;
	int64_t max_wait_us; /**< time limit of the turn */
};

/** What the urgency of a turn depends on. */
struct need_state {
	bool known;      /**< whether need_us is known */
	int64_t left_us; /**< until the program should finish */
	int64_t need_us; /**< time that the program is expected to take */
	int64_t aim_us;  /**< whole time limit of the program; 0: unknown */
};

/** Place of a priority among all that are in use. */
struct need_rank {
	uint32_t rank;  /**< number of more urgent priorities */
	uint32_t count; /**< number of priorities; at least 1 */
};

void need_init(struct need *need);
void need_reset(struct need *need);
/** Records the arrival of a turn, and returns what its urgency depends on. */
struct need_state need_turn_arrived(
    struct need *need, const struct need_turn *turn, int64_t now_us);
/** Records the end of a turn. completed: its response was whole. */
void need_turn_ended(
    struct need *need, uint64_t program_id, bool completed, int64_t now_us);
/** Returns the urgency of a turn. If its need is not known, that is the middle
 * of its priority, or NEED_LEVEL_NONE if there is only one priority.
 * max_wait_us: time limit of the turn. */
int need_urgency(const struct need_state *state, const struct need_rank *rank,
    int64_t max_wait_us);

#endif
