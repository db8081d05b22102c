/* Parsing of model-call requests. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "daemon/call.h"

enum {
	BYTES_PER_TOKEN = 4, /**< average, for estimates */
	DEFAULT_MAX_TOKENS = 512,
	MAX_MAX_TOKENS = 1 << 20,
	MAX_RESEND = 64, /**< turns in the member resend of a request */
};

/* Serialises the new messages without the array's brackets. The calling
 * function frees the text. */
static char *
messages_text(const json_t *messages)
{
	char *text = json_dumps(messages, JSON_COMPACT);
	size_t len = strlen(text);

	memmove(text, text + 1, len - 2);
	text[len - 2] = '\0';
	return text;
}

/* Returns what is wrong with the new messages, or NULL. */
static const char *
check_messages(const json_t *messages)
{
	size_t index;
	json_t *message;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return "messages must be a non-empty array";
	json_array_foreach (messages, index, message) {
		if (!json_is_string(json_object_get(message, "role")))
			return "each message needs a role";
	}
	return NULL;
}

/* Returns what is wrong with the turns that are sent again, or NULL. */
static const char *
check_resend(json_t *resend)
{
	const char *key;
	const char *arguments;
	const char *content;
	struct digest digest;
	json_int_t tokens;
	size_t index;
	json_t *turn;
	int tool;

	if (resend != NULL && !json_is_array(resend))
		return "resend must be an array";
	if (json_array_size(resend) > MAX_RESEND)
		return "resend has too many turns";
	json_array_foreach (resend, index, turn) {
		if (json_unpack(turn, "{s:b, s:s, s:s, s:I, s:s}", "tool",
			&tool, "key", &key, "arguments", &arguments,
			"prompt_tokens", &tokens, "content", &content) != 0 ||
		    strlen(key) >= NAME_BYTES || tokens < 0 ||
		    !digest_parse(arguments, &digest))
			return "each turn of resend must be as it was answered";
	}
	return NULL;
}

/* Fills the call from the request's body. Returns what is wrong, or NULL. */
static const char *
parse_chat(struct call *call, json_t *root)
{
	const char *model = NULL;
	const char *adapter = "";
	json_t *messages = NULL;
	json_int_t max_tokens = DEFAULT_MAX_TOKENS;
	json_t *resend = NULL;
	int stream = 0;
	const char *problem;

	if (json_unpack(root, "{s:s, s?s, s:o, s?I, s?b, s?o}", "model", &model,
		"adapter", &adapter, "messages", &messages, "max_tokens",
		&max_tokens, "stream", &stream, "resend", &resend) != 0)
		return "body must be a JSON object with model and messages";
	if (strlen(model) >= NAME_BYTES || strlen(adapter) >= NAME_BYTES)
		return "model or adapter name is too long";
	if (max_tokens < 1 || max_tokens > MAX_MAX_TOKENS)
		return "max_tokens is out of range";
	problem = check_messages(messages);
	if (problem == NULL)
		problem = check_resend(resend);
	if (problem != NULL)
		return problem;
	call->model.resend = json_incref(resend);
	snprintf(call->model.model, NAME_BYTES, "%s", model);
	snprintf(call->model.adapter, NAME_BYTES, "%s", adapter);
	call->model.messages = messages_text(messages);
	call->model.new_tokens =
	    strlen(call->model.messages) / BYTES_PER_TOKEN + 1;
	call->model.max_tokens = (uint64_t)max_tokens;
	call->model.stream = stream != 0;
	return NULL;
}

/* Returns whether the call names no adapter, or one of its model. */
static bool
serves_adapter(const struct config *config, const struct model_call *model)
{
	const struct config_adapter *adapter;

	if (model->adapter[0] == '\0')
		return true;
	adapter = config_find_adapter(config, model->adapter);
	return adapter != NULL && strcmp(adapter->model, model->model) == 0;
}

/* Fills the call from the request's headers. Returns what is wrong, or NULL. */
static const char *
parse_headers(struct call *call, const struct http_request *request)
{
	char value[HTTP_HEADER_VALUE_BYTES];

	if (!http_request_header(request, "x-guavakeel-program", call->program,
		sizeof(call->program)))
		return "header x-guavakeel-program is needed";
	if (http_request_header(
		request, "x-guavakeel-turn", value, sizeof(value))) {
		char *end;

		call->turn = strtoull(value, &end, 10);
		if (*end != '\0' || call->turn == 0)
			return "header x-guavakeel-turn must be 1 or more";
	}
	if (http_request_header(
		request, "x-guavakeel-digest", value, sizeof(value))) {
		if (!digest_parse(value, &call->digest))
			return "header x-guavakeel-digest must be 64 hex digits";
		call->has_digest = true;
	}
	if (http_request_header(
		request, "x-guavakeel-deadline-ms", value, sizeof(value)))
		call->deadline_us = call->started_us +
		    (int64_t)strtoul(value, NULL, 10) * US_PER_MS;
	http_request_header(request, "x-guavakeel-class", value, sizeof(value));
	call->urgent = strcmp(value, "urgent") == 0;
	http_request_header(
	    request, "idempotency-key", call->key, sizeof(call->key));
	return NULL;
}

void
handle_chat(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	char workspace[NAME_BYTES];
	const char *problem;
	struct call *call;
	json_error_t json_error;
	json_t *root;

	(void)rest;
	if (!api_check_workspace(daemon, exchange, request, workspace))
		return;
	root = json_loadb(
	    (const char *)request->body, request->body_len, 0, &json_error);
	if (root == NULL) {
		refuse_exchange(
		    daemon, exchange, REFUSAL_MALFORMED, json_error.text);
		return;
	}
	call = call_create(daemon, CALL_MODEL, exchange, request);
	memcpy(call->workspace, workspace, sizeof(workspace));
	problem = parse_headers(call, request);
	if (problem == NULL)
		problem = parse_chat(call, root);
	json_decref(root);
	if (problem != NULL)
		call_refuse(
		    call, REFUSAL_MALFORMED, EXECUTION_NOT_STARTED, problem);
	else if (config_find_model(daemon->blackboard.config.current,
		     call->model.model) == NULL)
		call_refuse(call, REFUSAL_UNKNOWN_MODEL, EXECUTION_NOT_STARTED,
		    "the model is not declared");
	else if (!serves_adapter(
		     daemon->blackboard.config.current, &call->model))
		call_refuse(call, REFUSAL_UNKNOWN_MODEL, EXECUTION_NOT_STARTED,
		    "the model has no such adapter");
	else
		model_call_begin(call);
}
