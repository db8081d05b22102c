/** @file
 * The configuration stream as an operator's command reads and extends it.
 */
#ifndef GUAVAKEEL_HISTORY_H
#define GUAVAKEEL_HISTORY_H

#include "config/fold.h"
#include "guavakeel/client.h"
#include "guavakeel/options.h"
#include "plog/plog.h"

struct history {
	struct client client;
	struct counters counters;
	struct plog *plog;
	struct config_fold fold;
	uint64_t first; /**< oldest offset that the log keeps */
};

enum publish_result {
	PUBLISH_ACCEPTED,
	PUBLISH_CONFLICT, /**< another record came first */
	PUBLISH_NOT_SENT, /**< surely without effect */
	PUBLISH_UNKNOWN,  /**< may take effect yet; publish the id again */
};

/** Connects to the log and folds the whole stream. Errors: ERROR_IO when the
 * log can't be read, ERROR_STATE when the log kept too little. */
bool history_open(struct history *history, const struct log_options *options,
    struct error *err);
void history_close(struct history *history);
/** Opens a history, or prints why not and returns an enum command_exit. */
int history_open_or_report(
    struct history *history, const struct log_options *options);
/** Folds what came since. */
bool history_read(struct history *history, struct error *err);
/** Publishes a patch record until it is folded or can't be any more. A lost
 * reply is read back before the same record is appended again. */
enum publish_result
history_publish_patch(struct history *history, const struct record *record);
/** Publishes a whole state into a log without versions. */
enum publish_result history_publish_import(
    struct history *history, const struct config_fold *state, uint64_t id);

#endif
