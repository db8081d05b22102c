#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "tests/suspect_world.h"

enum {
	TOLD_US = 20 * US_PER_MS,     /* after it was sent, a run is told */
	SILENT_US = 1 * US_PER_S,     /* as quarantine_watch.c */
	GONE_US = 1500 * US_PER_MS,   /* without heartbeats */
	NOTICED_US = 500 * US_PER_MS, /* a closed connection, by a server */
	/* Until the caller leaves. */
	LEAVE_MIN_MS = 300,
	LEAVE_MAX_MS = 4000,
	/* Of the crashes, those whose server falls silent; the others break the
	 * connection some time after the request came. */
	SILENT_PERCENT = 60,
	BREAK_MAX_MS = 400,
	/* Of the senders, those that die while the run is under way. */
	SENDER_DIES_PERCENT = 50,
	SENDER_DIES_MAX_MS = 1500,
	SPREAD_MAX = 64,
};

static bool
is_lost(const struct open_run *open)
{
	return world.vms[open->vm].incarnation != open->incarnation;
}

static void
set_vm_name(char name[NAME_BYTES], int vm)
{
	snprintf(name, NAME_BYTES, "%d", vm);
}

static uint64_t
sender_of(int vm)
{
	return (uint64_t)vm + 1;
}

static int
index_of(const struct vm *vm)
{
	return (int)(vm - world.vms);
}

/* Returns the VM that is told of a VM's runs: the next one that runs, as the
 * others see it. */
static int
watcher_of(int vm)
{
	for (int i = 1; i < world.vm_count; i++) {
		int next = (vm + i) % world.vm_count;

		if (vm_reaches_vms(&world.vms[next]))
			return next;
	}
	return -1;
}

static void
tell(const struct vm *vm, int to, enum delivery_kind kind,
    const struct unfinished_run *run)
{
	struct delivery message = {
	    .kind = kind,
	    .to = to,
	    .from = index_of(vm),
	    .incarnation = vm->incarnation,
	    .run = *run,
	};

	if (to < 0 || &world.vms[to] == vm || !vm_reaches_vms(vm))
		return;
	if (message.run.sender == 0)
		message.run.sender = sender_of(index_of(vm));
	message.run.recorded = false;
	message.run.shared = true;
	world_send(&message);
}

static uint32_t
epoch_of(const struct vm *vm)
{
	const struct suspect *suspect = suspects_find(&vm->suspects, CRASHER);

	return suspect != NULL ? suspect->epoch : 0;
}

void
open_runs_spread(struct vm *vm)
{
	const struct suspicion suspicion = suspects_count(
	    &vm->suspects, &vm->unfinished, CRASHER, world.now_us);
	struct unfinished_run *run;
	size_t cursor = 0;

	if (!suspects_must_spread(&suspicion))
		return;
	while ((run = unfinished_next_open(
		    &vm->unfinished, CRASHER, world.now_us, &cursor)) != NULL) {
		if (run->spread || (run->shared && vm != world_coordinator()))
			continue;
		run->spread = true;
		for (int to = 0; to < world.vm_count; to++)
			tell(vm, to, DELIVER_SPREAD, run);
	}
}

static void
tell_open(struct vm *vm, const struct unfinished_run *run)
{
	tell(vm, watcher_of(index_of(vm)), DELIVER_OPEN, run);
	if (world_coordinator() != NULL)
		tell(vm, index_of(world_coordinator()), DELIVER_OPEN, run);
	open_runs_spread(vm);
}

void
open_run_add(struct vm *vm, const struct unfinished_run *run)
{
	unfinished_add(&vm->unfinished, run);
	tell_open(vm, run);
}

static void
add_open(struct open_run *open, bool broken)
{
	struct vm *vm = &world.vms[open->vm];

	open->run.ended_us = world.now_us;
	open->run.ran_until_us =
	    broken ? world.now_us : world.now_us + NOTICED_US;
	open->run.broken = broken;
	open_run_add(vm, &open->run);
}

void
open_run_begin(struct vm *vm, const struct troubles *troubles)
{
	bool silent = world_happens(SILENT_PERCENT);
	int64_t leave_ms = LEAVE_MIN_MS +
	    (int64_t)rng_below(&world.rng, LEAVE_MAX_MS - LEAVE_MIN_MS);
	int64_t break_ms = (int64_t)rng_below(&world.rng, BREAK_MAX_MS);
	struct open_run *open = &world.open[world.open_count++];

	world.last_server++;
	ck_assert_uint_le(world.open_count, OPEN_MAX);
	*open = (struct open_run){
	    .vm = index_of(vm),
	    .incarnation = vm->incarnation,
	    .crash_us = world.now_us + (silent ? 0 : break_ms * US_PER_MS),
	    .break_us =
		silent ? INT64_MAX : world.now_us + break_ms * US_PER_MS,
	    .leave_us = world.now_us + leave_ms * US_PER_MS,
	    .kill_us = INT64_MAX,
	    .run = {.fingerprint = CRASHER,
		.number = world.last_server,
		.start = {.server = world.last_server, .started_wall_ms = 1},
		.sent_us = world.now_us},
	};
	if (troubles->senders && world_happens(SENDER_DIES_PERCENT))
		open->kill_us = world.now_us +
		    (int64_t)(TOLD_US / US_PER_MS +
			rng_below(&world.rng, SENDER_DIES_MAX_MS)) *
			US_PER_MS;
}

static void
crash(struct open_run *open)
{
	open->crashed = true;
	world_note_crash(&open->run.start, NOTICE_SLOW_US);
}

/* Returns whether the run is over. */
static bool
step(struct open_run *open)
{
	struct vm *vm = &world.vms[open->vm];

	if (!open->crashed && world.now_us >= open->crash_us)
		crash(open);
	if (world.now_us >= open->kill_us && !is_lost(open))
		vm_kill(vm);
	if (is_lost(open))
		return open->crashed;
	if (!vm_runs(vm))
		return false;
	if (!open->told && world.now_us >= open->run.sent_us + TOLD_US) {
		open->told = true;
		tell(vm, watcher_of(open->vm), DELIVER_BEGUN, &open->run);
	}
	if (world.now_us >= open->break_us || world.now_us >= open->leave_us) {
		bool broken = world.now_us >= open->break_us;

		open->run.under_way = false;
		add_open(open, broken);
		if (broken)
			vm_note_end(vm, &open->run.start);
		return true;
	}
	if (!open->silent && world.now_us >= open->run.sent_us + SILENT_US) {
		open->silent = true;
		open->run.under_way = true;
		add_open(open, false);
	}
	return false;
}

void
open_runs_step(void)
{
	size_t kept = 0;

	for (size_t i = 0; i < world.open_count; i++) {
		struct open_run open = world.open[i];

		if (!step(&open))
			world.open[kept++] = open;
	}
	world.open_count = kept;
}

static bool
is_gone(const struct watched_sender *sender)
{
	const struct vm *vm = &world.vms[strtol(sender->vm, NULL, 10)];

	return sender->incarnation != vm->incarnation ||
	    world.now_us - vm->reached_us > GONE_US;
}

static void
take_over(struct vm *vm, struct watched_sender *sender)
{
	uint64_t hash = sender_of((int)strtol(sender->vm, NULL, 10));
	struct watched_run sent;

	unfinished_take_over(&vm->unfinished, hash);
	while (run_watch_take(&vm->watch, sender, &sent)) {
		const struct unfinished_run run = {
		    .fingerprint = sent.fingerprint,
		    .start = sent.start,
		    .number = sent.number,
		    .sent_us = sent.sent_us,
		    .ended_us = world.now_us,
		    .ran_until_us = world.now_us + NOTICED_US,
		    .sender = hash,
		};

		unfinished_adopt(&vm->unfinished, &run);
		tell_open(vm, &run);
	}
}

void
open_runs_watch(struct vm *vm)
{
	list_for_each_safe (
	    sender, tmp, &vm->watch.senders, struct watched_sender, link) {
		if (is_gone(sender))
			take_over(vm, sender);
	}
}

static void
adopt(struct vm *vm, const struct unfinished_run *run, bool spread)
{
	struct unfinished_run adopted = *run;

	adopted.spread = spread;
	adopted.shared = true;
	adopted.recorded = false;
	if (!suspects_is_open(&vm->suspects, &adopted, epoch_of(vm)))
		return;
	unfinished_adopt(&vm->unfinished, &adopted);
	open_runs_spread(vm);
}

void
open_run_deliver(struct vm *vm, const struct delivery *message)
{
	const struct watched_run sent = {
	    .number = message->run.number,
	    .fingerprint = message->run.fingerprint,
	    .start = message->run.start,
	    .sent_us = message->run.sent_us,
	};
	char name[NAME_BYTES];

	set_vm_name(name, message->from);
	switch (message->kind) {
	case DELIVER_CRASH:
		return;
	case DELIVER_BEGUN:
		run_watch_begin(&vm->watch, name, message->incarnation, &sent);
		return;
	case DELIVER_OPEN:
		run_watch_end(
		    &vm->watch, name, message->incarnation, sent.number);
		adopt(vm, &message->run, false);
		return;
	case DELIVER_SPREAD:
		adopt(vm, &message->run, true);
		return;
	}
}

void
open_runs_compare(struct vm *vm, const struct vm *other)
{
	struct unfinished_run runs[SPREAD_MAX];
	size_t count =
	    unfinished_list_spread(&other->unfinished, runs, SPREAD_MAX);

	for (size_t i = 0; i < count; i++) {
		if (runs[i].sender == 0)
			runs[i].sender = sender_of(index_of(other));
		adopt(vm, &runs[i], true);
	}
}
