#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/trace.h"

enum {
	QUEUE_BYTES = 65536, /* lines that wait for the reader */
	WRITE_BYTES = 4096,  /* a pipe that polls writable takes that much */
	LINES_PER_S = 400,
	LINES_BURST = 1200,
	TAIL_BYTES = 8, /* kept for the end of a line */
	NUMBER_BYTES = 32,
};

static const char *process_name = "guavakeel";
static char queue[QUEUE_BYTES];
static size_t queue_len;
static uint64_t dropped_lines;
static double allowance = LINES_BURST;
static int64_t allowance_us;

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

/* Refills the allowance by the time that has gone by, and takes a line. */
static bool
take_line(void)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us > allowance_us) {
		allowance +=
		    (double)(now_us - allowance_us) * LINES_PER_S / US_PER_S;
		allowance_us = now_us;
	}
	if (allowance > LINES_BURST)
		allowance = LINES_BURST;
	if (allowance < 1)
		return false;
	allowance--;
	return true;
}

static void
add_raw(struct trace *trace, const char *text, size_t len)
{
	if (trace->dropped ||
	    trace->len + len + TAIL_BYTES > sizeof(trace->text))
		return;
	memcpy(trace->text + trace->len, text, len);
	trace->len += len;
}

static void
add_quoted(struct trace *trace, const char *text)
{
	char escaped[NUMBER_BYTES];

	add_raw(trace, "\"", 1);
	for (; *text != '\0' &&
	     trace->len + 2UL * TAIL_BYTES < sizeof(trace->text);
	     text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			add_raw(trace, "\\", 1);
		if (c >= 0x20) {
			add_raw(trace, text, 1);
			continue;
		}
		snprintf(escaped, sizeof(escaped), "\\u%04x", c);
		add_raw(trace, escaped, strlen(escaped));
	}
	add_raw(trace, "\"", 1);
}

static void
begin(struct trace *trace, const char *event)
{
	char stamp[40];
	int64_t wall_us = clock_wall_us();
	time_t seconds = (time_t)(wall_us / US_PER_S);
	struct tm utc;
	size_t at;

	gmtime_r(&seconds, &utc);
	at = strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(stamp + at, sizeof(stamp) - at, ".%03dZ",
	    (int)(wall_us % US_PER_S / US_PER_MS));
	add_raw(trace, "{\"time\":", 8);
	add_quoted(trace, stamp);
	add_raw(trace, ",\"process\":", 11);
	add_quoted(trace, process_name);
	add_raw(trace, ",\"event\":", 9);
	add_quoted(trace, event);
}

void
trace_begin(struct trace *trace, const char *event)
{
	trace->len = 0;
	trace->dropped = !take_line();
	if (!trace->dropped)
		begin(trace, event);
}

void
trace_begin_unlimited(struct trace *trace, const char *event)
{
	trace->len = 0;
	trace->dropped = false;
	begin(trace, event);
}

static void
add_name(struct trace *trace, const char *name)
{
	add_raw(trace, ",", 1);
	add_quoted(trace, name);
	add_raw(trace, ":", 1);
}

void
trace_text(struct trace *trace, const char *name, const char *value)
{
	if (trace->dropped || value == NULL || *value == '\0')
		return;
	add_name(trace, name);
	add_quoted(trace, value);
}

void
trace_number(struct trace *trace, const char *name, int64_t value)
{
	char text[NUMBER_BYTES];

	if (trace->dropped)
		return;
	add_name(trace, name);
	snprintf(text, sizeof(text), "%lld", (long long)value);
	add_raw(trace, text, strlen(text));
}

void
trace_ms(struct trace *trace, const char *name, int64_t us)
{
	char text[NUMBER_BYTES];

	if (trace->dropped)
		return;
	add_name(trace, name);
	snprintf(text, sizeof(text), "%.1f", (double)us / US_PER_MS);
	add_raw(trace, text, strlen(text));
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
	size_t done = 0;

	while (done < queue_len) {
		size_t len = queue_len - done;
		ssize_t taken;

		if (len > WRITE_BYTES)
			len = WRITE_BYTES;
		if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
			break;
		taken = write(STDOUT_FILENO, queue + done, len);
		if (taken <= 0)
			break;
		done += (size_t)taken;
	}
	memmove(queue, queue + done, queue_len - done);
	queue_len -= done;
}
