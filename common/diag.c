#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/diag.h"

enum {
	DIAG_LINE_BYTES = 2048,
};

static const char *const level_names[] = {
    [LOG_EMERG] = "emerg",
    [LOG_ALERT] = "alert",
    [LOG_CRIT] = "crit",
    [LOG_ERR] = "err",
    [LOG_WARNING] = "warning",
    [LOG_NOTICE] = "notice",
    [LOG_INFO] = "info",
    [LOG_DEBUG] = "debug",
};

static int diag_level = LOG_INFO;
static const char *diag_process = "guavakeel";

void
diag_set_level(int level)
{
	diag_level = level;
}

bool
diag_parse_level(const char *name, int *level)
{
	for (int i = LOG_ERR; i <= LOG_DEBUG; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = i;
			return true;
		}
	}
	return false;
}

void
diag_set_process(const char *name)
{
	diag_process = name;
}

/* Appends text as a JSON string; cuts it when the line is full. */
static size_t
append_string(char *line, size_t at, const char *text)
{
	line[at++] = '"';
	for (; *text != '\0' && at < DIAG_LINE_BYTES - 16; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\') {
			line[at++] = '\\';
			line[at++] = (char)c;
		} else if (c < 0x20) {
			at += (size_t)snprintf(line + at, 8, "\\u%04x", c);
		} else {
			line[at++] = (char)c;
		}
	}
	line[at++] = '"';
	return at;
}

static size_t
append_member(char *line, size_t at, const char *name, const char *value)
{
	if (value == NULL || at + strlen(name) + 32 > DIAG_LINE_BYTES)
		return at;
	line[at++] = ',';
	at = append_string(line, at, name);
	line[at++] = ':';
	return append_string(line, at, value);
}

static size_t
append_context(char *line, size_t at, const struct diag_context *context)
{
	char version[24];

	if (context == NULL)
		return at;
	at = append_member(line, at, "program", context->program);
	at = append_member(line, at, "request", context->request);
	at = append_member(line, at, "attempt", context->attempt);
	if (context->config_version == 0)
		return at;
	snprintf(version, sizeof(version), "%llu",
	    (unsigned long long)context->config_version);
	return append_member(line, at, "config_version", version);
}

void
diag(int level, const struct diag_context *context, const char *fmt, ...)
{
	char line[DIAG_LINE_BYTES];
	char message[1024];
	char stamp[40];
	int64_t wall_us = clock_wall_us();
	time_t seconds = (time_t)(wall_us / US_PER_S);
	struct tm utc;
	va_list args;
	size_t at;

	if (level > diag_level)
		return;
	va_start(args, fmt);
	vsnprintf(message, sizeof(message), fmt, args);
	va_end(args);
	gmtime_r(&seconds, &utc);
	at = strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(stamp + at, sizeof(stamp) - at, ".%03dZ",
	    (int)(wall_us % US_PER_S / US_PER_MS));
	at = (size_t)snprintf(
	    line, sizeof(line), "{\"time\":\"%s\",\"level\":\"", stamp);
	at += (size_t)snprintf(
	    line + at, sizeof(line) - at, "%s\"", level_names[level]);
	at = append_member(line, at, "process", diag_process);
	at = append_context(line, at, context);
	at = append_member(line, at, "message", message);
	line[at++] = '}';
	line[at++] = '\n';
	/* One write a line; a lost line is not worth blocking for. */
	if (write(STDERR_FILENO, line, at) < 0)
		return;
}
