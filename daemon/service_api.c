/* Parsing of tool-call and plain-service requests. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/call.h"

static struct call *
create_service_call(struct daemon *daemon, enum call_kind kind,
    struct http_exchange *exchange, const struct http_request *request,
    const char *workspace)
{
	struct call *call = call_create(daemon, kind, exchange, request);

	snprintf(call->workspace, sizeof(call->workspace), "%s", workspace);
	http_request_header(request, "x-guavakeel-program", call->program,
	    sizeof(call->program));
	http_request_header(
	    request, "idempotency-key", call->key, sizeof(call->key));
	call->service.method = request->method;
	buf_append(&call->service.body, request->body, request->body_len);
	return call;
}

/* Begins the call. A non-idempotent call needs a program, whose owner records
 * the intent to run it, and an idempotency key. */
static void
begin_service_call(struct call *call)
{
	if (call->service.non_idempotent && call->program[0] == '\0')
		call_refuse(call, REFUSAL_MALFORMED, EXECUTION_NOT_STARTED,
		    "header x-guavakeel-program is needed for this call");
	else if (call->service.non_idempotent && call->key[0] == '\0')
		call_refuse(call, REFUSAL_MALFORMED, EXECUTION_NOT_STARTED,
		    "header idempotency-key is needed for this call");
	else
		service_call_begin(call);
}

void
handle_tool(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	const struct config_tool *tool =
	    config_find_tool(daemon->blackboard.config.current, rest);
	char workspace[NAME_BYTES];
	struct call *call;

	if (!api_check_workspace(daemon, exchange, request, workspace))
		return;
	if (tool == NULL) {
		refuse_exchange(daemon, exchange, REFUSAL_UNKNOWN_SERVICE,
		    "the tool is not declared");
		return;
	}
	call = create_service_call(
	    daemon, CALL_TOOL, exchange, request, workspace);
	snprintf(call->service.tool, NAME_BYTES, "%s", tool->name);
	snprintf(call->service.service, NAME_BYTES, "%s", tool->service);
	snprintf(call->service.path, HTTP_PATH_BYTES, "%s", tool->path);
	call->service.method = HTTP_POST;
	call->service.non_idempotent = !tool->repeatable;
	call->service.timeout_us = tool->timeout_us;
	begin_service_call(call);
}

void
handle_service(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	size_t len = strcspn(rest, "/");
	const struct config_service *service = NULL;
	char name[NAME_BYTES] = "";
	char workspace[NAME_BYTES];
	struct call *call;

	if (!api_check_workspace(daemon, exchange, request, workspace))
		return;
	if (len < sizeof(name)) {
		memcpy(name, rest, len);
		service = config_find_service(
		    daemon->blackboard.config.current, name);
	}
	if (service == NULL) {
		refuse_exchange(daemon, exchange, REFUSAL_UNKNOWN_SERVICE,
		    "the service is not declared");
		return;
	}
	call = create_service_call(
	    daemon, CALL_SERVICE, exchange, request, workspace);
	snprintf(call->service.tool, NAME_BYTES, "%s", name);
	snprintf(call->service.service, NAME_BYTES, "%s", name);
	snprintf(call->service.path, HTTP_PATH_BYTES, "%s%s%s",
	    rest[len] == '/' ? rest + len : "/",
	    request->query[0] != '\0' ? "?" : "", request->query);
	call->service.non_idempotent =
	    !service->repeatable && request->method != HTTP_GET;
	call->service.timeout_us = service->timeout_us;
	begin_service_call(call);
}
