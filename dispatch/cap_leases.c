#include <stdlib.h>

#include <uthash.h>

#include "common/memory.h"
#include "dispatch/cap_leases.h"
#include "dispatch/token_bucket.h"

enum {
	LEASES_MAX = 4096,
	PROGRAMS_MAX = 32768,
	/* The coordinator forgets a program after a minute without a request.
	 * It has to hear of those that use leased permits before. */
	PROGRAM_KEPT_US = 30 * US_PER_S,
	/* Time over which this VM's requests of a workspace are counted. */
	COUNTED_US = US_PER_S,
	/* Time without use after which this VM's own share is empty again. */
	SHARE_KEPT_US = 5 * US_PER_S,
};

/** What this VM holds of one cap. */
struct cap_lease {
	UT_hash_handle hh;
	uint64_t workspace;
	uint32_t permits;
	int64_t expires_us;
	/** Leased permits that requests of programs used since the coordinator
	 * was asked last. */
	uint32_t used;
	int64_t counted_since_us;
	uint32_t counted;  /**< requests since then */
	uint32_t previous; /**< requests in the COUNTED_US before */
	struct token_bucket share;
};

void
cap_leases_init(struct cap_leases *leases)
{
	*leases = (struct cap_leases){
	    .programs = {.max = PROGRAMS_MAX, .kept_us = PROGRAM_KEPT_US},
	};
}

static void
lease_free(struct cap_leases *leases, struct cap_lease *lease)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(leases->by_workspace, lease);
	free(lease);
}

void
cap_leases_reset(struct cap_leases *leases)
{
	struct cap_lease *lease, *next;

	HASH_ITER (hh, leases->by_workspace, lease, next)
		lease_free(leases, lease);
	program_set_reset(&leases->programs);
}

static struct cap_lease *
ensure_lease(struct cap_leases *leases, uint64_t workspace)
{
	struct cap_lease *lease = NULL;

	HASH_FIND(
	    hh, leases->by_workspace, &workspace, sizeof(workspace), lease);
	if (lease != NULL)
		return lease;
	if (HASH_COUNT(leases->by_workspace) == LEASES_MAX)
		lease_free(leases, leases->by_workspace);
	lease = xcalloc(1, sizeof(*lease));
	lease->workspace = workspace;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, leases->by_workspace, workspace, sizeof(lease->workspace),
	    lease);
	return lease;
}

static void
count_request(struct cap_lease *lease, int64_t now_us)
{
	int64_t elapsed_us = now_us - lease->counted_since_us;

	if (elapsed_us >= COUNTED_US) {
		lease->previous =
		    elapsed_us < (int64_t)2 * COUNTED_US ? lease->counted : 0;
		lease->counted = 0;
		lease->counted_since_us = now_us;
	}
	lease->counted++;
}

bool
cap_leases_take(struct cap_leases *leases, uint64_t workspace, uint64_t program,
    int64_t now_us)
{
	struct cap_lease *lease = ensure_lease(leases, workspace);

	count_request(lease, now_us);
	if (lease->permits == 0 || now_us >= lease->expires_us)
		return false;
	if (program != 0 &&
	    !program_set_has(&leases->programs, program, now_us))
		return false;
	lease->permits--;
	lease->used += program != 0;
	return true;
}

void
cap_leases_fill_claim(
    struct cap_leases *leases, struct cap_claim *claim, int64_t now_us)
{
	struct cap_lease *lease = ensure_lease(leases, claim->workspace);
	uint32_t per_lease =
	    (uint32_t)(lease->previous * (int64_t)CAP_LEASE_US / COUNTED_US);

	claim->wanted = per_lease > 1 ? per_lease - 1 : 0;
	claim->used = lease->used;
	lease->used = 0;
	if (claim->program != 0 &&
	    program_set_has(&leases->programs, claim->program, now_us))
		claim->has_begun = true;
}

void
cap_leases_add(struct cap_leases *leases, uint64_t workspace, uint64_t program,
    uint32_t leased, int64_t now_us)
{
	struct cap_lease *lease;

	if (program != 0)
		program_set_add(&leases->programs, program, now_us);
	if (leased == 0)
		return;
	lease = ensure_lease(leases, workspace);
	/* What is left of an earlier lease keeps its time. */
	if (now_us >= lease->expires_us)
		lease->permits = 0;
	if (lease->permits == 0)
		lease->expires_us = now_us + CAP_LEASE_US;
	lease->permits += leased;
}

bool
cap_leases_take_share(struct cap_leases *leases, uint64_t workspace,
    const struct cap *cap, double share, int64_t now_us)
{
	struct cap_lease *lease = ensure_lease(leases, workspace);
	const struct token_terms terms = {
	    .per_s = cap->per_s * share,
	    .capacity = 1,
	};

	if (now_us - lease->share.filled_us > SHARE_KEPT_US)
		lease->share = (struct token_bucket){0, now_us};
	token_bucket_fill(&lease->share, &terms, now_us);
	if (lease->share.tokens < 1)
		return false;
	lease->share.tokens--;
	return true;
}

void
cap_leases_expire(struct cap_leases *leases, int64_t now_us)
{
	program_set_expire(&leases->programs, now_us);
}
