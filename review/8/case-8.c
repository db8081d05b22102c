/*
 * Sub-agents of programs run turns in parallel. In each program, one turn has
 * an input that is longer than a record of the store may be. A gateway is
 * stopped and started again, as planned.
 */
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/common-2/case.h"

enum {
	GATEWAYS = 2,
	SERVERS = 4,
	PROGRAMS = 4, /* at a time */
	TURNS = 4,    /* of a program, in parallel */
	MEMORY_MB = 130,
	RETENTION_S = 60,
	USUAL_BYTES = 17000,
	LONG_BYTES = 300000, /* under maxBodyBytes, over recordBytes */
	EVENTS = 7,
	EVENT_MS = 20,
	TIMEOUT_MS = 3000,
	START_MS = 3000,
	TERM_MS = 6000,
	GRACE_MS = 8000,
	AFTER_GRACE_MS = 1000,
	END_MS = 20000,
	PAUSE_MS = 100,
	LIMIT_S = 60,
};

/* A line of turns of a program, which runs one turn. */
struct turn {
	char program[CASE_ID_BYTES];
	int number;
	bool long_input;
	atomic_int *left; /* turns of the program that have not ended */
};

static atomic_int sent, whole, refused, cut_usual, cut_long, lost, ran;
static atomic_long term_sent_ms;
static char *input;

static bool
serve(void *context, struct case_request *request)
{
	const struct case_server *server = context;
	char id[CASE_ID_BYTES];

	case_field(request, "request-id", id, sizeof(id));
	if (!case_read_body(request))
		return false;
	ran++;
	case_log(
	    "server %s: runs %s, %zu bytes", server->id, id, request->body.len);
	if (!case_send_stream(request, EVENTS, EVENT_MS))
		return false;
	case_log("server %s: ran %s whole", server->id, id);
	return true;
}

/* Whether a request that was sent and cut at these times counts: around a
 * SIGTERM of the gateway that took it, until 1 s after the grace. */
static bool
is_around_stop(int gateway, int64_t sent_ms, int64_t cut_ms)
{
	return gateway == 0 && term_sent_ms != 0 && cut_ms > term_sent_ms &&
	    sent_ms < term_sent_ms + GRACE_MS + AFTER_GRACE_MS;
}

static void
note_cut(const struct turn *turn, int gateway, const char *id, int64_t sent_ms)
{
	bool counts = is_around_stop(gateway, sent_ms, case_ms());

	if (turn->long_input)
		cut_long++;
	else
		cut_usual++;
	lost += counts;
	case_log("gateway %d: turn %s of %s%s: the connection ends without a "
		 "complete answer%s",
	    gateway, id, turn->program,
	    turn->long_input ? " with a long input" : "",
	    counts ? ", around a planned stop" : "");
}

static void
call(const struct turn *turn, int gateway)
{
	struct case_reply reply;
	struct buf fields = {0};
	char id[CASE_ID_BYTES];
	int64_t sent_ms;

	case_new_id(id);
	buf_printf(&fields,
	    "Host: h.example\r\nRequest-Id: %s\r\nProgram-Id: %s\r\n"
	    "Session-Id: %s-%d\r\nFinish-Ms: 5000\r\nDeadline-Ms: %d\r\n"
	    "Token-Budget: 100000\r\nToken-Usage: 1680,560\r\n",
	    id, turn->program, turn->program, turn->number, TIMEOUT_MS);
	sent++;
	sent_ms = case_ms();
	case_log("gateway %d: turn %s of %s sent", gateway, id, turn->program);
	case_call(case_gateway_port(gateway), "POST", "/turn/a",
	    buf_text(&fields), input,
	    turn->long_input ? LONG_BYTES : USUAL_BYTES, TIMEOUT_MS + 1000,
	    &reply);
	if (reply.status == 200 && reply.complete) {
		whole++;
		case_log("gateway %d: turn %s answered whole", gateway, id);
	} else if (reply.status == 200) {
		note_cut(turn, gateway, id, sent_ms);
	} else {
		refused++;
		case_log("gateway %d: turn %s: %d", gateway, id, reply.status);
	}
	buf_reset(&fields);
	case_reply_reset(&reply);
}

static void *
run_turn(void *context)
{
	struct turn *turn = context;
	int64_t term_ms = term_sent_ms;
	/* Callers know for 2 s at most that a gateway is stopping. */
	bool stopped = term_ms != 0 && case_ms() > term_ms + 2000;

	call(turn, stopped ? 1 : turn->number % GATEWAYS);
	--*turn->left;
	free(turn);
	return NULL;
}

/* Runs one program after another. */
static void *
run_programs(void *context)
{
	(void)context;
	while (case_ms() < END_MS - TIMEOUT_MS) {
		char program[CASE_ID_BYTES];
		atomic_int left = TURNS;

		case_new_id(program);
		for (int i = 0; i < TURNS; i++) {
			struct turn *turn = calloc(1, sizeof(*turn));

			memcpy(turn->program, program, sizeof(program));
			turn->number = i;
			turn->long_input = i == 0 && case_has_trouble();
			turn->left = &left;
			case_start_thread(run_turn, turn);
		}
		while (left > 0)
			usleep(1000);
		usleep(PAUSE_MS * 1000);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static struct case_server servers[SERVERS];
	const struct case_store_options options = {0};
	struct case_store *store;

	if (argc != 2)
		return CASE_NOT_RUN;
	case_begin(argv[1], LIMIT_S);
	input = calloc(1, LONG_BYTES);
	memset(input, 'x', LONG_BYTES);
	store = case_store_start(&options);
	case_gateways_init(case_store_port(store), MEMORY_MB, 1);
	case_publish(store, RETENTION_S);
	case_start_servers(store, serve, servers, SERVERS);
	case_gateways_start(GATEWAYS);
	case_sleep_until(START_MS);
	for (int i = 0; i < PROGRAMS; i++)
		case_start_thread(run_programs, NULL);
	case_sleep_until(TERM_MS);
	case_log("SIGTERM to edge-0");
	term_sent_ms = case_ms();
	case_gateway_signal(0, SIGTERM);
	case_sleep_until(END_MS);
	case_log("sent %d, at servers %d: answered whole %d, answered "
		 "otherwise %d; cut: %d of a usual length, %d long ones; of "
		 "all these, around the planned stop %d",
	    sent, ran, whole, refused, cut_usual, cut_long, lost);
	case_end(lost > 0 ? CASE_BROKEN : CASE_HELD);
}
