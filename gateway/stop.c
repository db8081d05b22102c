#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/ownership.h"
#include "gateway/peer_gateways.h"
#include "gateway/request.h"
#include "gateway/stop.h"
#include "gateway/turn.h"

enum {
	/* Callers cache an address for two seconds, the lifetime that the
	 * directory gives it; until then they may still send requests, also on
	 * new connections. */
	ADDRESS_EXPIRY_US = 2500 * US_PER_MS,
	/* Connections of callers that are idle for longer are closed. */
	CONNECTION_IDLE_US = 1500 * US_PER_MS,
	/* Reserved at the end of the grace period to send error responses to
	 * the requests that are left. */
	GRACE_MARGIN_US = 400 * US_PER_MS,
	/* Reserved for what is left to do after these responses were sent. */
	EXIT_MARGIN_US = 150 * US_PER_MS,
};

void
stop_begin(struct gateway *gateway)
{
	struct trace trace;

	if (gateway->blackboard.stopping)
		return;
	gateway->blackboard.stopping = true;
	gateway->blackboard.stop_started_us = clock_monotonic_us();
	trace_begin_unlimited(&trace, "stopping");
	trace_number(
	    &trace, "requests", (int64_t)list_length(&gateway->requests));
	trace_number(&trace, "connections",
	    (int64_t)h1_server_connections(gateway->caller_server));
	trace_end(&trace);
	h1_server_drain(gateway->caller_server, CONNECTION_IDLE_US);
	if (gateway->relay_server != NULL)
		h1_server_drain(gateway->relay_server, CONNECTION_IDLE_US);
	ownership_leave(gateway->ownership);
	peer_gateways_announce_state(gateway->peer_gateways);
}

static int64_t
elapsed_us(const struct gateway *gateway)
{
	return clock_monotonic_us() - gateway->blackboard.stop_started_us;
}

/* Takes no connections any more. Those that callers have opened by now are
 * still served. */
static void
stop_listening(struct gateway *gateway)
{
	gateway->blackboard.listeners_closed = true;
	h1_server_stop_listening(gateway->caller_server);
	if (gateway->relay_server != NULL)
		h1_server_stop_listening(gateway->relay_server);
}

/* Ends the requests that the grace period leaves no time for. */
static void
cut_requests(struct gateway *gateway)
{
	struct trace trace;

	gateway->blackboard.grace_ended = true;
	trace_begin_unlimited(&trace, "grace_ended");
	trace_number(&trace, "cut", (int64_t)list_length(&gateway->requests));
	trace_end(&trace);
	request_fail_all(gateway);
}

/* Connections that are open have a request that is still being received, a
 * response that the caller has not read, or may get a request before they have
 * been idle for long enough to be closed. */
static bool
has_connections(const struct gateway *gateway)
{
	return h1_server_connections(gateway->caller_server) > 0 ||
	    (gateway->relay_server != NULL &&
		h1_server_connections(gateway->relay_server) > 0);
}

static bool
stop_is_finished(const struct gateway *gateway)
{
	if (elapsed_us(gateway) >
	    gateway->settings.stop_grace_us - EXIT_MARGIN_US)
		return true;
	return gateway->blackboard.listeners_closed &&
	    list_empty(&gateway->requests) && !has_connections(gateway) &&
	    turns_pending_reports(gateway->turns) == 0;
}

void
stop_tick(struct gateway *gateway)
{
	struct trace trace;

	if (!gateway->blackboard.stopping || gateway->blackboard.stopped)
		return;
	if (!gateway->blackboard.listeners_closed &&
	    elapsed_us(gateway) > ADDRESS_EXPIRY_US)
		stop_listening(gateway);
	if (!gateway->blackboard.grace_ended &&
	    elapsed_us(gateway) >
		gateway->settings.stop_grace_us - GRACE_MARGIN_US)
		cut_requests(gateway);
	if (!stop_is_finished(gateway))
		return;
	gateway->blackboard.stopped = true;
	trace_begin_unlimited(&trace, "stopped");
	trace_number(&trace, "cut", (int64_t)list_length(&gateway->requests));
	trace_ms(&trace, "took_ms", elapsed_us(gateway));
	trace_end(&trace);
	uv_stop(&gateway->loop);
}
