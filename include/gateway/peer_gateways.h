/** @file
 * The other gateways: which of them are live, their addresses, the partitions
 * that they own, and messages to and from them.
 */
#ifndef GATEWAY_PEER_GATEWAYS_H
#define GATEWAY_PEER_GATEWAYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/gateway.h"
#include "peer/message.h"

enum {
	/** Size of "VM@IP:port", a gateway's name in the store's group. */
	PEER_GATEWAY_NAME_BYTES = 2 * NAME_BYTES,
};

/** A gateway that takes a request of this one's caller. */
struct relay_target {
	char vm[NAME_BYTES];
	char address[H1_ADDRESS_BYTES];
	uint64_t config_version; /**< that it reported last */
};

/** Listens on the peer address of the settings. Returns NULL with ERROR_IO when
 * the address can't be bound. */
struct peer_gateways *
peer_gateways_create(struct gateway *gateway, struct error *err);
/** Starts to send heartbeats and registers this gateway in the store. All
 * controllers must have been created. */
void peer_gateways_start(struct peer_gateways *peer_gateways);
void peer_gateways_destroy(struct peer_gateways *peer_gateways);
/** Writes the name of this gateway in the store's group. */
void peer_gateways_self_name(const struct peer_gateways *peer_gateways,
    char name[PEER_GATEWAY_NAME_BYTES]);
/** Adds the gateway of a group name and writes the name of its VM to vm.
 * Returns false when the name is malformed. */
bool peer_gateways_add_by_name(
    struct peer_gateways *peer_gateways, const char *name, char vm[NAME_BYTES]);

/** Tells a VM's gateway the address of this one, without which it can't reply.
 */
void
peer_gateways_introduce(struct peer_gateways *peer_gateways, const char *vm);
/** Sends a message to a VM's gateway, after an introduction if it opens a
 * connection. Returns false when the message certainly won't arrive. */
bool peer_gateways_send(struct peer_gateways *peer_gateways, const char *vm,
    struct message *message);
/** Sends a message to all other live gateways. */
void peer_gateways_broadcast(
    struct peer_gateways *peer_gateways, struct message *message);
/** Sends the changed state of this gateway to the others at once. */
void peer_gateways_announce_state(struct peer_gateways *peer_gateways);
bool peer_gateways_is_live(
    const struct peer_gateways *peer_gateways, const char *vm);
/** Returns the random number of a gateway's process, or 0 if its heartbeats do
 * not arrive. */
uint64_t peer_gateways_incarnation(
    const struct peer_gateways *peer_gateways, const char *vm);
uint64_t
peer_gateways_own_incarnation(const struct peer_gateways *peer_gateways);
/** Returns the gateway that is told of this one's runs, or NULL: mostly the
 * same one, in another failure domain of the region if there is one. */
const char *peer_gateways_watcher(const struct peer_gateways *peer_gateways);
/** Returns a live gateway that reaches the store, in round-robin order and
 * preferably of this failure domain, or NULL. */
const char *peer_gateways_next_relay(struct peer_gateways *peer_gateways);
/** Returns the VM that owns a partition, or NULL. */
const char *peer_gateways_partition_owner(
    const struct peer_gateways *peer_gateways, uint32_t partition);
/** Records the owner of a partition as the store reports it. */
void peer_gateways_set_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t partition, const char *vm);
/** Clears the owner of a partition when the owner does not reply or replies
 * that it is not the owner. */
void peer_gateways_clear_partition_owner(
    struct peer_gateways *peer_gateways, uint32_t partition);
/** Returns the VM that coordinates the permits for a backend server, as seen
 * from this one: a live gateway, preferably of the server's failure domain,
 * chosen by rendezvous hashing. May be this VM. server: hash of its id. */
const char *peer_gateways_coordinator(const struct peer_gateways *peer_gateways,
    uint64_t server, const char *failure_domain);
/** Returns the VM that coordinates a workspace, as seen from this one: one of a
 * few live gateways of each failure domain, chosen by rendezvous hashing. May
 * be this VM. workspace_hash: of its name. */
const char *peer_gateways_workspace_coordinator(
    const struct peer_gateways *peer_gateways, uint64_t workspace_hash);
/** Another gateway that reads the store for its failure domain. */
struct store_reader {
	const char *vm;
	uint64_t servers_digest; /**< of its list of backend servers */
	uint64_t config_version; /**< in force there */
};

/** Returns whether this gateway reads the store for its failure domain. */
bool peer_gateways_reads_store(const struct peer_gateways *peer_gateways);
/** Finds the gateway that has read the store for this failure domain last, not
 * longer than max_age_us ago. Returns false if there is none. */
bool peer_gateways_find_reader(const struct peer_gateways *peer_gateways,
    int64_t max_age_us, struct store_reader *reader);
/** Counts the gateways known in the last minute, and those that are live. Both
 * include this one. */
void peer_gateways_count(
    const struct peer_gateways *peer_gateways, size_t *known, size_t *live);
/** A gateway, and when it was last known to run. */
struct peer_sign {
	const char *vm;
	const char *failure_domain;
	int64_t seen_us;  /**< last heartbeat, or when the store listed it */
	bool live;        /**< heartbeats arrive */
	bool is_stopping; /**< it has announced its stop */
};
/** Returns the number of other gateways that are known at present. */
size_t peer_gateways_known(const struct peer_gateways *peer_gateways);
/** Describes one of them. */
struct peer_sign
peer_gateways_sign(const struct peer_gateways *peer_gateways, size_t at);
/** Returns whether this gateway has read the store's list of gateways. */
bool peer_gateways_list_is_read(const struct peer_gateways *peer_gateways);
/** Returns whether this gateway hears so few of those it has heard in the last
 * minute that it may be cut off from the others: half of them or fewer, this
 * one included. Gateways that announced a stop do not count as missing. */
bool peer_gateways_is_isolated(const struct peer_gateways *peer_gateways);
/** Returns whether half or more of the gateways that are heard report that they
 * are isolated. A gateway that has just started knows no others to miss. */
bool peer_gateways_others_isolated(const struct peer_gateways *peer_gateways);
/** Chooses a gateway that reaches servers, as near as enough of them do, and
 * whose configuration is not older than a version. excluded_vm is not chosen;
 * "": none. Returns false if there is none. */
bool peer_gateways_choose_relay(struct peer_gateways *peer_gateways,
    uint64_t config_version, const char *excluded_vm,
    struct relay_target *target);
/** Fills addresses with those that callers in a failure domain should use: live
 * gateways that reach servers, of that domain if a third of its gateways do,
 * else also of the region, else all. If none reaches servers, the live gateways
 * of the domain, else of the region, else all. Returns their number. */
size_t peer_gateways_caller_addresses(struct peer_gateways *peer_gateways,
    const char *failure_domain, const char *region, const char **addresses,
    size_t max);

#endif
