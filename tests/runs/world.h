/** @file
 * Seeded runs in virtual time: several VMs with an owner each, a small log
 * that loses replies, fails, slows down and forgets, and callers that repeat
 * themselves. Each promise on programs is checked.
 */
#ifndef TESTS_RUNS_WORLD_H
#define TESTS_RUNS_WORLD_H

#include "program/internal.h"

enum {
	/* Tails after which a shard is written anew, by seed. */
	SNAPSHOT_RECORDS_MIN = 4,
	SNAPSHOT_RECORDS_SPREAD = 60,
	RUN_LANES = 2,
	RUN_SHARDS = 4,
	RUN_STREAMS = 2 * RUN_LANES + 1,
	RUN_VMS = 3,
	RUN_PROGRAMS = 6,
	RUN_STEPS_MAX = 12, /**< calls of a program */
	RUN_SERVERS = 3,
	RUN_LOG_MAX = 20000,
	RUN_IN_FLIGHT = 256,
	STEP_US = 20000,
};

struct stored_record {
	struct buf wire;
	int64_t at_us;
};

struct stream {
	struct stored_record *items;
	size_t count;
	size_t first;
};

/** An append that has not taken effect or not been answered. */
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
	int64_t reply_us; /**< INT64_MAX: none left to come */
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
	uint64_t spend;
	enum owner_call_kind kind;
	uint64_t content; /**< number that makes it unique */
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
	bool has_held_event; /**< paused with an event in hand */
	struct owner_event held_event;
	bool has_unsent_batch; /**< paused with a batch in hand */
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

struct client_turn_copy {
	char content[32];
	char key[NAME_BYTES];
	struct digest arguments;
	bool durable;
	int step;
};

/** A caller's request, to one VM. */
struct attempt {
	bool open;
	int vm;
	uint32_t incarnation;
	call_id call;
	int program;
	int step;
	int64_t give_up_us;
	bool reported_not_run;
	bool ran;
	bool stale;               /**< the caller no longer waits for it */
	enum client_state state; /**< what was asked for */
	struct digest digest;    /**< history that the request named */
	int history_count;
	char content[32]; /**< of the turn that it made */
};

struct client {
	enum client_state state;
	char id[PROGRAM_ID_BYTES];
	char begin_key[NAME_BYTES];
	int parent; /**< index, or -1 */
	uint64_t budget;
	uint64_t spent; /**< by servers, in truth */
	int steps;
	int step;
	enum step_kind kinds[RUN_STEPS_MAX];
	uint64_t costs[RUN_STEPS_MAX];
	int once_runs[RUN_STEPS_MAX];
	struct digest once_history[RUN_STEPS_MAX]; /**< that it ran on */
	int unknown_tries;
	struct client_turn_copy history[RUN_STEPS_MAX];
	int history_count;
	struct digest digest;
	int64_t next_us;
	int64_t ended_us;
	enum refusal last_refusal;
	bool gave_up; /**< refused for good: goes to the end */
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
	bool faults_stopped; /**< no more faults: everything has to finish */
	char violation[256];
	bool verbose;
	unsigned faults;
	unsigned refusals;
	unsigned unreleased_kv; /**< left by a stale owner that died before
				   release */
	struct shard expected_shards[RUN_SHARDS]; /**< fold of the whole log */
};

/** Records the first violation of a promise. */
void world_report_violation(struct world *world, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Returns true in `share` of the cases. */
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
/** Runs the VM's loop once; it may be paused or killed at any step of it. */
void vm_step(struct world *world, int number);
void faults_step(struct world *world);

/* client.c and attempt.c */
bool attempt_current(struct world *world, const struct attempt *attempt);
void client_advance(struct world *world, struct client *client);
void client_roll_back(struct client *client);
void step_key(const struct attempt *attempt, char key[NAME_BYTES]);
void attempt_refused(struct world *world, struct attempt *attempt, enum refusal reason,
    enum execution_state run);
void server_call_start(struct world *world, struct attempt *attempt,
    enum owner_call_kind kind, uint64_t spend);
void client_init(struct world *world, int program);
void client_step(struct world *world, int program);
struct attempt *attempt_find(struct world *world, int vm, call_id call);
void client_event(struct world *world, int vm, const struct owner_event *event);
/** A request reached its VM and was admitted; or is tried again. */
void attempt_admit(struct world *world, struct attempt *attempt);
void client_turn(struct world *world, struct attempt *attempt,
    struct wire_bytes content, bool durable);
void server_call_done(struct world *world, struct server_call *server_call);

/** A server drops what it holds of a program. */
void kv_release(struct world *world, const struct owner_event *event);

/* check.c */
void check_history(struct world *world, const struct client *client,
    const struct owner_answer *answer);
void check_not_run(
    struct world *world, struct attempt *attempt, enum refusal reason);
void check_durable(struct world *world, const struct client *client,
    const struct owner_event *event);
void check_end(struct world *world);
void world_dump(const struct world *world);
/** Returns whether the VM owns the program's shard by the log's order. */
bool owns_by_log(struct world *world, int vm, const char *program);

#endif
