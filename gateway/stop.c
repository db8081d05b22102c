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
	 * directory gives it; until then they may still send requests on open
	 * connections. */
	ADDRESS_EXPIRY_US = 2500 * US_PER_MS,
	/* Connections of callers that are idle for longer are closed. */
	CONNECTION_IDLE_US = 1500 * US_PER_MS,
	/* Reserved at the end of the grace period to send error responses to
	 * the requests that are left. */
	GRACE_MARGIN_US = 400 * US_PER_MS,
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

static bool
stop_is_finished(const struct gateway *gateway)
{
	int64_t elapsed_us =
	    clock_monotonic_us() - gateway->blackboard.stop_started_us;

	if (elapsed_us > gateway->settings.stop_grace_us - GRACE_MARGIN_US)
		return true;
	return list_empty(&gateway->requests) &&
	    turns_pending_reports(gateway->turns) == 0 &&
	    (elapsed_us > ADDRESS_EXPIRY_US ||
		h1_server_connections(gateway->caller_server) == 0);
}

void
stop_tick(struct gateway *gateway)
{
	struct trace trace;

	if (!gateway->blackboard.stopping || gateway->blackboard.stopped ||
	    !stop_is_finished(gateway))
		return;
	gateway->blackboard.stopped = true;
	trace_begin_unlimited(&trace, "stopped");
	trace_number(&trace, "cut", (int64_t)list_length(&gateway->requests));
	trace_ms(&trace, "took_ms",
	    clock_monotonic_us() - gateway->blackboard.stop_started_us);
	trace_end(&trace);
	uv_stop(&gateway->loop);
}
