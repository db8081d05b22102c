/* A program's budget over several kills of all gateways. Each time, a turn is
 * broken off when its caller has all but one of its tokens. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/common/review.h"

enum {
	GATEWAYS = 3,
	EVENTS = 20,           /* of a turn */
	TOKENS_PER_EVENT = 10, /* as cluster_publish() declares */
	TURN_TOKENS = EVENTS * TOKENS_PER_EVENT,
	BUDGET = 5 * TURN_TOKENS,
	KILLS = 4,
	RESTART_MS = 300,
	BETWEEN_MS = 7000,
	READ_MS = 3500,
	TURNS_MAX = 20,
};

static struct cluster cluster;
static int turn_number;
static int tokens_handed; /* to the caller, in all turns */

static void
send_turn(struct http_caller *caller, int gateway, char id[32])
{
	static const char body[] = "input";
	char request[512];
	int len;

	snprintf(id, 32, "turn-%d", ++turn_number);
	len = snprintf(request, sizeof(request),
	    "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
	    "Program-Id: program-1\r\nSession-Id: session-1\r\n"
	    "Finish-Ms: 90000\r\nToken-Budget: %d\r\nToken-Usage: 100,%d\r\n"
	    "Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n%s",
	    id, BUDGET, TURN_TOKENS, strlen(body), body);
	if (!http_caller_open(caller, cluster.gateways[gateway].process.port) ||
	    !http_caller_send(caller, request, (size_t)len))
		review_give_up(&cluster, "a gateway takes no request");
	review_note("sent %s to gateway %d: budget %d, at most %d tokens", id,
	    gateway, BUDGET, TURN_TOKENS);
}

static void
note_answer(const char *id, struct http_reply *reply)
{
	int events = reply->status == 200
	    ? review_count_events(buf_text(&reply->body))
	    : 0;

	tokens_handed += events * TOKENS_PER_EVENT;
	review_note("answer to %s: status %d, %s, %d tokens; %d tokens so far",
	    id, reply->status, reply->complete ? "whole" : "broken off",
	    events * TOKENS_PER_EVENT, tokens_handed);
}

/* Returns the status of the answer. */
static int
run_turn(int gateway)
{
	struct http_caller caller;
	struct http_reply reply;
	char id[32];
	int status;

	send_turn(&caller, gateway, id);
	http_caller_read(&caller, READ_MS, &reply);
	note_answer(id, &reply);
	status = reply.status;
	http_reply_reset(&reply);
	http_caller_close(&caller);
	return status;
}

static void
kill_and_restart(void)
{
	review_note("all gateways are killed");
	for (int i = 0; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	review_sleep_ms(RESTART_MS);
	for (int i = 0; i < GATEWAYS; i++)
		cluster_restart_gateway(&cluster, i);
	review_note("all gateways are started again");
}

/* Runs a turn, and kills the gateways before its last event. */
static void
run_broken_turn(void)
{
	struct http_caller caller;
	struct http_reply reply;
	char id[32];

	send_turn(&caller, 0, id);
	while (http_caller_wait_bytes(&caller, READ_MS)) {
		int events = review_count_events(buf_text(&caller.in));

		if (events >= EVENTS - 1) {
			kill_and_restart();
			break;
		}
	}
	http_caller_read(&caller, READ_MS, &reply);
	note_answer(id, &reply);
	http_reply_reset(&reply);
	http_caller_close(&caller);
}

static void
wait_ready(void)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (!cluster_wait_ready(&cluster, i))
			review_give_up(&cluster, "a gateway is not ready");
	}
	review_sleep_ms(BETWEEN_MS);
}

int
main(int argc, char **argv)
{
	int status = 200;

	review_begin();
	if (argc < 2 || !cluster_start(&cluster, argv[1]))
		return VERDICT_NOT_RUN;
	if (cluster_add_server(&cluster, "models", "--events 20 -w 30") < 0)
		review_give_up(&cluster, "no server");
	cluster_publish(&cluster, "");
	for (int i = 0; i < GATEWAYS; i++)
		cluster_add_gateway(&cluster);
	wait_ready();
	if (run_turn(0) != 200)
		review_give_up(&cluster, "the first turn is not served");
	for (int i = 0; i < KILLS; i++) {
		if (review_has_trouble())
			run_broken_turn();
		else
			run_turn(0);
		wait_ready();
	}
	for (int i = 0; i < TURNS_MAX && status != 402; i++)
		status = run_turn(i % GATEWAYS);
	review_note_runs(&cluster);
	review_note("%d tokens handed out; the budget is %d, a turn's most %d",
	    tokens_handed, BUDGET, TURN_TOKENS);
	review_end(&cluster,
	    tokens_handed > BUDGET + TURN_TOKENS ? VERDICT_BROKEN
						 : VERDICT_HELD);
}
