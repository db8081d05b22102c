#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "config/stream.h"
#include "guavakeel/command.h"
#include "guavakeel/history.h"

enum {
	READ_BYTES = 8 << 20,
	MAX_ATTEMPTS = 6, /**< of a read or an append */
	MIN_RETRY_DELAY_MS = 100,
	MAX_RETRY_DELAY_MS = 3000,
};

/** A read or an append in progress. */
struct operation {
	struct history *history;
	bool done;
	bool up_to_date; /**< the read reached the end of the stream */
	enum plog_status status;
	uint64_t first_offset;
};

static void
handle_read(void *context, const struct plog_read *read)
{
	struct operation *operation = context;
	struct history *history = operation->history;

	operation->done = true;
	operation->status = read->status;
	if (read->status != PLOG_OK && read->status != PLOG_EXPIRED)
		return;
	history->first_offset = read->oldest_offset;
	operation->up_to_date =
	    config_stream_feed(&history->fold, read, &history->counters);
}

static void
handle_append(void *context, enum plog_status status, uint64_t first_offset)
{
	struct operation *operation = context;

	operation->done = true;
	operation->status = status;
	operation->first_offset = first_offset;
}

static int
next_delay_ms(int delay_ms)
{
	return 2 * delay_ms < MAX_RETRY_DELAY_MS ? 2 * delay_ms
						 : MAX_RETRY_DELAY_MS;
}

/* Reads once. Returns whether the log could be read, and sets *up_to_date if
 * the end of the stream is reached. */
static bool
read_once(struct history *history, bool *up_to_date)
{
	struct operation operation = {.history = history};

	plog_read(history->plog, CONFIG_STREAM, history->fold.next_offset,
	    READ_BYTES, 0, handle_read, &operation);
	client_wait(&history->client, &operation.done);
	*up_to_date = operation.up_to_date;
	return operation.status == PLOG_OK || operation.status == PLOG_EXPIRED;
}

/* An incomplete fold is a reason to try again, like a failed read: a daemon may
 * be about to write a snapshot that completes the history. */
bool
history_read(struct history *history, struct error *err)
{
	int delay_ms = MIN_RETRY_DELAY_MS;
	int failures = 0;
	bool reachable = false;

	for (;;) {
		bool up_to_date = false;

		reachable = read_once(history, &up_to_date);
		if (reachable && !up_to_date)
			continue;
		if (reachable && history->fold.complete)
			return true;
		if (++failures == MAX_ATTEMPTS)
			break;
		client_sleep(&history->client, delay_ms);
		delay_ms = next_delay_ms(delay_ms);
	}
	if (!reachable)
		return error_set(err, ERROR_IO, "the log can't be read");
	return error_set(err, ERROR_STATE,
	    "the log has no snapshot of the versions that it dropped");
}

bool
history_open(struct history *history, const struct log_options *options,
    struct error *err)
{
	memset(history, 0, sizeof(*history));
	config_fold_init(&history->fold);
	if (!client_open(&history->client, err)) {
		config_fold_reset(&history->fold);
		return false;
	}
	history->plog = plog_create(history->client.net, options->address,
	    options->port, &history->counters);
	if (history_read(history, err))
		return true;
	history_close(history);
	return false;
}

void
history_close(struct history *history)
{
	plog_destroy(history->plog);
	client_close(&history->client);
	config_fold_reset(&history->fold);
}

int
history_open_or_report(
    struct history *history, const struct log_options *options)
{
	struct error err = {0};

	if (history_open(history, options, &err))
		return COMMAND_OK;
	fprintf(stderr, "guavakeel: %s\n", err.text);
	return COMMAND_UNAVAILABLE;
}

static enum plog_status
append_once(struct history *history, const struct buf *encoded)
{
	struct plog_record record = {
	    .data = encoded->data, .len = encoded->len};
	struct operation operation = {.history = history};

	plog_append(history->plog, CONFIG_STREAM, &record, 1, handle_append,
	    &operation);
	client_wait(&history->client, &operation.done);
	return operation.status;
}

/** A record to publish, and what is needed to find its outcome in the fold. */
struct publication {
	struct buf encoded;
	uint64_t id;   /**< of the patch, or of an import's newest version */
	uint64_t base; /**< version that the patch changes; 0 for an import */
};

/* Returns whether the fold shows the outcome of a publication. */
static bool
has_outcome(const struct history *history,
    const struct publication *publication, enum publish_result *result)
{
	switch (config_fold_patch_outcome(
	    &history->fold, publication->id, publication->base)) {
	case CONFIG_PATCH_ACCEPTED:
		*result = PUBLISH_ACCEPTED;
		return true;
	case CONFIG_PATCH_REJECTED:
		*result = PUBLISH_CONFLICT;
		return true;
	case CONFIG_PATCH_PENDING:
		break;
	}
	return false;
}

static enum publish_result
publish(struct history *history, const struct publication *publication)
{
	enum publish_result result = PUBLISH_NOT_SENT;
	int delay_ms = MIN_RETRY_DELAY_MS;

	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		enum plog_status status;

		if (has_outcome(history, publication, &result))
			return result;
		if (i > 0) {
			client_sleep(&history->client, delay_ms);
			delay_ms = next_delay_ms(delay_ms);
		}
		status = append_once(history, &publication->encoded);
		if (status == PLOG_OK || status == PLOG_UNKNOWN)
			result = PUBLISH_UNKNOWN;
		if (status == PLOG_NOT_SENT || status == PLOG_THROTTLED)
			continue;
		if (!history_read(history, NULL))
			return PUBLISH_UNKNOWN;
	}
	has_outcome(history, publication, &result);
	return result;
}

enum publish_result
history_publish_patch(struct history *history, const struct record *record)
{
	struct publication publication = {
	    .id = record->id,
	    .base = record->config_patch.base,
	};
	enum publish_result result;

	record_encode(record, &publication.encoded);
	result = publish(history, &publication);
	buf_reset(&publication.encoded);
	return result;
}

enum publish_result
history_publish_import(
    struct history *history, const struct config_fold *state, uint64_t id)
{
	const struct config_version *newest =
	    list_entry(state->versions.prev, struct config_version, link);
	struct publication publication = {.id = newest->record_id};
	enum publish_result result;

	config_snapshot_encode(
	    state, id, clock_wall_us(), &publication.encoded);
	result = publish(history, &publication);
	buf_reset(&publication.encoded);
	return result;
}
