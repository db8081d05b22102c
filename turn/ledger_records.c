#include <string.h>

#include "turn/ledger_internal.h"

static bool
is_non_durable(enum durability durability)
{
	return durability != DURABILITY_DURABLE;
}

bool
durability_is_pending(enum durability durability)
{
	return durability == DURABILITY_QUEUED ||
	    durability == DURABILITY_APPENDING;
}

void
ledger_set_durability(
    struct ledger *ledger, struct ledger_turn *turn, enum durability durability)
{
	struct ledger_program *program = turn->program;

	program->non_durable_turns -= is_non_durable(turn->durability);
	ledger->waiting_turns -=
	    durability_is_pending(turn->durability) && !turn->ended;
	turn->durability = durability;
	program->non_durable_turns += is_non_durable(durability);
	ledger->waiting_turns +=
	    durability_is_pending(durability) && !turn->ended;
	list_remove(&turn->write_link);
	list_init(&turn->write_link);
	if (durability == DURABILITY_QUEUED)
		list_append(&ledger->queued, &turn->write_link);
	else if (durability == DURABILITY_APPENDING)
		list_append(&ledger->appending, &turn->write_link);
	else if (durability == DURABILITY_DURABLE &&
	    list_empty(&turn->index_link))
		list_append(&ledger->to_index, &turn->index_link);
}

bool
ledger_has_queued_records(const struct ledger *ledger)
{
	return !list_empty(&ledger->queued);
}

bool
ledger_has_waiting_turns(const struct ledger *ledger)
{
	return ledger->waiting_turns > 0;
}

/* Returns whether the record of a turn lets its owner grant later turns of the
 * program without one. */
static bool
turn_allows_unrecorded(const struct ledger_turn *turn)
{
	return turn->allows_unrecorded ||
	    (turn->ended && !turn->start_recorded);
}

static void
encode_record(const struct ledger_turn *turn, struct buf *out)
{
	struct turn_record record = {
	    .type = turn->ended ? TURN_RECORD_ENDED : TURN_RECORD_STARTED,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .max_tokens = turn->max_tokens,
	    .budget = turn->program->budget,
	    .remaining_us = turn->ended ? 0 : (uint64_t)turn->remaining_us,
	    .allows_unrecorded = turn_allows_unrecorded(turn),
	    .end_timed_out = turn->end_timed_out,
	};

	memcpy(record.turn, turn->id, sizeof(record.turn));
	memcpy(record.program, turn->program->id, sizeof(record.program));
	turn_record_encode(&record, out);
}

bool
ledger_next_record(struct ledger *ledger, struct buf *out)
{
	struct ledger_turn *turn;

	if (list_empty(&ledger->queued))
		return false;
	turn = list_entry(ledger->queued.next, struct ledger_turn, write_link);
	encode_record(turn, out);
	ledger_set_durability(ledger, turn, DURABILITY_APPENDING);
	return true;
}

static void
encode_index_record(const struct ledger_turn *turn, struct buf *out)
{
	struct turn_record record;

	if (!turn->retained) {
		encode_record(turn, out);
		return;
	}
	record = (struct turn_record){
	    .type = TURN_RECORD_RETAINED,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .max_tokens = turn->max_tokens,
	    .budget = turn->program->budget,
	    .ancestors = turn->ancestors,
	    .ancestor_count = turn->ancestor_count,
	    .offset = turn->offset,
	    .bytes = turn->bytes,
	    .allows_unrecorded = turn_allows_unrecorded(turn),
	};
	memcpy(record.turn, turn->id, sizeof(record.turn));
	memcpy(record.program, turn->program->id, sizeof(record.program));
	memcpy(record.previous, turn->previous, sizeof(record.previous));
	memcpy(record.vm, turn->vm, sizeof(record.vm));
	memcpy(record.server, turn->server, sizeof(record.server));
	turn_record_encode(&record, out);
}

bool
ledger_has_index_records(const struct ledger *ledger)
{
	return !list_empty(&ledger->to_index);
}

bool
ledger_next_index_record(
    struct ledger *ledger, size_t max_bytes, struct buf *out)
{
	struct ledger_turn *turn;
	struct buf encoded = {0};
	bool fits;

	if (list_empty(&ledger->to_index))
		return false;
	turn =
	    list_entry(ledger->to_index.next, struct ledger_turn, index_link);
	encode_index_record(turn, &encoded);
	fits = encoded.len <= max_bytes;
	if (fits) {
		list_remove(&turn->index_link);
		buf_append(out, encoded.data, encoded.len);
	}
	buf_reset(&encoded);
	return fits;
}

static void
raise_epoch(uint64_t *epoch, uint64_t to)
{
	if (*epoch < to)
		*epoch = to;
}

void
ledger_update_program_epochs(const struct ledger_turn *turn)
{
	struct ledger_program *program = turn->program;

	if (turn->placeholder)
		return;
	raise_epoch(&program->epoch, turn->epoch);
	if (!turn->start_recorded || turn->allows_unrecorded)
		raise_epoch(&program->unrecorded_epoch, turn->epoch);
}

void
ledger_batch_done(struct ledger *ledger, bool durable)
{
	struct list *item;

	while ((item = list_pop(&ledger->appending)) != NULL) {
		struct ledger_turn *turn =
		    list_entry(item, struct ledger_turn, write_link);

		ledger_set_durability(ledger, turn,
		    durable ? DURABILITY_DURABLE : DURABILITY_QUEUED);
		if (durable)
			ledger_update_program_epochs(turn);
	}
}
