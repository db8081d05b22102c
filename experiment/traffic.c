#include "experiment/traffic.h"

#include <math.h>

#include "common/clock.h"

enum {
	TRAFFIC_SAMPLES = 20000, /**< programs that are averaged */
	/** added to the seeds of sub-agents, so that they do not repeat the
	 * random numbers of their parents */
	TRAFFIC_SUB_AGENT_SEED_OFFSET = 7919,
};

const char *
tool_name(enum tool tool)
{
	static const char *const names[TOOL_COUNT] = {
	    [TOOL_QUICK] = "lookup",
	    [TOOL_SLOW] = "render",
	    [TOOL_PERSON] = "person",
	};

	return names[tool];
}

static double
draw_lognormal(struct rng *rng, double median, double sigma)
{
	double radius = sqrt(-2 * log(1.0 - rng_real(rng)));
	double angle = 2 * M_PI * rng_real(rng);

	return median * exp(sigma * radius * cos(angle));
}

static uint64_t
draw_tokens(struct rng *rng, double median, double sigma)
{
	return 1 + (uint64_t)draw_lognormal(rng, median, sigma);
}

struct plan
plan_create(const struct params *params, uint64_t seed)
{
	struct plan plan = {0};
	struct rng *rng = &plan.rng;
	double turns;

	rng_init(rng, seed);
	turns = draw_lognormal(rng, params->turns_median, params->turns_sigma);
	plan.turns = 1 + (uint32_t)fmin(turns, params->turns_max - 1);
	plan.urgent = rng_real(rng) < params->urgent_share;
	if (plan.urgent) {
		plan.turns = 1 +
		    (uint32_t)rng_below(
			rng, (uint64_t)params->urgent_turns_max);
		return plan;
	}
	if (rng_real(rng) < params->loop_share)
		plan.turns = (uint32_t)params->loop_turns;
	plan.abandoned = rng_real(rng) < params->abandoned_share;
	if (plan.turns > 1 && rng_real(rng) < params->agent_share) {
		plan.agents_after_turn =
		    1 + (uint32_t)rng_below(rng, plan.turns - 1);
		plan.agents =
		    1 + (uint32_t)rng_below(rng, (uint64_t)params->agents_max);
	}
	return plan;
}

struct plan
plan_create_sub_agent(const struct params *params, uint64_t seed)
{
	struct plan plan = {.sub_agent = true};

	rng_init(&plan.rng, seed + TRAFFIC_SUB_AGENT_SEED_OFFSET);
	plan.turns = 1 +
	    (uint32_t)rng_below(&plan.rng, (uint64_t)params->agent_turns_max);
	return plan;
}

/* Sets the tool and pause of a turn. */
static void
plan_draw_pause(
    struct rng *rng, const struct params *params, struct plan_turn *turn)
{
	double kind = rng_real(rng);
	double pause_s;

	turn->tool = TOOL_SLOW;
	if (kind < params->person_share)
		turn->tool = TOOL_PERSON;
	else if (kind < params->person_share + params->quick_tool_share)
		turn->tool = TOOL_QUICK;
	if (turn->tool == TOOL_PERSON)
		pause_s = rng_pareto(
		    rng, params->person_minimum_s, params->person_shape);
	else
		pause_s = draw_lognormal(rng,
		    turn->tool == TOOL_QUICK ? params->quick_tool_median_s
					     : params->slow_tool_median_s,
		    params->tool_sigma);
	if (rng_real(rng) < params->hung_share || pause_s > params->pause_max_s)
		pause_s = params->pause_max_s;
	turn->pause_us = (int64_t)(pause_s * US_PER_S);
}

struct plan_turn
plan_next_turn(struct plan *plan, const struct params *params, uint32_t number)
{
	struct plan_turn turn = {0};
	struct rng *rng = &plan->rng;

	if (number > 1)
		turn.new_tokens = draw_tokens(
		    rng, params->tool_tokens_median, params->tool_tokens_sigma);
	else
		turn.new_tokens = draw_tokens(rng,
		    plan->urgent ? params->urgent_prompt_median
				 : params->first_prompt_median,
		    params->first_prompt_sigma);
	turn.answer_tokens = draw_tokens(
	    rng, params->answer_tokens_median, params->answer_tokens_sigma);
	plan_draw_pause(rng, params, &turn);
	return turn;
}

int64_t
traffic_interarrival_us(
    const struct params *params, double rate, struct rng *rng, int64_t now_us)
{
	double burst_share = params->burst_s / params->burst_every_s;
	/* Lowers the rate outside bursts so that the mean stays as given. */
	double calm_factor = 1 / (1 + burst_share * (params->burst_times - 1));
	double phase_s = fmod((double)now_us / US_PER_S, params->burst_every_s);
	double now_rate = rate * calm_factor;

	if (phase_s >= params->burst_every_s - params->burst_s)
		now_rate *= params->burst_times;
	return 1 + (int64_t)(rng_exponential(rng, US_PER_S / now_rate));
}

/* Returns the engine time of a program and its sub-agents in seconds. */
static double
traffic_plan_engine_s(
    const struct params *params, struct plan *plan, uint64_t seed)
{
	double token_s =
	    (params->step_ms / params->max_running + params->step_per_call_ms) /
	    MS_PER_S;
	uint32_t turns = plan->turns - plan->abandoned;
	double total = 0, history = 0;

	for (uint32_t number = 1; number <= turns; number++) {
		struct plan_turn turn = plan_next_turn(plan, params, number);

		history += (double)(turn.new_tokens + turn.answer_tokens);
		if (history > params->context_tokens)
			break;
		total += (double)turn.new_tokens / params->prefill_tokens_per_s;
		total += (double)turn.answer_tokens * token_s;
	}
	for (uint32_t i = 0; i < plan->agents; i++) {
		struct plan sub_agent = plan_create_sub_agent(params, seed + i);

		total += traffic_plan_engine_s(params, &sub_agent, 0);
	}
	return total;
}

double
traffic_mean_engine_s(const struct params *params)
{
	double total = 0;

	for (uint64_t i = 0; i < TRAFFIC_SAMPLES; i++) {
		struct rng rng = {.state = i};
		uint64_t seed = rng_next(&rng);
		struct plan plan = plan_create(params, seed);

		total += traffic_plan_engine_s(params, &plan, seed);
	}
	return total / TRAFFIC_SAMPLES;
}
