/** @file
 * Heads of HTTP/1.1 messages: start line and header fields, in their order
 * and spelling, so that a relay can pass on fields that it does not know.
 */
#ifndef H1_MESSAGE_H
#define H1_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"

enum {
	H1_METHOD_BYTES = 16,
};

/** A header field; name and value are offsets of texts that end with NUL. */
struct h1_field {
	uint32_t name;
	uint32_t value;
};

/** Header fields in their order. Zeroed: none. */
struct h1_headers {
	struct buf text;
	struct h1_field *fields;
	size_t count;
	size_t capacity;
};

/** What a parser builds a head from, piece by piece. */
enum h1_header_state {
	H1_HEADER_STATE_NONE,
	H1_HEADER_STATE_NAME,
	H1_HEADER_STATE_VALUE,
};

struct h1_head {
	char method[H1_METHOD_BYTES]; /**< requests only */
	struct buf target;            /**< requests only; path and query */
	int status;                   /**< answers only */
	struct h1_headers headers;
	enum h1_header_state building;
};

void
h1_headers_add(struct h1_headers *headers, const char *name, const char *value);
void h1_headers_add_number(
    struct h1_headers *headers, const char *name, int64_t value);
/** Returns the value of the first field of that name, or NULL. */
const char *h1_headers_find(const struct h1_headers *headers, const char *name);
/** Returns how many fields have that name. */
size_t h1_headers_count(const struct h1_headers *headers, const char *name);
const char *h1_headers_name(const struct h1_headers *headers, size_t at);
const char *h1_headers_value(const struct h1_headers *headers, size_t at);
/** Returns the value of a named cookie in buffer, or NULL. */
const char *h1_headers_cookie(const struct h1_headers *headers,
    const char *name, char *buffer, size_t size);
/** Returns whether a comma-separated field lists a token. */
bool h1_headers_has_token(
    const struct h1_headers *headers, const char *name, const char *token);
void h1_headers_reset(struct h1_headers *headers);

/** Appends pieces as a parser reports them. */
void h1_head_add_name(struct h1_head *head, const char *at, size_t len);
void h1_head_add_value(struct h1_head *head, const char *at, size_t len);
/** Ends the field that is being built. */
void h1_head_end_field(struct h1_head *head);
void h1_head_reset(struct h1_head *head);

/** Returns whether a field concerns one connection only: it is not to be
 * passed on. headers is what the field's `Connection` says. */
bool h1_is_hop_by_hop(const struct h1_headers *headers, const char *name);
/** Copies all fields that are to be passed on. */
void h1_headers_copy_end_to_end(
    const struct h1_headers *from, struct h1_headers *to);
/** Returns the usual phrase of a status, e.g. "Not Found". */
const char *h1_status_phrase(int status);

#endif
