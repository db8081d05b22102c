/** @file
 * An in-memory log and two VMs with an owner each, for unit tests of programs.
 */
#ifndef TESTS_PROGRAM_FIXTURE_H
#define TESTS_PROGRAM_FIXTURE_H

#include "program/internal.h"

enum {
	LANES = 2,
	SHARDS = 4,
	LOG_RECORDS = 4096,
	LANE_STREAMS = 2 * LANES + 1,
	VMS = 2,
	STEP_US = 50000,
};

struct log_record {
	struct buf wire; /**< encoded record */
};

/** A log and two VMs whose owners read it. */
struct fixture {
	struct log_record records[LANE_STREAMS][LOG_RECORDS];
	size_t count[LANE_STREAMS];
	struct config_limits limits;
	struct counters counters;
	struct owner *owners[VMS];
	struct owner_event events[LOG_RECORDS];
	size_t event_count;
	int64_t now_us;
};

extern struct fixture *fixture;

void fixture_setup(void);
void fixture_teardown(void);
/** Passes the log's new records to an owner. */
void log_read(struct owner *owner);
/** Appends the batches that an owner has due, except with APPEND_NOT_DONE, and
 * reports result to the owner. APPEND_UNKNOWN stands for a lost reply. */
void owner_flush(struct owner *owner, enum append_result result);
/** Collects an owner's events in the fixture. */
void owner_events(struct owner *owner);
/** Runs an owner and its log for a number of steps of STEP_US each. */
void run_for(struct owner *owner, int steps);
/** Returns the first collected event of a call, or NULL. */
const struct owner_event *find_event(enum owner_event_type type, call_id call);
void own_all_shards(int vm);
/** Begins a program and returns its id, valid until the teardown. */
const char *begin(
    int vm, call_id call, const char *key, const char *parent, uint64_t budget);
enum owner_decision
admit(int vm, call_id call, enum owner_call_kind kind, const char *program,
    const char *key, uint64_t cost, struct owner_result *result);
struct digest finish(int vm, call_id call, const char *content, uint64_t spent);
/** Lets a VM take over all shards of another one, which it suspects. */
void take_over(int from, int to);

#endif
