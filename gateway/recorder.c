#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/dependency.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"

enum {
	APPEND_TIMEOUT_US = 900 * US_PER_MS,
	/* A batch is appended once more when the reply takes this multiple of
	 * the average time: the store is slow, the reply is lost, or the
	 * connection is silent. The delay stays between the two bounds. */
	HEDGE_FACTOR = 4,
	HEDGE_MIN_US = 80 * US_PER_MS,
	/* A full batch of contents takes this long on a slow link. */
	HEDGE_CONTENTS_MIN_US = 400 * US_PER_MS,
	HEDGE_MAX_US = 700 * US_PER_MS,
	DIRECT_APPENDS_MAX = 3,       /* of one batch in flight at a time */
	RETRY_US = 60 * US_PER_MS,    /* after a failed append */
	FULL_RETRY_US = 1 * US_PER_S, /* while the store has no room */
	RELAY_TIMEOUT_US = 400 * US_PER_MS,
	BATCH_MAX_BYTES = 512 << 10,
	/* Time after a failed direct append during which batches go through
	 * other gateways first. */
	RELAY_PERIOD_US = 1 * US_PER_S,
};

/* Weight of the newest sample in the moving average of append times. */
static const double AVERAGE_WEIGHT = 0.1;

const char TOPIC_TURNS[] = "turns";
const char TOPIC_CONTENTS[] = "contents";

/** Names of the topics, and the messages that ask for appends to them. */
static const struct {
	const char *name;
	enum message_type append;
} topics[RECORDER_TOPIC_COUNT] = {
    [RECORDER_TURNS] = {TOPIC_TURNS, MESSAGE_STORE_APPEND},
    [RECORDER_CONTENTS] = {TOPIC_CONTENTS, MESSAGE_CONTENT_APPEND},
};

/** A record that the store has not acknowledged yet. */
struct pending_record {
	struct list link; /**< in record_queue.records or in batch.records */
	struct buf data;
	void (*done)(void *context, bool ok, uint64_t offset); /**< or NULL */
	void *context;
	bool alone; /**< to be appended in a batch of its own */
};

/** An append of a batch by this gateway itself. */
struct direct_append {
	struct batch *batch;
	struct store_call *call; /**< NULL: unused */
	int64_t sent_us;
};

/** Records of one partition that are appended together. */
struct batch {
	struct list link; /**< in recorder.batches */
	struct recorder *recorder;
	enum recorder_topic topic;
	uint32_t partition;  /**< number of the partition */
	uint64_t number;     /**< identifies the batch in messages */
	struct list records; /**< of struct pending_record */
	struct direct_append direct_appends[DIRECT_APPENDS_MAX];
	uint32_t append_count; /**< direct and relayed ones so far */
	int64_t due_us;        /**< time of the next append if no reply comes */
};

/** An append on behalf of another gateway. */
struct relayed_append {
	struct list link;
	struct recorder *recorder;
	struct store_call *call;
	char vm[NAME_BYTES];
	uint64_t number;
};

/** Records of a partition that are in no batch yet. */
struct record_queue {
	struct list records; /**< of struct pending_record */
	bool busy;           /**< a batch is in flight */
};

struct recorder {
	struct gateway *gateway;
	struct record_queue queues[RECORDER_TOPIC_COUNT]
				  [SETTINGS_PARTITIONS_MAX];
	struct list batches;
	struct list relayed_appends; /**< for other gateways */
	uint64_t next_batch_number;
	uv_timer_t *timer;
	/** Time of the first failed append since the last success; 0: none. */
	int64_t unreachable_since_us;
	/** Time of the last failed direct append; a success resets it to 0. */
	int64_t last_failure_us;
	/** Moving averages of append times; 0: none yet. */
	double average_us[RECORDER_TOPIC_COUNT];
};

static void handle_timer(uv_timer_t *timer);

bool
recorder_store_is_unreachable(const struct recorder *recorder)
{
	return recorder->unreachable_since_us != 0;
}

int64_t
recorder_unreachable_since_us(const struct recorder *recorder)
{
	return recorder->unreachable_since_us;
}

static void
mark_reachable(struct recorder *recorder)
{
	if (recorder->unreachable_since_us == 0)
		return;
	dependency_trace_recovered("store/appends",
	    clock_monotonic_us() - recorder->unreachable_since_us);
	recorder->unreachable_since_us = 0;
}

static void
mark_unreachable(struct recorder *recorder, enum store_status status)
{
	if (recorder->unreachable_since_us != 0)
		return;
	recorder->unreachable_since_us = clock_monotonic_us();
	dependency_trace_unreachable("store/appends", status);
}

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
pending_record_free(struct pending_record *pending_record)
{
	list_remove(&pending_record->link);
	buf_reset(&pending_record->data);
	free(pending_record);
}

static void start_batch(
    struct recorder *recorder, enum recorder_topic topic, uint32_t partition);

static void
batch_free(struct batch *batch)
{
	for (size_t i = 0; i < DIRECT_APPENDS_MAX; i++) {
		if (batch->direct_appends[i].call != NULL)
			store_cancel(batch->direct_appends[i].call);
	}
	list_remove(&batch->link);
	free(batch);
}

/* Completes a batch. Its records are durable with consecutive offsets from
 * first on, or, if ok is false, were rejected for good. */
static void
batch_finish(struct batch *batch, bool ok, uint64_t first)
{
	struct recorder *recorder = batch->recorder;
	enum recorder_topic topic = batch->topic;
	uint32_t partition = batch->partition;
	struct list *item;

	while ((item = list_pop(&batch->records)) != NULL) {
		struct pending_record *pending_record =
		    list_entry(item, struct pending_record, link);
		void (*done)(void *, bool, uint64_t) = pending_record->done;
		void *context = pending_record->context;

		pending_record_free(pending_record);
		if (done != NULL)
			done(context, ok, first);
		first++;
	}
	batch_free(batch);
	recorder->queues[topic][partition].busy = false;
	start_batch(recorder, topic, partition);
	arm_timer(recorder);
}

/* Tells the sizes of an append that the store has rejected as invalid. */
static void
trace_rejected(const struct batch *batch)
{
	size_t bytes = 0;
	size_t longest = 0;
	struct trace trace;

	list_for_each (
	    pending_record, &batch->records, struct pending_record, link) {
		bytes += pending_record->data.len;
		if (pending_record->data.len > longest)
			longest = pending_record->data.len;
	}
	trace_begin(&trace, "append_rejected");
	trace_text(&trace, "topic", topics[batch->topic].name);
	trace_number(&trace, "partition", batch->partition);
	trace_number(&trace, "records", (int64_t)list_length(&batch->records));
	trace_number(&trace, "bytes", (int64_t)bytes);
	trace_number(&trace, "longest_record_bytes", (int64_t)longest);
	trace_end(&trace);
}

/* Appends each record of a batch on its own, so that a record which the store
 * rejects fails without the others. */
static void
batch_split(struct batch *batch)
{
	struct recorder *recorder = batch->recorder;
	enum recorder_topic topic = batch->topic;
	uint32_t partition = batch->partition;
	struct record_queue *queue = &recorder->queues[topic][partition];

	while (!list_empty(&batch->records)) {
		struct pending_record *last = list_entry(
		    batch->records.prev, struct pending_record, link);

		last->alone = true;
		list_remove(&last->link);
		list_insert(&queue->records, &last->link);
	}
	batch_free(batch);
	queue->busy = false;
	start_batch(recorder, topic, partition);
	arm_timer(recorder);
}

/* Handles that the store has rejected a batch as invalid. */
static void
batch_reject(struct batch *batch)
{
	trace_rejected(batch);
	if (list_length(&batch->records) > 1)
		batch_split(batch);
	else
		batch_finish(batch, false, 0);
}

static void
update_average(double *average_us, int64_t elapsed_us)
{
	if (*average_us <= 0)
		*average_us = (double)elapsed_us;
	else
		*average_us +=
		    AVERAGE_WEIGHT * ((double)elapsed_us - *average_us);
}

static void
handle_appended(void *context, const struct store_appended *appended)
{
	struct direct_append *direct_append = context;
	struct batch *batch = direct_append->batch;
	struct recorder *recorder = batch->recorder;
	int64_t now_us = clock_monotonic_us();

	direct_append->call = NULL;
	if (appended->status == STORE_OK) {
		mark_reachable(recorder);
		update_average(&recorder->average_us[batch->topic],
		    now_us - direct_append->sent_us);
		recorder->last_failure_us = 0;
		batch_finish(batch, true, appended->first_offset);
		return;
	}
	if (appended->status == STORE_INVALID) {
		batch_reject(batch);
		return;
	}
	mark_unreachable(recorder, appended->status);
	/* After the first failure, append at once through another gateway,
	 * which the store may serve. */
	if (recorder->last_failure_us == 0)
		batch->due_us = now_us;
	else if (appended->status == STORE_FULL)
		batch->due_us = now_us + FULL_RETRY_US;
	else if (batch->due_us > now_us + RETRY_US)
		batch->due_us = now_us + RETRY_US;
	recorder->last_failure_us = now_us;
	arm_timer(recorder);
}

static size_t
list_records(const struct batch *batch, struct wire_bytes *records)
{
	size_t count = 0;

	list_for_each (
	    pending_record, &batch->records, struct pending_record, link)
		records[count++] = (struct wire_bytes){
		    .data = pending_record->data.data,
		    .len = pending_record->data.len,
		};
	return count;
}

static bool
append_by_relay(struct batch *batch)
{
	struct gateway *gateway = batch->recorder->gateway;
	const char *vm = peer_gateways_next_relay(gateway->peer_gateways);
	size_t count = list_length(&batch->records);
	struct wire_bytes *records = xcalloc(count, sizeof(*records));
	struct message message = {
	    .type = topics[batch->topic].append,
	    .store_append =
		{
		    .number = batch->number,
		    .partition = batch->partition,
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
append_directly(struct batch *batch)
{
	struct recorder *recorder = batch->recorder;
	size_t count = list_length(&batch->records);
	struct wire_bytes *records;
	struct direct_append *direct_append = NULL;

	for (size_t i = 0; i < DIRECT_APPENDS_MAX && direct_append == NULL;
	     i++) {
		if (batch->direct_appends[i].call == NULL)
			direct_append = &batch->direct_appends[i];
	}
	if (direct_append == NULL)
		return false;
	records = xcalloc(count, sizeof(*records));
	list_records(batch, records);
	direct_append->sent_us = clock_monotonic_us();
	direct_append->call = store_append(recorder->gateway->store,
	    topics[batch->topic].name, batch->partition, records, count,
	    APPEND_TIMEOUT_US, handle_appended, direct_append);
	free(records);
	return true;
}

static int64_t
hedge_delay_us(const struct recorder *recorder, enum recorder_topic topic)
{
	int64_t us = (int64_t)(recorder->average_us[topic] * HEDGE_FACTOR);
	int64_t min_us =
	    topic == RECORDER_CONTENTS ? HEDGE_CONTENTS_MIN_US : HEDGE_MIN_US;

	if (us < min_us)
		return min_us;
	return us < HEDGE_MAX_US ? us : HEDGE_MAX_US;
}

/* Appends a batch. The store may refuse this gateway but serve others: while
 * direct appends fail, every second append goes through another gateway,
 * beginning with the first. */
static void
batch_append(struct batch *batch)
{
	struct recorder *recorder = batch->recorder;
	int64_t now_us = clock_monotonic_us();
	bool direct_failing = recorder->last_failure_us != 0 &&
	    now_us - recorder->last_failure_us < RELAY_PERIOD_US;

	batch->append_count++;
	if (direct_failing && batch->append_count % 2 == 1 &&
	    append_by_relay(batch)) {
		batch->due_us = now_us + RELAY_TIMEOUT_US;
		return;
	}
	append_directly(batch);
	batch->due_us = now_us + hedge_delay_us(recorder, batch->topic);
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
		batch_append(batch);
	arm_timer(recorder);
}

static size_t
batch_max_bytes(const struct recorder *recorder)
{
	size_t append_max =
	    recorder->gateway->settings.gateway_append_max_bytes;

	return append_max < BATCH_MAX_BYTES ? append_max : BATCH_MAX_BYTES;
}

static void
start_batch(
    struct recorder *recorder, enum recorder_topic topic, uint32_t partition)
{
	struct record_queue *queue = &recorder->queues[topic][partition];
	struct batch *batch;
	size_t bytes = 0;

	if (queue->busy || list_empty(&queue->records))
		return;
	batch = xcalloc(1, sizeof(*batch));
	batch->recorder = recorder;
	batch->topic = topic;
	batch->partition = partition;
	batch->number = ++recorder->next_batch_number;
	for (size_t i = 0; i < DIRECT_APPENDS_MAX; i++)
		batch->direct_appends[i].batch = batch;
	list_init(&batch->records);
	list_append(&recorder->batches, &batch->link);
	while (!list_empty(&queue->records)) {
		struct pending_record *pending_record = list_entry(
		    queue->records.next, struct pending_record, link);

		bytes += STORE_RECORD_OVERHEAD_BYTES + pending_record->data.len;
		if (!list_empty(&batch->records) &&
		    (pending_record->alone ||
			bytes > batch_max_bytes(recorder)))
			break;
		list_remove(&pending_record->link);
		list_append(&batch->records, &pending_record->link);
		if (pending_record->alone)
			break;
	}
	queue->busy = true;
	batch_append(batch);
}

struct pending_record *
recorder_append(struct recorder *recorder, enum recorder_topic topic,
    uint32_t partition, struct buf *record,
    void (*done)(void *context, bool ok, uint64_t offset), void *context)
{
	struct pending_record *pending_record =
	    xcalloc(1, sizeof(*pending_record));

	pending_record->data = *record;
	*record = (struct buf){0};
	pending_record->done = done;
	pending_record->context = context;
	list_append(
	    &recorder->queues[topic][partition].records, &pending_record->link);
	start_batch(recorder, topic, partition);
	arm_timer(recorder);
	return pending_record;
}

void
recorder_detach(struct pending_record *pending_record)
{
	pending_record->done = NULL;
}

static void
relayed_append_free(struct relayed_append *relayed_append)
{
	list_remove(&relayed_append->link);
	free(relayed_append);
}

static void
handle_relayed_append(void *context, const struct store_appended *appended)
{
	struct relayed_append *relayed_append = context;
	struct recorder *recorder = relayed_append->recorder;
	struct message message = {
	    .type = MESSAGE_STORE_APPEND_REPLY,
	    .store_append_reply =
		{
		    .number = relayed_append->number,
		    .ok = appended->status == STORE_OK,
		    .first_offset = appended->first_offset,
		    .rejected = appended->status == STORE_INVALID,
		},
	};

	relayed_append->call = NULL;
	peer_gateways_send(
	    recorder->gateway->peer_gateways, relayed_append->vm, &message);
	relayed_append_free(relayed_append);
}

static void
relay_append(struct recorder *recorder, enum recorder_topic topic,
    const struct message *message)
{
	const struct message_store_append *append = &message->store_append;
	struct relayed_append *relayed_append;
	struct wire_bytes *records;

	if (append->partition >= SETTINGS_PARTITIONS_MAX ||
	    append->record_count == 0)
		return;
	relayed_append = xcalloc(1, sizeof(*relayed_append));
	relayed_append->recorder = recorder;
	relayed_append->number = append->number;
	memcpy(relayed_append->vm, message->sender, NAME_BYTES);
	list_append(&recorder->relayed_appends, &relayed_append->link);
	records = xcalloc(append->record_count, sizeof(*records));
	for (size_t i = 0; i < append->record_count; i++)
		records[i] = append->records[i].data;
	relayed_append->call =
	    store_append(recorder->gateway->store, topics[topic].name,
		append->partition, records, append->record_count,
		APPEND_TIMEOUT_US, handle_relayed_append, relayed_append);
	free(records);
}

static void
handle_relay_reply(
    struct recorder *recorder, const struct message_store_append_reply *reply)
{
	list_for_each (batch, &recorder->batches, struct batch, link) {
		if (batch->number != reply->number)
			continue;
		if (reply->ok) {
			mark_reachable(recorder);
			batch_finish(batch, true, reply->first_offset);
			return;
		}
		if (reply->rejected) {
			batch_reject(batch);
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
		relay_append(recorder, RECORDER_TURNS, message);
	else if (message->type == MESSAGE_CONTENT_APPEND)
		relay_append(recorder, RECORDER_CONTENTS, message);
	else if (message->type == MESSAGE_STORE_APPEND_REPLY)
		handle_relay_reply(recorder, &message->store_append_reply);
}

struct recorder *
recorder_create(struct gateway *gateway)
{
	struct recorder *recorder = xcalloc(1, sizeof(*recorder));

	recorder->gateway = gateway;
	recorder->next_batch_number = rng_next(&gateway->rng) >> 1;
	for (int topic = 0; topic < RECORDER_TOPIC_COUNT; topic++) {
		for (size_t i = 0; i < SETTINGS_PARTITIONS_MAX; i++)
			list_init(&recorder->queues[topic][i].records);
	}
	list_init(&recorder->batches);
	list_init(&recorder->relayed_appends);
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
free_records(struct list *records)
{
	struct list *item;

	while ((item = list_pop(records)) != NULL)
		pending_record_free(
		    list_entry(item, struct pending_record, link));
}

void
recorder_destroy(struct recorder *recorder)
{
	struct list *item;

	while ((item = list_pop(&recorder->batches)) != NULL) {
		struct batch *batch = list_entry(item, struct batch, link);

		free_records(&batch->records);
		batch_free(batch);
	}
	for (int topic = 0; topic < RECORDER_TOPIC_COUNT; topic++) {
		for (size_t i = 0; i < SETTINGS_PARTITIONS_MAX; i++)
			free_records(&recorder->queues[topic][i].records);
	}
	while ((item = list_pop(&recorder->relayed_appends)) != NULL) {
		struct relayed_append *relayed_append =
		    list_entry(item, struct relayed_append, link);

		if (relayed_append->call != NULL)
			store_cancel(relayed_append->call);
		relayed_append_free(relayed_append);
	}
	uv_close((uv_handle_t *)recorder->timer, handle_timer_closed);
	free(recorder);
}
