#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "soak.h"

enum {
	PROGRAMS = 10,
	STEP_MS = 5,
	MOST = 50,   /* tokens that a turn may generate */
	TOKENS = 10, /* of an event */
	EVENTS = 4,  /* of an answer */
	BUDGET_MIN = 200,
	BUDGET_MAX = 3000,
	THINK_MAX_MS = 150, /* between two calls of a program */
	AGAIN_MS = 200,     /* after a call that failed */
	DEADLINE_MS = 2500,
	PATIENCE_MS = 4000, /* then the gateway is taken for silent */
	CONNECT_US = 700 * US_PER_MS,
	REUSE_US = 2 * US_PER_S,
	ONCE_MAX = 4096, /* unrepeatable requests of a run */
	NAME_MAX_BYTES = 32,
	INPUT_BYTES = 48,
	FIELD_BYTES = 96,
	BODY_MAX_BYTES = 4096,
};

enum call_kind {
	CALL_TURN,
	CALL_ONCE, /* may not be repeated */
	CALL_SAFE,
};

/** An unrepeatable request, and what its caller was told. */
struct once {
	char request[NAME_MAX_BYTES];
	int status; /**< 0: no answer */
};

/** A program, and the call that it is at. */
struct program {
	struct callers *callers;
	char id[NAME_MAX_BYTES];
	uint64_t budget;
	uint64_t handed;  /**< tokens that came */
	uint64_t unknown; /**< tries that may have generated more */
	uint64_t tries;   /**< that were not refused as not run */
	char previous[NAME_MAX_BYTES];
	struct buf said; /**< all inputs and outputs of the chain */
	bool recovered;
	/* the call under way */
	struct h1_call *call;
	enum call_kind kind;
	char request[NAME_MAX_BYTES];
	char input[INPUT_BYTES];
	struct buf answer;
	int status;
	int gateway;
	int64_t due_us; /**< next call; while one is under way: its end */
};

struct callers {
	struct soak *soak;
	uv_timer_t *timer;
	struct program programs[PROGRAMS];
	struct once once[ONCE_MAX];
	size_t once_count;
	uint64_t names;
	uint64_t turns;
	uint64_t refused;
	uint64_t ended;
	bool recovering;
};

static int64_t
after_ms(struct callers *callers, int most_ms)
{
	return clock_monotonic_us() +
	    (int64_t)(1 + rng_below(&callers->soak->rng, (uint64_t)most_ms)) *
	    US_PER_MS;
}

static void
program_begin(struct callers *callers, struct program *program)
{
	buf_reset(&program->said);
	buf_reset(&program->answer);
	*program = (struct program){
	    .callers = callers,
	    .recovered = callers->recovering,
	    .budget = BUDGET_MIN +
		rng_below(&callers->soak->rng, BUDGET_MAX - BUDGET_MIN),
	    .due_us = after_ms(callers, THINK_MAX_MS),
	};
	snprintf(
	    program->id, sizeof(program->id), "p%06" PRIu64, ++callers->names);
}

/* ---- answers of turns ---- */

static uint64_t
events_of(struct program *program)
{
	uint64_t count = 0;
	const char *at = buf_text(&program->answer);

	while ((at = strstr(at, "\n\n")) != NULL) {
		count++;
		at += 2;
	}
	return count;
}

static void
check_budget(struct program *program)
{
	if (program->handed > program->budget + MOST)
		soak_fail(program->callers->soak,
		    "%s was handed %" PRIu64 " tokens of %" PRIu64, program->id,
		    program->handed, program->budget);
}

/* The server's first event names what it was given. */
static void
take_turn(struct program *program)
{
	struct callers *callers = program->callers;
	char hash[NAME_MAX_BYTES];
	const char *at = buf_text(&program->answer);

	buf_append_text(&program->said, program->input);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_bytes(program->said.data, program->said.len, 0));
	if (strstr(at, hash) == NULL || events_of(program) != EVENTS) {
		soak_fail(callers->soak,
		    "%s: turn %s is not the program's: %.200s", program->id,
		    program->request, at);
		return;
	}
	while ((at = strstr(at, "data: ")) != NULL) {
		at += strlen("data: ");
		buf_append(&program->said, at, strcspn(at, "\n"));
		buf_append(&program->said, "\n", 1);
	}
	snprintf(program->previous, sizeof(program->previous), "%s",
	    program->request);
	program->recovered = program->recovered || callers->recovering;
	callers->turns++;
}

static void
take_exhausted(struct program *program)
{
	struct callers *callers = program->callers;

	if (program->handed + (program->unknown + 1) * MOST <= program->budget)
		soak_fail(callers->soak,
		    "%s: 402 with %" PRIu64 " of %" PRIu64
		    " tokens handed and %" PRIu64 " tries unknown",
		    program->id, program->handed, program->budget,
		    program->unknown);
	callers->ended++;
	program_begin(callers, program);
}

static void
end_turn(struct program *program, bool whole)
{
	struct callers *callers = program->callers;
	uint64_t tokens = events_of(program) * TOKENS;

	if (program->status == 200) {
		program->handed += tokens;
		program->unknown += !whole && tokens < MOST;
		check_budget(program);
		if (whole)
			take_turn(program);
		return;
	}
	if (!whole || program->status == 502 || program->status == 504) {
		program->unknown++;
		return;
	}
	if (program->status == 402) {
		take_exhausted(program);
		return;
	}
	if (program->status == 503) {
		callers->refused++;
		return;
	}
	soak_fail(callers->soak, "%s: turn %s after %s: %d %.200s", program->id,
	    program->request, program->previous, program->status,
	    buf_text(&program->answer));
}

/* ---- answers of other requests ---- */

static void
end_other(struct program *program, bool whole)
{
	struct callers *callers = program->callers;
	const char *body = buf_text(&program->answer);

	if (program->kind == CALL_ONCE && callers->once_count < ONCE_MAX) {
		struct once *once = &callers->once[callers->once_count++];

		memcpy(once->request, program->request, sizeof(once->request));
		once->status = whole ? program->status : 0;
	}
	if (whole && program->status == 200 &&
	    strstr(body, program->request) == NULL)
		soak_fail(callers->soak, "request %s was answered: %.200s",
		    program->request, body);
}

/* ---- calls ---- */

static void
end_call(struct program *program, bool whole)
{
	bool served = whole && program->status == 200;

	program->call = NULL;
	program->due_us =
	    after_ms(program->callers, served ? THINK_MAX_MS : 2 * AGAIN_MS);
	if (!served)
		program->gateway = (program->gateway + 1) % SOAK_GATEWAYS;
	if (program->kind == CALL_TURN)
		end_turn(program, whole);
	else
		end_other(program, whole);
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct program *program = context;

	program->status = head->status;
	return H1_HEAD_ACCEPT;
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct program *program = context;

	if (program->answer.len + len < BODY_MAX_BYTES)
		buf_append(&program->answer, data, len);
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct program *program = context;

	if (outcome->result == H1_MALFORMED)
		soak_fail(program->callers->soak,
		    "%s: bytes that are no answer", program->request);
	if (outcome->result == H1_CONNECT_FAILED) {
		program->call = NULL;
		program->gateway = (program->gateway + 1) % SOAK_GATEWAYS;
		program->due_us = after_ms(program->callers, AGAIN_MS);
		return;
	}
	end_call(program, outcome->result == H1_COMPLETE);
}

static void
add_turn_fields(const struct program *program, struct h1_headers *headers)
{
	char text[FIELD_BYTES];

	h1_headers_add(headers, "Program-Id", program->id);
	h1_headers_add(headers, "Session-Id", program->id);
	h1_headers_add_number(
	    headers, "Token-Budget", (int64_t)program->budget);
	snprintf(text, sizeof(text), "100,%d", MOST);
	h1_headers_add(headers, "Token-Usage", text);
	if (program->previous[0] != '\0')
		h1_headers_add(headers, "Previous-Turn", program->previous);
}

static enum call_kind
choose_kind(struct callers *callers)
{
	double chance = rng_real(&callers->soak->rng);

	if (callers->recovering || chance < 0.6)
		return CALL_TURN;
	return chance < 0.85 ? CALL_ONCE : CALL_SAFE;
}

static void
start_call(struct program *program)
{
	static const char *const targets[] = {
	    [CALL_TURN] = "/turn/x",
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
	    .connect_timeout_us = CONNECT_US,
	    .max_reuse_us = REUSE_US,
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = program,
	};

	program->kind = choose_kind(callers);
	program->status = 0;
	buf_reset(&program->answer);
	snprintf(program->request, sizeof(program->request), "r%07" PRIu64,
	    ++callers->names);
	snprintf(
	    program->input, sizeof(program->input), "in %s;", program->request);
	snprintf(address, sizeof(address), "127.0.0.1:%d",
	    soak->cluster.gateways[program->gateway].process.port);
	params.method = program->kind == CALL_SAFE ? "GET" : "POST";
	params.target = targets[program->kind];
	h1_headers_add(&headers, "Host", "h.example");
	h1_headers_add(&headers, "Request-Id", program->request);
	h1_headers_add_number(&headers, "Deadline-Ms", DEADLINE_MS);
	if (program->kind == CALL_TURN) {
		add_turn_fields(program, &headers);
		params.body = program->input;
		params.body_len = strlen(program->input);
	}
	program->call = h1_call_start(soak->client, &params);
	program->due_us =
	    clock_monotonic_us() + (int64_t)PATIENCE_MS * US_PER_MS;
	h1_headers_reset(&headers);
}

static void
handle_step(uv_timer_t *timer)
{
	struct callers *callers = timer->data;
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < PROGRAMS; i++) {
		struct program *program = &callers->programs[i];

		if (now_us < program->due_us)
			continue;
		if (program->call == NULL) {
			start_call(program);
			continue;
		}
		h1_call_cancel(program->call);
		end_call(program, false);
	}
}

/* ---- all callers ---- */

struct callers *
callers_create(struct soak *soak)
{
	struct callers *callers = xcalloc(1, sizeof(*callers));

	callers->soak = soak;
	for (int i = 0; i < PROGRAMS; i++) {
		program_begin(callers, &callers->programs[i]);
		callers->programs[i].gateway = i % SOAK_GATEWAYS;
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
	for (int i = 0; i < PROGRAMS; i++) {
		struct program *program = &callers->programs[i];

		if (program->call != NULL)
			h1_call_cancel(program->call);
		buf_reset(&program->said);
		buf_reset(&program->answer);
	}
	uv_close((uv_handle_t *)callers->timer, handle_timer_closed);
	free(callers);
}

void
callers_expect_recovery(struct callers *callers)
{
	callers->recovering = true;
	for (int i = 0; i < PROGRAMS; i++)
		callers->programs[i].recovered = false;
}

int
callers_unrecovered(const struct callers *callers)
{
	int count = 0;

	for (int i = 0; i < PROGRAMS; i++)
		count += !callers->programs[i].recovered;
	return count;
}

void
callers_check_runs(struct callers *callers)
{
	for (size_t i = 0; i < callers->once_count; i++) {
		const struct once *once = &callers->once[i];
		int runs = cluster_request_run_count(
		    &callers->soak->cluster, once->request);

		if (runs > 1)
			soak_fail(callers->soak,
			    "request %s may run once and ran %d times",
			    once->request, runs);
		if (runs > 0 && once->status == 503)
			soak_fail(callers->soak,
			    "request %s was refused as not run, and ran",
			    once->request);
		if (runs == 0 && once->status == 200)
			soak_fail(callers->soak,
			    "request %s was answered and has not run",
			    once->request);
	}
}

void
callers_describe(const struct callers *callers, char *out, size_t size)
{
	snprintf(out, size,
	    "%" PRIu64 " turns, %" PRIu64 " refused, %" PRIu64
	    " programs ended, %zu unrepeatable requests",
	    callers->turns, callers->refused, callers->ended,
	    callers->once_count);
}
