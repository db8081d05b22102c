#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/cap_leases.h"
#include "dispatch/caps.h"
#include "dispatch/permits.h"
#include "dispatch/token_bucket.h"

enum {
	/* More than the workspaces of a configuration. */
	BUCKETS_MAX = 4096,
	PROGRAMS_MAX = 65536,
	PROGRAM_KEPT_US = 60 * US_PER_S,
	/* Time without a refusal after which a cap has ceased to bind. */
	RELEASED_AFTER_US = 5 * US_PER_S,
	/* Waits of new programs are shorter than those of others by this, so
	 * that the others are served first. */
	NEW_PROGRAM_WAIT_DIVISOR = 4,
	DEFAULT_PROGRAM_REQUESTS = 8,
	/* Programs that the default counts for against those observed. */
	DEFAULT_WEIGHT = 4,
	/* Longest turn count of a program that is expected. */
	MAX_PROGRAM_REQUESTS = 390,
};

/* Random arrivals at 0.6 of a cap of few requests per second would often exceed
 * a bucket of one request. The rule of the 5 s window allows 20 requests more
 * than rate and burst; the rest of them is for changes of the coordinator. With
 * 8, a cap of 20 per second without a burst refused twice as many requests. */
static const double CAPACITY_MARGIN = 12;
/* Seconds of the rate that may be committed to new programs at a time. They
 * need their tokens over their whole duration, which is longer. */
static const double PROGRAM_CAPACITY_S = 5;
/* Programs that may begin at a time below any cap. With fewer, a cap of two
 * requests per second was used by 0.84 only under a demand of 4.5 times. */
static const double PROGRAM_CAPACITY_MIN = 2;
/* Part of the rate that new programs are admitted for, so that programs that
 * need more than expected do not have their last requests refused. */
static const double PROGRAM_RATE_PART = 0.95;
/* Leased permits may be used until the lease expires, so that many of them may
 * be used at once in a window after the one that they were issued in. At most
 * 0.3 s of the rate is leased at a time, which is within the tenth of five
 * seconds that the rule tolerates: a rate of 0.5 for CAP_LEASE_US, and 0.05. */
static const double LEASE_RATE_PART = 0.5;
static const double LEASE_CAPACITY_S = 0.05;
/* Time constants of the averages of demand and of requests per program. */
static const double DEMAND_S = 2;
static const double PROGRAMS_S = 60;

/** What was issued for a workspace. */
struct cap_bucket {
	UT_hash_handle hh;
	uint64_t workspace;
	struct cap cap;
	struct token_bucket requests;
	struct token_bucket programs;
	struct token_bucket leases;
	struct return_schedule returns;
	struct return_schedule program_returns;
	int64_t averaged_us;
	double demand;          /**< claims, decaying with DEMAND_S */
	double recent_requests; /**< permits used, decaying with PROGRAMS_S */
	double recent_programs; /**< programs begun, the same */
	int64_t refused_us;     /**< last refusal */
	bool binds;
	uint64_t refused; /**< since it binds */
};

/** Terms of a bucket's parts for a share of the cap. */
struct bucket_terms {
	struct token_terms requests;
	struct token_terms programs;
	struct token_terms leases;
};

void
caps_init(struct caps *caps)
{
	*caps = (struct caps){
	    .programs = {.max = PROGRAMS_MAX, .kept_us = PROGRAM_KEPT_US},
	};
}

static void
bucket_free(struct caps *caps, struct cap_bucket *bucket)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(caps->buckets, bucket);
	free(bucket);
}

void
caps_reset(struct caps *caps)
{
	struct cap_bucket *bucket, *next;

	HASH_ITER (hh, caps->buckets, bucket, next)
		bucket_free(caps, bucket);
	program_set_reset(&caps->programs);
}

static struct cap_bucket *
find_bucket(const struct caps *caps, uint64_t workspace)
{
	struct cap_bucket *bucket = NULL;

	HASH_FIND(hh, caps->buckets, &workspace, sizeof(workspace), bucket);
	return bucket;
}

static struct bucket_terms
terms_of(const struct cap *cap, double share)
{
	double per_s = cap->per_s * share;
	double capacity = (fmax(cap->burst, 1) + CAPACITY_MARGIN) * share;

	return (struct bucket_terms){
	    .requests = {.per_s = per_s, .capacity = fmax(capacity, 1)},
	    .programs =
		{
		    .per_s = PROGRAM_RATE_PART * per_s,
		    .capacity =
			fmax(PROGRAM_CAPACITY_MIN * DEFAULT_PROGRAM_REQUESTS,
			    PROGRAM_CAPACITY_S * cap->per_s) *
			share,
		},
	    .leases =
		{
		    .per_s = LEASE_RATE_PART * per_s,
		    .capacity = LEASE_CAPACITY_S * per_s,
		},
	};
}

static struct cap_bucket *
ensure_bucket(struct caps *caps, const struct cap_claim *claim, int64_t now_us)
{
	struct cap_bucket *bucket = find_bucket(caps, claim->workspace);
	struct bucket_terms terms;

	if (bucket != NULL) {
		if (claim->cap.version > bucket->cap.version)
			bucket->cap = claim->cap;
		return bucket;
	}
	if (HASH_COUNT(caps->buckets) == BUCKETS_MAX)
		bucket_free(caps, caps->buckets);
	bucket = xcalloc(1, sizeof(*bucket));
	bucket->workspace = claim->workspace;
	bucket->cap = claim->cap;
	terms = terms_of(&bucket->cap, claim->share);
	/* A former coordinator may have issued the burst. Programs do not count
	 * in the rule of the window, and those that run look new here. */
	bucket->requests = (struct token_bucket){claim->share, now_us};
	bucket->programs =
	    (struct token_bucket){terms.programs.capacity, now_us};
	bucket->leases = (struct token_bucket){0, now_us};
	bucket->averaged_us = now_us;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(
	    hh, caps->buckets, workspace, sizeof(bucket->workspace), bucket);
	return bucket;
}

static void
update_averages(struct cap_bucket *bucket, uint32_t used, int64_t now_us)
{
	double elapsed_s = (double)(now_us - bucket->averaged_us) / US_PER_S;

	if (elapsed_s > 0) {
		bucket->demand *= exp(-elapsed_s / DEMAND_S);
		bucket->recent_requests *= exp(-elapsed_s / PROGRAMS_S);
		bucket->recent_programs *= exp(-elapsed_s / PROGRAMS_S);
		bucket->averaged_us = now_us;
	}
	bucket->demand += 1 + used;
	bucket->recent_requests += used;
}

/* Returns the number of requests that a program of the workspace needs. */
static double
program_requests(const struct cap_bucket *bucket)
{
	double requests = (bucket->recent_requests +
			      DEFAULT_WEIGHT * DEFAULT_PROGRAM_REQUESTS) /
	    (bucket->recent_programs + DEFAULT_WEIGHT);

	return fmin(fmax(requests, 1), MAX_PROGRAM_REQUESTS);
}

/* Returns the tokens that the claim takes from the bucket of programs: what all
 * of a new program needs, one for a request without a program. */
static double
program_tokens(const struct caps *caps, const struct cap_bucket *bucket,
    const struct cap_claim *claim, int64_t now_us)
{
	if (claim->program == 0)
		return 1;
	if (claim->has_begun ||
	    program_set_has(&caps->programs, claim->program, now_us))
		return 0;
	return program_requests(bucket);
}

static struct cap_permit
refuse(struct cap_bucket *bucket, enum cap_result result,
    const struct bucket_terms *terms, int64_t now_us)
{
	struct cap_permit permit = {.result = result};
	int64_t wait_us;

	permit.begins_to_bind = !bucket->binds;
	if (!bucket->binds)
		bucket->refused = 0;
	bucket->binds = true;
	bucket->refused++;
	bucket->refused_us = now_us;
	if (result == CAP_PROGRAM_REFUSED) {
		wait_us = token_bucket_wait_us(
		    &bucket->programs, &terms->programs, 0);
		permit.wait_us = return_schedule_add(&bucket->program_returns,
		    wait_us, terms->programs.per_s / program_requests(bucket),
		    now_us);
		return permit;
	}
	wait_us = token_bucket_wait_us(&bucket->requests, &terms->requests, 1);
	permit.wait_us = return_schedule_add(
	    &bucket->returns, wait_us, terms->requests.per_s, now_us);
	return permit;
}

/* Returns how many further permits the asking VM gets. */
static uint32_t
lease(struct cap_bucket *bucket, const struct bucket_terms *terms,
    uint32_t wanted)
{
	double spare = bucket->requests.tokens - terms->requests.capacity / 2;
	double leased = floor(fmin(fmin(wanted, spare), bucket->leases.tokens));

	if (leased < 1)
		return 0;
	bucket->requests.tokens -= leased;
	bucket->leases.tokens -= leased;
	return (uint32_t)leased;
}

static struct cap_permit
grant(struct caps *caps, struct cap_bucket *bucket,
    const struct cap_claim *claim, const struct bucket_terms *terms,
    double for_program, int64_t wait_us, int64_t now_us)
{
	bucket->requests.tokens--;
	bucket->programs.tokens -= for_program;
	if (claim->program != 0) {
		bucket->recent_requests++;
		bucket->recent_programs += for_program > 0;
		program_set_add(&caps->programs, claim->program, now_us);
	}
	return (struct cap_permit){
	    .result = CAP_GRANTED,
	    .wait_us = wait_us,
	    .leased = lease(bucket, terms, claim->wanted),
	    .began_program = claim->program != 0 && for_program > 0,
	};
}

struct cap_permit
caps_take(struct caps *caps, const struct cap_claim *claim, int64_t now_us)
{
	struct cap_bucket *bucket = ensure_bucket(caps, claim, now_us);
	struct bucket_terms terms = terms_of(&bucket->cap, claim->share);
	int64_t max_wait_us = claim->max_wait_us;
	double for_program;
	int64_t wait_us;

	if (bucket->cap.per_s <= 0)
		return (struct cap_permit){.result = CAP_GRANTED};
	update_averages(bucket, claim->used, now_us);
	token_bucket_fill(&bucket->requests, &terms.requests, now_us);
	token_bucket_fill(&bucket->programs, &terms.programs, now_us);
	token_bucket_fill(&bucket->leases, &terms.leases, now_us);
	for_program = program_tokens(caps, bucket, claim, now_us);
	if (for_program > 0)
		max_wait_us /= NEW_PROGRAM_WAIT_DIVISOR;
	/* The last program may take more than is there, so that also a cap
	 * below what one program needs lets programs begin. */
	if (for_program > 0 && bucket->programs.tokens <= 0)
		return refuse(bucket, CAP_PROGRAM_REFUSED, &terms, now_us);
	wait_us = token_bucket_wait_us(&bucket->requests, &terms.requests, 1);
	if (wait_us > max_wait_us)
		return refuse(bucket, CAP_REFUSED, &terms, now_us);
	return grant(caps, bucket, claim, &terms, for_program, wait_us, now_us);
}

void
caps_give_back(
    struct caps *caps, uint64_t workspace, uint64_t program, bool began_program)
{
	struct cap_bucket *bucket = find_bucket(caps, workspace);

	if (bucket == NULL)
		return;
	bucket->requests.tokens++;
	if (program == 0) {
		bucket->programs.tokens++;
		return;
	}
	bucket->recent_requests = fmax(bucket->recent_requests - 1, 0);
	if (!began_program)
		return;
	bucket->programs.tokens += program_requests(bucket);
	bucket->recent_programs = fmax(bucket->recent_programs - 1, 0);
	program_set_remove(&caps->programs, program);
}

bool
caps_state(const struct caps *caps, uint64_t workspace, struct cap_state *state)
{
	const struct cap_bucket *bucket = find_bucket(caps, workspace);

	if (bucket == NULL)
		return false;
	*state = (struct cap_state){
	    .cap = bucket->cap,
	    .demand_per_s = bucket->demand / DEMAND_S,
	    .program_requests = program_requests(bucket),
	    .refused = bucket->refused,
	};
	return true;
}

void
caps_keep(struct caps *caps,
    bool (*is_coordinator)(void *context, uint64_t workspace), void *context)
{
	struct cap_bucket *bucket, *next;

	HASH_ITER (hh, caps->buckets, bucket, next) {
		if (!is_coordinator(context, bucket->workspace))
			bucket_free(caps, bucket);
	}
}

uint64_t
caps_next_released(struct caps *caps, int64_t now_us)
{
	program_set_expire(&caps->programs, now_us);
	for (struct cap_bucket *bucket = caps->buckets; bucket != NULL;
	     bucket = bucket->hh.next) {
		if (!bucket->binds ||
		    now_us - bucket->refused_us < RELEASED_AFTER_US)
			continue;
		bucket->binds = false;
		return bucket->workspace;
	}
	return 0;
}

double
caps_share(size_t reachable, size_t known)
{
	return reachable < known ? (double)reachable / (double)known : 1;
}
