/** @file
 * Generated agent traffic: programs with dependent calls, pauses, sub-agents,
 * urgent queries and loops. Each program has its own random number generator,
 * so that every policy gets the same programs.
 */
#ifndef EXPERIMENT_TRAFFIC_H
#define EXPERIMENT_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "experiment/params.h"

/** Kinds of tools that programs wait for. */
enum tool {
	TOOL_QUICK,
	TOOL_SLOW,
	TOOL_PERSON, /**< a person responds; heavy-tailed durations */
	TOOL_COUNT,
};

/** Planned course of a program, unknown to the scheduler. */
struct plan {
	struct rng rng;
	uint32_t turns; /**< number of turns */
	bool urgent;
	bool sub_agent;
	bool abandoned; /**< whether its caller goes away instead of the last
			   turn */
	/** turn after which sub-agents run; 0: never */
	uint32_t agents_after_turn;
	uint32_t agents; /**< number of sub-agents */
};

/** Planned turn of a program. */
struct plan_turn {
	uint64_t new_tokens;    /**< prompt tokens that the turn adds */
	uint64_t answer_tokens; /**< tokens that it generates */
	enum tool tool;         /**< tool that runs after it */
	int64_t pause_us;       /**< duration of the tool */
};

/** Returns a random program. */
struct plan plan_create(const struct params *params, uint64_t seed);
/** Returns a random sub-agent. */
struct plan plan_create_sub_agent(const struct params *params, uint64_t seed);
/** Returns the next random turn of a program; number counts from 1. */
struct plan_turn
plan_next_turn(struct plan *plan, const struct params *params, uint32_t number);
/** Returns the random time to the next arrival in microseconds. rate is the
 * mean in programs/s, bursts included. */
int64_t traffic_interarrival_us(
    const struct params *params, double rate, struct rng *rng, int64_t now_us);
/** Returns the mean engine time of a program in seconds, with a full batch
 * and a cache that never misses. */
double traffic_mean_engine_s(const struct params *params);
/** Returns the name of a tool, as the scheduler sees it. */
const char *tool_name(enum tool tool);

#endif
