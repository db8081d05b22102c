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
};

/** Sets every setting to its default. */
void settings_defaults(struct settings *settings);
/** Reads an INI file. All findings are collected; returns false if there are
 * any. */
bool settings_load(
    struct settings *settings, const char *path, struct findings *findings);

#endif
