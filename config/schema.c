#include "config/schema.h"
#include "common/clock.h"
#include "config/config.h"

#define TOKENS 0, 1e9
#define BYTES  0, 1e15
#define PORTS  1, 65535

static const struct field model_fields[] = {
    {"version", FIELD_NAME, FIELD_IN(struct config_model, version), 0, 0, 0,
	true},
    {"context_tokens", FIELD_INTEGER,
	FIELD_IN(struct config_model, context_tokens), 1, 1e9, 0, true},
    {"weight_bytes", FIELD_INTEGER, FIELD_IN(struct config_model, weight_bytes),
	BYTES, 0, false},
    {"prefill_tokens_per_s", FIELD_NUMBER,
	FIELD_IN(struct config_model, prefill_tokens_per_s), TOKENS, 0, false},
    {"kv_bytes_per_token", FIELD_NUMBER,
	FIELD_IN(struct config_model, kv_bytes_per_token), BYTES, 0, false},
};

static const struct field adapter_fields[] = {
    {"model", FIELD_NAME, FIELD_IN(struct config_adapter, model), 0, 0, 0,
	true},
    {"weight_bytes", FIELD_INTEGER,
	FIELD_IN(struct config_adapter, weight_bytes), BYTES, 0, false},
};

static const struct field server_fields[] = {
    {"address", FIELD_ADDRESS, FIELD_IN(struct config_server, address), 0, 0, 0,
	true},
    {"port", FIELD_INTEGER, FIELD_IN(struct config_server, port), PORTS, 0,
	true},
    {"pool", FIELD_NAME, FIELD_IN(struct config_server, pool), 0, 0, 0, false},
    {"failure_domain", FIELD_NAME,
	FIELD_IN(struct config_server, failure_domain), 0, 0, 0, true},
    {"region", FIELD_NAME, FIELD_IN(struct config_server, region), 0, 0, 0,
	true},
    {"role", FIELD_ROLE, FIELD_IN(struct config_server, role), 0, 0, 0, false},
    {"models", FIELD_OTHER, 0, 0, 0, 0, 0, true},
    {"kv_tokens", FIELD_INTEGER, FIELD_IN(struct config_server, kv_tokens), 1,
	1e9, 0, true},
    {"max_running", FIELD_INTEGER, FIELD_IN(struct config_server, max_running),
	1, 1e6, 0, true},
    {"checks_fencing", FIELD_BOOL,
	FIELD_IN(struct config_server, checks_fencing), 0, 0, 0, false},
    {"leaving", FIELD_BOOL, FIELD_IN(struct config_server, leaving), 0, 0, 0,
	false},
};

static const struct field endpoint_fields[] = {
    {"address", FIELD_ADDRESS, FIELD_IN(struct config_endpoint, address), 0, 0,
	0, true},
    {"port", FIELD_INTEGER, FIELD_IN(struct config_endpoint, port), PORTS, 0,
	true},
    {"failure_domain", FIELD_NAME,
	FIELD_IN(struct config_endpoint, failure_domain), 0, 0, 0, true},
    {"region", FIELD_NAME, FIELD_IN(struct config_endpoint, region), 0, 0, 0,
	true},
    {"leaving", FIELD_BOOL, FIELD_IN(struct config_endpoint, leaving), 0, 0, 0,
	false},
};

static const struct field service_fields[] = {
    {"endpoints", FIELD_OTHER, 0, 0, 0, 0, 0, true},
    {"timeout_ms", FIELD_INTEGER, FIELD_IN(struct config_service, timeout_us),
	1, 1e8, US_PER_MS, false},
    {"repeatable", FIELD_BOOL, FIELD_IN(struct config_service, repeatable), 0,
	0, 0, false},
};

static const struct field tool_fields[] = {
    {"service", FIELD_NAME, FIELD_IN(struct config_tool, service), 0, 0, 0,
	true},
    {"path", FIELD_TEXT, FIELD_IN(struct config_tool, path), 0, 0, 0, true},
    {"repeatable", FIELD_BOOL, FIELD_IN(struct config_tool, repeatable), 0, 0,
	0, false},
    {"timeout_ms", FIELD_INTEGER, FIELD_IN(struct config_tool, timeout_us), 1,
	1e8, US_PER_MS, false},
};

static const struct field workspace_fields[] = {
    {"key_hash", FIELD_TEXT, FIELD_IN(struct config_workspace, key_hash), 0, 0,
	0, false},
    {"max_programs", FIELD_INTEGER,
	FIELD_IN(struct config_workspace, max_programs), 0, 4e9, 0, false},
    {"share", FIELD_NUMBER, FIELD_IN(struct config_workspace, share), 0.001,
	1000, 0, false},
    {"budget_tokens", FIELD_INTEGER,
	FIELD_IN(struct config_workspace, budget_tokens), 1, 1e12, 0, true},
};

#define LIMIT(key, kind, member, min, max, scale) \
	{ \
		key, kind, FIELD_IN(struct config_limits, member), min, max, \
		    scale, false \
	}

static const struct field limit_fields[] = {
    LIMIT("shards", FIELD_INTEGER, shards, 1, 65536, 0),
    LIMIT("lanes", FIELD_INTEGER, lanes, 1, 4096, 0),
    LIMIT("max_turns", FIELD_INTEGER, max_turns, 1, 1e6, 0),
    LIMIT("max_program_s", FIELD_INTEGER, max_program_us, 1, 1e8, US_PER_S),
    LIMIT("reserve_tokens", FIELD_INTEGER, reserve_tokens, 1, 1e9, 0),
    LIMIT("first_token_ms", FIELD_INTEGER, first_token_us, 1, 1e6, US_PER_MS),
    LIMIT("call_timeout_ms", FIELD_INTEGER, call_timeout_us, 1, 1e8, US_PER_MS),
    LIMIT("max_attempts", FIELD_INTEGER, max_attempts, 1, 100, 0),
    LIMIT("max_crashes", FIELD_INTEGER, max_crashes, 1, 100, 0),
    LIMIT("retry_share", FIELD_NUMBER, retry_share, 0, 1, 0),
    LIMIT(
	"wasted_token_cost_us", FIELD_NUMBER, wasted_token_cost_us, 0, 1e6, 0),
    LIMIT("log_appends_per_s", FIELD_INTEGER, log_appends_per_s, 1, 1e6, 0),
    LIMIT("append_delay_ms", FIELD_INTEGER, append_delay_us, 0, 1e6, US_PER_MS),
    LIMIT("history_cache_bytes", FIELD_INTEGER, history_cache_bytes, 0, 4e9, 0),
    LIMIT("max_open_calls", FIELD_INTEGER, max_open_calls, 1, 1e6, 0),
    LIMIT("address_ttl_s", FIELD_INTEGER, address_ttl_us, 1, 1e6, US_PER_S),
};

static const struct field document_fields[] = {
    {"models", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"adapters", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"servers", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"services", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"tools", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"workspaces", FIELD_OTHER, 0, 0, 0, 0, 0, false},
    {"limits", FIELD_OTHER, 0, 0, 0, 0, 0, false},
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
