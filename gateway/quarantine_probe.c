#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/quarantine_internal.h"
#include "h1/probe.h"

enum {
	PROBE_TIMEOUT_US = 200 * US_PER_MS, /* several round trips */
	/* Between two probes of a server whose end is not clear yet. */
	PROBE_INTERVAL_US = 300 * US_PER_MS,
	PROBES_MAX = 16,
};

/** A connection that shows whether a server lives. */
struct probe {
	struct list link; /**< in quarantine.probes */
	struct quarantine *quarantine;
	struct server_start start;
	int64_t started_us;
	struct h1_probe *connection;
};

static void
handle_done(void *context, enum h1_probe_result result)
{
	struct probe *probe = context;
	struct quarantine *quarantine = probe->quarantine;
	const struct server_start start = probe->start;
	int64_t started_us = probe->started_us;

	list_remove(&probe->link);
	free(probe);
	switch (result) {
	case H1_PROBE_OPEN:
		unfinished_server_responds(
		    &quarantine->unfinished, &start, started_us, false);
		return;
	case H1_PROBE_REFUSED:
		quarantine_handle_refused(quarantine, &start);
		return;
	case H1_PROBE_TIMED_OUT:
		return;
	}
}

static bool
is_under_way(
    const struct quarantine *quarantine, const struct server_start *start)
{
	list_for_each (probe, &quarantine->probes, struct probe, link) {
		if (probe->start.server == start->server &&
		    probe->start.started_wall_ms == start->started_wall_ms)
			return true;
	}
	return false;
}

void
quarantine_probe(
    struct quarantine *quarantine, const struct server_start *start)
{
	struct gateway *gateway = quarantine->gateway;
	const struct backend *backend =
	    backends_find_hash(&gateway->blackboard.backends, start->server);
	struct probe *probe;

	/* A server that is listed no more, or anew, is known to have ended. */
	if (backend == NULL ||
	    backend->entry.started_wall_ms != start->started_wall_ms ||
	    is_under_way(quarantine, start) ||
	    list_length(&quarantine->probes) >= PROBES_MAX)
		return;
	probe = xcalloc(1, sizeof(*probe));
	probe->quarantine = quarantine;
	probe->start = *start;
	probe->started_us = clock_monotonic_us();
	probe->connection = h1_probe_start(&gateway->loop,
	    backend->entry.address, PROBE_TIMEOUT_US, handle_done, probe);
	if (probe->connection == NULL) {
		free(probe);
		return;
	}
	list_append(&quarantine->probes, &probe->link);
	gateway->counters.server_probes_total++;
}

void
quarantine_probe_all(struct quarantine *quarantine)
{
	int64_t now_us = clock_monotonic_us();
	const struct server_start *start;
	size_t cursor = 0;

	if (now_us < quarantine->next_probes_us)
		return;
	quarantine->next_probes_us = now_us + PROBE_INTERVAL_US;
	while ((start = unfinished_next_broken(
		    &quarantine->unfinished, now_us, &cursor)) != NULL)
		quarantine_probe(quarantine, start);
}

void
quarantine_probe_cancel_all(struct quarantine *quarantine)
{
	struct list *item;

	while ((item = list_pop(&quarantine->probes)) != NULL) {
		struct probe *probe = list_entry(item, struct probe, link);

		h1_probe_cancel(probe->connection);
		free(probe);
	}
}
