#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/fellows.h"
#include "gateway/ownership.h"
#include "gateway/recorder.h"
#include "gateway/turn.h"
#include "turn/history.h"

enum {
	HISTORY_BYTES = 2 << 20, /* of turns that were served lately */
	CHAIN_MAX = 512,
	ASK_TIMEOUT_US = 150 * US_PER_MS,  /* of a question to an owner */
	ASK_AGAIN_US = 40 * US_PER_MS,     /* after an answer that says later */
	FETCH_TIMEOUT_US = 80 * US_PER_MS, /* of a history to another gateway */
	READ_TIMEOUT_US = 600 * US_PER_MS, /* of a record from the store */
	READ_AGAIN_US = 100 * US_PER_MS,
	RECORD_SLACK_BYTES = 2048,          /* a read gives whole records */
	PATIENCE_MAX_US = 1500 * US_PER_MS, /* for the owner and the history */
	PATIENCE_SHARE = 4, /* and at most this part of what is left */
	RETRY_OWNER_US = 300 * US_PER_MS,
	RETRY_STORE_US = 1000 * US_PER_MS,
	HELD_AGAIN_US = 50 * US_PER_MS, /* between looks at the store */
	/* While the store has not taken appends for so long, a turn that has
	 * to be kept could not end. */
	STORE_LOST_US = 400 * US_PER_MS,
	OWNERS_TIMEOUT_US = 600 * US_PER_MS,
	OWNERS_INTERVAL_US = 150 * US_PER_MS,
	REPORT_AGAIN_US = 250 * US_PER_MS,
	REPORT_MAX_US = 8 * US_PER_S,
	TICK_MS = 100,
	WHY_BYTES = 160,
};

static const char GROUP[] = "programs";

enum turn_state {
	TURN_HELD,    /**< the store is away: it could not be kept */
	TURN_ASKING,  /**< the owner is asked */
	TURN_FINDING, /**< all owners are asked for the previous turn */
	TURN_LOADING, /**< its history is collected */
	TURN_RUNNING,
	TURN_SEALING,
	TURN_OVER, /**< the owner has been told */
};

/** Content of one turn of the chain. */
struct piece {
	struct turn *turn;
	struct store_call *read;
	bool present;
	struct buf content;
};

struct turn {
	UT_hash_handle hh; /**< by id, in turns */
	char id[NAME_BYTES];
	struct request *request;
	uint32_t part; /**< of its program */
	enum turn_state state;
	uint64_t epoch;
	enum turn_answer last_answer; /**< of an owner; 0: none */
	int64_t give_up_us;
	int64_t due_us;          /**< when to go on, if no answer comes */
	bool certain;            /**< TURN_FINDING: owners look into the log */
	uint64_t answered;       /**< TURN_FINDING: a bit for each partition */
	char vm[NAME_BYTES];     /**< that served the previous turn */
	char server[NAME_BYTES]; /**< that has the program's cache */
	struct turn_ref *chain;  /**< of the previous turn, oldest first */
	struct piece *pieces;
	size_t chain_count;
	bool fetching; /**< another gateway is asked for the history */
	struct recording *recording;
	struct buf input; /**< as the caller sent it */
};

/** An end that an owner has not acknowledged. */
struct report {
	struct list link;
	struct message message;
	int64_t since_us;
	int64_t due_us;
};

struct turns {
	struct gateway *gateway;
	struct turn *by_id; /**< uthash */
	struct history *history;
	struct list reports;
	struct store_call *owners;
	int64_t owners_us; /**< when the owners were last asked for */
	uv_timer_t *tick;
};

static void turn_ask(struct turn *turn);
static void turn_load(struct turn *turn);

static struct turns *
turns_of(const struct turn *turn)
{
	return turn->request->gateway->turns;
}

static uint32_t
part_of(const struct gateway *gateway, const char *program)
{
	return (uint32_t)(hash_text(program, 0) %
	    (uint64_t)gateway->settings.gateway_partitions);
}

static void
turn_wait(struct turn *turn, int64_t wait_us)
{
	turn->due_us = clock_monotonic_us() + wait_us;
	request_wake_at(turn->request,
	    turn->due_us < turn->give_up_us ? turn->due_us : turn->give_up_us);
}

/* ---- who owns what ---- */

static void
handle_owners(void *context, const struct store_owners *owners)
{
	struct turns *turns = context;
	struct fellows *fellows = turns->gateway->fellows;
	char vm[NAME_BYTES];

	turns->owners = NULL;
	for (size_t i = 0; i < owners->count; i++) {
		if (fellows_learn(fellows, owners->rows[i].member, vm))
			fellows_set_owner(fellows, owners->rows[i].part, vm);
	}
}

static void
refresh_owners(struct turns *turns)
{
	int64_t now_us = clock_monotonic_us();

	if (turns->owners != NULL ||
	    now_us - turns->owners_us < OWNERS_INTERVAL_US)
		return;
	turns->owners_us = now_us;
	turns->owners = store_owners(turns->gateway->store, GROUP,
	    OWNERS_TIMEOUT_US, handle_owners, turns);
}

/* Sends a message to the owner of a partition. False: it is not known. */
static bool
send_to_owner(struct turns *turns, uint32_t part, struct message *message)
{
	struct gateway *gateway = turns->gateway;
	const char *vm = fellows_owner(gateway->fellows, part);

	if ((ownership_owned(gateway->ownership) >> part & 1) != 0)
		vm = gateway->settings.vm_name;
	else if (vm != NULL && strcmp(vm, gateway->settings.vm_name) == 0)
		vm = NULL; /* it was, and has not heard who is now */
	if (vm != NULL && fellows_send(gateway->fellows, vm, message))
		return true;
	refresh_owners(turns);
	return false;
}

/* ---- ends are told to owners ---- */

static void
report_free(struct report *report)
{
	list_remove(&report->link);
	free(report);
}

static void
report_send(struct turns *turns, struct report *report)
{
	const char *program = report->message.turn_end.program;

	report->due_us = clock_monotonic_us() + REPORT_AGAIN_US;
	send_to_owner(
	    turns, part_of(turns->gateway, program), &report->message);
}

static void
tell_spent(struct turn *turn, uint64_t spent)
{
	const struct attributes *attributes = &turn->request->attributes;
	struct turns *turns = turns_of(turn);
	struct report *report = xcalloc(1, sizeof(*report));
	struct message_turn_end *end = &report->message.turn_end;

	report->message.type = MESSAGE_TURN_END;
	end->type = TURN_SPENT;
	memcpy(end->turn, turn->id, NAME_BYTES);
	memcpy(end->program, attributes->program, NAME_BYTES);
	memcpy(end->session, attributes->session, NAME_BYTES);
	memcpy(end->server, turn->request->backend, NAME_BYTES);
	end->epoch = turn->epoch;
	end->spent = spent;
	end->most = attributes->max_tokens;
	end->budget = attributes->budget_tokens;
	report->since_us = clock_monotonic_us();
	list_append(&turns->reports, &report->link);
	report_send(turns, report);
}

static void
handle_ended(struct turns *turns, const struct message *message)
{
	const struct message_turn_ended *ended = &message->turn_ended;

	list_for_each_safe (report, tmp, &turns->reports, struct report, link) {
		if (strcmp(report->message.turn_end.turn, ended->turn) != 0)
			continue;
		if (ended->owner)
			report_free(report);
		else
			refresh_owners(turns);
		return;
	}
}

size_t
turns_unreported(const struct turns *turns)
{
	return list_length(&turns->reports);
}

static uint64_t
tokens_spent(const struct request *request)
{
	const struct service *service =
	    gateway_config_find_service(request->config, request->service);
	uint64_t each = service != NULL ? service->tokens_per_event : 1;

	return request->events.count * each;
}

/* ---- asking for the turn ---- */

static const char *
answer_name(enum turn_answer answer)
{
	switch (answer) {
	case TURN_ANSWER_GRANTED:
		return "granted it";
	case TURN_ANSWER_EXHAUSTED:
		return "has no budget left";
	case TURN_ANSWER_BUSY:
		return "waits for other turns to end";
	case TURN_ANSWER_NOT_OWNER:
		return "is not the owner";
	case TURN_ANSWER_UNSURE:
		return "can't reach the store";
	}
	return "gave no answer";
}

/* Says whom the turn has waited for. */
static void
turn_refuse(struct turn *turn, enum refusal reason, int64_t retry_us)
{
	const struct fellows *fellows = turn->request->gateway->fellows;
	const char *vm = fellows_owner(fellows, turn->part);
	char why[WHY_BYTES];

	snprintf(why, sizeof(why), "partition %u: %s %s", turn->part,
	    vm != NULL ? vm : "unknown owner", answer_name(turn->last_answer));
	request_refuse(turn->request, reason, retry_us, why);
}

static void
turn_ask(struct turn *turn)
{
	const struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;
	struct message message = {.type = MESSAGE_TURN_BEGIN};
	struct message_turn_begin *begin = &message.turn_begin;

	turn->state = TURN_ASKING;
	memcpy(begin->turn, turn->id, NAME_BYTES);
	memcpy(begin->program, attributes->program, NAME_BYTES);
	memcpy(begin->session, attributes->session, NAME_BYTES);
	memcpy(begin->previous, attributes->previous, NAME_BYTES);
	begin->has_budget = attributes->has_budget;
	begin->budget = attributes->budget_tokens;
	begin->most = attributes->max_tokens;
	begin->left_us = request->deadline_us - clock_monotonic_us();
	begin->wants_chain = request->route->retained &&
	    attributes->previous[0] != '\0' && turn->chain_count == 0;
	turn_wait(turn, ASK_TIMEOUT_US);
	send_to_owner(turns_of(turn), turn->part, &message);
}

static struct turn *
find_turn(const struct turns *turns, const char *id)
{
	struct turn *turn;

	HASH_FIND_STR(turns->by_id, id, turn);
	return turn;
}

static void
turn_set_chain(struct turn *turn, const struct turn_ref *chain, size_t count)
{
	turn->chain = xcalloc(count, sizeof(*turn->chain));
	memcpy(turn->chain, chain, count * sizeof(*chain));
	turn->chain_count = count;
}

static void
turn_run(struct turn *turn)
{
	struct request *request = turn->request;

	turn->state = TURN_RUNNING;
	request_dispatch(request);
}

/* The previous turn may be one of another program. */
static void
turn_find_previous(struct turn *turn)
{
	struct turns *turns = turns_of(turn);
	uint32_t count = (uint32_t)turns->gateway->settings.gateway_partitions;
	struct message message = {.type = MESSAGE_TURN_FIND};

	turn->state = TURN_FINDING;
	turn_wait(turn, ASK_TIMEOUT_US);
	memcpy(message.turn_find.turn, turn->request->attributes.previous,
	    NAME_BYTES);
	message.turn_find.certain = turn->certain;
	for (uint32_t part = 0; part < count; part++) {
		message.turn_find.part = part;
		if ((turn->answered >> part & 1) == 0)
			send_to_owner(turns, part, &message);
	}
}

static void
handle_granted(struct turns *turns, const struct message *message)
{
	const struct message_turn_granted *granted = &message->turn_granted;
	struct turn *turn = find_turn(turns, granted->turn);

	if (turn == NULL || turn->state != TURN_ASKING)
		return;
	turn->last_answer = (enum turn_answer)granted->answer;
	switch (turn->last_answer) {
	case TURN_ANSWER_GRANTED:
		break;
	case TURN_ANSWER_EXHAUSTED:
		turn->state = TURN_OVER;
		turn_refuse(turn, REFUSAL_BUDGET_EXCEEDED, 0);
		return;
	case TURN_ANSWER_NOT_OWNER:
		fellows_forget_owner(turns->gateway->fellows, turn->part);
		refresh_owners(turns);
		turn_wait(turn, ASK_AGAIN_US);
		return;
	case TURN_ANSWER_BUSY:
	case TURN_ANSWER_UNSURE:
	default:
		turn_wait(turn, ASK_AGAIN_US);
		return;
	}
	turn->epoch = granted->epoch;
	memcpy(turn->server, granted->server, NAME_BYTES);
	memcpy(turn->vm, granted->vm, NAME_BYTES);
	if (!turn->request->route->retained ||
	    turn->request->attributes.previous[0] == '\0') {
		turn_run(turn);
		return;
	}
	if (turn->chain_count == 0 && granted->chain_count > 0)
		turn_set_chain(turn, granted->chain, granted->chain_count);
	if (turn->chain_count > 0)
		turn_load(turn);
	else
		turn_find_previous(turn);
}

static void
take_found(struct turn *turn, const struct message_turn_found *found)
{
	struct turns *turns = turns_of(turn);
	uint32_t count = (uint32_t)turns->gateway->settings.gateway_partitions;
	uint64_t all = count == 64 ? UINT64_MAX : ((uint64_t)1 << count) - 1;

	if (found->answer != TURN_ANSWER_GRANTED) {
		refresh_owners(turns);
		return;
	}
	if (found->known && found->chain_count > 0) {
		memcpy(turn->vm, found->vm, NAME_BYTES);
		memcpy(turn->server, found->server, NAME_BYTES);
		turn_set_chain(turn, found->chain, found->chain_count);
		turn_load(turn);
		return;
	}
	turn->answered |= (uint64_t)1 << found->part;
	if (turn->answered != all)
		return;
	if (turn->certain) {
		turn_refuse(turn, REFUSAL_UNKNOWN_TURN, 0);
		return;
	}
	turn->certain = true;
	turn->answered = 0;
	turn_find_previous(turn);
}

static void
handle_found(struct turns *turns, const struct message *message)
{
	const struct message_turn_found *found = &message->turn_found;
	struct turn *turn = NULL;
	struct turn *next = NULL;

	HASH_ITER (hh, turns->by_id, turn, next) {
		if (turn->state == TURN_FINDING &&
		    strcmp(turn->request->attributes.previous, found->turn) ==
			0)
			take_found(turn, found);
	}
}

/* ---- history ---- */

static bool
turn_is_loaded(const struct turn *turn)
{
	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->pieces[i].present)
			return false;
	}
	return true;
}

static void
piece_take(struct piece *piece, const struct record_bytes *input,
    const struct record_bytes *output)
{
	if (piece->present)
		return;
	buf_append(&piece->content, input->data, input->len);
	buf_append(&piece->content, output->data, output->len);
	piece->present = true;
}

static void
take_from_history(struct turn *turn)
{
	struct history *history = turns_of(turn)->history;
	struct history_turn found;

	for (size_t i = 0; i < turn->chain_count; i++) {
		if (!turn->pieces[i].present &&
		    history_get(history, turn->chain[i].turn, &found))
			piece_take(
			    &turn->pieces[i], &found.input, &found.output);
	}
}

/* The server gets what was said before, and then the new input. */
static void
turn_assemble(struct turn *turn)
{
	struct request *request = turn->request;
	struct buf body = {0};

	for (size_t i = 0; i < turn->chain_count; i++) {
		struct piece *piece = &turn->pieces[i];

		if (piece->read != NULL)
			store_cancel(piece->read);
		piece->read = NULL;
		buf_append(&body, piece->content.data, piece->content.len);
		buf_reset(&piece->content);
	}
	turn->input = request->body;
	buf_append(&body, turn->input.data, turn->input.len);
	request->body = body;
	turn_run(turn);
}

static void piece_read(struct piece *piece);

static void
handle_piece(void *context, const struct store_read *read)
{
	struct piece *piece = context;
	struct turn *turn = piece->turn;
	size_t at = (size_t)(piece - turn->pieces);
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

		if (record.type == TURN_KEPT &&
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
	    &turn->chain[(size_t)(piece - turn->pieces)];

	piece->read = store_read(turn->request->gateway->store, TOPIC_TURNS,
	    ref->part, ref->offset, ref->bytes + RECORD_SLACK_BYTES, 0,
	    READ_TIMEOUT_US, handle_piece, piece);
}

static void
read_pieces(struct turn *turn)
{
	turn->fetching = false;
	for (size_t i = 0; i < turn->chain_count; i++) {
		struct piece *piece = &turn->pieces[i];

		if (!piece->present && piece->read == NULL)
			piece_read(piece);
	}
	turn_wait(turn, READ_AGAIN_US);
}

static bool
fetch_from_fellow(struct turn *turn)
{
	const struct gateway *gateway = turn->request->gateway;
	struct message message = {.type = MESSAGE_HISTORY_GET};

	if (turn->vm[0] == '\0' ||
	    strcmp(turn->vm, gateway->settings.vm_name) == 0 ||
	    !fellows_is_live(gateway->fellows, turn->vm))
		return false;
	memcpy(message.history_get.turn,
	    turn->chain[turn->chain_count - 1].turn, NAME_BYTES);
	turn->fetching = true;
	turn_wait(turn, FETCH_TIMEOUT_US);
	return fellows_send(gateway->fellows, turn->vm, &message);
}

/* Collects the chain's contents: from here, from the gateway that served the
 * previous turn, and from the store. */
static void
turn_load(struct turn *turn)
{
	turn->state = TURN_LOADING;
	turn->pieces = xcalloc(turn->chain_count, sizeof(*turn->pieces));
	for (size_t i = 0; i < turn->chain_count; i++)
		turn->pieces[i].turn = turn;
	take_from_history(turn);
	if (turn_is_loaded(turn))
		turn_assemble(turn);
	else if (!fetch_from_fellow(turn))
		read_pieces(turn);
}

static void
handle_history_get(struct turns *turns, const struct message *message)
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
		turn->part = found.ref.part;
		turn->offset = found.ref.offset;
		turn->bytes = found.ref.bytes;
		turn->input = found.input;
		turn->output = found.output;
	}
	fellows_send(turns->gateway->fellows, message->sender, &answer);
	free(answer.history.turns);
}

static void
handle_history(struct turns *turns, const struct message *message)
{
	const struct message_history *history = &message->history;
	struct turn *turn = NULL;
	struct turn *next = NULL;

	for (size_t i = 0; i < history->turn_count; i++) {
		const struct message_history_turn *from = &history->turns[i];
		struct history_turn put = {
		    .ref =
			{
			    .part = from->part,
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
		if (turn->state != TURN_LOADING || !turn->fetching ||
		    strcmp(turn->request->attributes.previous, history->turn) !=
			0)
			continue;
		take_from_history(turn);
		if (turn_is_loaded(turn))
			turn_assemble(turn);
		else
			read_pieces(turn);
	}
}

/* ---- the turn's life ---- */

/* While the store takes no appends, a turn that has to be kept could run but
 * not end. */
static bool
turn_must_wait(const struct turn *turn)
{
	int64_t lost_us =
	    recorder_lost_since_us(turn->request->gateway->recorder);

	return turn->request->route->retained && lost_us != 0 &&
	    clock_monotonic_us() - lost_us > STORE_LOST_US;
}

static void
turn_hold(struct turn *turn)
{
	turn->state = TURN_HELD;
	turn_wait(turn, HELD_AGAIN_US);
}

void
turn_begin(struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct attributes *attributes = &request->attributes;
	struct turn *turn = xcalloc(1, sizeof(*turn));
	int64_t now_us = clock_monotonic_us();
	int64_t patience_us = (request->deadline_us - now_us) / PATIENCE_SHARE;
	struct turn_ref chain[CHAIN_MAX];
	size_t count = 0;

	request->turn = turn;
	turn->request = request;
	turn->state = TURN_OVER; /* nothing to be told so far */
	turn->part = part_of(gateway, attributes->program);
	memcpy(turn->id, attributes->request, NAME_BYTES);
	turn->give_up_us = now_us +
	    (patience_us < PATIENCE_MAX_US ? patience_us : PATIENCE_MAX_US);
	if (find_turn(gateway->turns, turn->id) != NULL) {
		request_refuse(request, REFUSAL_TURN_IN_PROGRESS, 0,
		    "the same request is under way");
		return;
	}
	HASH_ADD_STR(gateway->turns->by_id, id, turn);
	if (request->route->retained && attributes->previous[0] != '\0')
		count = history_chain(gateway->turns->history,
		    attributes->previous, chain, CHAIN_MAX);
	if (count > 0)
		turn_set_chain(turn, chain, count);
	if (turn_must_wait(turn))
		turn_hold(turn);
	else
		turn_ask(turn);
}

static void
turn_give_up(struct turn *turn)
{
	switch (turn->state) {
	case TURN_HELD:
		turn_refuse(turn, REFUSAL_LOG_UNAVAILABLE, RETRY_STORE_US);
		return;
	case TURN_LOADING:
		turn_refuse(turn, REFUSAL_HISTORY, RETRY_OWNER_US);
		return;
	default:
		turn_refuse(turn, REFUSAL_NO_OWNER, RETRY_OWNER_US);
		return;
	}
}

void
turn_handle_time(struct request *request)
{
	struct turn *turn = request->turn;
	int64_t now_us = clock_monotonic_us();

	if (now_us >= turn->give_up_us) {
		turn_give_up(turn);
		return;
	}
	if (now_us < turn->due_us) {
		turn_wait(turn, turn->due_us - now_us);
		return;
	}
	switch (turn->state) {
	case TURN_HELD:
		if (turn_must_wait(turn))
			turn_hold(turn);
		else
			turn_ask(turn);
		return;
	case TURN_ASKING:
		/* Whether silent or not: the owner may be another one. */
		refresh_owners(turns_of(turn));
		turn_ask(turn);
		return;
	case TURN_FINDING:
		refresh_owners(turns_of(turn));
		turn_find_previous(turn);
		return;
	case TURN_LOADING:
		read_pieces(turn);
		return;
	case TURN_RUNNING:
	case TURN_SEALING:
	case TURN_OVER:
		return;
	}
}

const char *
turn_server(const struct request *request)
{
	return request->turn != NULL ? request->turn->server : "";
}

const char *
turn_waits_for(const struct request *request)
{
	static const char *const names[] = {
	    [TURN_HELD] = "store",
	    [TURN_ASKING] = "owner",
	    [TURN_FINDING] = "previous_turn",
	    [TURN_LOADING] = "history",
	    [TURN_RUNNING] = "server",
	    [TURN_SEALING] = "record",
	    [TURN_OVER] = NULL,
	};

	return request->turn != NULL ? names[request->turn->state] : NULL;
}

static void
remember(struct turn *turn, uint64_t offset, uint32_t bytes)
{
	const struct request *request = turn->request;
	const struct buf *input =
	    turn->chain_count > 0 ? &turn->input : &request->body;
	const struct buf *output = &request->events.data;
	struct history_turn put = {
	    .ref = {.part = turn->part, .offset = offset, .bytes = bytes},
	    .previous = request->attributes.previous,
	    .input = {.data = input->data, .len = input->len},
	    .output = {.data = output->data, .len = output->len},
	};

	memcpy(put.ref.turn, turn->id, NAME_BYTES);
	history_put(turns_of(turn)->history, &put);
}

/* The owner would find the record in the log; told of it, it need not look. */
static void
tell_kept(struct turn *turn, uint64_t offset, uint32_t bytes)
{
	const struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;
	struct message message = {.type = MESSAGE_TURN_END};
	struct message_turn_end *end = &message.turn_end;

	end->type = TURN_KEPT;
	memcpy(end->turn, turn->id, NAME_BYTES);
	memcpy(end->program, attributes->program, NAME_BYTES);
	memcpy(end->session, attributes->session, NAME_BYTES);
	memcpy(end->previous, attributes->previous, NAME_BYTES);
	memcpy(end->server, request->backend, NAME_BYTES);
	end->epoch = turn->epoch;
	end->spent = tokens_spent(request);
	end->most = attributes->max_tokens;
	end->budget = attributes->budget_tokens;
	end->offset = offset;
	end->bytes = bytes;
	end->ancestors = turn->chain;
	end->ancestor_count = turn->chain_count;
	send_to_owner(turns_of(turn), turn->part, &message);
}

static void
handle_recorded(void *context, bool ok, uint64_t offset)
{
	struct turn *turn = context;
	struct request *request = turn->request;
	uint32_t bytes = request->record_bytes;

	turn->recording = NULL;
	if (!ok) {
		request_fail(
		    request, REFUSAL_LOG_UNAVAILABLE, "turn can't be kept");
		return;
	}
	remember(turn, offset, bytes);
	tell_kept(turn, offset, bytes);
	turn->state = TURN_OVER;
	histogram_add(&request->gateway->counters.durable_us,
	    clock_monotonic_us() - request->ended_us);
	request->gateway->counters.turns_total++;
	request_complete(request);
}

static void
turn_keep(struct turn *turn)
{
	struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;
	const struct buf *input =
	    turn->chain_count > 0 ? &turn->input : &request->body;
	const struct buf *output = &request->events.data;
	struct turn_record record = {
	    .type = TURN_KEPT,
	    .epoch = turn->epoch,
	    .spent = tokens_spent(request),
	    .most = attributes->max_tokens,
	    .budget = attributes->budget_tokens,
	    .ancestors = turn->chain,
	    .ancestor_count = turn->chain_count,
	    .input = {.data = input->data, .len = input->len},
	    .output = {.data = output->data, .len = output->len},
	};
	struct buf encoded = {0};

	memcpy(record.turn, turn->id, NAME_BYTES);
	memcpy(record.program, attributes->program, NAME_BYTES);
	memcpy(record.previous, attributes->previous, NAME_BYTES);
	snprintf(
	    record.vm, NAME_BYTES, "%.63s", request->gateway->settings.vm_name);
	memcpy(record.server, request->backend, NAME_BYTES);
	turn_record_encode(&record, &encoded);
	request->record_bytes = (uint32_t)encoded.len;
	turn->state = TURN_SEALING;
	turn->recording = recorder_append(request->gateway->recorder,
	    turn->part, &encoded, handle_recorded, turn);
}

void
turn_seal(struct request *request)
{
	struct turn *turn = request->turn;

	if (request->route->retained && request->status / 100 == 2) {
		turn_keep(turn);
		return;
	}
	tell_spent(turn, tokens_spent(request));
	turn->state = TURN_OVER;
	request_complete(request);
}

void
turn_destroy(struct request *request)
{
	struct turn *turn = request->turn;
	struct turns *turns = request->gateway->turns;

	request->turn = NULL;
	if (turn->recording != NULL)
		recorder_abandon(turn->recording);
	/* A question may have been answered with a grant on its way here. */
	if (turn->state != TURN_OVER)
		tell_spent(turn, tokens_spent(request));
	if (find_turn(turns, turn->id) == turn)
		HASH_DEL(turns->by_id, turn);
	for (size_t i = 0; turn->pieces != NULL && i < turn->chain_count; i++) {
		if (turn->pieces[i].read != NULL)
			store_cancel(turn->pieces[i].read);
		buf_reset(&turn->pieces[i].content);
	}
	free(turn->pieces);
	free(turn->chain);
	buf_reset(&turn->input);
	free(turn);
}

/* ---- all turns ---- */

void
turns_handle_message(struct turns *turns, const struct message *message)
{
	switch (message->type) {
	case MESSAGE_TURN_GRANTED:
		handle_granted(turns, message);
		return;
	case MESSAGE_TURN_FOUND:
		handle_found(turns, message);
		return;
	case MESSAGE_TURN_ENDED:
		handle_ended(turns, message);
		return;
	case MESSAGE_HISTORY_GET:
		handle_history_get(turns, message);
		return;
	case MESSAGE_HISTORY:
		handle_history(turns, message);
		return;
	default:
		return;
	}
}

static struct report *
next_due_report(struct turns *turns, int64_t now_us)
{
	list_for_each (report, &turns->reports, struct report, link) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): relinked */
		if (report->due_us <= now_us)
			return report;
	}
	return NULL;
}

static void
handle_tick(uv_timer_t *timer)
{
	struct turns *turns = timer->data;
	int64_t now_us = clock_monotonic_us();
	struct report *report;

	while ((report = next_due_report(turns, now_us)) != NULL) {
		if (now_us - report->since_us > REPORT_MAX_US) {
			report_free(report);
			continue;
		}
		refresh_owners(turns);
		report_send(turns, report);
	}
}

struct turns *
turns_create(struct gateway *gateway)
{
	struct turns *turns = xcalloc(1, sizeof(*turns));

	turns->gateway = gateway;
	turns->history = history_create(HISTORY_BYTES);
	list_init(&turns->reports);
	turns->tick = xcalloc(1, sizeof(*turns->tick));
	uv_timer_init(&gateway->loop, turns->tick);
	turns->tick->data = turns;
	uv_timer_start(turns->tick, handle_tick, TICK_MS, TICK_MS);
	return turns;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
turns_destroy(struct turns *turns)
{
	if (turns->owners != NULL)
		store_cancel(turns->owners);
	list_for_each_safe (report, tmp, &turns->reports, struct report, link)
		report_free(report);
	history_destroy(turns->history);
	uv_close((uv_handle_t *)turns->tick, handle_timer_closed);
	free(turns);
}
