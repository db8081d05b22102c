/** @file
 * Orders to standin-engine: loading and unloading of models and adapters, and
 * the engine's role. With check_fencing, orders with a fencing number below the
 * newest one are refused.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/engine.h"

enum {
	GRANT_RETRY_MS = 500,
	GRANT_TICK_MS = 50,
	GRANT_TIMEOUT_S = 5,
};

enum weights_kind {
	WEIGHTS_MODEL,
	WEIGHTS_ADAPTER,
};

enum weights_state {
	WEIGHTS_NEED_GRANT,      /**< waits to request a grant */
	WEIGHTS_GRANT_REQUESTED, /**< waits for the weight store's response */
	WEIGHTS_GRANTED,         /**< loading; loaded from ready_us on */
};

/** A model or adapter that is loaded or loading. */
struct weights {
	struct list link;
	uint64_t id;
	enum weights_kind kind;
	enum weights_state state;
	char name[ENGINE_NAME_BYTES];
	char version[ENGINE_NAME_BYTES];
	int64_t ready_us;
	int64_t next_request_us; /**< time of the next grant request */
};

/** Parsed body of POST /v1/orders; `root` owns the strings. */
struct order {
	json_t *root;
	const char *order;
	const char *holder;
	const char *model;
	const char *adapter;
	const char *version;
	const char *role;
	json_int_t fencing;
};

/** List of struct weights. */
static struct list all_weights = {&all_weights, &all_weights};
static uint64_t last_weights_id;
static uv_timer_t grant_timer;
static char role[ENGINE_NAME_BYTES] = "mixed";
static char holder[ENGINE_NAME_BYTES]; /**< named by the newest order */
static json_int_t newest_fencing;      /**< highest accepted fencing number */

static void
copy_name(char *to, const char *from)
{
	snprintf(to, ENGINE_NAME_BYTES, "%s", from);
}

static struct weights *
find_weights(enum weights_kind kind, const char *name)
{
	list_for_each (weights, &all_weights, struct weights, link) {
		if (weights->kind == kind && strcmp(weights->name, name) == 0)
			return weights;
	}
	return NULL;
}

static bool
is_loaded(const struct weights *weights)
{
	return weights != NULL && weights->state == WEIGHTS_GRANTED &&
	    clock_monotonic_us() >= weights->ready_us;
}

bool
engine_serves(const char *model, const char *adapter)
{
	if (engine.settings.models != NULL &&
	    !is_loaded(find_weights(WEIGHTS_MODEL, model)))
		return false;
	return adapter[0] == '\0' || engine.settings.adapters == NULL ||
	    is_loaded(find_weights(WEIGHTS_ADAPTER, adapter));
}

static void
weights_free(struct weights *weights)
{
	list_remove(&weights->link);
	free(weights);
}

static struct weights *
weights_add(enum weights_kind kind, const char *name, const char *version)
{
	struct weights *weights = xcalloc(1, sizeof(*weights));

	weights->id = ++last_weights_id;
	weights->kind = kind;
	copy_name(weights->name, name);
	copy_name(weights->version, version);
	list_append(&all_weights, &weights->link);
	return weights;
}

static int64_t
weights_bytes(const struct weights *weights)
{
	return weights->kind == WEIGHTS_MODEL ? engine.settings.model_bytes
					      : engine.settings.adapter_bytes;
}

/* Marks weights as loaded once delay_us has passed. */
static void
start_load(struct weights *weights, int64_t delay_us)
{
	weights->state = WEIGHTS_GRANTED;
	weights->ready_us = clock_monotonic_us() + delay_us;
}

/* Handles the weight store's response to a grant request. The weights may have
 * been unloaded in the meantime. */
static void
handle_grant(void *context, const struct http_response *response)
{
	uint64_t id = (uint64_t)(uintptr_t)context;
	json_int_t done_ms = 0;
	json_int_t retry_ms = GRANT_RETRY_MS;
	bool granted = false;
	json_t *root;

	root = json_loadb(
	    (const char *)response->body, response->body_len, 0, NULL);
	if (response->result == HTTP_RESULT_OK && response->status == 200)
		granted = json_unpack(root, "{s:I}", "done_ms", &done_ms) == 0;
	else
		json_unpack(root, "{s:I}", "retry_after_ms", &retry_ms);
	json_decref(root);
	list_for_each (weights, &all_weights, struct weights, link) {
		if (weights->id != id)
			continue;
		if (granted) {
			start_load(weights, done_ms * US_PER_MS);
		} else {
			weights->state = WEIGHTS_NEED_GRANT;
			weights->next_request_us =
			    clock_monotonic_us() + retry_ms * US_PER_MS;
		}
		return;
	}
}

static void
request_grant(struct weights *weights)
{
	char body[ENGINE_NAME_BYTES + 96];
	struct http_call_params params = {
	    .address = engine.settings.weights_address,
	    .port = (int)engine.settings.weights_port,
	    .method = HTTP_POST,
	    .path = "/v1/grants",
	    .body = body,
	    .timeout_us = (int64_t)GRANT_TIMEOUT_S * US_PER_S,
	};

	params.body_len = (size_t)snprintf(body, sizeof(body),
	    "{\"name\":\"%s\",\"bytes\":%lld}", weights->name,
	    (long long)weights_bytes(weights));
	weights->state = WEIGHTS_GRANT_REQUESTED;
	http_fetch(engine.standin->net, &params, handle_grant,
	    (void *)(uintptr_t)weights->id);
}

static void
handle_grant_timer(uv_timer_t *timer)
{
	int64_t now_us = clock_monotonic_us();

	(void)timer;
	list_for_each (weights, &all_weights, struct weights, link) {
		if (weights->state == WEIGHTS_NEED_GRANT &&
		    now_us >= weights->next_request_us)
			request_grant(weights);
	}
}

/* Loads weights with a grant of the weight store if there is one, else at
 * load_bytes_per_s. */
static void
request_load(struct weights *weights)
{
	double rate = engine.settings.load_bytes_per_s;
	double seconds = rate > 0 ? (double)weights_bytes(weights) / rate : 0;

	if (engine.settings.weights_address != NULL)
		request_grant(weights);
	else
		start_load(weights, (int64_t)(seconds * US_PER_S));
}

static bool
order_parse(struct order *order, const struct standin_request *request)
{
	*order = (struct order){
	    .holder = "",
	    .model = "",
	    .adapter = "",
	    .version = "",
	    .role = "",
	};
	order->root = standin_request_json(request);
	return json_unpack(order->root, "{s:s, s:I, s?s, s?s, s?s, s?s, s?s}",
		   "order", &order->order, "fencing", &order->fencing, "holder",
		   &order->holder, "model", &order->model, "adapter",
		   &order->adapter, "version", &order->version, "role",
		   &order->role) == 0;
}

/* Loads weights, in place of another version of the same name. A repeated order
 * has no effect. Returns false if the name is empty. */
static bool
load(enum weights_kind kind, const char *name, const char *version)
{
	struct weights *weights = find_weights(kind, name);

	if (name[0] == '\0')
		return false;
	if (weights != NULL && strcmp(weights->version, version) == 0)
		return true;
	if (weights != NULL)
		weights_free(weights);
	request_load(weights_add(kind, name, version));
	return true;
}

/* Unloads weights. Returns false if the name is empty. */
static bool
unload(enum weights_kind kind, const char *name)
{
	struct weights *weights = find_weights(kind, name);

	if (weights != NULL)
		weights_free(weights);
	return name[0] != '\0';
}

/* Executes an order. Returns false if it is malformed. */
static bool
execute_order(const struct order *order)
{
	if (strcmp(order->order, "load_model") == 0)
		return load(WEIGHTS_MODEL, order->model, order->version);
	if (strcmp(order->order, "unload_model") == 0)
		return unload(WEIGHTS_MODEL, order->model);
	if (strcmp(order->order, "load_adapter") == 0)
		return load(WEIGHTS_ADAPTER, order->adapter, order->version);
	if (strcmp(order->order, "unload_adapter") == 0)
		return unload(WEIGHTS_ADAPTER, order->adapter);
	if (strcmp(order->order, "set_role") != 0 || order->role[0] == '\0')
		return false;
	copy_name(role, order->role);
	return true;
}

static void
reply_stale(struct standin_request *request)
{
	standin_reply(request, 409,
	    json_pack("{s:{s:s, s:I, s:s}}", "error", "reason", "stale_fencing",
		"fencing", newest_fencing, "holder", holder));
}

void
engine_handle_orders(struct standin_request *request)
{
	struct order order;
	bool stale;

	if (!order_parse(&order, request)) {
		json_decref(order.root);
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	stale = order.fencing < newest_fencing;
	if (stale)
		engine.counters.stale_orders++;
	if (stale && engine.settings.check_fencing) {
		reply_stale(request);
	} else if (!execute_order(&order)) {
		standin_reply_error(request, 400, "malformed_order");
	} else {
		engine.counters.orders++;
		if (!stale) {
			newest_fencing = order.fencing;
			copy_name(holder, order.holder);
		}
		standin_reply(request, 200, json_pack("{s:b}", "accepted", 1));
	}
	json_decref(order.root);
}

static json_t *
weights_json(enum weights_kind kind)
{
	json_t *list = json_array();

	list_for_each (weights, &all_weights, struct weights, link) {
		if (weights->kind == kind)
			json_array_append_new(list,
			    json_pack("{s:s, s:s, s:s}", "name", weights->name,
				"version", weights->version, "state",
				is_loaded(weights) ? "loaded" : "loading"));
	}
	return list;
}

void
engine_handle_state(struct standin_request *request)
{
	standin_reply(request, 200,
	    json_pack("{s:o, s:o, s:s, s:I, s:s}", "models",
		weights_json(WEIGHTS_MODEL), "adapters",
		weights_json(WEIGHTS_ADAPTER), "role", role, "fencing",
		newest_fencing, "holder", holder));
}

/* Adds loaded weights from a list of names separated by commas, or "none". */
static void
add_initial_weights(enum weights_kind kind, const char *names)
{
	char *copy = xstrdup(names != NULL ? names : "");
	char *rest = copy;
	char *name;

	while ((name = strsep(&rest, ",")) != NULL) {
		if (name[0] != '\0' && strcmp(name, "none") != 0)
			start_load(weights_add(kind, name, ""), 0);
	}
	free(copy);
}

void
engine_orders_init(void)
{
	add_initial_weights(WEIGHTS_MODEL, engine.settings.models);
	add_initial_weights(WEIGHTS_ADAPTER, engine.settings.adapters);
	uv_timer_init(&engine.standin->loop, &grant_timer);
	uv_timer_start(
	    &grant_timer, handle_grant_timer, GRANT_TICK_MS, GRANT_TICK_MS);
}

void
engine_orders_reset(void)
{
	uv_close((uv_handle_t *)&grant_timer, NULL);
	list_for_each_safe (weights, tmp, &all_weights, struct weights, link)
		weights_free(weights);
	newest_fencing = 0;
}
