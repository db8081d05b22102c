#include <stdlib.h>
#include <sys/resource.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "dispatch/backlog.h"
#include "gateway/memory_bounds.h"
#include "gateway/request.h"

enum {
	/* A paused response continues this long after its caller has read
	 * enough. PAUSE_BYTES in this time is more than the fastest link of a
	 * VM takes for one caller of many. */
	RESUME_CHECK_MS = 10,
};

struct memory_bounds {
	struct gateway *gateway;
	size_t bound;
	size_t total;      /**< held as of the last tick, and added since */
	uv_timer_t *timer; /**< runs while a response is paused */
};

/* Returns the memory of the VM that is stated in the settings, or the limit on
 * this process's address space if that is less; 0: neither. */
static uint64_t
known_memory(const struct settings *settings)
{
	uint64_t memory = settings->capacity_memory_bytes;
	struct rlimit limit;

	if (getrlimit(RLIMIT_AS, &limit) == 0 &&
	    limit.rlim_cur != RLIM_INFINITY &&
	    (memory == 0 || limit.rlim_cur < memory))
		memory = limit.rlim_cur;
	return memory;
}

static struct h1_call *
response_call(const struct request *request)
{
	if (request->attempt != NULL)
		return request->attempt->call;
	return request->relay.call;
}

static bool
resume_if_read(const struct memory_bounds *bounds, struct request *request)
{
	struct h1_call *call = response_call(request);
	size_t held = h1_exchange_held_bytes(request->exchange);

	if (call != NULL &&
	    !backlog_may_resume(held, bounds->total, bounds->bound))
		return false;
	request->response_paused = false;
	if (call != NULL)
		h1_call_resume(call);
	return true;
}

static void
handle_timer(uv_timer_t *timer)
{
	const struct memory_bounds *bounds = timer->data;
	bool any_paused = false;

	list_for_each (
	    request, &bounds->gateway->requests, struct request, link) {
		if (request->response_paused &&
		    !resume_if_read(bounds, request))
			any_paused = true;
	}
	if (!any_paused)
		uv_timer_stop(timer);
}

static void
set_read_size(const struct memory_bounds *bounds)
{
	h1_client_set_read_size(bounds->gateway->http_client,
	    backlog_read_bytes(false, bounds->total, bounds->bound));
}

void
memory_bounds_handle_sent(struct request *request)
{
	struct memory_bounds *bounds = request->gateway->memory_bounds;
	size_t held = h1_exchange_held_bytes(request->exchange);
	struct h1_call *call = response_call(request);

	/* The next tick counts what has been read since. */
	if (held > request->held_bytes)
		bounds->total += held - request->held_bytes;
	request->held_bytes = held;
	set_read_size(bounds);
	if (bounds->total > bounds->bound) {
		memory_bounds_tick(bounds);
		return;
	}
	if (call == NULL)
		return;
	h1_call_set_read_size(
	    call, backlog_read_bytes(held > 0, bounds->total, bounds->bound));
	if (request->response_paused ||
	    held <= backlog_pause_bytes(bounds->total, bounds->bound))
		return;
	request->response_paused = true;
	request->gateway->counters.responses_paused_total++;
	h1_call_pause(call);
	if (!uv_is_active((uv_handle_t *)bounds->timer))
		uv_timer_start(bounds->timer, handle_timer, RESUME_CHECK_MS,
		    RESUME_CHECK_MS);
}

static size_t
collect(struct h1_server *server, struct backlog *backlogs)
{
	size_t max = h1_server_connections(server);
	struct h1_backlog *held = xcalloc(max + 1, sizeof(*held));
	size_t count = h1_server_backlogs(server, held, max);

	for (size_t i = 0; i < count; i++)
		backlogs[i] = (struct backlog){
		    .caller = held[i].connection,
		    .held_bytes = held[i].held_bytes,
		    .read_bytes = held[i].read_bytes,
		    .since_us = held[i].since_us,
		};
	free(held);
	return count;
}

static void
trace_ended(size_t count, size_t total, size_t bound)
{
	struct trace trace;

	trace_begin(&trace, "slow_callers_ended");
	trace_number(&trace, "callers", (int64_t)count);
	trace_number(&trace, "held_bytes", (int64_t)total);
	trace_number(&trace, "bound_bytes", (int64_t)bound);
	trace_end(&trace);
}

static void
end_slowest(
    struct memory_bounds *bounds, struct backlog *backlogs, size_t count)
{
	size_t ended = backlog_choose_ended(
	    backlogs, count, bounds->bound, clock_monotonic_us());

	if (ended == 0)
		return;
	trace_ended(ended, bounds->total, bounds->bound);
	bounds->gateway->counters.slow_callers_ended_total += ended;
	for (size_t i = 0; i < ended; i++) {
		bounds->total -= backlogs[i].held_bytes;
		h1_server_disconnect(backlogs[i].caller);
	}
}

void
memory_bounds_tick(struct memory_bounds *bounds)
{
	struct gateway *gateway = bounds->gateway;
	size_t max = h1_server_connections(gateway->caller_server);
	struct backlog *backlogs;
	size_t count;

	if (bounds->bound == SIZE_MAX)
		return;
	if (gateway->relay_server != NULL)
		max += h1_server_connections(gateway->relay_server);
	backlogs = xcalloc(max + 1, sizeof(*backlogs));
	count = collect(gateway->caller_server, backlogs);
	if (gateway->relay_server != NULL)
		count += collect(gateway->relay_server, backlogs + count);
	bounds->total = 0;
	for (size_t i = 0; i < count; i++)
		bounds->total += backlogs[i].held_bytes;
	end_slowest(bounds, backlogs, count);
	set_read_size(bounds);
	free(backlogs);
}

struct memory_bounds *
memory_bounds_create(struct gateway *gateway)
{
	struct memory_bounds *bounds = xcalloc(1, sizeof(*bounds));

	bounds->gateway = gateway;
	bounds->bound = backlog_bound(known_memory(&gateway->settings));
	bounds->timer = xcalloc(1, sizeof(*bounds->timer));
	uv_timer_init(&gateway->loop, bounds->timer);
	bounds->timer->data = bounds;
	return bounds;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
memory_bounds_destroy(struct memory_bounds *bounds)
{
	if (bounds == NULL)
		return;
	uv_close((uv_handle_t *)bounds->timer, handle_timer_closed);
	free(bounds);
}
