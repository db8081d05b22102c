#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/runs/world.h"

enum {
	UNKNOWN_TRIES = 3,
};

void
server_call_start(struct world *world, struct attempt *attempt,
    enum owner_call_kind kind, uint64_t spend)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct server_call *server_call = &world->server_calls[i];

		if (server_call->used)
			continue;
		*server_call = (struct server_call){
		    .used = true,
		    .vm = attempt->vm,
		    .call = attempt->call,
		    .program = attempt->program,
		    .server = (int)rng_below(&world->rng, RUN_SERVERS),
		    .done_us = world->now_us +
			(int64_t)rng_below(&world->rng, 2 * (uint64_t)US_PER_S),
		    .spend = spend,
		    .kind = kind,
		    .content = ++world->next_content,
		    .attempt = (int)(attempt - world->attempts),
		};
		if (kind == OWNER_CALL_MODEL)
			world->kv[server_call->server][server_call->program] =
			    true;
		return;
	}
	abort();
}

static void
server_call_abandon(struct world *world, struct server_call *server_call,
    struct attempt *attempt)
{
	char server[NAME_BYTES] = "";

	if (server_call->kind == OWNER_CALL_MODEL)
		snprintf(server, sizeof(server), "%d", server_call->server);
	owner_call_abandon(world->vms[server_call->vm].owner, server_call->call,
	    server, server_call->spend, world->now_us);
	if (attempt != NULL)
		attempt->open = false;
}

void
server_call_done(struct world *world, struct server_call *server_call)
{
	struct attempt *attempt =
	    attempt_find(world, server_call->vm, server_call->call);
	struct owner *owner = world->vms[server_call->vm].owner;
	struct wire_bytes content = {(const uint8_t *)"ok", 2};
	char text[32];
	char server[NAME_BYTES];

	if (server_call->kind == OWNER_CALL_NON_IDEMPOTENT) {
		owner_handle_outcome(owner, server_call->call, OUTCOME_DONE,
		    200, content, world->now_us);
		return;
	}
	if (server_call->kind == OWNER_CALL_MODEL)
		world->kv[server_call->server][server_call->program] = true;
	if (!world->faults_stopped && chance(world, 0.1)) {
		server_call_abandon(world, server_call, attempt);
		return;
	}
	snprintf(server, sizeof(server), "%d", server_call->server);
	content.len = (size_t)snprintf(text, sizeof(text), "[%llu]",
	    (unsigned long long)server_call->content);
	content.data = (const uint8_t *)text;
	if (attempt != NULL)
		memcpy(attempt->content, text, sizeof(text));
	owner_turn_end(owner, server_call->call,
	    &(struct owner_turn_end){
		.server = server_call->kind == OWNER_CALL_MODEL ? server : "",
		.spent_tokens = server_call->spend,
		.prompt_tokens = 1,
		.content = content,
	    },
	    world->now_us);
	if (attempt != NULL && chance(world, 0.3)) {
		client_turn(world, attempt, content, false);
		attempt->stale = true;
	}
}

void
attempt_refused(struct world *world, struct attempt *attempt,
    enum refusal reason, enum execution_state execution)
{
	struct client *client = &world->clients[attempt->program];

	world->refusals++;
	attempt->open = false;
	if (execution == EXECUTION_NOT_STARTED)
		check_not_run(world, attempt, reason);
	if (!attempt_current(world, attempt))
		return;
	client->next_us = world->now_us + 200000;
	client->last_refusal = reason;
	switch (reason) {
	case REFUSAL_HISTORY_MISMATCH:
		client_roll_back(client);
		break;
	case REFUSAL_BUDGET_EXCEEDED:
		client->state =
		    client->state == CLIENT_BEGIN ? CLIENT_DONE : CLIENT_END;
		break;
	case REFUSAL_UNKNOWN_PROGRAM:
		/* A former owner may know nothing of the program. */
		if (client->state != CLIENT_BEGIN &&
		    owns_by_log(world, attempt->vm, client->id))
			world_report_violation(
			    world, "program %s is lost", client->id);
		break;
	case REFUSAL_PROGRAM_ENDED:
		client->gave_up = true;
		client->state =
		    client->state == CLIENT_BEGIN ? CLIENT_DONE : CLIENT_END;
		break;
	default:
		break;
	}
}

/* Handles the owner's decision on a request to begin or end a program. Returns
 * whether the owner replayed a recorded result. Otherwise the attempt was
 * refused or an event will follow. */
static bool
handle_decision(struct world *world, struct attempt *attempt,
    enum owner_decision decision, const struct owner_result *result)
{
	if (decision == OWNER_WAIT)
		return false;
	if (decision != OWNER_REPLAY) {
		attempt_refused(
		    world, attempt, result->reason, result->execution);
		return false;
	}
	attempt->open = false;
	return true;
}

static void
admit_begin(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];
	struct owner_result result;
	enum owner_decision decision;
	struct owner_begin begin = {
	    .workspace = "w",
	    .parent =
		client->parent >= 0 ? world->clients[client->parent].id : "",
	    .key = client->begin_key,
	    .budget_tokens = client->budget,
	    .wall_us = world->now_us,
	};

	decision = owner_program_begin(world->vms[attempt->vm].owner,
	    attempt->call, &begin, world->now_us, &result);
	if (!handle_decision(world, attempt, decision, &result) ||
	    !attempt_current(world, attempt))
		return;
	memcpy(client->id, result.program, PROGRAM_ID_BYTES);
	client->state = CLIENT_CALL;
}

static void
admit_end(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];
	struct owner_result result;
	enum owner_decision decision =
	    owner_program_end(world->vms[attempt->vm].owner, attempt->call,
		client->id, NULL, "done", world->now_us, &result);

	if (!handle_decision(world, attempt, decision, &result))
		return;
	client->state = CLIENT_DONE;
}

static void
attempt_replayed(struct world *world, struct attempt *attempt,
    const struct owner_result *result)
{
	struct client *client = &world->clients[attempt->program];

	attempt->open = false;
	if (client->kinds[attempt->step] != STEP_ONCE) {
		client_turn(
		    world, attempt, result->recorded_response, result->durable);
		return;
	}
	if (result->execution == EXECUTION_NOT_STARTED)
		check_not_run(world, attempt, REFUSAL_OUTCOME_UNKNOWN);
	if (result->outcome == OUTCOME_DONE &&
	    client->once_runs[attempt->step] == 0)
		world_report_violation(
		    world, "response to a call that never ran");
	if (!attempt_current(world, attempt))
		return;
	if (result->outcome == OUTCOME_DONE ||
	    ++client->unknown_tries > UNKNOWN_TRIES)
		client_advance(world, client);
	else
		client->next_us = world->now_us + US_PER_S;
}

static int
resend_fill(const struct client *client, struct owner_resend *resend)
{
	int count = 0;

	for (int i = 0; i < client->history_count; i++) {
		const struct client_turn_copy *turn = &client->history[i];

		if (turn->durable)
			continue;
		resend[count++] = (struct owner_resend){
		    .key = turn->key,
		    .arguments = turn->arguments,
		    .prompt_tokens = 1,
		    .content = {(const uint8_t *)turn->content,
			strlen(turn->content)},
		};
	}
	return count;
}

static void
admit_call(struct world *world, struct attempt *attempt)
{
	static const enum owner_call_kind kinds[] = {
	    [STEP_MODEL] = OWNER_CALL_MODEL,
	    [STEP_TOOL] = OWNER_CALL_REPEATABLE,
	    [STEP_ONCE] = OWNER_CALL_NON_IDEMPOTENT,
	};
	struct client *client = &world->clients[attempt->program];
	struct owner_resend resend[RUN_STEPS_MAX];
	struct owner_result result;
	char key[NAME_BYTES];
	enum step_kind kind = client->kinds[attempt->step];
	uint64_t spend =
	    1 + rng_below(&world->rng, client->costs[attempt->step]);
	struct owner_call call = {
	    .kind = kinds[kind],
	    .program = client->id,
	    .workspace = "w",
	    .key = key,
	    .tool = kind == STEP_MODEL ? "" : "t",
	    .digest = &attempt->digest,
	    .cost_tokens =
		kind == STEP_MODEL ? client->costs[attempt->step] : 0,
	    .wall_us = world->now_us,
	    .resend = resend,
	};

	step_key(attempt, key);
	call.arguments = digest_chain(&attempt->digest, key, strlen(key));
	if (attempt_current(world, attempt))
		call.resend_count = (size_t)resend_fill(client, resend);
	switch (owner_call_admit(world->vms[attempt->vm].owner, attempt->call,
	    &call, world->now_us, &result)) {
	case OWNER_OK:
		if (kind == STEP_MODEL && attempt_current(world, attempt))
			check_history(world, client, &result);
		if (kind == STEP_MODEL)
			client->spent += spend;
		server_call_start(
		    world, attempt, call.kind, kind == STEP_MODEL ? spend : 0);
		attempt->ran = true;
		return;
	case OWNER_REPLAY:
		attempt_replayed(world, attempt, &result);
		return;
	case OWNER_REFUSE:
	case OWNER_NOT_OWNER:
		attempt_refused(
		    world, attempt, result.reason, result.execution);
		return;
	default:
		return;
	}
}

void
attempt_admit(struct world *world, struct attempt *attempt)
{
	switch (attempt->state) {
	case CLIENT_BEGIN:
		admit_begin(world, attempt);
		break;
	case CLIENT_CALL:
		admit_call(world, attempt);
		break;
	case CLIENT_END:
		admit_end(world, attempt);
		break;
	case CLIENT_DONE:
		break;
	}
}
