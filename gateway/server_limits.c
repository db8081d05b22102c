#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "dispatch/limits.h"
#include "dispatch/permits.h"
#include "gateway/peer_gateways.h"
#include "gateway/request.h"
#include "gateway/server_limits.h"

enum {
	/* Some round trips between regions. A later permit is not used. */
	REPLY_TIMEOUT_US = 100 * US_PER_MS,
	/* Permits that a request asks for before it does without them. Each
	 * denial costs a round trip. */
	ASKS_MAX = 2,
};

/* Requests a second are sent to other gateways as requests in 1000 s. */
static const double PER_1000_S = 1000;

struct server_limits {
	struct gateway *gateway;
	struct permits permits;      /**< given by this gateway */
	struct permit_wait *waiting; /**< uthash by number */
	uint64_t last_number;
};

struct server_limits *
server_limits_create(struct gateway *gateway)
{
	struct server_limits *server_limits =
	    xcalloc(1, sizeof(*server_limits));

	server_limits->gateway = gateway;
	return server_limits;
}

void
server_limits_destroy(struct server_limits *server_limits)
{
	permits_reset(&server_limits->permits);
	free(server_limits);
}

static struct limits *
limits_of(const struct server_limits *server_limits)
{
	return &server_limits->gateway->blackboard.backends.limits;
}

static void
trace_limit(const char *server, const struct limit_statement *statement,
    const char *source)
{
	struct trace trace;

	trace_begin(
	    &trace, statement->limited ? "server_limit" : "server_limit_ended");
	trace_text(&trace, "server", server);
	if (statement->limited)
		trace_number(&trace, "per_1000_s",
		    (int64_t)(statement->per_s * PER_1000_S));
	trace_text(&trace, "source", source);
	trace_end(&trace);
}

/* Returns the id of a server from its hash, or NULL if it is not listed. */
static const char *
server_id(const struct server_limits *server_limits, uint64_t server)
{
	const struct backend *backend = backends_find_hash(
	    &server_limits->gateway->blackboard.backends, server);

	return backend != NULL ? backend->entry.id : NULL;
}

static struct message_server_limit
encode_statement(const struct server_start *start,
    const struct limit_statement *statement, int64_t now_us)
{
	return (struct message_server_limit){
	    .server_hash = start->server,
	    .started_wall_ms = start->started_wall_ms,
	    .limited = statement->limited,
	    .per_1000_s = (uint64_t)(statement->per_s * PER_1000_S),
	    .age_us = now_us - statement->stated_us,
	};
}

/* Applies what another gateway knows of a server. It was stated to that one, so
 * it is not passed on. */
static struct server_start
apply_remote(struct server_limits *server_limits,
    const struct message_server_limit *remote, const char *vm)
{
	const struct server_start start = {
	    .server = remote->server_hash,
	    .started_wall_ms = remote->started_wall_ms,
	};
	const struct limit_statement statement = {
	    .limited = remote->limited,
	    .per_s = (double)remote->per_1000_s / PER_1000_S,
	    .stated_us = clock_monotonic_us() - remote->age_us,
	};

	if (limits_apply(limits_of(server_limits), &start, &statement))
		trace_limit(
		    server_id(server_limits, start.server), &statement, vm);
	return start;
}

/* A server in trouble may leave out of its errors that it is in need still. */
static bool
tells_of_limit(const struct backend_response *response)
{
	switch (response->limit.kind) {
	case LIMIT_STATED:
		return true;
	case LIMIT_ABSENT:
		return response->status / 100 == 2;
	case LIMIT_MALFORMED:
		return false;
	}
	return false;
}

void
server_limits_handle_response(struct server_limits *server_limits,
    const struct server_start *start, const struct backend_response *response,
    int64_t sent_us, const char *request_id)
{
	const struct stated_limit *stated = &response->limit;
	int64_t now_us = clock_monotonic_us();
	const struct limit_statement statement = {
	    .limited = stated->kind == LIMIT_STATED,
	    .per_s = stated->per_s,
	    .stated_us = stated->kind == LIMIT_STATED ? now_us : sent_us,
	};
	struct message message = {.type = MESSAGE_SERVER_LIMIT};

	if (!tells_of_limit(response) ||
	    !limits_apply(limits_of(server_limits), start, &statement))
		return;
	trace_limit(
	    server_id(server_limits, start->server), &statement, request_id);
	message.server_limit = encode_statement(start, &statement, now_us);
	peer_gateways_broadcast(
	    server_limits->gateway->peer_gateways, &message);
}

static bool
coordinates(const struct gateway *gateway, uint64_t server, const char *domain)
{
	return strcmp(peer_gateways_coordinator(
			  gateway->peer_gateways, server, domain),
		   gateway->settings.vm_name) == 0;
}

struct backend *
server_limits_choose_check(const struct request *request)
{
	struct gateway *gateway = request->gateway;
	struct backends *backends = &gateway->blackboard.backends;
	int64_t now_us = clock_monotonic_us();

	if (request->tried_count > 0 || !server_limits_may_ask(request))
		return NULL;
	for (struct limit *limit = backends->limits.entries; limit != NULL;
	     limit = limit->hh.next) {
		struct backend *backend =
		    backends_find_hash(backends, limit->start.server);

		if (backend != NULL &&
		    backend_limit(backends, backend) == limit &&
		    backend_is_available(backend, request->service) &&
		    limit_check_is_due(limit, now_us) &&
		    coordinates(
			gateway, backend->hash, backend->entry.failure_domain))
			return backend;
	}
	return NULL;
}

/* Gives a permit for a server that this gateway coordinates. */
static struct permit
give_permit(struct server_limits *server_limits, const struct limit *limit,
    int64_t max_wait_us)
{
	size_t known;
	size_t live;
	struct permit_terms terms = {
	    .per_s = limit->statement.per_s,
	    .max_wait_us = max_wait_us,
	};
	struct permit permit;

	peer_gateways_count(
	    server_limits->gateway->peer_gateways, &known, &live);
	terms.share = permits_share(live, known);
	permit = permits_take(&server_limits->permits, limit->start.server,
	    &terms, clock_monotonic_us());
	if (permit.granted)
		server_limits->gateway->counters.permits_granted_total++;
	else
		server_limits->gateway->counters.permits_denied_total++;
	return permit;
}

int64_t
server_limits_max_wait_us(const struct request *request)
{
	const struct permit_claim claim = {
	    .priority = request_priority(request),
	    .begins_program = request->turn != NULL &&
		request->attributes.previous_turn[0] == '\0',
	    .left_us = request->deadline_us - clock_monotonic_us(),
	};

	return permits_max_wait_us(&claim);
}

bool
server_limits_may_ask(const struct request *request)
{
	return request->permit_wait.asked < ASKS_MAX;
}

static void
start_wait(struct request *request, const struct backend *backend)
{
	struct server_limits *server_limits = request->gateway->server_limits;
	struct permit_wait *wait = &request->permit_wait;

	wait->number = ++server_limits->last_number;
	memcpy(wait->server, backend->entry.id, NAME_BYTES);
	wait->server_started_wall_ms = backend->entry.started_wall_ms;
	wait->granted = false;
	HASH_ADD(
	    hh, server_limits->waiting, number, sizeof(wait->number), wait);
}

void
server_limits_cancel(struct request *request)
{
	struct permit_wait *wait = &request->permit_wait;

	if (wait->number == 0)
		return;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(request->gateway->server_limits->waiting, wait);
	wait->number = 0;
}

/* Handles the coordinator's decision on a request that waits. */
static enum permit_result
apply_permit(
    struct request *request, struct limit *limit, const struct permit *permit)
{
	int64_t now_us = clock_monotonic_us();
	int64_t next_us = now_us + permit->wait_us;

	if (limit != NULL && permit->granted && limit->statement.per_s > 0)
		next_us += (int64_t)(US_PER_S / limit->statement.per_s);
	/* Others take the permits that become free: asks again later than it
	 * might, so that most requests are not delayed by a denial. */
	if (!permit->granted)
		next_us += server_limits_max_wait_us(request);
	if (limit != NULL)
		limit_expect_permit(limit, next_us);
	if (!permit->granted || permit->wait_us == 0) {
		server_limits_cancel(request);
		return permit->granted ? PERMIT_GRANTED : PERMIT_DENIED;
	}
	request->permit_wait.granted = true;
	request->permit_wait.due_us = now_us + permit->wait_us;
	return PERMIT_PENDING;
}

static void
ask_coordinator(struct request *request, const struct backend *backend,
    const struct limit *limit, const char *coordinator)
{
	struct message message = {.type = MESSAGE_PERMIT_GET};
	struct message_permit_get *get = &message.permit_get;
	int64_t now_us = clock_monotonic_us();

	get->number = request->permit_wait.number;
	get->limit = encode_statement(&limit->start, &limit->statement, now_us);
	memcpy(get->failure_domain, backend->entry.failure_domain, NAME_BYTES);
	get->max_wait_us = server_limits_max_wait_us(request);
	request->permit_wait.due_us = now_us + REPLY_TIMEOUT_US;
	peer_gateways_send(
	    request->gateway->peer_gateways, coordinator, &message);
}

enum permit_result
server_limits_take_permit(
    struct request *request, const struct backend *backend)
{
	struct gateway *gateway = request->gateway;
	struct limit *limit =
	    backend_limit(&gateway->blackboard.backends, backend);
	const char *coordinator;
	struct permit permit;

	if (limit == NULL)
		return PERMIT_GRANTED;
	coordinator = peer_gateways_coordinator(gateway->peer_gateways,
	    backend->hash, backend->entry.failure_domain);
	start_wait(request, backend);
	if (strcmp(coordinator, gateway->settings.vm_name) != 0) {
		request->permit_wait.asked++;
		ask_coordinator(request, backend, limit, coordinator);
		return PERMIT_PENDING;
	}
	permit = give_permit(
	    gateway->server_limits, limit, server_limits_max_wait_us(request));
	return apply_permit(request, limit, &permit);
}

/* Returns the backend of a granted permit if it still accepts requests. */
static struct backend *
permitted_backend(const struct request *request)
{
	const struct permit_wait *wait = &request->permit_wait;
	struct backend *backend =
	    backends_find(&request->gateway->blackboard.backends, wait->server);

	if (backend == NULL ||
	    backend->entry.started_wall_ms != wait->server_started_wall_ms ||
	    !backend_is_available(backend, request->service))
		return NULL;
	return backend;
}

static void
handle_unanswered(struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct permit_wait *wait = &request->permit_wait;
	const struct backend *backend =
	    backends_find(&gateway->blackboard.backends, wait->server);
	struct limit *limit = backend != NULL
	    ? backend_limit(&gateway->blackboard.backends, backend)
	    : NULL;

	gateway->counters.permits_unanswered_total++;
	if (limit != NULL)
		limit_expect_permit(
		    limit, clock_monotonic_us() + PERMIT_PAUSE_US);
	server_limits_cancel(request);
	request_dispatch(request);
}

static void
send_permitted(struct request *request)
{
	struct backend *backend = permitted_backend(request);

	server_limits_cancel(request);
	if (backend != NULL)
		request_send(request, backend);
	else
		request_dispatch(request);
}

void
server_limits_handle_due(struct request *request)
{
	if (request->permit_wait.granted)
		send_permitted(request);
	else
		handle_unanswered(request);
}

/* Handles the coordinator's reply. It may know of a later statement. */
static void
handle_permit(
    struct server_limits *server_limits, const struct message *message)
{
	const struct message_permit *reply = &message->permit;
	const struct server_start start =
	    apply_remote(server_limits, &reply->limit, message->sender);
	struct limit *limit = limits_find(limits_of(server_limits), &start);
	const struct permit permit = {
	    .granted = reply->granted || limit == NULL,
	    .wait_us = limit != NULL ? reply->wait_us : 0,
	};
	struct permit_wait *wait;
	struct request *request;

	HASH_FIND(hh, server_limits->waiting, &reply->number,
	    sizeof(reply->number), wait);
	if (wait == NULL || wait->granted)
		return;
	request = list_entry(wait, struct request, permit_wait);
	switch (apply_permit(request, limit, &permit)) {
	case PERMIT_GRANTED:
		send_permitted(request);
		return;
	case PERMIT_PENDING:
		request_arm_timer(request);
		return;
	case PERMIT_DENIED:
		request_dispatch(request);
		return;
	}
}

/* Returns the reply to a request for a permit. A gateway that is not the
 * coordinator, as far as it knows, gives none: another one may. */
static struct permit
permit_for(struct server_limits *server_limits,
    const struct message_permit_get *get, const struct limit *limit)
{
	if (limit == NULL) /* it ended after the sender heard of it */
		return (struct permit){.granted = true};
	if (!coordinates(server_limits->gateway, get->limit.server_hash,
		get->failure_domain))
		return (struct permit){.wait_us = PERMIT_PAUSE_US};
	return give_permit(server_limits, limit, get->max_wait_us);
}

static void
handle_permit_get(
    struct server_limits *server_limits, const struct message *message)
{
	const struct message_permit_get *get = &message->permit_get;
	const struct server_start start =
	    apply_remote(server_limits, &get->limit, message->sender);
	const struct limits *limits = limits_of(server_limits);
	const struct limit_statement *latest = limits_latest(limits, &start);
	struct permit permit =
	    permit_for(server_limits, get, limits_find(limits, &start));
	struct message reply = {
	    .type = MESSAGE_PERMIT,
	    .permit =
		{
		    .number = get->number,
		    .limit = get->limit,
		    .granted = permit.granted,
		    .wait_us = permit.wait_us,
		},
	};

	if (latest != NULL)
		reply.permit.limit =
		    encode_statement(&start, latest, clock_monotonic_us());
	peer_gateways_send(
	    server_limits->gateway->peer_gateways, message->sender, &reply);
}

void
server_limits_handle_message(
    struct server_limits *server_limits, const struct message *message)
{
	switch (message->type) {
	case MESSAGE_SERVER_LIMIT:
		apply_remote(
		    server_limits, &message->server_limit, message->sender);
		return;
	case MESSAGE_PERMIT_GET:
		handle_permit_get(server_limits, message);
		return;
	case MESSAGE_PERMIT:
		handle_permit(server_limits, message);
		return;
	default:
		return;
	}
}
