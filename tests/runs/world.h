/** @file
 * Seeded simulations in virtual time: several VMs with an owner each, a small
 * log that loses replies, fails, slows down and expires records, and callers
 * that repeat their requests. The guarantees on programs are checked throughout
 * and at the end.
 */
#ifndef TESTS_RUNS_WORLD_H
#define TESTS_RUNS_WORLD_H

#include "program/internal.h"

enum {
	/* Records of a shard between two snapshots; the seed chooses. */
	SNAPSHOT_RECORDS_MIN = 4,
	SNAPSHOT_RECORDS_SPREAD = 60,
	RUN_LANES = 2,
	RUN_SHARDS = 4,
	RUN_STREAMS = 2 * RUN_LANES + 1,
	RUN_VMS = 3,
	RUN_PROGRAMS = 6,
	RUN_STEPS_MAX = 12, /**< calls of one program */
	RUN_SERVERS = 3,
	RUN_LOG_MAX = 20000,
	RUN_IN_FLIGHT = 256,
	STEP_US = 20000,
};

struct stored_record {
	struct buf wire; /**< encoded record */
	int64_t at_us;   /**< when it was appended */
};

/** One stream of the log. */
struct stream {
	struct stored_record *items;
	size_t count;
	size_t first; /**< offset of the oldest record that is kept */
};

/** An append that has not taken effect or whose reply is outstanding. */
struct append_in_flight {
	bool used;
	bool applied; /**< has taken effect, or never will */
	int vm;
	uint32_t incarnation;
	uint32_t lane;
	uint64_t number;
	struct buf *items;
	size_t count;
	int64_t apply_us;
	int64_t reply_us; /**< INT64_MAX: no reply will come any more */
	enum append_result result;
};

/** A call that a VM sent to a server. */
struct server_call {
	bool used;
	int vm;
	call_id call;
	int program;
	int server;
	int64_t done_us;
	uint64_t spend; /**< tokens */
	enum owner_call_kind kind;
	uint64_t content; /**< unique number that the response contains */
	int attempt;
};

struct vm {
	struct owner *owner;
	uint32_t incarnation;
	bool alive;
	bool paused;
	int64_t resume_us;
	int64_t restart_us;
	struct counters counters;
	bool has_held_event; /**< paused before it handled held_event */
	struct owner_event held_event;
	bool has_unsent_batch; /**< paused before it sent unsent_batch */
	struct owner_batch unsent_batch;
};

enum step_kind {
	STEP_MODEL,
	STEP_TOOL,
	STEP_ONCE,
};

enum client_state {
	CLIENT_BEGIN,
	CLIENT_CALL,
	CLIENT_END,
	CLIENT_DONE,
};

/** A model turn in a caller's own copy of the history. */
struct client_turn_copy {
	char content[32];
	char key[NAME_BYTES];
	struct digest arguments;
	bool durable;
	int step;
};

/** A caller's request to one VM. */
struct attempt {
	bool open;
	int vm;
	uint32_t incarnation;
	call_id call;
	int program;
	int step;
	int64_t give_up_us;
	bool reported_not_run; /**< the caller was told that it did not run */
	bool ran;
	bool stale;              /**< the caller no longer waits for it */
	enum client_state state; /**< client's state when it was sent */
	struct digest digest; /**< of the client's history when it was sent */
	int history_count;
	char content[32]; /**< of the turn that it produced */
};

/** A caller that runs one program step by step. */
struct client {
	enum client_state state;
	char id[PROGRAM_ID_BYTES];
	char begin_key[NAME_BYTES];
	int parent; /**< index of the parent's client, or -1 */
	uint64_t budget;
	uint64_t spent; /**< tokens that servers actually spent */
	int steps;
	int step;
	enum step_kind kinds[RUN_STEPS_MAX];
	uint64_t costs[RUN_STEPS_MAX];
	int once_runs[RUN_STEPS_MAX];
	/** Digests of the histories that non-idempotent calls ran on. */
	struct digest once_history[RUN_STEPS_MAX];
	int unknown_tries;
	struct client_turn_copy history[RUN_STEPS_MAX];
	int history_count;
	struct digest digest;
	int64_t next_us;
	enum refusal last_refusal;
	bool gave_up; /**< stopped early because its program has ended */
};

struct world {
	uint64_t seed;
	struct rng rng;
	int64_t now_us;
	struct config_limits limits;
	int64_t retention_us;
	struct stream streams[RUN_STREAMS];
	struct append_in_flight appends_in_flight[RUN_IN_FLIGHT];
	struct server_call server_calls[RUN_IN_FLIGHT];
	struct attempt attempts[RUN_IN_FLIGHT];
	struct vm vms[RUN_VMS];
	struct client clients[RUN_PROGRAMS];
	bool kv[RUN_SERVERS][RUN_PROGRAMS];
	int64_t outage_until_us;
	int64_t slow_until_us;
	uint64_t next_call;
	uint64_t next_content;
	bool faults_stopped; /**< no more faults: all programs have to finish */
	char violation[256];
	unsigned faults;
	unsigned refusals;
	unsigned unreleased_kv; /**< KV caches left by former owners that died
				 * before they could release them */
	struct shard expected_shards[RUN_SHARDS]; /**< state after all records
						   * of the log */
};

/** Records a violated guarantee, if it is the first of the run. */
void world_report_violation(struct world *world, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Returns true with probability `share`. */
bool chance(struct world *world, double share);

/* log.c */
void log_step(struct world *world);
void log_send(struct world *world, int vm, const struct owner_batch *batch);
void log_read(struct world *world, int vm);
void log_fetch(struct world *world, int vm);
void log_reset(struct world *world);

/* vm.c */
void vm_start(struct world *world, int number);
void vm_kill(struct world *world, int number);
/** Runs the VM's event loop once. The VM may be paused or killed at each step
 * of it. */
void vm_step(struct world *world, int number);
void faults_step(struct world *world);

/* client.c and attempt.c */
/** Returns whether the caller waits for this attempt in its present state. */
bool attempt_current(struct world *world, const struct attempt *attempt);
void client_advance(struct world *world, struct client *client);
/** Drops a client's last turn if it is not durable: it may be lost or recorded
 * differently. */
void client_roll_back(struct client *client);
/** Writes the idempotency key of an attempt's step. */
void step_key(const struct attempt *attempt, char key[NAME_BYTES]);
void attempt_refused(struct world *world, struct attempt *attempt,
    enum refusal reason, enum execution_state execution);
void server_call_start(struct world *world, struct attempt *attempt,
    enum owner_call_kind kind, uint64_t spend);
void client_init(struct world *world, int program);
void client_step(struct world *world, int program);
struct attempt *attempt_find(struct world *world, int vm, call_id call);
void client_event(struct world *world, int vm, const struct owner_event *event);
/** Submits an attempt to its VM's owner, for the first time or again. */
void attempt_admit(struct world *world, struct attempt *attempt);
/** Handles the response to a client's present step. */
void client_turn(struct world *world, struct attempt *attempt,
    struct wire_bytes content, bool durable);
void server_call_done(struct world *world, struct server_call *server_call);

/** Drops a program's KV cache from the event's server. */
void kv_release(struct world *world, const struct owner_event *event);

/* check.c */
/** Checks that the history given to a server is the caller's. */
void check_history(struct world *world, const struct client *client,
    const struct owner_result *result);
/** Checks that a call that was reported as not run did not run. For a shard's
 * owner, no earlier attempt with the same key may have run either. */
void check_not_run(
    struct world *world, struct attempt *attempt, enum refusal reason);
/** Checks that what an event reports as durable is in the log. */
void check_durable(struct world *world, const struct client *client,
    const struct owner_event *event);
/** Checks the final state of a run. */
void check_end(struct world *world);
/** Prints the state of all VMs, to examine a failed run. */
void world_dump(const struct world *world);
/** Returns whether a VM believes that it owns a program's shard, and the log
 * confirms it. */
bool owns_by_log(struct world *world, int vm, const char *program);

#endif
