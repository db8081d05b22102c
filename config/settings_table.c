#include "config/settings_table.h"
#include "common/clock.h"
#include "config/settings.h"

enum {
	MAX_PORT = 65535,
	MAX_PARTITIONS = SETTINGS_PARTITIONS_MAX,
	MAX_STORE_READERS = 16,
	MAX_CONNECTIONS = 1 << 20,
	MAX_SIZE_BYTES = 1 << 30,
	MIN_RECORD_BYTES = 64 << 10,  /* a turn's longest chain fits */
	MIN_APPEND_BYTES = 512 << 10, /* full batches of the ledger fit */
	MAX_RECORD_BYTES = 64 << 20,
};

#define MAX_RETENTION_US ((int64_t)365 * 24 * 3600 * US_PER_S)
#define MAX_MEMORY_BYTES ((int64_t)1 << 40)
#define MAX_DURATION_US  ((int64_t)24 * 3600 * US_PER_S)

#define SETTING(section, key, kind, field, min, max, requirement) \
	{ \
		section, key, kind, offsetof(struct settings, field), \
		    sizeof(((struct settings *)0)->field), min, max, \
		    requirement \
	}

const struct setting settings_table[SETTING_COUNT] = {
    [VM_NAME] =
	SETTING("vm", "name", SETTING_NAME, vm_name, 0, 0, SETTING_REQUIRED),
    [VM_FAILURE_DOMAIN] = SETTING("vm", "failure_domain", SETTING_NAME,
	failure_domain, 0, 0, SETTING_REQUIRED),
    [VM_REGION] =
	SETTING("vm", "region", SETTING_NAME, region, 0, 0, SETTING_REQUIRED),
    [LISTEN_ADDRESS] = SETTING("listen", "address", SETTING_ADDRESS,
	listen_address, 0, 0, SETTING_DAEMON),
    [LISTEN_PORT] = SETTING("listen", "port", SETTING_PORT, listen_port, 0,
	MAX_PORT, SETTING_OPTIONAL),
    [LISTEN_PEER_ADDRESS] = SETTING("listen", "peer_address", SETTING_ADDRESS,
	peer_address, 0, 0, SETTING_OPTIONAL),
    [LISTEN_PEER_PORT] = SETTING("listen", "peer_port", SETTING_PORT, peer_port,
	0, MAX_PORT, SETTING_OPTIONAL),
    [LOG_ADDRESS] = SETTING(
	"log", "address", SETTING_ADDRESS, log_address, 0, 0, SETTING_DAEMON),
    [LOG_PORT] = SETTING(
	"log", "port", SETTING_PORT, log_port, 1, MAX_PORT, SETTING_DAEMON),
    [LOG_RETENTION] = SETTING("log", "retention", SETTING_DURATION,
	log_retention_us, US_PER_S, MAX_RETENTION_US, SETTING_OPTIONAL),
    [MEMBERS_ADDRESS] = SETTING("members", "address", SETTING_ADDRESS,
	members_address, 0, 0, SETTING_OPTIONAL),
    [MEMBERS_PORT] = SETTING("members", "port", SETTING_PORT, members_port, 1,
	MAX_PORT, SETTING_OPTIONAL),
    [MEMBERS_POLL] = SETTING("members", "poll_interval", SETTING_DURATION,
	members_poll_us, US_PER_MS, MAX_DURATION_US, SETTING_OPTIONAL),
    [LIMITS_BODY] = SETTING("limits", "max_body", SETTING_SIZE, max_body_bytes,
	1, MAX_SIZE_BYTES, SETTING_OPTIONAL),
    [LIMITS_HEADER] = SETTING("limits", "max_header", SETTING_SIZE,
	max_header_bytes, 1, MAX_SIZE_BYTES, SETTING_OPTIONAL),
    [LIMITS_SEND_QUEUE] = SETTING("limits", "max_send_queue", SETTING_SIZE,
	max_send_queue_bytes, 1, MAX_SIZE_BYTES, SETTING_OPTIONAL),
    [LIMITS_CONNECTIONS] = SETTING("limits", "max_connections", SETTING_NUMBER,
	max_connections, 1, MAX_CONNECTIONS, SETTING_OPTIONAL),
    [LIMITS_STOP_GRACE] = SETTING("limits", "stop_grace", SETTING_DURATION,
	stop_grace_us, US_PER_MS, MAX_DURATION_US, SETTING_OPTIONAL),
    [KEYS_TLS_CERTIFICATE] = SETTING("keys", "tls_certificate", SETTING_PATH,
	tls_certificate, 0, 0, SETTING_OPTIONAL),
    [KEYS_TLS_KEY] = SETTING(
	"keys", "tls_key", SETTING_PATH, tls_key, 0, 0, SETTING_OPTIONAL),
    [KEYS_OPERATOR] = SETTING("keys", "operator_key_file", SETTING_PATH,
	operator_key_file, 0, 0, SETTING_OPTIONAL),
    [KEYS_PEER_SECRET] = SETTING("keys", "peer_secret_key_file", SETTING_PATH,
	peer_secret_key_file, 0, 0, SETTING_OPTIONAL),
    [DIAGNOSTICS_LEVEL] = SETTING("diagnostics", "level", SETTING_LEVEL,
	log_level, 0, 0, SETTING_OPTIONAL),
    [GATEWAY_CALLERS] = SETTING("gateway", "callers", SETTING_ENDPOINT,
	gateway_callers, 0, 0, SETTING_GATEWAY),
    [GATEWAY_READINESS] = SETTING("gateway", "readiness", SETTING_ENDPOINT,
	gateway_readiness, 0, 0, SETTING_GATEWAY),
    [GATEWAY_DIRECTORY] = SETTING("gateway", "directory", SETTING_ENDPOINT,
	gateway_directory, 0, 0, SETTING_GATEWAY),
    [GATEWAY_PEERS] = SETTING("gateway", "peers", SETTING_ENDPOINT,
	gateway_peers, 0, 0, SETTING_GATEWAY),
    [GATEWAY_METRICS] = SETTING("gateway", "metrics", SETTING_ENDPOINT,
	gateway_metrics, 0, 0, SETTING_OPTIONAL),
    [GATEWAY_RELAY] = SETTING("gateway", "relay", SETTING_ENDPOINT,
	gateway_relay, 0, 0, SETTING_OPTIONAL),
    [GATEWAY_STORE] = SETTING("gateway", "store", SETTING_ENDPOINT,
	gateway_store, 0, 0, SETTING_GATEWAY),
    [GATEWAY_PARTITIONS] = SETTING("gateway", "partitions", SETTING_NUMBER,
	gateway_partitions, 1, MAX_PARTITIONS, SETTING_GATEWAY),
    [GATEWAY_STORE_READERS] =
	SETTING("gateway", "store_readers", SETTING_NUMBER,
	    gateway_store_readers, 0, MAX_STORE_READERS, SETTING_OPTIONAL),
    [GATEWAY_SEEDS] = SETTING("gateway", "seeds", SETTING_LIST, gateway_seeds,
	0, 0, SETTING_OPTIONAL),
    [GATEWAY_DRAIN] = SETTING("gateway", "drain", SETTING_DURATION,
	gateway_drain_us, US_PER_MS, MAX_DURATION_US, SETTING_OPTIONAL),
    [GATEWAY_CONFIG_APPLY] = SETTING("gateway", "config_apply",
	SETTING_DURATION, gateway_config_apply_us, US_PER_MS, MAX_DURATION_US,
	SETTING_OPTIONAL),
    [GATEWAY_LEASE] = SETTING("gateway", "lease", SETTING_DURATION,
	gateway_lease_us, US_PER_MS, MAX_DURATION_US, SETTING_OPTIONAL),
    [GATEWAY_RECORD_MAX] =
	SETTING("gateway", "record_max", SETTING_SIZE, gateway_record_max_bytes,
	    MIN_RECORD_BYTES, MAX_RECORD_BYTES, SETTING_OPTIONAL),
    [GATEWAY_APPEND_MAX] =
	SETTING("gateway", "append_max", SETTING_SIZE, gateway_append_max_bytes,
	    MIN_APPEND_BYTES, MAX_SIZE_BYTES, SETTING_OPTIONAL),
    [CAPACITY_MEMORY] = SETTING("capacity", "memory", SETTING_SIZE,
	capacity_memory_bytes, 1, MAX_MEMORY_BYTES, SETTING_OPTIONAL),
};

const char *
setting_kind_description(enum setting_kind kind)
{
	switch (kind) {
	case SETTING_NAME:
		return "a name";
	case SETTING_ADDRESS:
		return "an IP address";
	case SETTING_PORT:
		return "a port number";
	case SETTING_DURATION:
		return "a duration with unit us, ms, s, min or h";
	case SETTING_SIZE:
		return "a size with unit B, KiB, MiB or GiB";
	case SETTING_NUMBER:
		return "a number without unit";
	case SETTING_PATH:
		return "a path";
	case SETTING_LEVEL:
		return "err, warning, notice, info or debug";
	case SETTING_ENDPOINT:
		return "of the form IP:PORT";
	case SETTING_LIST:
		return "a list of texts";
	}
	return "";
}
