#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/dependency.h"
#include "gateway/keyed_writer.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine_internal.h"
#include "platform/store.h"

enum {
	READ_TIMEOUT_US = 1 * US_PER_S,
	RETRY_MS = 300,
	RETRY_JITTER_MS = 200,
	ADD_GATHER_MS = 20,
	/* For each gateway, before a run of a request that is under no
	 * suspicion is written: all of them together make a quarter of the
	 * appends that the store takes, however many callers leave. */
	FIRST_GATHER_MS = 5,
	/* Time for the crash to be written before. */
	REMOVE_GATHER_MS = 500,
	/* A record that is older tells nothing any more. */
	KEEP_WALL_US = 600 * US_PER_S,
	/* After an outage of the store live servers have registered again this
	 * long after the list could be read. */
	ABSENT_US = 3 * US_PER_S,
};

/* A record for each run that has to outlive its gateway, with the key
 * FINGERPRINT.EPOCH.CRASH and the value "ROUND SERVER STARTED NOTED VM". Times
 * are in milliseconds of the wall clock. */
static const char TOPIC_RUNS[] = "keyed.runs";

struct quarantine_runs {
	struct quarantine *quarantine;
	struct store_call *call;
	uv_timer_t *timer;
	struct keyed_writer *writer;
	struct store_cursor cursor; /**< pages read so far */
	bool read_failed;
	int64_t failed_since_us;
	size_t adopted;
};

static void read_page(struct quarantine_runs *runs);

static void
write_record(struct quarantine_runs *runs, const struct unfinished_run *run,
    const char *value, uint64_t gather_ms)
{
	struct gateway *gateway = runs->quarantine->gateway;
	char key[NAME_BYTES];

	snprintf(key, sizeof(key), "%016" PRIx64 ".%" PRIu32 ".%016" PRIx64,
	    run->fingerprint, run->epoch, unfinished_crash(&run->start));
	if (!keyed_writer_put(runs->writer, key, value, gather_ms))
		gateway->counters.suspect_records_dropped_total++;
}

void
quarantine_runs_remove(
    struct quarantine_runs *runs, const struct unfinished_run *run)
{
	write_record(runs, run, "", REMOVE_GATHER_MS);
}

static uint64_t
gather_ms(const struct quarantine_runs *runs, const struct unfinished_run *run)
{
	const struct suspect *suspect =
	    suspects_find(&runs->quarantine->suspects, run->fingerprint);
	size_t known;
	size_t live;

	if (run->spread || (suspect != NULL && suspect->crash_count > 0))
		return ADD_GATHER_MS;
	peer_gateways_count(
	    runs->quarantine->gateway->peer_gateways, &known, &live);
	return ADD_GATHER_MS + live * FIRST_GATHER_MS;
}

static void
add_record(struct quarantine_runs *runs, const struct unfinished_run *run)
{
	struct gateway *gateway = runs->quarantine->gateway;
	char value[KEYED_WRITER_VALUE_BYTES];

	snprintf(value, sizeof(value),
	    "%" PRIu32 " %016" PRIx64 " %" PRId64 " %" PRId64 " %.63s",
	    run->round, run->start.server, run->start.started_wall_ms,
	    clock_wall_us() / US_PER_MS, gateway->settings.vm_name);
	write_record(runs, run, value, gather_ms(runs, run));
	gateway->counters.suspect_runs_recorded_total++;
}

static void
record_new(struct quarantine_runs *runs)
{
	struct quarantine *quarantine = runs->quarantine;
	int64_t now_us = clock_monotonic_us();
	struct unfinished_run *run;
	size_t cursor = 0;

	while ((run = unfinished_next_unrecorded(
		    &quarantine->unfinished, &cursor)) != NULL) {
		struct suspect_crash crash;

		if (!suspects_must_record(&quarantine->suspects,
			&quarantine->unfinished, run, &crash, now_us))
			continue;
		run->recorded = true;
		run->epoch = crash.epoch;
		run->round = crash.round;
		add_record(runs, run);
	}
}

/* Returns whether the list shows that a server's start has ended, and how. */
static const char *
sign_of_end(
    const struct quarantine *quarantine, const struct server_start *start)
{
	const struct backend *backend = backends_find_hash(
	    &quarantine->gateway->blackboard.backends, start->server);

	if (quarantine->listed_since_us == INT64_MAX)
		return NULL;
	if (backend != NULL && backend->digest != 0)
		return backend->entry.started_wall_ms > start->started_wall_ms
		    ? "new start in the list"
		    : NULL;
	return clock_monotonic_us() - quarantine->listed_since_us >= ABSENT_US
	    ? "not in the list"
	    : NULL;
}

static void
check_adopted(struct quarantine_runs *runs)
{
	struct quarantine *quarantine = runs->quarantine;
	const struct server_start *found;
	size_t cursor = 0;

	while ((found = unfinished_next_adopted(
		    &quarantine->unfinished, &cursor)) != NULL) {
		const struct server_start start = *found;
		const char *sign = sign_of_end(quarantine, &start);

		if (sign != NULL)
			quarantine_note_crashes(quarantine, &start, NULL, sign);
	}
}

void
quarantine_runs_tick(struct quarantine_runs *runs)
{
	struct unfinished_run run;

	check_adopted(runs);
	/* A further run of a request at a server has a record of its own, which
	 * may have the same key. */
	while (unfinished_take_released(&runs->quarantine->unfinished, &run)) {
		if (quarantine_counts_here(runs->quarantine, &run))
			quarantine_runs_remove(runs, &run);
	}
	record_new(runs);
}

static void
handle_item(struct quarantine_runs *runs, const struct store_item *item)
{
	struct quarantine *quarantine = runs->quarantine;
	int64_t now_us = clock_monotonic_us();
	struct unfinished_run run = {
	    .sent_us = INT64_MIN,
	    .ended_us = now_us,
	    .ran_until_us = now_us,
	    .recorded = true,
	    .adopted = true,
	};
	char text[KEYED_WRITER_VALUE_BYTES];
	char vm[NAME_BYTES];
	int64_t noted_wall_ms;

	snprintf(text, sizeof(text), "%.*s", (int)item->value.len,
	    (const char *)item->value.data);
	if (sscanf(item->key, "%16" SCNx64 ".%" SCNu32, &run.fingerprint,
		&run.epoch) != 2 ||
	    run.fingerprint == 0 ||
	    sscanf(text,
		"%" SCNu32 " %16" SCNx64 " %" SCNd64 " %" SCNd64 " %63s",
		&run.round, &run.start.server, &run.start.started_wall_ms,
		&noted_wall_ms, vm) != 5) {
		diag(LOG_NOTICE, NULL, "store: %s: malformed record \"%s\"",
		    TOPIC_RUNS, item->key);
		return;
	}
	if (clock_wall_us() / US_PER_MS - noted_wall_ms >
	    KEEP_WALL_US / US_PER_MS) {
		quarantine_runs_remove(runs, &run);
		return;
	}
	run.shared = strcmp(vm, quarantine->gateway->settings.vm_name) != 0;
	unfinished_adopt(&quarantine->unfinished, &run);
	runs->adopted++;
}

static void
handle_timer(uv_timer_t *timer)
{
	read_page(timer->data);
}

static void
handle_failure(struct quarantine_runs *runs, enum store_status status)
{
	uv_timer_start(runs->timer, handle_timer,
	    RETRY_MS +
		rng_below(&runs->quarantine->gateway->rng, RETRY_JITTER_MS),
	    0);
	if (runs->read_failed)
		return;
	runs->read_failed = true;
	runs->failed_since_us = clock_monotonic_us();
	dependency_trace_unreachable("store/runs", status);
}

static void
trace_adopted(const struct quarantine_runs *runs)
{
	struct trace trace;

	if (runs->adopted == 0)
		return;
	trace_begin(&trace, "unfinished_runs_adopted");
	trace_number(&trace, "runs", (int64_t)runs->adopted);
	trace_end(&trace);
}

static void
handle_page(void *context, const struct store_newest *newest)
{
	struct quarantine_runs *runs = context;

	runs->call = NULL;
	if (newest->status != STORE_OK) {
		handle_failure(runs, newest->status);
		return;
	}
	if (runs->read_failed)
		dependency_trace_recovered(
		    "store/runs", clock_monotonic_us() - runs->failed_since_us);
	runs->read_failed = false;
	for (size_t i = 0; i < newest->count; i++)
		handle_item(runs, &newest->items[i]);
	if (newest->next == STORE_NEXT_PAGE)
		read_page(runs);
	else
		trace_adopted(runs);
}

static void
read_page(struct quarantine_runs *runs)
{
	runs->call = store_newest(runs->quarantine->gateway->store, TOPIC_RUNS,
	    &runs->cursor, READ_TIMEOUT_US, handle_page, runs);
}

struct quarantine_runs *
quarantine_runs_create(struct quarantine *quarantine)
{
	struct quarantine_runs *runs = xcalloc(1, sizeof(*runs));

	runs->quarantine = quarantine;
	runs->timer = xcalloc(1, sizeof(*runs->timer));
	uv_timer_init(&quarantine->gateway->loop, runs->timer);
	runs->timer->data = runs;
	runs->writer = keyed_writer_create(quarantine->gateway, TOPIC_RUNS);
	read_page(runs);
	return runs;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
quarantine_runs_destroy(struct quarantine_runs *runs)
{
	if (runs->call != NULL)
		store_cancel(runs->call);
	uv_close((uv_handle_t *)runs->timer, handle_timer_closed);
	keyed_writer_destroy(runs->writer);
	free(runs);
}
