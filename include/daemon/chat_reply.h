/** @file
 * Responses to model calls in the format of the OpenAI API, as one JSON object
 * or as an event stream.
 */
#ifndef DAEMON_CHAT_REPLY_H
#define DAEMON_CHAT_REPLY_H

#include "daemon/call.h"

/** Sends a piece of text to a caller that asked for a stream. Closes the
 * connection of a caller that reads too slowly. */
void chat_reply_text(struct call *call, const char *text);
/** Ends the response. `durable` tells whether the turn is in the log; if not,
 * the caller must send the turn again with its next call. */
void chat_reply_end(struct call *call, bool durable);
/** Responds to a repeated call with the recorded turn. */
void chat_reply_recorded(
    struct call *call, const struct wire_bytes *content, bool durable);
/** Appends the JSON array of messages that the turn adds to the history. */
void chat_reply_content(const struct call *call, struct buf *content);

#endif
