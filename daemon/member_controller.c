#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "daemon/controller.h"
#include "net/http.h"

enum {
	PROBE_INTERVAL_MS = 500,
	PROBE_TIMEOUT_US = 1 * US_PER_S,
};

/** Timers and requests that keep the list of members up to date. */
struct member_controller {
	struct daemon *daemon;
	uv_timer_t *list_timer;
	uv_timer_t *probe_timer;
	struct http_call *list_call; /**< NULL unless one is in progress */
	struct list probes;          /**< of struct probe */
};

/** A health request to another VM, in progress. */
struct probe {
	struct list link;
	struct member_controller *controller;
	struct http_call *call;
	char vm[NAME_BYTES];
};

/* Returns the VM that is preferred for a shard after this one, or "". */
static const char *
next_owner(struct daemon *daemon, uint32_t shard)
{
	for (size_t choice = 0; choice < 2; choice++) {
		const struct member *member =
		    members_shard_choice(&daemon->blackboard.members, shard,
			choice, daemon->blackboard.now_us);

		if (member != NULL &&
		    strcmp(member->vm, daemon->settings.vm_name) != 0)
			return member->vm;
	}
	return "";
}

/* Tells the owner which VMs are gone, so that their shards may be claimed. */
static void
suspect_gone_members(struct daemon *daemon)
{
	const struct members *members = &daemon->blackboard.members;

	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (member_state(member, daemon->blackboard.now_us) ==
		    MEMBER_GONE)
			owner_suspect(daemon->owner, member->vm);
	}
}

/* Tells the owner this VM's part of the appends to the log. All VMs that are
 * not gone have equal parts. */
static void
set_append_share(struct daemon *daemon)
{
	const struct members *members = &daemon->blackboard.members;
	size_t present_count = 0;

	for (size_t i = 0; i < members->count; i++) {
		if (member_state(&members->items[i],
			daemon->blackboard.now_us) != MEMBER_GONE)
			present_count++;
	}
	owner_set_append_share(daemon->owner,
	    present_count > 0 ? 1.0 / (double)present_count : 1.0);
}

void
member_controller_assign(struct daemon *daemon)
{
	const struct config *config = daemon->blackboard.config.current;

	if (daemon->owner == NULL)
		return;
	suspect_gone_members(daemon);
	set_append_share(daemon);
	for (uint32_t shard = 0; shard < config->limits.shards; shard++) {
		const struct member *owner =
		    members_shard_owner(&daemon->blackboard.members, shard,
			daemon->blackboard.now_us);
		bool should_own = !daemon->blackboard.draining &&
		    owner != NULL &&
		    strcmp(owner->vm, daemon->settings.vm_name) == 0;

		owner_set_shard_wanted(daemon->owner, shard, should_own,
		    should_own ? "" : next_owner(daemon, shard));
	}
}

static void
copy_member(json_t *object, const char *name, char *value, size_t size)
{
	const char *text = json_string_value(json_object_get(object, name));

	snprintf(value, size, "%s", text != NULL ? text : "");
}

static enum member_state
parse_listed_state(json_t *item)
{
	const char *state = json_string_value(json_object_get(item, "state"));

	return state != NULL && strcmp(state, "leaving") == 0 ? MEMBER_LEAVING
							      : MEMBER_LIVE;
}

static void
read_member(struct members *members, json_t *item, int64_t now_us)
{
	const char *vm = json_string_value(json_object_get(item, "vm"));
	struct member *member;

	if (vm == NULL || vm[0] == '\0' || strlen(vm) >= NAME_BYTES)
		return;
	member = members_add(members, vm);
	copy_member(item, "address", member->address, NAME_BYTES);
	copy_member(item, "peer_address", member->peer_address, NAME_BYTES);
	copy_member(item, "failure_domain", member->failure_domain, NAME_BYTES);
	copy_member(item, "region", member->region, NAME_BYTES);
	member->port = (int)json_integer_value(json_object_get(item, "port"));
	member->peer_port =
	    (int)json_integer_value(json_object_get(item, "peer_port"));
	member->listed_state = parse_listed_state(item);
	if (member->added_us == 0)
		member->added_us = now_us;
}

/* Adds this VM to the members, or updates it. This must not depend on the
 * platform's list, which may lack this VM. */
static void
add_self(struct daemon *daemon)
{
	struct member *self =
	    members_add(&daemon->blackboard.members, daemon->settings.vm_name);

	snprintf(self->address, NAME_BYTES, "%.60s",
	    daemon->settings.listen_address);
	self->port = net_port(daemon->net);
	snprintf(self->failure_domain, NAME_BYTES, "%.60s",
	    daemon->settings.failure_domain);
	snprintf(self->region, NAME_BYTES, "%.60s", daemon->settings.region);
	self->listed_state = MEMBER_LIVE;
	self->draining = daemon->blackboard.draining;
	member_heartbeat_received(self, daemon->blackboard.now_us);
	self->config_version = daemon->blackboard.config.version;
}

static void
handle_list(void *context, const struct http_response *response)
{
	struct member_controller *controller = context;
	struct daemon *daemon = controller->daemon;
	struct members *members = &daemon->blackboard.members;
	json_t *root;
	json_t *list;
	json_t *item;
	size_t index;

	controller->list_call = NULL;
	if (response->result != HTTP_RESULT_OK || response->status != 200)
		return;
	root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);
	list = json_object_get(root, "vms");
	if (json_is_array(list)) {
		for (size_t i = 0; i < members->count; i++)
			members->items[i].listed_state = MEMBER_GONE;
		json_array_foreach (list, index, item)
			read_member(members, item, daemon->blackboard.now_us);
		members->listed_us = daemon->blackboard.now_us;
	}
	json_decref(root);
	add_self(daemon);
	member_controller_assign(daemon);
}

static void
handle_list_timer(uv_timer_t *timer)
{
	struct member_controller *controller = timer->data;
	struct daemon *daemon = controller->daemon;
	const struct http_call_params params = {
	    .address = daemon->settings.members_address,
	    .port = daemon->settings.members_port,
	    .method = HTTP_GET,
	    .path = "/v1/vms",
	};

	if (controller->list_call == NULL)
		controller->list_call =
		    http_fetch(daemon->net, &params, handle_list, controller);
}

static void
handle_probe(void *context, const struct http_response *response)
{
	struct probe *probe = context;
	struct daemon *daemon = probe->controller->daemon;
	struct member *member =
	    members_find(&daemon->blackboard.members, probe->vm);
	json_t *root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);

	daemon->blackboard.now_us = clock_monotonic_us();
	if (member != NULL && response->result == HTTP_RESULT_OK &&
	    root != NULL) {
		member_heartbeat_received(member, daemon->blackboard.now_us);
		member->draining =
		    json_is_true(json_object_get(root, "draining"));
		member->config_version = (uint64_t)json_integer_value(
		    json_object_get(root, "config_version"));
	}
	json_decref(root);
	list_remove(&probe->link);
	free(probe);
}

static void
start_probe(struct member_controller *controller, const struct member *member)
{
	struct probe *probe = xcalloc(1, sizeof(*probe));
	const struct http_call_params params = {
	    .address = member->address,
	    .port = member->port,
	    .method = HTTP_GET,
	    .path = "/readyz",
	    .timeout_us = PROBE_TIMEOUT_US,
	};

	probe->controller = controller;
	snprintf(probe->vm, sizeof(probe->vm), "%s", member->vm);
	list_append(&controller->probes, &probe->link);
	probe->call =
	    http_fetch(controller->daemon->net, &params, handle_probe, probe);
}

static void
handle_probe_timer(uv_timer_t *timer)
{
	struct member_controller *controller = timer->data;
	struct daemon *daemon = controller->daemon;
	const struct members *members = &daemon->blackboard.members;

	daemon->blackboard.now_us = clock_monotonic_us();
	add_self(daemon);
	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (strcmp(member->vm, daemon->settings.vm_name) != 0 &&
		    member->listed_state != MEMBER_GONE)
			start_probe(controller, member);
	}
	member_controller_assign(daemon);
}

static uv_timer_t *
start_timer(struct member_controller *controller, uv_timer_cb callback,
    int64_t interval_ms)
{
	uv_timer_t *timer = xcalloc(1, sizeof(*timer));

	uv_timer_init(&controller->daemon->loop, timer);
	timer->data = controller;
	uv_timer_start(timer, callback, 0, (uint64_t)interval_ms);
	return timer;
}

struct member_controller *
member_controller_create(struct daemon *daemon)
{
	struct member_controller *controller = xcalloc(1, sizeof(*controller));

	controller->daemon = daemon;
	list_init(&controller->probes);
	add_self(daemon);
	controller->list_timer = start_timer(controller, handle_list_timer,
	    daemon->settings.members_poll_us / US_PER_MS);
	controller->probe_timer =
	    start_timer(controller, handle_probe_timer, PROBE_INTERVAL_MS);
	return controller;
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
member_controller_destroy(struct member_controller *controller)
{
	if (controller->list_call != NULL)
		http_call_cancel(controller->list_call);
	list_for_each_safe (
	    probe, tmp, &controller->probes, struct probe, link) {
		http_call_cancel(probe->call);
		free(probe);
	}
	uv_close((uv_handle_t *)controller->list_timer, handle_closed);
	uv_close((uv_handle_t *)controller->probe_timer, handle_closed);
	free(controller);
}
