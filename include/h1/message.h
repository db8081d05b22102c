/** @file
 * Heads of HTTP/1.1 messages: start line and header fields. Order and spelling
 * of the fields are kept, so that a relay can forward fields unknown to it.
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

/** A header field: offsets of its NUL-terminated name and value in the text of
 * struct h1_headers. */
struct h1_field {
	uint32_t name;
	uint32_t value;
};

/** Header fields in order. Zero-initialized: none. */
struct h1_headers {
	struct buf text; /**< names and values, each NUL-terminated */
	struct h1_field *fields;
	size_t count;
	size_t capacity;
};

/** Which part of a header field the parser reported last. */
enum h1_header_state {
	H1_HEADER_STATE_NONE,
	H1_HEADER_STATE_NAME,
	H1_HEADER_STATE_VALUE,
};

struct h1_head {
	char method[H1_METHOD_BYTES]; /**< requests only */
	struct buf target;            /**< requests only; path and query */
	int status;                   /**< responses only; without the phrase */
	struct h1_headers headers;
	enum h1_header_state header_state; /**< while parsing */
};

/** Appends a field. */
void
h1_headers_add(struct h1_headers *headers, const char *name, const char *value);
void h1_headers_add_number(
    struct h1_headers *headers, const char *name, int64_t value);
/** Returns the value of the first field with a name, in any case, or NULL. */
const char *h1_headers_find(const struct h1_headers *headers, const char *name);
/** Returns the number of fields with a name, in any case. */
size_t h1_headers_count(const struct h1_headers *headers, const char *name);
const char *h1_headers_name(const struct h1_headers *headers, size_t at);
const char *h1_headers_value(const struct h1_headers *headers, size_t at);
/** Copies the value of a cookie to buffer, cut to size - 1 bytes. Returns
 * buffer, or NULL when there is no such cookie. */
const char *h1_headers_cookie(const struct h1_headers *headers,
    const char *name, char *buffer, size_t size);
/** Returns whether a comma-separated field lists a token, in any case. */
bool h1_headers_has_token(
    const struct h1_headers *headers, const char *name, const char *token);
void h1_headers_reset(struct h1_headers *headers);

/** Append a piece of a field's name or value as the parser reports it. */
void h1_head_add_name(struct h1_head *head, const char *at, size_t len);
void h1_head_add_value(struct h1_head *head, const char *at, size_t len);
/** Terminates the field that is being parsed, if any. */
void h1_head_end_field(struct h1_head *head);
void h1_head_reset(struct h1_head *head);

/** Returns whether a text has the form of a field's name: not empty, and only
 * letters, digits and some signs. */
bool h1_is_token(const char *text, size_t len);
/** Returns whether a text can be the value of a field: not empty, without
 * control characters, and without blanks at its ends. */
bool h1_is_field_value(const char *text, size_t len);
/** Returns whether a field concerns one connection only and must not be
 * forwarded. headers are the message's fields, whose Connection field may list
 * more such names. */
bool h1_is_hop_by_hop(const struct h1_headers *headers, const char *name);
/** Copies all fields that may be forwarded, except Content-Length. */
void h1_headers_copy_end_to_end(
    const struct h1_headers *from, struct h1_headers *to);
/** Returns the reason phrase of a status, e.g. "Not Found". */
const char *h1_status_phrase(int status);

#endif
