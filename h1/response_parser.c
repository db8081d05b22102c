#include "h1/response_parser.h"

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

static enum h1_body_end
body_end_of(const struct h1_response_parser *parser)
{
	const http_parser *http = &parser->http;

	if (parser->head_method || http->status_code == 204 ||
	    http->status_code == 304)
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

static int
handle_headers_complete(http_parser *http)
{
	struct h1_response_parser *parser = http->data;
	enum h1_parse_action action;

	h1_head_end_field(&parser->head);
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
	return parser->head_method ? 1 : 0;
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
handle_message_complete(http_parser *http)
{
	struct h1_response_parser *parser = http->data;

	if (is_interim(http) || parser->skipping) {
		h1_head_reset(&parser->head);
		parser->skipping = false;
		return 0;
	}
	if (http_should_keep_alive(http) == 0)
		parser->keep_alive = false;
	parser->complete = true;
	http_parser_pause(http, 1);
	return 0;
}

static const http_parser_settings settings = {
    .on_header_field = handle_header_field,
    .on_header_value = handle_header_value,
    .on_headers_complete = handle_headers_complete,
    .on_body = handle_body,
    .on_message_complete = handle_message_complete,
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
}

enum h1_parse_result
h1_response_parser_execute(struct h1_response_parser *parser, const char *data,
    size_t len, size_t *used)
{
	*used = http_parser_execute(&parser->http, &settings, data, len);
	if (parser->stopped)
		return H1_PARSE_STOPPED;
	if (parser->complete)
		return H1_PARSE_COMPLETE;
	if (HTTP_PARSER_ERRNO(&parser->http) != HPE_OK || parser->http.upgrade)
		return H1_PARSE_MALFORMED;
	return H1_PARSE_INCOMPLETE;
}

enum h1_parse_result
h1_response_parser_finish(struct h1_response_parser *parser)
{
	http_parser_execute(&parser->http, &settings, NULL, 0);
	return parser->complete ? H1_PARSE_COMPLETE : H1_PARSE_INCOMPLETE;
}
