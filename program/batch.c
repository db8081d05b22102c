#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

static bool
type_urgent(enum record_type type)
{
	switch (type) {
	case RECORD_CLAIM:
	case RECORD_RELEASE:
	case RECORD_INTENT:
	case RECORD_OUTCOME:
	case RECORD_RESERVE:
	case RECORD_PROGRAM_BEGIN:
	case RECORD_CRASH:
		return true;
	default:
		return false;
	}
}

static struct pending *
pending_create(struct owner *owner, uint32_t lane, struct list *list,
    struct record *record, int64_t now_us)
{
	struct pending *pending = xcalloc(1, sizeof(*pending));

	if (record->id == 0)
		record->id = rng_next(&owner->rng) | 1;
	pending->type = record->type;
	pending->id = record->id;
	pending->seq = record->seq;
	pending->lane = lane;
	pending->urgent = type_urgent(record->type);
	pending->queued_us = now_us;
	record_encode(record, &pending->wire);
	owner->lanes[lane].backlog++;
	owner->lanes[lane].backlog_bytes += pending->wire.len;
	list_append(list, &pending->link);
	return pending;
}

struct pending *
pending_add(struct owner *owner, struct shard_slot *slot, struct record *record,
    int64_t now_us)
{
	uint32_t lane = slot->shard.number % owner->limits.lanes;

	record->shard = slot->shard.number;
	if (record->epoch == 0)
		record->epoch = slot->shard.epoch;
	if (record->type != RECORD_CLAIM && record->epoch == slot->shard.epoch)
		record->seq = slot->next_seq++;
	return pending_create(owner, lane, &slot->pending, record, now_us);
}

struct pending *
pending_add_unsharded(
    struct owner *owner, uint32_t lane, struct record *record, int64_t now_us)
{
	return pending_create(
	    owner, lane, &owner->lanes[lane].unsharded, record, now_us);
}

void
pending_free(struct owner *owner, struct pending *pending)
{
	owner->lanes[pending->lane].backlog--;
	owner->lanes[pending->lane].backlog_bytes -= pending->wire.len;
	list_remove(&pending->link);
	buf_reset(&pending->wire);
	free(pending);
}

struct pending *
pending_find(struct list *list, uint64_t id)
{
	list_for_each (pending, list, struct pending, link) {
		if (pending->id == id)
			return pending;
	}
	return NULL;
}

bool
lane_backlog_full(const struct owner *owner, uint32_t lane)
{
	return owner->lanes[lane].backlog_bytes > LANE_BACKLOG_BYTES ||
	    owner->lanes[lane].backlog > LANE_BACKLOG_RECORDS;
}

bool
lane_unavailable(const struct owner *owner, uint32_t lane, int64_t now_us)
{
	int64_t since = owner->lanes[lane].failing_since_us;

	return since != 0 && now_us - since >= LANE_UNAVAILABLE_US;
}

/* Returns a list of a lane's pending records: group 0 holds those of no shard,
 * each further group those of one shard. Returns NULL after the last group. */
static struct list *
lane_group(const struct owner *owner, uint32_t lane, uint32_t group)
{
	uint32_t shard;

	if (group == 0)
		return &owner->lanes[lane].unsharded;
	if (lane >= owner->limits.lanes)
		return NULL;
	shard = lane + (group - 1) * owner->limits.lanes;
	return shard < owner->limits.shards ? &owner->slots[shard].pending
					    : NULL;
}

/* Returns when a group's unsent records are due. An urgent record is due at
 * once, any other after the append delay. */
static int64_t
group_due(const struct owner *owner, const struct list *group)
{
	int64_t due = INT64_MAX;

	list_for_each (pending, group, struct pending, link) {
		int64_t at = pending->queued_us;

		if (pending->state != PENDING_UNSENT)
			continue;
		if (!pending->urgent)
			at += owner->limits.append_delay_us;
		if (at < due)
			due = at;
	}
	return due;
}

static int64_t
lane_due(const struct owner *owner, uint32_t lane)
{
	const struct lane *state = &owner->lanes[lane];
	int64_t due = INT64_MAX;
	const struct list *group;

	if (state->sending || state->append_unknown || state->backlog == 0)
		return INT64_MAX;
	for (uint32_t k = 0; (group = lane_group(owner, lane, k)) != NULL;
	     k++) {
		int64_t at = group_due(owner, group);

		if (at < due)
			due = at;
	}
	if (due == INT64_MAX)
		return due;
	return due > state->retry_us ? due : state->retry_us;
}

static double
append_rate(const struct owner *owner)
{
	return owner->limits.log_appends_per_s * owner->append_share;
}

static double
credit_at(const struct owner *owner, int64_t now_us)
{
	double credit = owner->append_credit +
	    (double)(now_us - owner->append_credit_us) * append_rate(owner) /
		US_PER_S;

	return credit < APPEND_BURST ? credit : APPEND_BURST;
}

int64_t
owner_next_batch_us(const struct owner *owner)
{
	int64_t due = INT64_MAX;
	int64_t credit_due;

	for (uint32_t lane = 0; lane < owner->lane_total; lane++) {
		int64_t at = lane_due(owner, lane);

		if (at < due)
			due = at;
	}
	if (due == INT64_MAX || owner->append_credit >= 1)
		return due;
	credit_due = owner->append_credit_us +
	    (int64_t)((1 - owner->append_credit) * US_PER_S /
		append_rate(owner)) +
	    1;
	return due > credit_due ? due : credit_due;
}

static void
batch_take(struct lane *lane, struct list *group, size_t *bytes)
{
	list_for_each (pending, group, struct pending, link) {
		struct buf *item;

		if (pending->state != PENDING_UNSENT)
			continue;
		if (lane->item_count > 0 &&
		    (lane->item_count == BATCH_RECORDS ||
			*bytes + pending->wire.len > BATCH_BYTES))
			return;
		pending->state = PENDING_SENDING;
		item = &lane->items[lane->item_count++];
		memset(item, 0, sizeof(*item));
		buf_append(item, pending->wire.data, pending->wire.len);
		*bytes += pending->wire.len;
	}
}

/* Fills a batch. Groups that are due go first, because they may leave no room;
 * other unsent records take the rest. */
static void
batch_fill(struct owner *owner, uint32_t lane, int64_t now_us)
{
	struct lane *state = &owner->lanes[lane];
	struct list *group;
	size_t bytes = 0;

	state->items = xcalloc(BATCH_RECORDS, sizeof(state->items[0]));
	state->item_count = 0;
	for (int pass = 0; pass < 2; pass++) {
		for (uint32_t k = 0;
		     (group = lane_group(owner, lane, k)) != NULL; k++) {
			if (pass == 0 && group_due(owner, group) > now_us)
				continue;
			batch_take(state, group, &bytes);
		}
	}
}

bool
owner_next_batch(struct owner *owner, int64_t now_us, struct owner_batch *batch)
{
	owner->append_credit = credit_at(owner, now_us);
	owner->append_credit_us = now_us;
	if (owner->append_credit < 1)
		return false;
	for (uint32_t i = 0; i < owner->lane_total; i++) {
		uint32_t lane = (owner->next_lane + i) % owner->lane_total;
		struct lane *state = &owner->lanes[lane];

		if (lane_due(owner, lane) > now_us)
			continue;
		batch_fill(owner, lane, now_us);
		owner->append_credit -= 1;
		owner->next_lane = lane + 1;
		state->sending = true;
		state->batch_number = ++owner->batches;
		batch->lane = lane;
		batch->number = state->batch_number;
		batch->items = state->items;
		batch->count = state->item_count;
		return true;
	}
	return false;
}

static void
batch_set_state(struct owner *owner, uint32_t lane, enum pending_state state)
{
	struct list *group;

	for (uint32_t k = 0; (group = lane_group(owner, lane, k)) != NULL;
	     k++) {
		list_for_each (pending, group, struct pending, link) {
			if (pending->state != PENDING_SENDING)
				continue;
			pending->state = state;
			pending->lane_ends = 0;
		}
	}
}

static void
lane_append_failed(struct owner *owner, struct lane *lane, int64_t now_us)
{
	int64_t delay = APPEND_RETRY_US;

	for (uint32_t i = 0; i < lane->failures && delay < APPEND_RETRY_MAX_US;
	     i++)
		delay *= 2;
	lane->failures++;
	lane->retry_us =
	    now_us + delay / 2 + (int64_t)rng_below(&owner->rng, delay);
	if (lane->failing_since_us == 0)
		lane->failing_since_us = now_us;
	owner->counters->retries[RETRY_LOG_APPEND]++;
}

void
owner_handle_appended(struct owner *owner, uint64_t number,
    enum append_result result, int64_t now_us)
{
	for (uint32_t i = 0; i < owner->lane_total; i++) {
		struct lane *lane = &owner->lanes[i];

		if (!lane->sending || lane->batch_number != number)
			continue;
		lane->sending = false;
		for (size_t k = 0; k < lane->item_count; k++)
			buf_reset(&lane->items[k]);
		free(lane->items);
		lane->items = NULL;
		lane->item_count = 0;
		if (result == APPEND_DONE) {
			lane->failures = 0;
			lane->failing_since_us = 0;
			batch_set_state(owner, i, PENDING_SENT);
			return;
		}
		lane_append_failed(owner, lane, now_us);
		lane->append_unknown = result == APPEND_UNKNOWN;
		batch_set_state(owner, i,
		    result == APPEND_UNKNOWN ? PENDING_UNKNOWN
					     : PENDING_UNSENT);
		return;
	}
}

/* Marks records to be sent again. A shard's records have to be appended in
 * order, so all that follow the first missing one are sent again too. */
static void
group_resend(struct list *group)
{
	bool resend = false;

	list_for_each (pending, group, struct pending, link) {
		if (pending->state == PENDING_UNKNOWN)
			resend = true;
		if (pending->state == PENDING_SENT &&
		    ++pending->lane_ends >= CONFIRM_LANE_ENDS)
			resend = true;
		if (resend && pending->state != PENDING_SENDING)
			pending->state = PENDING_UNSENT;
	}
}

void
pending_lane_end(struct owner *owner, uint32_t lane)
{
	struct list *group;

	owner->lanes[lane].append_unknown = false;
	for (uint32_t k = 0; (group = lane_group(owner, lane, k)) != NULL; k++)
		group_resend(group);
}
