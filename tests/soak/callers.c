#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "soak.h"

enum {
	PROGRAMS_MIN = 10,
	PROGRAMS_PER_GATEWAY = 2,
	PROGRAMS_MAX = PROGRAMS_PER_GATEWAY * CLUSTER_MAX_GATEWAYS,
	STEP_MS = 5,
	TURN_MAX_TOKENS = 50, /* most generated tokens, for Token-Usage */
	TOKENS_PER_EVENT = 10,
	EVENTS_PER_TURN = 4,
	BUDGET_MIN_TOKENS = 200,
	BUDGET_MAX_TOKENS = 3000,
	THINK_TIME_MAX_MS = 150,  /* between two calls of a program */
	RETRY_DELAY_MAX_MS = 200, /* after a failed connect, else twice */
	DEADLINE_MS = 2500,
	CALL_TIMEOUT_MS = 4000, /* then the call is cancelled */
	CONNECT_TIMEOUT_US = 700 * US_PER_MS,
	/* Four fifths of the idle timeout of the published configuration. */
	MAX_REUSE_US = 4 * US_PER_S,
	MAX_ONCE_REQUESTS = 16384, /* most that a run records */
	MAX_CUT_REQUESTS = 256,    /* the same */
	/* Of so many turns, the server breaks the stream of one off. */
	TURNS_PER_BROKEN_STREAM = 16,
	NAME_MAX_BYTES = 32,
	/* Of so many turns, one is longer than a record of the store. */
	TURNS_PER_LONG_INPUT = 24,
	LONG_INPUT_BYTES = 300000,
	FIELD_BYTES = 96,
	BODY_MAX_BYTES = 4096,
};

enum call_kind {
	CALL_TURN,
	CALL_ONCE, /* must not be repeated by a gateway */
	CALL_SAFE, /* may be repeated */
};

/** A request that must not be repeated, and the response to its caller. */
struct once_request {
	char request[NAME_MAX_BYTES];
	int status; /**< 0: no complete response */
};

/** A program and its current call. */
struct program {
	struct callers *callers;
	char id[NAME_MAX_BYTES];
	uint64_t budget_tokens;
	uint64_t received_tokens; /**< generated tokens in all responses */
	/** Calls that may have generated tokens that were not received. */
	uint64_t uncertain_calls;
	char previous_turn[NAME_MAX_BYTES]; /**< request id, or "" */
	struct buf history; /**< inputs and outputs of all turns */
	bool recovered;     /**< completed a turn since recovery began */
	/* The current or last call: */
	struct h1_call *call; /**< NULL: none in progress */
	enum call_kind kind;
	char request[NAME_MAX_BYTES];
	struct buf input;
	struct buf response;
	int status;
	int gateway;
	int64_t sent_us;
	bool breaks_off; /**< the server breaks the stream off */
	/** When the next call starts, or the one in progress times out. */
	int64_t due_us;
};

struct callers {
	struct soak *soak;
	uv_timer_t *timer;
	struct program programs[PROGRAMS_MAX];
	int program_count;
	struct once_request once_requests[MAX_ONCE_REQUESTS];
	size_t once_request_count;
	/** Requests without a complete response although there had been nothing
	 * but planned work. */
	char cut_requests[MAX_CUT_REQUESTS][NAME_MAX_BYTES];
	size_t cut_request_count;
	uint64_t last_id; /**< of programs and requests */
	uint64_t completed_turns;
	uint64_t refused_turns;  /**< status 503 */
	uint64_t ended_programs; /**< their budget was used up */
	bool recovering;         /**< the faults have ended */
};

/* Returns a random time between 1 and max_ms from now. */
static int64_t
random_time_us(struct callers *callers, int max_ms)
{
	return clock_monotonic_us() +
	    (int64_t)(1 + rng_below(&callers->soak->rng, (uint64_t)max_ms)) *
	    US_PER_MS;
}

/* Replaces a program by a new one. */
static void
program_reset(struct callers *callers, struct program *program)
{
	buf_reset(&program->history);
	buf_reset(&program->response);
	buf_reset(&program->input);
	*program = (struct program){
	    .callers = callers,
	    .recovered = callers->recovering,
	    .budget_tokens = BUDGET_MIN_TOKENS +
		rng_below(
		    &callers->soak->rng, BUDGET_MAX_TOKENS - BUDGET_MIN_TOKENS),
	    .due_us = random_time_us(callers, THINK_TIME_MAX_MS),
	};
	snprintf(program->id, sizeof(program->id), "p%06" PRIu64,
	    ++callers->last_id);
}

static uint64_t
count_events(struct program *program)
{
	uint64_t count = 0;
	const char *pos = buf_text(&program->response);

	while ((pos = strstr(pos, "\n\n")) != NULL) {
		count++;
		pos += 2;
	}
	return count;
}

/* Checks that the received tokens exceed the budget by one turn at most. */
static void
check_budget(struct program *program)
{
	if (program->received_tokens > program->budget_tokens + TURN_MAX_TOKENS)
		soak_fail(program->callers->soak,
		    "%s received %" PRIu64 " tokens with a budget of %" PRIu64,
		    program->id, program->received_tokens,
		    program->budget_tokens);
}

/* Checks a complete response and appends the turn to the history. The server's
 * first event contains a hash of the history that it was given. */
static void
append_turn(struct program *program)
{
	struct callers *callers = program->callers;
	char hash[NAME_MAX_BYTES];
	const char *pos = buf_text(&program->response);

	buf_append(&program->history, program->input.data, program->input.len);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_bytes(program->history.data, program->history.len, 0));
	if (strstr(pos, hash) == NULL ||
	    count_events(program) != EVENTS_PER_TURN) {
		soak_fail(callers->soak,
		    "%s: response to turn %s has a wrong history hash "
		    "or event count: %.200s",
		    program->id, program->request, pos);
		return;
	}
	while ((pos = strstr(pos, "data: ")) != NULL) {
		pos += strlen("data: ");
		buf_append(&program->history, pos, strcspn(pos, "\n"));
		buf_append(&program->history, "\n", 1);
	}
	snprintf(program->previous_turn, sizeof(program->previous_turn), "%s",
	    program->request);
	program->recovered = program->recovered || callers->recovering;
	callers->completed_turns++;
}

/* Checks that the refusal is justified: TURN_MAX_TOKENS for this turn and for
 * each uncertain call would exceed the budget. Then replaces the program by a
 * new one. */
static void
handle_budget_exceeded(struct program *program)
{
	struct callers *callers = program->callers;

	if (program->received_tokens +
		(program->uncertain_calls + 1) * TURN_MAX_TOKENS <=
	    program->budget_tokens)
		soak_fail(callers->soak,
		    "%s: status 402 after %" PRIu64 " of %" PRIu64
		    " tokens were received, with %" PRIu64
		    " calls of unknown outcome",
		    program->id, program->received_tokens,
		    program->budget_tokens, program->uncertain_calls);
	callers->ended_programs++;
	program_reset(callers, program);
}

static void
finish_turn(struct program *program, bool complete)
{
	struct callers *callers = program->callers;
	uint64_t tokens = count_events(program) * TOKENS_PER_EVENT;

	if (program->status == 200) {
		program->received_tokens += tokens;
		program->uncertain_calls +=
		    !complete && tokens < TURN_MAX_TOKENS;
		check_budget(program);
		if (complete)
			append_turn(program);
		return;
	}
	if (!complete || program->status == 502 || program->status == 504) {
		program->uncertain_calls++;
		return;
	}
	if (program->status == 402) {
		handle_budget_exceeded(program);
		return;
	}
	if (program->status == 503) {
		callers->refused_turns++;
		return;
	}
	soak_fail(callers->soak,
	    "%s: turn %s after turn %s: unexpected status %d: %.200s",
	    program->id, program->request, program->previous_turn,
	    program->status, buf_text(&program->response));
}

static void
finish_other(struct program *program, bool complete)
{
	struct callers *callers = program->callers;
	const char *body = buf_text(&program->response);

	if (program->kind == CALL_ONCE &&
	    callers->once_request_count < MAX_ONCE_REQUESTS) {
		struct once_request *once =
		    &callers->once_requests[callers->once_request_count++];

		memcpy(once->request, program->request, sizeof(once->request));
		once->status = complete ? program->status : 0;
	}
	if (complete && program->status == 200 &&
	    strstr(body, program->request) == NULL)
		soak_fail(callers->soak,
		    "response to request %s does not contain its id: %.200s",
		    program->request, body);
}

static void
finish_call(struct program *program, bool complete)
{
	bool succeeded = complete && program->status == 200;

	program->call = NULL;
	program->due_us = random_time_us(program->callers,
	    succeeded ? THINK_TIME_MAX_MS : 2 * RETRY_DELAY_MAX_MS);
	if (!succeeded)
		program->gateway = (program->gateway + 1) %
		    program->callers->soak->gateway_count;
	if (program->kind == CALL_TURN)
		finish_turn(program, complete);
	else
		finish_other(program, complete);
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct program *program = context;

	program->status = head->status;
	servers_check_response(program->callers->soak->servers,
	    program->gateway, program->sent_us, head);
	return H1_HEAD_ACCEPT;
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct program *program = context;

	if (program->response.len + len < BODY_MAX_BYTES)
		buf_append(&program->response, data, len);
}

static void
note_cut(const struct program *program)
{
	struct callers *callers = program->callers;

	if (!faults_all_planned(callers->soak->faults) || program->breaks_off ||
	    callers->cut_request_count == MAX_CUT_REQUESTS)
		return;
	memcpy(callers->cut_requests[callers->cut_request_count++],
	    program->request, sizeof(program->request));
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct program *program = context;

	if (outcome->result == H1_MALFORMED)
		soak_fail(program->callers->soak,
		    "request %s: malformed HTTP response", program->request);
	if (outcome->result == H1_CONNECT_FAILED) {
		program->call = NULL;
		program->gateway = (program->gateway + 1) %
		    program->callers->soak->gateway_count;
		program->due_us =
		    random_time_us(program->callers, RETRY_DELAY_MAX_MS);
		return;
	}
	if (outcome->result == H1_CONNECTION_LOST)
		note_cut(program);
	finish_call(program, outcome->result == H1_COMPLETE);
}

static void
add_turn_headers(const struct program *program, struct h1_headers *headers)
{
	char text[FIELD_BYTES];

	h1_headers_add(headers, "Program-Id", program->id);
	h1_headers_add(headers, "Session-Id", program->id);
	h1_headers_add_number(
	    headers, "Token-Budget", (int64_t)program->budget_tokens);
	snprintf(text, sizeof(text), "100,%d", TURN_MAX_TOKENS);
	h1_headers_add(headers, "Token-Usage", text);
	if (program->previous_turn[0] != '\0')
		h1_headers_add(
		    headers, "Previous-Turn", program->previous_turn);
}

static enum call_kind
choose_kind(struct callers *callers)
{
	double chance = rng_real(&callers->soak->rng);

	if (callers->recovering || chance < 0.6)
		return CALL_TURN;
	return chance < 0.85 ? CALL_ONCE : CALL_SAFE;
}

/* Returns the target of a turn. Some make the server frame or break off its
 * stream in an unusual way, by the request's id, so that the choice takes no
 * random number. */
static const char *
turn_target(const struct program *program, uint64_t id)
{
	static const char *const broken[] = {
	    "/turn/unframed/partial",
	    "/turn/unframed/empty",
	    "/turn/unframed/reset",
	    "/turn/partial",
	    "/turn/reset",
	};

	if (program->callers->soak->basic_faults ||
	    program->callers->recovering)
		return "/turn/x";
	if (id % TURNS_PER_BROKEN_STREAM == 0)
		return broken[id / TURNS_PER_BROKEN_STREAM %
		    (sizeof(broken) / sizeof(broken[0]))];
	return id % 2 == 0 ? "/turn/unframed" : "/turn/x";
}

static void
make_input(struct program *program)
{
	buf_reset(&program->input);
	buf_printf(&program->input, "in %s;", program->request);
	while (program->kind == CALL_TURN &&
	    program->callers->last_id % TURNS_PER_LONG_INPUT == 0 &&
	    program->input.len < LONG_INPUT_BYTES)
		buf_printf(&program->input, "%zu;", program->input.len);
}

static void
start_call(struct program *program)
{
	static const char *const targets[] = {
	    [CALL_ONCE] = "/once/a",
	    [CALL_SAFE] = "/safe/a",
	};
	struct callers *callers = program->callers;
	struct soak *soak = callers->soak;
	struct h1_headers headers = {0};
	char address[H1_ADDRESS_BYTES];
	struct h1_call_params params = {
	    .address = address,
	    .headers = &headers,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .max_reuse_us = MAX_REUSE_US,
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = program,
	};

	program->kind = choose_kind(callers);
	program->status = 0;
	buf_reset(&program->response);
	snprintf(program->request, sizeof(program->request), "r%07" PRIu64,
	    ++callers->last_id);
	make_input(program);
	snprintf(address, sizeof(address), "127.0.0.1:%d",
	    soak->cluster.gateways[program->gateway].process.port);
	params.method = program->kind == CALL_SAFE ? "GET" : "POST";
	params.target = program->kind == CALL_TURN
	    ? turn_target(program, callers->last_id)
	    : targets[program->kind];
	program->breaks_off = strstr(params.target, "/partial") != NULL ||
	    strstr(params.target, "/empty") != NULL ||
	    strstr(params.target, "/reset") != NULL;
	program->sent_us = clock_monotonic_us();
	h1_headers_add(&headers, "Host", "h.example");
	h1_headers_add(&headers, "Request-Id", program->request);
	h1_headers_add_number(&headers, "Deadline-Ms", DEADLINE_MS);
	if (program->kind == CALL_TURN) {
		add_turn_headers(program, &headers);
		params.body = program->input.data;
		params.body_len = program->input.len;
	}
	program->call = h1_call_start(soak->client, &params);
	program->due_us =
	    clock_monotonic_us() + (int64_t)CALL_TIMEOUT_MS * US_PER_MS;
	h1_headers_reset(&headers);
}

static void
handle_step(uv_timer_t *timer)
{
	struct callers *callers = timer->data;
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < callers->program_count; i++) {
		struct program *program = &callers->programs[i];

		if (now_us < program->due_us)
			continue;
		if (program->call == NULL) {
			start_call(program);
			continue;
		}
		h1_call_cancel(program->call);
		finish_call(program, false);
	}
}

struct callers *
callers_create(struct soak *soak)
{
	struct callers *callers = xcalloc(1, sizeof(*callers));

	callers->soak = soak;
	callers->program_count = PROGRAMS_PER_GATEWAY * soak->gateway_count;
	if (callers->program_count < PROGRAMS_MIN)
		callers->program_count = PROGRAMS_MIN;
	for (int i = 0; i < callers->program_count; i++) {
		program_reset(callers, &callers->programs[i]);
		callers->programs[i].gateway = i % soak->gateway_count;
	}
	callers->timer = xcalloc(1, sizeof(*callers->timer));
	uv_timer_init(soak->loop, callers->timer);
	callers->timer->data = callers;
	uv_timer_start(callers->timer, handle_step, STEP_MS, STEP_MS);
	return callers;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
callers_destroy(struct callers *callers)
{
	for (int i = 0; i < callers->program_count; i++) {
		struct program *program = &callers->programs[i];

		if (program->call != NULL)
			h1_call_cancel(program->call);
		buf_reset(&program->history);
		buf_reset(&program->response);
		buf_reset(&program->input);
	}
	uv_close((uv_handle_t *)callers->timer, handle_timer_closed);
	free(callers);
}

void
callers_begin_recovery(struct callers *callers)
{
	callers->recovering = true;
	for (int i = 0; i < callers->program_count; i++)
		callers->programs[i].recovered = false;
}

int
callers_unrecovered_count(const struct callers *callers)
{
	int count = 0;

	for (int i = 0; i < callers->program_count; i++)
		count += !callers->programs[i].recovered;
	return count;
}

/* Returns how often servers have run a request. */
static int
count_runs(struct buf *runs, const char *request)
{
	char line[NAME_MAX_BYTES + 8];
	const char *at = buf_text(runs);
	int count = 0;

	snprintf(line, sizeof(line), "ran %s\n", request);
	while ((at = strstr(at, line)) != NULL) {
		count++;
		at += strlen(line);
	}
	return count;
}

void
callers_check_runs(struct callers *callers)
{
	struct buf all_runs = {0};

	cluster_read_runs(&callers->soak->cluster, &all_runs);
	for (size_t i = 0; i < callers->cut_request_count; i++) {
		if (count_runs(&all_runs, callers->cut_requests[i]) > 0)
			soak_fail(callers->soak,
			    "request %s ran and was cut by planned work",
			    callers->cut_requests[i]);
	}
	for (size_t i = 0; i < callers->once_request_count; i++) {
		const struct once_request *once = &callers->once_requests[i];
		int runs = count_runs(&all_runs, once->request);

		if (runs > 1)
			soak_fail(callers->soak,
			    "request %s must run at most once and ran %d times",
			    once->request, runs);
		if (runs > 0 && once->status == 503)
			soak_fail(callers->soak,
			    "request %s was refused as not run, but ran",
			    once->request);
		if (runs == 0 && once->status == 200)
			soak_fail(callers->soak,
			    "request %s was answered with 200, but did not run",
			    once->request);
	}
	buf_reset(&all_runs);
}

void
callers_describe(const struct callers *callers, char *out, size_t size)
{
	snprintf(out, size,
	    "%" PRIu64 " turns, %" PRIu64 " refused, %" PRIu64
	    " programs ended, %zu unrepeatable requests",
	    callers->completed_turns, callers->refused_turns,
	    callers->ended_programs, callers->once_request_count);
}
