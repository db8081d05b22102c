/* Plays one drafting program: model turns, a tool pause, a sub-agent, one
 * invoice; the VM that owns the program is killed between two turns. Prints
 * the timeline and checks what must hold. */
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

/** What the run was given, and what it has seen. */
struct drafting {
	const char *vms[MAX_VMS + 1];
	pid_t pids[MAX_VMS];
	size_t vm_count;
	const char *engines[MAX_ENGINES];
	size_t engine_count;
	const char *tool;
	const char *model;
	struct caller *caller;
	char program[PROGRAM_ID_BYTES];
	char child[PROGRAM_ID_BYTES];
	char owner[CALLER_ADDRESS_BYTES];
	int64_t begun_us;
	int failures;
};

/** The caller's own copy of one program's history. */
struct conversation {
	const char *program;
	uint64_t turn;        /**< model turns so far */
	struct digest digest; /**< of the history; zero before the first turn */
};

static void say(const struct drafting *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
say(const struct drafting *run, const char *fmt, ...)
{
	int64_t elapsed_us = clock_monotonic_us() - run->begun_us;
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
	say(run, "FAILED %s: %s", what, err->text);
	run->failures++;
}

/* Extends the caller's own digest chain by a turn. */
static void
extend_history(struct conversation *talk, const char *sent, json_t *message)
{
	char *reply = json_dumps(message, JSON_COMPACT);
	struct buf content = {0};

	/* `sent` is an array: its closing bracket gives way to the reply. */
	buf_append(&content, sent, strlen(sent) - 1);
	buf_printf(&content, ",%s]", reply);
	talk->digest = digest_chain(&talk->digest, content.data, content.len);
	talk->turn++;
	buf_reset(&content);
	free(reply);
}

static bool
same_history(const struct conversation *talk, json_t *answer)
{
	json_t *extension = json_object_get(answer, "guavakeel");
	const char *digest =
	    json_string_value(json_object_get(extension, "digest"));
	char own[DIGEST_TEXT_BYTES];

	digest_format(&talk->digest, own);
	return digest != NULL && strcmp(own, digest) == 0;
}

static void
note_answer(struct drafting *run, const struct conversation *talk,
    const struct caller_answer *answer)
{
	json_t *usage = json_object_get(answer->body, "usage");
	json_t *details = json_object_get(usage, "prompt_tokens_details");
	json_int_t prompt =
	    json_integer_value(json_object_get(usage, "prompt_tokens"));
	json_int_t cached =
	    json_integer_value(json_object_get(details, "cached_tokens"));
	json_int_t generated =
	    json_integer_value(json_object_get(usage, "completion_tokens"));

	say(run,
	    "%s turn %" PRIu64 ": %d prompt tokens (%d cached), %d generated, "
	    "by %s, %u tries",
	    talk->program, talk->turn, (int)prompt, (int)cached, (int)generated,
	    answer->address, answer->tries);
	if (strcmp(talk->program, run->program) == 0)
		memcpy(run->owner, answer->address, sizeof(run->owner));
}

static void
take_turn(struct drafting *run, struct conversation *talk, const char *text)
{
	json_t *messages =
	    json_pack("[{s:s, s:s}]", "role", "user", "content", text);
	char *sent = json_dumps(messages, JSON_COMPACT);
	char digest[DIGEST_TEXT_BYTES];
	char key[NAME_BYTES];
	struct caller_answer answer;
	struct error err = {0};
	json_t *choice;

	snprintf(key, sizeof(key), "turn-%" PRIu64, talk->turn + 1);
	digest_format(&talk->digest, digest);
	if (caller_chat(run->caller, talk->program, 0, digest, key, run->model,
		messages, &answer, &err)) {
		choice =
		    json_array_get(json_object_get(answer.body, "choices"), 0);
		extend_history(talk, sent, json_object_get(choice, "message"));
		note_answer(run, talk, &answer);
		if (!same_history(talk, answer.body)) {
			say(run,
			    "FAILED: the history differs from the "
			    "caller's own");
			run->failures++;
		}
	} else {
		fail(run, "model call", &err);
	}
	caller_answer_reset(&answer);
	free(sent);
}

static char *
call_tool(struct drafting *run, const char *tool, const char *key)
{
	struct caller_answer answer;
	struct error err = {0};
	char *text = NULL;

	if (caller_tool(run->caller, run->program, key, tool,
		json_pack("{s:s}", "set", "studio 4"), &answer, &err)) {
		say(run, "tool %s (key %s): %u tries", tool, key, answer.tries);
		text = json_dumps(answer.body, JSON_COMPACT | JSON_ENCODE_ANY);
	} else {
		fail(run, tool, &err);
	}
	caller_answer_reset(&answer);
	return text;
}

static void
run_sub_agent(struct drafting *run)
{
	struct conversation talk = {.program = run->child};
	struct error err = {0};

	if (!caller_begin(run->caller, run->program, BUDGET_TOKENS / 10,
		"sub-agent", run->child, &err)) {
		fail(run, "begin of the sub-agent", &err);
		return;
	}
	say(run, "sub-agent %s begun", run->child);
	take_turn(run, &talk, "Compare three backdrops for the set.");
	take_turn(run, &talk, "Name the best one.");
	if (!caller_end(run->caller, run->child, &err))
		fail(run, "end of the sub-agent", &err);
	say(run, "sub-agent %s ended", run->child);
}

static void
kill_owner(struct drafting *run)
{
	for (size_t i = 0; i < run->vm_count; i++) {
		if (strcmp(run->vms[i], run->owner) != 0)
			continue;
		say(run, "SIGKILL to the owner, %s", run->owner);
		kill(run->pids[i], SIGKILL);
		return;
	}
	say(run, "FAILED: the owner %s is no known VM", run->owner);
	run->failures++;
}

static json_int_t
count_runs(struct drafting *run, const char *tool, const char *key)
{
	struct caller_answer answer;
	char path[HTTP_PATH_BYTES];
	json_int_t runs = -1;

	snprintf(path, sizeof(path), "/runs?tool=%s&key=%s", tool, key);
	caller_request(run->caller, run->tool, HTTP_GET, path, NULL, &answer);
	json_unpack(answer.body, "{s:I}", "runs", &runs);
	caller_answer_reset(&answer);
	return runs;
}

/* KV tokens that all engines hold for a program; -1 if one can't be asked. */
static json_int_t
count_kv(struct drafting *run, const char *program)
{
	json_int_t total = 0;

	for (size_t i = 0; i < run->engine_count; i++) {
		struct caller_answer answer;
		char path[HTTP_PATH_BYTES];
		json_int_t tokens = -1;

		snprintf(path, sizeof(path), "/v1/kv?program=%s", program);
		caller_request(run->caller, run->engines[i], HTTP_GET, path,
		    NULL, &answer);
		json_unpack(answer.body, "{s:I}", "tokens", &tokens);
		caller_answer_reset(&answer);
		if (tokens < 0)
			return -1;
		total += tokens;
	}
	return total;
}

static json_int_t
wait_for_release(struct drafting *run, const char *program)
{
	json_int_t held = -1;

	for (int ms = 0; ms < RELEASE_WAIT_MS; ms += RELEASE_POLL_MS) {
		held = count_kv(run, program);
		if (held == 0)
			break;
		usleep(RELEASE_POLL_MS * US_PER_MS);
	}
	return held;
}

/* Reads the budget that a live program has left, from its owner. */
static json_int_t
budget_spent(struct drafting *run)
{
	struct caller_answer answer;
	json_int_t spent = -1;
	json_t *program;
	size_t index;

	caller_request(
	    run->caller, run->owner, HTTP_GET, "/v1/programs", NULL, &answer);
	json_array_foreach (
	    json_object_get(answer.body, "programs"), index, program) {
		const char *id =
		    json_string_value(json_object_get(program, "program"));

		if (id != NULL && strcmp(id, run->program) == 0)
			spent = json_integer_value(
			    json_object_get(program, "spent"));
	}
	caller_answer_reset(&answer);
	return spent;
}

static void
invoice_twice(struct drafting *run)
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
report(struct drafting *run, const struct conversation *talk, json_int_t spent)
{
	char digest[DIGEST_TEXT_BYTES];
	json_int_t runs = count_runs(run, "invoice", "invoice-1");
	json_int_t held = wait_for_release(run, run->program) +
	    wait_for_release(run, run->child);

	digest_format(&talk->digest, digest);
	printf("\nhistory: %" PRIu64 " turns, digest %.16s...\n", talk->turn,
	    digest);
	printf("invoice runs: %d\n", (int)runs);
	printf("budget: %d of %d tokens spent\n", (int)spent, BUDGET_TOKENS);
	printf("KV tokens still held: %d\n\n", (int)held);
	check(run, talk->turn == 4, "the history has all four turns");
	check(run, runs == 1, "the invoice ran exactly once");
	check(run, spent > 0 && spent <= BUDGET_TOKENS,
	    "the budget was charged and not exceeded");
	check(run, held == 0, "no engine memory is held for ended programs");
}

static void
play(struct drafting *run)
{
	struct conversation talk = {.program = run->program};
	struct error err = {0};
	json_int_t spent;

	if (!caller_begin(run->caller, "", BUDGET_TOKENS, "brief-17",
		run->program, &err)) {
		fail(run, "begin", &err);
		return;
	}
	say(run, "program %s begun, budget %d tokens", run->program,
	    BUDGET_TOKENS);
	take_turn(run, &talk, "Draft a scene brief for a lamp, set 4.");
	free(call_tool(run, "catalogue", "lookup-1"));
	take_turn(run, &talk, "The catalogue says: brass, 40 cm. Revise.");
	run_sub_agent(run);
	kill_owner(run);
	take_turn(run, &talk, "Use the backdrop the sub-agent named.");
	invoice_twice(run);
	take_turn(run, &talk, "Summarise the brief for the photographer.");
	spent = budget_spent(run);
	if (!caller_end(run->caller, run->program, &err))
		fail(run, "end", &err);
	say(run, "program %s ended", run->program);
	report(run, &talk, spent);
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
    {"vm", 'v', "ADDRESS=PID", 0, "An entry VM (repeat)", 0},
    {"engine", 'e', "ADDRESS", 0, "An engine stand-in (repeat)", 0},
    {"tool", 't', "ADDRESS", 0, "The tool stand-in", 0},
    {"model", 'm', "NAME", 0, "The model to call", 0},
    {0},
};

static const struct argp drafting_argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Plays a drafting program against guavakeel and checks it.",
};

int
main(int argc, char **argv)
{
	struct drafting run = {.model = "draft-1"};

	argp_parse(&drafting_argp, argc, argv, 0, NULL, &run);
	run.begun_us = clock_monotonic_us();
	run.caller = caller_create(run.vms, "studio");
	play(&run);
	caller_destroy(run.caller);
	printf("\n%s\n", run.failures == 0 ? "demo passed" : "demo FAILED");
	return run.failures == 0 ? 0 : 1;
}
