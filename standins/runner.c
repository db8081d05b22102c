/** @file
 * standin-runner: a stand-in for a backend server of the platform. It registers
 * itself in the store. It responds to model requests with streams of events,
 * and to other requests with whole responses. The data of a stream's first
 * event is the hash of the request body, so that a test can check which history
 * the server received. A request that runs and has /crash in its path kills the
 * process, one with /lose runs without a response, and one with /slow takes two
 * seconds. With /unframed in the path, a response has neither a length nor
 * chunks and ends with its connection. With /partial a stream ends inside an
 * event, with /empty it has no event, and with /reset the connection is reset
 * in the middle. Requests with /decline in the path are declined, and responses
 * to those with /unsigned lack the signature.
 *
 * SIGUSR1 makes the server leave: it reports so in the list and in all its
 * responses, but goes on serving. After SIGUSR2 only its responses say so.
 * After SIGTERM it ends once no request is in progress.
 *
 * Seen-Tenant in a response has the values of the request's Tenant fields, and
 * Seen-Key tells that the request had an X-Api-Key.
 *
 * GET /stand-in/limit/VALUE makes all later responses state that limit on the
 * rate of requests; without a VALUE they state none.
 *
 * GET /stand-in/trouble/NAME makes the server fail all later requests in its
 * own way, before they could crash it: see enum trouble. Without a NAME it
 * recovers. A request with /crash-midway in its path kills the process after
 * the first part of a response without a length, and one with /crash-silent
 * freezes it.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <uv.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/list.h"
#include "common/memory.h"
#include "h1/client.h"
#include "h1/server.h"
#include "platform/store.h"

enum {
	HEARTBEAT_MS = 300,
	STORE_TIMEOUT_US = 2 * US_PER_S,
	BODY_MAX_BYTES = 64 << 20, /* a chain of long turns */
	HEADER_MAX_BYTES = 32 << 10,
	IDLE_TIMEOUT_US = 10 * US_PER_S,
	RUNS_MAX = 4096, /**< runs that GET /stand-in/runs can list */
	SLOW_MS = 2000,
	/* Until the first part of a response has been sent. */
	MIDWAY_MS = 20,
	CRASH_LATER_MS = 300,
	ID_BYTES = 64,
};

static const char LIMIT_PATH[] = "/stand-in/limit/";
static const char TROUBLE_PATH[] = "/stand-in/trouble/";

/** How a server fails requests without ending. */
enum trouble {
	TROUBLE_NONE,
	TROUBLE_ERROR,   /**< a whole 500 of its own */
	TROUBLE_TIMEOUT, /**< a whole 504 of its own */
	TROUBLE_BUSY,    /**< a whole 503 that doesn't say "not executed" */
	TROUBLE_REJECT,  /**< a whole 400, before it begins */
	/** A response without a length that ends in the middle, in order. */
	TROUBLE_CUT,
	TROUBLE_COUNT,
};

static const char *const trouble_names[TROUBLE_COUNT] = {
    [TROUBLE_NONE] = "",
    [TROUBLE_ERROR] = "error",
    [TROUBLE_TIMEOUT] = "timeout",
    [TROUBLE_BUSY] = "busy",
    [TROUBLE_REJECT] = "reject",
    [TROUBLE_CUT] = "cut",
};

static const int trouble_statuses[TROUBLE_COUNT] = {
    [TROUBLE_ERROR] = 500,
    [TROUBLE_TIMEOUT] = 504,
    [TROUBLE_BUSY] = 503,
    [TROUBLE_REJECT] = 400,
    [TROUBLE_CUT] = 200,
};

/** Values of the command-line options. */
static struct {
	const char *id;
	const char *service;
	const char *domain;
	int store_port;
	int port; /**< to listen on; 0: any */
	bool model;
	int events;
	int event_bytes; /**< of padding in each event */
	int work_ms;     /**< duration of a response, or of each event */
	int slots;       /**< most requests at a time */
	bool draining;   /**< reports in the list that it leaves */
	bool leaving;    /**< reports in its responses that it leaves */
	bool stopping;   /**< ends after the requests in progress */
} options = {
    .id = "runner-1",
    .service = "models",
    .domain = "a",
    .events = 4,
    .work_ms = 20,
    .slots = 8,
};

/** How a response ends. */
enum ending {
	ENDING_WHOLE,
	ENDING_PARTIAL, /**< inside an event, in order */
	ENDING_EMPTY,   /**< before the first event, in order */
	ENDING_RESET,   /**< in the middle, by a reset */
};

/** A request in progress. */
struct run {
	struct list link;
	struct h1_exchange *exchange;
	uv_timer_t *timer;
	char id[ID_BYTES];
	char workspaces[ID_BYTES]; /**< values of its Tenant fields */
	bool has_key;
	uint64_t body_hash;
	bool is_unsigned;
	bool unframed; /**< the response has neither a length nor chunks */
	enum ending ending;
	int events; /**< events sent */
};

static uv_loop_t *loop;
static struct h1_server *server;
static struct h1_client *client;
static uv_timer_t heartbeat;
static struct list runs = {&runs, &runs}; /**< list of struct run */
static char run_ids[RUNS_MAX][ID_BYTES];  /**< ids of past requests */
static size_t run_id_count;
static int64_t started_ms;          /**< start of the process, wall clock */
static int sequence;                /**< number of the last heartbeat */
static char stated_limit[ID_BYTES]; /**< "": none */
static enum trouble trouble;

static enum h1_head_action
ignore_head(void *context, const struct h1_head *head)
{
	(void)context;
	(void)head;
	return H1_HEAD_ACCEPT;
}

static void
ignore_done(void *context, const struct h1_outcome *outcome)
{
	(void)context;
	(void)outcome;
}

/* Registers the server in the store, or renews its registration. */
static void
handle_heartbeat(uv_timer_t *timer)
{
	struct buf value = {0};
	struct buf record = {0};
	struct buf body = {0};
	char address[ID_BYTES];
	struct h1_call_params params = {
	    .address = address,
	    .method = "POST",
	    .target = "/stand-in/append?topic=keyed.servers&part=0",
	    .connect_timeout_us = STORE_TIMEOUT_US,
	    .max_reuse_us = STORE_TIMEOUT_US,
	    .on_head = ignore_head,
	    .on_done = ignore_done,
	};
	uint8_t length[4];

	(void)timer;
	snprintf(address, sizeof(address), "127.0.0.1:%d", options.store_port);
	buf_printf(&value,
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"maxBatch\":%d,\"state\":\"%s\","
	    "\"coldLeftMs\":0,\"sequence\":%d,\"born\":%" PRId64 "}",
	    options.service, h1_server_port(server), options.domain,
	    options.slots, options.draining ? "draining" : "ready", ++sequence,
	    started_ms);
	store_keyed_encode(&record, options.id, value.data, value.len);
	for (int i = 0; i < 4; i++)
		length[i] = (uint8_t)(record.len >> (24 - 8 * i));
	buf_append(&body, length, sizeof(length));
	buf_append(&body, record.data, record.len);
	params.body = body.data;
	params.body_len = body.len;
	h1_call_start(client, &params);
	buf_reset(&value);
	buf_reset(&record);
	buf_reset(&body);
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
stop_if_idle(void)
{
	if (options.stopping && list_empty(&runs))
		uv_stop(loop);
}

static void
run_free(struct run *run)
{
	list_remove(&run->link);
	uv_close((uv_handle_t *)run->timer, handle_timer_closed);
	free(run);
	stop_if_idle();
}

static void
handle_exchange_closed(void *context)
{
	run_free(context);
}

/* Adds what the server says of itself in each response. */
static void
add_server_state(struct h1_headers *headers)
{
	if (options.leaving)
		h1_headers_add(headers, "Server-Leaving", "1");
	if (stated_limit[0] != '\0')
		h1_headers_add(headers, "Server-Limit", stated_limit);
}

static void
add_response_headers(const struct run *run, struct h1_headers *headers)
{
	h1_headers_add(headers, "Request-Id", run->id);
	if (!run->is_unsigned)
		h1_headers_add(headers, "Response-Signature", options.id);
	if (run->workspaces[0] != '\0')
		h1_headers_add(headers, "Seen-Tenant", run->workspaces);
	if (run->has_key)
		h1_headers_add(headers, "Seen-Key", "1");
	add_server_state(headers);
}

/* Starts the next event of a stream without a length or chunks. As only the end
 * of its last event shows that such a stream is whole, it never pauses between
 * two events. */
static void
begin_next_event(const struct run *run, struct buf *out)
{
	if (run->unframed && run->events < options.events &&
	    run->ending != ENDING_EMPTY)
		buf_printf(out, "id: %d\n", run->events + 1);
}

static void
send_event(struct run *run)
{
	struct buf event = {0};

	run->events++;
	if (!run->unframed)
		buf_printf(&event, "id: %d\n", run->events);
	if (run->events == 1)
		buf_printf(&event, "data: %016" PRIx64, run->body_hash);
	else
		buf_printf(&event, "data: %s-%d", run->id, run->events);
	for (int i = 0; i < options.event_bytes; i++)
		buf_append_text(&event, "-");
	buf_append_text(&event, "\n\n");
	begin_next_event(run, &event);
	h1_respond_data(run->exchange, event.data, event.len);
	buf_reset(&event);
}

static void
begin_stream(struct run *run)
{
	struct h1_headers headers = {0};
	struct buf out = {0};

	add_response_headers(run, &headers);
	h1_headers_add(&headers, "Content-Type", "text/event-stream");
	h1_respond_begin(run->exchange, 200, &headers,
	    run->unframed ? H1_LENGTH_CONNECTION : H1_LENGTH_CHUNKED);
	h1_headers_reset(&headers);
	begin_next_event(run, &out);
	h1_respond_data(run->exchange, out.data, out.len);
	buf_reset(&out);
}

/* Returns whether the stream breaks off instead of sending its next event. */
static bool
breaks_off(const struct run *run)
{
	switch (run->ending) {
	case ENDING_WHOLE:
		return false;
	case ENDING_EMPTY:
		return true;
	case ENDING_PARTIAL:
	case ENDING_RESET:
		return run->events >= options.events / 2;
	}
	return false;
}

static void
break_off_stream(struct run *run)
{
	static const char partial[] = "id: 9\ndata: par";

	if (run->ending != ENDING_EMPTY)
		h1_respond_data(run->exchange, partial, strlen(partial));
	if (run->ending == ENDING_RESET)
		h1_exchange_abort(run->exchange);
	else
		h1_respond_end(run->exchange);
}

static void
send_whole_response(struct run *run)
{
	struct h1_headers headers = {0};
	char body[ID_BYTES];
	size_t len =
	    (size_t)snprintf(body, sizeof(body), "done %.50s", run->id);

	add_response_headers(run, &headers);
	if (!run->unframed) {
		h1_respond(run->exchange, 200, &headers, body, len);
		h1_headers_reset(&headers);
		return;
	}
	h1_respond_begin(run->exchange, 200, &headers, H1_LENGTH_CONNECTION);
	h1_headers_reset(&headers);
	if (run->ending == ENDING_RESET) {
		h1_respond_data(run->exchange, body, len / 2);
		h1_exchange_abort(run->exchange);
		return;
	}
	h1_respond_data(run->exchange, body, len);
	h1_respond_end(run->exchange);
}

static void
handle_run_timer(uv_timer_t *timer)
{
	struct run *run = timer->data;

	if (!options.model) {
		send_whole_response(run);
	} else if (breaks_off(run)) {
		break_off_stream(run);
	} else if (run->events < options.events) {
		send_event(run);
		return;
	} else {
		h1_respond_end(run->exchange);
	}
	run_free(run);
}

static void
record_run(const char *request_id)
{
	snprintf(
	    run_ids[run_id_count++ % RUNS_MAX], ID_BYTES, "%s", request_id);
	printf("ran %s\n", request_id);
	fflush(stdout);
}

static enum ending
ending_of(const char *path)
{
	if (strstr(path, "/partial") != NULL)
		return ENDING_PARTIAL;
	if (strstr(path, "/empty") != NULL)
		return ENDING_EMPTY;
	return strstr(path, "/reset") != NULL ? ENDING_RESET : ENDING_WHOLE;
}

/* Notes what the request tells of its workspace. */
static void
note_workspace(struct run *run, const struct h1_headers *headers)
{
	size_t len = 0;

	for (size_t i = 0; i < headers->count; i++) {
		if (strcasecmp(h1_headers_name(headers, i), "tenant") == 0 &&
		    len < ID_BYTES)
			len += (size_t)snprintf(run->workspaces + len,
			    ID_BYTES - len, "%s%s", len > 0 ? "," : "",
			    h1_headers_value(headers, i));
	}
	run->has_key = h1_headers_find(headers, "x-api-key") != NULL;
}

static void
start_run(struct h1_exchange *exchange, const char *request_id)
{
	const char *path =
	    (const char *)h1_exchange_head(exchange)->target.data;
	const struct buf *body = h1_exchange_body(exchange);
	struct run *run = xcalloc(1, sizeof(*run));
	int work_ms = strstr(path, "/slow") != NULL ? SLOW_MS : options.work_ms;

	run->exchange = exchange;
	run->is_unsigned = strstr(path, "/unsigned") != NULL;
	run->unframed = strstr(path, "/unframed") != NULL;
	run->ending = ending_of(path);
	snprintf(run->id, sizeof(run->id), "%s", request_id);
	note_workspace(run, &h1_exchange_head(exchange)->headers);
	run->body_hash = hash_bytes(body->data, body->len, 0);
	record_run(request_id);
	list_append(&runs, &run->link);
	run->timer = xcalloc(1, sizeof(*run->timer));
	uv_timer_init(loop, run->timer);
	run->timer->data = run;
	h1_exchange_on_close(exchange, handle_exchange_closed, run);
	if (options.model)
		begin_stream(run);
	uv_timer_start(run->timer, handle_run_timer, (uint64_t)work_ms,
	    options.model ? (uint64_t)options.work_ms : 0);
}

/* Replies that a request was not executed, so that it is safe to retry. */
static void
reply_not_executed(
    struct h1_exchange *exchange, int status, const char *request_id)
{
	struct h1_headers headers = {0};

	if (request_id != NULL)
		h1_headers_add(&headers, "Request-Id", request_id);
	h1_headers_add(&headers, "Not-Executed", "1");
	add_server_state(&headers);
	h1_headers_add(&headers, "Instance-Id", options.id);
	h1_respond(exchange, status, &headers, "", 0);
	h1_headers_reset(&headers);
}

/* Handles GET /stand-in/runs: lists the ids of the requests that have run, one
 * line for each run. */
static void
reply_runs(struct h1_exchange *exchange)
{
	struct buf body = {0};

	for (size_t i = 0; i < run_id_count && i < RUNS_MAX; i++)
		buf_printf(&body, "%s\n", run_ids[i]);
	h1_respond(exchange, 200, NULL, body.data, body.len);
	buf_reset(&body);
}

/* Handles GET /stand-in/leaving: tells whether responses say that the server
 * leaves. */
static void
reply_leaving(struct h1_exchange *exchange)
{
	h1_respond(exchange, 200, NULL, options.leaving ? "1" : "0", 1);
}

/* Handles GET /stand-in/running: sends the number of requests in progress. */
static void
reply_running(struct h1_exchange *exchange)
{
	struct buf body = {0};

	buf_printf(&body, "%zu", list_length(&runs));
	h1_respond(exchange, 200, NULL, body.data, body.len);
	buf_reset(&body);
}

static void
set_limit(struct h1_exchange *exchange, const char *value)
{
	snprintf(stated_limit, sizeof(stated_limit), "%s", value);
	h1_respond(exchange, 200, NULL, "", 0);
}

/* Counts a run of the request and drops its connection. */
static void
lose_response(struct h1_exchange *exchange, const char *request_id)
{
	record_run(request_id);
	h1_exchange_abort(exchange);
}

static void
begin_unframed_response(struct h1_exchange *exchange, const char *request_id)
{
	struct h1_headers headers = {0};

	h1_headers_add(&headers, "Request-Id", request_id);
	h1_headers_add(&headers, "Response-Signature", options.id);
	h1_respond_begin(exchange, 200, &headers, H1_LENGTH_CONNECTION);
	h1_respond_data(exchange, "par", 3);
	h1_headers_reset(&headers);
}

static void
handle_crash_timer(uv_timer_t *timer)
{
	(void)timer;
	raise(SIGKILL);
}

static void
crash_after(uint64_t ms)
{
	static uv_timer_t timer;

	if (timer.loop != NULL) /* the first such request ends the process */
		return;
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, handle_crash_timer, ms, 0);
}

static void
crash(struct h1_exchange *exchange, const char *path, const char *request_id)
{
	record_run(request_id);
	if (strstr(path, "/crash-silent") != NULL) {
		raise(SIGSTOP);
	} else if (strstr(path, "/crash-later") != NULL) {
		crash_after(CRASH_LATER_MS);
	} else if (strstr(path, "/crash-midway") != NULL) {
		begin_unframed_response(exchange, request_id);
		crash_after(MIDWAY_MS);
	} else {
		raise(SIGKILL);
	}
}

/* Counts a run of the request and responds as the server's trouble says. */
static void
respond_in_trouble(struct h1_exchange *exchange, const char *request_id)
{
	struct h1_headers headers = {0};
	static const char text[] = "in trouble";

	record_run(request_id);
	printf("failed %s\n", request_id);
	fflush(stdout);
	if (trouble == TROUBLE_CUT) {
		begin_unframed_response(exchange, request_id);
		h1_respond_end(exchange);
		return;
	}
	h1_headers_add(&headers, "Request-Id", request_id);
	h1_headers_add(&headers, "Response-Signature", options.id);
	h1_respond(
	    exchange, trouble_statuses[trouble], &headers, text, strlen(text));
	h1_headers_reset(&headers);
}

/* Handles GET /stand-in/trouble/NAME. */
static void
set_trouble(struct h1_exchange *exchange, const char *name)
{
	for (int i = 0; i < TROUBLE_COUNT; i++) {
		if (strcmp(name, trouble_names[i]) != 0)
			continue;
		trouble = (enum trouble)i;
		h1_respond(exchange, 200, NULL, "", 0);
		return;
	}
	h1_respond(exchange, 404, NULL, "", 0);
}

static void
handle(void *context, struct h1_exchange *exchange)
{
	const struct h1_head *head = h1_exchange_head(exchange);
	const char *request_id = h1_headers_find(&head->headers, "request-id");
	const char *expected_id =
	    h1_headers_find(&head->headers, "expect-instance");
	const char *path = (const char *)head->target.data;

	(void)context;
	if (strcmp(path, "/stand-in/runs") == 0)
		reply_runs(exchange);
	else if (strcmp(path, "/stand-in/running") == 0)
		reply_running(exchange);
	else if (strcmp(path, "/stand-in/leaving") == 0)
		reply_leaving(exchange);
	else if (strncmp(path, LIMIT_PATH, strlen(LIMIT_PATH)) == 0)
		set_limit(exchange, path + strlen(LIMIT_PATH));
	else if (strncmp(path, TROUBLE_PATH, strlen(TROUBLE_PATH)) == 0)
		set_trouble(exchange, path + strlen(TROUBLE_PATH));
	else if (request_id == NULL)
		reply_not_executed(exchange, 400, NULL);
	else if (expected_id != NULL && strcmp(expected_id, options.id) != 0)
		reply_not_executed(exchange, 421, request_id);
	else if (list_length(&runs) >= (size_t)options.slots ||
	    strstr(path, "/decline") != NULL)
		reply_not_executed(exchange, 503, request_id);
	else if (trouble != TROUBLE_NONE)
		respond_in_trouble(exchange, request_id);
	else if (strstr(path, "/crash") != NULL)
		crash(exchange, path, request_id);
	else if (strstr(path, "/lose") != NULL)
		lose_response(exchange, request_id);
	else
		start_run(exchange, request_id);
}

static const struct argp_option argp_options[] = {
    {"id", 'i', "ID", 0, "Name in the list of servers", 0},
    {"service", 's', "NAME", 0, "Service that the server belongs to", 0},
    {"domain", 'd', "NAME", 0, "Failure domain", 0},
    {"store-port", 'p', "PORT", 0, "Port of standin-store", 0},
    {"port", 'l', "PORT", 0, "Port to listen on", 0},
    {"model", 'm', NULL, 0, "Respond with streams of events", 0},
    {"events", 'e', "N", 0, "Events of a response", 0},
    {"event-bytes", 'b', "N", 0, "Padding of each event", 0},
    {"work-ms", 'w', "MS", 0, "Duration of a response, or of each event", 0},
    {"slots", 'n', "N", 0, "Most requests at a time", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'i':
		options.id = arg;
		return 0;
	case 's':
		options.service = arg;
		return 0;
	case 'd':
		options.domain = arg;
		return 0;
	case 'p':
		options.store_port = (int)strtol(arg, NULL, 10);
		return 0;
	case 'l':
		options.port = (int)strtol(arg, NULL, 10);
		return 0;
	case 'm':
		options.model = true;
		return 0;
	case 'e':
		options.events = (int)strtol(arg, NULL, 10);
		return 0;
	case 'b':
		options.event_bytes = (int)strtol(arg, NULL, 10);
		return 0;
	case 'w':
		options.work_ms = (int)strtol(arg, NULL, 10);
		return 0;
	case 'n':
		options.slots = (int)strtol(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
handle_leave(uv_signal_t *signal, int number)
{
	(void)signal;
	options.leaving = true;
	options.stopping = number == SIGTERM;
	stop_if_idle();
	if (number != SIGUSR1)
		return;
	options.draining = true;
	handle_heartbeat(&heartbeat);
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    .options = argp_options,
	    .parser = parse_option,
	    .doc = "Stands in for a backend server of the platform.",
	};
	const struct h1_client_options client_options = {
	    .ack_timeout_us = STORE_TIMEOUT_US,
	    .idle_timeout_us = IDLE_TIMEOUT_US,
	};
	struct h1_server_options server_options = {
	    .address = "127.0.0.1",
	    .limits =
		{
		    .max_header_bytes = HEADER_MAX_BYTES,
		    .max_body_bytes = BODY_MAX_BYTES,
		    .header_timeout_us = IDLE_TIMEOUT_US,
		    .idle_timeout_us = IDLE_TIMEOUT_US,
		},
	    .on_request = handle,
	};
	struct error err = {0};
	uv_signal_t drain;
	uv_signal_t leave;
	uv_signal_t stop;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	server_options.port = options.port;
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	started_ms = clock_wall_us() / US_PER_MS;
	client = h1_client_create(loop, &client_options);
	server = h1_server_create(loop, &server_options, &err);
	if (server == NULL) {
		fprintf(stderr, "%s\n", err.text);
		return 1;
	}
	printf("listening %d\n", h1_server_port(server));
	fflush(stdout);
	uv_signal_init(loop, &drain);
	uv_signal_start(&drain, handle_leave, SIGUSR1);
	uv_signal_init(loop, &leave);
	uv_signal_start(&leave, handle_leave, SIGUSR2);
	uv_signal_init(loop, &stop);
	uv_signal_start(&stop, handle_leave, SIGTERM);
	uv_timer_init(loop, &heartbeat);
	if (options.store_port != 0)
		uv_timer_start(&heartbeat, handle_heartbeat, 0, HEARTBEAT_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}
