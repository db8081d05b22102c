#include <string.h>

#include "config/check.h"

static struct json_location
item_location(
    const struct json_location *root, const char *section, const char *name)
{
	struct json_location location = json_location_member(root, section);

	return json_location_member(&location, name);
}

static void
check_adapters(const struct config *config, const struct json_location *root)
{
	for (size_t i = 0; i < config->adapter_count; i++) {
		const struct config_adapter *adapter = &config->adapters[i];
		struct json_location item =
		    item_location(root, "adapters", adapter->name);
		struct json_location location =
		    json_location_member(&item, "model");

		if (adapter->model[0] != '\0' &&
		    config_find_model(config, adapter->model) == NULL)
			json_location_report(
			    &location, "names no model: %s", adapter->model);
	}
}

static void
check_servers(const struct config *config, const struct json_location *root)
{
	for (size_t i = 0; i < config->server_count; i++) {
		const struct config_server *server = &config->servers[i];
		struct json_location item =
		    item_location(root, "servers", server->name);
		struct json_location location =
		    json_location_member(&item, "models");

		for (size_t m = 0; m < server->model_count; m++) {
			if (config_find_model(config, server->models[m]) ==
			    NULL)
				json_location_report(&location,
				    "names no model: %s", server->models[m]);
		}
	}
}

/* Reports servers with the same address and port: each of them would be counted
 * as having the load of both. */
static void
check_server_addresses(
    const struct config *config, const struct json_location *root)
{
	for (size_t i = 0; i < config->server_count; i++) {
		const struct config_server *a = &config->servers[i];
		struct json_location item =
		    item_location(root, "servers", a->name);
		struct json_location location =
		    json_location_member(&item, "address");

		for (size_t j = 0; j < i; j++) {
			const struct config_server *b = &config->servers[j];

			if (a->address[0] != '\0' && a->port == b->port &&
			    strcmp(a->address, b->address) == 0)
				json_location_report(&location,
				    "and port are already used by server %s",
				    b->name);
		}
	}
}

static void
check_services(const struct config *config, const struct json_location *root)
{
	for (size_t i = 0; i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];
		struct json_location item =
		    item_location(root, "services", service->name);
		struct json_location location =
		    json_location_member(&item, "endpoints");

		if (service->endpoint_count == 0)
			json_location_report(&location, "has no endpoint");
	}
}

static void
check_tools(struct config *config, const json_t *document,
    const struct json_location *root)
{
	const json_t *tools = json_object_get(document, "tools");

	for (size_t i = 0; i < config->tool_count; i++) {
		struct config_tool *tool = &config->tools[i];
		const struct config_service *service =
		    config_find_service(config, tool->service);
		const json_t *declared = json_object_get(tools, tool->name);
		struct json_location item =
		    item_location(root, "tools", tool->name);
		struct json_location location =
		    json_location_member(&item, "service");
		struct json_location path_location =
		    json_location_member(&item, "path");

		if (tool->path[0] != '\0' && tool->path[0] != '/')
			json_location_report(
			    &path_location, "does not begin with /");
		if (service == NULL) {
			if (tool->service[0] != '\0')
				json_location_report(&location,
				    "names no service: %s", tool->service);
			continue;
		}
		if (json_object_get(declared, "repeatable") == NULL)
			tool->repeatable = service->repeatable;
		if (tool->timeout_us == 0)
			tool->timeout_us = service->timeout_us;
	}
}

static void
check_limits(
    const struct config_limits *limits, const struct json_location *root)
{
	struct json_location location = item_location(root, "limits", "lanes");

	if (limits->lanes > limits->shards)
		json_location_report(
		    &location, "is greater than shards (%u)", limits->shards);
}

void
config_check(struct config *config, const json_t *document,
    const struct json_location *root)
{
	check_adapters(config, root);
	check_servers(config, root);
	check_server_addresses(config, root);
	check_services(config, root);
	check_tools(config, document, root);
	check_limits(&config->limits, root);
}

void
config_check_change(const struct config *before, const struct config *after,
    struct findings *findings)
{
	if (before->version == 0)
		return;
	if (before->limits.shards != after->limits.shards)
		finding_add(findings, "/limits/shards", 0,
		    "is fixed at %u once a version is accepted",
		    before->limits.shards);
	if (before->limits.lanes != after->limits.lanes)
		finding_add(findings, "/limits/lanes", 0,
		    "is fixed at %u once a version is accepted",
		    before->limits.lanes);
}
