/** @file
 * State of a run of the configuration fold, and its model of the log.
 */
#ifndef TESTS_CONFIG_SIM_H
#define TESTS_CONFIG_SIM_H

#include "common/clock.h"
#include "common/rng.h"
#include "config/stream.h"
#include "tests/config_runs.h"

#define SECONDS(n) ((int64_t)(n)*US_PER_S)
#define MS(n)      ((int64_t)(n)*US_PER_MS)

enum {
	NODES = 5,
	OPERATORS = 2,
	MAX_ENTRIES = 4096,
	MAX_LATE = 256,
	MAX_RESULTS = 512,
	TICK_MS = 250,
	RUN_S = 120,
	QUIET_S = 20, /**< without faults, at the end */
	RETENTION_S = 30,
	MIN_LOG_ACCESS_S =
	    5, /**< time at the log in which a node surely writes */
	MAX_PROPAGATION_S =
	    7, /**< the promise: in force everywhere within that */
};

struct entry {
	struct buf wire;
	int64_t time_us;
};

/** A copy of a record that reaches the log later. */
struct late_record {
	struct buf wire;
	int64_t time_us;
};

struct node {
	struct config_fold fold;
	uint64_t seen_version;
	int64_t down_until_us;            /**< process not running */
	int64_t log_unreachable_until_us; /**< no path to the log */
	int64_t log_reachable_since_us;
	int64_t next_poll_us;
};

enum operator_state {
	OPERATOR_IDLE,
	OPERATOR_SENDING,
	OPERATOR_READING_BACK,
};

struct operator
{
	struct node node;
	enum operator_state state;
	uint64_t id;
	uint64_t base;
	char patch[64];
};

struct operator_result {
	uint64_t id;
	bool accepted;
};

struct sim {
	struct config_run *run;
	struct rng rng;
	int64_t now_us;
	int64_t outage_until_us;
	struct entry entries[MAX_ENTRIES];
	size_t count;
	size_t first;
	struct late_record late_records[MAX_LATE];
	size_t late_record_count;
	struct node nodes[NODES];
	struct operator operators[OPERATORS];
	struct config_fold reference; /**< reads each record as it comes */
	char *contents[MAX_ENTRIES];  /**< by version */
	int64_t accepted_us[MAX_ENTRIES];
	struct operator_result results[MAX_RESULTS];
	size_t result_count;
};

/** Returns true in so many of a hundred cases. */
bool sim_chance(struct sim *sim, uint64_t percent);
/** Whether the run is in its last part, without faults. */
bool sim_is_quiet(const struct sim *sim);
/** Whether the log may go down, or the first node go away, for a quarter of the
 * retention. History outlives the retention only if some complete node reaches
 * the log within each half of it; the first node is that one. */
bool sim_may_lose_writer(const struct sim *sim);
/** Returns a fold's document as text; to be freed. */
char *sim_content(const struct config_fold *fold);
bool sim_log_is_down(const struct sim *sim);
/** Appends with the faults of a log: lost replies, late effects, copies. */
enum plog_status sim_log_append(struct sim *sim, const struct buf *wire);
/** Lets late records arrive, old ones expire, and outages begin. */
void sim_log_advance(struct sim *sim);

#endif
