#include <stdlib.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/controller.h"

enum {
	LANE_READ_BYTES = 512 << 10,
	LANE_WAIT_MS = 1000, /**< long poll */
	LANE_RETRY_US = 200 * US_PER_MS,
	MAX_APPENDS_PER_PUMP = 64,
	MAX_OPEN_FETCHES = 32,
};

/** Reader of one lane. */
struct lane_reader {
	struct lane_controller *controller;
	uint32_t lane;
	struct plog_request *read; /**< NULL unless a read is in progress */
	int64_t retry_at_us;       /**< earliest time of the next read */
};

/** An append in progress. */
struct lane_append {
	struct list link;
	struct lane_controller *controller;
	struct plog_request *request;
	uint64_t batch_number; /**< number of the owner's batch */
};

/** A read of a single record that a program's history needs. */
struct lane_fetch {
	struct list link;
	struct lane_controller *controller;
	struct plog_request *request;
	uint32_t lane;
	uint64_t offset;
};

/** Readers of all lanes, and the appends and reads in progress. */
struct lane_controller {
	struct daemon *daemon;
	struct lane_reader *readers;
	uint32_t count;      /**< number of lanes; 0 before the first pump */
	struct list appends; /**< of struct lane_append */
	struct list fetches; /**< of struct lane_fetch */
};

/* Hands a record to the owner, a malformed one as RECORD_NONE. */
static void
deliver_record(
    struct lane_reader *reader, const struct plog_record *plog_record)
{
	struct daemon *daemon = reader->controller->daemon;
	struct record record;
	struct error err = {0};

	if (!record_decode(
		plog_record->data, plog_record->len, &record, &err)) {
		diag(LOG_WARNING, NULL,
		    "cannot decode the record in lane %u at offset %llu: %s",
		    reader->lane, (unsigned long long)plog_record->offset,
		    err.text);
		record.type = RECORD_NONE;
	}
	owner_handle_record(daemon->owner, reader->lane, plog_record->offset,
	    &record, daemon->blackboard.now_us);
}

static void
handle_read(void *context, const struct plog_read *read)
{
	struct lane_reader *reader = context;
	struct daemon *daemon = reader->controller->daemon;
	struct blackboard *blackboard = &daemon->blackboard;
	uint64_t next_offset = 0;

	reader->read = NULL;
	blackboard->now_us = clock_monotonic_us();
	if (read->status == PLOG_EXPIRED) {
		owner_handle_lane_expired(daemon->owner, reader->lane,
		    read->oldest_offset, blackboard->now_us);
		return;
	}
	if (read->status != PLOG_OK) {
		blackboard_set_log_reachable(blackboard, false);
		blackboard->counters.retries[RETRY_LOG_READ]++;
		reader->retry_at_us = blackboard->now_us + LANE_RETRY_US;
		return;
	}
	blackboard_set_log_reachable(blackboard, true);
	for (size_t i = 0; i < read->count; i++) {
		deliver_record(reader, &read->records[i]);
		next_offset = read->records[i].offset + 1;
	}
	if (read->count == 0 || next_offset >= read->end_offset)
		owner_handle_lane_end(daemon->owner, reader->lane,
		    read->end_offset, blackboard->now_us);
}

static void
start_read(struct lane_reader *reader)
{
	struct daemon *daemon = reader->controller->daemon;
	char stream[PLOG_STREAM_BYTES];
	uint64_t offset;

	if (reader->read != NULL ||
	    reader->retry_at_us > daemon->blackboard.now_us ||
	    !owner_lane_position(daemon->owner, reader->lane, &offset))
		return;
	owner_lane_stream(daemon->owner, reader->lane, stream, sizeof(stream));
	reader->read = plog_read(daemon->plog, stream, offset, LANE_READ_BYTES,
	    LANE_WAIT_MS, handle_read, reader);
}

static enum append_result
append_result_from_status(enum plog_status status)
{
	switch (status) {
	case PLOG_OK:
		return APPEND_DONE;
	case PLOG_NOT_SENT:
	case PLOG_THROTTLED:
		return APPEND_NOT_DONE;
	default:
		return APPEND_UNKNOWN;
	}
}

static void
handle_appended(void *context, enum plog_status status, uint64_t first_offset)
{
	struct lane_append *append = context;
	struct daemon *daemon = append->controller->daemon;

	(void)first_offset;
	daemon->blackboard.now_us = clock_monotonic_us();
	blackboard_set_log_reachable(&daemon->blackboard, status == PLOG_OK);
	if (status != PLOG_OK)
		daemon->blackboard.counters.retries[RETRY_LOG_APPEND]++;
	owner_handle_appended(daemon->owner, append->batch_number,
	    append_result_from_status(status), daemon->blackboard.now_us);
	list_remove(&append->link);
	free(append);
}

static void
start_append(
    struct lane_controller *controller, const struct owner_batch *batch)
{
	struct lane_append *append = xcalloc(1, sizeof(*append));
	struct plog_record *records = xcalloc(batch->count, sizeof(*records));
	char stream[PLOG_STREAM_BYTES];

	append->controller = controller;
	append->batch_number = batch->number;
	for (size_t i = 0; i < batch->count; i++) {
		records[i].data = batch->items[i].data;
		records[i].len = batch->items[i].len;
	}
	owner_lane_stream(
	    controller->daemon->owner, batch->lane, stream, sizeof(stream));
	list_append(&controller->appends, &append->link);
	append->request = plog_append(controller->daemon->plog, stream, records,
	    batch->count, handle_appended, append);
	free(records);
}

/* Hands a fetched record to the owner, or NULL if it could not be read. */
static void
deliver_fetched(struct lane_fetch *fetch, const struct plog_read *read)
{
	struct daemon *daemon = fetch->controller->daemon;
	struct record record;
	bool ok = read->status == PLOG_OK && read->count > 0 &&
	    read->records[0].offset == fetch->offset &&
	    record_decode(
		read->records[0].data, read->records[0].len, &record, NULL);

	owner_handle_fetched(daemon->owner, fetch->lane, fetch->offset,
	    ok ? &record : NULL, daemon->blackboard.now_us);
}

static void
handle_fetched(void *context, const struct plog_read *read)
{
	struct lane_fetch *fetch = context;

	fetch->controller->daemon->blackboard.now_us = clock_monotonic_us();
	deliver_fetched(fetch, read);
	list_remove(&fetch->link);
	free(fetch);
}

static void
start_fetch(struct lane_controller *controller, uint32_t lane, uint64_t offset)
{
	struct lane_fetch *fetch = xcalloc(1, sizeof(*fetch));
	char stream[PLOG_STREAM_BYTES];

	fetch->controller = controller;
	fetch->lane = lane;
	fetch->offset = offset;
	owner_lane_stream(
	    controller->daemon->owner, lane, stream, sizeof(stream));
	list_append(&controller->fetches, &fetch->link);
	/* A read returns at least one record, whatever the limit in bytes. */
	fetch->request = plog_read(controller->daemon->plog, stream, offset, 1,
	    0, handle_fetched, fetch);
}

static void
start_fetches(struct lane_controller *controller)
{
	size_t open_count = list_length(&controller->fetches);
	uint64_t offset;
	uint32_t lane;

	while (open_count < MAX_OPEN_FETCHES &&
	    owner_next_fetch(controller->daemon->owner, &lane, &offset)) {
		start_fetch(controller, lane, offset);
		open_count++;
	}
}

void
lane_controller_pump(struct lane_controller *controller)
{
	struct daemon *daemon = controller->daemon;
	struct owner_batch batch;

	if (controller->count == 0) {
		uint32_t count = owner_lane_count(daemon->owner);

		controller->readers =
		    xcalloc(count, sizeof(*controller->readers));
		controller->count = count;
		for (uint32_t i = 0; i < count; i++) {
			controller->readers[i].controller = controller;
			controller->readers[i].lane = i;
		}
	}
	for (uint32_t i = 0; i < controller->count; i++)
		start_read(&controller->readers[i]);
	for (int i = 0; i < MAX_APPENDS_PER_PUMP; i++) {
		if (!owner_next_batch(
			daemon->owner, daemon->blackboard.now_us, &batch))
			break;
		start_append(controller, &batch);
	}
	start_fetches(controller);
}

struct lane_controller *
lane_controller_create(struct daemon *daemon)
{
	struct lane_controller *controller = xcalloc(1, sizeof(*controller));

	controller->daemon = daemon;
	list_init(&controller->appends);
	list_init(&controller->fetches);
	return controller;
}

void
lane_controller_destroy(struct lane_controller *controller)
{
	for (uint32_t i = 0; i < controller->count; i++) {
		if (controller->readers[i].read != NULL)
			plog_cancel(controller->readers[i].read);
	}
	list_for_each_safe (
	    append, tmp, &controller->appends, struct lane_append, link) {
		plog_cancel(append->request);
		free(append);
	}
	list_for_each_safe (
	    fetch, tmp, &controller->fetches, struct lane_fetch, link) {
		plog_cancel(fetch->request);
		free(fetch);
	}
	free(controller->readers);
	free(controller);
}
