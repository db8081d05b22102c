#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

void
owner_want_shard(
    struct owner *owner, uint32_t shard, bool wanted, const char *next_vm)
{
	struct slot *slot;

	if (shard >= owner->limits.shards)
		return;
	slot = &owner->slots[shard];
	slot->wanted = wanted;
	snprintf(
	    slot->next_vm, NAME_BYTES, "%s", next_vm != NULL ? next_vm : "");
}

static bool
vm_suspected(const struct owner *owner, const char *vm)
{
	list_for_each (suspect, &owner->suspects, struct suspect_vm, link) {
		if (strcmp(suspect->vm, vm) == 0)
			return true;
	}
	return false;
}

/* Holds for the shards as they are now, whatever else the VM claims later. */
static void
slots_suspect(struct owner *owner, const char *vm)
{
	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		struct slot *slot = &owner->slots[i];

		if (strcmp(slot->fold.vm, vm) == 0)
			slot->suspected_epoch = slot->fold.epoch;
	}
}

void
owner_suspect(struct owner *owner, const char *vm)
{
	struct suspect_vm *suspect;

	slots_suspect(owner, vm);
	if (vm_suspected(owner, vm))
		return;
	suspect = xcalloc(1, sizeof(*suspect));
	strncpy(suspect->vm, vm, NAME_BYTES - 1);
	list_append(&owner->suspects, &suspect->link);
}

/* A VM that claims is alive again. */
static void
suspect_clear(struct owner *owner, const char *vm)
{
	list_for_each_safe (
	    suspect, tmp, &owner->suspects, struct suspect_vm, link) {
		if (strcmp(suspect->vm, vm) != 0)
			continue;
		list_remove(&suspect->link);
		free(suspect);
	}
}

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

static bool
lane_needed(const struct owner *owner, uint32_t lane)
{
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes) {
		const struct slot *slot = &owner->slots[i];

		if (slot->wanted || slot->owned || !list_empty(&slot->pending))
			return true;
	}
	return release_waits(owner, lane);
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
		return state->started && lane_needed(owner, lane);
	if (!list_empty(&state->extra))
		return true;
	return !owner->lanes[lane - lanes - 1].started &&
	    lane_needed(owner, lane - lanes - 1);
}

static void
handle_claim(struct owner *owner, struct slot *slot,
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
	struct slot *slot;
	struct pending *pending;
	enum fold_verdict verdict;
	uint64_t snapshot;

	if (record->shard >= owner->limits.shards ||
	    record->shard % owner->limits.lanes != lane)
		return;
	slot = &owner->slots[record->shard];
	snapshot = slot->fold.snapshot_offset;
	verdict = shard_apply(&slot->fold, offset, record);
	owner->cache_bytes -= slot->fold.dropped_bytes;
	slot->fold.dropped_bytes = 0;
	if (record->type == RECORD_CLAIM) {
		handle_claim(owner, slot, record, verdict, now_us);
		return;
	}
	pending = pending_find(&slot->pending, record->id);
	if (pending != NULL &&
	    (verdict == FOLD_APPLIED || verdict == FOLD_REJECTED ||
		(verdict == FOLD_OLD_EPOCH && pending->fact)))
		pending_confirm(owner, slot, pending, verdict, now_us);
	if (!slot->owned || record->type != RECORD_SNAPSHOT)
		return;
	if (slot->fold.snapshot_offset != snapshot)
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
	pending = pending_find(&state->extra, record->id);
	if (pending != NULL)
		pending_free(owner, pending);
}

/* Whatever could still tell a shard's state was read. */
static void
lane_base(struct owner *owner, uint32_t lane)
{
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		shard_base(&owner->slots[i].fold);
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
	lane_base(owner, lane);
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		slot_tick(owner, &owner->slots[i], now_us);
}

/* The records in between may hold a claim of another VM: nothing that was
 * folded is current any more. */
static void
slot_unbase(struct owner *owner, struct slot *slot, int64_t now_us)
{
	if (slot->owned)
		slot_lost(owner, slot, now_us);
	shard_unbase(&slot->fold, 0);
	list_for_each_safe (
	    pending, tmp, &slot->pending, struct pending, link) {
		if (!pending->fact)
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
	state->first = first;
	state->started = false;
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		slot_unbase(owner, &owner->slots[i], now_us);
}

void
slot_taken(struct owner *owner, struct slot *slot, int64_t now_us)
{
	struct program *program = NULL;

	slot->owned = true;
	slot->releasing = false;
	slot->next_seq = 1;
	slot->snapshot_wanted = true;
	slot->carry_before = 0;
	slot->mark_us = now_us;
	slot->mark_offset =
	    owner->lanes[slot->fold.number % owner->limits.lanes].position;
	for (program = slot->fold.programs; program != NULL;
	     program = program->hh.next) {
		program_reset_local(program);
		program->first_seen_us = now_us;
	}
	if (slot->fold.epoch > 1)
		owner->counters->takeovers_total++;
	event_add(owner, OWNER_SHARD_TAKEN, 0)->shard = slot->fold.number;
}

/* What a call of a lost shard may be told: see docs/DECISIONS/ownership.md. */
static void
call_lost(struct owner *owner, struct call *call)
{
	call->lost = true;
	switch (call->state) {
	case CALL_RUNNING:
	case CALL_DISPATCHED:
	case CALL_OUTCOME:
		return;
	case CALL_RECORDING:
		if (!call->detached)
			event_add(owner, OWNER_NOT_DURABLE, call->id)->turn =
			    call->turn;
		break;
	case CALL_END:
	case CALL_SETTLE:
		event_refuse(owner, call, REFUSAL_NOT_OWNER, RUN_UNKNOWN);
		break;
	default:
		event_refuse(owner, call, REFUSAL_NOT_OWNER, RUN_NOT_RUN);
		break;
	}
	call_remove(owner, call);
}

void
slot_lost(struct owner *owner, struct slot *slot, int64_t now_us)
{
	struct call *call = NULL;
	struct call *tmp = NULL;
	struct program *program = NULL;

	slot->owned = false;
	slot->releasing = false;
	HASH_ITER (hh, owner->calls, call, tmp) {
		if (call->shard == slot->fold.number && !call->lost)
			call_lost(owner, call);
	}
	list_for_each_safe (
	    pending, next, &slot->pending, struct pending, link) {
		if (pending->fact || pending->type == RECORD_CLAIM)
			continue;
		if (pending->type != RECORD_KV_RELEASED)
			release_late(
			    owner, pending->program, pending->server, now_us);
		pending_free(owner, pending);
	}
	for (program = slot->fold.programs; program != NULL;
	     program = program->hh.next) {
		history_forget(owner, program);
		program_reset_local(program);
	}
	event_add(owner, OWNER_SHARD_LOST, 0)->shard = slot->fold.number;
}

static bool
claim_allowed(const struct owner *owner, struct slot *slot, int64_t now_us)
{
	const struct shard *fold = &slot->fold;

	if (fold->epoch == 0 || strcmp(fold->vm, owner->vm) == 0)
		return true;
	if (!fold->released)
		return slot->suspected_epoch == fold->epoch ||
		    vm_suspected(owner, fold->vm);
	if (fold->next_vm[0] == '\0' || strcmp(fold->next_vm, owner->vm) == 0)
		return true;
	if (slot->claim_after_us == 0)
		slot->claim_after_us = now_us + CLAIM_GRACE_US;
	return now_us >= slot->claim_after_us ||
	    vm_suspected(owner, fold->next_vm);
}

/* Claimed by this VM before it was restarted: it claims again, if only to
 * release. */
static bool
slot_forgotten(const struct owner *owner, const struct slot *slot)
{
	return slot->fold.epoch > 0 && !slot->fold.released &&
	    strcmp(slot->fold.vm, owner->vm) == 0;
}

static void
claim_queue(struct owner *owner, struct slot *slot, int64_t now_us)
{
	struct record record = {
	    .type = RECORD_CLAIM,
	    .epoch = slot->fold.epoch + 1,
	};

	memcpy(record.claim.vm, owner->vm, NAME_BYTES);
	memcpy(record.claim.address, owner->address, NAME_BYTES);
	pending_add(owner, slot, &record, now_us);
	slot->claiming = true;
	slot->claim_after_us = 0;
	owner->counters->claims_total++;
}

static bool
slot_idle(const struct owner *owner, const struct slot *slot)
{
	for (const struct call *call = owner->calls; call != NULL;
	     call = call->hh.next) {
		if (call->shard == slot->fold.number)
			return false;
	}
	return list_empty(&slot->pending);
}

static void
release_queue(struct owner *owner, struct slot *slot, int64_t now_us)
{
	struct record record = {.type = RECORD_RELEASE};

	memcpy(record.release.next_vm, slot->next_vm, NAME_BYTES);
	pending_add(owner, slot, &record, now_us);
	slot->releasing = true;
}

void
slot_tick(struct owner *owner, struct slot *slot, int64_t now_us)
{
	const struct lane *lane =
	    &owner->lanes[slot->fold.number % owner->limits.lanes];

	if (!slot->owned) {
		if ((slot->wanted || slot_forgotten(owner, slot)) &&
		    lane->at_end && !slot->claiming &&
		    claim_allowed(owner, slot, now_us))
			claim_queue(owner, slot, now_us);
		return;
	}
	if (slot->releasing)
		return;
	if (!slot->wanted && slot_idle(owner, slot)) {
		release_queue(owner, slot, now_us);
		return;
	}
	program_tick(owner, slot, now_us);
	carry_tick(owner, slot, now_us);
	snapshot_tick(owner, slot, now_us);
}
