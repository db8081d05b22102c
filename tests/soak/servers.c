#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "common/clock.h"
#include "common/memory.h"
#include "soak.h"

enum {
	/* From a server's first sign of leaving to its SIGTERM: longer than the
	 * gateways' drain time. */
	LEAVE_MIN_MS = 3000,
	LEAVE_MAX_MS = 5000,
	DOWN_MAX_MS = 1500,
	/* Until a server that has fallen silent ends: longer than its entry in
	 * the list lasts, or not. */
	SILENT_MIN_MS = 300,
	SILENT_MAX_MS = 3000,
	/* After a gateway has passed on that a server leaves, a request that a
	 * caller sends later than this must not reach the server: drain of the
	 * gateways' settings. */
	DRAIN_US = 2500 * US_PER_MS,
	TROUBLE_MIN_MS = 500,
	TROUBLE_MAX_MS = 3000,
	LIMIT_MIN_MS = 4000,
	LIMIT_MAX_MS = 8000,
	/* After a server has stated a limit, it is not checked for this time,
	 * and a gateway counts this time after it has passed the limit on. */
	LIMIT_SETTLE_US = 3 * US_PER_S,
	LIMIT_TOLD_US = 500 * US_PER_MS,
	LIMIT_WINDOW_US = 4 * US_PER_S,
	ARRIVALS_MAX = 512,
};

enum server_state {
	SERVER_UP,
	SERVER_LEAVING,  /* says in its responses that it leaves */
	SERVER_STOPPING, /* SIGTERM was sent */
	SERVER_SILENT,   /* a request has frozen it */
	SERVER_DOWN,
};

/** A backend server and the end of its current state. */
struct server {
	enum server_state state;
	int64_t due_us;
	int64_t started_us;
	int limit_per_s; /* 0: none */
	int64_t limited_us;
	int64_t limit_due_us;   /* end of the limit */
	int64_t trouble_due_us; /* end of its trouble; 0: none */
	/* Requests from gateways that know of the limit, a ring. */
	int64_t arrivals_us[ARRIVALS_MAX];
	size_t arrival_count;
};

struct servers {
	struct soak *soak;
	struct server servers[CLUSTER_MAX_SERVERS];
	/** When a gateway first passed on that a server leaves; 0: not since
	 * either started. */
	int64_t leaving_since_us[CLUSTER_MAX_GATEWAYS][CLUSTER_MAX_SERVERS];
	/** The same for a limit. */
	int64_t limited_since_us[CLUSTER_MAX_GATEWAYS][CLUSTER_MAX_SERVERS];
};

static struct cluster_process *
server_process(struct servers *servers, int number)
{
	return &servers->soak->cluster.servers[number];
}

static int64_t
random_time_us(struct servers *servers, int min_ms, int max_ms)
{
	uint64_t range = (uint64_t)(max_ms - min_ms);

	return clock_monotonic_us() +
	    (int64_t)(min_ms + (int)rng_below(&servers->soak->rng, range)) *
	    US_PER_MS;
}

/* Services alternate in pairs, as start_run() adds them. */
static bool
is_model_server(int number)
{
	return number % 4 < 2;
}

/* Returns whether another server of the same service is up. */
static bool
has_substitute(const struct servers *servers, int number)
{
	for (int i = 0; i < servers->soak->cluster.server_count; i++) {
		if (i != number && servers->servers[i].state == SERVER_UP &&
		    is_model_server(i) == is_model_server(number))
			return true;
	}
	return false;
}

void
servers_leave(struct servers *servers, int number, bool listed)
{
	struct server *server = &servers->servers[number];

	if (server->state != SERVER_UP || !has_substitute(servers, number))
		return;
	soak_log(servers->soak, "server %d: leaves%s", number,
	    listed ? "" : ", unlisted");
	cluster_signal(
	    server_process(servers, number), listed ? SIGUSR1 : SIGUSR2);
	server->state = SERVER_LEAVING;
	server->due_us = random_time_us(servers, LEAVE_MIN_MS, LEAVE_MAX_MS);
}

void
servers_kill(struct servers *servers, int number)
{
	struct server *server = &servers->servers[number];

	if (server->state == SERVER_DOWN || !has_substitute(servers, number))
		return;
	soak_log(servers->soak, "server %d: kill", number);
	cluster_signal(server_process(servers, number), SIGKILL);
	server->state = SERVER_DOWN;
	server->due_us = random_time_us(servers, 1, DOWN_MAX_MS);
}

/* Clears what is known of a server's limit. */
static void
end_limit(struct servers *servers, int number)
{
	struct server *server = &servers->servers[number];

	server->limit_per_s = 0;
	server->arrival_count = 0;
	for (int i = 0; i < CLUSTER_MAX_GATEWAYS; i++)
		servers->limited_since_us[i][number] = 0;
}

void
servers_limit(struct servers *servers, int number)
{
	struct server *server = &servers->servers[number];
	char value[16];

	if (server->state != SERVER_UP || server->limit_per_s != 0)
		return;
	server->limit_per_s = 1 + (int)rng_below(&servers->soak->rng, 3);
	server->limited_us = clock_monotonic_us();
	server->limit_due_us =
	    random_time_us(servers, LIMIT_MIN_MS, LIMIT_MAX_MS);
	soak_log(servers->soak, "server %d: limit of %d a second", number,
	    server->limit_per_s);
	snprintf(value, sizeof(value), "%d", server->limit_per_s);
	cluster_state_limit(&servers->soak->cluster, number, value);
}

void
servers_trouble(struct servers *servers, int number)
{
	static const char *const troubles[] = {
	    "error", "timeout", "busy", "reject"};
	struct server *server = &servers->servers[number];
	const char *trouble = troubles[rng_below(
	    &servers->soak->rng, sizeof(troubles) / sizeof(troubles[0]))];

	if (server->state != SERVER_UP || is_model_server(number))
		return;
	server->trouble_due_us =
	    random_time_us(servers, TROUBLE_MIN_MS, TROUBLE_MAX_MS);
	soak_log(servers->soak, "server %d: %s", number, trouble);
	cluster_set_trouble(&servers->soak->cluster, number, trouble);
}

static void
restart(struct servers *servers, int number)
{
	struct server *server = &servers->servers[number];

	if (!cluster_restart_server(&servers->soak->cluster, number))
		soak_fail(
		    servers->soak, "server %d does not start again", number);
	server->state = SERVER_UP;
	server->started_us = clock_monotonic_us();
	server->trouble_due_us = 0;
	end_limit(servers, number);
	for (int i = 0; i < CLUSTER_MAX_GATEWAYS; i++)
		servers->leaving_since_us[i][number] = 0;
}

/* Notes that a request has crashed or frozen a server. */
static void
note_crash(struct servers *servers, int number, int status)
{
	struct server *server = &servers->servers[number];

	if (WIFSTOPPED(status)) {
		soak_log(servers->soak, "server %d: fell silent", number);
		server->state = SERVER_SILENT;
		server->due_us =
		    random_time_us(servers, SILENT_MIN_MS, SILENT_MAX_MS);
		return;
	}
	soak_log(servers->soak, "server %d: crashed", number);
	server_process(servers, number)->pid = 0;
	server->state = SERVER_DOWN;
	server->due_us = random_time_us(servers, 1, DOWN_MAX_MS);
}

void
servers_step(struct servers *servers, bool all)
{
	int64_t now_us = all ? INT64_MAX : clock_monotonic_us();

	for (int i = 0; i < servers->soak->cluster.server_count; i++) {
		struct server *server = &servers->servers[i];
		struct cluster_process *process = server_process(servers, i);
		int status;

		if (server->state == SERVER_LEAVING &&
		    server->due_us <= now_us) {
			cluster_signal(process, SIGTERM);
			server->state = SERVER_STOPPING;
		}
		if ((server->state == SERVER_UP ||
			server->state == SERVER_LEAVING) &&
		    process->pid != 0 &&
		    waitpid(process->pid, &status, WNOHANG | WUNTRACED) ==
			process->pid)
			note_crash(servers, i, status);
		if (server->state == SERVER_SILENT &&
		    server->due_us <= now_us) {
			cluster_signal(process, SIGKILL);
			server->state = SERVER_DOWN;
			server->due_us =
			    random_time_us(servers, 1, DOWN_MAX_MS);
		}
		if (server->state == SERVER_STOPPING &&
		    waitpid(process->pid, NULL, WNOHANG) == process->pid) {
			process->pid = 0;
			server->state = SERVER_DOWN;
			server->due_us = clock_monotonic_us();
		}
		if (server->state == SERVER_DOWN && server->due_us <= now_us)
			restart(servers, i);
		if (server->state == SERVER_UP && server->trouble_due_us != 0 &&
		    server->trouble_due_us <= now_us) {
			cluster_set_trouble(&servers->soak->cluster, i, "");
			server->trouble_due_us = 0;
		}
		if (server->state == SERVER_UP && server->limit_per_s != 0 &&
		    server->limit_due_us <= now_us) {
			cluster_state_limit(&servers->soak->cluster, i, "");
			end_limit(servers, i);
		}
	}
}

void
servers_gateway_interrupted(struct servers *servers, int gateway)
{
	memset(servers->leaving_since_us[gateway], 0,
	    sizeof(servers->leaving_since_us[gateway]));
	memset(servers->limited_since_us[gateway], 0,
	    sizeof(servers->limited_since_us[gateway]));
}

/* Counts a request to a server that states a limit, and checks the requests of
 * the last seconds. */
static void
check_limit(struct servers *servers, int gateway, int number, int64_t sent_us)
{
	struct server *server = &servers->servers[number];
	int64_t *since_us = &servers->limited_since_us[gateway][number];
	int64_t now_us = clock_monotonic_us();
	int count = 0;

	if (server->limit_per_s == 0)
		return;
	if (*since_us == 0) {
		*since_us = now_us;
		return;
	}
	if (sent_us < *since_us + LIMIT_TOLD_US)
		return;
	server->arrivals_us[server->arrival_count++ % ARRIVALS_MAX] = now_us;
	if (now_us < server->limited_us + LIMIT_SETTLE_US + LIMIT_WINDOW_US)
		return;
	for (size_t i = 0; i < ARRIVALS_MAX && i < server->arrival_count; i++)
		count += server->arrivals_us[i] > now_us - LIMIT_WINDOW_US;
	if (2 * count >
	    3 * server->limit_per_s * LIMIT_WINDOW_US / US_PER_S + 2 * 5)
		soak_fail(servers->soak,
		    "server %d limits its requests to %d a second and got %d "
		    "in 4 s from gateways that knew",
		    number, server->limit_per_s, count);
}

void
servers_check_response(struct servers *servers, int gateway, int64_t sent_us,
    const struct h1_head *head)
{
	const char *id = h1_headers_find(&head->headers, "response-signature");
	const char *dash = id != NULL ? strrchr(id, '-') : NULL;
	int number = dash != NULL ? (int)strtol(dash + 1, NULL, 10) : -1;
	int64_t *since_us;

	if (number < 0 || number >= servers->soak->cluster.server_count)
		return;
	since_us = &servers->leaving_since_us[gateway][number];
	/* The response may be of an earlier process of the server. */
	if (sent_us < servers->servers[number].started_us)
		return;
	if (h1_headers_find(&head->headers, "server-limit") != NULL)
		check_limit(servers, gateway, number, sent_us);
	if (*since_us != 0 && sent_us > *since_us + DRAIN_US)
		soak_fail(servers->soak,
		    "gateway %d sent a request to server %d, %.3f s after it "
		    "had passed on that the server leaves",
		    gateway, number, (double)(sent_us - *since_us) / US_PER_S);
	if (*since_us == 0 &&
	    h1_headers_find(&head->headers, "server-leaving") != NULL)
		*since_us = clock_monotonic_us();
}

struct servers *
servers_create(struct soak *soak)
{
	struct servers *servers = xcalloc(1, sizeof(*servers));

	servers->soak = soak;
	return servers;
}

void
servers_destroy(struct servers *servers)
{
	free(servers);
}
