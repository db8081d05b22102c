/** @file
 * The other gateways: who lives, where they are, which partitions they own,
 * and messages to and from them.
 */
#ifndef GATEWAY_PEER_GATEWAYS_H
#define GATEWAY_PEER_GATEWAYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

enum {
	/** "VM@IP:port": a gateway's name in the store's group. */
	PEER_GATEWAY_NAME_BYTES = 2 * NAME_BYTES,
};

/** Errors: ERROR_IO when the address can't be bound. */
struct peer_gateways *
peer_gateways_create(struct gateway *gateway, struct error *err);
/** Starts to tell the others of this gateway; all controllers exist. */
void peer_gateways_start(struct peer_gateways *peer_gateways);
void peer_gateways_destroy(struct peer_gateways *peer_gateways);
/** Writes the name of this gateway in the store's group. */
void peer_gateways_self_name(const struct peer_gateways *peer_gateways,
    char name[PEER_GATEWAY_NAME_BYTES]);
/** Learns a gateway by that name; returns its VM's name in vm. */
bool peer_gateways_add_by_name(
    struct peer_gateways *peer_gateways, const char *name, char vm[NAME_BYTES]);

/** Sends a message to a VM's gateway. False: it surely does not arrive. */
bool peer_gateways_send(struct peer_gateways *peer_gateways, const char *vm,
    struct message *message);
/** Sends a message to all known gateways. */
void peer_gateways_broadcast(
    struct peer_gateways *peer_gateways, struct message *message);
/** Tells the others at once what has changed here. */
void peer_gateways_announce_state(struct peer_gateways *peer_gateways);
bool peer_gateways_is_live(
    const struct peer_gateways *peer_gateways, const char *vm);
/** Returns a live gateway that reaches the store, another one each time, those
 * of this failure domain first; NULL: none. */
const char *peer_gateways_next_relay(struct peer_gateways *peer_gateways);
/** Returns the VM that owns a partition, or NULL. */
const char *peer_gateways_partition_owner(
    const struct peer_gateways *peer_gateways, uint32_t part);
/** Notes an owner as the store names it. */
void peer_gateways_set_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t part, const char *vm);
/** Forgets an owner that does not answer or denies it. */
void peer_gateways_clear_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t part);
/** Fills addresses with those that callers in a failure domain should use.
 * Returns how many there are. */
size_t peer_gateways_caller_addresses(struct peer_gateways *peer_gateways,
    const char *failure_domain, const char *region, const char **addresses,
    size_t max);

#endif
