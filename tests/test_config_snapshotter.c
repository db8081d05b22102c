#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "config/snapshotter.h"
#include "config/stream.h"
#include "net/http.h"
#include "tests/runner.h"

enum {
	MAX_RECORDS = 8,
};

/** A log server with one stream, and a node that reads the stream over HTTP. */
struct fixture {
	uv_loop_t loop;
	struct net *net;
	struct counters counters;
	struct plog *plog;
	struct config_fold fold;
	struct buf records[MAX_RECORDS];
	size_t count;
	size_t oldest_offset; /**< oldest offset that the log keeps */
	bool drop_response;   /**< lose the response to the next append */
	bool done;            /**< the read has ended */
	bool at_end;          /**< the fold has reached the stream's end */
};

/* Appends the record of a request: a MessagePack array with one binary. */
static void
store_record(struct fixture *fixture, const struct http_request *request)
{
	struct buf *record = &fixture->records[fixture->count];
	size_t skip = request->body_len > 0xffff ? 6 : 4;

	ck_assert_uint_lt(fixture->count, MAX_RECORDS);
	if (request->body[1] == 0xc4)
		skip = 3;
	buf_append(record, request->body + skip, request->body_len - skip);
	fixture->count++;
}

static void
serve_read(struct fixture *fixture, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct plog_record records[MAX_RECORDS];
	struct plog_read read = {
	    .oldest_offset = fixture->oldest_offset,
	    .end_offset = fixture->count,
	    .records = records,
	};
	struct buf out = {0};
	char text[32];
	size_t from;

	ck_assert(http_request_query(request, "from", text, sizeof(text)));
	from = strtoull(text, NULL, 10);
	for (size_t i = from < read.oldest_offset ? read.oldest_offset : from;
	     i < fixture->count; i++)
		records[read.count++] = (struct plog_record){
		    i, fixture->records[i].data, fixture->records[i].len};
	plog_encode_read(&read, &out);
	http_respond(exchange, from < read.oldest_offset ? 410 : 200,
	    "application/msgpack", NULL, out.data, out.len);
	buf_reset(&out);
}

static void
handle_request(void *context, struct http_exchange *exchange,
    const struct http_request *request)
{
	struct fixture *fixture = context;

	ck_assert_str_eq(request->path, "/v1/streams/config/records");
	if (request->method == HTTP_GET) {
		serve_read(fixture, exchange, request);
		return;
	}
	store_record(fixture, request);
	if (fixture->drop_response)
		http_abort(exchange);
	else
		http_respond(exchange, 200, "application/json", NULL,
		    "{\"first_offset\":0}", 18);
	fixture->drop_response = false;
}

static void
setup(struct fixture *fixture)
{
	struct net_options options = {
	    .listen_address = "127.0.0.1",
	    .handler = handle_request,
	    .handler_context = fixture,
	};
	struct error err = {0};

	memset(fixture, 0, sizeof(*fixture));
	config_fold_init(&fixture->fold);
	uv_loop_init(&fixture->loop);
	fixture->net = net_create(&fixture->loop, &options, &err);
	ck_assert_msg(fixture->net != NULL, "%s", err.text);
	fixture->plog = plog_create(fixture->net, "127.0.0.1",
	    net_port(fixture->net), &fixture->counters);
}

static void
teardown(struct fixture *fixture)
{
	plog_destroy(fixture->plog);
	net_destroy(fixture->net);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture->loop), 0);
	config_fold_reset(&fixture->fold);
	for (size_t i = 0; i < fixture->count; i++)
		buf_reset(&fixture->records[i]);
}

static void
handle_read(void *context, const struct plog_read *read)
{
	struct fixture *fixture = context;

	fixture->done = true;
	fixture->at_end =
	    config_stream_feed(&fixture->fold, read, &fixture->counters);
}

static void
read_to_end(struct fixture *fixture)
{
	do {
		fixture->done = false;
		plog_read(fixture->plog, CONFIG_STREAM,
		    fixture->fold.next_offset, 1 << 20, 0, handle_read,
		    fixture);
		while (!fixture->done)
			uv_run(&fixture->loop, UV_RUN_ONCE);
	} while (!fixture->at_end);
}

static void
publish(struct fixture *fixture, uint64_t id, const char *text)
{
	struct record record = {.type = RECORD_CONFIG_PATCH, .id = id};

	record.config_patch.base = fixture->fold.version;
	record.config_patch.patch.data = (const uint8_t *)text;
	record.config_patch.patch.len = strlen(text);
	record_encode(&record, &fixture->records[fixture->count++]);
	read_to_end(fixture);
}

static void
wait_for_records(struct fixture *fixture, size_t count)
{
	while (fixture->count < count)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	read_to_end(fixture);
}

START_TEST(new_node_gets_whole_history_from_snapshot)
{
	static const struct config_snapshot_policy policy = {
	    .max_records = 100};
	struct config_snapshotter *snapshotter;
	struct fixture fixture;

	setup(&fixture);
	snapshotter = config_snapshotter_create(fixture.plog, &policy);
	config_snapshotter_check(snapshotter, &fixture.fold, 0, 1, 0);
	publish(&fixture, 1, "{\"a\":1}");
	publish(&fixture, 2, "{\"b\":2}");
	config_snapshotter_check(snapshotter, &fixture.fold, 0, 1, 0);
	ck_assert_uint_eq(fixture.counters.log_appends_total, 0);
	/* The first patch expires in the log, so only this node still has it.
	 * The response to the append is lost, but the snapshot is stored. */
	fixture.oldest_offset = 1;
	fixture.drop_response = true;
	config_snapshotter_check(snapshotter, &fixture.fold, 1, 1, 0);
	config_snapshotter_check(snapshotter, &fixture.fold, 1, 1, 0);
	ck_assert_uint_eq(fixture.counters.log_appends_total, 1);
	wait_for_records(&fixture, 3);
	ck_assert_uint_eq(fixture.fold.snapshot_end_offset, 2);
	config_snapshotter_check(snapshotter, &fixture.fold, 1, INT64_MAX, 0);
	ck_assert_uint_eq(fixture.counters.log_appends_total, 1);
	config_snapshotter_destroy(snapshotter);
	/* A new node can only read the snapshot and what follows. */
	fixture.oldest_offset = 2;
	config_fold_reset(&fixture.fold);
	config_fold_init(&fixture.fold);
	read_to_end(&fixture);
	ck_assert(fixture.fold.complete);
	ck_assert_uint_eq(fixture.fold.version, 2);
	ck_assert_ptr_nonnull(config_fold_find_record(&fixture.fold, 1));
	teardown(&fixture);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    new_node_gets_whole_history_from_snapshot,
	};

	return run_tests(
	    "config-keeper", tests, sizeof(tests) / sizeof(tests[0]));
}
