/** @file
 * One request sent to an engine for a model call, and its event stream.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include <jansson.h>

#include "config/config.h"
#include "net/http.h"
#include "route/sched.h"

struct attempt;

struct attempt_usage {
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t completion_tokens;
};

/** What an attempt tells the call. */
struct attempt_callbacks {
	/** Generated text has come. */
	void (*on_text)(void *context, const char *text);
	/** Tool calls have come (borrowed reference). */
	void (*on_tool_calls)(void *context, json_t *tool_calls);
	/** The attempt is over and will be freed. SCHED_DONE: the answer is
	 * whole. status is the HTTP status, 0 if there was none. */
	void (*on_end)(void *context, enum sched_result result, int status,
	    const char *finish_reason, const struct attempt_usage *usage);
	void *context;
};

struct attempt_params {
	const struct config_server *server;
	const char *id; /**< attempt identifier, unique over all VMs */
	const char *program;
	const char *model;
	const char *adapter;
	const struct buf *prompt; /**< JSON messages without brackets */
	const char *partial; /**< text of an earlier attempt to go on from */
	uint64_t max_tokens;
	uint32_t priority;       /**< lower runs first */
	int64_t idle_timeout_us; /**< longest silence */
};

/** Writes the request that an engine gets. */
void attempt_write_body(const struct attempt_params *params, struct buf *body);
struct attempt *
attempt_start(struct net *net, const struct attempt_params *params,
    const struct attempt_callbacks *callbacks);
/** Ends an attempt; closing the connection cancels it at the engine. */
void attempt_cancel(struct attempt *attempt);

#endif
