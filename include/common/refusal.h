/** @file
 * Reasons for which requests are refused or attempts are retried. Each has a
 * name and a counter, and a refusal also has an HTTP status.
 */
#ifndef COMMON_REFUSAL_H
#define COMMON_REFUSAL_H

/** Whether a request that failed has been executed. */
enum execution_state {
	EXECUTION_NOT_STARTED, /**< not sent to a server, and it won't be */
	EXECUTION_FINISHED,    /**< executed; the outcome is known */
	EXECUTION_UNKNOWN,     /**< possibly executed */
};

/* name, text, HTTP status, seconds after which to retry (0: do not retry) */
#define REFUSAL_LIST(X) \
	X(MALFORMED, "malformed_request", 400, 0) \
	X(TOO_LARGE, "request_too_large", 413, 0) \
	X(UNAUTHORIZED, "unauthorized", 401, 0) \
	X(FORBIDDEN, "forbidden", 403, 0) \
	X(UNKNOWN_PATH, "unknown_path", 404, 0) \
	X(UNKNOWN_PROGRAM, "unknown_program", 404, 0) \
	X(UNKNOWN_MODEL, "unknown_model", 404, 0) \
	X(UNKNOWN_SERVICE, "unknown_service", 404, 0) \
	X(UNKNOWN_WORKSPACE, "unknown_workspace", 403, 0) \
	X(PROGRAM_ENDED, "program_ended", 409, 0) \
	X(TURN_OUT_OF_ORDER, "turn_out_of_order", 409, 0) \
	X(TURN_IN_PROGRESS, "turn_in_progress", 409, 1) \
	X(HISTORY_MISMATCH, "history_mismatch", 409, 0) \
	X(IDEMPOTENCY_KEY_REUSED, "idempotency_key_reused", 409, 0) \
	X(BUDGET_EXCEEDED, "budget_exceeded", 402, 0) \
	X(TURN_LIMIT, "turn_limit", 429, 0) \
	X(PROGRAM_TIME_LIMIT, "program_time_limit", 429, 0) \
	X(WORKSPACE_LIMIT, "workspace_limit", 429, 2) \
	X(OVERLOADED, "overloaded", 503, 5) \
	X(DEADLINE, "deadline_exceeded", 504, 0) \
	X(NO_SERVER, "no_server_available", 503, 2) \
	X(QUARANTINED, "request_quarantined", 422, 0) \
	X(NOT_OWNER, "not_owner", 503, 1) \
	X(RECOVERING, "recovering", 503, 1) \
	X(NO_CONFIG, "configuration_not_loaded", 503, 1) \
	X(LOG_UNAVAILABLE, "log_unavailable", 503, 3) \
	X(LOG_BACKLOG, "log_backlog_full", 503, 3) \
	X(DRAINING, "draining", 503, 1) \
	X(OUTCOME_UNKNOWN, "outcome_unknown", 502, 0) \
	X(SERVER_FAILED, "server_failed", 502, 1) \
	X(SERVER_REFUSED, "server_refused", 502, 1) \
	X(RETRY_BUDGET, "retry_budget_spent", 503, 2) \
	X(UNKNOWN_ROUTE, "unknown_route", 404, 0) \
	X(UNKNOWN_TURN, "unknown_turn", 404, 0) \
	X(UNKNOWN_KEY, "unknown_key", 401, 0) \
	X(STALE_CONFIG, "configuration_may_be_stale", 503, 1) \
	X(OWNER_UNREACHABLE, "program_owner_unreachable", 503, 1) \
	X(HISTORY_UNAVAILABLE, "history_unavailable", 503, 1) \
	X(CRASHES_SERVERS, "request_crashes_servers", 503, 60) \
	X(WORKSPACE_CAP, "workspace_cap", 429, 1) \
	X(CAP_UNREACHABLE, "cap_coordinator_unreachable", 503, 1) \
	X(CALLER_GONE, "caller_gone", 499, 0)

enum refusal {
#define REFUSAL_ENUM(name, text, status, after_s) REFUSAL_##name,
	REFUSAL_LIST(REFUSAL_ENUM)
#undef REFUSAL_ENUM
	    REFUSAL_COUNT,
};

/* name, text */
#define RETRY_LIST(X) \
	X(CONNECT_FAILED, "connect_failed") \
	X(SERVER_DISCONNECTED, "server_cut") \
	X(SERVER_ERROR, "server_error") \
	X(SERVER_BUSY, "server_busy") \
	X(TIMEOUT, "timeout") \
	X(HEDGE, "hedge") \
	X(LOG_APPEND, "log_append") \
	X(LOG_READ, "log_read") \
	X(CLAIM_LOST, "claim_lost") \
	X(RELEASE, "release")

enum retry_reason {
#define RETRY_ENUM(name, text) RETRY_##name,
	RETRY_LIST(RETRY_ENUM)
#undef RETRY_ENUM
	    RETRY_COUNT,
};

/** Returns the reason's name in responses, e.g. "budget_exceeded". */
const char *refusal_name(enum refusal reason);
/** Returns the HTTP status of the response. */
int refusal_http_status(enum refusal reason);
/** Returns the delay in seconds after which to retry; 0: do not retry. */
int refusal_retry_after_s(enum refusal reason);
/** Returns the reason's name in counters, e.g. "timeout". */
const char *retry_reason_name(enum retry_reason reason);
/** Returns "not run", "ran" or "outcome unknown". */
const char *execution_state_name(enum execution_state state);

#endif
