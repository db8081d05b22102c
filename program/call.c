#include <string.h>

#include "program/internal.h"

static void
call_fill(struct call *call, const struct owner_call *request)
{
	call->kind = request->kind;
	strncpy(call->key, request->key, NAME_BYTES - 1);
	strncpy(call->tool, request->tool, NAME_BYTES - 1);
	call->arguments = request->arguments;
	call->cost = request->cost_tokens;
}

static enum owner_decision
wait_for_original(struct owner *owner, call_id id, const struct call *original,
    const struct owner_call *request, int64_t now_us,
    struct owner_result *result)
{
	struct call *waiter;

	if (!digest_equal(&original->arguments, &request->arguments))
		return owner_refuse(
		    owner, result, REFUSAL_IDEMPOTENCY_KEY_REUSED);
	waiter = call_add(owner, id, CALL_WAITER, original->program, now_us);
	waiter->original_call = original->id;
	return OWNER_WAIT;
}

static enum owner_decision
turn_replay(struct owner *owner, call_id id, struct program *program,
    size_t index, const struct owner_call *request, struct owner_result *result)
{
	const struct turn *turn = &program->turns[index];

	if (turn->arguments_hash != program_digest_hash(&request->arguments))
		return owner_refuse(
		    owner, result, REFUSAL_IDEMPOTENCY_KEY_REUSED);
	result->turn = index + 1;
	result->execution = EXECUTION_FINISHED;
	if (turn->len > 0 && turn->content == NULL) {
		if (program->fetch_call != 0 && program->fetch_call != id)
			return owner_refuse(owner, result, REFUSAL_RECOVERING);
		call_add(owner, id, CALL_FETCHING, program->id, 0);
		history_fetch_turn(owner, program, index + 1, id);
		return OWNER_FETCHING_HISTORY;
	}
	result->recorded_response.data = turn->content;
	result->recorded_response.len = turn->len;
	result->outcome = OUTCOME_DONE;
	result->durable = index < program->durable_turns;
	return OWNER_REPLAY;
}

/* Checks whether a call with the request's key was made before. Returns
 * OWNER_OK if not, OWNER_WAIT while it is in progress, or else its recorded
 * result or a refusal. */
static enum owner_decision
find_duplicate(struct owner *owner, call_id id, struct program *program,
    const struct owner_call *request, int64_t now_us,
    struct owner_result *result)
{
	struct once_call *once = program_find_once(program, request->key);
	struct call *original = call_find(owner, program->call);
	uint64_t hash = program_key_hash(request->key);

	if (hash == 0 || mutation_on(MUTATION_NO_KEY))
		return OWNER_OK;
	if (original != NULL && original->id != id &&
	    strcmp(original->key, request->key) == 0)
		return wait_for_original(
		    owner, id, original, request, now_us, result);
	if (once != NULL)
		return once_replay(owner, once, request, result);
	for (size_t i = program->turn_count; i-- > 0;) {
		if (program->turns[i].key_hash == hash &&
		    (program->turns[i].len > 0 || program->turns[i].in_history))
			return turn_replay(
			    owner, id, program, i, request, result);
	}
	return OWNER_OK;
}

/* Checks a request's order and history and the limits that apply. */
static enum owner_decision
check_state(struct owner *owner, struct program *program,
    const struct owner_call *request, int64_t now_us,
    struct owner_result *result)
{
	struct shard_slot *slot = owner_slot(owner, program->id);
	uint32_t lane = program->shard % owner->limits.lanes;

	if (program->ended || program->ending)
		return owner_refuse(owner, result, REFUSAL_PROGRAM_ENDED);
	if (!slot->wanted || slot->releasing)
		return owner_refuse(owner, result, REFUSAL_DRAINING);
	if (request->digest != NULL &&
	    !digest_equal(request->digest, &program->tip_digest) &&
	    !mutation_on(MUTATION_NO_DIGEST) &&
	    !history_resend(owner, program, request, now_us))
		return owner_refuse(owner, result, REFUSAL_HISTORY_MISMATCH);
	if (request->turn != 0 && request->turn != program->turn_count + 1)
		return owner_refuse(owner, result, REFUSAL_TURN_OUT_OF_ORDER);
	if (program->turn_count >= owner->limits.max_turns)
		return owner_refuse(owner, result, REFUSAL_TURN_LIMIT);
	if (request->wall_us - program->begun_wall_us >
	    owner->limits.max_program_us)
		return owner_refuse(owner, result, REFUSAL_PROGRAM_TIME_LIMIT);
	if (lane_backlog_full(owner, lane))
		return owner_refuse(owner, result, REFUSAL_LOG_BACKLOG);
	if (request->kind == OWNER_CALL_NON_IDEMPOTENT &&
	    lane_unavailable(owner, lane, now_us))
		return owner_refuse(owner, result, REFUSAL_LOG_UNAVAILABLE);
	return OWNER_OK;
}

static enum owner_decision
call_start(struct owner *owner, struct program *program, struct call *call,
    int64_t now_us, struct owner_result *result)
{
	enum owner_decision decision =
	    budget_admit(owner, program, call, now_us, result);

	if (decision == OWNER_WAIT)
		call->state = CALL_RESERVING;
	if (decision != OWNER_OK)
		return decision;
	call->turn = program->turn_count + 1;
	call->digest_before = program->tip_digest;
	if (call->kind == OWNER_CALL_NON_IDEMPOTENT)
		return intent_begin(owner, call, now_us);
	if (call->kind == OWNER_CALL_MODEL &&
	    !history_collect(owner, program, call->id, result)) {
		call->state = CALL_FETCHING;
		return OWNER_FETCHING_HISTORY;
	}
	call->state = CALL_RUNNING;
	result_fill(owner, program, result);
	return OWNER_OK;
}

static enum owner_decision
find_program(struct owner *owner, const struct owner_call *request,
    struct program **program, struct owner_result *result)
{
	struct shard_slot *slot = owner_slot(owner, request->program);

	if (slot == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	result->shard = slot->shard.number;
	if (!slot->owned)
		return owner_refuse(owner, result, REFUSAL_NOT_OWNER);
	*program = shard_find(&slot->shard, request->program);
	if (*program == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	if (strcmp((*program)->workspace, request->workspace) != 0)
		return owner_refuse(owner, result, REFUSAL_FORBIDDEN);
	return OWNER_OK;
}

enum owner_decision
owner_call_admit(struct owner *owner, call_id id,
    const struct owner_call *request, int64_t now_us,
    struct owner_result *result)
{
	struct program *program = NULL;
	struct call *call = call_find(owner, id);
	enum owner_decision decision;

	memset(result, 0, sizeof(*result));
	decision = find_program(owner, request, &program, result);
	if (decision != OWNER_OK || program == NULL)
		return decision;
	result_fill(owner, program, result);
	decision = find_duplicate(owner, id, program, request, now_us, result);
	if (decision == OWNER_OK && program->call != 0 && program->call != id)
		decision =
		    owner_refuse(owner, result, REFUSAL_TURN_IN_PROGRESS);
	if (decision == OWNER_OK &&
	    request->kind == OWNER_CALL_NON_IDEMPOTENT &&
	    request->key[0] == '\0')
		decision = owner_refuse(owner, result, REFUSAL_MALFORMED);
	if (decision == OWNER_OK)
		decision = check_state(owner, program, request, now_us, result);
	if (decision == OWNER_OK) {
		call = call_add(owner, id,
		    call != NULL ? call->state : CALL_RESERVING, program->id,
		    now_us);
		call_fill(call, request);
		program->call = id;
		decision = call_start(owner, program, call, now_us, result);
	}
	call = call_find(owner, id);
	if (call != NULL &&
	    (decision == OWNER_REFUSE || decision == OWNER_REPLAY))
		call_remove(owner, call);
	return decision;
}

struct digest
owner_turn_end(struct owner *owner, call_id id,
    const struct owner_turn_end *end, int64_t now_us)
{
	struct call *call = call_find(owner, id);
	struct program *program = call_program(owner, call);
	bool tool = call->kind != OWNER_CALL_MODEL;
	struct record_turn body = {
	    .turn = call->turn,
	    .spent_tokens = end->spent_tokens,
	    .prompt_tokens = end->prompt_tokens,
	    .arguments = call->arguments,
	    .content = end->content,
	    .tool = tool,
	};

	body.digest = tool ? call->digest_before
			   : digest_chain(&call->digest_before,
				 end->content.data, end->content.len);
	call->digest_after = body.digest;
	if (program == NULL) {
		event_add(owner, OWNER_NOT_DURABLE, id)->turn = call->turn;
		kv_release_queue(owner, call->program, end->server, now_us);
		call_remove(owner, call);
		return body.digest;
	}
	memcpy(body.program, program->id, PROGRAM_ID_BYTES);
	memcpy(body.key, call->key, NAME_BYTES);
	if (!tool && end->server != NULL)
		strncpy(body.server, end->server, NAME_BYTES - 1);
	call->state = CALL_RECORDING;
	turn_record(owner, program, &body, id, now_us);
	program->call = 0;
	waiters_wake(owner, id);
	return body.digest;
}

void
owner_call_abandon(struct owner *owner, call_id id, const char *server,
    uint64_t spent_tokens, int64_t now_us)
{
	struct call *call = call_find(owner, id);
	struct program *program;

	if (call == NULL ||
	    (call->state != CALL_RUNNING && call->state != CALL_RESERVING &&
		call->state != CALL_FETCHING))
		return;
	program = call_program(owner, call);
	if (program != NULL && (spent_tokens > 0 || server[0] != '\0'))
		budget_charge(owner, program, server, spent_tokens, now_us);
	if (program == NULL)
		kv_release_queue(owner, call->program, server, now_us);
	call_remove(owner, call);
	waiters_wake(owner, id);
}

void
owner_call_detach(struct owner *owner, call_id id, int64_t now_us)
{
	struct call *call = call_find(owner, id);

	(void)now_us;
	if (call == NULL)
		return;
	call->detached = true;
	switch (call->state) {
	case CALL_RESERVING:
	case CALL_FETCHING:
	case CALL_WAITER:
		call_remove(owner, call);
		waiters_wake(owner, id);
		break;
	case CALL_INTENT:
		intent_withdraw(call);
		break;
	default:
		break;
	}
}
