#include <check.h>
#include <string.h>

#include "h1/response_parser.h"
#include "tests/runner.h"

/** What the parser has reported. */
struct parsed {
	int heads;
	int status;
	bool skip_next; /**< the next head is that of another call */
	struct buf body;
};

static enum h1_parse_action
handle_head(void *context, const struct h1_head *head)
{
	struct parsed *parsed = context;
	bool skip = parsed->skip_next;

	parsed->skip_next = false;
	parsed->heads++;
	parsed->status = head->status;
	return skip ? H1_PARSE_SKIP : H1_PARSE_CONTINUE;
}

static enum h1_parse_action
handle_data(void *context, const char *data, size_t len)
{
	struct parsed *parsed = context;

	buf_append(&parsed->body, data, len);
	return H1_PARSE_CONTINUE;
}

static const struct h1_response_events events = {
    .on_head = handle_head,
    .on_data = handle_data,
};

/** Bytes on a connection, and what they are. */
struct row {
	const char *bytes;
	enum h1_parse_result result;
	int status;
	const char *body;
	size_t unused; /**< bytes after the response */
	bool skip;     /**< the first response is that of another call */
	bool closes;   /**< the connection can't be used again */
};

/* Parses the first `first` bytes, then the rest in pieces. */
static void
check_split(const struct row *row, size_t first, size_t piece)
{
	struct parsed parsed = {.skip_next = row->skip};
	struct h1_response_parser parser = {0};
	enum h1_parse_result result = H1_PARSE_INCOMPLETE;
	size_t len = strlen(row->bytes);
	size_t used = 0;
	size_t next = first;

	h1_response_parser_begin(&parser, false, &events, &parsed);
	while (used < len && result == H1_PARSE_INCOMPLETE) {
		size_t end = next < len ? next : len;
		size_t piece_used;

		result = h1_response_parser_execute(
		    &parser, row->bytes + used, end - used, &piece_used);
		ck_assert(
		    result != H1_PARSE_INCOMPLETE || used + piece_used == end);
		used += piece_used;
		next = end + piece;
	}
	if (result == H1_PARSE_INCOMPLETE)
		result = h1_response_parser_finish(&parser);
	ck_assert_msg(result == row->result, "%s: result %d (%s)", row->bytes,
	    result, parser.fault != NULL ? parser.fault : "");
	ck_assert_int_eq(parser.fault != NULL, result == H1_PARSE_MALFORMED);
	if (result == H1_PARSE_COMPLETE) {
		ck_assert_int_eq(parsed.status, row->status);
		ck_assert_str_eq(buf_text(&parsed.body), row->body);
		ck_assert_uint_eq(len - used, row->unused);
		ck_assert(parser.keep_alive != row->closes);
	}
	buf_reset(&parsed.body);
	h1_response_parser_reset(&parser);
}

/* However the bytes are split, they have to be read alike. */
static void
check_rows(const struct row *rows, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		size_t len = strlen(rows[i].bytes);

		check_split(&rows[i], 1, 1);
		for (size_t first = 1; first <= len; first++)
			check_split(&rows[i], first, len);
	}
}

#define CHECK_ROWS(rows) check_rows(rows, sizeof(rows) / sizeof((rows)[0]))
#define OK               "HTTP/1.1 200 OK\r\n"
#define LENGTH           OK "Content-Length: 2\r\n\r\nab"
#define CHUNKED          OK "Transfer-Encoding: chunked\r\n\r\n"

START_TEST(responses_are_read_alike_however_they_are_split)
{
	static const struct row rows[] = {
	    {LENGTH, H1_PARSE_COMPLETE, 200, "ab"},
	    {LENGTH "more", H1_PARSE_COMPLETE, 200, "ab", .unused = 4},
	    {OK "Connection: close\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_COMPLETE, 200, "ab", .closes = true},
	    {OK "\r\nab", H1_PARSE_COMPLETE, 200, "ab", .closes = true},
	    {CHUNKED "1\r\na\r\n1;x=y\r\nb\r\n0\r\nT: v\r\n\r\n",
		H1_PARSE_COMPLETE, 200, "ab"},
	    {"\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" LENGTH,
		H1_PARSE_COMPLETE, 200, "ab"},
	    {OK "Content-Length: 4\r\n\r\nlate" LENGTH, H1_PARSE_COMPLETE, 200,
		"ab", .skip = true, .closes = true},
	    {CHUNKED "4\r\nlate\r\n0\r\n\r\n" LENGTH, H1_PARSE_COMPLETE, 200,
		"ab", .skip = true, .closes = true},
	    {"HTTP/1.1 204 No Content\r\n\r\n", H1_PARSE_COMPLETE, 204, ""},
	    {"HTTP/1.1 404 Not Found\nContent-Length: 0\n\n", H1_PARSE_COMPLETE,
		404, ""},
	    {OK "Content-Length: 3\r\n\r\nab", H1_PARSE_INCOMPLETE},
	    {CHUNKED "1\r\na\r\n", H1_PARSE_INCOMPLETE},
	    {CHUNKED "1\r\na\r\n0\r\n", H1_PARSE_INCOMPLETE},
	    {"HTTP/1.1 200", H1_PARSE_INCOMPLETE},
	    {"HTTP/1.1 100 Continue\r\n\r\n", H1_PARSE_INCOMPLETE},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(status_lines_that_are_malformed_are_recognized)
{
	static const struct row rows[] = {
	    {"HTTP/1.1 000 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 99 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 600 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 0200 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 2000 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1  200 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 200OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/2.0 200 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.10 200 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"http/1.1 200 OK\r\n\r\n", H1_PARSE_MALFORMED},
	    {"HTTP/1.1 200 OK\rContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
		H1_PARSE_MALFORMED},
	    {"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
	     "Upgrade: other\r\n\r\n",
		H1_PARSE_MALFORMED},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(heads_that_are_malformed_are_recognized)
{
	static const struct row rows[] = {
	    {OK "Content-Length: 2\r\nno field\r\n\r\nab", H1_PARSE_MALFORMED},
	    {OK "X-Field: a\r\n b\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK "X-Field:\r\n\tb\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK "X Field: a\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK "X-Field : a\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK "X(Field: a\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK ": a\r\nContent-Length: 2\r\n\r\nab", H1_PARSE_MALFORMED},
	    {OK " X-Field: a\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {OK "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		H1_PARSE_MALFORMED},
	    {OK "Transfer-Encoding: chunked\t\r\n\r\n0\r\n\r\n",
		H1_PARSE_MALFORMED},
	    {OK "Transfer-Encoding: chunked \r\n\r\n0\r\n\r\n",
		H1_PARSE_COMPLETE, 200, ""},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(chunks_that_are_malformed_are_recognized)
{
	static const struct row rows[] = {
	    {CHUNKED "2 2\r\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2;x\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2;x\n5\r\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2;\001\r\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED ";x\r\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2\r\nabXY0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2\r\nab\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "2\r\nab\rX0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "1\r\nab\r\n0\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "0\r\nX Field: a\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "0\r\nX-Field: a\r\n b\r\n\r\n", H1_PARSE_MALFORMED},
	    {CHUNKED "0\r\n\rX", H1_PARSE_INCOMPLETE},
	    {CHUNKED "2 \t; x\r\nab\r\n00\r\n\r\n", H1_PARSE_COMPLETE, 200,
		"ab"},
	    {CHUNKED "A\r\n0123456789\r\n0\r\nX-Field:\r\n\r\nmore",
		H1_PARSE_COMPLETE, 200, "0123456789", .unused = 4},
	};

	CHECK_ROWS(rows);
}
END_TEST

START_TEST(bodies_of_responses_that_have_none_are_recognized)
{
	static const struct row rows[] = {
	    {"HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nab",
		H1_PARSE_MALFORMED},
	    {"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "0\r\n\r\n",
		H1_PARSE_MALFORMED},
	    {"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nab" LENGTH,
		H1_PARSE_MALFORMED},
	    {"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n", H1_PARSE_COMPLETE,
		204, ""},
	    {"HTTP/1.1 204 No\r\n\r\nab", H1_PARSE_COMPLETE, 204, "",
		.unused = 2},
	    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
		H1_PARSE_COMPLETE, 304, ""},
	    {"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n"
	     "\r\n",
		H1_PARSE_COMPLETE, 304, ""},
	};

	CHECK_ROWS(rows);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    responses_are_read_alike_however_they_are_split,
	    status_lines_that_are_malformed_are_recognized,
	    heads_that_are_malformed_are_recognized,
	    chunks_that_are_malformed_are_recognized,
	    bodies_of_responses_that_have_none_are_recognized,
	};

	return run_tests(
	    "response-parser", tests, sizeof(tests) / sizeof(tests[0]));
}
