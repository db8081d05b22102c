#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "gateway/request.h"
#include "gateway/workspace_counters.h"
#include "gateway/workspaces.h"

enum {
	RETRY_AFTER_STALE_US = 500 * US_PER_MS,
	/* Bytes of a key's digest that the table is searched by. Callers can't
	 * aim at them, as they do not know the key of the digest. */
	INDEX_BYTES = 8,
	/* First byte of a scope. Values of header fields can't contain it, so
	 * that no caller can name an id of another scope. */
	SCOPE_MARK = '\001',
	/* Longest id that is kept when it gets a scope. */
	SCOPED_ID_MAX = NAME_BYTES - WORKSPACE_SCOPE_BYTES,
};

static void
digest_key(const struct gateway_config *config, const char *key, size_t len,
    uint8_t digest[WORKSPACE_KEY_DIGEST_BYTES])
{
	crypto_generichash(digest, WORKSPACE_KEY_DIGEST_BYTES,
	    (const unsigned char *)key, len, config->digest_key,
	    sizeof(config->digest_key));
}

const struct workspace_key *
workspaces_find_digest(const struct gateway_config *config,
    const uint8_t digest[WORKSPACE_KEY_DIGEST_BYTES])
{
	struct workspace_key *found = NULL;

	HASH_FIND(hh, config->keys, digest, INDEX_BYTES, found);
	if (found == NULL ||
	    sodium_memcmp(found->digest, digest, WORKSPACE_KEY_DIGEST_BYTES) !=
		0)
		return NULL;
	return found;
}

/* Derives the scope from the name, so that all gateways and all versions of the
 * configuration have the same. */
static void
set_scope(struct workspace *workspace)
{
	struct digest digest =
	    digest_chain(NULL, workspace->name, strlen(workspace->name));
	char text[DIGEST_TEXT_BYTES];

	digest_format(&digest, text);
	snprintf(workspace->scope, sizeof(workspace->scope), "%c%.16s",
	    SCOPE_MARK, text);
}

struct workspace *
workspaces_add(struct gateway_config *config, const struct workspace *fields)
{
	struct workspace *workspace = NULL;

	HASH_FIND_STR(config->workspaces, fields->name, workspace);
	if (workspace != NULL)
		return NULL;
	workspace = xcalloc(1, sizeof(*workspace));
	*workspace = *fields;
	set_scope(workspace);
	HASH_ADD_STR(config->workspaces, name, workspace);
	return workspace;
}

void
workspaces_add_key(struct gateway_config *config,
    const struct workspace *workspace, const char *key, size_t len)
{
	struct workspace_key *added;

	if (sodium_is_zero(config->digest_key, sizeof(config->digest_key)))
		randombytes_buf(config->digest_key, sizeof(config->digest_key));
	if (workspaces_find(config, key, len) != NULL)
		return;
	added = xcalloc(1, sizeof(*added));
	digest_key(config, key, len, added->digest);
	added->workspace = workspace;
	HASH_ADD(hh, config->keys, digest, INDEX_BYTES, added);
}

const struct workspace *
workspaces_find(
    const struct gateway_config *config, const char *key, size_t len)
{
	uint8_t digest[WORKSPACE_KEY_DIGEST_BYTES];
	const struct workspace_key *found;

	if (config->keys == NULL)
		return NULL;
	digest_key(config, key, len, digest);
	found = workspaces_find_digest(config, digest);
	return found != NULL ? found->workspace : NULL;
}

void
workspaces_free(struct gateway_config *config)
{
	struct workspace_key *key, *next_key;
	struct workspace *workspace, *next_workspace;

	HASH_ITER (hh, config->keys, key, next_key) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(config->keys, key);
		free(key);
	}
	HASH_ITER (hh, config->workspaces, workspace, next_workspace) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(config->workspaces, workspace);
		free(workspace);
	}
}

/* Returns whether a version of the configuration allows the request. */
static bool
config_allows(
    const struct gateway_config *config, const struct request *request)
{
	const struct h1_head *head = h1_exchange_head(request->exchange);
	const struct route *route = request_route_in(config, head);
	const char *key;
	size_t len = 0;

	if (route == NULL)
		return false;
	if (!config->has_workspaces || route->anonymous)
		return true;
	key = platform_request_key(&head->headers, &len);
	return key != NULL && workspaces_find(config, key, len) != NULL;
}

/* Returns whether a version that was replaced so recently that other VMs may
 * still apply it allows the request. */
static bool
replaced_version_allows(const struct request *request)
{
	const struct gateway *gateway = request->gateway;
	int64_t since_us =
	    clock_monotonic_us() - gateway->settings.gateway_config_apply_us;

	/* This VM does not know the versions before its first one. */
	if (gateway->blackboard.config_loaded_us >= since_us)
		return true;
	for (size_t i = 0; i < REPLACED_CONFIGS_MAX; i++) {
		const struct gateway_config *config =
		    gateway->blackboard.replaced_configs[i];

		if (config != NULL && config->replaced_us >= since_us &&
		    config_allows(config, request))
			return true;
	}
	return false;
}

bool
workspaces_other_version_may_allow(const struct request *request)
{
	if (config_watch_may_be_stale(request->gateway))
		return true;
	return request->config->has_workspaces &&
	    replaced_version_allows(request);
}

bool
workspaces_identify(struct request *request)
{
	const struct h1_head *head = h1_exchange_head(request->exchange);
	const struct gateway *gateway = request->gateway;
	const char *key;
	size_t len = 0;

	if (!request->config->has_workspaces)
		return true;
	key = platform_request_key(&head->headers, &len);
	if (key != NULL)
		request->workspace = workspaces_find(request->config, key, len);
	if (request->workspace != NULL)
		workspace_counters_add_request(
		    gateway->workspace_counters, request->workspace->name);
	if (request->workspace != NULL &&
	    config_watch_may_have_missed_version(gateway)) {
		request_refuse(request, REFUSAL_STALE_CONFIG,
		    RETRY_AFTER_STALE_US, "the key may have been revoked");
		return false;
	}
	if (request->workspace != NULL || request->route->anonymous)
		return true;
	if (workspaces_other_version_may_allow(request))
		request_refuse(
		    request, REFUSAL_STALE_CONFIG, RETRY_AFTER_STALE_US, NULL);
	else
		request_refuse(request, REFUSAL_UNKNOWN_KEY, 0,
		    key != NULL ? "no workspace has this key" : "no key");
	return false;
}

void
workspace_scope_id(
    const struct workspace *workspace, const char *id, char scoped[NAME_BYTES])
{
	char text[DIGEST_TEXT_BYTES];
	struct digest digest;

	if (workspace == NULL) {
		snprintf(scoped, NAME_BYTES, "%s", id);
		return;
	}
	if (strlen(id) <= SCOPED_ID_MAX) {
		snprintf(scoped, NAME_BYTES, "%s%s", id, workspace->scope);
		return;
	}
	/* The digest replaces an id that leaves no room for the scope. The mark
	 * in front keeps it apart from ids that look like a digest. */
	digest = digest_chain(NULL, id, strlen(id));
	digest_format(&digest, text);
	snprintf(scoped, NAME_BYTES, "%c%.45s%s", SCOPE_MARK, text,
	    workspace->scope);
}
