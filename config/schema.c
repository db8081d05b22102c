#include "config/schema.h"
#include "common/clock.h"
#include "config/config.h"

/* Initialisers of min and max. */
#define TOKEN_RANGE 0, 1e9
#define BYTE_RANGE  0, 1e15
#define PORT_RANGE  1, 65535

static const struct schema_field model_fields[] = {
    {"version", SCHEMA_NAME, SCHEMA_IN(struct config_model, version), 0, 0, 0,
	true},
    {"context_tokens", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_model, context_tokens), 1, 1e9, 0, true},
    {"weight_bytes", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_model, weight_bytes), BYTE_RANGE, 0, false},
    {"prefill_tokens_per_s", SCHEMA_NUMBER,
	SCHEMA_IN(struct config_model, prefill_tokens_per_s), TOKEN_RANGE, 0,
	false},
    {"kv_bytes_per_token", SCHEMA_NUMBER,
	SCHEMA_IN(struct config_model, kv_bytes_per_token), BYTE_RANGE, 0,
	false},
};

static const struct schema_field adapter_fields[] = {
    {"model", SCHEMA_NAME, SCHEMA_IN(struct config_adapter, model), 0, 0, 0,
	true},
    {"weight_bytes", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_adapter, weight_bytes), BYTE_RANGE, 0, false},
};

static const struct schema_field server_fields[] = {
    {"address", SCHEMA_ADDRESS, SCHEMA_IN(struct config_server, address), 0, 0,
	0, true},
    {"port", SCHEMA_INTEGER, SCHEMA_IN(struct config_server, port), PORT_RANGE,
	0, true},
    {"pool", SCHEMA_NAME, SCHEMA_IN(struct config_server, pool), 0, 0, 0,
	false},
    {"failure_domain", SCHEMA_NAME,
	SCHEMA_IN(struct config_server, failure_domain), 0, 0, 0, true},
    {"region", SCHEMA_NAME, SCHEMA_IN(struct config_server, region), 0, 0, 0,
	true},
    {"role", SCHEMA_ROLE, SCHEMA_IN(struct config_server, role), 0, 0, 0,
	false},
    {"models", SCHEMA_OTHER, 0, 0, 0, 0, 0, true},
    {"kv_tokens", SCHEMA_INTEGER, SCHEMA_IN(struct config_server, kv_tokens), 1,
	1e9, 0, true},
    {"max_running", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_server, max_running), 1, 1e6, 0, true},
    {"checks_fencing", SCHEMA_BOOL,
	SCHEMA_IN(struct config_server, checks_fencing), 0, 0, 0, false},
    {"leaving", SCHEMA_BOOL, SCHEMA_IN(struct config_server, leaving), 0, 0, 0,
	false},
};

static const struct schema_field endpoint_fields[] = {
    {"address", SCHEMA_ADDRESS, SCHEMA_IN(struct config_endpoint, address), 0,
	0, 0, true},
    {"port", SCHEMA_INTEGER, SCHEMA_IN(struct config_endpoint, port),
	PORT_RANGE, 0, true},
    {"failure_domain", SCHEMA_NAME,
	SCHEMA_IN(struct config_endpoint, failure_domain), 0, 0, 0, true},
    {"region", SCHEMA_NAME, SCHEMA_IN(struct config_endpoint, region), 0, 0, 0,
	true},
    {"leaving", SCHEMA_BOOL, SCHEMA_IN(struct config_endpoint, leaving), 0, 0,
	0, false},
};

static const struct schema_field service_fields[] = {
    {"endpoints", SCHEMA_OTHER, 0, 0, 0, 0, 0, true},
    {"timeout_ms", SCHEMA_INTEGER, SCHEMA_IN(struct config_service, timeout_us),
	1, 1e8, US_PER_MS, false},
    {"repeatable", SCHEMA_BOOL, SCHEMA_IN(struct config_service, repeatable), 0,
	0, 0, false},
};

static const struct schema_field tool_fields[] = {
    {"service", SCHEMA_NAME, SCHEMA_IN(struct config_tool, service), 0, 0, 0,
	true},
    {"path", SCHEMA_TEXT, SCHEMA_IN(struct config_tool, path), 0, 0, 0, true},
    {"repeatable", SCHEMA_BOOL, SCHEMA_IN(struct config_tool, repeatable), 0, 0,
	0, false},
    {"timeout_ms", SCHEMA_INTEGER, SCHEMA_IN(struct config_tool, timeout_us), 1,
	1e8, US_PER_MS, false},
};

static const struct schema_field workspace_fields[] = {
    {"key_hash", SCHEMA_TEXT, SCHEMA_IN(struct config_workspace, key_hash), 0,
	0, 0, false},
    {"max_programs", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_workspace, max_programs), 0, 4e9, 0, false},
    {"share", SCHEMA_NUMBER, SCHEMA_IN(struct config_workspace, share), 0.001,
	1000, 0, false},
    {"budget_tokens", SCHEMA_INTEGER,
	SCHEMA_IN(struct config_workspace, budget_tokens), 1, 1e12, 0, true},
};

#define LIMIT(key, kind, member, min, max, scale) \
	{ \
		key, kind, SCHEMA_IN(struct config_limits, member), min, max, \
		    scale, false \
	}

static const struct schema_field limit_fields[] = {
    LIMIT("shards", SCHEMA_INTEGER, shards, 1, 65536, 0),
    LIMIT("lanes", SCHEMA_INTEGER, lanes, 1, 4096, 0),
    LIMIT("max_turns", SCHEMA_INTEGER, max_turns, 1, 1e6, 0),
    LIMIT("max_program_s", SCHEMA_INTEGER, max_program_us, 1, 1e8, US_PER_S),
    LIMIT("reserve_tokens", SCHEMA_INTEGER, reserve_tokens, 1, 1e9, 0),
    LIMIT("first_token_ms", SCHEMA_INTEGER, first_token_us, 1, 1e6, US_PER_MS),
    LIMIT(
	"call_timeout_ms", SCHEMA_INTEGER, call_timeout_us, 1, 1e8, US_PER_MS),
    LIMIT("max_attempts", SCHEMA_INTEGER, max_attempts, 1, 100, 0),
    LIMIT("max_crashes", SCHEMA_INTEGER, max_crashes, 1, 100, 0),
    LIMIT("retry_share", SCHEMA_NUMBER, retry_share, 0, 1, 0),
    LIMIT(
	"wasted_token_cost_us", SCHEMA_NUMBER, wasted_token_cost_us, 0, 1e6, 0),
    LIMIT("log_appends_per_s", SCHEMA_INTEGER, log_appends_per_s, 1, 1e6, 0),
    LIMIT(
	"append_delay_ms", SCHEMA_INTEGER, append_delay_us, 0, 1e6, US_PER_MS),
    LIMIT(
	"history_cache_bytes", SCHEMA_INTEGER, history_cache_bytes, 0, 4e9, 0),
    LIMIT("max_open_calls", SCHEMA_INTEGER, max_open_calls, 1, 1e6, 0),
    LIMIT("address_ttl_s", SCHEMA_INTEGER, address_ttl_us, 1, 1e6, US_PER_S),
};

static const struct schema_field document_fields[] = {
    {"models", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"adapters", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"servers", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"services", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"tools", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"workspaces", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
    {"limits", SCHEMA_OTHER, 0, 0, 0, 0, 0, false},
};

#define SCHEMA(name) \
	const struct schema schema_##name = { \
	    name##_fields, sizeof(name##_fields) / sizeof(name##_fields[0])}

SCHEMA(model);
SCHEMA(adapter);
SCHEMA(server);
SCHEMA(endpoint);
SCHEMA(service);
SCHEMA(tool);
SCHEMA(workspace);
SCHEMA(limit);
SCHEMA(document);
