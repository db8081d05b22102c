#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "gateway/keyed_writer.h"
#include "platform/store.h"

enum {
	APPEND_TIMEOUT_US = 1 * US_PER_S,
	RETRY_MS = 300,
	RETRY_JITTER_MS = 200,
	NEXT_MS = 20,    /* after an append, if more records wait */
	BATCH_MAX = 128, /* records of an append */
};

struct keyed_write {
	char key[NAME_BYTES];
	char value[KEYED_WRITER_VALUE_BYTES];
};

struct keyed_writer {
	struct gateway *gateway;
	const char *topic;
	struct store_call *call;
	uv_timer_t *timer;
	struct keyed_write *writes; /**< that wait, in their order */
	size_t write_count;
	size_t batch_count; /**< of the append in progress */
	bool retrying;      /**< the last append failed */
};

static void handle_timer(uv_timer_t *timer);

static void
append_later(struct keyed_writer *writer, uint64_t ms)
{
	uv_handle_t *handle = (uv_handle_t *)writer->timer;

	if (!uv_is_active(handle) || uv_timer_get_due_in(writer->timer) > ms)
		uv_timer_start(writer->timer, handle_timer, ms, 0);
}

static void
drop_batch(struct keyed_writer *writer)
{
	writer->write_count -= writer->batch_count;
	memmove(writer->writes, writer->writes + writer->batch_count,
	    writer->write_count * sizeof(writer->writes[0]));
	if (writer->write_count > 0) {
		append_later(writer, NEXT_MS);
		return;
	}
	free(writer->writes);
	writer->writes = NULL;
}

static void
handle_appended(void *context, const struct store_appended *appended)
{
	struct keyed_writer *writer = context;

	writer->call = NULL;
	writer->retrying = false;
	switch (appended->status) {
	case STORE_OK:
		drop_batch(writer);
		return;
	case STORE_INVALID:
	case STORE_FULL:
		diag(LOG_WARNING, NULL,
		    "store: %s: %zu records were not accepted: %s",
		    writer->topic, writer->batch_count,
		    store_status_name(appended->status));
		drop_batch(writer);
		return;
	case STORE_REFUSED:
	case STORE_UNKNOWN: /* the same records again do no harm */
	case STORE_CONFLICT:
	case STORE_EXPIRED:
		writer->retrying = true;
		append_later(writer,
		    RETRY_MS +
			rng_below(&writer->gateway->rng, RETRY_JITTER_MS));
		return;
	}
}

static void
handle_timer(uv_timer_t *timer)
{
	struct keyed_writer *writer = timer->data;
	struct buf encoded[BATCH_MAX] = {0};
	struct wire_bytes records[BATCH_MAX];

	if (writer->call != NULL || writer->write_count == 0)
		return;
	writer->batch_count =
	    writer->write_count < BATCH_MAX ? writer->write_count : BATCH_MAX;
	for (size_t i = 0; i < writer->batch_count; i++) {
		const struct keyed_write *write = &writer->writes[i];

		store_keyed_encode(&encoded[i], write->key, write->value,
		    strlen(write->value));
		records[i] = (struct wire_bytes){
		    .data = encoded[i].data, .len = encoded[i].len};
	}
	writer->call = store_append(writer->gateway->store, writer->topic, 0,
	    records, writer->batch_count, APPEND_TIMEOUT_US, handle_appended,
	    writer);
	for (size_t i = 0; i < writer->batch_count; i++)
		buf_reset(&encoded[i]);
}

bool
keyed_writer_put(struct keyed_writer *writer, const char *key,
    const char *value, uint64_t gather_ms)
{
	struct keyed_write *write;

	if (writer->write_count == KEYED_WRITER_MAX) {
		diag(LOG_WARNING, NULL,
		    "store: %s: a record is dropped, %d wait already",
		    writer->topic, KEYED_WRITER_MAX);
		return false;
	}
	writer->writes = xrealloc(writer->writes,
	    (writer->write_count + 1) * sizeof(writer->writes[0]));
	write = &writer->writes[writer->write_count++];
	snprintf(write->key, sizeof(write->key), "%s", key);
	snprintf(write->value, sizeof(write->value), "%s", value);
	if (writer->call == NULL && !writer->retrying)
		append_later(writer, gather_ms);
	return true;
}

struct keyed_writer *
keyed_writer_create(struct gateway *gateway, const char *topic)
{
	struct keyed_writer *writer = xcalloc(1, sizeof(*writer));

	writer->gateway = gateway;
	writer->topic = topic;
	writer->timer = xcalloc(1, sizeof(*writer->timer));
	uv_timer_init(&gateway->loop, writer->timer);
	writer->timer->data = writer;
	return writer;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
keyed_writer_destroy(struct keyed_writer *writer)
{
	if (writer->call != NULL)
		store_cancel(writer->call);
	uv_close((uv_handle_t *)writer->timer, handle_timer_closed);
	free(writer->writes);
	free(writer);
}
