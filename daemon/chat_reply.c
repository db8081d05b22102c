#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/chat_reply.h"

/* Sends an event, whose reference is taken. Returns false if the send queue of
 * the caller is full. */
static bool
send_event(struct call *call, json_t *event)
{
	char *text = json_dumps(event, JSON_COMPACT);
	struct buf line = {0};
	bool ok;

	buf_printf(&line, "data: %s\n\n", text);
	ok = http_stream_write(call->exchange, line.data, line.len);
	buf_reset(&line);
	free(text);
	json_decref(event);
	return ok;
}

/* Closes the connection of a caller that reads too slowly. */
static void
drop_caller(struct call *call)
{
	struct http_exchange *exchange = call->exchange;

	call->exchange = NULL;
	http_abort(exchange);
}

static void
begin_stream(struct call *call)
{
	if (call->streaming)
		return;
	call->streaming = true;
	http_stream_begin(call->exchange, 200, "text/event-stream", NULL);
}

/* Returns a chunk event. Takes the reference to delta. finish_reason may be
 * NULL. */
static json_t *
make_chunk(const struct call *call, json_t *delta, const char *finish_reason)
{
	return json_pack("{s:s, s:s, s:s, s:[{s:i, s:o, s:s?}]}", "id",
	    call->request_id, "object", "chat.completion.chunk", "model",
	    call->model.model, "choices", "index", 0, "delta", delta,
	    "finish_reason", finish_reason);
}

void
chat_reply_text(struct call *call, const char *text)
{
	if (call->exchange == NULL || !call->model.stream)
		return;
	begin_stream(call);
	if (!send_event(call,
		make_chunk(call, json_pack("{s:s}", "content", text), NULL)))
		drop_caller(call);
}

/* Returns the turn in the form in which the caller sends it again with its
 * calls until a later response is durable. The content is a JSON text in a
 * string, not an object, because its digest covers the exact bytes. */
static json_t *
turn_to_resend(const struct call *call)
{
	struct digest digest = model_call_arguments_digest(call);
	char arguments[DIGEST_TEXT_BYTES];
	struct buf content = {0};
	json_t *turn;

	digest_format(&digest, arguments);
	chat_reply_content(call, &content);
	turn = json_pack("{s:b, s:s, s:s, s:I, s:s}", "tool", 0, "key",
	    call->key, "arguments", arguments, "prompt_tokens",
	    (json_int_t)call->model.prompt_tokens +
		(json_int_t)call->model.completion_tokens,
	    "content", buf_text(&content));
	buf_reset(&content);
	return turn;
}

/* Returns the member "guavakeel", which extends the OpenAI format. */
static json_t *
make_extension(const struct call *call, bool durable)
{
	char digest[DIGEST_TEXT_BYTES];
	json_t *object;

	digest_format(&call->digest, digest);
	object = json_pack("{s:s, s:I, s:s, s:b, s:s, s:s}", "program",
	    call->program, "turn", (json_int_t)call->turn, "digest", digest,
	    "durable", durable, "server", call->model.server, "request",
	    call->request_id);
	/* A repeated call has no copy of its turn to send. */
	if (!durable && call->model.completion.len > 0)
		json_object_set_new(object, "resend", turn_to_resend(call));
	return object;
}

static json_t *
make_usage(const struct call *call)
{
	const struct model_call *model = &call->model;

	return json_pack("{s:I, s:I, s:I, s:{s:I}}", "prompt_tokens",
	    (json_int_t)model->prompt_tokens, "completion_tokens",
	    (json_int_t)model->completion_tokens, "total_tokens",
	    (json_int_t)model->prompt_tokens +
		(json_int_t)model->completion_tokens,
	    "prompt_tokens_details", "cached_tokens",
	    (json_int_t)model->cached_tokens);
}

static json_t *
make_message(const struct call *call)
{
	const struct model_call *model = &call->model;
	json_t *message =
	    json_pack("{s:s, s:s%}", "role", "assistant", "content",
		model->completion.data != NULL
		    ? (const char *)model->completion.data
		    : "",
		model->completion.len);

	if (model->tool_calls != NULL)
		json_object_set(message, "tool_calls", model->tool_calls);
	return message;
}

void
chat_reply_content(const struct call *call, struct buf *content)
{
	json_t *message = make_message(call);
	char *text = json_dumps(message, JSON_COMPACT);

	buf_printf(content, "[%s,%s]", call->model.messages, text);
	free(text);
	json_decref(message);
}

/* Sends the last chunk, whose reference is taken, and ends the stream. */
static void
finish_stream(struct call *call, json_t *last)
{
	bool ok = send_event(call, last);

	ok = ok && http_stream_write(call->exchange, "data: [DONE]\n\n", 14);
	if (ok)
		http_stream_end(call->exchange);
	else
		http_abort(call->exchange);
	call->exchange = NULL;
}

static void
count_response(struct call *call)
{
	struct counters *counters = &call->daemon->blackboard.counters;

	counters->responses_total++;
	histogram_add(&counters->request_us,
	    call->daemon->blackboard.now_us - call->started_us);
}

static void
stream_end(struct call *call, bool durable)
{
	struct model_call *model = &call->model;
	json_t *delta = json_object();
	json_t *last;

	begin_stream(call);
	if (model->tool_calls != NULL)
		json_object_set(delta, "tool_calls", model->tool_calls);
	last = make_chunk(call, delta, model->finish_reason);
	json_object_set_new(last, "usage", make_usage(call));
	json_object_set_new(last, "guavakeel", make_extension(call, durable));
	finish_stream(call, last);
}

/* Responds with one JSON object. Takes the reference to message. */
static void
respond_whole(struct call *call, json_t *message, bool durable)
{
	json_t *body =
	    json_pack("{s:s, s:s, s:s, s:[{s:i, s:o, s:s}], s:o, s:o}", "id",
		call->request_id, "object", "chat.completion", "model",
		call->model.model, "choices", "index", 0, "message", message,
		"finish_reason", call->model.finish_reason, "usage",
		make_usage(call), "guavakeel", make_extension(call, durable));

	respond_json(call->exchange, 200, body);
	call->exchange = NULL;
}

void
chat_reply_end(struct call *call, bool durable)
{
	count_response(call);
	if (call->exchange != NULL && call->model.stream)
		stream_end(call, durable);
	else if (call->exchange != NULL)
		respond_whole(call, make_message(call), durable);
}

void
chat_reply_recorded(
    struct call *call, const struct wire_bytes *content, bool durable)
{
	json_t *messages =
	    json_loadb((const char *)content->data, content->len, 0, NULL);
	size_t count = json_array_size(messages);
	json_t *message = json_incref(
	    count > 0 ? json_array_get(messages, count - 1) : json_null());
	const char *text =
	    json_string_value(json_object_get(message, "content"));

	json_decref(messages);
	snprintf(call->model.finish_reason, NAME_BYTES, "stop");
	if (call->exchange == NULL) {
		json_decref(message);
	} else if (call->model.stream) {
		chat_reply_text(call, text != NULL ? text : "");
		json_decref(call->model.tool_calls);
		call->model.tool_calls =
		    json_incref(json_object_get(message, "tool_calls"));
		json_decref(message);
		if (call->exchange != NULL)
			stream_end(call, durable);
	} else {
		respond_whole(call, message, durable);
	}
	count_response(call);
}
