#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

static void
history_touch(struct owner *owner, struct program *program)
{
	list_remove(&program->cache_link);
	list_append(&owner->cache, &program->cache_link);
}

void
history_store(struct owner *owner, struct program *program, struct turn *turn,
    struct wire_bytes content)
{
	if (turn->content != NULL || content.len == 0)
		return;
	turn->content = (uint8_t *)xmemdup(content.data, content.len);
	turn->len = (uint32_t)content.len;
	owner->cache_bytes += content.len;
	history_touch(owner, program);
}

static void
content_drop(struct owner *owner, struct turn *turn)
{
	if (turn->content == NULL)
		return;
	owner->cache_bytes -= turn->len;
	free(turn->content);
	turn->content = NULL;
}

/* Drops the cached content of durable turns. Local turns keep theirs, because
 * it cannot be fetched from the log yet. */
static void
program_drop_content(struct owner *owner, struct program *program)
{
	for (size_t i = 0; i < program->durable_turns; i++)
		content_drop(owner, &program->turns[i]);
	if (program->turn_count == program->durable_turns)
		list_remove(&program->cache_link);
}

void
history_drop_cached(struct owner *owner, struct program *program)
{
	for (size_t i = 0; i < program->turn_count; i++)
		content_drop(owner, &program->turns[i]);
	list_remove(&program->cache_link);
}

void
history_evict(struct owner *owner)
{
	list_for_each_safe (
	    program, tmp, &owner->cache, struct program, cache_link) {
		if (owner->cache_bytes <= owner->limits.history_cache_bytes)
			return;
		if (program->call == 0 && program->fetch_call == 0)
			program_drop_content(owner, program);
	}
}

static bool
fetch_known(const struct owner *owner, uint32_t lane, uint64_t offset)
{
	list_for_each (fetch, &owner->fetches, struct fetch, link) {
		if (fetch->lane == lane && fetch->offset == offset)
			return true;
	}
	return false;
}

bool
history_fetch_turn(
    struct owner *owner, struct program *program, uint64_t turn, call_id call)
{
	const struct turn *entry = &program->turns[turn - 1];
	struct fetch *fetch;
	uint32_t lane = program->shard % owner->limits.lanes;

	if (entry->content != NULL || entry->len == 0)
		return false;
	program->fetch_call = call;
	if (fetch_known(owner, lane, entry->offset))
		return true;
	fetch = xcalloc(1, sizeof(*fetch));
	fetch->lane = lane;
	fetch->offset = entry->offset;
	fetch->turn = turn;
	memcpy(fetch->program, program->id, PROGRAM_ID_BYTES);
	list_append(&owner->fetches, &fetch->link);
	return true;
}

bool
owner_next_fetch(struct owner *owner, uint32_t *lane, uint64_t *offset)
{
	list_for_each (fetch, &owner->fetches, struct fetch, link) {
		if (fetch->issued)
			continue;
		fetch->issued = true;
		*lane = fetch->lane;
		*offset = fetch->offset;
		return true;
	}
	return false;
}

static void
fetch_done(struct owner *owner, struct program *program)
{
	call_id call = program->fetch_call;

	if (call == 0)
		return;
	list_for_each (fetch, &owner->fetches, struct fetch, link) {
		if (strcmp(fetch->program, program->id) == 0)
			return;
	}
	program->fetch_call = 0;
	event_add(owner, OWNER_HISTORY_READY, call);
}

static struct wire_bytes
record_content(const struct record *record)
{
	if (record->type == RECORD_HISTORY)
		return record->history.content;
	return record->turn.content;
}

/* Caches a fetched turn. Its program may have been dropped, or the turn moved
 * to another record, since the fetch was queued. */
static void
fetch_store(
    struct owner *owner, const struct fetch *fetch, const struct record *record)
{
	struct shard_slot *slot = owner_slot(owner, fetch->program);
	struct program *program = shard_find(&slot->shard, fetch->program);
	struct turn *turn;

	if (program == NULL || fetch->turn > program->durable_turns ||
	    strcmp(record->turn.program, fetch->program) != 0)
		return;
	turn = &program->turns[fetch->turn - 1];
	if (turn->len == record_content(record).len)
		history_store(owner, program, turn, record_content(record));
}

void
owner_handle_fetched(struct owner *owner, uint32_t lane, uint64_t offset,
    const struct record *record, int64_t now_us)
{
	(void)now_us;
	list_for_each_safe (fetch, tmp, &owner->fetches, struct fetch, link) {
		struct program *program;
		struct shard_slot *slot;

		if (fetch->lane != lane || fetch->offset != offset)
			continue;
		fetch->issued = record != NULL;
		if (record == NULL)
			return;
		if (record->type == RECORD_TURN ||
		    record->type == RECORD_HISTORY)
			fetch_store(owner, fetch, record);
		slot = owner_slot(owner, fetch->program);
		program = shard_find(&slot->shard, fetch->program);
		list_remove(&fetch->link);
		free(fetch);
		if (program != NULL)
			fetch_done(owner, program);
		return;
	}
}

static void
history_add_piece(struct owner *owner, size_t index, const struct turn *turn)
{
	if (index == owner->piece_cap) {
		owner->piece_cap = owner->piece_cap * 2 + 16;
		owner->pieces = xrealloc(
		    owner->pieces, owner->piece_cap * sizeof(owner->pieces[0]));
	}
	owner->pieces[index].data = turn->content;
	owner->pieces[index].len = turn->len;
}

bool
history_collect(struct owner *owner, struct program *program, call_id call,
    struct owner_result *result)
{
	bool complete = true;
	size_t count = 0;

	for (size_t i = 0; i < program->turn_count; i++) {
		if (program->turns[i].in_history &&
		    history_fetch_turn(owner, program, i + 1, call))
			complete = false;
	}
	if (!complete)
		return false;
	for (size_t i = 0; i < program->turn_count; i++) {
		if (program->turns[i].in_history && program->turns[i].len > 0)
			history_add_piece(owner, count++, &program->turns[i]);
	}
	if (count > 0)
		history_touch(owner, program);
	result->history = owner->pieces;
	result->history_count = count;
	result->history_tokens = program->tip_prompt_tokens;
	return true;
}

void
turn_record(struct owner *owner, struct program *program,
    const struct record_turn *body, call_id call, int64_t now_us)
{
	struct shard_slot *slot = owner_slot(owner, program->id);
	struct turn *turn = program_add_turn(program);
	struct record record = {.type = RECORD_TURN, .turn = *body};
	struct pending *pending = pending_add(owner, slot, &record, now_us);

	memcpy(pending->program, program->id, PROGRAM_ID_BYTES);
	pending->call = call;
	pending->turn = body->turn;
	pending->spent = body->spent_tokens;
	memcpy(pending->server, body->server, NAME_BYTES);
	turn->key_hash = program_key_hash(body->key);
	turn->arguments_hash = program_digest_hash(&body->arguments);
	turn->in_history = !body->tool;
	history_store(owner, program, turn, body->content);
	program->local_spent += body->spent_tokens;
	if (body->tool)
		return;
	program->tip_digest = body->digest;
	program->tip_prompt_tokens = body->prompt_tokens;
}

/* Returns the index of the first resent turn that is not recorded here, or
 * resend_count if the digest does not match from any turn on. */
static size_t
resend_start(const struct program *program, const struct owner_call *request)
{
	for (size_t start = 0; start < request->resend_count; start++) {
		struct digest digest = program->tip_digest;

		for (size_t i = start; i < request->resend_count; i++) {
			const struct owner_resend *item = &request->resend[i];

			if (!item->tool)
				digest = digest_chain(&digest,
				    item->content.data, item->content.len);
		}
		if (digest_equal(&digest, request->digest))
			return start;
	}
	return request->resend_count;
}

/* The tokens that resent turns spent are not charged again: they were counted
 * as stranded when the turns' owner was lost. */
bool
history_resend(struct owner *owner, struct program *program,
    const struct owner_call *request, int64_t now_us)
{
	size_t start = resend_start(program, request);

	if (start == request->resend_count)
		return false;
	for (size_t i = start; i < request->resend_count; i++) {
		const struct owner_resend *item = &request->resend[i];
		struct record_turn body = {
		    .turn = program->turn_count + 1,
		    .prompt_tokens = item->prompt_tokens,
		    .arguments = item->arguments,
		    .content = item->content,
		    .tool = item->tool,
		    .digest = program->tip_digest,
		};

		if (!item->tool)
			body.digest = digest_chain(&program->tip_digest,
			    item->content.data, item->content.len);
		memcpy(body.program, program->id, PROGRAM_ID_BYTES);
		strncpy(body.key, item->key, NAME_BYTES - 1);
		turn_record(owner, program, &body, 0, now_us);
	}
	return true;
}
