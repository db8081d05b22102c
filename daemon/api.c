#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "daemon/call.h"

/** Handler of the paths with a prefix. */
struct route {
	const char *prefix;
	bool exact;        /**< the prefix is the whole path */
	bool needs_config; /**< refused until a configuration is in force */
	api_handler handler;
};

static const struct route routes[] = {
    {"/v1/chat/completions", true, true, handle_chat},
    {"/v1/programs", true, true, handle_program_begin},
    {"/v1/programs/", false, true, handle_program_request},
    {"/v1/tools/", false, true, handle_tool},
    {"/v1/services/", false, true, handle_service},
    {"/v1/addresses", true, false, handle_addresses},
    {"/v1/status", true, false, handle_status},
    {"/v1/drain", true, false, handle_drain},
    {"/metrics", true, false, handle_metrics},
    {"/healthz", true, false, handle_health},
    {"/readyz", true, false, handle_ready},
};

static const struct route *
find_route(const char *path)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const struct route *route = &routes[i];
		size_t len = strlen(route->prefix);

		if (strncmp(path, route->prefix, len) != 0)
			continue;
		if (!route->exact || path[len] == '\0')
			return route;
	}
	return NULL;
}

void
api_handle(void *context, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct daemon *daemon = context;
	const struct route *route = find_route(request->path);

	daemon->blackboard.now_us = clock_monotonic_us();
	daemon->blackboard.counters.requests_total++;
	if (route == NULL) {
		refuse_exchange(
		    daemon, exchange, REFUSAL_UNKNOWN_PATH, request->path);
		return;
	}
	if (route->needs_config && daemon->owner == NULL) {
		refuse_exchange(daemon, exchange, REFUSAL_NO_CONFIG, NULL);
		return;
	}
	route->handler(
	    daemon, exchange, request, request->path + strlen(route->prefix));
}

/* Hashes the bearer token of a request. Returns false if there is none. */
static bool
bearer_hash(const struct http_request *request, struct digest *hash)
{
	char value[HTTP_HEADER_VALUE_BYTES];

	if (!http_request_header(
		request, "authorization", value, sizeof(value)) ||
	    strncmp(value, "Bearer ", 7) != 0)
		return false;
	*hash = digest_chain(NULL, value + 7, strlen(value + 7));
	return true;
}

bool
api_check_workspace(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, char workspace[NAME_BYTES])
{
	const struct config_workspace *declared;
	struct digest hash;
	struct digest expected;

	http_request_header(
	    request, "x-guavakeel-workspace", workspace, NAME_BYTES);
	declared =
	    config_find_workspace(daemon->blackboard.config.current, workspace);
	if (declared == NULL) {
		refuse_exchange(daemon, exchange, REFUSAL_UNKNOWN_WORKSPACE,
		    "header x-guavakeel-workspace must name a workspace");
		return false;
	}
	if (declared->key_hash[0] == '\0')
		return true;
	if (!bearer_hash(request, &hash) ||
	    !digest_parse(declared->key_hash, &expected) ||
	    !digest_equal(&hash, &expected)) {
		refuse_exchange(daemon, exchange, REFUSAL_UNAUTHORIZED,
		    "the workspace's key is needed as bearer token");
		return false;
	}
	return true;
}

bool
api_check_operator(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct digest hash;

	if (!daemon->has_operator_key)
		return true;
	if (!bearer_hash(request, &hash) ||
	    !digest_equal(&hash, &daemon->operator_key)) {
		refuse_exchange(daemon, exchange, REFUSAL_UNAUTHORIZED,
		    "an operator key is needed as bearer token");
		return false;
	}
	return true;
}
