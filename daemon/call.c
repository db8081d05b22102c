#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/call.h"
#include "daemon/redirect.h"

struct diag_context
call_context(const struct call *call)
{
	return (struct diag_context){
	    .program = call->program[0] != '\0' ? call->program : NULL,
	    .request = call->request_id,
	    .config_version = call->daemon->blackboard.config.version,
	};
}

/* Called when the caller closes its connection before the response. */
static void
handle_caller_gone(void *context)
{
	struct call *call = context;

	call->exchange = NULL;
	if (call->state == CALL_AWAITING_OWNER) {
		call_destroy(call);
		return;
	}
	switch (call->kind) {
	case CALL_MODEL:
		model_call_caller_gone(call);
		break;
	case CALL_TOOL:
	case CALL_SERVICE:
		service_call_caller_gone(call);
		break;
	default:
		break;
	}
}

struct call *
call_create(struct daemon *daemon, enum call_kind kind,
    struct http_exchange *exchange, const struct http_request *request)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->id = ++daemon->blackboard.next_call_id;
	call->daemon = daemon;
	call->kind = kind;
	call->exchange = exchange;
	snprintf(call->path, sizeof(call->path), "%s", request->path);
	call->started_us = daemon->blackboard.now_us;
	call->deadline_us = INT64_MAX;
	snprintf(call->request_id, sizeof(call->request_id), "%.32s-%" PRIu64,
	    daemon->settings.vm_name, call->id);
	http_exchange_on_close(exchange, handle_caller_gone, call);
	HASH_ADD(hh, daemon->calls, id, sizeof(call->id), call);
	return call;
}

void
call_destroy(struct call *call)
{
	switch (call->kind) {
	case CALL_MODEL:
		model_call_free(call);
		break;
	case CALL_TOOL:
	case CALL_SERVICE:
		service_call_free(call);
		break;
	default:
		break;
	}
	HASH_DEL(call->daemon->calls, call);
	free(call);
}

struct call *
daemon_find_call(struct daemon *daemon, call_id id)
{
	struct call *call;

	HASH_FIND(hh, daemon->calls, &id, sizeof(id), call);
	return call;
}

void
respond_json(struct http_exchange *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_respond(
	    exchange, status, "application/json", NULL, text, strlen(text));
	free(text);
	json_decref(body);
}

static json_t *
error_body(enum refusal reason, enum execution_state execution,
    const char *detail, const char *request)
{
	int retry_after_s = refusal_retry_after_s(reason);
	json_t *error = json_pack("{s:s, s:s}", "reason", refusal_name(reason),
	    "run", execution_state_name(execution));

	if (detail != NULL)
		json_object_set_new(error, "detail", json_string(detail));
	if (request != NULL)
		json_object_set_new(error, "request", json_string(request));
	if (retry_after_s > 0)
		json_object_set_new(
		    error, "retry_after_s", json_integer(retry_after_s));
	return json_pack("{s:o}", "error", error);
}

static void
respond_error(struct http_exchange *exchange, enum refusal reason,
    enum execution_state execution, const char *detail, const char *request)
{
	json_t *body = error_body(reason, execution, detail, request);
	char *text = json_dumps(body, JSON_COMPACT);
	char retry_after[16];
	struct http_header headers[] = {
	    {"retry-after", retry_after},
	    {NULL, NULL},
	};

	snprintf(retry_after, sizeof(retry_after), "%d",
	    refusal_retry_after_s(reason));
	http_respond(exchange, refusal_http_status(reason), "application/json",
	    refusal_retry_after_s(reason) > 0 ? headers : NULL, text,
	    strlen(text));
	free(text);
	json_decref(body);
}

void
refuse_exchange(struct daemon *daemon, struct http_exchange *exchange,
    enum refusal reason, const char *detail)
{
	daemon->blackboard.counters.refusals[reason]++;
	respond_error(exchange, reason, EXECUTION_NOT_STARTED, detail, NULL);
}

/* Sends the error as the last event of a stream that has begun. */
static void
stream_error(struct call *call, enum refusal reason,
    enum execution_state execution, const char *detail)
{
	json_t *body = error_body(reason, execution, detail, call->request_id);
	char *text = json_dumps(body, JSON_COMPACT);
	struct buf event = {0};

	buf_printf(&event, "data: %s\n\n", text);
	if (http_stream_write(call->exchange, event.data, event.len))
		http_stream_end(call->exchange);
	else
		http_abort(call->exchange);
	buf_reset(&event);
	free(text);
	json_decref(body);
}

void
call_send_refusal(struct call *call, enum refusal reason,
    enum execution_state execution, const char *detail)
{
	struct diag_context context = call_context(call);

	call->daemon->blackboard.counters.refusals[reason]++;
	diag(LOG_INFO, &context, "refused: %s (%s)", refusal_name(reason),
	    execution_state_name(execution));
	if (call->exchange != NULL) {
		if (call->streaming)
			stream_error(call, reason, execution, detail);
		else
			respond_error(call->exchange, reason, execution, detail,
			    call->request_id);
	}
	call->exchange = NULL;
}

void
call_refuse(struct call *call, enum refusal reason,
    enum execution_state execution, const char *detail)
{
	call_send_refusal(call, reason, execution, detail);
	call_destroy(call);
}

void
call_respond(struct call *call, int status, json_t *body)
{
	struct counters *counters = &call->daemon->blackboard.counters;

	counters->responses_total++;
	histogram_add(&counters->request_us,
	    call->daemon->blackboard.now_us - call->started_us);
	if (call->exchange != NULL)
		respond_json(call->exchange, status, body);
	else
		json_decref(body);
	call_destroy(call);
}

static void
send_redirect(struct call *call, const char *address)
{
	char location[2 * HTTP_PATH_BYTES];
	char *text;
	json_t *body;
	const struct http_header headers[] = {
	    {"location", location},
	    {NULL, NULL},
	};

	call->daemon->blackboard.counters.refusals[REFUSAL_NOT_OWNER]++;
	snprintf(location, sizeof(location), "%s://%s%s",
	    call->daemon->settings.tls_certificate[0] != '\0' ? "https"
							      : "http",
	    address, call->path);
	body = error_body(REFUSAL_NOT_OWNER, EXECUTION_NOT_STARTED,
	    "ask the owner", call->request_id);
	json_object_set_new(
	    json_object_get(body, "error"), "owner", json_string(address));
	text = json_dumps(body, JSON_COMPACT);
	http_respond(call->exchange, 307, "application/json", headers, text,
	    strlen(text));
	free(text);
	json_decref(body);
	call_destroy(call);
}

/* Makes the call wait until the shard's next owner is known. */
static void
await_owner(struct call *call, uint32_t shard)
{
	const struct diag_context context = call_context(call);

	if (call->state == CALL_AWAITING_OWNER)
		return;
	diag(LOG_INFO, &context,
	    "shard %u changes its owner; the request waits for it", shard);
	call->state = CALL_AWAITING_OWNER;
	call->shard = shard;
	call->awaiting_since_us = call->daemon->blackboard.now_us;
}

void
call_redirect(struct call *call, uint32_t shard)
{
	struct daemon *daemon = call->daemon;
	int64_t now_us = daemon->blackboard.now_us;
	int64_t waited_us = call->state == CALL_AWAITING_OWNER
	    ? now_us - call->awaiting_since_us
	    : 0;
	const struct redirect_view view = {
	    .vm = daemon->settings.vm_name,
	    .address = daemon->address,
	    .ownership = owner_shard_ownership(daemon->owner, shard),
	    .members = &daemon->blackboard.members,
	};
	char address[2 * NAME_BYTES] = "";
	enum redirect_target target = redirect_choose(
	    &view, shard, waited_us, now_us, address, sizeof(address));

	if (call->exchange != NULL && target == REDIRECT_WAIT)
		await_owner(call, shard);
	else if (call->exchange != NULL && target != REDIRECT_NONE)
		send_redirect(call, address);
	else
		call_refuse(call, REFUSAL_RECOVERING, EXECUTION_NOT_STARTED,
		    "the program's owner is not known yet");
}

void
redirect_waiting_calls(struct daemon *daemon)
{
	struct call *call;
	struct call *next;

	HASH_ITER (hh, daemon->calls, call, next) {
		if (call->state == CALL_AWAITING_OWNER)
			call_redirect(call, call->shard);
	}
}

bool
call_handle_decision(struct call *call, enum owner_decision decision,
    const struct owner_result *result)
{
	switch (decision) {
	case OWNER_OK:
	case OWNER_REPLAY:
		return true;
	case OWNER_WAIT:
	case OWNER_FETCHING_HISTORY:
		return false;
	case OWNER_NOT_OWNER:
		call_redirect(call, result->shard);
		return false;
	case OWNER_REFUSE:
		break;
	}
	call_refuse(call, result->reason, result->execution, NULL);
	return false;
}
