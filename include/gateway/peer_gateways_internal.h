/** @file
 * What the parts of the peer_gateways share; see gateway/peer_gateways.h for
 * the whole.
 */
#ifndef GATEWAY_PEER_GATEWAYS_INTERNAL_H
#define GATEWAY_PEER_GATEWAYS_INTERNAL_H

#include <uv.h>

#include "gateway/peer_gateways.h"
#include "member/member.h"
#include "peer/peer.h"

enum {
	SEEDS_MAX = 8, /**< gateways that the settings may name */
};

/** What a gateway tells of itself, besides what struct member holds. */
struct peer_gateway {
	char vm[NAME_BYTES];
	uint64_t vm_hash;                   /**< of vm */
	char caller_address[SETTING_BYTES]; /**< "IP:port" */
	uint64_t incarnation;
	bool store_unreachable;
	bool reported_live; /**< in the log */
	struct message_load *loads;
	size_t load_count;
};

struct partition_owner {
	char vm[NAME_BYTES]; /**< "": not known */
	uint64_t generation;
};

/** A gateway of which only the address is known. */
struct seed {
	char name[NAME_BYTES]; /**< "": it is known by its VM */
	char address[SETTING_BYTES];
	int port;
};

struct peer_gateways {
	struct gateway *gateway;
	struct peer_transport *peer;
	struct list self_messages;
	uv_idle_t *self_message_idle; /**< runs while there are letters */
	struct members members;
	struct peer_gateway *gateways; /**< in the order of members */
	uint64_t incarnation;
	uint64_t heartbeat_count;
	size_t relay_cursor;
	struct partition_owner owners[SETTINGS_PARTITIONS_MAX];
	struct seed seeds[SEEDS_MAX];
	size_t seed_count;
	uv_timer_t *heartbeat_timer;
	uv_timer_t *register_timer;
	struct store_call *register_call;
	bool registered; /**< this VM is in the store's list */
};

/* peer_gateways.c */
const char *peer_gateways_self_vm(const struct peer_gateways *peer_gateways);
/** Returns a gateway, which is added if it is not known. */
struct peer_gateway *peer_gateway_add(
    struct peer_gateways *peer_gateways, const char *vm, int64_t now_us);
struct member *peer_gateway_member(struct peer_gateways *peer_gateways,
    const struct peer_gateway *peer_gateway);
/** Takes over what a gateway says of itself. */
void peer_gateway_update(struct peer_gateways *peer_gateways,
    struct peer_gateway *peer_gateway, const struct message_member *self);
bool peer_gateway_is_live(const struct member *member);
/** Returns whether it is in this failure domain. */
bool peer_gateway_in_own_domain(
    const struct peer_gateways *peer_gateways, const struct member *member);
/** Notes which partitions a gateway says that it owns. */
void peer_gateways_update_partition_owners(struct peer_gateways *peer_gateways,
    const char *vm, uint64_t generation, uint64_t owned);

/* peer_gateways_announce_state.c */
/** Fills a message with what this gateway says of itself. */
void peer_gateways_fill_heartbeat(
    struct peer_gateways *peer_gateways, struct message *message);
/** Sends signs of life to this failure domain, and, if far is set, to a few
 * gateways of each other one. */
void
peer_gateways_send_heartbeats(struct peer_gateways *peer_gateways, bool far);
void peer_gateways_start_heartbeats(struct peer_gateways *peer_gateways);
void peer_gateways_handle_heartbeat(
    struct peer_gateways *peer_gateways, const struct message *message);

/* peer_gateways_register.c */
/** Writes this VM into the list in the store, and reads who else is there. */
void peer_gateways_register(struct peer_gateways *peer_gateways);
/** Two connections to one gateway would take this VM's name from each other
 * there: the one made for a seed ends when its VM is known. */
void peer_gateways_remove_seed(
    struct peer_gateways *peer_gateways, const char *address, int port);

#endif
