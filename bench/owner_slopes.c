/* Measures the cost of an owner by number of programs and turns: its memory,
 * its log records and their bytes, its processor time, and the bytes that a
 * takeover reads. The log is an array in memory. The clock is simulated;
 * processor time is real. Prints lines of the form `name value unit`. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>

#include "common/clock.h"
#include "common/memory.h"
#include "program/owner.h"

enum {
	SHARDS = 4,
	LANES = 4,
	MAX_LANES = 32, /**< including indexes and crash evidence */
	STEP_US = 5 * US_PER_MS,
	TURN_CONTENT_BYTES = 4000,
	MAX_PROGRAMS = 4000,
	CALLS_PER_STEP = 16,
};

static const size_t ARENA_BYTES = (size_t)2 << 30;
static const size_t MAX_LANE_RECORDS = 1 << 20;

/** Stream of the log, in memory that mallinfo2() does not count. */
struct lane {
	struct log_entry {
		const uint8_t *data;
		size_t len;
	} * entries;
	size_t count;
};

struct bench {
	struct lane lanes[MAX_LANES];
	uint8_t *arena;
	size_t arena_used;
	struct counters *counters;
	struct config_limits limits;
	struct owner *owner;
	int64_t now_us;
	uint64_t read_bytes;
	uint64_t append_bytes;
	uint64_t appends;
	uint64_t records;
	char programs[MAX_PROGRAMS][PROGRAM_ID_BYTES];
	size_t begun_count;
	size_t taken_shard_count;
	size_t durable_turn_count;
};

static void *
map_memory(size_t size)
{
	void *memory = mmap(NULL, size, PROT_READ | PROT_WRITE,
	    MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);

	if (memory == MAP_FAILED)
		memory_exhausted();
	return memory;
}

static void
append_batch(struct bench *bench, const struct owner_batch *batch)
{
	struct lane *lane = &bench->lanes[batch->lane];

	bench->appends++;
	for (size_t i = 0; i < batch->count; i++) {
		const struct buf *item = &batch->items[i];
		uint8_t *copy = bench->arena + bench->arena_used;

		if (bench->arena_used + item->len > ARENA_BYTES ||
		    lane->count == MAX_LANE_RECORDS)
			memory_exhausted();
		memcpy(copy, item->data, item->len);
		bench->arena_used += item->len;
		bench->append_bytes += item->len;
		lane->entries[lane->count].data = copy;
		lane->entries[lane->count++].len = item->len;
		bench->records++;
	}
}

static void
read_lane(struct bench *bench, uint32_t number)
{
	struct lane *lane = &bench->lanes[number];
	struct record record;
	uint64_t from;

	while (owner_lane_position(bench->owner, number, &from) &&
	    from < lane->count) {
		record_decode(lane->entries[from].data, lane->entries[from].len,
		    &record, NULL);
		bench->read_bytes += lane->entries[from].len;
		owner_handle_record(
		    bench->owner, number, from, &record, bench->now_us);
	}
	if (owner_lane_position(bench->owner, number, &from))
		owner_handle_lane_end(
		    bench->owner, number, lane->count, bench->now_us);
}

static void
handle_events(struct bench *bench)
{
	struct owner_event event;

	while (owner_next_event(bench->owner, &event)) {
		switch (event.type) {
		case OWNER_PROGRAM_BEGUN:
			memcpy(bench->programs[bench->begun_count++],
			    event.program, PROGRAM_ID_BYTES);
			break;
		case OWNER_TURN_DURABLE:
			bench->durable_turn_count++;
			break;
		case OWNER_SHARD_TAKEN:
			bench->taken_shard_count++;
			break;
		default:
			break;
		}
	}
}

/* Reads the single records that the owner needs for a history. */
static void
read_fetched_records(struct bench *bench)
{
	struct record record;
	uint64_t offset;
	uint32_t number;

	while (owner_next_fetch(bench->owner, &number, &offset)) {
		const struct log_entry *entry =
		    &bench->lanes[number].entries[offset];

		record_decode(entry->data, entry->len, &record, NULL);
		owner_handle_fetched(
		    bench->owner, number, offset, &record, bench->now_us);
	}
}

static void
step(struct bench *bench)
{
	struct owner_batch batch;

	bench->now_us += STEP_US;
	owner_tick(bench->owner, bench->now_us);
	while (owner_next_batch(bench->owner, bench->now_us, &batch)) {
		uint64_t number = batch.number;

		append_batch(bench, &batch);
		owner_handle_appended(
		    bench->owner, number, APPEND_DONE, bench->now_us);
	}
	for (uint32_t i = 0; i < owner_lane_count(bench->owner); i++)
		read_lane(bench, i);
	handle_events(bench);
}

static void
start_owner(struct bench *bench, const char *vm)
{
	struct owner_options options = {
	    .vm = vm,
	    .address = "127.0.0.1:1",
	    .limits = &bench->limits,
	    .counters = bench->counters,
	    .seed = 1,
	};

	bench->taken_shard_count = 0;
	bench->owner = owner_create(&options);
	for (uint32_t shard = 0; shard < SHARDS; shard++)
		owner_set_shard_wanted(bench->owner, shard, true, "");
}

static void
begin_programs(struct bench *bench, size_t count)
{
	struct owner_result result;
	const struct owner_begin begin = {
	    .workspace = "studio",
	    .parent = "",
	    .key = "",
	    .budget_tokens = 1000000,
	};

	for (size_t i = 0; i < count; i++)
		owner_program_begin(
		    bench->owner, i + 1, &begin, bench->now_us, &result);
	while (bench->begun_count < count)
		step(bench);
}

static void
run_call(struct bench *bench, call_id id, const char *program, uint64_t turn)
{
	static uint8_t content[TURN_CONTENT_BYTES];
	const struct owner_turn_end end = {
	    .server = "runner-1",
	    .spent_tokens = 10,
	    .prompt_tokens = turn * TURN_CONTENT_BYTES / 4,
	    .content = {content, sizeof(content)},
	};
	struct owner_result result = {0};
	char key[NAME_BYTES];
	const struct owner_call call = {
	    .kind = OWNER_CALL_MODEL,
	    .program = program,
	    .workspace = "studio",
	    .key = key,
	    .tool = "",
	    .cost_tokens = 20,
	};

	snprintf(key, sizeof(key), "turn-%" PRIu64, turn);
	for (;;) {
		enum owner_decision decision = owner_call_admit(
		    bench->owner, id, &call, bench->now_us, &result);

		if (decision == OWNER_OK)
			break;
		if (decision == OWNER_REFUSE) {
			fprintf(stderr, "call refused: %s\n",
			    refusal_name(result.reason));
			exit(1);
		}
		read_fetched_records(bench);
		step(bench);
	}
	owner_turn_end(bench->owner, id, &end, bench->now_us);
}

/* Runs one turn of each program, in groups of CALLS_PER_STEP. */
static void
run_turn(struct bench *bench, size_t count, uint64_t turn)
{
	bench->durable_turn_count = 0;
	for (size_t i = 0; i < count; i++) {
		run_call(bench, turn * MAX_PROGRAMS + 1 + i, bench->programs[i],
		    turn);
		if (i % CALLS_PER_STEP == 0)
			step(bench);
	}
	while (bench->durable_turn_count < count)
		step(bench);
}

static double
cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / 1000;
}

static void
measure_takeover(struct bench *bench, size_t programs, int turns)
{
	double before = cpu_us();
	int64_t started_us = bench->now_us;

	owner_destroy(bench->owner);
	bench->read_bytes = 0;
	start_owner(bench, "entry-2");
	owner_suspect(bench->owner, "entry-1");
	while (bench->taken_shard_count < SHARDS)
		step(bench);
	printf("takeover.%zu.%d.cpu %.0f us\n", programs, turns,
	    cpu_us() - before);
	printf("takeover.%zu.%d.read %" PRIu64 " B\n", programs, turns,
	    bench->read_bytes);
	printf("takeover.%zu.%d.virtual %" PRId64 " ms\n", programs, turns,
	    (bench->now_us - started_us) / US_PER_MS);
}

static void
measure(size_t programs, int turns)
{
	struct bench *bench = xcalloc(1, sizeof(*bench));
	size_t heap;
	double cpu;

	bench->counters = xcalloc(1, sizeof(*bench->counters));
	bench->arena = map_memory(ARENA_BYTES);
	for (int i = 0; i < MAX_LANES; i++)
		bench->lanes[i].entries =
		    map_memory(MAX_LANE_RECORDS * sizeof(struct log_entry));
	config_limits_defaults(&bench->limits);
	bench->limits.shards = SHARDS;
	bench->limits.lanes = LANES;
	bench->limits.history_cache_bytes = 1 << 20;
	bench->now_us = US_PER_S;
	start_owner(bench, "entry-1");
	while (bench->taken_shard_count < SHARDS)
		step(bench);
	heap = mallinfo2().uordblks;
	begin_programs(bench, programs);
	cpu = cpu_us();
	bench->records = 0;
	bench->append_bytes = 0;
	for (int turn = 1; turn <= turns; turn++)
		run_turn(bench, programs, (uint64_t)turn);
	printf("owner.%zu.%d.cpu %.1f us/turn\n", programs, turns,
	    (cpu_us() - cpu) / (double)(programs * (size_t)turns));
	printf("owner.%zu.%d.memory %zu B\n", programs, turns,
	    mallinfo2().uordblks - heap);
	printf("owner.%zu.%d.records %.2f a turn\n", programs, turns,
	    (double)bench->records / (double)(programs * (size_t)turns));
	printf("owner.%zu.%d.bytes %.0f B/turn\n", programs, turns,
	    (double)bench->append_bytes / (double)(programs * (size_t)turns));
	measure_takeover(bench, programs, turns);
	owner_destroy(bench->owner);
	munmap(bench->arena, ARENA_BYTES);
	for (int i = 0; i < MAX_LANES; i++)
		munmap(bench->lanes[i].entries,
		    MAX_LANE_RECORDS * sizeof(struct log_entry));
	free(bench->counters);
	free(bench);
}

int
main(void)
{
	static const size_t programs[] = {10, 100, 262, 1000, 3000};

	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("turn.content %d B\n", TURN_CONTENT_BYTES);
	for (size_t i = 0; i < sizeof(programs) / sizeof(programs[0]); i++)
		measure(programs[i], 4);
	measure(262, 16);
	measure(262, 64);
	return 0;
}
