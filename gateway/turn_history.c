#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"
#include "gateway/turn_internal.h"

enum {
	FETCH_TIMEOUT_US = 80 * US_PER_MS, /* of a history to another gateway */
	READ_TIMEOUT_US = 600 * US_PER_MS, /* of a record from the store */
	READ_AGAIN_US = 100 * US_PER_MS,
	RECORD_SLACK_BYTES = 2048, /* a read gives whole records */
};

static void piece_read(struct piece *piece);

static bool
turn_is_loaded(const struct turn *turn)
{
	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->chain_contents[i].loaded)
			return false;
	}
	return true;
}

static void
piece_take(struct piece *piece, const struct wire_bytes *input,
    const struct wire_bytes *output)
{
	if (piece->loaded)
		return;
	buf_append(&piece->content, input->data, input->len);
	buf_append(&piece->content, output->data, output->len);
	piece->loaded = true;
}

static void
take_from_history(struct turn *turn)
{
	struct history *history = turns_of(turn)->history;
	struct history_turn found;

	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->chain_contents[i].loaded &&
		    history_get(history, turn->chain[i].turn, &found))
			piece_take(&turn->chain_contents[i], &found.input,
			    &found.output);
	}
}

/* The server gets what was said before, and then the new input. */
static void
turn_assemble(struct turn *turn)
{
	struct request *request = turn->request;
	struct buf body = {0};

	for (size_t i = 0; i < turn->chain_count; i++) {
		struct piece *piece = &turn->chain_contents[i];

		if (piece->read != NULL)
			store_cancel(piece->read);
		piece->read = NULL;
		buf_append(&body, piece->content.data, piece->content.len);
		buf_reset(&piece->content);
	}
	turn->input = request->body;
	buf_append(&body, turn->input.data, turn->input.len);
	request->body = body;
	turn_dispatch(turn);
}

static void
handle_piece(void *context, const struct store_read *read)
{
	struct piece *piece = context;
	struct turn *turn = piece->turn;
	size_t at = (size_t)(piece - turn->chain_contents);
	const struct turn_ref *ref = &turn->chain[at];
	struct turn_record record;

	piece->read = NULL;
	if (read->status == STORE_OK && read->count > 0 &&
	    turn_record_decode(
		read->records[0].data, read->records[0].len, &record, NULL)) {
		const struct history_turn found = {
		    .ref = *ref,
		    .previous = record.previous,
		    .input = record.input,
		    .output = record.output,
		};

		if (record.type == TURN_RECORD_RETAINED &&
		    strcmp(record.turn, ref->turn) == 0) {
			piece_take(piece, &record.input, &record.output);
			history_put(turns_of(turn)->history, &found);
		}
		turn_record_reset(&record);
	}
	if (turn_is_loaded(turn))
		turn_assemble(turn);
}

static void
piece_read(struct piece *piece)
{
	struct turn *turn = piece->turn;
	const struct turn_ref *ref =
	    &turn->chain[(size_t)(piece - turn->chain_contents)];

	piece->read = store_read(turn->request->gateway->store, TOPIC_TURNS,
	    ref->part, ref->offset, ref->bytes + RECORD_SLACK_BYTES, 0,
	    READ_TIMEOUT_US, handle_piece, piece);
}

void
turn_read_history(struct turn *turn)
{
	turn->fetching_from_peer = false;
	for (size_t i = 0; i < turn->chain_count; i++) {
		struct piece *piece = &turn->chain_contents[i];

		if (!piece->loaded && piece->read == NULL)
			piece_read(piece);
	}
	turn_schedule_timeout(turn, READ_AGAIN_US);
}

static bool
fetch_from_fellow(struct turn *turn)
{
	const struct gateway *gateway = turn->request->gateway;
	struct message message = {.type = MESSAGE_HISTORY_GET};

	if (turn->previous_vm[0] == '\0' ||
	    strcmp(turn->previous_vm, gateway->settings.vm_name) == 0 ||
	    !peer_gateways_is_live(gateway->peer_gateways, turn->previous_vm))
		return false;
	memcpy(message.history_get.turn,
	    turn->chain[turn->chain_count - 1].turn, NAME_BYTES);
	turn->fetching_from_peer = true;
	turn_schedule_timeout(turn, FETCH_TIMEOUT_US);
	return peer_gateways_send(
	    gateway->peer_gateways, turn->previous_vm, &message);
}

void
turn_load_history(struct turn *turn)
{
	turn->state = TURN_LOADING_HISTORY;
	turn->chain_contents =
	    xcalloc(turn->chain_count, sizeof(*turn->chain_contents));
	for (size_t i = 0; i < turn->chain_count; i++)
		turn->chain_contents[i].turn = turn;
	take_from_history(turn);
	if (turn_is_loaded(turn))
		turn_assemble(turn);
	else if (!fetch_from_fellow(turn))
		turn_read_history(turn);
}

/* ---- what other gateways have or want ---- */

void
turn_cache_history(struct turn *turn, uint64_t offset, uint32_t bytes)
{
	const struct request *request = turn->request;
	const struct buf *input =
	    turn->chain_count > 0 ? &turn->input : &request->body;
	const struct buf *output = &request->events.data;
	struct history_turn put = {
	    .ref = {.part = turn->partition, .offset = offset, .bytes = bytes},
	    .previous = request->attributes.previous_turn,
	    .input = {.data = input->data, .len = input->len},
	    .output = {.data = output->data, .len = output->len},
	};

	memcpy(put.ref.turn, turn->id, NAME_BYTES);
	history_put(turns_of(turn)->history, &put);
}

void
turns_handle_history_get(struct turns *turns, const struct message *message)
{
	struct turn_ref chain[CHAIN_MAX];
	size_t count = history_chain(
	    turns->history, message->history_get.turn, chain, CHAIN_MAX);
	struct message answer = {
	    .type = MESSAGE_HISTORY,
	    .history = {.turn_count = count},
	};
	struct history_turn found;

	memcpy(answer.history.turn, message->history_get.turn, NAME_BYTES);
	answer.history.turns =
	    xcalloc(count + 1, sizeof(*answer.history.turns));
	for (size_t i = 0; i < count; i++) {
		struct message_history_turn *turn = &answer.history.turns[i];

		if (!history_get(turns->history, chain[i].turn, &found))
			continue;
		memcpy(turn->turn, found.ref.turn, NAME_BYTES);
		memcpy(turn->previous, found.previous, NAME_BYTES);
		turn->partition = found.ref.part;
		turn->offset = found.ref.offset;
		turn->bytes = found.ref.bytes;
		turn->input = found.input;
		turn->output = found.output;
	}
	peer_gateways_send(
	    turns->gateway->peer_gateways, message->sender, &answer);
	free(answer.history.turns);
}

void
turns_handle_history(struct turns *turns, const struct message *message)
{
	const struct message_history *history = &message->history;
	struct turn *turn = NULL;
	struct turn *next = NULL;

	for (size_t i = 0; i < history->turn_count; i++) {
		const struct message_history_turn *from = &history->turns[i];
		struct history_turn put = {
		    .ref =
			{
			    .part = from->partition,
			    .offset = from->offset,
			    .bytes = from->bytes,
			},
		    .previous = from->previous,
		    .input = from->input,
		    .output = from->output,
		};

		memcpy(put.ref.turn, from->turn, NAME_BYTES);
		history_put(turns->history, &put);
	}
	HASH_ITER (hh, turns->by_id, turn, next) {
		if (turn->state != TURN_LOADING_HISTORY ||
		    !turn->fetching_from_peer ||
		    strcmp(turn->request->attributes.previous_turn,
			history->turn) != 0)
			continue;
		take_from_history(turn);
		if (turn_is_loaded(turn))
			turn_assemble(turn);
		else
			turn_read_history(turn);
	}
}
