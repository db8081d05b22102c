/** @file
 * Quarantine of requests that crash backend servers. Finds out which servers
 * ended while they ran a request, shares that with the other gateways and the
 * store, and tells which requests must no longer be sent to a server.
 */
#ifndef GATEWAY_QUARANTINE_H
#define GATEWAY_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

struct quarantine *quarantine_create(struct gateway *gateway);
void quarantine_destroy(struct quarantine *quarantine);
/** Takes the steps that are due; called by the gateway's timer. */
void quarantine_tick(struct quarantine *quarantine);
/** Returns whether the request with this fingerprint must not be sent to a
 * server. */
bool
quarantine_refuses(const struct quarantine *quarantine, uint64_t fingerprint);
/** Returns whether it must not be sent to a server while another run of it is
 * under way. */
bool quarantine_one_at_a_time(
    const struct quarantine *quarantine, uint64_t fingerprint);
/** Returns whether a request that is refused may be sent once all the same: one
 * gateway tries it again after a while, as it may be innocent. */
bool quarantine_take_trial(struct quarantine *quarantine, uint64_t fingerprint);

/** Notes that a server has not finished a request that was sent to it at
 * sent_us. broken: its connection broke; else it was closed from this side. */
void
quarantine_add_unfinished(struct quarantine *quarantine, uint64_t fingerprint,
    const struct server_start *start, int64_t sent_us, bool broken);
/** A response that ended a request's run. */
struct quarantine_response {
	const char *request; /**< id of the request */
	const char *server;  /**< id of the server */
	int status;
	const char *body_end; /**< what marked its end; for the log */
};

/** Notes that a request has run to its end. */
void quarantine_handle_completed(struct quarantine *quarantine,
    uint64_t fingerprint, const struct quarantine_response *response);
/** Notes a response to a request that was sent at sent_us. */
void quarantine_handle_response(struct quarantine *quarantine,
    const struct server_start *start, int64_t sent_us);
/** Notes that a server refused a connection, which shows its end unless this
 * gateway's own paths are in doubt. */
void quarantine_handle_refused(
    struct quarantine *quarantine, const struct server_start *start);
/** Handles the end of a server's process as the list tells it. server: its id.
 * sign: for the log. */
void quarantine_handle_server_end(struct quarantine *quarantine,
    const struct server_start *start, const char *server, const char *sign);

/** Handles the digest in another gateway's heartbeat: asks that gateway for
 * what it knows if it differs. */
void quarantine_handle_peer_digest(
    struct quarantine *quarantine, const char *vm, uint64_t digest);
uint64_t quarantine_digest(const struct quarantine *quarantine);
void quarantine_handle_message(
    struct quarantine *quarantine, const struct message *message);

#endif
