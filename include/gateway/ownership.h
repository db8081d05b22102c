/** @file
 * The partitions of programs that this gateway owns: it keeps their ledgers
 * and grants turns. The store deals the partitions out.
 */
#ifndef GATEWAY_OWNERSHIP_H
#define GATEWAY_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

struct ownership *ownership_create(struct gateway *gateway);
void ownership_destroy(struct ownership *ownership);
/** Gives all partitions up, as the process stops. */
void ownership_leave(struct ownership *ownership);
/** Returns whether the lease surely has not run out. */
bool ownership_lease_is_valid(const struct ownership *ownership);
/** Generation of the distribution that ownership_owned_mask() is of. */
uint64_t ownership_generation(const struct ownership *ownership);
/** Returns a bit for each partition that is owned. */
uint64_t ownership_owned_mask(const struct ownership *ownership);
/** Another VM says that it owns a partition by a generation. */
void ownership_handle_claim(
    struct ownership *ownership, uint32_t part, uint64_t generation);
/** Takes a message to an owner, from another gateway or from this one; it
 * answers with a message to the sender. */
void ownership_handle_message(
    struct ownership *ownership, const struct message *message);

#endif
