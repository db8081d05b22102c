/** @file
 * Settings of one process, from an INI file: what the process itself is.
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/finding.h"

enum {
	SETTING_BYTES = 128,
	SETTINGS_PATH_BYTES = 256,
	SETTINGS_DOMAINS_MAX = 64,
	SETTINGS_PARTITIONS_MAX = 64,
};

/** A failure domain and its region. */
struct settings_domain {
	char name[SETTING_BYTES];
	char region[SETTING_BYTES];
};

struct settings {
	/* [vm] */
	char vm_name[SETTING_BYTES];
	char failure_domain[SETTING_BYTES];
	char region[SETTING_BYTES];
	/* [listen] */
	char listen_address[SETTING_BYTES]; /**< for callers and operators */
	int listen_port;                    /**< 0: any free one */
	char peer_address[SETTING_BYTES];   /**< for other daemons */
	int peer_port;                      /**< 0: any free one */
	/* [log] */
	char log_address[SETTING_BYTES];
	int log_port;
	int64_t log_retention_us; /**< shortest time that it keeps records */
	/* [members] */
	char members_address[SETTING_BYTES]; /**< the platform's VM list */
	int members_port;
	int64_t members_poll_us;
	/* [limits] */
	size_t max_body_bytes;
	size_t max_header_bytes;
	size_t max_send_queue_bytes;
	int max_connections;
	int64_t stop_grace_us; /**< longest wait for calls in flight */
	/* [keys] */
	char tls_certificate[SETTINGS_PATH_BYTES];
	char tls_key[SETTINGS_PATH_BYTES];
	char operator_key_file[SETTINGS_PATH_BYTES];
	char peer_secret_key_file[SETTINGS_PATH_BYTES];
	/* [diagnostics] */
	int log_level; /**< LOG_ERR .. LOG_DEBUG */
	/* [gateway]: endpoints are of the form IP:port */
	bool gateway;                            /**< the section is there */
	char gateway_callers[SETTING_BYTES];     /**< requests to route */
	char gateway_readiness[SETTING_BYTES];   /**< whether it is ready */
	char gateway_directory[SETTING_BYTES];   /**< which VMs to use */
	char gateway_peers[SETTING_BYTES];       /**< other gateways */
	char gateway_metrics[SETTING_BYTES];     /**< counters; "": none */
	char gateway_store[SETTING_BYTES];       /**< the platform's store */
	int gateway_partitions;                  /**< of a topic in it */
	char gateway_seeds[SETTINGS_PATH_BYTES]; /**< peers to begin with */
	int64_t gateway_drain_us; /**< bound on new work to a leaving server */
	int64_t gateway_config_apply_us; /**< bound on a version's force */
	int64_t gateway_lease_us;        /**< shortest lease of the store */
	/* [failure_domains] */
	struct settings_domain domains[SETTINGS_DOMAINS_MAX];
	size_t domain_count;
};

/** Splits an endpoint that settings_load() has accepted. */
void settings_split_endpoint(
    const char *endpoint, char address[SETTING_BYTES], int *port);
/** Returns the region of a failure domain, or "" when it is not known. */
const char *
settings_region(const struct settings *settings, const char *domain);

/** Sets every setting to its default. */
void settings_defaults(struct settings *settings);
/** Reads an INI file. All findings are collected; returns false if there are
 * any. */
bool settings_load(
    struct settings *settings, const char *path, struct findings *findings);

#endif
