/** @file
 * Backend servers that limit the rate of their requests: what they state, what
 * other gateways heard, and permits, which this gateway gives for the servers
 * that it coordinates and asks for otherwise.
 */
#ifndef GATEWAY_SERVER_LIMITS_H
#define GATEWAY_SERVER_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "dispatch/backends.h"
#include "platform/request.h"

struct forward;
struct gateway;
struct message;
struct request;
struct server_limits;

/** A request's wait for a permit. */
struct permit_wait {
	UT_hash_handle hh; /**< in server_limits, by number */
	uint64_t number;   /**< 0: does not wait */
	char server[NAME_BYTES];
	int64_t server_started_wall_ms;
	bool granted;
	/** Granted: when to send. Otherwise: until when to expect a reply. */
	int64_t due_us;
	uint32_t asked; /**< permits that the request has asked for */
};

enum permit_result {
	PERMIT_GRANTED, /**< the request may be sent now */
	PERMIT_PENDING, /**< server_limits_handle_due() goes on */
	PERMIT_DENIED,  /**< another server may be chosen */
};

struct server_limits *server_limits_create(struct gateway *gateway);
void server_limits_destroy(struct server_limits *server_limits);
/** Applies what a server's response states. sent_us: when the request was sent;
 * request_id: of the request. */
void server_limits_handle_response(struct server_limits *server_limits,
    const struct server_start *start, const struct backend_response *response,
    int64_t sent_us, const char *request_id);
/** Returns a server of the request's service that this gateway coordinates and
 * that has not stated its limit for a while, or NULL. Servers with a limit may
 * otherwise not be chosen for long, although it has ended. */
struct backend *server_limits_choose_check(const struct request *request);
/** Takes a permit for a request, at once if the server does not limit its
 * requests. */
enum permit_result server_limits_take_permit(
    struct request *request, const struct backend *backend);
/** Ends the request's wait, if any. */
void server_limits_cancel(struct request *request);
/** Handles the end of a wait, at permit_wait.due_us: sends the request, or
 * chooses a server again. */
void server_limits_handle_due(struct request *request);
/** Returns how long a request may wait for a permit now. */
int64_t server_limits_max_wait_us(const struct request *request);
/** Returns whether a request may still ask for a permit. */
bool server_limits_may_ask(const struct request *request);
void server_limits_handle_message(
    struct server_limits *server_limits, const struct message *message);

#endif
