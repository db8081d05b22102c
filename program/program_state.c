#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "program/shard_fold.h"

enum {
	TURNS_MIN = 8,
};

uint64_t
program_key_hash(const char *key)
{
	return key[0] != '\0' ? hash_text(key, 0) | 1 : 0;
}

uint64_t
program_digest_hash(const struct digest *digest)
{
	return hash_bytes(digest->bytes, DIGEST_BYTES, 0);
}

uint64_t
program_free_budget(const struct program *program)
{
	uint64_t used = program->reserved + program->delegated +
	    program->local_reserve + program->local_delegate;

	return used < program->budget ? program->budget - used : 0;
}

struct once_call *
once_create(struct program *program)
{
	struct once_call *once = xcalloc(1, sizeof(*once));

	list_append(&program->once_calls, &once->link);
	return once;
}

struct once_call *
program_find_once(const struct program *program, const char *key)
{
	list_for_each (once, &program->once_calls, struct once_call, link) {
		if (strcmp(once->key, key) == 0)
			return once;
	}
	return NULL;
}

struct program *
program_create(struct shard *shard, const struct record_program_begin *begin)
{
	struct program *program = xcalloc(1, sizeof(*program));

	memcpy(program->id, begin->program, PROGRAM_ID_BYTES);
	memcpy(program->workspace, begin->workspace, NAME_BYTES);
	memcpy(program->parent, begin->parent, PROGRAM_ID_BYTES);
	memcpy(program->key, begin->key, NAME_BYTES);
	program->shard = shard->number;
	program->urgent = begin->urgent;
	program->begun_wall_us = begin->begun_wall_us;
	program->budget = begin->budget_tokens;
	program->reserved = begin->reserve_tokens;
	list_init(&program->once_calls);
	list_init(&program->cache_link);
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): see program_destroy */
	HASH_ADD_STR(shard->programs, id, program);
	return program;
}

void
program_destroy(struct shard *shard, struct program *program)
{
	/* The analyser assumes that the macro's table is freed or NULL. */
	/* NOLINTNEXTLINE(clang-analyzer-*) */
	HASH_DEL(shard->programs, program);
	list_remove(&program->cache_link);
	for (size_t i = 0; i < program->turn_count; i++) {
		if (program->turns[i].content != NULL)
			shard->dropped_bytes += program->turns[i].len;
		free(program->turns[i].content);
	}
	free(program->turns);
	list_for_each_safe (
	    once, tmp, &program->once_calls, struct once_call, link) {
		buf_reset(&once->response);
		free(once);
	}
	free(program);
}

struct turn *
program_add_turn(struct program *program)
{
	if (program->turn_count == program->turn_cap) {
		program->turn_cap =
		    program->turn_cap > 0 ? 2 * program->turn_cap : TURNS_MIN;
		program->turns = xrealloc(program->turns,
		    program->turn_cap * sizeof(program->turns[0]));
	}
	memset(
	    &program->turns[program->turn_count], 0, sizeof(program->turns[0]));
	return &program->turns[program->turn_count++];
}

void
program_reset_local(struct program *program)
{
	while (program->turn_count > program->durable_turns)
		free(program->turns[--program->turn_count].content);
	for (size_t i = 0; i < program->turn_count; i++)
		program->turns[i].reappending = false;
	program->tip_digest = program->digest;
	program->tip_prompt_tokens = program->prompt_tokens;
	program->local_spent = 0;
	program->local_reserve = 0;
	program->local_delegate = 0;
	program->ending = false;
	program->call = 0;
	program->fetch_call = 0;
	program->kv_release_due_us = 0;
}

uint64_t
program_charge_unreported(struct program *program)
{
	uint64_t stranded = program->reserved > program->spent
	    ? program->reserved - program->spent
	    : 0;

	program->spent += stranded;
	program->stranded += stranded;
	return stranded;
}

void
program_add_server(struct program *program, const char *server)
{
	if (server[0] == '\0')
		return;
	for (size_t i = 0; i < program->server_count; i++) {
		if (strcmp(program->servers[i], server) == 0)
			return;
	}
	if (program->server_count == PROGRAM_SERVERS) {
		program->server_count--;
		server = PROGRAM_ANY_SERVER;
	}
	strncpy(
	    program->servers[program->server_count++], server, NAME_BYTES - 1);
}

static enum fold_verdict
apply_begin(struct shard *shard, const struct record_program_begin *begin)
{
	struct program *parent = NULL;

	if (shard_find(shard, begin->program) != NULL)
		return FOLD_REJECTED;
	if (begin->parent[0] != '\0') {
		parent = shard_find(shard, begin->parent);
		if (parent == NULL || parent->ended ||
		    parent->reserved + parent->delegated +
			    begin->budget_tokens >
			parent->budget)
			return FOLD_REJECTED;
		parent->delegated += begin->budget_tokens;
	}
	program_create(shard, begin);
	return FOLD_APPLIED;
}

static enum fold_verdict
apply_turn(
    struct program *program, uint64_t offset, const struct record_turn *body)
{
	struct turn *turn;

	if (body->turn != program->durable_turns + 1)
		return FOLD_REJECTED;
	if (program->turn_count == program->durable_turns)
		program_add_turn(program);
	turn = &program->turns[program->durable_turns++];
	turn->offset = offset;
	turn->key_hash = program_key_hash(body->key);
	turn->arguments_hash = program_digest_hash(&body->arguments);
	turn->len = (uint32_t)body->content.len;
	turn->in_history = !body->tool;
	program->spent += body->spent_tokens;
	if (!body->tool) {
		program->digest = body->digest;
		program->prompt_tokens = body->prompt_tokens;
	}
	program_add_server(program, body->server);
	return FOLD_APPLIED;
}

static enum fold_verdict
apply_reserve(struct program *program, const struct record_reserve *reserve)
{
	program->spent += reserve->spent_tokens;
	program_add_server(program, reserve->server);
	if (program->reserved + program->delegated + reserve->tokens >
	    program->budget)
		return reserve->tokens > 0 ? FOLD_REJECTED : FOLD_APPLIED;
	program->reserved += reserve->tokens;
	return FOLD_APPLIED;
}

static enum fold_verdict
apply_intent(struct program *program, const struct record *record)
{
	const struct record_intent *intent = &record->intent;
	struct once_call *once = program_find_once(program, intent->key);
	struct turn *turn;

	if (intent->turn != program->durable_turns + 1)
		return FOLD_REJECTED;
	if (once != NULL &&
	    (once->outcome != OUTCOME_NOT_RUN || once->settled_by[0] != '\0'))
		return FOLD_REJECTED;
	if (once == NULL)
		once = once_create(program);
	memcpy(once->key, intent->key, NAME_BYTES);
	memcpy(once->tool, intent->tool, NAME_BYTES);
	once->turn = intent->turn;
	once->intent_id = record->id;
	once->arguments = intent->arguments;
	once->outcome = OUTCOME_OPEN;
	if (program->turn_count == program->durable_turns)
		program_add_turn(program);
	turn = &program->turns[program->durable_turns++];
	turn->key_hash = program_key_hash(intent->key);
	turn->arguments_hash = program_digest_hash(&intent->arguments);
	return FOLD_APPLIED;
}

/* Returns whether an outcome replaces the recorded one. An outcome that the
 * sender of the call reports overrides an operator's statement. */
static bool
outcome_overrides(
    const struct once_call *once, const struct record_outcome *outcome)
{
	if (once->outcome == OUTCOME_OPEN)
		return true;
	if (once->outcome == OUTCOME_UNKNOWN)
		return outcome->outcome != OUTCOME_UNKNOWN;
	return once->settled_by[0] != '\0' && outcome->settled_by[0] == '\0' &&
	    outcome->outcome != OUTCOME_UNKNOWN;
}

static enum fold_verdict
apply_outcome(struct program *program, const struct record_outcome *outcome)
{
	struct once_call *once = program_find_once(program, outcome->key);

	if (once == NULL || once->intent_id != outcome->intent_id ||
	    outcome->outcome == OUTCOME_OPEN ||
	    outcome->outcome > OUTCOME_UNKNOWN)
		return FOLD_REJECTED;
	if (!outcome_overrides(once, outcome))
		return FOLD_REJECTED;
	once->outcome = (enum outcome)outcome->outcome;
	once->status = outcome->status;
	memcpy(once->settled_by, outcome->settled_by, NAME_BYTES);
	buf_reset(&once->response);
	buf_append(
	    &once->response, outcome->response.data, outcome->response.len);
	return FOLD_APPLIED;
}

/* Ends a program. A sub-agent's unused budget returns to its parent. */
static enum fold_verdict
apply_end(struct shard *shard, struct program *program,
    const struct record_program_end *end)
{
	struct program *parent = shard_find(shard, program->parent);
	uint64_t used = program->spent + program->delegated;

	if (program->ended)
		return FOLD_REJECTED;
	program->ended = true;
	program->end_order = ++shard->end_count;
	memcpy(program->end_reason, end->reason, NAME_BYTES);
	if (parent != NULL && used < program->budget)
		parent->delegated -= program->budget - used;
	return FOLD_APPLIED;
}

static void
apply_kv_released(
    struct program *program, const struct record_kv_released *released)
{
	for (size_t i = 0; i < program->server_count; i++) {
		if (strcmp(program->servers[i], released->server) != 0)
			continue;
		memmove(program->servers[i],
		    program->servers[program->server_count - 1], NAME_BYTES);
		program->server_count--;
		return;
	}
}

static enum fold_verdict
apply_history(struct program *program, uint64_t offset,
    const struct record_history *history)
{
	if (history->turn == 0 || history->turn > program->durable_turns)
		return FOLD_REJECTED;
	program->turns[history->turn - 1].offset = offset;
	program->turns[history->turn - 1].reappending = false;
	return FOLD_APPLIED;
}

static bool
program_forgettable(const struct shard *shard, const struct program *program)
{
	if (!program->ended || program->server_count > 0 ||
	    program->end_order + SHARD_ENDED_KEPT > shard->end_count)
		return false;
	list_for_each (once, &program->once_calls, struct once_call, link) {
		if (once->outcome == OUTCOME_OPEN ||
		    once->outcome == OUTCOME_UNKNOWN)
			return false;
	}
	return true;
}

static void
forget_ended(struct shard *shard)
{
	struct program *program = NULL;
	struct program *tmp = NULL;

	HASH_ITER (hh, shard->programs, program, tmp) {
		if (program_forgettable(shard, program))
			program_destroy(shard, program);
	}
}

/* The program's id is the first member of the body of each of these records, so
 * record->turn.program reads it whatever the type. */
enum fold_verdict
program_apply(struct shard *shard, uint64_t offset, const struct record *record)
{
	struct program *program = NULL;

	if (record->type == RECORD_PROGRAM_BEGIN) {
		forget_ended(shard);
		return apply_begin(shard, &record->program_begin);
	}
	program = shard_find(shard, record->turn.program);
	if (program == NULL)
		return FOLD_REJECTED;
	switch (record->type) {
	case RECORD_TURN:
		return program->ended
		    ? FOLD_REJECTED
		    : apply_turn(program, offset, &record->turn);
	case RECORD_RESERVE:
		return apply_reserve(program, &record->reserve);
	case RECORD_INTENT:
		return program->ended ? FOLD_REJECTED
				      : apply_intent(program, record);
	case RECORD_OUTCOME:
		return apply_outcome(program, &record->outcome);
	case RECORD_PROGRAM_END:
		return apply_end(shard, program, &record->program_end);
	case RECORD_KV_RELEASED:
		apply_kv_released(program, &record->kv_released);
		return FOLD_APPLIED;
	case RECORD_HISTORY:
		return apply_history(program, offset, &record->history);
	default:
		return FOLD_SKIPPED;
	}
}
