/** @file
 * Runs that other VMs have under way, as this one was told, so that they are
 * known when such a VM ends before them. No I/O.
 */
#ifndef DISPATCH_RUN_WATCH_H
#define DISPATCH_RUN_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/list.h"
#include "dispatch/limits.h"
#include "record/record.h"

enum {
	/** More than a VM has under way; further ones are not watched. */
	WATCHED_RUNS_MAX = 4096,
};

/** A run that has been sent and has not ended. */
struct watched_run {
	struct list link;     /**< in watched_sender.runs */
	uint64_t number;      /**< of its sender; identifies it there */
	uint64_t fingerprint; /**< of the request */
	struct server_start start;
	int64_t sent_us;
};

/** A process that has told of its runs. */
struct watched_sender {
	struct list link; /**< in run_watch.senders */
	char vm[NAME_BYTES];
	uint64_t incarnation; /**< of the process */
	struct list runs;
};

struct run_watch {
	struct list senders;
	size_t run_count;
};

void run_watch_init(struct run_watch *watch);
void run_watch_reset(struct run_watch *watch);
/** Notes that a process has sent a request. run: its link is not used. */
void run_watch_begin(struct run_watch *watch, const char *vm,
    uint64_t incarnation, const struct watched_run *run);
/** Notes that a run has ended, if it is watched. */
void run_watch_end(struct run_watch *watch, const char *vm,
    uint64_t incarnation, uint64_t number);
/** Takes a run of a sender that is gone. Returns false, and forgets the sender,
 * if it has none left. */
bool run_watch_take(struct run_watch *watch, struct watched_sender *sender,
    struct watched_run *run);

#endif
