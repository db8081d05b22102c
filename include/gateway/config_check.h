/** @file
 * Check of a declared configuration before it is sent: parts of it that have no
 * effect or contradict each other, and what differs from another one.
 */
#ifndef GATEWAY_CONFIG_CHECK_H
#define GATEWAY_CONFIG_CHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "common/finding.h"
#include "common/list.h"
#include "gateway/config.h"

enum {
	CONFIG_CHANGE_FIELDS = 16, /* most fields of a route */
};

/** What happens to a route, service or workspace. */
enum config_change_action {
	CONFIG_CHANGE_ADDED,
	CONFIG_CHANGE_REMOVED,
	CONFIG_CHANGE_CHANGED,
};

/** A route, service or workspace that differs between two configurations. */
struct config_change {
	struct list link;
	enum config_change_action action;
	const char *kind; /**< "route", "service" or "workspace" */
	char *name;       /**< a route without a name has its host and prefix */
	const char *fields[CONFIG_CHANGE_FIELDS]; /**< members that changed */
	size_t field_count;
	size_t keys_added;   /**< keys that the workspace did not have */
	size_t keys_revoked; /**< keys that the workspace no longer has */
	bool cap_lowered;    /**< rate or burst of the workspace */
};

/** Adds a warning for each part of a configuration that has no effect or
 * contradicts another one. What the decoder left out is not seen. */
void gateway_config_check(
    const struct gateway_config *config, struct findings *findings);

/** Appends the struct config_change that lead from one configuration to
 * another to an initialised list. Routes are matched by host and prefix. The
 * keys of both must have digests of the same digest key, see
 * platform_config_decode_like(). */
void gateway_config_compare(const struct gateway_config *from,
    const struct gateway_config *to, struct list *changes);
/** Frees the changes of a list. */
void config_changes_free(struct list *changes);
/** Returns "added", "removed" or "changed". */
const char *config_change_action_name(enum config_change_action action);

#endif
