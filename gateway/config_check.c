#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "gateway/config_check.h"
#include "gateway/workspaces.h"

enum {
	/* Requests that one program may send at once, as dispatch/caps assumes.
	 * Below it, a single program is refused. */
	PROGRAM_REQUESTS = 8,
	LOCATION_BYTES = 2 * NAME_BYTES,
};

/* A member of a structure and its name in the JSON form. */
struct member {
	const char *name;
	size_t offset;
	size_t size;
	bool text;
};

#define MEMBER(type, field, json) \
	{ \
		.name = (json), .offset = offsetof(type, field), \
		.size = sizeof(((type *)NULL)->field) \
	}
#define TEXT_MEMBER(type, field, json) \
	{ \
		.name = (json), .offset = offsetof(type, field), \
		.size = sizeof(((type *)NULL)->field), .text = true \
	}

static const struct member route_members[] = {
    TEXT_MEMBER(struct route, name, "name"),
    MEMBER(struct route, kind, "kind"),
    MEMBER(struct route, timeout_us, "timeoutMs"),
    MEMBER(struct route, latency_target_us, "targetLatencyMs"),
    MEMBER(struct route, priority, "priority"),
    MEMBER(struct route, max_attempts, "maxAttempts"),
    MEMBER(struct route, uses_affinity, "sessionAffinity"),
    MEMBER(struct route, anonymous, "allowAnonymous"),
    MEMBER(struct route, resumable, "resumable"),
    MEMBER(struct route, retained, "retained"),
    MEMBER(struct route, retention_us, "retentionS"),
    {0},
};

static const struct member service_members[] = {
    TEXT_MEMBER(struct service, health_path, "healthPath"),
    MEMBER(struct service, max_connections, "maxConnections"),
    MEMBER(struct service, models, "engine"),
    MEMBER(struct service, tokens_per_event, "tokensPerEvent"),
    MEMBER(struct service, kv_tokens, "kvCapacity"),
    {0},
};

static const struct member workspace_members[] = {
    MEMBER(struct workspace, rate_per_s, "ratePerS"),
    MEMBER(struct workspace, burst, "burst"),
    {0},
};

static const char *
route_label(const struct route *route)
{
	return route->name[0] != '\0' ? route->name : route->key;
}

static void
check_targets(const struct gateway_config *config, const struct route *route,
    const char *location, struct findings *findings)
{
	uint64_t total = 0;

	for (size_t i = 0; i < route->target_count; i++) {
		const struct route_target *target = &route->targets[i];

		total += target->weight;
		if (gateway_config_find_service(config, target->service) ==
		    NULL)
			finding_add_warning(findings, location, 0,
			    "service %s is not declared", target->service);
	}
	if (route->target_count > 0 && total == 0)
		finding_add_warning(
		    findings, location, 0, "all backends have weight 0");
}

static void
check_route(const struct gateway_config *config, const struct route *route,
    struct findings *findings)
{
	char location[LOCATION_BYTES];

	snprintf(location, sizeof(location), "route %s", route_label(route));
	check_targets(config, route, location, findings);
	if (route->timeout_us < route->latency_target_us)
		finding_add_warning(findings, location, 0,
		    "timeoutMs is below targetLatencyMs");
	if (route->retained && route->retention_us < route->timeout_us)
		finding_add_warning(findings, location, 0,
		    "retentionS is shorter than timeoutMs");
}

static bool
has_route(const struct gateway_config *config, const char *service)
{
	for (const struct route *route = config->routes; route != NULL;
	     route = route->hh.next) {
		for (size_t i = 0; i < route->target_count; i++) {
			if (strcmp(route->targets[i].service, service) == 0)
				return true;
		}
	}
	return false;
}

static void
check_service(const struct gateway_config *config,
    const struct service *service, struct findings *findings)
{
	char location[LOCATION_BYTES];

	if (has_route(config, service->name))
		return;
	snprintf(location, sizeof(location), "service %s", service->name);
	finding_add_warning(findings, location, 0, "no route leads to it");
}

static void
check_workspace(const struct workspace *workspace, struct findings *findings)
{
	char location[LOCATION_BYTES];

	if (workspace->rate_per_s <= 0)
		return;
	snprintf(location, sizeof(location), "workspace %s", workspace->name);
	if (workspace->burst + workspace->rate_per_s < PROGRAM_REQUESTS)
		finding_add_warning(findings, location, 0,
		    "burst and ratePerS together are below the %d requests of "
		    "one program",
		    PROGRAM_REQUESTS);
	if (workspace->burst < workspace->rate_per_s)
		finding_add_warning(
		    findings, location, 0, "burst is below ratePerS");
}

void
gateway_config_check(
    const struct gateway_config *config, struct findings *findings)
{
	for (const struct route *route = config->routes; route != NULL;
	     route = route->hh.next)
		check_route(config, route, findings);
	for (const struct service *service = config->services; service != NULL;
	     service = service->hh.next)
		check_service(config, service, findings);
	for (const struct workspace *workspace = config->workspaces;
	     workspace != NULL; workspace = workspace->hh.next)
		check_workspace(workspace, findings);
}

static struct config_change *
add_change(struct list *changes, const char *kind, const char *name,
    enum config_change_action action)
{
	struct config_change *change = xcalloc(1, sizeof(*change));

	change->kind = kind;
	change->name = xstrdup(name);
	change->action = action;
	list_append(changes, &change->link);
	return change;
}

static void
add_field(struct config_change *change, const char *name)
{
	change->fields[change->field_count++] = name;
}

static bool
member_equals(const struct member *member, const void *from, const void *to)
{
	const char *a = (const char *)from + member->offset;
	const char *b = (const char *)to + member->offset;

	return (member->text ? strncmp(a, b, member->size)
			     : memcmp(a, b, member->size)) == 0;
}

static void
compare_members(struct config_change *change, const struct member *members,
    const void *from, const void *to)
{
	for (; members->name != NULL; members++) {
		if (!member_equals(members, from, to))
			add_field(change, members->name);
	}
}

static void
drop_if_unchanged(struct config_change *change)
{
	if (change->field_count > 0)
		return;
	list_remove(&change->link);
	free(change->name);
	free(change);
}

static bool
targets_equal(const struct route *from, const struct route *to)
{
	if (from->target_count != to->target_count)
		return false;
	for (size_t i = 0; i < from->target_count; i++) {
		if (from->targets[i].weight != to->targets[i].weight ||
		    strcmp(from->targets[i].service, to->targets[i].service) !=
			0)
			return false;
	}
	return true;
}

static const struct route *
find_route(const struct gateway_config *config, const char *key)
{
	struct route *route = NULL;

	HASH_FIND_STR(config->routes, key, route);
	return route;
}

static void
compare_routes(const struct gateway_config *from,
    const struct gateway_config *to, struct list *changes)
{
	for (const struct route *old = from->routes; old != NULL;
	     old = old->hh.next) {
		if (find_route(to, old->key) == NULL)
			add_change(changes, "route", route_label(old),
			    CONFIG_CHANGE_REMOVED);
	}
	for (const struct route *new = to->routes; new != NULL;
	     new = new->hh.next) {
		const struct route *old = find_route(from, new->key);
		struct config_change *change = add_change(changes, "route",
		    route_label(new),
		    old == NULL ? CONFIG_CHANGE_ADDED : CONFIG_CHANGE_CHANGED);

		if (old == NULL)
			continue;
		compare_members(change, route_members, old, new);
		if (!targets_equal(old, new))
			add_field(change, "backends");
		drop_if_unchanged(change);
	}
}

static void
compare_services(const struct gateway_config *from,
    const struct gateway_config *to, struct list *changes)
{
	for (const struct service *old = from->services; old != NULL;
	     old = old->hh.next) {
		if (gateway_config_find_service(to, old->name) == NULL)
			add_change(changes, "service", old->name,
			    CONFIG_CHANGE_REMOVED);
	}
	for (const struct service *new = to->services; new != NULL;
	     new = new->hh.next) {
		const struct service *old =
		    gateway_config_find_service(from, new->name);
		struct config_change *change = add_change(changes, "service",
		    new->name,
		    old == NULL ? CONFIG_CHANGE_ADDED : CONFIG_CHANGE_CHANGED);

		if (old == NULL)
			continue;
		compare_members(change, service_members, old, new);
		drop_if_unchanged(change);
	}
}

static const struct workspace *
find_workspace(const struct gateway_config *config, const char *name)
{
	struct workspace *workspace = NULL;

	HASH_FIND_STR(config->workspaces, name, workspace);
	return workspace;
}

/* Returns the number of keys that a workspace has in one configuration and not
 * in another. A key that another workspace has there is counted. */
static size_t
count_missing_keys(const struct gateway_config *from,
    const struct gateway_config *in, const char *name)
{
	size_t count = 0;

	for (const struct workspace_key *key = from->keys; key != NULL;
	     key = key->hh.next) {
		const struct workspace_key *other;

		if (strcmp(key->workspace->name, name) != 0)
			continue;
		other = workspaces_find_digest(in, key->digest);
		if (other == NULL || strcmp(other->workspace->name, name) != 0)
			count++;
	}
	return count;
}

/* A rate of 0 is no cap. */
static bool
lowers_cap(const struct workspace *from, const struct workspace *to)
{
	if (to->rate_per_s <= 0)
		return false;
	return from->rate_per_s <= 0 || to->rate_per_s < from->rate_per_s ||
	    to->burst < from->burst;
}

static void
compare_workspaces(const struct gateway_config *from,
    const struct gateway_config *to, struct list *changes)
{
	struct config_change *change;

	for (const struct workspace *old = from->workspaces; old != NULL;
	     old = old->hh.next) {
		if (find_workspace(to, old->name) != NULL)
			continue;
		change = add_change(
		    changes, "workspace", old->name, CONFIG_CHANGE_REMOVED);
		change->keys_revoked = count_missing_keys(from, to, old->name);
	}
	for (const struct workspace *new = to->workspaces; new != NULL;
	     new = new->hh.next) {
		const struct workspace *old = find_workspace(from, new->name);

		change = add_change(changes, "workspace", new->name,
		    old == NULL ? CONFIG_CHANGE_ADDED : CONFIG_CHANGE_CHANGED);
		change->keys_added = count_missing_keys(to, from, new->name);
		if (old == NULL)
			continue;
		change->keys_revoked = count_missing_keys(from, to, new->name);
		change->cap_lowered = lowers_cap(old, new);
		compare_members(change, workspace_members, old, new);
		if (old->has_priority != new->has_priority ||
		    old->priority != new->priority)
			add_field(change, "priority");
		if (change->keys_added + change->keys_revoked > 0)
			add_field(change, "apiKeys");
		drop_if_unchanged(change);
	}
}

void
gateway_config_compare(const struct gateway_config *from,
    const struct gateway_config *to, struct list *changes)
{
	compare_routes(from, to, changes);
	compare_services(from, to, changes);
	compare_workspaces(from, to, changes);
}

void
config_changes_free(struct list *changes)
{
	list_for_each_safe (change, tmp, changes, struct config_change, link) {
		list_remove(&change->link);
		free(change->name);
		free(change);
	}
}

const char *
config_change_action_name(enum config_change_action action)
{
	static const char *const names[] = {
	    [CONFIG_CHANGE_ADDED] = "added",
	    [CONFIG_CHANGE_REMOVED] = "removed",
	    [CONFIG_CHANGE_CHANGED] = "changed",
	};

	return names[action];
}
