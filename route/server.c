#include "route/server.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "route/call.h"

enum {
	SERVER_DEFAULT_PREFILL_TOKENS_PER_S = 8000,
	SERVER_DEFAULT_MAX_RUNNING = 16,  /**< calls in the batch */
	SERVER_STABLE_US = 60 * US_PER_S, /**< time without a new recovery after
					     which flaps are forgotten */
	SERVER_EJECT_US = 2 * US_PER_S,   /**< ejection at the second recovery;
					     doubles with each flap */
	SERVER_MAX_FLAPS = 5,
	/** shorter responses say too little about the speed */
	SERVER_SPEED_MIN_TOKENS = 8,
};

/** Weight of a new value in the moving average of the time per token. */
static const double SERVER_SPEED_WEIGHT = 0.1;

/* Returns the prefill speed of a server's first model. */
static double
server_prefill_rate(
    const struct config_server *server, const struct config *config)
{
	for (size_t i = 0; i < config->model_count; i++) {
		const struct config_model *model = &config->models[i];

		if (server->model_count > 0 &&
		    strcmp(model->name, server->models[0]) == 0 &&
		    model->prefill_tokens_per_s > 0)
			return model->prefill_tokens_per_s;
	}
	return SERVER_DEFAULT_PREFILL_TOKENS_PER_S;
}

static struct route_server *
server_find_or_add(struct route_servers *servers, const char *name)
{
	struct route_server *server = servers_find(servers, name);

	if (server != NULL)
		return server;
	server = xcalloc(1, sizeof(*server));
	list_init(&server->attempts);
	memcpy(server->config.name, name, strlen(name) + 1);
	HASH_ADD_STR(servers->by_name, config.name, server);
	return server;
}

void
servers_configure(struct route_servers *servers, const struct config *config)
{
	struct route_server *server, *tmp;

	HASH_ITER (hh, servers->by_name, server, tmp)
		server->configured = false;
	servers->items = xrealloc(servers->items,
	    (config->server_count + 1) * sizeof(struct route_server *));
	servers->count = 0;
	for (size_t i = 0; i < config->server_count; i++) {
		server = server_find_or_add(servers, config->servers[i].name);
		server->config = config->servers[i];
		if (server->config.max_running == 0)
			server->config.max_running = SERVER_DEFAULT_MAX_RUNNING;
		server->prefill_tokens_per_s =
		    server_prefill_rate(&server->config, config);
		server->configured = true;
		servers->items[servers->count++] = server;
	}
}

void
servers_reset(struct route_servers *servers)
{
	struct route_server *next, *server = servers->by_name;

	HASH_CLEAR(hh, servers->by_name);
	for (; server != NULL; server = next) {
		next = server->hh.next;
		free(server);
	}
	free(servers->items);
	*servers = (struct route_servers){0};
}

struct route_server *
servers_find(const struct route_servers *servers, const char *name)
{
	struct route_server *server;

	HASH_FIND_STR(servers->by_name, name, server);
	return server;
}

void
server_handle_load(struct route_server *server, const struct sched_load *load,
    int64_t now_us, struct rng *rng)
{
	if (server->reported_us != 0 &&
	    load->measured_us < server->load.measured_us)
		return;
	server->load = *load;
	server->reported_us = now_us;
	server->admission_draw = rng_real(rng);
	/* The report includes the calls sent before it was measured. */
	server->calls_since_report = 0;
	server->prefill_tokens_since_report = 0;
	list_for_each (
	    call, &server->attempts, struct route_call, attempt_link) {
		if (call->sent_us <= load->measured_us)
			continue;
		server->calls_since_report++;
		server->prefill_tokens_since_report += call->prefill_tokens;
	}
}

void
server_update_decode_speed(
    struct route_server *server, uint64_t tokens, int64_t elapsed_us)
{
	double token_us;

	if (tokens < SERVER_SPEED_MIN_TOKENS || elapsed_us <= 0)
		return;
	token_us = (double)elapsed_us / (double)tokens;
	if (server->decode_token_us == 0)
		server->decode_token_us = token_us;
	server->decode_token_us +=
	    SERVER_SPEED_WEIGHT * (token_us - server->decode_token_us);
}

void
server_handle_health(struct route_server *server, bool healthy, int64_t now_us)
{
	if (server->unhealthy == !healthy)
		return;
	server->unhealthy = !healthy;
	if (!healthy)
		return;
	if (now_us - server->recovered_us > SERVER_STABLE_US)
		server->flaps = 0;
	server->recovered_us = now_us;
	if (server->flaps > 0)
		server->ejected_until_us =
		    now_us + ((int64_t)SERVER_EJECT_US << (server->flaps - 1));
	if (server->flaps < SERVER_MAX_FLAPS)
		server->flaps++;
}

bool
server_has_model(const struct route_server *server, const char *model)
{
	for (size_t i = 0; i < server->config.model_count; i++) {
		if (strcmp(server->config.models[i], model) == 0)
			return true;
	}
	return false;
}

bool
server_usable(const struct route_server *server, int64_t now_us)
{
	if (!server->configured || server->config.leaving || server->leaving)
		return false;
	if (server->unhealthy || now_us < server->ejected_until_us)
		return false;
	return breaker_allows(&server->breaker, now_us);
}

int64_t
server_estimated_calls(
    const struct route_server *server, const struct sched_policy *policy)
{
	int64_t calls = (int64_t)server->load.running + server->load.waiting;

	if (!policy->no_load_correction)
		calls += server->calls_since_report;
	return calls > server->own_calls ? calls : server->own_calls;
}

int64_t
server_estimated_prefill_tokens(
    const struct route_server *server, const struct sched_policy *policy)
{
	int64_t tokens = (int64_t)server->load.waiting_prefill_tokens;

	if (!policy->no_load_correction)
		tokens += server->prefill_tokens_since_report;
	return tokens > 0 ? tokens : 0;
}

double
server_kv_utilization(const struct route_server *server)
{
	uint64_t capacity = server->load.kv_tokens;

	if (capacity == 0)
		capacity = server->config.kv_tokens;
	if (capacity == 0)
		return 0;
	return (double)server->load.kv_used_tokens / (double)capacity;
}
