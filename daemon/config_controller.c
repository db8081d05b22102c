#include <stdlib.h>

#include <jansson.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "config/snapshotter.h"
#include "config/stream.h"
#include "daemon/controller.h"

enum {
	CONFIG_READ_BYTES = 1 << 20,
	CONFIG_WAIT_MS = 1000, /**< long poll */
	CONFIG_RETRY_MS = 500,
	/** Records after a snapshot that make the next one due. */
	SNAPSHOT_TAIL_RECORDS = 1000,
};

static const char config_stream[] = "config";

/** Reader of the configuration stream. */
struct config_controller {
	struct daemon *daemon;
	struct config_fold fold;
	struct config *current;
	struct config *previous; /**< calls in progress may still use it */
	struct plog_request *read;
	struct config_snapshotter *snapshotter;
	uv_timer_t *retry; /**< delays the next read after a failure */
};

void
blackboard_set_log_reachable(struct blackboard *blackboard, bool reached)
{
	blackboard->log.reachable = reached;
	if (reached)
		blackboard->log.reached_us = blackboard->now_us;
	else
		blackboard->log.failed_us = blackboard->now_us;
}

const struct config_fold *
config_controller_fold(const struct config_controller *controller)
{
	return &controller->fold;
}

/* Logs the findings of a version in force. The parts that could be parsed are
 * used nevertheless. */
static void
report_findings(const struct findings *findings, uint64_t version)
{
	struct diag_context context = {.config_version = version};

	list_for_each (finding, &findings->items, struct finding, link)
		diag(LOG_WARNING, &context, "%s: %s", finding->location,
		    finding->text);
}

/* Parses the newest version and hands it to the other parts of the daemon. */
static void
apply_config(struct config_controller *controller)
{
	struct daemon *daemon = controller->daemon;
	struct diag_context context = {
	    .config_version = controller->fold.version};
	struct findings findings;

	findings_init(&findings);
	config_destroy(controller->previous);
	controller->previous = controller->current;
	controller->current = config_from_json(
	    controller->fold.document, controller->fold.version, &findings);
	report_findings(&findings, controller->fold.version);
	findings_reset(&findings);
	daemon->blackboard.config.current = controller->current;
	daemon->blackboard.config.version = controller->fold.version;
	diag(LOG_NOTICE, &context, "configuration in force");
	daemon_start_owner(daemon);
	owner_set_limits(daemon->owner, &controller->current->limits);
	sched_set_config(daemon->sched, controller->current);
	server_controller_reload(daemon->server);
	member_controller_assign(daemon);
}

/* Adds the time between publication and use of each version after old_version
 * to the histogram. Valid only if this VM was up to date before; otherwise the
 * times would include the time that this VM needed to catch up. */
static void
count_apply_times(struct config_controller *controller, uint64_t old_version)
{
	struct counters *counters = &controller->daemon->blackboard.counters;
	int64_t wall_us = clock_wall_us();

	list_for_each (
	    version, &controller->fold.versions, struct config_version, link) {
		if (version->number > old_version)
			histogram_add(&counters->config_force_us,
			    wall_us - version->wall_us);
	}
}

static void read_next(struct config_controller *controller);

static void
handle_retry(uv_timer_t *timer)
{
	read_next(timer->data);
}

static void
handle_read(void *context, const struct plog_read *read)
{
	struct config_controller *controller = context;
	struct blackboard *blackboard = &controller->daemon->blackboard;
	bool up_to_date;

	controller->read = NULL;
	blackboard->now_us = clock_monotonic_us();
	if (read->status != PLOG_OK && read->status != PLOG_EXPIRED) {
		blackboard_set_log_reachable(blackboard, false);
		blackboard->config.maybe_stale = true;
		blackboard->counters.retries[RETRY_LOG_READ]++;
		uv_timer_start(
		    controller->retry, handle_retry, CONFIG_RETRY_MS, 0);
		return;
	}
	blackboard_set_log_reachable(blackboard, true);
	up_to_date =
	    config_stream_feed(&controller->fold, read, &blackboard->counters);
	if (up_to_date) {
		bool was_up_to_date = blackboard->config.checked_us != 0 &&
		    !blackboard->config.maybe_stale;

		blackboard->config.maybe_stale = !controller->fold.complete;
		blackboard->config.checked_us = blackboard->now_us;
		if (was_up_to_date)
			count_apply_times(
			    controller, blackboard->config.version);
		if (controller->fold.version != blackboard->config.version)
			apply_config(controller);
		config_snapshotter_check(controller->snapshotter,
		    &controller->fold, read->oldest_offset, clock_wall_us(),
		    members_rank(&blackboard->members,
			controller->daemon->settings.vm_name,
			blackboard->now_us));
	}
	read_next(controller);
}

static void
read_next(struct config_controller *controller)
{
	controller->read = plog_read(controller->daemon->plog, config_stream,
	    controller->fold.next_offset, CONFIG_READ_BYTES, CONFIG_WAIT_MS,
	    handle_read, controller);
}

struct config_controller *
config_controller_create(struct daemon *daemon)
{
	struct config_controller *controller = xcalloc(1, sizeof(*controller));

	controller->daemon = daemon;
	config_fold_init(&controller->fold);
	controller->snapshotter = config_snapshotter_create(daemon->plog,
	    &(struct config_snapshot_policy){
		.retention_us = daemon->settings.log_retention_us,
		.max_records = SNAPSHOT_TAIL_RECORDS,
	    });
	controller->retry = xcalloc(1, sizeof(*controller->retry));
	uv_timer_init(&daemon->loop, controller->retry);
	controller->retry->data = controller;
	read_next(controller);
	return controller;
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
config_controller_destroy(struct config_controller *controller)
{
	if (controller->read != NULL)
		plog_cancel(controller->read);
	config_snapshotter_destroy(controller->snapshotter);
	uv_close((uv_handle_t *)controller->retry, handle_closed);
	config_destroy(controller->previous);
	config_destroy(controller->current);
	config_fold_reset(&controller->fold);
	free(controller);
}
