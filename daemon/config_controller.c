#include <stdlib.h>

#include <jansson.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/controller.h"

enum {
	CONFIG_READ_BYTES = 1 << 20,
	CONFIG_WAIT_MS = 1000,
	CONFIG_RETRY_MS = 500,
};

static const char config_stream[] = "config";

struct config_controller {
	struct daemon *daemon;
	struct config_fold fold;
	struct config *current;
	struct config *previous; /**< kept, as a call in progress may use it */
	struct plog_request *read;
	uv_timer_t *retry;
};

void
board_note_log(struct board *board, bool reached)
{
	board->log.reachable = reached;
	if (reached)
		board->log.reached_us = board->now_us;
	else
		board->log.failed_us = board->now_us;
}

const struct config_fold *
config_controller_fold(const struct config_controller *controller)
{
	return &controller->fold;
}

/* Findings of a version in force are reported; what is understood is used. */
static void
report_findings(const struct findings *findings, uint64_t version)
{
	struct diag_context context = {.config_version = version};

	list_for_each (finding, &findings->items, struct finding, link)
		diag(LOG_WARNING, &context, "%s: %s", finding->place,
		    finding->text);
}

static void
put_in_force(struct config_controller *controller)
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
	daemon->board.config.current = controller->current;
	daemon->board.config.version = controller->fold.version;
	diag(LOG_NOTICE, &context, "configuration in force");
	daemon_start_owner(daemon);
	owner_set_limits(daemon->owner, &controller->current->limits);
	sched_set_config(daemon->sched, controller->current);
	server_controller_reload(daemon->server);
	member_controller_assign(daemon);
}

static void
apply_record(
    struct config_controller *controller, const struct plog_record *item)
{
	struct counters *counters = &controller->daemon->board.counters;
	struct record record;
	struct error err = {0};
	enum config_verdict verdict;

	if (!record_decode(item->data, item->len, &record, &err)) {
		diag(LOG_WARNING, NULL, "configuration stream, offset %llu: %s",
		    (unsigned long long)item->offset, err.text);
		return;
	}
	verdict = config_fold_apply(&controller->fold, item->offset, &record);
	if (verdict == CONFIG_STALE_BASE || verdict == CONFIG_MALFORMED)
		counters->config_rejects_total++;
	if (verdict != CONFIG_ACCEPTED)
		return;
	counters->config_patches_total++;
	if (record.type == RECORD_CONFIG_PATCH)
		histogram_add(&counters->config_force_us,
		    clock_wall_us() - record.config_patch.wall_us);
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
	struct board *board = &controller->daemon->board;

	controller->read = NULL;
	board->now_us = clock_monotonic_us();
	if (read->status != PLOG_OK && read->status != PLOG_EXPIRED) {
		board_note_log(board, false);
		board->config.maybe_stale = true;
		board->counters.retries[RETRY_LOG_READ]++;
		uv_timer_start(
		    controller->retry, handle_retry, CONFIG_RETRY_MS, 0);
		return;
	}
	board_note_log(board, true);
	if (read->status == PLOG_EXPIRED)
		controller->fold.next_offset = read->first;
	for (size_t i = 0; i < read->count; i++) {
		apply_record(controller, &read->records[i]);
		controller->fold.next_offset = read->records[i].offset + 1;
	}
	if (controller->fold.next_offset >= read->end) {
		board->config.maybe_stale = false;
		board->config.checked_us = board->now_us;
		if (controller->fold.version != board->config.version)
			put_in_force(controller);
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
	uv_close((uv_handle_t *)controller->retry, handle_closed);
	config_destroy(controller->previous);
	config_destroy(controller->current);
	config_fold_reset(&controller->fold);
	free(controller);
}
