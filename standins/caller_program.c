#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/caller.h"
#include "standins/text.h"

enum {
	MAX_ATTEMPTS = 8,
	RETRY_DELAY_MS = 100,
	TOKEN_LETTERS = TEXT_TOKEN_BYTES - 1,
};

static void next_step(struct load_program *program);

static void
handle_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void
program_finish(struct load_program *program, bool ok)
{
	struct caller *caller = program->caller;

	if (ok) {
		int64_t taken_us = clock_monotonic_us() - program->begun_us;

		caller->results.programs_done++;
		samples_add(
		    &caller->results.program_ms, (double)taken_us / US_PER_MS);
	} else {
		caller->results.programs_failed++;
	}
	json_decref(program->history);
	free(program->content);
	program->timer.data = program;
	uv_close((uv_handle_t *)&program->timer, handle_closed);
	caller_program_finished(caller);
}

static void
handle_timer(uv_timer_t *timer)
{
	next_step(timer->data);
}

static void
next_step_later(struct load_program *program, int64_t delay_ms)
{
	uv_update_time(&program->caller->loop);
	uv_timer_start(&program->timer, handle_timer, (uint64_t)delay_ms, 0);
}

/* Selects the next address for each attempt, as long as no owner is known. */
static void
choose_address(struct load_program *program)
{
	const struct caller *caller = program->caller;
	size_t index = (size_t)(program->number + program->attempts);

	program->address = caller->addresses[index % caller->address_count];
}

void
load_program_retry(struct load_program *program, const json_t *response)
{
	const json_t *error = json_object_get(response, "error");
	const char *owner = json_string_value(json_object_get(error, "owner"));
	const char *reason =
	    json_string_value(json_object_get(error, "reason"));
	json_int_t retry_after_s =
	    json_integer_value(json_object_get(error, "retry_after_s"));
	int64_t delay_ms = retry_after_s > 0
	    ? (int64_t)retry_after_s * MS_PER_S
	    : (int64_t)RETRY_DELAY_MS * program->attempts;

	program->caller->results.retries++;
	if (++program->attempts > MAX_ATTEMPTS) {
		fprintf(stderr, "program %" PRId64 " turn %" PRId64 ": %s\n",
		    program->number, program->turn,
		    reason != NULL ? reason : "no answer");
		program_finish(program, false);
		return;
	}
	if (owner != NULL && caller_parse_address(owner, &program->address)) {
		next_step_later(program, 0);
	} else {
		choose_address(program);
		next_step_later(program, delay_ms);
	}
}

static void
handle_program_response(void *context, const struct http_response *response)
{
	struct load_program *program = context;
	json_t *root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "program"));
	bool ok = response->result == HTTP_RESULT_OK &&
	    response->status < 300 && id != NULL;

	if (!ok) {
		load_program_retry(program, root);
	} else if (program->id[0] == '\0') {
		snprintf(program->id, sizeof(program->id), "%s", id);
		program->attempts = 0;
		next_step(program);
	} else {
		program_finish(program, true);
	}
	json_decref(root);
}

static void
post(struct load_program *program, const char *path, const char *key)
{
	struct caller *caller = program->caller;
	const struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->settings.workspace},
	    {"idempotency-key", key},
	    {NULL, NULL},
	};
	struct http_call_params params = {
	    .address = program->address.ip,
	    .port = program->address.port,
	    .method = HTTP_POST,
	    .path = path,
	    .headers = headers,
	    .body = "{}",
	    .body_len = 2,
	};

	http_fetch(caller->net, &params, handle_program_response, program);
}

static void
begin(struct load_program *program)
{
	char key[64];

	snprintf(key, sizeof(key), "load-%" PRId64 "-%" PRId64,
	    program->caller->begun_us, program->number);
	if (program->caller->settings.guavakeel) {
		post(program, "/v1/programs", key);
		return;
	}
	memcpy(program->id, key, sizeof(key));
	next_step(program);
}

static void
end(struct load_program *program)
{
	char path[HTTP_PATH_BYTES];

	if (!program->caller->settings.guavakeel) {
		program_finish(program, true);
		return;
	}
	snprintf(path, sizeof(path), "/v1/programs/%s/end", program->id);
	post(program, path, "end");
}

/* Adds the user message of the next turn, padded to prompt_tokens tokens. */
static void
add_message(struct load_program *program)
{
	const struct caller_settings *settings = &program->caller->settings;
	struct buf content = {0};

	buf_printf(&content, "ANSWER_TOKENS:%" PRId64 " %s turn %" PRId64,
	    settings->answer_tokens, program->id, program->turn);
	while ((int64_t)text_tokens(content.len) < settings->prompt_tokens)
		buf_printf(&content, " %.*s", TOKEN_LETTERS, "lorem");
	free(program->content);
	program->content = xstrdup(buf_text(&content));
	buf_reset(&content);
	/* Guavakeel keeps the history. An engine needs it in each call. */
	if (settings->guavakeel)
		json_array_clear(program->history);
	json_array_append_new(program->history,
	    json_pack(
		"{s:s, s:s}", "role", "user", "content", program->content));
}

/* Begins the program, sends or retries the call of the current turn, or ends
 * the program after its last turn. */
static void
next_step(struct load_program *program)
{
	if (program->id[0] == '\0') {
		begin(program);
		return;
	}
	if (program->turn > program->caller->settings.turns) {
		end(program);
		return;
	}
	if (program->content == NULL)
		add_message(program);
	load_chat_send(program);
}

void
load_program_turn_done(
    struct load_program *program, struct load_response *response)
{
	json_array_append_new(program->history,
	    json_pack("{s:s, s:s}", "role", "assistant", "content",
		buf_text(&response->text)));
	free(program->content);
	program->content = NULL;
	program->attempts = 0;
	program->turn++;
	if (program->turn > program->caller->settings.turns)
		next_step(program);
	else
		next_step_later(program, program->caller->settings.pause_ms);
}

void
load_program_start(struct caller *caller, int64_t number)
{
	struct load_program *program = xcalloc(1, sizeof(*program));

	program->caller = caller;
	program->number = number;
	choose_address(program);
	program->turn = 1;
	program->history = json_array();
	program->begun_us = clock_monotonic_us();
	uv_timer_init(&caller->loop, &program->timer);
	program->timer.data = program;
	next_step(program);
}
