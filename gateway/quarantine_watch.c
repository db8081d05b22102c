#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine_internal.h"

enum {
	/* Most requests that run for less time are never told of. */
	TELL_MS = 15,
	/* A server that has not begun to respond by then may have ended. */
	SILENT_US = 1 * US_PER_S,
	/* The server of a gateway that is gone notices it within this time. */
	CLOSE_NOTICED_US = 500 * US_PER_MS,
	ENDED_MAX = 256, /* ends of runs that wait to be told */
	SPREAD_MAX = 64, /* open runs of a request */
	LISTED_MAX = 512,
};

/** What this gateway tells of its runs, and knows of other gateways' runs. */
struct quarantine_watch {
	struct quarantine *quarantine;
	uint64_t vm_hash;         /**< of this VM */
	struct list sent;         /**< of struct sent_run */
	uint64_t next_number;     /**< of a run */
	char watcher[NAME_BYTES]; /**< VM that is told; "": none */
	uv_timer_t *timer;
	struct message_run ended[ENDED_MAX];
	size_t ended_count;
	struct run_watch others;
};

static uint32_t
epoch_of(const struct quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspect *suspect =
	    suspects_find(&quarantine->suspects, fingerprint);

	return suspect != NULL ? suspect->epoch : 0;
}

static struct message_run
encode_sent(const struct quarantine_watch *watch, const struct sent_run *run,
    enum message_run_state state)
{
	int64_t age_us = clock_monotonic_us() - run->sent_us;

	return (struct message_run){
	    .state = state,
	    .number = run->number,
	    .vm_hash = watch->vm_hash,
	    .fingerprint = run->fingerprint,
	    .epoch = epoch_of(watch->quarantine, run->fingerprint),
	    .server = run->start.server,
	    .started_wall_ms = run->start.started_wall_ms,
	    .sent_age_us = age_us,
	    .ended_age_us = age_us,
	};
}

static struct message_run
encode_open(const struct quarantine_watch *watch,
    const struct unfinished_run *run, enum message_run_state state)
{
	int64_t now_us = clock_monotonic_us();

	return (struct message_run){
	    .state = state,
	    .number = run->number,
	    .vm_hash = run->sender != 0 ? run->sender : watch->vm_hash,
	    .fingerprint = run->fingerprint,
	    .epoch = epoch_of(watch->quarantine, run->fingerprint),
	    .server = run->start.server,
	    .started_wall_ms = run->start.started_wall_ms,
	    .sent_age_us = now_us - run->sent_us,
	    .ended_age_us = now_us - run->ran_until_us,
	    .broken = run->broken,
	};
}

/* Sends to a VM, or to all if vm is NULL. */
static void
send_runs(const struct quarantine_watch *watch, const char *vm,
    struct message_run *runs, size_t count)
{
	struct peer_gateways *peer_gateways =
	    watch->quarantine->gateway->peer_gateways;
	struct message message = {.type = MESSAGE_RUNS};

	if (count == 0)
		return;
	message.runs.incarnation = peer_gateways_own_incarnation(peer_gateways);
	message.runs.runs = runs;
	message.runs.run_count = count;
	if (vm != NULL)
		peer_gateways_send(peer_gateways, vm, &message);
	else
		peer_gateways_broadcast(peer_gateways, &message);
}

/* Tells the gateway that coordinates a request, unless that is told anyway. */
static void
send_to_coordinator(
    const struct quarantine_watch *watch, struct message_run *run)
{
	const struct gateway *gateway = watch->quarantine->gateway;
	const char *vm = peer_gateways_coordinator(
	    gateway->peer_gateways, run->fingerprint, "");

	if (strcmp(vm, gateway->settings.vm_name) != 0 &&
	    strcmp(vm, watch->watcher) != 0)
		send_runs(watch, vm, run, 1);
}

void
quarantine_spread(struct quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspicion suspicion = suspects_count(&quarantine->suspects,
	    &quarantine->unfinished, fingerprint, clock_monotonic_us());
	struct message_run spread[SPREAD_MAX];
	struct unfinished_run *run;
	size_t count = 0;
	size_t cursor = 0;

	if (!suspects_must_spread(&suspicion))
		return;
	while (count < SPREAD_MAX &&
	    (run = unfinished_next_open(&quarantine->unfinished, fingerprint,
		 clock_monotonic_us(), &cursor)) != NULL) {
		if (run->spread || !quarantine_counts_here(quarantine, run))
			continue;
		run->spread = true;
		spread[count++] =
		    encode_open(quarantine->watch, run, MESSAGE_RUN_SPREAD);
	}
	send_runs(quarantine->watch, NULL, spread, count);
}

void
quarantine_send_spread(struct quarantine *quarantine, const char *vm)
{
	struct unfinished_run *runs = xcalloc(LISTED_MAX, sizeof(*runs));
	struct message_run *items = xcalloc(LISTED_MAX, sizeof(*items));
	size_t count =
	    unfinished_list_spread(&quarantine->unfinished, runs, LISTED_MAX);

	for (size_t i = 0; i < count; i++)
		items[i] = encode_open(
		    quarantine->watch, &runs[i], MESSAGE_RUN_SPREAD);
	send_runs(quarantine->watch, vm, items, count);
	free(items);
	free(runs);
}

/* Tells the watcher of the runs that have lasted until now, and which of those
 * that it knows have ended. */
static void
tell(struct quarantine_watch *watch)
{
	size_t max = list_length(&watch->sent) + watch->ended_count;
	struct message_run *items = xcalloc(max + 1, sizeof(*items));
	size_t count = 0;

	for (size_t i = 0; i < watch->ended_count; i++)
		items[count++] = watch->ended[i];
	watch->ended_count = 0;
	list_for_each (run, &watch->sent, struct sent_run, link) {
		if (run->told)
			continue;
		run->told = true;
		items[count++] = encode_sent(watch, run, MESSAGE_RUN_BEGUN);
	}
	if (watch->watcher[0] != '\0')
		send_runs(watch, watch->watcher, items, count);
	free(items);
}

static void
handle_timer(uv_timer_t *timer)
{
	tell(timer->data);
}

static void
tell_soon(struct quarantine_watch *watch)
{
	if (!uv_is_active((uv_handle_t *)watch->timer))
		uv_timer_start(watch->timer, handle_timer, TELL_MS, 0);
}

void
quarantine_run_began(struct quarantine *quarantine, struct sent_run *run,
    uint64_t fingerprint, const struct server_start *start, int64_t sent_us)
{
	struct quarantine_watch *watch = quarantine->watch;

	*run = (struct sent_run){
	    .number = ++watch->next_number,
	    .fingerprint = fingerprint,
	    .start = *start,
	    .sent_us = sent_us,
	};
	list_append(&watch->sent, &run->link);
	tell_soon(watch);
}

void
quarantine_run_responded(struct sent_run *run)
{
	run->responded = true;
}

static void
tell_all_harmless(
    const struct quarantine_watch *watch, const struct message_run *run)
{
	struct message_run item = *run;

	item.state = MESSAGE_RUN_HARMLESS;
	send_runs(watch, NULL, &item, 1);
}

/* Tells those that know of a run which may have ended with a crash that it has
 * not. */
static void
tell_harmless(struct quarantine_watch *watch, const struct sent_run *run)
{
	struct message_run item = encode_sent(watch, run, MESSAGE_RUN_ENDED);

	if (unfinished_drop_run(&watch->quarantine->unfinished,
		run->fingerprint, &run->start, 0))
		tell_all_harmless(watch, &item);
	else
		send_to_coordinator(watch, &item);
}

void
quarantine_run_ended(struct quarantine *quarantine, struct sent_run *run)
{
	struct quarantine_watch *watch = quarantine->watch;

	if (list_empty(&run->link)) /* its end is known already */
		return;
	list_remove(&run->link);
	list_init(&run->link);
	if (run->silent)
		tell_harmless(watch, run);
	if (!run->told)
		return;
	if (watch->ended_count == ENDED_MAX)
		tell(watch);
	watch->ended[watch->ended_count++] =
	    encode_sent(watch, run, MESSAGE_RUN_ENDED);
	tell_soon(watch);
}

static void
tell_open(struct quarantine_watch *watch, const struct unfinished_run *run)
{
	struct message_run item =
	    encode_open(watch, run, MESSAGE_RUN_UNRESOLVED);

	if (watch->watcher[0] != '\0')
		send_runs(watch, watch->watcher, &item, 1);
	send_to_coordinator(watch, &item);
	quarantine_spread(watch->quarantine, run->fingerprint);
}

void
quarantine_tell_open(
    struct quarantine *quarantine, const struct unfinished_run *run)
{
	tell_open(quarantine->watch, run);
}

/* Chooses another watcher if the present one is gone. */
static void
choose_watcher(struct quarantine_watch *watch)
{
	const char *vm =
	    peer_gateways_watcher(watch->quarantine->gateway->peer_gateways);
	struct unfinished_run *run;
	size_t cursor = 0;

	if (vm == NULL || strcmp(vm, watch->watcher) == 0)
		return;
	memcpy(watch->watcher, vm, strlen(vm) + 1);
	watch->ended_count = 0;
	list_for_each (sent, &watch->sent, struct sent_run, link)
		sent->told = false;
	tell(watch);
	while ((run = unfinished_next_own(
		    &watch->quarantine->unfinished, &cursor)) != NULL)
		tell_open(watch, run);
}

/* Tells of runs whose servers have answered and can't be found any more. */
static void
tell_answered(struct quarantine_watch *watch)
{
	int64_t now_us = clock_monotonic_us();
	struct unfinished_run *run;
	size_t cursor = 0;

	while ((run = unfinished_next_own(
		    &watch->quarantine->unfinished, &cursor)) != NULL) {
		if (!run->untold || !unfinished_is_open(run, now_us))
			continue;
		run->untold = false;
		tell_open(watch, run);
	}
}

/* Takes the runs at servers that are silent for runs whose outcome is open. */
static void
note_silent(struct quarantine_watch *watch)
{
	int64_t now_us = clock_monotonic_us();

	list_for_each (sent, &watch->sent, struct sent_run, link) {
		const struct unfinished_run run = {
		    .fingerprint = sent->fingerprint,
		    .start = sent->start,
		    .number = sent->number,
		    .sent_us = sent->sent_us,
		    .ended_us = now_us,
		    .ran_until_us = now_us,
		    .under_way = true,
		};

		if (sent->responded || sent->silent ||
		    now_us - sent->sent_us < SILENT_US)
			continue;
		sent->silent = true;
		quarantine_add_open(watch->quarantine, &run);
	}
}

/* Takes over the runs of a gateway that is gone. */
static void
take_over(struct quarantine_watch *watch, struct watched_sender *sender)
{
	struct quarantine *quarantine = watch->quarantine;
	int64_t now_us = clock_monotonic_us();
	uint64_t vm_hash = hash_text(sender->vm, 0);
	struct trace trace;
	struct watched_run sent;
	int64_t count = 0;

	trace_begin(&trace, "runs_taken_over");
	trace_text(&trace, "vm", sender->vm);
	unfinished_take_over(&quarantine->unfinished, vm_hash);
	while (run_watch_take(&watch->others, sender, &sent)) {
		const struct unfinished_run run = {
		    .fingerprint = sent.fingerprint,
		    .start = sent.start,
		    .number = sent.number,
		    .sent_us = sent.sent_us,
		    .ended_us = now_us,
		    .ran_until_us = now_us + CLOSE_NOTICED_US,
		    .sender = vm_hash,
		};

		unfinished_adopt(&quarantine->unfinished, &run);
		tell_open(watch, &run);
		count++;
	}
	quarantine->gateway->counters.suspect_runs_taken_over_total +=
	    (uint64_t)count;
	trace_number(&trace, "runs", count);
	trace_end(&trace);
}

void
quarantine_watch_tick(struct quarantine_watch *watch)
{
	const struct peer_gateways *peer_gateways =
	    watch->quarantine->gateway->peer_gateways;

	choose_watcher(watch);
	note_silent(watch);
	tell_answered(watch);
	list_for_each_safe (
	    sender, tmp, &watch->others.senders, struct watched_sender, link) {
		if (peer_gateways_incarnation(peer_gateways, sender->vm) !=
		    sender->incarnation)
			take_over(watch, sender);
	}
}

static void
adopt(struct quarantine_watch *watch, const struct message_run *item)
{
	struct quarantine *quarantine = watch->quarantine;
	int64_t now_us = clock_monotonic_us();
	const struct unfinished_run run = {
	    .fingerprint = item->fingerprint,
	    .start = {.server = item->server,
		.started_wall_ms = item->started_wall_ms},
	    .number = item->number,
	    .sent_us = now_us - item->sent_age_us,
	    .ended_us = now_us - item->ended_age_us,
	    .ran_until_us = now_us - item->ended_age_us,
	    .broken = item->broken,
	    .shared = true,
	    .sender = item->vm_hash,
	    .spread = item->state == MESSAGE_RUN_SPREAD,
	};

	if (item->fingerprint == 0 ||
	    !suspects_is_open(&quarantine->suspects, &run, item->epoch))
		return;
	if (suspects_completed_since(
		&quarantine->suspects, run.fingerprint, run.sent_us)) {
		if (run.spread)
			tell_all_harmless(watch, item);
		return;
	}
	unfinished_adopt(&quarantine->unfinished, &run);
	quarantine_spread(quarantine, item->fingerprint);
}

/* Drops an open run that has not crashed its server. Returns whether all
 * gateways were told of it. */
static bool
drop_open(struct quarantine_watch *watch, const struct message_run *item)
{
	const struct server_start start = {
	    .server = item->server, .started_wall_ms = item->started_wall_ms};

	return unfinished_drop_run(&watch->quarantine->unfinished,
	    item->fingerprint, &start,
	    item->vm_hash == watch->vm_hash ? 0 : item->vm_hash);
}

static void
handle_ended(struct quarantine_watch *watch, const struct message *message,
    const struct message_run *item)
{
	run_watch_end(&watch->others, message->sender,
	    message->runs.incarnation, item->number);
	if (drop_open(watch, item))
		tell_all_harmless(watch, item);
}

void
quarantine_handle_runs(
    struct quarantine *quarantine, const struct message *message)
{
	struct quarantine_watch *watch = quarantine->watch;
	uint64_t incarnation = message->runs.incarnation;

	for (size_t i = 0; i < message->runs.run_count; i++) {
		const struct message_run *item = &message->runs.runs[i];
		const struct watched_run run = {
		    .number = item->number,
		    .fingerprint = item->fingerprint,
		    .start = {.server = item->server,
			.started_wall_ms = item->started_wall_ms},
		    .sent_us = clock_monotonic_us() - item->sent_age_us,
		};

		switch ((enum message_run_state)item->state) {
		case MESSAGE_RUN_BEGUN:
			run_watch_begin(
			    &watch->others, message->sender, incarnation, &run);
			break;
		case MESSAGE_RUN_ENDED:
			handle_ended(watch, message, item);
			break;
		case MESSAGE_RUN_UNRESOLVED:
			run_watch_end(&watch->others, message->sender,
			    incarnation, item->number);
			adopt(watch, item);
			break;
		case MESSAGE_RUN_SPREAD:
			adopt(watch, item);
			break;
		case MESSAGE_RUN_HARMLESS:
			drop_open(watch, item);
			break;
		}
	}
}

struct quarantine_watch *
quarantine_watch_create(struct quarantine *quarantine)
{
	struct quarantine_watch *watch = xcalloc(1, sizeof(*watch));

	watch->quarantine = quarantine;
	watch->vm_hash = hash_text(quarantine->gateway->settings.vm_name, 0);
	list_init(&watch->sent);
	run_watch_init(&watch->others);
	watch->timer = xcalloc(1, sizeof(*watch->timer));
	uv_timer_init(&quarantine->gateway->loop, watch->timer);
	watch->timer->data = watch;
	return watch;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
quarantine_watch_destroy(struct quarantine_watch *watch)
{
	run_watch_reset(&watch->others);
	uv_close((uv_handle_t *)watch->timer, handle_timer_closed);
	free(watch);
}
