#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/path_watch.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine_internal.h"

enum {
	/* A server notices within this time that a connection was closed. */
	CLOSE_NOTICED_US = 500 * US_PER_MS,
	RUNS_MAX = 64,    /* requests under suspicion for one server's end */
	LISTED_MAX = 512, /* entries of a reply to another gateway */
};

struct quarantine *
quarantine_create(struct gateway *gateway)
{
	struct quarantine *quarantine = xcalloc(1, sizeof(*quarantine));

	quarantine->gateway = gateway;
	quarantine->suspects.started_us = clock_monotonic_us();
	quarantine->listed_since_us = INT64_MAX;
	list_init(&quarantine->probes);
	quarantine->store = quarantine_store_create(quarantine);
	quarantine->runs = quarantine_runs_create(quarantine);
	quarantine->watch = quarantine_watch_create(quarantine);
	return quarantine;
}

void
quarantine_destroy(struct quarantine *quarantine)
{
	quarantine_probe_cancel_all(quarantine);
	quarantine_watch_destroy(quarantine->watch);
	quarantine_runs_destroy(quarantine->runs);
	quarantine_store_destroy(quarantine->store);
	suspects_reset(&quarantine->suspects);
	free(quarantine);
}

/* Drops the runs at servers that live on, as the list shows. */
static void
drop_listed(struct quarantine *quarantine)
{
	int64_t now_us = clock_monotonic_us();
	struct trace trace;
	size_t dropped;

	if (!server_watch_is_current(quarantine->gateway->server_watch)) {
		quarantine->listed_since_us = INT64_MAX;
		return;
	}
	if (quarantine->listed_since_us == INT64_MAX)
		quarantine->listed_since_us = now_us;
	dropped = unfinished_drop_listed(
	    &quarantine->unfinished, quarantine->listed_since_us, now_us);
	if (dropped == 0)
		return;
	quarantine->gateway->counters.suspect_runs_dropped_total += dropped;
	trace_begin(&trace, "unfinished_runs_dropped");
	trace_number(&trace, "runs", (int64_t)dropped);
	trace_ms(&trace, "listed_ms", now_us - quarantine->listed_since_us);
	trace_end(&trace);
}

void
quarantine_tick(struct quarantine *quarantine)
{
	quarantine_probe_all(quarantine);
	quarantine_watch_tick(quarantine->watch);
	drop_listed(quarantine);
	quarantine_runs_tick(quarantine->runs);
}

enum quarantine_verdict
quarantine_judge(struct quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspicion suspicion = suspects_count(&quarantine->suspects,
	    &quarantine->unfinished, fingerprint, clock_monotonic_us());

	if (suspects_refuse(&quarantine->suspects, fingerprint))
		return QUARANTINE_REFUSE;
	if (suspects_hold(&suspicion)) {
		quarantine->gateway->counters.suspect_held_total++;
		return QUARANTINE_HOLD;
	}
	return suspects_one_at_a_time(&suspicion) ? QUARANTINE_ONE_AT_A_TIME
						  : QUARANTINE_SEND;
}

uint64_t
quarantine_digest(const struct quarantine *quarantine)
{
	return quarantine->suspects.digest +
	    unfinished_digest(&quarantine->unfinished);
}

static const char *
event_name(const struct suspect_crash *crash)
{
	switch (crash->crash) {
	case SUSPECT_EPOCH:
		return "suspicion_cleared";
	case SUSPECT_TRIAL:
		return "quarantine_trial";
	default:
		return "request_crashed_server";
	}
}

static void
trace_crash(const struct quarantine *quarantine,
    const struct suspect_crash *crash, const char *server, const char *source)
{
	const struct suspect *suspect =
	    suspects_find(&quarantine->suspects, crash->fingerprint);
	struct trace trace;

	trace_begin(&trace, event_name(crash));
	trace_hash(&trace, "fingerprint", crash->fingerprint);
	trace_text(&trace, "server", server);
	trace_text(&trace, "seen_by", source);
	trace_number(&trace, "epoch", crash->epoch);
	trace_number(&trace, "round", crash->round);
	trace_number(
	    &trace, "crashes", suspect != NULL ? suspect->crash_count : 0);
	trace_number(&trace, "held",
	    suspects_refuse(&quarantine->suspects, crash->fingerprint));
	trace_end(&trace);
}

static struct message_suspect_crash
encode(const struct suspect_crash *crash, int64_t now_us)
{
	return (struct message_suspect_crash){
	    .fingerprint = crash->fingerprint,
	    .epoch = crash->epoch,
	    .round = crash->round,
	    .crash = crash->crash,
	    .age_us = crash->crashed_us == INT64_MIN
		? -1
		: now_us - crash->crashed_us,
	};
}

/* Tells other gateways: all, or one if vm is not NULL. */
static void
send_crashes(struct quarantine *quarantine, const char *vm,
    const struct suspect_crash *crashes, size_t count)
{
	struct peer_gateways *peer_gateways =
	    quarantine->gateway->peer_gateways;
	struct message message = {.type = MESSAGE_SUSPECTS};
	int64_t now_us = clock_monotonic_us();
	struct message_suspect_crash *items =
	    xcalloc(count + 1, sizeof(*items));

	for (size_t i = 0; i < count; i++)
		items[i] = encode(&crashes[i], now_us);
	message.suspects.crashes = items;
	message.suspects.crash_count = count;
	message.suspects.is_reply = vm != NULL;
	if (vm != NULL)
		peer_gateways_send(peer_gateways, vm, &message);
	else
		peer_gateways_broadcast(peer_gateways, &message);
	free(items);
}

static bool
is_coordinator(const struct gateway *gateway, uint64_t fingerprint)
{
	return strcmp(peer_gateways_coordinator(
			  gateway->peer_gateways, fingerprint, ""),
		   gateway->settings.vm_name) == 0;
}

bool
quarantine_counts_here(
    const struct quarantine *quarantine, const struct unfinished_run *run)
{
	return !run->shared ||
	    is_coordinator(quarantine->gateway, run->fingerprint);
}

bool
quarantine_take_trial(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct gateway *gateway = quarantine->gateway;
	const struct suspicion suspicion = suspects_count(&quarantine->suspects,
	    &quarantine->unfinished, fingerprint, clock_monotonic_us());
	struct suspect_crash trial;

	if (!is_coordinator(gateway, fingerprint) ||
	    suspects_hold(&suspicion) ||
	    !suspects_take_trial(&quarantine->suspects, fingerprint, &trial,
		clock_monotonic_us()))
		return false;
	trace_crash(quarantine, &trial, NULL, gateway->settings.vm_name);
	send_crashes(quarantine, NULL, &trial, 1);
	quarantine_store_add(quarantine->store, &trial);
	return true;
}

static void
trace_server_end(const struct server_start *start, const char *server,
    const char *sign, size_t suspects)
{
	struct trace trace;

	trace_begin(&trace, "server_ended");
	trace_text(&trace, "server", server);
	if (start->started_wall_ms != INT64_MAX)
		trace_number(&trace, "started_ms", start->started_wall_ms);
	trace_text(&trace, "sign", sign);
	trace_number(&trace, "suspects", (int64_t)suspects);
	trace_end(&trace);
}

/* Tells of a crash that is known already. */
static void
trace_known(struct quarantine *quarantine, const struct unfinished_run *run,
    const char *server)
{
	const struct suspect *suspect =
	    suspects_find(&quarantine->suspects, run->fingerprint);
	struct trace trace;

	quarantine->gateway->counters.suspect_crashes_known_total++;
	trace_begin(&trace, "crash_known");
	trace_hash(&trace, "fingerprint", run->fingerprint);
	trace_text(&trace, "server", server);
	trace_number(
	    &trace, "crashes", suspect != NULL ? suspect->crash_count : 0);
	trace_end(&trace);
}

/* Counts the end of a server against a request that it had not finished.
 * Returns false if others need not be told. */
static bool
add_crash(struct quarantine *quarantine, const struct unfinished_run *run,
    const char *server, struct suspect_crash *crash)
{
	if (!quarantine_counts_here(quarantine, run)) {
		suspects_add_run(
		    &quarantine->suspects, &quarantine->unfinished, run, crash);
		return false;
	}
	if (run->recorded)
		quarantine_runs_remove(quarantine->runs, run);
	if (!suspects_add_run(
		&quarantine->suspects, &quarantine->unfinished, run, crash)) {
		trace_known(quarantine, run, server);
		return false;
	}
	quarantine->gateway->counters.suspect_crashes_total++;
	trace_crash(
	    quarantine, crash, server, quarantine->gateway->settings.vm_name);
	quarantine_store_add(quarantine->store, crash);
	return true;
}

static size_t
add_crashes(struct quarantine *quarantine, const struct unfinished_run *runs,
    size_t count, const char *server)
{
	struct suspect_crash added[RUNS_MAX];
	size_t added_count = 0;

	for (size_t i = 0; i < count; i++) {
		if (add_crash(
			quarantine, &runs[i], server, &added[added_count]))
			added_count++;
	}
	if (added_count > 0)
		send_crashes(quarantine, NULL, added, added_count);
	for (size_t i = 0; i < added_count; i++)
		quarantine_spread(quarantine, added[i].fingerprint);
	return count;
}

void
quarantine_note_crashes(struct quarantine *quarantine,
    const struct server_start *start, const char *server, const char *sign)
{
	struct unfinished_run runs[RUNS_MAX];
	size_t total = 0;
	size_t count;

	while ((count = unfinished_server_ended(&quarantine->unfinished, start,
		    clock_monotonic_us(), runs, RUNS_MAX)) > 0)
		total += add_crashes(quarantine, runs, count, server);
	trace_server_end(start, server, sign, total);
}

/* Tells that it is not known yet what became of a run. */
static void
trace_unresolved(
    const struct quarantine *quarantine, const struct unfinished_run *run)
{
	const struct backend *backend = backends_find_hash(
	    &quarantine->gateway->blackboard.backends, run->start.server);
	struct trace trace;

	trace_begin(&trace, "run_unresolved");
	trace_hash(&trace, "fingerprint", run->fingerprint);
	trace_text(
	    &trace, "server", backend != NULL ? backend->entry.id : NULL);
	trace_text(&trace, "why",
	    run->under_way      ? "the server is silent"
		: run->answered ? "the response does not show its end"
		: run->broken   ? "connection broke"
				: "closed from this side");
	trace_ms(&trace, "ran_ms", run->ended_us - run->sent_us);
	trace_end(&trace);
}

void
quarantine_add_open(
    struct quarantine *quarantine, const struct unfinished_run *run)
{
	bool ended;

	if (suspects_completed_since(
		&quarantine->suspects, run->fingerprint, run->sent_us))
		return;
	ended = unfinished_add(&quarantine->unfinished, run);
	quarantine->gateway->counters.suspect_runs_unresolved_total++;
	trace_unresolved(quarantine, run);
	if (!run->untold)
		quarantine_tell_open(quarantine, run);
	if (ended)
		quarantine_note_crashes(quarantine, &run->start, NULL,
		    "removed from the list before the run ended");
}

void
quarantine_run_unfinished(struct quarantine *quarantine, struct sent_run *sent,
    const struct run_break *how)
{
	int64_t now_us = clock_monotonic_us();
	const struct unfinished_run run = {
	    .fingerprint = sent->fingerprint,
	    .start = sent->start,
	    .number = sent->number,
	    .sent_us = sent->sent_us,
	    .ended_us = now_us,
	    .ran_until_us = how->broken ? now_us : now_us + CLOSE_NOTICED_US,
	    .broken = how->broken,
	    .answered = how->answered,
	    .untold = how->answered,
	};

	if (how->answered ||
	    suspects_completed_since(
		&quarantine->suspects, sent->fingerprint, sent->sent_us)) {
		quarantine_run_ended(quarantine, sent);
	} else {
		list_remove(&sent->link);
		list_init(&sent->link);
	}
	quarantine_add_open(quarantine, &run);
	if (how->broken)
		quarantine_probe(quarantine, &run.start);
}

/* Tells which response cleared a request. */
static void
trace_cleared_by(
    uint64_t fingerprint, const struct quarantine_response *response)
{
	struct trace trace;

	trace_begin(&trace, "suspicion_cleared_by");
	trace_hash(&trace, "fingerprint", fingerprint);
	trace_text(&trace, "request", response->request);
	trace_text(&trace, "server", response->server);
	trace_number(&trace, "status", response->status);
	trace_text(&trace, "body_end", response->body_end);
	trace_end(&trace);
}

void
quarantine_handle_completed(struct quarantine *quarantine, uint64_t fingerprint,
    const struct quarantine_response *response)
{
	const struct suspect *known =
	    suspects_find(&quarantine->suspects, fingerprint);
	struct suspect before = {0};
	struct suspect_crash cleared;
	bool spread;

	if (known != NULL)
		before = *known;
	spread =
	    unfinished_request_completed(&quarantine->unfinished, fingerprint);
	if (!suspects_clear(&quarantine->suspects, fingerprint, spread,
		&cleared, clock_monotonic_us()))
		return;
	quarantine->gateway->counters.suspicions_cleared_total++;
	trace_cleared_by(fingerprint, response);
	trace_crash(
	    quarantine, &cleared, NULL, quarantine->gateway->settings.vm_name);
	send_crashes(quarantine, NULL, &cleared, 1);
	for (uint32_t i = 0; i < before.crash_count; i++)
		quarantine_store_remove(quarantine->store, &before.crashes[i]);
	if (before.trial.round > 0)
		quarantine_store_remove(quarantine->store, &before.trial);
	if (before.crash_count > 0)
		quarantine_store_add(quarantine->store, &cleared);
}

void
quarantine_handle_response(struct quarantine *quarantine,
    const struct server_start *start, int64_t sent_us)
{
	unfinished_server_responds(
	    &quarantine->unfinished, start, sent_us, true);
}

void
quarantine_handle_server_end(struct quarantine *quarantine,
    const struct server_start *start, const char *server, const char *sign)
{
	unfinished_note_end(
	    &quarantine->unfinished, start, clock_monotonic_us());
	quarantine_note_crashes(quarantine, start, server, sign);
}

/* Several servers that fail at once may mean that this VM's paths are lost. */
static bool
paths_in_doubt(const struct quarantine *quarantine)
{
	const struct reach *reach = &quarantine->gateway->blackboard.reach;

	return reach->lost || reach->failed_count > 1;
}

void
quarantine_handle_refused(
    struct quarantine *quarantine, const struct server_start *start)
{
	const struct backend *backend = backends_find_hash(
	    &quarantine->gateway->blackboard.backends, start->server);

	if (paths_in_doubt(quarantine)) {
		path_watch_probe(quarantine->gateway->path_watch);
		return;
	}
	quarantine_note_crashes(quarantine, start,
	    backend != NULL ? backend->entry.id : NULL, "connection refused");
}

void
quarantine_join(struct quarantine *quarantine,
    const struct suspect_crash *crash, const char *source)
{
	if (!suspects_join(&quarantine->suspects, crash))
		return;
	trace_crash(quarantine, crash, NULL, source);
	if (crash->crash == SUSPECT_EPOCH)
		unfinished_request_completed(
		    &quarantine->unfinished, crash->fingerprint);
	else
		quarantine_spread(quarantine, crash->fingerprint);
}

void
quarantine_handle_peer_digest(
    struct quarantine *quarantine, const char *vm, uint64_t digest)
{
	struct message message = {.type = MESSAGE_SUSPECTS_GET};

	digest -= unfinished_digest(&quarantine->unfinished);
	if (!suspects_should_ask(
		&quarantine->suspects, digest, clock_monotonic_us()) &&
	    (quarantine->loaded || quarantine->asked))
		return;
	quarantine->asked = true;
	peer_gateways_send(quarantine->gateway->peer_gateways, vm, &message);
}

static void
join_message(struct quarantine *quarantine, const struct message *message)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < message->suspects.crash_count; i++) {
		const struct message_suspect_crash *item =
		    &message->suspects.crashes[i];
		const struct suspect_crash crash = {
		    .fingerprint = item->fingerprint,
		    .epoch = item->epoch,
		    .round = item->round,
		    .crash = item->crash,
		    .crashed_us =
			item->age_us < 0 ? INT64_MIN : now_us - item->age_us,
		};

		quarantine_join(quarantine, &crash, message->sender);
	}
	if (message->suspects.is_reply)
		quarantine->loaded = true;
}

void
quarantine_handle_message(
    struct quarantine *quarantine, const struct message *message)
{
	struct suspect_crash list[LISTED_MAX];

	switch (message->type) {
	case MESSAGE_SUSPECTS:
		join_message(quarantine, message);
		return;
	case MESSAGE_SUSPECTS_GET:
		send_crashes(quarantine, message->sender, list,
		    suspects_list(&quarantine->suspects, list, LISTED_MAX));
		quarantine_send_spread(quarantine, message->sender);
		return;
	case MESSAGE_RUNS:
		quarantine_handle_runs(quarantine, message);
		return;
	default:
		return;
	}
}
