#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/peer_gateways.h"
#include "gateway/turn_internal.h"

enum {
	OWNER_REPLY_TIMEOUT_US = 150 * US_PER_MS,
	OWNER_RETRY_US = 40 * US_PER_MS, /* after a reply that asks to retry */
	WHY_BYTES = 160,
};

static const char *
result_description(enum turn_result result)
{
	switch (result) {
	case TURN_RESULT_GRANTED:
		return "granted it";
	case TURN_RESULT_BUDGET_EXHAUSTED:
		return "has no budget left";
	case TURN_RESULT_BUDGET_IN_USE:
		return "waits for other turns to end";
	case TURN_RESULT_NOT_OWNER:
		return "is not the owner";
	case TURN_RESULT_LOG_UNAVAILABLE:
		return "can't reach the store";
	}
	return "gave no answer";
}

void
turn_refuse(struct turn *turn, enum refusal reason, int64_t retry_us)
{
	const struct peer_gateways *peer_gateways =
	    turn->request->gateway->peer_gateways;
	const char *vm =
	    peer_gateways_partition_owner(peer_gateways, turn->partition);
	char why[WHY_BYTES];

	if (reason == REFUSAL_HISTORY_UNAVAILABLE)
		snprintf(why, sizeof(why), "turns before it can't be read");
	else if (reason == REFUSAL_LOG_UNAVAILABLE)
		snprintf(why, sizeof(why), "the store is unavailable");
	else
		snprintf(why, sizeof(why), "partition %u: %s %s",
		    turn->partition, vm != NULL ? vm : "unknown owner",
		    result_description(turn->last_result));
	request_refuse(turn->request, reason, retry_us, why);
}

void
turn_request_grant(struct turn *turn)
{
	const struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;
	struct message message = {.type = MESSAGE_TURN_BEGIN};
	struct message_turn_begin *begin = &message.turn_begin;

	turn->state = TURN_REQUESTING_GRANT;
	memcpy(begin->turn, turn->id, NAME_BYTES);
	memcpy(begin->program, turn->program, NAME_BYTES);
	memcpy(begin->session, attributes->session, NAME_BYTES);
	memcpy(begin->previous, turn->previous, NAME_BYTES);
	begin->has_budget = attributes->has_budget;
	begin->budget_tokens = attributes->budget_tokens;
	begin->max_tokens = attributes->max_tokens;
	begin->remaining_us = request->deadline_us - clock_monotonic_us();
	begin->needs_chain = request->route->retained &&
	    turn->previous[0] != '\0' && turn->chain_count == 0;
	turn_schedule_timeout(turn, OWNER_REPLY_TIMEOUT_US);
	turns_send_to_owner(turns_of(turn), turn->partition, &message);
}

void
turn_set_chain(struct turn *turn, const struct turn_ref *chain, size_t count)
{
	turn->chain = xcalloc(count, sizeof(*turn->chain));
	memcpy(turn->chain, chain, count * sizeof(*chain));
	turn->chain_count = count;
}

void
turn_find_previous(struct turn *turn)
{
	struct turns *turns = turns_of(turn);
	uint32_t count = (uint32_t)turns->gateway->settings.gateway_partitions;
	struct message message = {.type = MESSAGE_TURN_FIND};

	turn->state = TURN_FINDING_PREVIOUS;
	turn_schedule_timeout(turn, OWNER_REPLY_TIMEOUT_US);
	memcpy(message.turn_find.turn, turn->previous, NAME_BYTES);
	message.turn_find.read_log = turn->read_log;
	for (uint32_t partition = 0; partition < count; partition++) {
		message.turn_find.partition = partition;
		if ((turn->answered_partitions >> partition & 1) == 0)
			turns_send_to_owner(turns, partition, &message);
	}
}

void
turns_handle_begin_reply(struct turns *turns, const struct message *message)
{
	const struct message_turn_begin_reply *reply =
	    &message->turn_begin_reply;
	struct turn *turn = turns_find(turns, reply->turn);

	if (turn == NULL || turn->state != TURN_REQUESTING_GRANT)
		return;
	turn->last_result = (enum turn_result)reply->result;
	switch (turn->last_result) {
	case TURN_RESULT_GRANTED:
		break;
	case TURN_RESULT_BUDGET_EXHAUSTED:
		turn->state = TURN_REPORTED;
		turn_refuse(turn, REFUSAL_BUDGET_EXCEEDED, 0);
		return;
	case TURN_RESULT_NOT_OWNER:
		peer_gateways_clear_partition_owner(
		    turns->gateway->peer_gateways, turn->partition);
		turns_refresh_owners(turns);
		turn_schedule_timeout(turn, OWNER_RETRY_US);
		return;
	case TURN_RESULT_BUDGET_IN_USE:
	case TURN_RESULT_LOG_UNAVAILABLE:
	default:
		turn_schedule_timeout(turn, OWNER_RETRY_US);
		return;
	}
	turn->epoch = reply->epoch;
	memcpy(turn->cache_server, reply->cache_server, NAME_BYTES);
	memcpy(turn->previous_vm, reply->previous_vm, NAME_BYTES);
	if (!turn->request->route->retained || turn->previous[0] == '\0') {
		turn_dispatch(turn);
		return;
	}
	if (turn->chain_count == 0 && reply->chain_count > 0)
		turn_set_chain(turn, reply->chain, reply->chain_count);
	if (turn->chain_count > 0)
		turn_load_history(turn);
	else
		turn_find_previous(turn);
}

static void
handle_find_reply(
    struct turn *turn, const struct message_turn_find_reply *reply)
{
	struct turns *turns = turns_of(turn);
	uint32_t count = (uint32_t)turns->gateway->settings.gateway_partitions;
	uint64_t all_partitions =
	    count == 64 ? UINT64_MAX : ((uint64_t)1 << count) - 1;

	if (reply->result != TURN_RESULT_GRANTED) {
		turns_refresh_owners(turns);
		return;
	}
	if (reply->known && reply->chain_count > 0) {
		memcpy(turn->previous_vm, reply->previous_vm, NAME_BYTES);
		memcpy(turn->cache_server, reply->cache_server, NAME_BYTES);
		turn_set_chain(turn, reply->chain, reply->chain_count);
		turn_load_history(turn);
		return;
	}
	turn->answered_partitions |= (uint64_t)1 << reply->partition;
	if (turn->answered_partitions != all_partitions)
		return;
	if (turn->read_log) {
		turn_refuse(turn, REFUSAL_UNKNOWN_TURN, 0);
		return;
	}
	turn->read_log = true;
	turn->answered_partitions = 0;
	turn_find_previous(turn);
}

void
turns_handle_find_reply(struct turns *turns, const struct message *message)
{
	const struct message_turn_find_reply *reply = &message->turn_find_reply;
	struct turn *turn = NULL;
	struct turn *next = NULL;

	HASH_ITER (hh, turns->by_id, turn, next) {
		if (turn->state == TURN_FINDING_PREVIOUS &&
		    strcmp(turn->previous, reply->turn) == 0)
			handle_find_reply(turn, reply);
	}
}
