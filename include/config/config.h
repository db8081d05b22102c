/** @file
 * The typed form of the configuration that operators publish. Its JSON form is
 * described in docs/CONFIGURATION.md.
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

/** A model that backend servers can run. */
struct config_model {
	char name[NAME_BYTES];
	char version[NAME_BYTES];
	uint64_t context_tokens; /**< longest context */
	uint64_t weight_bytes;   /**< size of its weights in the weight store */
	double prefill_tokens_per_s;
	double kv_bytes_per_token;
};

/** An adapter that is loaded on top of a model. */
struct config_adapter {
	char name[NAME_BYTES];
	char model[NAME_BYTES]; /**< name of the base model */
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
	uint64_t kv_tokens;   /**< capacity of its KV cache, in tokens */
	uint32_t max_running; /**< most requests that run in one batch */
	bool checks_fencing;  /**< rejects outdated fencing numbers */
	bool leaving; /**< drained by an operator: gets no new requests */
};

/** One network address of a service. */
struct config_endpoint {
	char address[CONFIG_ADDRESS_BYTES];
	int port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	bool leaving; /**< drained by an operator: gets no new requests */
};

/** A service that programs call, directly or through its tools. */
struct config_service {
	char name[NAME_BYTES];
	struct config_endpoint *endpoints;
	size_t endpoint_count;
	int64_t timeout_us; /**< longest time of one call; default of tools */
	bool repeatable;    /**< calls may be retried; default for its tools */
};

/** A tool: one HTTP path of a service. */
struct config_tool {
	char name[NAME_BYTES];
	char service[NAME_BYTES];     /**< name of the service */
	char path[CONFIG_PATH_BYTES]; /**< begins with '/' */
	bool repeatable;              /**< false: sent at most once */
	int64_t timeout_us;           /**< longest time of one call */
};

/** A customer. */
struct config_workspace {
	char name[NAME_BYTES];
	char key_hash[DIGEST_TEXT_BYTES]; /**< hash of caller's key; "": open */
	uint32_t max_programs;  /**< programs in progress; 0: no limit */
	double share;           /**< scheduling weight among workspaces */
	uint64_t budget_tokens; /**< default budget of a program */
};

/** Limits and tuning values of the whole system. */
struct config_limits {
	uint32_t shards;         /**< program shards; fixed by first version */
	uint32_t lanes;          /**< record streams; fixed by first version */
	uint32_t max_turns;      /**< most turns of a program */
	int64_t max_program_us;  /**< longest age of a program */
	uint64_t reserve_tokens; /**< budget reserved at a time, in tokens */
	int64_t first_token_us;  /**< target latency of the first token */
	int64_t call_timeout_us; /**< server silence that fails an attempt */
	uint32_t max_attempts;   /**< most attempts of a repeatable call */
	uint32_t max_crashes;    /**< most servers that a request may crash */
	double retry_share;      /**< retries allowed per request, 0..1 */
	double wasted_token_cost_us; /**< latency equal to one wasted token */
	uint32_t log_appends_per_s;  /**< append rate allotted to this system */
	int64_t append_delay_us;     /**< longest wait for a batch to fill */
	uint32_t history_cache_bytes; /**< size of each VM's history cache */
	uint32_t max_open_calls;      /**< most open calls on each VM */
	int64_t address_ttl_us; /**< validity of addresses given to callers */
};

/** One version of the configuration. Each array is sorted by name. */
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

/** Builds the typed form of a document. Each finding has a JSON pointer as its
 * location. Valid parts are filled in even if there are findings. The caller
 * frees the result with config_destroy(). */
struct config *config_from_json(
    const struct json_t *document, uint64_t version, struct findings *findings);
void config_destroy(struct config *config);
/** Sets every limit to its default value. */
void config_limits_defaults(struct config_limits *limits);

/* Each function below returns the item of that name, or NULL. */

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
