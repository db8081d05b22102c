/* A request that crashes the servers that run it, which fall silent, while the
 * gateway that sent it is killed after each try. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/common/review.h"

enum {
	GATEWAYS = 3,
	SERVERS = 4,
	TRIES = 8,
	NO_SERVER = -1,
	DEADLINE_MS = 1500,
	CALL_MS = 3000,
	DOWN_MS = 800,       /* of the gateway */
	BACK_AFTER_MS = 600, /* the server, after the gateway */
	IN_TOUCH_MS = 3500,  /* over stableWindowMs, 3 s */
	CRASHES = 3,
	RETRIES_MAX = 3, /* after the third crash, as the rule allows */
};

static struct cluster cluster;
static int crashes;
static int runs_after_third;

/* Returns the server that the request has frozen, or NO_SERVER. */
static int
find_frozen(void)
{
	for (int i = 0; i < SERVERS; i++) {
		int status = 0;

		if (waitpid(cluster.servers[i].pid, &status,
			WNOHANG | WUNTRACED) == cluster.servers[i].pid &&
		    WIFSTOPPED(status))
			return i;
	}
	return NO_SERVER;
}

/* Sends the request, which is the same each time but for its id. */
static void
send_request(int number)
{
	struct http_reply reply;
	char fields[160];

	snprintf(fields, sizeof(fields),
	    "Host: h.example\r\nRequest-Id: try-%d\r\nDeadline-Ms: %d\r\n",
	    number, DEADLINE_MS);
	http_call_once(cluster.gateways[number % GATEWAYS].process.port, "POST",
	    "/once/crash-silent", fields, "body", 4, CALL_MS, &reply);
	review_note("try-%d at gateway %d: status %d %.120s", number,
	    number % GATEWAYS, reply.status, buf_text(&reply.body));
	http_reply_reset(&reply);
}

static void
wait_ready(void)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (!cluster_wait_ready(&cluster, i))
			review_give_up(&cluster, "a gateway is not ready");
	}
	review_sleep_ms(IN_TOUCH_MS);
}

static void
kill_gateway(int number)
{
	if (!review_has_trouble()) {
		review_sleep_ms(DOWN_MS);
		return;
	}
	cluster_signal(&cluster.gateways[number].process, SIGKILL);
	review_note("gateway %d is killed", number);
	review_sleep_ms(DOWN_MS);
	cluster_restart_gateway(&cluster, number);
	review_note("gateway %d is started again", number);
}

/* The server is back, as a new lifetime under its id. */
static void
restart_server(int number)
{
	review_sleep_ms(BACK_AFTER_MS);
	cluster_signal(&cluster.servers[number], SIGKILL);
	if (!cluster_restart_server(&cluster, number))
		review_give_up(&cluster, "a server does not start again");
	review_note("server %d is back", number);
}

static void
play_try(int number)
{
	bool after_third = crashes >= CRASHES;
	int frozen;

	send_request(number);
	frozen = find_frozen();
	if (frozen == NO_SERVER) {
		review_sleep_ms(IN_TOUCH_MS);
		return;
	}
	crashes++;
	runs_after_third += after_third;
	review_note("try-%d ran at server %d, which has crashed: crash %d",
	    number, frozen, crashes);
	kill_gateway(number % GATEWAYS);
	restart_server(frozen);
	wait_ready();
}

int
main(int argc, char **argv)
{
	review_begin();
	if (argc < 2 || !cluster_start(&cluster, argv[1]))
		return VERDICT_NOT_RUN;
	for (int i = 0; i < SERVERS; i++) {
		if (cluster_add_server(&cluster, "tools", "") < 0)
			review_give_up(&cluster, "no server");
	}
	cluster_publish(&cluster, "");
	for (int i = 0; i < GATEWAYS; i++)
		cluster_add_gateway(&cluster);
	wait_ready();
	for (int i = 0; i < TRIES; i++)
		play_try(i);
	review_note_runs(&cluster);
	review_note("%d crashes; after the third the request reached servers "
		    "%d times, %d are allowed",
	    crashes, runs_after_third, RETRIES_MAX);
	review_end(&cluster,
	    runs_after_third > RETRIES_MAX ? VERDICT_BROKEN : VERDICT_HELD);
}
