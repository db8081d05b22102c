#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/memory.h"
#include "common/rng.h"
#include "standins/text.h"

enum {
	HASH_TOKENS = 4, /**< tokens of the hash at the start of an answer */
	LETTERS = 26,
};

uint64_t
text_tokens(size_t bytes)
{
	return (bytes + TEXT_TOKEN_BYTES - 1) / TEXT_TOKEN_BYTES;
}

/* Returns a string unchanged, null as "", and any other value as JSON. The
 * caller frees the text. */
static char *
value_text(const json_t *value)
{
	char *text;

	if (value == NULL || json_is_null(value))
		return xstrdup("");
	if (json_is_string(value))
		return xstrdup(json_string_value(value));
	text =
	    json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	if (text == NULL)
		memory_exhausted();
	return text;
}

static void
append_value(struct buf *out, const json_t *value)
{
	char *text = value_text(value);

	buf_append_text(out, text);
	free(text);
}

bool
text_render(const json_t *messages, struct buf *out)
{
	size_t index;
	json_t *message;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return false;
	json_array_foreach (messages, index, message) {
		const char *role =
		    json_string_value(json_object_get(message, "role"));

		if (role == NULL)
			return false;
		buf_printf(out, "%s\n", role);
		append_value(out, json_object_get(message, "content"));
		append_value(out, json_object_get(message, "tool_calls"));
		buf_append_text(out, "\n");
	}
	return buf_append_text(out, "assistant\n");
}

static const json_t *
last_message(const json_t *messages)
{
	return json_array_get(messages, json_array_size(messages) - 1);
}

char *
text_last_content(const json_t *messages)
{
	return value_text(json_object_get(last_message(messages), "content"));
}

/* Reads the JSON object that may follow a tool's name. */
static void
read_arguments(const char *position, struct text_directives *directives)
{
	json_error_t where;
	json_t *value;

	position += strspn(position, " ");
	if (*position != '{')
		return;
	value = json_loads(position, JSON_DISABLE_EOF_CHECK, &where);
	if (value != NULL)
		directives->arguments = json_dumps(value, JSON_COMPACT);
	json_decref(value);
}

static void
read_tool(const char *content, struct text_directives *directives)
{
	static const char marker[] = "CALL_TOOL:";
	const char *position = strstr(content, marker);
	size_t len;

	if (position == NULL)
		return;
	position += sizeof(marker) - 1;
	len = strspn(position,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-");
	if (len >= sizeof(directives->tool))
		return;
	memcpy(directives->tool, position, len);
	directives->tool[len] = '\0';
	read_arguments(position + len, directives);
}

void
text_read_directives(const json_t *messages, struct text_directives *directives)
{
	static const char marker[] = "ANSWER_TOKENS:";
	const char *role =
	    json_string_value(json_object_get(last_message(messages), "role"));
	char *content;
	const char *position;

	*directives = (struct text_directives){0};
	if (role == NULL ||
	    (strcmp(role, "user") != 0 && strcmp(role, "tool") != 0))
		return;
	content = text_last_content(messages);
	position = strstr(content, marker);
	if (position != NULL)
		directives->answer_tokens =
		    strtoull(position + sizeof(marker) - 1, NULL, 10);
	read_tool(content, directives);
	free(content);
}

void
text_directives_reset(struct text_directives *directives)
{
	free(directives->arguments);
	directives->arguments = NULL;
}

void
text_answer(const json_t *messages, const struct buf *prompt, const char *model,
    uint64_t tokens, struct buf *out)
{
	char *content = text_last_content(messages);
	size_t end = out->len + tokens * TEXT_TOKEN_BYTES;
	struct rng rng;

	buf_printf(out, "%016" PRIx64, hash_text(content, 0));
	rng_init(
	    &rng, hash_bytes(prompt->data, prompt->len, hash_text(model, 0)));
	for (uint64_t i = HASH_TOKENS; i < tokens; i++) {
		uint64_t random = rng_next(&rng);
		char token[TEXT_TOKEN_BYTES] = {
		    ' ',
		    (char)('a' + random % LETTERS),
		    (char)('a' + (random >> 8) % LETTERS),
		    (char)('a' + (random >> 16) % LETTERS),
		};

		buf_append(out, token, sizeof(token));
	}
	out->len = end;
	free(content);
}

uint64_t *
text_block_hashes(const void *text, size_t len, uint64_t seed, size_t *count)
{
	const uint8_t *position = text;
	uint64_t *hashes;

	*count = len / TEXT_BLOCK_BYTES;
	hashes = xcalloc(*count + 1, sizeof(*hashes));
	for (size_t i = 0; i < *count; i++) {
		seed = hash_bytes(position, TEXT_BLOCK_BYTES, seed);
		hashes[i] = seed;
		position += TEXT_BLOCK_BYTES;
	}
	return hashes;
}
