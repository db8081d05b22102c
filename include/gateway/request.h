/** @file
 * Requests of callers, from their arrival to the end of their responses.
 */
#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "common/refusal.h"
#include "gateway/attributes.h"
#include "gateway/event_stream.h"
#include "gateway/gateway.h"
#include "gateway/quarantine.h"
#include "gateway/relay.h"
#include "gateway/server_limits.h"
#include "gateway/stage.h"
#include "gateway/workspace_caps.h"
#include "h1/client.h"
#include "platform/request.h"

struct turn;

enum request_state {
	REQUEST_WAITING,    /**< no server has it: being prepared, or between
			       attempts */
	REQUEST_SENT,       /**< sent to a backend server */
	REQUEST_RELAYED,    /**< sent to another gateway */
	REQUEST_RESPONDING, /**< the response is being sent to the caller */
	REQUEST_COMMITTING, /**< all of the response is sent except its end */
};

/** One attempt to have a backend server run a request. */
struct forward {
	struct backend *backend;
	struct h1_call *call;
	uint64_t uncached_tokens;       /**< prompt tokens expected to miss the
					   server's cache */
	int64_t server_started_wall_ms; /**< start time of the server that the
					   request is sent to */
	struct affinity_sample affinity;
	double server_load; /**< load of the server at the time of sending */
	uint64_t prior_event_count; /**< events received by earlier attempts */
	int64_t started_us;
	struct sent_run run;
	int64_t response_deadline_us; /**< time limit until the response is sent
					 to the caller; INT64_MAX: none */
	int64_t first_event_us; /**< time of the first event of a stream; 0:
				   none yet */
	bool head_received;
	struct backend_response response;
	struct h1_headers headers; /**< response fields for the caller */
	int64_t content_length; /**< length of the response body; -1: unknown */
	size_t discarded_bytes; /**< of a body that is not passed on */
	/** Response body that is not yet sent to the caller. */
	struct buf body;
};

/** A request of a caller and the state of its processing. */
struct request {
	struct list link; /**< in gateway.requests */
	struct gateway *gateway;
	struct h1_exchange *exchange; /**< NULL once it is ended */
	/** Version in force at its arrival, referenced; NULL: none. */
	struct gateway_config *config;
	const struct route *route;
	char service[NAME_BYTES]; /**< chosen from the targets of the route */
	/** Workspace of the caller's key; NULL: none. */
	const struct workspace *workspace;
	struct attributes attributes;
	enum request_stage stage;
	int64_t stage_due_us; /**< when stage_handle_due() is due; 0: never */
	struct buf body;      /**< body for the backend server */
	uint64_t fingerprint; /**< equal for repetitions of a request by the
				 same caller */
	bool is_trial;        /**< of quarantine_take_trial() */
	enum request_state state;
	int64_t received_us;
	int64_t deadline_us; /**< earlier one of the caller's and the route's
				deadline */
	uv_timer_t *timer;
	struct forward *attempt; /**< attempt in progress, or NULL */
	struct relay_attempt relay;
	bool relayed;                /**< another gateway passed it on */
	char relayed_by[NAME_BYTES]; /**< VM of that gateway */
	/** Ids of the servers of all attempts. */
	char tried[BACKEND_TRIED_MAX][NAME_BYTES];
	size_t tried_count;
	uint32_t possible_executions; /**< attempts in which a server may have
					 run it */
	uint32_t declined_count;    /**< attempts that a server declined without
				       running it */
	uint32_t unreachable_count; /**< attempts without a connection */
	bool kept_connection;  /**< the latest attempt used a connection that
				  had served an earlier request */
	size_t held_bytes;     /**< unread response, for memory_bounds */
	bool response_paused;  /**< of memory_bounds */
	bool response_started; /**< the response head has been sent to the
				  caller */
	int status; /**< HTTP status sent to the caller; 0: none yet */
	struct event_stream events;
	int64_t first_byte_us; /**< when the first byte of the response body was
				  sent; 0: not yet */
	/** When the first attempt was sent; 0: not yet. */
	int64_t first_sent_us;
	int64_t body_ended_us; /**< when the response was complete except for
				  its end; 0: not yet */
	/** What marked the end of the latest attempt's response. */
	enum h1_body_end body_end;
	/** What made that response malformed; NULL: nothing. */
	const char *response_fault;
	/** Bytes after the last complete event of the latest attempt. */
	size_t unfinished_event_bytes;
	char last_backend[NAME_BYTES]; /**< id of the server of the latest
					  attempt */
	/** Limit that the latest response stated. */
	struct stated_limit stated_limit;
	struct turn *turn;     /**< NULL: not a turn of a program */
	uint32_t record_bytes; /**< size of the turn's encoded record */
	struct permit_wait permit_wait;
	bool need_counted;      /**< need holds the state of its program */
	struct need_state need; /**< as of its arrival */
	struct cap_wait cap_wait;
	int64_t turn_wake_us; /**< when turn_handle_timeout() is due; 0: not
				  scheduled */
};

/** Results of an attempt. */
enum attempt_result {
	ATTEMPT_COMPLETED,   /**< the response is sent to the caller except for
				its end */
	ATTEMPT_UNREACHABLE, /**< no connection; nothing was sent */
	ATTEMPT_DECLINED,    /**< the server reported that it did not run the
				request */
	ATTEMPT_BROKEN,      /**< no valid response; the request may have run */
	ATTEMPT_TIMED_OUT, /**< no response in time; the request may have run */
};

/** Where a request comes from. Zero-initialized: from a caller. */
struct request_origin {
	bool relayed;       /**< from another gateway */
	const char *vm;     /**< of that gateway; may be NULL */
	const char *caller; /**< IP address of its caller; may be NULL */
	/** Attempts there in which a server may have run the request. */
	uint32_t possible_executions;
};

/** Handles a request that the HTTP server for callers has received. context is
 * the gateway. */
void request_handle(void *context, struct h1_exchange *exchange);
void request_handle_from(struct gateway *gateway, struct h1_exchange *exchange,
    const struct request_origin *origin);
/** Handles the request by this gateway's own paths to servers. */
void request_handle_here(struct request *request);
/** Begins a request that has passed all stages: obtains the grant of a turn, or
 * sends the request to a backend server. */
void request_begin(struct request *request);
/** Returns the route of a request in a version of the configuration, or NULL.
 */
const struct route *request_route_in(
    const struct gateway_config *config, const struct h1_head *head);
/** Returns the priority of the request's workspace, or else of its route; 0 is
 * the most urgent. */
uint32_t request_priority(const struct request *request);
/** Fails the request, since the response of another gateway is lost, which may
 * have used all attempts of its route. */
void request_handle_lost_response(struct request *request);
/** Sends the request to a backend server. Refuses it if there is none to
 * choose, or fails it if it may have run already. */
void request_dispatch(struct request *request);
/** Sends the request to a backend server that was chosen for it. */
void request_send(struct request *request, struct backend *backend);
/** Refuses a request for which no server has a permit in time, or fails it if
 * it may have run already. */
void request_refuse_limited(struct request *request);
/** Schedules the next timeout of the request. */
void request_arm_timer(struct request *request);
/** Handles the end of an attempt: completes, repeats, refuses or fails the
 * request. why describes the failure for logs; NULL for ATTEMPT_COMPLETED. */
void request_attempt_ended(
    struct request *request, enum attempt_result result, const char *why);
/** Sends part of the response body to the caller. Fails and frees the request
 * if the caller reads too slowly. */
void request_send_body(struct request *request, const void *data, size_t len);
/** Ends the response, of which everything else has been sent, and frees the
 * request. */
void request_complete(struct request *request);
/** Schedules turn_handle_timeout() at a monotonic time. */
void request_wake_at(struct request *request, int64_t at_us);
/** Responds that the request has not run and will not run, and frees it; fails
 * it if it may have run. retry_us: delay after which the caller may retry; 0:
 * no such advice. */
void request_refuse(struct request *request, enum refusal reason,
    int64_t retry_us, const char *why);
/** Ends and frees a request that may have run. Responds with an error, or
 * closes the connection if the response has started. */
void
request_fail(struct request *request, enum refusal reason, const char *why);
/** Ends all requests because the process stops. */
void request_fail_all(struct gateway *gateway);

/** Starts an attempt at a backend server. */
void forward_start(struct request *request, struct backend *backend,
    const struct backend_request *criteria);
/** Cancels and frees the attempt in progress and closes its connection. */
void forward_cancel(struct request *request);

#endif
