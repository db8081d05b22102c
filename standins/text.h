/** @file
 * Tokens, prompts and answers of standin-engine. An answer is the text that the
 * model generates. Does no I/O.
 *
 * A token is TEXT_TOKEN_BYTES bytes of the rendered prompt or of the answer. A
 * prompt is rendered as "role\ncontent\n" for each message, then
 * "assistant\n". The rendered prompt of a turn therefore begins with the prompt
 * and answer of the previous turn, as a prefix cache requires.
 *
 * The answer depends only on the content of the request. Its first four tokens
 * are the hexadecimal hash_text(content, 0) of the last message. Random words
 * follow, whose seed is the hash of the whole prompt and the model. A last
 * message of role user or tool may contain the directives "ANSWER_TOKENS:n" and
 * "CALL_TOOL:name", the latter with optional JSON arguments after the name.
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
	TEXT_BLOCK_TOKENS = 16, /**< tokens in a block of the prefix cache */
	TEXT_BLOCK_BYTES = TEXT_BLOCK_TOKENS * TEXT_TOKEN_BYTES,
	TEXT_TOOL_BYTES = 64,
};

/** Directives in the last message. */
struct text_directives {
	uint64_t answer_tokens;     /**< length of the answer; 0: not given */
	char tool[TEXT_TOOL_BYTES]; /**< tool to call, or "" */
	char *arguments;            /**< its arguments as JSON, or NULL */
};

/** Returns the number of tokens in a text of a length in bytes. */
uint64_t text_tokens(size_t bytes);
/** Appends the rendered prompt; returns false if the messages are malformed. */
bool text_render(const json_t *messages, struct buf *out);
/** Returns the last message's content as text, which the caller frees. */
char *text_last_content(const json_t *messages);
/** Reads the directives in the last message. */
void text_read_directives(
    const json_t *messages, struct text_directives *directives);
/** Frees the members of directives. */
void text_directives_reset(struct text_directives *directives);
/** Appends the answer to a prompt, with exactly `tokens` tokens. */
void text_answer(const json_t *messages, const struct buf *prompt,
    const char *model, uint64_t tokens, struct buf *out);
/** Returns a hash for each whole block of a text, which also covers all blocks
 * before. The caller frees the array. */
uint64_t *
text_block_hashes(const void *text, size_t len, uint64_t seed, size_t *count);

#endif
