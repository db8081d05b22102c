/** @file
 * Requests that a gateway which reaches no backend server passes to another
 * gateway, over HTTP to a port of their own. The other one handles them as if
 * its own caller had sent them, but does not pass them on.
 */
#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "h1/client.h"
#include "h1/message.h"
#include "h1/server.h"
#include "record/record.h"

struct gateway;
struct request;

/* Fields between gateways. They are neither taken from callers nor sent to
 * servers or callers. */
#define RELAY_FIELD_PREFIX "Guavakeel-"
/** IP address of the caller. */
#define RELAY_FIELD_CALLER RELAY_FIELD_PREFIX "Caller"
/** VM that passes the request on. */
#define RELAY_FIELD_VM RELAY_FIELD_PREFIX "Vm"
/** Attempts in which a server may have run the request. */
#define RELAY_FIELD_EXECUTIONS RELAY_FIELD_PREFIX "Executions"
/** In a response: id of the server that it is from, and the start of its
 * process. */
#define RELAY_FIELD_SERVER         RELAY_FIELD_PREFIX "Server"
#define RELAY_FIELD_SERVER_STARTED RELAY_FIELD_PREFIX "Server-Started"
/** In a response: the VM reaches no server itself; the request has not run. */
#define RELAY_FIELD_UNREACHABLE RELAY_FIELD_PREFIX "Unreachable"

/** An attempt to have another gateway handle a request. */
struct relay_attempt {
	struct h1_call *call; /**< NULL: none in progress */
	char vm[NAME_BYTES];  /**< that the latest attempt went to; "": none */
	int64_t started_us;
	uint32_t count; /**< attempts so far */
	bool refused;   /**< the VM says that it reaches no server */
};

/** Passes a request on if this VM reaches no server. Returns false if it is to
 * be handled here. */
bool relay_start(struct request *request);
/** Cancels the attempt in progress, if any. */
void relay_cancel(struct request *request);
/** Returns whether another gateway may have received the request. */
bool relay_is_sent(const struct request *request);

/** Listens on the relay address of the settings. Returns NULL when the address
 * can't be bound. */
struct h1_server *
relay_server_create(struct gateway *gateway, struct error *err);
/** Adds to a response for another gateway which server it is from. */
void
relay_add_server(const struct request *request, struct h1_headers *headers);

#endif
