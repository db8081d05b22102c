#include <string.h>

#include <msgpack.h>

#include "common/pack.h"
#include "program/internal.h"

enum {
	STATE_ITEMS = 7,
	PROGRAM_ITEMS = 19,
	TURN_ITEMS = 5,
	ONCE_ITEMS = 9,
};

static void
pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void
pack_turn(msgpack_packer *packer, const struct turn *turn)
{
	msgpack_pack_array(packer, TURN_ITEMS);
	msgpack_pack_uint64(packer, turn->offset);
	msgpack_pack_uint64(packer, turn->key_hash);
	msgpack_pack_uint64(packer, turn->arguments_hash);
	msgpack_pack_uint64(packer, turn->len);
	msgpack_pack_uint64(packer, turn->in_history);
}

static void
pack_once(msgpack_packer *packer, const struct once_call *once)
{
	msgpack_pack_array(packer, ONCE_ITEMS);
	pack_text(packer, once->key);
	pack_text(packer, once->tool);
	pack_text(packer, once->settled_by);
	msgpack_pack_uint64(packer, once->turn);
	msgpack_pack_uint64(packer, once->intent_id);
	msgpack_pack_bin_with_body(packer, once->arguments.bytes, DIGEST_BYTES);
	msgpack_pack_uint64(packer, once->outcome);
	msgpack_pack_uint64(packer, once->status);
	msgpack_pack_bin_with_body(
	    packer, once->response.data, once->response.len);
}

static void
pack_program(msgpack_packer *packer, const struct program *p)
{
	const uint64_t numbers[] = {p->urgent, p->ended, p->end_order,
	    (uint64_t)p->begun_wall_us, p->budget, p->reserved, p->spent,
	    p->delegated, p->stranded, p->prompt_tokens};

	msgpack_pack_array(packer, PROGRAM_ITEMS);
	pack_text(packer, p->id);
	pack_text(packer, p->workspace);
	pack_text(packer, p->parent);
	pack_text(packer, p->key);
	pack_text(packer, p->end_reason);
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		msgpack_pack_uint64(packer, numbers[i]);
	msgpack_pack_bin_with_body(packer, p->digest.bytes, DIGEST_BYTES);
	msgpack_pack_array(packer, p->durable_turns);
	for (size_t i = 0; i < p->durable_turns; i++)
		pack_turn(packer, &p->turns[i]);
	msgpack_pack_array(packer, list_length(&p->once_calls));
	list_for_each (once, &p->once_calls, struct once_call, link)
		pack_once(packer, once);
	msgpack_pack_array(packer, p->server_count);
	for (size_t i = 0; i < p->server_count; i++)
		pack_text(packer, p->servers[i]);
}

void
shard_encode(const struct shard *shard, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, STATE_ITEMS);
	pack_text(&packer, shard->vm);
	pack_text(&packer, shard->address);
	msgpack_pack_uint64(&packer, shard->claim_id);
	msgpack_pack_uint64(&packer, shard->end_count);
	msgpack_pack_uint64(&packer, shard->stranded);
	msgpack_pack_uint64(&packer, HASH_COUNT(shard->programs));
	msgpack_pack_array(&packer, HASH_COUNT(shard->programs));
	for (const struct program *p = shard->programs; p != NULL;
	     p = p->hh.next)
		pack_program(&packer, p);
}

/** Reads the items of an array in order. After an item of the wrong type, all
 * further reads fail. */
struct reader {
	const msgpack_object *items;
	size_t left;
	bool failed;
};

static struct reader
reader_of(const msgpack_object *object)
{
	struct reader reader = {0};

	if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY) {
		reader.failed = true;
		return reader;
	}
	reader.items = object->via.array.ptr;
	reader.left = object->via.array.size;
	return reader;
}

static const msgpack_object *
read_item(struct reader *reader, msgpack_object_type type)
{
	if (reader->failed || reader->left == 0 ||
	    reader->items->type != type) {
		reader->failed = true;
		return NULL;
	}
	reader->left--;
	return reader->items++;
}

static uint64_t
read_number(struct reader *reader)
{
	const msgpack_object *item =
	    read_item(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return item != NULL ? item->via.u64 : 0;
}

static void
read_text(struct reader *reader, char *text, size_t size)
{
	const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_STR);

	if (item == NULL || item->via.str.size >= size) {
		reader->failed = true;
		return;
	}
	memcpy(text, item->via.str.ptr, item->via.str.size);
	text[item->via.str.size] = '\0';
}

static void
read_digest(struct reader *reader, struct digest *digest)
{
	const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_BIN);

	if (item == NULL || item->via.bin.size != DIGEST_BYTES) {
		reader->failed = true;
		return;
	}
	memcpy(digest->bytes, item->via.bin.ptr, DIGEST_BYTES);
}

static bool
read_turn(struct program *program, const msgpack_object *object)
{
	struct reader reader = reader_of(object);
	struct turn *turn = program_add_turn(program);

	turn->offset = read_number(&reader);
	turn->key_hash = read_number(&reader);
	turn->arguments_hash = read_number(&reader);
	turn->len = (uint32_t)read_number(&reader);
	turn->in_history = read_number(&reader) != 0;
	program->durable_turns++;
	return !reader.failed;
}

static bool
read_once(struct program *program, const msgpack_object *object)
{
	struct reader reader = reader_of(object);
	struct once_call *once = once_create(program);
	const msgpack_object *response;

	read_text(&reader, once->key, NAME_BYTES);
	read_text(&reader, once->tool, NAME_BYTES);
	read_text(&reader, once->settled_by, NAME_BYTES);
	once->turn = read_number(&reader);
	once->intent_id = read_number(&reader);
	read_digest(&reader, &once->arguments);
	once->outcome = (enum outcome)read_number(&reader);
	once->status = (uint32_t)read_number(&reader);
	response = read_item(&reader, MSGPACK_OBJECT_BIN);
	if (response != NULL)
		buf_append(&once->response, response->via.bin.ptr,
		    response->via.bin.size);
	return !reader.failed;
}

static void
read_numbers(struct reader *reader, struct program *p)
{
	p->urgent = read_number(reader) != 0;
	p->ended = read_number(reader) != 0;
	p->end_order = read_number(reader);
	p->begun_wall_us = (int64_t)read_number(reader);
	p->budget = read_number(reader);
	p->reserved = read_number(reader);
	p->spent = read_number(reader);
	p->delegated = read_number(reader);
	p->stranded = read_number(reader);
	p->prompt_tokens = read_number(reader);
	read_digest(reader, &p->digest);
}

static bool
read_lists(struct reader *reader, struct program *p)
{
	struct reader turns =
	    reader_of(read_item(reader, MSGPACK_OBJECT_ARRAY));
	struct reader once_calls =
	    reader_of(read_item(reader, MSGPACK_OBJECT_ARRAY));
	struct reader servers =
	    reader_of(read_item(reader, MSGPACK_OBJECT_ARRAY));

	for (; turns.left > 0; turns.left--) {
		if (!read_turn(p, turns.items++))
			return false;
	}
	for (; once_calls.left > 0; once_calls.left--) {
		if (!read_once(p, once_calls.items++))
			return false;
	}
	while (servers.left > 0 && !servers.failed &&
	    p->server_count < PROGRAM_SERVERS)
		read_text(&servers, p->servers[p->server_count++], NAME_BYTES);
	return !reader->failed && !turns.failed && !once_calls.failed &&
	    !servers.failed;
}

static bool
read_program(struct shard *shard, const msgpack_object *object)
{
	struct reader reader = reader_of(object);
	struct record_program_begin begin = {0};
	struct program *program;
	char end_reason[NAME_BYTES] = "";

	read_text(&reader, begin.program, PROGRAM_ID_BYTES);
	read_text(&reader, begin.workspace, NAME_BYTES);
	read_text(&reader, begin.parent, PROGRAM_ID_BYTES);
	read_text(&reader, begin.key, NAME_BYTES);
	read_text(&reader, end_reason, NAME_BYTES);
	if (reader.failed || shard_find(shard, begin.program) != NULL)
		return false;
	program = program_create(shard, &begin);
	memcpy(program->end_reason, end_reason, NAME_BYTES);
	read_numbers(&reader, program);
	return read_lists(&reader, program);
}

static bool
read_state(struct shard *shard, const msgpack_object *object)
{
	struct reader reader = reader_of(object);
	struct reader programs;

	read_text(&reader, shard->vm, NAME_BYTES);
	read_text(&reader, shard->address, NAME_BYTES);
	shard->claim_id = read_number(&reader);
	shard->end_count = read_number(&reader);
	shard->stranded = read_number(&reader);
	read_number(&reader);
	programs = reader_of(read_item(&reader, MSGPACK_OBJECT_ARRAY));
	for (; programs.left > 0; programs.left--) {
		if (!read_program(shard, programs.items++))
			return false;
	}
	return !reader.failed && !programs.failed;
}

bool
shard_decode(
    struct shard *shard, const void *data, size_t len, struct error *err)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = pack_sizes_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, data, len, &offset) ==
		MSGPACK_UNPACK_SUCCESS &&
	    read_state(shard, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		return error_set(err, ERROR_INVALID,
		    "shard snapshot is not a valid encoded state");
	return true;
}

/* A snapshot covers all records of the shard before it, so it is written only
 * while no other record of the shard is queued. */
void
snapshot_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	const struct lane *lane =
	    &owner->lanes[slot->shard.number % owner->limits.lanes];
	struct buf state = {0};
	size_t parts;

	if (!slot->snapshot_wanted || !list_empty(&slot->pending))
		return;
	slot->snapshot_wanted = false;
	slot->tail_records = 0;
	shard_encode(&slot->shard, &state);
	parts = (state.len + SNAPSHOT_PART_BYTES - 1) / SNAPSHOT_PART_BYTES;
	for (size_t i = 0; i < parts; i++) {
		size_t start = i * SNAPSHOT_PART_BYTES;
		size_t len = state.len - start;
		struct record record = {.type = RECORD_SNAPSHOT};

		if (len > SNAPSHOT_PART_BYTES)
			len = SNAPSHOT_PART_BYTES;
		record.snapshot.part = i;
		record.snapshot.parts = parts;
		record.snapshot.end_offset = lane->position;
		record.snapshot.state.data = state.data + start;
		record.snapshot.state.len = len;
		pending_add(owner, slot, &record, now_us);
	}
	buf_reset(&state);
}

void
index_add(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	uint32_t lane = slot->shard.number % owner->limits.lanes;
	struct record record = {
	    .type = RECORD_INDEX,
	    .shard = slot->shard.number,
	    .epoch = slot->shard.epoch,
	    .index =
		{
		    .offset = slot->shard.snapshot_offset,
		    .snapshot_id = slot->shard.snapshot_id,
		},
	};

	pending_add_unsharded(
	    owner, owner->limits.lanes + 1 + lane, &record, now_us);
}

/* Keeps the entry with the greatest offset: entries that were appended late may
 * name older snapshots. */
void
index_apply(struct owner *owner, uint32_t lane, const struct record *record)
{
	struct record_index *entry;

	if (record->type != RECORD_INDEX ||
	    record->shard >= owner->limits.shards ||
	    record->shard % owner->limits.lanes !=
		lane - owner->limits.lanes - 1)
		return;
	entry = &owner->index[record->shard];
	if (entry->snapshot_id == 0 || entry->offset < record->index.offset)
		*entry = record->index;
}

void
index_end(struct owner *owner, uint32_t index_lane)
{
	uint32_t lane = index_lane - owner->limits.lanes - 1;
	struct lane *state = &owner->lanes[lane];
	uint64_t start = UINT64_MAX;

	if (state->started)
		return;
	state->started = true;
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes) {
		const struct record_index *entry = &owner->index[i];
		uint64_t offset = entry->snapshot_id != 0 ? entry->offset : 0;

		if (offset < start)
			start = offset;
	}
	if (start < state->first_offset)
		start = state->first_offset;
	if (start == 0 || start == UINT64_MAX)
		return;
	state->position = start;
	for (uint32_t i = lane; i < owner->limits.shards;
	     i += owner->limits.lanes)
		shard_discard_state(
		    &owner->slots[i].shard, owner->index[i].snapshot_id);
}
