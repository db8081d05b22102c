/** @file
 * Permits to send requests to backend servers that limit the rate of their
 * requests. One VM, the coordinator of a server, gives the permits for it to
 * all VMs, so that the limit holds for all of them together however uneven
 * their demand is. No I/O; callers pass the time.
 *
 * VMs may disagree for a moment on who coordinates, and a coordinator may be
 * cut off from others. A new coordinator therefore gives half of the permits at
 * first, and one that reaches less than half of the VMs only their share. What
 * all coordinators give together stays below one and a half times the limit.
 */
#ifndef DISPATCH_PERMITS_H
#define DISPATCH_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

struct permit_bucket;

enum {
	/** Longer than any request waits for a permit. */
	PERMIT_PAUSE_US = 500 * US_PER_MS,
};

/** What a coordinator has given, by server; empty when zeroed. */
struct permits {
	struct permit_bucket *buckets; /**< uthash, in the order of addition */
};

struct permit_terms {
	double per_s;        /**< the server's limit */
	double share;        /**< of the limit that this coordinator may give */
	int64_t max_wait_us; /**< longest wait that the request accepts */
};

struct permit {
	bool granted;
	/** Granted: until the request may be sent. Otherwise: until a permit
	 * without a wait is free. */
	int64_t wait_us;
};

/** What decides how long a request may wait for a permit. */
struct permit_claim {
	uint32_t priority;   /**< of its route; 0 is the most urgent */
	bool begins_program; /**< the first turn of a program */
	int64_t left_us;     /**< time until its deadline */
};

void permits_reset(struct permits *permits);
/** Takes the next permit for a server, given by the hash of its id, unless the
 * wait for it is too long. */
struct permit permits_take(struct permits *permits, uint64_t server,
    const struct permit_terms *terms, int64_t now_us);
/** Returns the share of a limit that a coordinator may give which reaches some
 * of the VMs that it knows; both counts include itself. */
double permits_share(size_t reachable, size_t known);
/** Returns how long a request may wait for a permit. When demand exceeds the
 * limit, permits are given ahead up to these times, so that the requests with
 * the shortest one are refused first: less urgent ones, and programs that have
 * not begun rather than those half done. */
int64_t permits_max_wait_us(const struct permit_claim *claim);

/** When callers are told to return whose requests exceed the limits of a
 * service. Zero-initialized: none has been told. */
struct return_schedule {
	int64_t next_us;
};

/** Returns after what time a caller should return, not before wait_us. Returns
 * are spread at the rate at which this VM expects permits. */
int64_t return_schedule_add(struct return_schedule *schedule, int64_t wait_us,
    double per_s, int64_t now_us);

#endif
