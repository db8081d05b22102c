#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/runs/world.h"

enum {
	GIVE_UP_US = 4000000,
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
	client->next_us = world->now_us +
	    (int64_t)rng_below(&world->rng, 10 * (uint64_t)US_PER_S);
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

bool
attempt_current(struct world *world, const struct attempt *attempt)
{
	const struct client *client = &world->clients[attempt->program];

	return !attempt->stale && attempt->state == client->state &&
	    attempt->step == client->step;
}

void
client_advance(struct world *world, struct client *client)
{
	client->step++;
	client->unknown_tries = 0;
	if (client->step == client->steps)
		client->state = CLIENT_END;
	client->next_us =
	    world->now_us + (int64_t)rng_below(&world->rng, US_PER_S);
}

void
client_roll_back(struct client *client)
{
	if (client->history_count > 0 &&
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

void
step_key(const struct attempt *attempt, char key[NAME_BYTES])
{
	char digest[DIGEST_TEXT_BYTES];

	/* A step that is repeated on another history is a different call. */
	digest_format(&attempt->digest, digest);
	snprintf(key, NAME_BYTES, "k%d-%.16s", attempt->step, digest);
}

void
client_turn(struct world *world, struct attempt *attempt,
    struct wire_bytes content, bool durable)
{
	struct client *client = &world->clients[attempt->program];
	struct client_turn_copy *turn;

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

/* Returns whether the caller still waits for a response. Gives up on attempts
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
		attempt->stale = true;
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
handle_kv_release(struct world *world, int vm, const struct owner_event *event)
{
	if (!world->faults_stopped && chance(world, 0.2))
		return;
	kv_release(world, event);
	if (!world->faults_stopped && chance(world, 0.2))
		return;
	owner_kv_released(
	    world->vms[vm].owner, event->program, event->server, world->now_us);
}

static void
attempt_dispatched(struct world *world, struct attempt *attempt)
{
	struct client *client = &world->clients[attempt->program];

	attempt->ran = true;
	client->once_history[attempt->step] = attempt->digest;
	if (++client->once_runs[attempt->step] > 1)
		world_report_violation(world, "call %d of %s ran twice",
		    attempt->step, client->id);
	if (attempt->reported_not_run)
		world_report_violation(
		    world, "a call ran after it was reported as not run");
	server_call_start(world, attempt, OWNER_CALL_NON_IDEMPOTENT, 0);
}

static void
attempt_event(struct world *world, struct attempt *attempt,
    const struct owner_event *event)
{
	struct client *client = &world->clients[attempt->program];
	struct wire_bytes content = {
	    (const uint8_t *)attempt->content, strlen(attempt->content)};

	check_durable(world, client, event);
	switch (event->type) {
	case OWNER_DISPATCH:
		attempt_dispatched(world, attempt);
		return;
	case OWNER_RETRY_ADMIT:
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
		attempt_refused(
		    world, attempt, event->reason, event->execution);
		return;
	default:
		break;
	}
	attempt->open = false;
}

void
client_event(struct world *world, int vm, const struct owner_event *event)
{
	struct attempt *attempt = attempt_find(world, vm, event->call_id);

	if (event->type == OWNER_RELEASE_KV) {
		handle_kv_release(world, vm, event);
		return;
	}
	if (event->type == OWNER_DISPATCH && attempt == NULL)
		world_report_violation(
		    world, "a call was dispatched without a request");
	if (attempt != NULL)
		attempt_event(world, attempt, event);
}
