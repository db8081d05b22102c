#include <check.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "standins/engine_core.h"
#include "standins/engine_telemetry.h"
#include "standins/fields.h"
#include "standins/log_store.h"
#include "standins/runs.h"
#include "standins/text.h"
#include "standins/vm_list.h"
#include "tests/runner.h"

/* ---- text ---- */

static json_t *
messages_of(const char *content)
{
	return json_pack("[{s:s, s:s}]", "role", "user", "content", content);
}

START_TEST(a_turn_begins_with_the_last_one)
{
	json_t *messages = messages_of("first");
	struct buf before = {0};
	struct buf after = {0};

	ck_assert(text_render(messages, &before));
	text_answer(messages, &before, "m", 20, &before);
	json_array_append_new(messages,
	    json_pack("{s:s, s:s%}", "role", "assistant", "content",
		(char *)before.data + before.len - 80, (size_t)80));
	json_array_append_new(messages,
	    json_pack("{s:s, s:s}", "role", "user", "content", "second"));
	ck_assert(text_render(messages, &after));
	ck_assert_uint_gt(after.len, before.len);
	ck_assert_mem_eq(after.data, before.data, before.len);
	json_decref(messages);
	buf_reset(&before);
	buf_reset(&after);
}
END_TEST

static void
answer_to(const char *content, const char *model, struct buf *out)
{
	json_t *messages = messages_of(content);
	struct buf prompt = {0};

	ck_assert(text_render(messages, &prompt));
	text_answer(messages, &prompt, model, 12, out);
	ck_assert_uint_eq(text_tokens(out->len), 12);
	json_decref(messages);
	buf_reset(&prompt);
}

START_TEST(answers_tell_their_request)
{
	struct buf a = {0};
	struct buf again = {0};
	struct buf b = {0};

	answer_to("a", "m", &a);
	answer_to("a", "m", &again);
	answer_to("b", "m", &b);
	ck_assert_mem_eq(a.data, again.data, a.len);
	ck_assert_mem_ne(a.data, b.data, 16);
	ck_assert_mem_ne(a.data + 16, b.data + 16, a.len - 16);
	buf_reset(&a);
	buf_reset(&again);
	buf_reset(&b);
}
END_TEST

START_TEST(the_last_message_gives_orders)
{
	struct text_directives order;
	json_t *messages = messages_of(
	    "x ANSWER_TOKENS:7 CALL_TOOL:invoice {\"id\": 3} and more");

	text_read_directives(messages, &order);
	ck_assert_uint_eq(order.answer_tokens, 7);
	ck_assert_str_eq(order.tool, "invoice");
	ck_assert_str_eq(order.arguments, "{\"id\":3}");
	text_directives_reset(&order);
	json_array_append_new(messages,
	    json_pack("{s:s, s:s}", "role", "tool", "content", "done"));
	text_read_directives(messages, &order);
	ck_assert_str_eq(order.tool, "");
	ck_assert_uint_eq(order.answer_tokens, 0);
	json_decref(messages);
}
END_TEST

/* ---- cache ---- */

static struct cache_sequence
use(struct engine_cache *cache, const char *program, uint64_t first,
    size_t count)
{
	struct cache_sequence sequence = {0};

	memcpy(sequence.program, program, strlen(program) + 1);
	for (size_t i = 0; i < count; i++)
		ck_assert(engine_cache_extend(cache, &sequence, first + i));
	return sequence;
}

static size_t
cached(const struct engine_cache *cache, uint64_t first, size_t count)
{
	uint64_t hashes[16];
	size_t unpinned;

	for (size_t i = 0; i < count; i++)
		hashes[i] = first + i;
	return engine_cache_match(cache, hashes, count, &unpinned);
}

START_TEST(the_cache_evicts_what_was_used_least_recently)
{
	struct engine_cache *cache = engine_cache_create(8);
	struct cache_sequence a = use(cache, "a", 100, 4);
	struct cache_sequence b = use(cache, "b", 200, 4);
	struct cache_sequence c = {0};

	ck_assert(!engine_cache_extend(cache, &c, 300));
	engine_cache_end(cache, &a);
	engine_cache_end(cache, &b);
	c = use(cache, "c", 300, 3);
	ck_assert_uint_eq(cached(cache, 100, 4), 1);
	ck_assert_uint_eq(cached(cache, 200, 4), 4);
	ck_assert_uint_eq(engine_cache_held(cache, "a"), 1);
	engine_cache_end(cache, &c);
	engine_cache_destroy(cache);
}
END_TEST

START_TEST(a_release_spares_what_others_use)
{
	struct engine_cache *cache = engine_cache_create(16);
	struct cache_sequence a = use(cache, "a", 100, 4);
	struct cache_sequence b = use(cache, "b", 100, 2);

	engine_cache_end(cache, &b);
	engine_cache_mark_ended(cache, "a");
	ck_assert_uint_eq(engine_cache_held_by_ended(cache), 4);
	a.released = true;
	ck_assert_uint_eq(engine_cache_release(cache, "a"), 4);
	ck_assert_uint_eq(engine_cache_held_by_ended(cache), 0);
	ck_assert_uint_eq(cached(cache, 100, 4), 4);
	engine_cache_end(cache, &a);
	ck_assert_uint_eq(cached(cache, 100, 4), 2);
	ck_assert_uint_eq(engine_cache_release(cache, "b"), 2);
	ck_assert_uint_eq(engine_cache_usage(cache).cached, 0);
	engine_cache_destroy(cache);
}
END_TEST

START_TEST(an_export_is_found_where_it_is_imported)
{
	struct engine_cache *from = engine_cache_create(8);
	struct engine_cache *to = engine_cache_create(8);
	struct cache_sequence a = use(from, "a", 100, 5);
	struct cache_change change;
	uint64_t *hashes;
	size_t count;

	engine_cache_end(from, &a);
	count = engine_cache_hashes(from, "a", &hashes);
	ck_assert_uint_eq(count, 5);
	ck_assert_uint_eq(engine_cache_import(to, "a", hashes, count), 5);
	ck_assert_uint_eq(cached(to, 100, 5), 5);
	ck_assert(engine_cache_next_change(to, &change));
	ck_assert_uint_eq(change.stored, 5);
	ck_assert_uint_eq(change.held, 5);
	ck_assert(!engine_cache_next_change(to, &change));
	free(hashes);
	engine_cache_destroy(from);
	engine_cache_destroy(to);
}
END_TEST

/* ---- core ---- */

enum {
	MAX_IDS = 256,
};

/** What a run of the engine gave. */
struct outcome {
	int64_t first_us[MAX_IDS];
	int64_t end_us[MAX_IDS];
	uint64_t produced[MAX_IDS];
	uint64_t cached[MAX_IDS];
	size_t finished;
};

static struct engine_core *
core_of(uint64_t kv_tokens, size_t max_running)
{
	const struct engine_options options = {
	    .kv_tokens = kv_tokens,
	    .prefill_tokens_per_s = 1000,
	    .prefill_chunk_tokens = 64,
	    .step_us = 10000,
	    .max_running = max_running,
	    .max_waiting = 100,
	};

	return engine_core_create(&options);
}

/* Submits a request whose content is told by `content`. */
static enum engine_submit_result
submit(struct engine_core *core, uint64_t id, int64_t priority,
    uint64_t content, uint64_t prompt, uint64_t answer, int64_t now_us)
{
	uint64_t hashes[256];
	struct engine_request request = {
	    .id = id,
	    .priority = priority,
	    .prompt_tokens = prompt,
	    .answer_tokens = answer,
	    .hashes = hashes,
	    .hash_count = (prompt + answer) / TEXT_BLOCK_TOKENS,
	};

	for (size_t i = 0; i < request.hash_count; i++)
		hashes[i] = (content << 32) + i;
	memcpy(request.program, "p", 2);
	return engine_core_submit(core, &request, now_us);
}

/* Does one step; returns false when the engine is idle. */
static bool
step(struct engine_core *core, struct outcome *outcome)
{
	int64_t now_us = engine_core_next_us(core);
	struct engine_event event;
	struct engine_load load;

	if (now_us == INT64_MAX)
		return false;
	engine_core_advance(core, now_us);
	while (engine_core_next_event(core, &event)) {
		if (event.produced_tokens == 1 && event.type == ENGINE_TOKEN)
			outcome->first_us[event.id] = now_us;
		outcome->produced[event.id] = event.produced_tokens;
		outcome->cached[event.id] = event.cached_tokens;
		if (event.type != ENGINE_FINISHED)
			continue;
		outcome->end_us[event.id] = now_us;
		outcome->finished++;
	}
	engine_core_measure(core, now_us, &load);
	ck_assert_uint_le(load.kv_used_tokens, load.kv_tokens);
	return true;
}

START_TEST(steps_take_the_time_of_their_tokens)
{
	struct engine_core *core = core_of(6400, 8);
	struct outcome outcome = {0};

	submit(core, 1, 0, 1, 128, 3, 0);
	while (step(core, &outcome))
		;
	/* Two steps of 64 prompt tokens, the second with a token. */
	ck_assert_int_eq(outcome.first_us[1], 148000);
	ck_assert_int_eq(outcome.end_us[1], outcome.first_us[1] + 20000);
	submit(core, 2, 0, 1, 128, 3, 1000000);
	while (step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.cached[2], 112);
	ck_assert_int_eq(outcome.first_us[2], 1000000 + 16000 + 10000);
	engine_core_destroy(core);
}
END_TEST

START_TEST(waiting_requests_start_by_priority_then_arrival)
{
	struct engine_core *core = core_of(6400, 1);
	struct outcome outcome = {0};

	submit(core, 1, 5, 1, 16, 2, 0);
	submit(core, 2, 5, 2, 16, 2, 0);
	submit(core, 3, 1, 3, 16, 2, 0);
	submit(core, 4, 5, 4, 16, 2, 0);
	while (step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.finished, 4);
	ck_assert_int_lt(outcome.end_us[1], outcome.end_us[3]);
	ck_assert_int_lt(outcome.end_us[3], outcome.end_us[2]);
	ck_assert_int_lt(outcome.end_us[2], outcome.end_us[4]);
	engine_core_destroy(core);
}
END_TEST

START_TEST(a_mixed_load_finishes_within_the_memory)
{
	struct engine_core *core = core_of(1600, 4);
	struct outcome outcome = {0};
	struct engine_load load;
	struct rng rng;

	rng_init(&rng, 7);
	for (uint64_t id = 1; id <= 80; id++) {
		ck_assert_int_eq(
		    submit(core, id, (int64_t)rng_below(&rng, 3),
			rng_below(&rng, 5), 1 + rng_below(&rng, 900),
			1 + rng_below(&rng, 100), 0),
		    ENGINE_ACCEPTED);
	}
	while (step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.finished, 80);
	engine_core_measure(core, 0, &load);
	ck_assert_uint_eq(load.kv_used_tokens, 0);
	ck_assert_uint_eq(load.running + load.waiting, 0);
	engine_core_release(core, "p");
	engine_core_measure(core, 0, &load);
	ck_assert_uint_eq(load.kv_cached_tokens, 0);
	engine_core_destroy(core);
}
END_TEST

START_TEST(a_cancelled_or_stalled_request_makes_no_tokens)
{
	struct engine_core *core = core_of(320, 4);
	struct outcome outcome = {0};
	struct engine_load load;

	ck_assert_int_eq(submit(core, 9, 0, 9, 300, 21, 0), ENGINE_TOO_LONG);
	submit(core, 1, 0, 1, 150, 10, 0);
	submit(core, 2, 0, 2, 300, 10, 0);
	engine_core_stall(core, 1);
	while (step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.produced[1], 0);
	ck_assert(engine_core_cancel(core, 1, 500000));
	ck_assert(!engine_core_cancel(core, 1, 500000));
	while (step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.produced[2], 10);
	engine_core_measure(core, 0, &load);
	ck_assert_uint_eq(load.kv_used_tokens, 0);
	engine_core_destroy(core);
}
END_TEST

START_TEST(a_full_queue_is_busy)
{
	struct engine_core *core = core_of(6400, 1);

	for (uint64_t id = 1; id <= 101; id++)
		ck_assert_int_eq(
		    submit(core, id, 0, id, 16, 1, 0), ENGINE_ACCEPTED);
	ck_assert_int_eq(submit(core, 102, 0, 102, 16, 1, 0), ENGINE_BUSY);
	engine_core_destroy(core);
}
END_TEST

/* ---- feed ---- */

START_TEST(load_reports_are_old)
{
	const struct engine_telemetry_options options = {.load_lag_us = 100};
	struct engine_telemetry *feed = engine_telemetry_create(&options);

	ck_assert_uint_eq(engine_telemetry_load(feed, 0).running, 0);
	for (int64_t i = 1; i <= 50; i++) {
		const struct engine_load load = {
		    .measured_us = 10 * i,
		    .running = (size_t)i,
		};

		engine_telemetry_add_load(feed, &load);
	}
	ck_assert_uint_eq(engine_telemetry_load(feed, 405).running, 30);
	ck_assert_uint_eq(engine_telemetry_load(feed, 10000).running, 50);
	engine_telemetry_destroy(feed);
}
END_TEST

START_TEST(events_are_late_and_gaps_show)
{
	const struct engine_telemetry_options options = {
	    .event_lag_us = 100,
	    .event_loss = 0.5,
	    .seed = 3,
	};
	struct engine_telemetry *feed = engine_telemetry_create(&options);
	json_int_t number;
	json_int_t last = 0;
	json_t *answer;
	json_t *event;
	size_t index;
	size_t seen;

	for (int i = 0; i < 200; i++)
		engine_telemetry_add_event(feed, "stored", "p", 16, 16, i);
	answer = engine_telemetry_events(feed, 0, 199);
	json_array_foreach (json_object_get(answer, "events"), index, event) {
		number = json_integer_value(json_object_get(event, "number"));
		ck_assert_int_gt(number, last);
		last = number;
	}
	seen = json_array_size(json_object_get(answer, "events"));
	ck_assert_int_le(last, 100);
	ck_assert_uint_gt(seen, 0);
	ck_assert_uint_lt(seen, (size_t)last);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(answer, "last")), last);
	json_decref(answer);
	engine_telemetry_destroy(feed);
}
END_TEST

/* ---- log ---- */

static const struct plog_record three[] = {
    {.data = (const uint8_t *)"aa", .len = 2},
    {.data = (const uint8_t *)"bbbb", .len = 4},
    {.data = (const uint8_t *)"c", .len = 1},
};

START_TEST(a_stream_keeps_order_and_reads_by_size)
{
	const struct log_store_options options = {0};
	struct log_store *store = log_store_create(&options);
	struct plog_read read;
	uint64_t first = 9;

	ck_assert(log_store_append(store, "s", three, 3, 0, &first));
	ck_assert_uint_eq(first, 0);
	ck_assert(log_store_append(store, "s", three, 3, 0, &first));
	ck_assert_uint_eq(first, 3);
	log_store_read(store, "s", 1, 5, 0, &read);
	ck_assert_uint_eq(read.end, 6);
	ck_assert_uint_eq(read.count, 2);
	ck_assert_uint_eq(read.records[1].offset, 2);
	ck_assert_mem_eq(read.records[1].data, "c", 1);
	log_store_read(store, "s", 1, 1, 0, &read);
	ck_assert_uint_eq(read.count, 1);
	log_store_read(store, "other", 5, 1, 0, &read);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.end, 0);
	log_store_destroy(store);
}
END_TEST

START_TEST(appends_beyond_the_rate_are_refused)
{
	const struct log_store_options options = {
	    .appends_per_s = 100,
	    .append_burst = 3,
	};
	struct log_store *store = log_store_create(&options);
	uint64_t first;

	for (int i = 0; i < 3; i++)
		ck_assert(log_store_append(store, "a", three, 1, 0, &first));
	ck_assert(!log_store_append(store, "b", three, 1, 9000, &first));
	ck_assert(log_store_append(store, "b", three, 1, 10001, &first));
	ck_assert_uint_eq(first, 0);
	ck_assert(!log_store_append(store, "a", three, 1, 10001, &first));
	log_store_destroy(store);
}
END_TEST

START_TEST(old_records_expire)
{
	const struct log_store_options options = {
	    .retention_us = 100,
	    .retention_records = 40,
	};
	struct log_store *store = log_store_create(&options);
	struct plog_read read;
	uint64_t first;

	for (int i = 0; i < 100; i++)
		log_store_append(store, "s", three, 3, i, &first);
	log_store_read(store, "s", 259, 100, 99, &read);
	ck_assert_int_eq(read.status, PLOG_EXPIRED);
	ck_assert_uint_eq(read.first, 260);
	ck_assert_uint_eq(read.count, 0);
	log_store_read(store, "s", 290, 100, 198, &read);
	ck_assert_int_eq(read.status, PLOG_EXPIRED);
	ck_assert_uint_eq(read.first, 294);
	log_store_read(store, "s", 300, 100, 300, &read);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.first, 300);
	ck_assert_uint_eq(read.end, 300);
	log_store_destroy(store);
}
END_TEST

/* ---- runs, VM list, fields ---- */

START_TEST(runs_are_counted_by_action_and_key)
{
	struct runs *runs = runs_create();
	json_int_t repeated = -1;
	json_t *stats;

	ck_assert_uint_eq(runs_add(runs, "invoice", "k"), 1);
	ck_assert_uint_eq(runs_add(runs, "invoice", "k2"), 1);
	ck_assert_uint_eq(runs_add(runs, "search", "k"), 1);
	ck_assert_uint_eq(runs_add(runs, "search", "k"), 2);
	ck_assert_uint_eq(runs_count(runs, "search", "k"), 2);
	ck_assert_uint_eq(runs_count(runs, "search", "none"), 0);
	stats = runs_stats(runs);
	json_unpack(stats, "{s:I}", "repeated_once_only", &repeated);
	ck_assert_int_eq(repeated, 0);
	json_decref(stats);
	runs_add(runs, "invoice", "k");
	stats = runs_stats(runs);
	json_unpack(stats, "{s:I}", "repeated_once_only", &repeated);
	ck_assert_int_eq(repeated, 1);
	json_decref(stats);
	runs_destroy(runs);
}
END_TEST

static size_t
shown(struct vm_list *list, int64_t now_us)
{
	json_t *answer = vm_list_show(list, now_us);
	size_t count = json_array_size(json_object_get(answer, "vms"));

	json_decref(answer);
	return count;
}

START_TEST(the_vm_list_shows_changes_late)
{
	struct vm_list *list = vm_list_create(100);
	json_t *entry = json_pack("{s:s, s:i, s:s, s:s, s:s}", "address",
	    "127.0.0.1", "port", 1, "failure_domain", "a", "region", "r",
	    "state", "leaving");
	struct error err = {0};

	ck_assert(vm_list_put(list, "v", entry, 0, &err));
	ck_assert_uint_eq(shown(list, 99), 0);
	ck_assert_uint_eq(shown(list, 100), 1);
	vm_list_remove(list, "v", 150);
	ck_assert_uint_eq(shown(list, 249), 1);
	ck_assert_uint_eq(shown(list, 250), 0);
	json_object_set_new(entry, "state", json_string("asleep"));
	ck_assert(!vm_list_put(list, "v", entry, 300, &err));
	ck_assert_uint_eq(vm_list_pending(list), 0);
	json_decref(entry);
	vm_list_destroy(list);
}
END_TEST

START_TEST(fields_are_all_set_or_none)
{
	int64_t number = 1;
	char *text = NULL;
	const struct field fields[] = {
	    {"number", "N", "", FIELD_INTEGER, {.integer = &number}},
	    {"text", "T", "", FIELD_TEXT, {.text = &text}},
	};
	json_t *good = json_pack("{s:i, s:s}", "number", 5, "text", "x");
	json_t *bad = json_pack("{s:i, s:i}", "number", 7, "text", 3);
	struct error err = {0};

	ck_assert(!fields_set_json(fields, 2, bad, &err));
	ck_assert_int_eq(number, 1);
	ck_assert(fields_set_json(fields, 2, good, &err));
	ck_assert_int_eq(number, 5);
	ck_assert_str_eq(text, "x");
	ck_assert(!field_set_text(&fields[0], "-3", &err));
	ck_assert(!field_set_text(&fields[0], "3x", &err));
	ck_assert(field_set_text(&fields[0], "3", &err));
	ck_assert_int_eq(number, 3);
	fields_clear(fields, 2);
	ck_assert_int_eq(number, 0);
	ck_assert_ptr_null(text);
	json_decref(good);
	json_decref(bad);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    a_turn_begins_with_the_last_one,
	    answers_tell_their_request,
	    the_last_message_gives_orders,
	    the_cache_evicts_what_was_used_least_recently,
	    a_release_spares_what_others_use,
	    an_export_is_found_where_it_is_imported,
	    steps_take_the_time_of_their_tokens,
	    waiting_requests_start_by_priority_then_arrival,
	    a_mixed_load_finishes_within_the_memory,
	    a_cancelled_or_stalled_request_makes_no_tokens,
	    a_full_queue_is_busy,
	    load_reports_are_old,
	    events_are_late_and_gaps_show,
	    a_stream_keeps_order_and_reads_by_size,
	    appends_beyond_the_rate_are_refused,
	    old_records_expire,
	    runs_are_counted_by_action_and_key,
	    the_vm_list_shows_changes_late,
	    fields_are_all_set_or_none,
	};

	return run_tests("standins", tests, sizeof(tests) / sizeof(tests[0]));
}
