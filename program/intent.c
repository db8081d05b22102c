#include <string.h>

#include "program/internal.h"

enum owner_decision
once_replay(struct owner *owner, const struct once_call *once,
    const struct owner_call *request, struct owner_result *result)
{
	if (!digest_equal(&once->arguments, &request->arguments))
		return owner_refuse(
		    owner, result, REFUSAL_IDEMPOTENCY_KEY_REUSED);
	result->turn = once->turn;
	result->outcome = once->outcome;
	result->durable = true;
	result->recorded_status = once->status;
	result->recorded_response.data = once->response.data;
	result->recorded_response.len = once->response.len;
	switch (once->outcome) {
	case OUTCOME_DONE:
		result->execution = EXECUTION_FINISHED;
		return OWNER_REPLAY;
	case OUTCOME_NOT_RUN:
		result->execution = EXECUTION_NOT_STARTED;
		return once->settled_by[0] != '\0' ? OWNER_REPLAY : OWNER_OK;
	default:
		result->execution = mutation_on(MUTATION_FALSE_NOT_RUN)
		    ? EXECUTION_NOT_STARTED
		    : EXECUTION_UNKNOWN;
		result->outcome = OUTCOME_UNKNOWN;
		result->reason = REFUSAL_OUTCOME_UNKNOWN;
		owner->counters->refusals[REFUSAL_OUTCOME_UNKNOWN]++;
		return OWNER_REPLAY;
	}
}

static void
dispatch(struct owner *owner, struct call *call)
{
	struct owner_event *event = event_add(owner, OWNER_DISPATCH, call->id);

	call->state = CALL_DISPATCHED;
	event->turn = call->turn;
	memcpy(event->program, call->program, PROGRAM_ID_BYTES);
}

enum owner_decision
intent_begin(struct owner *owner, struct call *call, int64_t now_us)
{
	struct program *program = call_program(owner, call);
	struct shard_slot *slot = &owner->slots[call->shard];
	struct pending *pending;
	struct turn *turn;
	struct record record = {
	    .type = RECORD_INTENT,
	    .intent = {.turn = call->turn, .arguments = call->arguments},
	};

	memcpy(record.intent.program, call->program, PROGRAM_ID_BYTES);
	memcpy(record.intent.key, call->key, NAME_BYTES);
	memcpy(record.intent.tool, call->tool, NAME_BYTES);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, call->program, PROGRAM_ID_BYTES);
	pending->call = call->id;
	call->intent_id = record.id;
	call->state = CALL_INTENT;
	turn = program_add_turn(program);
	turn->key_hash = program_key_hash(call->key);
	turn->arguments_hash = program_digest_hash(&call->arguments);
	if (mutation_on(MUTATION_EARLY_DISPATCH))
		dispatch(owner, call);
	return OWNER_WAIT;
}

/* Dispatches a call whose intent was read back in this owner's epoch: no other
 * VM will ever send it. */
void
intent_confirmed(struct owner *owner, struct call *call, int64_t now_us)
{
	struct wire_bytes none = {0};

	if (!call->withdrawn) {
		dispatch(owner, call);
		return;
	}
	call->state = CALL_OUTCOME;
	outcome_add(owner, call, OUTCOME_NOT_RUN, 0, none, "", now_us);
}

void
intent_withdraw(struct call *call)
{
	call->withdrawn = true;
	call->detached = true;
}

void
intent_tick(struct owner *owner, int64_t now_us)
{
	struct call *call = NULL;
	struct call *tmp = NULL;

	HASH_ITER (hh, owner->calls, call, tmp) {
		if (call->state != CALL_INTENT || call->withdrawn ||
		    now_us - call->since_us < INTENT_WAIT_US)
			continue;
		event_refuse(owner, call, REFUSAL_LOG_UNAVAILABLE,
		    EXECUTION_NOT_STARTED);
		intent_withdraw(call);
	}
}

void
outcome_add(struct owner *owner, const struct call *call, enum outcome outcome,
    uint32_t status, struct wire_bytes response, const char *settled_by,
    int64_t now_us)
{
	struct shard_slot *slot = &owner->slots[call->shard];
	struct pending *pending;
	struct record record = {
	    .type = RECORD_OUTCOME,
	    .epoch = call->epoch,
	    .outcome =
		{
		    .outcome = outcome,
		    .status = status,
		    .response = response,
		    .intent_id = call->intent_id,
		},
	};

	memcpy(record.outcome.program, call->program, PROGRAM_ID_BYTES);
	memcpy(record.outcome.key, call->key, NAME_BYTES);
	strncpy(record.outcome.settled_by, settled_by, NAME_BYTES - 1);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, call->program, PROGRAM_ID_BYTES);
	pending->call = call->id;
	pending->any_epoch = settled_by[0] == '\0';
}

void
owner_handle_outcome(struct owner *owner, call_id id, enum outcome outcome,
    uint32_t status, struct wire_bytes response, int64_t now_us)
{
	struct call *call = call_find(owner, id);

	if (call == NULL || call->state != CALL_DISPATCHED)
		return;
	call->state = CALL_OUTCOME;
	outcome_add(owner, call, outcome, status, response, "", now_us);
}

enum owner_decision
owner_settle_outcome(struct owner *owner, call_id id, const char *program_id,
    const char *key, enum outcome outcome, const char *operator_name,
    int64_t now_us, struct owner_result *result)
{
	struct shard_slot *slot = owner_slot(owner, program_id);
	struct wire_bytes none = {0};
	struct program *program = NULL;
	struct once_call *once;
	struct call *call = NULL;

	memset(result, 0, sizeof(*result));
	if (slot == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	result->shard = slot->shard.number;
	if (!slot->owned)
		return owner_refuse(owner, result, REFUSAL_NOT_OWNER);
	program = shard_find(&slot->shard, program_id);
	once = program != NULL ? program_find_once(program, key) : NULL;
	if (once == NULL || operator_name[0] == '\0')
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	result->outcome = once->outcome;
	if (once->outcome == OUTCOME_DONE || once->outcome == OUTCOME_NOT_RUN)
		return OWNER_REPLAY;
	if (slot->releasing)
		return owner_refuse(owner, result, REFUSAL_DRAINING);
	for (call = owner->calls; call != NULL; call = call->hh.next) {
		if (call->intent_id == once->intent_id)
			return owner_refuse(
			    owner, result, REFUSAL_TURN_IN_PROGRESS);
	}
	call = call_add(owner, id, CALL_SETTLE, program_id, now_us);
	strncpy(call->key, key, NAME_BYTES - 1);
	call->intent_id = once->intent_id;
	call->turn = once->turn;
	outcome_add(owner, call, outcome, 0, none, operator_name, now_us);
	return OWNER_WAIT;
}
