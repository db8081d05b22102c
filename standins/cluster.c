#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <jansson.h>

#include "common/clock.h"
#include "platform/store.h"
#include "standins/cluster.h"

enum {
	START_TIMEOUT_MS = 5000,
	READY_TIMEOUT_MS = 10000,
	CALL_TIMEOUT_MS = 3000,
	ARGUMENTS_MAX = 32,
	PATH_BYTES = 256,
	LOG_BYTES = 48, /* name of a log file */
	READ_BYTES = 4096,
	GATEWAYS_PER_DOMAIN = 8,
	STORE_READERS = 2, /* of a failure domain */
	DOMAIN_COUNT = CLUSTER_MAX_GATEWAYS / GATEWAYS_PER_DOMAIN,
	POLL_INTERVAL_US = 20 * US_PER_MS,
	/* These ports are below the default range for outgoing connections. */
	PORT_FIRST = 20000,
	PORT_COUNT = 12000,
	/* Processes search for free ports from different starting points, by
	 * their process id, so that tests that run in parallel do not clash. */
	PORT_RANGES = 120,
	PORT_STRIDE = 100,
	KEPT_DIRS_MAX = 64,
};

/* Starts a program, which is killed when this process ends in any way. */
static pid_t
spawn(const struct cluster *cluster, const char *log, char *const argv[])
{
	char path[PATH_BYTES];
	pid_t parent = getpid();
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", cluster->work_dir, log);
	pid = fork();
	if (pid != 0)
		return pid;
	if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != parent)
		_exit(127);
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(argv[0], argv);
	_exit(127);
}

/* Waits for the line "listening PORT" in a log file. Returns the port, or 0 on
 * timeout. */
static int
wait_listening(const struct cluster *cluster, const char *log)
{
	char path[PATH_BYTES];
	int64_t deadline_us =
	    clock_monotonic_us() + (int64_t)START_TIMEOUT_MS * US_PER_MS;

	snprintf(path, sizeof(path), "%s/%s", cluster->work_dir, log);
	while (clock_monotonic_us() < deadline_us) {
		FILE *file = fopen(path, "re");
		char line[PATH_BYTES];
		int port = 0;

		while (file != NULL && port == 0 &&
		    fgets(line, sizeof(line), file) != NULL)
			sscanf(line, "listening %d", &port);
		if (file != NULL)
			fclose(file);
		if (port != 0)
			return port;
		usleep(POLL_INTERVAL_US);
	}
	return 0;
}

void
cluster_signal(struct cluster_process *process, int signal)
{
	if (process->pid == 0)
		return;
	kill(process->pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}

int
cluster_wait(struct cluster_process *process, int ms)
{
	int64_t deadline_us = clock_monotonic_us() + (int64_t)ms * US_PER_MS;
	int status;

	while (clock_monotonic_us() < deadline_us) {
		if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
			process->pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
		}
		usleep(POLL_INTERVAL_US);
	}
	return -1;
}

/* Reserves a free port outside the range for outgoing connections, so that no
 * such connection takes the port before the gateway binds it. The socket of the
 * reservation does not listen: it lets the gateway bind the port, but no other
 * cluster that looks for one, also while the gateway is down. */
static int
reserve_port(struct cluster *cluster)
{
	static int next;
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	};
	int on = 1;

	if (next == 0)
		next = (int)(getpid() % PORT_RANGES) * PORT_STRIDE;
	for (;;) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		next = (next + 1) % PORT_COUNT;
		address.sin_port = htons((uint16_t)(PORT_FIRST + next));
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ==
		    0) {
			setsockopt(
			    fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
			cluster->reserved_ports[cluster->reserved_count++] = fd;
			return PORT_FIRST + next;
		}
		close(fd);
	}
}

bool
cluster_start(struct cluster *cluster, const char *build)
{
	char program[PATH_BYTES];
	char *argv[] = {program, NULL};

	*cluster = (struct cluster){.build_directory = build};
	snprintf(cluster->work_dir, sizeof(cluster->work_dir),
	    "/tmp/guavakeel-XXXXXX");
	if (mkdtemp(cluster->work_dir) == NULL)
		return false;
	snprintf(program, sizeof(program), "%s/standins/standin-store", build);
	cluster->store.pid = spawn(cluster, "store.log", argv);
	cluster->store.port = wait_listening(cluster, "store.log");
	return cluster->store.port != 0;
}

static void
remove_work_dir(const char *work_dir)
{
	DIR *directory = opendir(work_dir);
	struct dirent *entry;
	char path[2 * PATH_BYTES];

	if (directory == NULL)
		return;
	while ((entry = readdir(directory)) != NULL) {
		snprintf(path, sizeof(path), "%s/%s", work_dir, entry->d_name);
		unlink(path);
	}
	closedir(directory);
	rmdir(work_dir);
}

/* Work directories that are kept until it is known whether a test failed. */
static char kept_dirs[KEPT_DIRS_MAX][WORK_DIR_BYTES];
static size_t kept_dir_count;

static void
remove_kept_dirs(void)
{
	bool failed = getenv(CLUSTER_TEST_FAILED) != NULL;

	for (size_t i = 0; i < kept_dir_count; i++) {
		if (failed)
			printf("logs kept in %s\n", kept_dirs[i]);
		else
			remove_work_dir(kept_dirs[i]);
	}
}

/* Removes the logs at the end of the process, unless a test has failed. */
static void
keep_until_exit(const struct cluster *cluster)
{
	if (kept_dir_count == 0)
		atexit(remove_kept_dirs);
	if (kept_dir_count == KEPT_DIRS_MAX)
		remove_work_dir(cluster->work_dir);
	else
		memcpy(kept_dirs[kept_dir_count++], cluster->work_dir,
		    WORK_DIR_BYTES);
}

void
cluster_stop(struct cluster *cluster)
{
	const char *keep_logs;

	for (int i = 0; i < cluster->gateway_count; i++) {
		cluster_signal(&cluster->gateways[i].process, SIGKILL);
		cluster_signal(&cluster->gateways[i].paths, SIGKILL);
	}
	for (int i = 0; i < cluster->server_count; i++)
		cluster_signal(&cluster->servers[i], SIGKILL);
	cluster_signal(&cluster->store, SIGKILL);
	while (cluster->reserved_count > 0)
		close(cluster->reserved_ports[--cluster->reserved_count]);
	keep_logs = getenv("KEEP_LOGS");
	if (keep_logs == NULL)
		remove_work_dir(cluster->work_dir);
	else if (strcmp(keep_logs, "failures") == 0)
		keep_until_exit(cluster);
	else
		printf("logs kept in %s\n", cluster->work_dir);
}

static int
append_arguments(char *text, char **argv, int count)
{
	char *save = NULL;
	char *word = strtok_r(text, " ", &save);

	while (word != NULL && count < ARGUMENTS_MAX - 1) {
		argv[count++] = word;
		word = strtok_r(NULL, " ", &save);
	}
	argv[count] = NULL;
	return count;
}

static void
format_server_log(int number, int start, char log[LOG_BYTES])
{
	snprintf(log, LOG_BYTES, "runner-%d-%d.log", number, start);
}

bool
cluster_restart_server_with(
    struct cluster *cluster, int number, const char *extra)
{
	struct cluster_process *server = &cluster->servers[number];
	char program[PATH_BYTES];
	char arguments[2 * CLUSTER_ARGUMENTS_BYTES];
	char log[LOG_BYTES];
	char *argv[ARGUMENTS_MAX] = {program};

	snprintf(program, sizeof(program), "%s/standins/standin-runner",
	    cluster->build_directory);
	snprintf(arguments, sizeof(arguments), "%s %s",
	    cluster->server_arguments[number], extra);
	append_arguments(arguments, argv, 1);
	format_server_log(number, cluster->server_starts[number]++, log);
	server->pid = spawn(cluster, log, argv);
	server->port = wait_listening(cluster, log);
	return server->port != 0;
}

bool
cluster_restart_server(struct cluster *cluster, int number)
{
	return cluster_restart_server_with(cluster, number, "");
}

int
cluster_add_server(
    struct cluster *cluster, const char *service, const char *extra)
{
	int number = cluster->server_count;

	if (number == CLUSTER_MAX_SERVERS)
		return -1;
	snprintf(cluster->server_arguments[number], CLUSTER_ARGUMENTS_BYTES,
	    "--id %s-%d --service %s --store-port %d %s %s", service, number,
	    service, cluster->store.port,
	    strcmp(service, "models") == 0 ? "--model" : "", extra);
	if (!cluster_restart_server(cluster, number))
		return -1;
	return cluster->server_count++;
}

static void
append_file(const struct cluster *cluster, const char *name, struct buf *out)
{
	char path[2 * PATH_BYTES];
	char data[READ_BYTES];
	FILE *file;
	size_t len;

	snprintf(path, sizeof(path), "%s/%s", cluster->work_dir, name);
	file = fopen(path, "re");
	if (file == NULL)
		return;
	while ((len = fread(data, 1, sizeof(data), file)) > 0)
		buf_append(out, data, len);
	fclose(file);
}

void
cluster_read_runs(const struct cluster *cluster, struct buf *runs)
{
	char log[LOG_BYTES];

	for (int i = 0; i < cluster->server_count; i++) {
		for (int k = 0; k < cluster->server_starts[i]; k++) {
			format_server_log(i, k, log);
			append_file(cluster, log, runs);
		}
	}
}

int
cluster_run_count(const struct cluster *cluster, int server)
{
	struct http_reply reply;
	const char *line;
	int runs = 0;

	http_call_once(cluster->servers[server].port, "GET", "/stand-in/runs",
	    "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
	for (line = buf_text(&reply.body); (line = strchr(line, '\n')) != NULL;
	     line++)
		runs++;
	http_reply_reset(&reply);
	return runs;
}

int
cluster_request_run_count(const struct cluster *cluster, const char *request)
{
	struct http_reply reply;
	int runs = 0;

	for (int i = 0; i < cluster->server_count; i++) {
		const char *position;

		if (cluster->servers[i].pid == 0)
			continue;
		http_call_once(cluster->servers[i].port, "GET",
		    "/stand-in/runs", "Host: x\r\n", "", 0, CALL_TIMEOUT_MS,
		    &reply);
		position = buf_text(&reply.body);
		while ((position = strstr(position, request)) != NULL) {
			runs++;
			position += strlen(request);
		}
		http_reply_reset(&reply);
	}
	return runs;
}

static char
domain_letter(int number)
{
	return (char)('a' + number);
}

static void
write_settings(const struct cluster *cluster, int number, const char *path)
{
	const struct cluster_gateway *gateway = &cluster->gateways[number];
	FILE *file = fopen(path, "we");

	if (file == NULL)
		return;
	fprintf(file,
	    "[vm]\nname = entry-%d\nfailure_domain = %c\nregion = r\n"
	    "[gateway]\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"
	    "directory = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
	    "metrics = 127.0.0.1:%d\nrelay = 127.0.0.1:%d\n"
	    "store = 127.0.0.1:%d\n"
	    "partitions = 12\nlease = 1000 ms\ndrain = 2500 ms\n"
	    "store_readers = %d\n"
	    "[limits]\nstop_grace = 8 s\n[failure_domains]\n",
	    number, domain_letter(number / GATEWAYS_PER_DOMAIN),
	    gateway->process.port, gateway->readiness_port,
	    gateway->directory_port, gateway->peers_port, gateway->metrics_port,
	    gateway->relay_port,
	    gateway->store_port != 0 ? gateway->store_port
				     : cluster->store.port,
	    /* Its list has the addresses of its own paths. */
	    gateway->store_port != 0 ? 0 : STORE_READERS);
	for (int i = 0; i < DOMAIN_COUNT; i++)
		fprintf(file, "%c = r\n", domain_letter(i));
	if (cluster->more_settings != NULL)
		fputs(cluster->more_settings, file);
	fclose(file);
}

bool
cluster_restart_gateway(struct cluster *cluster, int number)
{
	struct cluster_gateway *gateway = &cluster->gateways[number];
	char program[PATH_BYTES];
	char path[PATH_BYTES];
	char log[32];
	char *argv[] = {program, "gateway", path, NULL};

	snprintf(program, sizeof(program), "%s/guavakeel/guavakeel",
	    cluster->build_directory);
	snprintf(
	    path, sizeof(path), "%s/entry-%d.ini", cluster->work_dir, number);
	snprintf(log, sizeof(log), "entry-%d.log", number);
	write_settings(cluster, number, path);
	gateway->process.pid = spawn(cluster, log, argv);
	return gateway->process.pid > 0;
}

int
cluster_add_gateway(struct cluster *cluster)
{
	int number = cluster->gateway_count;
	struct cluster_gateway *gateway = &cluster->gateways[number];

	if (number == CLUSTER_MAX_GATEWAYS)
		return -1;
	cluster->gateway_count++;
	gateway->process.port = reserve_port(cluster);
	gateway->readiness_port = reserve_port(cluster);
	gateway->directory_port = reserve_port(cluster);
	gateway->peers_port = reserve_port(cluster);
	gateway->metrics_port = reserve_port(cluster);
	gateway->relay_port = reserve_port(cluster);
	return cluster_restart_gateway(cluster, number) ? number : -1;
}

int
cluster_add_gateway_with_paths(struct cluster *cluster)
{
	int number = cluster->gateway_count;
	struct cluster_gateway *gateway = &cluster->gateways[number];
	char program[PATH_BYTES];
	char log[LOG_BYTES];
	char arguments[CLUSTER_ARGUMENTS_BYTES];
	char *argv[ARGUMENTS_MAX] = {program};

	if (number == CLUSTER_MAX_GATEWAYS)
		return -1;
	gateway->store_port = reserve_port(cluster);
	snprintf(program, sizeof(program), "%s/standins/standin-paths",
	    cluster->build_directory);
	snprintf(log, sizeof(log), "paths-%d.log", number);
	snprintf(arguments, sizeof(arguments),
	    "--number %d --store-port %d --port %d", number + 1,
	    cluster->store.port, gateway->store_port);
	append_arguments(arguments, argv, 1);
	gateway->paths.pid = spawn(cluster, log, argv);
	gateway->paths.port = wait_listening(cluster, log);
	return gateway->paths.port != 0 ? cluster_add_gateway(cluster) : -1;
}

static void
set_path(const struct cluster *cluster, int number, const char *path,
    const char *mode)
{
	struct http_reply reply;
	char target[PATH_BYTES];

	snprintf(target, sizeof(target), "/stand-in/%s/%s", path, mode);
	http_call_once(cluster->gateways[number].paths.port, "GET", target,
	    "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
	http_reply_reset(&reply);
}

void
cluster_set_paths(const struct cluster *cluster, int number, const char *mode)
{
	set_path(cluster, number, "mode", mode);
}

void
cluster_set_store_path(
    const struct cluster *cluster, int number, const char *mode)
{
	set_path(cluster, number, "store", mode);
}

bool
cluster_has_logged(const struct cluster *cluster, int number, const char *text)
{
	struct buf log = {0};
	char name[LOG_BYTES];
	bool found;

	snprintf(name, sizeof(name), "entry-%d.log", number);
	append_file(cluster, name, &log);
	found = strstr(buf_text(&log), text) != NULL;
	buf_reset(&log);
	return found;
}

bool
cluster_wait_ready(struct cluster *cluster, int number)
{
	const struct cluster_gateway *gateway = &cluster->gateways[number];
	int64_t deadline_us =
	    clock_monotonic_us() + (int64_t)READY_TIMEOUT_MS * US_PER_MS;
	struct http_reply reply;
	int status = 0;

	while (status != 200 && clock_monotonic_us() < deadline_us) {
		http_call_once(gateway->readiness_port, "GET", "/v1/readyz",
		    "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
		status = reply.status;
		http_reply_reset(&reply);
		usleep(POLL_INTERVAL_US);
	}
	return status == 200;
}

long
cluster_counter(const struct cluster *cluster, int number, const char *name)
{
	struct http_reply reply;
	char prefix[PATH_BYTES];
	const char *position;
	long value = -1;

	http_call_once(cluster->gateways[number].metrics_port, "GET",
	    "/metrics", "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
	snprintf(prefix, sizeof(prefix), "\nguavakeel_%s ", name);
	position = strstr(buf_text(&reply.body), prefix);
	if (position != NULL)
		value = strtol(position + strlen(prefix), NULL, 10);
	http_reply_reset(&reply);
	return value;
}

void
cluster_write_entry(const struct cluster *cluster, const char *topic,
    const void *key, size_t key_len, const char *value)
{
	const uint8_t key_length = (uint8_t)key_len;
	const uint32_t length =
	    htonl((uint32_t)(sizeof(key_length) + key_len + strlen(value)));
	struct http_reply reply;
	struct buf body = {0};
	char target[PATH_BYTES];

	buf_append(&body, &length, sizeof(length));
	buf_append(&body, &key_length, sizeof(key_length));
	buf_append(&body, key, key_len);
	buf_append_text(&body, value);
	snprintf(
	    target, sizeof(target), "/stand-in/append?topic=%s&part=0", topic);
	http_call_once(cluster->store.port, "POST", target, "Host: x\r\n",
	    body.data, body.len, CALL_TIMEOUT_MS, &reply);
	http_reply_reset(&reply);
	buf_reset(&body);
}

static void
append_keyed(const struct cluster *cluster, const char *topic, const char *key,
    const char *value)
{
	cluster_write_entry(cluster, topic, key, strlen(key), value);
}

long
cluster_store_stat(const struct cluster *cluster, const char *name)
{
	struct http_reply reply;
	json_t *stats;
	long value;

	http_call_once(cluster->store.port, "GET", "/stats", "Host: x\r\n", "",
	    0, CALL_TIMEOUT_MS, &reply);
	stats = json_loads(buf_text(&reply.body), 0, NULL);
	value = json_is_object(stats)
	    ? (long)json_integer_value(json_object_get(stats, name))
	    : -1;
	json_decref(stats);
	http_reply_reset(&reply);
	return value;
}

void
cluster_publish(struct cluster *cluster, const char *more_routes)
{
	cluster_publish_with(cluster, more_routes, "");
}

void
cluster_publish_with(
    struct cluster *cluster, const char *more_routes, const char *more_members)
{
	struct buf config = {0};

	cluster->config_version += 2;
	buf_printf(&config,
	    "{\"version\":%d,\"routes\":["
	    "{\"name\":\"turn\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/turn/\",\"kind\":\"streaming\",\"timeoutMs\":3000,"
	    "\"targetLatencyMs\":300,\"priority\":1,\"service\":\"models\","
	    "\"maxAttempts\":1,\"retained\":true,\"retentionS\":60.0,"
	    "\"sessionAffinity\":true,\"resumable\":false},"
	    "{\"name\":\"stream\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":3000,"
	    "\"targetLatencyMs\":300,\"priority\":0,\"service\":\"models\","
	    "\"maxAttempts\":1,\"retained\":false,\"resumable\":true},"
	    "{\"name\":\"safe\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/safe/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
	    "\"targetLatencyMs\":100,\"priority\":2,\"service\":\"tools\","
	    "\"maxAttempts\":3},"
	    "{\"name\":\"once\",\"host\":\"h.example\",\"pathPrefix\":"
	    "\"/once/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":150,\"priority\":2,\"service\":\"tools\","
	    "\"maxAttempts\":3}%s],"
	    "\"services\":[{\"name\":\"models\",\"healthPath\":\"/healthz\","
	    "\"maxConnections\":100,\"engine\":{\"maxBatch\":8,"
	    "\"kvCapacity\":100000,\"tokensPerEvent\":10}},"
	    "{\"name\":\"tools\",\"healthPath\":\"/healthz\","
	    "\"maxConnections\":100}],"
	    "\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":4194304,"
	    "\"headerTimeoutMs\":1000,\"idleTimeoutMs\":5000}%s}",
	    cluster->config_version, more_routes, more_members);
	append_keyed(
	    cluster, STORE_TOPIC_OPERATOR, STORE_KEY_CONFIG, buf_text(&config));
	buf_reset(&config);
}

void
cluster_register_port(
    struct cluster *cluster, const char *id, const char *service, int port)
{
	struct buf value = {0};

	buf_printf(&value,
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"a\",\"version\":\"v1\",\"maxBatch\":8,"
	    "\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
	    "\"born\":1}",
	    service, port);
	append_keyed(cluster, STORE_TOPIC_SERVERS, id, buf_text(&value));
	buf_reset(&value);
}

void
cluster_unregister_server(struct cluster *cluster, const char *id)
{
	append_keyed(cluster, STORE_TOPIC_SERVERS, id, "");
}

void
cluster_register_server(struct cluster *cluster, const char *id, int server)
{
	cluster_register_port(
	    cluster, id, "tools", cluster->servers[server].port);
}

int
cluster_requests_in_progress(const struct cluster *cluster, int server)
{
	struct http_reply reply;
	int running;

	http_call_once(cluster->servers[server].port, "GET",
	    "/stand-in/running", "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
	running = (int)strtol(buf_text(&reply.body), NULL, 10);
	http_reply_reset(&reply);
	return running;
}

bool
cluster_leave(struct cluster *cluster, int server, int signal)
{
	int64_t deadline_us =
	    clock_monotonic_us() + (int64_t)START_TIMEOUT_MS * US_PER_MS;
	bool leaving = false;

	cluster_signal(&cluster->servers[server], signal);
	while (!leaving && clock_monotonic_us() < deadline_us) {
		struct http_reply reply;

		http_call_once(cluster->servers[server].port, "GET",
		    "/stand-in/leaving", "Host: x\r\n", "", 0, CALL_TIMEOUT_MS,
		    &reply);
		leaving = strcmp(buf_text(&reply.body), "1") == 0;
		http_reply_reset(&reply);
		if (!leaving)
			usleep(POLL_INTERVAL_US);
	}
	return leaving;
}

static void
set_at_server(const struct cluster *cluster, int server, const char *name,
    const char *value)
{
	struct http_reply reply;
	char target[PATH_BYTES];

	snprintf(target, sizeof(target), "/stand-in/%s/%s", name, value);
	http_call_once(cluster->servers[server].port, "GET", target,
	    "Host: x\r\n", "", 0, CALL_TIMEOUT_MS, &reply);
	http_reply_reset(&reply);
}

void
cluster_state_limit(
    const struct cluster *cluster, int server, const char *value)
{
	set_at_server(cluster, server, "limit", value);
}

void
cluster_set_trouble(const struct cluster *cluster, int server, const char *name)
{
	set_at_server(cluster, server, "trouble", name);
}

void
cluster_set_store_faults(struct cluster *cluster, const char *json)
{
	struct http_reply reply;

	http_call_once(cluster->store.port, "POST", "/faults",
	    "Host: x\r\nContent-Type: application/json\r\n", json, strlen(json),
	    CALL_TIMEOUT_MS, &reply);
	http_reply_reset(&reply);
}

long
cluster_memory_kb(const struct cluster *cluster, int number, const char *field)
{
	char path[PATH_BYTES];
	char line[PATH_BYTES];
	long kb = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status",
	    (int)cluster->gateways[number].process.pid);
	file = fopen(path, "re");
	if (file == NULL)
		return -1;
	while (kb < 0 && fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, field, strlen(field)) == 0 &&
		    line[strlen(field)] == ':')
			kb = strtol(line + strlen(field) + 1, NULL, 10);
	}
	fclose(file);
	return kb;
}
