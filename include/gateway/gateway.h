/** @file
 * The entry gateway of one VM, a process with one event loop. Its controllers
 * share state in the blackboard: each writes its own part and reads the parts
 * of the others.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "common/counter.h"
#include "common/list.h"
#include "common/rng.h"
#include "config/settings.h"
#include "dispatch/backends.h"
#include "dispatch/fleet_load.h"
#include "dispatch/reach.h"
#include "gateway/config.h"
#include "gateway/urgency.h"
#include "h1/client.h"
#include "h1/server.h"
#include "platform/store.h"

struct config_watch;
struct directory;
struct memory_bounds;
struct peer_gateways;
struct message;
struct ownership;
struct quarantine;
struct recorder;
struct path_watch;
struct server_limits;
struct server_watch;
struct turns;
struct workspace_caps;
struct workspace_counters;

enum {
	REPLACED_CONFIGS_MAX = 4,
};

/** State that the controllers share. */
struct gateway_blackboard {
	int64_t started_us;
	struct gateway_config *config; /**< the one in force; NULL: none yet */
	/** Versions before config that other VMs may still have in force,
	 * newest first; NULL: none. */
	struct gateway_config *replaced_configs[REPLACED_CONFIGS_MAX];
	int64_t config_loaded_us; /**< when the first version was applied */
	/** Last time at which config was known to be the newest version. */
	int64_t config_confirmed_at_us;
	struct backends backends;
	struct fleet_load fleet_load;
	struct reach reach; /**< of this VM to the servers */
	struct urgency urgency;
	/** Newest configuration of gateways that took requests of this one's
	 * callers. */
	uint64_t relayed_config_version;
	bool backends_loaded; /**< the list of servers was read once */
	/** When this VM last read the list from the store; 0: it does not read
	 * it, or can't. */
	int64_t servers_read_us;
	bool stopping;
	bool listeners_closed; /**< stopping, and takes no connections */
	bool grace_ended;      /**< stopping, and serves no requests */
	bool stopped;
	int64_t stop_started_us;
};

/** The gateway process: its loop, settings, connections and controllers. */
struct gateway {
	uv_loop_t loop;
	struct settings settings;
	const char *settings_path;
	int64_t settings_modified_us; /**< mtime of the file that was read */
	int64_t settings_checked_us;  /**< last check of the mtime */
	struct counters counters;
	struct workspace_counters *workspace_counters;
	struct rng rng;
	struct gateway_blackboard blackboard;
	struct h1_client *http_client; /**< to backend servers and the store */
	struct h1_server *caller_server;
	struct h1_server *relay_server; /**< NULL: not configured */
	struct store *store;
	struct list requests; /**< of struct request */
	struct config_watch *config_watch;
	struct server_watch *server_watch;
	struct server_limits *server_limits;
	struct workspace_caps *workspace_caps;
	struct directory *directory;
	struct memory_bounds *memory_bounds;
	struct peer_gateways *peer_gateways;
	struct ownership *ownership;
	struct recorder *recorder;
	struct path_watch *path_watch;
	struct turns *turns;
	struct quarantine *quarantine;
	uv_timer_t tick_timer;
	uv_timer_t memory_timer; /**< gives unused memory back */
	uv_signal_t signals[3];
};

/** Runs `guavakeel gateway`. Returns the exit status. */
int gateway_main(int argc, char **argv);

/* The configuration, which the store or another gateway delivers. */
struct config_watch *config_watch_create(struct gateway *gateway);
void config_watch_destroy(struct config_watch *watch);
/** Releases replaced versions and notes whether this gateway may be cut off
 * from the others. Called at each tick. */
void config_watch_tick(struct config_watch *watch);
/** Handles what another gateway's heartbeat tells of its configuration. If the
 * store delivers nothing, that gateway is asked for a newer version, or whether
 * the version in force here is still the newest. */
void config_watch_handle_heartbeat(
    struct config_watch *watch, const struct message *message);
/** Handles a question of another gateway for its configuration, or the reply.
 */
void config_watch_handle_message(
    struct config_watch *watch, const struct message *message);
/** Returns whether the configuration was last confirmed as the newest so long
 * ago that a newer version may have to be in force. */
bool config_watch_may_be_stale(const struct gateway *gateway);
/** Returns whether a newer version may have to be in force and other gateways
 * may have it. While the store alone is unavailable, no gateway has one. */
bool config_watch_may_have_missed_version(const struct gateway *gateway);

/* The list of backend servers. */
struct server_watch *server_watch_create(struct gateway *gateway);
void server_watch_destroy(struct server_watch *watch);
/** Sends the list to another gateway, unless it can't be read at present. */
/** Returns whether the list of servers is known as of a second ago or less. */
bool server_watch_is_current(const struct server_watch *watch);
void server_watch_send_list(struct server_watch *watch, const char *vm);
/** Asks the gateway that reads the list for this failure domain for its list if
 * that differs from the one known here. Called for each heartbeat. */
void server_watch_handle_heartbeat(struct server_watch *watch);
/** Applies another gateway's list while the store's list can't be read, or
 * while that gateway reads it for this one. */
void server_watch_handle_list(
    struct server_watch *watch, const struct message *message);

/* HTTP servers for the addresses of gateways, the readiness of this VM and its
 * metrics. */
/** Returns NULL when an address can't be bound. */
struct directory *directory_create(struct gateway *gateway, struct error *err);
void directory_destroy(struct directory *directory);

#endif
