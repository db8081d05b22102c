#include <stdio.h>
#include <string.h>

#include "program/internal.h"

void
result_fill(struct owner *owner, const struct program *program,
    struct owner_result *result)
{
	(void)owner;
	memcpy(result->program, program->id, PROGRAM_ID_BYTES);
	result->shard = program->shard;
	result->turn = program->turn_count;
	result->digest = program->tip_digest;
	result->budget_left_tokens = budget_left(program);
}

static struct shard_slot *
random_slot(struct owner *owner)
{
	uint32_t start = (uint32_t)rng_below(&owner->rng, owner->limits.shards);

	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		struct shard_slot *slot =
		    &owner->slots[(start + i) % owner->limits.shards];

		if (slot->owned && slot->wanted && !slot->releasing)
			return slot;
	}
	return &owner->slots[start];
}

/* Chooses a new program's shard and id. With an idempotency key, both follow
 * from the key, so that a request repeated on another VM reaches the same
 * owner. A sub-agent gets its parent's shard. */
static struct shard_slot *
begin_choose_slot(
    struct owner *owner, const struct owner_begin *begin, char *id)
{
	struct shard_slot *slot;
	uint64_t serial = rng_next(&owner->rng);

	if (begin->key[0] != '\0') {
		serial = hash_text(begin->key,
		    hash_text(begin->parent, hash_text(begin->workspace, 0)));
		slot = &owner->slots[serial % owner->limits.shards];
	} else {
		slot = random_slot(owner);
	}
	if (begin->parent[0] != '\0')
		slot = owner_slot(owner, begin->parent);
	if (slot != NULL)
		snprintf(id, PROGRAM_ID_BYTES, "p%u-%016llx",
		    slot->shard.number, (unsigned long long)serial);
	return slot;
}

static bool
begin_pending(const struct shard_slot *slot, const char *id)
{
	list_for_each (pending, &slot->pending, struct pending, link) {
		if (pending->type == RECORD_PROGRAM_BEGIN &&
		    strcmp(pending->program, id) == 0)
			return true;
	}
	return false;
}

static void
begin_queue(struct owner *owner, struct shard_slot *slot, call_id call,
    const char *id, const struct owner_begin *begin, struct program *parent,
    int64_t now_us)
{
	struct pending *pending;
	uint64_t reserve_tokens = owner->limits.reserve_tokens;
	struct record record = {
	    .type = RECORD_PROGRAM_BEGIN,
	    .program_begin =
		{
		    .budget_tokens = begin->budget_tokens,
		    .begun_wall_us = begin->wall_us,
		    .urgent = begin->urgent,
		},
	};
	struct record_program_begin *body = &record.program_begin;

	body->reserve_tokens = reserve_tokens < begin->budget_tokens
	    ? reserve_tokens
	    : begin->budget_tokens;
	memcpy(body->program, id, PROGRAM_ID_BYTES);
	strncpy(body->workspace, begin->workspace, NAME_BYTES - 1);
	strncpy(body->parent, begin->parent, PROGRAM_ID_BYTES - 1);
	strncpy(body->key, begin->key, NAME_BYTES - 1);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, id, PROGRAM_ID_BYTES);
	memcpy(pending->parent, body->parent, PROGRAM_ID_BYTES);
	pending->call = call;
	if (parent == NULL)
		return;
	pending->delegate = begin->budget_tokens;
	parent->local_delegate += begin->budget_tokens;
}

static enum owner_decision
begin_check(struct owner *owner, struct shard_slot *slot,
    const struct owner_begin *begin, struct program *parent, int64_t now_us,
    struct owner_result *result)
{
	uint32_t lane = slot->shard.number % owner->limits.lanes;

	if (!slot->wanted || slot->releasing)
		return owner_refuse(owner, result, REFUSAL_DRAINING);
	if (lane_backlog_full(owner, lane))
		return owner_refuse(owner, result, REFUSAL_LOG_BACKLOG);
	if (lane_unavailable(owner, lane, now_us))
		return owner_refuse(owner, result, REFUSAL_LOG_UNAVAILABLE);
	if (begin->parent[0] == '\0')
		return OWNER_OK;
	if (parent == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	if (strcmp(parent->workspace, begin->workspace) != 0)
		return owner_refuse(owner, result, REFUSAL_FORBIDDEN);
	if (parent->ended || parent->ending)
		return owner_refuse(owner, result, REFUSAL_PROGRAM_ENDED);
	if (begin->budget_tokens > program_free_budget(parent))
		return owner_refuse(owner, result, REFUSAL_BUDGET_EXCEEDED);
	return OWNER_OK;
}

enum owner_decision
owner_program_begin(struct owner *owner, call_id call,
    const struct owner_begin *begin, int64_t now_us,
    struct owner_result *result)
{
	char id[PROGRAM_ID_BYTES] = "";
	struct shard_slot *slot = begin_choose_slot(owner, begin, id);
	struct program *program;
	struct program *parent;
	enum owner_decision decision;

	memset(result, 0, sizeof(*result));
	if (slot == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	result->shard = slot->shard.number;
	if (!slot->owned)
		return owner_refuse(owner, result, REFUSAL_NOT_OWNER);
	memcpy(result->program, id, PROGRAM_ID_BYTES);
	program = shard_find(&slot->shard, id);
	if (program != NULL) {
		if (program->budget != begin->budget_tokens ||
		    strcmp(program->workspace, begin->workspace) != 0)
			return owner_refuse(
			    owner, result, REFUSAL_IDEMPOTENCY_KEY_REUSED);
		result_fill(owner, program, result);
		result->execution = EXECUTION_FINISHED;
		result->durable = true;
		return OWNER_REPLAY;
	}
	parent = shard_find(&slot->shard, begin->parent);
	decision = begin_check(owner, slot, begin, parent, now_us, result);
	if (decision != OWNER_OK)
		return decision;
	if (!begin_pending(slot, id))
		begin_queue(owner, slot, call, id, begin, parent, now_us);
	call_add(owner, call, CALL_BEGIN, id, now_us);
	return OWNER_WAIT;
}

/* Returns whether the program or one of its sub-agents has a call in progress,
 * or a sub-agent is being begun. */
static bool
program_tree_busy(const struct shard_slot *slot, const struct program *program)
{
	struct program *child;

	if (program->call != 0)
		return true;
	list_for_each (pending, &slot->pending, struct pending, link) {
		if (pending->type == RECORD_PROGRAM_BEGIN &&
		    strcmp(pending->parent, program->id) == 0)
			return true;
	}
	for (child = slot->shard.programs; child != NULL;
	     child = child->hh.next) {
		if (!child->ended && strcmp(child->parent, program->id) == 0 &&
		    program_tree_busy(slot, child))
			return true;
	}
	return false;
}

/* Sub-agents end first, so that their unused budget returns to their parent. */
void
program_end_queue(struct owner *owner, struct shard_slot *slot,
    struct program *program, const char *reason, call_id call, int64_t now_us)
{
	struct record record = {.type = RECORD_PROGRAM_END};
	struct pending *pending;
	struct program *child;

	if (program->ended || program->ending)
		return;
	for (child = slot->shard.programs; child != NULL;
	     child = child->hh.next) {
		if (strcmp(child->parent, program->id) == 0)
			program_end_queue(
			    owner, slot, child, "parent_ended", 0, now_us);
	}
	memcpy(record.program_end.program, program->id, PROGRAM_ID_BYTES);
	strncpy(record.program_end.reason, reason, NAME_BYTES - 1);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, program->id, PROGRAM_ID_BYTES);
	pending->call = call;
	program->ending = true;
}

enum owner_decision
owner_program_end(struct owner *owner, call_id call, const char *id,
    const char *workspace, const char *reason, int64_t now_us,
    struct owner_result *result)
{
	struct shard_slot *slot = owner_slot(owner, id);
	struct program *program;

	memset(result, 0, sizeof(*result));
	if (slot == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	result->shard = slot->shard.number;
	if (!slot->owned)
		return owner_refuse(owner, result, REFUSAL_NOT_OWNER);
	program = shard_find(&slot->shard, id);
	if (program == NULL)
		return owner_refuse(owner, result, REFUSAL_UNKNOWN_PROGRAM);
	if (workspace != NULL && strcmp(program->workspace, workspace) != 0)
		return owner_refuse(owner, result, REFUSAL_FORBIDDEN);
	result_fill(owner, program, result);
	if (program->ended) {
		result->execution = EXECUTION_FINISHED;
		result->durable = true;
		return OWNER_REPLAY;
	}
	if (slot->releasing)
		return owner_refuse(owner, result, REFUSAL_DRAINING);
	if (program_tree_busy(slot, program))
		return owner_refuse(owner, result, REFUSAL_TURN_IN_PROGRESS);
	program_end_queue(owner, slot, program, reason, call, now_us);
	call_add(owner, call, CALL_END, id, now_us);
	return OWNER_WAIT;
}

void
program_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	for (struct program *program = slot->shard.programs; program != NULL;
	     program = program->hh.next) {
		if (program->ended) {
			if (program->server_count > 0)
				kv_release_program(owner, program, now_us);
			continue;
		}
		if (now_us - program->first_seen_us >
			owner->limits.max_program_us &&
		    !program_tree_busy(slot, program))
			program_end_queue(
			    owner, slot, program, "time_limit", 0, now_us);
	}
}
