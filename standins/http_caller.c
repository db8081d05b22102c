#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "standins/http_caller.h"

enum {
	READ_BUFFER_BYTES = 65536,
	FIELD_VALUE_BYTES = 256,
};

bool
http_caller_open(struct http_caller *caller, int port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	};

	*caller = (struct http_caller){.fd = socket(AF_INET, SOCK_STREAM, 0)};
	if (connect(caller->fd, (struct sockaddr *)&address, sizeof(address)) ==
	    0)
		return true;
	http_caller_close(caller);
	return false;
}

void
http_caller_close(struct http_caller *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
	buf_reset(&caller->in);
}

bool
http_caller_send(struct http_caller *caller, const void *data, size_t len)
{
	const char *position = data;

	while (len > 0) {
		ssize_t sent = send(caller->fd, position, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		position += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Receives more bytes. Returns false at the end of the connection or at the
 * deadline. */
static bool
read_more(struct http_caller *caller, int64_t deadline_us)
{
	char data[READ_BUFFER_BYTES];
	struct pollfd ready = {.fd = caller->fd, .events = POLLIN};
	int64_t left_us = deadline_us - clock_monotonic_us();
	ssize_t len;

	if (left_us <= 0 ||
	    poll(&ready, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
		return false;
	len = recv(caller->fd, data, sizeof(data), 0);
	caller->ended = len == 0;
	if (len <= 0)
		return false;
	return buf_append(&caller->in, data, (size_t)len);
}

bool
http_caller_wait_bytes(struct http_caller *caller, int ms)
{
	return read_more(
	    caller, clock_monotonic_us() + (int64_t)ms * US_PER_MS);
}

const char *
http_reply_field(const struct http_reply *reply, const char *name)
{
	static char value[FIELD_VALUE_BYTES];
	const char *line = (const char *)reply->head.data;
	size_t len = strlen(name);

	while (line != NULL && (line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(value, sizeof(value), "%.*s", (int)strcspn(line, "\r"),
		    line);
		return value;
	}
	return NULL;
}

static bool
read_head(
    struct http_caller *caller, int64_t deadline_us, struct http_reply *reply)
{
	const char *end;
	size_t len;

	while ((end = strstr(buf_text(&caller->in), "\r\n\r\n")) == NULL) {
		if (!read_more(caller, deadline_us))
			return false;
	}
	len = (size_t)(end - (const char *)caller->in.data) + 4;
	buf_append(&reply->head, caller->in.data, len);
	buf_append(&reply->head, "", 1);
	buf_consume(&caller->in, len);
	reply->status =
	    (int)strtol((const char *)reply->head.data + 9, NULL, 10);
	return true;
}

static bool
read_body_bytes(struct http_caller *caller, int64_t deadline_us, size_t len,
    struct http_reply *reply)
{
	while (caller->in.len < len) {
		if (!read_more(caller, deadline_us))
			break;
	}
	if (caller->in.len < len) {
		buf_append(&reply->body, caller->in.data, caller->in.len);
		return false;
	}
	buf_append(&reply->body, caller->in.data, len);
	buf_consume(&caller->in, len);
	return true;
}

static bool
read_chunks(
    struct http_caller *caller, int64_t deadline_us, struct http_reply *reply)
{
	for (;;) {
		const char *end;
		size_t size;
		size_t line;

		while ((end = strstr(buf_text(&caller->in), "\r\n")) == NULL) {
			if (!read_more(caller, deadline_us))
				return false;
		}
		size = strtoul((const char *)caller->in.data, NULL, 16);
		line = (size_t)(end - (const char *)caller->in.data) + 2;
		buf_consume(&caller->in, line);
		if (!read_body_bytes(caller, deadline_us, size, reply))
			return false;
		while (caller->in.len < 2) {
			if (!read_more(caller, deadline_us))
				return false;
		}
		buf_consume(&caller->in, 2);
		if (size == 0)
			return true;
	}
}

/* Reads a body that ends with its connection. */
static bool
read_to_end(
    struct http_caller *caller, int64_t deadline_us, struct http_reply *reply)
{
	while (read_more(caller, deadline_us))
		continue;
	buf_append(&reply->body, caller->in.data, caller->in.len);
	buf_consume(&caller->in, caller->in.len);
	return caller->ended;
}

void
http_caller_read(struct http_caller *caller, int ms, struct http_reply *reply)
{
	int64_t deadline_us = clock_monotonic_us() + (int64_t)ms * US_PER_MS;
	const char *value;

	*reply = (struct http_reply){0};
	if (!read_head(caller, deadline_us, reply))
		return;
	value = http_reply_field(reply, "connection");
	reply->closing = value != NULL && strcasecmp(value, "close") == 0;
	value = http_reply_field(reply, "transfer-encoding");
	if (value != NULL) {
		reply->complete = read_chunks(caller, deadline_us, reply);
		return;
	}
	value = http_reply_field(reply, "content-length");
	reply->complete = value != NULL
	    ? read_body_bytes(
		  caller, deadline_us, strtoul(value, NULL, 10), reply)
	    : read_to_end(caller, deadline_us, reply);
}

void
http_reply_reset(struct http_reply *reply)
{
	buf_reset(&reply->head);
	buf_reset(&reply->body);
	*reply = (struct http_reply){0};
}

void
http_call_once(int port, const char *method, const char *target,
    const char *fields, const void *body, size_t len, int ms,
    struct http_reply *reply)
{
	struct http_caller caller;
	struct buf out = {0};

	*reply = (struct http_reply){0};
	if (!http_caller_open(&caller, port))
		return;
	buf_printf(&out, "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
	    method, target, fields, len);
	buf_append(&out, body, len);
	if (http_caller_send(&caller, out.data, out.len))
		http_caller_read(&caller, ms, reply);
	buf_reset(&out);
	http_caller_close(&caller);
}
