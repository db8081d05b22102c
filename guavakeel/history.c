#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "config/stream.h"
#include "guavakeel/command.h"
#include "guavakeel/history.h"

enum {
	READ_BYTES = 8 << 20,
	TRIES = 6,
	FIRST_PAUSE_MS = 100,
	MAX_PAUSE_MS = 3000,
};

/** A read or an append under way. */
struct operation {
	struct history *history;
	bool done;
	bool level;
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
	history->first = read->first;
	operation->level =
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
next_pause_ms(int pause_ms)
{
	return 2 * pause_ms < MAX_PAUSE_MS ? 2 * pause_ms : MAX_PAUSE_MS;
}

/* Reads once; returns whether the log answered. */
static bool
read_once(struct history *history, bool *level)
{
	struct operation operation = {.history = history};

	plog_read(history->plog, CONFIG_STREAM, history->fold.next_offset,
	    READ_BYTES, 0, handle_read, &operation);
	client_wait(&history->client, &operation.done);
	*level = operation.level;
	return operation.status == PLOG_OK || operation.status == PLOG_EXPIRED;
}

/* An incomplete fold waits a while too: a daemon may be about to write the
 * history again. */
bool
history_read(struct history *history, struct error *err)
{
	int pause_ms = FIRST_PAUSE_MS;
	int failures = 0;
	bool answered = false;

	for (;;) {
		bool level = false;

		answered = read_once(history, &level);
		if (answered && !level)
			continue;
		if (answered && history->fold.complete)
			return true;
		if (++failures == TRIES)
			break;
		client_sleep(&history->client, pause_ms);
		pause_ms = next_pause_ms(pause_ms);
	}
	if (!answered)
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
append_once(struct history *history, const struct buf *wire)
{
	struct plog_record record = {.data = wire->data, .len = wire->len};
	struct operation operation = {.history = history};

	plog_append(history->plog, CONFIG_STREAM, &record, 1, handle_append,
	    &operation);
	client_wait(&history->client, &operation.done);
	return operation.status;
}

/* What is to be published, and how its end is told from the fold. */
struct publication {
	struct buf wire;
	uint64_t id;   /**< of a patch; of an import's newest version */
	uint64_t base; /**< version that the fold must have before */
};

/* Returns whether reading back settled what became of a publication. */
static bool
is_settled(const struct history *history, const struct publication *publication,
    enum publish_result *result)
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
	int pause_ms = FIRST_PAUSE_MS;

	for (int i = 0; i < TRIES; i++) {
		enum plog_status status;

		if (is_settled(history, publication, &result))
			return result;
		if (i > 0) {
			client_sleep(&history->client, pause_ms);
			pause_ms = next_pause_ms(pause_ms);
		}
		status = append_once(history, &publication->wire);
		if (status == PLOG_OK || status == PLOG_UNKNOWN)
			result = PUBLISH_UNKNOWN;
		if (status == PLOG_NOT_SENT || status == PLOG_THROTTLED)
			continue;
		if (!history_read(history, NULL))
			return PUBLISH_UNKNOWN;
	}
	is_settled(history, publication, &result);
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

	record_encode(record, &publication.wire);
	result = publish(history, &publication);
	buf_reset(&publication.wire);
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

	config_snapshot_encode(state, id, clock_wall_us(), &publication.wire);
	result = publish(history, &publication);
	buf_reset(&publication.wire);
	return result;
}
