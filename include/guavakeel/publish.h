/** @file
 * Publishing a patch by command: findings first, then the result in words.
 */
#ifndef GUAVAKEEL_PUBLISH_H
#define GUAVAKEEL_PUBLISH_H

#include <jansson.h>

#include "guavakeel/history.h"

struct publish_options {
	const char *operator_name; /**< NULL: the login name */
	const char *comment;       /**< NULL: none */
	uint64_t base;
	uint64_t id; /**< 0: a random one */
	bool json;
};

/** Reads a file ("-" is stdin) whole; returns false with errno set. */
bool publish_read_file(const char *path, struct buf *content);
/** Checks, publishes and reports a patch. Returns an enum command_exit. */
int publish_patch(struct history *history, const json_t *patch,
    const struct publish_options *given);

#endif
