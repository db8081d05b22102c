#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "gateway/relay.h"
#include "gateway/request.h"

enum {
	/* The other gateway has applied the limits of the configuration. These
	 * bound what it adds, and callers whose configuration is older. */
	HEADER_MAX_BYTES = 128 << 10,
	BODY_MAX_BYTES = 16 << 20,
	HEADER_TIMEOUT_US = 5 * US_PER_S,
	IDLE_TIMEOUT_US = 15 * US_PER_S,
	NUMBER_BYTES = 24,
};

static void
handle_request(void *context, struct h1_exchange *exchange)
{
	const struct h1_headers *headers = &h1_exchange_head(exchange)->headers;
	const char *executions =
	    h1_headers_find(headers, RELAY_FIELD_EXECUTIONS);
	const struct request_origin origin = {
	    .relayed = true,
	    .vm = h1_headers_find(headers, RELAY_FIELD_VM),
	    .caller = h1_headers_find(headers, RELAY_FIELD_CALLER),
	    .possible_executions = executions != NULL
		? (uint32_t)strtoul(executions, NULL, 10)
		: 0,
	};

	request_handle_from(context, exchange, &origin);
}

struct h1_server *
relay_server_create(struct gateway *gateway, struct error *err)
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
	    .on_request = handle_request,
	    .context = gateway,
	};

	settings_split_endpoint(
	    gateway->settings.gateway_relay, address, &options.port);
	return h1_server_create(&gateway->loop, &options, err);
}

void
relay_add_server(const struct request *request, struct h1_headers *headers)
{
	const struct forward *attempt = request->attempt;
	char number[NUMBER_BYTES];

	if (!request->relayed)
		return;
	h1_headers_add(headers, RELAY_FIELD_SERVER, attempt->backend->entry.id);
	snprintf(number, sizeof(number), "%lld",
	    (long long)attempt->server_started_wall_ms);
	h1_headers_add(headers, RELAY_FIELD_SERVER_STARTED, number);
}
