/** @file
 * Quarantine of requests that crash backend servers: collects evidence from all
 * gateways, and tells which requests must no longer be sent to a server.
 */
#ifndef GATEWAY_QUARANTINE_H
#define GATEWAY_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

struct quarantine *quarantine_create(struct gateway *gateway);
void quarantine_destroy(struct quarantine *quarantine);
/** Notes that the connection to a server broke while it ran a request. */
void quarantine_add_broken_connection(struct quarantine *quarantine,
    uint64_t fingerprint, const struct backend *backend);
/** Handles the end of a server process, which is gone or has restarted: counts
 * it as a crash by the requests whose connections to it have just broken, and
 * broadcasts that to the other gateways. sign: how the end was noticed, for the
 * log. */
void quarantine_handle_server_end(
    struct quarantine *quarantine, const char *server, const char *sign);
/** Adds a crash that another gateway has reported. */
void quarantine_handle_peer_report(struct quarantine *quarantine,
    const struct message_server_crashed *crashed);
/** Returns whether the request with this fingerprint has crashed too many
 * servers. */
bool
quarantine_contains(const struct quarantine *quarantine, uint64_t fingerprint);

#endif
