#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/permits.h"

enum {
	/* More than the servers that limit their requests at a time. */
	BUCKETS_MAX = 4096,
	/* Unused permits are kept for this time. */
	BURST_US = 250 * US_PER_MS,
	/* Time after which a former coordinator is known to have stopped: the
	 * timeout of members, and some seconds in which servers may judge what
	 * both gave. */
	HANDOVER_US = 4 * US_PER_S,
	/* A fraction of the time between the events of a stream that callers
	 * accept, so that the wait does not make the response late. */
	MAX_WAIT_US = 400 * US_PER_MS,
	MIN_MAX_WAIT_US = 50 * US_PER_MS,
	/* Part of the time left that a request may wait. */
	LEFT_DIVISOR = 4,
	/* Callers do not wait longer than a third of their time limit, which is
	 * some seconds. */
	RETURN_MAX_US = 2 * US_PER_S,
	RETURN_MIN_US = 100 * US_PER_MS,
};

/* A server that accepts nothing still gets a request from time to time: only a
 * response tells that its limit has ended. */
static const double MIN_PER_S = 0.2;
/* Share of the limit that a coordinator gives until HANDOVER_US. */
static const double HANDOVER_SHARE = 0.5;

/** What was given for a server. */
struct permit_bucket {
	UT_hash_handle hh;
	uint64_t server; /**< hash of its id */
	int64_t created_us;
	int64_t next_us; /**< time of the next permit */
};

static void
bucket_free(struct permits *permits, struct permit_bucket *bucket)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(permits->buckets, bucket);
	free(bucket);
}

void
permits_reset(struct permits *permits)
{
	struct permit_bucket *bucket, *next;

	HASH_ITER (hh, permits->buckets, bucket, next)
		bucket_free(permits, bucket);
}

static struct permit_bucket *
ensure_bucket(struct permits *permits, uint64_t server, int64_t now_us)
{
	struct permit_bucket *bucket;

	HASH_FIND(hh, permits->buckets, &server, sizeof(server), bucket);
	if (bucket != NULL)
		return bucket;
	if (HASH_COUNT(permits->buckets) == BUCKETS_MAX)
		bucket_free(permits, permits->buckets);
	bucket = xcalloc(1, sizeof(*bucket));
	bucket->server = server;
	bucket->created_us = now_us;
	bucket->next_us = now_us;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, permits->buckets, server, sizeof(server), bucket);
	return bucket;
}

struct permit
permits_take(struct permits *permits, uint64_t server,
    const struct permit_terms *terms, int64_t now_us)
{
	struct permit_bucket *bucket = ensure_bucket(permits, server, now_us);
	double per_s = fmax(terms->per_s, MIN_PER_S) * terms->share;
	int64_t earliest_us = now_us;
	struct permit permit;

	if (now_us - bucket->created_us < HANDOVER_US)
		per_s *= HANDOVER_SHARE;
	else
		earliest_us -= BURST_US;
	if (bucket->next_us < earliest_us)
		bucket->next_us = earliest_us;
	permit.wait_us =
	    bucket->next_us > now_us ? bucket->next_us - now_us : 0;
	permit.granted = permit.wait_us <= terms->max_wait_us;
	if (permit.granted)
		bucket->next_us += (int64_t)(US_PER_S / per_s);
	return permit;
}

double
permits_share(size_t reachable, size_t known)
{
	return 2 * reachable > known ? 1 : (double)reachable / (double)known;
}

int64_t
permits_max_wait_us(const struct permit_claim *claim)
{
	int64_t wait_us = MAX_WAIT_US;

	for (uint32_t i = 0; i < claim->priority && wait_us > MIN_MAX_WAIT_US;
	     i++)
		wait_us /= 2;
	if (claim->begins_program)
		wait_us /= 2;
	if (wait_us < MIN_MAX_WAIT_US)
		wait_us = MIN_MAX_WAIT_US;
	if (wait_us > claim->left_us / LEFT_DIVISOR)
		wait_us = claim->left_us / LEFT_DIVISOR;
	return wait_us > 0 ? wait_us : 0;
}

int64_t
return_schedule_add(struct return_schedule *schedule, int64_t wait_us,
    double per_s, int64_t now_us)
{
	int64_t at_us =
	    now_us + (wait_us > RETURN_MIN_US ? wait_us : RETURN_MIN_US);

	if (schedule->next_us > at_us)
		at_us = schedule->next_us;
	if (at_us - now_us >= RETURN_MAX_US)
		return RETURN_MAX_US;
	schedule->next_us =
	    at_us + (int64_t)(US_PER_S / fmax(per_s, MIN_PER_S));
	return at_us - now_us;
}
