/** @file
 * Days of a fleet with a request that crashes servers, without a network: a
 * simulation delivers the VMs' messages, some of them late or not at all, lets
 * servers respond with errors of their own, and counts what reaches servers.
 */
#ifndef TESTS_SUSPECT_DAYS_H
#define TESTS_SUSPECT_DAYS_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/suspects.h"
#include "dispatch/unfinished.h"

enum {
	SUSPECT_DAY_S = 40,
	SUSPECT_CRASHES = 3, /**< after which the request is not to be sent */
	SUSPECT_SENDS_AFTER = 3, /**< that are permitted after them */
	/** A VM whose process, paths or store were troubled within this time,
	 * or that has just started, may not know yet what the others know. */
	SUSPECT_SETTLE_US = 3000000,
};

/** What a day brings beside a request that crashes servers. */
struct troubles {
	bool vms;     /**< they die, freeze or are cut off; the store is away */
	bool servers; /**< some fail without ending */
	/** After some crashes a new process serves at the address before the
	 * list shows it. */
	bool reborn;
	bool completed_before; /**< the request crashes servers since lately */
	/** Servers fall silent, or end some time after the request came. */
	bool silent;
	bool
	    senders; /**< with silent: VMs die while their runs are under way */
};

/** What reached servers. */
struct suspect_day {
	int crashes;
	/** After the third crash, by VMs that had no trouble for
	 * SUSPECT_SETTLE_US. */
	int sends_after;
};

struct suspect_day suspect_day_play(int vm_count, uint64_t seed,
    int64_t seconds, const struct troubles *troubles);
/** Plays days of 12, 79 and 300 VMs and checks the bound on what is sent. */
void suspect_days_check(int64_t seconds, const struct troubles *troubles);
struct unfinished_run suspect_run(
    uint64_t fingerprint, uint64_t server, int64_t sent_us, int64_t ended_us);

#endif
