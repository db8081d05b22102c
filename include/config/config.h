/** @file
 * The declared configuration: what operators publish, in its typed form.
 * The document's JSON form is described in docs/CONFIGURATION.md.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/finding.h"
#include "record/record.h"

struct json_t;

enum {
	CONFIG_MODELS_PER_SERVER = 16,
	CONFIG_ADDRESS_BYTES = 64,
	CONFIG_PATH_BYTES = 128,
};

struct config_model {
	char name[NAME_BYTES];
	char version[NAME_BYTES];
	uint64_t context_tokens;
	uint64_t weight_bytes; /**< loaded from the weight store */
	double prefill_tokens_per_s;
	double kv_bytes_per_token;
};

struct config_adapter {
	char name[NAME_BYTES];
	char model[NAME_BYTES];
	uint64_t weight_bytes;
};

enum server_role {
	SERVER_ROLE_MIXED,
	SERVER_ROLE_PREFILL,
	SERVER_ROLE_DECODE,
};

/** A backend server that runs models. */
struct config_server {
	char name[NAME_BYTES];
	char address[CONFIG_ADDRESS_BYTES]; /**< IP address */
	int port;
	char pool[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	enum server_role role;
	char models[CONFIG_MODELS_PER_SERVER][NAME_BYTES];
	size_t model_count;
	uint64_t kv_tokens;   /**< capacity of its KV cache */
	uint32_t max_running; /**< requests batched at once */
	bool checks_fencing;  /**< refuses orders with an old number */
	bool leaving;         /**< operator drain: no new work */
};

/** One address of a plain or tool service. */
struct config_endpoint {
	char address[CONFIG_ADDRESS_BYTES];
	int port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	bool leaving;
};

/** A plain service or a tool service. */
struct config_service {
	char name[NAME_BYTES];
	struct config_endpoint *endpoints;
	size_t endpoint_count;
	int64_t timeout_us;
	bool repeatable; /**< calls may be sent again (default for tools) */
};

struct config_tool {
	char name[NAME_BYTES];
	char service[NAME_BYTES];
	char path[CONFIG_PATH_BYTES];
	bool repeatable; /**< false: at most once */
	int64_t timeout_us;
};

struct config_workspace {
	char name[NAME_BYTES];
	char key_hash[DIGEST_TEXT_BYTES]; /**< of the caller's key; "": open */
	uint32_t max_programs;            /**< under way; 0: no limit */
	double share;                     /**< weight among workspaces */
	uint64_t budget_tokens;           /**< default for a program */
};

struct config_limits {
	uint32_t shards;             /**< fixed once set */
	uint32_t lanes;              /**< streams of program records; fixed */
	uint32_t max_turns;          /**< of a program */
	int64_t max_program_us;      /**< age of a program */
	uint64_t reserve_tokens;     /**< lump of budget reserved at once */
	int64_t first_token_us;      /**< target for the first token */
	int64_t call_timeout_us;     /**< engine silence that ends an attempt */
	uint32_t max_attempts;       /**< of one repeatable call */
	uint32_t max_crashes;        /**< servers one request may take down */
	double retry_share;          /**< retries per request, 0..1 */
	double wasted_token_cost_us; /**< latency worth one wasted token */
	uint32_t log_appends_per_s;  /**< this system's share of the log */
	int64_t append_delay_us;     /**< longest wait of a record for others */
	uint32_t history_cache_bytes; /**< per VM */
	uint32_t max_open_calls;      /**< per VM */
	int64_t address_ttl_us;       /**< how long callers keep addresses */
};

struct config {
	uint64_t version;
	struct config_model *models;
	size_t model_count;
	struct config_adapter *adapters;
	size_t adapter_count;
	struct config_server *servers;
	size_t server_count;
	struct config_service *services;
	size_t service_count;
	struct config_tool *tools;
	size_t tool_count;
	struct config_workspace *workspaces;
	size_t workspace_count;
	struct config_limits limits;
};

/** Builds the typed form of a document. Findings have JSON pointers as their
 * place. With findings, what is understood is still filled in. */
struct config *config_from_json(
    const struct json_t *document, uint64_t version, struct findings *findings);
void config_destroy(struct config *config);
/** Sets every limit to its default. */
void config_limits_defaults(struct config_limits *limits);

const struct config_adapter *
config_find_adapter(const struct config *config, const char *name);
const struct config_model *
config_find_model(const struct config *config, const char *name);
const struct config_server *
config_find_server(const struct config *config, const char *name);
const struct config_service *
config_find_service(const struct config *config, const char *name);
const struct config_tool *
config_find_tool(const struct config *config, const char *name);
const struct config_workspace *
config_find_workspace(const struct config *config, const char *name);

#endif
