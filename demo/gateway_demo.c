/** @file
 * Runs a program of dependent turns through gateways, against stand-ins of the
 * platform's store and of backend servers on loopback. Gateways are killed
 * between the turns.
 *
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
	GATEWAY_COUNT = 3,
	CALL_TIMEOUT_MS = 5000,
	MAX_ATTEMPTS = 30,
	RETRY_DELAY_MS = 300,
	TEXT_BYTES = 512,
	TURN_TOKENS = 50,
	/* The servers generate 40 tokens a turn: three turns leave 40, too few
	 * for a fourth of up to TURN_TOKENS. */
	BUDGET_TOKENS = 160,
};

/** The caller's state of the program. */
struct program {
	char previous_turn[64]; /**< request id of the last turn, or "" */
	struct buf history;     /**< inputs and outputs of all turns */
	int gateway;            /**< index of the gateway for the next turn */
};

static struct cluster cluster;
static int64_t start_us;
static bool failed;

static void
print_event(const char *text, const char *detail)
{
	printf("%8.3f s  %s%s\n",
	    (double)(clock_monotonic_us() - start_us) / US_PER_S, text, detail);
	fflush(stdout);
}

static void
check(bool ok, const char *what)
{
	printf("%s  %s\n", ok ? "ok  " : "FAIL", what);
	failed = failed || !ok;
}

static void
send_request(int gateway, const char *target, const char *headers,
    const char *body, struct http_reply *reply)
{
	http_call_once(cluster.gateways[gateway].process.port, "POST", target,
	    headers, body, strlen(body), CALL_TIMEOUT_MS, reply);
}

/* Appends the turn's input and output to the history. The server's response
 * contains a hash of the history that it was given: returns false, and leaves
 * the output out, if that differs from the caller's. */
static bool
append_turn(
    struct program *program, const char *input, struct http_reply *reply)
{
	const char *pos = buf_text(&reply->body);
	char hash[32];

	buf_append_text(&program->history, input);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_bytes(program->history.data, program->history.len, 0));
	if (strstr(pos, hash) == NULL)
		return false;
	while ((pos = strstr(pos, "data: ")) != NULL) {
		pos += strlen("data: ");
		buf_append(&program->history, pos, strcspn(pos, "\n"));
		buf_append(&program->history, "\n", 1);
	}
	return true;
}

/* Sends a turn, and repeats it at the next gateway under a new request id while
 * the status is 503 (refused, not run) or there is no response. Returns the
 * last status, 0 for none. */
static int
run_turn(struct program *program, const char *name, const char *input)
{
	struct http_reply reply = {0};
	char headers[TEXT_BYTES];
	char request[32];
	char line[TEXT_BYTES];
	int status = 0;
	int attempts = 0;

	while (attempts < MAX_ATTEMPTS && (status == 503 || status == 0)) {
		snprintf(
		    request, sizeof(request), "%.20s-%d", name, ++attempts);
		snprintf(headers, sizeof(headers),
		    "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n"
		    "Program-Id: demo\r\nSession-Id: demo\r\n"
		    "Token-Budget: %d\r\nToken-Usage: 100,%d\r\n%s%s%s",
		    request, BUDGET_TOKENS, TURN_TOKENS,
		    program->previous_turn[0] != '\0' ? "Previous-Turn: " : "",
		    program->previous_turn,
		    program->previous_turn[0] != '\0' ? "\r\n" : "");
		send_request(
		    program->gateway, "/turn/x", headers, input, &reply);
		status = reply.status;
		if (status == 200)
			break;
		http_reply_reset(&reply);
		program->gateway = (program->gateway + 1) % GATEWAY_COUNT;
		usleep(RETRY_DELAY_MS * US_PER_MS);
	}
	snprintf(line, sizeof(line), "%s: %d after %d tries, at gateway %d",
	    name, status, attempts, program->gateway);
	print_event("turn ", line);
	if (status == 200) {
		check(append_turn(program, input, &reply),
		    "the server was given the whole history");
		snprintf(program->previous_turn, sizeof(program->previous_turn),
		    "%s", request);
		http_reply_reset(&reply);
	}
	return status;
}

/* Sends a request that must not be repeated and whose response the server
 * drops: the gateway must not send it again. */
static void
send_invoice(void)
{
	struct http_reply reply;

	send_request(0, "/once/lose",
	    "Host: h.example\r\nRequest-Id: invoice\r\nDeadline-Ms: 2000\r\n",
	    "amount=7", &reply);
	print_event("invoice, its answer lost: ",
	    reply.status == 502 ? "502, may have run" : "?");
	check(reply.status == 502, "the caller is not told 'not run'");
	check(cluster_request_run_count(&cluster, "invoice") == 1,
	    "the invoice ran exactly once");
	http_reply_reset(&reply);
}

static bool
start_cluster(const char *build)
{
	if (!cluster_start(&cluster, build))
		return false;
	cluster_publish(&cluster, "");
	if (cluster_add_server(&cluster, "models", "") < 0 ||
	    cluster_add_server(&cluster, "models", "") < 0 ||
	    cluster_add_server(&cluster, "tools", "") < 0)
		return false;
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		if (cluster_add_gateway(&cluster) < 0)
			return false;
	}
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		if (!cluster_wait_ready(&cluster, i))
			return false;
	}
	return true;
}

static void
kill_all_gateways(void)
{
	for (int i = 0; i < GATEWAY_COUNT; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	print_event("SIGKILL to all gateways", "");
	for (int i = 0; i < GATEWAY_COUNT; i++)
		cluster_restart_gateway(&cluster, i);
}

static void
run_scenario(void)
{
	struct program program = {0};

	print_event("three gateways, two model servers, a tool, a store", "");
	run_turn(&program, "draft", "write a draft;");
	cluster_signal(&cluster.gateways[program.gateway].process, SIGKILL);
	print_event("SIGKILL to the gateway that served it", "");
	program.gateway = (program.gateway + 1) % GATEWAY_COUNT;
	run_turn(&program, "review", "review it;");
	kill_all_gateways();
	run_turn(&program, "final", "make it final;");
	send_invoice();
	check(run_turn(&program, "extra", "once more;") == 402,
	    "the budget does not hold a fourth turn");
	buf_reset(&program.history);
}

int
main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: gateway-demo BUILD_DIR\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	start_us = clock_monotonic_us();
	if (start_cluster(argv[1]))
		run_scenario();
	else
		check(false, "gateways and stand-ins start");
	cluster_stop(&cluster);
	printf("\ngateway demo %s\n", failed ? "FAILED" : "passed");
	return failed ? 1 : 0;
}
