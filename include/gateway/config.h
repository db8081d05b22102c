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

/** How often a route's requests may run. */
enum route_kind {
	ROUTE_SAFE,   /**< may run more than once */
	ROUTE_UNSAFE, /**< may run once at most */
	ROUTE_STREAM, /**< response is an event stream; may run once at most,
			 unless resumable */
};

/** A service that takes a share of a route's requests. */
struct route_target {
	char service[NAME_BYTES];
	uint32_t weight;
};

/** Where requests of a host and path prefix go, and how they are run. */
struct route {
	UT_hash_handle hh; /**< in the configuration, by key */
	char *key;         /**< host, a space, path prefix */
	char name[NAME_BYTES];
	enum route_kind kind;
	int64_t timeout_us;        /**< until the end of a response */
	int64_t latency_target_us; /**< until a response is too late */
	uint32_t priority;         /**< 0 is the most urgent */
	uint32_t max_attempts; /**< backend servers that may run a request */
	bool uses_affinity;    /**< a server's cache makes requests faster */
	bool anonymous;        /**< callers need no key */
	bool resumable;        /**< a stream may continue at another server */
	bool retained; /**< turns are retained for later turns to continue */
	int64_t retention_us; /**< how long turns are retained */
	struct route_target *targets;
	size_t target_count;
};

/** A pool of equal backend servers. */
struct service {
	UT_hash_handle hh; /**< in the configuration, by name */
	char name[NAME_BYTES];
	char health_path[NAME_BYTES];
	uint32_t max_connections; /**< to one server, from all VMs together */
	bool models;              /**< its servers run models */
	uint32_t tokens_per_event;
	uint64_t kv_tokens; /**< cache size of one server */
};

enum {
	WORKSPACE_SCOPE_BYTES = 18,
	WORKSPACE_KEY_DIGEST_BYTES = 32,
};

/** A workspace, whose callers are known by their keys. */
struct workspace {
	UT_hash_handle hh; /**< in the configuration, by name */
	char name[NAME_BYTES];
	/** Suffix of the ids of its programs and turns; see
	 * workspace_scope_id(). */
	char scope[WORKSPACE_SCOPE_BYTES];
	bool has_priority;
	uint32_t priority; /**< 0 is the most urgent */
	double
	    rate_per_s; /**< cap on its requests, all VMs together; 0: none */
	double burst;   /**< requests beyond the rate at a time */
};

/** A key of a workspace, of which only a keyed hash is kept. */
struct workspace_key {
	UT_hash_handle hh; /**< in the configuration, by the digest's start */
	uint8_t digest[WORKSPACE_KEY_DIGEST_BYTES];
	const struct workspace *workspace;
};

/** A version of the configuration, with a reference count. */
struct gateway_config {
	uint64_t version;
	unsigned int references;
	int64_t replaced_us;      /**< when this VM applied a newer version */
	struct route *routes;     /**< uthash by key */
	struct service *services; /**< uthash by name */
	/** Whether callers need the key of a workspace. */
	bool has_workspaces;
	struct workspace *workspaces; /**< uthash by name */
	struct workspace_key *keys;   /**< uthash by the digest's start */
	/** Random key of the digests of keys. */
	uint8_t digest_key[WORKSPACE_KEY_DIGEST_BYTES];
	struct h1_limits limits;
};

/** Returns an empty configuration. The caller holds the only reference. */
struct gateway_config *gateway_config_create(uint64_t version);
/** Adds a reference and returns config. A request holds one to the
 * configuration that was in force when it arrived. */
struct gateway_config *gateway_config_ref(struct gateway_config *config);
/** Drops a reference; config may be NULL. */
void gateway_config_unref(struct gateway_config *config);
/** Adds an empty route, which replaces one of the same host and prefix. Returns
 * NULL when host and prefix are too long. */
struct route *gateway_config_add_route(
    struct gateway_config *config, const char *host, const char *prefix);
void
route_add_target(struct route *route, const char *service, uint32_t weight);
/** Returns the service of a name, which is added if there is none. */
struct service *
gateway_config_add_service(struct gateway_config *config, const char *name);
/** Returns the route with the longest prefix of the path, or NULL. host may
 * have a port. */
const struct route *gateway_config_find_route(
    const struct gateway_config *config, const char *host, const char *path);
/** Returns the service of a name, or NULL. */
const struct service *gateway_config_find_service(
    const struct gateway_config *config, const char *name);
/** Returns the target of a request, chosen by weight: the same spread value
 * gives the same target as long as the weights stay the same. Returns NULL when
 * no target has a weight. */
const struct route_target *
route_choose_target(const struct route *route, uint64_t spread);

#endif
