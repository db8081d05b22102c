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
	/* The store holds a read open for so long; half of it is the longest
	 * time for which a connection that went silent goes unnoticed. */
	WAIT_US = 1 * US_PER_S,
	READ_MARGIN_US = 500 * US_PER_MS,
	NEWEST_TIMEOUT_US = 1 * US_PER_S,
	RETRY_US = 250 * US_PER_MS, /* after a failed read */
	READ_MAX_BYTES = 4 << 20,
	BEHIND_US = 300 * US_PER_MS, /* then another gateway is asked */
};

struct config_watch {
	struct gateway *gateway;
	struct store_call *call;
	uv_timer_t *retry;
	uint64_t next;      /**< offset to read from */
	bool positioned;    /**< next is valid */
	bool lost;          /**< the last read failed */
	struct buf encoded; /**< the configuration in force */
	int64_t behind_us;  /**< since when others have a newer one; 0: none */
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

void
config_watch_apply(
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
	watch->behind_us = 0;
	gateway->blackboard.config = config;
	gateway_config_unref(old);
	h1_server_set_limits(gateway->caller_server, &config->limits);
}

void
config_watch_send(struct config_watch *watch, const char *vm)
{
	struct message message = {
	    .type = MESSAGE_GATEWAY_CONFIG,
	    .gateway_config =
		{
		    .data =
			{
			    .data = watch->encoded.data,
			    .len = watch->encoded.len,
			},
		},
	};

	if (watch->encoded.len > 0)
		peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
}

void
config_watch_handle_peer_version(
    struct config_watch *watch, const char *vm, uint64_t version)
{
	const struct gateway_config *config = watch->gateway->blackboard.config;
	struct message message = {.type = MESSAGE_GATEWAY_CONFIG_GET};
	int64_t now_us = clock_monotonic_us();

	if (config != NULL && config->version >= version) {
		if (config->version == version)
			watch->gateway->blackboard.config_confirmed_at_us =
			    now_us;
		return;
	}
	/* The store usually brings it within this time. */
	if (watch->behind_us == 0)
		watch->behind_us = now_us;
	if (now_us - watch->behind_us < BEHIND_US)
		return;
	watch->behind_us = now_us;
	peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
}

static void
confirm(struct config_watch *watch)
{
	watch->gateway->blackboard.config_confirmed_at_us =
	    clock_monotonic_us();
	if (!watch->lost)
		return;
	watch->lost = false;
	dependency_trace_recovered("store/configuration", -1);
}

static void
handle_retry(uv_timer_t *timer)
{
	watch_start(timer->data);
}

static void
retry_later(struct config_watch *watch, enum store_status status)
{
	uv_timer_start(watch->retry, handle_retry, RETRY_US / US_PER_MS, 0);
	if (watch->lost)
		return;
	watch->lost = true;
	dependency_trace_unreachable("store/configuration", status);
}

static void
handle_newest(void *context, const struct store_newest *newest)
{
	struct config_watch *watch = context;

	watch->call = NULL;
	if (newest->status != STORE_OK) {
		retry_later(watch, newest->status);
		return;
	}
	for (size_t i = 0; i < newest->count; i++) {
		if (strcmp(newest->items[i].key, STORE_KEY_CONFIG) == 0)
			config_watch_apply(watch, newest->items[i].value.data,
			    newest->items[i].value.len, "store");
	}
	watch->next = newest->end;
	watch->positioned = true;
	confirm(watch);
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
		retry_later(watch, read->status);
		return;
	}
	for (size_t i = 0; i < read->count; i++) {
		if (store_keyed_decode(&read->records[i], key, &value) &&
		    strcmp(key, STORE_KEY_CONFIG) == 0 && value.len > 0)
			config_watch_apply(
			    watch, value.data, value.len, "store");
	}
	watch->next += read->count;
	/* An end before our place: the topic has been made anew. */
	if (read->end < watch->next)
		watch->positioned = false;
	confirm(watch);
	watch_start(watch);
}

static void
watch_start(struct config_watch *watch)
{
	struct store *store = watch->gateway->store;

	if (!watch->positioned)
		watch->call = store_newest(store, STORE_TOPIC_OPERATOR, "",
		    NEWEST_TIMEOUT_US, handle_newest, watch);
	else
		watch->call = store_read(store, STORE_TOPIC_OPERATOR, 0,
		    watch->next, READ_MAX_BYTES, WAIT_US,
		    WAIT_US + READ_MARGIN_US, handle_read, watch);
}

struct config_watch *
config_watch_create(struct gateway *gateway)
{
	struct config_watch *watch = xcalloc(1, sizeof(*watch));

	watch->gateway = gateway;
	watch->retry = xcalloc(1, sizeof(*watch->retry));
	uv_timer_init(&gateway->loop, watch->retry);
	watch->retry->data = watch;
	watch_start(watch);
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
	uv_close((uv_handle_t *)watch->retry, handle_timer_closed);
	buf_reset(&watch->encoded);
	free(watch);
}
