#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "gateway/recorder.h"
#include "gateway/turn_internal.h"
#include "gateway/workspaces.h"

enum {
	HISTORY_CACHE_BYTES = 2 << 20,
	/* Limits on the time for the grant and the history: a fixed one, and
	 * the time until the deadline divided by PREPARE_TIME_DIVISOR. */
	PREPARE_MAX_US = 1500 * US_PER_MS,
	PREPARE_TIME_DIVISOR = 4,
	/* About the duration of a takeover. */
	RETRY_AFTER_OWNER_US = 300 * US_PER_MS,
	STORE_CHECK_INTERVAL_US = 50 * US_PER_MS,
	/* A turn that needs the store while it is away is refused within a
	 * quarter of its route's latency target. Half of that is left for the
	 * response's way. */
	STORE_WAIT_DIVISOR = 8,
	/* Outages of the store last for seconds. Callers follow a Retry-After
	 * of at most a third of the time that they have left, which they count
	 * when the response arrives. */
	RETRY_AFTER_STORE_DIVISOR = 3,
	RESPONSE_WAY_US = 50 * US_PER_MS,
	/* New turns to be retained wait when the store has taken no appends for
	 * longer than this: their records could not be made durable. */
	STORE_UNREACHABLE_US = 400 * US_PER_MS,
};

struct turns *
turns_of(const struct turn *turn)
{
	return turn->request->gateway->turns;
}

uint32_t
turn_partition_of(const struct gateway *gateway, const char *program)
{
	return (uint32_t)(hash_text(program, 0) %
	    (uint64_t)gateway->settings.gateway_partitions);
}

void
turn_schedule_timeout(struct turn *turn, int64_t wait_us)
{
	int64_t now_us = clock_monotonic_us();
	int64_t wake_us;

	turn->retry_us = now_us + wait_us;
	wake_us = turn->retry_us < turn->prepare_deadline_us
	    ? turn->retry_us
	    : turn->prepare_deadline_us;
	if (now_us < turn->store_deadline_us &&
	    turn->store_deadline_us < wake_us)
		wake_us = turn->store_deadline_us;
	request_wake_at(turn->request, wake_us);
}

uint64_t
turn_tokens_spent(const struct request *request)
{
	const struct service *service =
	    gateway_config_find_service(request->config, request->service);
	uint64_t tokens_per_event =
	    service != NULL ? service->tokens_per_event : 1;

	return request->events.event_count * tokens_per_event;
}

struct turn *
turns_find(const struct turns *turns, const char *id)
{
	struct turn *turn;

	HASH_FIND_STR(turns->by_id, id, turn);
	return turn;
}

void
turn_dispatch(struct turn *turn)
{
	struct request *request = turn->request;

	turn->state = TURN_RUNNING;
	request_dispatch(request);
}

/* Returns whether the turn has to wait for the store. While the store takes no
 * appends, a turn to be retained could run, but its response could not end.
 * While no gateway has a lease, none grants a turn. */
static bool
turn_must_wait_for_store(const struct turn *turn)
{
	int64_t unreachable_since_us =
	    recorder_unreachable_since_us(turn->request->gateway->recorder);

	if (turn->request->route->retained && unreachable_since_us != 0 &&
	    clock_monotonic_us() - unreachable_since_us > STORE_UNREACHABLE_US)
		return true;
	return turns_lack_owners(turns_of(turn));
}

static int64_t
store_retry_us(const struct request *request)
{
	const struct attributes *attributes = &request->attributes;
	int64_t until_us = attributes->has_timeout
	    ? request->received_us + attributes->timeout_us
	    : request->deadline_us;
	int64_t left_us = until_us - clock_monotonic_us() - RESPONSE_WAY_US;

	return left_us > 0 ? left_us / RETRY_AFTER_STORE_DIVISOR : 0;
}

static void
turn_refuse_without_store(struct turn *turn)
{
	turn_refuse(
	    turn, REFUSAL_LOG_UNAVAILABLE, store_retry_us(turn->request));
}

static void
turn_wait_for_store(struct turn *turn)
{
	turn->state = TURN_WAITING_STORE;
	turn_schedule_timeout(turn, STORE_CHECK_INTERVAL_US);
}

void
turn_begin(struct request *request)
{
	struct gateway *gateway = request->gateway;
	const struct attributes *attributes = &request->attributes;
	struct turn *turn = xcalloc(1, sizeof(*turn));
	int64_t now_us = clock_monotonic_us();
	int64_t prepare_us =
	    (request->deadline_us - now_us) / PREPARE_TIME_DIVISOR;
	struct turn_ref chain[TURN_CHAIN_MAX];
	size_t chain_count = 0;

	request->turn = turn;
	turn->request = request;
	turn->state = TURN_REPORTED; /* nothing to report yet */
	workspace_scope_id(
	    request->workspace, attributes->request_id, turn->id);
	workspace_scope_id(
	    request->workspace, attributes->program, turn->program);
	if (attributes->previous_turn[0] != '\0')
		workspace_scope_id(request->workspace,
		    attributes->previous_turn, turn->previous);
	turn->partition = turn_partition_of(gateway, turn->program);
	turn->prepare_deadline_us = now_us +
	    (prepare_us < PREPARE_MAX_US ? prepare_us : PREPARE_MAX_US);
	turn->store_deadline_us = request->received_us +
	    request->route->latency_target_us / STORE_WAIT_DIVISOR;
	if (turns_find(gateway->turns, turn->id) != NULL) {
		request_refuse(request, REFUSAL_TURN_IN_PROGRESS, 0,
		    "the same request is under way");
		return;
	}
	HASH_ADD_STR(gateway->turns->by_id, id, turn);
	if (request->route->retained && turn->previous[0] != '\0')
		chain_count = history_chain(gateway->turns->history,
		    turn->previous, chain, TURN_CHAIN_MAX);
	if (chain_count > 0)
		turn_set_chain(turn, chain, chain_count);
	if (turn_must_wait_for_store(turn))
		turn_wait_for_store(turn);
	else
		turn_request_grant(turn);
}

static void
turn_refuse_timed_out(struct turn *turn)
{
	switch (turn->state) {
	case TURN_WAITING_STORE:
		turn_refuse_without_store(turn);
		return;
	case TURN_LOADING_HISTORY:
		turn_refuse(
		    turn, REFUSAL_HISTORY_UNAVAILABLE, RETRY_AFTER_OWNER_US);
		return;
	default:
		turn_refuse(
		    turn, REFUSAL_OWNER_UNREACHABLE, RETRY_AFTER_OWNER_US);
		return;
	}
}

void
turn_handle_timeout(struct request *request)
{
	struct turn *turn = request->turn;
	int64_t now_us = clock_monotonic_us();

	if (now_us >= turn->prepare_deadline_us) {
		turn_refuse_timed_out(turn);
		return;
	}
	if (now_us >= turn->store_deadline_us &&
	    turn_must_wait_for_store(turn)) {
		turn_refuse_without_store(turn);
		return;
	}
	if (now_us < turn->retry_us) {
		turn_schedule_timeout(turn, turn->retry_us - now_us);
		return;
	}
	switch (turn->state) {
	case TURN_WAITING_STORE:
		if (turn_must_wait_for_store(turn))
			turn_wait_for_store(turn);
		else
			turn_request_grant(turn);
		return;
	case TURN_REQUESTING_GRANT:
		/* Even if the owner has replied, it may have changed since. An
		 * owner that has restarted may not know this gateway. */
		turns_refresh_owners(turns_of(turn));
		if (turn->last_result == 0) /* no reply so far */
			turns_introduce_to_owner(
			    turns_of(turn), turn->partition);
		turn_request_grant(turn);
		return;
	case TURN_FINDING_PREVIOUS:
		turns_refresh_owners(turns_of(turn));
		turn_find_previous(turn);
		return;
	case TURN_LOADING_HISTORY:
		turn_read_history(turn);
		return;
	case TURN_RUNNING:
	case TURN_COMMITTING:
	case TURN_REPORTED:
		return;
	}
}

const char *
turn_cache_server(const struct request *request)
{
	return request->turn != NULL ? request->turn->cache_server : "";
}

const char *
turn_wait_reason(const struct request *request)
{
	static const char *const names[] = {
	    [TURN_WAITING_STORE] = "store",
	    [TURN_REQUESTING_GRANT] = "owner",
	    [TURN_FINDING_PREVIOUS] = "previous_turn",
	    [TURN_LOADING_HISTORY] = "history",
	    [TURN_RUNNING] = "server",
	    [TURN_COMMITTING] = "record",
	    [TURN_REPORTED] = NULL,
	};

	return request->turn != NULL ? names[request->turn->state] : NULL;
}

static void
handle_record_appended(void *context, bool ok, uint64_t offset)
{
	struct turn *turn = context;
	struct request *request = turn->request;
	uint32_t bytes = request->record_bytes;

	turn->pending_record = NULL;
	if (!ok) {
		request_fail(
		    request, REFUSAL_LOG_UNAVAILABLE, "turn can't be kept");
		return;
	}
	turn_cache_history(turn, offset, bytes);
	turn_report_retained(turn, offset, bytes);
	turn->state = TURN_REPORTED;
	histogram_add(&request->gateway->counters.durable_us,
	    clock_monotonic_us() - request->body_ended_us);
	request->gateway->counters.turns_total++;
	request_complete(request);
}

struct turn_content
turn_content_of(const struct turn *turn)
{
	const struct request *request = turn->request;
	const struct buf *input =
	    turn->chain_count > 0 ? &turn->input : &request->body;
	const struct buf *output = &request->events.data;

	return (struct turn_content){
	    .input = {.data = input->data, .len = input->len},
	    .output = {.data = output->data, .len = output->len},
	};
}

/* Fills in all of the turn's record but its content. */
static void
fill_record(const struct turn *turn, struct turn_record *record)
{
	const struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;

	*record = (struct turn_record){
	    .type = TURN_RECORD_RETAINED,
	    .epoch = turn->epoch,
	    .spent = turn_tokens_spent(request),
	    .max_tokens = attributes->max_tokens,
	    .budget = attributes->budget_tokens,
	    .ancestors = turn->chain,
	    .ancestor_count = turn->chain_count,
	};
	memcpy(record->turn, turn->id, NAME_BYTES);
	memcpy(record->program, turn->program, NAME_BYTES);
	memcpy(record->previous, turn->previous, NAME_BYTES);
	snprintf(record->vm, NAME_BYTES, "%.63s",
	    request->gateway->settings.vm_name);
	memcpy(record->server, request->last_backend, NAME_BYTES);
}

static void
turn_append_encoded(struct turn *turn, struct buf *encoded)
{
	struct request *request = turn->request;

	request->record_bytes = (uint32_t)encoded->len;
	turn->pending_record =
	    recorder_append(request->gateway->recorder, RECORDER_TURNS,
		turn->partition, encoded, handle_record_appended, turn);
}

static void
turn_append_record(struct turn *turn)
{
	const struct turn_content content = turn_content_of(turn);
	size_t record_max =
	    turn->request->gateway->settings.gateway_record_max_bytes;
	struct turn_record record;
	struct buf encoded = {0};

	turn->state = TURN_COMMITTING;
	if (content.input.len + content.output.len < record_max) {
		fill_record(turn, &record);
		record.input = content.input;
		record.output = content.output;
		turn_record_encode(&record, &encoded);
		if (encoded.len <= record_max) {
			turn_append_encoded(turn, &encoded);
			return;
		}
		buf_reset(&encoded);
	}
	turn_append_content(turn);
}

void
turn_append_record_in_parts(struct turn *turn)
{
	struct turn_part *parts = xcalloc(turn->part_count, sizeof(*parts));
	struct turn_record record;
	struct buf encoded = {0};

	for (size_t i = 0; i < turn->part_count; i++)
		parts[i] = turn->parts[i].location;
	fill_record(turn, &record);
	record.type = TURN_RECORD_RETAINED_IN_PARTS;
	record.parts = parts;
	record.part_count = turn->part_count;
	record.input_bytes = turn_content_of(turn).input.len;
	turn_record_encode(&record, &encoded);
	free(parts);
	turn->request->gateway->counters.turns_in_parts_total++;
	turn_append_encoded(turn, &encoded);
}

void
turn_commit(struct request *request)
{
	struct turn *turn = request->turn;

	if (request->route->retained && request->status / 100 == 2) {
		turn_append_record(turn);
		return;
	}
	turn_report_spent(turn, turn_tokens_spent(request));
	turn->state = TURN_REPORTED;
	request_complete(request);
}

void
turn_destroy(struct request *request)
{
	struct turn *turn = request->turn;
	struct turns *turns = request->gateway->turns;

	request->turn = NULL;
	if (turn->pending_record != NULL)
		recorder_detach(turn->pending_record);
	/* The owner may have granted the turn although its reply has not
	 * arrived. In that case it must learn of the turn's end. */
	if (turn->state != TURN_REPORTED && turn->state != TURN_WAITING_STORE)
		turn_report_spent(turn, turn_tokens_spent(request));
	if (turns_find(turns, turn->id) == turn)
		HASH_DEL(turns->by_id, turn);
	turn_drop_parts(turn);
	turn_drop_history(turn);
	free(turn->chain);
	buf_reset(&turn->input);
	free(turn);
}

void
turns_handle_message(struct turns *turns, const struct message *message)
{
	switch (message->type) {
	case MESSAGE_TURN_BEGIN_REPLY:
		turns_handle_begin_reply(turns, message);
		return;
	case MESSAGE_TURN_FIND_REPLY:
		turns_handle_find_reply(turns, message);
		return;
	case MESSAGE_TURN_END_REPLY:
		turns_handle_end_reply(turns, message);
		return;
	case MESSAGE_HISTORY_GET:
		turns_handle_history_get(turns, message);
		return;
	case MESSAGE_HISTORY:
		turns_handle_history(turns, message);
		return;
	default:
		return;
	}
}

struct turns *
turns_create(struct gateway *gateway)
{
	struct turns *turns = xcalloc(1, sizeof(*turns));

	turns->gateway = gateway;
	turns->history = history_create(HISTORY_CACHE_BYTES);
	list_init(&turns->pending_reports);
	turns->report_timer = xcalloc(1, sizeof(*turns->report_timer));
	uv_timer_init(&gateway->loop, turns->report_timer);
	turns->report_timer->data = turns;
	turns_start_reports(turns);
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
	if (turns->owners_call != NULL)
		store_cancel(turns->owners_call);
	turns_discard_reports(turns);
	history_destroy(turns->history);
	uv_close((uv_handle_t *)turns->report_timer, handle_timer_closed);
	free(turns);
}
