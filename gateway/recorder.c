#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "gateway/dependency.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"

enum {
	APPEND_TIMEOUT_US = 900 * US_PER_MS,
	/* A copy is sent when an answer takes so many times as long as answers
	 * usually do: it is slow, lost, or its connection is silent. */
	HEDGE_FACTOR = 4,
	HEDGE_MIN_US = 80 * US_PER_MS,
	HEDGE_MAX_US = 700 * US_PER_MS,
	COPIES_MAX = 3,               /* of a batch on their way from here */
	RETRY_US = 60 * US_PER_MS,    /* after a refusal */
	FULL_RETRY_US = 1 * US_PER_S, /* while the store has no room */
	RELAY_TIMEOUT_US = 400 * US_PER_MS,
	BATCH_MAX_BYTES = 512 << 10,
	DENIED_US = 1 * US_PER_S, /* then an append from here is tried again */
};

/* Weight of the newest sample in the usual time of an append. */
static const double USUAL_WEIGHT = 0.1;

const char TOPIC_TURNS[] = "turns";

/** A record on its way to the store. */
struct pending_record {
	struct list link; /**< in a queue, or in a batch */
	struct buf data;
	void (*done)(void *context, bool ok, uint64_t offset);
	void *context;
};

/** One sending of a batch from here. */
struct copy {
	struct batch *batch;
	struct store_call *call; /**< NULL: not under way */
	int64_t sent_us;
};

/** Records that are appended together. */
struct batch {
	struct list link; /**< in the recorder */
	struct recorder *recorder;
	uint32_t part;
	uint64_t number;
	struct list recordings;
	struct copy copies[COPIES_MAX];
	uint32_t sendings; /**< here and by way of others */
	int64_t due_us;    /**< when to send again, if nothing else happens */
};

/** An append on behalf of another gateway. */
struct errand {
	struct list link;
	struct recorder *recorder;
	struct store_call *call;
	char vm[NAME_BYTES];
	uint64_t number;
};

struct recorder {
	struct gateway *gateway;
	struct list queues[SETTINGS_PARTITIONS_MAX]; /**< of recordings */
	bool busy[SETTINGS_PARTITIONS_MAX]; /**< a batch is under way */
	struct list batches;
	struct list errands;
	uint64_t next_number;
	uv_timer_t *timer;
	int64_t lost_us;   /**< first failure since the last success; 0: none */
	int64_t denied_us; /**< last failure of an append from here; 0: none */
	double usual_us;   /**< time of an append */
};

static void handle_timer(uv_timer_t *timer);

/* ---- state of the store ---- */

bool
recorder_store_is_unreachable(const struct recorder *recorder)
{
	return recorder->lost_us != 0;
}

int64_t
recorder_unreachable_since_us(const struct recorder *recorder)
{
	return recorder->lost_us;
}

static void
note_success(struct recorder *recorder)
{
	if (recorder->lost_us == 0)
		return;
	dependency_trace_recovered(
	    "store/appends", clock_monotonic_us() - recorder->lost_us);
	recorder->lost_us = 0;
}

static void
note_failure(struct recorder *recorder, enum store_status status)
{
	if (recorder->lost_us != 0)
		return;
	recorder->lost_us = clock_monotonic_us();
	dependency_trace_unreachable("store/appends", status);
}

/* ---- batches ---- */

static void
arm_timer(struct recorder *recorder)
{
	int64_t next_us = INT64_MAX;
	int64_t wait_us;

	list_for_each (batch, &recorder->batches, struct batch, link) {
		if (batch->due_us < next_us)
			next_us = batch->due_us;
	}
	if (next_us == INT64_MAX) {
		uv_timer_stop(recorder->timer);
		return;
	}
	wait_us = next_us - clock_monotonic_us();
	uv_timer_start(recorder->timer, handle_timer,
	    wait_us > 0 ? (uint64_t)(wait_us / US_PER_MS) + 1 : 0, 0);
}

static void
recording_free(struct pending_record *pending_record)
{
	list_remove(&pending_record->link);
	buf_reset(&pending_record->data);
	free(pending_record);
}

static void start_batch(struct recorder *recorder, uint32_t part);

static void
batch_free(struct batch *batch)
{
	for (size_t i = 0; i < COPIES_MAX; i++) {
		if (batch->copies[i].call != NULL)
			store_cancel(batch->copies[i].call);
	}
	list_remove(&batch->link);
	free(batch);
}

/* The batch's records are durable from an offset on, or never will be. */
static void
batch_finish(struct batch *batch, bool ok, uint64_t first)
{
	struct recorder *recorder = batch->recorder;
	uint32_t part = batch->part;
	struct list *item;

	while ((item = list_pop(&batch->recordings)) != NULL) {
		struct pending_record *pending_record =
		    list_entry(item, struct pending_record, link);
		void (*done)(void *, bool, uint64_t) = pending_record->done;
		void *context = pending_record->context;

		recording_free(pending_record);
		if (done != NULL)
			done(context, ok, first);
		first++;
	}
	batch_free(batch);
	recorder->busy[part] = false;
	start_batch(recorder, part);
	arm_timer(recorder);
}

static void
note_usual(struct recorder *recorder, int64_t elapsed_us)
{
	if (recorder->usual_us <= 0)
		recorder->usual_us = (double)elapsed_us;
	else
		recorder->usual_us +=
		    USUAL_WEIGHT * ((double)elapsed_us - recorder->usual_us);
}

static void
handle_appended(void *context, const struct store_appended *appended)
{
	struct copy *copy = context;
	struct batch *batch = copy->batch;
	struct recorder *recorder = batch->recorder;
	int64_t now_us = clock_monotonic_us();

	copy->call = NULL;
	if (appended->status == STORE_OK) {
		note_success(recorder);
		note_usual(recorder, now_us - copy->sent_us);
		recorder->denied_us = 0;
		batch_finish(batch, true, appended->first);
		return;
	}
	if (appended->status == STORE_INVALID) {
		diag(LOG_ERR, NULL, "the store rejects records of turns");
		batch_finish(batch, false, 0);
		return;
	}
	note_failure(recorder, appended->status);
	/* Another gateway may be served: one is asked without delay. */
	if (recorder->denied_us == 0)
		batch->due_us = now_us;
	else if (appended->status == STORE_FULL)
		batch->due_us = now_us + FULL_RETRY_US;
	else if (batch->due_us > now_us + RETRY_US)
		batch->due_us = now_us + RETRY_US;
	recorder->denied_us = now_us;
	arm_timer(recorder);
}

static size_t
list_records(const struct batch *batch, struct wire_bytes *records)
{
	size_t count = 0;

	list_for_each (
	    pending_record, &batch->recordings, struct pending_record, link)
		records[count++] = (struct wire_bytes){
		    .data = pending_record->data.data,
		    .len = pending_record->data.len,
		};
	return count;
}

static bool
send_by_relay(struct batch *batch)
{
	struct gateway *gateway = batch->recorder->gateway;
	const char *vm = peer_gateways_next_relay(gateway->peer_gateways);
	size_t count = list_length(&batch->recordings);
	struct wire_bytes *records = xcalloc(count, sizeof(*records));
	struct message message = {
	    .type = MESSAGE_STORE_APPEND,
	    .store_append =
		{
		    .number = batch->number,
		    .partition = batch->part,
		    .record_count = count,
		},
	};
	bool sent;

	list_records(batch, records);
	message.store_append.records =
	    xcalloc(count, sizeof(*message.store_append.records));
	for (size_t i = 0; i < count; i++)
		message.store_append.records[i].data = records[i];
	sent = vm != NULL &&
	    peer_gateways_send(gateway->peer_gateways, vm, &message);
	free(message.store_append.records);
	free(records);
	return sent;
}

static bool
send_from_here(struct batch *batch)
{
	struct recorder *recorder = batch->recorder;
	size_t count = list_length(&batch->recordings);
	struct wire_bytes *records;
	struct copy *copy = NULL;

	for (size_t i = 0; i < COPIES_MAX && copy == NULL; i++) {
		if (batch->copies[i].call == NULL)
			copy = &batch->copies[i];
	}
	if (copy == NULL)
		return false;
	records = xcalloc(count, sizeof(*records));
	list_records(batch, records);
	copy->sent_us = clock_monotonic_us();
	copy->call =
	    store_append(recorder->gateway->store, TOPIC_TURNS, batch->part,
		records, count, APPEND_TIMEOUT_US, handle_appended, copy);
	free(records);
	return true;
}

static int64_t
hedge_us(const struct recorder *recorder)
{
	int64_t us = (int64_t)(recorder->usual_us * HEDGE_FACTOR);

	if (us < HEDGE_MIN_US)
		return HEDGE_MIN_US;
	return us < HEDGE_MAX_US ? us : HEDGE_MAX_US;
}

/* The store may turn this gateway away and serve others: while appends from
 * here fail, every other sending goes by way of another gateway, the first
 * one too. */
static void
batch_send(struct batch *batch)
{
	struct recorder *recorder = batch->recorder;
	int64_t now_us = clock_monotonic_us();
	bool denied = recorder->denied_us != 0 &&
	    now_us - recorder->denied_us < DENIED_US;

	batch->sendings++;
	if (denied && batch->sendings % 2 == 1 && send_by_relay(batch)) {
		batch->due_us = now_us + RELAY_TIMEOUT_US;
		return;
	}
	send_from_here(batch);
	batch->due_us = now_us + hedge_us(recorder);
}

static struct batch *
next_due(struct recorder *recorder, int64_t now_us)
{
	list_for_each (batch, &recorder->batches, struct batch, link) {
		if (batch->due_us <= now_us)
			return batch;
	}
	return NULL;
}

static void
handle_timer(uv_timer_t *timer)
{
	struct recorder *recorder = timer->data;
	int64_t now_us = clock_monotonic_us();
	struct batch *batch;

	while ((batch = next_due(recorder, now_us)) != NULL)
		batch_send(batch);
	arm_timer(recorder);
}

static void
start_batch(struct recorder *recorder, uint32_t part)
{
	struct list *queue = &recorder->queues[part];
	struct batch *batch;
	size_t bytes = 0;

	if (recorder->busy[part] || list_empty(queue))
		return;
	batch = xcalloc(1, sizeof(*batch));
	batch->recorder = recorder;
	batch->part = part;
	batch->number = ++recorder->next_number;
	for (size_t i = 0; i < COPIES_MAX; i++)
		batch->copies[i].batch = batch;
	list_init(&batch->recordings);
	list_append(&recorder->batches, &batch->link);
	while (!list_empty(queue) && bytes < BATCH_MAX_BYTES) {
		struct pending_record *pending_record =
		    list_entry(queue->next, struct pending_record, link);

		list_remove(&pending_record->link);
		list_append(&batch->recordings, &pending_record->link);
		bytes += pending_record->data.len;
	}
	recorder->busy[part] = true;
	batch_send(batch);
}

struct pending_record *
recorder_append(struct recorder *recorder, uint32_t part, struct buf *record,
    void (*done)(void *context, bool ok, uint64_t offset), void *context)
{
	struct pending_record *pending_record =
	    xcalloc(1, sizeof(*pending_record));

	pending_record->data = *record;
	*record = (struct buf){0};
	pending_record->done = done;
	pending_record->context = context;
	list_append(&recorder->queues[part], &pending_record->link);
	start_batch(recorder, part);
	arm_timer(recorder);
	return pending_record;
}

void
recorder_detach(struct pending_record *pending_record)
{
	pending_record->done = NULL;
}

/* ---- errands for other gateways ---- */

static void
errand_free(struct errand *errand)
{
	list_remove(&errand->link);
	free(errand);
}

static void
handle_errand_done(void *context, const struct store_appended *appended)
{
	struct errand *errand = context;
	struct recorder *recorder = errand->recorder;
	struct message message = {
	    .type = MESSAGE_STORE_APPEND_REPLY,
	    .store_append_reply =
		{
		    .number = errand->number,
		    .ok = appended->status == STORE_OK,
		    .first_offset = appended->first,
		},
	};

	errand->call = NULL;
	peer_gateways_send(
	    recorder->gateway->peer_gateways, errand->vm, &message);
	errand_free(errand);
}

static void
run_errand(struct recorder *recorder, const struct message *message)
{
	const struct message_store_append *store = &message->store_append;
	struct errand *errand;
	struct wire_bytes *records;

	if (store->partition >= SETTINGS_PARTITIONS_MAX ||
	    store->record_count == 0)
		return;
	errand = xcalloc(1, sizeof(*errand));
	errand->recorder = recorder;
	errand->number = store->number;
	memcpy(errand->vm, message->sender, NAME_BYTES);
	list_append(&recorder->errands, &errand->link);
	records = xcalloc(store->record_count, sizeof(*records));
	for (size_t i = 0; i < store->record_count; i++)
		records[i] = store->records[i].data;
	errand->call = store_append(recorder->gateway->store, TOPIC_TURNS,
	    store->partition, records, store->record_count, APPEND_TIMEOUT_US,
	    handle_errand_done, errand);
	free(records);
}

static void
take_stored(
    struct recorder *recorder, const struct message_store_append_reply *stored)
{
	list_for_each (batch, &recorder->batches, struct batch, link) {
		if (batch->number != stored->number)
			continue;
		if (stored->ok) {
			note_success(recorder);
			batch_finish(batch, true, stored->first_offset);
			return;
		}
		batch->due_us = clock_monotonic_us() + RETRY_US;
		arm_timer(recorder);
		return;
	}
}

void
recorder_handle_message(
    struct recorder *recorder, const struct message *message)
{
	if (message->type == MESSAGE_STORE_APPEND)
		run_errand(recorder, message);
	else if (message->type == MESSAGE_STORE_APPEND_REPLY)
		take_stored(recorder, &message->store_append_reply);
}

/* ---- start and end ---- */

struct recorder *
recorder_create(struct gateway *gateway)
{
	struct recorder *recorder = xcalloc(1, sizeof(*recorder));

	recorder->gateway = gateway;
	recorder->next_number = rng_next(&gateway->rng) >> 1;
	for (size_t i = 0; i < SETTINGS_PARTITIONS_MAX; i++)
		list_init(&recorder->queues[i]);
	list_init(&recorder->batches);
	list_init(&recorder->errands);
	recorder->timer = xcalloc(1, sizeof(*recorder->timer));
	uv_timer_init(&gateway->loop, recorder->timer);
	recorder->timer->data = recorder;
	return recorder;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
free_recordings(struct list *recordings)
{
	struct list *item;

	while ((item = list_pop(recordings)) != NULL)
		recording_free(list_entry(item, struct pending_record, link));
}

void
recorder_destroy(struct recorder *recorder)
{
	struct list *item;

	while ((item = list_pop(&recorder->batches)) != NULL) {
		struct batch *batch = list_entry(item, struct batch, link);

		free_recordings(&batch->recordings);
		batch_free(batch);
	}
	for (size_t i = 0; i < SETTINGS_PARTITIONS_MAX; i++)
		free_recordings(&recorder->queues[i]);
	while ((item = list_pop(&recorder->errands)) != NULL) {
		struct errand *errand = list_entry(item, struct errand, link);

		if (errand->call != NULL)
			store_cancel(errand->call);
		errand_free(errand);
	}
	uv_close((uv_handle_t *)recorder->timer, handle_timer_closed);
	free(recorder);
}
