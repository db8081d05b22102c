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

/* Appends text as a JSON string, truncated when the line is full. Returns the
 * new length of the line. */
static size_t
append_string(char *line, size_t len, const char *text)
{
	line[len++] = '"';
	for (; *text != '\0' && len < DIAG_LINE_BYTES - 16; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\') {
			line[len++] = '\\';
			line[len++] = (char)c;
		} else if (c < 0x20) {
			len += (size_t)snprintf(line + len, 8, "\\u%04x", c);
		} else {
			line[len++] = (char)c;
		}
	}
	line[len++] = '"';
	return len;
}

static size_t
append_member(char *line, size_t len, const char *name, const char *value)
{
	if (value == NULL || len + strlen(name) + 32 > DIAG_LINE_BYTES)
		return len;
	line[len++] = ',';
	len = append_string(line, len, name);
	line[len++] = ':';
	return append_string(line, len, value);
}

static size_t
append_context(char *line, size_t len, const struct diag_context *context)
{
	char version[24];

	if (context == NULL)
		return len;
	len = append_member(line, len, "program", context->program);
	len = append_member(line, len, "request", context->request);
	len = append_member(line, len, "attempt", context->attempt);
	if (context->config_version == 0)
		return len;
	snprintf(version, sizeof(version), "%llu",
	    (unsigned long long)context->config_version);
	return append_member(line, len, "config_version", version);
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
	size_t len;

	if (level > diag_level)
		return;
	va_start(args, fmt);
	vsnprintf(message, sizeof(message), fmt, args);
	va_end(args);
	gmtime_r(&seconds, &utc);
	len = strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(stamp + len, sizeof(stamp) - len, ".%03dZ",
	    (int)(wall_us % US_PER_S / US_PER_MS));
	len = (size_t)snprintf(
	    line, sizeof(line), "{\"time\":\"%s\",\"level\":\"", stamp);
	len += (size_t)snprintf(
	    line + len, sizeof(line) - len, "%s\"", level_names[level]);
	len = append_member(line, len, "process", diag_process);
	len = append_context(line, len, context);
	len = append_member(line, len, "message", message);
	line[len++] = '}';
	line[len++] = '\n';
	/* One write per line. A line that can't be written is lost, since
	 * waiting would block the process. */
	if (write(STDERR_FILENO, line, len) < 0)
		return;
}
