#include "route/place.h"

#include <float.h>
#include <string.h>

#include "common/clock.h"
#include "route/admit.h"

enum {
	/** random candidates besides the servers with KV cache */
	PLACE_SAMPLES = 4,
	/** round trip between failure domains */
	PLACE_DOMAIN_RTT_US = 2 * 1500,
	/** round trip between regions */
	PLACE_REGION_RTT_US = 2 * 8 * US_PER_MS,
	/** penalty, as traffic between regions is billed */
	PLACE_REGION_PENALTY_US = 1 * US_PER_S,
	/** time per generated token of a server of unknown speed */
	PLACE_DEFAULT_DECODE_TOKEN_US = 25 * US_PER_MS,
	/** penalty of full KV memory for a new program */
	PLACE_FULL_MEMORY_PENALTY_US = 30 * US_PER_S,
	PLACE_RESPONSE_TOKENS = 200, /**< expected length of a response */
};

/** Load bound of prefix affinity, as a multiple of the mean number of calls. */
static const double PLACE_AFFINITY_BOUND = 1.25;
/** Delay of each other call on the server by a prefill, as a share of the
 * prefill's time. */
static const double PLACE_PREFILL_INTERFERENCE = 0.5;
/** Calls that may wait on a server, as a share of its batch size. */
static const double PLACE_QUEUE_SHARE = 0.5;

static bool
place_usable(const struct place_context *context, const struct route_call *call,
    const struct route_server *server)
{
	return server_has_model(server, call->request.model) &&
	    server_usable(server, context->now_us);
}

/* Returns a random usable server, or NULL. Avoids the server of the last failed
 * attempt unless it is the only usable one. */
static struct route_server *
place_random(const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;
	struct route_server *fallback = NULL;
	size_t index;

	if (servers->count == 0)
		return NULL;
	index = (size_t)rng_below(context->rng, servers->count);
	for (size_t i = 0; i < servers->count; i++) {
		struct route_server *server =
		    servers->items[(index + i) % servers->count];

		if (!place_usable(context, call, server))
			continue;
		if (server != call->failed_server)
			return server;
		fallback = server;
	}
	return fallback;
}

static struct route_server *
place_round_robin(
    const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;

	for (size_t i = 0; i < servers->count; i++) {
		size_t index = (*context->round_robin_index)++ % servers->count;

		if (place_usable(context, call, servers->items[index]))
			return servers->items[index];
	}
	return NULL;
}

static struct route_server *
place_less_loaded(const struct place_context *context, struct route_server *a,
    struct route_server *b)
{
	if (a == NULL || b == NULL)
		return a == NULL ? b : a;
	return server_estimated_calls(b, context->policy) <
		server_estimated_calls(a, context->policy)
	    ? b
	    : a;
}

static struct route_server *
place_least_loaded(
    const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;
	struct route_server *best = place_random(context, call);

	for (size_t i = 0; i < servers->count; i++) {
		if (place_usable(context, call, servers->items[i]))
			best =
			    place_less_loaded(context, best, servers->items[i]);
	}
	return best;
}

static struct route_server *
place_two_choices(
    const struct place_context *context, const struct route_call *call)
{
	struct route_server *first = place_random(context, call);

	return place_less_loaded(context, first, place_random(context, call));
}

static double
place_mean_calls(
    const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;
	int64_t calls = 0, count = 0;

	for (size_t i = 0; i < servers->count; i++) {
		if (!place_usable(context, call, servers->items[i]))
			continue;
		calls +=
		    server_estimated_calls(servers->items[i], context->policy);
		count++;
	}
	return count == 0 ? 0 : (double)calls / (double)count;
}

static struct route_server *
place_affinity(const struct place_context *context,
    const struct route_call *call, const struct route_program *program)
{
	struct route_server *warm;
	double bound;

	warm = program == NULL ? NULL : program->cache_entries[0].server;
	if (warm == NULL || !place_usable(context, call, warm))
		return place_two_choices(context, call);
	bound = PLACE_AFFINITY_BOUND * place_mean_calls(context, call) + 1;
	if ((double)server_estimated_calls(warm, context->policy) <= bound)
		return warm;
	return place_two_choices(context, call);
}

static double
place_distance_cost_us(
    const struct place_context *context, const struct route_server *server)
{
	if (strcmp(server->config.region, context->region) != 0)
		return PLACE_REGION_RTT_US + PLACE_REGION_PENALTY_US;
	if (strcmp(server->config.failure_domain, context->failure_domain) != 0)
		return PLACE_DOMAIN_RTT_US;
	return 0;
}

/* Returns the cost of running a call on a server: the expected time to its end,
 * plus penalties for recomputed tokens, KV memory in use and distance. */
static double
place_cost_us(const struct place_context *context,
    const struct route_call *call, const struct route_server *server,
    uint64_t cached_tokens)
{
	const struct sched_policy *policy = context->policy;
	const struct sched_request *request = &call->request;
	double prefill_token_us = US_PER_S / server->prefill_tokens_per_s;
	double decode_token_us = PLACE_DEFAULT_DECODE_TOKEN_US;
	double calls = (double)server_estimated_calls(server, policy);
	double excess_calls = calls - server->config.max_running;
	double recomputed_tokens = 0;
	double cost; /* first in prefill tokens, then in microseconds */

	if (server->decode_token_us > 0 && !policy->no_decode_speed)
		decode_token_us = server->decode_token_us;
	if (request->history_tokens > cached_tokens)
		recomputed_tokens =
		    (double)(request->history_tokens - cached_tokens);
	cost = recomputed_tokens + (double)request->new_tokens +
	    (double)server_estimated_prefill_tokens(server, policy);
	cost =
	    cost * prefill_token_us + PLACE_RESPONSE_TOKENS * decode_token_us;
	/* Recomputing the history also delays every other call in the batch. */
	cost += recomputed_tokens * prefill_token_us *
	    PLACE_PREFILL_INTERFERENCE * calls;
	if (excess_calls > 0)
		cost += excess_calls * PLACE_RESPONSE_TOKENS * decode_token_us /
		    server->config.max_running;
	if (queue_starts_program(call))
		cost += server_kv_utilization(server) *
		    PLACE_FULL_MEMORY_PENALTY_US;
	if (!policy->no_waste_price)
		cost +=
		    recomputed_tokens * context->limits->wasted_token_cost_us;
	return cost + place_distance_cost_us(context, server);
}

/* Returns whether a server without the program's KV cache may take the call. */
static bool
place_has_room(const struct place_context *context,
    const struct route_call *call, const struct route_server *server)
{
	double max_calls = server->config.max_running * (1 + PLACE_QUEUE_SHARE);

	if (queue_starts_program(call) &&
	    !admit_program_start(
		server, context->policy, context->now_us - call->submitted_us))
		return false;
	return (double)server_estimated_calls(server, context->policy) <
	    max_calls;
}

static struct route_server *
place_least_cost(const struct place_context *context,
    const struct route_call *call, const struct route_program *program)
{
	struct route_server
	    *candidates[PROGRAM_CACHE_ENTRIES_MAX + PLACE_SAMPLES];
	struct route_server *best = NULL;
	double best_us = DBL_MAX;
	size_t count = 0;

	for (size_t i = 0; program != NULL && i < PROGRAM_CACHE_ENTRIES_MAX;
	     i++) {
		struct route_server *warm = program->cache_entries[i].server;

		if (warm != NULL && warm != call->failed_server &&
		    place_usable(context, call, warm))
			candidates[count++] = warm;
	}
	for (size_t i = 0; i < PLACE_SAMPLES; i++)
		candidates[count++] = place_random(context, call);
	for (size_t i = 0; i < count; i++) {
		double cost_us;

		if (candidates[i] == NULL ||
		    (program_cached_tokens(program, candidates[i]) == 0 &&
			!place_has_room(context, call, candidates[i])))
			continue;
		cost_us = place_cost_us(context, call, candidates[i],
		    program_cached_tokens(program, candidates[i]));
		if (cost_us < best_us) {
			best_us = cost_us;
			best = candidates[i];
		}
	}
	return best;
}

static struct route_server *
place_by_policy(const struct place_context *context,
    const struct route_call *call, const struct route_program *program)
{
	switch (context->policy->routing) {
	case SCHED_ROUTE_COST:
		return place_least_cost(context, call, program);
	case SCHED_ROUTE_RANDOM:
		return place_random(context, call);
	case SCHED_ROUTE_ROUND_ROBIN:
		return place_round_robin(context, call);
	case SCHED_ROUTE_LEAST_LOADED:
		return place_least_loaded(context, call);
	case SCHED_ROUTE_TWO_CHOICES:
		return place_two_choices(context, call);
	case SCHED_ROUTE_AFFINITY:
		return place_affinity(context, call, program);
	}
	return NULL;
}

struct place_choice
place_call(const struct place_context *context, const struct route_call *call,
    const struct route_program *program)
{
	struct place_choice choice = {0};

	choice.server = place_by_policy(context, call, program);
	if (choice.server == NULL)
		return choice;
	choice.cached_tokens = program_cached_tokens(program, choice.server);
	if (choice.cached_tokens > call->request.history_tokens)
		choice.cached_tokens = call->request.history_tokens;
	return choice;
}
