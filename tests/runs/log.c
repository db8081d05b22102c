#include <stdlib.h>
#include <string.h>

#include "tests/runs/world.h"

enum {
	READ_RECORDS = 40,
};

static void
expected_apply(struct world *world, uint64_t offset, const struct buf *wire)
{
	struct record record;

	if (record_decode(wire->data, wire->len, &record, NULL))
		shard_apply(
		    &world->expected_shards[record.shard], offset, &record);
}

static void
append_apply(struct world *world, struct append_in_flight *append)
{
	struct stream *stream = &world->streams[append->lane];

	append->applied = true;
	for (size_t i = 0; i < append->count; i++) {
		struct stored_record *item;

		if (stream->count == RUN_LOG_MAX) {
			world_report_violation(
			    world, "a log stream has outgrown its limit");
			return;
		}
		item = &stream->items[stream->count++];
		item->at_us = world->now_us;
		buf_append(
		    &item->wire, append->items[i].data, append->items[i].len);
		if (append->lane < RUN_LANES)
			expected_apply(world, stream->count - 1, &item->wire);
	}
}

static void
append_free(struct append_in_flight *append)
{
	for (size_t i = 0; i < append->count; i++)
		buf_reset(&append->items[i]);
	free(append->items);
	memset(append, 0, sizeof(*append));
}

static struct append_in_flight *
append_new(struct world *world)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		if (!world->appends_in_flight[i].used)
			return &world->appends_in_flight[i];
	}
	abort();
}

/* Decides how the log handles an append: in time, slowly, without a reply, late
 * or not at all. */
static void
append_plan(struct world *world, struct append_in_flight *append)
{
	int64_t delay = 5000 + (int64_t)rng_below(&world->rng, 30000);
	bool out = world->now_us < world->outage_until_us;

	if (world->now_us < world->slow_until_us)
		delay *= 40;
	append->apply_us = world->now_us + delay;
	append->reply_us = append->apply_us + delay;
	append->result = APPEND_DONE;
	if (out && chance(world, 0.5)) {
		append->result = APPEND_NOT_DONE;
		append->applied = true;
	} else if (out || (!world->faults_stopped && chance(world, 0.05))) {
		append->result = APPEND_UNKNOWN;
		append->reply_us = world->now_us + US_PER_S;
		if (chance(world, 0.3))
			append->applied = true;
		else if (chance(world, 0.3))
			append->apply_us += 3 * (int64_t)US_PER_S;
	}
}

void
log_send(struct world *world, int vm, const struct owner_batch *batch)
{
	struct append_in_flight *append = append_new(world);

	*append = (struct append_in_flight){
	    .used = true,
	    .vm = vm,
	    .incarnation = world->vms[vm].incarnation,
	    .lane = batch->lane,
	    .number = batch->number,
	    .count = batch->count,
	};
	append->items = xcalloc(batch->count, sizeof(append->items[0]));
	for (size_t i = 0; i < batch->count; i++)
		buf_append(&append->items[i], batch->items[i].data,
		    batch->items[i].len);
	append_plan(world, append);
}

static void
append_reply(struct world *world, struct append_in_flight *append)
{
	struct vm *vm = &world->vms[append->vm];

	if (vm->alive && vm->paused)
		return;
	if (vm->alive && vm->incarnation == append->incarnation)
		owner_handle_appended(
		    vm->owner, append->number, append->result, world->now_us);
	append->reply_us = INT64_MAX;
}

static void
stream_expire(struct world *world, struct stream *stream)
{
	while (stream->first < stream->count &&
	    world->now_us - stream->items[stream->first].at_us >
		world->retention_us)
		buf_reset(&stream->items[stream->first++].wire);
}

void
log_step(struct world *world)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		struct append_in_flight *append = &world->appends_in_flight[i];

		if (!append->used)
			continue;
		if (!append->applied && world->now_us >= append->apply_us)
			append_apply(world, append);
		if (world->now_us >= append->reply_us)
			append_reply(world, append);
		if (append->applied && append->reply_us == INT64_MAX)
			append_free(append);
	}
	for (int i = 0; i < RUN_STREAMS; i++)
		stream_expire(world, &world->streams[i]);
}

static void
lane_read(struct world *world, int vm, uint32_t lane, uint64_t from)
{
	struct owner *owner = world->vms[vm].owner;
	const struct stream *stream = &world->streams[lane];
	size_t left = READ_RECORDS;

	if (from < stream->first) {
		owner_handle_lane_expired(
		    owner, lane, stream->first, world->now_us);
		return;
	}
	for (; from < stream->count && left > 0; from++, left--) {
		const struct buf *wire = &stream->items[from].wire;
		struct record record;

		if (!record_decode(wire->data, wire->len, &record, NULL)) {
			world_report_violation(
			    world, "a record does not decode");
			return;
		}
		owner_handle_record(owner, lane, from, &record, world->now_us);
	}
	if (from >= stream->count)
		owner_handle_lane_end(
		    owner, lane, stream->count, world->now_us);
}

void
log_read(struct world *world, int vm)
{
	struct owner *owner = world->vms[vm].owner;

	if (world->now_us < world->outage_until_us)
		return;
	for (uint32_t lane = 0; lane < owner_lane_count(owner); lane++) {
		uint64_t from;

		if (owner_lane_position(owner, lane, &from) &&
		    chance(world, 0.5))
			lane_read(world, vm, lane, from);
	}
}

void
log_fetch(struct world *world, int vm)
{
	struct owner *owner = world->vms[vm].owner;
	uint32_t lane;
	uint64_t offset;

	if (world->now_us < world->outage_until_us)
		return;
	while (owner_next_fetch(owner, &lane, &offset)) {
		const struct stream *stream = &world->streams[lane];
		struct record record;
		const struct buf *wire;

		if (offset < stream->first || chance(world, 0.1)) {
			owner_handle_fetched(
			    owner, lane, offset, NULL, world->now_us);
			return;
		}
		wire = &stream->items[offset].wire;
		record_decode(wire->data, wire->len, &record, NULL);
		owner_handle_fetched(
		    owner, lane, offset, &record, world->now_us);
	}
}

void
log_reset(struct world *world)
{
	for (int i = 0; i < RUN_IN_FLIGHT; i++) {
		if (world->appends_in_flight[i].used)
			append_free(&world->appends_in_flight[i]);
	}
	for (int i = 0; i < RUN_STREAMS; i++) {
		for (size_t k = 0; k < world->streams[i].count; k++)
			buf_reset(&world->streams[i].items[k].wire);
		free(world->streams[i].items);
	}
	for (int i = 0; i < RUN_SHARDS; i++)
		shard_reset(&world->expected_shards[i]);
}
