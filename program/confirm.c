#include <string.h>

#include "program/internal.h"

void
waiters_wake(struct owner *owner, call_id original)
{
	struct call *call = NULL;
	struct call *tmp = NULL;

	HASH_ITER (hh, owner->calls, call, tmp) {
		if (call->state != CALL_WAITER ||
		    call->original_call != original)
			continue;
		if (!call->detached)
			event_add(owner, OWNER_RETRY_ADMIT, call->id);
		call_remove(owner, call);
	}
}

void
waiters_tick(struct owner *owner)
{
	struct call *call = NULL;
	struct call *tmp = NULL;

	HASH_ITER (hh, owner->calls, call, tmp) {
		if (call->state != CALL_WAITER ||
		    call_find(owner, call->original_call) != NULL)
			continue;
		if (!call->detached)
			event_add(owner, OWNER_RETRY_ADMIT, call->id);
		call_remove(owner, call);
	}
}

/* Finishes all requests to begin or end a program: several may have asked with
 * the same key. */
static void
calls_finish(struct owner *owner, const char *program, enum call_state state,
    enum owner_event_type type, bool applied)
{
	struct call *call = NULL;
	struct call *tmp = NULL;

	HASH_ITER (hh, owner->calls, call, tmp) {
		struct owner_event *event;

		if (call->state != state || strcmp(call->program, program) != 0)
			continue;
		if (!applied) {
			event_refuse(owner, call, REFUSAL_BUDGET_EXCEEDED,
			    EXECUTION_NOT_STARTED);
		} else if (!call->detached) {
			event = event_add(owner, type, call->id);
			memcpy(event->program, program, PROGRAM_ID_BYTES);
		}
		call_remove(owner, call);
	}
}

static void
confirm_begin(struct owner *owner, struct shard_slot *slot,
    const struct pending *pending, bool applied, int64_t now_us)
{
	struct program *program = shard_find(&slot->shard, pending->program);
	struct program *parent = shard_find(&slot->shard, pending->parent);

	if (parent != NULL)
		parent->local_delegate -= pending->delegate;
	if (applied && program != NULL) {
		program_reset_local(program);
		program->first_seen_us = now_us;
		owner->counters->programs_begun_total++;
	}
	calls_finish(
	    owner, pending->program, CALL_BEGIN, OWNER_PROGRAM_BEGUN, applied);
}

static void
confirm_turn(struct owner *owner, struct shard_slot *slot,
    const struct pending *pending, int64_t now_us)
{
	struct call *call = call_find(owner, pending->call);
	struct owner_event *event;

	(void)slot;
	owner->counters->turns_total++;
	histogram_add(
	    &owner->counters->durable_us, now_us - pending->queued_us);
	history_evict(owner);
	if (call == NULL || call->state != CALL_RECORDING)
		return;
	if (!call->detached) {
		event = event_add(owner, OWNER_TURN_DURABLE, call->id);
		event->turn = call->turn;
		event->digest = call->digest_after;
		memcpy(event->program, call->program, PROGRAM_ID_BYTES);
	}
	call_remove(owner, call);
}

static void
confirm_reserve(
    struct owner *owner, struct shard_slot *slot, const struct pending *pending)
{
	struct program *program = shard_find(&slot->shard, pending->program);
	struct call *call =
	    program != NULL ? call_find(owner, program->call) : NULL;

	if (call == NULL || call->state != CALL_RESERVING ||
	    pending->reserve == 0)
		return;
	event_add(owner, OWNER_RETRY_ADMIT, call->id);
}

static void
confirm_outcome(struct owner *owner, const struct pending *pending)
{
	struct call *call = call_find(owner, pending->call);
	call_id id = pending->call;

	if (call == NULL)
		return;
	if (!call->detached && !call->withdrawn) {
		struct owner_event *event =
		    event_add(owner, OWNER_OUTCOME_DURABLE, call->id);

		event->turn = call->turn;
		memcpy(event->program, call->program, PROGRAM_ID_BYTES);
	}
	call_remove(owner, call);
	waiters_wake(owner, id);
}

static void
confirm_intent(struct owner *owner, const struct pending *pending, bool applied,
    int64_t now_us)
{
	struct call *call = call_find(owner, pending->call);

	if (call == NULL || call->state != CALL_INTENT)
		return;
	if (applied) {
		intent_confirmed(owner, call, now_us);
		return;
	}
	event_refuse(
	    owner, call, REFUSAL_TURN_OUT_OF_ORDER, EXECUTION_NOT_STARTED);
	call_remove(owner, call);
}

static void
confirm_end(struct owner *owner, struct shard_slot *slot,
    const struct pending *pending, bool applied, int64_t now_us)
{
	struct program *program = shard_find(&slot->shard, pending->program);

	if (program != NULL) {
		program->kv_release_due_us = now_us;
		history_drop_cached(owner, program);
	}
	if (applied)
		owner->counters->programs_ended_total++;
	calls_finish(
	    owner, pending->program, CALL_END, OWNER_PROGRAM_ENDED, true);
}

static void
subtract_local_amounts(struct shard_slot *slot, const struct pending *pending)
{
	struct program *program = shard_find(&slot->shard, pending->program);

	if (program == NULL || pending->type == RECORD_PROGRAM_BEGIN)
		return;
	program->local_spent -= pending->spent;
	program->local_reserve -= pending->reserve;
}

void
pending_confirm(struct owner *owner, struct shard_slot *slot,
    struct pending *pending, enum fold_verdict verdict, int64_t now_us)
{
	bool applied = verdict == FOLD_APPLIED;

	if (slot->owned)
		subtract_local_amounts(slot, pending);
	switch (pending->type) {
	case RECORD_PROGRAM_BEGIN:
		confirm_begin(owner, slot, pending, applied, now_us);
		break;
	case RECORD_TURN:
		confirm_turn(owner, slot, pending, now_us);
		break;
	case RECORD_RESERVE:
		confirm_reserve(owner, slot, pending);
		break;
	case RECORD_INTENT:
		confirm_intent(owner, pending, applied, now_us);
		break;
	case RECORD_OUTCOME:
		confirm_outcome(owner, pending);
		break;
	case RECORD_PROGRAM_END:
		confirm_end(owner, slot, pending, applied, now_us);
		break;
	case RECORD_RELEASE:
		pending_free(owner, pending);
		slot_lost(owner, slot, now_us);
		return;
	default:
		break;
	}
	pending_free(owner, pending);
}
