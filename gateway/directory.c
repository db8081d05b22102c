#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/peer_gateways.h"
#include "gateway/workspace_counters.h"
#include "platform/edge.h"

enum {
	ADDRESS_TTL_US = 2 * US_PER_S, /* how long callers may use addresses */
	ADDRESSES_MAX = 64,            /* in one response */
	HEADER_MAX_BYTES = 8192,
	BODY_MAX_BYTES = 4096,
	HEADER_TIMEOUT_US = 5 * US_PER_S,
	IDLE_TIMEOUT_US = 30 * US_PER_S,
};

/** The HTTP servers of this process besides that for callers' requests. */
struct directory {
	struct gateway *gateway;
	struct h1_server *readiness;
	struct h1_server *addresses;
	struct h1_server *metrics; /**< NULL: not configured */
};

static void
respond_json(struct h1_exchange *exchange, int status, const struct buf *body)
{
	struct h1_headers headers = {0};

	h1_headers_add(&headers, "Content-Type", "application/json");
	h1_respond(exchange, status, &headers, body->data, body->len);
	h1_headers_reset(&headers);
}

static bool
is_ready(const struct gateway *gateway)
{
	return gateway->blackboard.config != NULL &&
	    gateway->blackboard.backends_loaded &&
	    !gateway->blackboard.stopping;
}

static void
respond_readiness(struct gateway *gateway, struct h1_exchange *exchange)
{
	struct buf body = {0};

	buf_printf(
	    &body, "{\"ready\":%s}", is_ready(gateway) ? "true" : "false");
	respond_json(exchange, is_ready(gateway) ? 200 : 503, &body);
	buf_reset(&body);
}

static void
respond_addresses(struct gateway *gateway, struct h1_exchange *exchange)
{
	const char *addresses[ADDRESSES_MAX];
	struct edge_resolve resolve;
	struct buf body = {0};
	size_t count;

	platform_edge_decode_resolve(h1_exchange_head(exchange), &resolve);
	count = peer_gateways_caller_addresses(gateway->peer_gateways,
	    resolve.failure_domain, resolve.region, addresses, ADDRESSES_MAX);
	platform_edge_encode_resolve(&body, addresses, count, ADDRESS_TTL_US);
	respond_json(exchange, 200, &body);
	buf_reset(&body);
}

static void
respond_unknown_path(struct h1_exchange *exchange)
{
	struct buf body = {0};

	buf_append_text(&body,
	    "{\"error\":{\"reason\":\"unknown_path\",\"run\":\"not run\"}}");
	respond_json(exchange, 404, &body);
	buf_reset(&body);
}

static void
handle_request(void *context, struct h1_exchange *exchange)
{
	struct gateway *gateway = context;

	switch (platform_edge_classify(h1_exchange_head(exchange))) {
	case EDGE_READINESS:
		respond_readiness(gateway, exchange);
		return;
	case EDGE_RESOLVE:
		respond_addresses(gateway, exchange);
		return;
	case EDGE_UNKNOWN:
		respond_unknown_path(exchange);
		return;
	}
}

static void
handle_metrics(void *context, struct h1_exchange *exchange)
{
	struct gateway *gateway = context;
	struct h1_headers headers = {0};
	struct buf body = {0};

	counters_render(&gateway->counters, &body);
	workspace_counters_render(gateway->workspace_counters, &body);
	h1_headers_add(&headers, "Content-Type", "text/plain; version=0.0.4");
	h1_respond(exchange, 200, &headers, body.data, body.len);
	h1_headers_reset(&headers);
	buf_reset(&body);
}

static struct h1_server *
create_server(struct gateway *gateway, const char *endpoint,
    void (*handle)(void *, struct h1_exchange *), struct error *err)
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
	    .on_request = handle,
	    .context = gateway,
	};

	settings_split_endpoint(endpoint, address, &options.port);
	return h1_server_create(&gateway->loop, &options, err);
}

struct directory *
directory_create(struct gateway *gateway, struct error *err)
{
	const struct settings *settings = &gateway->settings;
	struct directory *directory = xcalloc(1, sizeof(*directory));
	bool ok;

	directory->gateway = gateway;
	directory->readiness = create_server(
	    gateway, settings->gateway_readiness, handle_request, err);
	ok = directory->readiness != NULL;
	if (ok)
		directory->addresses = create_server(
		    gateway, settings->gateway_directory, handle_request, err);
	ok = ok && directory->addresses != NULL;
	if (ok && settings->gateway_metrics[0] != '\0') {
		directory->metrics = create_server(
		    gateway, settings->gateway_metrics, handle_metrics, err);
		ok = directory->metrics != NULL;
	}
	if (ok)
		return directory;
	directory_destroy(directory);
	return NULL;
}

void
directory_destroy(struct directory *directory)
{
	h1_server_destroy(directory->readiness);
	h1_server_destroy(directory->addresses);
	h1_server_destroy(directory->metrics);
	free(directory);
}
