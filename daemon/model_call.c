/* Model calls. The owner admits a call, the scheduler queues it, an attempt
 * sends it to an engine and relays the text to the caller, and the owner
 * records the turn. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/attempt.h"
#include "daemon/call.h"
#include "daemon/chat_reply.h"
#include "daemon/controller.h"

enum {
	/** Longest time that a response waits for its record; after that it is
	 * sent with "durable": false. */
	DURABLE_WAIT_US = 2 * US_PER_S,
	/** Disconnects of a server within this time count as one crash. */
	CRASH_WINDOW_US = 10 * US_PER_S,
};

void
model_call_free(struct call *call)
{
	struct model_call *model = &call->model;

	if (model->attempt != NULL)
		attempt_cancel(model->attempt);
	free(model->messages);
	buf_reset(&model->prompt);
	buf_reset(&model->completion);
	json_decref(model->tool_calls);
	json_decref(model->resend);
}

/* Returns an upper bound of the tokens that the call can cost. A token is at
 * least one byte. */
static uint64_t
max_cost_tokens(const struct model_call *model)
{
	return strlen(model->messages) + model->max_tokens;
}

/* Returns the tokens to charge so far: the new part of the prompt and the
 * completion. */
static uint64_t
spent_tokens(const struct call *call)
{
	const struct model_call *model = &call->model;
	uint64_t new_prompt_tokens =
	    model->prompt_tokens > model->history_tokens
	    ? model->prompt_tokens - model->history_tokens
	    : 0;
	uint64_t tokens = new_prompt_tokens + model->completion_tokens;
	uint64_t max_cost = max_cost_tokens(model);

	return tokens < max_cost ? tokens : max_cost;
}

static void
append_items(struct buf *prompt, const void *items, size_t len)
{
	if (len == 0)
		return;
	if (prompt->len > 0)
		buf_append_text(prompt, ",");
	buf_append(prompt, items, len);
}

/* Joins the history and the new messages. The pieces of the history are JSON
 * arrays, whose brackets are dropped. */
static void
build_prompt(struct call *call, const struct owner_result *result)
{
	struct model_call *model = &call->model;

	buf_reset(&model->prompt);
	for (size_t i = 0; i < result->history_count; i++) {
		const struct wire_bytes *piece = &result->history[i];

		if (piece->len >= 2)
			append_items(
			    &model->prompt, piece->data + 1, piece->len - 2);
	}
	append_items(&model->prompt, model->messages, strlen(model->messages));
	model->history_tokens = result->history_tokens;
	model->fingerprint =
	    hash_bytes(model->prompt.data, model->prompt.len, 0);
}

/* Queues the call at the scheduler, or refuses it. */
static void
submit_to_scheduler(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct model_call *model = &call->model;
	enum refusal reason = REFUSAL_OVERLOADED;
	struct sched_request request = {
	    .call_id = call->id,
	    .fingerprint = hash_bytes(model->prompt.data, model->prompt.len, 0),
	    .turn = call->turn,
	    .history_tokens = model->history_tokens,
	    .new_tokens = model->new_tokens,
	    .max_tokens = model->max_tokens,
	    .program_begun_us = call->started_us,
	    .deadline_us = call->deadline_us,
	    .urgent = call->urgent,
	};

	snprintf(request.program, sizeof(request.program), "%s", call->program);
	snprintf(request.workspace, sizeof(request.workspace), "%s",
	    call->workspace);
	snprintf(request.model, sizeof(request.model), "%s", model->model);
	snprintf(
	    request.adapter, sizeof(request.adapter), "%s", model->adapter);
	call->state = CALL_WAITING;
	if (owner_quarantined(daemon->owner, request.fingerprint)) {
		owner_call_abandon(daemon->owner, call->id, call->model.server,
		    0, daemon->blackboard.now_us);
		call_refuse(call, REFUSAL_QUARANTINED, EXECUTION_NOT_STARTED,
		    "servers died while they ran this request");
		return;
	}
	if (sched_submit(daemon->sched, &request, daemon->blackboard.now_us,
		&reason) == SCHED_QUEUED)
		return;
	owner_call_abandon(daemon->owner, call->id, call->model.server, 0,
	    daemon->blackboard.now_us);
	call_refuse(call, reason, EXECUTION_NOT_STARTED, NULL);
}

/* Responds to a repeated call with the recorded turn. */
static void
respond_recorded(struct call *call, const struct owner_result *result)
{
	call->turn = result->turn;
	call->digest = result->digest;
	chat_reply_recorded(call, &result->recorded_response, result->durable);
	call_destroy(call);
}

/* Returns the turns that the caller sent again, in case the log lacks them. The
 * array borrows its contents; the calling function frees it. */
static struct owner_resend *
build_resend(json_t *turns)
{
	struct owner_resend *resend =
	    xcalloc(json_array_size(turns) + 1, sizeof(*resend));
	size_t index;
	json_t *turn;

	json_array_foreach (turns, index, turn) {
		struct owner_resend *item = &resend[index];
		json_t *content = json_object_get(turn, "content");

		item->tool = json_is_true(json_object_get(turn, "tool"));
		item->key = json_string_value(json_object_get(turn, "key"));
		digest_parse(
		    json_string_value(json_object_get(turn, "arguments")),
		    &item->arguments);
		item->prompt_tokens = (uint64_t)json_integer_value(
		    json_object_get(turn, "prompt_tokens"));
		item->content.data =
		    (const uint8_t *)json_string_value(content);
		item->content.len = json_string_length(content);
	}
	return resend;
}

struct digest
model_call_arguments_digest(const struct call *call)
{
	return digest_chain(
	    NULL, call->model.messages, strlen(call->model.messages));
}

void
model_call_begin(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct owner_result result = {0};
	struct owner_resend *resend = build_resend(call->model.resend);
	enum owner_decision decision;
	const struct owner_call request = {
	    .resend = resend,
	    .resend_count = json_array_size(call->model.resend),
	    .kind = OWNER_CALL_MODEL,
	    .program = call->program,
	    .workspace = call->workspace,
	    .key = call->key,
	    .tool = "",
	    .turn = call->turn,
	    .digest = call->has_digest ? &call->digest : NULL,
	    .arguments = model_call_arguments_digest(call),
	    .cost_tokens = max_cost_tokens(&call->model),
	    .wall_us = clock_wall_us(),
	};

	call->state = CALL_ADMITTING;
	decision = owner_call_admit(daemon->owner, call->id, &request,
	    daemon->blackboard.now_us, &result);
	free(resend);
	if (!call_handle_decision(call, decision, &result))
		return;
	if (decision == OWNER_REPLAY) {
		respond_recorded(call, &result);
		return;
	}
	call->turn = result.turn + 1;
	build_prompt(call, &result);
	submit_to_scheduler(call);
}

static void
handle_text(void *context, const char *text)
{
	struct call *call = context;
	struct model_call *model = &call->model;
	struct counters *counters = &call->daemon->blackboard.counters;
	int64_t now_us = clock_monotonic_us();

	if (model->completion.len == 0) {
		sched_handle_first_token(
		    call->daemon->sched, call->id, model->server, now_us);
		histogram_add(
		    &counters->first_token_us, now_us - call->started_us);
	} else {
		histogram_add(
		    &counters->inter_token_us, now_us - model->last_token_us);
	}
	model->last_token_us = now_us;
	model->completion_tokens++;
	counters->tokens_relayed_total++;
	buf_append_text(&model->completion, text);
	chat_reply_text(call, text);
}

static void
handle_tool_calls(void *context, json_t *tool_calls)
{
	struct call *call = context;

	json_decref(call->model.tool_calls);
	call->model.tool_calls = json_incref(tool_calls);
}

/* Records the turn of a complete response. */
static void
record_turn(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct model_call *model = &call->model;
	struct buf content = {0};
	struct owner_turn_end end = {
	    .server = model->server,
	    .spent_tokens = spent_tokens(call),
	    .prompt_tokens = model->prompt_tokens + model->completion_tokens,
	};

	chat_reply_content(call, &content);
	end.content.data = content.data;
	end.content.len = content.len;
	call->state = CALL_RECORDING;
	call->recording_started_us = daemon->blackboard.now_us;
	call->digest = owner_turn_end(
	    daemon->owner, call->id, &end, daemon->blackboard.now_us);
	buf_reset(&content);
}

/* Returns the name of the first tool that the model called, or "". */
static const char *
requested_tool(const struct model_call *model)
{
	json_t *first = json_array_get(model->tool_calls, 0);
	const char *name = json_string_value(
	    json_object_get(json_object_get(first, "function"), "name"));

	return name != NULL ? name : "";
}

/* Tells the scheduler that the program pauses until its next call, and releases
 * its KV cache unless the scheduler keeps it. */
static void
begin_pause(struct call *call)
{
	struct daemon *daemon = call->daemon;

	if (sched_handle_pause_begin(daemon->sched, call->program,
		call->workspace, requested_tool(&call->model),
		daemon->blackboard.now_us) != SCHED_CACHE_ACTION_KEEP)
		server_controller_drop_kv(
		    daemon->server, call->model.server, call->program);
}

/* Refuses a call after its last attempt. */
static void
give_up(struct call *call, enum refusal reason)
{
	struct daemon *daemon = call->daemon;
	bool has_text = call->model.completion_tokens > 0;

	owner_call_abandon(daemon->owner, call->id, call->model.server,
	    spent_tokens(call), daemon->blackboard.now_us);
	call_refuse(call, reason,
	    has_text ? EXECUTION_FINISHED : EXECUTION_NOT_STARTED,
	    "the turn was not recorded; send it again");
}

static void
give_up_quarantined(struct call *call)
{
	sched_cancel(
	    call->daemon->sched, call->id, call->daemon->blackboard.now_us);
	give_up(call, REFUSAL_QUARANTINED);
}

/* Returns the number of requests of this VM that the server runs. */
static uint32_t
count_running(const struct daemon *daemon, const char *server)
{
	struct call *call;
	struct call *next;
	uint32_t count = 0;

	HASH_ITER (hh, daemon->calls, call, next) {
		if (call->kind == CALL_MODEL && call->state == CALL_RUNNING &&
		    strcmp(call->model.server, server) == 0)
			count++;
	}
	return count;
}

/* Reports that the server may have crashed because of this request. The
 * incident identifier is a hash of server and time window, so that all requests
 * that the same crash ended, on any VM, report the same incident. */
static void
report_crash(struct call *call)
{
	struct daemon *daemon = call->daemon;
	const struct model_call *model = &call->model;
	int64_t wall_us = clock_wall_us();
	uint64_t incident =
	    hash_text(model->server, (uint64_t)(wall_us / CRASH_WINDOW_US));

	owner_report_crash(daemon->owner, model->server, call->workspace,
	    model->fingerprint, incident, count_running(daemon, model->server),
	    wall_us, daemon->blackboard.now_us);
}

/* Handles the end of an attempt. The number of tokens that a failed attempt
 * used is not known exactly; the received pieces of text are counted. */
static void
handle_attempt_end(void *context, enum sched_result result, int status,
    const char *finish_reason, const struct attempt_usage *usage)
{
	struct call *call = context;
	struct daemon *daemon = call->daemon;
	struct model_call *model = &call->model;
	struct diag_context log_context = call_context(call);
	enum refusal reason = REFUSAL_SERVER_FAILED;
	enum sched_retry_decision decision;

	model->attempt = NULL;
	daemon->blackboard.now_us = clock_monotonic_us();
	if (result == SCHED_DISCONNECTED)
		report_crash(call);
	if (result == SCHED_DONE) {
		model->prompt_tokens = usage->prompt_tokens;
		model->cached_tokens = usage->cached_tokens;
	}
	decision =
	    sched_handle_attempt_end(daemon->sched, call->id, model->server,
		result, model->prompt_tokens + model->completion_tokens,
		model->cached_tokens, daemon->blackboard.now_us, &reason);
	if (result == SCHED_DONE) {
		snprintf(model->finish_reason, sizeof(model->finish_reason),
		    "%s", finish_reason);
		record_turn(call);
		begin_pause(call);
		return;
	}
	diag(LOG_NOTICE, &log_context,
	    "attempt at %s failed (result %d, status %d)", model->server,
	    result, status);
	if (decision == SCHED_GIVE_UP)
		give_up(call, reason);
	else if (owner_quarantined(daemon->owner, model->fingerprint))
		give_up_quarantined(call);
	else
		call->state = CALL_WAITING;
}

void
model_call_dispatch(struct call *call, const struct sched_dispatch *dispatch)
{
	struct daemon *daemon = call->daemon;
	struct model_call *model = &call->model;
	const struct config *config = daemon->blackboard.config.current;
	char id[2 * NAME_BYTES];
	const struct attempt_callbacks callbacks = {
	    .on_text = handle_text,
	    .on_tool_calls = handle_tool_calls,
	    .on_end = handle_attempt_end,
	    .context = call,
	};
	struct attempt_params params = {
	    .server = config_find_server(config, dispatch->server),
	    .id = id,
	    .program = call->program,
	    .model = model->model,
	    .adapter = model->adapter,
	    .prompt = &model->prompt,
	    .partial = buf_text(&model->completion),
	    .max_tokens = model->max_tokens > model->completion_tokens
		? model->max_tokens - model->completion_tokens
		: 1,
	    .priority = dispatch->priority,
	    .idle_timeout_us = config->limits.call_timeout_us,
	};

	snprintf(model->server, sizeof(model->server), "%s", dispatch->server);
	if (params.server == NULL) {
		enum refusal reason = REFUSAL_NO_SERVER;

		if (sched_handle_attempt_end(daemon->sched, call->id,
			dispatch->server, SCHED_NOT_STARTED, 0, 0,
			daemon->blackboard.now_us, &reason) == SCHED_GIVE_UP)
			give_up(call, reason);
		return;
	}
	snprintf(id, sizeof(id), "%s-%u", call->request_id, dispatch->attempt);
	call->state = CALL_RUNNING;
	model->attempt = attempt_start(daemon->net, &params, &callbacks);
}

void
model_call_event(struct call *call, const struct owner_event *event)
{
	switch (event->type) {
	case OWNER_RETRY_ADMIT:
	case OWNER_HISTORY_READY:
		model_call_begin(call);
		break;
	case OWNER_TURN_DURABLE:
		chat_reply_end(call, true);
		call_destroy(call);
		break;
	case OWNER_NOT_DURABLE:
		chat_reply_end(call, false);
		call_destroy(call);
		break;
	case OWNER_REFUSED:
		call_refuse(call, event->reason, event->execution, NULL);
		break;
	default:
		break;
	}
}

void
model_call_check_durable_timeout(struct call *call, int64_t now_us)
{
	if (call->state == CALL_RECORDING && call->exchange != NULL &&
	    now_us - call->recording_started_us > DURABLE_WAIT_US)
		chat_reply_end(call, false);
}

/* Abandons the call, unless its turn is being recorded already. */
void
model_call_caller_gone(struct call *call)
{
	struct daemon *daemon = call->daemon;
	int64_t now_us = daemon->blackboard.now_us;

	if (call->state == CALL_RECORDING)
		return;
	if (call->state == CALL_ADMITTING)
		owner_call_detach(daemon->owner, call->id, now_us);
	else
		sched_cancel(daemon->sched, call->id, now_us);
	owner_call_abandon(daemon->owner, call->id, call->model.server,
	    spent_tokens(call), now_us);
	call_destroy(call);
}
