#include "experiment/decision_cost.h"

#include <stdint.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "route/sched.h"

enum {
	COST_PROGRAMS = 262, /**< programs on one node */
	COST_CALLS = 50000,  /**< calls timed with each number of servers */
	COST_CALL_INTERVAL_US = 60 * US_PER_MS,
};

static const size_t COST_SERVER_COUNTS[] = {12, 77, 770};

static struct sched *
cost_create_sched(size_t count, struct counters *counters)
{
	struct config_model model = {
	    .name = "model", .prefill_tokens_per_s = 8000};
	struct config config = {.models = &model,
	    .model_count = 1,
	    .server_count = count,
	    .limits = {.retry_share = 0.1, .max_attempts = 3}};
	struct sched_options options = {.region = "region-0",
	    .failure_domain = "domain-0",
	    .counters = counters,
	    .seed = 1};
	struct sched *sched = sched_create(&options);

	config.servers = xcalloc(count, sizeof(*config.servers));
	for (size_t i = 0; i < count; i++) {
		struct config_server *server = &config.servers[i];

		snprintf(server->name, NAME_BYTES, "server-%zu", i);
		snprintf(server->region, NAME_BYTES, "region-%zu", i % 2);
		snprintf(server->models[0], NAME_BYTES, "model");
		server->model_count = 1;
		server->kv_tokens = 500000;
		server->max_running = 32;
	}
	sched_set_config(sched, &config);
	free(config.servers);
	return sched;
}

/* Takes a call through all its stages: submission, dispatch, first token, end
 * and pause. */
static void
cost_run_call(struct sched *sched, uint64_t number, int64_t now_us)
{
	struct sched_request call = {.call_id = number,
	    .workspace = "workspace",
	    .model = "model",
	    .turn = 2,
	    .history_tokens = 10000,
	    .new_tokens = 500,
	    .deadline_us = INT64_MAX};
	struct sched_dispatch dispatch;
	enum refusal reason;

	snprintf(call.program, sizeof(call.program), "program-%d",
	    (int)(number % COST_PROGRAMS));
	if (sched_submit(sched, &call, now_us, &reason) == SCHED_REFUSED ||
	    !sched_next_dispatch(sched, now_us, &dispatch))
		return;
	sched_handle_first_token(sched, number, dispatch.server, now_us + 1);
	sched_handle_attempt_end(sched, number, dispatch.server, SCHED_DONE,
	    10700, 10000, now_us + 2, &reason);
	sched_handle_pause_begin(
	    sched, call.program, "workspace", "tool", now_us + 2);
}

static double
cost_measure_ns(size_t servers)
{
	struct counters *counters = xcalloc(1, sizeof(*counters));
	struct sched *sched = cost_create_sched(servers, counters);
	int64_t begun_us, elapsed_us;

	begun_us = clock_monotonic_us();
	for (uint64_t i = 1; i <= COST_CALLS; i++)
		cost_run_call(sched, i, (int64_t)i * COST_CALL_INTERVAL_US);
	elapsed_us = clock_monotonic_us() - begun_us;
	sched_destroy(sched);
	free(counters);
	return (double)elapsed_us * 1000 / COST_CALLS;
}

void
decision_cost_print(FILE *out)
{
	const size_t count =
	    sizeof(COST_SERVER_COUNTS) / sizeof(COST_SERVER_COUNTS[0]);
	double ns[sizeof(COST_SERVER_COUNTS) / sizeof(COST_SERVER_COUNTS[0])];

	for (size_t i = 0; i < count; i++) {
		ns[i] = cost_measure_ns(COST_SERVER_COUNTS[i]);
		fprintf(out, "%4zu servers, %d programs: %.0f ns a call\n",
		    COST_SERVER_COUNTS[i], COST_PROGRAMS, ns[i]);
	}
	fprintf(out, "slope: %.2f ns a server\n",
	    (ns[count - 1] - ns[0]) /
		(double)(COST_SERVER_COUNTS[count - 1] -
		    COST_SERVER_COUNTS[0]));
}
