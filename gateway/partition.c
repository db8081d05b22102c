#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/partition.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"

enum {
	READ_TIMEOUT_US = 1500 * US_PER_MS,
	READ_MAX_BYTES = 256 << 10, /* bounds the memory that a takeover uses */
	READ_RETRY_US = 100 * US_PER_MS,
	/* Wait of records of ended turns, so that several share an append. */
	FLUSH_DELAY_US = 20 * US_PER_MS,
	FLUSH_RETRY_US = 100 * US_PER_MS,
	APPEND_TIMEOUT_US = 600 * US_PER_MS,
	/* Age at which a gap in the known records is read from the log: the
	 * gateways report records out of order. */
	GAP_TIMEOUT_US = 1 * US_PER_S,
	INDEX_INTERVAL_US = 1500 * US_PER_MS, /* between appends to the index */
	/* The previous owner may grant turns until its next join, whose reply
	 * tells it of the new assignment. The log is therefore read again after
	 * this time, which is longer than the time between two joins. */
	HANDOVER_US = 320 * US_PER_MS,
	BATCH_MAX = 256, /* records per append */
	CHECKPOINT_MAX_BYTES = 64,
};

static const char TOPIC_INDEX[] = "index";

static void
trace_partition(const struct partition *partition, const char *event)
{
	struct trace trace;

	trace_begin_unlimited(&trace, event);
	trace_number(&trace, "partition", partition->number);
	trace_number(&trace, "epoch", (int64_t)partition->epoch);
	trace_number(&trace, "next_offset",
	    (int64_t)partition->known_offsets.contiguous_end);
	if (partition->ledger != NULL) {
		trace_number(&trace, "programs",
		    (int64_t)ledger_program_count(partition->ledger));
		trace_number(&trace, "turns",
		    (int64_t)ledger_turn_count(partition->ledger));
	}
	trace_ms(
	    &trace, "since_ms", clock_monotonic_us() - partition->acquired_us);
	trace_end(&trace);
}

static void partition_read(struct partition *partition);

static void
apply_records(
    struct partition *partition, const struct store_read *read, bool index)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < read->count; i++) {
		struct turn_record record;
		struct error err = {0};

		if (!turn_record_decode(read->records[i].data,
			read->records[i].len, &record, &err)) {
			diag(LOG_WARNING, NULL, "partition %u: %s",
			    partition->number, err.text);
			continue;
		}
		if (!index)
			ledger_apply(partition->ledger,
			    read->records_offset + i,
			    (uint32_t)read->records[i].len, &record, now_us);
		else if (record.type == TURN_RECORD_INDEX_CHECKPOINT)
			offsets_advance(
			    &partition->known_offsets, record.offset);
		else
			ledger_apply(partition->ledger, record.offset,
			    record.bytes, &record, now_us);
		turn_record_reset(&record);
	}
}

/* Called when the log has been read to the end that it had when the read
 * began. Reads again if that was requested meanwhile or if the previous owner
 * may still have granted turns; otherwise the partition is ready. */
static void
finish_read(struct partition *partition)
{
	if (partition->read_requested) {
		partition->read_requested = false;
		partition_read(partition);
		return;
	}
	if (!partition->ready &&
	    clock_monotonic_us() < partition->acquired_us + HANDOVER_US) {
		partition->read_due_us = partition->acquired_us + HANDOVER_US;
		return;
	}
	if (!partition->ready) {
		partition->ready = true;
		ledger_take_ownership(
		    partition->ledger, partition->epoch, clock_monotonic_us());
		trace_partition(partition, "partition_ready");
		peer_gateways_announce_state(partition->gateway->peer_gateways);
	}
	partition_mark_pending_read(partition);
	partition_reply_pending(partition);
}

static void
handle_index_read(void *context, const struct store_read *read)
{
	struct partition *partition = context;

	partition->read = NULL;
	switch (read->status) {
	case STORE_OK:
		apply_records(partition, read, true);
		partition->index_next = read->records_offset + read->count;
		partition->index_complete =
		    partition->index_next >= read->end_offset;
		break;
	case STORE_EXPIRED:
		partition->index_next = read->oldest_offset;
		break;
	default:
		partition->read_due_us = clock_monotonic_us() + READ_RETRY_US;
		return;
	}
	partition_read(partition);
}

static void
handle_turns_read(void *context, const struct store_read *read)
{
	struct partition *partition = context;

	partition->read = NULL;
	switch (read->status) {
	case STORE_OK:
		apply_records(partition, read, false);
		offsets_advance(&partition->known_offsets,
		    read->records_offset + read->count);
		if (partition->known_offsets.contiguous_end < read->end_offset)
			partition_read(partition);
		else
			finish_read(partition);
		return;
	case STORE_EXPIRED:
		offsets_advance(&partition->known_offsets, read->oldest_offset);
		partition_read(partition);
		return;
	default:
		partition->read_due_us = clock_monotonic_us() + READ_RETRY_US;
		return;
	}
}

static void
partition_read(struct partition *partition)
{
	struct store *store = partition->gateway->store;

	partition->read_due_us = 0;
	if (!partition->index_complete)
		partition->read = store_read(store, TOPIC_INDEX,
		    partition->number, partition->index_next, READ_MAX_BYTES, 0,
		    READ_TIMEOUT_US, handle_index_read, partition);
	else
		partition->read =
		    store_read(store, TOPIC_TURNS, partition->number,
			partition->known_offsets.contiguous_end, READ_MAX_BYTES,
			0, READ_TIMEOUT_US, handle_turns_read, partition);
}

/* A read in progress may have begun before the wanted records were appended,
 * so another one follows it. */
void
partition_catch_up(struct partition *partition)
{
	if (partition->read != NULL)
		partition->read_requested = true;
	else if (partition->read_due_us == 0)
		partition_read(partition);
}

/* Reads the log if known records have had a gap for GAP_TIMEOUT_US: the report
 * of a record may be lost. */
static void
check_gap(struct partition *partition, int64_t now_us)
{
	if (!offsets_have_gap(&partition->known_offsets))
		partition->gap_since_us = 0;
	else if (partition->gap_since_us == 0)
		partition->gap_since_us = now_us;
	else if (now_us - partition->gap_since_us > GAP_TIMEOUT_US) {
		partition->gap_since_us = now_us;
		partition_catch_up(partition);
	}
}

static void
handle_appended(void *context, const struct store_appended *appended)
{
	struct partition *partition = context;
	bool durable = appended->status == STORE_OK;

	partition->append = NULL;
	ledger_batch_done(partition->ledger, durable);
	if (!durable) {
		partition->flush_due_us = clock_monotonic_us() + FLUSH_RETRY_US;
		return;
	}
	for (size_t i = 0; i < partition->append_count; i++)
		offsets_add(
		    &partition->known_offsets, appended->first_offset + i);
	partition_reply_pending(partition);
	if (ledger_has_waiting_turns(partition->ledger))
		partition_flush(partition);
	else if (ledger_has_queued_records(partition->ledger))
		partition->flush_due_us = clock_monotonic_us() + FLUSH_DELAY_US;
}

static struct store_call *
append_batch(struct partition *partition, const char *topic,
    struct buf *buffers, size_t count,
    void (*done)(void *context, const struct store_appended *appended))
{
	struct wire_bytes records[BATCH_MAX];

	for (size_t i = 0; i < count; i++)
		records[i] = (struct wire_bytes){
		    .data = buffers[i].data,
		    .len = buffers[i].len,
		};
	return store_append(partition->gateway->store, topic, partition->number,
	    records, count, APPEND_TIMEOUT_US, done, partition);
}

void
partition_flush(struct partition *partition)
{
	struct buf buffers[BATCH_MAX] = {{0}};
	size_t count = 0;

	partition->flush_due_us = 0;
	if (partition->append != NULL)
		return;
	while (count < BATCH_MAX &&
	    ledger_next_record(partition->ledger, &buffers[count]))
		count++;
	if (count == 0)
		return;
	partition->append_count = count;
	partition->append = append_batch(
	    partition, TOPIC_TURNS, buffers, count, handle_appended);
	for (size_t i = 0; i < count; i++)
		buf_reset(&buffers[i]);
}

static void
index_batch_reset(struct partition *partition)
{
	for (size_t i = 0; i < partition->index_count; i++)
		buf_reset(&partition->index_batch[i]);
	free(partition->index_batch);
	partition->index_batch = NULL;
	partition->index_count = 0;
}

static void
handle_index_appended(void *context, const struct store_appended *appended)
{
	struct partition *partition = context;

	partition->index_append = NULL;
	/* After a failure the same records are appended again. */
	if (appended->status == STORE_OK)
		index_batch_reset(partition);
}

/* Collects the records that the index lacks, and a checkpoint: the offset up to
 * which the index covers the topic of turns. */
static void
collect_index_batch(struct partition *partition)
{
	struct turn_record checkpoint = {
	    .type = TURN_RECORD_INDEX_CHECKPOINT,
	    .offset = partition->known_offsets.contiguous_end,
	};
	struct buf *batch = xcalloc(BATCH_MAX, sizeof(*batch));
	size_t left_bytes =
	    partition->gateway->settings.gateway_append_max_bytes -
	    (size_t)BATCH_MAX * STORE_RECORD_OVERHEAD_BYTES -
	    CHECKPOINT_MAX_BYTES;
	size_t count = 0;

	while (count < BATCH_MAX - 1 &&
	    ledger_next_index_record(
		partition->ledger, left_bytes, &batch[count]))
		left_bytes -= batch[count++].len;
	if (count > 0 && !ledger_has_index_records(partition->ledger))
		turn_record_encode(&checkpoint, &batch[count++]);
	partition->index_batch = batch;
	partition->index_count = count;
	if (count == 0)
		index_batch_reset(partition);
}

static void
append_index(struct partition *partition, int64_t now_us)
{
	if (partition->index_append != NULL || now_us < partition->index_due_us)
		return;
	partition->index_due_us = now_us + INDEX_INTERVAL_US;
	if (partition->index_batch == NULL)
		collect_index_batch(partition);
	if (partition->index_batch != NULL)
		partition->index_append =
		    append_batch(partition, TOPIC_INDEX, partition->index_batch,
			partition->index_count, handle_index_appended);
}

void
partition_init(
    struct partition *partition, struct gateway *gateway, uint32_t number)
{
	*partition = (struct partition){.gateway = gateway, .number = number};
	list_init(&partition->pending_requests);
}

void
partition_acquire(struct partition *partition, uint64_t generation)
{
	partition->assigned = true;
	partition->yielded_generation = 0;
	partition->ready = false;
	partition->epoch = generation;
	partition->index_next = 0;
	partition->index_complete = false;
	partition->acquired_us = clock_monotonic_us();
	partition->index_due_us = partition->acquired_us + INDEX_INTERVAL_US;
	partition->ledger = ledger_create(partition->number);
	partition->gateway->counters.takeovers_total++;
	trace_partition(partition, "partition_taken");
	partition_read(partition);
}

/* Another VM may have owned the partition in between and appended records. */
void
partition_resume(struct partition *partition, uint64_t generation)
{
	if (partition->epoch >= generation)
		return;
	partition->epoch = generation;
	partition->yielded_generation = 0;
	partition->ready = false;
	partition->acquired_us = clock_monotonic_us();
	trace_partition(partition, "partition_resumed");
	partition_catch_up(partition);
}

void
partition_yield(struct partition *partition, uint64_t generation)
{
	if (!partition->assigned || generation <= partition->yielded_generation)
		return;
	partition->yielded_generation = generation;
	trace_partition(partition, "partition_yielded");
	partition_reply_pending(partition);
}

static void
cancel(struct store_call **call)
{
	if (*call != NULL)
		store_cancel(*call);
	*call = NULL;
}

void
partition_release(struct partition *partition)
{
	if (!partition->assigned)
		return;
	trace_partition(partition, "partition_dropped");
	partition->assigned = false;
	partition->ready = false;
	partition->read_requested = false;
	partition->read_due_us = 0;
	partition->flush_due_us = 0;
	partition->gap_since_us = 0;
	cancel(&partition->read);
	cancel(&partition->append);
	cancel(&partition->index_append);
	index_batch_reset(partition);
	partition_reply_pending(partition);
	offsets_reset(&partition->known_offsets);
	ledger_destroy(partition->ledger);
	partition->ledger = NULL;
}

void
partition_reset(struct partition *partition)
{
	partition_release(partition);
	partition_drop_pending(partition, 0, true);
}

void
partition_tick(struct partition *partition, int64_t now_us, bool expire)
{
	partition_drop_pending(partition, now_us, false);
	if (!partition->assigned)
		return;
	if (partition->read_due_us != 0 && partition->read_due_us <= now_us)
		partition_read(partition);
	if (!partition->ready)
		return;
	check_gap(partition, now_us);
	if (expire)
		ledger_expire(partition->ledger, now_us);
	if (partition->flush_due_us == 0 &&
	    ledger_has_queued_records(partition->ledger))
		partition->flush_due_us = now_us + FLUSH_DELAY_US;
	if (partition->flush_due_us != 0 && partition->flush_due_us <= now_us)
		partition_flush(partition);
	append_index(partition, now_us);
}
