/** @file
 * Parameters of an experiment, read from an INI file: deployment, limits,
 * engine and traffic. docs/EXPERIMENTS.md describes each of them.
 */
#ifndef EXPERIMENT_PARAMS_H
#define EXPERIMENT_PARAMS_H

#include <stdbool.h>

#include "common/finding.h"

/* X(section, key, default) for each parameter; keys name their units */
#define PARAM_LIST(X) \
	X(deployment, regions, 3) \
	X(deployment, runners, 10) \
	X(deployment, nodes, 12) \
	X(deployment, domain_delay_ms, 1.5) \
	X(deployment, region_delay_ms, 8) \
	X(deployment, client_delay_ms, 3) \
	X(limits, wasted_token_cost_us, 100) \
	X(limits, retry_share, 0.1) \
	X(limits, max_attempts, 3) \
	X(limits, abandoned_after_s, 600) \
	X(engine, prefill_tokens_per_s, 8000) \
	X(engine, prefill_chunk_tokens, 512) \
	X(engine, step_ms, 12) \
	X(engine, step_per_call_ms, 0.4) \
	X(engine, kv_tokens, 500000) \
	X(engine, max_running, 32) \
	X(engine, report_interval_ms, 500) \
	X(engine, report_lag_ms, 500) \
	X(engine, event_lag_ms, 1000) \
	X(engine, event_loss, 0.02) \
	X(traffic, warm_up_s, 120) \
	X(traffic, measured_s, 600) \
	X(traffic, drain_s, 600) \
	X(traffic, turns_median, 8) \
	X(traffic, turns_sigma, 0.9) \
	X(traffic, turns_max, 390) \
	X(traffic, first_prompt_median, 3000) \
	X(traffic, first_prompt_sigma, 0.7) \
	X(traffic, tool_tokens_median, 500) \
	X(traffic, tool_tokens_sigma, 1.0) \
	X(traffic, answer_tokens_median, 150) \
	X(traffic, answer_tokens_sigma, 0.7) \
	X(traffic, context_tokens, 270000) \
	X(traffic, quick_tool_share, 0.6) \
	X(traffic, quick_tool_median_s, 0.5) \
	X(traffic, slow_tool_median_s, 4) \
	X(traffic, tool_sigma, 0.8) \
	X(traffic, person_share, 0.05) \
	X(traffic, person_minimum_s, 20) \
	X(traffic, person_shape, 1.5) \
	X(traffic, pause_max_s, 300) \
	X(traffic, hung_share, 0.001) \
	X(traffic, urgent_share, 0.1) \
	X(traffic, urgent_turns_max, 3) \
	X(traffic, urgent_prompt_median, 1500) \
	X(traffic, agent_share, 0.1) \
	X(traffic, agents_max, 3) \
	X(traffic, agent_turns_max, 6) \
	X(traffic, loop_share, 0.01) \
	X(traffic, loop_turns, 60) \
	X(traffic, abandoned_share, 0.02) \
	X(traffic, burst_every_s, 300) \
	X(traffic, burst_s, 30) \
	X(traffic, burst_times, 2)

/** Parameters of an experiment. */
struct params {
	char name[64]; /**< name of the deployment */
#define PARAM_FIELD(section, key, value) double key;
	PARAM_LIST(PARAM_FIELD)
#undef PARAM_FIELD
};

/** Sets all parameters to their defaults. */
void params_defaults(struct params *params);
/** Reads an INI file over the values in params and checks the result. Adds each
 * fault to findings, and returns whether there are no findings. */
bool
params_load(struct params *params, const char *path, struct findings *findings);

#endif
