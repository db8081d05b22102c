#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/program_fixture.h"

struct fixture *fixture;

static void
owner_start(int vm)
{
	struct owner_options options = {
	    .vm = vm == 0 ? "vm-0" : "vm-1",
	    .address = vm == 0 ? "127.0.0.1:1" : "127.0.0.1:2",
	    .limits = &fixture->limits,
	    .counters = &fixture->counters,
	    .seed = (uint64_t)vm + 1,
	};

	fixture->owners[vm] = owner_create(&options);
}

void
fixture_setup(void)
{
	fixture = xcalloc(1, sizeof(*fixture));
	fixture->limits = (struct config_limits){
	    .shards = SHARDS,
	    .lanes = LANES,
	    .max_turns = 100,
	    .max_program_us = INT64_C(86400) * US_PER_S,
	    .reserve_tokens = 100,
	    .max_crashes = 3,
	    .log_appends_per_s = 1000,
	    .append_delay_us = 20000,
	    .history_cache_bytes = 1 << 20,
	};
	fixture->now_us = US_PER_S;
	owner_start(0);
	owner_start(1);
}

void
fixture_teardown(void)
{
	for (int i = 0; i < VMS; i++)
		owner_destroy(fixture->owners[i]);
	for (int lane = 0; lane < LANE_STREAMS; lane++)
		for (size_t i = 0; i < fixture->count[lane]; i++)
			buf_reset(&fixture->records[lane][i].wire);
	free(fixture);
}

static void
log_append(uint32_t lane, const struct buf *wire)
{
	struct buf *copy = &fixture->records[lane][fixture->count[lane]++].wire;

	buf_append(copy, wire->data, wire->len);
}

void
log_read(struct owner *owner)
{
	for (uint32_t lane = 0; lane < owner_lane_count(owner); lane++) {
		uint64_t from;

		if (!owner_lane_position(owner, lane, &from))
			continue;
		for (; from < fixture->count[lane]; from++) {
			struct record record;
			struct buf *wire = &fixture->records[lane][from].wire;

			ck_assert(record_decode(
			    wire->data, wire->len, &record, NULL));
			owner_handle_record(
			    owner, lane, from, &record, fixture->now_us);
		}
		owner_handle_lane_end(
		    owner, lane, fixture->count[lane], fixture->now_us);
	}
}

void
owner_flush(struct owner *owner, enum append_result result)
{
	struct owner_batch batch;

	while (owner_next_batch(owner, fixture->now_us, &batch)) {
		for (size_t i = 0; i < batch.count && result != APPEND_NOT_DONE;
		     i++)
			log_append(batch.lane, &batch.items[i]);
		owner_handle_appended(
		    owner, batch.number, result, fixture->now_us);
	}
}

void
owner_events(struct owner *owner)
{
	while (owner_next_event(owner, &fixture->events[fixture->event_count]))
		fixture->event_count++;
}

void
run_for(struct owner *owner, int steps)
{
	for (int i = 0; i < steps; i++) {
		fixture->now_us += STEP_US;
		log_read(owner);
		owner_tick(owner, fixture->now_us);
		owner_flush(owner, APPEND_DONE);
		log_read(owner);
		owner_events(owner);
	}
}

const struct owner_event *
find_event(enum owner_event_type type, call_id call)
{
	for (size_t i = 0; i < fixture->event_count; i++) {
		if (fixture->events[i].type == type &&
		    fixture->events[i].call_id == call)
			return &fixture->events[i];
	}
	return NULL;
}

void
own_all_shards(int vm)
{
	for (uint32_t shard = 0; shard < SHARDS; shard++)
		owner_set_shard_wanted(fixture->owners[vm], shard, true, NULL);
	run_for(fixture->owners[vm], 10);
	ck_assert_uint_eq(owner_owned_shard_count(fixture->owners[vm]), SHARDS);
}

const char *
begin(
    int vm, call_id call, const char *key, const char *parent, uint64_t budget)
{
	struct owner_begin request = {
	    .workspace = "w",
	    .parent = parent,
	    .key = key,
	    .budget_tokens = budget,
	};
	struct owner_result result;

	ck_assert_int_eq(owner_program_begin(fixture->owners[vm], call,
			     &request, fixture->now_us, &result),
	    OWNER_WAIT);
	run_for(fixture->owners[vm], 3);
	ck_assert_ptr_nonnull(find_event(OWNER_PROGRAM_BEGUN, call));
	return find_event(OWNER_PROGRAM_BEGUN, call)->program;
}

enum owner_decision
admit(int vm, call_id call, enum owner_call_kind kind, const char *program,
    const char *key, uint64_t cost, struct owner_result *result)
{
	struct owner_call request = {
	    .kind = kind,
	    .program = program,
	    .workspace = "w",
	    .key = key,
	    .tool = kind == OWNER_CALL_MODEL ? "" : "invoice",
	    .arguments = digest_chain(NULL, key, strlen(key)),
	    .cost_tokens = cost,
	};

	return owner_call_admit(
	    fixture->owners[vm], call, &request, fixture->now_us, result);
}

struct digest
finish(int vm, call_id call, const char *content, uint64_t spent)
{
	struct owner_turn_end end = {
	    .server = "runner-1",
	    .spent_tokens = spent,
	    .prompt_tokens = 10,
	    .content = {(const uint8_t *)content, strlen(content)},
	};

	return owner_turn_end(fixture->owners[vm], call, &end, fixture->now_us);
}

void
take_over(int from, int to)
{
	owner_suspect(fixture->owners[to], from == 0 ? "vm-0" : "vm-1");
	own_all_shards(to);
}
