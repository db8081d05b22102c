#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "config/check.h"
#include "config/config.h"
#include "config/schema.h"

enum {
	DEFAULT_TIMEOUT_MS = 60000,
};

static void
read_model(
    const json_t *value, const struct json_location *location, void *item)
{
	schema_read(value, location, &schema_model, item);
}

static void
read_adapter(
    const json_t *value, const struct json_location *location, void *item)
{
	schema_read(value, location, &schema_adapter, item);
}

static void
read_server_models(const json_t *value, const struct json_location *location,
    struct config_server *server)
{
	size_t index;
	json_t *name;
	char key[24];

	if (value == NULL)
		return;
	if (!json_is_array(value)) {
		json_location_report(location, "is not an array");
		return;
	}
	json_array_foreach ((json_t *)value, index, name) {
		const char *text = json_string_value(name);
		struct json_location name_location;

		snprintf(key, sizeof(key), "%zu", index);
		name_location = json_location_member(location, key);
		if (text == NULL || !schema_is_name(text)) {
			json_location_report(&name_location, "is not a name");
		} else if (server->model_count == CONFIG_MODELS_PER_SERVER) {
			json_location_report(location,
			    "has more than %d models",
			    CONFIG_MODELS_PER_SERVER);
			return;
		} else {
			snprintf(server->models[server->model_count++],
			    NAME_BYTES, "%s", text);
		}
	}
}

static void
read_server(
    const json_t *value, const struct json_location *location, void *item)
{
	struct json_location models = json_location_member(location, "models");

	if (schema_read(value, location, &schema_server, item))
		read_server_models(
		    json_object_get(value, "models"), &models, item);
}

static void
read_endpoint(
    const json_t *value, const struct json_location *location, void *item)
{
	schema_read(value, location, &schema_endpoint, item);
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the keys of an object in sorted order, to be freed by the caller. The
 * order that members were added in differs between nodes; sorted, all nodes
 * build the same arrays, and the lookups can use a binary search. */
static const char **
sorted_keys(const json_t *object)
{
	const char **keys =
	    xcalloc(json_object_size(object) + 1, sizeof(*keys));
	size_t count = 0;
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value)
		keys[count++] = key;
	qsort(keys, count, sizeof(*keys), compare_keys);
	return keys;
}

typedef void (*item_reader)(
    const json_t *value, const struct json_location *location, void *item);

/** How an object of items is read into an array. */
struct section {
	const char *key;
	size_t item_size;
	bool named; /**< the item's struct begins with its name */
	item_reader read;
	size_t items_offset; /**< offset of the pointer to the items */
	size_t count_offset; /**< offset of the item count */
};

/* Returns the section's items as an object, to be freed by the caller. Items
 * without names may also be written as an array; their keys are then its
 * indices. */
static json_t *
section_items(const json_t *value, const struct section *section)
{
	json_t *object;
	size_t index;
	json_t *item;
	char key[24];

	if (!json_is_array(value) || section->named)
		return json_incref((json_t *)value);
	object = json_object();
	json_array_foreach ((json_t *)value, index, item) {
		snprintf(key, sizeof(key), "%zu", index);
		json_object_set(object, key, item);
	}
	return object;
}

static void
read_section(const json_t *parent, const struct json_location *location,
    const struct section *section, void *target)
{
	json_t *object =
	    section_items(json_object_get(parent, section->key), section);
	struct json_location section_location =
	    json_location_member(location, section->key);
	size_t count = json_object_size(object);
	const char **keys;
	char *items;

	if (object == NULL)
		return;
	if (!json_is_object(object)) {
		json_location_report(&section_location, "is not an object");
		json_decref(object);
		return;
	}
	keys = sorted_keys(object);
	items = xcalloc(count + 1, section->item_size);
	for (size_t i = 0; i < count; i++) {
		char *item = items + i * section->item_size;
		struct json_location item_location =
		    json_location_member(&section_location, keys[i]);

		if (!schema_is_name(keys[i]))
			json_location_report(
			    &item_location, "has a key that is not a name");
		else if (section->named)
			snprintf(item, NAME_BYTES, "%s", keys[i]);
		section->read(
		    json_object_get(object, keys[i]), &item_location, item);
	}
	free(keys);
	json_decref(object);
	*(char **)((char *)target + section->items_offset) = items;
	*(size_t *)((char *)target + section->count_offset) = count;
}

static void
read_service(
    const json_t *value, const struct json_location *location, void *item)
{
	static const struct section endpoints = {"endpoints",
	    sizeof(struct config_endpoint), false, read_endpoint,
	    offsetof(struct config_service, endpoints),
	    offsetof(struct config_service, endpoint_count)};
	struct config_service *service = item;

	service->timeout_us = (int64_t)DEFAULT_TIMEOUT_MS * US_PER_MS;
	if (schema_read(value, location, &schema_service, item))
		read_section(value, location, &endpoints, service);
}

static void
read_tool(const json_t *value, const struct json_location *location, void *item)
{
	schema_read(value, location, &schema_tool, item);
}

static void
read_workspace(
    const json_t *value, const struct json_location *location, void *item)
{
	struct config_workspace *workspace = item;
	struct digest digest;
	struct json_location hash_location =
	    json_location_member(location, "key_hash");

	workspace->share = 1;
	schema_read(value, location, &schema_workspace, item);
	if (workspace->key_hash[0] != '\0' &&
	    !digest_parse(workspace->key_hash, &digest))
		json_location_report(
		    &hash_location, "is not 64 hexadecimal digits");
}

#define SECTION(key, type, items, count, read) \
	{ \
		key, sizeof(struct type), true, read, \
		    offsetof(struct config, items), \
		    offsetof(struct config, count) \
	}

static const struct section sections[] = {
    SECTION("models", config_model, models, model_count, read_model),
    SECTION("adapters", config_adapter, adapters, adapter_count, read_adapter),
    SECTION("servers", config_server, servers, server_count, read_server),
    SECTION("services", config_service, services, service_count, read_service),
    SECTION("tools", config_tool, tools, tool_count, read_tool),
    SECTION("workspaces", config_workspace, workspaces, workspace_count,
	read_workspace),
};

struct config *
config_from_json(
    const json_t *document, uint64_t version, struct findings *findings)
{
	struct config *config = xcalloc(1, sizeof(*config));
	struct json_location root = {.findings = findings};
	struct json_location limits = json_location_member(&root, "limits");
	const json_t *declared = json_object_get(document, "limits");

	config->version = version;
	config_limits_defaults(&config->limits);
	if (!schema_read(document, &root, &schema_document, config))
		return config;
	for (size_t i = 0; i < sizeof(sections) / sizeof(sections[0]); i++)
		read_section(document, &root, &sections[i], config);
	if (declared != NULL)
		schema_read(declared, &limits, &schema_limit, &config->limits);
	config_check(config, document, &root);
	return config;
}

void
config_destroy(struct config *config)
{
	if (config == NULL)
		return;
	for (size_t i = 0; i < config->service_count; i++)
		free(config->services[i].endpoints);
	free(config->models);
	free(config->adapters);
	free(config->servers);
	free(config->services);
	free(config->tools);
	free(config->workspaces);
	free(config);
}
