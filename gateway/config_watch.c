#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/dependency.h"
#include "gateway/gateway.h"
#include "gateway/peer_gateways.h"
#include "platform/config.h"

enum {
	/* The store holds a read open for POLL_WAIT_US if there is nothing to
	 * read. Without a reply the read fails READ_MARGIN_US later, so that a
	 * connection that has gone silent is noticed. */
	POLL_WAIT_US = 1 * US_PER_S,
	READ_MARGIN_US = 500 * US_PER_MS,
	NEWEST_TIMEOUT_US = 1 * US_PER_S,
	RETRY_US = 250 * US_PER_MS, /* after a failed read */
	READ_MAX_BYTES = 4 << 20,
	/* Time that the store gets to deliver a version that another gateway
	 * has, before that gateway is asked for it. */
	BEHIND_TIMEOUT_US = 300 * US_PER_MS,
	/* Time between checks whether to read while another gateway reads for
	 * this one. */
	MIRROR_CHECK_US = 200 * US_PER_MS,
	/* Readings of another gateway that are older do not replace own ones: a
	 * poll takes POLL_WAIT_US. */
	READER_MAX_AGE_US = 1500 * US_PER_MS,
	/* Time after POLL_WAIT_US at which a read of the store is late. */
	LATE_US = 200 * US_PER_MS,
	/* Between questions to other gateways while the store is late. */
	ASK_INTERVAL_US = 250 * US_PER_MS,
	/* A gap between ticks, which come every 100 ms, that shows that the
	 * process was not running. A busy machine delays ticks by less. */
	PAUSE_US = 500 * US_PER_MS,
	/* Time within which a gateway that was cut off or paused has heard from
	 * the others: two heartbeats to other failure domains. */
	SETTLE_US = 1 * US_PER_S,
};

/** Keeps the configuration in force up to date with the store's. */
struct config_watch {
	struct gateway *gateway;
	struct store_call *call; /**< NULL: no read in progress */
	uv_timer_t *retry_timer;
	struct store_cursor cursor;
	uint64_t next_offset; /**< of the next read */
	bool positioned;      /**< next_offset is valid */
	bool read_failed;     /**< the last read failed */
	int64_t read_started_us;
	struct buf encoded; /**< the configuration in force */
	/** Time since which another gateway has a newer version; 0: none. */
	int64_t behind_since_us;
	uint64_t newest_heard; /**< newest version that another gateway has */
	int64_t asked_us;      /**< time of the last question to another one */
	int64_t ticked_us;
	/** Until then newer versions may exist that were not heard of. */
	int64_t cut_off_until_us;
};

static void watch_start(struct config_watch *watch);

static void
trace_change(
    const struct gateway_config *config, const char *from, uint64_t before)
{
	struct trace trace;

	trace_begin_unlimited(&trace, "config_in_force");
	trace_number(&trace, "config_version", (int64_t)config->version);
	trace_number(&trace, "before", (int64_t)before);
	trace_text(&trace, "from", from);
	trace_number(&trace, "routes", (int64_t)HASH_COUNT(config->routes));
	trace_number(&trace, "services", (int64_t)HASH_COUNT(config->services));
	trace_end(&trace);
}

static void
report_findings(struct findings *findings)
{
	list_for_each (finding, &findings->items, struct finding, link)
		diag(LOG_WARNING, NULL, "configuration: %s: %s",
		    finding->location, finding->text);
	findings_reset(findings);
}

/* Notes that the configuration in force was the newest at a time. */
static void
confirm(struct gateway *gateway, int64_t at_us)
{
	struct gateway_blackboard *blackboard = &gateway->blackboard;

	if (at_us > blackboard->config_confirmed_at_us)
		blackboard->config_confirmed_at_us = at_us;
}

static void
keep_replaced(struct gateway_blackboard *blackboard, struct gateway_config *old)
{
	struct gateway_config **replaced = blackboard->replaced_configs;

	old->replaced_us = clock_monotonic_us();
	gateway_config_unref(replaced[REPLACED_CONFIGS_MAX - 1]);
	memmove(replaced + 1, replaced,
	    (REPLACED_CONFIGS_MAX - 1) * sizeof(*replaced));
	replaced[0] = old;
}

/* Releases the versions that no VM may have in force any more. */
static void
release_replaced(struct gateway *gateway, int64_t now_us)
{
	struct gateway_config **replaced = gateway->blackboard.replaced_configs;

	for (size_t i = 0; i < REPLACED_CONFIGS_MAX; i++) {
		if (replaced[i] == NULL ||
		    now_us - replaced[i]->replaced_us <=
			gateway->settings.gateway_config_apply_us)
			continue;
		gateway_config_unref(replaced[i]);
		replaced[i] = NULL;
	}
}

/* Puts an encoded configuration in force unless it is invalid or not newer than
 * the one in force. from names its source in the trace event. */
static void
apply(
    struct config_watch *watch, const void *data, size_t len, const char *from)
{
	struct gateway *gateway = watch->gateway;
	struct gateway_config *old = gateway->blackboard.config;
	struct gateway_config *config;
	struct findings findings;

	findings_init(&findings);
	config = platform_config_decode(data, len, &findings);
	report_findings(&findings);
	if (config == NULL)
		return;
	if (old != NULL && config->version <= old->version) {
		gateway_config_unref(config);
		return;
	}
	trace_change(config, from, old != NULL ? old->version : 0);
	buf_reset(&watch->encoded);
	buf_append(&watch->encoded, data, len);
	watch->behind_since_us = 0;
	gateway->blackboard.config = config;
	if (old != NULL)
		keep_replaced(&gateway->blackboard, old);
	else
		gateway->blackboard.config_loaded_us = clock_monotonic_us();
	h1_server_set_limits(gateway->caller_server, &config->limits);
}

bool
config_watch_may_be_stale(const struct gateway *gateway)
{
	return clock_monotonic_us() -
	    gateway->blackboard.config_confirmed_at_us >
	    gateway->settings.gateway_config_apply_us;
}

/* Returns whether this process was not running for some time until just now:
 * messages of that time may still be waiting. */
static bool
was_paused(const struct config_watch *watch, int64_t now_us)
{
	return now_us - watch->ticked_us > PAUSE_US;
}

/* Returns whether other gateways may have a newer version without this one
 * hearing of it. */
static bool
is_cut_off(const struct config_watch *watch, int64_t now_us)
{
	const struct peer_gateways *peer_gateways =
	    watch->gateway->peer_gateways;

	return was_paused(watch, now_us) ||
	    peer_gateways_is_isolated(peer_gateways) ||
	    peer_gateways_others_isolated(peer_gateways);
}

bool
config_watch_may_have_missed_version(const struct gateway *gateway)
{
	const struct config_watch *watch = gateway->config_watch;
	int64_t now_us = clock_monotonic_us();

	return config_watch_may_be_stale(gateway) &&
	    (watch->newest_heard > gateway->blackboard.config->version ||
		now_us < watch->cut_off_until_us || is_cut_off(watch, now_us));
}

void
config_watch_tick(struct config_watch *watch)
{
	int64_t now_us = clock_monotonic_us();

	if (is_cut_off(watch, now_us))
		watch->cut_off_until_us = now_us + SETTLE_US;
	watch->ticked_us = now_us;
	release_replaced(watch->gateway, now_us);
}

static uint64_t
version_in_force(const struct config_watch *watch)
{
	const struct gateway_config *config = watch->gateway->blackboard.config;

	return config != NULL ? config->version : 0;
}

static void
send_question(struct config_watch *watch, const char *vm, int64_t now_us)
{
	struct message message = {
	    .type = MESSAGE_GATEWAY_CONFIG_GET,
	    .gateway_config_get =
		{
		    .known_version = version_in_force(watch),
		    .asked_us = now_us,
		},
	};

	watch->asked_us = now_us;
	peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
}

static void
send_reply(struct config_watch *watch, const char *vm,
    const struct message_gateway_config_get *question)
{
	uint64_t version = version_in_force(watch);
	struct message message = {
	    .type = MESSAGE_GATEWAY_CONFIG,
	    .gateway_config =
		{
		    .version = version,
		    .age_us = (uint64_t)(clock_monotonic_us() -
			watch->gateway->blackboard.config_confirmed_at_us),
		    .asked_us = question->asked_us,
		},
	};

	if (watch->encoded.len == 0)
		return;
	if (question->known_version < version)
		message.gateway_config.data = (struct wire_bytes){
		    .data = watch->encoded.data,
		    .len = watch->encoded.len,
		};
	peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
}

/* The reply was made after the question was asked. That time bounds its age
 * also if it was delayed on the way. */
static void
handle_reply(struct config_watch *watch, const char *vm,
    const struct message_gateway_config *reply)
{
	if (reply->data.len > 0)
		apply(watch, reply->data.data, reply->data.len, vm);
	if (reply->asked_us != 0 && reply->version != 0 &&
	    reply->version == version_in_force(watch))
		confirm(
		    watch->gateway, reply->asked_us - (int64_t)reply->age_us);
}

void
config_watch_handle_message(
    struct config_watch *watch, const struct message *message)
{
	if (message->type == MESSAGE_GATEWAY_CONFIG_GET)
		send_reply(
		    watch, message->sender, &message->gateway_config_get);
	else
		handle_reply(watch, message->sender, &message->gateway_config);
}

/* Returns whether the store has not confirmed the configuration when it should
 * have. */
static bool
store_is_late(const struct config_watch *watch, int64_t now_us)
{
	return watch->read_failed ||
	    now_us - watch->read_started_us > POLL_WAIT_US + LATE_US;
}

/* Heartbeats may be old when they arrive: they wait for a frozen process, or
 * until a path is mended. They only tell which gateway to ask. */
static void
handle_equal_version(struct config_watch *watch, const char *vm,
    const struct message_gateway_heartbeat *heartbeat, int64_t now_us)
{
	int64_t own_age_us =
	    now_us - watch->gateway->blackboard.config_confirmed_at_us;

	if (heartbeat->config_age_us == 0) {
		/* Of a version without questions of this kind. */
		if (!heartbeat->self.log_unreachable)
			confirm(watch->gateway, now_us);
		return;
	}
	if (store_is_late(watch, now_us) &&
	    own_age_us > POLL_WAIT_US + LATE_US &&
	    (int64_t)heartbeat->config_age_us < own_age_us &&
	    now_us - watch->asked_us >= ASK_INTERVAL_US)
		send_question(watch, vm, now_us);
}

void
config_watch_handle_heartbeat(
    struct config_watch *watch, const struct message *message)
{
	const struct message_gateway_heartbeat *heartbeat =
	    &message->gateway_heartbeat;
	uint64_t version = heartbeat->self.config_version;
	int64_t now_us = clock_monotonic_us();

	if (version > watch->newest_heard)
		watch->newest_heard = version;
	if (watch->gateway->blackboard.config != NULL &&
	    version_in_force(watch) >= version) {
		if (version_in_force(watch) == version)
			handle_equal_version(
			    watch, message->sender, heartbeat, now_us);
		return;
	}
	/* The store usually delivers the version before BEHIND_TIMEOUT_US. */
	if (watch->behind_since_us == 0)
		watch->behind_since_us = now_us;
	if (now_us - watch->behind_since_us < BEHIND_TIMEOUT_US)
		return;
	watch->behind_since_us = now_us;
	send_question(watch, message->sender, now_us);
}

/* The response may have waited for this process, for example while its VM was
 * frozen: only at the start of the read nothing newer was certain to exist. */
static void
handle_read_success(struct config_watch *watch)
{
	confirm(watch->gateway, watch->read_started_us);
	if (!watch->read_failed)
		return;
	watch->read_failed = false;
	dependency_trace_recovered("store/configuration", -1);
}

static void
handle_retry_timer(uv_timer_t *timer)
{
	watch_start(timer->data);
}

static void
handle_read_failure(struct config_watch *watch, enum store_status status)
{
	uv_timer_start(
	    watch->retry_timer, handle_retry_timer, RETRY_US / US_PER_MS, 0);
	if (watch->read_failed)
		return;
	watch->read_failed = true;
	dependency_trace_unreachable("store/configuration", status);
}

/* Applies the configuration if it is on a page. Returns whether it is. */
static bool
apply_page(struct config_watch *watch, const struct store_newest *newest)
{
	for (size_t i = 0; i < newest->count; i++) {
		const struct store_item *item = &newest->items[i];

		if (strcmp(item->key, STORE_KEY_CONFIG) != 0)
			continue;
		apply(watch, item->value.data, item->value.len, "store");
		return true;
	}
	return false;
}

static void
handle_newest(void *context, const struct store_newest *newest)
{
	struct config_watch *watch = context;
	bool found;

	watch->call = NULL;
	if (newest->status != STORE_OK) {
		handle_read_failure(watch, newest->status);
		return;
	}
	found = apply_page(watch, newest);
	if (newest->first)
		watch->next_offset = newest->end;
	if (!found && newest->next == STORE_NEXT_PAGE) {
		watch_start(watch);
		return;
	}
	watch->cursor = (struct store_cursor){0};
	if (!found && newest->next == STORE_NEXT_UNREACHABLE) {
		handle_read_failure(watch, STORE_UNKNOWN);
		return;
	}
	watch->positioned = true;
	handle_read_success(watch);
	watch_start(watch);
}

static void
handle_read(void *context, const struct store_read *read)
{
	struct config_watch *watch = context;
	char key[NAME_BYTES];
	struct wire_bytes value;

	watch->call = NULL;
	if (read->status == STORE_EXPIRED) {
		watch->positioned = false;
		watch_start(watch);
		return;
	}
	if (read->status != STORE_OK) {
		handle_read_failure(watch, read->status);
		return;
	}
	for (size_t i = 0; i < read->count; i++) {
		if (store_keyed_decode(&read->records[i], key, &value) &&
		    strcmp(key, STORE_KEY_CONFIG) == 0 && value.len > 0)
			apply(watch, value.data, value.len, "store");
	}
	watch->next_offset += read->count;
	/* An end before the next offset: the topic has been recreated. */
	if (read->end_offset < watch->next_offset)
		watch->positioned = false;
	handle_read_success(watch);
	watch_start(watch);
}

/* Returns whether another gateway of the failure domain reads the configuration
 * and has the version that is in force here. */
static bool
is_mirrored(const struct config_watch *watch)
{
	const struct gateway *gateway = watch->gateway;
	const struct gateway_config *config = gateway->blackboard.config;
	struct store_reader reader;

	return config != NULL &&
	    !peer_gateways_reads_store(gateway->peer_gateways) &&
	    peer_gateways_find_reader(
		gateway->peer_gateways, READER_MAX_AGE_US, &reader) &&
	    reader.config_version == config->version;
}

static void
watch_start(struct config_watch *watch)
{
	struct store *store = watch->gateway->store;

	if (is_mirrored(watch)) {
		uv_timer_start(watch->retry_timer, handle_retry_timer,
		    MIRROR_CHECK_US / US_PER_MS, 0);
		return;
	}
	watch->read_started_us = clock_monotonic_us();
	if (!watch->positioned)
		watch->call = store_newest(store, STORE_TOPIC_OPERATOR,
		    &watch->cursor, NEWEST_TIMEOUT_US, handle_newest, watch);
	else
		watch->call = store_read(store, STORE_TOPIC_OPERATOR, 0,
		    watch->next_offset, READ_MAX_BYTES, POLL_WAIT_US,
		    POLL_WAIT_US + READ_MARGIN_US, handle_read, watch);
}

struct config_watch *
config_watch_create(struct gateway *gateway)
{
	struct config_watch *watch = xcalloc(1, sizeof(*watch));

	watch->gateway = gateway;
	watch->ticked_us = clock_monotonic_us();
	watch->retry_timer = xcalloc(1, sizeof(*watch->retry_timer));
	uv_timer_init(&gateway->loop, watch->retry_timer);
	watch->retry_timer->data = watch;
	watch->read_started_us = watch->ticked_us;
	watch->call = store_newest(gateway->store, STORE_TOPIC_OPERATOR,
	    &watch->cursor, NEWEST_TIMEOUT_US, handle_newest, watch);
	return watch;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
config_watch_destroy(struct config_watch *watch)
{
	if (watch->call != NULL)
		store_cancel(watch->call);
	uv_close((uv_handle_t *)watch->retry_timer, handle_timer_closed);
	buf_reset(&watch->encoded);
	free(watch);
}
