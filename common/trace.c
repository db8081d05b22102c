#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/trace.h"

enum {
	QUEUE_BYTES = 65536,
	WRITE_BYTES = 4096, /* a pipe that polls writable has this much room */
	LINES_PER_S = 400,
	LINES_BURST = 1200,
	TAIL_BYTES = 8, /* reserved for the end of a line */
	NUMBER_BYTES = 32,
	HASH_TEXT_BYTES = 17,
};

static const char *process_name = "guavakeel";
static char queue[QUEUE_BYTES];
static size_t queue_len;
static uint64_t dropped_lines;
static double tokens = LINES_BURST;
static int64_t tokens_updated_us;

void
trace_set_process(const char *name)
{
	process_name = name;
}

uint64_t
trace_dropped(void)
{
	return dropped_lines;
}

/* Takes a token from the bucket that limits the rate of lines. Returns false if
 * it is empty. */
static bool
take_token(void)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us > tokens_updated_us) {
		tokens += (double)(now_us - tokens_updated_us) * LINES_PER_S /
		    US_PER_S;
		tokens_updated_us = now_us;
	}
	if (tokens > LINES_BURST)
		tokens = LINES_BURST;
	if (tokens < 1)
		return false;
	tokens--;
	return true;
}

/* Appends bytes, unless they would leave no room for the end of the line. */
static void
append_bytes(struct trace *trace, const char *text, size_t len)
{
	if (trace->dropped ||
	    trace->len + len + TAIL_BYTES > sizeof(trace->text))
		return;
	memcpy(trace->text + trace->len, text, len);
	trace->len += len;
}

/* Appends text as a JSON string, truncated when the line is full. */
static void
append_string(struct trace *trace, const char *text)
{
	char escaped[NUMBER_BYTES];

	append_bytes(trace, "\"", 1);
	for (; *text != '\0' &&
	     trace->len + 2UL * TAIL_BYTES < sizeof(trace->text);
	     text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			append_bytes(trace, "\\", 1);
		if (c >= 0x20) {
			append_bytes(trace, text, 1);
			continue;
		}
		snprintf(escaped, sizeof(escaped), "\\u%04x", c);
		append_bytes(trace, escaped, strlen(escaped));
	}
	append_bytes(trace, "\"", 1);
}

/* Appends the members that each line begins with. */
static void
append_header(struct trace *trace, const char *event)
{
	char stamp[40];
	int64_t wall_us = clock_wall_us();
	time_t seconds = (time_t)(wall_us / US_PER_S);
	struct tm utc;
	size_t len;

	gmtime_r(&seconds, &utc);
	len = strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(stamp + len, sizeof(stamp) - len, ".%03dZ",
	    (int)(wall_us % US_PER_S / US_PER_MS));
	append_bytes(trace, "{\"time\":", 8);
	append_string(trace, stamp);
	append_bytes(trace, ",\"process\":", 11);
	append_string(trace, process_name);
	append_bytes(trace, ",\"event\":", 9);
	append_string(trace, event);
}

void
trace_begin(struct trace *trace, const char *event)
{
	trace->len = 0;
	trace->dropped = !take_token();
	if (!trace->dropped)
		append_header(trace, event);
}

void
trace_begin_unlimited(struct trace *trace, const char *event)
{
	trace->len = 0;
	trace->dropped = false;
	append_header(trace, event);
}

static void
append_name(struct trace *trace, const char *name)
{
	append_bytes(trace, ",", 1);
	append_string(trace, name);
	append_bytes(trace, ":", 1);
}

void
trace_text(struct trace *trace, const char *name, const char *value)
{
	if (trace->dropped || value == NULL || *value == '\0')
		return;
	append_name(trace, name);
	append_string(trace, value);
}

void
trace_hash(struct trace *trace, const char *name, uint64_t value)
{
	char text[HASH_TEXT_BYTES];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	trace_text(trace, name, text);
}

void
trace_number(struct trace *trace, const char *name, int64_t value)
{
	char text[NUMBER_BYTES];

	if (trace->dropped)
		return;
	append_name(trace, name);
	snprintf(text, sizeof(text), "%lld", (long long)value);
	append_bytes(trace, text, strlen(text));
}

void
trace_ms(struct trace *trace, const char *name, int64_t us)
{
	char text[NUMBER_BYTES];

	if (trace->dropped)
		return;
	append_name(trace, name);
	snprintf(text, sizeof(text), "%.1f", (double)us / US_PER_MS);
	append_bytes(trace, text, strlen(text));
}

void
trace_end(struct trace *trace)
{
	if (!trace->dropped && queue_len + trace->len + 2 > sizeof(queue))
		trace_flush();
	if (trace->dropped || queue_len + trace->len + 2 > sizeof(queue)) {
		dropped_lines++;
		return;
	}
	memcpy(queue + queue_len, trace->text, trace->len);
	queue_len += trace->len;
	queue[queue_len++] = '}';
	queue[queue_len++] = '\n';
}

void
trace_flush(void)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	size_t sent = 0;

	while (sent < queue_len) {
		size_t len = queue_len - sent;
		ssize_t written;

		if (len > WRITE_BYTES)
			len = WRITE_BYTES;
		if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
			break;
		written = write(STDOUT_FILENO, queue + sent, len);
		if (written <= 0)
			break;
		sent += (size_t)written;
	}
	memmove(queue, queue + sent, queue_len - sent);
	queue_len -= sent;
}
