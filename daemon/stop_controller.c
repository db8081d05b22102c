#include <inttypes.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/call.h"
#include "daemon/controller.h"

enum {
	/** Shortest time of a drain. In this time callers and other VMs learn
	 * of the drain, before the socket closes. */
	STOP_NOTICE_US = 2 * US_PER_S,
};

/** State of the planned stop. */
struct stop_controller {
	struct daemon *daemon;
	bool stopping;             /**< the drain has begun */
	bool stopped;              /**< the loop was told to end */
	int64_t begun_us;          /**< monotonic time when the drain began */
	uint64_t responses_before; /**< responses sent before the drain */
};

struct stop_controller *
stop_controller_create(struct daemon *daemon)
{
	struct stop_controller *controller = xcalloc(1, sizeof(*controller));

	controller->daemon = daemon;
	return controller;
}

void
stop_controller_destroy(struct stop_controller *controller)
{
	free(controller);
}

void
stop_controller_begin(struct stop_controller *controller)
{
	struct daemon *daemon = controller->daemon;

	if (controller->stopping)
		return;
	controller->stopping = true;
	controller->begun_us = daemon->blackboard.now_us;
	controller->responses_before =
	    daemon->blackboard.counters.responses_total;
	daemon->blackboard.draining = true;
	diag(LOG_NOTICE, NULL, "draining: %u calls in flight",
	    HASH_COUNT(daemon->calls));
	member_controller_assign(daemon);
}

/* Returns whether the drain is complete, or its longest time is over. */
static bool
is_finished(const struct stop_controller *controller)
{
	const struct daemon *daemon = controller->daemon;
	int64_t elapsed_us = daemon->blackboard.now_us - controller->begun_us;

	if (elapsed_us > daemon->settings.stop_grace_us)
		return true;
	if (elapsed_us < STOP_NOTICE_US || daemon->calls != NULL ||
	    net_open_exchanges(daemon->net) > 0)
		return false;
	return daemon->owner == NULL ||
	    owner_owned_shard_count(daemon->owner) == 0;
}

void
stop_controller_pump(struct stop_controller *controller)
{
	struct daemon *daemon = controller->daemon;

	if (!controller->stopping || controller->stopped ||
	    !is_finished(controller))
		return;
	controller->stopped = true;
	diag(LOG_NOTICE, NULL,
	    "stopped: %" PRIu64 " calls finished during the drain, %u cut",
	    daemon->blackboard.counters.responses_total -
		controller->responses_before,
	    HASH_COUNT(daemon->calls));
	uv_stop(&daemon->loop);
}
