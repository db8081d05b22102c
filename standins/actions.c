/** @file
 * standin-tool and standin-service: run an action for each request and count
 * the runs by action name and idempotency key.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/memory.h"
#include "standins/programs.h"
#include "standins/runs.h"

enum {
	MAX_RUN_MS = 3600000,
};

/** Values of the command-line options. */
static struct {
	int64_t run_ms; /**< duration of an action whose request sets none */
	bool deduplicate;
	bool print_runs;
} settings;

static const char *prefix; /**< path prefix of the actions */
static struct runs *runs;

/* Counts a run of the action and replies with its result. With deduplicate, a
 * repeated idempotency key returns the same result without another run. */
static void
run(struct standin_request *request)
{
	const char *name = standin_path_suffix(request, prefix);
	uint64_t before = runs_count(runs, name, request->key);
	bool must_run =
	    !settings.deduplicate || request->key[0] == '\0' || before == 0;
	uint64_t count = must_run ? runs_add(runs, name, request->key) : before;
	char result[24];

	if (must_run && settings.print_runs) {
		printf("ran %s %s\n", name, request->key);
		fflush(stdout);
	}
	snprintf(result, sizeof(result), "%016" PRIx64,
	    hash_bytes(
		request->body.data, request->body.len, hash_text(name, 0)));
	standin_reply(request, 200,
	    json_pack("{s:s, s:s, s:I, s:s}", "name", name, "key", request->key,
		"runs", (json_int_t)count, "result", result));
}

/* Returns the duration of the action in ms, at most MAX_RUN_MS. Takes the
 * idempotency key from the body if the request has no such header. */
static int64_t
read_body(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	const char *key =
	    json_string_value(json_object_get(root, "idempotency_key"));
	const json_t *run_ms = json_object_get(root, "run_ms");
	int64_t wait_ms = settings.run_ms;

	if (request->key[0] == '\0' && key != NULL)
		snprintf(request->key, sizeof(request->key), "%s", key);
	if (json_is_integer(run_ms))
		wait_ms = json_integer_value(run_ms);
	json_decref(root);
	return wait_ms >= 0 && wait_ms < MAX_RUN_MS ? wait_ms : MAX_RUN_MS;
}

/* Does nothing: an action runs to its end after its caller disconnects. */
static void
handle_closed(struct standin_request *request)
{
	(void)request;
}

static void
handle_action(struct standin_request *request)
{
	int64_t wait_ms = read_body(request);

	if (wait_ms == 0) {
		run(request);
		return;
	}
	request->on_close = handle_closed;
	standin_request_delay(request, wait_ms, run);
}

static void
handle_runs(struct standin_request *request)
{
	char name[HTTP_PATH_BYTES];
	char key[STANDIN_KEY_BYTES];

	standin_query_text(request, "tool", name, sizeof(name));
	standin_query_text(request, "key", key, sizeof(key));
	if (key[0] == '\0')
		standin_reply(request, 200, runs_list(runs, name));
	else
		standin_reply(request, 200,
		    json_pack("{s:I}", "runs",
			(json_int_t)runs_count(runs, name, key)));
}

static void
handle(struct standin_request *request)
{
	const char *name = standin_path_suffix(request, prefix);

	if (strcmp(request->path, "/runs") == 0)
		handle_runs(request);
	else if (name != NULL && name[0] != '\0' &&
	    request->method != HTTP_OTHER)
		handle_action(request);
	else
		standin_reply_error(request, 404, "unknown_path");
}

static json_t *
stats(struct standin *standin)
{
	(void)standin;
	return runs_stats(runs);
}

static void
start(struct standin *standin)
{
	runs = runs_create();
	prefix = standin->program == &tool_program ? "/tools/" : "/services/";
}

static void
stop(struct standin *standin)
{
	(void)standin;
	runs_destroy(runs);
}

static const struct field options[] = {
    {"run_ms", "MS",
	"Duration of an action unless its request body sets run_ms",
	FIELD_INTEGER, {.integer = &settings.run_ms}},
    {"deduplicate", "yes|no", "Run an action once for each key", FIELD_BOOL,
	{.flag = &settings.deduplicate}},
    {"print_runs", "yes|no", "Print a line for each run", FIELD_BOOL,
	{.flag = &settings.print_runs}},
};

const struct standin_program tool_program = {
    .name = "standin-tool",
    .summary = "Stand-in for a tool service: POST /tools/NAME.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .start = start,
    .stop = stop,
    .handle = handle,
    .stats = stats,
};

const struct standin_program service_program = {
    .name = "standin-service",
    .summary = "Stand-in for a plain service: /services/NAME.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .start = start,
    .stop = stop,
    .handle = handle,
    .stats = stats,
};
