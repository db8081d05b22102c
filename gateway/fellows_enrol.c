#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "gateway/fellows_internal.h"

enum {
	ENROL_TIMEOUT_US = 1 * US_PER_S,
	ENROL_RETRY_MS = 500,
	READ_TIMEOUT_US = 1 * US_PER_S,
};

/* Keyed by VM: how to reach its gateway. */
static const char TOPIC_MEMBERS[] = "keyed.members";

/* ---- gateways that the settings name ---- */

void
fellows_forget_seed(struct fellows *fellows, const char *address, int port)
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
greet_seed(struct fellows *fellows, const char *endpoint)
{
	struct seed *seed = &fellows->seeds[fellows->seed_count++];
	struct message message;

	settings_split_endpoint(endpoint, seed->address, &seed->port);
	snprintf(
	    seed->name, sizeof(seed->name), "seed-%zu", fellows->seed_count);
	peer_set_address(fellows->peer, seed->name, seed->address, seed->port);
	fellows_describe_self(fellows, &message);
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

/* ---- the list in the store ---- */

static void
handle_enrol_timer(uv_timer_t *timer)
{
	fellows_enrol(timer->data);
}

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
		    strcmp(message.pulse.self.vm, fellows_own_vm(fellows)) !=
			0 &&
		    !message.pulse.self.draining) {
			fellow =
			    fellow_add(fellows, message.pulse.self.vm, now_us);
			fellow_describe(fellows, fellow, &message.pulse.self);
		}
		message_reset(&message);
	}
	fellows->enrolled = true;
	fellows_send_pulses(fellows, true);
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

void
fellows_enrol(struct fellows *fellows)
{
	struct message message;
	struct buf value = {0};
	struct buf record = {0};
	struct record_bytes bytes;

	fellows_describe_self(fellows, &message);
	snprintf(message.sender, NAME_BYTES, "%.63s", fellows_own_vm(fellows));
	message_encode(&message, &value);
	store_keyed_encode(
	    &record, fellows_own_vm(fellows), value.data, value.len);
	bytes = (struct record_bytes){.data = record.data, .len = record.len};
	fellows->enrol = store_append(fellows->gateway->store, TOPIC_MEMBERS, 0,
	    &bytes, 1, ENROL_TIMEOUT_US, handle_enrolled, fellows);
	buf_reset(&record);
	buf_reset(&value);
}
