#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "daemon/attempt.h"

enum {
	MAX_LINE_BYTES = 1 << 20, /**< longest line of the event stream */
	/* An engine whose request waits may send comments to show that it is
	 * alive. They are taken for progress for this many times the longest
	 * time without data, and events always are. */
	EVENTLESS_TIMEOUTS = 4,
	FINISH_REASON_BYTES = 32,
};

/** A request to an engine. */
struct attempt {
	struct attempt_callbacks callbacks;
	struct http_call *http;
	int64_t idle_timeout_us;
	int64_t last_event_us;
	char id[NAME_BYTES];
	struct buf line; /**< received, but not yet a complete line */
	bool done;       /**< the closing event "[DONE]" was received */
	bool malformed;  /**< an event is not JSON, or a line is too long */
	bool wrong_id;   /**< an event has another attempt's identifier */
	char finish_reason[FINISH_REASON_BYTES];
	struct attempt_usage usage;
};

static void
attempt_free(struct attempt *attempt)
{
	buf_reset(&attempt->line);
	free(attempt);
}

static void
read_usage(struct attempt *attempt, json_t *usage)
{
	json_t *details = json_object_get(usage, "prompt_tokens_details");

	attempt->usage.prompt_tokens = (uint64_t)json_integer_value(
	    json_object_get(usage, "prompt_tokens"));
	attempt->usage.completion_tokens = (uint64_t)json_integer_value(
	    json_object_get(usage, "completion_tokens"));
	attempt->usage.cached_tokens = (uint64_t)json_integer_value(
	    json_object_get(details, "cached_tokens"));
}

static void
read_choice(struct attempt *attempt, json_t *choice)
{
	json_t *delta = json_object_get(choice, "delta");
	const char *text = json_string_value(json_object_get(delta, "content"));
	json_t *tool_calls = json_object_get(delta, "tool_calls");
	const char *finish_reason =
	    json_string_value(json_object_get(choice, "finish_reason"));

	if (text != NULL && text[0] != '\0')
		attempt->callbacks.on_text(attempt->callbacks.context, text);
	if (json_is_array(tool_calls))
		attempt->callbacks.on_tool_calls(
		    attempt->callbacks.context, tool_calls);
	if (finish_reason != NULL)
		snprintf(attempt->finish_reason, sizeof(attempt->finish_reason),
		    "%s", finish_reason);
}

/* Returns whether an event belongs to this attempt: the engine puts the
 * attempt's identifier into each event. */
static bool
is_own_event(const struct attempt *attempt, json_t *event)
{
	const char *id = json_string_value(json_object_get(event, "id"));

	return id != NULL && strcmp(id, attempt->id) == 0;
}

static void
handle_event(struct attempt *attempt, const char *data, size_t len)
{
	json_t *event;
	json_t *usage;

	attempt->last_event_us = clock_monotonic_us();
	if (len == 6 && memcmp(data, "[DONE]", 6) == 0) {
		attempt->done = true;
		return;
	}
	event = json_loadb(data, len, 0, NULL);
	if (event == NULL) {
		attempt->malformed = true;
		return;
	}
	if (!is_own_event(attempt, event)) {
		attempt->wrong_id = true;
		json_decref(event);
		return;
	}
	usage = json_object_get(event, "usage");
	if (json_is_object(usage))
		read_usage(attempt, usage);
	read_choice(
	    attempt, json_array_get(json_object_get(event, "choices"), 0));
	json_decref(event);
}

static void
handle_line(struct attempt *attempt, const char *line, size_t len)
{
	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len > 6 && memcmp(line, "data: ", 6) == 0)
		handle_event(attempt, line + 6, len - 6);
	if (clock_monotonic_us() - attempt->last_event_us <
	    EVENTLESS_TIMEOUTS * attempt->idle_timeout_us)
		http_call_progress(attempt->http);
}

static void
handle_data(void *context, int status, const uint8_t *data, size_t len)
{
	struct attempt *attempt = context;
	size_t start = 0;

	if (status != 200)
		return;
	if (!buf_append(&attempt->line, data, len)) {
		attempt->malformed = true;
		return;
	}
	for (;;) {
		const uint8_t *base = attempt->line.data + start;
		const uint8_t *end =
		    memchr(base, '\n', attempt->line.len - start);

		if (end == NULL)
			break;
		handle_line(attempt, (const char *)base, (size_t)(end - base));
		start = (size_t)(end - attempt->line.data) + 1;
	}
	buf_consume(&attempt->line, start);
}

static enum sched_result
attempt_result(
    const struct attempt *attempt, enum http_result result, int status)
{
	switch (result) {
	case HTTP_RESULT_CONNECT_FAILED:
		return SCHED_NOT_STARTED;
	case HTTP_RESULT_TIMEOUT:
		return SCHED_TIMED_OUT;
	case HTTP_RESULT_OK:
		break;
	default:
		return attempt->done ? SCHED_DONE : SCHED_DISCONNECTED;
	}
	if (status == 429 || status == 503)
		return SCHED_BUSY;
	if (status != 200 || attempt->malformed || attempt->wrong_id)
		return SCHED_FAILED;
	return attempt->done ? SCHED_DONE : SCHED_DISCONNECTED;
}

static void
handle_done(void *context, enum http_result result, int status)
{
	struct attempt *attempt = context;
	struct attempt_callbacks callbacks = attempt->callbacks;

	callbacks.on_end(callbacks.context,
	    attempt_result(attempt, result, status), status,
	    attempt->finish_reason, &attempt->usage);
	attempt_free(attempt);
}

/* Appends text that the caller got from an earlier attempt as the start of the
 * assistant's message, which the engine continues. */
static void
append_partial(struct buf *body, const char *partial)
{
	json_t *message;
	char *text;

	if (partial == NULL || partial[0] == '\0')
		return;
	message =
	    json_pack("{s:s, s:s}", "role", "assistant", "content", partial);
	text = json_dumps(message, JSON_COMPACT);
	buf_append_text(body, ",");
	buf_append_text(body, text);
	free(text);
	json_decref(message);
}

void
attempt_write_body(const struct attempt_params *params, struct buf *body)
{
	bool continues = params->partial != NULL && params->partial[0] != '\0';
	json_t *fields = json_pack("{s:s, s:s, s:b, s:{s:b}, s:I, s:s, s:s, "
				   "s:I, s:b}",
	    "model", params->model, "adapter", params->adapter, "stream", 1,
	    "stream_options", "include_usage", 1, "max_tokens",
	    (json_int_t)params->max_tokens, "program", params->program,
	    "attempt", params->id, "priority", (json_int_t)params->priority,
	    "continue_final_message", continues);
	char *text = json_dumps(fields, JSON_COMPACT);

	/* The messages are JSON text, inserted without parsing. */
	buf_append(body, text, strlen(text) - 1);
	buf_append_text(body, ",\"messages\":[");
	buf_append(body, params->prompt->data, params->prompt->len);
	append_partial(body, params->partial);
	buf_append_text(body, "]}");
	free(text);
	json_decref(fields);
}

struct attempt *
attempt_start(struct net *net, const struct attempt_params *params,
    const struct attempt_callbacks *callbacks)
{
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));
	const struct http_header headers[] = {
	    {"content-type", "application/json"},
	    {"x-guavakeel-attempt", params->id},
	    {NULL, NULL},
	};
	struct buf body = {0};
	struct http_call_params http = {
	    .address = params->server->address,
	    .port = params->server->port,
	    .method = HTTP_POST,
	    .path = "/v1/chat/completions",
	    .headers = headers,
	    .timeout_us = params->idle_timeout_us,
	    .reports_progress = true,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = attempt,
	};

	attempt->callbacks = *callbacks;
	attempt->idle_timeout_us = params->idle_timeout_us;
	attempt->last_event_us = clock_monotonic_us();
	attempt->line.max = MAX_LINE_BYTES;
	snprintf(attempt->id, sizeof(attempt->id), "%s", params->id);
	attempt_write_body(params, &body);
	http.body = body.data;
	http.body_len = body.len;
	attempt->http = http_call_start(net, &http);
	buf_reset(&body);
	return attempt;
}

void
attempt_cancel(struct attempt *attempt)
{
	http_call_cancel(attempt->http);
	attempt_free(attempt);
}
