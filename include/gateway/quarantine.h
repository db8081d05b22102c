/** @file
 * Requests that crash the backend servers that run them: what the gateways
 * have seen of that, and which requests are not sent any more.
 */
#ifndef GATEWAY_QUARANTINE_H
#define GATEWAY_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

struct quarantine *quarantine_create(struct gateway *gateway);
void quarantine_destroy(struct quarantine *quarantine);
/** A connection broke while a server ran a request. */
void quarantine_add_broken_connection(struct quarantine *quarantine,
    uint64_t fingerprint, const struct backend *backend);
/** A life of a server has ended: it is gone, or has started anew. */
void
quarantine_handle_server_end(struct quarantine *quarantine, const char *server);
/** Takes what another gateway has seen. */
void quarantine_handle_peer_report(struct quarantine *quarantine,
    const struct message_server_crashed *crashed);
/** Returns whether a request has crashed too many servers. */
bool
quarantine_contains(const struct quarantine *quarantine, uint64_t fingerprint);

#endif
