/** @file
 * The entry gateway of one VM: one process, one loop. Controllers write their
 * part of the blackboard and read the others'.
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
#include "gateway/config.h"
#include "h1/client.h"
#include "h1/server.h"
#include "platform/store.h"

struct config_watch;
struct directory;
struct peer_gateways;
struct message;
struct ownership;
struct quarantine;
struct recorder;
struct server_watch;
struct turns;

/** What the controllers know. */
struct gateway_blackboard {
	int64_t started_us;
	struct gateway_config *config; /**< in force; NULL: none yet */
	int64_t
	    config_confirmed_at_us; /**< when it was last known to be newest */
	struct backends backends;
	bool backends_loaded; /**< the list was read once */
	bool stopping;
	bool stopped;
	int64_t stop_started_us; /**< when the stop began */
};

struct gateway {
	uv_loop_t loop;
	struct settings settings;
	const char *settings_path;
	int64_t settings_modified_us; /**< time of the file that was read */
	int64_t settings_checked_us;
	struct counters counters;
	struct rng rng;
	struct gateway_blackboard blackboard;
	struct h1_client *http_client; /**< to backend servers and the store */
	struct h1_server *caller_server;
	struct store *store;
	struct list requests; /**< of struct request */
	struct config_watch *config_watch;
	struct server_watch *server_watch;
	struct directory *directory;
	struct peer_gateways *peer_gateways;
	struct ownership *ownership;
	struct recorder *recorder;
	struct turns *turns;
	struct quarantine *quarantine;
	uv_timer_t tick_timer;
	uv_signal_t signals[3];
};

/** Runs `guavakeel gateway`. */
int gateway_main(int argc, char **argv);

/* The configuration as the store and other gateways tell it. */
struct config_watch *config_watch_create(struct gateway *gateway);
void config_watch_destroy(struct config_watch *watch);
/** Takes an encoded configuration; an older version than that in force is
 * ignored. */
void config_watch_apply(
    struct config_watch *watch, const void *data, size_t len, const char *from);
/** A gateway that reaches the store has a version in force: confirms this
 * one's, or asks for a newer one if the store does not bring it. */
void config_watch_handle_peer_version(
    struct config_watch *watch, const char *vm, uint64_t version);
/** Gives another gateway the configuration in force. */
void config_watch_send(struct config_watch *watch, const char *vm);

/* The list of backend servers. */
struct server_watch *server_watch_create(struct gateway *gateway);
void server_watch_destroy(struct server_watch *watch);
/** Gives another gateway the list. */
void server_watch_send_list(struct server_watch *watch, const char *vm);
/** Takes the list of another gateway while the store does not give it. */
void server_watch_handle_list(
    struct server_watch *watch, const struct message *message);

/* Answers to where to connect, whether this VM is ready, and its counters. */
struct directory *directory_create(struct gateway *gateway, struct error *err);
void directory_destroy(struct directory *directory);

#endif
