/** @file
 * Runs of requests of which nothing shows that they came to their end, until it
 * is known whether the server that ran them has ended or lives on. No I/O;
 * callers pass the time.
 *
 * A connection or a response shows only that some process serves at the
 * address: it may be a new one, which the list does not show yet. That the very
 * start of a server lives on is shown by its entry in the list, which would
 * have lapsed otherwise.
 */
#ifndef DISPATCH_UNFINISHED_H
#define DISPATCH_UNFINISHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/limits.h"

enum {
	/** More than a VM has open at once at several servers that end. */
	UNFINISHED_MAX = 1024,
	UNFINISHED_ENDS_KEPT = 128,     /**< ends of servers */
	UNFINISHED_RELEASED_KEPT = 128, /**< runs whose records are removed */
	UNFINISHED_BUCKETS = 256,
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
	/** Its connection was not closed from this side, so that it is worth
	 * finding out by another one whether the server has ended. */
	bool broken;
	/** Some process serves at the server's address: connections find out
	 * nothing more. */
	bool address_serves;
	/** A whole response has come, such as an error or one that ended with
	 * its connection: the server has ended only if nothing serves at its
	 * address any more. */
	bool answered;
	bool untold;   /**< no other VM has been told yet */
	bool recorded; /**< the store has it, or will */
	/** What the record says that the end of its server counts as. */
	uint32_t epoch;
	uint32_t round;
	/** Read from the store; a process that is gone has sent it. */
	bool adopted;
	bool shared; /**< known to other VMs as well, one of which counts it */
	/** The request has not ended here: its server has been silent for so
	 * long that it may have ended. */
	bool under_way;
	/** A response to a later request has named this server, so that it is
	 * no reason to hold the request back. The list decides whether the
	 * start that ran it has ended. */
	bool named_server_serves;
	uint64_t number; /**< of the VM that sent it; identifies it there */
	uint64_t sender; /**< hash of the VM that told of it; 0: none did */
	bool spread;     /**< all VMs have been told */
};

/** The end of a server as the list told it. */
struct unfinished_server_end {
	struct server_start start;
	int64_t ended_us; /**< when the list told it; 0: unused entry */
};

/** Empty when zeroed. */
struct unfinished {
	/** Ring buffer; the oldest entry is overwritten. */
	struct unfinished_run runs[UNFINISHED_MAX];
	size_t next; /**< count of entries ever written */
	size_t used; /**< count of entries in use */
	/** Counts of them by the remainder of the request and of the server,
	 * so that most look-ups need not search. */
	uint16_t by_request[UNFINISHED_BUCKETS];
	uint16_t by_server[UNFINISHED_BUCKETS];
	struct unfinished_server_end ends[UNFINISHED_ENDS_KEPT];
	size_t next_end;
	/** Runs that were dropped while the store had them. */
	struct unfinished_run released[UNFINISHED_RELEASED_KEPT];
	size_t released_count;
};

/** Identifies a start of a server, and so the crash that ends it. */
uint64_t unfinished_crash(const struct server_start *start);

/** Adds a run. Returns whether the list has told the end of its server while it
 * was under way, so that unfinished_server_ended() has to be called again. */
bool
unfinished_add(struct unfinished *unfinished, const struct unfinished_run *run);
/** Adds a run that the store has or another VM has told of. A run that is known
 * is kept; it lasts as long as the later of both. Returns whether it is new. */
bool unfinished_adopt(
    struct unfinished *unfinished, const struct unfinished_run *run);
/** Returns whether a run is a reason to hold its request back. */
bool unfinished_is_open(const struct unfinished_run *run, int64_t now_us);
/** Returns such a run of a request, or NULL. cursor: 0 at first, then as
 * returned. */
struct unfinished_run *unfinished_next_open(struct unfinished *unfinished,
    uint64_t fingerprint, int64_t now_us, size_t *cursor);
/** Returns a run that this VM has sent, or NULL. cursor: 0 at first, then as
 * returned. */
struct unfinished_run *
unfinished_next_own(struct unfinished *unfinished, size_t *cursor);
/** Drops a run that has ended without a crash. sender: 0 for one of this VM.
 * Returns whether all VMs have been told of it. */
bool unfinished_drop_run(struct unfinished *unfinished, uint64_t fingerprint,
    const struct server_start *start, uint64_t sender);
/** Makes this VM answer for the runs of a sender that is gone. */
void unfinished_take_over(struct unfinished *unfinished, uint64_t sender);
/** Returns a sum over the runs that all VMs have been told of. */
uint64_t unfinished_digest(const struct unfinished *unfinished);
/** Fills runs with those that all VMs have been told of, and returns their
 * number. */
size_t unfinished_list_spread(const struct unfinished *unfinished,
    struct unfinished_run *runs, size_t max);
/** Returns the server of a run that another process has sent, or NULL. cursor:
 * 0 at first, then as returned. */
const struct server_start *
unfinished_next_adopted(const struct unfinished *unfinished, size_t *cursor);
/** Returns a run that the store does not have, or NULL. cursor: 0 at first,
 * then as returned. */
struct unfinished_run *
unfinished_next_unrecorded(struct unfinished *unfinished, size_t *cursor);
/** Takes a run that was dropped, as its server lives or its request has
 * completed, while the store had it. Returns false if there is none. */
bool unfinished_take_released(
    struct unfinished *unfinished, struct unfinished_run *run);
/** Notes that a server has accepted a connection that was begun at since_us, or
 * has responded to a request that was sent then: unless that was right after
 * the run, connections find out nothing more. named: the response is of the
 * server of that id. */
void unfinished_server_responds(struct unfinished *unfinished,
    const struct server_start *start, int64_t since_us, bool named);
/** Drops the runs of a request that has completed. Returns whether all VMs have
 * been told of one. */
bool unfinished_request_completed(
    struct unfinished *unfinished, uint64_t fingerprint);
/** Drops the runs at servers that were still listed long enough after them.
 * listed_since_us: since when the list has been read without a gap. Returns
 * their number. */
size_t unfinished_drop_listed(
    struct unfinished *unfinished, int64_t listed_since_us, int64_t now_us);
/** Notes that the list tells the end of a server. */
void unfinished_note_end(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us);
/** Moves the runs at a server that has ended to runs, in the order of their
 * ends, and returns their number. An earlier start of the same server has ended
 * too. Runs that ended too long ago are dropped. To be called until it returns
 * 0. */
size_t unfinished_server_ended(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us,
    struct unfinished_run *runs, size_t max);
/** Returns a server at which a connection broke lately, so that it is worth
 * finding out whether it has ended, or NULL. cursor: 0 at first, then as
 * returned. The same server may be returned several times. */
const struct server_start *unfinished_next_broken(
    const struct unfinished *unfinished, int64_t now_us, size_t *cursor);

#endif
