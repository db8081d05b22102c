#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/fellows.h"
#include "gateway/ownership.h"
#include "gateway/quarantine.h"
#include "gateway/recorder.h"
#include "gateway/turn.h"
#include "member/member.h"
#include "peer/peer.h"

enum {
	PULSE_MS = 100,     /* between signs of life in a failure domain */
	FAR_PULSES = 5,     /* of which so many make one to the others */
	PARTS_PULSES = 5,   /* and so many tell of caches */
	EXPIRE_PULSES = 50, /* and so many forget old caches */
	PARTS_MAX = 256,    /* of which a pulse tells */
	HEARD_MAX = 512,    /* gateways that a pulse tells of */
	FAR_FANOUT = 2,     /* gateways of each other failure domain */
	SILENCE_US = 1500 * US_PER_MS, /* that means a gateway is gone */
	FORGET_US = 60 * US_PER_S,     /* silence after which it is dropped */
	PEER_SILENCE_US = 1200 * US_PER_MS, /* of unacknowledged bytes */
	PEER_QUEUE_MESSAGES = 1000,
	ENROL_TIMEOUT_US = 1 * US_PER_S,
	ENROL_RETRY_MS = 500,
	READ_TIMEOUT_US = 1 * US_PER_S,
	SEEDS_MAX = 8,
};

/* Keyed by VM: how to reach its gateway. */
static const char TOPIC_MEMBERS[] = "keyed.members";

/** What a gateway tells of itself, besides what struct member holds. */
struct fellow {
	char vm[NAME_BYTES];
	uint64_t hash;               /**< of vm */
	char callers[SETTING_BYTES]; /**< "IP:port" */
	uint64_t incarnation;
	bool store_lost;
	bool reported_live; /**< in the log */
	struct message_load *loads;
	size_t load_count;
};

struct partition_owner {
	char vm[NAME_BYTES]; /**< "": not known */
	uint64_t generation;
};

/** A message of this gateway to itself. */
struct letter {
	struct list link;
	struct buf wire;
};

/** A gateway of which only the address is known. */
struct seed {
	char name[NAME_BYTES]; /**< "": it is known by its VM */
	char address[SETTING_BYTES];
	int port;
};

struct fellows {
	struct gateway *gateway;
	struct peer *peer;
	struct list letters;
	uv_idle_t *deliver; /**< runs while there are letters */
	struct members members;
	struct fellow *items; /**< in the order of members */
	uint64_t incarnation;
	uint64_t pulses;
	size_t relay_turn;
	struct partition_owner owners[SETTINGS_PARTITIONS_MAX];
	struct seed seeds[SEEDS_MAX];
	size_t seed_count;
	uv_timer_t *timer;
	uv_timer_t *enrol_timer;
	struct store_call *enrol;
	bool enrolled; /**< this VM is in the store's list */
	bool enrolled_draining;
};

static void handle_message(void *context, const struct message *message);

static const char *
own_vm(const struct fellows *fellows)
{
	return fellows->gateway->settings.vm_name;
}

void
fellows_own_name(const struct fellows *fellows, char name[FELLOW_NAME_BYTES])
{
	const struct settings *settings = &fellows->gateway->settings;

	snprintf(name, FELLOW_NAME_BYTES, "%.63s@%.63s", settings->vm_name,
	    settings->gateway_peers);
}

/* ---- the table ---- */

static struct fellow *
find_fellow(const struct fellows *fellows, const char *vm)
{
	for (size_t i = 0; i < fellows->members.count; i++) {
		if (strcmp(fellows->items[i].vm, vm) == 0)
			return &fellows->items[i];
	}
	return NULL;
}

static struct member *
member_of(struct fellows *fellows, const struct fellow *fellow)
{
	return &fellows->members.items[fellow - fellows->items];
}

static struct fellow *
add_fellow(struct fellows *fellows, const char *vm, int64_t now_us)
{
	struct fellow *fellow = find_fellow(fellows, vm);
	struct member *member;

	if (fellow != NULL)
		return fellow;
	member = members_add(&fellows->members, vm);
	member->added_us = now_us;
	fellows->items = xrealloc(
	    fellows->items, fellows->members.count * sizeof(*fellows->items));
	fellow = &fellows->items[fellows->members.count - 1];
	*fellow = (struct fellow){0};
	snprintf(fellow->vm, sizeof(fellow->vm), "%s", vm);
	fellow->hash = hash_text(vm, 0);
	return fellow;
}

/* Two connections to one gateway would take this VM's name from each other
 * there: the one made for a seed ends when its VM is known. */
static void
forget_seed(struct fellows *fellows, const char *address, int port)
{
	for (size_t i = 0; i < fellows->seed_count; i++) {
		struct seed *seed = &fellows->seeds[i];

		if (seed->name[0] == '\0' || seed->port != port ||
		    strcmp(seed->address, address) != 0)
			continue;
		peer_forget(fellows->peer, seed->name);
		seed->name[0] = '\0';
	}
}

static void
set_address(struct fellows *fellows, struct member *member, const char *address,
    int port)
{
	snprintf(member->peer_address, sizeof(member->peer_address), "%.63s",
	    address);
	member->peer_port = port;
	forget_seed(fellows, address, port);
	peer_set_address(fellows->peer, member->vm, address, port);
}

bool
fellows_learn(struct fellows *fellows, const char *name, char vm[NAME_BYTES])
{
	const char *at = strchr(name, '@');
	char address[SETTING_BYTES];
	struct fellow *fellow;
	int port;

	if (at == NULL || (size_t)(at - name) >= NAME_BYTES ||
	    strchr(at, ':') == NULL)
		return false;
	snprintf(vm, NAME_BYTES, "%.*s", (int)(at - name), name);
	if (strcmp(vm, own_vm(fellows)) == 0)
		return true;
	settings_split_endpoint(at + 1, address, &port);
	fellow = add_fellow(fellows, vm, clock_monotonic_us());
	set_address(fellows, member_of(fellows, fellow), address, port);
	return true;
}

static void
take_description(struct fellows *fellows, struct fellow *fellow,
    const struct message_member *self)
{
	struct member *member = member_of(fellows, fellow);

	snprintf(fellow->callers, sizeof(fellow->callers), "%s:%u",
	    self->address, (unsigned)self->port);
	memcpy(member->failure_domain, self->failure_domain, NAME_BYTES);
	memcpy(member->region, self->region, NAME_BYTES);
	set_address(fellows, member, self->peer_address, (int)self->peer_port);
	fellow->incarnation = self->incarnation;
}

static bool
is_live(const struct fellows *fellows, const struct member *member)
{
	(void)fellows;
	return member_state(member, clock_monotonic_us()) != MEMBER_GONE;
}

bool
fellows_is_live(const struct fellows *fellows, const char *vm)
{
	const struct fellow *fellow = find_fellow(fellows, vm);

	return fellow != NULL &&
	    is_live(fellows, &fellows->members.items[fellow - fellows->items]);
}

static bool
is_near(const struct fellows *fellows, const struct member *member)
{
	return strcmp(member->failure_domain,
		   fellows->gateway->settings.failure_domain) == 0;
}

/* ---- owners of partitions ---- */

const char *
fellows_owner(const struct fellows *fellows, uint32_t part)
{
	const char *vm = fellows->owners[part].vm;

	return vm[0] != '\0' ? vm : NULL;
}

void
fellows_set_owner(struct fellows *fellows, uint32_t part, const char *vm)
{
	if (part >= SETTINGS_PARTITIONS_MAX)
		return;
	snprintf(fellows->owners[part].vm, NAME_BYTES, "%s", vm);
}

void
fellows_forget_owner(struct fellows *fellows, uint32_t part)
{
	fellows->owners[part].vm[0] = '\0';
}

static void
take_owned(struct fellows *fellows, const char *vm, uint64_t generation,
    uint64_t owned)
{
	for (uint32_t part = 0; part < SETTINGS_PARTITIONS_MAX; part++) {
		struct partition_owner *owner = &fellows->owners[part];
		bool owns = (owned >> part & 1) != 0;

		if (generation < owner->generation)
			continue;
		if (owns)
			ownership_heard_claim(
			    fellows->gateway->ownership, part, generation);
		if (owns) {
			snprintf(owner->vm, NAME_BYTES, "%s", vm);
			owner->generation = generation;
		} else if (strcmp(owner->vm, vm) == 0) {
			owner->vm[0] = '\0';
		}
	}
}

/* ---- signs of life ---- */

static void
describe_self(struct fellows *fellows, struct message *message)
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

/* A pulse goes to each gateway of this failure domain, and now and then to a
 * few of each other one, the same ones each time. */
static bool
is_far_partner(const struct fellows *fellows, const struct member *member)
{
	uint64_t score = hash_text(member->vm, hash_text(own_vm(fellows), 0));
	size_t better = 0;

	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct member *other = &fellows->members.items[i];

		if (strcmp(other->failure_domain, member->failure_domain) !=
			0 ||
		    other == member || !is_live(fellows, other))
			continue;
		better +=
		    hash_text(other->vm, hash_text(own_vm(fellows), 0)) > score;
	}
	return better < FAR_FANOUT;
}

static size_t
list_parts(const struct gateway *gateway, struct message_part **parts)
{
	struct residency_shared shared[PARTS_MAX];
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
		residency_note(residency, pulse->parts[i].part,
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

static void
send_pulses(struct fellows *fellows, bool far)
{
	struct message message;
	size_t heard_count = 0;

	describe_self(fellows, &message);
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
		    is_near(fellows, member) ? heard_count : 0;
		if (is_near(fellows, member) ||
		    (far && is_far_partner(fellows, member)))
			fellows_send(fellows, member->vm, &message);
	}
	free(message.pulse.loads);
	free(message.pulse.parts);
	free(message.pulse.heard);
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
		    is_live(fellows, &fellows->members.items[i]))
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

		if (!is_live(fellows, &fellows->members.items[i]))
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
	send_pulses(fellows, fellows->pulses % FAR_PULSES == 0);
	report_silent(fellows);
	drop_silent(fellows);
	sum_loads(fellows);
	if (fellows->pulses % EXPIRE_PULSES == 0)
		residency_expire(&fellows->gateway->board.backends.residency,
		    clock_monotonic_us());
}

void
fellows_pulse(struct fellows *fellows)
{
	struct message message;

	describe_self(fellows, &message);
	fellows_broadcast(fellows, &message);
}

static void
handle_pulse(struct fellows *fellows, const struct message *message)
{
	const struct message_pulse *pulse = &message->pulse;
	int64_t now_us = clock_monotonic_us();
	struct fellow *fellow = add_fellow(fellows, message->sender, now_us);
	struct member *member = member_of(fellows, fellow);
	bool was_live = member->heard_us != 0 && is_live(fellows, member);

	take_description(fellows, fellow, &pulse->self);
	member_heard(member, now_us);
	member->draining = pulse->self.draining;
	member->config_version = pulse->self.config_version;
	fellow->store_lost = pulse->self.log_lost;
	if (pulse->load_count > 0 || is_near(fellows, member)) {
		free(fellow->loads);
		fellow->loads =
		    xcalloc(pulse->load_count + 1, sizeof(*fellow->loads));
		memcpy(fellow->loads, pulse->loads,
		    pulse->load_count * sizeof(*fellow->loads));
		fellow->load_count = pulse->load_count;
	}
	take_parts(fellows, pulse);
	if (is_near(fellows, member))
		take_heard(fellows, pulse);
	take_owned(fellows, message->sender, pulse->generation, pulse->owned);
	if (!pulse->self.log_lost)
		config_watch_heard(fellows->gateway->config_watch,
		    message->sender, pulse->self.config_version);
	if (!was_live)
		trace_fellow("gateway_live", fellow);
	fellow->reported_live = true;
	if (pulse->wants_reply)
		send_pulses(fellows, true);
}

/* ---- messages ---- */

static void
deliver_letter(struct fellows *fellows, struct letter *letter)
{
	struct message message;
	struct error err = {0};

	list_remove(&letter->link);
	if (message_decode(
		letter->wire.data, letter->wire.len, &message, &err)) {
		handle_message(fellows, &message);
		message_reset(&message);
	}
	buf_reset(&letter->wire);
	free(letter);
}

static void
handle_deliver(uv_idle_t *idle)
{
	struct fellows *fellows = idle->data;
	struct list *item;

	while ((item = list_take(&fellows->letters)) != NULL)
		deliver_letter(fellows, list_entry(item, struct letter, link));
	uv_idle_stop(idle);
}

/* Messages to itself arrive like those of others, not within the sending. */
static void
send_to_self(struct fellows *fellows, struct message *message)
{
	struct letter *letter = xcalloc(1, sizeof(*letter));

	snprintf(message->sender, NAME_BYTES, "%.63s", own_vm(fellows));
	message_encode(message, &letter->wire);
	list_append(&fellows->letters, &letter->link);
	uv_idle_start(fellows->deliver, handle_deliver);
}

bool
fellows_send(struct fellows *fellows, const char *vm, struct message *message)
{
	if (strcmp(vm, own_vm(fellows)) == 0) {
		send_to_self(fellows, message);
		return true;
	}
	return peer_send(fellows->peer, vm, message) == PEER_QUEUED;
}

void
fellows_broadcast(struct fellows *fellows, struct message *message)
{
	for (size_t i = 0; i < fellows->members.count; i++) {
		const struct member *member = &fellows->members.items[i];

		if (is_live(fellows, member))
			fellows_send(fellows, member->vm, message);
	}
}

static void
handle_message(void *context, const struct message *message)
{
	struct fellows *fellows = context;
	struct gateway *gateway = fellows->gateway;

	switch (message->type) {
	case MESSAGE_PULSE:
		handle_pulse(fellows, message);
		return;
	case MESSAGE_TURN_BEGIN:
	case MESSAGE_TURN_END:
	case MESSAGE_TURN_FIND:
		ownership_handle_message(gateway->ownership, message);
		return;
	case MESSAGE_TURN_GRANTED:
	case MESSAGE_TURN_ENDED:
	case MESSAGE_TURN_FOUND:
	case MESSAGE_HISTORY_GET:
	case MESSAGE_HISTORY:
		turns_handle_message(gateway->turns, message);
		return;
	case MESSAGE_DECLARED_GET:
		config_watch_give(gateway->config_watch, message->sender);
		return;
	case MESSAGE_DECLARED:
		config_watch_offer(gateway->config_watch,
		    message->declared.data.data, message->declared.data.len,
		    message->sender);
		return;
	case MESSAGE_SERVERS_GET:
		server_watch_give(gateway->server_watch, message->sender);
		return;
	case MESSAGE_SERVERS:
		server_watch_take(gateway->server_watch, message);
		return;
	case MESSAGE_CRASHED:
		quarantine_take(gateway->quarantine, &message->crashed);
		return;
	case MESSAGE_STORE:
	case MESSAGE_STORED:
		recorder_handle_message(gateway->recorder, message);
		return;
	default:
		return;
	}
}

const char *
fellows_relay(struct fellows *fellows)
{
	const char *best = NULL;
	bool best_near = false;
	size_t count = fellows->members.count;

	fellows->relay_turn++;
	for (size_t i = 0; i < count; i++) {
		size_t at = (i + fellows->relay_turn) % count;
		const struct member *member = &fellows->members.items[at];
		bool near = is_near(fellows, member);

		if (member->heard_us == 0 || !is_live(fellows, member) ||
		    fellows->items[at].store_lost || (best != NULL && !near) ||
		    (best != NULL && best_near))
			continue;
		best = member->vm;
		best_near = near;
	}
	return best;
}

/* ---- where callers go ---- */

enum distance {
	SAME_DOMAIN,
	SAME_REGION,
	ANYWHERE,
	DISTANCES,
};

static enum distance
distance_of(const char *domain, const char *region, const char *from_domain,
    const char *from_region)
{
	if (strcmp(domain, from_domain) == 0)
		return SAME_DOMAIN;
	return strcmp(region, from_region) == 0 ? SAME_REGION : ANYWHERE;
}

size_t
fellows_addresses(struct fellows *fellows, const char *failure_domain,
    const char *region, const char **addresses, size_t max)
{
	const struct gateway *gateway = fellows->gateway;
	const struct settings *settings = &gateway->settings;
	int64_t now_us = clock_monotonic_us();
	size_t count = 0;

	for (int reach = SAME_DOMAIN; reach < DISTANCES && count == 0;
	     reach++) {
		if (!gateway->board.stopping &&
		    (int)distance_of(settings->failure_domain, settings->region,
			failure_domain, region) <= reach)
			addresses[count++] = settings->gateway_callers;
		for (size_t i = 0; i < fellows->members.count && count < max;
		     i++) {
			const struct member *member =
			    &fellows->members.items[i];

			if (member_state(member, now_us) == MEMBER_LIVE &&
			    fellows->items[i].callers[0] != '\0' &&
			    (int)distance_of(member->failure_domain,
				member->region, failure_domain,
				region) <= reach)
				addresses[count++] = fellows->items[i].callers;
		}
	}
	return count;
}

/* ---- the list in the store ---- */

static void enrol(struct fellows *fellows);

static void
handle_enrol_timer(uv_timer_t *timer)
{
	enrol(timer->data);
}

static void greet_seeds(struct fellows *fellows);

static void
enrol_later(struct fellows *fellows)
{
	if (fellows->seed_count == 0)
		greet_seeds(fellows);
	uv_timer_start(
	    fellows->enrol_timer, handle_enrol_timer, ENROL_RETRY_MS, 0);
}

static void
handle_listed(void *context, const struct store_newest *newest)
{
	struct fellows *fellows = context;
	int64_t now_us = clock_monotonic_us();

	fellows->enrol = NULL;
	if (newest->status != STORE_OK) {
		enrol_later(fellows);
		return;
	}
	for (size_t i = 0; i < newest->count; i++) {
		const struct record_bytes *value = &newest->items[i].value;
		struct message message;
		struct fellow *fellow;
		struct error err = {0};

		if (!message_decode(value->data, value->len, &message, &err))
			continue;
		if (message.type == MESSAGE_PULSE &&
		    strcmp(message.pulse.self.vm, own_vm(fellows)) != 0 &&
		    !message.pulse.self.draining) {
			fellow =
			    add_fellow(fellows, message.pulse.self.vm, now_us);
			take_description(fellows, fellow, &message.pulse.self);
		}
		message_reset(&message);
	}
	fellows->enrolled = true;
	send_pulses(fellows, true);
}

static void
handle_enrolled(void *context, const struct store_appended *appended)
{
	struct fellows *fellows = context;

	fellows->enrol = NULL;
	if (appended->status != STORE_OK) {
		enrol_later(fellows);
		return;
	}
	if (fellows->enrolled)
		return;
	fellows->enrol = store_newest(fellows->gateway->store, TOPIC_MEMBERS,
	    "", READ_TIMEOUT_US, handle_listed, fellows);
}

/* Writes this VM into the list, and reads who else is there. */
static void
enrol(struct fellows *fellows)
{
	struct message message;
	struct buf value = {0};
	struct buf record = {0};
	struct record_bytes bytes;

	describe_self(fellows, &message);
	snprintf(message.sender, NAME_BYTES, "%.63s", own_vm(fellows));
	message_encode(&message, &value);
	store_keyed_encode(&record, own_vm(fellows), value.data, value.len);
	bytes = (struct record_bytes){.data = record.data, .len = record.len};
	fellows->enrol = store_append(fellows->gateway->store, TOPIC_MEMBERS, 0,
	    &bytes, 1, ENROL_TIMEOUT_US, handle_enrolled, fellows);
	buf_reset(&record);
	buf_reset(&value);
}

/* ---- start and end ---- */

static void
greet_seed(struct fellows *fellows, const char *endpoint)
{
	struct seed *seed = &fellows->seeds[fellows->seed_count++];
	struct message message;

	settings_split_endpoint(endpoint, seed->address, &seed->port);
	snprintf(
	    seed->name, sizeof(seed->name), "seed-%zu", fellows->seed_count);
	peer_set_address(fellows->peer, seed->name, seed->address, seed->port);
	describe_self(fellows, &message);
	message.pulse.wants_reply = true;
	peer_send(fellows->peer, seed->name, &message);
}

/* Without the store, seeds are the way to know other gateways. */
static void
greet_seeds(struct fellows *fellows)
{
	const struct settings *settings = &fellows->gateway->settings;
	const char *at = settings->gateway_seeds;

	while (*at != '\0' && fellows->seed_count < SEEDS_MAX) {
		size_t len = strcspn(at, ",");
		char endpoint[SETTING_BYTES];

		snprintf(endpoint, sizeof(endpoint), "%.*s", (int)len, at);
		at += len;
		at += *at == ',';
		if (strchr(endpoint, ':') != NULL &&
		    strcmp(endpoint, settings->gateway_peers) != 0)
			greet_seed(fellows, endpoint);
	}
}

struct fellows *
fellows_create(struct gateway *gateway, struct error *err)
{
	struct fellows *fellows = xcalloc(1, sizeof(*fellows));
	char address[SETTING_BYTES];
	struct peer_options options = {
	    .vm = gateway->settings.vm_name,
	    .address = address,
	    .secret_key_file = gateway->settings.peer_secret_key_file,
	    .queue_messages = PEER_QUEUE_MESSAGES,
	    .silence_us = PEER_SILENCE_US,
	    .counters = &gateway->counters,
	    .handler = handle_message,
	    .handler_context = fellows,
	};

	settings_split_endpoint(
	    gateway->settings.gateway_peers, address, &options.port);
	fellows->gateway = gateway;
	fellows->incarnation = rng_next(&gateway->rng);
	fellows->members.silence_us = SILENCE_US;
	fellows->peer = peer_create(&gateway->loop, &options, err);
	if (fellows->peer == NULL) {
		free(fellows);
		return NULL;
	}
	list_init(&fellows->letters);
	fellows->deliver = xcalloc(1, sizeof(*fellows->deliver));
	uv_idle_init(&gateway->loop, fellows->deliver);
	fellows->deliver->data = fellows;
	fellows->timer = xcalloc(1, sizeof(*fellows->timer));
	uv_timer_init(&gateway->loop, fellows->timer);
	fellows->timer->data = fellows;
	fellows->enrol_timer = xcalloc(1, sizeof(*fellows->enrol_timer));
	uv_timer_init(&gateway->loop, fellows->enrol_timer);
	fellows->enrol_timer->data = fellows;
	return fellows;
}

void
fellows_start(struct fellows *fellows)
{
	uv_timer_start(fellows->timer, handle_timer, PULSE_MS, PULSE_MS);
	enrol(fellows);
}

static void
handle_closed(uv_handle_t *handle)
{
	free(handle);
}

void
fellows_destroy(struct fellows *fellows)
{
	if (fellows->enrol != NULL)
		store_cancel(fellows->enrol);
	list_for_each_safe (
	    letter, tmp, &fellows->letters, struct letter, link) {
		buf_reset(&letter->wire);
		free(letter);
	}
	uv_close((uv_handle_t *)fellows->deliver, handle_closed);
	uv_close((uv_handle_t *)fellows->timer, handle_closed);
	uv_close((uv_handle_t *)fellows->enrol_timer, handle_closed);
	peer_destroy(fellows->peer);
	for (size_t i = 0; i < fellows->members.count; i++)
		free(fellows->items[i].loads);
	free(fellows->items);
	members_reset(&fellows->members);
	free(fellows);
}
