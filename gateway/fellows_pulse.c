#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/fellows_internal.h"
#include "gateway/ownership.h"
#include "gateway/recorder.h"

enum {
	PULSE_MS = 100,     /* between signs of life in a failure domain */
	FAR_PULSES = 5,     /* of which so many make one to the others */
	PARTS_PULSES = 5,   /* and so many tell of caches */
	EXPIRE_PULSES = 50, /* and so many forget old caches */
	PARTS_MAX = 256,    /* of which a pulse tells */
	HEARD_MAX = 512,    /* gateways that a pulse tells of */
	FAR_FANOUT = 2,     /* gateways of each other failure domain */
	FORGET_US = 60 * US_PER_S, /* silence after which it is dropped */
};

void
fellows_describe_self(struct fellows *fellows, struct message *message)
{
	const struct gateway *gateway = fellows->gateway;
	const struct settings *settings = &gateway->settings;
	struct message_member *self = &message->pulse.self;
	char address[SETTING_BYTES];
	int port;

	*message = (struct message){.type = MESSAGE_PULSE};
	snprintf(self->vm, NAME_BYTES, "%.63s", settings->vm_name);
	settings_split_endpoint(settings->gateway_callers, address, &port);
	snprintf(self->address, NAME_BYTES, "%.63s", address);
	self->port = (uint32_t)port;
	settings_split_endpoint(settings->gateway_peers, address, &port);
	snprintf(self->peer_address, NAME_BYTES, "%.63s", address);
	self->peer_port = (uint32_t)port;
	snprintf(self->failure_domain, NAME_BYTES, "%.63s",
	    settings->failure_domain);
	snprintf(self->region, NAME_BYTES, "%.63s", settings->region);
	self->incarnation = fellows->incarnation;
	self->draining = gateway->board.stopping;
	self->log_lost = recorder_store_is_lost(gateway->recorder);
	if (gateway->board.config != NULL)
		self->config_version = gateway->board.config->version;
	message->pulse.generation = ownership_generation(gateway->ownership);
	message->pulse.owned = ownership_owned(gateway->ownership);
}

/* ---- what pulses tell ---- */

/* Lists the requests that run from here, server by server. */
static size_t
list_loads(const struct gateway *gateway, struct message_load **loads)
{
	const struct backends *backends = &gateway->board.backends;
	size_t count = 0;

	*loads = xcalloc(HASH_COUNT(backends->by_id) + 1, sizeof(**loads));
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (backend->running == 0)
			continue;
		(*loads)[count++] = (struct message_load){
		    .server = hash_text(backend->entry.id, 0),
		    .running = backend->running,
		};
	}
	return count;
}

static size_t
list_parts(const struct gateway *gateway, struct message_part **parts)
{
	struct residency_shared_part shared[PARTS_MAX];
	size_t count = residency_list_shared(
	    &gateway->board.backends.residency, shared, PARTS_MAX);

	*parts = xcalloc(count + 1, sizeof(**parts));
	for (size_t i = 0; i < count; i++)
		(*parts)[i] = (struct message_part){
		    .part = shared[i].part,
		    .server = shared[i].server,
		    .tokens = shared[i].tokens,
		};
	return count;
}

static void
take_parts(struct fellows *fellows, const struct message_pulse *pulse)
{
	struct residency *residency =
	    &fellows->gateway->board.backends.residency;
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < pulse->part_count; i++)
		residency_add(residency, pulse->parts[i].part,
		    pulse->parts[i].server, pulse->parts[i].tokens, false,
		    now_us);
}

/* Lists the gateways of other failure domains that were heard from here since
 * the last such list: each of them sends to a few gateways of this one only. */
static size_t
list_heard(const struct fellows *fellows, struct message_heard **heard)
{
	const struct member *members[HEARD_MAX];
	size_t count = members_list_first_hand(&fellows->members,
	    fellows->gateway->settings.failure_domain,
	    clock_monotonic_us() -
		(int64_t)(FAR_PULSES + 1) * PULSE_MS * US_PER_MS,
	    members, HEARD_MAX);

	*heard = xcalloc(count + 1, sizeof(**heard));
	for (size_t i = 0; i < count; i++)
		(*heard)[i].vm = hash_text(members[i]->vm, 0);
	return count;
}

static void
take_heard(struct fellows *fellows, const struct message_pulse *pulse)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < pulse->heard_count; i++) {
		for (size_t k = 0; k < fellows->members.count; k++) {
			if (fellows->items[k].hash == pulse->heard[i].vm)
				member_heard_of(
				    &fellows->members.items[k], now_us);
		}
	}
}

/* ---- sending ---- */

/* A pulse goes to each gateway of this failure domain, and now and then to a
 * few of each other one, the same ones each time. */
static bool
is_far_partner(const struct fellows *fellows, const struct member *member)
{
	uint64_t score =
	    hash_text(member->vm, hash_text(fellows_own_vm(fellows), 0));
	size_t better = 0;

	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct member *other = &fellows->members.items[i];

		if (strcmp(other->failure_domain, member->failure_domain) !=
			0 ||
		    other == member || !fellow_is_live(other))
			continue;
		better += hash_text(other->vm,
			      hash_text(fellows_own_vm(fellows), 0)) > score;
	}
	return better < FAR_FANOUT;
}

void
fellows_send_pulses(struct fellows *fellows, bool far)
{
	struct message message;
	size_t heard_count = 0;

	fellows_describe_self(fellows, &message);
	message.pulse.load_count =
	    list_loads(fellows->gateway, &message.pulse.loads);
	if (fellows->pulses % PARTS_PULSES == 0)
		message.pulse.part_count =
		    list_parts(fellows->gateway, &message.pulse.parts);
	if (far)
		heard_count = list_heard(fellows, &message.pulse.heard);
	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct member *member = &fellows->members.items[i];

		message.pulse.heard_count =
		    fellow_is_near(fellows, member) ? heard_count : 0;
		if (fellow_is_near(fellows, member) ||
		    (far && is_far_partner(fellows, member)))
			fellows_send(fellows, member->vm, &message);
	}
	free(message.pulse.loads);
	free(message.pulse.parts);
	free(message.pulse.heard);
}

void
fellows_pulse(struct fellows *fellows)
{
	struct message message;

	fellows_describe_self(fellows, &message);
	fellows_broadcast(fellows, &message);
}

static void
trace_fellow(const char *event, const struct fellow *fellow)
{
	struct trace trace;

	trace_begin_rare(&trace, event);
	trace_text(&trace, "vm", fellow->vm);
	trace_text(&trace, "callers", fellow->callers);
	trace_end(&trace);
}

static void
report_silent(struct fellows *fellows)
{
	for (size_t i = 0; i < fellows->members.count; i++) {
		struct fellow *fellow = &fellows->items[i];

		if (!fellow->reported_live ||
		    fellow_is_live(&fellows->members.items[i]))
			continue;
		fellow->reported_live = false;
		trace_fellow("gateway_silent", fellow);
	}
}

static void
drop_silent(struct fellows *fellows)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = fellows->members.count; i > 0; i--) {
		struct member *member = &fellows->members.items[i - 1];
		int64_t since_us =
		    member->heard_us != 0 ? member->heard_us : member->added_us;
		size_t last = fellows->members.count - 1;

		if (now_us - since_us < FORGET_US)
			continue;
		peer_forget(fellows->peer, member->vm);
		free(fellows->items[i - 1].loads);
		fellows->members.items[i - 1] = fellows->members.items[last];
		fellows->items[i - 1] = fellows->items[last];
		fellows->members.count--;
	}
}

/* Other gateways' requests at each server, as they last told. */
static void
sum_loads(struct fellows *fellows)
{
	struct backends *backends = &fellows->gateway->board.backends;

	backends_clear_remote(backends);
	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct fellow *fellow = &fellows->items[i];

		if (!fellow_is_live(&fellows->members.items[i]))
			continue;
		for (size_t k = 0; k < fellow->load_count; k++)
			backends_add_remote(backends, fellow->loads[k].server,
			    fellow->loads[k].running);
	}
}

static void
handle_timer(uv_timer_t *timer)
{
	struct fellows *fellows = timer->data;

	fellows->pulses++;
	fellows_send_pulses(fellows, fellows->pulses % FAR_PULSES == 0);
	report_silent(fellows);
	drop_silent(fellows);
	sum_loads(fellows);
	if (fellows->pulses % EXPIRE_PULSES == 0)
		residency_expire(&fellows->gateway->board.backends.residency,
		    clock_monotonic_us());
}

void
fellows_start_pulses(struct fellows *fellows)
{
	uv_timer_start(fellows->timer, handle_timer, PULSE_MS, PULSE_MS);
}

/* ---- receiving ---- */

void
fellows_handle_pulse(struct fellows *fellows, const struct message *message)
{
	const struct message_pulse *pulse = &message->pulse;
	int64_t now_us = clock_monotonic_us();
	struct fellow *fellow = fellow_add(fellows, message->sender, now_us);
	struct member *member = fellow_member(fellows, fellow);
	bool was_live = member->heard_us != 0 && fellow_is_live(member);

	fellow_describe(fellows, fellow, &pulse->self);
	member_heard(member, now_us);
	member->draining = pulse->self.draining;
	member->config_version = pulse->self.config_version;
	fellow->store_lost = pulse->self.log_lost;
	if (pulse->load_count > 0 || fellow_is_near(fellows, member)) {
		free(fellow->loads);
		fellow->loads =
		    xcalloc(pulse->load_count + 1, sizeof(*fellow->loads));
		memcpy(fellow->loads, pulse->loads,
		    pulse->load_count * sizeof(*fellow->loads));
		fellow->load_count = pulse->load_count;
	}
	take_parts(fellows, pulse);
	if (fellow_is_near(fellows, member))
		take_heard(fellows, pulse);
	fellows_take_owned(
	    fellows, message->sender, pulse->generation, pulse->owned);
	if (!pulse->self.log_lost)
		config_watch_heard(fellows->gateway->config_watch,
		    message->sender, pulse->self.config_version);
	if (!was_live)
		trace_fellow("gateway_live", fellow);
	fellow->reported_live = true;
	if (pulse->wants_reply)
		fellows_send_pulses(fellows, true);
}
