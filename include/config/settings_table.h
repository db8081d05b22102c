/** @file
 * The keys of the settings file, with the form and the bounds of their values.
 */
#ifndef CONFIG_SETTINGS_TABLE_H
#define CONFIG_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum setting_kind {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_PORT,
	SETTING_DURATION,
	SETTING_SIZE,
	SETTING_NUMBER,
	SETTING_PATH,
	SETTING_LEVEL,
	SETTING_ENDPOINT, /**< "IP:port" */
	SETTING_LIST,     /**< texts, separated by commas */
};

/** The processes that require a setting. A file with a section [gateway] is a
 * gateway's, any other file is a daemon's. */
enum setting_requirement {
	SETTING_OPTIONAL,
	SETTING_REQUIRED,
	SETTING_DAEMON,  /**< required by daemons */
	SETTING_GATEWAY, /**< required by gateways */
};

/** Describes one key of the file and where its value is stored. */
struct setting {
	const char *section;
	const char *key;
	enum setting_kind kind;
	size_t offset; /**< offset in struct settings */
	size_t size;   /**< size of that member in bytes */
	int64_t min;   /**< least number: microseconds, bytes or a count */
	int64_t max;
	enum setting_requirement requirement;
};

/** Index into settings_table. */
enum setting_id {
	VM_NAME,
	VM_FAILURE_DOMAIN,
	VM_REGION,
	LISTEN_ADDRESS,
	LISTEN_PORT,
	LISTEN_PEER_ADDRESS,
	LISTEN_PEER_PORT,
	LOG_ADDRESS,
	LOG_PORT,
	LOG_RETENTION,
	MEMBERS_ADDRESS,
	MEMBERS_PORT,
	MEMBERS_POLL,
	LIMITS_BODY,
	LIMITS_HEADER,
	LIMITS_SEND_QUEUE,
	LIMITS_CONNECTIONS,
	LIMITS_STOP_GRACE,
	KEYS_TLS_CERTIFICATE,
	KEYS_TLS_KEY,
	KEYS_OPERATOR,
	KEYS_PEER_SECRET,
	DIAGNOSTICS_LEVEL,
	GATEWAY_CALLERS,
	GATEWAY_READINESS,
	GATEWAY_DIRECTORY,
	GATEWAY_PEERS,
	GATEWAY_METRICS,
	GATEWAY_RELAY,
	GATEWAY_STORE,
	GATEWAY_PARTITIONS,
	GATEWAY_STORE_READERS,
	GATEWAY_SEEDS,
	GATEWAY_DRAIN,
	GATEWAY_CONFIG_APPLY,
	GATEWAY_LEASE,
	GATEWAY_RECORD_MAX,
	GATEWAY_APPEND_MAX,
	CAPACITY_MEMORY,
	SETTING_COUNT,
};

extern const struct setting settings_table[SETTING_COUNT];

/** Returns a description of valid values of a kind, e.g. "an IP address". */
const char *setting_kind_description(enum setting_kind kind);

#endif
