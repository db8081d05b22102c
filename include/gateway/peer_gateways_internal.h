/** @file
 * Declarations shared by peer_gateways.c, peer_heartbeat.c,
 * peer_load.c and peer_registration.c; gateway/peer_gateways.h is the public
 * interface.
 */
#ifndef GATEWAY_PEER_GATEWAYS_INTERNAL_H
#define GATEWAY_PEER_GATEWAYS_INTERNAL_H

#include <uv.h>

#include "gateway/peer_gateways.h"
#include "member/member.h"
#include "peer/peer.h"

enum {
	SEEDS_MAX = 8, /**< gateways that the settings may list */
};

/** What another gateway reports of itself, besides what struct member holds. */
struct peer_gateway {
	char vm[NAME_BYTES];
	uint64_t vm_hash;
	char caller_address[SETTING_BYTES]; /**< "IP:port" */
	uint64_t incarnation;
	bool store_unreachable;
	bool servers_unreachable;
	/** One of the few gateways of its failure domain that coordinate
	 * workspaces; see peer_gateways_choose_hubs(). */
	bool is_hub;
	bool isolated; /**< it hears too few of the gateways that it knows */
	uint32_t relay_port; /**< 0: accepts no requests of other gateways */
	bool reported_live;  /**< the last trace event was gateway_live */
	uint64_t servers_digest;
	/** When it read the list of servers from the store; 0: unknown. */
	int64_t servers_read_us;
	struct message_load *loads; /**< its requests by backend server */
	size_t load_count;
};

/** The owner of a partition. */
struct partition_owner {
	char vm[NAME_BYTES]; /**< "": not known */
	uint64_t generation; /**< of the assignment that made it the owner */
};

/** A gateway of the settings, of which at first only the address is known. */
struct seed {
	char name[NAME_BYTES]; /**< peer name of the connection; "": closed, its
				VM is known */
	char address[SETTING_BYTES];
	int port;
};

struct peer_gateways {
	struct gateway *gateway;
	struct peer_transport *peer;
	struct list self_messages;    /**< from this gateway to itself */
	uv_idle_t *self_message_idle; /**< runs while there are self messages */
	struct members members;
	struct peer_gateway *gateways; /**< in the order of members */
	uint64_t incarnation;          /**< random number of this process */
	bool self_is_hub;              /**< as peer_gateway.is_hub */
	uint64_t heartbeat_count;      /**< runs of heartbeat_timer */
	size_t relay_cursor; /**< position of peer_gateways_next_relay() */
	/* Earliest times of the next messages of peer_load.c. */
	int64_t sums_due_us;
	int64_t pass_on_due_us;
	int64_t measurements_due_us;
	struct partition_owner owners[SETTINGS_PARTITIONS_MAX];
	struct seed seeds[SEEDS_MAX];
	size_t seed_count;
	uv_timer_t *heartbeat_timer;
	uv_timer_t *register_timer;
	struct store_call *register_call;   /**< NULL: none in progress */
	struct store_cursor members_cursor; /**< in the store's members */
	bool registered; /**< this VM is in the store's list of members */
};

/* peer_gateways.c */
const char *peer_gateways_self_vm(const struct peer_gateways *peer_gateways);
/** Returns the gateway of a VM, which is added if it is not known. */
struct peer_gateway *peer_gateway_add(
    struct peer_gateways *peer_gateways, const char *vm, int64_t now_us);
struct member *peer_gateway_member(struct peer_gateways *peer_gateways,
    const struct peer_gateway *peer_gateway);
/** Stores the addresses, location and incarnation that a gateway reports of
 * itself. */
void peer_gateway_update(struct peer_gateways *peer_gateways,
    struct peer_gateway *peer_gateway, const struct message_member *self);
bool peer_gateway_is_live(const struct member *member);
/** Returns whether a gateway is in the failure domain of this one. */
bool peer_gateway_in_own_domain(
    const struct peer_gateways *peer_gateways, const struct member *member);
/** Records which partitions a gateway reports to own; owned is a bit mask. */
void peer_gateways_update_partition_owners(struct peer_gateways *peer_gateways,
    const char *vm, uint64_t generation, uint64_t owned);

/* peer_choice.c */
/** Marks the live gateways that may coordinate workspaces: the
 * HUBS_PER_DOMAIN of each failure domain with the lowest hashes. All gateways
 * ask the coordinators; with all gateways among them each would need a
 * connection to each other one. */
void peer_gateways_choose_hubs(struct peer_gateways *peer_gateways);
/** Opens some of the connections between the gateways that coordinate
 * workspaces and all others, if the configuration has workspaces. */
void peer_gateways_connect_hubs(struct peer_gateways *peer_gateways);

/* peer_heartbeat.c */
/** Fills a heartbeat message with the state of this gateway. */
void peer_gateways_fill_heartbeat(
    struct peer_gateways *peer_gateways, struct message *message);
/** Sends heartbeats to all gateways of this failure domain, and, if
 * to_other_domains is set, to a few gateways of each other one. */
void peer_gateways_send_heartbeats(
    struct peer_gateways *peer_gateways, bool to_other_domains);
void peer_gateways_start_heartbeats(struct peer_gateways *peer_gateways);
void peer_gateways_handle_heartbeat(
    struct peer_gateways *peer_gateways, const struct message *message);

/* peer_load.c */
/** Reports the sums of this failure domain to the other ones, if it is time. */
void peer_gateways_send_sums(struct peer_gateways *peer_gateways);
/** Appends what is to be passed on from other failure domains to the gateways
 * of this one, if it is time. */
void peer_gateways_list_other_domains(
    struct peer_gateways *peer_gateways, struct buf *out);
/** Lists what this gateway measured of servers' speeds for the gateways of this
 * failure domain, if it is time. The caller frees the list. */
size_t peer_gateways_list_measurements(struct peer_gateways *peer_gateways,
    struct message_measurement **measurements);
/** Learns what another gateway of this failure domain measured. */
void peer_gateways_handle_measurements(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *heartbeat);
/** Applies the requests of other failure domains, which a gateway reports. */
void peer_gateways_handle_loads(struct peer_gateways *peer_gateways,
    const char *sender, const struct wire_bytes *figures, bool direct);
/** Sums the requests of all other gateways by backend server. */
void peer_gateways_sum_loads(struct peer_gateways *peer_gateways);

/* peer_registration.c */
/** Writes this VM into the list of members in the store, and then reads the
 * other members from it. */
void peer_gateways_register(struct peer_gateways *peer_gateways);
/** Closes the connection that was opened for a seed, once the seed's VM is
 * known. Of two connections to a gateway under this VM's name, each would take
 * over from the other there. */
void peer_gateways_remove_seed(
    struct peer_gateways *peer_gateways, const char *address, int port);

#endif
