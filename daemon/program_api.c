/* Handlers of the begin and the end of programs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "daemon/call.h"

/** Members of the request that begins a program. */
struct begin_request {
	const char *parent;
	const char *class;
	json_int_t budget_tokens;
};

static bool
parse_begin(json_t *root, struct begin_request *begin)
{
	begin->parent = "";
	begin->class = "normal";
	begin->budget_tokens = 0;
	return json_unpack(root, "{s?s, s?s, s?I}", "parent", &begin->parent,
		   "class", &begin->class, "budget_tokens",
		   &begin->budget_tokens) == 0 &&
	    begin->budget_tokens >= 0 &&
	    strlen(begin->parent) < PROGRAM_ID_BYTES;
}

static void
respond_begun(struct call *call, const char *program)
{
	struct daemon *daemon = call->daemon;

	call_respond(call, 201,
	    json_pack(
		"{s:s, s:s}", "program", program, "address", daemon->address));
}

static void
begin_program(struct call *call, const struct begin_request *request)
{
	struct daemon *daemon = call->daemon;
	const struct config_workspace *workspace = config_find_workspace(
	    daemon->blackboard.config.current, call->workspace);
	const struct owner_begin begin = {
	    .workspace = call->workspace,
	    .parent = request->parent,
	    .key = call->key,
	    .budget_tokens = request->budget_tokens > 0
		? (uint64_t)request->budget_tokens
		: workspace->budget_tokens,
	    .urgent = call->urgent,
	    .wall_us = clock_wall_us(),
	};
	struct owner_result result = {0};
	enum owner_decision decision;

	snprintf(call->program, sizeof(call->program), "%s", request->parent);
	decision = owner_program_begin(daemon->owner, call->id, &begin,
	    daemon->blackboard.now_us, &result);
	if (call_handle_decision(call, decision, &result))
		respond_begun(call, result.program);
}

void
handle_program_begin(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	char workspace[NAME_BYTES];
	struct begin_request begin;
	struct call *call;
	json_t *root;

	if (request->method == HTTP_GET) {
		handle_program_list(daemon, exchange, request, rest);
		return;
	}
	if (!api_check_workspace(daemon, exchange, request, workspace))
		return;
	if (daemon->blackboard.draining) {
		refuse_exchange(daemon, exchange, REFUSAL_DRAINING, NULL);
		return;
	}
	root =
	    json_loadb((const char *)request->body, request->body_len, 0, NULL);
	if (!parse_begin(root, &begin)) {
		refuse_exchange(daemon, exchange, REFUSAL_MALFORMED,
		    "body must be a JSON object with parent, class and "
		    "budget_tokens, each optional");
		json_decref(root);
		return;
	}
	call = call_create(daemon, CALL_BEGIN, exchange, request);
	memcpy(call->workspace, workspace, sizeof(workspace));
	call->urgent = strcmp(begin.class, "urgent") == 0;
	http_request_header(
	    request, "idempotency-key", call->key, sizeof(call->key));
	begin_program(call, &begin);
	json_decref(root);
}

static void
respond_ended(struct call *call)
{
	call_respond(call, 200,
	    json_pack("{s:s, s:b}", "program", call->program, "ended", 1));
}

static void
end_program(struct call *call)
{
	struct daemon *daemon = call->daemon;
	struct owner_result result = {0};
	enum owner_decision decision;

	decision = owner_program_end(daemon->owner, call->id, call->program,
	    call->workspace, "caller", daemon->blackboard.now_us, &result);
	if (call_handle_decision(call, decision, &result))
		respond_ended(call);
}

/* Ends a program: DELETE /v1/programs/ID, or POST /v1/programs/ID/end. */
void
handle_program_request(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	char workspace[NAME_BYTES];
	size_t len = strcspn(rest, "/");
	const char *action = rest + len;
	struct call *call;

	if (len == 0 || len >= PROGRAM_ID_BYTES) {
		refuse_exchange(daemon, exchange, REFUSAL_UNKNOWN_PROGRAM,
		    "malformed program id");
		return;
	}
	if (request->method != HTTP_DELETE && strcmp(action, "/end") != 0) {
		refuse_exchange(
		    daemon, exchange, REFUSAL_UNKNOWN_PATH, request->path);
		return;
	}
	if (!api_check_workspace(daemon, exchange, request, workspace))
		return;
	call = call_create(daemon, CALL_END, exchange, request);
	memcpy(call->workspace, workspace, sizeof(workspace));
	memcpy(call->program, rest, len);
	end_program(call);
}

void
program_call_event(struct call *call, const struct owner_event *event)
{
	switch (event->type) {
	case OWNER_PROGRAM_BEGUN:
		respond_begun(call, event->program);
		break;
	case OWNER_PROGRAM_ENDED:
		sched_handle_program_end(call->daemon->sched, call->program);
		respond_ended(call);
		break;
	case OWNER_REFUSED:
		call_refuse(call, event->reason, event->execution, NULL);
		break;
	case OWNER_NOT_DURABLE:
		call_refuse(call, REFUSAL_RECOVERING, EXECUTION_UNKNOWN,
		    "ownership moved");
		break;
	default:
		break;
	}
}
