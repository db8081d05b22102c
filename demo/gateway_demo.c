/** @file
 * A program of dependent turns on the platform's interface: gateways, servers
 * and the store on loopback, with the gateways killed on the way.
 * usage: gateway-demo BUILD_DIR
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/hash.h"
#include "standins/cluster.h"

enum {
	GATEWAYS = 3,
	CALL_MS = 5000,
	TRIES = 30,
	PAUSE_MS = 300, /* between tries */
	TEXT_BYTES = 512,
	TURN_TOKENS = 50,
	BUDGET_TOKENS = 160, /* three turns of 40 generated tokens, not four */
};

/** The program as its caller knows it. */
struct program {
	char previous[64]; /**< request of the last turn */
	struct buf said;   /**< all inputs and outputs so far */
	int gateway;       /**< where the next turn goes */
};

static struct cluster cluster;
static int64_t begun_us;
static bool failed;

static void
tell(const char *text, const char *detail)
{
	printf("%8.3f s  %s%s\n",
	    (double)(clock_monotonic_us() - begun_us) / US_PER_S, text, detail);
	fflush(stdout);
}

static void
check(bool holds, const char *what)
{
	printf("%s  %s\n", holds ? "ok  " : "FAIL", what);
	failed = failed || !holds;
}

static void
send_request(int gateway, const char *target, const char *fields,
    const char *body, struct http_reply *reply)
{
	http_call_once(cluster.gateways[gateway].process.port, "POST", target,
	    fields, body, strlen(body), CALL_MS, reply);
}

/* Takes what the server generated into the history, which has to be what it
 * had been given as well. */
static bool
take_answer(
    struct program *program, const char *input, struct http_reply *reply)
{
	const char *at = buf_text(&reply->body);
	char hash[32];

	buf_append_text(&program->said, input);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_bytes(program->said.data, program->said.len, 0));
	if (strstr(at, hash) == NULL)
		return false;
	while ((at = strstr(at, "data: ")) != NULL) {
		at += strlen("data: ");
		buf_append(&program->said, at, strcspn(at, "\n"));
		buf_append(&program->said, "\n", 1);
	}
	return true;
}

/* Sends a turn under new names while it is refused as not run. Returns the
 * status. */
static int
take_turn(struct program *program, const char *name, const char *input)
{
	struct http_reply reply = {0};
	char fields[TEXT_BYTES];
	char request[32];
	char line[TEXT_BYTES];
	int status = 0;
	int tries = 0;

	while (tries < TRIES && (status == 503 || status == 0)) {
		snprintf(request, sizeof(request), "%.20s-%d", name, ++tries);
		snprintf(fields, sizeof(fields),
		    "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n"
		    "Program-Id: demo\r\nSession-Id: demo\r\n"
		    "Token-Budget: %d\r\nToken-Usage: 100,%d\r\n%s%s%s",
		    request, BUDGET_TOKENS, TURN_TOKENS,
		    program->previous[0] != '\0' ? "Previous-Turn: " : "",
		    program->previous,
		    program->previous[0] != '\0' ? "\r\n" : "");
		send_request(
		    program->gateway, "/turn/x", fields, input, &reply);
		status = reply.status;
		if (status == 200)
			break;
		http_reply_reset(&reply);
		program->gateway = (program->gateway + 1) % GATEWAYS;
		usleep(PAUSE_MS * US_PER_MS);
	}
	snprintf(line, sizeof(line), "%s: %d after %d tries, at gateway %d",
	    name, status, tries, program->gateway);
	tell("turn ", line);
	if (status == 200) {
		check(take_answer(program, input, &reply),
		    "the server was given the whole history");
		snprintf(program->previous, sizeof(program->previous), "%s",
		    request);
		http_reply_reset(&reply);
	}
	return status;
}

/* An invoice whose answer is lost: nobody sends it again. */
static void
send_invoice(void)
{
	struct http_reply reply;

	send_request(0, "/once/lose",
	    "Host: h.example\r\nRequest-Id: invoice\r\nDeadline-Ms: 2000\r\n",
	    "amount=7", &reply);
	tell("invoice, its answer lost: ",
	    reply.status == 502 ? "502, may have run" : "?");
	check(reply.status == 502, "the caller is not told 'not run'");
	check(cluster_request_run_count(&cluster, "invoice") == 1,
	    "the invoice ran exactly once");
	http_reply_reset(&reply);
}

static bool
start(const char *build)
{
	if (!cluster_start(&cluster, build))
		return false;
	cluster_publish(&cluster, "");
	if (cluster_add_server(&cluster, "models", "") < 0 ||
	    cluster_add_server(&cluster, "models", "") < 0 ||
	    cluster_add_server(&cluster, "tools", "") < 0)
		return false;
	for (int i = 0; i < GATEWAYS; i++) {
		if (cluster_add_gateway(&cluster) < 0)
			return false;
	}
	for (int i = 0; i < GATEWAYS; i++) {
		if (!cluster_wait_ready(&cluster, i))
			return false;
	}
	return true;
}

static void
kill_all_gateways(void)
{
	for (int i = 0; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	tell("SIGKILL to all gateways", "");
	for (int i = 0; i < GATEWAYS; i++)
		cluster_restart_gateway(&cluster, i);
}

static void
play(void)
{
	struct program program = {0};

	tell("three gateways, two model servers, a tool, a store", "");
	take_turn(&program, "draft", "write a draft;");
	cluster_signal(&cluster.gateways[program.gateway].process, SIGKILL);
	tell("SIGKILL to the gateway that served it", "");
	program.gateway = (program.gateway + 1) % GATEWAYS;
	take_turn(&program, "review", "review it;");
	kill_all_gateways();
	take_turn(&program, "final", "make it final;");
	send_invoice();
	check(take_turn(&program, "extra", "once more;") == 402,
	    "the budget does not hold a fourth turn");
	buf_reset(&program.said);
}

int
main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: gateway-demo BUILD_DIR\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	begun_us = clock_monotonic_us();
	if (start(argv[1]))
		play();
	else
		check(false, "gateways and stand-ins start");
	cluster_stop(&cluster);
	printf("\ngateway demo %s\n", failed ? "FAILED" : "passed");
	return failed ? 1 : 0;
}
