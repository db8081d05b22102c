/** @file
 * Workspaces of a configuration: the table of their keys, the workspace that a
 * request belongs to, and the scope of ids in it.
 */
#ifndef GATEWAY_WORKSPACES_H
#define GATEWAY_WORKSPACES_H

#include <stdbool.h>
#include <stddef.h>

#include "gateway/config.h"

struct request;

/** Adds a copy of a workspace without keys. Returns NULL if there is one of the
 * same name. */
struct workspace *
workspaces_add(struct gateway_config *config, const struct workspace *fields);
/** Adds a key to a workspace; does nothing if a workspace has it. */
void workspaces_add_key(struct gateway_config *config,
    const struct workspace *workspace, const char *key, size_t len);
/** Returns the workspace that has a key, or NULL. */
const struct workspace *workspaces_find(
    const struct gateway_config *config, const char *key, size_t len);
/** Returns the key of a digest, or NULL. The digest must have been made with
 * the digest key of this configuration. */
const struct workspace_key *
workspaces_find_digest(const struct gateway_config *config,
    const uint8_t digest[WORKSPACE_KEY_DIGEST_BYTES]);
/** Frees the workspaces and keys of a configuration. */
void workspaces_free(struct gateway_config *config);

/** Finds the workspace of a request by its key. Refuses the request and returns
 * false if its route needs the key of a workspace and it has none. */
bool workspaces_identify(struct request *request);

/** Returns whether a request that the configuration in force does not allow may
 * be allowed by another version that may be in force: a newer one that this VM
 * does not know of, or an earlier one that other VMs may still apply. Without
 * workspaces, earlier ones are not considered. */
bool workspaces_other_version_may_allow(const struct request *request);

/** Writes the form of a program's or turn's id in which no other workspace has
 * it. Without a workspace that is the id itself. */
void workspace_scope_id(
    const struct workspace *workspace, const char *id, char scoped[NAME_BYTES]);

#endif
