#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "common/memory.h"
#include "h1/message.h"

enum {
	FIELDS_MIN = 16,
	DELETE_CHAR = 0x7f,
};

static const char *
text_at(const struct h1_headers *headers, uint32_t offset)
{
	return (const char *)headers->text.data + offset;
}

/* Appends a field whose name starts at the end of the text. */
static struct h1_field *
add_field(struct h1_headers *headers)
{
	if (headers->count == headers->capacity) {
		headers->capacity =
		    headers->capacity == 0 ? FIELDS_MIN : 2 * headers->capacity;
		headers->fields = xrealloc(headers->fields,
		    headers->capacity * sizeof(*headers->fields));
	}
	headers->fields[headers->count] = (struct h1_field){
	    .name = (uint32_t)headers->text.len,
	};
	return &headers->fields[headers->count++];
}

void
h1_headers_add(struct h1_headers *headers, const char *name, const char *value)
{
	struct h1_field *field = add_field(headers);

	buf_append(&headers->text, name, strlen(name) + 1);
	field->value = (uint32_t)headers->text.len;
	buf_append(&headers->text, value, strlen(value) + 1);
}

void
h1_headers_add_number(
    struct h1_headers *headers, const char *name, int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, value);
	h1_headers_add(headers, name, text);
}

const char *
h1_headers_name(const struct h1_headers *headers, size_t at)
{
	return text_at(headers, headers->fields[at].name);
}

const char *
h1_headers_value(const struct h1_headers *headers, size_t at)
{
	return text_at(headers, headers->fields[at].value);
}

const char *
h1_headers_find(const struct h1_headers *headers, const char *name)
{
	for (size_t i = 0; i < headers->count; i++) {
		if (strcasecmp(h1_headers_name(headers, i), name) == 0)
			return h1_headers_value(headers, i);
	}
	return NULL;
}

size_t
h1_headers_count(const struct h1_headers *headers, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < headers->count; i++)
		count += strcasecmp(h1_headers_name(headers, i), name) == 0;
	return count;
}

/* Copies a cookie's value from one Cookie field. Returns buffer, or NULL. */
static const char *
find_cookie(const char *list, const char *name, char *buffer, size_t size)
{
	size_t name_len = strlen(name);

	while (*list != '\0') {
		size_t len;

		list += strspn(list, " ;");
		len = strcspn(list, ";");
		if (len > name_len && list[name_len] == '=' &&
		    strncmp(list, name, name_len) == 0) {
			snprintf(buffer, size, "%.*s",
			    (int)(len - name_len - 1), list + name_len + 1);
			return buffer;
		}
		list += len;
	}
	return NULL;
}

const char *
h1_headers_cookie(const struct h1_headers *headers, const char *name,
    char *buffer, size_t size)
{
	for (size_t i = 0; i < headers->count; i++) {
		if (strcasecmp(h1_headers_name(headers, i), "cookie") == 0 &&
		    find_cookie(h1_headers_value(headers, i), name, buffer,
			size) != NULL)
			return buffer;
	}
	return NULL;
}

static bool
list_has_token(const char *list, const char *token)
{
	size_t token_len = strlen(token);

	while (*list != '\0') {
		size_t len;
		size_t used;

		list += strspn(list, " \t,");
		len = strcspn(list, ",");
		used = len;
		while (used > 0 &&
		    (list[used - 1] == ' ' || list[used - 1] == '\t'))
			used--;
		if (used == token_len && strncasecmp(list, token, used) == 0)
			return true;
		list += len;
	}
	return false;
}

bool
h1_headers_has_token(
    const struct h1_headers *headers, const char *name, const char *token)
{
	for (size_t i = 0; i < headers->count; i++) {
		if (strcasecmp(h1_headers_name(headers, i), name) == 0 &&
		    list_has_token(h1_headers_value(headers, i), token))
			return true;
	}
	return false;
}

void
h1_headers_reset(struct h1_headers *headers)
{
	buf_reset(&headers->text);
	free(headers->fields);
	*headers = (struct h1_headers){0};
}

void
h1_head_add_name(struct h1_head *head, const char *at, size_t len)
{
	if (head->header_state != H1_HEADER_STATE_NAME) {
		h1_head_end_field(head);
		add_field(&head->headers);
		head->header_state = H1_HEADER_STATE_NAME;
	}
	buf_append(&head->headers.text, at, len);
}

void
h1_head_add_value(struct h1_head *head, const char *at, size_t len)
{
	struct h1_headers *headers = &head->headers;

	if (head->header_state == H1_HEADER_STATE_NAME) {
		buf_append(&headers->text, "", 1);
		headers->fields[headers->count - 1].value =
		    (uint32_t)headers->text.len;
		head->header_state = H1_HEADER_STATE_VALUE;
	}
	buf_append(&headers->text, at, len);
}

void
h1_head_end_field(struct h1_head *head)
{
	if (head->header_state == H1_HEADER_STATE_NAME)
		h1_head_add_value(head, "", 0);
	if (head->header_state == H1_HEADER_STATE_VALUE)
		buf_append(&head->headers.text, "", 1);
	head->header_state = H1_HEADER_STATE_NONE;
}

void
h1_head_reset(struct h1_head *head)
{
	buf_reset(&head->target);
	h1_headers_reset(&head->headers);
	*head = (struct h1_head){0};
}

bool
h1_is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)text[i]) &&
		    (text[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
			return false;
	}
	return len > 0;
}

bool
h1_is_field_value(const char *text, size_t len)
{
	if (len == 0 || text[0] == ' ' || text[len - 1] == ' ')
		return false;
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c < ' ' || c == DELETE_CHAR)
			return false;
	}
	return true;
}

bool
h1_is_hop_by_hop(const struct h1_headers *headers, const char *name)
{
	static const char *const names[] = {
	    "connection",
	    "keep-alive",
	    "proxy-connection",
	    "proxy-authenticate",
	    "proxy-authorization",
	    "te",
	    "trailer",
	    "transfer-encoding",
	    "upgrade",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	return h1_headers_has_token(headers, "connection", name);
}

void
h1_headers_copy_end_to_end(const struct h1_headers *from, struct h1_headers *to)
{
	for (size_t i = 0; i < from->count; i++) {
		const char *name = h1_headers_name(from, i);

		if (!h1_is_hop_by_hop(from, name) &&
		    strcasecmp(name, "content-length") != 0)
			h1_headers_add(to, name, h1_headers_value(from, i));
	}
}

const char *
h1_status_phrase(int status)
{
	switch (status) {
#define STATUS_PHRASE(number, name, phrase) \
	case number: \
		return #phrase;
		HTTP_STATUS_MAP(STATUS_PHRASE)
#undef STATUS_PHRASE
	default:
		return "Unknown";
	}
}
