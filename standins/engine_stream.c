/** @file
 * Generations of standin-engine: the responses sent to callers, and the faults
 * that interrupt them.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/engine.h"

enum {
	CRASH_STATUS = 70,
};

void
generation_add(struct generation *generation)
{
	HASH_ADD(by_id, engine.by_id, id, sizeof(generation->id), generation);
	HASH_ADD(by_attempt, engine.by_attempt, attempt,
	    strlen(generation->attempt), generation);
}

struct generation *
generation_find(const char *attempt)
{
	struct generation *generation;

	HASH_FIND(by_attempt, engine.by_attempt, attempt, strlen(attempt),
	    generation);
	return generation;
}

static struct generation *
find_by_id(uint64_t id)
{
	struct generation *generation;

	HASH_FIND(by_id, engine.by_id, &id, sizeof(id), generation);
	return generation;
}

void
generation_remove(struct generation *generation)
{
	HASH_DELETE(by_id, engine.by_id, generation);
	HASH_DELETE(by_attempt, engine.by_attempt, generation);
	if (generation->request != NULL)
		standin_drop_connection(generation->request);
	buf_reset(&generation->text);
	text_directives_reset(&generation->directives);
	free(generation);
}

/* Leaves a generation without a caller, who may resume it for resume_ms. */
static void
detach(struct generation *generation)
{
	generation->request = NULL;
	generation->expires_us =
	    clock_monotonic_us() + engine.settings.resume_ms * US_PER_MS;
}

static void
handle_caller_disconnected(struct standin_request *request)
{
	detach(request->context);
	standin_stream_end(request);
}

static const char *
finish_reason(const struct generation *generation)
{
	if (generation->cut_short)
		return "length";
	return generation->directives.tool[0] != '\0' ? "tool_calls" : "stop";
}

static json_t *
usage_json(const struct generation *generation)
{
	uint64_t total =
	    generation->prompt_tokens + generation->produced_tokens;

	return json_pack("{s:I, s:I, s:I, s:{s:I}}", "prompt_tokens",
	    (json_int_t)generation->prompt_tokens, "completion_tokens",
	    (json_int_t)generation->produced_tokens, "total_tokens",
	    (json_int_t)total, "prompt_tokens_details", "cached_tokens",
	    (json_int_t)generation->cached_tokens);
}

/* Returns the tool calls of the answer, or NULL if it has none. */
static json_t *
tool_calls_json(const struct generation *generation)
{
	const struct text_directives *directives = &generation->directives;
	char id[TEXT_TOOL_BYTES + 32];

	if (directives->tool[0] == '\0' || generation->cut_short)
		return NULL;
	snprintf(id, sizeof(id), "call_%016" PRIx64, generation->input_hash);
	return json_pack("[{s:i, s:s, s:s, s:{s:s, s:s}}]", "index", 0, "id",
	    id, "type", "function", "function", "name", directives->tool,
	    "arguments",
	    directives->arguments != NULL ? directives->arguments : "{}");
}

static bool
write_event(struct generation *generation, json_t *event)
{
	struct buf message = {0};
	char *text = json_dumps(event, JSON_COMPACT);
	bool ok;

	json_decref(event);
	if (text == NULL)
		memory_exhausted();
	buf_printf(&message, "data: %s\n\n", text);
	free(text);
	ok = http_stream_write(
	    generation->request->exchange, message.data, message.len);
	buf_reset(&message);
	return ok;
}

/* Writes one token as an event. Tokens consist of letters, digits and spaces,
 * so the JSON needs no escapes. */
static bool
write_token(struct generation *generation, uint64_t index)
{
	const char *text = (const char *)generation->text.data;
	char line[512];
	int len = snprintf(line, sizeof(line),
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%.*s\"},"
	    "\"finish_reason\":null}]}\n\n",
	    generation->attempt, TEXT_TOKEN_BYTES,
	    text + index * TEXT_TOKEN_BYTES);

	return http_stream_write(
	    generation->request->exchange, line, (size_t)len);
}

/* Writes the finish reason and usage, then [DONE], and ends the stream. */
static void
write_final_events(struct generation *generation)
{
	static const char done[] = "data: [DONE]\n\n";
	struct standin_request *request = generation->request;
	json_t *delta = json_object();
	json_t *calls = tool_calls_json(generation);

	if (calls != NULL)
		json_object_set_new(delta, "tool_calls", calls);
	write_event(generation,
	    json_pack("{s:s, s:s, s:s, s:[{s:i, s:o, s:s}], s:o}", "id",
		generation->attempt, "object", "chat.completion.chunk", "model",
		generation->model, "choices", "index", 0, "delta", delta,
		"finish_reason", finish_reason(generation), "usage",
		usage_json(generation)));
	http_stream_write(request->exchange, done, sizeof(done) - 1);
	detach(generation);
	standin_stream_end(request);
}

static void
reply_unstreamed(struct generation *generation)
{
	struct standin_request *request = generation->request;
	json_t *calls = tool_calls_json(generation);
	json_t *message = json_pack("{s:s, s:s%}", "role", "assistant",
	    "content", buf_text(&generation->text), generation->text.len);

	if (calls != NULL)
		json_object_set_new(message, "tool_calls", calls);
	detach(generation);
	request->on_close = NULL;
	standin_reply(request, 200,
	    json_pack("{s:s, s:s, s:s, s:[{s:i, s:o, s:s}], s:o}", "id",
		generation->attempt, "object", "chat.completion", "model",
		generation->model, "choices", "index", 0, "message", message,
		"finish_reason", finish_reason(generation), "usage",
		usage_json(generation)));
}

/* Streams the tokens that have not been sent yet, and completes the response
 * once the generation is finished. */
static void
send_new_tokens(struct generation *generation)
{
	if (generation->request == NULL)
		return;
	if (generation->stream) {
		while (generation->sent_tokens < generation->produced_tokens) {
			if (!write_token(generation, generation->sent_tokens)) {
				struct standin_request *request =
				    generation->request;

				detach(generation);
				standin_drop_connection(request);
				return;
			}
			generation->sent_tokens++;
		}
	}
	if (!generation->finished)
		return;
	if (generation->stream)
		write_final_events(generation);
	else
		reply_unstreamed(generation);
}

void
generation_attach(struct generation *generation,
    struct standin_request *request, uint64_t first_token)
{
	if (generation->request != NULL)
		standin_drop_connection(generation->request);
	generation->request = request;
	generation->sent_tokens = first_token;
	request->context = generation;
	request->on_close = handle_caller_disconnected;
	if (request->exchange == NULL) {
		handle_caller_disconnected(request);
		return;
	}
	if (generation->stream)
		http_stream_begin(
		    request->exchange, 200, "text/event-stream", NULL);
	send_new_tokens(generation);
}

/* Closes the caller's connection after the tokens sent so far: ends the stream,
 * or drops the connection if no token was sent. */
static void
cut_connection(struct generation *generation)
{
	struct standin_request *request = generation->request;

	if (request == NULL)
		return;
	detach(generation);
	if (generation->stream && generation->sent_tokens > 0)
		standin_stream_end(request);
	else
		standin_drop_connection(request);
}

/* Applies the generation's fault at the first token after fault_after_tokens,
 * before that token is sent. Returns whether the generation continues. */
static bool
apply_fault(struct generation *generation)
{
	switch (generation->fault) {
	case GENERATION_FAULT_NONE:
		return true;
	case GENERATION_FAULT_STALL:
		engine_core_stall(engine.core, generation->id);
		return false;
	case GENERATION_FAULT_DISCONNECT:
		generation->fault = GENERATION_FAULT_NONE;
		cut_connection(generation);
		return true;
	case GENERATION_FAULT_CRASH:
		_exit(CRASH_STATUS);
	}
	return true;
}

void
generation_handle_event(const struct engine_event *event)
{
	struct generation *generation = find_by_id(event->id);

	if (generation == NULL)
		return;
	generation->cached_tokens = event->cached_tokens;
	if (generation->fault != GENERATION_FAULT_NONE &&
	    event->produced_tokens > generation->fault_after_tokens &&
	    !apply_fault(generation))
		return;
	generation->produced_tokens = event->produced_tokens;
	if (event->type == ENGINE_FINISHED) {
		generation->finished = true;
		engine.counters.finished++;
		generation->expires_us = clock_monotonic_us() +
		    engine.settings.resume_ms * US_PER_MS;
	}
	send_new_tokens(generation);
}

void
generations_reset(void)
{
	struct generation *next;

	for (struct generation *generation = engine.by_id; generation != NULL;
	     generation = next) {
		next = generation->by_id.next;
		generation_remove(generation);
	}
}

void
generations_expire(int64_t now_us)
{
	struct generation *next;

	for (struct generation *generation = engine.by_id; generation != NULL;
	     generation = next) {
		next = generation->by_id.next;
		if (generation->request != NULL ||
		    now_us < generation->expires_us)
			continue;
		if (engine_core_cancel(engine.core, generation->id, now_us))
			engine.counters.abandoned++;
		generation_remove(generation);
	}
}
