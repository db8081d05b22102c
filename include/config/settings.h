/** @file
 * Settings of one process, read from an INI file. Unlike the configuration,
 * which all processes share, they describe the process itself.
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

/** The settings of a daemon or a gateway, grouped by section of the file. */
struct settings {
	/* [vm] */
	char vm_name[SETTING_BYTES];
	char failure_domain[SETTING_BYTES];
	char region[SETTING_BYTES];
	/* [listen] */
	char listen_address[SETTING_BYTES]; /**< for callers and operators */
	int listen_port;                    /**< 0: any free port */
	char peer_address[SETTING_BYTES];   /**< for other daemons */
	int peer_port;                      /**< 0: any free port */
	/* [log] */
	char log_address[SETTING_BYTES];
	int log_port;
	int64_t log_retention_us; /**< shortest lifetime of records */
	/* [members] */
	char members_address[SETTING_BYTES]; /**< the VM list's address */
	int members_port;
	int64_t members_poll_us;
	/* [limits] */
	size_t max_body_bytes;
	size_t max_header_bytes;
	size_t max_send_queue_bytes;
	int max_connections;
	int64_t stop_grace_us; /**< longest wait for calls when stopping */
	/* [keys] */
	char tls_certificate[SETTINGS_PATH_BYTES];
	char tls_key[SETTINGS_PATH_BYTES];
	char operator_key_file[SETTINGS_PATH_BYTES];
	char peer_secret_key_file[SETTINGS_PATH_BYTES];
	/* [diagnostics] */
	int log_level; /**< LOG_ERR .. LOG_DEBUG */
	/* [gateway]: endpoints are written as IP:port */
	bool gateway;                          /**< the file has this section */
	char gateway_callers[SETTING_BYTES];   /**< endpoint for callers */
	char gateway_readiness[SETTING_BYTES]; /**< readiness check endpoint */
	char gateway_directory[SETTING_BYTES]; /**< endpoint for address
						  requests */
	char gateway_peers[SETTING_BYTES];   /**< endpoint for other gateways */
	char gateway_metrics[SETTING_BYTES]; /**< metrics endpoint; "": none */
	/** Endpoint for requests of other gateways' callers; "": none. */
	char gateway_relay[SETTING_BYTES];
	char gateway_store[SETTING_BYTES]; /**< platform's store endpoint */
	int gateway_partitions; /**< partitions of a topic in the store */
	/** Gateways of a failure domain that read the store for all of them;
	 * 0: each reads it itself. */
	int gateway_store_readers;
	char gateway_seeds[SETTINGS_PATH_BYTES]; /**< initial peer endpoints,
						    separated by commas */
	int64_t gateway_drain_us; /**< longest time that a leaving server gets
				     new requests */
	int64_t gateway_config_apply_us; /**< longest time until a published
					    version is applied */
	int64_t gateway_lease_us;        /**< shortest lease of partitions */
	size_t gateway_record_max_bytes; /**< longest record of the store */
	size_t gateway_append_max_bytes; /**< longest append to the store */
	/* [capacity] */
	size_t capacity_memory_bytes; /**< memory of the VM; 0: not stated */
	/* [failure_domains] */
	struct settings_domain domains[SETTINGS_DOMAINS_MAX];
	size_t domain_count;
};

/** Splits "IP:port" into its parts. endpoint must have been accepted by
 * settings_load(). */
void settings_split_endpoint(
    const char *endpoint, char address[SETTING_BYTES], int *port);
/** Returns the region of a failure domain, or "" if the domain is unknown. */
const char *
settings_region(const struct settings *settings, const char *domain);

/** Sets every setting to its default. */
void settings_defaults(struct settings *settings);
/** Reads an INI file into settings, starting from the defaults. Adds all
 * errors to findings, and returns false if there are any. */
bool settings_load(
    struct settings *settings, const char *path, struct findings *findings);

#endif
