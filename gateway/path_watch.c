#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/path_watch.h"
#include "gateway/peer_gateways.h"
#include "gateway/request.h"
#include "h1/probe.h"

enum {
	PROBE_TIMEOUT_US = 200 * US_PER_MS, /* several round trips */
	WAITING_MAX = 16,                   /* servers that are told apart */
};

struct path_watch {
	struct gateway *gateway;
	struct h1_probe *probe; /**< NULL: none in progress */
	int64_t lost_us;        /**< when the paths were lost */
};

struct path_watch *
path_watch_create(struct gateway *gateway)
{
	struct path_watch *watch = xcalloc(1, sizeof(*watch));

	watch->gateway = gateway;
	return watch;
}

void
path_watch_destroy(struct path_watch *watch)
{
	if (watch->probe != NULL)
		h1_probe_cancel(watch->probe);
	free(watch);
}

static struct reach *
reach_of(const struct path_watch *watch)
{
	return &watch->gateway->blackboard.reach;
}

static size_t
count_servers(const struct gateway *gateway)
{
	return HASH_COUNT(gateway->blackboard.backends.by_id);
}

void
path_watch_handle_failure(
    struct path_watch *watch, const struct backend *backend)
{
	struct gateway *gateway = watch->gateway;
	int64_t now_us = clock_monotonic_us();
	struct trace trace;

	if (!reach_handle_failure(
		reach_of(watch), backend->hash, count_servers(gateway), now_us))
		return;
	watch->lost_us = now_us;
	gateway->counters.path_losses_total++;
	trace_begin_unlimited(&trace, "servers_unreachable");
	trace_text(&trace, "server", backend->entry.id);
	trace_number(&trace, "servers", (int64_t)count_servers(gateway));
	trace_number(
	    &trace, "requests", (int64_t)list_length(&gateway->requests));
	trace_end(&trace);
	peer_gateways_announce_state(gateway->peer_gateways);
}

void
path_watch_handle_reached(struct path_watch *watch)
{
	struct trace trace;
	int64_t now_us = clock_monotonic_us();

	if (!reach_handle_reached(reach_of(watch), now_us))
		return;
	trace_begin_unlimited(&trace, "servers_reachable");
	trace_ms(&trace, "lost_ms", now_us - watch->lost_us);
	trace_end(&trace);
	peer_gateways_announce_state(watch->gateway->peer_gateways);
}

static bool
contains(
    const struct backend **servers, size_t count, const struct backend *server)
{
	for (size_t i = 0; i < count; i++) {
		if (servers[i] == server)
			return true;
	}
	return false;
}

/* Returns how many servers have had a request since a time or longer. */
static size_t
count_waiting_servers(const struct gateway *gateway, int64_t since_us)
{
	const struct backend *servers[WAITING_MAX];
	size_t count = 0;

	list_for_each (request, &gateway->requests, struct request, link) {
		const struct forward *attempt = request->attempt;

		if (attempt != NULL && attempt->started_us <= since_us &&
		    count < WAITING_MAX &&
		    !contains(servers, count, attempt->backend))
			servers[count++] = attempt->backend;
	}
	return count;
}

static void
handle_probe_done(void *context, enum h1_probe_result result)
{
	struct path_watch *watch = context;

	watch->probe = NULL;
	if (result == H1_PROBE_OPEN)
		path_watch_handle_reached(watch);
}

/* Returns a server that accepts requests, chosen at random, or NULL. Those at
 * which no connection has failed lately go first. */
static const struct backend *
choose_probed(const struct path_watch *watch)
{
	const struct backends *backends = &watch->gateway->blackboard.backends;
	int64_t now_us = clock_monotonic_us();
	const struct backend *chosen = NULL;
	bool chosen_avoided = true;
	uint64_t count = 0;

	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		bool avoided = backend->avoid_until_us > now_us;

		if (!backend_is_available(backend, backend->entry.service) ||
		    (avoided && !chosen_avoided))
			continue;
		if (!avoided && chosen_avoided)
			count = 0;
		count++;
		if (rng_below(&watch->gateway->rng, count) != 0)
			continue;
		chosen = backend;
		chosen_avoided = avoided;
	}
	return chosen;
}

void
path_watch_probe(struct path_watch *watch)
{
	const struct backend *backend;

	if (watch->probe != NULL)
		return;
	backend = choose_probed(watch);
	if (backend != NULL)
		watch->probe = h1_probe_start(&watch->gateway->loop,
		    backend->entry.address, PROBE_TIMEOUT_US, handle_probe_done,
		    watch);
}

void
path_watch_tick(struct path_watch *watch)
{
	struct gateway *gateway = watch->gateway;
	int64_t now_us = clock_monotonic_us();

	reach_check_silence(reach_of(watch),
	    count_waiting_servers(gateway, reach_silence_start_us(now_us)),
	    now_us);
	if (watch->probe == NULL && reach_probe_is_due(reach_of(watch), now_us))
		path_watch_probe(watch);
}
