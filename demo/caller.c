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
	ATTEMPT_TIMEOUT_US = 20 * US_PER_S,
	DEFAULT_TIMEOUT_US = 30 * US_PER_S,
	BACKOFF_MIN_MS = 50,
	BACKOFF_MAX_MS = 500,
	MAX_REDIRECTS = 2, /**< redirects followed in a row without a pause */
	REDIRECT_STATUS = 307,
};

struct caller {
	uv_loop_t loop;
	struct net *net;
	char addresses[CALLER_MAX_ADDRESSES][CALLER_ADDRESS_BYTES];
	size_t address_count;
	size_t next_index; /**< index of the address for the next attempt */
	char owner[CALLER_ADDRESS_BYTES]; /**< from a redirect, or "" */
	char workspace[NAME_BYTES];
	int64_t timeout_us; /**< from the first to the last attempt of a call */
	struct rng rng;
};

/** A request in progress. */
struct pending {
	bool done;
	struct caller_response *response;
	char location[CALLER_ADDRESS_BYTES]; /**< of a redirect; "" if none */
};

struct caller *
caller_create(const char *const *addresses, const char *workspace)
{
	struct caller *caller = xcalloc(1, sizeof(*caller));
	const struct net_options options = {0};

	uv_loop_init(&caller->loop);
	caller->net = net_create(&caller->loop, &options, NULL);
	caller->timeout_us = DEFAULT_TIMEOUT_US;
	rng_init_random(&caller->rng);
	snprintf(caller->workspace, NAME_BYTES, "%s", workspace);
	for (;
	     *addresses != NULL && caller->address_count < CALLER_MAX_ADDRESSES;
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
caller_response_reset(struct caller_response *response)
{
	json_decref(response->body);
	response->body = NULL;
}

/* Copies "IP:port" out of "http://IP:port/path". */
static void
parse_location(struct pending *pending, const char *location)
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
handle_response(void *context, const struct http_response *http)
{
	struct pending *pending = context;

	pending->done = true;
	pending->response->result = http->result;
	pending->response->status = http->status;
	pending->response->body =
	    json_loadb((const char *)http->body, http->body_len, 0, NULL);
	parse_location(pending, http->location);
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
		pending->response->result = HTTP_RESULT_CONNECT_FAILED;
		return;
	}
	*colon = '\0';
	params->address = host;
	params->port = atoi(colon + 1);
	if (params->timeout_us == 0)
		params->timeout_us = ATTEMPT_TIMEOUT_US;
	caller_response_reset(pending->response);
	snprintf(
	    pending->response->address, CALLER_ADDRESS_BYTES, "%s", address);
	http_fetch(caller->net, params, handle_response, pending);
	while (!pending->done)
		uv_run(&caller->loop, UV_RUN_ONCE);
}

static void
handle_timer(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

static void
wait_ms(struct caller *caller, uint64_t ms)
{
	uv_timer_t timer;
	bool fired = false;

	uv_update_time(&caller->loop);
	uv_timer_init(&caller->loop, &timer);
	timer.data = &fired;
	uv_timer_start(&timer, handle_timer, ms, 0);
	while (!fired)
		uv_run(&caller->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&caller->loop, UV_RUN_NOWAIT);
}

/* Returns whether to repeat the call: after a failed attempt, a redirect, or an
 * error with retry_after_s. The call's idempotency key makes that safe. */
static bool
should_retry(const struct caller_response *response)
{
	json_t *error = json_object_get(response->body, "error");

	if (response->result != HTTP_RESULT_OK)
		return true;
	if (response->status == REDIRECT_STATUS)
		return true;
	return json_object_get(error, "retry_after_s") != NULL;
}

static const char *
choose_address(struct caller *caller)
{
	if (caller->owner[0] != '\0')
		return caller->owner;
	return caller->addresses[caller->next_index % caller->address_count];
}

static void
send_with_retries(struct caller *caller, struct http_call_params *params,
    struct caller_response *response)
{
	int64_t deadline_us = clock_monotonic_us() + caller->timeout_us;
	uint64_t backoff_ms = BACKOFF_MIN_MS;
	int redirects = 0;

	memset(response, 0, sizeof(*response));
	for (;;) {
		struct pending pending = {.response = response};
		char address[CALLER_ADDRESS_BYTES];

		snprintf(
		    address, sizeof(address), "%s", choose_address(caller));
		response->attempts++;
		send_once(caller, address, params, &pending);
		if (!should_retry(response))
			return;
		if (response->result != HTTP_RESULT_OK &&
		    response->result != HTTP_RESULT_CONNECT_FAILED)
			response->may_have_run = true;
		if (pending.location[0] != '\0') {
			memcpy(caller->owner, pending.location,
			    sizeof(caller->owner));
			if (++redirects <= MAX_REDIRECTS)
				continue;
		} else {
			caller->owner[0] = '\0';
			caller->next_index++;
		}
		redirects = 0;
		if (clock_monotonic_us() > deadline_us)
			return;
		wait_ms(caller,
		    backoff_ms / 2 + rng_below(&caller->rng, backoff_ms));
		if (backoff_ms < BACKOFF_MAX_MS)
			backoff_ms *= 2;
	}
}

/* Sends a JSON request, with retries. Takes the reference to body. Returns
 * false, and sets err, unless the last attempt got a status below 300. */
static bool
send_json(struct caller *caller, enum http_method method, const char *path,
    const struct http_header *headers, json_t *body,
    struct caller_response *response, struct error *err)
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

	send_with_retries(caller, &params, response);
	free(text);
	json_decref(body);
	ok = response->result == HTTP_RESULT_OK && response->status < 300;
	if (!ok) {
		json_t *error = json_object_get(response->body, "error");
		const char *reason =
		    json_string_value(json_object_get(error, "reason"));
		const char *run =
		    json_string_value(json_object_get(error, "run"));

		const char *detail =
		    json_string_value(json_object_get(error, "detail"));

		return error_set(err, ERROR_IO, "%s: %s, status %d, %s, %s: %s",
		    path, http_result_name(response->result), response->status,
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
	struct caller_response response;
	const char *program;
	bool ok = send_json(caller, HTTP_POST, "/v1/programs", headers,
	    json_pack("{s:s, s:I}", "parent", parent, "budget_tokens",
		(json_int_t)budget_tokens),
	    &response, err);

	program = json_string_value(json_object_get(response.body, "program"));
	if (ok && program == NULL)
		ok = error_set(err, ERROR_INVALID, "begin: no program id");
	if (ok)
		snprintf(id, PROGRAM_ID_BYTES, "%s", program);
	caller_response_reset(&response);
	return ok;
}

bool
caller_end(struct caller *caller, const char *program, struct error *err)
{
	const struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {NULL, NULL},
	};
	struct caller_response response;
	char path[HTTP_PATH_BYTES];
	bool ok;

	snprintf(path, sizeof(path), "/v1/programs/%s/end", program);
	ok = send_json(
	    caller, HTTP_POST, path, headers, json_object(), &response, err);
	caller_response_reset(&response);
	return ok;
}

bool
caller_chat(struct caller *caller, const char *program, uint64_t turn,
    const char *digest, const char *key, const char *model, json_t *messages,
    struct caller_response *response, struct error *err)
{
	char turn_text[24];
	struct http_header headers[] = {
	    {"x-guavakeel-workspace", caller->workspace},
	    {"x-guavakeel-program", program},
	    {"idempotency-key", key},
	    {"x-guavakeel-digest", digest},
	    {NULL, NULL}, /* replaced by x-guavakeel-turn if turn > 0 */
	    {NULL, NULL},
	};

	snprintf(
	    turn_text, sizeof(turn_text), "%llu", (unsigned long long)turn);
	if (turn > 0) {
		headers[4].name = "x-guavakeel-turn";
		headers[4].value = turn_text;
	}
	return send_json(caller, HTTP_POST, "/v1/chat/completions", headers,
	    json_pack("{s:s, s:i, s:o}", "model", model, "max_tokens", 64,
		"messages", messages),
	    response, err);
}

bool
caller_tool(struct caller *caller, const char *program, const char *key,
    const char *tool, json_t *arguments, struct caller_response *response,
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
	return send_json(
	    caller, HTTP_POST, path, headers, arguments, response, err);
}

void
caller_request(struct caller *caller, const char *address,
    enum http_method method, const char *path, json_t *body,
    struct caller_response *response)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct http_call_params params = {
	    .method = method,
	    .path = path,
	    .body = text,
	    .body_len = text != NULL ? strlen(text) : 0,
	};
	struct pending pending = {.response = response};

	memset(response, 0, sizeof(*response));
	send_once(caller, address, &params, &pending);
	free(text);
	json_decref(body);
}
