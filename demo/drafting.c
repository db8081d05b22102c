/** @file
 * Runs one drafting program: model turns, tool calls, a sub-agent and an
 * invoice. Kills the VM that owns the program between two turns. Prints the
 * timeline, and checks the history, the number of times the invoice ran, the
 * budget and the release of KV memory.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "demo/caller.h"
#include "record/record.h"

enum {
	MAX_VMS = 16,
	MAX_ENGINES = 16,
	BUDGET_TOKENS = 20000,
	RELEASE_WAIT_MS = 10000,
	RELEASE_POLL_MS = 200,
};

/** The command line's arguments and the state of the run. */
struct drafting {
	const char *vms[MAX_VMS + 1];
	pid_t pids[MAX_VMS]; /**< of vms, by index */
	size_t vm_count;
	const char *engines[MAX_ENGINES];
	size_t engine_count;
	const char *tool; /**< address of the tool stand-in */
	const char *model;
	struct caller *caller;
	char program[PROGRAM_ID_BYTES];
	char child[PROGRAM_ID_BYTES];
	char owner[CALLER_ADDRESS_BYTES]; /**< VM that served its last turn */
	int64_t start_us;
	int failures;
};

/** What the caller keeps of a program's history. */
struct conversation {
	const char *program;
	uint64_t turn;        /**< number of model turns so far */
	struct digest digest; /**< of the history; zero before the first turn */
};

static void print_event(const struct drafting *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
print_event(const struct drafting *run, const char *fmt, ...)
{
	int64_t elapsed_us = clock_monotonic_us() - run->start_us;
	va_list args;

	printf("%8.3f s  ", (double)elapsed_us / US_PER_S);
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

static void
check(struct drafting *run, bool ok, const char *what)
{
	printf("%s  %s\n", ok ? "ok  " : "FAIL", what);
	if (!ok)
		run->failures++;
}

static void
fail(struct drafting *run, const char *what, const struct error *err)
{
	print_event(run, "FAILED %s: %s", what, err->text);
	run->failures++;
}

/* Extends the caller's digest chain by a turn: the JSON array of sent messages
 * and the reply. */
static void
append_turn(
    struct conversation *conversation, const char *sent, json_t *message)
{
	char *reply = json_dumps(message, JSON_COMPACT);
	struct buf content = {0};

	/* Appends the reply to the array: its closing bracket is left out. */
	buf_append(&content, sent, strlen(sent) - 1);
	buf_printf(&content, ",%s]", reply);
	conversation->digest =
	    digest_chain(&conversation->digest, content.data, content.len);
	conversation->turn++;
	buf_reset(&content);
	free(reply);
}

static bool
history_matches(const struct conversation *conversation, json_t *response)
{
	json_t *extension = json_object_get(response, "guavakeel");
	const char *digest =
	    json_string_value(json_object_get(extension, "digest"));
	char own[DIGEST_TEXT_BYTES];

	digest_format(&conversation->digest, own);
	return digest != NULL && strcmp(own, digest) == 0;
}

static void
print_turn(struct drafting *run, const struct conversation *conversation,
    const struct caller_response *response)
{
	json_t *usage = json_object_get(response->body, "usage");
	json_t *details = json_object_get(usage, "prompt_tokens_details");
	json_int_t prompt =
	    json_integer_value(json_object_get(usage, "prompt_tokens"));
	json_int_t cached =
	    json_integer_value(json_object_get(details, "cached_tokens"));
	json_int_t generated =
	    json_integer_value(json_object_get(usage, "completion_tokens"));

	print_event(run,
	    "%s turn %" PRIu64 ": %d prompt tokens (%d cached), %d generated, "
	    "by %s, %u tries",
	    conversation->program, conversation->turn, (int)prompt, (int)cached,
	    (int)generated, response->address, response->attempts);
	if (strcmp(conversation->program, run->program) == 0)
		memcpy(run->owner, response->address, sizeof(run->owner));
}

static void
run_turn(
    struct drafting *run, struct conversation *conversation, const char *text)
{
	json_t *messages =
	    json_pack("[{s:s, s:s}]", "role", "user", "content", text);
	char *sent = json_dumps(messages, JSON_COMPACT);
	char digest[DIGEST_TEXT_BYTES];
	char key[NAME_BYTES];
	struct caller_response response;
	struct error err = {0};
	json_t *choice;

	snprintf(key, sizeof(key), "turn-%" PRIu64, conversation->turn + 1);
	digest_format(&conversation->digest, digest);
	if (caller_chat(run->caller, conversation->program, 0, digest, key,
		run->model, messages, &response, &err)) {
		choice = json_array_get(
		    json_object_get(response.body, "choices"), 0);
		append_turn(
		    conversation, sent, json_object_get(choice, "message"));
		print_turn(run, conversation, &response);
		if (!history_matches(conversation, response.body)) {
			print_event(run,
			    "FAILED: the history differs from the "
			    "caller's own");
			run->failures++;
		}
	} else {
		fail(run, "model call", &err);
	}
	caller_response_reset(&response);
	free(sent);
}

/* Returns the tool's response as text, to be freed, or NULL on failure. */
static char *
call_tool(struct drafting *run, const char *tool, const char *key)
{
	struct caller_response response;
	struct error err = {0};
	char *text = NULL;

	if (caller_tool(run->caller, run->program, key, tool,
		json_pack("{s:s}", "set", "studio 4"), &response, &err)) {
		print_event(run, "tool %s (key %s): %u tries", tool, key,
		    response.attempts);
		text =
		    json_dumps(response.body, JSON_COMPACT | JSON_ENCODE_ANY);
	} else {
		fail(run, tool, &err);
	}
	caller_response_reset(&response);
	return text;
}

static void
run_sub_agent(struct drafting *run)
{
	struct conversation conversation = {.program = run->child};
	struct error err = {0};

	if (!caller_begin(run->caller, run->program, BUDGET_TOKENS / 10,
		"sub-agent", run->child, &err)) {
		fail(run, "begin of the sub-agent", &err);
		return;
	}
	print_event(run, "sub-agent %s begun", run->child);
	run_turn(run, &conversation, "Compare three backdrops for the set.");
	run_turn(run, &conversation, "Name the best one.");
	if (!caller_end(run->caller, run->child, &err))
		fail(run, "end of the sub-agent", &err);
	print_event(run, "sub-agent %s ended", run->child);
}

static void
kill_owner(struct drafting *run)
{
	for (size_t i = 0; i < run->vm_count; i++) {
		if (strcmp(run->vms[i], run->owner) != 0)
			continue;
		print_event(run, "SIGKILL to the owner, %s", run->owner);
		kill(run->pids[i], SIGKILL);
		return;
	}
	print_event(run, "FAILED: the owner %s is no known VM", run->owner);
	run->failures++;
}

/* Asks the tool stand-in how often a call with this key ran; -1 on failure. */
static json_int_t
count_runs(struct drafting *run, const char *tool, const char *key)
{
	struct caller_response response;
	char path[HTTP_PATH_BYTES];
	json_int_t runs = -1;

	snprintf(path, sizeof(path), "/runs?tool=%s&key=%s", tool, key);
	caller_request(run->caller, run->tool, HTTP_GET, path, NULL, &response);
	json_unpack(response.body, "{s:I}", "runs", &runs);
	caller_response_reset(&response);
	return runs;
}

/* Returns the KV tokens that all engines hold for a program, or -1 if an engine
 * does not respond. */
static json_int_t
count_kv_tokens(struct drafting *run, const char *program)
{
	json_int_t total = 0;

	for (size_t i = 0; i < run->engine_count; i++) {
		struct caller_response response;
		char path[HTTP_PATH_BYTES];
		json_int_t tokens = -1;

		snprintf(path, sizeof(path), "/v1/kv?program=%s", program);
		caller_request(run->caller, run->engines[i], HTTP_GET, path,
		    NULL, &response);
		json_unpack(response.body, "{s:I}", "tokens", &tokens);
		caller_response_reset(&response);
		if (tokens < 0)
			return -1;
		total += tokens;
	}
	return total;
}

/* Waits until no engine holds KV tokens for the program, at most
 * RELEASE_WAIT_MS. Returns the tokens still held, or -1. */
static json_int_t
wait_for_release(struct drafting *run, const char *program)
{
	json_int_t held = -1;

	for (int ms = 0; ms < RELEASE_WAIT_MS; ms += RELEASE_POLL_MS) {
		held = count_kv_tokens(run, program);
		if (held == 0)
			break;
		usleep(RELEASE_POLL_MS * US_PER_MS);
	}
	return held;
}

/* Asks the owner how many tokens of its budget the program has spent. Returns
 * -1 if the owner does not list the program. */
static json_int_t
fetch_spent_tokens(struct drafting *run)
{
	struct caller_response response;
	json_int_t spent = -1;
	json_t *program;
	size_t index;

	caller_request(
	    run->caller, run->owner, HTTP_GET, "/v1/programs", NULL, &response);
	json_array_foreach (
	    json_object_get(response.body, "programs"), index, program) {
		const char *id =
		    json_string_value(json_object_get(program, "program"));

		if (id != NULL && strcmp(id, run->program) == 0)
			spent = json_integer_value(
			    json_object_get(program, "spent"));
	}
	caller_response_reset(&response);
	return spent;
}

static void
call_invoice_twice(struct drafting *run)
{
	char *first = call_tool(run, "invoice", "invoice-1");
	char *second = call_tool(run, "invoice", "invoice-1");

	check(run,
	    first != NULL && second != NULL && strcmp(first, second) == 0,
	    "the repeated invoice call has the same answer");
	free(first);
	free(second);
}

static void
check_results(struct drafting *run, const struct conversation *conversation,
    json_int_t spent)
{
	char digest[DIGEST_TEXT_BYTES];
	json_int_t runs = count_runs(run, "invoice", "invoice-1");
	json_int_t held = wait_for_release(run, run->program) +
	    wait_for_release(run, run->child);

	digest_format(&conversation->digest, digest);
	printf("\nhistory: %" PRIu64 " turns, digest %.16s...\n",
	    conversation->turn, digest);
	printf("invoice runs: %d\n", (int)runs);
	printf("budget: %d of %d tokens spent\n", (int)spent, BUDGET_TOKENS);
	printf("KV tokens still held: %d\n\n", (int)held);
	check(run, conversation->turn == 4, "the history has all four turns");
	check(run, runs == 1, "the invoice ran exactly once");
	check(run, spent > 0 && spent <= BUDGET_TOKENS,
	    "the budget was charged and not exceeded");
	check(run, held == 0, "no engine memory is held for ended programs");
}

static void
run_scenario(struct drafting *run)
{
	struct conversation conversation = {.program = run->program};
	struct error err = {0};
	json_int_t spent;

	if (!caller_begin(run->caller, "", BUDGET_TOKENS, "brief-17",
		run->program, &err)) {
		fail(run, "begin", &err);
		return;
	}
	print_event(run, "program %s begun, budget %d tokens", run->program,
	    BUDGET_TOKENS);
	run_turn(run, &conversation, "Draft a scene brief for a lamp, set 4.");
	free(call_tool(run, "catalogue", "lookup-1"));
	run_turn(
	    run, &conversation, "The catalogue says: brass, 40 cm. Revise.");
	run_sub_agent(run);
	kill_owner(run);
	run_turn(run, &conversation, "Use the backdrop the sub-agent named.");
	call_invoice_twice(run);
	run_turn(
	    run, &conversation, "Summarise the brief for the photographer.");
	spent = fetch_spent_tokens(run);
	if (!caller_end(run->caller, run->program, &err))
		fail(run, "end", &err);
	print_event(run, "program %s ended", run->program);
	check_results(run, &conversation, spent);
}

static bool
add_vm(struct drafting *run, char *arg)
{
	char *equals = strchr(arg, '=');

	if (equals == NULL || run->vm_count == MAX_VMS)
		return false;
	*equals = '\0';
	run->vms[run->vm_count] = arg;
	run->pids[run->vm_count++] = (pid_t)atoi(equals + 1);
	return true;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct drafting *run = state->input;

	switch (key) {
	case 'v':
		if (!add_vm(run, arg))
			argp_error(state, "--vm needs ADDRESS=PID");
		return 0;
	case 'e':
		if (run->engine_count < MAX_ENGINES)
			run->engines[run->engine_count++] = arg;
		return 0;
	case 't':
		run->tool = arg;
		return 0;
	case 'm':
		run->model = arg;
		return 0;
	case ARGP_KEY_END:
		if (run->vm_count == 0 || run->tool == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"vm", 'v', "ADDRESS=PID", 0, "An entry VM (may be repeated)", 0},
    {"engine", 'e', "ADDRESS", 0, "An engine stand-in (may be repeated)", 0},
    {"tool", 't', "ADDRESS", 0, "The tool stand-in", 0},
    {"model", 'm', "NAME", 0, "The model to call", 0},
    {0},
};

static const struct argp drafting_argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs a drafting program against guavakeel and checks its results.",
};

int
main(int argc, char **argv)
{
	struct drafting run = {.model = "draft-1"};

	argp_parse(&drafting_argp, argc, argv, 0, NULL, &run);
	run.start_us = clock_monotonic_us();
	run.caller = caller_create(run.vms, "studio");
	run_scenario(&run);
	caller_destroy(run.caller);
	printf("\n%s\n", run.failures == 0 ? "demo passed" : "demo FAILED");
	return run.failures == 0 ? 0 : 1;
}
