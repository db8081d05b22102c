/** @file
 * Simulation of one run in virtual time: nodes with a scheduler each, engines,
 * programs and faults.
 */
#ifndef EXPERIMENT_SIMULATION_H
#define EXPERIMENT_SIMULATION_H

#include "experiment/engine.h"
#include "experiment/events.h"
#include "experiment/measure.h"
#include "experiment/traffic.h"
#include "route/sched.h"

enum {
	SIMULATION_ENGINES_MAX = 32, /**< bits of engines_used */
	SIMULATION_NODES_MAX = 32,
	SIMULATION_REPORTS_MAX = 32, /**< load reports of an engine in flight */
	SIMULATION_NO_PROGRAM = UINT32_MAX,
	SIMULATION_ALL_REGIONS = UINT32_MAX,
};

/** Faults that a run can inject. */
enum fault {
	FAULT_NONE,
	FAULT_CRASH,        /**< a server crashes each minute */
	FAULT_SLOW,         /**< one server is 5 times slower */
	FAULT_LATE_REPORTS, /**< load reports arrive 2 s late */
	FAULT_EVENT_LOSS,   /**< 20 % of cache events are lost */
	FAULT_PARTITION,    /**< one region is cut off for 3 minutes */
	FAULT_FLAP,         /**< one server crashes and restarts every 10 s */
	FAULT_HUNG_TOOLS,   /**< 2 % of tool calls hang */
	FAULT_COUNT,
};

/** Returns the name of a fault on the command line and in reports. */
const char *fault_name(enum fault fault);

/** Options of a run. */
struct simulation_options {
	const struct params *params;
	struct sched_policy policy;
	enum fault fault;
	double load; /**< offered load; 1 keeps all engines just busy */
	uint64_t seed;
};

/** State of a program. */
struct simulation_program {
	struct plan plan;
	struct plan_turn turn; /**< current turn */
	char id[PROGRAM_ID_BYTES];
	uint32_t node;
	uint32_t parent; /**< index of the program that started this sub-agent,
			    or SIMULATION_NO_PROGRAM */
	uint32_t turn_number;  /**< number of the current turn, from 1 */
	uint32_t agents_left;  /**< sub-agents still running */
	uint32_t engine;       /**< engine of the current attempt */
	uint32_t engines_used; /**< bit set of engines its calls were sent to */
	uint32_t failures;     /**< calls refused or given up so far */
	uint64_t attempt; /**< number of the current attempt; events of older
			     attempts are ignored */
	uint64_t history_tokens;
	uint64_t served_tokens; /**< tokens processed for it so far */
	int64_t begun_us;
	int64_t submitted_us; /**< first submission of the current turn */
	int64_t pauses_us;    /**< total of its pauses */
	bool measured;        /**< whether it counts in the results */
	bool ended;
};

/** A VM with its scheduler. */
struct simulation_node {
	struct sched *sched;
	struct counters counters;
	uint32_t region;
	uint64_t requests; /**< calls submitted */
	int64_t timer_us;  /**< time of its timer event */
};

/** A backend server. */
struct simulation_engine {
	struct engine engine;
	uint32_t region;
	/** ring of load reports in flight */
	struct sched_load reports[SIMULATION_REPORTS_MAX];
	uint64_t reported; /**< number of reports so far */
};

/** State and results of a run. */
struct simulation {
	struct params params;
	struct simulation_options options;
	struct events events;
	struct rng rng;   /**< for arrivals, the same for each policy */
	struct rng noise; /**< for lost events and the schedulers' seeds */
	int64_t now_us;
	int64_t stop_us; /**< end of arrivals */
	double rate;     /**< arrivals in programs/s */
	struct simulation_node nodes[SIMULATION_NODES_MAX];
	uint32_t node_count;
	struct simulation_engine engines[SIMULATION_ENGINES_MAX];
	uint32_t engine_count;
	struct simulation_program *programs;
	uint32_t program_count;
	uint32_t program_cap;
	bool partitioned;    /**< whether region 0 is cut off from the others */
	uint32_t fault_step; /**< number of EVENT_FAULT events so far */
	/** Samples, named after the measures computed from them. */
	struct samples latency, system, urgent, others, imbalance;
	double longest_wait_s;
	double busy, memory; /**< sums over the load samples */
	/** Numbers of programs; finished_in_period: finished within the
	 * measured period. */
	uint64_t begun, refused, given_up, unfinished, finished,
	    finished_in_period;
	/** Numbers of calls submitted, sent to another region, and sent. */
	uint64_t requests, cross_region_calls, sent;
	uint64_t history_tokens, lost_tokens;
	double recomputed_tokens, unused_tokens;
};

/** Runs a simulation and fills in its measures. */
void simulation_run(
    const struct simulation_options *options, struct measures *measures);

/* The rest is private to the source files simulation*.c. */

/** Schedules an event at a time. */
void simulation_schedule(
    struct simulation *simulation, int64_t at_us, struct event event);
/** Returns the one-way network delay between a node and an engine in
 * microseconds. */
int64_t simulation_delay_us(
    const struct simulation *simulation, uint32_t node, uint32_t engine);
/** Returns whether no partition separates a node and an engine. */
bool simulation_is_reachable(
    const struct simulation *simulation, uint32_t node, uint32_t engine);
/** Carries out the pending decisions of a node's scheduler, and schedules the
 * node's next timer event. */
void simulation_process_node(struct simulation *simulation, uint32_t index);
/** Passes on the outputs of an engine, and schedules its next timer event. */
void simulation_process_engine(struct simulation *simulation, uint32_t index);
/** Begins a program now. parent is the index of the program that starts it as a
 * sub-agent, or SIMULATION_NO_PROGRAM. */
void simulation_begin_program(
    struct simulation *simulation, struct plan plan, uint32_t parent);
/** Handles an event of a program. */
void simulation_handle_program(
    struct simulation *simulation, const struct event *event);
/** Handles an event of an engine. */
void simulation_handle_engine(
    struct simulation *simulation, const struct event *event);
/** Applies the fault of the options, or schedules its first step. */
void simulation_start_fault(struct simulation *simulation);
/** Handles an event of a fault, or of health probes. */
void simulation_handle_fault(
    struct simulation *simulation, const struct event *event);
/** Handles the refusal of a program's call. A new program that is refused for
 * overload ends. Otherwise the caller retries the call after a delay, and gives
 * up after many refusals. */
void simulation_handle_refusal(
    struct simulation *simulation, uint32_t index, enum refusal reason);
/** Records the latency of a program that ended at end_us, if it is measured. */
void simulation_record_program(struct simulation *simulation,
    const struct simulation_program *program, int64_t end_us);

#endif
