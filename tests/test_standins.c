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

static json_t *
create_messages(const char *content)
{
	return json_pack("[{s:s, s:s}]", "role", "user", "content", content);
}

START_TEST(prompt_extends_previous_prompt_and_answer)
{
	json_t *messages = create_messages("first");
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
generate_answer(const char *content, const char *model, struct buf *out)
{
	json_t *messages = create_messages(content);
	struct buf prompt = {0};

	ck_assert(text_render(messages, &prompt));
	text_answer(messages, &prompt, model, 12, out);
	ck_assert_uint_eq(text_tokens(out->len), 12);
	json_decref(messages);
	buf_reset(&prompt);
}

START_TEST(answer_depends_on_message_content)
{
	struct buf a = {0};
	struct buf again = {0};
	struct buf b = {0};

	generate_answer("a", "m", &a);
	generate_answer("a", "m", &again);
	generate_answer("b", "m", &b);
	ck_assert_mem_eq(a.data, again.data, a.len);
	ck_assert_mem_ne(a.data, b.data, 16);
	ck_assert_mem_ne(a.data + 16, b.data + 16, a.len - 16);
	buf_reset(&a);
	buf_reset(&again);
	buf_reset(&b);
}
END_TEST

START_TEST(directives_are_read_from_last_message)
{
	struct text_directives directives;
	json_t *messages = create_messages(
	    "x ANSWER_TOKENS:7 CALL_TOOL:invoice {\"id\": 3} and more");

	text_read_directives(messages, &directives);
	ck_assert_uint_eq(directives.answer_tokens, 7);
	ck_assert_str_eq(directives.tool, "invoice");
	ck_assert_str_eq(directives.arguments, "{\"id\":3}");
	text_directives_reset(&directives);
	json_array_append_new(messages,
	    json_pack("{s:s, s:s}", "role", "tool", "content", "done"));
	text_read_directives(messages, &directives);
	ck_assert_str_eq(directives.tool, "");
	ck_assert_uint_eq(directives.answer_tokens, 0);
	json_decref(messages);
}
END_TEST

static struct cache_sequence
pin_blocks(struct engine_cache *cache, const char *program, uint64_t first,
    size_t count)
{
	struct cache_sequence sequence = {0};

	memcpy(sequence.program, program, strlen(program) + 1);
	for (size_t i = 0; i < count; i++)
		ck_assert(engine_cache_extend(cache, &sequence, first + i));
	return sequence;
}

static size_t
count_cached(const struct engine_cache *cache, uint64_t first, size_t count)
{
	uint64_t hashes[16];
	size_t unpinned;

	for (size_t i = 0; i < count; i++)
		hashes[i] = first + i;
	return engine_cache_match(cache, hashes, count, &unpinned);
}

START_TEST(cache_evicts_least_recently_used_blocks)
{
	struct engine_cache *cache = engine_cache_create(8);
	struct cache_sequence a = pin_blocks(cache, "a", 100, 4);
	struct cache_sequence b = pin_blocks(cache, "b", 200, 4);
	struct cache_sequence c = {0};

	ck_assert(!engine_cache_extend(cache, &c, 300));
	engine_cache_end(cache, &a);
	engine_cache_end(cache, &b);
	c = pin_blocks(cache, "c", 300, 3);
	ck_assert_uint_eq(count_cached(cache, 100, 4), 1);
	ck_assert_uint_eq(count_cached(cache, 200, 4), 4);
	ck_assert_uint_eq(engine_cache_held(cache, "a"), 1);
	engine_cache_end(cache, &c);
	engine_cache_destroy(cache);
}
END_TEST

START_TEST(release_keeps_blocks_of_other_programs)
{
	struct engine_cache *cache = engine_cache_create(16);
	struct cache_sequence a = pin_blocks(cache, "a", 100, 4);
	struct cache_sequence b = pin_blocks(cache, "b", 100, 2);

	engine_cache_end(cache, &b);
	engine_cache_mark_ended(cache, "a");
	ck_assert_uint_eq(engine_cache_held_by_ended(cache), 4);
	a.released = true;
	ck_assert_uint_eq(engine_cache_release(cache, "a"), 4);
	ck_assert_uint_eq(engine_cache_held_by_ended(cache), 0);
	ck_assert_uint_eq(count_cached(cache, 100, 4), 4);
	engine_cache_end(cache, &a);
	ck_assert_uint_eq(count_cached(cache, 100, 4), 2);
	ck_assert_uint_eq(engine_cache_release(cache, "b"), 2);
	ck_assert_uint_eq(engine_cache_usage(cache).cached, 0);
	engine_cache_destroy(cache);
}
END_TEST

START_TEST(exported_blocks_can_be_imported)
{
	struct engine_cache *from = engine_cache_create(8);
	struct engine_cache *to = engine_cache_create(8);
	struct cache_sequence a = pin_blocks(from, "a", 100, 5);
	struct cache_change change;
	uint64_t *hashes;
	size_t count;

	engine_cache_end(from, &a);
	count = engine_cache_hashes(from, "a", &hashes);
	ck_assert_uint_eq(count, 5);
	ck_assert_uint_eq(engine_cache_import(to, "a", hashes, count), 5);
	ck_assert_uint_eq(count_cached(to, 100, 5), 5);
	ck_assert(engine_cache_next_change(to, &change));
	ck_assert_uint_eq(change.stored, 5);
	ck_assert_uint_eq(change.held, 5);
	ck_assert(!engine_cache_next_change(to, &change));
	free(hashes);
	engine_cache_destroy(from);
	engine_cache_destroy(to);
}
END_TEST

enum {
	MAX_IDS = 256,
};

/** Results of requests, indexed by request id. Times are virtual. */
struct outcome {
	int64_t first_token_us[MAX_IDS];
	int64_t finished_us[MAX_IDS];
	uint64_t produced_tokens[MAX_IDS];
	uint64_t cached_tokens[MAX_IDS];
	size_t finished; /**< number of finished requests */
};

static struct engine_core *
create_core(uint64_t kv_tokens, size_t max_running)
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

/* Submits a request. Requests with the same `content` have the same block
 * hashes. */
static enum engine_submit_result
submit(struct engine_core *core, uint64_t id, int64_t priority,
    uint64_t content, uint64_t prompt_tokens, uint64_t answer_tokens,
    int64_t now_us)
{
	uint64_t hashes[256];
	struct engine_request request = {
	    .id = id,
	    .priority = priority,
	    .prompt_tokens = prompt_tokens,
	    .answer_tokens = answer_tokens,
	    .hashes = hashes,
	    .hash_count = (prompt_tokens + answer_tokens) / TEXT_BLOCK_TOKENS,
	};

	for (size_t i = 0; i < request.hash_count; i++)
		hashes[i] = (content << 32) + i;
	memcpy(request.program, "p", 2);
	return engine_core_submit(core, &request, now_us);
}

/* Completes one step and records its events. Returns false if the engine is
 * idle. */
static bool
run_step(struct engine_core *core, struct outcome *outcome)
{
	int64_t now_us = engine_core_next_us(core);
	struct engine_event event;
	struct engine_load load;

	if (now_us == INT64_MAX)
		return false;
	engine_core_advance(core, now_us);
	while (engine_core_next_event(core, &event)) {
		if (event.produced_tokens == 1 && event.type == ENGINE_TOKEN)
			outcome->first_token_us[event.id] = now_us;
		outcome->produced_tokens[event.id] = event.produced_tokens;
		outcome->cached_tokens[event.id] = event.cached_tokens;
		if (event.type != ENGINE_FINISHED)
			continue;
		outcome->finished_us[event.id] = now_us;
		outcome->finished++;
	}
	engine_core_measure(core, now_us, &load);
	ck_assert_uint_le(load.kv_used_tokens, load.kv_tokens);
	return true;
}

START_TEST(step_duration_depends_on_tokens)
{
	struct engine_core *core = create_core(6400, 8);
	struct outcome outcome = {0};

	submit(core, 1, 0, 1, 128, 3, 0);
	while (run_step(core, &outcome))
		;
	/* Two steps with 64 prompt tokens each. The second one also generates
	 * the first token. */
	ck_assert_int_eq(outcome.first_token_us[1], 148000);
	ck_assert_int_eq(
	    outcome.finished_us[1], outcome.first_token_us[1] + 20000);
	submit(core, 2, 0, 1, 128, 3, 1000000);
	while (run_step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.cached_tokens[2], 112);
	ck_assert_int_eq(outcome.first_token_us[2], 1000000 + 16000 + 10000);
	engine_core_destroy(core);
}
END_TEST

START_TEST(waiting_requests_start_by_priority_then_arrival)
{
	struct engine_core *core = create_core(6400, 1);
	struct outcome outcome = {0};

	submit(core, 1, 5, 1, 16, 2, 0);
	submit(core, 2, 5, 2, 16, 2, 0);
	submit(core, 3, 1, 3, 16, 2, 0);
	submit(core, 4, 5, 4, 16, 2, 0);
	while (run_step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.finished, 4);
	ck_assert_int_lt(outcome.finished_us[1], outcome.finished_us[3]);
	ck_assert_int_lt(outcome.finished_us[3], outcome.finished_us[2]);
	ck_assert_int_lt(outcome.finished_us[2], outcome.finished_us[4]);
	engine_core_destroy(core);
}
END_TEST

START_TEST(mixed_load_finishes_within_kv_memory)
{
	struct engine_core *core = create_core(1600, 4);
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
	while (run_step(core, &outcome))
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

START_TEST(cancelled_or_stalled_request_generates_no_tokens)
{
	struct engine_core *core = create_core(320, 4);
	struct outcome outcome = {0};
	struct engine_load load;

	ck_assert_int_eq(submit(core, 9, 0, 9, 300, 21, 0), ENGINE_TOO_LONG);
	submit(core, 1, 0, 1, 150, 10, 0);
	submit(core, 2, 0, 2, 300, 10, 0);
	engine_core_stall(core, 1);
	while (run_step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.produced_tokens[1], 0);
	ck_assert(engine_core_cancel(core, 1, 500000));
	ck_assert(!engine_core_cancel(core, 1, 500000));
	while (run_step(core, &outcome))
		;
	ck_assert_uint_eq(outcome.produced_tokens[2], 10);
	engine_core_measure(core, 0, &load);
	ck_assert_uint_eq(load.kv_used_tokens, 0);
	engine_core_destroy(core);
}
END_TEST

START_TEST(full_queue_refuses_requests)
{
	struct engine_core *core = create_core(6400, 1);

	for (uint64_t id = 1; id <= 101; id++)
		ck_assert_int_eq(
		    submit(core, id, 0, id, 16, 1, 0), ENGINE_ACCEPTED);
	ck_assert_int_eq(submit(core, 102, 0, 102, 16, 1, 0), ENGINE_BUSY);
	engine_core_destroy(core);
}
END_TEST

START_TEST(load_reports_are_delayed)
{
	const struct engine_telemetry_options options = {.load_lag_us = 100};
	struct engine_telemetry *telemetry = engine_telemetry_create(&options);

	ck_assert_uint_eq(engine_telemetry_load(telemetry, 0).running, 0);
	for (int64_t i = 1; i <= 50; i++) {
		const struct engine_load load = {
		    .measured_us = 10 * i,
		    .running = (size_t)i,
		};

		engine_telemetry_add_load(telemetry, &load);
	}
	ck_assert_uint_eq(engine_telemetry_load(telemetry, 405).running, 30);
	ck_assert_uint_eq(engine_telemetry_load(telemetry, 10000).running, 50);
	engine_telemetry_destroy(telemetry);
}
END_TEST

START_TEST(events_are_delayed_and_losses_leave_gaps)
{
	const struct engine_telemetry_options options = {
	    .event_lag_us = 100,
	    .event_loss = 0.5,
	    .seed = 3,
	};
	struct engine_telemetry *telemetry = engine_telemetry_create(&options);
	json_int_t number;
	json_int_t last = 0;
	json_t *response;
	json_t *event;
	size_t index;
	size_t seen;

	for (int i = 0; i < 200; i++)
		engine_telemetry_add_event(telemetry, "stored", "p", 16, 16, i);
	response = engine_telemetry_events(telemetry, 0, 199);
	json_array_foreach (json_object_get(response, "events"), index, event) {
		number = json_integer_value(json_object_get(event, "number"));
		ck_assert_int_gt(number, last);
		last = number;
	}
	seen = json_array_size(json_object_get(response, "events"));
	ck_assert_int_le(last, 100);
	ck_assert_uint_gt(seen, 0);
	ck_assert_uint_lt(seen, (size_t)last);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(response, "last")), last);
	json_decref(response);
	engine_telemetry_destroy(telemetry);
}
END_TEST

static const struct plog_record three_records[] = {
    {.data = (const uint8_t *)"aa", .len = 2},
    {.data = (const uint8_t *)"bbbb", .len = 4},
    {.data = (const uint8_t *)"c", .len = 1},
};

START_TEST(stream_keeps_order_and_limits_read_size)
{
	const struct log_store_options options = {0};
	struct log_store *store = log_store_create(&options);
	struct plog_read read;
	uint64_t first = 9;

	ck_assert(log_store_append(store, "s", three_records, 3, 0, &first));
	ck_assert_uint_eq(first, 0);
	ck_assert(log_store_append(store, "s", three_records, 3, 0, &first));
	ck_assert_uint_eq(first, 3);
	log_store_read(store, "s", 1, 5, 0, &read);
	ck_assert_uint_eq(read.end_offset, 6);
	ck_assert_uint_eq(read.count, 2);
	ck_assert_uint_eq(read.records[1].offset, 2);
	ck_assert_mem_eq(read.records[1].data, "c", 1);
	log_store_read(store, "s", 1, 1, 0, &read);
	ck_assert_uint_eq(read.count, 1);
	log_store_read(store, "other", 5, 1, 0, &read);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.end_offset, 0);
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
		ck_assert(
		    log_store_append(store, "a", three_records, 1, 0, &first));
	ck_assert(
	    !log_store_append(store, "b", three_records, 1, 9000, &first));
	ck_assert(
	    log_store_append(store, "b", three_records, 1, 10001, &first));
	ck_assert_uint_eq(first, 0);
	ck_assert(
	    !log_store_append(store, "a", three_records, 1, 10001, &first));
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
		log_store_append(store, "s", three_records, 3, i, &first);
	log_store_read(store, "s", 259, 100, 99, &read);
	ck_assert_int_eq(read.status, PLOG_EXPIRED);
	ck_assert_uint_eq(read.oldest_offset, 260);
	ck_assert_uint_eq(read.count, 0);
	log_store_read(store, "s", 290, 100, 198, &read);
	ck_assert_int_eq(read.status, PLOG_EXPIRED);
	ck_assert_uint_eq(read.oldest_offset, 294);
	log_store_read(store, "s", 300, 100, 300, &read);
	ck_assert_int_eq(read.status, PLOG_OK);
	ck_assert_uint_eq(read.oldest_offset, 300);
	ck_assert_uint_eq(read.end_offset, 300);
	log_store_destroy(store);
}
END_TEST

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
visible_count(struct vm_list *list, int64_t now_us)
{
	json_t *response = vm_list_show(list, now_us);
	size_t count = json_array_size(json_object_get(response, "vms"));

	json_decref(response);
	return count;
}

START_TEST(vm_list_shows_changes_after_lag)
{
	struct vm_list *list = vm_list_create(100);
	json_t *entry = json_pack("{s:s, s:i, s:s, s:s, s:s}", "address",
	    "127.0.0.1", "port", 1, "failure_domain", "a", "region", "r",
	    "state", "leaving");
	struct error err = {0};

	ck_assert(vm_list_put(list, "v", entry, 0, &err));
	ck_assert_uint_eq(visible_count(list, 99), 0);
	ck_assert_uint_eq(visible_count(list, 100), 1);
	vm_list_remove(list, "v", 150);
	ck_assert_uint_eq(visible_count(list, 249), 1);
	ck_assert_uint_eq(visible_count(list, 250), 0);
	json_object_set_new(entry, "state", json_string("asleep"));
	ck_assert(!vm_list_put(list, "v", entry, 300, &err));
	ck_assert_uint_eq(vm_list_pending(list), 0);
	json_decref(entry);
	vm_list_destroy(list);
}
END_TEST

START_TEST(fields_are_set_all_or_none)
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
	    prompt_extends_previous_prompt_and_answer,
	    answer_depends_on_message_content,
	    directives_are_read_from_last_message,
	    cache_evicts_least_recently_used_blocks,
	    release_keeps_blocks_of_other_programs,
	    exported_blocks_can_be_imported,
	    step_duration_depends_on_tokens,
	    waiting_requests_start_by_priority_then_arrival,
	    mixed_load_finishes_within_kv_memory,
	    cancelled_or_stalled_request_generates_no_tokens,
	    full_queue_refuses_requests,
	    load_reports_are_delayed,
	    events_are_delayed_and_losses_leave_gaps,
	    stream_keeps_order_and_limits_read_size,
	    appends_beyond_the_rate_are_refused,
	    old_records_expire,
	    runs_are_counted_by_action_and_key,
	    vm_list_shows_changes_after_lag,
	    fields_are_set_all_or_none,
	};

	return run_tests("standins", tests, sizeof(tests) / sizeof(tests[0]));
}
