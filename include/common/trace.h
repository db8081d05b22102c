/** @file
 * Trace of a process's decisions on standard output: one JSON object per line.
 * Writing never blocks. Lines that exceed a rate, or that don't fit into the
 * queue because the reader is slow, are dropped and counted.
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
	bool dropped; /**< over the rate limit, not to be written */
};

/** Sets the process name in each line. name must stay valid. */
void trace_set_process(const char *name);
/** Begins a line about a decision. The rate of these lines is limited. */
void trace_begin(struct trace *trace, const char *event);
/** Begins a line that the rate limit doesn't apply to, for rare events: start,
 * stop, reload, a dependency lost or regained. */
void trace_begin_unlimited(struct trace *trace, const char *event);
/** Adds a text member, unless value is NULL or "". */
void trace_text(struct trace *trace, const char *name, const char *value);
/** Adds a hash as 16 hexadecimal digits. */
void trace_hash(struct trace *trace, const char *name, uint64_t value);
void trace_number(struct trace *trace, const char *name, int64_t value);
/** Adds a time as milliseconds with one decimal. */
void trace_ms(struct trace *trace, const char *name, int64_t us);
/** Ends the line and queues it. */
void trace_end(struct trace *trace);
/** Writes queued lines until the reader takes no more. To be called regularly
 * and before the process ends. */
void trace_flush(void);
/** Returns the number of lines dropped since the process began. */
uint64_t trace_dropped(void);

#endif
