#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/common-2/case.h"

enum {
	PATH_BYTES = 256,
	/* Below the range of ports for outgoing connections. */
	PORT_FIRST = 20000,
	PORT_COUNT = 12000,
	PORT_RANGES = 120,
	PORT_STRIDE = 100,
	POLL_US = 20000,
	CALL_MS = 1000,
	PARTITIONS = 12,
	READY_MS = 5000,
};

struct gateway {
	pid_t pid;
	int callers, readiness, directory, peers, relay, metrics;
};

static struct gateway gateways[CASE_GATEWAYS_MAX];
static char work_dir[] = "/tmp/guavakeel-review-XXXXXX";
static int store;
static int memory;
static int domain_count;

/* Binds a port without listening, which keeps other searches away from it but
 * not the gateway. */
static int
reserve_port(void)
{
	static int next;
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	};
	int on = 1;

	if (next == 0)
		next = getpid() % PORT_RANGES * PORT_STRIDE;
	for (;;) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		next = (next + 1) % PORT_COUNT;
		address.sin_port = htons((uint16_t)(PORT_FIRST + next));
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ==
		    0) {
			setsockopt(
			    fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
			return PORT_FIRST + next;
		}
		close(fd);
	}
}

void
case_gateways_init(int store_port, int memory_mb, int domains)
{
	store = store_port;
	memory = memory_mb;
	domain_count = domains;
	if (mkdtemp(work_dir) == NULL)
		case_end(CASE_NOT_RUN);
	for (int i = 0; i < CASE_GATEWAYS_MAX; i++)
		gateways[i] = (struct gateway){
		    .callers = reserve_port(),
		    .readiness = reserve_port(),
		    .directory = reserve_port(),
		    .peers = reserve_port(),
		    .relay = reserve_port(),
		    .metrics = reserve_port(),
		};
}

/* As deploy/gateway.ini is filled in. */
static bool
write_settings(int number, const char *path)
{
	const struct gateway *gateway = &gateways[number];
	FILE *file = fopen(path, "we");

	if (file == NULL)
		return false;
	fprintf(file,
	    "[vm]\nname = edge-%d\nfailure_domain = zone-%d\nregion = r\n\n"
	    "[gateway]\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"
	    "directory = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
	    "relay = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
	    "store = 127.0.0.1:%d\npartitions = %d\n"
	    "seeds = 127.0.0.1:%d,127.0.0.1:%d\n"
	    "drain = 2500 ms\nconfig_apply = 2500 ms\nlease = 1000 ms\n\n"
	    "[failure_domains]\n",
	    number, number % domain_count, gateway->callers, gateway->readiness,
	    gateway->directory, gateway->peers, gateway->relay,
	    gateway->metrics, store, PARTITIONS, gateways[0].peers,
	    gateways[1].peers);
	for (int i = 0; i < domain_count; i++)
		fprintf(file, "zone-%d = r\n", i);
	fprintf(file,
	    "\n[limits]\nstop_grace = 8 s\n\n[capacity]\nmemory = %d MiB\n\n"
	    "[diagnostics]\nlevel = info\n",
	    memory);
	return fclose(file) == 0;
}

bool
case_gateway_start(int number)
{
	char path[PATH_BYTES];
	char log[PATH_BYTES];
	pid_t parent = getpid();
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/edge-%d.ini", work_dir, number);
	snprintf(log, sizeof(log), "%s/edge-%d.log", work_dir, number);
	if (!write_settings(number, path))
		return false;
	pid = fork();
	if (pid == 0) {
		if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 ||
		    getppid() != parent)
			_exit(127);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		/* The command of deploy/system.toml. */
		execl("target/guavakeel/guavakeel",
		    "target/guavakeel/guavakeel", "gateway", path,
		    (char *)NULL);
		_exit(127);
	}
	gateways[number].pid = pid;
	return pid > 0;
}

void
case_gateway_signal(int number, int signal)
{
	pid_t pid = gateways[number].pid;

	if (pid == 0)
		return;
	kill(pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(pid, NULL, 0);
	gateways[number].pid = 0;
}

/* Waits until a gateway answers its readiness probe with 200. */
static bool
wait_ready(int number, int ms)
{
	int64_t end = case_ms() + ms;

	while (case_ms() < end) {
		struct case_reply reply;
		int status;

		case_call(gateways[number].readiness, "GET", "/v1/readyz",
		    "Host: x\r\n", "", 0, CALL_MS, &reply);
		status = reply.status;
		case_reply_reset(&reply);
		if (status == 200)
			return true;
		usleep(POLL_US);
	}
	return false;
}

void
case_gateways_start(int count)
{
	for (int i = 0; i < count; i++) {
		if (!case_gateway_start(i))
			case_end(CASE_NOT_RUN);
	}
	for (int i = 0; i < count; i++) {
		if (!wait_ready(i, READY_MS))
			case_end(CASE_NOT_RUN);
	}
}

int
case_gateway_port(int number)
{
	return gateways[number].callers;
}

void case_gateways_kill(void);

/* Kills the gateways and removes their files, but keeps these if KEEP_LOGS is
 * in the environment. */
void
case_gateways_kill(void)
{
	char path[PATH_BYTES];

	for (int i = 0; i < CASE_GATEWAYS_MAX; i++)
		case_gateway_signal(i, SIGKILL);
	if (getenv("KEEP_LOGS") != NULL) {
		fprintf(stderr, "logs kept in %s\n", work_dir);
		return;
	}
	for (int i = 0; i < CASE_GATEWAYS_MAX; i++) {
		snprintf(path, sizeof(path), "%s/edge-%d.ini", work_dir, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/edge-%d.log", work_dir, i);
		unlink(path);
	}
	rmdir(work_dir);
}
