#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "h1/response_parser.h"

enum {
	STATUS_MIN = 100,
	STATUS_MAX = 599,
	/* Positions in "HTTP/1.1 200 OK". */
	MINOR_VERSION_AT = 7,
	STATUS_AT = 9,
	STATUS_END = 12,
};

static const char CHUNK_END[] = "\r\n";

static int
handle_message_begin(http_parser *http)
{
	struct h1_response_parser *parser = http->data;

	parser->part = H1_PART_FIELD_LINE;
	return 0;
}

static int
handle_header_field(http_parser *http, const char *at, size_t len)
{
	struct h1_response_parser *parser = http->data;

	h1_head_add_name(&parser->head, at, len);
	return 0;
}

static int
handle_header_value(http_parser *http, const char *at, size_t len)
{
	struct h1_response_parser *parser = http->data;

	h1_head_add_value(&parser->head, at, len);
	return 0;
}

static bool
is_interim(const http_parser *http)
{
	return http->status_code / 100 == 1;
}

/* Returns whether the response has no body, whatever its head says. */
static bool
has_no_body(const struct h1_response_parser *parser)
{
	unsigned int status = parser->http.status_code;

	return parser->head_method || is_interim(&parser->http) ||
	    status == HTTP_STATUS_NO_CONTENT ||
	    status == HTTP_STATUS_NOT_MODIFIED;
}

static enum h1_body_end
body_end_of(const struct h1_response_parser *parser)
{
	const http_parser *http = &parser->http;

	if (has_no_body(parser))
		return H1_BODY_END_LENGTH;
	if ((http->flags & F_CHUNKED) != 0)
		return H1_BODY_END_CHUNK;
	return (http->flags & F_CONTENTLENGTH) != 0 ? H1_BODY_END_LENGTH
						    : H1_BODY_END_CONNECTION;
}

/* Applies what a callback returned. Returns the value by which a callback of
 * http_parser goes on or stops. */
static int
apply_action(struct h1_response_parser *parser, enum h1_parse_action action)
{
	parser->stopped = action == H1_PARSE_STOP;
	return parser->stopped ? -1 : 0;
}

/* Returns whether a response that must not have a body announces one. A 304 may
 * tell the length of what the caller has cached. */
static bool
announces_forbidden_body(const http_parser *http)
{
	if (!is_interim(http) && http->status_code != HTTP_STATUS_NO_CONTENT)
		return false;
	return (http->flags & F_CHUNKED) != 0 ||
	    ((http->flags & F_CONTENTLENGTH) != 0 && http->content_length > 0);
}

/* Returns what is wrong with a head, or NULL. http_parser takes a body in a
 * coding that it doesn't know for one that ends with the connection. */
static const char *
find_head_fault(const struct h1_response_parser *parser)
{
	static const char name[] = "transfer-encoding";
	const struct h1_headers *headers = &parser->head.headers;
	const char *coding = h1_headers_find(headers, name);

	if (announces_forbidden_body(&parser->http))
		return "a body in a response that has none";
	if (coding == NULL)
		return NULL;
	if ((parser->http.flags & F_CHUNKED) == 0 ||
	    h1_headers_count(headers, name) > 1 ||
	    strchr(coding, ',') != NULL ||
	    !h1_headers_has_token(headers, name, "chunked"))
		return "Transfer-Encoding is not chunked";
	return parser->http.http_minor == 0 ? "Transfer-Encoding in HTTP/1.0"
					    : NULL;
}

static int
handle_headers_complete(http_parser *http)
{
	struct h1_response_parser *parser = http->data;
	enum h1_parse_action action;

	parser->part =
	    (http->flags & F_CHUNKED) != 0 ? H1_PART_CHUNK_SIZE : H1_PART_BODY;
	h1_head_end_field(&parser->head);
	parser->fault = find_head_fault(parser);
	if (parser->fault != NULL)
		return -1;
	parser->head.status = (int)http->status_code;
	if (is_interim(http))
		return 0;
	parser->body_end = body_end_of(parser);
	action = parser->events->on_head(parser->context, &parser->head);
	if (apply_action(parser, action) != 0)
		return -1;
	parser->skipping = action == H1_PARSE_SKIP;
	if (parser->skipping)
		parser->keep_alive = false;
	return has_no_body(parser) ? 1 : 0;
}

static int
handle_body(http_parser *http, const char *at, size_t len)
{
	struct h1_response_parser *parser = http->data;

	if (parser->skipping)
		return 0;
	return apply_action(
	    parser, parser->events->on_data(parser->context, at, len));
}

static int
handle_chunk_header(http_parser *http)
{
	struct h1_response_parser *parser = http->data;

	parser->chunk_left = http->content_length;
	parser->chunk_end_len = 0;
	parser->part =
	    parser->chunk_left > 0 ? H1_PART_CHUNK_DATA : H1_PART_FIELD_LINE;
	return 0;
}

static int
handle_chunk_complete(http_parser *http)
{
	struct h1_response_parser *parser = http->data;

	parser->part = H1_PART_CHUNK_SIZE;
	return 0;
}

static int
handle_message_complete(http_parser *http)
{
	struct h1_response_parser *parser = http->data;

	http_parser_pause(http, 1);
	parser->part = H1_PART_STATUS_LINE;
	if (is_interim(http) || parser->skipping) {
		h1_head_reset(&parser->head);
		parser->skipping = false;
		return 0;
	}
	if (http_should_keep_alive(http) == 0)
		parser->keep_alive = false;
	parser->complete = true;
	return 0;
}

static const http_parser_settings settings = {
    .on_message_begin = handle_message_begin,
    .on_header_field = handle_header_field,
    .on_header_value = handle_header_value,
    .on_headers_complete = handle_headers_complete,
    .on_body = handle_body,
    .on_message_complete = handle_message_complete,
    .on_chunk_header = handle_chunk_header,
    .on_chunk_complete = handle_chunk_complete,
};

void
h1_response_parser_begin(struct h1_response_parser *parser, bool head_method,
    const struct h1_response_events *events, void *context)
{
	*parser = (struct h1_response_parser){
	    .events = events,
	    .context = context,
	    .head_method = head_method,
	    .keep_alive = true,
	};
	http_parser_init(&parser->http, HTTP_RESPONSE);
	parser->http.data = parser;
}

void
h1_response_parser_reset(struct h1_response_parser *parser)
{
	h1_head_reset(&parser->head);
	buf_reset(&parser->line);
}

/* Returns whether a line, without its end, has the form "HTTP/1.1 200 OK" with
 * any minor version. The blank and the phrase may be absent. */
static bool
is_status_line(const char *line, size_t len)
{
	if (len < STATUS_END ||
	    memcmp(line, "HTTP/1.", MINOR_VERSION_AT) != 0 ||
	    !isdigit((unsigned char)line[MINOR_VERSION_AT]) ||
	    line[STATUS_AT - 1] != ' ')
		return false;
	for (size_t i = STATUS_AT; i < STATUS_END; i++) {
		if (!isdigit((unsigned char)line[i]))
			return false;
	}
	return len == STATUS_END || line[STATUS_END] == ' ';
}

static bool
status_exists(const char *line)
{
	long status = strtol(line + STATUS_AT, NULL, 10);

	return status >= STATUS_MIN && status <= STATUS_MAX;
}

static const char *
find_status_fault(const char *line, size_t len)
{
	if (!is_status_line(line, len))
		return "malformed status line";
	return status_exists(line) ? NULL : "the status code does not exist";
}

static const char *
find_field_fault(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	if (line[0] == ' ' || line[0] == '\t')
		return "folded field line";
	if (colon == NULL)
		return "a line of the head is no field";
	return h1_is_token(line, (size_t)(colon - line))
	    ? NULL
	    : "the name of a field is not a token";
}

/* http_parser ignores what follows a blank after the size. */
static const char *
find_chunk_size_fault(const char *line, size_t len)
{
	size_t at = 0;

	while (at < len && isxdigit((unsigned char)line[at]))
		at++;
	if (at == 0)
		return "malformed size of a chunk";
	while (at < len && (line[at] == ' ' || line[at] == '\t'))
		at++;
	return at == len || line[at] == ';' ? NULL
					    : "malformed size of a chunk";
}

/* Returns whether a line has control bytes other than tabs. */
static bool
has_control_bytes(const char *line, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (iscntrl((unsigned char)line[i]) && line[i] != '\t')
			return true;
	}
	return false;
}

/* Returns what is wrong with a line that ends with a line feed, or NULL. */
static const char *
find_line_fault(
    const struct h1_response_parser *parser, const char *line, size_t len)
{
	bool ends_with_crlf = len > 1 && line[len - 2] == '\r';

	len -= ends_with_crlf ? 2 : 1;
	if (has_control_bytes(line, len))
		return "control byte in a line";
	switch (parser->part) {
	case H1_PART_STATUS_LINE:
		/* http_parser skips empty lines before a response. */
		return len == 0 ? NULL : find_status_fault(line, len);
	case H1_PART_FIELD_LINE:
		return len == 0 ? NULL : find_field_fault(line, len);
	case H1_PART_CHUNK_SIZE:
		return ends_with_crlf ? find_chunk_size_fault(line, len)
				      : "malformed end of a chunk's size";
	case H1_PART_BODY:
	case H1_PART_CHUNK_DATA:
	case H1_PART_CHUNK_END:
		break;
	}
	return NULL;
}

/* Gives bytes to http_parser. Returns how many it has parsed. */
static size_t
feed(struct h1_response_parser *parser, const char *data, size_t len)
{
	size_t used = http_parser_execute(&parser->http, &settings, data, len);
	enum http_errno code = HTTP_PARSER_ERRNO(&parser->http);

	if (parser->stopped)
		return used;
	if (code == HPE_PAUSED)
		http_parser_pause(&parser->http, 0);
	else if (code != HPE_OK && parser->fault == NULL)
		parser->fault = http_errno_description(code);
	if (parser->http.upgrade)
		parser->fault = "change to another protocol";
	return used;
}

/* Checks a line and gives it to http_parser. */
static void
feed_line(struct h1_response_parser *parser, const char *line, size_t len)
{
	parser->fault = find_line_fault(parser, line, len);
	if (parser->fault == NULL)
		feed(parser, line, len);
}

/* Parses the next line, or keeps the start of one. Returns how many bytes it
 * has taken. */
static size_t
take_line(struct h1_response_parser *parser, const char *data, size_t len)
{
	const char *end = memchr(data, '\n', len);

	if (end != NULL)
		len = (size_t)(end - data) + 1;
	if (end != NULL && parser->line.len == 0) {
		feed_line(parser, data, len);
		return len;
	}
	buf_append(&parser->line, data, len);
	if (end != NULL) {
		feed_line(
		    parser, (const char *)parser->line.data, parser->line.len);
		parser->line.len = 0;
	}
	return len;
}

/* Parses data of a chunk. Returns how many bytes it has taken. */
static size_t
take_chunk_data(struct h1_response_parser *parser, const char *data, size_t len)
{
	if (len > parser->chunk_left)
		len = parser->chunk_left;
	parser->chunk_left -= len;
	if (parser->chunk_left == 0)
		parser->part = H1_PART_CHUNK_END;
	return feed(parser, data, len);
}

/* Parses the next byte of a chunk's end. http_parser accepts any bytes there.
 * Returns how many bytes it has taken. */
static size_t
take_chunk_end(struct h1_response_parser *parser, const char *data)
{
	if (*data != CHUNK_END[parser->chunk_end_len]) {
		parser->fault = "a chunk is not as long as its size";
		return 0;
	}
	parser->chunk_end_len++;
	return feed(parser, data, 1);
}

/* Parses bytes of one part of the response. Returns how many it has taken. */
static size_t
take_bytes(struct h1_response_parser *parser, const char *data, size_t len)
{
	switch (parser->part) {
	case H1_PART_STATUS_LINE:
	case H1_PART_FIELD_LINE:
	case H1_PART_CHUNK_SIZE:
		return take_line(parser, data, len);
	case H1_PART_CHUNK_DATA:
		return take_chunk_data(parser, data, len);
	case H1_PART_CHUNK_END:
		return take_chunk_end(parser, data);
	case H1_PART_BODY:
		break;
	}
	return feed(parser, data, len);
}

enum h1_parse_result
h1_response_parser_execute(struct h1_response_parser *parser, const char *data,
    size_t len, size_t *used)
{
	*used = 0;
	while (*used < len) {
		*used += take_bytes(parser, data + *used, len - *used);
		if (parser->stopped)
			return H1_PARSE_STOPPED;
		if (parser->fault != NULL)
			return H1_PARSE_MALFORMED;
		if (parser->complete)
			return H1_PARSE_COMPLETE;
	}
	return H1_PARSE_INCOMPLETE;
}

enum h1_parse_result
h1_response_parser_finish(struct h1_response_parser *parser)
{
	http_parser_execute(&parser->http, &settings, NULL, 0);
	return parser->complete ? H1_PARSE_COMPLETE : H1_PARSE_INCOMPLETE;
}
