#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <msgpack.h>

#include "common/clock.h"
#include "common/list.h"
#include "common/memory.h"
#include "common/pack.h"
#include "net/http.h"
#include "plog/plog.h"

enum {
	APPEND_TIMEOUT_MS = 5000,
	READ_MARGIN_MS = 5000, /* added to wait_ms for the timeout of a read */
	READ_MAX_BYTES = 64 << 20,
};

struct plog {
	struct net *net;
	char address[64];
	int port;
	struct counters *counters;
	struct list requests; /**< of struct plog_request */
};

enum request_kind {
	REQUEST_APPEND,
	REQUEST_READ,
};

struct plog_request {
	struct list link;
	struct plog *plog;
	struct http_call *call;
	enum request_kind kind;
	int64_t started_us;
	union {
		plog_append_done append_done;
		plog_read_done read_done;
	};
	void *context;
};

struct plog *
plog_create(
    struct net *net, const char *address, int port, struct counters *counters)
{
	struct plog *plog = xcalloc(1, sizeof(*plog));

	plog->net = net;
	plog->port = port;
	plog->counters = counters;
	snprintf(plog->address, sizeof(plog->address), "%s", address);
	list_init(&plog->requests);
	return plog;
}

static void
request_free(struct plog_request *request)
{
	list_remove(&request->link);
	free(request);
}

void
plog_cancel(struct plog_request *request)
{
	http_call_cancel(request->call);
	request_free(request);
}

void
plog_destroy(struct plog *plog)
{
	if (plog == NULL)
		return;
	list_for_each_safe (
	    request, tmp, &plog->requests, struct plog_request, link)
		plog_cancel(request);
	free(plog);
}

void
plog_encode_batch(
    const struct plog_record *records, size_t count, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_bin_with_body(
		    &packer, records[i].data, records[i].len);
}

void
plog_encode_read(const struct plog_read *read, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, read->oldest_offset);
	msgpack_pack_uint64(&packer, read->end_offset);
	msgpack_pack_array(&packer, read->count);
	for (size_t i = 0; i < read->count; i++) {
		msgpack_pack_array(&packer, 2);
		msgpack_pack_uint64(&packer, read->records[i].offset);
		msgpack_pack_bin_with_body(
		    &packer, read->records[i].data, read->records[i].len);
	}
}

static bool
is_unsigned(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Decodes a record from [offset, binary]. */
static bool
decode_record(const msgpack_object *entry, struct plog_record *record)
{
	const msgpack_object *fields = entry->via.array.ptr;

	if (entry->type != MSGPACK_OBJECT_ARRAY || entry->via.array.size != 2 ||
	    !is_unsigned(&fields[0]) || fields[1].type != MSGPACK_OBJECT_BIN)
		return false;
	record->offset = fields[0].via.u64;
	record->data = (const uint8_t *)fields[1].via.bin.ptr;
	record->len = fields[1].via.bin.size;
	return true;
}

/* Decodes the response to a read; allocates read->records. */
static bool
decode_read(const msgpack_object *response, struct plog_read *read)
{
	const msgpack_object *fields = response->via.array.ptr;
	struct plog_record *records;

	if (response->type != MSGPACK_OBJECT_ARRAY ||
	    response->via.array.size != 3 || !is_unsigned(&fields[0]) ||
	    !is_unsigned(&fields[1]) || fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	read->oldest_offset = fields[0].via.u64;
	read->end_offset = fields[1].via.u64;
	read->count = fields[2].via.array.size;
	records = xcalloc(read->count + 1, sizeof(*records));
	read->records = records;
	for (size_t i = 0; i < read->count; i++) {
		if (!decode_record(&fields[2].via.array.ptr[i], &records[i]))
			return false;
	}
	return true;
}

static enum plog_status
response_status(const struct http_response *response)
{
	if (response->result == HTTP_RESULT_CONNECT_FAILED)
		return PLOG_NOT_SENT;
	if (response->result != HTTP_RESULT_OK)
		return PLOG_UNKNOWN;
	switch (response->status) {
	case 200:
		return PLOG_OK;
	case 410:
		return PLOG_EXPIRED;
	case 429:
		return PLOG_THROTTLED;
	case 503:
		return PLOG_NOT_SENT;
	default:
		return PLOG_UNKNOWN;
	}
}

static void
handle_append_response(void *context, const struct http_response *response)
{
	struct plog_request *request = context;
	plog_append_done done = request->append_done;
	void *done_context = request->context;
	enum plog_status status = response_status(response);
	json_int_t first = -1;
	json_t *root = NULL;

	if (status == PLOG_OK) {
		root = json_loadb(
		    (const char *)response->body, response->body_len, 0, NULL);
		if (json_unpack(root, "{s:I}", "first_offset", &first) != 0)
			status = PLOG_UNKNOWN;
		json_decref(root);
	}
	histogram_add(&request->plog->counters->log_append_us,
	    clock_monotonic_us() - request->started_us);
	request_free(request);
	done(done_context, status, status == PLOG_OK ? (uint64_t)first : 0);
}

static void
handle_read_response(void *context, const struct http_response *response)
{
	struct plog_request *request = context;
	plog_read_done done = request->read_done;
	void *done_context = request->context;
	struct plog_read read = {.status = response_status(response)};
	msgpack_unpacked unpacked;
	size_t offset = 0;

	request->plog->counters->log_read_bytes_total += response->body_len;
	request_free(request);
	msgpack_unpacked_init(&unpacked);
	if (read.status == PLOG_OK || read.status == PLOG_EXPIRED) {
		if (!pack_sizes_fit(response->body, response->body_len) ||
		    msgpack_unpack_next(&unpacked, (const char *)response->body,
			response->body_len,
			&offset) != MSGPACK_UNPACK_SUCCESS ||
		    !decode_read(&unpacked.data, &read)) {
			read.status = PLOG_UNKNOWN;
			read.count = 0;
		}
	}
	done(done_context, &read);
	free((void *)read.records);
	msgpack_unpacked_destroy(&unpacked);
}

static struct plog_request *
request_create(struct plog *plog, enum request_kind kind, void *context)
{
	struct plog_request *request = xcalloc(1, sizeof(*request));

	request->plog = plog;
	request->kind = kind;
	request->context = context;
	request->started_us = clock_monotonic_us();
	list_append(&plog->requests, &request->link);
	return request;
}

struct plog_request *
plog_append(struct plog *plog, const char *stream,
    const struct plog_record *records, size_t count, plog_append_done done,
    void *context)
{
	struct plog_request *request =
	    request_create(plog, REQUEST_APPEND, context);
	static const struct http_header headers[] = {
	    {"content-type", "application/msgpack"},
	    {NULL, NULL},
	};
	struct buf body = {0};
	char path[HTTP_PATH_BYTES];
	struct http_call_params params = {
	    .address = plog->address,
	    .port = plog->port,
	    .method = HTTP_POST,
	    .path = path,
	    .headers = headers,
	    .timeout_us = (int64_t)APPEND_TIMEOUT_MS * US_PER_MS,
	};

	request->append_done = done;
	snprintf(path, sizeof(path), "/v1/streams/%s/records", stream);
	plog_encode_batch(records, count, &body);
	params.body = body.data;
	params.body_len = body.len;
	plog->counters->log_appends_total++;
	plog->counters->log_records_total += count;
	plog->counters->log_append_bytes_total += body.len;
	request->call =
	    http_fetch(plog->net, &params, handle_append_response, request);
	buf_reset(&body);
	return request;
}

struct plog_request *
plog_read(struct plog *plog, const char *stream, uint64_t from,
    size_t max_bytes, int wait_ms, plog_read_done done, void *context)
{
	struct plog_request *request =
	    request_create(plog, REQUEST_READ, context);
	char path[HTTP_PATH_BYTES];
	struct http_call_params params = {
	    .address = plog->address,
	    .port = plog->port,
	    .method = HTTP_GET,
	    .path = path,
	    .timeout_us = (int64_t)(wait_ms + READ_MARGIN_MS) * US_PER_MS,
	    .max_response_bytes = READ_MAX_BYTES,
	};

	request->read_done = done;
	snprintf(path, sizeof(path),
	    "/v1/streams/%s/records?from=%" PRIu64 "&max_bytes=%zu&wait_ms=%d",
	    stream, from, max_bytes, wait_ms);
	plog->counters->log_reads_total++;
	request->call =
	    http_fetch(plog->net, &params, handle_read_response, request);
	return request;
}
