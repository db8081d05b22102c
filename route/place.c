#include "route/place.h"

#include <float.h>
#include <string.h>

#include "common/clock.h"
#include "route/admit.h"

enum {
	PLACE_SAMPLES = 4, /**< random candidates beside the warm servers */
	PLACE_DOMAIN_US = 2 * 1500, /**< there and back */
	PLACE_REGION_US = 2 * 8 * US_PER_MS,
	PLACE_REGION_PRICE_US = 1 * US_PER_S, /**< of the billed link */
	PLACE_TOKEN_US = 25 * US_PER_MS,      /**< while a speed is unknown */
	PLACE_MEMORY_US = 30 * US_PER_S,      /**< price of a full memory */
	PLACE_ANSWER_TOKENS = 200, /**< expected length of an answer */
};

/** Load bound of prefix affinity: times the mean number of calls. */
static const double PLACE_AFFINITY_BOUND = 1.25;
/** Share of a prefill by which it delays each other call of the server. */
static const double PLACE_PREFILL_OTHERS = 0.5;
/** Calls that a server may have beyond those that it batches, as a share. */
static const double PLACE_QUEUE_SHARE = 0.5;

static bool
place_usable(const struct place_context *context, const struct route_call *call,
    const struct route_server *server)
{
	return server_has_model(server, call->request.model) &&
	    server_usable(server, context->now_us);
}

/* Draws a usable server; the failed one of the last attempt only when there is
 * no other. */
static struct route_server *
place_draw(const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;
	struct route_server *last = NULL;
	size_t at;

	if (servers->count == 0)
		return NULL;
	at = (size_t)rng_below(context->rng, servers->count);
	for (size_t i = 0; i < servers->count; i++) {
		struct route_server *server =
		    servers->items[(at + i) % servers->count];

		if (!place_usable(context, call, server))
			continue;
		if (server != call->failed_server)
			return server;
		last = server;
	}
	return last;
}

static struct route_server *
place_round_robin(
    const struct place_context *context, const struct route_call *call)
{
	const struct route_servers *servers = context->servers;

	for (size_t i = 0; i < servers->count; i++) {
		size_t at = (*context->round_robin_index)++ % servers->count;

		if (place_usable(context, call, servers->items[at]))
			return servers->items[at];
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
	struct route_server *best = place_draw(context, call);

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
	struct route_server *first = place_draw(context, call);

	return place_less_loaded(context, first, place_draw(context, call));
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
place_distance_us(
    const struct place_context *context, const struct route_server *server)
{
	if (strcmp(server->config.region, context->region) != 0)
		return PLACE_REGION_US + PLACE_REGION_PRICE_US;
	if (strcmp(server->config.failure_domain, context->failure_domain) != 0)
		return PLACE_DOMAIN_US;
	return 0;
}

/** Expected time to the end of the call on a server, plus the price of the
 * tokens that it would have to compute again. */
static double
place_cost_us(const struct place_context *context,
    const struct route_call *call, const struct route_server *server,
    uint64_t held_tokens)
{
	const struct sched_policy *policy = context->policy;
	const struct sched_request *request = &call->request;
	double prefill_us = US_PER_S / server->prefill_tokens_per_s;
	double token_us = PLACE_TOKEN_US;
	double calls = (double)server_estimated_calls(server, policy);
	double over = calls - server->config.max_running;
	double again = 0, work;

	if (server->decode_token_us > 0 && !policy->no_decode_speed)
		token_us = server->decode_token_us;
	if (request->history_tokens > held_tokens)
		again = (double)(request->history_tokens - held_tokens);
	work = again + (double)request->new_tokens +
	    (double)server_estimated_prefill_tokens(server, policy);
	work = work * prefill_us + PLACE_ANSWER_TOKENS * token_us;
	/* Prefill delays every call of the batch. */
	work += again * prefill_us * PLACE_PREFILL_OTHERS * calls;
	if (over > 0)
		work += over * PLACE_ANSWER_TOKENS * token_us /
		    server->config.max_running;
	if (queue_starts_program(call))
		work += server_kv_utilization(server) * PLACE_MEMORY_US;
	if (!policy->no_waste_price)
		work += again * context->limits->wasted_token_cost_us;
	return work + place_distance_us(context, server);
}

static bool
place_has_room(const struct place_context *context,
    const struct route_call *call, const struct route_server *server)
{
	double room = server->config.max_running * (1 + PLACE_QUEUE_SHARE);

	if (queue_starts_program(call) &&
	    !admit_program_start(
		server, context->policy, context->now_us - call->submitted_us))
		return false;
	return (double)server_estimated_calls(server, context->policy) < room;
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
		candidates[count++] = place_draw(context, call);
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
		return place_draw(context, call);
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
