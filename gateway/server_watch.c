#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/dependency.h"
#include "gateway/gateway.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine.h"
#include "h1/message.h"
#include "platform/registry.h"

enum {
	READ_TIMEOUT_US = 1 * US_PER_S,
	READ_MAX_BYTES = 1 << 20,
	RETRY_US = 200 * US_PER_MS, /* after a failed read */
	/* Reads of the list within the time after which a draining server must
	 * get no new work. */
	POLLS_PER_DRAIN = 5,
	/* Entries of the list expire while the store is down. Live servers have
	 * registered again this long after its recovery. */
	REREGISTER_US = 2200 * US_PER_MS,
	EXPIRED_MAX = 256,
	/* Servers renew their entries about every second, and the store removes
	 * an entry after three intervals of silence. */
	GATHER_US = 4 * US_PER_S,
	INVALID_LOG_INTERVAL_US = 1 * US_PER_S,
	/* Time without the store until another gateway is asked for a list. */
	PEER_REQUEST_DELAY_US = 300 * US_PER_MS,
	PEER_REQUEST_INTERVAL_US = 500 * US_PER_MS,
	/* Time for a reply before the reader is asked for its list again. */
	MIRROR_REQUEST_INTERVAL_US = 200 * US_PER_MS,
};

/** A server whose entry expired while the store was down, or just after. */
struct expired_entry {
	char id[NAME_BYTES];
	int64_t until_us; /**< the server is used until this time */
};

/** Keeps the list of backend servers up to date with the store's. */
struct server_watch {
	struct gateway *gateway;
	struct store_call *call; /**< NULL: no read in progress */
	uv_timer_t *timer;       /**< for the next read */
	uint64_t next_offset;    /**< of the next read */
	bool positioned;         /**< next_offset is valid */
	bool read_failed;        /**< the last read failed */
	int64_t failed_since_us; /**< time of the first of the failed reads */
	/** Time of the first success after failed reads; 0: none. */
	int64_t recovered_us;
	int64_t outage_us; /**< from the first of these to recovered_us */
	int64_t reading_since_us;  /**< first success since the last failure */
	int64_t peer_requested_us; /**< time of the last request to another
				      gateway */
	int64_t read_us;           /**< time of the last success; 0: none */
	/** Another gateway of the failure domain reads the list for this one.
	 */
	bool mirrored;
	struct store_cursor cursor; /**< pages read so far */
	/** Until then renewed entries are gathered, since the list can't be
	 * read to its end; 0: no. */
	int64_t gather_until_us;
	struct expired_entry expired[EXPIRED_MAX];
	size_t expired_count;
	char (*listed)[NAME_BYTES]; /**< ids in the pages read so far */
	size_t listed_count;
	size_t invalid_count;       /**< invalid entries that were read */
	int64_t invalid_log_due_us; /**< of the next log line on them */
};

static void watch_start(struct server_watch *watch);

static void
trace_server(const char *event, const char *id, const char *service,
    int64_t started_wall_ms)
{
	struct trace trace;

	trace_begin(&trace, event);
	trace_text(&trace, "server", id);
	trace_text(&trace, "service", service);
	if (started_wall_ms != 0)
		trace_number(&trace, "started_ms", started_wall_ms);
	trace_end(&trace);
}

static void
forget_expired(struct server_watch *watch, const char *id)
{
	for (size_t i = 0; i < watch->expired_count; i++) {
		if (strcmp(watch->expired[i].id, id) == 0) {
			watch->expired[i] =
			    watch->expired[--watch->expired_count];
			return;
		}
	}
}

static void
handle_server_end(
    struct gateway *gateway, const struct backend *backend, const char *sign)
{
	const struct server_start start = {
	    .server = backend->hash,
	    .started_wall_ms = backend->entry.started_wall_ms,
	};

	quarantine_handle_server_end(
	    gateway->quarantine, &start, backend->entry.id, sign);
}

static void
remove_server(struct server_watch *watch, const char *id)
{
	struct gateway *gateway = watch->gateway;
	const struct backend *known =
	    backends_find(&gateway->blackboard.backends, id);

	if (known != NULL)
		handle_server_end(gateway, known, "removed from the list");
	if (backends_remove(&gateway->blackboard.backends, id))
		trace_server("server_removed", id, NULL, 0);
}

/* Handles the removal of an entry. Entries expire by themselves while the store
 * is down. Their servers stay in use until live ones have had the time to
 * register again. */
static void
handle_entry_removed(struct server_watch *watch, const char *id)
{
	int64_t now_us = clock_monotonic_us();
	struct expired_entry *expired;

	if (watch->recovered_us == 0 ||
	    now_us - watch->recovered_us > REREGISTER_US ||
	    watch->expired_count == EXPIRED_MAX) {
		remove_server(watch, id);
		return;
	}
	forget_expired(watch, id);
	expired = &watch->expired[watch->expired_count++];
	memcpy(expired->id, id, strlen(id) + 1);
	expired->until_us = watch->recovered_us + REREGISTER_US;
}

static void
update_server(struct gateway *gateway, const struct backend_entry *entry)
{
	const struct backend *known =
	    backends_find(&gateway->blackboard.backends, entry->id);
	bool restarted = known != NULL &&
	    known->entry.started_wall_ms != entry->started_wall_ms;
	bool was_leaving = known != NULL && known->leaving;

	if (restarted)
		handle_server_end(gateway, known, "new start in the list");
	if (backends_update(&gateway->blackboard.backends, entry,
		settings_region(&gateway->settings, entry->failure_domain)))
		trace_server(
		    entry->draining ? "server_draining" : "server_listed",
		    entry->id, entry->service, entry->started_wall_ms);
	if (restarted && was_leaving)
		trace_server("server_leaving_ended", entry->id, entry->service,
		    entry->started_wall_ms);
}

/* Logs an invalid entry, which its writer may renew at any rate. */
static void
report_invalid(struct server_watch *watch, const struct error *err)
{
	int64_t now_us = clock_monotonic_us();

	watch->invalid_count++;
	if (now_us < watch->invalid_log_due_us)
		return;
	watch->invalid_log_due_us = now_us + INVALID_LOG_INTERVAL_US;
	diag(LOG_NOTICE, NULL, "list of servers: %s (%zu invalid so far)",
	    err->text, watch->invalid_count);
}

static void
handle_entry_changed(
    struct server_watch *watch, const char *id, const struct wire_bytes *value)
{
	struct gateway *gateway = watch->gateway;
	uint64_t fingerprint =
	    platform_registry_fingerprint(value->data, value->len);
	struct backend *known =
	    backends_find(&gateway->blackboard.backends, id);
	struct backend_entry entry;
	struct error err = {0};

	forget_expired(watch, id);
	if (known != NULL && known->fingerprint == fingerprint)
		return; /* only renewed */
	if (!platform_registry_decode(
		id, value->data, value->len, &entry, &err)) {
		report_invalid(watch, &err);
		remove_server(watch, id);
		return;
	}
	update_server(gateway, &entry);
	known = backends_find(&gateway->blackboard.backends, id);
	if (known != NULL)
		known->fingerprint = fingerprint;
}

static void
remove_expired(struct server_watch *watch)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = watch->expired_count; i > 0; i--) {
		struct expired_entry *expired = &watch->expired[i - 1];
		char id[NAME_BYTES];

		if (expired->until_us > now_us)
			continue;
		memcpy(id, expired->id, sizeof(id));
		forget_expired(watch, id);
		remove_server(watch, id);
	}
}

static int64_t
poll_interval_us(const struct server_watch *watch)
{
	return watch->gateway->settings.gateway_drain_us / POLLS_PER_DRAIN;
}

static void
handle_timer(uv_timer_t *timer)
{
	watch_start(timer->data);
}

static void
start_later(struct server_watch *watch, int64_t wait_us)
{
	uv_timer_start(
	    watch->timer, handle_timer, (uint64_t)(wait_us / US_PER_MS), 0);
}

/* Asks another gateway for the list, since the store may serve that gateway. */
static void
request_peer_list(struct server_watch *watch)
{
	struct peer_gateways *peer_gateways = watch->gateway->peer_gateways;
	struct message message = {.type = MESSAGE_SERVERS_GET};
	int64_t now_us = clock_monotonic_us();
	const char *vm;

	if (now_us - watch->failed_since_us < PEER_REQUEST_DELAY_US ||
	    now_us - watch->peer_requested_us < PEER_REQUEST_INTERVAL_US)
		return;
	watch->peer_requested_us = now_us;
	vm = peer_gateways_next_relay(peer_gateways);
	if (vm != NULL)
		peer_gateways_send(peer_gateways, vm, &message);
}

void
server_watch_send_list(struct server_watch *watch, const char *vm)
{
	const struct backends *backends = &watch->gateway->blackboard.backends;
	struct message message = {.type = MESSAGE_SERVERS};
	struct message_server *servers;
	size_t count = 0;

	if (!watch->gateway->blackboard.backends_loaded || watch->read_failed ||
	    watch->gather_until_us != 0)
		return;
	servers = xcalloc(HASH_COUNT(backends->by_id) + 1, sizeof(*servers));
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		const struct backend_entry *entry = &backend->entry;
		struct message_server *server = &servers[count];

		if (!backend->accepts_requests && !entry->draining)
			continue;
		count++;
		memcpy(server->id, entry->id, NAME_BYTES);
		memcpy(server->service, entry->service, NAME_BYTES);
		snprintf(server->address, NAME_BYTES, "%s", entry->address);
		memcpy(
		    server->failure_domain, entry->failure_domain, NAME_BYTES);
		server->slots = entry->slots;
		server->draining = entry->draining;
		server->warm_up_us = entry->warm_up_us;
		server->started_wall_ms = entry->started_wall_ms;
	}
	message.servers.servers = servers;
	message.servers.server_count = count;
	message.servers.reachable_us =
	    clock_monotonic_us() - watch->reading_since_us;
	peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
	free(servers);
}

/* Removes the servers whose entries were removed during the outage. */
static void
end_reregistration(struct server_watch *watch)
{
	watch->recovered_us = 0;
	while (watch->expired_count > 0)
		remove_server(watch, watch->expired[--watch->expired_count].id);
}

/* Handles how long another gateway has read the list. If it did so during this
 * one's outage, the store was there, and no entry expired by itself. */
static void
handle_peer_reachable(struct server_watch *watch, int64_t reachable_us)
{
	if (watch->recovered_us != 0 &&
	    reachable_us >
		clock_monotonic_us() - watch->recovered_us + watch->outage_us)
		end_reregistration(watch);
}

/* Asks another gateway whether the store was there during the outage. */
static void
ask_for_outage(struct server_watch *watch)
{
	struct message message = {.type = MESSAGE_SERVERS_GET};
	const char *vm;

	if (watch->recovered_us == 0 ||
	    clock_monotonic_us() - watch->recovered_us > REREGISTER_US)
		return;
	vm = peer_gateways_next_relay(watch->gateway->peer_gateways);
	if (vm != NULL)
		peer_gateways_send(watch->gateway->peer_gateways, vm, &message);
}

static void add_listed(struct server_watch *watch, const char *id);
static void finish_relisting(struct server_watch *watch);

void
server_watch_handle_list(
    struct server_watch *watch, const struct message *message)
{
	bool positioned = watch->positioned;

	if (!watch->read_failed)
		handle_peer_reachable(watch, message->servers.reachable_us);
	if ((!watch->read_failed && !watch->mirrored) ||
	    watch->cursor.pages > 0)
		return;
	for (size_t i = 0; i < message->servers.server_count; i++) {
		const struct message_server *server =
		    &message->servers.servers[i];
		struct backend_entry entry = {
		    .slots = server->slots,
		    .draining = server->draining,
		    .warm_up_us = server->warm_up_us,
		    .started_wall_ms = server->started_wall_ms,
		};

		if (!h1_is_field_value(server->id, strlen(server->id)))
			continue; /* a gateway of an earlier version */
		memcpy(entry.id, server->id, NAME_BYTES);
		memcpy(entry.service, server->service, NAME_BYTES);
		snprintf(entry.address, sizeof(entry.address), "%.31s",
		    server->address);
		memcpy(
		    entry.failure_domain, server->failure_domain, NAME_BYTES);
		add_listed(watch, entry.id);
		update_server(watch->gateway, &entry);
	}
	finish_relisting(watch);
	/* The list of another gateway sets no offset for the next read. */
	watch->positioned = positioned;
}

static void
handle_read_failure(struct server_watch *watch, enum store_status status)
{
	watch->gateway->blackboard.servers_read_us = 0;
	start_later(watch, RETRY_US);
	if (watch->read_failed) {
		request_peer_list(watch);
		return;
	}
	watch->read_failed = true;
	watch->failed_since_us = clock_monotonic_us();
	dependency_trace_unreachable("store/servers", status);
}

static void
handle_read_success(struct server_watch *watch)
{
	/* A list that lacks servers must not be mirrored. */
	watch->gateway->blackboard.servers_read_us =
	    watch->gather_until_us == 0 ? clock_monotonic_us() : 0;
	if (watch->reading_since_us == 0)
		watch->reading_since_us = clock_monotonic_us();
	if (!watch->read_failed)
		return;
	watch->read_failed = false;
	watch->recovered_us = clock_monotonic_us();
	watch->outage_us = watch->recovered_us - watch->failed_since_us;
	watch->reading_since_us = watch->recovered_us;
	dependency_trace_recovered("store/servers", watch->outage_us);
}

static void
add_listed(struct server_watch *watch, const char *id)
{
	watch->listed = xrealloc(
	    watch->listed, (watch->listed_count + 1) * sizeof(*watch->listed));
	memcpy(watch->listed[watch->listed_count++], id, strlen(id) + 1);
}

static int
compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* Returns whether an id is in the pages, which have been sorted. */
static bool
was_listed(const struct server_watch *watch, const char *id)
{
	return watch->listed_count > 0 &&
	    bsearch(id, watch->listed, watch->listed_count,
		sizeof(*watch->listed), compare_ids) != NULL;
}

/* Removes the servers that a complete reading of the list did not contain. */
static void
finish_relisting(struct server_watch *watch)
{
	struct backends *backends = &watch->gateway->blackboard.backends;
	struct backend *backend = NULL;
	struct backend *next = NULL;

	if (watch->listed_count > 0)
		qsort(watch->listed, watch->listed_count,
		    sizeof(*watch->listed), compare_ids);
	HASH_ITER (hh, backends->by_id, backend, next) {
		char id[NAME_BYTES];

		memcpy(id, backend->entry.id, sizeof(id));
		if (!was_listed(watch, id))
			handle_entry_removed(watch, id);
	}
	free(watch->listed);
	watch->listed = NULL;
	watch->listed_count = 0;
	watch->cursor = (struct store_cursor){0};
	watch->gather_until_us = 0;
	watch->positioned = true;
	watch->gateway->blackboard.backends_loaded = true;
}

/* Handles a page or a read while the list is gathered. Callers may be sent here
 * as soon as there are servers for them. */
static void
handle_gathered(struct server_watch *watch)
{
	struct gateway_blackboard *blackboard = &watch->gateway->blackboard;

	if (blackboard->backends.by_id != NULL)
		blackboard->backends_loaded = true;
	if (clock_monotonic_us() >= watch->gather_until_us)
		finish_relisting(watch);
}

/* Goes on with the changes of the list, since its other pages can't be reached.
 * The servers on them are known when they renew their entries. */
static void
start_gathering(struct server_watch *watch)
{
	struct trace trace;

	watch->gather_until_us = clock_monotonic_us() + GATHER_US;
	watch->cursor = (struct store_cursor){0};
	watch->positioned = true;
	watch->gateway->blackboard.servers_read_us = 0;
	trace_begin(&trace, "server_list_incomplete");
	trace_number(&trace, "listed", (int64_t)watch->listed_count);
	trace_end(&trace);
	handle_gathered(watch);
}

static void
handle_newest(void *context, const struct store_newest *newest)
{
	struct server_watch *watch = context;

	watch->call = NULL;
	if (newest->status != STORE_OK) {
		handle_read_failure(watch, newest->status);
		return;
	}
	handle_read_success(watch);
	/* The pages are not a snapshot: changes made after the first page was
	 * read are read again from its end offset on. */
	if (newest->first)
		watch->next_offset = newest->end;
	for (size_t i = 0; i < newest->count; i++) {
		const struct store_item *item = &newest->items[i];

		add_listed(watch, item->key);
		handle_entry_changed(watch, item->key, &item->value);
	}
	switch (newest->next) {
	case STORE_NEXT_PAGE:
		watch_start(watch);
		return;
	case STORE_NEXT_UNREACHABLE:
		start_gathering(watch);
		break;
	case STORE_NEXT_NONE:
		finish_relisting(watch);
		break;
	}
	start_later(watch, poll_interval_us(watch));
}

static void
handle_read(void *context, const struct store_read *read)
{
	struct server_watch *watch = context;
	char id[NAME_BYTES];
	struct wire_bytes value;
	size_t ignored = 0;

	watch->call = NULL;
	if (read->status == STORE_EXPIRED ||
	    (read->status == STORE_OK &&
		read->end_offset < watch->next_offset)) {
		watch->positioned = false;
		watch_start(watch);
		return;
	}
	if (read->status != STORE_OK) {
		handle_read_failure(watch, read->status);
		return;
	}
	handle_read_success(watch);
	for (size_t i = 0; i < read->count; i++) {
		if (!store_keyed_decode(&read->records[i], id, &value)) {
			ignored++;
			continue;
		}
		if (value.len == 0) {
			handle_entry_removed(watch, id);
			continue;
		}
		if (watch->gather_until_us != 0)
			add_listed(watch, id);
		handle_entry_changed(watch, id, &value);
	}
	store_count_ignored(
	    watch->gateway->store, STORE_TOPIC_SERVERS, ignored);
	watch->next_offset += read->count;
	if (watch->gather_until_us != 0)
		handle_gathered(watch);
	ask_for_outage(watch);
	remove_expired(watch);
	start_later(watch, poll_interval_us(watch));
}

/* Returns whether another gateway reads the list for this one, and which. Its
 * readings must be so recent that no server is used for too long after it has
 * announced that it leaves. */
static bool
find_reader(const struct server_watch *watch, struct store_reader *reader)
{
	const struct gateway *gateway = watch->gateway;

	return gateway->blackboard.backends_loaded && !watch->read_failed &&
	    !peer_gateways_reads_store(gateway->peer_gateways) &&
	    peer_gateways_find_reader(
		gateway->peer_gateways, 2 * poll_interval_us(watch), reader);
}

bool
server_watch_is_current(const struct server_watch *watch)
{
	const struct gateway *gateway = watch->gateway;
	int64_t read_us = gateway->blackboard.servers_read_us;
	struct store_reader reader;

	if (!gateway->blackboard.backends_loaded || watch->expired_count > 0)
		return false;
	if (watch->mirrored)
		return find_reader(watch, &reader);
	return !watch->read_failed &&
	    clock_monotonic_us() - read_us <= 2 * poll_interval_us(watch);
}

void
server_watch_handle_heartbeat(struct server_watch *watch)
{
	struct peer_gateways *peer_gateways = watch->gateway->peer_gateways;
	struct message message = {.type = MESSAGE_SERVERS_GET};
	int64_t now_us = clock_monotonic_us();
	struct store_reader reader;

	if (!watch->mirrored || !find_reader(watch, &reader) ||
	    reader.servers_digest ==
		watch->gateway->blackboard.backends.digest ||
	    now_us - watch->peer_requested_us < MIRROR_REQUEST_INTERVAL_US)
		return;
	watch->peer_requested_us = now_us;
	peer_gateways_send(peer_gateways, reader.vm, &message);
}

/* Stops to read while another gateway reads the list for this one. */
static void
update_mirrored(struct server_watch *watch)
{
	struct store_reader reader;

	watch->mirrored = watch->expired_count == 0 &&
	    watch->cursor.pages == 0 && watch->gather_until_us == 0 &&
	    find_reader(watch, &reader);
	if (!watch->mirrored)
		return;
	watch->positioned = false;
	watch->gateway->blackboard.servers_read_us = 0;
}

static void
watch_start(struct server_watch *watch)
{
	struct store *store = watch->gateway->store;

	update_mirrored(watch);
	if (watch->mirrored) {
		start_later(watch, poll_interval_us(watch));
		return;
	}
	watch->gateway->counters.server_list_reads_total++;
	if (!watch->positioned)
		watch->call = store_newest(store, STORE_TOPIC_SERVERS,
		    &watch->cursor, READ_TIMEOUT_US, handle_newest, watch);
	else
		watch->call = store_read(store, STORE_TOPIC_SERVERS, 0,
		    watch->next_offset, READ_MAX_BYTES, 0, READ_TIMEOUT_US,
		    handle_read, watch);
}

struct server_watch *
server_watch_create(struct gateway *gateway)
{
	struct server_watch *watch = xcalloc(1, sizeof(*watch));

	watch->gateway = gateway;
	watch->timer = xcalloc(1, sizeof(*watch->timer));
	uv_timer_init(&gateway->loop, watch->timer);
	watch->timer->data = watch;
	watch_start(watch);
	return watch;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
server_watch_destroy(struct server_watch *watch)
{
	if (watch->call != NULL)
		store_cancel(watch->call);
	uv_close((uv_handle_t *)watch->timer, handle_timer_closed);
	free(watch->listed);
	free(watch);
}
