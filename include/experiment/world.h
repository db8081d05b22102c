/** @file
 * One run: nodes with a scheduler each, engines, programs and faults, in
 * virtual time.
 */
#ifndef EXPERIMENT_WORLD_H
#define EXPERIMENT_WORLD_H

#include "experiment/engine.h"
#include "experiment/events.h"
#include "experiment/measure.h"
#include "experiment/traffic.h"
#include "route/sched.h"

enum {
	WORLD_ENGINES_MAX = 32,
	WORLD_NODES_MAX = 32,
	WORLD_REPORTS = 32, /**< reports of an engine under way */
	WORLD_NO_PROGRAM = UINT32_MAX,
	WORLD_ALL_REGIONS = UINT32_MAX,
};

enum fault {
	FAULT_NONE,
	FAULT_CRASH,        /**< a server dies each minute */
	FAULT_SLOW,         /**< one server is 5 times slower */
	FAULT_LATE_REPORTS, /**< load reports 2 s late */
	FAULT_EVENT_LOSS,   /**< 20 % of cache events lost */
	FAULT_PARTITION,    /**< one region cut off for 3 minutes */
	FAULT_FLAP,         /**< one server dies and returns all the time */
	FAULT_HUNG_TOOLS,   /**< tools hang */
	FAULT_COUNT,
};

const char *fault_name(enum fault fault);

struct world_options {
	const struct params *params;
	struct sched_policy policy;
	enum fault fault;
	double load; /**< 1: all engines just busy */
	uint64_t seed;
};

struct world_program {
	struct plan plan;
	struct plan_turn turn;
	char id[PROGRAM_ID_BYTES];
	uint32_t node;
	uint32_t parent; /**< WORLD_NO_PROGRAM: none */
	uint32_t number; /**< of the turn */
	uint32_t agents_left;
	uint32_t engine;       /**< of the attempt under way */
	uint32_t engines_used; /**< bit set */
	uint32_t failures;
	uint64_t attempt;
	uint64_t history_tokens;
	uint64_t served_tokens;
	int64_t begun_us;
	int64_t submitted_us; /**< the present turn, first time */
	int64_t pauses_us;
	bool measured;
	bool ended;
};

struct world_node {
	struct sched *sched;
	struct counters counters;
	uint32_t region;
	uint64_t requests;
	int64_t timer_us;
};

struct world_engine {
	struct engine engine;
	uint32_t region;
	struct sched_load reports[WORLD_REPORTS];
	uint64_t reported;
};

struct world {
	struct params params;
	struct world_options options;
	struct events events;
	struct rng rng;   /**< of arrivals, the same for each policy */
	struct rng noise; /**< of lost events and schedulers */
	int64_t now_us;
	int64_t stop_us; /**< of arrivals */
	double rate;     /**< programs/s */
	struct world_node nodes[WORLD_NODES_MAX];
	uint32_t node_count;
	struct world_engine engines[WORLD_ENGINES_MAX];
	uint32_t engine_count;
	struct world_program *programs;
	uint32_t program_count;
	uint32_t program_cap;
	bool link_cut; /**< region 0 from the others */
	uint32_t fault_step;
	/* results */
	struct samples latency, system, urgent, others, imbalance;
	double longest_wait_s;
	double busy, memory; /**< sums over samples */
	uint64_t begun, refused, given_up, unfinished, finished, finished_in;
	uint64_t requests, far, sent;
	uint64_t history_tokens, lost_tokens;
	double recomputed_tokens, unused_tokens;
};

/** Runs and measures. */
void world_run(const struct world_options *options, struct measures *measures);

/* Between the source files of a run: */
void world_add(struct world *world, int64_t at_us, struct event event);
/** Returns the one-way delay between a node and an engine. */
int64_t
world_delay_us(const struct world *world, uint32_t node, uint32_t engine);
bool world_linked(const struct world *world, uint32_t node, uint32_t engine);
/** Takes what a node's scheduler has decided. */
void world_pump_node(struct world *world, uint32_t index);
/** Passes on what an engine has put out, and sets its next event. */
void world_pump_engine(struct world *world, uint32_t index);
void
world_begin_program(struct world *world, struct plan plan, uint32_t parent);
void world_handle_program(struct world *world, const struct event *event);
void world_handle_engine(struct world *world, const struct event *event);
void world_begin_fault(struct world *world);
void world_handle_fault(struct world *world, const struct event *event);
/** A call was refused. */
void world_refuse(struct world *world, uint32_t index, enum refusal reason);
/** Counts a program that has ended at a time. */
void world_count_program(
    struct world *world, const struct world_program *program, int64_t end_us);

#endif
