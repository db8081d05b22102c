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
void quarantine_note_cut(struct quarantine *quarantine, uint64_t fingerprint,
    const struct backend *backend);
/** A life of a server has ended: it is gone, or has started anew. */
void quarantine_server_ended(struct quarantine *quarantine, const char *server);
/** Takes what another gateway has seen. */
void quarantine_take(
    struct quarantine *quarantine, const struct message_crashed *crashed);
/** Returns whether a request has crashed too many servers. */
bool
quarantine_holds(const struct quarantine *quarantine, uint64_t fingerprint);

#endif
