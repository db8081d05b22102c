/** @file
 * Tokens, prompts and answers of the engine's stand-in. No I/O.
 *
 * A token is TEXT_TOKEN_BYTES bytes of the rendered prompt or of the answer.
 * A prompt is rendered as "role\ncontent\n" for each message, then
 * "assistant\n"; so the rendered prompt of a turn begins with the last turn's
 * prompt and answer, as a prefix cache needs it.
 *
 * The answer depends on the request's content alone. Its first four tokens are
 * the hexadecimal hash_text(content, 0) of the last message; words follow that
 * come from the whole prompt. A last message of role user or tool may order
 * "ANSWER_TOKENS:n", and "CALL_TOOL:name" with optional JSON arguments behind.
 */
#ifndef STANDINS_TEXT_H
#define STANDINS_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/buf.h"

enum {
	TEXT_TOKEN_BYTES = 4,
	TEXT_BLOCK_TOKENS = 16, /**< unit of the prefix cache */
	TEXT_BLOCK_BYTES = TEXT_BLOCK_TOKENS * TEXT_TOKEN_BYTES,
	TEXT_TOOL_BYTES = 64,
};

/** What the last message orders. */
struct text_directives {
	uint64_t answer_tokens;     /**< 0: not ordered */
	char tool[TEXT_TOOL_BYTES]; /**< "": none */
	char *arguments;            /**< owned; JSON, or NULL */
};

/** Returns the number of tokens of a text. */
uint64_t text_tokens(size_t bytes);
/** Renders messages; returns false when they are malformed. */
bool text_render(const json_t *messages, struct buf *out);
/** Returns the last message's content as text; owned by the caller. */
char *text_last_content(const json_t *messages);
/** Reads the orders of the last message. */
void text_read_directives(
    const json_t *messages, struct text_directives *directives);
void text_directives_reset(struct text_directives *directives);
/** Appends the answer, of exactly `tokens` tokens. */
void text_answer(const json_t *messages, const struct buf *prompt,
    const char *model, uint64_t tokens, struct buf *out);
/** Returns chained hashes, one a whole block; owned by the caller. */
uint64_t *
text_block_hashes(const void *text, size_t len, uint64_t seed, size_t *count);

#endif
