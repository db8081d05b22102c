#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "demo/caller.h"
#include "record/record.h"

enum {
	TRY_TIMEOUT_US = 20 * US_PER_S,
	DEFAULT_PATIENCE_US = 30 * US_PER_S,
	BACKOFF_MIN_MS = 50,
	BACKOFF_MAX_MS = 500,
	MAX_HOPS = 2, /**< redirects followed without a pause */
	REDIRECT_STATUS = 307,
};

struct caller {
	uv_loop_t loop;
	struct net *net;
	char addresses[CALLER_ADDRESSES][CALLER_ADDRESS_BYTES];
	size_t address_count;
	size_t current;                   /**< the address to try next */
	char owner[CALLER_ADDRESS_BYTES]; /**< by redirect; "" unknown */
	char workspace[NAME_BYTES];
	int64_t patience_us;
	struct rng rng;
};

/** A request under way. */
struct pending {
	bool done;
	struct caller_answer *answer;
	char location[CALLER_ADDRESS_BYTES];
};

struct caller *
caller_create(const char *const *addresses, const char *workspace)
{
	struct caller *caller = xcalloc(1, sizeof(*caller));
	const struct net_options options = {0};

	uv_loop_init(&caller->loop);
	caller->net = net_create(&caller->loop, &options, NULL);
	caller->patience_us = DEFAULT_PATIENCE_US;
	rng_init_random(&caller->rng);
	snprintf(caller->workspace, NAME_BYTES, "%s", workspace);
	for (; *addresses != NULL && caller->address_count < CALLER_ADDRESSES;
	     addresses++)
		snprintf(caller->addresses[caller->address_count++],
		    CALLER_ADDRESS_BYTES, "%s", *addresses);
	return caller;
}

void
caller_destroy(struct caller *caller)
{
	net_destroy(caller->net);
	uv_run(&caller->loop, UV_RUN_DEFAULT);
	uv_loop_close(&caller->loop);
	free(caller);
}

void
caller_set_patience(struct caller *caller, int64_t patience_us)
{
	caller->patience_us = patience_us;
}

void
caller_answer_reset(struct caller_answer *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
}

/* Takes "IP:port" out of "http://IP:port/path". */
static void
read_location(struct pending *pending, const char *location)
{
	const char *start = strstr(location, "://");
	size_t len;

	if (start == NULL)
		return;
	start += 3;
	len = strcspn(start, "/");
	if (len < sizeof(pending->location))
		memcpy(pending->location, start, len);
}

static void
handle_answer(void *context, const struct http_response *http)
{
	struct pending *pending = context;

	pending->done = true;
	pending->answer->result = http->result;
	pending->answer->status = http->status;
	pending->answer->body =
	    json_loadb((const char *)http->body, http->body_len, 0, NULL);
	read_location(pending, http->location);
}

static void
send_once(struct caller *caller, const char *address,
    struct http_call_params *params, struct pending *pending)
{
	char host[CALLER_ADDRESS_BYTES];
	char *colon;

	snprintf(host, sizeof(host), "%s", address);
	colon = strrchr(host, ':');
	if (colon == NULL) {
		pending->answer->result = HTTP_RESULT_CONNECT_FAILED;
		return;
	}
	*colon = '\0';
	params->address = host;
	params->port = atoi(colon + 1);
	if (params->timeout_us == 0)
		params->timeout_us = TRY_TIMEOUT_US;
	caller_answer_reset(pending->answer);
	snprintf(pending->answer->address, CALLER_ADDRESS_BYTES, "%s", address);
	http_fetch(caller->net, params, handle_answer, pending);
	while (!pending->done)
		uv_run(&caller->loop, UV_RUN_ONCE);
}

static void
handle_wake(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

static void
wait_ms(struct caller *caller, uint64_t ms)
{
	uv_timer_t timer;
	bool woken = false;

	uv_update_time(&caller->loop);
	uv_timer_init(&caller->loop, &timer);
	timer.data = &woken;
	uv_timer_start(&timer, handle_wake, ms, 0);
	while (!woken)
		uv_run(&caller->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&caller->loop, UV_RUN_NOWAIT);
}

/* Whether to send the call again: with its idempotency key that is safe after
 * anything but a final answer. */
static bool
wants_retry(const struct caller_answer *answer)
{
	json_t *error = json_object_get(answer->body, "error");

	if (answer->result != HTTP_RESULT_OK)
		return true;
	if (answer->status == REDIRECT_STATUS)
		return true;
	return json_object_get(error, "retry_after_s") != NULL;
}

static const char *
next_address(struct caller *caller)
{
	if (caller->owner[0] != '\0')
		return caller->owner;
	return caller->addresses[caller->current % caller->address_count];
}

static void
send_until_answered(struct caller *caller, struct http_call_params *params,
    struct caller_answer *answer)
{
	int64_t end_us = clock_monotonic_us() + caller->patience_us;
	uint64_t backoff_ms = BACKOFF_MIN_MS;
	int hops = 0;

	memset(answer, 0, sizeof(*answer));
	for (;;) {
		struct pending pending = {.answer = answer};
		char address[CALLER_ADDRESS_BYTES];

		snprintf(address, sizeof(address), "%s", next_address(caller));
		answer->tries++;
		send_once(caller, address, params, &pending);
		if (!wants_retry(answer))
			return;
		if (answer->result != HTTP_RESULT_OK &&
		    answer->result != HTTP_RESULT_CONNECT_FAILED)
			answer->maybe_ran = true;
		if (pending.location[0] != '\0') {
			memcpy(caller->owner, pending.location,
			    sizeof(caller->owner));
			if (++hops <= MAX_HOPS)
				continue;
		} else {
			caller->owner[0] = '\0';
			caller->current++;
		}
		hops = 0;
		if (clock_monotonic_us() > end_us)
			return;
		wait_ms(caller,
		    backoff_ms / 2 + rng_below(&caller->rng, backoff_ms));
		if (backoff_ms < BACKOFF_MAX_MS)
			backoff_ms *= 2;
	}
}

/* Sends a JSON request with the given headers; takes the body's reference. */
static bool
exchange(struct caller *caller, enum http_method method, const char *path,
    const struct http_header *headers, json_t *body,
    struct caller_answer *answer, struct error *err)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct http_call_params params = {
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .body = text,
	    .body_len = text != NULL ? strlen(text) : 0,
	};
	bool ok;

	send_until_answered(caller, &params, answer);
	free(text);
	json_decref(body);
	ok = answer->result == HTTP_RESULT_OK && answer->status < 300;
	if (!ok) {
		json_t *error = json_object_get(answer->body, "error");
		const char *reason =
		    json_string_value(json_object_get(error, "reason"));
		const char *run =
		    json_string_value(json_object_get(error, "run"));

		const char *detail =
		    json_string_value(json_object_get(error, "detail"));

		return error_set(err, ERROR_IO, "%s: %s, status %d, %s, %s: %s",
		    path, http_result_name(answer->result), answer->status,
		    reason != NULL ? reason : "no reason",
		    run != NULL ? run : "outcome unknown",
		    detail != NULL ? detail : "");
	}
	return true;
}

bool
caller_begin(struct caller *caller, const char *parent, uint64_t budget_tokens,
    const char *key, char *id, struct error *err)
{
	const struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {"idempotency-key", key},
	    {NULL, NULL},
	};
	struct caller_answer answer;
	const char *program;
	bool ok = exchange(caller, HTTP_POST, "/v1/programs", headers,
	    json_pack("{s:s, s:I}", "parent", parent, "budget_tokens",
		(json_int_t)budget_tokens),
	    &answer, err);

	program = json_string_value(json_object_get(answer.body, "program"));
	if (ok && program == NULL)
		ok = error_set(err, ERROR_INVALID, "begin: no program id");
	if (ok)
		snprintf(id, PROGRAM_ID_BYTES, "%s", program);
	caller_answer_reset(&answer);
	return ok;
}

bool
caller_end(struct caller *caller, const char *program, struct error *err)
{
	const struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {NULL, NULL},
	};
	struct caller_answer answer;
	char path[HTTP_PATH_BYTES];
	bool ok;

	snprintf(path, sizeof(path), "/v1/programs/%s/end", program);
	ok = exchange(
	    caller, HTTP_POST, path, headers, json_object(), &answer, err);
	caller_answer_reset(&answer);
	return ok;
}

bool
caller_chat(struct caller *caller, const char *program, uint64_t turn,
    const char *digest, const char *key, const char *model, json_t *messages,
    struct caller_answer *answer, struct error *err)
{
	char turn_text[24];
	struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {"x-guavakeel-program", program},
	    {"idempotency-key", key},
	    {"x-guavakeel-digest", digest},
	    {NULL, NULL}, /* the turn, if any */
	    {NULL, NULL},
	};

	snprintf(
	    turn_text, sizeof(turn_text), "%llu", (unsigned long long)turn);
	if (turn > 0) {
		headers[4].name = "x-guavakeel-turn";
		headers[4].value = turn_text;
	}
	return exchange(caller, HTTP_POST, "/v1/chat/completions", headers,
	    json_pack("{s:s, s:i, s:o}", "model", model, "max_tokens", 64,
		"messages", messages),
	    answer, err);
}

bool
caller_tool(struct caller *caller, const char *program, const char *key,
    const char *tool, json_t *arguments, struct caller_answer *answer,
    struct error *err)
{
	const struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {"x-guavakeel-program", program},
	    {"idempotency-key", key},
	    {NULL, NULL},
	};
	char path[HTTP_PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/tools/%s", tool);
	return exchange(
	    caller, HTTP_POST, path, headers, arguments, answer, err);
}

void
caller_request(struct caller *caller, const char *address,
    enum http_method method, const char *path, json_t *body,
    struct caller_answer *answer)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct http_call_params params = {
	    .method = method,
	    .path = path,
	    .body = text,
	    .body_len = text != NULL ? strlen(text) : 0,
	};
	struct pending pending = {.answer = answer};

	memset(answer, 0, sizeof(*answer));
	send_once(caller, address, &params, &pending);
	free(text);
	json_decref(body);
}
