#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"
#include "gateway/turn_internal.h"
#include "peer/peer.h"

enum {
	PEER_HISTORY_TIMEOUT_US = 80 * US_PER_MS,
	READ_TIMEOUT_US = 600 * US_PER_MS,
	READ_RETRY_US = 100 * US_PER_MS,
	/* Added to a record's size for the size limit of a read, as the store
	 * returns only whole records. */
	READ_SLACK_BYTES = 2048,
	/* Bounds on what a message has besides the contents of its turns. */
	MESSAGE_OVERHEAD_BYTES = 512,
	MESSAGE_TURN_OVERHEAD_BYTES = 256,
	/* Parts that are read at a time. */
	READ_PARTS_MAX_BYTES = 1 << 20,
};

static void chain_turn_read(struct chain_turn *chain_turn);

static bool
turn_history_is_loaded(const struct turn *turn)
{
	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->chain_turns[i].loaded)
			return false;
	}
	return true;
}

static void
chain_turn_set_content(struct chain_turn *chain_turn,
    const struct wire_bytes *input, const struct wire_bytes *output)
{
	if (chain_turn->loaded)
		return;
	chain_turn->content.len = 0;
	buf_append(&chain_turn->content, input->data, input->len);
	buf_append(&chain_turn->content, output->data, output->len);
	chain_turn->loaded = true;
}

static void
turn_load_cached_history(struct turn *turn)
{
	struct history *history = turns_of(turn)->history;
	struct history_turn found;

	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->chain_turns[i].loaded &&
		    history_get(history, turn->chain[i].turn, &found))
			chain_turn_set_content(
			    &turn->chain_turns[i], &found.input, &found.output);
	}
}

static void
chain_turn_reset(struct chain_turn *chain_turn)
{
	if (chain_turn->read_call != NULL)
		store_cancel(chain_turn->read_call);
	chain_turn->read_call = NULL;
	buf_reset(&chain_turn->content);
	free(chain_turn->parts);
	chain_turn->parts = NULL;
}

void
turn_drop_history(struct turn *turn)
{
	for (size_t i = 0; turn->chain_turns != NULL && i < turn->chain_count;
	     i++)
		chain_turn_reset(&turn->chain_turns[i]);
	free(turn->chain_turns);
	turn->chain_turns = NULL;
}

/* Puts the contents of the chain in front of the caller's input in the request
 * body, and sends the turn to a server. */
static void
turn_dispatch_with_history(struct turn *turn)
{
	struct request *request = turn->request;
	struct buf body = {0};

	for (size_t i = 0; i < turn->chain_count; i++) {
		struct chain_turn *chain_turn = &turn->chain_turns[i];

		buf_append(
		    &body, chain_turn->content.data, chain_turn->content.len);
		chain_turn_reset(chain_turn);
	}
	turn->input = request->body;
	buf_append(&body, turn->input.data, turn->input.len);
	request->body = body;
	turn_dispatch(turn);
}

static const struct turn_ref *
chain_turn_ref(const struct chain_turn *chain_turn)
{
	const struct turn *turn = chain_turn->turn;

	return &turn->chain[(size_t)(chain_turn - turn->chain_turns)];
}

static void
dispatch_if_loaded(struct turn *turn)
{
	if (turn_history_is_loaded(turn))
		turn_dispatch_with_history(turn);
}

static void
chain_turn_finish_parts(struct chain_turn *chain_turn)
{
	const struct buf *content = &chain_turn->content;
	size_t input_len = chain_turn->input_bytes < content->len
	    ? chain_turn->input_bytes
	    : content->len;
	const struct history_turn found = {
	    .ref = *chain_turn_ref(chain_turn),
	    .previous = chain_turn->previous,
	    .input = {.data = content->data, .len = input_len},
	    .output =
		{
		    .data = content->data + input_len,
		    .len = content->len - input_len,
		},
	};

	chain_turn->loaded = true;
	history_put(turns_of(chain_turn->turn)->history, &found);
	dispatch_if_loaded(chain_turn->turn);
}

static void
handle_parts_read(void *context, const struct store_read *read)
{
	struct chain_turn *chain_turn = context;
	const char *id = chain_turn_ref(chain_turn)->turn;
	size_t before = chain_turn->parts_read;

	chain_turn->read_call = NULL;
	/* Parts of other turns may lie between those of this one. */
	for (size_t i = 0;
	     i < read->count && chain_turn->parts_read < chain_turn->part_count;
	     i++) {
		size_t number = chain_turn->parts_read;

		if (read->records_offset + i ==
			chain_turn->parts[number].offset &&
		    turn_content_decode_part(&read->records[i], id,
			(uint32_t)number, &chain_turn->content))
			chain_turn->parts_read++;
	}
	if (chain_turn->parts_read == chain_turn->part_count)
		chain_turn_finish_parts(chain_turn);
	else if (chain_turn->parts_read > before)
		chain_turn_read(chain_turn);
}

static void
chain_turn_read_parts(struct chain_turn *chain_turn)
{
	const struct turn *turn = chain_turn->turn;
	const struct turn_part *next =
	    &chain_turn->parts[chain_turn->parts_read];
	size_t bytes = READ_SLACK_BYTES;

	for (size_t i = chain_turn->parts_read;
	     i < chain_turn->part_count && bytes < READ_PARTS_MAX_BYTES; i++)
		bytes += chain_turn->parts[i].bytes;
	if (bytes > READ_PARTS_MAX_BYTES)
		bytes = READ_PARTS_MAX_BYTES;
	chain_turn->read_call = store_read(turn->request->gateway->store,
	    TOPIC_CONTENTS, chain_turn_ref(chain_turn)->partition, next->offset,
	    bytes, 0, READ_TIMEOUT_US, handle_parts_read, chain_turn);
}

/* Notes where the parts of a turn are, and starts to read them. */
static void
chain_turn_set_parts(
    struct chain_turn *chain_turn, const struct turn_record *record)
{
	if (record->part_count == 0 || chain_turn->parts != NULL)
		return;
	chain_turn->part_count = record->part_count;
	chain_turn->parts =
	    xcalloc(record->part_count, sizeof(*chain_turn->parts));
	memcpy(chain_turn->parts, record->parts,
	    record->part_count * sizeof(*record->parts));
	chain_turn->input_bytes = record->input_bytes;
	memcpy(chain_turn->previous, record->previous, NAME_BYTES);
	chain_turn_read_parts(chain_turn);
}

static void
handle_record_read(void *context, const struct store_read *read)
{
	struct chain_turn *chain_turn = context;
	struct turn *turn = chain_turn->turn;
	const struct turn_ref *ref = chain_turn_ref(chain_turn);
	struct turn_record record;

	chain_turn->read_call = NULL;
	if (read->status != STORE_OK || read->count == 0 ||
	    !turn_record_decode(
		read->records[0].data, read->records[0].len, &record, NULL))
		return;
	if (record.type == TURN_RECORD_RETAINED &&
	    strcmp(record.turn, ref->turn) == 0) {
		const struct history_turn found = {
		    .ref = *ref,
		    .previous = record.previous,
		    .input = record.input,
		    .output = record.output,
		};

		chain_turn_set_content(
		    chain_turn, &record.input, &record.output);
		history_put(turns_of(turn)->history, &found);
	} else if (record.type == TURN_RECORD_RETAINED_IN_PARTS &&
	    strcmp(record.turn, ref->turn) == 0) {
		chain_turn_set_parts(chain_turn, &record);
	}
	turn_record_reset(&record);
	dispatch_if_loaded(turn);
}

static void
chain_turn_read(struct chain_turn *chain_turn)
{
	struct turn *turn = chain_turn->turn;
	const struct turn_ref *ref = chain_turn_ref(chain_turn);

	if (chain_turn->parts != NULL) {
		chain_turn_read_parts(chain_turn);
		return;
	}
	chain_turn->read_call =
	    store_read(turn->request->gateway->store, TOPIC_TURNS,
		ref->partition, ref->offset, ref->bytes + READ_SLACK_BYTES, 0,
		READ_TIMEOUT_US, handle_record_read, chain_turn);
}

void
turn_read_history(struct turn *turn)
{
	turn->fetching_from_peer = false;
	for (size_t i = 0; i < turn->chain_count; i++) {
		struct chain_turn *chain_turn = &turn->chain_turns[i];

		if (!chain_turn->loaded && chain_turn->read_call == NULL)
			chain_turn_read(chain_turn);
	}
	turn_schedule_timeout(turn, READ_RETRY_US);
}

static bool
turn_request_peer_history(struct turn *turn)
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
	turn_schedule_timeout(turn, PEER_HISTORY_TIMEOUT_US);
	return peer_gateways_send(
	    gateway->peer_gateways, turn->previous_vm, &message);
}

void
turn_load_history(struct turn *turn)
{
	turn->state = TURN_LOADING_HISTORY;
	turn->chain_turns =
	    xcalloc(turn->chain_count, sizeof(*turn->chain_turns));
	for (size_t i = 0; i < turn->chain_count; i++)
		turn->chain_turns[i].turn = turn;
	turn_load_cached_history(turn);
	if (turn_history_is_loaded(turn))
		turn_dispatch_with_history(turn);
	else if (!turn_request_peer_history(turn))
		turn_read_history(turn);
}

void
turn_cache_history(struct turn *turn, uint64_t offset, uint32_t bytes)
{
	const struct turn_content content = turn_content_of(turn);
	struct history_turn entry = {
	    .ref = {.partition = turn->partition,
		.offset = offset,
		.bytes = bytes},
	    .previous = turn->previous,
	    .input = content.input,
	    .output = content.output,
	};

	memcpy(entry.ref.turn, turn->id, NAME_BYTES);
	history_put(turns_of(turn)->history, &entry);
}

void
turns_handle_history_get(struct turns *turns, const struct message *message)
{
	struct turn_ref chain[TURN_CHAIN_MAX];
	size_t count = history_chain(
	    turns->history, message->history_get.turn, chain, TURN_CHAIN_MAX);
	size_t left_bytes = PEER_MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
	struct message reply = {.type = MESSAGE_HISTORY};
	struct history_turn found;

	memcpy(reply.history.turn, message->history_get.turn, NAME_BYTES);
	reply.history.turns = xcalloc(count + 1, sizeof(*reply.history.turns));
	for (size_t i = 0; i < count; i++) {
		struct message_history_turn *turn =
		    &reply.history.turns[reply.history.turn_count];
		size_t bytes;

		if (!history_get(turns->history, chain[i].turn, &found))
			continue;
		/* The other gateway reads what does not fit from the store. */
		bytes = MESSAGE_TURN_OVERHEAD_BYTES + found.input.len +
		    found.output.len;
		if (bytes > left_bytes)
			continue;
		left_bytes -= bytes;
		reply.history.turn_count++;
		memcpy(turn->turn, found.ref.turn, NAME_BYTES);
		memcpy(turn->previous, found.previous, NAME_BYTES);
		turn->partition = found.ref.partition;
		turn->offset = found.ref.offset;
		turn->bytes = found.ref.bytes;
		turn->input = found.input;
		turn->output = found.output;
	}
	peer_gateways_send(
	    turns->gateway->peer_gateways, message->sender, &reply);
	free(reply.history.turns);
}

void
turns_handle_history(struct turns *turns, const struct message *message)
{
	const struct message_history *history = &message->history;
	struct turn *turn = NULL;
	struct turn *next = NULL;

	for (size_t i = 0; i < history->turn_count; i++) {
		const struct message_history_turn *item = &history->turns[i];
		struct history_turn entry = {
		    .ref =
			{
			    .partition = item->partition,
			    .offset = item->offset,
			    .bytes = item->bytes,
			},
		    .previous = item->previous,
		    .input = item->input,
		    .output = item->output,
		};

		memcpy(entry.ref.turn, item->turn, NAME_BYTES);
		history_put(turns->history, &entry);
	}
	HASH_ITER (hh, turns->by_id, turn, next) {
		if (turn->state != TURN_LOADING_HISTORY ||
		    !turn->fetching_from_peer ||
		    strcmp(turn->previous, history->turn) != 0)
			continue;
		turn_load_cached_history(turn);
		if (turn_history_is_loaded(turn))
			turn_dispatch_with_history(turn);
		else
			turn_read_history(turn);
	}
}
