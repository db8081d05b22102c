#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/standin.h"

enum {
	MAX_BODY_BYTES = 64 << 20,
	MAX_SEND_QUEUE_BYTES = 64 << 20,
	DEFAULT_CONNECTIONS = 1024,
	OPTION_KEY_BASE = 256,
	COMMON_FAULTS = 12,
	COMMON_OPTIONS = 3,
};

/** Fields shared by all stand-ins and those of one program, joined. */
struct field_list {
	struct field items[STANDIN_MAX_FIELDS];
	size_t count;
};

static void
list_add(struct field_list *list, const struct field *fields, size_t count)
{
	for (size_t i = 0; i < count && list->count < STANDIN_MAX_FIELDS; i++)
		list->items[list->count++] = fields[i];
}

static void
list_options(struct standin *standin, struct field_list *list)
{
	const struct field common[COMMON_OPTIONS] = {
	    {"listen_port", "PORT", "TCP port on 127.0.0.1; 0: any free one",
		FIELD_INTEGER, {.integer = &standin->listen_port}},
	    {"max_connections", "N", "Most open connections", FIELD_INTEGER,
		{.integer = &standin->max_connections}},
	    {"seed", "N", "Seed of the random numbers; 0: a random one",
		FIELD_INTEGER, {.integer = &standin->seed}},
	};

	list_add(list, common, COMMON_OPTIONS);
	list_add(
	    list, standin->program->options, standin->program->option_count);
}

static void
list_faults(struct standin *standin, struct field_list *list)
{
	const struct field common[COMMON_FAULTS] = {
	    {"outage_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->outage_ms}},
	    {"delay_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->delay_ms}},
	    {"reply_delay_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->reply_delay_ms}},
	    {"drop_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->drop_requests}},
	    {"drop_probability", "", "", FIELD_REAL,
		{.real = &standin->drop_probability}},
	    {"lose_replies", "", "", FIELD_INTEGER,
		{.integer = &standin->lose_replies}},
	    {"lose_probability", "", "", FIELD_REAL,
		{.real = &standin->lose_probability}},
	    {"hang_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->hang_requests}},
	    {"hang_replies", "", "", FIELD_INTEGER,
		{.integer = &standin->hang_replies}},
	    {"error_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->error_requests}},
	    {"error_status", "", "", FIELD_INTEGER,
		{.integer = &standin->error_status}},
	    {"match_path", "", "", FIELD_TEXT, {.text = &standin->match_path}},
	};

	list_add(list, common, COMMON_FAULTS);
	list_add(list, standin->program->faults, standin->program->fault_count);
}

bool
standin_outage(const struct standin *standin)
{
	return clock_monotonic_us() < standin->outage_until_us;
}

/* ---- requests ---- */

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
request_free(struct standin_request *request)
{
	if (request->timer != NULL)
		uv_close((uv_handle_t *)request->timer, handle_timer_closed);
	buf_reset(&request->body);
	free(request);
}

static void
handle_closed(void *context)
{
	struct standin_request *request = context;

	request->exchange = NULL;
	if (request->on_close != NULL)
		request->on_close(request);
}

static struct standin_request *
request_create(struct standin *standin, const struct http_request *http)
{
	struct standin_request *request = xcalloc(1, sizeof(*request));

	request->standin = standin;
	request->exchange = http->exchange;
	request->method = http->method;
	snprintf(request->path, sizeof(request->path), "%s", http->path);
	snprintf(request->query, sizeof(request->query), "%s", http->query);
	http_request_header(
	    http, "idempotency-key", request->key, sizeof(request->key));
	buf_append(&request->body, http->body, http->body_len);
	http_exchange_on_close(http->exchange, handle_closed, request);
	return request;
}

static void
handle_timer(uv_timer_t *timer)
{
	struct standin_request *request = timer->data;

	request->on_time(request);
}

void
standin_request_wait(struct standin_request *request, int64_t delay_ms,
    void (*on_time)(struct standin_request *request))
{
	if (request->timer == NULL) {
		request->timer = xcalloc(1, sizeof(*request->timer));
		uv_timer_init(&request->standin->loop, request->timer);
		request->timer->data = request;
	}
	request->on_time = on_time;
	uv_update_time(&request->standin->loop);
	uv_timer_start(request->timer, handle_timer, (uint64_t)delay_ms, 0);
}

json_t *
standin_request_json(const struct standin_request *request)
{
	return json_loadb((const char *)request->body.data, request->body.len,
	    JSON_REJECT_DUPLICATES, NULL);
}

void
standin_query_text(const struct standin_request *request, const char *name,
    char *value, size_t size)
{
	struct http_request http = {.query = request->query};

	http_request_query(&http, name, value, size);
}

int64_t
standin_query_number(
    const struct standin_request *request, const char *name, int64_t absent)
{
	char value[32];

	standin_query_text(request, name, value, sizeof(value));
	return value[0] != '\0' ? strtoll(value, NULL, 10) : absent;
}

const char *
standin_path_tail(const struct standin_request *request, const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(request->path, prefix, len) != 0)
		return NULL;
	return request->path + len;
}

/* ---- answers ---- */

/** An answer that is sent later. */
struct late_answer {
	int status;
	char content_type[64];
	struct buf body;
};

static void
respond(struct standin_request *request, int status, const char *content_type,
    const void *data, size_t len)
{
	if (request->exchange != NULL)
		http_respond(
		    request->exchange, status, content_type, NULL, data, len);
	request_free(request);
}

static void
handle_late_time(struct standin_request *request)
{
	struct late_answer *late = request->context;

	respond(request, late->status, late->content_type, late->body.data,
	    late->body.len);
	buf_reset(&late->body);
	free(late);
}

static void
respond_late(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len)
{
	struct late_answer *late = xcalloc(1, sizeof(*late));

	late->status = status;
	snprintf(
	    late->content_type, sizeof(late->content_type), "%s", content_type);
	buf_append(&late->body, data, len);
	request->on_close = NULL;
	request->context = late;
	standin_request_wait(
	    request, request->standin->reply_delay_ms, handle_late_time);
}

/* Takes one of a number of ordered faults. */
static bool
take(int64_t *left)
{
	if (*left == 0)
		return false;
	--*left;
	return true;
}

static bool
happens(struct standin *standin, double probability)
{
	return probability > 0 && rng_real(&standin->rng) < probability;
}

static bool
is_control(const struct standin_request *request)
{
	return strcmp(request->path, "/faults") == 0 ||
	    strcmp(request->path, "/stats") == 0;
}

static bool
faults_reach(const struct standin_request *request)
{
	const char *match = request->standin->match_path;

	return !is_control(request) &&
	    (match == NULL ||
		strncmp(request->path, match, strlen(match)) == 0);
}

/* Only a request that may have had an effect can lose its reply. */
static bool
reply_is_lost(struct standin_request *request)
{
	struct standin *standin = request->standin;

	return request->method != HTTP_GET &&
	    (take(&standin->lose_replies) ||
		happens(standin, standin->lose_probability));
}

static void
leave_hanging(struct standin_request *request)
{
	request->on_close = standin_stream_end;
	if (request->exchange == NULL)
		request_free(request);
}

void
standin_reply_bytes(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len)
{
	struct standin *standin = request->standin;

	bool reached = faults_reach(request);

	if (reached && reply_is_lost(request))
		standin_cut(request);
	else if (reached && request->method != HTTP_GET &&
	    take(&standin->hang_replies))
		leave_hanging(request);
	else if (reached && standin->reply_delay_ms > 0)
		respond_late(request, status, content_type, data, len);
	else
		respond(request, status, content_type, data, len);
}

void
standin_reply(struct standin_request *request, int status, json_t *answer)
{
	char *text = json_dumps(answer, JSON_COMPACT);

	json_decref(answer);
	if (text == NULL)
		memory_exhausted();
	standin_reply_bytes(
	    request, status, "application/json", text, strlen(text));
	free(text);
}

void
standin_reply_error(
    struct standin_request *request, int status, const char *reason)
{
	standin_reply(
	    request, status, json_pack("{s:{s:s}}", "error", "reason", reason));
}

void
standin_cut(struct standin_request *request)
{
	if (request->exchange != NULL)
		http_abort(request->exchange);
	request_free(request);
}

void
standin_stream_end(struct standin_request *request)
{
	if (request->exchange != NULL)
		http_stream_end(request->exchange);
	request_free(request);
}

/* ---- faults ---- */

static void
faults_changed(struct standin *standin)
{
	standin->outage_until_us =
	    clock_monotonic_us() + standin->outage_ms * US_PER_MS;
	if (standin->program->faults_changed != NULL)
		standin->program->faults_changed(standin);
}

static void
handle_faults(struct standin_request *request)
{
	struct standin *standin = request->standin;
	struct field_list faults = {0};
	struct error err = {0};
	json_t *orders;
	bool ok;

	list_faults(standin, &faults);
	switch (request->method) {
	case HTTP_POST:
		orders = standin_request_json(request);
		ok = fields_set_json(faults.items, faults.count, orders, &err);
		json_decref(orders);
		if (!ok) {
			standin_reply_error(request, 400, err.text);
			return;
		}
		faults_changed(standin);
		break;
	case HTTP_DELETE:
		fields_clear(faults.items, faults.count);
		faults_changed(standin);
		break;
	default:
		break;
	}
	standin_reply(request, 200, fields_json(faults.items, faults.count));
}

static void
handle_after_delay(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (standin_outage(standin))
		standin_reply_error(request, 503, "unavailable");
	else
		standin->program->handle(request);
}

static int
ordered_status(const struct standin *standin)
{
	return standin->error_status > 0 ? (int)standin->error_status : 500;
}

/* Does what the faults order for a request; false: they let it pass. */
static bool
stop_request(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (standin_outage(standin))
		standin_reply_error(request, 503, "unavailable");
	else if (take(&standin->drop_requests) ||
	    happens(standin, standin->drop_probability))
		standin_cut(request);
	else if (take(&standin->hang_requests))
		leave_hanging(request);
	else if (take(&standin->error_requests))
		standin_reply_error(
		    request, ordered_status(standin), "ordered_error");
	else if (standin->delay_ms > 0)
		standin_request_wait(
		    request, standin->delay_ms, handle_after_delay);
	else
		return false;
	return true;
}

static void
handle_own_path(struct standin_request *request)
{
	if (!faults_reach(request) || !stop_request(request))
		request->standin->program->handle(request);
}

static void
handle_request(void *context, struct http_exchange *exchange,
    const struct http_request *http)
{
	struct standin *standin = context;
	struct standin_request *request = request_create(standin, http);

	(void)exchange;
	if (strcmp(request->path, "/faults") == 0)
		handle_faults(request);
	else if (strcmp(request->path, "/stats") == 0)
		standin_reply(request, 200, standin->program->stats(standin));
	else
		handle_own_path(request);
}

/* ---- start ---- */

/** What the option parser fills in. */
struct parse_input {
	struct field_list fields;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	const struct parse_input *input = state->input;
	struct error err = {0};

	if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument: %s", arg);
	if (key < OPTION_KEY_BASE ||
	    key >= OPTION_KEY_BASE + (int)input->fields.count)
		return ARGP_ERR_UNKNOWN;
	if (!field_set_text(
		&input->fields.items[key - OPTION_KEY_BASE], arg, &err))
		argp_error(state, "%s", err.text);
	return 0;
}

static char *
dashed(const char *name)
{
	char *text = xstrdup(name);

	for (char *at = text; *at != '\0'; at++) {
		if (*at == '_')
			*at = '-';
	}
	return text;
}

static void
parse_options(struct standin *standin, int argc, char **argv)
{
	struct argp_option options[STANDIN_MAX_FIELDS + 1] = {0};
	struct argp argp = {
	    .options = options,
	    .parser = parse_option,
	    .doc = standin->program->summary,
	};
	struct parse_input input = {0};

	list_options(standin, &input.fields);
	for (size_t i = 0; i < input.fields.count; i++) {
		const struct field *field = &input.fields.items[i];

		options[i].name = dashed(field->name);
		options[i].key = OPTION_KEY_BASE + (int)i;
		options[i].arg = field->arg;
		options[i].doc = field->help;
	}
	argp_parse(&argp, argc, argv, 0, NULL, &input);
	for (size_t i = 0; i < input.fields.count; i++)
		free((char *)options[i].name);
}

int
standin_main(const struct standin_program *program, int argc, char **argv)
{
	static struct standin standin;
	struct net_options options = {
	    .listen_address = "127.0.0.1",
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_send_queue_bytes = MAX_SEND_QUEUE_BYTES,
	    .handler = handle_request,
	    .handler_context = &standin,
	};
	struct error err = {0};

	standin.program = program;
	standin.max_connections = DEFAULT_CONNECTIONS;
	parse_options(&standin, argc, argv);
	if (standin.seed > 0)
		rng_init(&standin.rng, (uint64_t)standin.seed);
	else
		rng_init_random(&standin.rng);
	options.listen_port = (int)standin.listen_port;
	options.max_connections = (int)standin.max_connections;
	uv_loop_init(&standin.loop);
	standin.net = net_create(&standin.loop, &options, &err);
	if (standin.net == NULL) {
		fprintf(stderr, "%s: %s\n", program->name, err.text);
		return EXIT_FAILURE;
	}
	if (program->start != NULL)
		program->start(&standin);
	printf("listening %d\n", net_port(standin.net));
	fflush(stdout);
	uv_run(&standin.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
