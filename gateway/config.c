#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "gateway/config.h"
#include "gateway/workspaces.h"

enum {
	KEY_BYTES = 2048, /* a host and path that are longer match no route */
};

struct gateway_config *
gateway_config_create(uint64_t version)
{
	struct gateway_config *config = xcalloc(1, sizeof(*config));

	config->version = version;
	config->references = 1;
	return config;
}

struct gateway_config *
gateway_config_ref(struct gateway_config *config)
{
	config->references++;
	return config;
}

static void
route_destroy(struct route *route)
{
	free(route->key);
	free(route->targets);
	free(route);
}

void
gateway_config_unref(struct gateway_config *config)
{
	struct route *route, *next_route;
	struct service *service, *next_service;

	if (config == NULL || --config->references > 0)
		return;
	HASH_ITER (hh, config->routes, route, next_route) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(config->routes, route);
		route_destroy(route);
	}
	HASH_ITER (hh, config->services, service, next_service) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(config->services, service);
		free(service);
	}
	workspaces_free(config);
	free(config);
}

/* Writes "host path" with the host in lower case and without its port. Returns
 * the length, or 0 when the key does not fit. */
static size_t
make_key(char key[KEY_BYTES], const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":");
	size_t path_len = strlen(path);

	if (host_len + path_len + 2 > KEY_BYTES)
		return 0;
	for (size_t i = 0; i < host_len; i++)
		key[i] = (char)tolower((unsigned char)host[i]);
	key[host_len] = ' ';
	memcpy(key + host_len + 1, path, path_len + 1);
	return host_len + 1 + path_len;
}

struct route *
gateway_config_add_route(
    struct gateway_config *config, const char *host, const char *prefix)
{
	char key[KEY_BYTES];
	struct route *route = NULL;
	size_t len = make_key(key, host, prefix);

	if (len == 0)
		return NULL;
	HASH_FIND(hh, config->routes, key, len, route);
	if (route != NULL) {
		HASH_DEL(config->routes, route);
		route_destroy(route);
	}
	route = xcalloc(1, sizeof(*route));
	route->key = xstrdup(key);
	HASH_ADD_KEYPTR(hh, config->routes, route->key, len, route);
	return route;
}

void
route_add_target(struct route *route, const char *service, uint32_t weight)
{
	struct route_target *target;

	route->targets = xrealloc(route->targets,
	    (route->target_count + 1) * sizeof(*route->targets));
	target = &route->targets[route->target_count++];
	*target = (struct route_target){.weight = weight};
	snprintf(target->service, sizeof(target->service), "%s", service);
}

struct service *
gateway_config_add_service(struct gateway_config *config, const char *name)
{
	struct service *service = NULL;

	HASH_FIND_STR(config->services, name, service);
	if (service != NULL)
		return service;
	service = xcalloc(1, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	HASH_ADD_STR(config->services, name, service);
	return service;
}

/* Prefixes end with a slash, so one lookup per slash of the path is enough. */
const struct route *
gateway_config_find_route(
    const struct gateway_config *config, const char *host, const char *path)
{
	char key[KEY_BYTES];
	struct route *route = NULL;
	size_t host_len = strcspn(host, ":") + 1;
	size_t len = make_key(key, host, path);

	while (len > host_len) {
		if (key[len - 1] == '/') {
			HASH_FIND(hh, config->routes, key, len, route);
			if (route != NULL)
				return route;
		}
		len--;
	}
	return NULL;
}

const struct service *
gateway_config_find_service(
    const struct gateway_config *config, const char *name)
{
	struct service *service = NULL;

	HASH_FIND_STR(config->services, name, service);
	return service;
}

const struct route_target *
route_choose_target(const struct route *route, uint64_t spread)
{
	uint64_t total = 0;

	for (size_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	if (total == 0)
		return NULL;
	spread %= total;
	for (size_t i = 0; i < route->target_count; i++) {
		if (spread < route->targets[i].weight)
			return &route->targets[i];
		spread -= route->targets[i].weight;
	}
	return NULL;
}
