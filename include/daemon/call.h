/** @file
 * One request of a caller, from its arrival to the response.
 */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include <jansson.h>
#include <uthash.h>

#include "daemon/daemon.h"
#include "net/http.h"

/** What a call asks for. */
enum call_kind {
	CALL_BEGIN, /**< begin of a program */
	CALL_END,   /**< end of a program */
	CALL_MODEL,
	CALL_TOOL,
	CALL_SERVICE, /**< plain-service call */
};

/** Progress of a call. */
enum call_state {
	CALL_ADMITTING,      /**< waiting for the owner's decision */
	CALL_AWAITING_OWNER, /**< waiting to be redirected to an owner */
	CALL_WAITING,        /**< waiting for a backend server */
	CALL_RUNNING,        /**< sent to a server or service */
	CALL_RECORDING,      /**< response complete, its record not yet
			      * durable */
};

struct attempt;

/** State of a model call. */
struct model_call {
	char model[NAME_BYTES];
	char adapter[NAME_BYTES];
	/** Turns that the caller sends again, because they were not durable
	 * when it got the responses. */
	json_t *resend;
	char *messages;       /**< new messages: JSON array without brackets */
	struct buf prompt;    /**< history and new messages, without brackets */
	uint64_t fingerprint; /**< hash of the prompt */
	uint64_t history_tokens;
	uint64_t new_tokens; /**< estimate for the new messages */
	uint64_t max_tokens;
	bool stream;           /**< the caller asked for an event stream */
	struct buf completion; /**< text generated so far, over all attempts */
	uint64_t completion_tokens;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	json_t *tool_calls;
	char finish_reason[NAME_BYTES];
	char server[NAME_BYTES]; /**< server of the latest attempt */
	struct attempt *attempt; /**< NULL unless one is in progress */
	int64_t last_token_us;   /**< time of the latest piece of text */
};

/** State of a tool call or plain-service call. */
struct service_call {
	char tool[NAME_BYTES]; /**< the service's name if there is no tool */
	char service[NAME_BYTES];
	char path[HTTP_PATH_BYTES];
	enum http_method method;
	struct buf body;
	bool non_idempotent;      /**< must not be sent twice */
	uint32_t endpoints_tried; /**< endpoints tried after the first */
	size_t endpoint;          /**< index of the endpoint in use */
	int64_t timeout_us;
	struct http_call *http; /**< NULL unless a request is in progress */
	struct buf response;
	int status;
	enum outcome outcome; /**< outcome of a non-idempotent call */
};

/** A request of a caller. */
struct call {
	UT_hash_handle hh;
	call_id id;
	struct daemon *daemon;
	struct http_exchange *exchange; /**< NULL once the caller is gone */
	enum call_kind kind;
	enum call_state state;
	bool streaming; /**< the event stream to the caller has begun */
	char program[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char key[NAME_BYTES];        /**< idempotency key, or "" */
	char request_id[NAME_BYTES]; /**< for log lines and responses */
	char path[HTTP_PATH_BYTES];  /**< path of the HTTP request */
	bool urgent;
	uint32_t shard; /**< of the program, in CALL_AWAITING_OWNER */
	int64_t awaiting_since_us; /**< monotonic start of that state */
	uint64_t turn;             /**< number of the turn; 0: not given */
	bool has_digest;           /**< the caller sent a digest */
	/** Digest of the history, as the caller sent it; later the digest of
	 * the history with this turn. */
	struct digest digest;
	int64_t started_us;  /**< monotonic time of arrival */
	int64_t deadline_us; /**< monotonic; INT64_MAX: none */
	/** Monotonic time when the response was complete. */
	int64_t recording_started_us;
	bool skip_recording; /**< the end of the call is recorded already */
	union {
		struct model_call model;
		struct service_call service;
	};
};

/** Creates a call with a new identifier and takes over the exchange. */
struct call *call_create(struct daemon *daemon, enum call_kind kind,
    struct http_exchange *exchange, const struct http_request *request);
/** Frees a call, whose exchange must have got its response or be closed. */
void call_destroy(struct call *call);
/** Returns the call with an identifier, or NULL. */
struct call *daemon_find_call(struct daemon *daemon, call_id id);
/** Refuses the call with an error response, counts the refusal and frees the
 * call. detail may be NULL. */
void call_refuse(struct call *call, enum refusal reason,
    enum execution_state execution, const char *detail);
/** Redirects the caller to the owner of the program's shard and frees the call.
 * While the ownership moves, keeps the call until redirect_waiting_calls()
 * finds the next owner. Refuses it with REFUSAL_RECOVERING if none is known. */
void call_redirect(struct call *call, uint32_t shard);
/** Redirects or refuses the calls that need not wait any longer. */
void redirect_waiting_calls(struct daemon *daemon);
/** Responds like call_refuse(), but keeps the call, so that a request already
 * sent to a service goes on. */
void call_send_refusal(struct call *call, enum refusal reason,
    enum execution_state execution, const char *detail);
/** Handles the decisions that are the same for each kind of call: refuses or
 * redirects the call (both free it), or leaves it waiting for an event. Returns
 * true for OWNER_OK and OWNER_REPLAY, which the calling function handles. */
bool call_handle_decision(struct call *call, enum owner_decision decision,
    const struct owner_result *result);
/** Responds with a JSON object and frees the call. Takes the reference to
 * body. */
void call_respond(struct call *call, int status, json_t *body);
/** Returns the context of the call's log lines, which borrows its texts. */
struct diag_context call_context(const struct call *call);

/** Refuses an exchange that has no call yet, and counts the refusal. */
void refuse_exchange(struct daemon *daemon, struct http_exchange *exchange,
    enum refusal reason, const char *detail);
/** Responds with a JSON object, whose reference is taken. */
void respond_json(struct http_exchange *exchange, int status, json_t *body);

/* Steps of the kinds of call. The _event functions handle an owner event; the
 * _caller_gone functions run when the caller closes its connection early. */
void program_call_event(struct call *call, const struct owner_event *event);
void model_call_begin(struct call *call);
/** Returns the digest of the new messages, which must be equal when the call is
 * repeated under the same idempotency key. */
struct digest model_call_arguments_digest(const struct call *call);
void model_call_event(struct call *call, const struct owner_event *event);
/** Starts an attempt on the server that the scheduler chose. */
void
model_call_dispatch(struct call *call, const struct sched_dispatch *dispatch);
void model_call_caller_gone(struct call *call);
void model_call_free(struct call *call);
/** Responds to the caller with "durable": false if recording the turn takes too
 * long. The call stays until the turn is recorded. */
void model_call_check_durable_timeout(struct call *call, int64_t now_us);
void service_call_begin(struct call *call);
void service_call_event(struct call *call, const struct owner_event *event);
void service_call_caller_gone(struct call *call);
void service_call_free(struct call *call);

/* Request handlers, which api.c chooses by path. rest is the part of the path
 * after the prefix. */
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
/** Handles every HTTP request; context is the struct daemon. */
void api_handle(void *context, struct http_exchange *exchange,
    const struct http_request *request);

/** Writes the name of the caller's workspace. If the workspace is unknown or
 * its key is wrong, refuses the exchange and returns false. */
bool api_check_workspace(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, char workspace[NAME_BYTES]);
/** Checks the operator key if the daemon has one. If it is wrong, refuses the
 * exchange and returns false. */
bool api_check_operator(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request);

#endif
