/** @file
 * Chat requests to standin-engine: parsing, admission, resumption and
 * cancellation.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "standins/engine.h"

/** Parsed body of POST /v1/chat/completions; `root` owns the strings. */
struct chat {
	json_t *root;
	json_t *messages;
	const char *model;
	const char *adapter;
	const char *program;
	const char *attempt;
	const char *cache_salt;
	const char *resume_attempt;
	json_int_t resume_from;
	json_int_t priority;
	json_int_t max_tokens;
	int stream;
	/** Whether the last message has the start of the answer. */
	int continue_final_message;
	json_t *partial_message; /**< that message, or NULL */
	struct buf prompt; /**< rendered messages and start of the answer */
	size_t input_len;  /**< length of the rendered messages alone */
};

static const char *
partial_text(const struct chat *chat)
{
	const char *text = json_string_value(
	    json_object_get(chat->partial_message, "content"));

	return text != NULL ? text : "";
}

/* Moves the last message, which has the start of the answer, out of the
 * messages. Returns false if it is not from the assistant. */
static bool
take_partial_message(struct chat *chat)
{
	size_t count = json_array_size(chat->messages);
	json_t *last = json_array_get(chat->messages, count - 1);
	const char *role = json_string_value(json_object_get(last, "role"));

	if (count < 2 || role == NULL || strcmp(role, "assistant") != 0)
		return false;
	chat->partial_message = json_incref(last);
	json_array_remove(chat->messages, count - 1);
	return true;
}

static bool
chat_render(struct chat *chat)
{
	if (chat->continue_final_message && !take_partial_message(chat))
		return false;
	if (!text_render(chat->messages, &chat->prompt))
		return false;
	chat->input_len = chat->prompt.len;
	return buf_append_text(&chat->prompt, partial_text(chat));
}

static bool
chat_parse(struct chat *chat, const struct standin_request *request)
{
	*chat = (struct chat){
	    .model = "",
	    .adapter = "",
	    .program = "",
	    .attempt = "",
	    .cache_salt = "",
	    .resume_attempt = "",
	};
	chat->root = standin_request_json(request);
	if (json_unpack(chat->root,
		"{s?o, s?s, s?s, s?s, s?s, s?s, s?s, s?I, s?I, s?I, s?b, s?b}",
		"messages", &chat->messages, "model", &chat->model, "adapter",
		&chat->adapter, "program", &chat->program, "attempt",
		&chat->attempt, "cache_salt", &chat->cache_salt,
		"resume_attempt", &chat->resume_attempt, "resume_from",
		&chat->resume_from, "priority", &chat->priority, "max_tokens",
		&chat->max_tokens, "stream", &chat->stream,
		"continue_final_message", &chat->continue_final_message) != 0)
		return false;
	if (strlen(chat->program) >= ENGINE_NAME_BYTES ||
	    strlen(chat->attempt) >= ENGINE_NAME_BYTES ||
	    strlen(chat->model) >= ENGINE_NAME_BYTES ||
	    strpbrk(chat->attempt, "\"\\") != NULL || chat->max_tokens < 0 ||
	    chat->resume_from < 0)
		return false;
	return chat->resume_attempt[0] != '\0' || chat_render(chat);
}

static void
chat_reset(struct chat *chat)
{
	json_decref(chat->partial_message);
	json_decref(chat->root);
	buf_reset(&chat->prompt);
}

static void
refuse(struct standin_request *request, int status, const char *reason)
{
	engine.counters.refused++;
	standin_reply_error(request, status, reason);
}

static void
resume(struct standin_request *request, const struct chat *chat)
{
	struct generation *generation = generation_find(chat->resume_attempt);

	if (generation == NULL) {
		refuse(request, 404, "unknown_attempt");
		return;
	}
	if ((uint64_t)chat->resume_from > generation->produced_tokens) {
		refuse(request, 400, "resume_beyond_end");
		return;
	}
	engine.counters.resumed++;
	generation->stream = chat->stream;
	generation_attach(generation, request, (uint64_t)chat->resume_from);
}

/* Generates the rest of the answer after the partial message. Its length is
 * that of the directive in the last message, else the option answer_tokens, and
 * is limited by max_tokens. */
static void
plan_answer(struct generation *generation, const struct chat *chat)
{
	const struct buf input = {
	    .data = chat->prompt.data,
	    .len = chat->input_len,
	};
	uint64_t total = generation->directives.answer_tokens > 0
	    ? generation->directives.answer_tokens
	    : (uint64_t)engine.settings.answer_tokens;
	uint64_t partial_tokens = text_tokens(strlen(partial_text(chat)));
	uint64_t max_tokens = (uint64_t)chat->max_tokens;
	uint64_t remaining =
	    total > partial_tokens ? total - partial_tokens : 0;

	generation->input_hash = hash_bytes(input.data, input.len, 0);
	generation->cut_short = max_tokens > 0 && remaining > max_tokens;
	generation->answer_tokens =
	    generation->cut_short ? max_tokens : remaining;
	text_answer(chat->messages, &input, chat->model,
	    partial_tokens + generation->answer_tokens, &generation->text);
	buf_consume(&generation->text, partial_tokens * TEXT_TOKEN_BYTES);
}

static bool
contains(const struct buf *prompt, const char *text)
{
	return text != NULL && text[0] != '\0' &&
	    memmem(prompt->data, prompt->len, text, strlen(text)) != NULL;
}

static void
choose_fault(struct generation *generation, const struct chat *chat)
{
	struct engine_faults *faults = &engine.faults;

	if (contains(&chat->prompt, faults->crash_on) ||
	    contains(&chat->prompt, engine.settings.crash_on)) {
		generation->fault = GENERATION_FAULT_CRASH;
	} else if (standin_consume_fault(&faults->crash_requests)) {
		generation->fault = GENERATION_FAULT_CRASH;
		generation->fault_after_tokens =
		    (uint64_t)faults->crash_after_tokens;
	} else if (standin_consume_fault(&faults->cut_requests)) {
		generation->fault = GENERATION_FAULT_DISCONNECT;
		generation->fault_after_tokens =
		    (uint64_t)faults->cut_after_tokens;
	} else if (standin_consume_fault(&faults->stall_requests)) {
		generation->fault = GENERATION_FAULT_STALL;
		generation->fault_after_tokens =
		    (uint64_t)faults->stall_after_tokens;
	}
}

static struct generation *
generation_create(const struct chat *chat)
{
	struct generation *generation = xcalloc(1, sizeof(*generation));

	generation->id = ++engine.last_id;
	generation->stream = chat->stream;
	if (chat->attempt[0] != '\0')
		memcpy(generation->attempt, chat->attempt,
		    strlen(chat->attempt) + 1);
	else
		snprintf(generation->attempt, sizeof(generation->attempt),
		    "chat-%" PRIu64, generation->id);
	memcpy(generation->model, chat->model, strlen(chat->model) + 1);
	text_read_directives(chat->messages, &generation->directives);
	generation->prompt_tokens = text_tokens(chat->prompt.len);
	plan_answer(generation, chat);
	choose_fault(generation, chat);
	return generation;
}

static uint64_t
cache_seed(const struct chat *chat)
{
	return hash_text(chat->model,
	    hash_text(chat->adapter, hash_text(chat->cache_salt, 0)));
}

static enum engine_submit_result
submit(const struct generation *generation, struct chat *chat)
{
	struct engine_request request = {
	    .id = generation->id,
	    .priority = chat->priority,
	    .prompt_tokens = generation->prompt_tokens,
	    .answer_tokens = generation->answer_tokens,
	};
	enum engine_submit_result result;
	uint64_t *hashes;

	memcpy(request.program, chat->program, strlen(chat->program) + 1);
	buf_append(&chat->prompt, generation->text.data, generation->text.len);
	hashes = text_block_hashes(chat->prompt.data, chat->prompt.len,
	    cache_seed(chat), &request.hash_count);
	request.hashes = hashes;
	result =
	    engine_core_submit(engine.core, &request, clock_monotonic_us());
	free(hashes);
	return result;
}

static void
start(struct standin_request *request, struct chat *chat)
{
	struct generation *generation = generation_create(chat);

	generation_add(generation);
	if (generation->answer_tokens == 0) {
		generation->finished = true;
		generation_attach(generation, request, 0);
		return;
	}
	switch (submit(generation, chat)) {
	case ENGINE_ACCEPTED:
		engine.counters.started++;
		generation_attach(generation, request, 0);
		engine_dispatch_events();
		break;
	case ENGINE_TOO_LONG:
		generation_remove(generation);
		refuse(request, 400, "context_too_long");
		break;
	case ENGINE_BUSY:
		generation_remove(generation);
		refuse(request, 429, "busy");
		break;
	}
}

void
engine_handle_chat(struct standin_request *request)
{
	struct chat chat;

	if (!chat_parse(&chat, request))
		refuse(request, 400, "malformed_request");
	else if (chat.resume_attempt[0] != '\0')
		resume(request, &chat);
	else if (!engine_serves(chat.model, chat.adapter))
		refuse(request, 404, "model_not_loaded");
	else if (chat.attempt[0] != '\0' &&
	    generation_find(chat.attempt) != NULL)
		refuse(request, 409, "attempt_exists");
	else
		start(request, &chat);
	chat_reset(&chat);
}

void
engine_handle_cancel(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	const char *attempt = NULL;
	struct generation *generation;
	bool running;

	if (json_unpack(root, "{s:s}", "attempt", &attempt) != 0) {
		json_decref(root);
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	generation = generation_find(attempt);
	running = generation != NULL && !generation->finished &&
	    !engine.faults.ignore_cancel;
	if (running) {
		engine.counters.cancelled++;
		engine_core_cancel(
		    engine.core, generation->id, clock_monotonic_us());
		generation_remove(generation);
		engine_dispatch_events();
	}
	json_decref(root);
	standin_reply(request, 200, json_pack("{s:b}", "cancelled", running));
}
