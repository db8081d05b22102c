/** @file
 * What a VM holds of responses for callers that read slowly: whose servers are
 * not read further, and which callers are disconnected. No I/O; callers pass
 * the time.
 *
 * Answers the load of many slow callers on a small VM, whose memory would run
 * out while the servers respond faster than the callers read.
 */
#ifndef DISPATCH_BACKLOG_H
#define DISPATCH_BACKLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What is held for one caller. */
struct backlog {
	void *caller; /**< for whoever called */
	size_t held_bytes;
	uint64_t read_bytes; /**< taken by the caller since since_us */
	int64_t since_us;    /**< when the caller fell behind */
};

/** Returns the bound on what is held for all callers of a VM; SIZE_MAX: none.
 * memory_bytes: memory of the VM; 0: not known. */
size_t backlog_bound(uint64_t memory_bytes);
/** Returns the most that is read at once from a server; 0: the default. */
size_t backlog_read_bytes(bool is_behind, size_t total, size_t bound);
/** Returns how much is held for a caller before its server is read no further.
 * total: held for all callers. */
size_t backlog_pause_bytes(size_t total, size_t bound);
/** Returns whether the server of a caller that was paused is read again. */
bool backlog_may_resume(size_t held_bytes, size_t total, size_t bound);
/** Puts the callers that have to be disconnected to the front, slowest first,
 * and returns their number: as few as bring the total an eighth below the
 * bound. */
size_t backlog_choose_ended(
    struct backlog *backlogs, size_t count, size_t bound, int64_t now_us);

#endif
