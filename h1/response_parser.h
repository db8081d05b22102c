/** @file
 * Incremental parser of the responses on a client connection, around
 * http_parser. The library accepts bytes that are no HTTP response, so each
 * line is checked before the library gets it.
 */
#ifndef H1_RESPONSE_PARSER_H
#define H1_RESPONSE_PARSER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "common/buf.h"
#include "h1/client.h"
#include "h1/message.h"

/** What to do after an event. */
enum h1_parse_action {
	H1_PARSE_CONTINUE,
	/** Goes on, but reports neither data nor the end of this response. */
	H1_PARSE_SKIP,
	/** Stops. The parser must live until its function returns. */
	H1_PARSE_STOP,
};

/** Callbacks for what was parsed. Interim responses are not reported. */
struct h1_response_events {
	enum h1_parse_action (*on_head)(
	    void *context, const struct h1_head *head);
	/** A piece of the body. H1_PARSE_SKIP counts as H1_PARSE_CONTINUE. */
	enum h1_parse_action (*on_data)(
	    void *context, const char *data, size_t len);
};

enum h1_parse_result {
	H1_PARSE_INCOMPLETE, /**< the response has not ended */
	H1_PARSE_COMPLETE,   /**< a response that is not skipped has ended */
	H1_PARSE_STOPPED,    /**< a callback has stopped the parser */
	H1_PARSE_MALFORMED,  /**< the bytes are no HTTP response */
};

/** Which part of a response the next byte belongs to. */
enum h1_response_part {
	H1_PART_STATUS_LINE,
	H1_PART_FIELD_LINE, /**< of the head, or after the last chunk */
	H1_PART_BODY,       /**< without chunks */
	H1_PART_CHUNK_SIZE, /**< with extensions */
	H1_PART_CHUNK_DATA,
	H1_PART_CHUNK_END,
};

struct h1_response_parser {
	http_parser http;
	const struct h1_response_events *events;
	void *context;
	enum h1_response_part part;
	struct buf line;      /**< start of a line whose end has not arrived */
	uint64_t chunk_left;  /**< bytes of the chunk's data to come */
	size_t chunk_end_len; /**< bytes of the chunk's end that have come */
	struct h1_head head;  /**< of the response that is being parsed */
	enum h1_body_end body_end;
	bool head_method; /**< HEAD: the response has no body */
	bool skipping;
	bool stopped;
	bool complete;
	/** With H1_PARSE_COMPLETE: the server keeps the connection open, and
	 * no response before this one was skipped. */
	bool keep_alive;
	const char *fault; /**< with H1_PARSE_MALFORMED: what is wrong */
};

/** Expects the response to a new request. The parser must be zeroed, or reset.
 * head_method: the request has the method HEAD. */
void h1_response_parser_begin(struct h1_response_parser *parser,
    bool head_method, const struct h1_response_events *events, void *context);
/** Frees what the parser holds. */
void h1_response_parser_reset(struct h1_response_parser *parser);
/** Parses bytes, at most up to the end of the response. Sets *used to their
 * number, unless the parser was stopped. */
enum h1_parse_result
h1_response_parser_execute(struct h1_response_parser *parser, const char *data,
    size_t len, size_t *used);
/** Handles an orderly end of the connection, which completes a response without
 * a length. */
enum h1_parse_result
h1_response_parser_finish(struct h1_response_parser *parser);

#endif
