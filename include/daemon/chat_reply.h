/** @file
 * Answers of model calls, in the OpenAI style, streamed or whole.
 */
#ifndef DAEMON_CHAT_REPLY_H
#define DAEMON_CHAT_REPLY_H

#include "daemon/call.h"

/** Relays a piece of text to a streaming caller. */
void chat_reply_text(struct call *call, const char *text);
/** Sends the final part. `durable` tells whether the turn is in the log; if
 * not, the caller must send it again with its next call. */
void chat_reply_end(struct call *call, bool durable);
/** Answers a repeated call with the recorded turn. */
void chat_reply_recorded(
    struct call *call, const struct wire_bytes *content, bool durable);
/** Appends the JSON array of messages that the turn adds to the history. */
void chat_reply_content(const struct call *call, struct buf *content);

#endif
