#include "gateway/urgency.h"

#include "common/clock.h"
#include "common/hash.h"
#include "gateway/request.h"

static void
add_priority(struct urgency_priorities *priorities, uint32_t priority)
{
	uint32_t at = 0;

	while (at < priorities->count && priorities->values[at] < priority)
		at++;
	if (at < priorities->count && priorities->values[at] == priority)
		return;
	if (at == URGENCY_PRIORITIES_MAX)
		return;
	if (priorities->count < URGENCY_PRIORITIES_MAX)
		priorities->count++;
	for (uint32_t i = priorities->count - 1; i > at; i--)
		priorities->values[i] = priorities->values[i - 1];
	priorities->values[at] = priority;
}

/* Returns whether the priority of routes applies to some requests. */
static bool
routes_have_priority(const struct gateway_config *config)
{
	if (!config->has_workspaces)
		return true;
	for (const struct workspace *workspace = config->workspaces;
	     workspace != NULL; workspace = workspace->hh.next) {
		if (!workspace->has_priority)
			return true;
	}
	return false;
}

void
urgency_collect_priorities(
    struct urgency_priorities *priorities, const struct gateway_config *config)
{
	bool by_route = routes_have_priority(config);

	*priorities = (struct urgency_priorities){.version = config->version};
	for (const struct workspace *workspace = config->workspaces;
	     workspace != NULL; workspace = workspace->hh.next) {
		if (workspace->has_priority)
			add_priority(priorities, workspace->priority);
	}
	for (const struct route *route = config->routes; route != NULL;
	     route = route->hh.next) {
		if (route->kind == ROUTE_STREAM &&
		    (by_route || route->anonymous))
			add_priority(priorities, route->priority);
	}
}

struct need_rank
urgency_rank(const struct urgency_priorities *priorities, uint32_t priority)
{
	struct need_rank rank = {.count = priorities->count};

	while (
	    rank.rank < rank.count && priorities->values[rank.rank] < priority)
		rank.rank++;
	if (rank.count == 0)
		rank.count = 1;
	if (rank.rank == rank.count)
		rank.rank--;
	return rank;
}

static uint64_t
program_hash(const struct request *request)
{
	uint64_t hash = hash_text(request->attributes.program, 0);

	return request->workspace != NULL
	    ? hash_text(request->workspace->name, hash)
	    : hash;
}

static bool
has_need(const struct request *request)
{
	return request->attributes.has_finish_time &&
	    request->attributes.program[0] != '\0';
}

static void
count_turn(struct request *request, struct need *need)
{
	const struct attributes *attributes = &request->attributes;
	const struct need_turn turn = {
	    .program = program_hash(request),
	    .route = request->route->name,
	    .has_previous = attributes->previous_turn[0] != '\0',
	    .finish_within_us = attributes->finish_within_us,
	    .max_wait_us = request->deadline_us - request->received_us,
	};

	request->need_counted = true;
	request->need = need_turn_arrived(need, &turn, request->received_us);
}

int
urgency_of(struct request *request)
{
	struct urgency *urgency = &request->gateway->blackboard.urgency;
	struct need_state state;
	struct need_rank rank;
	int64_t now_us = clock_monotonic_us();

	if (request->route->kind != ROUTE_STREAM)
		return NEED_LEVEL_NONE;
	if (urgency->priorities.version != request->config->version)
		urgency_collect_priorities(
		    &urgency->priorities, request->config);
	if (!request->need_counted && has_need(request))
		count_turn(request, &urgency->need);
	state = request->need;
	state.left_us -= now_us - request->received_us;
	rank = urgency_rank(&urgency->priorities, request_priority(request));
	return need_urgency(&state, &rank, request->deadline_us - now_us);
}

void
urgency_handle_completed(const struct request *request)
{
	if (request->need_counted)
		need_turn_ended(&request->gateway->blackboard.urgency.need,
		    program_hash(request), true, clock_monotonic_us());
}
