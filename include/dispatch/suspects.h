/** @file
 * Requests that are suspected of crashing the backend servers that run them, as
 * all VMs together know them. No I/O; callers pass the time.
 *
 * A crash is the end of one start of a server while it ran the request. What is
 * known is a set of crashes, which VMs join in any order and as often as they
 * like. A request that completes has not crashed its server, so it can't be one
 * that crashes each server: all its crashes are cleared by a new epoch, which
 * goes before those of earlier epochs at each VM.
 *
 * Many servers may end at once for another reason while they run the same
 * request of a caller. So a crash is in round N+1 if the request was sent there
 * after a crash of round N. Crashes of one round, whose runs overlapped, may
 * have one cause that has nothing to do with the request. For the same reason
 * the first crash of a request that has completed before is in round 0, and is
 * not held against it. That holds for one crash at all VMs together.
 *
 * A run whose outcome is open may turn out to be a crash. So a request is held
 * back while it would be refused if all its open runs were crashes. Connections
 * that break while their runs overlap, or one after the other at one VM, may
 * have one cause, such as a lost path, and are in one round; each other open
 * run is in a round of its own, as a silent server does not show when it ended.
 * A run is no reason to hold it back if the request has completed elsewhere
 * since it was sent.
 *
 * A request that is refused may be innocent still. After a while one VM sends
 * it once more. Trials are known to all VMs as crashes are, as many of them end
 * without a result.
 */
#ifndef DISPATCH_SUSPECTS_H
#define DISPATCH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "dispatch/unfinished.h"

enum {
	/** Crashes of different rounds after which a request is refused. */
	SUSPECT_ROUNDS_MAX = 3,
	/** Crashes after which it is refused if they are of two rounds. */
	SUSPECT_CRASHES_MAX = 3,
	/** Crashes that are kept of one request. */
	SUSPECT_CRASHES_KEPT = 8,
	SUSPECTS_MAX = 1024,           /**< beyond it, the oldest is dropped */
	SUSPECT_COMPLETED_KEPT = 2048, /**< requests that have completed */
	/** Values of suspect_crash.crash that are no hashes. */
	SUSPECT_EPOCH = 0, /**< the start of an epoch without any crash */
	SUSPECT_TRIAL = 1, /**< a trial; its round is its number, from 1 */
};

/** One crash, or an entry of another kind by the value of crash. */
struct suspect_crash {
	uint64_t fingerprint; /**< of the request */
	uint32_t epoch;
	uint32_t round;     /**< 0: excused */
	uint64_t crash;     /**< hash of the server's start */
	int64_t crashed_us; /**< INT64_MIN: before anything this VM has sent */
};

/** What is known of a request. */
struct suspect {
	UT_hash_handle hh;
	uint64_t fingerprint;
	uint32_t epoch;
	uint32_t crash_count;
	struct suspect_crash crashes[SUSPECT_CRASHES_KEPT];
	/** The latest trial; round 0: none. */
	struct suspect_crash trial;
};

/** Empty when zeroed. */
struct suspects {
	struct suspect *by_fingerprint; /**< in the order of addition */
	/** Equal at VMs that know the same of all requests with two crashes or
	 * more. */
	uint64_t digest;
	/** Start of this VM. Crashes that only the store tells of may have been
	 * at any time before it. */
	int64_t started_us;
	int64_t changed_us; /**< when this VM added or cleared something */
	/** Requests that completed here, by the remainder of the fingerprint.
	 */
	uint64_t completed[SUSPECT_COMPLETED_KEPT];
	int64_t completed_us[SUSPECT_COMPLETED_KEPT];
	int64_t asked_us; /**< last time at which suspects_should_ask() did */
};

void suspects_reset(struct suspects *suspects);
/** Adds the crash of a server that had not finished this run. Fills added with
 * what other VMs should hear. Returns false if it was known. */
bool suspects_add_run(struct suspects *suspects, struct unfinished *unfinished,
    const struct unfinished_run *run, struct suspect_crash *added);
/** Returns whether the store must have a run, so that it outlives this VM, and
 * fills crash with what it counts as if its server ends. Without any suspicion,
 * a run that ended just now is not recorded, nor is one that is no reason to
 * hold its request back. */
bool suspects_must_record(const struct suspects *suspects,
    struct unfinished *unfinished, const struct unfinished_run *run,
    struct suspect_crash *crash, int64_t now_us);
/** Joins what another VM or the store knows. Returns whether it was new. */
bool
suspects_join(struct suspects *suspects, const struct suspect_crash *crash);
/** Notes that a request has completed, and clears it. Fills cleared with what
 * other VMs should hear. spread: they have been told of open runs of it.
 * Returns false if it was under no suspicion. */
bool suspects_clear(struct suspects *suspects, uint64_t fingerprint,
    bool spread, struct suspect_crash *cleared, int64_t now_us);
/** Returns whether a request must not be sent to servers any more. */
bool suspects_refuse(const struct suspects *suspects, uint64_t fingerprint);
/** What is held against a request. */
struct suspicion {
	uint32_t crashes;
	uint32_t open_runs; /**< runs whose outcome is open */
	uint32_t rounds;    /**< of both */
	bool completed;     /**< the request has completed here before */
};

struct suspicion suspects_count(const struct suspects *suspects,
    struct unfinished *unfinished, uint64_t fingerprint, int64_t now_us);
/** Returns whether a request must wait until the outcome of its open runs is
 * known. */
bool suspects_hold(const struct suspicion *suspicion);
/** Returns whether a request may be sent to one server at a time only: so many
 * servers have ended under it, or may have one after the other, that it may end
 * as many again. */
bool suspects_one_at_a_time(const struct suspicion *suspicion);
/** Returns whether all VMs must know of the open runs of a request: together
 * with what else is known of it, they may be its last ones. */
bool suspects_must_spread(const struct suspicion *suspicion);
/** Returns whether a request has completed here after a time, so that a run
 * that was sent then can't have been one that crashes each server. */
bool suspects_completed_since(
    const struct suspects *suspects, uint64_t fingerprint, int64_t since_us);
/** Returns whether what is told of an open run is new: its crash is not known,
 * and the request has not completed since. epoch: of the request when it was
 * told. */
bool suspects_is_open(const struct suspects *suspects,
    const struct unfinished_run *run, uint32_t epoch);
/** Returns whether a request that is refused may be sent once all the same, and
 * fills trial with what other VMs should hear before. One VM is to ask. */
bool suspects_take_trial(struct suspects *suspects, uint64_t fingerprint,
    struct suspect_crash *trial, int64_t now_us);
const struct suspect *
suspects_find(const struct suspects *suspects, uint64_t fingerprint);
/** Returns whether to ask a VM with another digest for all that it knows. Not
 * while a change is still on its way to all, and not too often. */
bool suspects_should_ask(
    struct suspects *suspects, uint64_t other_digest, int64_t now_us);
/** Fills list with what is known and returns the number of entries. Requests
 * that VMs compare go first, then the newest. */
size_t suspects_list(
    const struct suspects *suspects, struct suspect_crash *list, size_t max);

#endif
