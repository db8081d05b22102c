/** @file
 * One request of a caller, from its arrival to its answer.
 */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include <jansson.h>
#include <uthash.h>

#include "daemon/daemon.h"
#include "net/http.h"

enum call_kind {
	CALL_BEGIN,
	CALL_END,
	CALL_MODEL,
	CALL_TOOL,
	CALL_SERVICE,
	CALL_SETTLE,
};

enum call_state {
	CALL_ADMITTING, /**< waits for the owner */
	CALL_WAITING,   /**< waits for a backend server */
	CALL_RUNNING,   /**< at least one attempt is under way */
	CALL_RECORDING, /**< whole answer here, not yet durable */
};

struct attempt;

/** State of a model call. */
struct model_call {
	char model[NAME_BYTES];
	char adapter[NAME_BYTES];
	json_t *resend;       /**< turns that were told to be not durable */
	char *messages;       /**< new messages: JSON items without brackets */
	struct buf prompt;    /**< history and new messages, without brackets */
	uint64_t fingerprint; /**< of the prompt */
	uint64_t history_tokens;
	uint64_t new_tokens;
	uint64_t max_tokens;
	bool stream;
	struct buf answer; /**< text so far */
	uint64_t answer_tokens;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	json_t *tool_calls;
	char finish_reason[NAME_BYTES];
	char server[NAME_BYTES];
	struct attempt *attempt;
	int64_t last_token_us;
};

/** State of a tool or plain-service call. */
struct service_call {
	char tool[NAME_BYTES];
	char service[NAME_BYTES];
	char path[HTTP_PATH_BYTES];
	enum http_method method;
	struct buf body;
	bool non_idempotent; /**< may not be repeated */
	uint32_t tries;
	size_t endpoint; /**< index of the one in use */
	int64_t timeout_us;
	struct http_call *http; /**< NULL unless one is under way */
	struct buf answer;
	int status;
	enum outcome outcome; /**< of a call that may not be repeated */
};

struct call {
	UT_hash_handle hh;
	call_id id;
	struct daemon *daemon;
	struct http_exchange *exchange; /**< NULL once the caller is gone */
	enum call_kind kind;
	enum call_state state;
	bool streaming; /**< an event stream was begun */
	char program[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char key[NAME_BYTES];
	char request[NAME_BYTES];   /**< identifier in logs and answers */
	char path[HTTP_PATH_BYTES]; /**< of the request */
	bool urgent;
	uint64_t turn;
	bool has_digest;
	struct digest digest;
	int64_t started_us;
	int64_t deadline_us;
	int64_t recording_us; /**< when the answer was whole */
	bool skip_recording;  /**< a repeat whose end is recorded already */
	union {
		struct model_call model;
		struct service_call service;
	};
};

/** Creates a call with a new handle and takes over the exchange. */
struct call *call_create(struct daemon *daemon, enum call_kind kind,
    struct http_exchange *exchange, const struct http_request *request);
/** Frees a call; its exchange must have been answered. */
void call_destroy(struct call *call);
struct call *daemon_find_call(struct daemon *daemon, call_id id);
/** Refuses the call with a typed error, counts it, and frees it. */
void call_refuse(struct call *call, enum refusal reason,
    enum execution_state run, const char *detail);
/** Sends the caller to the owner of the program's shard, and frees the call. */
void call_redirect(struct call *call, uint32_t shard);
/** Refuses the call like call_refuse(), but keeps it: what was sent goes on. */
void call_send_refusal(struct call *call, enum refusal reason,
    enum execution_state run, const char *detail);
/** Does what is the same for each kind of call: refuses it, sends it to the
 * owner (both free it), or leaves it waiting for an event. Returns true for
 * OWNER_OK and OWNER_REPLAY, which are the caller's. */
bool call_check_verdict(struct call *call, enum owner_verdict verdict,
    const struct owner_answer *answer);
/** Answers with a JSON object (whose reference is taken) and frees the call.
 */
void call_answer(struct call *call, int status, json_t *body);
struct diag_context call_context(const struct call *call);

/** Answers an exchange that has no call yet. */
void refuse_exchange(struct daemon *daemon, struct http_exchange *exchange,
    enum refusal reason, const char *detail);
/** Serialises and answers with a JSON object whose reference is taken. */
void answer_exchange(struct http_exchange *exchange, int status, json_t *body);

/* Steps of each kind of call. */
void program_call_event(struct call *call, const struct owner_event *event);
void model_call_begin(struct call *call);
/** Digest of the new messages, which a repeat must have too. */
struct digest model_call_arguments(const struct call *call);
void model_call_event(struct call *call, const struct owner_event *event);
void
model_call_dispatch(struct call *call, const struct sched_dispatch *dispatch);
void model_call_caller_gone(struct call *call);
void model_call_free(struct call *call);
/** Tells a caller whose turn waits too long that it is not yet durable. */
void model_call_check_durable(struct call *call, int64_t now_us);
void service_call_begin(struct call *call);
void service_call_event(struct call *call, const struct owner_event *event);
void service_call_caller_gone(struct call *call);
void service_call_free(struct call *call);

/* Request handlers, by path; see api.c. */
typedef void (*api_handler)(struct daemon *daemon,
    struct http_exchange *exchange, const struct http_request *request,
    const char *rest);
void handle_program_begin(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void
handle_program_request(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_chat(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_tool(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_service(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_addresses(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_status(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_program_list(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_drain(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_metrics(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_health(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
void handle_ready(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest);
/** Entry point of all HTTP requests. */
void api_handle(void *context, struct http_exchange *exchange,
    const struct http_request *request);

/* Checks of a request's sender. */
/** Fills workspace; refuses and returns false when the key is wrong. */
bool api_check_workspace(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, char workspace[NAME_BYTES]);
bool api_check_operator(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request);

#endif
