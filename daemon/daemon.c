#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/call.h"
#include "daemon/controller.h"

enum {
	TICK_US = 100 * US_PER_MS, /**< longest time between two pumps */
	KEY_BYTES = 256,
};

/* Releases the KV cache of a program. The server "*" stands for every server
 * that may have run the program. */
static void
release_kv(struct daemon *daemon, const struct owner_event *event)
{
	if (strcmp(event->server, "*") != 0)
		server_controller_release_kv(
		    daemon->server, event->server, event->program);
	else
		server_controller_release_kv_everywhere(
		    daemon->server, event->program);
}

static void
dispatch_event(struct daemon *daemon, const struct owner_event *event)
{
	struct call *call = daemon_find_call(daemon, event->call_id);

	switch (event->type) {
	case OWNER_RELEASE_KV:
		release_kv(daemon, event);
		return;
	case OWNER_SHARD_TAKEN:
	case OWNER_SHARD_LOST:
		diag(LOG_INFO, NULL, "shard %u %s", event->shard,
		    event->type == OWNER_SHARD_TAKEN ? "taken" : "lost");
		return;
	default:
		break;
	}
	if (call == NULL)
		return;
	switch (call->kind) {
	case CALL_MODEL:
		model_call_event(call, event);
		break;
	case CALL_TOOL:
	case CALL_SERVICE:
		service_call_event(call, event);
		break;
	default:
		program_call_event(call, event);
		break;
	}
}

static void
handle_owner_events(struct daemon *daemon)
{
	struct owner_event event;

	while (owner_next_event(daemon->owner, &event))
		dispatch_event(daemon, &event);
}

/* Refuses a call that sched_next_expired() removed from the queue. */
static void
expire_call(struct daemon *daemon, uint64_t id, enum refusal reason)
{
	struct call *call = daemon_find_call(daemon, id);

	if (call == NULL)
		return;
	owner_call_abandon(daemon->owner, id, "", 0, daemon->blackboard.now_us);
	call_refuse(call, reason, EXECUTION_NOT_STARTED, NULL);
}

static void
handle_schedule(struct daemon *daemon)
{
	struct sched_dispatch dispatch;
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
	enum refusal reason;
	uint64_t id;

	while (sched_next_expired(
	    daemon->sched, daemon->blackboard.now_us, &id, &reason))
		expire_call(daemon, id, reason);
	while (sched_next_dispatch(
	    daemon->sched, daemon->blackboard.now_us, &dispatch)) {
		struct call *call = daemon_find_call(daemon, dispatch.call_id);

		if (call != NULL)
			model_call_dispatch(call, &dispatch);
	}
	while (sched_next_release(
	    daemon->sched, daemon->blackboard.now_us, program, server))
		server_controller_drop_kv(daemon->server, server, program);
}

static void
check_durable_timeouts(struct daemon *daemon)
{
	struct call *call;
	struct call *next;

	HASH_ITER (hh, daemon->calls, call, next) {
		if (call->kind == CALL_MODEL)
			model_call_check_durable_timeout(
			    call, daemon->blackboard.now_us);
	}
}

static void
handle_timer(uv_timer_t *timer)
{
	(void)timer; /* daemon_pump() runs before the loop waits again. */
}

static void
arm_timer(struct daemon *daemon)
{
	int64_t next_us = daemon->blackboard.now_us + TICK_US;
	int64_t wait_us;

	if (owner_next_batch_us(daemon->owner) < next_us)
		next_us = owner_next_batch_us(daemon->owner);
	if (sched_next_wakeup_us(daemon->sched) < next_us)
		next_us = sched_next_wakeup_us(daemon->sched);
	wait_us = next_us - daemon->blackboard.now_us;
	uv_timer_start(&daemon->timer, handle_timer,
	    wait_us > 0 ? (uint64_t)(wait_us / US_PER_MS) + 1 : 1, 0);
}

void
daemon_pump(struct daemon *daemon)
{
	daemon->blackboard.now_us = clock_monotonic_us();
	if (daemon->owner != NULL) {
		owner_tick(daemon->owner, daemon->blackboard.now_us);
		handle_owner_events(daemon);
		handle_schedule(daemon);
		handle_owner_events(daemon);
		check_durable_timeouts(daemon);
		redirect_waiting_calls(daemon);
		lane_controller_pump(daemon->lane);
		arm_timer(daemon);
	} else {
		uv_timer_start(
		    &daemon->timer, handle_timer, TICK_US / US_PER_MS, 0);
	}
	stop_controller_pump(daemon->stop);
}

static void
handle_prepare(uv_prepare_t *prepare)
{
	daemon_pump(prepare->data);
}

static void
handle_signal(uv_signal_t *signal, int number)
{
	struct daemon *daemon = signal->data;

	(void)number;
	stop_controller_begin(daemon->stop);
}

void
daemon_start_owner(struct daemon *daemon)
{
	struct owner_options options = {
	    .vm = daemon->settings.vm_name,
	    .address = daemon->address,
	    .limits = &daemon->blackboard.config.current->limits,
	    .counters = &daemon->blackboard.counters,
	    .retention_us = daemon->settings.log_retention_us,
	};
	struct rng rng;

	if (daemon->owner != NULL)
		return;
	rng_init_random(&rng);
	options.seed = rng_next(&rng);
	daemon->owner = owner_create(&options);
}

static void
create_sched(struct daemon *daemon)
{
	struct sched_options options = {
	    .region = daemon->settings.region,
	    .failure_domain = daemon->settings.failure_domain,
	    .counters = &daemon->blackboard.counters,
	};
	struct rng rng;

	rng_init_random(&rng);
	options.seed = rng_next(&rng);
	daemon->sched = sched_create(&options);
}

static const char *
non_empty_or_null(const char *text)
{
	return text[0] != '\0' ? text : NULL;
}

static bool
create_net(struct daemon *daemon, struct error *err)
{
	const struct settings *settings = &daemon->settings;
	const struct net_options options = {
	    .listen_address = settings->listen_address,
	    .listen_port = settings->listen_port,
	    .max_header_bytes = settings->max_header_bytes,
	    .max_body_bytes = settings->max_body_bytes,
	    .max_send_queue_bytes = settings->max_send_queue_bytes,
	    .max_connections = settings->max_connections,
	    .tls_certificate = non_empty_or_null(settings->tls_certificate),
	    .tls_key = non_empty_or_null(settings->tls_key),
	    .handler = api_handle,
	    .handler_context = daemon,
	};

	daemon->net = net_create(&daemon->loop, &options, err);
	if (daemon->net == NULL)
		return false;
	snprintf(daemon->address, sizeof(daemon->address), "%.40s:%d",
	    settings->listen_address, net_port(daemon->net));
	return true;
}

/* Reads the operator key, which is the first line of its file. */
static bool
read_operator_key(struct daemon *daemon, struct error *err)
{
	const char *path = daemon->settings.operator_key_file;
	char key[KEY_BYTES] = "";
	FILE *file;

	if (path[0] == '\0')
		return true;
	file = fopen(path, "re");
	if (file == NULL || fgets(key, sizeof(key), file) == NULL) {
		if (file != NULL)
			fclose(file);
		return error_set(err, ERROR_INVALID,
		    "%s: cannot read the operator key", path);
	}
	fclose(file);
	key[strcspn(key, "\r\n")] = '\0';
	daemon->operator_key = digest_chain(NULL, key, strlen(key));
	daemon->has_operator_key = true;
	sodium_memzero(key, sizeof(key));
	return true;
}

static void
start_handles(struct daemon *daemon)
{
	static const int signal_numbers[] = {SIGTERM, SIGINT};

	uv_prepare_init(&daemon->loop, &daemon->prepare);
	daemon->prepare.data = daemon;
	uv_prepare_start(&daemon->prepare, handle_prepare);
	uv_timer_init(&daemon->loop, &daemon->timer);
	for (int i = 0; i < 2; i++) {
		uv_signal_init(&daemon->loop, &daemon->signals[i]);
		daemon->signals[i].data = daemon;
		uv_signal_start(
		    &daemon->signals[i], handle_signal, signal_numbers[i]);
	}
}

static bool
daemon_create(struct daemon *daemon, struct error *err)
{
	uv_loop_init(&daemon->loop);
	daemon->blackboard.settings = &daemon->settings;
	daemon->blackboard.started_us = clock_monotonic_us();
	daemon->blackboard.now_us = daemon->blackboard.started_us;
	if (!read_operator_key(daemon, err) || !create_net(daemon, err))
		return false;
	daemon->plog = plog_create(daemon->net, daemon->settings.log_address,
	    daemon->settings.log_port, &daemon->blackboard.counters);
	create_sched(daemon);
	daemon->stop = stop_controller_create(daemon);
	daemon->server = server_controller_create(daemon);
	daemon->lane = lane_controller_create(daemon);
	daemon->member = member_controller_create(daemon);
	daemon->config = config_controller_create(daemon);
	start_handles(daemon);
	return true;
}

static void
daemon_destroy(struct daemon *daemon)
{
	struct call *call;
	struct call *next;

	HASH_ITER (hh, daemon->calls, call, next)
		call_destroy(call);
	config_controller_destroy(daemon->config);
	member_controller_destroy(daemon->member);
	lane_controller_destroy(daemon->lane);
	server_controller_destroy(daemon->server);
	stop_controller_destroy(daemon->stop);
	plog_destroy(daemon->plog);
	owner_destroy(daemon->owner);
	sched_destroy(daemon->sched);
	members_reset(&daemon->blackboard.members);
	uv_close((uv_handle_t *)&daemon->prepare, NULL);
	uv_close((uv_handle_t *)&daemon->timer, NULL);
	uv_close((uv_handle_t *)&daemon->signals[0], NULL);
	uv_close((uv_handle_t *)&daemon->signals[1], NULL);
	net_destroy(daemon->net);
	uv_loop_close(&daemon->loop);
}

/** Command line of `guavakeel daemon`. */
struct daemon_arguments {
	const char *settings_path;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct daemon_arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (arguments->settings_path != NULL)
			argp_usage(state);
		arguments->settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (arguments->settings_path == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp daemon_argp = {
    .parser = parse_option,
    .args_doc = "SETTINGS",
    .doc = "Runs the entry daemon with an INI settings file. It stops "
	   "gracefully on SIGTERM: it finishes the calls in progress first.",
};

int
daemon_main(int argc, char **argv)
{
	struct daemon_arguments arguments = {0};
	struct daemon *daemon = xcalloc(1, sizeof(*daemon));
	struct findings findings;
	struct error err = {0};

	argp_parse(&daemon_argp, argc, argv, 0, NULL, &arguments);
	findings_init(&findings);
	settings_defaults(&daemon->settings);
	if (!settings_load(
		&daemon->settings, arguments.settings_path, &findings)) {
		findings_print(&findings, stderr);
		findings_reset(&findings);
		free(daemon);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	diag_set_level(daemon->settings.log_level);
	diag_set_process(daemon->settings.vm_name);
	if (sodium_init() < 0)
		error_set(&err, ERROR_STATE, "libsodium does not start");
	if (err.text[0] != '\0' || !daemon_create(daemon, &err)) {
		diag(LOG_ERR, NULL, "cannot start: %s", err.text);
		free(daemon);
		return 1;
	}
	printf("listening %d\n", net_port(daemon->net));
	fflush(stdout);
	diag(LOG_NOTICE, NULL, "serving at %s", daemon->address);
	uv_run(&daemon->loop, UV_RUN_DEFAULT);
	daemon_destroy(daemon);
	free(daemon);
	return 0;
}
