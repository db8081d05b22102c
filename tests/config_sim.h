/** @file
 * State of a simulation of the configuration fold, and its model of the log.
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
	FAULT_FREE_S = 20, /**< fault-free time at the end of a run */
	RETENTION_S = 30,
	/** Time with access to the log in which a node surely appends a
	 * snapshot that is due. */
	MIN_LOG_ACCESS_S = 5,
	/** Time within which all nodes must have a version. */
	MAX_PROPAGATION_S = 7,
};

/** A record in the log. */
struct entry {
	struct buf wire;
	int64_t time_us; /**< time of the append */
};

/** A copy of a record that reaches the log later. */
struct late_record {
	struct buf wire;
	int64_t time_us; /**< time of the later append */
};

/** A node that polls the log. */
struct node {
	struct config_fold fold;
	uint64_t seen_version;            /**< version at the last check */
	int64_t down_until_us;            /**< end of a restart */
	int64_t log_unreachable_until_us; /**< end of a network fault */
	int64_t log_reachable_since_us;
	int64_t next_poll_us;
};

enum operator_state {
	OPERATOR_IDLE,
	OPERATOR_SENDING,
	OPERATOR_READING_BACK,
};

/** An operator who publishes one patch at a time. */
struct operator
{
	struct node node;
	enum operator_state state;
	uint64_t id;    /**< id of the record being published */
	uint64_t base;  /**< version that the patch was made for */
	char patch[64]; /**< JSON text */
};

/** The outcome of a patch that an operator was given. */
struct operator_result {
	uint64_t id;
	bool accepted;
};

struct sim {
	struct config_run *run;
	struct rng rng;
	int64_t now_us;
	int64_t outage_until_us;           /**< end of an outage of the log */
	struct entry entries[MAX_ENTRIES]; /**< records by offset */
	size_t count;
	size_t oldest_offset; /**< oldest offset that the log keeps */
	struct late_record late_records[MAX_LATE];
	size_t late_record_count;
	struct node nodes[NODES];
	struct operator operators[OPERATORS];
	struct config_fold reference; /**< applies each record when appended */
	char *documents[MAX_ENTRIES]; /**< documents as text, by version */
	int64_t accepted_us[MAX_ENTRIES]; /**< times of acceptance by version */
	struct operator_result results[MAX_RESULTS];
	size_t result_count;
};

/** Returns true with a probability in percent. */
bool sim_chance(struct sim *sim, uint64_t percent);
/** Returns whether the run is in its last, fault-free part. */
bool sim_is_fault_free(const struct sim *sim);
/** Returns whether the log may go down, or the first node lose access to it,
 * for up to a quarter of the retention. The history outlives the retention only
 * if some complete node reaches the log within each half of it. In these runs
 * that is the first node. */
bool sim_may_lose_writer(const struct sim *sim);
/** Returns a fold's document as text, to be freed by the caller. */
char *sim_document_text(const struct config_fold *fold);
bool sim_log_is_down(const struct sim *sim);
/** Appends a record, with simulated faults: the response is lost, the record
 * arrives late, or a copy arrives later. */
enum plog_status sim_log_append(struct sim *sim, const struct buf *wire);
/** Appends late records, expires old ones and begins outages. */
void sim_log_advance(struct sim *sim);

#endif
