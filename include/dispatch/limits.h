/** @file
 * Limits on the rate of requests that backend servers have stated, and what
 * this VM expects of permits for them. Each start of a server has a limit of
 * its own. No I/O; callers pass the time.
 *
 * Answers the load of servers in trouble: they accept fewer requests than their
 * share, and others have to take the rest.
 */
#ifndef DISPATCH_LIMITS_H
#define DISPATCH_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

/** One start of a server. */
struct server_start {
	uint64_t server; /**< hash of the server's id */
	int64_t started_wall_ms;
};

/** Whether a server limited its requests at a time. */
struct limit_statement {
	bool limited;
	double per_s; /**< requests a second, from all VMs together */
	/** A limit holds from the arrival of the response that states it. That
	 * there is none holds from the sending of the request whose response
	 * states none. */
	int64_t stated_us;
};

struct limit {
	UT_hash_handle hh;
	struct server_start start;
	struct limit_statement statement; /**< the latest */
	/** When the next permit is expected to be free, by the latest reply. */
	int64_t next_permit_us;
	int64_t next_check_us; /**< of limit_check_is_due() */
};

/** Empty when zeroed. */
struct limits {
	struct limit *entries; /**< uthash, in the order of addition */
};

void limits_reset(struct limits *limits);
/** Applies a statement, unless a later one is known or there is no limit to
 * end. Drops the oldest entry beyond a bound. Returns whether other VMs should
 * hear of it: a limit begins, ends or changes by more than a tenth. */
bool limits_apply(struct limits *limits, const struct server_start *start,
    const struct limit_statement *statement);
/** Returns the latest statement of a server, or NULL. */
const struct limit_statement *
limits_latest(const struct limits *limits, const struct server_start *start);
/** Returns the limit in force at a server, or NULL. */
struct limit *
limits_find(const struct limits *limits, const struct server_start *start);
/** Returns whether the server should get a request soon, so that its response
 * tells whether the limit still holds: once a second while no response states
 * it. */
bool limit_check_is_due(struct limit *limit, int64_t now_us);
/** Records that no permit is free before a time. */
void limit_expect_permit(struct limit *limit, int64_t at_us);
/** Returns for how long a request has to wait for a permit, as far as known. */
int64_t limit_permit_wait_us(const struct limit *limit, int64_t now_us);

#endif
