#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/ownership.h"
#include "gateway/partition.h"
#include "gateway/peer_gateways.h"

enum {
	/* Age at which a pending request is dropped. */
	REQUEST_TIMEOUT_US = 1200 * US_PER_MS,
	/* Minimum time between reads of the log for ends of turns. */
	END_CHECK_INTERVAL_US = 300 * US_PER_MS,
};

/** A request to the owner that can't be replied to yet. */
struct pending_request {
	struct list link;    /**< in partition.pending_requests */
	char vm[NAME_BYTES]; /**< VM that sent the request */
	int64_t received_us; /**< time of arrival */
	bool log_read; /**< the log was read to its end since the arrival */
	enum message_type type; /**< MESSAGE_TURN_BEGIN or _FIND */
	struct message_turn_begin begin;
	struct message_turn_find find;
};

static void
send_reply(struct gateway *gateway, const char *vm, struct message *message)
{
	peer_gateways_send(gateway->peer_gateways, vm, message);
}

static void
reply_begin(struct gateway *gateway, const char *vm, const char *turn,
    enum turn_result result)
{
	struct message message = {
	    .type = MESSAGE_TURN_BEGIN_REPLY,
	    .turn_begin_reply = {.result = result},
	};

	memcpy(message.turn_begin_reply.turn, turn, NAME_BYTES);
	send_reply(gateway, vm, &message);
}

static void
reply_find(struct gateway *gateway, const char *vm,
    const struct message_turn_find *find, enum turn_result result)
{
	struct message message = {
	    .type = MESSAGE_TURN_FIND_REPLY,
	    .turn_find_reply = {.partition = find->partition, .result = result},
	};

	memcpy(message.turn_find_reply.turn, find->turn, NAME_BYTES);
	send_reply(gateway, vm, &message);
}

static void
reply_request(struct gateway *gateway, const struct pending_request *request,
    enum turn_result result)
{
	if (request->type == MESSAGE_TURN_BEGIN)
		reply_begin(gateway, request->vm, request->begin.turn, result);
	else
		reply_find(gateway, request->vm, &request->find, result);
}

static void
pending_request_free(struct pending_request *request)
{
	list_remove(&request->link);
	free(request);
}

static void
fill_chain(const struct partition *partition, const char *turn,
    struct turn_ref **chain, size_t *count)
{
	*chain = xcalloc(TURN_CHAIN_MAX, sizeof(**chain));
	*count = ledger_chain(partition->ledger, turn, *chain, TURN_CHAIN_MAX);
}

/* Returns whether all turns of a chain are known. A turn may be known before
 * the turns that it continues are. */
static bool
has_chain(const struct partition *partition, const char *turn)
{
	static struct turn_ref refs[TURN_CHAIN_MAX];

	return ledger_chain(partition->ledger, turn, refs, TURN_CHAIN_MAX) > 0;
}

static void
grant(struct partition *partition, const struct pending_request *request)
{
	const struct message_turn_begin *begin = &request->begin;
	struct message message = {
	    .type = MESSAGE_TURN_BEGIN_REPLY,
	    .turn_begin_reply =
		{
		    .result = TURN_RESULT_GRANTED,
		    .epoch = partition->epoch,
		},
	};
	struct message_turn_begin_reply *granted = &message.turn_begin_reply;
	struct ledger_retained_turn retained;

	memcpy(granted->turn, begin->turn, NAME_BYTES);
	snprintf(granted->cache_server, NAME_BYTES, "%s",
	    ledger_session_server(
		partition->ledger, begin->program, begin->session));
	if (begin->previous[0] != '\0' &&
	    ledger_find_retained_turn(
		partition->ledger, begin->previous, &retained)) {
		granted->previous_known = true;
		snprintf(granted->previous_vm, NAME_BYTES, "%s", retained.vm);
		snprintf(
		    granted->cache_server, NAME_BYTES, "%s", retained.server);
		if (begin->needs_chain)
			fill_chain(partition, begin->previous, &granted->chain,
			    &granted->chain_count);
	}
	send_reply(partition->gateway, request->vm, &message);
	free(granted->chain);
}

/* Reads the log for ends of turns, as reports of them may be lost. */
static void
check_for_ends(struct partition *partition, int64_t now_us)
{
	if (now_us - partition->end_check_us < END_CHECK_INTERVAL_US)
		return;
	partition->end_check_us = now_us;
	partition_catch_up(partition);
}

/* Returns true when the request needs no further attempt. */
static bool
try_begin(struct partition *partition, struct pending_request *request)
{
	const struct message_turn_begin *begin = &request->begin;
	int64_t now_us = clock_monotonic_us();
	const struct ledger_request ledger_request = {
	    .turn = begin->turn,
	    .program = begin->program,
	    .has_budget = begin->has_budget,
	    .budget = begin->budget_tokens,
	    .max_tokens = begin->max_tokens,
	    .deadline_us = now_us + begin->remaining_us,
	};

	/* The turns that this one continues may be in the log without having
	 * been reported to this owner. */
	if (begin->previous[0] != '\0' && begin->needs_chain &&
	    !request->log_read && !has_chain(partition, begin->previous)) {
		partition_catch_up(partition);
		return false;
	}
	switch (ledger_begin_turn(partition->ledger, &ledger_request, now_us)) {
	case LEDGER_BEGIN_GRANTED:
		grant(partition, request);
		return true;
	case LEDGER_BEGIN_RECORD_PENDING:
		partition_flush(partition);
		return false;
	case LEDGER_BEGIN_BUDGET_IN_USE:
		check_for_ends(partition, now_us);
		reply_request(
		    partition->gateway, request, TURN_RESULT_BUDGET_IN_USE);
		return true;
	case LEDGER_BEGIN_BUDGET_EXHAUSTED:
		if (!request->log_read &&
		    ledger_has_timed_out_turns(
			partition->ledger, begin->program)) {
			partition_catch_up(partition);
			return false;
		}
		reply_request(
		    partition->gateway, request, TURN_RESULT_BUDGET_EXHAUSTED);
		return true;
	case LEDGER_BEGIN_ALREADY_ENDED:
		return true;
	}
	return true;
}

static bool
try_find(struct partition *partition, struct pending_request *request)
{
	struct message message = {
	    .type = MESSAGE_TURN_FIND_REPLY,
	    .turn_find_reply =
		{
		    .partition = partition->number,
		    .result = TURN_RESULT_GRANTED,
		},
	};
	struct message_turn_find_reply *found = &message.turn_find_reply;
	struct ledger_retained_turn retained;
	bool complete = has_chain(partition, request->find.turn);

	if (!complete && request->find.read_log && !request->log_read) {
		partition_catch_up(partition);
		return false;
	}
	found->known = ledger_find_retained_turn(
	    partition->ledger, request->find.turn, &retained);
	memcpy(found->turn, request->find.turn, NAME_BYTES);
	if (found->known && complete) {
		snprintf(found->previous_vm, NAME_BYTES, "%s", retained.vm);
		snprintf(
		    found->cache_server, NAME_BYTES, "%s", retained.server);
		fill_chain(partition, request->find.turn, &found->chain,
		    &found->chain_count);
	} else if (found->known) {
		/* The turn was retained but its chain is not known, so "no
		 * such turn" would be wrong. */
		found->result = TURN_RESULT_LOG_UNAVAILABLE;
	}
	send_reply(partition->gateway, request->vm, &message);
	free(found->chain);
	return true;
}

/* Returns true when the request needs no further attempt. */
static bool
try_request(struct partition *partition, struct pending_request *request)
{
	struct gateway *gateway = partition->gateway;

	if (!partition->assigned || partition->yielded_generation != 0) {
		reply_request(gateway, request, TURN_RESULT_NOT_OWNER);
		return true;
	}
	if (!ownership_lease_is_valid(gateway->ownership)) {
		reply_request(gateway, request, TURN_RESULT_LOG_UNAVAILABLE);
		return true;
	}
	if (!partition->ready)
		return false;
	return request->type == MESSAGE_TURN_BEGIN
	    ? try_begin(partition, request)
	    : try_find(partition, request);
}

void
partition_reply_pending(struct partition *partition)
{
	list_for_each_safe (request, tmp, &partition->pending_requests,
	    struct pending_request, link) {
		if (try_request(partition, request))
			pending_request_free(request);
	}
}

void
partition_mark_pending_read(struct partition *partition)
{
	list_for_each (
	    request, &partition->pending_requests, struct pending_request, link)
		request->log_read = true;
}

void
partition_handle_request(
    struct partition *partition, const struct message *message)
{
	struct pending_request *request = xcalloc(1, sizeof(*request));

	request->received_us = clock_monotonic_us();
	request->type = message->type;
	memcpy(request->vm, message->sender, NAME_BYTES);
	if (message->type == MESSAGE_TURN_BEGIN)
		request->begin = message->turn_begin;
	else
		request->find = message->turn_find;
	list_append(&partition->pending_requests, &request->link);
	if (try_request(partition, request))
		pending_request_free(request);
}

void
partition_handle_turn_end(
    struct partition *partition, const struct message *message)
{
	const struct message_turn_end *end = &message->turn_end;
	struct gateway *gateway = partition->gateway;
	bool durable = true;
	struct message reply = {
	    .type = MESSAGE_TURN_END_REPLY,
	    .turn_end_reply = {.is_owner = partition->assigned},
	};
	struct turn_record record = {
	    .type = (enum turn_record_type)end->type,
	    .epoch = end->epoch,
	    .spent = end->spent_tokens,
	    .max_tokens = end->max_tokens,
	    .budget = end->budget_tokens,
	    .ancestors = end->ancestors,
	    .ancestor_count = end->ancestor_count,
	};

	if (partition->assigned && !partition->ready)
		return; /* the sender repeats the message */
	memcpy(reply.turn_end_reply.turn, end->turn, NAME_BYTES);
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
		partition_reply_pending(partition);
	}
	/* The record of a retained turn is in the log already, so its sender
	 * expects no reply. Other ends are reported again until this owner's
	 * record of them is durable. */
	if (record.type != TURN_RECORD_RETAINED && durable)
		send_reply(gateway, message->sender, &reply);
}

void
partition_drop_pending(struct partition *partition, int64_t now_us, bool all)
{
	list_for_each_safe (request, tmp, &partition->pending_requests,
	    struct pending_request, link) {
		if (all || now_us - request->received_us > REQUEST_TIMEOUT_US)
			pending_request_free(request);
	}
}
