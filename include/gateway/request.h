/** @file
 * One request of a caller, from its arrival to the end of its answer.
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
#include "platform/request.h"

struct turn;

enum request_state {
	REQUEST_WAITING,    /**< for a server, or for what it needs first */
	REQUEST_SENT,       /**< a server has it */
	REQUEST_ANSWERING,  /**< its answer is being passed on */
	REQUEST_COMMITTING, /**< the answer is out but for its end */
};

/** One sending of a request to a backend server. */
struct forward {
	struct backend *backend;
	struct h1_call *call;
	uint64_t uncached_tokens; /**< of the prompt, as expected */
	double load;              /**< of the server when it was sent */
	uint64_t events_before;   /**< that an earlier sending gave */
	int64_t started_us;
	int64_t
	    response_deadline_us; /**< without an answer; INT64_MAX: never */
	int64_t first_event_us;   /**< first event of a stream; 0: none yet */
	bool head_received;
	struct backend_response response;
	struct h1_headers headers; /**< of the answer, to pass on */
	int64_t length;            /**< of its body; -1: not told */
	struct buf body;           /**< while it is not passed on */
};

struct request {
	struct list link;
	struct gateway *gateway;
	struct h1_exchange *exchange;
	struct gateway_config *config;
	const struct route *route;
	char service[NAME_BYTES];
	struct attributes attributes;
	struct buf body;      /**< as a server is to receive it */
	uint64_t fingerprint; /**< the same when its caller sends it again */
	enum request_state state;
	int64_t received_us;
	int64_t deadline_us; /**< the caller's or the route's, the earlier */
	uv_timer_t *timer;
	struct forward *attempt; /**< under way, or NULL */
	char tried[BACKEND_TRIED_MAX][NAME_BYTES];
	size_t tried_count;
	uint32_t possible_executions; /**< servers that may have run it */
	uint32_t declined_count;      /**< servers that surely did not */
	bool response_started;        /**< the caller has the answer's head */
	int status; /**< of the answer that is passed on; 0: none */
	struct event_stream events;
	int64_t first_byte_us; /**< first byte of the answer's body */
	int64_t first_sent_us; /**< first sending to a server */
	int64_t body_ended_us; /**< the answer has passed but for its end */
	char last_backend[NAME_BYTES]; /**< that it was last sent to */
	struct turn *turn;             /**< NULL: it is no turn of a program */
	uint32_t record_bytes;         /**< of the turn's record */
	int64_t wake_us; /**< when the turn goes on; 0: not by time */
};

/** How an attempt ended. */
enum attempt_result {
	ATTEMPT_ANSWERED,    /**< whole, to be passed on */
	ATTEMPT_UNREACHABLE, /**< nothing was sent */
	ATTEMPT_DECLINED,    /**< the server says that it did not run it */
	ATTEMPT_BROKEN,      /**< it may have run */
	ATTEMPT_TIMED_OUT,   /**< no answer in time; it may have run */
};

/** Handler of the callers' server. */
void request_handle(void *context, struct h1_exchange *exchange);
/** Sends the request to a server, or refuses it. */
void request_dispatch(struct request *request);
/** An attempt is over; the request decides what follows. */
void request_attempt_ended(
    struct request *request, enum attempt_result result, const char *why);
/** Ends the answer, of which all else has passed. */
void request_complete(struct request *request);
/** Sets when turn_handle_timeout() is called. */
void request_wake_at(struct request *request, int64_t at_us);
/** Answers that it has not run and will not; retry_us: when to come back; 0:
 * not at all. */
void request_refuse(struct request *request, enum refusal reason,
    int64_t retry_us, const char *why);
/** Ends it though it may have run: with an error, or by closing the
 * connection when its answer has begun. */
void
request_fail(struct request *request, enum refusal reason, const char *why);
/** Ends all requests, as the process stops. */
void request_fail_all(struct gateway *gateway);

/** Sends the request to a server. */
void forward_start(struct request *request, struct backend *backend,
    const struct backend_request *wanted);
/** Gives the attempt under way up and closes its connection. */
void forward_cancel(struct request *request);

#endif
