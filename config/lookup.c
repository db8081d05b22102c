#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "config/config.h"

void
config_limits_defaults(struct config_limits *limits)
{
	*limits = (struct config_limits){
	    .shards = 1024,
	    .lanes = 16,
	    .max_turns = 400,
	    .max_program_us = (int64_t)24 * 3600 * US_PER_S,
	    .reserve_tokens = 20000,
	    .first_token_us = (int64_t)860 * US_PER_MS,
	    .call_timeout_us = (int64_t)30 * US_PER_S,
	    .max_attempts = 3,
	    .max_crashes = 2,
	    .retry_share = 0.1,
	    .wasted_token_cost_us = 50,
	    .log_appends_per_s = 100,
	    .append_delay_us = (int64_t)50 * US_PER_MS,
	    .history_cache_bytes = (uint32_t)16 << 20,
	    .max_open_calls = 1024,
	    .address_ttl_us = (int64_t)30 * US_PER_S,
	};
}

/* Compares a name with an item. Each item's struct begins with its name. */
static int
compare_name(const void *name, const void *item)
{
	return strcmp(name, item);
}

/* Searches an array that is sorted by name. */
static const void *
find(const void *items, size_t count, size_t size, const char *name)
{
	if (count == 0)
		return NULL;
	return bsearch(name, items, count, size, compare_name);
}

const struct config_model *
config_find_model(const struct config *config, const char *name)
{
	return find(
	    config->models, config->model_count, sizeof(*config->models), name);
}

const struct config_adapter *
config_find_adapter(const struct config *config, const char *name)
{
	return find(config->adapters, config->adapter_count,
	    sizeof(*config->adapters), name);
}

const struct config_server *
config_find_server(const struct config *config, const char *name)
{
	return find(config->servers, config->server_count,
	    sizeof(*config->servers), name);
}

const struct config_service *
config_find_service(const struct config *config, const char *name)
{
	return find(config->services, config->service_count,
	    sizeof(*config->services), name);
}

const struct config_tool *
config_find_tool(const struct config *config, const char *name)
{
	return find(
	    config->tools, config->tool_count, sizeof(*config->tools), name);
}

const struct config_workspace *
config_find_workspace(const struct config *config, const char *name)
{
	return find(config->workspaces, config->workspace_count,
	    sizeof(*config->workspaces), name);
}
