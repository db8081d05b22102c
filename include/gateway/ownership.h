/** @file
 * The partitions of programs that this gateway owns. The owner of a partition
 * keeps its ledger and grants turns to all gateways. The store assigns the
 * partitions to the gateways that have joined its group, by a lease.
 */
#ifndef GATEWAY_OWNERSHIP_H
#define GATEWAY_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

struct ownership *ownership_create(struct gateway *gateway);
void ownership_destroy(struct ownership *ownership);
/** Releases all partitions and leaves the group, when the process stops. */
void ownership_leave(struct ownership *ownership);
/** Returns whether the lease is certain to be valid still. */
bool ownership_lease_is_valid(const struct ownership *ownership);
/** Returns whether the lease has expired because the store doesn't answer, and
 * not because this process got no processor time. */
bool ownership_store_is_away(const struct ownership *ownership);
/** Returns the generation of the assignment that ownership_owned_mask() belongs
 * to. */
uint64_t ownership_generation(const struct ownership *ownership);
/** Returns a bit mask of the owned partitions; 0 without a valid lease. */
uint64_t ownership_owned_mask(const struct ownership *ownership);
/** Handles another VM's claim to own a partition since a generation. */
void ownership_handle_claim(
    struct ownership *ownership, uint32_t partition, uint64_t generation);
/** Handles a message to the owner of a partition, from another gateway or from
 * this one. A reply goes to the sender as a message. */
void ownership_handle_message(
    struct ownership *ownership, const struct message *message);

#endif
