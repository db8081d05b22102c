/** @file
 * The declared configuration of an entry gateway: routes of callers' requests
 * to services, and limits on what callers may send.
 */
#ifndef GATEWAY_CONFIG_H
#define GATEWAY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "h1/server.h"
#include "record/record.h"

/** What a route's requests allow. */
enum route_kind {
	ROUTE_SAFE,   /**< may run more than once */
	ROUTE_UNSAFE, /**< may run once */
	ROUTE_STREAM, /**< answers in events; may run once unless resumable */
};

/** A service that takes a share of a route's requests. */
struct route_target {
	char service[NAME_BYTES];
	uint32_t weight;
};

struct route {
	UT_hash_handle hh; /**< in the configuration, by key */
	char *key;         /**< host, a space, path prefix */
	char name[NAME_BYTES];
	enum route_kind kind;
	int64_t timeout_us;        /**< longest time to the end of an answer */
	int64_t latency_target_us; /**< time within which an answer is useful */
	uint32_t priority;         /**< 0 is the most urgent */
	uint32_t max_attempts; /**< backend servers that may run a request */
	bool uses_affinity;    /**< a server's cache makes it faster */
	bool resumable;        /**< a stream may go on at another server */
	bool retained;         /**< turns are kept for those that follow */
	int64_t retention_us;  /**< for how long */
	struct route_target *targets;
	size_t target_count;
};

/** A pool of equal backend servers. */
struct service {
	UT_hash_handle hh; /**< in the configuration, by name */
	char name[NAME_BYTES];
	char health_path[NAME_BYTES];
	uint32_t max_connections; /**< to one server, from all VMs */
	bool models;              /**< its servers run models */
	uint32_t tokens_per_event;
	uint64_t kv_tokens; /**< cache of one server */
};

struct gateway_config {
	uint64_t version;
	unsigned int references;
	struct route *routes;     /**< uthash by key */
	struct service *services; /**< uthash by name */
	struct h1_limits limits;
};

/** Returns a configuration that the caller holds the only reference to. */
struct gateway_config *gateway_config_create(uint64_t version);
/** Requests keep the configuration that they came under. */
struct gateway_config *gateway_config_ref(struct gateway_config *config);
/** Gives a reference up; config may be NULL. */
void gateway_config_unref(struct gateway_config *config);
/** Adds an empty route; one of the same host and prefix gives way. */
struct route *gateway_config_add_route(
    struct gateway_config *config, const char *host, const char *prefix);
void
route_add_target(struct route *route, const char *service, uint32_t weight);
struct service *
gateway_config_add_service(struct gateway_config *config, const char *name);
/** Returns the route of the longest prefix that begins the path, or NULL. host
 * may carry a port. */
const struct route *gateway_config_find_route(
    const struct gateway_config *config, const char *host, const char *path);
const struct service *gateway_config_find_service(
    const struct gateway_config *config, const char *name);
/** Returns the target that a request goes to: requests of the same spread
 * value go to the same one while the weights stay. NULL: there is none. */
const struct route_target *
route_choose_target(const struct route *route, uint64_t spread);

#endif
