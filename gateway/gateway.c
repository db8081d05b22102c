#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/gateway.h"
#include "gateway/memory_bounds.h"
#include "gateway/ownership.h"
#include "gateway/path_watch.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine.h"
#include "gateway/recorder.h"
#include "gateway/relay.h"
#include "gateway/request.h"
#include "gateway/server_limits.h"
#include "gateway/settings_reload.h"
#include "gateway/stop.h"
#include "gateway/turn.h"
#include "gateway/workspace_caps.h"
#include "gateway/workspace_counters.h"

enum {
	TICK_MS = 100,
	MEMORY_TRIM_MS = 1000,
	/* Limits on callers until a configuration is in force. */
	HEADER_MAX_BYTES = 16384,
	BODY_MAX_BYTES = 4 << 20,
	HEADER_TIMEOUT_US = 3 * US_PER_S,
	IDLE_TIMEOUT_US = 15 * US_PER_S,
	/* Time for which sent bytes may stay unacknowledged. */
	BACKEND_ACK_TIMEOUT_US = 4 * US_PER_S,
	/* Time for which an idle connection is kept for reuse. */
	BACKEND_IDLE_TIMEOUT_US = 4 * US_PER_S,
};

static enum refusal
rejection_reason(const struct h1_rejection *rejection)
{
	switch (rejection->status) {
	case 408:
		return REFUSAL_DEADLINE;
	case 413:
	case 431:
		return REFUSAL_TOO_LARGE;
	default:
		return REFUSAL_MALFORMED;
	}
}

static void
handle_rejected(void *context, const struct h1_rejection *rejection)
{
	struct gateway *gateway = context;
	struct trace trace;

	gateway->counters.requests_total++;
	gateway->counters.refusals[rejection_reason(rejection)]++;
	trace_begin(&trace, "request_rejected");
	trace_number(&trace, "status", rejection->status);
	trace_text(&trace, "reason", rejection->reason);
	trace_text(&trace, "why", rejection->detail);
	trace_text(&trace, "peer", rejection->peer);
	trace_end(&trace);
}

static bool
create_caller_server(struct gateway *gateway, struct error *err)
{
	char address[SETTING_BYTES];
	struct h1_server_options options = {
	    .address = address,
	    .limits =
		{
		    .max_header_bytes = HEADER_MAX_BYTES,
		    .max_body_bytes = BODY_MAX_BYTES,
		    .header_timeout_us = HEADER_TIMEOUT_US,
		    .idle_timeout_us = IDLE_TIMEOUT_US,
		},
	    .on_request = request_handle,
	    .on_rejected = handle_rejected,
	    .context = gateway,
	};

	settings_split_endpoint(
	    gateway->settings.gateway_callers, address, &options.port);
	gateway->caller_server =
	    h1_server_create(&gateway->loop, &options, err);
	return gateway->caller_server != NULL;
}

static void
handle_tick(uv_timer_t *timer)
{
	struct gateway *gateway = timer->data;

	stop_tick(gateway);
	config_watch_tick(gateway->config_watch);
	path_watch_tick(gateway->path_watch);
	quarantine_tick(gateway->quarantine);
	workspace_caps_tick(gateway->workspace_caps);
	memory_bounds_tick(gateway->memory_bounds);
	settings_reload_tick(gateway);
	trace_flush();
}

static void
handle_memory_timer(uv_timer_t *timer)
{
	(void)timer;
	memory_trim();
}

static void
handle_signal(uv_signal_t *signal, int number)
{
	struct gateway *gateway = signal->data;

	if (number == SIGHUP)
		settings_reload_now(gateway, "signal");
	else
		stop_begin(gateway);
}

static void
start_timer_and_signals(struct gateway *gateway)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};

	uv_timer_init(&gateway->loop, &gateway->tick_timer);
	gateway->tick_timer.data = gateway;
	uv_timer_start(&gateway->tick_timer, handle_tick, TICK_MS, TICK_MS);
	uv_timer_init(&gateway->loop, &gateway->memory_timer);
	uv_timer_start(&gateway->memory_timer, handle_memory_timer,
	    MEMORY_TRIM_MS, MEMORY_TRIM_MS);
	for (int i = 0; i < 3; i++) {
		uv_signal_init(&gateway->loop, &gateway->signals[i]);
		gateway->signals[i].data = gateway;
		uv_signal_start(
		    &gateway->signals[i], handle_signal, numbers[i]);
	}
}

static bool
gateway_create(struct gateway *gateway, struct error *err)
{
	const struct h1_client_options client_options = {
	    .ack_timeout_us = BACKEND_ACK_TIMEOUT_US,
	    .idle_timeout_us = BACKEND_IDLE_TIMEOUT_US,
	};

	uv_loop_init(&gateway->loop);
	list_init(&gateway->requests);
	rng_init_random(&gateway->rng);
	gateway->workspace_counters = workspace_counters_create();
	gateway->blackboard.started_us = clock_monotonic_us();
	fleet_load_init(
	    &gateway->blackboard.fleet_load, gateway->settings.failure_domain);
	need_init(&gateway->blackboard.urgency.need);
	backends_init(&gateway->blackboard.backends, gateway->settings.region,
	    gateway->settings.failure_domain, rng_next(&gateway->rng));
	gateway->http_client =
	    h1_client_create(&gateway->loop, &client_options);
	gateway->store = store_create(&gateway->loop, gateway->http_client,
	    gateway->settings.gateway_store, &gateway->counters);
	if (!create_caller_server(gateway, err))
		return false;
	if (gateway->settings.gateway_relay[0] != '\0') {
		gateway->relay_server = relay_server_create(gateway, err);
		if (gateway->relay_server == NULL)
			return false;
	}
	gateway->directory = directory_create(gateway, err);
	if (gateway->directory == NULL)
		return false;
	gateway->peer_gateways = peer_gateways_create(gateway, err);
	if (gateway->peer_gateways == NULL)
		return false;
	gateway->quarantine = quarantine_create(gateway);
	gateway->server_limits = server_limits_create(gateway);
	gateway->workspace_caps = workspace_caps_create(gateway);
	gateway->memory_bounds = memory_bounds_create(gateway);
	gateway->path_watch = path_watch_create(gateway);
	gateway->recorder = recorder_create(gateway);
	gateway->turns = turns_create(gateway);
	gateway->ownership = ownership_create(gateway);
	peer_gateways_start(gateway->peer_gateways);
	gateway->config_watch = config_watch_create(gateway);
	gateway->server_watch = server_watch_create(gateway);
	start_timer_and_signals(gateway);
	return true;
}

static void
gateway_destroy(struct gateway *gateway)
{
	request_fail_all(gateway);
	config_watch_destroy(gateway->config_watch);
	server_watch_destroy(gateway->server_watch);
	directory_destroy(gateway->directory);
	ownership_destroy(gateway->ownership);
	turns_destroy(gateway->turns);
	recorder_destroy(gateway->recorder);
	quarantine_destroy(gateway->quarantine);
	server_limits_destroy(gateway->server_limits);
	workspace_caps_destroy(gateway->workspace_caps);
	memory_bounds_destroy(gateway->memory_bounds);
	path_watch_destroy(gateway->path_watch);
	peer_gateways_destroy(gateway->peer_gateways);
	store_destroy(gateway->store);
	h1_server_destroy(gateway->caller_server);
	h1_server_destroy(gateway->relay_server);
	h1_client_destroy(gateway->http_client);
	uv_close((uv_handle_t *)&gateway->tick_timer, NULL);
	uv_close((uv_handle_t *)&gateway->memory_timer, NULL);
	for (int i = 0; i < 3; i++)
		uv_close((uv_handle_t *)&gateway->signals[i], NULL);
	uv_run(&gateway->loop, UV_RUN_DEFAULT);
	workspace_counters_destroy(gateway->workspace_counters);
	gateway_config_unref(gateway->blackboard.config);
	for (size_t i = 0; i < REPLACED_CONFIGS_MAX; i++)
		gateway_config_unref(gateway->blackboard.replaced_configs[i]);
	backends_reset(&gateway->blackboard.backends);
	fleet_load_reset(&gateway->blackboard.fleet_load);
	need_reset(&gateway->blackboard.urgency.need);
	uv_loop_close(&gateway->loop);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (*path != NULL)
			argp_usage(state);
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (*path == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp gateway_argp = {
    .parser = parse_option,
    .args_doc = "SETTINGS",
    .doc = "Runs the entry gateway with an INI settings file. It stops "
	   "gracefully on SIGTERM, and reads the file again on SIGHUP.",
};

static void
trace_start(const struct gateway *gateway)
{
	struct trace trace;

	trace_begin_unlimited(&trace, "started");
	trace_text(&trace, "version", GUAVAKEEL_VERSION);
	trace_text(&trace, "callers", gateway->settings.gateway_callers);
	trace_text(&trace, "failure_domain", gateway->settings.failure_domain);
	trace_text(&trace, "region", gateway->settings.region);
	trace_end(&trace);
	trace_flush();
}

int
gateway_main(int argc, char **argv)
{
	struct gateway *gateway = xcalloc(1, sizeof(*gateway));
	const char *path = NULL;
	struct error err = {0};

	argp_parse(&gateway_argp, argc, argv, 0, NULL, &path);
	if (!settings_reload_initial(gateway, path)) {
		free(gateway);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	diag_set_level(gateway->settings.log_level);
	diag_set_process(gateway->settings.vm_name);
	trace_set_process(gateway->settings.vm_name);
	if (sodium_init() < 0)
		error_set(&err, ERROR_STATE, "libsodium does not start");
	if (err.text[0] != '\0' || !gateway_create(gateway, &err)) {
		diag(LOG_ERR, NULL, "cannot start: %s", err.text);
		return 1;
	}
	trace_start(gateway);
	uv_run(&gateway->loop, UV_RUN_DEFAULT);
	gateway_destroy(gateway);
	trace_flush();
	free(gateway);
	return 0;
}
