/** @file
 * Agent traffic: programs with dependent calls, pauses, sub-agents, urgent
 * queries and loops. A program draws from its own random numbers, so that
 * each policy meets the same programs.
 */
#ifndef EXPERIMENT_TRAFFIC_H
#define EXPERIMENT_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "experiment/params.h"

enum tool {
	TOOL_QUICK,
	TOOL_SLOW,
	TOOL_PERSON, /**< a person answers; heavy tail */
	TOOL_COUNT,
};

/** What a program is going to do; its scheduler does not know. */
struct plan {
	struct rng rng;
	uint32_t turns;
	bool urgent;
	bool sub_agent;
	bool abandoned; /**< its caller goes away instead of the last turn */
	uint32_t agents_at; /**< turn after which sub-agents run; 0: none */
	uint32_t agents;
};

/** One turn. */
struct plan_turn {
	uint64_t new_tokens;
	uint64_t answer_tokens;
	enum tool tool; /**< that runs after it */
	int64_t pause_us;
};

/** Draws a program. */
struct plan plan_create(const struct params *params, uint64_t seed);
/** Draws a sub-agent. */
struct plan plan_create_child(const struct params *params, uint64_t seed);
/** Draws the next turn (1, 2, ...). */
struct plan_turn
plan_next(struct plan *plan, const struct params *params, uint32_t number);
/** Returns the time to the next arrival at a rate in programs/s that bursts
 * are part of. */
int64_t traffic_gap_us(
    const struct params *params, double rate, struct rng *rng, int64_t now_us);
/** Returns the mean engine time in seconds that a program takes with a full
 * batch and a cache that never misses. */
double traffic_program_s(const struct params *params);
const char *tool_name(enum tool tool);

#endif
