#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/trace.h"
#include "gateway/peer_gateways.h"
#include "gateway/relay.h"
#include "gateway/request.h"

enum {
	CONNECT_TIMEOUT_US = 200 * US_PER_MS, /* several round trips */
	MAX_IDLE_US = 3 * US_PER_S,
	ATTEMPTS_MAX = 2,
	NUMBER_BYTES = 24,
};

/* Applies what the server said of itself to the gateway that handled the
 * request. This one's caller hears it, so it has to act on it too. */
static void
learn_from_server(struct request *request, const struct h1_head *head)
{
	struct gateway *gateway = request->gateway;
	const char *server =
	    h1_headers_find(&head->headers, RELAY_FIELD_SERVER);
	const char *started =
	    h1_headers_find(&head->headers, RELAY_FIELD_SERVER_STARTED);
	struct backend_response response;
	struct server_start start;

	if (server == NULL || started == NULL)
		return;
	start = (struct server_start){
	    .server = hash_text(server, 0),
	    .started_wall_ms = strtoll(started, NULL, 10),
	};
	snprintf(request->last_backend, NAME_BYTES, "%.63s", server);
	platform_response_decode(
	    head, request->attributes.request_id, &response);
	request->stated_limit = response.limit;
	if (response.server_leaving)
		backends_mark_leaving(&gateway->blackboard.backends, server,
		    start.started_wall_ms);
	server_limits_handle_response(gateway->server_limits, &start, &response,
	    request->relay.started_us, request->attributes.request_id);
}

static void
begin_response(struct request *request, const struct h1_head *head)
{
	struct h1_headers all = {0};
	struct h1_headers headers = {0};
	const char *length = h1_headers_find(&head->headers, "content-length");

	h1_headers_copy_end_to_end(&head->headers, &all);
	for (size_t i = 0; i < all.count; i++) {
		const char *name = h1_headers_name(&all, i);

		if (strncasecmp(name, RELAY_FIELD_PREFIX,
			strlen(RELAY_FIELD_PREFIX)) != 0)
			h1_headers_add(
			    &headers, name, h1_headers_value(&all, i));
	}
	request->response_started = true;
	request->state = REQUEST_RESPONDING;
	request->status = head->status;
	h1_respond_begin(request->exchange, head->status, &headers,
	    length != NULL ? (int64_t)strtoll(length, NULL, 10)
			   : H1_LENGTH_CHUNKED);
	h1_headers_reset(&all);
	h1_headers_reset(&headers);
}

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	struct request *request = context;
	struct backend_response response;

	platform_response_decode(
	    head, request->attributes.request_id, &response);
	if (platform_response_has_request_id(head) && !response.matches_request)
		return H1_HEAD_SKIP;
	if (h1_headers_find(&head->headers, RELAY_FIELD_UNREACHABLE) != NULL &&
	    request->relay.count < ATTEMPTS_MAX) {
		request->relay.refused = true;
		return H1_HEAD_ACCEPT;
	}
	learn_from_server(request, head);
	begin_response(request, head);
	return H1_HEAD_ACCEPT;
}

static void
handle_data(void *context, const void *data, size_t len)
{
	struct request *request = context;

	if (request->response_started)
		request_send_body(request, data, len);
}

/* Goes on with a request that the other gateway certainly has not run. */
static void
try_another(struct request *request)
{
	request->state = REQUEST_WAITING;
	if (!relay_start(request))
		request_handle_here(request);
}

static void
trace_failed(const struct request *request, const char *why)
{
	struct trace trace;

	trace_begin(&trace, "relay_failed");
	trace_text(&trace, "request", request->attributes.request_id);
	trace_text(&trace, "vm", request->relay.vm);
	trace_text(&trace, "why", why);
	trace_end(&trace);
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct request *request = context;
	bool complete = outcome->result == H1_COMPLETE &&
	    outcome->body_end != H1_BODY_END_CONNECTION;

	request->relay.call = NULL;
	request->body_end = outcome->body_end;
	request->response_fault = outcome->fault;
	if (complete && request->response_started) {
		request_complete(request);
		return;
	}
	request->gateway->counters.relay_failures_total++;
	if (complete && request->relay.refused) {
		trace_failed(request, "it reaches no server");
		try_another(request);
	} else if (outcome->result == H1_CONNECT_FAILED) {
		trace_failed(request, "no connection");
		try_another(request);
	} else {
		trace_failed(request,
		    outcome->fault != NULL ? outcome->fault
					   : "connection lost");
		request_handle_lost_response(request);
	}
}

static bool
is_wanted(const struct request *request)
{
	const struct gateway *gateway = request->gateway;

	return gateway->blackboard.reach.lost && !request->relayed &&
	    request->turn == NULL && request->relay.count < ATTEMPTS_MAX;
}

static void
build_headers(
    const struct request *request, int64_t now_us, struct h1_headers *headers)
{
	const struct h1_head *head = h1_exchange_head(request->exchange);
	char number[NUMBER_BYTES];

	platform_request_relay(
	    &head->headers, request->deadline_us - now_us, headers);
	h1_headers_add(headers, RELAY_FIELD_CALLER,
	    h1_exchange_remote_address(request->exchange));
	h1_headers_add(
	    headers, RELAY_FIELD_VM, request->gateway->settings.vm_name);
	snprintf(number, sizeof(number), "%u", request->possible_executions);
	h1_headers_add(headers, RELAY_FIELD_EXECUTIONS, number);
}

bool
relay_start(struct request *request)
{
	struct gateway *gateway = request->gateway;
	uint64_t version = request->config->version;
	int64_t now_us = clock_monotonic_us();
	struct h1_headers headers = {0};
	struct relay_target target;
	const struct h1_head *head;
	struct h1_call_params params;

	if (version < gateway->blackboard.relayed_config_version)
		version = gateway->blackboard.relayed_config_version;
	if (!is_wanted(request) ||
	    !peer_gateways_choose_relay(
		gateway->peer_gateways, version, request->relay.vm, &target))
		return false;
	gateway->blackboard.relayed_config_version = target.config_version;
	head = h1_exchange_head(request->exchange);
	build_headers(request, now_us, &headers);
	params = (struct h1_call_params){
	    .address = target.address,
	    .method = head->method,
	    .target = (const char *)head->target.data,
	    .headers = &headers,
	    .body = request->body.data,
	    .body_len = request->body.len,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .max_reuse_us = MAX_IDLE_US,
	    .on_head = handle_head,
	    .on_data = handle_data,
	    .on_done = handle_done,
	    .context = request,
	};
	memcpy(request->relay.vm, target.vm, NAME_BYTES);
	request->relay.started_us = now_us;
	request->relay.refused = false;
	request->relay.count++;
	if (request->first_sent_us == 0)
		request->first_sent_us = now_us;
	gateway->counters.relayed_total++;
	request->state = REQUEST_RELAYED;
	request->relay.call = h1_call_start(gateway->http_client, &params);
	h1_headers_reset(&headers);
	request_arm_timer(request);
	return true;
}

void
relay_cancel(struct request *request)
{
	if (request->relay.call != NULL)
		h1_call_cancel(request->relay.call);
	request->relay.call = NULL;
}

bool
relay_is_sent(const struct request *request)
{
	return request->relay.call != NULL && h1_call_sent(request->relay.call);
}
