#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/runs/world.h"

enum {
	GIVE_UP_US = 4000000,
	UNKNOWN_TRIES = 3,
};

void
client_init(struct world *world, int program)
{
	struct client *client = &world->clients[program];

	client->parent = program >= RUN_PROGRAMS - 2 ? program - 3 : -1;
	client->budget = client->parent >= 0 ? 150 : 600;
	client->steps = 3 + (int)rng_below(&world->rng, RUN_STEPS_MAX - 3);
	snprintf(client->begin_key, NAME_BYTES, "b%d", program);
	for (int i = 0; i < client->steps; i++) {
		client->kinds[i] = (enum step_kind)rng_below(&world->rng, 3);
		client->costs[i] = 10 + rng_below(&world->rng, 60);
	}
	client->next_us =
	    world->now_us + (int64_t)rng_below(&world->rng, 10 * US_PER_S);
}

struct attempt *
attempt_find(struct world *world, int vm, call_id call)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct attempt *attempt = &world->attempts[i];

		if (attempt->open && attempt->vm == vm &&
		    attempt->call == call &&
		    attempt->incarnation == world->vms[vm].incarnation)
			return attempt;
	}
	return NULL;
}

static struct attempt *
attempt_new(struct world *world)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct attempt *attempt = &world->attempts[i];

		if (!attempt->open ||
		    attempt->incarnation != world->vms[attempt->vm].incarnation)
			return attempt;
	}
	abort();
}

static bool
attempt_current(struct world *world, const struct attempt *attempt)
{
	const struct client *client = &world->clients[attempt->program];

	return !attempt->late && attempt->state == client->state &&
	    attempt->step == client->step;
}

static void
client_advance(struct world *world, struct client *client)
{
	client->step++;
	client->unknown_tries = 0;
	if (client->step == client->steps)
		client->state = CLIENT_END;
	client->next_us =
	    world->now_us + (int64_t)rng_below(&world->rng, US_PER_S);
}

/* Turns that were never durable may be gone: back to the last durable one. */
static void
client_roll_back(struct client *client)
{
	while (client->history_count > 0 &&
	    !client->history[client->history_count - 1].durable)
		client->step = client->history[--client->history_count].step;
	memset(&client->digest, 0, sizeof(client->digest));
	for (int i = 0; i < client->history_count; i++)
		client->digest =
		    digest_chain(&client->digest, client->history[i].content,
			strlen(client->history[i].content));
	client->state = CLIENT_CALL;
}

static void
history_durable(struct client *client)
{
	for (int i = 0; i < client->history_count; i++)
		client->history[i].durable = true;
}

static void
step_key(const struct attempt *attempt, char key[NAME_BYTES])
{
	snprintf(key, NAME_BYTES, "k%d", attempt->step);
}

void
client_turn(struct world *world, struct attempt *attempt,
    struct record_bytes content, bool durable)
{
	struct client *client = &world->clients[attempt->program];
	struct kept_turn *turn;

	if (!attempt_current(world, attempt))
		return;
	if (client->kinds[attempt->step] == STEP_MODEL) {
		turn = &client->history[client->history_count++];
		memset(turn, 0, sizeof(*turn));
		memcpy(turn->content, content.data, content.len);
		turn->step = attempt->step;
		step_key(attempt, turn->key);
		turn->arguments =
		    digest_chain(&client->digest, turn->key, strlen(turn->key));
		client->digest =
		    digest_chain(&client->digest, content.data, content.len);
		if (durable)
			history_durable(client);
	}
	client_advance(world, client);
}

static void
upstream_start(struct world *world, struct attempt *attempt,
    enum owner_call_kind kind, uint64_t spend)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct upstream *upstream = &world->upstreams[i];

		if (upstream->used)
			continue;
		*upstream = (struct upstream){
		    .used = true,
		    .vm = attempt->vm,
		    .call = attempt->call,
		    .program = attempt->program,
		    .server = (int)rng_below(&world->rng, RUN_SERVERS),
		    .done_us = world->now_us +
			(int64_t)rng_below(&world->rng, 2 * US_PER_S),
		    .spend = spend,
		    .kind = kind,
		    .content = ++world->next_content,
		    .attempt = (int)(attempt - world->attempts),
		};
		if (kind == OWNER_CALL_MODEL)
			world->kv[upstream->server][upstream->program] = true;
		return;
	}
	abort();
}

static void
abandon(struct world *world, struct upstream *upstream, struct attempt *attempt)
{
	char server[NAME_BYTES] = "";

	if (upstream->kind == OWNER_CALL_MODEL)
		snprintf(server, sizeof(server), "%d", upstream->server);
	owner_call_abandon(world->vms[upstream->vm].owner, upstream->call,
	    server, upstream->spend, world->now_us);
	if (attempt != NULL)
		attempt->open = false;
}

void
upstream_done(struct world *world, struct upstream *upstream)
{
	struct attempt *attempt =
	    attempt_find(world, upstream->vm, upstream->call);
	struct owner *owner = world->vms[upstream->vm].owner;
	struct record_bytes content = {(const uint8_t *)"ok", 2};
	char text[32];
	char server[NAME_BYTES];

	if (upstream->kind == OWNER_CALL_ONCE) {
		owner_outcome(owner, upstream->call, OUTCOME_DONE, 200, content,
		    world->now_us);
		return;
	}
	if (upstream->kind == OWNER_CALL_MODEL)
		world->kv[upstream->server][upstream->program] = true;
	if (!world->quiet && chance(world, 0.1)) {
		abandon(world, upstream, attempt);
		return;
	}
	snprintf(server, sizeof(server), "%d", upstream->server);
	content.len = (size_t)snprintf(text, sizeof(text), "[%llu]",
	    (unsigned long long)upstream->content);
	content.data = (const uint8_t *)text;
	if (attempt != NULL)
		memcpy(attempt->content, text, sizeof(text));
	owner_turn_end(owner, upstream->call,
	    &(struct owner_turn_end){
		.server = upstream->kind == OWNER_CALL_MODEL ? server : "",
		.spent_tokens = upstream->spend,
		.prompt_tokens = 1,
		.content = content,
	    },
	    world->now_us);
	if (attempt != NULL && chance(world, 0.3)) {
		client_turn(world, attempt, content, false);
		attempt->late = true;
	}
}

static void
refused(struct world *world, struct attempt *attempt, enum refusal reason,
    enum run_state run)
{
	struct client *client = &world->clients[attempt->program];

	world->refusals++;
	attempt->open = false;
	if (run == RUN_NOT_RUN)
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
		/* A former owner may not know the program. */
		if (client->state != CLIENT_BEGIN &&
		    truly_owns(world, attempt->vm, client->id))
			violated(world, "program %s is lost", client->id);
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

static void
admit_begin(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];
	struct owner_answer answer;
	enum owner_verdict verdict;
	struct owner_begin begin = {
	    .workspace = "w",
	    .parent =
		client->parent >= 0 ? world->clients[client->parent].id : "",
	    .key = client->begin_key,
	    .budget_tokens = client->budget,
	    .wall_us = world->now_us,
	};

	verdict = owner_program_begin(world->vms[attempt->vm].owner,
	    attempt->call, &begin, world->now_us, &answer);
	if (verdict == OWNER_WAIT)
		return;
	if (verdict != OWNER_REPLAY) {
		refused(world, attempt, answer.reason, answer.run);
		return;
	}
	attempt->open = false;
	if (!attempt_current(world, attempt))
		return;
	memcpy(client->id, answer.program, PROGRAM_ID_BYTES);
	client->state = CLIENT_CALL;
}

static void
admit_end(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];
	struct owner_answer answer;
	enum owner_verdict verdict =
	    owner_program_end(world->vms[attempt->vm].owner, attempt->call,
		client->id, "done", world->now_us, &answer);

	if (verdict == OWNER_WAIT)
		return;
	if (verdict != OWNER_REPLAY) {
		refused(world, attempt, answer.reason, answer.run);
		return;
	}
	attempt->open = false;
	client->state = CLIENT_DONE;
}

static void
replayed(struct world *world, struct attempt *attempt,
    const struct owner_answer *answer)
{
	struct client *client = &world->clients[attempt->program];

	attempt->open = false;
	if (client->kinds[attempt->step] != STEP_ONCE) {
		client_turn(world, attempt, answer->kept, false);
		return;
	}
	if (answer->run == RUN_NOT_RUN)
		check_not_run(world, attempt, REFUSAL_OUTCOME_UNKNOWN);
	if (answer->outcome == OUTCOME_DONE &&
	    client->once_runs[attempt->step] == 0)
		violated(world, "an answer to a call that never ran");
	if (!attempt_current(world, attempt))
		return;
	if (answer->outcome == OUTCOME_DONE ||
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
		const struct kept_turn *turn = &client->history[i];

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
	    [STEP_ONCE] = OWNER_CALL_ONCE,
	};
	struct client *client = &world->clients[attempt->program];
	struct owner_resend resend[RUN_STEPS_MAX];
	struct owner_answer answer;
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
	    &call, world->now_us, &answer)) {
	case OWNER_OK:
		if (kind == STEP_MODEL && attempt_current(world, attempt))
			check_history(world, client, &answer);
		if (kind == STEP_MODEL)
			client->spent += spend;
		upstream_start(
		    world, attempt, call.kind, kind == STEP_MODEL ? spend : 0);
		attempt->ran = true;
		return;
	case OWNER_REPLAY:
		replayed(world, attempt, &answer);
		return;
	case OWNER_REFUSE:
	case OWNER_NOT_MINE:
		refused(world, attempt, answer.reason, answer.run);
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

static void
attempt_open(struct world *world, int program)
{
	struct client *client = &world->clients[program];
	int vm = (int)rng_below(&world->rng, RUN_VMS);
	struct attempt *attempt;

	if (!world->vms[vm].alive || world->vms[vm].paused)
		return;
	attempt = attempt_new(world);
	*attempt = (struct attempt){
	    .open = true,
	    .vm = vm,
	    .incarnation = world->vms[vm].incarnation,
	    .call = ++world->next_call,
	    .program = program,
	    .step = client->step,
	    .state = client->state,
	    .digest = client->digest,
	    .history_count = client->history_count,
	    .give_up_us = world->now_us + GIVE_UP_US,
	};
	attempt_admit(world, attempt);
}

/* Returns whether the caller still waits for an answer; gives up on those
 * that took too long, with or without closing the connection. */
static bool
client_waits(struct world *world, int program)
{
	bool waits = false;

	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct attempt *attempt = &world->attempts[i];
		struct vm *vm = &world->vms[attempt->vm];

		if (!attempt->open || attempt->program != program ||
		    attempt->incarnation != vm->incarnation || !vm->alive ||
		    !attempt_current(world, attempt))
			continue;
		if (world->now_us < attempt->give_up_us) {
			waits = true;
			continue;
		}
		attempt->late = true;
		if (!vm->paused && chance(world, 0.5))
			owner_call_detach(
			    vm->owner, attempt->call, world->now_us);
	}
	return waits;
}

void
client_step(struct world *world, int program)
{
	struct client *client = &world->clients[program];

	if (client->state == CLIENT_DONE || world->now_us < client->next_us)
		return;
	if (client->state == CLIENT_BEGIN && client->parent >= 0) {
		const struct client *parent = &world->clients[client->parent];

		if (parent->state == CLIENT_BEGIN)
			return;
		if (parent->state != CLIENT_CALL) {
			client->state = CLIENT_DONE;
			return;
		}
	}
	if (client_waits(world, program) && !chance(world, 0.01))
		return;
	attempt_open(world, program);
}

void
kv_release(struct world *world, const struct owner_event *event)
{
	for (int p = 0; p < RUN_PROGRAMS; p++) {
		if (strcmp(world->clients[p].id, event->program) != 0)
			continue;
		for (int s = 0; s < RUN_SERVERS; s++) {
			if (event->server[0] == '*' || atoi(event->server) == s)
				world->kv[s][p] = false;
		}
	}
}

static void
release(struct world *world, int vm, const struct owner_event *event)
{
	if (!world->quiet && chance(world, 0.2))
		return;
	kv_release(world, event);
	if (!world->quiet && chance(world, 0.2))
		return;
	owner_kv_released(
	    world->vms[vm].owner, event->program, event->server, world->now_us);
}

static void
dispatched(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];

	attempt->ran = true;
	if (++client->once_runs[attempt->step] > 1)
		violated(world, "call %d of %s ran twice", attempt->step,
		    client->id);
	if (attempt->told_not_run)
		violated(world, "a call ran after its refusal");
	upstream_start(world, attempt, OWNER_CALL_ONCE, 0);
}

static void
attempt_event(struct world *world, struct attempt *attempt,
    const struct owner_event *event)
{
	struct client *client = &world->clients[attempt->program];
	struct record_bytes content = {
	    (const uint8_t *)attempt->content, strlen(attempt->content)};

	check_durable(world, client, event);
	switch (event->type) {
	case OWNER_DISPATCH:
		dispatched(world, attempt);
		return;
	case OWNER_RESERVED:
	case OWNER_HISTORY_READY:
		attempt_admit(world, attempt);
		return;
	case OWNER_PROGRAM_BEGUN:
		if (attempt_current(world, attempt)) {
			memcpy(client->id, event->program, PROGRAM_ID_BYTES);
			client->state = CLIENT_CALL;
		}
		break;
	case OWNER_TURN_DURABLE:
		client_turn(world, attempt, content, true);
		break;
	case OWNER_OUTCOME_DURABLE:
		if (attempt_current(world, attempt)) {
			history_durable(client);
			client_advance(world, client);
		}
		break;
	case OWNER_PROGRAM_ENDED:
		client->state = CLIENT_DONE;
		break;
	case OWNER_REFUSED:
		refused(world, attempt, event->reason, event->run);
		return;
	default:
		break;
	}
	attempt->open = false;
}

void
client_event(struct world *world, int vm, const struct owner_event *event)
{
	struct attempt *attempt = attempt_find(world, vm, event->call);

	if (event->type == OWNER_RELEASE_KV) {
		release(world, vm, event);
		return;
	}
	if (event->type == OWNER_DISPATCH && attempt == NULL)
		violated(world, "a call was sent that nobody asked for");
	if (attempt != NULL)
		attempt_event(world, attempt, event);
}
