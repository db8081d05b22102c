/** @file
 * Paths of standin-engine below /v1/kv: blocks held for a program, their
 * release, and their export to other engines.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/engine.h"

enum {
	HANDLE_BYTES = 128,
	IMPORT_TIMEOUT_S = 5,
};

/** A copy of the KV blocks of a program. It exists until the program is
 * released. */
struct kv_export {
	struct list link;
	uint64_t id;
	char program[ENGINE_NAME_BYTES];
	bool ended; /**< whether the program has ended */
	uint64_t *hashes;
	size_t count; /**< number of blocks */
};

/** An export or import in progress. It takes transfer_ms() before the response
 * is sent. */
struct transfer {
	struct standin_request *request;
	char program[ENGINE_NAME_BYTES];
	uint64_t *hashes; /**< blocks to import; NULL for an export */
	size_t count;     /**< number of blocks */
	uint64_t id;      /**< id of the export */
};

/** List of struct kv_export. */
static struct list exports = {&exports, &exports};
static uint64_t last_export_id;

static json_int_t
kv_bytes(size_t blocks)
{
	return (json_int_t)blocks * TEXT_BLOCK_TOKENS *
	    engine.settings.kv_bytes_per_token;
}

static int64_t
transfer_ms(size_t blocks)
{
	double rate = engine.settings.kv_bytes_per_s;

	if (rate <= 0)
		return 0;
	return (int64_t)((double)kv_bytes(blocks) * MS_PER_S / rate);
}

/* Copies the program's name from {"program": ...}. Returns false if it is
 * missing, empty or too long. */
static bool
read_program(const json_t *root, char *program)
{
	const char *text = json_string_value(json_object_get(root, "program"));

	if (text == NULL || text[0] == '\0' ||
	    strlen(text) >= ENGINE_NAME_BYTES)
		return false;
	memcpy(program, text, strlen(text) + 1);
	return true;
}

static void
export_free(struct kv_export *export)
{
	list_remove(&export->link);
	free(export->hashes);
	free(export);
}

static struct kv_export *
find_export(uint64_t id)
{
	list_for_each (export, &exports, struct kv_export, link) {
		if (export->id == id)
			return export;
	}
	return NULL;
}

uint64_t
engine_exported_bytes_of_ended(void)
{
	uint64_t bytes = 0;

	list_for_each (export, &exports, struct kv_export, link) {
		if (export->ended)
			bytes += (uint64_t)kv_bytes(export->count);
	}
	return bytes;
}

static void
transfer_free(struct transfer *transfer)
{
	free(transfer->hashes);
	free(transfer);
}

/* Does nothing: a transfer completes after its caller disconnects. */
static void
handle_transfer_closed(struct standin_request *request)
{
	(void)request;
}

void
engine_kv_reset(void)
{
	list_for_each_safe (export, tmp, &exports, struct kv_export, link)
		export_free(export);
}

static void
handle_held(struct standin_request *request)
{
	char program[ENGINE_NAME_BYTES];
	json_int_t blocks;
	json_int_t exported = 0;

	standin_query_text(request, "program", program, sizeof(program));
	blocks = (json_int_t)engine_cache_held(
	    engine_core_cache(engine.core), program);
	list_for_each (export, &exports, struct kv_export, link) {
		if (strcmp(export->program, program) == 0)
			exported += kv_bytes(export->count);
	}
	standin_reply(request, 200,
	    json_pack("{s:s, s:I, s:I}", "program", program, "tokens",
		blocks * TEXT_BLOCK_TOKENS, "exported_bytes", exported));
}

static void
handle_release(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	char program[ENGINE_NAME_BYTES];
	bool ok = read_program(root, program);
	json_int_t tokens;

	json_decref(root);
	if (!ok) {
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	engine.counters.releases++;
	tokens = (json_int_t)engine_core_release(engine.core, program);
	list_for_each_safe (export, tmp, &exports, struct kv_export, link) {
		if (strcmp(export->program, program) == 0)
			export_free(export);
	}
	engine_dispatch_events();
	standin_reply(
	    request, 200, json_pack("{s:I}", "released_tokens", tokens));
}

void
engine_handle_program_ended(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	char program[ENGINE_NAME_BYTES];
	bool ok = read_program(root, program);

	json_decref(root);
	if (!ok) {
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	engine_cache_mark_ended(engine_core_cache(engine.core), program);
	list_for_each (export, &exports, struct kv_export, link) {
		if (strcmp(export->program, program) == 0)
			export->ended = true;
	}
	standin_reply(request, 200, json_object());
}

static void
handle_export_done(struct standin_request *request)
{
	struct transfer *transfer = request->context;
	char handle[HANDLE_BYTES];
	size_t count = transfer->count;

	snprintf(handle, sizeof(handle), "127.0.0.1:%d/%" PRIu64,
	    net_port(engine.standin->net), transfer->id);
	transfer_free(transfer);
	request->on_close = NULL;
	standin_reply(request, 200,
	    json_pack("{s:s, s:I, s:I}", "handle", handle, "bytes",
		kv_bytes(count), "tokens",
		(json_int_t)count * TEXT_BLOCK_TOKENS));
}

static void
handle_export(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	char program[ENGINE_NAME_BYTES];
	bool ok = read_program(root, program);
	struct kv_export *export;
	struct transfer *transfer;

	json_decref(root);
	if (!ok) {
		standin_reply_error(request, 400, "malformed_request");
		return;
	}
	engine.counters.exports++;
	export = xcalloc(1, sizeof(*export));
	export->id = ++last_export_id;
	memcpy(export->program, program, sizeof(program));
	export->count = engine_cache_hashes(
	    engine_core_cache(engine.core), program, &export->hashes);
	list_append(&exports, &export->link);
	transfer = xcalloc(1, sizeof(*transfer));
	transfer->id = export->id;
	transfer->count = export->count;
	request->context = transfer;
	request->on_close = handle_transfer_closed;
	standin_request_delay(
	    request, transfer_ms(export->count), handle_export_done);
}

/* Sends the hashes of an export to the engine that imports it. */
static void
handle_export_read(struct standin_request *request, const char *id)
{
	const struct kv_export *export = find_export(strtoull(id, NULL, 10));
	json_t *hashes;

	if (export == NULL) {
		standin_reply_error(request, 404, "unknown_handle");
		return;
	}
	hashes = json_array();
	for (size_t i = 0; i < export->count; i++)
		json_array_append_new(
		    hashes, json_integer((json_int_t) export->hashes[i]));
	standin_reply(request, 200, json_pack("{s:o}", "hashes", hashes));
}

static void
handle_import_done(struct standin_request *request)
{
	struct transfer *transfer = request->context;
	size_t cached = engine_cache_import(engine_core_cache(engine.core),
	    transfer->program, transfer->hashes, transfer->count);

	engine.counters.imports++;
	transfer_free(transfer);
	engine_dispatch_events();
	request->on_close = NULL;
	standin_reply(request, 200,
	    json_pack("{s:I, s:I}", "tokens",
		(json_int_t)cached * TEXT_BLOCK_TOKENS, "bytes",
		kv_bytes(cached)));
}

static bool
read_hashes(const struct http_response *response, struct transfer *transfer)
{
	json_t *root = NULL;
	json_t *hashes;
	json_t *value;
	size_t index;

	if (response->result == HTTP_RESULT_OK && response->status == 200)
		root = json_loadb(
		    (const char *)response->body, response->body_len, 0, NULL);
	hashes = json_object_get(root, "hashes");
	if (hashes == NULL) {
		json_decref(root);
		return false;
	}
	transfer->count = json_array_size(hashes);
	transfer->hashes =
	    xcalloc(transfer->count + 1, sizeof(*transfer->hashes));
	json_array_foreach (hashes, index, value)
		transfer->hashes[index] = (uint64_t)json_integer_value(value);
	json_decref(root);
	return true;
}

static void
handle_import_response(void *context, const struct http_response *response)
{
	struct transfer *transfer = context;
	struct standin_request *request = transfer->request;

	if (!read_hashes(response, transfer)) {
		transfer_free(transfer);
		request->on_close = NULL;
		standin_reply_error(request, 409, "handle_not_available");
		return;
	}
	standin_request_delay(
	    request, transfer_ms(transfer->count), handle_import_done);
}

/* Fetches the hashes from the engine that the handle "ADDRESS:PORT/ID" names,
 * which may be this one. */
static void
start_import(struct transfer *transfer, const char *handle)
{
	char address[HANDLE_BYTES] = "";
	char path[HTTP_PATH_BYTES];
	uint64_t id = 0;
	int port = 0;
	struct http_call_params params = {
	    .address = address,
	    .path = path,
	    .timeout_us = (int64_t)IMPORT_TIMEOUT_S * US_PER_S,
	};

	if (sscanf(handle, "%63[0-9.]:%d/%" SCNu64, address, &port, &id) != 3)
		snprintf(address, sizeof(address), "127.0.0.1");
	params.port = port;
	snprintf(path, sizeof(path), "/v1/kv/exports/%" PRIu64, id);
	http_fetch(
	    engine.standin->net, &params, handle_import_response, transfer);
}

static void
handle_import(struct standin_request *request)
{
	json_t *root = standin_request_json(request);
	const char *handle = json_string_value(json_object_get(root, "handle"));
	struct transfer *transfer = xcalloc(1, sizeof(*transfer));

	if (!read_program(root, transfer->program) || handle == NULL) {
		standin_reply_error(request, 400, "malformed_request");
		transfer_free(transfer);
	} else {
		transfer->request = request;
		request->context = transfer;
		request->on_close = handle_transfer_closed;
		start_import(transfer, handle);
	}
	json_decref(root);
}

bool
engine_handle_kv(struct standin_request *request)
{
	static const struct {
		enum http_method method;
		const char *path;
		void (*handle)(struct standin_request *request);
	} paths[] = {
	    {HTTP_GET, "/v1/kv", handle_held},
	    {HTTP_POST, "/v1/kv/release", handle_release},
	    {HTTP_POST, "/v1/kv/export", handle_export},
	    {HTTP_POST, "/v1/kv/import", handle_import},
	};
	const char *id = standin_path_suffix(request, "/v1/kv/exports/");

	if (id != NULL) {
		handle_export_read(request, id);
		return true;
	}
	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (paths[i].method == request->method &&
		    strcmp(paths[i].path, request->path) == 0) {
			paths[i].handle(request);
			return true;
		}
	}
	return false;
}
