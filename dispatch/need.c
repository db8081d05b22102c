#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/need.h"

enum {
	/* Several times what a VM has in progress at the design target, 110,000
	 * programs on 420 VMs. */
	PROGRAMS_MAX = 4096,
	ROUTES_MAX = 256,
	/* A program without a turn for this time, and the time limit of one,
	 * has ended. Tool calls between two turns take a few seconds at most.
	 */
	PAUSE_MAX_US = 5 * US_PER_S,
	/* Fewer samples give no estimate. */
	SAMPLES_MIN = 20,
	/* Newer samples beyond this number have equal weight, so that the
	 * average follows the load. */
	SAMPLES_MAX = 200,
	/* Up to this number of levels the bounds of slack are further apart. */
	FEW_SLACK_LEVELS = 4,
};

/* The need is a mean, and some programs need much less. A program is late if it
 * has less than this share of the need left. In test-need 0.7 had more than
 * twice as many programs refused at 110 % load. */
static const double LATE_SHARE = 0.2;

static void
average_add(struct need_average *average, double sample)
{
	if (average->count < SAMPLES_MAX)
		average->count++;
	average->value += (sample - average->value) / average->count;
}

void
need_init(struct need *need)
{
	*need = (struct need){0};
	list_init(&need->by_age);
}

static void
program_free(struct need *need, struct need_program *program)
{
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_DEL(need->programs, program);
	list_remove(&program->link);
	free(program);
}

static void
route_free(struct need *need, struct need_route *route)
{
	struct need_program *program = NULL;
	struct need_program *next = NULL;

	HASH_ITER (hh, need->programs, program, next) {
		if (program->route == route)
			program_free(need, program);
	}
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_DEL(need->routes, route);
	free(route);
}

void
need_reset(struct need *need)
{
	while (need->routes != NULL)
		route_free(need, need->routes);
}

static struct need_route *
ensure_route(struct need *need, const char *name)
{
	struct need_route *route;

	HASH_FIND_STR(need->routes, name, route);
	if (route != NULL)
		return route;
	if (HASH_COUNT(need->routes) == ROUTES_MAX)
		route_free(need, need->routes);
	route = xcalloc(1, sizeof(*route));
	snprintf(route->route, sizeof(route->route), "%s", name);
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_ADD_STR(need->routes, route, route);
	return route;
}

/* Adds what the turns of a program have shown, which ended in time. Each part
 * of the progress counts once, whatever the number of its turns. */
static void
route_learn(struct need_route *route, const struct need_program *program)
{
	double total_us = (double)(program->ended_us - program->first_us);
	double turns = program->turns;

	average_add(
	    &route->left_us, total_us - (double)program->arrivals_us / turns);
	average_add(&route->turn_us, total_us / turns);
	for (size_t i = 0; program->aim_us > 0 && i < NEED_STEPS; i++) {
		double count = program->step_turns[i];
		double arrival_us = (double)program->step_arrivals_us[i];

		if (count > 0)
			average_add(&route->left_share[i],
			    (total_us - arrival_us / count) /
				(double)program->aim_us);
	}
}

static bool
has_ended(const struct need_program *program, int64_t now_us)
{
	return now_us - program->changed_us >=
	    PAUSE_MAX_US + program->max_wait_us;
}

static void
learn_from(const struct need_program *program)
{
	if (program->running == 0 && program->ended_us != 0 &&
	    program->ended_us <= program->due_us)
		route_learn(program->route, program);
}

/* Frees the programs that have ended, and those beyond the bound. */
static void
free_old_programs(struct need *need, int64_t now_us)
{
	list_for_each_safe (
	    program, tmp, &need->by_age, struct need_program, link) {
		bool ended = has_ended(program, now_us);

		if (!ended && HASH_COUNT(need->programs) < PROGRAMS_MAX)
			return;
		if (ended)
			learn_from(program);
		/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
		program_free(need, program);
	}
}

static struct need_program *
find_program(const struct need *need, uint64_t id)
{
	struct need_program *program;

	HASH_FIND(hh, need->programs, &id, sizeof(id), program);
	return program;
}

static struct need_program *
add_program(struct need *need, const struct need_turn *turn, int64_t now_us)
{
	struct need_program *program = xcalloc(1, sizeof(*program));

	program->id = turn->program;
	program->route = ensure_route(need, turn->route);
	program->first_us = now_us;
	program->max_wait_us = turn->max_wait_us;
	program->due_us = now_us + turn->finish_within_us;
	if (!turn->has_previous)
		program->aim_us = turn->finish_within_us;
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_ADD(hh, need->programs, id, sizeof(program->id), program);
	list_append(&need->by_age, &program->link);
	return program;
}

static void
program_touch(struct need *need, struct need_program *program, int64_t now_us)
{
	program->changed_us = now_us;
	list_remove(&program->link);
	list_append(&need->by_age, &program->link);
}

/* Returns the part of its time that a program has made progress through, by its
 * turns. The time that has passed would count waits as progress. */
static size_t
progress_step(const struct need_program *program)
{
	double share = program->turns * program->route->turn_us.value /
	    (double)program->aim_us;

	return share < 1 ? (size_t)(share * NEED_STEPS) : NEED_STEPS - 1;
}

static bool
step_is_known(const struct need_program *program)
{
	return program->aim_us > 0 &&
	    program->route->turn_us.count >= SAMPLES_MIN;
}

static void
program_add_turn(struct need_program *program, int64_t now_us)
{
	if (step_is_known(program)) {
		size_t step = progress_step(program);

		program->step_turns[step]++;
		program->step_arrivals_us[step] += now_us - program->first_us;
	}
	program->arrivals_us += now_us - program->first_us;
	program->turns++;
	program->running++;
}

static struct need_state
state_of(const struct need_program *program, int64_t now_us)
{
	const struct need_route *route = program->route;
	struct need_state state = {
	    .known = route->left_us.count >= SAMPLES_MIN,
	    .left_us = program->due_us - now_us,
	    .need_us = (int64_t)route->left_us.value,
	    .aim_us = program->aim_us,
	};

	if (step_is_known(program)) {
		const struct need_average *share =
		    &route->left_share[progress_step(program)];

		if (share->count >= SAMPLES_MIN)
			state.need_us =
			    (int64_t)(share->value * (double)program->aim_us);
	}
	return state;
}

struct need_state
need_turn_arrived(
    struct need *need, const struct need_turn *turn, int64_t now_us)
{
	struct need_program *program;
	struct need_state state;

	free_old_programs(need, now_us);
	program = find_program(need, turn->program);
	if (program == NULL)
		program = add_program(need, turn, now_us);
	/* A late program states 0, which tells nothing of how late it is. */
	if (turn->finish_within_us > 0)
		program->due_us = now_us + turn->finish_within_us;
	state = state_of(program, now_us);
	program_add_turn(program, now_us);
	program_touch(need, program, now_us);
	return state;
}

void
need_turn_ended(
    struct need *need, uint64_t program_id, bool completed, int64_t now_us)
{
	struct need_program *program = find_program(need, program_id);

	if (program == NULL || program->running == 0)
		return;
	program->running--;
	if (completed)
		program->ended_us = now_us;
	program_touch(need, program, now_us);
}

/* Returns the number of the first bound above the slack, of count levels. The
 * last bound is the slack that lasts for two waits of the longest time that a
 * turn can wait, and each one before is a fraction of it. */
static int
slack_level(int64_t slack_us, int64_t max_wait_us, int count)
{
	int64_t divisor = count > FEW_SLACK_LEVELS ? 2 : 4;
	int64_t bound_us = 2 * max_wait_us;
	int level = count - 1;

	while (level > 0 && slack_us < bound_us) {
		bound_us /= divisor;
		level--;
	}
	return level;
}

static bool
is_late(const struct need_state *state)
{
	return (double)state->left_us < LATE_SHARE * (double)state->need_us;
}

/* Returns whether the program will finish later than twice its time limit, when
 * it is worth nothing any more. */
static bool
is_too_late(const struct need_state *state)
{
	return state->aim_us > 0 &&
	    (double)(state->left_us + state->aim_us) <
	    LATE_SHARE * (double)state->need_us;
}

/* Returns the level within a band of width levels: programs that can be in time
 * by their slack, then those that are late, then those that are too late. */
static int
level_in_band(const struct need_state *state, int width, int64_t max_wait_us)
{
	int late_levels = width == NEED_LEVELS ? 2 : 1;
	int slack_levels = width - late_levels;
	int64_t slack_us = state->left_us - state->need_us;

	if (width == 1)
		return 0;
	if (is_too_late(state))
		return width - 1;
	if (is_late(state))
		return slack_levels;
	return slack_level(slack_us, max_wait_us, slack_levels);
}

int
need_urgency(const struct need_state *state, const struct need_rank *rank,
    int64_t max_wait_us)
{
	uint32_t count = rank->count < NEED_LEVELS ? rank->count : NEED_LEVELS;
	uint32_t place = rank->rank < count ? rank->rank : count - 1;
	int width = NEED_LEVELS / (int)count;

	if (!state->known && count == 1)
		return NEED_LEVEL_NONE;
	if (!state->known)
		return (int)place * width + width / 2;
	return (int)place * width + level_in_band(state, width, max_wait_us);
}
