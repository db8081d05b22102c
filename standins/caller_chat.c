#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "standins/caller.h"

enum {
	HASH_LETTERS = 16,
	TIMEOUT_S = 120,
};

static void
answer_free(struct load_answer *answer)
{
	buf_reset(&answer->input);
	buf_reset(&answer->text);
	free(answer);
}

static void
note_token(struct load_answer *answer, int64_t now_us)
{
	struct caller_results *results = &answer->program->caller->results;
	bool first = answer->last_token_us == 0;
	int64_t since_us = first ? answer->sent_us : answer->last_token_us;

	samples_add(first ? &results->first_token_ms : &results->inter_token_ms,
	    (double)(now_us - since_us) / US_PER_MS);
	answer->last_token_us = now_us;
}

static void
read_usage(struct load_answer *answer, json_t *event)
{
	json_int_t prompt = 0;
	json_int_t tokens = 0;
	json_int_t cached = 0;

	if (json_unpack(event, "{s:{s:I, s:I, s?{s?I}}}", "usage",
		"prompt_tokens", &prompt, "completion_tokens", &tokens,
		"prompt_tokens_details", "cached_tokens", &cached) != 0)
		return;
	answer->prompt_tokens = prompt;
	answer->tokens = tokens;
	answer->cached_tokens = cached;
}

static void
handle_event(struct load_answer *answer, const char *data, size_t len)
{
	json_t *event;
	const char *content;

	if (len == 6 && memcmp(data, "[DONE]", len) == 0) {
		answer->done = true;
		return;
	}
	event = json_loadb(data, len, 0, NULL);
	content = json_string_value(json_object_get(
	    json_object_get(
		json_array_get(json_object_get(event, "choices"), 0), "delta"),
	    "content"));
	if (content != NULL && content[0] != '\0') {
		buf_append_text(&answer->text, content);
		note_token(answer, clock_monotonic_us());
	}
	read_usage(answer, event);
	json_decref(event);
}

/* Takes whole events "data: ...\n\n" out of what has come. */
static void
handle_data(void *context, int status, const uint8_t *data, size_t len)
{
	static const char mark[] = "data: ";
	struct load_answer *answer = context;
	const char *text;
	const char *end;
	size_t used = 0;

	buf_append(&answer->input, data, len);
	if (status != 200)
		return;
	text = buf_text(&answer->input);
	while ((end = strstr(text + used, "\n\n")) != NULL) {
		const char *event = text + used;

		if (strncmp(event, mark, sizeof(mark) - 1) == 0)
			handle_event(answer, event + sizeof(mark) - 1,
			    (size_t)(end - event) - (sizeof(mark) - 1));
		used = (size_t)(end - text) + 2;
	}
	buf_consume(&answer->input, used);
}

/* An answer begins with the hash of the content that it answers. */
static bool
is_own_answer(const struct load_answer *answer)
{
	char hash[HASH_LETTERS + 1];
	size_t len =
	    answer->text.len < HASH_LETTERS ? answer->text.len : HASH_LETTERS;

	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_text(answer->program->content, 0));
	return len > 0 && memcmp(answer->text.data, hash, len) == 0;
}

static void
retry(struct load_program *program, struct load_answer *answer)
{
	json_t *root = json_loads(buf_text(&answer->input), 0, NULL);

	load_program_retry(program, root);
	json_decref(root);
}

static void
handle_done(void *context, enum http_result result, int status)
{
	struct load_answer *answer = context;
	struct load_program *program = answer->program;
	struct caller_results *results = &program->caller->results;

	(void)result;
	if (status == 200 && answer->done) {
		results->tokens += (uint64_t)answer->tokens;
		results->prompt_tokens += (uint64_t)answer->prompt_tokens;
		results->cached_tokens += (uint64_t)answer->cached_tokens;
		if (!is_own_answer(answer))
			results->wrong_answers++;
		load_program_answered(program, answer);
	} else {
		retry(program, answer);
	}
	answer_free(answer);
}

static char *
chat_body(const struct load_program *program)
{
	const struct caller_settings *settings = &program->caller->settings;
	char attempt[CALLER_NAME_BYTES + 64];
	json_t *root = json_pack("{s:s, s:O, s:b, s:I}", "model",
	    settings->model, "messages", program->history, "stream", 1,
	    "max_tokens", (json_int_t)settings->answer_tokens);
	char *text;

	snprintf(attempt, sizeof(attempt), "%s-%" PRId64 "-%d", program->id,
	    program->turn, program->tries);
	if (!settings->guavakeel) {
		json_object_set_new(root, "program", json_string(program->id));
		json_object_set_new(root, "attempt", json_string(attempt));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

void
load_chat_send(struct load_program *program)
{
	struct caller *caller = program->caller;
	struct load_answer *answer = xcalloc(1, sizeof(*answer));
	char *body = chat_body(program);
	char turn[24];
	char key[32];
	const struct http_header headers[] = {
	    {"content-type", "application/json"},
	    {"x-guavakeel-workspace", caller->settings.workspace},
	    {"x-guavakeel-program", program->id},
	    {"x-guavakeel-turn", turn},
	    {"x-guavakeel-class", caller->settings.class},
	    {"idempotency-key", key},
	    {NULL, NULL},
	};
	struct http_call_params params = {
	    .address = program->address.ip,
	    .port = program->address.port,
	    .method = HTTP_POST,
	    .path = "/v1/chat/completions",
	    .headers = caller->settings.guavakeel ? headers : NULL,
	    .body = body,
	    .body_len = strlen(body),
	    .timeout_us = (int64_t)TIMEOUT_S * US_PER_S,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = answer,
	};

	snprintf(turn, sizeof(turn), "%" PRId64, program->turn);
	snprintf(key, sizeof(key), "turn-%" PRId64, program->turn);
	answer->program = program;
	answer->sent_us = clock_monotonic_us();
	caller->results.requests++;
	http_call_start(caller->net, &params);
	free(body);
}
