#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

void
owner_set_shard_wanted(
    struct owner *owner, uint32_t shard, bool wanted, const char *next_vm)
{
	struct shard_slot *slot;

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
	list_for_each (suspect, &owner->suspect_vms, struct suspect_vm, link) {
		if (strcmp(suspect->vm, vm) == 0)
			return true;
	}
	return false;
}

/* Marks the shards that a VM owns now. The mark holds for their current epochs,
 * even if the VM claims other shards later and is no longer suspected. */
static void
slots_mark_suspected(struct owner *owner, const char *vm)
{
	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		struct shard_slot *slot = &owner->slots[i];

		if (strcmp(slot->shard.vm, vm) == 0)
			slot->suspected_epoch = slot->shard.epoch;
	}
}

void
owner_suspect(struct owner *owner, const char *vm)
{
	struct suspect_vm *suspect;

	slots_mark_suspected(owner, vm);
	if (vm_suspected(owner, vm))
		return;
	suspect = xcalloc(1, sizeof(*suspect));
	strncpy(suspect->vm, vm, NAME_BYTES - 1);
	list_append(&owner->suspect_vms, &suspect->link);
}

void
suspect_clear(struct owner *owner, const char *vm)
{
	list_for_each_safe (
	    suspect, tmp, &owner->suspect_vms, struct suspect_vm, link) {
		if (strcmp(suspect->vm, vm) != 0)
			continue;
		list_remove(&suspect->link);
		free(suspect);
	}
}

void
slot_taken(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	struct program *program = NULL;

	slot->owned = true;
	slot->releasing = false;
	slot->next_seq = 1;
	slot->snapshot_wanted = true;
	slot->reappend_before = 0;
	slot->period_start_us = now_us;
	slot->period_start_offset =
	    owner->lanes[slot->shard.number % owner->limits.lanes].position;
	for (program = slot->shard.programs; program != NULL;
	     program = program->hh.next) {
		program_reset_local(program);
		program->first_seen_us = now_us;
	}
	if (slot->shard.epoch > 1)
		owner->counters->takeovers_total++;
	event_add(owner, OWNER_SHARD_TAKEN, 0)->shard = slot->shard.number;
}

/* Tells the caller what is certain about a call whose shard was lost; see
 * docs/DECISIONS/ownership.md. */
static void
call_lose_shard(struct owner *owner, struct call *call)
{
	call->shard_lost = true;
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
		event_refuse(owner, call, REFUSAL_NOT_OWNER, EXECUTION_UNKNOWN);
		break;
	default:
		event_refuse(
		    owner, call, REFUSAL_NOT_OWNER, EXECUTION_NOT_STARTED);
		break;
	}
	call_remove(owner, call);
}

void
slot_lost(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	struct call *call = NULL;
	struct call *tmp = NULL;
	struct program *program = NULL;

	slot->owned = false;
	slot->releasing = false;
	HASH_ITER (hh, owner->calls, call, tmp) {
		if (call->shard == slot->shard.number && !call->shard_lost)
			call_lose_shard(owner, call);
	}
	list_for_each_safe (
	    pending, next, &slot->pending, struct pending, link) {
		if (pending->any_epoch || pending->type == RECORD_CLAIM)
			continue;
		if (pending->type != RECORD_KV_RELEASED)
			kv_release_queue(
			    owner, pending->program, pending->server, now_us);
		pending_free(owner, pending);
	}
	for (program = slot->shard.programs; program != NULL;
	     program = program->hh.next) {
		history_drop_cached(owner, program);
		program_reset_local(program);
	}
	event_add(owner, OWNER_SHARD_LOST, 0)->shard = slot->shard.number;
}

static bool
claim_allowed(
    const struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	const struct shard *shard = &slot->shard;

	if (shard->epoch == 0 || strcmp(shard->vm, owner->vm) == 0)
		return true;
	if (!shard->released)
		return slot->suspected_epoch == shard->epoch ||
		    vm_suspected(owner, shard->vm);
	if (shard->next_vm[0] == '\0' || strcmp(shard->next_vm, owner->vm) == 0)
		return true;
	if (slot->claim_after_us == 0)
		slot->claim_after_us = now_us + CLAIM_GRACE_US;
	return now_us >= slot->claim_after_us ||
	    vm_suspected(owner, shard->next_vm);
}

/* Returns whether this VM claimed the shard before it was restarted. It then
 * claims the shard again, even if only to release it. */
static bool
slot_claimed_before_restart(
    const struct owner *owner, const struct shard_slot *slot)
{
	return slot->shard.epoch > 0 && !slot->shard.released &&
	    strcmp(slot->shard.vm, owner->vm) == 0;
}

static void
claim_queue(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	struct record record = {
	    .type = RECORD_CLAIM,
	    .epoch = slot->shard.epoch + 1,
	};

	memcpy(record.claim.vm, owner->vm, NAME_BYTES);
	memcpy(record.claim.address, owner->address, NAME_BYTES);
	pending_add(owner, slot, &record, now_us);
	slot->claiming = true;
	slot->claim_after_us = 0;
	owner->counters->claims_total++;
}

static bool
slot_idle(const struct owner *owner, const struct shard_slot *slot)
{
	for (const struct call *call = owner->calls; call != NULL;
	     call = call->hh.next) {
		if (call->shard == slot->shard.number)
			return false;
	}
	return list_empty(&slot->pending);
}

static void
release_queue(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	struct record record = {.type = RECORD_RELEASE};

	memcpy(record.release.next_vm, slot->next_vm, NAME_BYTES);
	pending_add(owner, slot, &record, now_us);
	slot->releasing = true;
}

void
slot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	const struct lane *lane =
	    &owner->lanes[slot->shard.number % owner->limits.lanes];

	if (!slot->owned) {
		if ((slot->wanted ||
			slot_claimed_before_restart(owner, slot)) &&
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
	reappend_tick(owner, slot, now_us);
	snapshot_tick(owner, slot, now_us);
}
