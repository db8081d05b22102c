#include <stdio.h>
#include <string.h>

#include "program/internal.h"

uint32_t
owner_lane_count(const struct owner *owner)
{
	return owner->lane_total;
}

void
owner_lane_stream(
    const struct owner *owner, uint32_t lane, char *name, size_t size)
{
	uint32_t lanes = owner->limits.lanes;

	if (lane < lanes)
		snprintf(name, size, "lane-%u", lane);
	else if (lane == lanes)
		snprintf(name, size, "crashes");
	else
		snprintf(name, size, "index-%u", lane - lanes - 1);
}

/* Returns whether this VM released the shard and has read no claim since. It
 * reads on, so that it can redirect callers to the next owner. */
static bool
slot_handed_over(const struct owner *owner, const struct shard_slot *slot)
{
	return slot->shard.released && strcmp(slot->shard.vm, owner->vm) == 0;
}

static bool
lane_needed(const struct owner *owner, uint32_t lane)
{
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes) {
		const struct shard_slot *slot = &owner->slots[i];

		if (slot->wanted || slot->owned ||
		    slot_handed_over(owner, slot) ||
		    !list_empty(&slot->pending))
			return true;
	}
	return kv_release_needs_lane(owner, lane);
}

bool
owner_reads_lane(const struct owner *owner, uint32_t lane)
{
	return owner->lanes[lane].started && lane_needed(owner, lane);
}

bool
owner_lane_position(const struct owner *owner, uint32_t lane, uint64_t *from)
{
	uint32_t lanes = owner->limits.lanes;
	const struct lane *state = &owner->lanes[lane];

	*from = state->position;
	if (lane == lanes)
		return true;
	if (lane < lanes)
		return owner_reads_lane(owner, lane);
	if (!list_empty(&state->unsharded))
		return true;
	return !owner->lanes[lane - lanes - 1].started &&
	    lane_needed(owner, lane - lanes - 1);
}

static void
handle_claim(struct owner *owner, struct shard_slot *slot,
    const struct record *record, enum fold_verdict verdict, int64_t now_us)
{
	struct pending *pending = pending_find(&slot->pending, record->id);

	if (verdict == FOLD_APPLIED) {
		suspect_clear(owner, record->claim.vm);
		if (slot->owned)
			slot_lost(owner, slot, now_us);
		if (pending != NULL)
			slot_taken(owner, slot, now_us);
	}
	if (pending != NULL) {
		slot->claiming = false;
		pending_free(owner, pending);
	}
	if (pending != NULL && verdict != FOLD_APPLIED)
		owner->counters->retries[RETRY_CLAIM_LOST]++;
}

static void
handle_shard_record(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us)
{
	struct shard_slot *slot;
	struct pending *pending;
	enum fold_verdict verdict;
	uint64_t snapshot;

	if (record->shard >= owner->limits.shards ||
	    record->shard % owner->limits.lanes != lane)
		return;
	slot = &owner->slots[record->shard];
	snapshot = slot->shard.snapshot_offset;
	verdict = shard_apply(&slot->shard, offset, record);
	owner->cache_bytes -= slot->shard.dropped_bytes;
	slot->shard.dropped_bytes = 0;
	if (record->type == RECORD_CLAIM) {
		handle_claim(owner, slot, record, verdict, now_us);
		return;
	}
	pending = pending_find(&slot->pending, record->id);
	if (pending != NULL &&
	    (verdict == FOLD_APPLIED || verdict == FOLD_REJECTED ||
		(verdict == FOLD_OLD_EPOCH && pending->any_epoch)))
		pending_confirm(owner, slot, pending, verdict, now_us);
	if (!slot->owned)
		return;
	if (verdict == FOLD_APPLIED &&
	    ++slot->tail_records >= owner->snapshot_records)
		slot->snapshot_wanted = true;
	if (record->type != RECORD_SNAPSHOT)
		return;
	if (slot->shard.snapshot_offset != snapshot)
		index_add(owner, slot, now_us);
	else if (verdict == FOLD_REJECTED)
		slot->snapshot_wanted = true;
}

static void
handle_crash_record(struct owner *owner, const struct record *record)
{
	if (record->type == RECORD_CRASH)
		crash_add(&owner->crashes, &record->crash);
	else if (record->type == RECORD_QUARANTINE_LIFT)
		crash_lift(
		    &owner->crashes, record->quarantine_lift.fingerprint);
}

void
owner_handle_record(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us)
{
	struct lane *state = &owner->lanes[lane];
	struct pending *pending;

	if (offset < state->position)
		return;
	state->position = offset + 1;
	state->at_end = false;
	if (lane < owner->limits.lanes) {
		handle_shard_record(owner, lane, offset, record, now_us);
		return;
	}
	if (lane == owner->limits.lanes)
		handle_crash_record(owner, record);
	else
		index_apply(owner, lane, record);
	pending = pending_find(&state->unsharded, record->id);
	if (pending != NULL)
		pending_free(owner, pending);
}

/* At the lane's end, nothing more can be learned about its shards' states. */
static void
lane_set_states_known(struct owner *owner, uint32_t lane)
{
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		shard_set_state_known(&owner->slots[i].shard);
}

void
owner_handle_lane_end(
    struct owner *owner, uint32_t lane, uint64_t end, int64_t now_us)
{
	struct lane *state = &owner->lanes[lane];

	if (end > state->position)
		state->position = end;
	state->at_end = true;
	pending_lane_end(owner, lane);
	if (lane > owner->limits.lanes)
		index_end(owner, lane);
	if (lane >= owner->limits.lanes)
		return;
	lane_set_states_known(owner, lane);
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		slot_tick(owner, &owner->slots[i], now_us);
}

/* Discards a shard's state after records of its lane have expired unread: they
 * may have contained a claim of another VM. */
static void
slot_discard_state(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	if (slot->owned)
		slot_lost(owner, slot, now_us);
	shard_discard_state(&slot->shard, 0);
	list_for_each_safe (
	    pending, tmp, &slot->pending, struct pending, link) {
		if (!pending->any_epoch)
			pending_free(owner, pending);
	}
	slot->claiming = false;
}

void
owner_handle_lane_expired(
    struct owner *owner, uint32_t lane, uint64_t first, int64_t now_us)
{
	struct lane *state = &owner->lanes[lane];

	state->position = first;
	state->at_end = false;
	if (lane >= owner->limits.lanes)
		return;
	state->first_offset = first;
	state->started = false;
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		slot_discard_state(owner, &owner->slots[i], now_us);
}
