#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/ownership.h"
#include "gateway/partition.h"
#include "gateway/peer_gateways.h"

enum {
	ASK_MAX_US = 1200 * US_PER_MS, /* an ask waits; then it is dropped */
	CHAIN_MAX = 512,               /* turns of a chain */
	LOOK_US = 300 * US_PER_MS,     /* between looks for ends in the log */
};

/** A question that can't be answered yet. */
struct ask {
	struct list link; /**< in its partition */
	char vm[NAME_BYTES];
	int64_t since_us;
	bool read_through; /**< the log was read to its end since it came */
	enum message_type type;
	struct message_turn_begin begin;
	struct message_turn_find find;
};

/* ---- answers ---- */

static void
reply(struct gateway *gateway, const char *vm, struct message *message)
{
	peer_gateways_send(gateway->peer_gateways, vm, message);
}

static void
answer_begin(struct gateway *gateway, const char *vm, const char *turn,
    enum turn_answer answer)
{
	struct message message = {
	    .type = MESSAGE_TURN_BEGIN_REPLY,
	    .turn_begin_reply = {.answer = answer},
	};

	memcpy(message.turn_begin_reply.turn, turn, NAME_BYTES);
	reply(gateway, vm, &message);
}

static void
answer_find(struct gateway *gateway, const char *vm,
    const struct message_turn_find *find, enum turn_answer answer)
{
	struct message message = {
	    .type = MESSAGE_TURN_FIND_REPLY,
	    .turn_find_reply = {.partition = find->partition, .answer = answer},
	};

	memcpy(message.turn_find_reply.turn, find->turn, NAME_BYTES);
	reply(gateway, vm, &message);
}

static void
answer_ask(
    struct gateway *gateway, const struct ask *ask, enum turn_answer answer)
{
	if (ask->type == MESSAGE_TURN_BEGIN)
		answer_begin(gateway, ask->vm, ask->begin.turn, answer);
	else
		answer_find(gateway, ask->vm, &ask->find, answer);
}

static void
ask_free(struct ask *ask)
{
	list_remove(&ask->link);
	free(ask);
}

/* ---- asks ---- */

static void
fill_chain(const struct partition *partition, const char *turn,
    struct turn_ref **chain, size_t *count)
{
	*chain = xcalloc(CHAIN_MAX, sizeof(**chain));
	*count = ledger_chain(partition->ledger, turn, *chain, CHAIN_MAX);
}

/* A turn may be known while one that it builds on is not, yet. */
static bool
has_chain(const struct partition *partition, const char *turn)
{
	static struct turn_ref refs[CHAIN_MAX];

	return ledger_chain(partition->ledger, turn, refs, CHAIN_MAX) > 0;
}

static void
grant(struct partition *partition, const struct ask *ask)
{
	const struct message_turn_begin *begin = &ask->begin;
	struct message message = {
	    .type = MESSAGE_TURN_BEGIN_REPLY,
	    .turn_begin_reply =
		{
		    .answer = TURN_ANSWER_GRANTED,
		    .epoch = partition->epoch,
		},
	};
	struct message_turn_begin_reply *granted = &message.turn_begin_reply;
	struct ledger_retained_turn kept;

	memcpy(granted->turn, begin->turn, NAME_BYTES);
	snprintf(granted->cache_server, NAME_BYTES, "%s",
	    ledger_session_server(
		partition->ledger, begin->program, begin->session));
	if (begin->previous[0] != '\0' &&
	    ledger_find_retained_turn(
		partition->ledger, begin->previous, &kept)) {
		granted->previous_known = true;
		snprintf(granted->previous_vm, NAME_BYTES, "%s", kept.vm);
		snprintf(granted->cache_server, NAME_BYTES, "%s", kept.server);
		if (begin->needs_chain)
			fill_chain(partition, begin->previous, &granted->chain,
			    &granted->chain_count);
	}
	reply(partition->gateway, ask->vm, &message);
	free(granted->chain);
}

/* Turns that seem to run may have ended, and the news of it may be lost. */
static void
look_for_ends(struct partition *partition, int64_t now_us)
{
	if (now_us - partition->end_check_us < LOOK_US)
		return;
	partition->end_check_us = now_us;
	partition_catch_up(partition);
}

/* Returns whether the ask is answered. */
static bool
try_begin(struct partition *partition, struct ask *ask)
{
	const struct message_turn_begin *begin = &ask->begin;
	int64_t now_us = clock_monotonic_us();
	const struct ledger_request ledger_request = {
	    .turn = begin->turn,
	    .program = begin->program,
	    .has_budget = begin->has_budget,
	    .budget = begin->budget,
	    .most = begin->max_tokens,
	    .deadline_us = now_us + begin->remaining_us,
	};

	/* What it continues may have been appended but not told yet. */
	if (begin->previous[0] != '\0' && begin->needs_chain &&
	    !ask->read_through && !has_chain(partition, begin->previous)) {
		partition_catch_up(partition);
		return false;
	}
	switch (ledger_begin_turn(partition->ledger, &ledger_request, now_us)) {
	case LEDGER_BEGIN_GRANTED:
		grant(partition, ask);
		return true;
	case LEDGER_BEGIN_RECORD_PENDING:
		partition_flush(partition);
		return false;
	case LEDGER_BEGIN_BUDGET_IN_USE:
		look_for_ends(partition, now_us);
		answer_ask(partition->gateway, ask, TURN_ANSWER_BUSY);
		return true;
	case LEDGER_BEGIN_BUDGET_EXHAUSTED:
		if (!ask->read_through &&
		    ledger_has_timed_out_turns(
			partition->ledger, begin->program)) {
			partition_catch_up(partition);
			return false;
		}
		answer_ask(
		    partition->gateway, ask, TURN_ANSWER_BUDGET_EXHAUSTED);
		return true;
	case LEDGER_BEGIN_ALREADY_ENDED:
		return true;
	}
	return true;
}

static bool
try_find(struct partition *partition, struct ask *ask)
{
	struct message message = {
	    .type = MESSAGE_TURN_FIND_REPLY,
	    .turn_find_reply =
		{
		    .partition = partition->number,
		    .answer = TURN_ANSWER_GRANTED,
		},
	};
	struct message_turn_find_reply *found = &message.turn_find_reply;
	struct ledger_retained_turn kept;
	bool whole = has_chain(partition, ask->find.turn);

	if (!whole && ask->find.read_log && !ask->read_through) {
		partition_catch_up(partition);
		return false;
	}
	found->known =
	    ledger_find_retained_turn(partition->ledger, ask->find.turn, &kept);
	memcpy(found->turn, ask->find.turn, NAME_BYTES);
	if (found->known && whole) {
		snprintf(found->previous_vm, NAME_BYTES, "%s", kept.vm);
		snprintf(found->cache_server, NAME_BYTES, "%s", kept.server);
		fill_chain(partition, ask->find.turn, &found->chain,
		    &found->chain_count);
	} else if (found->known) {
		/* It was kept, so "no such turn" would be wrong. */
		found->answer = TURN_ANSWER_LOG_UNAVAILABLE;
	}
	reply(partition->gateway, ask->vm, &message);
	free(found->chain);
	return true;
}

/* Returns whether the ask is answered. */
static bool
try_ask(struct partition *partition, struct ask *ask)
{
	struct gateway *gateway = partition->gateway;

	if (!partition->assigned || partition->yielded_generation != 0) {
		answer_ask(gateway, ask, TURN_ANSWER_NOT_OWNER);
		return true;
	}
	if (!ownership_lease_is_valid(gateway->ownership)) {
		answer_ask(gateway, ask, TURN_ANSWER_LOG_UNAVAILABLE);
		return true;
	}
	if (!partition->ready)
		return false;
	return ask->type == MESSAGE_TURN_BEGIN ? try_begin(partition, ask)
					       : try_find(partition, ask);
}

void
partition_answer_pending(struct partition *partition)
{
	list_for_each_safe (
	    ask, tmp, &partition->pending_requests, struct ask, link) {
		if (try_ask(partition, ask))
			ask_free(ask);
	}
}

void
partition_mark_pending_read(struct partition *partition)
{
	list_for_each (ask, &partition->pending_requests, struct ask, link)
		ask->read_through = true;
}

void
partition_handle_request(
    struct partition *partition, const struct message *message)
{
	struct ask *ask = xcalloc(1, sizeof(*ask));

	ask->since_us = clock_monotonic_us();
	ask->type = message->type;
	memcpy(ask->vm, message->sender, NAME_BYTES);
	if (message->type == MESSAGE_TURN_BEGIN)
		ask->begin = message->turn_begin;
	else
		ask->find = message->turn_find;
	list_append(&partition->pending_requests, &ask->link);
	if (try_ask(partition, ask))
		ask_free(ask);
}

/* ---- ends of turns ---- */

void
partition_handle_turn_end(
    struct partition *partition, const struct message *message)
{
	const struct message_turn_end *end = &message->turn_end;
	struct gateway *gateway = partition->gateway;
	bool durable = true;
	struct message answer = {
	    .type = MESSAGE_TURN_END_REPLY,
	    .turn_end_reply = {.is_owner = partition->assigned},
	};
	struct turn_record record = {
	    .type = (enum turn_record_type)end->type,
	    .epoch = end->epoch,
	    .spent = end->spent,
	    .most = end->max_tokens,
	    .budget = end->budget,
	    .ancestors = end->ancestors,
	    .ancestor_count = end->ancestor_count,
	};

	if (partition->assigned && !partition->ready)
		return; /* it is told again */
	memcpy(answer.turn_end_reply.turn, end->turn, NAME_BYTES);
	if (partition->assigned) {
		memcpy(record.turn, end->turn, NAME_BYTES);
		memcpy(record.program, end->program, NAME_BYTES);
		memcpy(record.previous, end->previous, NAME_BYTES);
		memcpy(record.vm, message->sender, NAME_BYTES);
		memcpy(record.server, end->server, NAME_BYTES);
		ledger_end_turn(partition->ledger, &record, end->offset,
		    end->bytes, clock_monotonic_us());
		if (record.type == TURN_RECORD_RETAINED)
			offsets_add(&partition->known_offsets, end->offset);
		ledger_set_session_server(
		    partition->ledger, end->program, end->session, end->server);
		durable = ledger_is_end_durable(partition->ledger, end->turn);
		partition_answer_pending(partition);
	}
	/* A kept turn needs no answer: its record is in the log. Other ends are
	 * told again until this owner's record of them is, too. */
	if (record.type != TURN_RECORD_RETAINED && durable)
		reply(gateway, message->sender, &answer);
}

void
partition_drop_pending(struct partition *partition, int64_t now_us, bool all)
{
	list_for_each_safe (
	    ask, tmp, &partition->pending_requests, struct ask, link) {
		if (all || now_us - ask->since_us > ASK_MAX_US)
			ask_free(ask);
	}
}
