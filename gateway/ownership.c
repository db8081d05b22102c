#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/fellows.h"
#include "gateway/ownership.h"
#include "gateway/recorder.h"
#include "gateway/turn.h"
#include "turn/ledger.h"

enum {
	JOINS_PER_LEASE = 4,
	JOIN_TIMEOUT_US = 700 * US_PER_MS,
	READ_TIMEOUT_US = 1500 * US_PER_MS,
	READ_MAX_BYTES = 256 << 10, /* a takeover's memory is bounded by it */
	READ_RETRY_US = 100 * US_PER_MS,
	FLUSH_US = 20 * US_PER_MS, /* what ended turns spent waits so long */
	FLUSH_RETRY_US = 100 * US_PER_MS,
	APPEND_TIMEOUT_US = 600 * US_PER_MS,
	ASK_MAX_US = 1200 * US_PER_MS, /* an ask waits; then it is dropped */
	EXPIRE_US = 1 * US_PER_S,
	TICK_MS = 20,
	CHAIN_MAX = 1024, /* turns of a chain */
	BATCH_MAX = 256,  /* records in an append */
};

static const char GROUP[] = "programs";

/** A question that can't be answered yet. */
struct ask {
	struct list link; /**< in its partition */
	char vm[NAME_BYTES];
	int64_t since_us;
	bool read_through; /**< the log was read to its end since it came */
	enum message_type type;
	struct message_turn_begin begin;
	struct message_turn_find find;
};

struct partition {
	struct ownership *owner;
	uint32_t part;
	bool held;  /**< dealt to this VM */
	bool ready; /**< its log has been read */
	struct ledger *ledger;
	uint64_t epoch;
	uint64_t next; /**< offset to read from */
	int64_t taken_us;
	struct store_call *read;
	int64_t read_due_us; /**< when to read again; 0: no need */
	bool read_again;     /**< something came while a read was under way */
	struct list asks;
	struct store_call *append;
	int64_t flush_due_us; /**< 0: nothing to append */
};

struct ownership {
	struct gateway *gateway;
	struct partition partitions[SETTINGS_PARTITIONS_MAX];
	uint32_t count;
	uint64_t generation;
	int64_t lease_until_us; /**< surely the owner until then */
	int64_t lease_us;
	struct store_call *join;
	int64_t join_sent_us;
	int64_t expired_us;
	bool leaving;
	bool lost;      /**< the last join failed */
	bool suspended; /**< the lease has run out */
	uv_timer_t *join_timer;
	uv_timer_t *tick;
};

static void partition_read(struct partition *partition);
static void partition_flush(struct partition *partition);

static bool
ownership_is_sure(const struct ownership *owner)
{
	return clock_monotonic_us() < owner->lease_until_us;
}

/* ---- answers ---- */

static void
reply(struct ownership *owner, const char *vm, struct message *message)
{
	fellows_send(owner->gateway->fellows, vm, message);
}

static void
answer_begin(struct ownership *owner, const char *vm, const char *turn,
    enum turn_answer answer)
{
	struct message message = {
	    .type = MESSAGE_TURN_GRANTED,
	    .turn_granted = {.answer = answer},
	};

	memcpy(message.turn_granted.turn, turn, NAME_BYTES);
	reply(owner, vm, &message);
}

static void
answer_find(struct ownership *owner, const char *vm,
    const struct message_turn_find *find, enum turn_answer answer)
{
	struct message message = {
	    .type = MESSAGE_TURN_FOUND,
	    .turn_found = {.part = find->part, .answer = answer},
	};

	memcpy(message.turn_found.turn, find->turn, NAME_BYTES);
	reply(owner, vm, &message);
}

static void
answer_ask(
    struct ownership *owner, const struct ask *ask, enum turn_answer answer)
{
	if (ask->type == MESSAGE_TURN_BEGIN)
		answer_begin(owner, ask->vm, ask->begin.turn, answer);
	else
		answer_find(owner, ask->vm, &ask->find, answer);
}

static void
ask_free(struct ask *ask)
{
	list_remove(&ask->link);
	free(ask);
}

/* ---- asks ---- */

/* Reads what was appended since the last read. A read that is under way may
 * have begun before it. */
static void
partition_catch_up(struct partition *partition)
{
	if (partition->read != NULL)
		partition->read_again = true;
	else
		partition_read(partition);
}

static void
fill_chain(const struct partition *partition, const char *turn,
    struct turn_ref **chain, size_t *count)
{
	*chain = xcalloc(CHAIN_MAX, sizeof(**chain));
	*count = ledger_chain(partition->ledger, turn, *chain, CHAIN_MAX);
}

static void
grant(struct partition *partition, const struct ask *ask)
{
	const struct message_turn_begin *begin = &ask->begin;
	struct message message = {
	    .type = MESSAGE_TURN_GRANTED,
	    .turn_granted =
		{
		    .answer = TURN_ANSWER_GRANTED,
		    .epoch = partition->epoch,
		},
	};
	struct message_turn_granted *granted = &message.turn_granted;
	struct ledger_kept kept;

	memcpy(granted->turn, begin->turn, NAME_BYTES);
	snprintf(granted->server, NAME_BYTES, "%s",
	    ledger_server(partition->ledger, begin->program, begin->session));
	if (begin->previous[0] != '\0' &&
	    ledger_find(partition->ledger, begin->previous, &kept)) {
		granted->known = true;
		snprintf(granted->vm, NAME_BYTES, "%s", kept.vm);
		snprintf(granted->server, NAME_BYTES, "%s", kept.server);
		if (begin->wants_chain)
			fill_chain(partition, begin->previous, &granted->chain,
			    &granted->chain_count);
	}
	reply(partition->owner, ask->vm, &message);
	free(granted->chain);
}

/* Returns whether the ask is answered. */
static bool
try_begin(struct partition *partition, struct ask *ask)
{
	const struct message_turn_begin *begin = &ask->begin;
	int64_t now_us = clock_monotonic_us();
	const struct ledger_ask ledger_ask = {
	    .turn = begin->turn,
	    .program = begin->program,
	    .has_budget = begin->has_budget,
	    .budget = begin->budget,
	    .most = begin->most,
	    .deadline_us = now_us + begin->left_us,
	};
	struct ledger_kept kept;

	/* What it continues may have been appended but not told yet. */
	if (begin->previous[0] != '\0' && begin->wants_chain &&
	    !ask->read_through &&
	    !ledger_find(partition->ledger, begin->previous, &kept)) {
		partition_catch_up(partition);
		return false;
	}
	switch (ledger_begin(partition->ledger, &ledger_ask, now_us)) {
	case LEDGER_GRANTED:
		grant(partition, ask);
		return true;
	case LEDGER_WAITS:
		partition_flush(partition);
		return false;
	case LEDGER_BUSY:
		answer_ask(partition->owner, ask, TURN_ANSWER_BUSY);
		return true;
	case LEDGER_EXHAUSTED:
		answer_ask(partition->owner, ask, TURN_ANSWER_EXHAUSTED);
		return true;
	case LEDGER_ENDED:
		return true;
	}
	return true;
}

static bool
try_find(struct partition *partition, struct ask *ask)
{
	struct message message = {
	    .type = MESSAGE_TURN_FOUND,
	    .turn_found =
		{
		    .part = partition->part,
		    .answer = TURN_ANSWER_GRANTED,
		},
	};
	struct message_turn_found *found = &message.turn_found;
	struct ledger_kept kept;

	found->known = ledger_find(partition->ledger, ask->find.turn, &kept);
	if (!found->known && ask->find.certain && !ask->read_through) {
		partition_catch_up(partition);
		return false;
	}
	memcpy(found->turn, ask->find.turn, NAME_BYTES);
	if (found->known) {
		snprintf(found->vm, NAME_BYTES, "%s", kept.vm);
		snprintf(found->server, NAME_BYTES, "%s", kept.server);
		fill_chain(partition, ask->find.turn, &found->chain,
		    &found->chain_count);
	}
	reply(partition->owner, ask->vm, &message);
	free(found->chain);
	return true;
}

/* Returns whether the ask is answered. */
static bool
try_ask(struct partition *partition, struct ask *ask)
{
	struct ownership *owner = partition->owner;

	if (!partition->held) {
		answer_ask(owner, ask, TURN_ANSWER_NOT_OWNER);
		return true;
	}
	if (!ownership_is_sure(owner)) {
		answer_ask(owner, ask, TURN_ANSWER_UNSURE);
		return true;
	}
	if (!partition->ready)
		return false;
	return ask->type == MESSAGE_TURN_BEGIN ? try_begin(partition, ask)
					       : try_find(partition, ask);
}

static void
partition_answer_asks(struct partition *partition)
{
	list_for_each_safe (ask, tmp, &partition->asks, struct ask, link) {
		if (try_ask(partition, ask))
			ask_free(ask);
	}
}

static void
partition_mark_read(struct partition *partition)
{
	list_for_each (ask, &partition->asks, struct ask, link)
		ask->read_through = true;
}

static void
take_ask(struct partition *partition, const struct message *message)
{
	struct ask *ask = xcalloc(1, sizeof(*ask));

	ask->since_us = clock_monotonic_us();
	ask->type = message->type;
	memcpy(ask->vm, message->sender, NAME_BYTES);
	if (message->type == MESSAGE_TURN_BEGIN)
		ask->begin = message->turn_begin;
	else
		ask->find = message->turn_find;
	list_append(&partition->asks, &ask->link);
	if (try_ask(partition, ask))
		ask_free(ask);
}

/* ---- ends of turns ---- */

static void
take_end(struct partition *partition, const struct message *message)
{
	const struct message_turn_end *end = &message->turn_end;
	struct ownership *owner = partition->owner;
	struct message answer = {
	    .type = MESSAGE_TURN_ENDED,
	    .turn_ended = {.owner = partition->held},
	};
	struct turn_record record = {
	    .type = (enum turn_record_type)end->type,
	    .epoch = end->epoch,
	    .spent = end->spent,
	    .most = end->most,
	    .budget = end->budget,
	    .ancestors = end->ancestors,
	    .ancestor_count = end->ancestor_count,
	};

	if (partition->held && !partition->ready)
		return; /* it is told again */
	memcpy(answer.turn_ended.turn, end->turn, NAME_BYTES);
	if (partition->held) {
		memcpy(record.turn, end->turn, NAME_BYTES);
		memcpy(record.program, end->program, NAME_BYTES);
		memcpy(record.previous, end->previous, NAME_BYTES);
		memcpy(record.vm, message->sender, NAME_BYTES);
		memcpy(record.server, end->server, NAME_BYTES);
		ledger_end(partition->ledger, &record, end->offset, end->bytes,
		    clock_monotonic_us());
		ledger_note_server(
		    partition->ledger, end->program, end->session, end->server);
		if (ledger_has_records(partition->ledger) &&
		    partition->flush_due_us == 0)
			partition->flush_due_us =
			    clock_monotonic_us() + FLUSH_US;
		partition_answer_asks(partition);
	}
	reply(owner, message->sender, &answer);
}

/* ---- appends ---- */

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
	partition_answer_asks(partition);
	if (ledger_is_urgent(partition->ledger))
		partition_flush(partition);
	else if (ledger_has_records(partition->ledger))
		partition->flush_due_us = clock_monotonic_us() + FLUSH_US;
}

static void
partition_flush(struct partition *partition)
{
	struct buf buffers[BATCH_MAX] = {{0}};
	struct record_bytes records[BATCH_MAX];
	size_t count = 0;

	partition->flush_due_us = 0;
	if (partition->append != NULL)
		return;
	while (count < BATCH_MAX &&
	    ledger_next_record(partition->ledger, &buffers[count])) {
		records[count] = (struct record_bytes){
		    .data = buffers[count].data,
		    .len = buffers[count].len,
		};
		count++;
	}
	if (count == 0)
		return;
	partition->append = store_append(partition->owner->gateway->store,
	    TOPIC_TURNS, partition->part, records, count, APPEND_TIMEOUT_US,
	    handle_appended, partition);
	for (size_t i = 0; i < count; i++)
		buf_reset(&buffers[i]);
}

/* ---- reading ---- */

static void
partition_apply(struct partition *partition, const struct store_read *read)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < read->count; i++) {
		struct turn_record record;
		struct error err = {0};

		if (!turn_record_decode(read->records[i].data,
			read->records[i].len, &record, &err)) {
			diag(LOG_WARNING, NULL, "partition %u: %s",
			    partition->part, err.text);
			continue;
		}
		ledger_apply(partition->ledger, read->from + i,
		    (uint32_t)read->records[i].len, &record, now_us);
		turn_record_reset(&record);
	}
	partition->next = read->from + read->count;
}

static void
trace_partition(const struct partition *partition, const char *event)
{
	struct trace trace;

	trace_begin_rare(&trace, event);
	trace_number(&trace, "partition", partition->part);
	trace_number(&trace, "epoch", (int64_t)partition->epoch);
	trace_number(&trace, "next_offset", (int64_t)partition->next);
	if (partition->ledger != NULL) {
		trace_number(&trace, "programs",
		    (int64_t)ledger_programs(partition->ledger));
		trace_number(
		    &trace, "turns", (int64_t)ledger_turns(partition->ledger));
	}
	trace_ms(
	    &trace, "since_ms", clock_monotonic_us() - partition->taken_us);
	trace_end(&trace);
}

/* All that was in the log when the read began is known. */
static void
partition_read_through(struct partition *partition)
{
	if (partition->read_again) {
		partition->read_again = false;
		partition_read(partition);
		return;
	}
	if (!partition->ready) {
		partition->ready = true;
		ledger_own(
		    partition->ledger, partition->epoch, clock_monotonic_us());
		trace_partition(partition, "partition_ready");
		fellows_pulse(partition->owner->gateway->fellows);
	}
	partition_mark_read(partition);
	partition_answer_asks(partition);
}

static void
handle_read(void *context, const struct store_read *read)
{
	struct partition *partition = context;

	partition->read = NULL;
	switch (read->status) {
	case STORE_OK:
		partition_apply(partition, read);
		if (partition->next < read->end)
			partition_read(partition);
		else
			partition_read_through(partition);
		return;
	case STORE_EXPIRED:
		partition->next = read->first;
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
	partition->read_due_us = 0;
	partition->read = store_read(partition->owner->gateway->store,
	    TOPIC_TURNS, partition->part, partition->next, READ_MAX_BYTES, 0,
	    READ_TIMEOUT_US, handle_read, partition);
}

/* ---- partitions ---- */

static void
partition_take(struct partition *partition, uint64_t generation)
{
	partition->held = true;
	partition->ready = false;
	partition->epoch = generation;
	partition->next = 0;
	partition->taken_us = clock_monotonic_us();
	partition->ledger = ledger_create(partition->part);
	partition->owner->gateway->counters.takeovers_total++;
	trace_partition(partition, "partition_taken");
	partition_read(partition);
}

/* The lease had run out, and this VM has the partition again. Another one may
 * have had it in between. */
static void
partition_resume(struct partition *partition, uint64_t generation)
{
	if (partition->epoch == generation)
		return;
	partition->epoch = generation;
	partition->ready = false;
	partition->taken_us = clock_monotonic_us();
	trace_partition(partition, "partition_resumed");
	partition_catch_up(partition);
}

static void
partition_drop(struct partition *partition)
{
	if (!partition->held)
		return;
	trace_partition(partition, "partition_dropped");
	partition->held = false;
	partition->ready = false;
	partition->read_again = false;
	partition->read_due_us = 0;
	partition->flush_due_us = 0;
	if (partition->read != NULL)
		store_cancel(partition->read);
	if (partition->append != NULL)
		store_cancel(partition->append);
	partition->read = NULL;
	partition->append = NULL;
	partition_answer_asks(partition);
	ledger_destroy(partition->ledger);
	partition->ledger = NULL;
}

uint64_t
ownership_generation(const struct ownership *owner)
{
	return owner->generation;
}

uint64_t
ownership_owned(const struct ownership *owner)
{
	uint64_t owned = 0;

	for (uint32_t i = 0; i < owner->count && ownership_is_sure(owner);
	     i++) {
		if (owner->partitions[i].held)
			owned |= (uint64_t)1 << i;
	}
	return owned;
}

/* ---- membership of the group ---- */

static void
trace_dependency(const char *event, enum store_status status)
{
	struct trace trace;

	trace_begin_rare(&trace, event);
	trace_text(&trace, "dependency", "store/ownership");
	trace_number(&trace, "store_status", (int64_t)status);
	trace_end(&trace);
}

static bool
is_dealt(const struct store_joined *joined, uint32_t part)
{
	for (size_t i = 0; i < joined->part_count; i++) {
		if (joined->parts[i] == part)
			return true;
	}
	return false;
}

static void
handle_joined(void *context, const struct store_joined *joined)
{
	struct ownership *owner = context;
	uint64_t before = ownership_owned(owner);

	owner->join = NULL;
	if (joined->status != STORE_OK) {
		if (!owner->lost)
			trace_dependency("dependency_lost", joined->status);
		owner->lost = true;
		return;
	}
	if (owner->lost)
		trace_dependency("dependency_regained", joined->status);
	owner->lost = false;
	owner->lease_until_us = owner->join_sent_us + owner->lease_us;
	owner->generation = joined->generation;
	for (uint32_t i = 0; i < owner->count; i++) {
		struct partition *partition = &owner->partitions[i];
		bool dealt = !owner->leaving && is_dealt(joined, i);

		if (dealt && !partition->held)
			partition_take(partition, joined->generation);
		else if (dealt && owner->suspended)
			partition_resume(partition, joined->generation);
		else if (!dealt && partition->held)
			partition_drop(partition);
	}
	owner->suspended = false;
	if (ownership_owned(owner) != before)
		fellows_pulse(owner->gateway->fellows);
}

static void
join(struct ownership *owner)
{
	struct gateway *gateway = owner->gateway;
	char name[FELLOW_NAME_BYTES];

	if (owner->join != NULL || owner->leaving)
		return;
	fellows_own_name(gateway->fellows, name);
	owner->join_sent_us = clock_monotonic_us();
	owner->join = store_join(gateway->store, GROUP, name, TOPIC_TURNS,
	    owner->lease_us, owner->generation, JOIN_TIMEOUT_US, handle_joined,
	    owner);
}

static void
handle_join_timer(uv_timer_t *timer)
{
	join(timer->data);
}

/* A lease that ran out may have gone to another VM. The ledgers are kept: if
 * the store deals the partitions to this VM again, only what was appended
 * since has to be read. */
static void
suspend_if_expired(struct ownership *owner)
{
	if (owner->suspended || owner->generation == 0 ||
	    ownership_is_sure(owner))
		return;
	owner->suspended = true;
	for (uint32_t i = 0; i < owner->count; i++)
		partition_answer_asks(&owner->partitions[i]);
	fellows_pulse(owner->gateway->fellows);
}

static void
drop_old_asks(struct partition *partition, int64_t now_us)
{
	list_for_each_safe (ask, tmp, &partition->asks, struct ask, link) {
		if (now_us - ask->since_us > ASK_MAX_US)
			ask_free(ask);
	}
}

static void
partition_tick(struct partition *partition, int64_t now_us, bool expire)
{
	drop_old_asks(partition, now_us);
	if (!partition->held)
		return;
	if (partition->read_due_us != 0 && partition->read_due_us <= now_us)
		partition_read(partition);
	if (!partition->ready)
		return;
	if (expire) {
		ledger_expire(partition->ledger, now_us);
		if (ledger_has_records(partition->ledger) &&
		    partition->flush_due_us == 0)
			partition->flush_due_us = now_us;
	}
	if (partition->flush_due_us != 0 && partition->flush_due_us <= now_us)
		partition_flush(partition);
}

static void
handle_tick(uv_timer_t *timer)
{
	struct ownership *owner = timer->data;
	int64_t now_us = clock_monotonic_us();
	bool expire = now_us - owner->expired_us > EXPIRE_US;

	suspend_if_expired(owner);
	if (expire)
		owner->expired_us = now_us;
	for (uint32_t i = 0; i < owner->count; i++)
		partition_tick(&owner->partitions[i], now_us, expire);
}

static void
handle_left(void *context, enum store_status status)
{
	struct ownership *owner = context;

	(void)status; /* otherwise the lease runs out */
	owner->join = NULL;
}

void
ownership_leave(struct ownership *owner)
{
	struct gateway *gateway = owner->gateway;
	char name[FELLOW_NAME_BYTES];

	if (owner->leaving)
		return;
	owner->leaving = true;
	if (owner->join != NULL)
		store_cancel(owner->join);
	for (uint32_t i = 0; i < owner->count; i++)
		partition_drop(&owner->partitions[i]);
	fellows_own_name(gateway->fellows, name);
	owner->join = store_leave(
	    gateway->store, GROUP, name, JOIN_TIMEOUT_US, handle_left, owner);
}

/* ---- messages ---- */

static uint32_t
part_of(const struct ownership *owner, const char *program)
{
	return (uint32_t)(hash_text(program, 0) % owner->count);
}

void
ownership_handle_message(struct ownership *owner, const struct message *message)
{
	uint32_t part;

	switch (message->type) {
	case MESSAGE_TURN_BEGIN:
		part = part_of(owner, message->turn_begin.program);
		take_ask(&owner->partitions[part], message);
		return;
	case MESSAGE_TURN_FIND:
		if (message->turn_find.part < owner->count)
			take_ask(&owner->partitions[message->turn_find.part],
			    message);
		return;
	case MESSAGE_TURN_END:
		part = part_of(owner, message->turn_end.program);
		take_end(&owner->partitions[part], message);
		return;
	default:
		return;
	}
}

/* ---- start and end ---- */

struct ownership *
ownership_create(struct gateway *gateway)
{
	struct ownership *owner = xcalloc(1, sizeof(*owner));
	uint64_t interval_ms;

	owner->gateway = gateway;
	owner->count = (uint32_t)gateway->settings.gateway_partitions;
	owner->lease_us = gateway->settings.gateway_lease_us;
	for (uint32_t i = 0; i < SETTINGS_PARTITIONS_MAX; i++) {
		owner->partitions[i].owner = owner;
		owner->partitions[i].part = i;
		list_init(&owner->partitions[i].asks);
	}
	owner->join_timer = xcalloc(1, sizeof(*owner->join_timer));
	uv_timer_init(&gateway->loop, owner->join_timer);
	owner->join_timer->data = owner;
	owner->tick = xcalloc(1, sizeof(*owner->tick));
	uv_timer_init(&gateway->loop, owner->tick);
	owner->tick->data = owner;
	interval_ms = (uint64_t)(owner->lease_us / JOINS_PER_LEASE / US_PER_MS);
	uv_timer_start(owner->join_timer, handle_join_timer, 0, interval_ms);
	uv_timer_start(owner->tick, handle_tick, TICK_MS, TICK_MS);
	return owner;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
ownership_destroy(struct ownership *owner)
{
	if (owner->join != NULL)
		store_cancel(owner->join);
	for (uint32_t i = 0; i < owner->count; i++) {
		struct partition *partition = &owner->partitions[i];

		partition_drop(partition);
		list_for_each_safe (
		    ask, tmp, &partition->asks, struct ask, link)
			ask_free(ask);
	}
	uv_close((uv_handle_t *)owner->join_timer, handle_timer_closed);
	uv_close((uv_handle_t *)owner->tick, handle_timer_closed);
	free(owner);
}
