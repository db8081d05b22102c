#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "common/memory.h"
#include "review/common-2/case.h"

enum {
	BACKLOG = 512,
	HEAD_MAX_BYTES = 64 << 10,
	READ_BYTES = 64 << 10,
	MS_PER_S = 1000,
	US_PER_MS_ = 1000,
	NS_PER_MS = 1000000,
};

struct server {
	int listener;
	case_handler handle;
	void *context;
};

struct connection {
	int fd;
	struct server *server;
};

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec begun;
static int limit_s;

int64_t
case_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - begun.tv_sec) * MS_PER_S +
	    (now.tv_nsec - begun.tv_nsec) / NS_PER_MS;
}

void
case_sleep_until(int64_t ms)
{
	int64_t left = ms - case_ms();

	if (left > 0)
		usleep((useconds_t)left * US_PER_MS_);
}

bool
case_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
case_log(const char *fmt, ...)
{
	int64_t ms = case_ms();
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(
	    record, "%4d.%03d ", (int)(ms / MS_PER_S), (int)(ms % MS_PER_S));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	pthread_mutex_unlock(&record_lock);
}

static void *
watch_time(void *context)
{
	(void)context;
	sleep((unsigned)limit_s);
	case_log("time limit of the script");
	case_end(CASE_NOT_RUN);
}

void
case_start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, CASE_STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, context) != 0)
		case_end(CASE_NOT_RUN);
	pthread_attr_destroy(&attributes);
}

void
case_begin(const char *path, int limit)
{
	clock_gettime(CLOCK_MONOTONIC, &begun);
	signal(SIGPIPE, SIG_IGN);
	record = fopen(path, "we");
	if (record == NULL) {
		perror(path);
		exit(CASE_NOT_RUN);
	}
	limit_s = limit;
	case_start_thread(watch_time, NULL);
	case_log("trouble: %s", case_has_trouble() ? "yes" : "no");
}

void
case_new_id(char id[CASE_ID_BYTES])
{
	uint64_t number;

	if (getrandom(&number, sizeof(number), 0) != sizeof(number))
		case_end(CASE_NOT_RUN);
	snprintf(id, CASE_ID_BYTES, "%016llx", (unsigned long long)number);
}

bool
case_send(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		len -= (size_t)sent;
	}
	return true;
}

static void
find_field(const struct buf *head, const char *name, char *value, size_t size)
{
	const char *line = (const char *)head->data;
	size_t len = strlen(name);

	value[0] = '\0';
	while (line != NULL && (line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return;
	}
}

void
case_field(const struct case_request *request, const char *name, char *value,
    size_t size)
{
	find_field(&request->head, name, value, size);
}

/* Reads a head. What follows it is put into the body. */
static bool
read_head(struct case_request *request, struct buf *in)
{
	char data[4096];
	char value[64];
	const char *end;
	size_t len;

	while ((end = strstr(buf_text(in), "\r\n\r\n")) == NULL) {
		ssize_t got = recv(request->fd, data, sizeof(data), 0);

		if (got <= 0 || in->len > HEAD_MAX_BYTES)
			return false;
		buf_append(in, data, (size_t)got);
	}
	len = (size_t)(end - (const char *)in->data) + 4;
	buf_append(&request->head, in->data, len);
	buf_append(&request->head, "", 1);
	buf_consume(in, len);
	if (sscanf((const char *)request->head.data, "%15s %1023s",
		request->method, request->target) != 2)
		return false;
	case_field(request, "content-length", value, sizeof(value));
	request->body_length = strtoul(value, NULL, 10);
	case_field(request, "connection", value, sizeof(value));
	request->keep_alive = strcasecmp(value, "close") != 0;
	len = in->len < request->body_length ? in->len : request->body_length;
	buf_append(&request->body, in->data, len);
	buf_consume(in, len);
	return true;
}

bool
case_read_body(struct case_request *request)
{
	char *data = xcalloc(1, READ_BYTES);
	ssize_t got = 1;

	while (got > 0 && request->body.len < request->body_length) {
		size_t left = request->body_length - request->body.len;

		got = recv(request->fd, data,
		    left < READ_BYTES ? left : READ_BYTES, 0);
		if (got > 0)
			buf_append(&request->body, data, (size_t)got);
	}
	free(data);
	return got > 0;
}

static void *
run_connection(void *context)
{
	struct connection *connection = context;
	struct server *server = connection->server;
	struct buf in = {0};
	bool going_on = true;

	while (going_on) {
		struct case_request request = {.fd = connection->fd};

		going_on = read_head(&request, &in) &&
		    server->handle(server->context, &request) &&
		    request.keep_alive;
		buf_reset(&request.head);
		buf_reset(&request.body);
	}
	close(connection->fd);
	buf_reset(&in);
	free(connection);
	return NULL;
}

static void *
run_listener(void *context)
{
	struct server *server = context;
	int on = 1;
	int fd;

	while (
	    (fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct connection *connection = xcalloc(1, sizeof(*connection));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection->fd = fd;
		connection->server = server;
		case_start_thread(run_connection, connection);
	}
	return NULL;
}

int
case_serve(case_handler handle, void *context)
{
	struct server *server = xcalloc(1, sizeof(*server));
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	};
	socklen_t len = sizeof(address);

	server->handle = handle;
	server->context = context;
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(server->listener, (struct sockaddr *)&address, len) != 0 ||
	    listen(server->listener, BACKLOG) != 0 ||
	    getsockname(server->listener, (struct sockaddr *)&address, &len) !=
		0)
		return 0;
	case_start_thread(run_listener, server);
	return ntohs(address.sin_port);
}

int
case_connect(int port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns whether a chunked body has its end. If so, its chunks are joined. */
static bool
join_chunks(struct buf *body)
{
	struct buf joined = {0};
	size_t at = 0;

	for (;;) {
		const char *line = buf_text(body) + at;
		const char *end = strstr(line, "\r\n");
		size_t size;

		if (end == NULL)
			break;
		size = strtoul(line, NULL, 16);
		at = (size_t)(end + 2 - (const char *)body->data);
		if (body->len < at + size + 2)
			break;
		if (size == 0) {
			buf_reset(body);
			*body = joined;
			return true;
		}
		buf_append(&joined, body->data + at, size);
		at += size + 2;
	}
	buf_reset(&joined);
	return false;
}

/* Returns whether a body of a stated length is whole. */
static bool
has_stated_length(const struct case_reply *reply)
{
	char value[64];

	case_reply_field(reply, "content-length", value, sizeof(value));
	return value[0] != '\0' && reply->body.len >= strtoul(value, NULL, 10);
}

/* Returns whether the head and the whole body have been received. */
static bool
reply_is_whole(struct case_reply *reply, struct buf *in)
{
	char value[64];
	const char *end;
	size_t len;

	if (reply->status == 0) {
		end = strstr(buf_text(in), "\r\n\r\n");
		if (end == NULL)
			return false;
		len = (size_t)(end - (const char *)in->data) + 4;
		buf_append(&reply->head, in->data, len);
		buf_append(&reply->head, "", 1);
		buf_consume(in, len);
		reply->status =
		    (int)strtol((const char *)reply->head.data + 9, NULL, 10);
	}
	buf_append(&reply->body, in->data, in->len);
	buf_consume(in, in->len);
	case_reply_field(reply, "connection", value, sizeof(value));
	reply->closing = strcasecmp(value, "close") == 0;
	case_reply_field(reply, "transfer-encoding", value, sizeof(value));
	if (value[0] != '\0')
		return join_chunks(&reply->body);
	return has_stated_length(reply);
}

void
case_read_reply(int fd, int ms, struct case_reply *reply)
{
	int64_t end_ms = case_ms() + ms;
	struct buf in = {0};
	char data[4096];

	*reply = (struct case_reply){0};
	while (!reply->complete) {
		struct pollfd ready = {.fd = fd, .events = POLLIN};
		int64_t left_ms = end_ms - case_ms();
		ssize_t got;

		if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) <= 0) {
			reply->gave_up = true;
			break;
		}
		got = recv(fd, data, sizeof(data), 0);
		if (got <= 0)
			break;
		buf_append(&in, data, (size_t)got);
		reply->complete = reply_is_whole(reply, &in);
	}
	buf_reset(&in);
}

void
case_reply_field(
    const struct case_reply *reply, const char *name, char *value, size_t size)
{
	find_field(&reply->head, name, value, size);
}

void
case_reply_reset(struct case_reply *reply)
{
	buf_reset(&reply->head);
	buf_reset(&reply->body);
}

void
case_call(int port, const char *method, const char *target, const char *fields,
    const void *body, size_t len, int ms, struct case_reply *reply)
{
	struct buf out = {0};
	int fd = case_connect(port);

	*reply = (struct case_reply){0};
	if (fd < 0)
		return;
	buf_printf(&out, "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
	    method, target, fields, len);
	buf_append(&out, body, len);
	case_send(fd, out.data, out.len);
	buf_reset(&out);
	case_read_reply(fd, ms, reply);
	close(fd);
}

/* In gateways.c. */
void case_gateways_kill(void);

void
case_end(int status)
{
	static const char *const names[] = {"held", "broken", "not run"};

	case_gateways_kill();
	case_log("result: %s", names[status]);
	fflush(record);
	_exit(status);
}
