/** @file
 * Lines on standard output about what a process decides: one JSON object a
 * line. Writing never blocks; lines beyond a rate, or beyond what a slow
 * reader leaves room for, are dropped and counted.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	TRACE_LINE_BYTES = 1024,
};

/** A line under construction. */
struct trace {
	char text[TRACE_LINE_BYTES];
	size_t len;
	bool dropped;
};

/** Names the process in each line; the text must stay valid. */
void trace_set_process(const char *name);
/** Starts a line that reports a decision; such lines are limited in rate. */
void trace_begin(struct trace *trace, const char *event);
/** Starts a line that is never dropped for its rate: start, stop, reload, a
 * dependency lost or regained. */
void trace_begin_unlimited(struct trace *trace, const char *event);
/** Adds a member; NULL or "" is left out. */
void trace_text(struct trace *trace, const char *name, const char *value);
void trace_number(struct trace *trace, const char *name, int64_t value);
/** Adds a time in milliseconds with one decimal. */
void trace_ms(struct trace *trace, const char *name, int64_t us);
/** Ends the line and queues it. */
void trace_end(struct trace *trace);
/** Writes what is queued as far as the reader takes it. To be called now and
 * then, and before the process ends. */
void trace_flush(void);
/** Returns how many lines were dropped so far. */
uint64_t trace_dropped(void);

#endif
