#include <string.h>

#include "program/internal.h"

static void
reappend_program(struct owner *owner, struct shard_slot *slot,
    struct program *program, uint64_t before, int64_t now_us)
{
	for (size_t i = 0; i < program->durable_turns; i++) {
		struct turn *turn = &program->turns[i];
		struct record record = {.type = RECORD_HISTORY};
		struct pending *pending;

		if (turn->len == 0 || turn->reappending ||
		    turn->offset >= before)
			continue;
		if (turn->content == NULL) {
			history_fetch_turn(
			    owner, program, i + 1, program->fetch_call);
			continue;
		}
		turn->reappending = true;
		memcpy(record.history.program, program->id, PROGRAM_ID_BYTES);
		record.history.turn = i + 1;
		record.history.content.data = turn->content;
		record.history.content.len = turn->len;
		pending = pending_add(owner, slot, &record, now_us);
		memcpy(pending->program, program->id, PROGRAM_ID_BYTES);
	}
}

/* A new owner does not know how old records are, so it treats all from before
 * its claim as one period old. This way, no record of a program that has not
 * ended gets older than three periods. */
void
reappend_tick(struct owner *owner, struct shard_slot *slot, int64_t now_us)
{
	uint32_t lane = slot->shard.number % owner->limits.lanes;
	struct program *program;

	if (now_us - slot->period_start_us >=
	    owner->retention_us / RETENTION_PERIODS) {
		slot->reappend_before = slot->period_start_offset;
		slot->period_start_offset = owner->lanes[lane].position;
		slot->period_start_us = now_us;
		slot->snapshot_wanted = true;
	}
	for (program = slot->shard.programs; program != NULL;
	     program = program->hh.next) {
		if (owner->lanes[lane].backlog_bytes > REAPPEND_BACKLOG_BYTES)
			return;
		if (!program->ended)
			reappend_program(owner, slot, program,
			    slot->reappend_before, now_us);
	}
}
