#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "standins/caller.h"

enum {
	HASH_HEX_DIGITS = 16,
	TIMEOUT_S = 120,
};

static void
response_free(struct load_response *response)
{
	buf_reset(&response->input);
	buf_reset(&response->text);
	free(response);
}

static void
record_token(struct load_response *response, int64_t now_us)
{
	struct caller_results *results = &response->program->caller->results;
	bool first = response->last_token_us == 0;
	int64_t since_us = first ? response->sent_us : response->last_token_us;

	samples_add(first ? &results->first_token_ms : &results->inter_token_ms,
	    (double)(now_us - since_us) / US_PER_MS);
	response->last_token_us = now_us;
}

static void
read_usage(struct load_response *response, json_t *event)
{
	json_int_t prompt = 0;
	json_int_t tokens = 0;
	json_int_t cached = 0;

	if (json_unpack(event, "{s:{s:I, s:I, s?{s?I}}}", "usage",
		"prompt_tokens", &prompt, "completion_tokens", &tokens,
		"prompt_tokens_details", "cached_tokens", &cached) != 0)
		return;
	response->prompt_tokens = prompt;
	response->tokens = tokens;
	response->cached_tokens = cached;
}

static void
handle_event(struct load_response *response, const char *data, size_t len)
{
	json_t *event;
	const char *content;

	if (len == 6 && memcmp(data, "[DONE]", len) == 0) {
		response->done = true;
		return;
	}
	event = json_loadb(data, len, 0, NULL);
	content = json_string_value(json_object_get(
	    json_object_get(
		json_array_get(json_object_get(event, "choices"), 0), "delta"),
	    "content"));
	if (content != NULL && content[0] != '\0') {
		buf_append_text(&response->text, content);
		record_token(response, clock_monotonic_us());
	}
	read_usage(response, event);
	json_decref(event);
}

/* Appends received bytes and handles the complete "data: ...\n\n" events. */
static void
handle_data(void *context, int status, const uint8_t *data, size_t len)
{
	static const char marker[] = "data: ";
	struct load_response *response = context;
	const char *text;
	const char *end;
	size_t used = 0;

	buf_append(&response->input, data, len);
	if (status != 200)
		return;
	text = buf_text(&response->input);
	while ((end = strstr(text + used, "\n\n")) != NULL) {
		const char *event = text + used;

		if (strncmp(event, marker, sizeof(marker) - 1) == 0)
			handle_event(response, event + sizeof(marker) - 1,
			    (size_t)(end - event) - (sizeof(marker) - 1));
		used = (size_t)(end - text) + 2;
	}
	buf_consume(&response->input, used);
}

/* Returns whether the answer starts with the hash of the program's last
 * message, as answers of standin-engine do. */
static bool
answer_matches_request(const struct load_response *response)
{
	char hash[HASH_HEX_DIGITS + 1];
	size_t len = response->text.len < HASH_HEX_DIGITS ? response->text.len
							  : HASH_HEX_DIGITS;

	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_text(response->program->content, 0));
	return len > 0 && memcmp(response->text.data, hash, len) == 0;
}

static void
retry_turn(struct load_program *program, struct load_response *response)
{
	json_t *root = json_loads(buf_text(&response->input), 0, NULL);

	load_program_retry(program, root);
	json_decref(root);
}

static void
handle_done(void *context, enum http_result result, int status)
{
	struct load_response *response = context;
	struct load_program *program = response->program;
	struct caller_results *results = &program->caller->results;

	(void)result;
	if (status == 200 && response->done) {
		results->tokens += (uint64_t)response->tokens;
		results->prompt_tokens += (uint64_t)response->prompt_tokens;
		results->cached_tokens += (uint64_t)response->cached_tokens;
		if (!answer_matches_request(response))
			results->wrong_answers++;
		load_program_turn_done(program, response);
	} else {
		retry_turn(program, response);
	}
	response_free(response);
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
	    program->turn, program->attempts);
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
	struct load_response *response = xcalloc(1, sizeof(*response));
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
	    .context = response,
	};

	snprintf(turn, sizeof(turn), "%" PRId64, program->turn);
	snprintf(key, sizeof(key), "turn-%" PRId64, program->turn);
	response->program = program;
	response->sent_us = clock_monotonic_us();
	caller->results.requests++;
	http_call_start(caller->net, &params);
	free(body);
}
