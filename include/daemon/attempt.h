/** @file
 * One request that a model call sends to an engine (a backend server), and the
 * event stream that the engine responds with.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include <jansson.h>

#include "config/config.h"
#include "net/http.h"
#include "route/sched.h"

struct attempt;

/** Token counts that the engine reports at the end of its response. */
struct attempt_usage {
	uint64_t prompt_tokens;
	uint64_t cached_tokens; /**< part of prompt_tokens found in the cache */
	uint64_t completion_tokens;
};

/** Functions by which an attempt reports to its call. */
struct attempt_callbacks {
	/** Called for each piece of generated text. */
	void (*on_text)(void *context, const char *text);
	/** Called for each array of tool calls; the reference is borrowed. */
	void (*on_tool_calls)(void *context, json_t *tool_calls);
	/** Called once, just before the attempt is freed; not after
	 * attempt_cancel(). SCHED_DONE means that the response is complete.
	 * status is the HTTP status, 0 if none was received. */
	void (*on_end)(void *context, enum sched_result result, int status,
	    const char *finish_reason, const struct attempt_usage *usage);
	void *context;
};

/** Parameters of attempt_start(), which copies what it keeps. */
struct attempt_params {
	const struct config_server *server;
	const char *id; /**< attempt identifier, unique across all VMs */
	const char *program;
	const char *model;
	const char *adapter;
	/** JSON messages without the array's brackets. */
	const struct buf *prompt;
	/** Text of an earlier attempt to continue; NULL or "": none. */
	const char *partial;
	uint64_t max_tokens;
	uint32_t priority; /**< lower values run first */
	/** Longest time without an event. Comments of the stream prolong it, up
	 * to four times; pieces of a line don't. */
	int64_t idle_timeout_us;
};

/** Appends the JSON body of the request to the engine. */
void attempt_write_body(const struct attempt_params *params, struct buf *body);
/** Sends the request. Returns the attempt, which frees itself after on_end. */
struct attempt *
attempt_start(struct net *net, const struct attempt_params *params,
    const struct attempt_callbacks *callbacks);
/** Frees an attempt and closes its connection, which makes the engine cancel
 * the request. on_end is not called. */
void attempt_cancel(struct attempt *attempt);

#endif
