/** @file
 * Runs of requests that ended without a whole response, until it is known
 * whether the server that ran them has ended or lives on. No I/O; callers pass
 * the time.
 */
#ifndef DISPATCH_UNFINISHED_H
#define DISPATCH_UNFINISHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/limits.h"

enum {
	/** More than a VM has open at once at several servers that end. */
	UNFINISHED_MAX = 512,
};

/** A request that was sent to a server. */
struct unfinished_run {
	uint64_t fingerprint; /**< of the request; 0: unused entry */
	struct server_start start;
	int64_t sent_us;
	/** When its connection broke, or was closed from this side. */
	int64_t ended_us;
	/** Until when the server may have run it. Later than ended_us if the
	 * server may not have noticed the close at once. */
	int64_t ran_until_us;
	bool broken; /**< not closed from this side */
};

/** Empty when zeroed. */
struct unfinished {
	/** Ring buffer; the oldest entry is overwritten. */
	struct unfinished_run runs[UNFINISHED_MAX];
	size_t next; /**< count of entries ever written */
};

void
unfinished_add(struct unfinished *unfinished, const struct unfinished_run *run);
/** Drops the runs at a server that has responded to a request which was sent at
 * since_us, or accepted a connection then. Returns their number. */
size_t unfinished_server_alive(struct unfinished *unfinished,
    const struct server_start *start, int64_t since_us);
/** Moves the runs at a server that has ended to runs, in the order of their
 * ends, and returns their number. An earlier start of the same server has ended
 * too. Runs that ended too long ago are dropped. */
size_t unfinished_server_ended(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us,
    struct unfinished_run *runs, size_t max);
/** Returns a server at which a connection broke lately, so that it is worth
 * finding out whether it has ended, or NULL. cursor: 0 at first, then as
 * returned. The same server may be returned several times. */
const struct server_start *unfinished_next_broken(
    const struct unfinished *unfinished, int64_t now_us, size_t *cursor);

#endif
