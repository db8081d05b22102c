/* Tool calls and plain-service calls. A non-idempotent call is sent only after
 * its intent is durable, and at most once. */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "daemon/call.h"

enum {
	MAX_RESPONSE_BYTES = 1 << 20,
};

void
service_call_free(struct call *call)
{
	if (call->service.http != NULL)
		http_call_cancel(call->service.http);
	buf_reset(&call->service.body);
	buf_reset(&call->service.response);
}

/* Responds with the service's response and frees the call. */
static void
respond(struct call *call, int status, const void *body, size_t len)
{
	struct counters *counters = &call->daemon->blackboard.counters;
	const struct http_header headers[] = {
	    {"x-guavakeel-run", "ran"},
	    {"x-guavakeel-request", call->request_id},
	    {NULL, NULL},
	};

	counters->responses_total++;
	histogram_add(&counters->request_us,
	    call->daemon->blackboard.now_us - call->started_us);
	if (call->exchange != NULL)
		http_respond(call->exchange, status, "application/json",
		    headers, body, len);
	call_destroy(call);
}

static void send_request(struct call *call);

/* Returns whether the end of the call is to be recorded by the owner. */
static bool
is_recorded(const struct call *call)
{
	return call->program[0] != '\0' && !call->skip_recording;
}

/* Responds to a repeatable call. If it has a program, its end is recorded
 * before. */
static void
finish_repeatable(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct service_call *service = &call->service;
	const struct owner_turn_end end = {.server = ""};

	if (!is_recorded(call)) {
		respond(call, service->status, service->response.data,
		    service->response.len);
		return;
	}
	call->state = CALL_RECORDING;
	call->recording_started_us = daemon->blackboard.now_us;
	owner_turn_end(
	    daemon->owner, call->id, &end, daemon->blackboard.now_us);
}

static void
fail_repeatable(struct call *call)
{
	struct daemon *daemon = call->daemon;

	if (is_recorded(call))
		owner_call_abandon(
		    daemon->owner, call->id, "", 0, daemon->blackboard.now_us);
	call_refuse(call, REFUSAL_SERVER_FAILED, EXECUTION_UNKNOWN,
	    "the service gave no answer; the call may be repeated");
}

/* Has the owner record the outcome of a non-idempotent call. */
static void
finish_non_idempotent(struct call *call, enum outcome outcome)
{
	struct daemon *daemon = call->daemon;
	struct service_call *service = &call->service;
	const struct wire_bytes recorded = {
	    .data = service->response.data,
	    .len = service->response.len,
	};

	service->outcome = outcome;
	call->state = CALL_RECORDING;
	call->recording_started_us = daemon->blackboard.now_us;
	owner_handle_outcome(daemon->owner, call->id, outcome,
	    (uint32_t)service->status, recorded, daemon->blackboard.now_us);
}

/* Sends the call to the next endpoint. Returns false if all were tried. */
static bool
try_next_endpoint(struct call *call)
{
	struct daemon *daemon = call->daemon;
	const struct config_service *service = config_find_service(
	    daemon->blackboard.config.current, call->service.service);

	if (service == NULL ||
	    ++call->service.endpoints_tried >= service->endpoint_count)
		return false;
	call->service.endpoint++;
	send_request(call);
	return true;
}

static void
log_failure(const struct call *call, const struct http_response *response)
{
	const struct diag_context context = {
	    .program = call->program,
	    .request = call->request_id,
	};

	diag(LOG_NOTICE, &context,
	    "call of %s failed: %s, status %d, %zu bytes",
	    call->service.service, http_result_name(response->result),
	    response->status, response->body_len);
}

static void
handle_response(void *context, const struct http_response *response)
{
	struct call *call = context;
	struct service_call *service = &call->service;
	struct counters *counters = &call->daemon->blackboard.counters;

	service->http = NULL;
	call->daemon->blackboard.now_us = clock_monotonic_us();
	service->status = response->status;
	if (response->result != HTTP_RESULT_OK)
		log_failure(call, response);
	buf_append(&service->response, response->body, response->body_len);
	if (response->result == HTTP_RESULT_CONNECT_FAILED) {
		counters->retries[RETRY_CONNECT_FAILED]++;
		/* Nothing was sent, so even a non-idempotent call may try
		 * another endpoint. */
		if (try_next_endpoint(call))
			return;
	}
	if (response->result == HTTP_RESULT_OK) {
		if (service->non_idempotent)
			finish_non_idempotent(call, OUTCOME_DONE);
		else
			finish_repeatable(call);
		return;
	}
	if (service->non_idempotent) {
		finish_non_idempotent(call,
		    response->result == HTTP_RESULT_CONNECT_FAILED
			? OUTCOME_NOT_RUN
			: OUTCOME_UNKNOWN);
		return;
	}
	counters->retries[response->result == HTTP_RESULT_TIMEOUT
		? RETRY_TIMEOUT
		: RETRY_SERVER_DISCONNECTED]++;
	if (!try_next_endpoint(call))
		fail_repeatable(call);
}

/* Returns the endpoint to use, skipping those that are leaving, or NULL. */
static const struct config_endpoint *
choose_endpoint(struct call *call)
{
	struct daemon *daemon = call->daemon;
	const struct config_service *service = config_find_service(
	    daemon->blackboard.config.current, call->service.service);

	if (service == NULL || service->endpoint_count == 0)
		return NULL;
	for (size_t i = 0; i < service->endpoint_count; i++) {
		size_t index =
		    (call->service.endpoint + i) % service->endpoint_count;

		if (!service->endpoints[index].leaving) {
			call->service.endpoint = index;
			return &service->endpoints[index];
		}
	}
	return NULL;
}

static void
refuse_without_endpoint(struct call *call)
{
	if (call->service.non_idempotent) {
		finish_non_idempotent(call, OUTCOME_NOT_RUN);
		return;
	}
	if (is_recorded(call))
		owner_call_abandon(call->daemon->owner, call->id, "", 0,
		    call->daemon->blackboard.now_us);
	call_refuse(call, REFUSAL_NO_SERVER, EXECUTION_NOT_STARTED, NULL);
}

static void
send_request(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct service_call *service = &call->service;
	const struct config_endpoint *endpoint = choose_endpoint(call);
	const struct http_header headers[] = {
	    {"content-type", "application/json"},
	    {"idempotency-key", call->key},
	    {"x-guavakeel-attempt", call->request_id},
	    {"x-guavakeel-program", call->program},
	    {NULL, NULL},
	};
	struct http_call_params params = {
	    .method = service->method,
	    .path = service->path,
	    .headers = headers,
	    .body = service->body.data,
	    .body_len = service->body.len,
	    .timeout_us = service->timeout_us,
	    .max_us = service->timeout_us,
	    .max_response_bytes = MAX_RESPONSE_BYTES,
	};

	if (endpoint == NULL) {
		refuse_without_endpoint(call);
		return;
	}
	params.address = endpoint->address;
	params.port = endpoint->port;
	call->state = CALL_RUNNING;
	service->response.len = 0;
	daemon->blackboard.counters.attempts_total++;
	service->http = http_fetch(daemon->net, &params, handle_response, call);
}

/* Responds to a repeated call with its recorded outcome. */
static void
respond_recorded(struct call *call, const struct owner_result *recorded)
{
	if (!call->service.non_idempotent) {
		/* The response was not recorded. The call is idempotent, so it
		 * is sent again. */
		call->skip_recording = true;
		send_request(call);
		return;
	}
	if (recorded->outcome == OUTCOME_DONE)
		respond(call, (int)recorded->recorded_status,
		    recorded->recorded_response.data,
		    recorded->recorded_response.len);
	else if (recorded->outcome == OUTCOME_NOT_RUN)
		call_refuse(call, REFUSAL_SERVER_FAILED, EXECUTION_NOT_STARTED,
		    "recorded");
	else
		call_refuse(call, REFUSAL_OUTCOME_UNKNOWN, EXECUTION_UNKNOWN,
		    "an operator can settle it");
}

void
service_call_begin(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct owner_result recorded = {0};
	enum owner_decision decision;
	const struct owner_call request = {
	    .kind = call->service.non_idempotent ? OWNER_CALL_NON_IDEMPOTENT
						 : OWNER_CALL_REPEATABLE,
	    .program = call->program,
	    .workspace = call->workspace,
	    .key = call->key,
	    .tool = call->service.tool,
	    .turn = call->turn,
	    .arguments = digest_chain(
		NULL, call->service.body.data, call->service.body.len),
	    .wall_us = clock_wall_us(),
	};

	call->state = CALL_ADMITTING;
	call->service.endpoint = (size_t)call->id;
	if (call->program[0] == '\0') {
		send_request(call);
		return;
	}
	decision = owner_call_admit(daemon->owner, call->id, &request,
	    daemon->blackboard.now_us, &recorded);
	if (!call_handle_decision(call, decision, &recorded))
		return;
	if (decision == OWNER_REPLAY)
		respond_recorded(call, &recorded);
	else
		send_request(call);
}

static void
respond_outcome(struct call *call)
{
	struct service_call *service = &call->service;

	switch (service->outcome) {
	case OUTCOME_DONE:
		respond(call, service->status, service->response.data,
		    service->response.len);
		break;
	case OUTCOME_NOT_RUN:
		call_refuse(
		    call, REFUSAL_NO_SERVER, EXECUTION_NOT_STARTED, NULL);
		break;
	default:
		call_refuse(call, REFUSAL_OUTCOME_UNKNOWN, EXECUTION_UNKNOWN,
		    "look it up later, or ask an operator to settle it");
		break;
	}
}

/* Responds once the end of the call is recorded, or can't be recorded here. */
static void
finish_recorded(struct call *call)
{
	if (call->service.non_idempotent)
		respond_outcome(call);
	else
		respond(call, call->service.status, call->service.response.data,
		    call->service.response.len);
}

void
service_call_event(struct call *call, const struct owner_event *event)
{
	switch (event->type) {
	case OWNER_DISPATCH:
		send_request(call);
		break;
	case OWNER_RETRY_ADMIT:
	case OWNER_HISTORY_READY:
		service_call_begin(call);
		break;
	case OWNER_NOT_DURABLE:
		/* The shard went to another VM. The call is kept, because its
		 * outcome is still recorded when it arrives. */
		if (call->service.non_idempotent &&
		    call->service.http != NULL) {
			call_send_refusal(call, REFUSAL_OUTCOME_UNKNOWN,
			    EXECUTION_UNKNOWN,
			    "ownership moved during the call");
			break;
		}
		finish_recorded(call);
		break;
	case OWNER_TURN_DURABLE:
	case OWNER_OUTCOME_DURABLE:
		finish_recorded(call);
		break;
	case OWNER_REFUSED:
		call_refuse(call, event->reason, event->execution, NULL);
		break;
	default:
		break;
	}
}

/* Detaches a call that waits for the owner. A request that was sent goes on, so
 * that its outcome becomes known. */
void
service_call_caller_gone(struct call *call)
{
	struct daemon *daemon = call->daemon;

	if (call->state != CALL_ADMITTING)
		return;
	owner_call_detach(daemon->owner, call->id, daemon->blackboard.now_us);
}
