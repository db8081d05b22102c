/** @file
 * Checking and publishing a configuration patch for a command.
 */
#ifndef GUAVAKEEL_PUBLISH_H
#define GUAVAKEEL_PUBLISH_H

#include <jansson.h>

#include "guavakeel/history.h"

/** Options of a publication. */
struct publish_options {
	const char *operator_name; /**< NULL: the login name */
	const char *comment;       /**< NULL: none */
	uint64_t base;             /**< version that the patch changes */
	uint64_t id; /**< identifier of the patch record; 0: a random one */
	bool json;
};

/** Reads a whole file, or standard input if path is "-". Returns false with
 * errno set on error. */
bool publish_read_file(const char *path, struct buf *content);
/** Checks and publishes a patch, and prints the findings or the result. Returns
 * an enum command_exit. */
int publish_patch(struct history *history, const json_t *patch,
    const struct publish_options *given);

#endif
