/** @file
 * Quarantine of requests that crash backend servers. Finds out which servers
 * ended while they ran a request, shares that with the other gateways and the
 * store, and tells which requests must no longer be sent to a server.
 */
#ifndef GATEWAY_QUARANTINE_H
#define GATEWAY_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/limits.h"
#include "gateway/gateway.h"
#include "peer/message.h"

struct quarantine *quarantine_create(struct gateway *gateway);
void quarantine_destroy(struct quarantine *quarantine);
/** Takes the steps that are due; called by the gateway's timer. */
void quarantine_tick(struct quarantine *quarantine);
/** What a gateway may do with a request. */
enum quarantine_verdict {
	QUARANTINE_SEND,
	QUARANTINE_ONE_AT_A_TIME, /**< send it if no run of it is under way */
	/** Don't send it before the outcome of its runs is known. */
	QUARANTINE_HOLD,
	QUARANTINE_REFUSE, /**< don't send it: it has crashed servers */
};

/** Returns what to do with the request with this fingerprint. */
enum quarantine_verdict
quarantine_judge(struct quarantine *quarantine, uint64_t fingerprint);
/** Returns whether a request that is refused may be sent once all the same: one
 * gateway tries it again after a while, as it may be innocent. */
bool quarantine_take_trial(struct quarantine *quarantine, uint64_t fingerprint);

/** A run that this gateway has sent, from its begin to its end. */
struct sent_run {
	struct list link;
	uint64_t number;
	uint64_t fingerprint; /**< of the request */
	struct server_start start;
	int64_t sent_us;
	bool told;      /**< another gateway knows of it */
	bool responded; /**< the server has begun to respond */
	bool silent;    /**< it counts as unfinished */
};

/** Notes that a request is being sent to a server. */
void quarantine_run_began(struct quarantine *quarantine, struct sent_run *run,
    uint64_t fingerprint, const struct server_start *start, int64_t sent_us);
/** Notes that the server has begun to respond. */
void quarantine_run_responded(struct sent_run *run);
/** How a run has ended of which nothing shows that it came to its end. */
struct run_break {
	/** Its connection broke or ended the response; else it was closed from
	 * this side or goes on. */
	bool broken;
	bool answered; /**< a whole response has come */
};

/** Notes that the server may have run the request and has not finished it. */
void quarantine_run_unfinished(struct quarantine *quarantine,
    struct sent_run *sent, const struct run_break *how);
/** Notes that a run has ended in another way, if its end is not known yet. */
void quarantine_run_ended(struct quarantine *quarantine, struct sent_run *run);
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
