/** @file
 * Reading the configuration stream, and appending to it, for the commands.
 */
#ifndef GUAVAKEEL_HISTORY_H
#define GUAVAKEEL_HISTORY_H

#include "config/fold.h"
#include "guavakeel/client.h"
#include "guavakeel/options.h"
#include "plog/plog.h"

/** The configuration stream: its folded state and the connection to the log. */
struct history {
	struct client client;
	struct counters counters;
	struct plog *plog;
	struct config_fold fold;
	uint64_t first_offset; /**< oldest offset that the log keeps */
};

/** What became of a publication. */
enum publish_result {
	PUBLISH_ACCEPTED,
	PUBLISH_CONFLICT, /**< another record was accepted first */
	PUBLISH_NOT_SENT, /**< certainly without effect */
	PUBLISH_UNKNOWN,  /**< may take effect later; publish the id again */
};

/** Connects to the log and folds the whole stream. Errors: ERROR_IO if the log
 * can't be read, ERROR_STATE if it has dropped versions and has no snapshot of
 * them. */
bool history_open(struct history *history, const struct log_options *options,
    struct error *err);
void history_close(struct history *history);
/** Opens a history. On error, prints it. Returns an enum command_exit. */
int history_open_or_report(
    struct history *history, const struct log_options *options);
/** Reads and folds the records appended since the last read. Errors: those of
 * history_open(). */
bool history_read(struct history *history, struct error *err);
/** Publishes a patch record. Tries several times, until it is accepted or
 * rejected. If the outcome of an append is not known, the stream is read before
 * the same record is appended again. */
enum publish_result
history_publish_patch(struct history *history, const struct record *record);
/** Publishes a complete state into a log without versions. */
enum publish_result history_publish_import(
    struct history *history, const struct config_fold *state, uint64_t id);

#endif
