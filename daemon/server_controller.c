#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/clock.h"
#include "common/memory.h"
#include "daemon/cache_events.h"
#include "daemon/controller.h"
#include "net/http.h"

enum {
	POLL_INTERVAL_MS = 500,
	POLL_TIMEOUT_US = 2 * US_PER_S,
	/** Failed polls in a row after which a server counts as unhealthy. */
	UNHEALTHY_FAILURES = 3,
};

/* Server name that stands for every declared server. */
static const char all_servers[] = "*";

/** Polls of one backend server. */
struct server_poll {
	struct list link;
	struct server_controller *controller;
	char server[NAME_BYTES];
	char address[CONFIG_ADDRESS_BYTES];
	int port;
	struct http_call *load_call;
	struct http_call *event_call;
	struct cache_event_reader cache_events;
	int failures;  /**< failed polls in a row */
	bool declared; /**< in the configuration in force */
};

/** Requests to all servers to release one program's KV cache. */
struct kv_release_group {
	size_t pending; /**< requests without a response yet */
	bool failed;    /**< a request was not confirmed */
};

/** A request to release a program's KV cache, in progress. */
struct kv_release {
	struct list link;
	struct server_controller *controller;
	struct http_call *call;
	char server[NAME_BYTES];
	char program[PROGRAM_ID_BYTES];
	bool ended; /**< program has ended; the owner waits for the release */
	/** NULL for a request to one server only. */
	struct kv_release_group *group;
};

/** Polls and release requests of all servers. */
struct server_controller {
	struct daemon *daemon;
	uv_timer_t *timer;
	struct list polls;    /**< of struct server_poll */
	struct list releases; /**< of struct kv_release */
};

/* Returns a member as a number, or 0 if it is missing or negative. */
static uint64_t
get_number(json_t *object, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(object, name));

	return value > 0 ? (uint64_t)value : 0;
}

/* Reports a successful poll at once, and failures after UNHEALTHY_FAILURES in a
 * row. */
static void
report_health(struct server_poll *poll, bool ok)
{
	struct daemon *daemon = poll->controller->daemon;

	poll->failures = ok ? 0 : poll->failures + 1;
	if (ok || poll->failures >= UNHEALTHY_FAILURES)
		sched_handle_health(
		    daemon->sched, poll->server, ok, daemon->blackboard.now_us);
}

static void
handle_load(void *context, const struct http_response *response)
{
	struct server_poll *poll = context;
	struct daemon *daemon = poll->controller->daemon;
	json_t *root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);
	struct sched_load load = {
	    .running = (uint32_t)get_number(root, "running"),
	    .waiting = (uint32_t)get_number(root, "waiting"),
	    .kv_used_tokens = get_number(root, "kv_used_tokens"),
	    .kv_tokens = get_number(root, "kv_tokens"),
	    .waiting_prefill_tokens =
		get_number(root, "waiting_prefill_tokens"),
	};

	poll->load_call = NULL;
	daemon->blackboard.now_us = clock_monotonic_us();
	load.measured_us = daemon->blackboard.now_us -
	    (int64_t)get_number(root, "age_ms") * US_PER_MS;
	report_health(poll, root != NULL);
	if (root != NULL)
		sched_handle_load(daemon->sched, poll->server, &load,
		    daemon->blackboard.now_us);
	json_decref(root);
}

static enum sched_cache_event
cache_event_type(json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));

	if (type != NULL && strcmp(type, "stored") == 0)
		return SCHED_CACHE_STORED;
	if (type != NULL && strcmp(type, "evicted") == 0)
		return SCHED_CACHE_EVICTED;
	return SCHED_CACHE_CLEARED;
}

/* Numbers may be skipped. In the gap, evictions may have been missed, but not
 * what is stored. */
static void
handle_cache_event(void *context, json_t *event)
{
	struct server_poll *poll = context;
	struct daemon *daemon = poll->controller->daemon;
	const char *program =
	    json_string_value(json_object_get(event, "program"));

	sched_handle_cache_event(daemon->sched, poll->server,
	    cache_event_type(event), program != NULL ? program : "",
	    get_number(event, "tokens"), daemon->blackboard.now_us);
}

static void
handle_events(void *context, const struct http_response *response)
{
	struct server_poll *poll = context;
	json_t *root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);

	poll->event_call = NULL;
	poll->controller->daemon->blackboard.now_us = clock_monotonic_us();
	cache_events_read(&poll->cache_events, root, handle_cache_event, poll);
	json_decref(root);
}

static void
start_polls(struct server_poll *poll)
{
	struct net *net = poll->controller->daemon->net;
	char path[HTTP_PATH_BYTES];
	struct http_call_params params = {
	    .address = poll->address,
	    .port = poll->port,
	    .method = HTTP_GET,
	    .path = "/v1/load",
	    .timeout_us = POLL_TIMEOUT_US,
	};

	if (poll->load_call == NULL)
		poll->load_call = http_fetch(net, &params, handle_load, poll);
	cache_events_target(&poll->cache_events, path, sizeof(path));
	params.path = path;
	if (poll->event_call == NULL)
		poll->event_call =
		    http_fetch(net, &params, handle_events, poll);
}

static void
handle_timer(uv_timer_t *timer)
{
	struct server_controller *controller = timer->data;

	list_for_each (poll, &controller->polls, struct server_poll, link)
		start_polls(poll);
}

static void
poll_destroy(struct server_poll *poll)
{
	if (poll->load_call != NULL)
		http_call_cancel(poll->load_call);
	if (poll->event_call != NULL)
		http_call_cancel(poll->event_call);
	list_remove(&poll->link);
	free(poll);
}

static struct server_poll *
find_poll(struct server_controller *controller, const char *server)
{
	list_for_each (poll, &controller->polls, struct server_poll, link) {
		if (strcmp(poll->server, server) == 0)
			return poll;
	}
	return NULL;
}

/* Adds the poll of a declared server, or updates its address. */
static void
add_or_update_poll(
    struct server_controller *controller, const struct config_server *server)
{
	struct server_poll *poll = find_poll(controller, server->name);

	if (poll == NULL) {
		poll = xcalloc(1, sizeof(*poll));
		poll->controller = controller;
		snprintf(poll->server, NAME_BYTES, "%s", server->name);
		list_append(&controller->polls, &poll->link);
	}
	snprintf(poll->address, sizeof(poll->address), "%s", server->address);
	poll->port = server->port;
	poll->declared = true;
}

void
server_controller_reload(struct server_controller *controller)
{
	const struct config *config =
	    controller->daemon->blackboard.config.current;

	list_for_each (poll, &controller->polls, struct server_poll, link)
		poll->declared = false;
	for (size_t i = 0; i < config->server_count; i++)
		add_or_update_poll(controller, &config->servers[i]);
	list_for_each_safe (
	    poll, tmp, &controller->polls, struct server_poll, link) {
		if (!poll->declared)
			poll_destroy(poll);
	}
}

/* Counts a response. After the last one, tells the owner of the release if all
 * servers have confirmed. */
static void
finish_group_release(struct kv_release *release, bool ok)
{
	struct kv_release_group *group = release->group;
	struct daemon *daemon = release->controller->daemon;

	group->failed = group->failed || !ok;
	if (--group->pending > 0)
		return;
	if (!group->failed)
		owner_kv_released(daemon->owner, release->program, all_servers,
		    daemon->blackboard.now_us);
	free(group);
}

static void
release_free(struct kv_release *release)
{
	list_remove(&release->link);
	free(release);
}

static void
handle_released(void *context, const struct http_response *response)
{
	struct kv_release *release = context;
	struct daemon *daemon = release->controller->daemon;
	bool ok = response->result == HTTP_RESULT_OK && response->status == 200;

	daemon->blackboard.now_us = clock_monotonic_us();
	if (!ok)
		daemon->blackboard.counters.retries[RETRY_RELEASE]++;
	if (release->group != NULL)
		finish_group_release(release, ok);
	else if (ok && release->ended)
		owner_kv_released(daemon->owner, release->program,
		    release->server, daemon->blackboard.now_us);
	release_free(release);
}

static void
send_release(struct server_controller *controller,
    const struct config_server *server, const char *program, bool ended,
    struct kv_release_group *group)
{
	struct daemon *daemon = controller->daemon;
	struct kv_release *release = xcalloc(1, sizeof(*release));
	char body[2 * NAME_BYTES];
	struct http_call_params params = {
	    .address = server->address,
	    .port = server->port,
	    .method = HTTP_POST,
	    .path = "/v1/kv/release",
	    .body = body,
	    .timeout_us = POLL_TIMEOUT_US,
	};

	release->controller = controller;
	release->ended = ended;
	release->group = group;
	snprintf(release->server, NAME_BYTES, "%s", server->name);
	snprintf(release->program, PROGRAM_ID_BYTES, "%s", program);
	params.body_len = (size_t)snprintf(
	    body, sizeof(body), "{\"program\":\"%s\"}", program);
	list_append(&controller->releases, &release->link);
	release->call =
	    http_fetch(daemon->net, &params, handle_released, release);
}

void
server_controller_release_kv_everywhere(
    struct server_controller *controller, const char *program)
{
	const struct config *config =
	    controller->daemon->blackboard.config.current;
	struct kv_release_group *group;

	if (config->server_count == 0) {
		owner_kv_released(controller->daemon->owner, program,
		    all_servers, controller->daemon->blackboard.now_us);
		return;
	}
	group = xcalloc(1, sizeof(*group));
	group->pending = config->server_count;
	for (size_t i = 0; i < config->server_count; i++)
		send_release(
		    controller, &config->servers[i], program, true, group);
}

void
server_controller_release_kv(struct server_controller *controller,
    const char *server, const char *program)
{
	struct daemon *daemon = controller->daemon;
	const struct config_server *declared =
	    config_find_server(daemon->blackboard.config.current, server);

	if (declared != NULL)
		send_release(controller, declared, program, true, NULL);
	else /* A server that is no longer declared runs no programs. */
		owner_kv_released(
		    daemon->owner, program, server, daemon->blackboard.now_us);
}

void
server_controller_drop_kv(struct server_controller *controller,
    const char *server, const char *program)
{
	const struct config_server *declared = config_find_server(
	    controller->daemon->blackboard.config.current, server);

	if (declared != NULL)
		send_release(controller, declared, program, false, NULL);
}

struct server_controller *
server_controller_create(struct daemon *daemon)
{
	struct server_controller *controller = xcalloc(1, sizeof(*controller));

	controller->daemon = daemon;
	list_init(&controller->polls);
	list_init(&controller->releases);
	controller->timer = xcalloc(1, sizeof(*controller->timer));
	uv_timer_init(&daemon->loop, controller->timer);
	controller->timer->data = controller;
	uv_timer_start(controller->timer, handle_timer, POLL_INTERVAL_MS,
	    POLL_INTERVAL_MS);
	return controller;
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
server_controller_destroy(struct server_controller *controller)
{
	list_for_each_safe (
	    poll, tmp, &controller->polls, struct server_poll, link)
		poll_destroy(poll);
	list_for_each_safe (
	    release, tmp, &controller->releases, struct kv_release, link) {
		http_call_cancel(release->call);
		free(release);
	}
	uv_close((uv_handle_t *)controller->timer, handle_closed);
	free(controller);
}
