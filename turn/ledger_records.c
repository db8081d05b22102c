#include <string.h>

#include "turn/ledger_internal.h"

static bool
is_loose(enum durability durability)
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

	program->loose -= is_loose(turn->durability);
	ledger->waiting -=
	    durability_is_pending(turn->durability) && !turn->ended;
	turn->durability = durability;
	program->loose += is_loose(durability);
	ledger->waiting += durability_is_pending(durability) && !turn->ended;
	list_remove(&turn->write);
	list_init(&turn->write);
	if (durability == DURABILITY_QUEUED)
		list_append(&ledger->to_write, &turn->write);
	else if (durability == DURABILITY_APPENDING)
		list_append(&ledger->in_batch, &turn->write);
	else if (durability == DURABILITY_DURABLE && list_empty(&turn->index))
		list_append(&ledger->to_index, &turn->index);
}

bool
ledger_has_queued_records(const struct ledger *ledger)
{
	return !list_empty(&ledger->to_write);
}

bool
ledger_has_waiting_turns(const struct ledger *ledger)
{
	return ledger->waiting > 0;
}

/* Whether its record lets the owner grant later turns without one. */
static bool
turn_allows_unrecorded(const struct ledger_turn *turn)
{
	return turn->allows_unrecorded || (turn->ended && !turn->recorded);
}

static void
encode_fact(const struct ledger_turn *turn, struct buf *out)
{
	struct turn_record record = {
	    .type = turn->ended ? TURN_RECORD_ENDED : TURN_RECORD_STARTED,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .most = turn->most,
	    .budget = turn->program->budget,
	    .left_us = turn->ended ? 0 : (uint64_t)turn->left_us,
	    .allows_unrecorded = turn_allows_unrecorded(turn),
	    .guessed = turn->given_up,
	};

	memcpy(record.turn, turn->id, sizeof(record.turn));
	memcpy(record.program, turn->program->id, sizeof(record.program));
	turn_record_encode(&record, out);
}

bool
ledger_next_record(struct ledger *ledger, struct buf *out)
{
	struct ledger_turn *turn;

	if (list_empty(&ledger->to_write))
		return false;
	turn = list_entry(ledger->to_write.next, struct ledger_turn, write);
	encode_fact(turn, out);
	ledger_set_durability(ledger, turn, DURABILITY_APPENDING);
	return true;
}

bool
ledger_next_index_record(struct ledger *ledger, struct buf *out)
{
	struct ledger_turn *turn;
	struct turn_record record;

	if (list_empty(&ledger->to_index))
		return false;
	turn = list_entry(ledger->to_index.next, struct ledger_turn, index);
	list_remove(&turn->index);
	if (!turn->kept) {
		encode_fact(turn, out);
		return true;
	}
	record = (struct turn_record){
	    .type = TURN_RECORD_RETAINED,
	    .epoch = turn->epoch,
	    .spent = turn->spent,
	    .most = turn->most,
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
	return true;
}

static void
raise_epoch(uint64_t *epoch, uint64_t to)
{
	if (*epoch < to)
		*epoch = to;
}

/* A record of a turn is durable. */
void
ledger_update_program_epochs(const struct ledger_turn *turn)
{
	struct ledger_program *program = turn->program;

	if (turn->charge)
		return;
	raise_epoch(&program->epoch, turn->epoch);
	if (!turn->recorded || turn->allows_unrecorded)
		raise_epoch(&program->unrecorded_epoch, turn->epoch);
}

void
ledger_batch_done(struct ledger *ledger, bool durable)
{
	struct list *item;

	while ((item = list_pop(&ledger->in_batch)) != NULL) {
		struct ledger_turn *turn =
		    list_entry(item, struct ledger_turn, write);

		ledger_set_durability(ledger, turn,
		    durable ? DURABILITY_DURABLE : DURABILITY_QUEUED);
		if (durable)
			ledger_update_program_epochs(turn);
	}
}
