/** @file
 * The other gateways: who lives, where they are, which partitions they own,
 * and messages to and from them.
 */
#ifndef GATEWAY_FELLOWS_H
#define GATEWAY_FELLOWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

enum {
	/** "VM@IP:port": a gateway's name in the store's group. */
	FELLOW_NAME_BYTES = 2 * NAME_BYTES,
};

/** Errors: ERROR_IO when the address can't be bound. */
struct fellows *fellows_create(struct gateway *gateway, struct error *err);
/** Starts to tell the others of this gateway; all controllers exist. */
void fellows_start(struct fellows *fellows);
void fellows_destroy(struct fellows *fellows);
/** Writes the name of this gateway in the store's group. */
void
fellows_own_name(const struct fellows *fellows, char name[FELLOW_NAME_BYTES]);
/** Learns a gateway by that name; returns its VM's name in vm. */
bool
fellows_learn(struct fellows *fellows, const char *name, char vm[NAME_BYTES]);

/** Sends a message to a VM's gateway. False: it surely does not arrive. */
bool
fellows_send(struct fellows *fellows, const char *vm, struct message *message);
/** Sends a message to all known gateways. */
void fellows_broadcast(struct fellows *fellows, struct message *message);
/** Tells the others at once what has changed here. */
void fellows_pulse(struct fellows *fellows);
bool fellows_is_live(const struct fellows *fellows, const char *vm);
/** Returns a live gateway that reaches the store, another one each time, those
 * of this failure domain first; NULL: none. */
const char *fellows_relay(struct fellows *fellows);
/** Returns the VM that owns a partition, or NULL. */
const char *fellows_owner(const struct fellows *fellows, uint32_t part);
/** Notes an owner as the store names it. */
void fellows_set_owner(struct fellows *fellows, uint32_t part, const char *vm);
/** Forgets an owner that does not answer or denies it. */
void fellows_forget_owner(struct fellows *fellows, uint32_t part);
/** Fills addresses with those that callers in a failure domain should use.
 * Returns how many there are. */
size_t fellows_addresses(struct fellows *fellows, const char *failure_domain,
    const char *region, const char **addresses, size_t max);

#endif
